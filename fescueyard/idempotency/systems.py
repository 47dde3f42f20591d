"""The caller's side of claims: a non-idempotent request runs at most once.

Before a request with an idempotency key is sent on, a majority of its claim
group grants the claim. A resend finds the claim and gets the kept answer, or
learns that the first one is in progress or ended with no known outcome.
"""

import dataclasses
import hashlib

from fescueyard.configuration import models as configuration_models
from fescueyard.core import codes
from fescueyard.core import dispatch
from fescueyard.core import effects
from fescueyard.core import http
from fescueyard.core import timers
from fescueyard.idempotency import messages
from fescueyard.idempotency import models
from fescueyard.idempotency import replica

CLAIM_TIMEOUT_MS = 400


@dataclasses.dataclass(slots=True)
class ClaimDecided:
    """Event: a call may run, or has its answer.

    :param code: ``OK`` to run, ``REPLAYED`` with a kept answer, or the
        refusal.
    """

    call_id: int
    code: codes.ResultCode
    kept: http.HttpAnswer | None


@dataclasses.dataclass(slots=True)
class ClaimTimeout:
    """Event: the replicas of a claim had their time."""

    ask_id: int


def claim(tables, call, now_ms):
    """Take the claim of a call; a :class:`ClaimDecided` event follows.

    :param tables: the node's tables.
    :param call: the call, with its idempotency key.
    :param now_ms: the present time.
    """
    claim_id = _claim_id(call)
    number = int.from_bytes(claim_id[:4], "big") % models.CLAIM_GROUPS
    state = tables.configuration.state
    kind = configuration_models.Kind.CLAIM_GROUP
    group = state.find(kind, str(number))
    if group is None:
        _decide(tables, call.call_id, codes.CLAIM_UNAVAILABLE)
        return
    table = tables.claims
    table.last_ask_id += 1
    ask = messages.ClaimAsk(
        table.last_ask_id,
        number,
        state.version_of(kind, str(number)),
        claim_id,
        call.fingerprint,
        f"{tables.process_id}/{call.call_id}",
        call.deadline_at_ms - now_ms,
        tables.profile_of(call.service).claim_retention_ms,
    )
    pending = models.PendingClaim(call.call_id, ask, list(group.replicas))
    table.pending[ask.ask_id] = pending
    timers.schedule(
        tables.timers, now_ms + CLAIM_TIMEOUT_MS, ClaimTimeout(ask.ask_id)
    )
    for node_id in pending.replicas:
        _ask(tables, pending, node_id, now_ms)
    _conclude(tables, ask.ask_id, timed_out=False, now_ms=now_ms)


def end(tables, call_id, code, answer, now_ms):
    """Tell the replicas how a call ended that holds a claim.

    :param tables: the node's tables.
    :param call_id: the call.
    :param code: result code of the call.
    :param answer: the backend server's answer, or None.
    :param now_ms: the present time.
    """
    held = tables.claims.held.pop(call_id, None)
    if held is None:
        return
    kept = None
    if code.outcome is codes.Outcome.NOT_RUN:
        state = models.RELEASED
    elif answer is None:
        state = models.UNKNOWN
    else:
        state = models.FINISHED
        kept = messages.KeptAnswer(answer)
        if len(answer.body) > models.KEPT_ANSWER_BYTES_MAX:
            kept = messages.KeptAnswer(None)
    _tell_end(tables, held.ask, held.replicas, state, kept, now_ms)


def abandon(tables, call_id, now_ms):
    """Give up on a claim whose call ended before it was decided.

    :param tables: the node's tables.
    :param call_id: the call.
    :param now_ms: the present time.
    """
    for ask_id, pending in list(tables.claims.pending.items()):
        if pending.call_id == call_id:
            del tables.claims.pending[ask_id]
            _release(tables, pending, now_ms)


@dispatch.receive.register
def _receive_answer(message: messages.ClaimAnswer, tables, sender, now_ms):
    _take_answer(tables, message, sender.peer_id)
    _conclude(tables, message.ask_id, timed_out=False, now_ms=now_ms)


