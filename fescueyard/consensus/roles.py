"""Terms, election timers and the transition to follower."""

from fescueyard.consensus import models

ELECTION_TIMEOUT_MIN_MS = 500
ELECTION_TIMEOUT_MAX_MS = 900
ELECTION_RETRY_MIN_MS = 100
ELECTION_RETRY_MAX_MS = 400


def schedule_election(table, now_ms):
    """Reset the election timer to a random timeout.

    :param now_ms: the present time.
    """
    table.election_due_ms = now_ms + table.random.uniform(
        ELECTION_TIMEOUT_MIN_MS, ELECTION_TIMEOUT_MAX_MS
    )


def schedule_election_retry(table, now_ms):
    """Schedule a candidate's next attempt after a short random time.

    The time is shorter than an election timeout: there is no leader to wait
    for, and with few members a split vote is likely. Leases stay safe, since
    they depend on when members grant votes, not on when one requests them.

    :param now_ms: the present time.
    """
    table.election_due_ms = now_ms + table.random.uniform(
        ELECTION_RETRY_MIN_MS, ELECTION_RETRY_MAX_MS
    )


def observe_term(table, term, now_ms):
    """Adopt a later term and become a follower in it.

    :param term: term of a received message; ignored unless later.
    :param now_ms: the present time.
    """
    if term <= table.vote.term:
        return
    table.vote = models.Vote(term, "")
    table.vote_changed = True
    become_follower(table, now_ms)


def become_follower(table, now_ms):
    """Become a follower and clear the state of a candidate or leader.

    :param now_ms: the present time.
    """
    if table.role is models.Role.LEADER:
        table.leader_id = ""
        schedule_election(table, now_ms)
    table.role = models.Role.FOLLOWER
    table.transfer_started_at_ms = None
    table.confirmed_at_ms = None
    table.round_sent_at_ms.clear()
    table.progress.clear()
    table.votes.clear()


def step_down(table, now_ms):
    """Give up the leadership or the candidacy, if this member has one.

    :param now_ms: the present time.
    """
    if table.role is not models.Role.FOLLOWER:
        become_follower(table, now_ms)


def follow(table, term, sender_id, now_ms):
    """Follow the sender of a leader's message and reset the election timer.

    :param term: term of the message.
    :param sender_id: the leader.
    :param now_ms: the present time.
    :returns: whether the sender is followed; False when the message is of an
        earlier term.
    """
    if term < table.vote.term:
        return False
    observe_term(table, term, now_ms)
    if table.role is not models.Role.FOLLOWER:
        become_follower(table, now_ms)
    table.leader_id = sender_id
    table.leader_contact_at_ms = now_ms
    schedule_election(table, now_ms)
    return True
