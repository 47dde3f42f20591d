"""Changes on their way: submitted, forwarded to the leader, reported.

A change is proposed by the leader. Any other member forwards it there, and
reports the result to whoever submitted it.
"""

import functools
import zlib

from fescueyard.configuration import models as configuration_models
from fescueyard.configuration import state as states
from fescueyard.consensus import lease
from fescueyard.consensus import log
from fescueyard.consensus import models as consensus_models
from fescueyard.consensus import replication
from fescueyard.control import dispatch
from fescueyard.control import messages
from fescueyard.control import tables as control_tables
from fescueyard.core import codes
from fescueyard.core import effects
from fescueyard.core import wire

CHANGE_TIMEOUT_MS = 3_000
ZLIB_LEVEL = 1
_IDEMPOTENT_KINDS = frozenset({configuration_models.Kind.EVACUATION.value})


def submit_change(tables, change, origin, now_ms):
    """Propose an operator's change, or forward it to the leader.

    :param change: :class:`~fescueyard.configuration.state.Change`.
    :param origin: where the result is reported.
    :param now_ms: the present time.
    """
    payload = wire.encode_plain(change)
    index = replication.propose(
        tables.consensus, consensus_models.CHANGE_ENTRY, payload, now_ms
    )
    if index is not None:
        _add_pending_proposal(tables, index, origin, now_ms)
        return
    _forward(
        tables,
        lambda request_id: messages.ChangeRequest(request_id, change),
        origin,
        now_ms,
        change if change.kind in _IDEMPOTENT_KINDS else None,
    )


def submit_document(tables, change, origin, now_ms):
    """Propose a complete document, or forward it to the leader.

    :param change: :class:`~fescueyard.configuration.state.DocumentChange`.
    :param origin: where the result is reported.
    :param now_ms: the present time.
    """
    payload = zlib.compress(wire.encode_plain(change), ZLIB_LEVEL)
    index = replication.propose(
        tables.consensus, consensus_models.DOCUMENT_ENTRY, payload, now_ms
    )
    if index is not None:
        _add_pending_proposal(tables, index, origin, now_ms)
        return
    _forward(
        tables,
        lambda request_id: messages.DocumentChangeRequest(request_id, change),
        origin,
        now_ms,
    )


def submit_members_change(tables, member_id, add, origin, now_ms):
    """Propose a change of the control members, or forward it to the leader.

    :param member_id: the member.
    :param add: whether to add or to remove it.
    :param origin: where the result is reported.
    :param now_ms: the present time.
    """
    consensus_table = tables.consensus
    if not lease.is_leader(consensus_table):
        _forward(
            tables,
            lambda request_id: messages.MembersChangeRequest(
                request_id, member_id, add
            ),
            origin,
            now_ms,
        )
        return
    member = log.find_member(consensus_table, member_id)
    if (member is not None) == add:
        report_result(tables, origin, change_result(codes.CHANGED))
        return
    if add:
        applicant = tables.applicants.get(member_id)
        if applicant is None:
            report_result(tables, origin, change_result(codes.UNKNOWN_OBJECT))
            return
        members = consensus_table.members + [applicant.member]
    else:
        members = [
            other for other in consensus_table.members if other is not member
        ]
        if not any(other.voter for other in members):
            detail = "the last voter can't be removed"
            report_result(
                tables, origin, change_result(codes.BAD_CHANGE, detail)
            )
            return
    index = replication.propose_members(consensus_table, members, now_ms)
    if index is None:
        report_result(tables, origin, change_result(codes.MEMBERS_BUSY))
        return
    _add_pending_proposal(tables, index, origin, now_ms)


def tick(tables, now_ms):
    """Report the changes that have waited too long as of unknown outcome.

    Idempotent changes are submitted again once another member leads, as the
    member that they were forwarded to may be down.

    :param tables: the process's tables.
    :param now_ms: the present time.
    """
    _forward_again(tables, now_ms)
    _expire_pending(tables, tables.pending_proposals, now_ms)
    _expire_pending(tables, tables.forwarded_changes, now_ms)


def abandon_proposals(tables):
    """Report proposed changes after the leadership was lost.

    This process can't tell any more whether they commit.

    :param tables: the process's tables.
    """
    for index in list(tables.pending_proposals):
        pending = tables.pending_proposals.pop(index)
        report_result(
            tables,
            pending.origin,
            change_result(codes.CHANGE_OUTCOME_UNKNOWN),
        )


