"""The way of a call: rate, claim, attempts, answer.

Each function takes the call one step further and returns; the answer of a
package that has to wait comes back as an event.
"""

import dataclasses

from fescueyard.admission import messages as admission_messages
from fescueyard.admission import systems as admission
from fescueyard.core import codes
from fescueyard.core import dispatch
from fescueyard.core import effects
from fescueyard.core import exceptions
from fescueyard.core import http
from fescueyard.core import problems
from fescueyard.core import timers
from fescueyard.ingress import models
from fescueyard.ingress import parsing
from fescueyard.keys import systems as keys
from fescueyard.limits import systems as limits
from fescueyard.once import systems as claims
from fescueyard.retries import quarantine
from fescueyard.retries import systems as retries
from fescueyard.routing import choice
from fescueyard.routing import membership

RETRY_AFTER_MS = 1_000
FAILED_STATUS = 500
RETRY_AFTER_SPREAD = 1.0

# Failures that say something about the backend server or its node.
_NODE_FAILURES = frozenset(
    {
        codes.CONNECT_FAILED,
        codes.PEER_UNREACHABLE,
        codes.PEER_LOST,
        codes.BACKEND_FAILED,
        codes.SHORT_ANSWER,
    }
)
# Refusals after which another backend server may take the request.
_WORTH_ANOTHER_TRY = _NODE_FAILURES | {
    codes.OVERLOADED,
    codes.EVICTED,
    codes.DEADLINE_UNREACHABLE,
    codes.LEAVING,
    codes.NO_BACKEND,
}


@dataclasses.dataclass(slots=True)
class CallDeadline:
    """Event: the deadline of a call has come."""

    call_id: int


def accept(tables, exchange_id, request, from_backend, now_ms):
    """Take in a request from a caller or from the VM's backend server.

    :param tables: the node's tables.
    :param exchange_id: HTTP exchange.
    :param request: :class:`~fescueyard.core.http.HttpRequest`.
    :param from_backend: it came by the backend server's listener.
    :param now_ms: the present time.
    """
    try:
        if tables.draining and not from_backend:
            raise exceptions.RequestError("", codes.LEAVING)
        call = parsing.parse(
            tables, exchange_id, request, from_backend, now_ms
        )
    except exceptions.RequestError as error:
        tables.metrics.count(f"calls_{error.code.name}")
        answer = problems.problem(
            error.code, error.detail, _retry_after_ms(tables)
        )
        tables.effects.append(effects.AnswerCaller(exchange_id, answer))
        return
    tables.calls.rows[call.call_id] = call
    tables.calls.by_exchange[exchange_id] = call.call_id
    timers.schedule(
        tables.timers, call.deadline_at_ms, CallDeadline(call.call_id)
    )
    retries.count_first_try(tables)
    if call.parent_run_id is None and call.customer:
        limits.request(tables, call.call_id, call.customer, now_ms)
    elif _is_own_retry(tables, call):
        call.stage = models.Stage.RETRY
        call.last_code = codes.RETRIES_EXHAUSTED.number
        retries.ask_retry(tables, call.call_id, call.chain, now_ms)
    else:
        _claim_or_attempt(tables, call, now_ms)


def caller_left(tables, exchange_id, now_ms):
    """Stop a call whose caller has gone.

    :param tables: the node's tables.
    :param exchange_id: HTTP exchange.
    :param now_ms: the present time.
    """
    call_id = tables.calls.by_exchange.get(exchange_id)
    if call_id is None:
        return
    call = tables.calls.rows[call_id]
    call.caller_left = True
    if call_id in tables.claims.held:
        # It goes on, so that a resend finds its answer.
        return
    _give_up(tables, call, codes.CANCELLED, codes.CANCELLED_RUNNING, now_ms)


def stream_lost(tables, address, now_ms):
    """End the attempts whose answers can't come any more.

    :param tables: the node's tables.
    :param address: ``host:port`` the stream went to.
    :param now_ms: the present time.
    """
    for attempt in list(tables.calls.attempts.values()):
        if attempt.address == address:
            _end_attempt(tables, attempt, codes.PEER_LOST, None, 0.0, now_ms)


@dispatch.handle.register
def _rate_decided(event: limits.RateDecided, tables, now_ms):
    call = tables.calls.rows.get(event.call_id)
    if call is None:
        limits.give_back(tables, event, now_ms)
        return
    if event.code is codes.OK:
        _claim_or_attempt(tables, call, now_ms)
    else:
        _finish_refused(tables, call, event.code, event.retry_after_ms, now_ms)


