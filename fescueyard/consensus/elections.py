"""Elections: pre-votes, votes and leadership transfer."""

from fescueyard.consensus import dispatch
from fescueyard.consensus import log
from fescueyard.consensus import messages
from fescueyard.consensus import models
from fescueyard.consensus import replication
from fescueyard.consensus import roles


def transfer_leadership(table, now_ms):
    """Transfer the leadership to the most up-to-date voter.

    The lease ends immediately, because the election that the transfer starts
    does not wait for it to expire.

    :param table: :class:`models.ConsensusTable`.
    :param now_ms: the present time.
    :returns: whether there was a voter to transfer the leadership to.
    """
    if table.role is not models.Role.LEADER:
        return False
    successor_id = None
    for member in table.members:
        if not member.voter or member.member_id == table.member_id:
            continue
        match_index = table.progress[member.member_id].match_index
        if (
            successor_id is None
            or match_index > table.progress[successor_id].match_index
        ):
            successor_id = member.member_id
    if successor_id is None:
        return False
    table.transfer_started_at_ms = now_ms
    log.enqueue_message(
        table, successor_id, messages.LeadershipTransfer(table.vote.term)
    )
    return True


@dispatch.receive.register
def _receive_vote_request(
    message: messages.VoteRequest, table, sender_id, now_ms
):
    if not message.transfer and _has_active_leader(table, now_ms):
        return
    if not message.pre_vote:
        roles.observe_term(table, message.term, now_ms)
    granted = _may_grant_vote(table, message, sender_id)
    if granted:
        roles.schedule_election(table, now_ms)
    if granted and not message.pre_vote:
        table.vote = models.Vote(table.vote.term, sender_id)
        table.vote_changed = True
    term = message.term if granted else table.vote.term
    response = messages.VoteResponse(term, message.pre_vote, granted)
    log.enqueue_message(table, sender_id, response)


@dispatch.receive.register
def _receive_vote_response(
    message: messages.VoteResponse, table, sender_id, now_ms
):
    if not message.granted:
        roles.observe_term(table, message.term, now_ms)
        return
    if not log.is_voter(table, sender_id):
        return
    if message.pre_vote:
        if table.role is not models.Role.PRE_CANDIDATE:
            return
        if message.term != table.vote.term + 1:
            return
        table.votes.add(sender_id)
        if log.is_majority(table, table.votes):
            _start_election(table, now_ms, transfer=False)
        return
    if table.role is not models.Role.CANDIDATE:
        return
    if message.term != table.vote.term:
        return
    table.votes.add(sender_id)
    if log.is_majority(table, table.votes):
        _become_leader(table, now_ms)


@dispatch.receive.register
def _receive_leadership_transfer(
    message: messages.LeadershipTransfer, table, sender_id, now_ms
):
    if message.term != table.vote.term or sender_id != table.leader_id:
        return
    if log.is_voter(table, table.member_id):
        _start_election(table, now_ms, transfer=True)


def _has_active_leader(table, now_ms):
    if table.role is models.Role.LEADER:
        return table.transfer_started_at_ms is None
    return now_ms - table.leader_contact_at_ms < roles.ELECTION_TIMEOUT_MIN_MS


def _may_grant_vote(table, message, sender_id):
    if message.term < table.vote.term:
        return False
    if message.pre_vote:
        if message.term == table.vote.term:
            return False
    elif table.vote.voted_for not in ("", sender_id):
        return False
    own_position = (
        log.term_at(table, log.last_index(table)),
        log.last_index(table),
    )
    return (message.last_term, message.last_index) >= own_position


def start_pre_vote(table, now_ms):
    """Start a pre-vote, which does not increase the term of other members.

    An election follows only if a majority would grant its vote.

    :param now_ms: the present time.
    """
    table.role = models.Role.PRE_CANDIDATE
    table.leader_id = ""
    table.votes = {table.member_id}
    roles.schedule_election_retry(table, now_ms)
    if log.is_majority(table, table.votes):
        _start_election(table, now_ms, transfer=False)
        return
    _request_votes(table, table.vote.term + 1, pre_vote=True, transfer=False)


def _start_election(table, now_ms, transfer):
    table.role = models.Role.CANDIDATE
    table.leader_id = ""
    table.vote = models.Vote(table.vote.term + 1, table.member_id)
    table.vote_changed = True
    table.votes = {table.member_id}
    roles.schedule_election_retry(table, now_ms)
    if log.is_majority(table, table.votes):
        _become_leader(table, now_ms)
        return
    _request_votes(table, table.vote.term, pre_vote=False, transfer=transfer)


def _request_votes(table, term, pre_vote, transfer):
    index = log.last_index(table)
    for member in table.members:
        if member.voter and member.member_id != table.member_id:
            request = messages.VoteRequest(
                term, index, log.term_at(table, index), pre_vote, transfer
            )
            log.enqueue_message(table, member.member_id, request)


def _become_leader(table, now_ms):
    table.role = models.Role.LEADER
    table.leader_id = table.member_id
    table.transfer_started_at_ms = None
    table.confirmed_at_ms = None
    table.round_sent_at_ms.clear()
    table.progress.clear()
    table.leading_since_ms = now_ms
    table.term_start_index = log.last_index(table) + 1
    replication.track_progress(table, now_ms)
    replication.propose(table, models.NOOP_ENTRY, b"", now_ms)
