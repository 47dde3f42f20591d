"""Terms and the way back to being a follower."""

from fescueyard.consensus import models

ELECTION_TIMEOUT_MIN_MS = 500
ELECTION_TIMEOUT_MAX_MS = 900
ELECTION_RETRY_MIN_MS = 100
ELECTION_RETRY_MAX_MS = 400


def schedule_election(table, now_ms):
    """Put the next election off by a random time.

    :param now_ms: the present time.
    """
    table.election_due_ms = now_ms + table.random.uniform(
        ELECTION_TIMEOUT_MIN_MS, ELECTION_TIMEOUT_MAX_MS
    )


def schedule_election_retry(table, now_ms):
    """Have a candidate try again soon, by a random time.

    There is no leader to wait for, and with few members a split vote is
    likely; what keeps a lease safe is when others vote, not when one asks.

    :param now_ms: the present time.
    """
    table.election_due_ms = now_ms + table.random.uniform(
        ELECTION_RETRY_MIN_MS, ELECTION_RETRY_MAX_MS
    )


def observe_term(table, term, now_ms):
    """Take in a term; a later one makes this member a follower.

    :param term: the term.
    :param now_ms: the present time.
    """
    if term <= table.vote.term:
        return
    table.vote = models.Vote(term, "")
    table.vote_changed = True
    become_follower(table, now_ms)


def become_follower(table, now_ms):
    """Drop whatever belongs to a candidate or leader.

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


def follow(table, term, sender_id, now_ms):
    """Follow the sender of a leader's message.

    :param term: term of the message.
    :param sender_id: the leader.
    :param now_ms: the present time.
    :returns: False when the message is of an earlier term.
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