@dispatch.handle.register
def _claim_decided(event: claims.ClaimDecided, tables, now_ms):
    call = tables.calls.rows.get(event.call_id)
    if call is None:
        claims.end(tables, event.call_id, codes.CANCELLED, None, now_ms)
    elif event.code is codes.OK:
        _attempt(tables, call, now_ms)
    elif event.kept is not None:
        answer = _outer_answer(event.kept, codes.REPLAYED)
        _finish(tables, call, codes.REPLAYED, None, answer, now_ms)
    else:
        _finish_refused(tables, call, event.code, 0.0, now_ms)


@dispatch.handle.register
def _retry_decided(event: retries.RetryDecided, tables, now_ms):
    call = tables.calls.rows.get(event.call_id)
    if call is None:
        return
    if event.granted:
        _claim_or_attempt(tables, call, now_ms)
    else:
        code = codes.by_number(call.last_code)
        _finish_refused(tables, call, code, call.last_retry_after_ms, now_ms)


@dispatch.handle.register
def _reach_deadline(event: CallDeadline, tables, now_ms):
    call = tables.calls.rows.get(event.call_id)
    if call is not None:
        _give_up(
            tables,
            call,
            codes.DEADLINE_NOT_RUN,
            codes.DEADLINE_EXCEEDED,
            now_ms,
        )


@dispatch.handle.register
def _member_lost(event: membership.MemberLost, tables, now_ms):
    tables.effects.append(effects.DropStream(event.address))
    stream_lost(tables, event.address, now_ms)


@dispatch.handle.register
def _local_answer(event: admission.LocalAnswer, tables, now_ms):
    _take_answer(tables, event.answer, tables.members.own.node_id, now_ms)


@dispatch.receive.register
def _receive_answer(
    message: admission_messages.ForwardAnswer, tables, sender, now_ms
):
    _take_answer(tables, message, sender.peer_id, now_ms)


@dispatch.unsent.register
def _take_back_forward(
    message: admission_messages.Forward, tables, address, now_ms
):
    attempt = tables.calls.attempts.get(message.attempt_id)
    if attempt is not None:
        _end_attempt(
            tables, attempt, codes.PEER_UNREACHABLE, None, 0.0, now_ms
        )


def _is_own_retry(tables, call):
    """Say whether a backend server sends a call again that failed before.

    Its retries come out of the same allowance as the system's.
    """
    run = tables.runs.rows.get(call.parent_run_id)
    return run is not None and call.fingerprint in run.failed_calls


def _claim_or_attempt(tables, call, now_ms):
    if call.idempotent or not call.idempotency_key or call.tries:
        _attempt(tables, call, now_ms)
        return
    call.stage = models.Stage.CLAIM
    claims.claim(tables, call, now_ms)


def _attempt(tables, call, now_ms):
    """Send a call to a backend server's node."""
    call.stage = models.Stage.ATTEMPT
    profile = tables.profile_of(call.service)
    member = choice.choose(
        tables, call.service, call.tried, profile.slow_start_ms, now_ms
    )
    if member is None:
        _finish_refused(tables, call, codes.NO_BACKEND, 0.0, now_ms)
        return
    table = tables.calls
    table.last_attempt_id += 1
    attempt = models.AttemptRow(
        table.last_attempt_id,
        call.call_id,
        member.node_id,
        member.address,
        now_ms,
    )
    table.attempts[attempt.attempt_id] = attempt
    call.attempt = attempt
    call.tried.add(member.node_id)
    call.tries += 1
    choice.attempt_started(tables, member.node_id, now_ms)
    forward = admission_messages.Forward(
        attempt.attempt_id,
        call.service,
        call.request,
        call.idempotent,
        call.customer,
        call.key_id,
        call.priority,
        call.deadline_at_ms - now_ms,
        call.chain,
        call.fingerprint,
        quarantine.is_suspect(tables, call.fingerprint),
    )
    own = tables.members.own
    if member.node_id == own.node_id:
        admission.accept(tables, forward, own.node_id, None, now_ms)
    else:
        tables.effects.append(effects.SendMessage(member.address, forward))


