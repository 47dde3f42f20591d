"""The node side of claims: a non-idempotent request runs at most once.

Before a request with an idempotency key is forwarded, a majority of its claim
group grants the claim. A resent request conflicts with the claim: it gets the
stored response, or the result that the first request is still in progress or
ended with an unknown outcome.
"""

import dataclasses
import hashlib

from fescueyard.configuration import models as configuration_models
from fescueyard.core import codes
from fescueyard.core import dispatch
from fescueyard.core import dumps
from fescueyard.core import effects
from fescueyard.core import http
from fescueyard.core import logs
from fescueyard.core import timers
from fescueyard.idempotency import messages
from fescueyard.idempotency import models
from fescueyard.idempotency import replica

LOG = logs.ComponentLogger("claims")

UNREACHABLE = "unreachable"

CLAIM_TIMEOUT_MS = 400
# While a replica is replaced, the others refuse requests until the requesting
# node and a majority of the group have the same configuration.
CLAIM_WAIT_MAX_MS = 1_200
CLAIM_RETRY_INTERVAL_MS = 50


@dataclasses.dataclass(slots=True)
class ClaimDecided:
    """Event: a call may run, gets a stored response or is rejected.

    :param code: ``OK`` to run, ``REPLAYED`` with a stored response, or the
        code of the rejection.
    :param stored_response: the response to replay, or None.
    """

    call_id: int
    code: codes.ResultCode
    stored_response: http.HttpResponse | None = dataclasses.field(
        metadata=dumps.written_as("kept")
    )


@dataclasses.dataclass(slots=True)
class ClaimTimedOut:
    """Event: the time for replicas to respond to a claim request is over."""

    request_id: int = dataclasses.field(metadata=dumps.written_as("ask_id"))


@dataclasses.dataclass(slots=True)
class ClaimRetryDue:
    """Event: a claim that reachable replicas refused is requested again."""

    call_id: int


def acquire(tables, call, now_ms):
    """Request the claim of a call; a :class:`ClaimDecided` event follows.

    :param tables: the node's tables.
    :param call: the call, with its idempotency key.
    :param now_ms: the present time.
    """
    wait_until_ms = min(now_ms + CLAIM_WAIT_MAX_MS, call.deadline_at_ms)
    _request_claim(tables, call, wait_until_ms, now_ms)


def _request_claim(tables, call, wait_until_ms, now_ms):
    claim_id = _claim_id(call)
    group_number = (
        int.from_bytes(claim_id[:4], "big") % models.CLAIM_GROUP_COUNT
    )
    state = tables.configuration.state
    kind = configuration_models.Kind.CLAIM_GROUP
    group = state.find(kind, str(group_number))
    if group is None:
        LOG.decision(
            "claim_group_unknown",
            request=call.request_id,
            call=call.call_id,
            group=group_number,
            version=state.version,
        )
        tables.events.append(
            ClaimDecided(call.call_id, codes.CLAIM_UNAVAILABLE, None)
        )
        return
    table = tables.claims
    table.last_request_id += 1
    request = messages.ClaimRequest(
        table.last_request_id,
        group_number,
        state.version_of(kind, str(group_number)),
        claim_id,
        call.fingerprint,
        # A late release of an earlier request doesn't release this one.
        f"{tables.process_id}/{call.call_id}/{table.last_request_id}",
        call.deadline_at_ms - now_ms,
        tables.profile_of(call.service).claim_retention_ms,
    )
    pending = models.PendingClaim(
        call.call_id, request, list(group.replicas), wait_until_ms
    )
    table.pending[request.request_id] = pending
    timers.schedule(
        tables.timers,
        now_ms + CLAIM_TIMEOUT_MS,
        ClaimTimedOut(request.request_id),
    )
    for node_id in pending.replicas:
        _send_request(tables, pending, node_id, now_ms)
    _decide_if_possible(
        tables, request.request_id, timed_out=False, now_ms=now_ms
    )


def complete(tables, call_id, code, response, now_ms):
    """Report to the replicas how a call that holds a claim ended.

    Does nothing for a call that holds no claim.

    :param tables: the node's tables.
    :param call_id: the call.
    :param code: result code of the call.
    :param response: the backend server's response, or None.
    :param now_ms: the present time.
    """
    held = tables.claims.held.pop(call_id, None)
    if held is None:
        return
    stored_response = None
    if code.outcome is codes.Outcome.NOT_RUN:
        state = models.RELEASED
    elif response is None:
        state = models.UNKNOWN
    else:
        state = models.FINISHED
        stored_response = messages.StoredResponse(response)
        if len(response.body) > models.STORED_RESPONSE_BYTES_MAX:
            stored_response = messages.StoredResponse(None)
    _send_outcome(
        tables, held.request, held.replicas, state, stored_response, now_ms
    )


def abandon(tables, call_id, now_ms):
    """Cancel the claim request of a call that ended before the decision.

    :param tables: the node's tables.
    :param call_id: the call.
    :param now_ms: the present time.
    """
    tables.claims.waiting.pop(call_id, None)
    for request_id, pending in list(tables.claims.pending.items()):
        if pending.call_id == call_id:
            del tables.claims.pending[request_id]
            _release(tables, pending, now_ms)


@dispatch.receive.register
def _receive_claim_response(
    message: messages.ClaimResponse, tables, sender, now_ms
):
    _record_response(tables, message, sender.peer_id)
    _decide_if_possible(
        tables, message.request_id, timed_out=False, now_ms=now_ms
    )


@dispatch.handle_unsent.register
def _handle_unsent_request(
    message: messages.ClaimRequest, tables, address, now_ms
):
    node_id = tables.members.by_address.get(address, address)
    response = messages.ClaimResponse(message.request_id, UNREACHABLE, None)
    _record_response(tables, response, node_id)
    _decide_if_possible(
        tables, message.request_id, timed_out=False, now_ms=now_ms
    )