def change_result(code, detail=""):
    """Build the result of a change that was not applied.

    :param code: :class:`~fescueyard.core.codes.ResultCode`.
    :param detail: one sentence; defaults to the title of the code.
    :returns: :class:`~fescueyard.configuration.state.ChangeResult`.
    """
    if code is codes.CHANGED:
        return states.ChangeResult(code.number, 0, "")
    return states.ChangeResult(code.number, 0, detail or code.title)


def report_result(tables, origin, result):
    """Report the result of a change to whoever submitted it.

    :param tables: the process's tables.
    :param origin: where the change came from.
    :param result: :class:`~fescueyard.configuration.state.ChangeResult`.
    """
    _deliver(origin, tables, result)


@dispatch.receive.register
def _receive_change_request(
    message: messages.ChangeRequest, tables, peer_id, stream, now_ms
):
    origin = _forwarded_origin(tables, stream, message.request_id)
    if origin is not None:
        submit_change(tables, message.change, origin, now_ms)


@dispatch.receive.register
def _receive_document_request(
    message: messages.DocumentChangeRequest, tables, peer_id, stream, now_ms
):
    origin = _forwarded_origin(tables, stream, message.request_id)
    if origin is not None:
        submit_document(tables, message.change, origin, now_ms)


@dispatch.receive.register
def _receive_members_request(
    message: messages.MembersChangeRequest, tables, peer_id, stream, now_ms
):
    origin = _forwarded_origin(tables, stream, message.request_id)
    if origin is not None:
        submit_members_change(
            tables, message.member_id, message.add, origin, now_ms
        )


@dispatch.receive.register
def _receive_change_response(
    message: messages.ChangeResponse, tables, peer_id, stream, now_ms
):
    pending = tables.forwarded_changes.pop(message.request_id, None)
    if pending is not None:
        report_result(tables, pending.origin, message.result)


def _forwarded_origin(tables, stream, request_id):
    """Return the origin of a change that another member has forwarded.

    None without the leadership, which is reported: forwarding the change once
    more could go in a circle.
    """
    origin = control_tables.RemoteOrigin(stream, request_id)
    if lease.is_leader(tables.consensus):
        return origin
    report_result(tables, origin, change_result(codes.NO_LEADER))
    return None


def _add_pending_proposal(tables, index, origin, now_ms):
    tables.pending_proposals[index] = control_tables.PendingChange(
        origin, now_ms + CHANGE_TIMEOUT_MS, tables.consensus.vote.term
    )


def _forward(tables, make_message, origin, now_ms, idempotent_change=None):
    leader = log.find_member(tables.consensus, tables.consensus.leader_id)
    if leader is None or leader.member_id == tables.consensus.member_id:
        report_result(tables, origin, change_result(codes.NO_LEADER))
        return
    tables.last_request_id += 1
    request_id = tables.last_request_id
    tables.forwarded_changes[request_id] = control_tables.PendingChange(
        origin,
        now_ms + CHANGE_TIMEOUT_MS,
        change=idempotent_change,
        leader_id=leader.member_id,
    )
    tables.effects.append(
        effects.SendMessage(leader.address, make_message(request_id))
    )


@functools.singledispatch
def _deliver(origin, tables, result):
    raise TypeError(f"unknown origin: {origin!r}")


@_deliver.register
def _deliver_local(origin: control_tables.LocalOrigin, tables, result):
    tables.outcomes.append(
        control_tables.ChangeCompleted(origin.exchange_id, result)
    )


@_deliver.register
def _deliver_internal(origin: control_tables.InternalOrigin, tables, result):
    """Discard the result; changes still due are proposed again."""


@_deliver.register
def _deliver_remote(origin: control_tables.RemoteOrigin, tables, result):
    response = messages.ChangeResponse(origin.request_id, result)
    tables.effects.append(effects.SendReply(origin.stream, response))


def _forward_again(tables, now_ms):
    leader_id = tables.consensus.leader_id
    for request_id, pending in list(tables.forwarded_changes.items()):
        if pending.change is None or leader_id in ("", pending.leader_id):
            continue
        del tables.forwarded_changes[request_id]
        submit_change(tables, pending.change, pending.origin, now_ms)


def _expire_pending(tables, pending_changes, now_ms):
    for change_key in list(pending_changes):
        pending = pending_changes[change_key]
        if now_ms >= pending.timeout_at_ms:
            del pending_changes[change_key]
            report_result(
                tables,
                pending.origin,
                change_result(codes.CHANGE_OUTCOME_UNKNOWN),
            )
