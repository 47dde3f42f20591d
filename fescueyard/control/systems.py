"""Decisions of a control process: changes, freshness, joining.

The edge calls :func:`receive`, the ``submit`` functions and :func:`tick`,
saves what the consensus table wants saved, and then calls :func:`settle`.
"""

import functools
import zlib

from fescueyard.configuration import messages as configuration_messages
from fescueyard.configuration import replica
from fescueyard.configuration import state as states
from fescueyard.consensus import dispatch as consensus_dispatch
from fescueyard.consensus import lease
from fescueyard.consensus import log
from fescueyard.consensus import messages as consensus_messages
from fescueyard.consensus import models as consensus_models
from fescueyard.consensus import replication
from fescueyard.consensus import systems as consensus
from fescueyard.control import messages
from fescueyard.control import repair
from fescueyard.control import tables as control_tables
from fescueyard.core import codes
from fescueyard.core import dispatch
from fescueyard.core import effects
from fescueyard.core import logs
from fescueyard.core import wire
from fescueyard.idempotency import assignment
from fescueyard.idempotency import messages as claim_messages
from fescueyard.limits import fleet_grantor
from fescueyard.limits import messages as limit_messages
from fescueyard.routing import membership
from fescueyard.routing import messages as routing_messages

LOG = logs.PartLogger("control")

CHANGE_TIMEOUT_MS = 3_000
READ_TIMEOUT_MS = 1_500
FRESHNESS_INTERVAL_MS = 200
JOIN_INTERVAL_MS = 500
APPLICANT_TTL_MS = 5_000
ZLIB_LEVEL = 1
SNAPSHOT_ENTRIES = 1_000
# Whole documents are large; the log is compacted before it fills the disk.
SNAPSHOT_LOG_BYTES = 16 * 1024 * 1024
REMOVED_MS = 5_000


def age_ms(tables, now_ms):
    """Say how old this process's state may be.

    :param tables: the process's tables.
    :param now_ms: the present time.
    :returns: age in ms; infinite when nothing is known.
    """
    leader_age_ms = lease.confirmation_age_ms(tables.consensus, now_ms)
    follower_age_ms = now_ms - tables.freshness.fresh_as_of_ms
    return min(leader_age_ms, follower_age_ms)


def submit_change(tables, change, origin, now_ms):
    """Take an operator's change to the leader.

    :param change: :class:`~fescueyard.configuration.state.Change`.
    :param origin: where the result goes.
    :param now_ms: the present time.
    """
    payload = wire.encode_plain(change)
    index = replication.propose(
        tables.consensus, consensus_models.CHANGE_ENTRY, payload, now_ms
    )
    if index is not None:
        _await_entry(tables, index, origin, now_ms)
        return
    _forward(
        tables,
        lambda ask_id: messages.ChangeAsk(ask_id, change),
        origin,
        now_ms,
    )


def submit_document(tables, change, origin, now_ms):
    """Take a whole document to the leader.

    :param change: :class:`~fescueyard.configuration.state.DocumentChange`.
    :param origin: where the result goes.
    :param now_ms: the present time.
    """
    payload = zlib.compress(wire.encode_plain(change), ZLIB_LEVEL)
    index = replication.propose(
        tables.consensus, consensus_models.DOCUMENT_ENTRY, payload, now_ms
    )
    if index is not None:
        _await_entry(tables, index, origin, now_ms)
        return
    _forward(
        tables,
        lambda ask_id: messages.DocumentAsk(ask_id, change),
        origin,
        now_ms,
    )


def submit_members_change(tables, member_id, add, origin, now_ms):
    """Take a change of the control members to the leader.

    :param member_id: the member.
    :param add: whether to add or to remove it.
    :param origin: where the result goes.
    :param now_ms: the present time.
    """
    agreement = tables.consensus
    if not lease.is_leader(agreement):
        _forward(
            tables,
            lambda ask_id: messages.MembersAsk(ask_id, member_id, add),
            origin,
            now_ms,
        )
        return
    known = log.find_member(agreement, member_id)
    if (known is not None) == add:
        _tell(tables, origin, _result(codes.CHANGED))
        return
    if add:
        applicant = tables.applicants.get(member_id)
        if applicant is None:
            _tell(tables, origin, _result(codes.UNKNOWN_OBJECT))
            return
        members = agreement.members + [applicant.member]
    else:
        members = [row for row in agreement.members if row is not known]
        if not any(row.voter for row in members):
            detail = "the last voter can't be removed"
            _tell(tables, origin, _result(codes.BAD_CHANGE, detail))
            return
    index = replication.propose_members(agreement, members, now_ms)
    if index is None:
        _tell(tables, origin, _result(codes.MEMBERS_BUSY))
        return
    _await_entry(tables, index, origin, now_ms)