@dispatch.handle.register
def _handle_timeout(event: ClaimTimedOut, tables, now_ms):
    _decide_if_possible(
        tables, event.request_id, timed_out=True, now_ms=now_ms
    )


@dispatch.handle.register
def _handle_retry(event: ClaimRetryDue, tables, now_ms):
    wait_until_ms = tables.claims.waiting.pop(event.call_id, None)
    if wait_until_ms is not None:
        call = tables.calls.rows[event.call_id]
        _request_claim(tables, call, wait_until_ms, now_ms)


def _claim_id(call):
    digest = hashlib.blake2b(digest_size=16)
    for part in (call.customer, call.service, call.idempotency_key):
        digest.update(part.encode() + b"\0")
    return digest.digest()


def _send_request(tables, pending, node_id, now_ms):
    if node_id == tables.members.own.node_id:
        response = replica.decide_claim(tables, pending.request, now_ms)
        _record_response(tables, response, node_id)
        return
    member = tables.members.rows.get(node_id)
    if member is None:
        pending.states_by_replica[node_id] = UNREACHABLE
        return
    tables.effects.append(effects.SendMessage(member.address, pending.request))


def _record_response(tables, response, node_id):
    pending = tables.claims.pending.get(response.request_id)
    if pending is None or node_id not in pending.replicas:
        return
    pending.states_by_replica[node_id] = response.state
    if response.state == models.FINISHED:
        pending.stored_response = response.stored_response


def _decide_if_possible(tables, request_id, timed_out, now_ms):
    """Decide the claim as soon as the replicas' responses allow it."""
    table = tables.claims
    pending = table.pending.get(request_id)
    if pending is None:
        return
    states = list(pending.states_by_replica.values())
    granted = states.count(replica.GRANTED)
    majority = len(pending.replicas) // 2 + 1
    outstanding = 0 if timed_out else len(pending.replicas) - len(states)
    final_states = {models.FINISHED, replica.MISMATCH} & set(states)
    if granted >= majority:
        del table.pending[request_id]
        table.held[pending.call_id] = models.HeldClaim(
            pending.request, pending.replicas
        )
        _decide(tables, pending, codes.OK)
    elif final_states or granted + outstanding < majority:
        del table.pending[request_id]
        _release(tables, pending, now_ms)
        if _is_worth_waiting(pending, outstanding, now_ms):
            _wait(tables, pending, now_ms)
        else:
            _reject(tables, pending)


def _is_worth_waiting(pending, outstanding, now_ms):
    """Return whether a later request may get the claim.

    That is so while a majority of the replicas is reachable and none of them
    knows another claim on the key.
    """
    states = list(pending.states_by_replica.values())
    known_states = {replica.REFUSED, replica.GRANTED, UNREACHABLE}
    reachable = len(states) - states.count(UNREACHABLE) + outstanding
    return (
        known_states.issuperset(states)
        and reachable * 2 > len(pending.replicas)
        and now_ms + CLAIM_RETRY_INTERVAL_MS < pending.wait_until_ms
    )


def _wait(tables, pending, now_ms):
    tables.claims.waiting[pending.call_id] = pending.wait_until_ms
    timers.schedule(
        tables.timers,
        now_ms + CLAIM_RETRY_INTERVAL_MS,
        ClaimRetryDue(pending.call_id),
    )


def _reject(tables, pending):
    states = list(pending.states_by_replica.values())
    if models.FINISHED in states:
        response = (
            pending.stored_response.response
            if pending.stored_response is not None
            else None
        )
        code = (
            codes.REPLAYED if response is not None else codes.ANSWER_NOT_KEPT
        )
        _decide(tables, pending, code, response)
    elif replica.MISMATCH in states:
        _decide(tables, pending, codes.IDEMPOTENCY_KEY_REUSED)
    elif models.UNKNOWN in states:
        _decide(tables, pending, codes.OUTCOME_UNKNOWN)
    elif models.TAKEN in states:
        _decide(tables, pending, codes.IN_PROGRESS)
    else:
        _decide(tables, pending, codes.CLAIM_UNAVAILABLE)


def _release(tables, pending, now_ms):
    """Release the claim at every replica, also where a grant is in flight."""
    _send_outcome(
        tables,
        pending.request,
        pending.replicas,
        models.RELEASED,
        None,
        now_ms,
    )


def _send_outcome(tables, request, replicas, state, stored_response, now_ms):
    outcome = messages.ClaimOutcome(
        request.group,
        request.claim_id,
        request.fingerprint,
        request.holder,
        state,
        request.retention_ms,
        stored_response,
    )
    group = tables.configuration.state.find(
        configuration_models.Kind.CLAIM_GROUP, str(request.group)
    )
    replica_ids = set(replicas)
    if group is not None:
        replica_ids.update(group.replicas)
    for node_id in sorted(replica_ids):
        if node_id == tables.members.own.node_id:
            replica.record_outcome(tables, outcome, now_ms)
            continue
        member = tables.members.rows.get(node_id)
        if member is not None:
            tables.effects.append(effects.SendMessage(member.address, outcome))


def _decide(tables, pending, code, stored_response=None):
    request = pending.request
    call = tables.calls.rows.get(pending.call_id)
    LOG.decision(
        "claim_decided",
        request="" if call is None else call.request_id,
        call=pending.call_id,
        code=code.number,
        reason=code.name,
        group=request.group,
        epoch=request.epoch,
        states=pending.states_by_replica,
    )
    tables.events.append(ClaimDecided(pending.call_id, code, stored_response))