@dispatch.unsent.register
def _take_back_ask(message: messages.ClaimAsk, tables, address, now_ms):
    node_id = tables.members.by_address.get(address, address)
    told = messages.ClaimAnswer(message.ask_id, replica.REFUSED, None)
    _take_answer(tables, told, node_id)
    _conclude(tables, message.ask_id, timed_out=False, now_ms=now_ms)


@dispatch.handle.register
def _time_out(event: ClaimTimeout, tables, now_ms):
    _conclude(tables, event.ask_id, timed_out=True, now_ms=now_ms)


def _claim_id(call):
    digest = hashlib.blake2b(digest_size=16)
    for part in (call.customer, call.service, call.idempotency_key):
        digest.update(part.encode() + b"\0")
    return digest.digest()


def _ask(tables, pending, node_id, now_ms):
    if node_id == tables.members.own.node_id:
        told = replica.take(tables, pending.ask, now_ms)
        _take_answer(tables, told, node_id)
        return
    member = tables.members.rows.get(node_id)
    if member is None:
        pending.answers[node_id] = replica.REFUSED
        return
    tables.effects.append(effects.SendMessage(member.address, pending.ask))


def _take_answer(tables, told, node_id):
    pending = tables.claims.pending.get(told.ask_id)
    if pending is None or node_id not in pending.replicas:
        return
    pending.answers[node_id] = told.state
    if told.state == models.FINISHED:
        pending.kept = told.kept


def _conclude(tables, ask_id, timed_out, now_ms):
    """Decide as soon as the answers allow it."""
    table = tables.claims
    pending = table.pending.get(ask_id)
    if pending is None:
        return
    states = list(pending.answers.values())
    granted = states.count(replica.GRANTED)
    majority = len(pending.replicas) // 2 + 1
    silent = 0 if timed_out else len(pending.replicas) - len(states)
    told_more = {models.FINISHED, replica.MISMATCH} & set(states)
    if granted >= majority:
        del table.pending[ask_id]
        table.held[pending.call_id] = models.HeldClaim(
            pending.ask, pending.replicas
        )
        _decide(tables, pending.call_id, codes.OK)
    elif told_more or granted + silent < majority:
        del table.pending[ask_id]
        _release(tables, pending, now_ms)
        _refuse(tables, pending, states)


def _refuse(tables, pending, states):
    if models.FINISHED in states:
        kept = pending.kept.answer if pending.kept is not None else None
        code = codes.REPLAYED if kept is not None else codes.ANSWER_NOT_KEPT
        _decide(tables, pending.call_id, code, kept)
    elif replica.MISMATCH in states:
        _decide(tables, pending.call_id, codes.KEY_REUSED)
    elif models.UNKNOWN in states:
        _decide(tables, pending.call_id, codes.OUTCOME_UNKNOWN)
    elif models.TAKEN in states:
        _decide(tables, pending.call_id, codes.IN_PROGRESS)
    else:
        _decide(tables, pending.call_id, codes.CLAIM_UNAVAILABLE)


def _release(tables, pending, now_ms):
    """Give back what was granted, and what may yet be."""
    _tell_end(
        tables, pending.ask, pending.replicas, models.RELEASED, None, now_ms
    )


def _tell_end(tables, ask, replicas, state, kept, now_ms):
    told = messages.ClaimEnd(
        ask.group,
        ask.claim_id,
        ask.fingerprint,
        ask.holder,
        state,
        ask.retention_ms,
        kept,
    )
    group = tables.configuration.state.find(
        configuration_models.Kind.CLAIM_GROUP, str(ask.group)
    )
    targets = set(replicas)
    if group is not None:
        targets.update(group.replicas)
    for node_id in sorted(targets):
        if node_id == tables.members.own.node_id:
            replica.end(tables, told, now_ms)
            continue
        member = tables.members.rows.get(node_id)
        if member is not None:
            tables.effects.append(effects.SendMessage(member.address, told))


def _decide(tables, call_id, code, kept=None):
    tables.events.append(ClaimDecided(call_id, code, kept))
