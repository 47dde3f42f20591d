"""Decisions of a control process: applying changes, freshness, joining.

The I/O layer calls :func:`receive`, the ``submit`` functions (also those of
:mod:`fescueyard.control.submissions`) and :func:`tick`, then
:func:`save_and_apply`, and only then sends what is in the outbox.
"""

import zlib

from fescueyard.configuration import messages as configuration_messages
from fescueyard.configuration import models as configuration_models
from fescueyard.configuration import replica
from fescueyard.configuration import serving
from fescueyard.configuration import state as states
from fescueyard.consensus import dispatch as consensus_dispatch
from fescueyard.consensus import lease
from fescueyard.consensus import log
from fescueyard.consensus import messages as consensus_messages
from fescueyard.consensus import models as consensus_models
from fescueyard.consensus import roles
from fescueyard.consensus import systems as consensus
from fescueyard.control import dispatch as control_dispatch
from fescueyard.control import messages
from fescueyard.control import repair
from fescueyard.control import submissions
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
from fescueyard.routing import table_sync
from fescueyard.routing import zone_relays

LOG = logs.ComponentLogger("control")

READ_TIMEOUT_MS = 1_500
FRESHNESS_INTERVAL_MS = 200
JOIN_INTERVAL_MS = 500
APPLICANT_TTL_MS = 5_000
SNAPSHOT_ENTRIES = 1_000
# Complete documents are large; the log is compacted before it fills the disk.
SNAPSHOT_LOG_BYTES = 16 * 1024 * 1024
REJOIN_WINDOW_MS = 5_000
SAVE_RETRY_INTERVAL_MS = 200


def state_age_ms(tables, now_ms):
    """Return an upper bound of the age of this process's state.

    The state contains every change that was accepted longer ago than this.

    :param tables: the process's tables.
    :param now_ms: the present time.
    :returns: age in ms; infinite when unknown.
    """
    leader_age_ms = lease.confirmation_age_ms(tables.consensus, now_ms)
    follower_age_ms = now_ms - tables.freshness.fresh_as_of_ms
    return min(leader_age_ms, follower_age_ms)


def submit_read(tables, exchange_id, now_ms):
    """Queue a read until the state has every change accepted before it.

    :param exchange_id: HTTP exchange.
    :param now_ms: the present time.
    """
    tables.pending_reads.append(
        control_tables.PendingRead(exchange_id, now_ms)
    )


def save_and_apply(tables, save, now_ms):
    """Save what is unsaved and apply what is committed, until neither is left.

    Load pattern: the disk is full or faulty and refuses writes. This member
    then promises nothing: it gives up the leadership, and its messages are
    dropped until a later call can save. The others elect another leader.

    :param tables: the process's tables.
    :param save: function that writes
        :class:`~fescueyard.consensus.models.UnsavedChanges` to disk; raises
        ``OSError`` when it can't.
    :param now_ms: the present time.
    """
    consensus_table = tables.consensus
    while True:
        if not _save(tables, save, now_ms):
            roles.step_down(consensus_table, now_ms)
            consensus_table.outbox.clear()
            apply_committed(tables, now_ms)
            return
        consensus.mark_saved(consensus_table, now_ms)
        apply_committed(tables, now_ms)
        if needs_snapshot(tables):
            take_snapshot(tables)
        if log.unsaved_changes(consensus_table) is None:
            return


def _save(tables, save, now_ms):
    """Return whether everything is saved; after a failure, wait a while."""
    unsaved = log.unsaved_changes(tables.consensus)
    if unsaved is None:
        return True
    if now_ms < tables.save_retry_due_ms:
        return False
    try:
        save(unsaved)
    except OSError as error:
        if not tables.save_failures:
            LOG.error("storage_refuses_writes", error=str(error))
        tables.save_failures += 1
        tables.save_retry_due_ms = now_ms + SAVE_RETRY_INTERVAL_MS
        return False
    if tables.save_failures:
        LOG.info("storage_accepts_writes", failures=tables.save_failures)
    tables.save_failures = 0
    return True


def apply_committed(tables, now_ms):
    """Apply committed entries and report their results.

    :param now_ms: the present time.
    """
    consensus_table = tables.consensus
    while tables.applied_index < consensus_table.commit_index:
        if tables.applied_index < consensus_table.snapshot.index:
            _restore_snapshot(tables)
            continue
        entry = log.entry_at(consensus_table, tables.applied_index + 1)
        _apply_entry(tables, entry)
        tables.applied_index = entry.index
    _update_freshness(tables)
    _complete_reads(tables, now_ms)
    if not lease.is_leader(consensus_table):
        submissions.abandon_proposals(tables)


def needs_snapshot(tables):
    """Return whether the log is large enough to be compacted.

    :returns: bool.
    """
    consensus_table = tables.consensus
    if consensus_table.saved_index < tables.applied_index:
        return False
    applied_entries = tables.applied_index - consensus_table.snapshot.index
    if applied_entries >= SNAPSHOT_ENTRIES:
        return True
    return tables.applied_bytes >= SNAPSHOT_LOG_BYTES