def _take_answer(tables, told, node_id, now_ms):
    attempt = tables.calls.attempts.get(told.attempt_id)
    if attempt is None or attempt.node_id != node_id:
        tables.metrics.count("late_answers")
        return
    choice.note_load(tables, node_id, told.load, told.limit, now_ms)
    if told.code in (codes.LEAVING.number, codes.NO_BACKEND.number):
        choice.note_refusing(tables, node_id, now_ms)
    if told.crash_id:
        call = tables.calls.rows[attempt.call_id]
        quarantine.note_told_crash(
            tables, call.fingerprint, told.crash_id, now_ms
        )
    _end_attempt(
        tables,
        attempt,
        codes.by_number(told.code),
        told.answer,
        told.retry_after_ms,
        now_ms,
    )


def _end_attempt(tables, attempt, code, answer, retry_after_ms, now_ms):
    del tables.calls.attempts[attempt.attempt_id]
    choice.attempt_ended(
        tables, attempt.node_id, code in _NODE_FAILURES, now_ms
    )
    call = tables.calls.rows[attempt.call_id]
    call.attempt = None
    if answer is not None:
        outer = _outer_answer(answer, codes.OK)
        _finish(tables, call, code, answer, outer, now_ms)
        return
    call.last_code = code.number
    call.last_retry_after_ms = retry_after_ms
    if code.outcome is codes.Outcome.MAY_HAVE_RUN:
        call.doubt_code = code.number
    if _may_try_again(tables, call, code, now_ms):
        call.stage = models.Stage.RETRY
        retries.ask_retry(tables, call.call_id, call.chain, now_ms)
    else:
        _finish_refused(tables, call, code, retry_after_ms, now_ms)


def _may_try_again(tables, call, code, now_ms):
    profile = tables.profile_of(call.service)
    if quarantine.is_quarantined(tables, call.fingerprint, profile, now_ms):
        return False
    if code not in _WORTH_ANOTHER_TRY or now_ms >= call.deadline_at_ms:
        return False
    return code.outcome is codes.Outcome.NOT_RUN or call.idempotent


def _give_up(tables, call, code_not_run, code_running, now_ms):
    """End a call before its answer; what was sent is cancelled."""
    attempt = call.attempt
    code = code_not_run
    if attempt is not None:
        code = code_running
        del tables.calls.attempts[attempt.attempt_id]
        choice.attempt_ended(tables, attempt.node_id, False, now_ms)
        _cancel(tables, attempt, now_ms)
    _finish_refused(tables, call, code, 0.0, now_ms)


def _cancel(tables, attempt, now_ms):
    own_id = tables.members.own.node_id
    if attempt.node_id == own_id:
        admission.cancel(tables, own_id, attempt.attempt_id, now_ms)
    else:
        cancel = admission_messages.ForwardCancel(attempt.attempt_id)
        tables.effects.append(effects.SendMessage(attempt.address, cancel))


def _outer_answer(answer, code):
    """Make the caller's answer of a backend server's answer."""
    headers = keys.clean_answer_headers(answer.headers)
    headers.append(http.Header(problems.CODE_HEADER, str(code.number)))
    headers.append(http.Header(problems.OUTCOME_HEADER, code.outcome.value))
    return dataclasses.replace(answer, headers=headers)


def _finish_refused(tables, call, code, retry_after_ms, now_ms):
    if call.doubt_code and code.outcome is codes.Outcome.NOT_RUN:
        # An earlier attempt may have run, so "not run" would be a lie.
        code = codes.by_number(call.doubt_code)
    wait_ms = retry_after_ms or _retry_after_ms(tables)
    answer = problems.problem(code, retry_after_ms=wait_ms)
    _finish(tables, call, code, None, answer, now_ms)


def _finish(tables, call, code, inner, answer, now_ms):
    """End a call.

    :param inner: the backend server's answer, or None.
    :param answer: the caller's answer.
    """
    if call.stage is models.Stage.CLAIM:
        claims.abandon(tables, call.call_id, now_ms)
    claims.end(tables, call.call_id, code, inner, now_ms)
    run = tables.runs.rows.get(call.parent_run_id)
    if run is not None and answer.status >= FAILED_STATUS:
        run.failed_calls.add(call.fingerprint)
    tables.metrics.note_call_latency(now_ms - call.started_at_ms)
    table = tables.calls
    del table.rows[call.call_id]
    del table.by_exchange[call.exchange_id]
    tables.metrics.count(f"calls_{code.name}")
    if not call.caller_left:
        tables.effects.append(effects.AnswerCaller(call.exchange_id, answer))


def _retry_after_ms(tables):
    return RETRY_AFTER_MS * (1 + RETRY_AFTER_SPREAD * tables.random.random())