def submit_read(tables, exchange_id, now_ms):
    """Have a read answered once the state is as fresh as its question.

    :param exchange_id: HTTP exchange.
    :param now_ms: the present time.
    """
    tables.pending_reads.append(
        control_tables.PendingRead(exchange_id, now_ms)
    )


def settle(tables, now_ms):
    """Apply what is committed and report the results.

    :param now_ms: the present time.
    """
    agreement = tables.consensus
    while tables.applied_index < agreement.commit_index:
        if tables.applied_index < agreement.snapshot.index:
            _restore_snapshot(tables)
            continue
        entry = log.entry_at(agreement, tables.applied_index + 1)
        _apply_entry(tables, entry)
        tables.applied_index = entry.index
    _settle_freshness(tables)
    _settle_reads(tables, now_ms)
    if not lease.is_leader(agreement):
        # Whether these were committed is not known here any more.
        for index in list(tables.pending_proposals):
            pending = tables.pending_proposals.pop(index)
            _tell(tables, pending.origin, _result(codes.CHANGE_UNKNOWN))


def wants_snapshot(tables):
    """Say whether the log has grown enough to be compacted.

    :returns: bool.
    """
    agreement = tables.consensus
    if agreement.saved_index < tables.applied_index:
        return False
    applied = tables.applied_index - agreement.snapshot.index
    if applied >= SNAPSHOT_ENTRIES:
        return True
    return tables.applied_bytes >= SNAPSHOT_LOG_BYTES


def take_snapshot(tables):
    """Compact the log into a snapshot of the applied state."""
    log.compact(tables.consensus, states.dump_state(tables.state))
    tables.applied_bytes = 0


def tick(tables, now_ms):
    """Run what is due.

    :param now_ms: the present time.
    """
    agreement = tables.consensus
    consensus.tick(agreement, now_ms)
    if lease.holds_lease(agreement, now_ms):
        fleet_grantor.start_term(tables.fleet, agreement.vote.term, now_ms)
        fleet_grantor.tick(tables.fleet, tables.state, tables.members, now_ms)
        if tables.policy.keeps_claims:
            _assign_claims(tables, now_ms)
        repair.tick(tables, now_ms)
    membership.tick(tables, now_ms)
    tables.events.clear()
    _ask_freshness(tables, now_ms)
    _ask_to_join(tables, now_ms)
    _give_up(tables, tables.pending_proposals, now_ms)
    _give_up(tables, tables.pending_asks, now_ms)
    for member_id in list(tables.applicants):
        applicant = tables.applicants[member_id]
        if now_ms - applicant.heard_at_ms > APPLICANT_TTL_MS:
            del tables.applicants[member_id]


def _assign_claims(tables, now_ms):
    for change in assignment.changes_due(tables, now_ms):
        submit_change(tables, change, control_tables.InternalOrigin(), now_ms)


def control_addresses(tables):
    """List the control VMs' stream addresses, the leader's first.

    :returns: list of ``host:port``.
    """
    leader_id = tables.consensus.leader_id
    members = sorted(
        tables.consensus.members, key=lambda row: row.member_id != leader_id
    )
    return [member.address for member in members]


@functools.singledispatch
def receive(message, tables, peer_id, stream, now_ms):
    """Take in a message from a stream.

    :param message: the message.
    :param tables: the process's tables.
    :param peer_id: authenticated id of the sender.
    :param stream: handle for replies.
    :param now_ms: the present time.
    """
    consensus_dispatch.receive(message, tables.consensus, peer_id, now_ms)


@receive.register
def _receive_vote_request(
    message: consensus_messages.VoteRequest, tables, peer_id, stream, now_ms
):
    agreement = tables.consensus
    if log.find_member(agreement, peer_id) is None and agreement.members:
        # It was removed while it could not hear of it.
        told = messages.NotAMember(agreement.vote.term)
        tables.effects.append(effects.SendReply(stream, told))
        return
    consensus_dispatch.receive(message, agreement, peer_id, now_ms)


@receive.register
def _receive_not_a_member(
    message: messages.NotAMember, tables, peer_id, stream, now_ms
):
    tables.removed_until_ms = now_ms + REMOVED_MS


@receive.register
def _receive_configuration_ask(
    message: configuration_messages.ConfigurationRequest,
    tables,
    peer_id,
    stream,
    now_ms,
):
    answer = replica.respond(
        tables.state,
        message,
        age_ms(tables, now_ms),
        control_addresses(tables),
    )
    if answer is not None:
        tables.effects.append(effects.SendReply(stream, answer))