def take_snapshot(tables):
    """Compact the log into a snapshot of the applied state."""
    log.compact(tables.consensus, states.dump_state(tables.state))
    tables.applied_bytes = 0


def tick(tables, now_ms):
    """Perform the periodic work that is due.

    :param now_ms: the present time.
    """
    consensus_table = tables.consensus
    consensus.tick(consensus_table, now_ms)
    if lease.holds_lease(consensus_table, now_ms):
        fleet_grantor.start_term(
            tables.fleet_grantor, consensus_table.vote.term, now_ms
        )
        fleet_grantor.tick(
            tables.fleet_grantor, tables.state, tables.members, now_ms
        )
        if tables.policy.keeps_claims:
            _assign_claims(tables, now_ms)
        repair.tick(tables, now_ms)
    membership.tick(tables, now_ms)
    table_sync.tick(tables, now_ms)
    tables.events.clear()
    _request_freshness(tables, now_ms)
    _request_join(tables, now_ms)
    submissions.tick(tables, now_ms)
    for member_id in list(tables.applicants):
        applicant = tables.applicants[member_id]
        if now_ms - applicant.last_request_at_ms > APPLICANT_TTL_MS:
            del tables.applicants[member_id]


def _assign_claims(tables, now_ms):
    for change in assignment.changes_due(tables, now_ms):
        submissions.submit_change(
            tables, change, control_tables.InternalOrigin(), now_ms
        )


def receive(message, tables, peer_id, stream, now_ms):
    """Handle a message from a stream or a datagram.

    :param message: the message.
    :param tables: the process's tables.
    :param peer_id: authenticated id of the sender; empty for a datagram.
    :param stream: handle for replies; None for a datagram.
    :param now_ms: the present time.
    :raises StreamError: when the message is not for a control process.
    :raises InconsistentTablesError: when a message of the consensus protocol
        is left half handled.
    """
    control_dispatch.receive(message, tables, peer_id, stream, now_ms)


def control_addresses(tables):
    """List the control VMs' stream addresses, the leader's first.

    :returns: list of ``host:port``.
    """
    leader_id = tables.consensus.leader_id
    members = sorted(
        tables.consensus.members,
        key=lambda other: other.member_id != leader_id,
    )
    return [member.address for member in members]


@control_dispatch.receive.register
def _receive_vote_request(
    message: consensus_messages.VoteRequest, tables, peer_id, stream, now_ms
):
    consensus_table = tables.consensus
    if (
        log.find_member(consensus_table, peer_id) is None
        and consensus_table.members
    ):
        # The candidate was removed while it was unreachable, so it has not
        # received the entry that removed it.
        notice = messages.NotAMember(consensus_table.vote.term)
        tables.effects.append(effects.SendReply(stream, notice))
        return
    consensus_dispatch.receive(message, consensus_table, peer_id, now_ms)


@control_dispatch.receive.register
def _receive_not_a_member(
    message: messages.NotAMember, tables, peer_id, stream, now_ms
):
    tables.rejoin_until_ms = now_ms + REJOIN_WINDOW_MS


@control_dispatch.receive.register
def _receive_configuration_request(
    message: configuration_messages.ConfigurationRequest,
    tables,
    peer_id,
    stream,
    now_ms,
):
    response = replica.respond(
        tables.state,
        message,
        state_age_ms(tables, now_ms),
        control_addresses(tables),
    )
    response = serving.compact(
        tables.traffic.large_responses,
        response,
        message,
        dispatch.Sender(peer_id, stream),
        zone_relays.in_own_zone(tables.members, peer_id),
        now_ms,
    )
    if response is not None:
        tables.effects.append(effects.SendReply(stream, response))


@control_dispatch.receive.register
def _receive_freshness_request(
    message: messages.FreshnessRequest, tables, peer_id, stream, now_ms
):
    response = messages.FreshnessResponse(
        message.request_id,
        tables.applied_index,
        lease.confirmation_age_ms(tables.consensus, now_ms),
    )
    tables.effects.append(effects.SendReply(stream, response))


@control_dispatch.receive.register
def _receive_freshness_response(
    message: messages.FreshnessResponse, tables, peer_id, stream, now_ms
):
    sent_at_ms = tables.freshness.request_sent_at_ms.pop(
        message.request_id, None
    )
    if sent_at_ms is not None and message.age_ms >= 0:
        bound = control_tables.FreshnessBound(
            message.applied_index, sent_at_ms - message.age_ms
        )
        tables.freshness.pending_bounds.append(bound)


@control_dispatch.receive.register
def _receive_join_request(
    message: messages.JoinRequest, tables, peer_id, stream, now_ms
):
    member = message.member
    consensus_table = tables.consensus
    forwarded = log.find_member(consensus_table, peer_id) is not None
    if member.voter or not (member.member_id == peer_id or forwarded):
        return
    tables.applicants[member.member_id] = control_tables.Applicant(
        member, now_ms
    )
    leader = log.find_member(consensus_table, consensus_table.leader_id)
    if leader is None or forwarded:
        return
    if leader.member_id != consensus_table.member_id:
        tables.effects.append(effects.SendMessage(leader.address, message))


@control_dispatch.receive.register(routing_messages.Ping)
@control_dispatch.receive.register(routing_messages.Ack)
@control_dispatch.receive.register(routing_messages.PingRequest)
@control_dispatch.receive.register(routing_messages.Gossip)
@control_dispatch.receive.register(routing_messages.TableRequest)
@control_dispatch.receive.register(routing_messages.TableResponse)
def _receive_membership(message, tables, peer_id, stream, now_ms):
    sender = dispatch.Sender(peer_id, stream)
    dispatch.receive(message, tables, sender, now_ms)


@control_dispatch.receive.register
def _receive_sync_status_response(
    message: claim_messages.SyncStatusResponse, tables, peer_id, stream, now_ms
):
    assignment.record_sync_status(tables, peer_id, message.synced)


@control_dispatch.receive.register
def _receive_token_request(
    message: limit_messages.TokenRequest, tables, peer_id, stream, now_ms
):
    consensus_table = tables.consensus
    if lease.holds_lease(consensus_table, now_ms) and message.to_fleet:
        fleet_grantor.start_term(
            tables.fleet_grantor, consensus_table.vote.term, now_ms
        )
        response = fleet_grantor.handle_request(
            tables.fleet_grantor, tables.state, message, now_ms, tables.members
        )
    else:
        response = limit_messages.TokenResponse(
            message.request_id, True, False, []
        )
    tables.effects.append(effects.SendReply(stream, response))


def _restore_snapshot(tables):
    snapshot = tables.consensus.snapshot
    tables.state = states.load_state(snapshot.state)
    tables.applied_index = snapshot.index


def _apply_entry(tables, entry):
    result = submissions.change_result(codes.CHANGED)
    if entry.kind == consensus_models.CHANGE_ENTRY:
        change = wire.decode_plain(states.Change, entry.payload)
        result = states.apply_change(tables.state, change, entry.index)
        if change.kind == configuration_models.Kind.EVACUATION.value:
            LOG.info(
                "evacuation_decided",
                zone=change.name,
                evacuated=bool(change.document),
                operator=change.operator,
                index=entry.index,
                code=result.code,
                zones=states.evacuated_zones(tables.state),
            )
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
        result = submissions.change_result(codes.CHANGE_OUTCOME_UNKNOWN)
    submissions.report_result(tables, pending.origin, result)


def _update_freshness(tables):
    freshness = tables.freshness
    waiting = []
    for bound in freshness.pending_bounds:
        if bound.applied_index <= tables.applied_index:
            freshness.fresh_as_of_ms = max(
                freshness.fresh_as_of_ms, bound.fresh_as_of_ms
            )
        else:
            waiting.append(bound)
    freshness.pending_bounds = waiting[
        -control_tables.FRESHNESS_REQUESTS_MAX :
    ]


def _complete_reads(tables, now_ms):
    if not tables.pending_reads:
        return
    fresh_as_of_ms = now_ms - state_age_ms(tables, now_ms)
    waiting = []
    for read in tables.pending_reads:
        fresh = fresh_as_of_ms >= read.received_at_ms
        if fresh or now_ms - read.received_at_ms > READ_TIMEOUT_MS:
            outcome = control_tables.ReadCompleted(read.exchange_id, fresh)
            tables.outcomes.append(outcome)
        else:
            waiting.append(read)
    tables.pending_reads = waiting


def _request_freshness(tables, now_ms):
    freshness = tables.freshness
    consensus_table = tables.consensus
    if now_ms < freshness.request_due_ms or lease.is_leader(consensus_table):
        return
    leader = log.find_member(consensus_table, consensus_table.leader_id)
    if leader is None:
        return
    freshness.request_due_ms = now_ms + FRESHNESS_INTERVAL_MS
    freshness.last_request_id += 1
    freshness.request_sent_at_ms[freshness.last_request_id] = now_ms
    if (
        len(freshness.request_sent_at_ms)
        > control_tables.FRESHNESS_REQUESTS_MAX
    ):
        del freshness.request_sent_at_ms[min(freshness.request_sent_at_ms)]
    tables.effects.append(
        effects.SendMessage(
            leader.address,
            messages.FreshnessRequest(freshness.last_request_id),
        )
    )


def _request_join(tables, now_ms):
    consensus_table = tables.consensus
    if now_ms < tables.join_due_ms:
        return
    tables.join_due_ms = now_ms + JOIN_INTERVAL_MS
    member = log.find_member(consensus_table, consensus_table.member_id)
    if member is not None and now_ms >= tables.rejoin_until_ms:
        return
    member_addresses = [other.address for other in consensus_table.members]
    for address in dict.fromkeys(tables.control_addresses + member_addresses):
        if address != tables.own_member.address:
            tables.effects.append(
                effects.SendMessage(
                    address, messages.JoinRequest(tables.own_member)
                )
            )