@receive.register
def _receive_freshness_ask(
    message: messages.FreshnessAsk, tables, peer_id, stream, now_ms
):
    answer = messages.FreshnessAnswer(
        message.question_id,
        tables.applied_index,
        lease.confirmation_age_ms(tables.consensus, now_ms),
    )
    tables.effects.append(effects.SendReply(stream, answer))


@receive.register
def _receive_freshness_answer(
    message: messages.FreshnessAnswer, tables, peer_id, stream, now_ms
):
    asked_at_ms = tables.freshness.asked_at_ms.pop(message.question_id, None)
    if asked_at_ms is not None and message.age_ms >= 0:
        claim = control_tables.FreshnessClaim(
            message.applied_index, asked_at_ms - message.age_ms
        )
        tables.freshness.waiting.append(claim)


@receive.register
def _receive_join_ask(
    message: messages.JoinAsk, tables, peer_id, stream, now_ms
):
    member = message.member
    agreement = tables.consensus
    passed_on = log.find_member(agreement, peer_id) is not None
    if member.voter or not (member.member_id == peer_id or passed_on):
        return
    tables.applicants[member.member_id] = control_tables.Applicant(
        member, now_ms
    )
    leader = log.find_member(agreement, agreement.leader_id)
    if leader is None or passed_on:
        return
    if leader.member_id != agreement.member_id:
        tables.effects.append(effects.SendMessage(leader.address, message))


@receive.register
def _receive_change_ask(
    message: messages.ChangeAsk, tables, peer_id, stream, now_ms
):
    origin = control_tables.RemoteOrigin(stream, message.ask_id)
    if not lease.is_leader(tables.consensus):
        _tell(tables, origin, _result(codes.NO_LEADER))
        return
    submit_change(tables, message.change, origin, now_ms)


@receive.register
def _receive_document_ask(
    message: messages.DocumentAsk, tables, peer_id, stream, now_ms
):
    origin = control_tables.RemoteOrigin(stream, message.ask_id)
    if not lease.is_leader(tables.consensus):
        _tell(tables, origin, _result(codes.NO_LEADER))
        return
    submit_document(tables, message.change, origin, now_ms)


@receive.register
def _receive_members_ask(
    message: messages.MembersAsk, tables, peer_id, stream, now_ms
):
    origin = control_tables.RemoteOrigin(stream, message.ask_id)
    if not lease.is_leader(tables.consensus):
        _tell(tables, origin, _result(codes.NO_LEADER))
        return
    submit_members_change(
        tables, message.member_id, message.add, origin, now_ms
    )


@receive.register
def _receive_change_answer(
    message: messages.ChangeAnswer, tables, peer_id, stream, now_ms
):
    pending = tables.pending_asks.pop(message.ask_id, None)
    if pending is not None:
        _tell(tables, pending.origin, message.result)


@receive.register(routing_messages.Ping)
@receive.register(routing_messages.Ack)
@receive.register(routing_messages.PingRequest)
@receive.register(routing_messages.Gossip)
@receive.register(routing_messages.TableRequest)
@receive.register(routing_messages.TableResponse)
def _receive_membership(message, tables, peer_id, stream, now_ms):
    sender = dispatch.Sender(peer_id, stream)
    dispatch.receive(message, tables, sender, now_ms)


@receive.register
def _receive_claim_status(
    message: claim_messages.SyncStatusResponse, tables, peer_id, stream, now_ms
):
    assignment.record_sync_status(tables, peer_id, message.synced)


@receive.register
def _receive_token_ask(
    message: limit_messages.TokenRequest, tables, peer_id, stream, now_ms
):
    agreement = tables.consensus
    if lease.holds_lease(agreement, now_ms) and message.to_fleet:
        fleet_grantor.start_term(tables.fleet, agreement.vote.term, now_ms)
        answer = fleet_grantor.handle_request(
            tables.fleet, tables.state, message, now_ms, tables.members
        )
    else:
        answer = limit_messages.TokenResponse(
            message.request_id, True, False, []
        )
    tables.effects.append(effects.SendReply(stream, answer))


def _await_entry(tables, index, origin, now_ms):
    tables.pending_proposals[index] = control_tables.PendingChange(
        origin, now_ms + CHANGE_TIMEOUT_MS, tables.consensus.vote.term
    )


def _forward(tables, make_message, origin, now_ms):
    leader = log.find_member(tables.consensus, tables.consensus.leader_id)
    if leader is None or leader.member_id == tables.consensus.member_id:
        _tell(tables, origin, _result(codes.NO_LEADER))
        return
    tables.last_ask_id += 1
    ask_id = tables.last_ask_id
    tables.pending_asks[ask_id] = control_tables.PendingChange(
        origin, now_ms + CHANGE_TIMEOUT_MS
    )
    tables.effects.append(
        effects.SendMessage(leader.address, make_message(ask_id))
    )


def _result(code, detail=""):
    if code is codes.CHANGED:
        return states.ChangeResult(code.number, 0, "")
    return states.ChangeResult(code.number, 0, detail or code.title)


@functools.singledispatch
def _deliver(origin, tables, result):
    raise TypeError(f"unknown origin: {origin!r}")


@_deliver.register
def _deliver_local(origin: control_tables.LocalOrigin, tables, result):
    tables.outcomes.append(control_tables.Settled(origin.exchange_id, result))


@_deliver.register
def _deliver_internal(origin: control_tables.InternalOrigin, tables, result):
    """Leave it: what is still due is found again."""


@_deliver.register
def _deliver_remote(origin: control_tables.RemoteOrigin, tables, result):
    answer = messages.ChangeAnswer(origin.ask_id, result)
    tables.effects.append(effects.SendReply(origin.stream, answer))


def _tell(tables, origin, result):
    _deliver(origin, tables, result)


def _restore_snapshot(tables):
    snapshot = tables.consensus.snapshot
    tables.state = states.load_state(snapshot.state)
    tables.applied_index = snapshot.index


def _apply_entry(tables, entry):
    result = _result(codes.CHANGED)
    if entry.kind == consensus_models.CHANGE_ENTRY:
        change = wire.decode_plain(states.Change, entry.payload)
        result = states.apply_change(tables.state, change, entry.index)
    elif entry.kind == consensus_models.DOCUMENT_ENTRY:
        change = wire.decode_plain(
            states.DocumentChange, zlib.decompress(entry.payload)
        )
        result = states.apply_document(tables.state, change, entry.index)
        LOG.info(
            "document_decided",
            number=change.number,
            base=change.base_number,
            index=entry.index,
            code=result.code,
            in_force=tables.state.applied_document.number,
        )
    tables.applied_bytes += len(entry.payload)
    pending = tables.pending_proposals.pop(entry.index, None)
    if pending is None:
        return
    if pending.term != entry.term:
        result = _result(codes.CHANGE_UNKNOWN)
    _tell(tables, pending.origin, result)


def _settle_freshness(tables):
    freshness = tables.freshness
    waiting = []
    for claim in freshness.waiting:
        if claim.applied_index <= tables.applied_index:
            freshness.fresh_as_of_ms = max(
                freshness.fresh_as_of_ms, claim.fresh_as_of_ms
            )
        else:
            waiting.append(claim)
    freshness.waiting = waiting[-control_tables.QUESTIONS_MAX :]


def _settle_reads(tables, now_ms):
    if not tables.pending_reads:
        return
    fresh_as_of_ms = now_ms - age_ms(tables, now_ms)
    waiting = []
    for read in tables.pending_reads:
        fresh = fresh_as_of_ms >= read.asked_at_ms
        if fresh or now_ms - read.asked_at_ms > READ_TIMEOUT_MS:
            ready = control_tables.ReadReady(read.exchange_id, fresh)
            tables.outcomes.append(ready)
        else:
            waiting.append(read)
    tables.pending_reads = waiting


def _ask_freshness(tables, now_ms):
    freshness = tables.freshness
    agreement = tables.consensus
    if now_ms < freshness.ask_due_ms or lease.is_leader(agreement):
        return
    leader = log.find_member(agreement, agreement.leader_id)
    if leader is None:
        return
    freshness.ask_due_ms = now_ms + FRESHNESS_INTERVAL_MS
    freshness.last_question_id += 1
    freshness.asked_at_ms[freshness.last_question_id] = now_ms
    if len(freshness.asked_at_ms) > control_tables.QUESTIONS_MAX:
        del freshness.asked_at_ms[min(freshness.asked_at_ms)]
    tables.effects.append(
        effects.SendMessage(
            leader.address, messages.FreshnessAsk(freshness.last_question_id)
        )
    )


def _ask_to_join(tables, now_ms):
    agreement = tables.consensus
    if now_ms < tables.join_due_ms:
        return
    tables.join_due_ms = now_ms + JOIN_INTERVAL_MS
    member = log.find_member(agreement, agreement.member_id)
    if member is not None and now_ms >= tables.removed_until_ms:
        return
    known = [row.address for row in agreement.members]
    for address in dict.fromkeys(tables.control_addresses + known):
        if address != tables.own.address:
            tables.effects.append(
                effects.SendMessage(address, messages.JoinAsk(tables.own))
            )


def _give_up(tables, pending_by_id, now_ms):
    for key in list(pending_by_id):
        pending = pending_by_id[key]
        if now_ms >= pending.give_up_at_ms:
            del pending_by_id[key]
            _tell(tables, pending.origin, _result(codes.CHANGE_UNKNOWN))
