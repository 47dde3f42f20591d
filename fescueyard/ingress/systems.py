"""Processing of a call: rate limit, claim, attempts, response.

Each function advances the call by one step and returns. When another package
has to wait for something, its result arrives as an event.
"""

import dataclasses

from fescueyard.admission import messages as admission_messages
from fescueyard.admission import systems as admission
from fescueyard.configuration import replica
from fescueyard.core import codes
from fescueyard.core import dispatch
from fescueyard.core import effects
from fescueyard.core import exceptions
from fescueyard.core import http
from fescueyard.core import logs
from fescueyard.core import timers
from fescueyard.idempotency import systems as claims
from fescueyard.ingress import completion
from fescueyard.ingress import failover
from fescueyard.ingress import models
from fescueyard.ingress import node_reports
from fescueyard.ingress import parsing
from fescueyard.ingress import route_parsing
from fescueyard.limits import decisions as rate_decisions
from fescueyard.limits import systems as limits
from fescueyard.pressure import entry
from fescueyard.retries import budget
from fescueyard.retries import quarantine
from fescueyard.retries import systems as retries
from fescueyard.routing import balancer
from fescueyard.routing import membership
from fescueyard.routing import zone_health

LOG = logs.ComponentLogger("ingress")

# Time after the deadline in which the response of a run that completes just in
# time can still reach the waiting caller.
RESPONSE_GRACE_MS = 120
SHED_RETRY_AFTER_MIN_MS = 300
SHED_RETRY_AFTER_MS = 1_500  # for routes without an objective
# A shed request may be resent after a share of its latency objective. That is
# the first value, plus the second one times the share of its rank that is shed
# now. The rest of the objective is enough for its run.
SHED_RETRY_AFTER_SHARE = 0.2
SHED_RETRY_AFTER_SHARE_BUSY = 0.4
SHED_RETRY_AFTER_JITTER_SHARE = 0.5


@dataclasses.dataclass(slots=True)
class CallDeadlineReached:
    """Event: the deadline of a call has passed."""

    call_id: int


def accept(tables, exchange_id, request, from_backend, now_ms):
    """Accept a request from a caller or from the VM's backend server.

    :param tables: the node's tables.
    :param exchange_id: HTTP exchange.
    :param request: :class:`~fescueyard.core.http.HttpRequest`.
    :param from_backend: whether it arrived at the listener for the backend
        server.
    :param now_ms: the present time.
    """
    try:
        if tables.refuses_callers(now_ms) and not from_backend:
            raise exceptions.RequestError("", codes.LEAVING)
        if tables.routed:
            call = route_parsing.parse(tables, exchange_id, request, now_ms)
        else:
            call = parsing.parse(
                tables, exchange_id, request, from_backend, now_ms
            )
    except exceptions.RequestError as error:
        _reject_unparsed(tables, exchange_id, request, error, now_ms)
        return
    tables.calls.rows[call.call_id] = call
    tables.calls.by_exchange[exchange_id] = call.call_id
    grace_ms = RESPONSE_GRACE_MS if tables.routed else 0
    timers.schedule(
        tables.timers,
        call.deadline_at_ms + grace_ms,
        CallDeadlineReached(call.call_id),
    )
    retries.record_first_attempt(tables)
    _log_accepted(tables, call, now_ms)
    if call.parent_run_id is None and call.customer:
        limits.request_token(tables, call.call_id, call.customer, now_ms)
    elif _is_resend(tables, call):
        call.stage = models.Stage.RETRY
        call.last_code = codes.RETRIES_EXHAUSTED.number
        retries.request_retry(tables, call.call_id, call.chain, now_ms)
    else:
        _admit_or_shed(tables, call, now_ms)


def check_head(tables, head, from_backend, now_ms):
    """Refuse a request by its head, before its body is read.

    :param tables: the node's tables.
    :param head: :class:`~fescueyard.core.http.HttpRequest` without its body.
    :param from_backend: whether it arrived at the listener for the backend
        server.
    :param now_ms: the present time.
    :returns: the :class:`~fescueyard.core.http.HttpResponse` that refuses it;
        None when its body is needed.
    """
    try:
        if tables.refuses_callers(now_ms) and not from_backend:
            raise exceptions.RequestError("", codes.LEAVING)
        if tables.routed:
            route_parsing.check_head(tables, head, now_ms)
        else:
            parsing.check_head(tables, head, from_backend, now_ms)
    except exceptions.RequestError as error:
        return _refusal(tables, head, error, now_ms)
    return None


def _log_accepted(tables, call, now_ms):
    LOG.decision(
        "accepted",
        request=call.request_id,
        call=call.call_id,
        route=call.route,
        service=call.service,
        customer=call.customer,
        priority=call.priority,
        timeout_ms=round(call.deadline_at_ms - now_ms),
        version=tables.configuration.state.version,
    )


def _reject_unparsed(tables, exchange_id, request, error, now_ms):
    response = _refusal(tables, request, error, now_ms)
    tables.effects.append(effects.RespondToCaller(exchange_id, response))


def _refusal(tables, request, error, now_ms):
    """Count and log a refused request; return its response."""
    tables.metrics.count(f"calls_{error.code.name}")
    LOG.decision(
        "refused",
        request=request.header(tables.interface.names.request_id) or "",
        code=error.code.number,
        reason=error.code.name,
        version=tables.configuration.state.version,
        age_ms=replica.rounded_age_ms(tables.configuration, now_ms),
    )
    return tables.interface.build_error_response(
        error.code, error.detail, completion.draw_retry_after_ms(tables)
    )


def caller_left(tables, exchange_id, now_ms):
    """Cancel a call whose caller has disconnected.

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
        # The call continues, so that a resend gets its response.
        return
    LOG.decision(
        "caller_left",
        request=call.request_id,
        call=call_id,
        after_ms=round(now_ms - call.started_at_ms),
        stage=call.stage.value,
    )
    if tables.routed and call.attempt is not None and not call.idempotent:
        # A request that is not idempotent can't be repeated safely, so
        # aborting it would gain nothing.
        return
    _abort(tables, call, codes.CANCELLED, codes.CANCELLED_RUNNING, now_ms)


def stream_lost(tables, address, now_ms):
    """Finish the attempts whose responses were lost with a stream.

    :param tables: the node's tables.
    :param address: ``host:port`` of the peer.
    :param now_ms: the present time.
    """
    for attempt in list(tables.calls.attempts.values()):
        if attempt.address == address:
            _finish_attempt(
                tables, attempt, codes.PEER_LOST, None, 0.0, now_ms
            )


@dispatch.handle.register
def _handle_rate_decision(event: rate_decisions.RateDecided, tables, now_ms):
    call = tables.calls.rows.get(event.call_id)
    if call is None:
        limits.return_token(tables, event, now_ms)
        return
    if event.code is not codes.OK:
        completion.finish_failed(
            tables, call, event.code, event.retry_after_ms, now_ms
        )
    elif not _admit_or_shed(tables, call, now_ms):
        limits.return_token(tables, event, now_ms)


def _admit_or_shed(tables, call, now_ms):
    """Admit a call, or shed it if it is new work under pressure.

    :returns: whether the call was admitted.
    """
    share = 0.0
    if tables.routed and not call.is_backend_call:
        share = entry.shed_share(
            tables.pressure, call.service, call.shed_rank, now_ms
        )
    if share:
        _shed(tables, call, share, now_ms)
        return False
    _claim_or_attempt(tables, call, now_ms)
    return True


def _shed(tables, call, share, now_ms):
    """Shed new work at entry; the retry-after time grows with the load."""
    retry_after_ms = SHED_RETRY_AFTER_MIN_MS + SHED_RETRY_AFTER_MS * share
    if call.objective_ms:
        objective_share = (
            SHED_RETRY_AFTER_SHARE + SHED_RETRY_AFTER_SHARE_BUSY * share
        )
        retry_after_ms = max(
            SHED_RETRY_AFTER_MIN_MS, objective_share * call.objective_ms
        )
    retry_after_ms *= (
        1 + SHED_RETRY_AFTER_JITTER_SHARE * tables.random.random()
    )
    LOG.decision(
        "turned_away",
        request=call.request_id,
        call=call.call_id,
        rank=call.shed_rank,
        share=round(share, 3),
        bottleneck=tables.pressure.by_service[call.service].bottleneck,
        told_ms_ago=round(
            now_ms - tables.pressure.by_service[call.service].reported_at_ms
        ),
    )
    completion.finish_failed(
        tables, call, codes.TURNED_AWAY, retry_after_ms, now_ms
    )


@dispatch.handle.register
def _handle_claim_decision(event: claims.ClaimDecided, tables, now_ms):
    call = tables.calls.rows.get(event.call_id)
    if call is None:
        claims.complete(tables, event.call_id, codes.CANCELLED, None, now_ms)
    elif event.code is codes.OK:
        _send_attempt(tables, call, now_ms)
    elif event.stored_response is not None:
        response = completion.build_caller_response(
            tables, event.stored_response, codes.REPLAYED
        )
        completion.finish(tables, call, codes.REPLAYED, None, response, now_ms)
    else:
        completion.finish_failed(tables, call, event.code, 0.0, now_ms)


@dispatch.handle.register
def _handle_retry_decision(event: retries.RetryDecided, tables, now_ms):
    call = tables.calls.rows.get(event.call_id)
    if call is None:
        return
    if event.granted:
        _claim_or_attempt(tables, call, now_ms)
    else:
        code = codes.by_number(call.last_code)
        completion.finish_failed(
            tables, call, code, call.last_retry_after_ms, now_ms
        )


@dispatch.handle.register
def _handle_call_deadline(event: CallDeadlineReached, tables, now_ms):
    call = tables.calls.rows.get(event.call_id)
    if call is not None:
        _abort(
            tables,
            call,
            codes.DEADLINE_NOT_RUN,
            codes.DEADLINE_EXCEEDED,
            now_ms,
        )


@dispatch.handle.register
def _handle_member_lost(event: membership.MemberLost, tables, now_ms):
    tables.effects.append(effects.DropStream(event.address))
    stream_lost(tables, event.address, now_ms)


@dispatch.handle.register
def _handle_local_response(event: admission.LocalResponse, tables, now_ms):
    own = tables.members.own
    _handle_response(tables, event.response, own.node_id, own.address, now_ms)


@dispatch.receive.register
def _receive_response(
    message: admission_messages.ForwardResponse, tables, sender, now_ms
):
    address = str(getattr(sender.stream, "address", ""))
    _handle_response(tables, message, sender.peer_id, address, now_ms)


@dispatch.handle_unsent.register
def _handle_unsent_forward(
    message: admission_messages.ForwardRequest, tables, address, now_ms
):
    attempt = tables.calls.attempts.get(message.attempt_id)
    if attempt is not None:
        _finish_attempt(
            tables, attempt, codes.PEER_UNREACHABLE, None, 0.0, now_ms
        )


def _is_resend(tables, call):
    """Return whether a backend server resends a call that failed before.

    Its retries count against the same allowance as those of the system.
    """
    run = tables.runs.rows.get(call.parent_run_id)
    return run is not None and call.fingerprint in run.failed_call_fingerprints


def _claim_or_attempt(tables, call, now_ms):
    if call.idempotent or not call.idempotency_key or call.attempt_count:
        _send_attempt(tables, call, now_ms)
        return
    call.stage = models.Stage.CLAIM
    claims.acquire(tables, call, now_ms)


def _send_attempt(tables, call, now_ms):
    """Send a call to the node of a backend server."""
    call.stage = models.Stage.ATTEMPT
    profile = tables.profile_of(call.service)
    member = balancer.choose(
        tables,
        call.service,
        call.tried_node_ids,
        tables.slow_start_ms_of(call.service),
        now_ms,
    )
    if member is None:
        code = codes.by_number(call.last_code or codes.NO_BACKEND.number)
        completion.finish_failed(
            tables, call, code, call.last_retry_after_ms, now_ms
        )
        return
    if call.attempts_max is not None and not call.attempt_count:
        budget.record_first_attempt(tables, call.service, profile)
    table = tables.calls
    table.last_attempt_id += 1
    attempt = models.Attempt(
        table.last_attempt_id,
        call.call_id,
        member.node_id,
        member.address,
        now_ms,
    )
    table.attempts[attempt.attempt_id] = attempt
    call.attempt = attempt
    call.tried_node_ids.add(member.node_id)
    call.attempt_count += 1
    balancer.attempt_started(tables, member.node_id, now_ms)
    zone_health.request_sent(tables, member.zone, now_ms)
    forward = admission_messages.ForwardRequest(
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
        call.caller_service,
        call.request_id,
        call.objective_ms - (now_ms - call.started_at_ms),
        call.is_backend_call,
        tables.configuration.state.version,
        tables.members.notices.get(member.address),
        balancer.is_limited(tables, member.node_id, now_ms),
    )
    LOG.decision(
        "sent",
        request=call.request_id,
        call=call.call_id,
        attempt=attempt.attempt_id,
        node=member.node_id,
        zone=member.zone,
        incarnation=member.incarnation,
        left_ms=round(forward.deadline_ms),
    )
    own = tables.members.own
    if member.node_id == own.node_id:
        admission.accept(tables, forward, own.node_id, None, now_ms)
    else:
        tables.effects.append(effects.SendMessage(member.address, forward))


def _handle_response(tables, forward_response, node_id, address, now_ms):
    """Handle a response from the node addressed, or from its successor.

    A restarted node responds at its old address under a new id before gossip
    reports the new id.
    """
    attempt = tables.calls.attempts.get(forward_response.attempt_id)
    if attempt is None or not (
        attempt.node_id == node_id or attempt.address == address
    ):
        tables.metrics.count("late_answers")
        return
    node_id = attempt.node_id
    call = tables.calls.rows[attempt.call_id]
    LOG.decision(
        "attempt_answered",
        call=attempt.call_id,
        attempt=forward_response.attempt_id,
        node=node_id,
        code=forward_response.code,
        load=forward_response.load,
        limit=forward_response.limit,
        latency_ms=round(forward_response.latency_ms),
        failure_share=round(forward_response.failure_share, 3),
        took_ms=round(now_ms - attempt.started_at_ms),
    )
    node_reports.record(tables, call, attempt, forward_response, now_ms)
    code = codes.by_number(forward_response.code)
    response = forward_response.response
    if response is not None and not http.is_final_status(response.status):
        # Nodes of release 0.6 and before do not check it.
        LOG.decision(
            "answer_malformed",
            request=call.request_id,
            attempt=forward_response.attempt_id,
            node=node_id,
            code=codes.SHORT_ANSWER.number,
            reason=f"status {response.status}",
        )
        code, response = codes.SHORT_ANSWER, None
    _finish_attempt(
        tables,
        attempt,
        code,
        response,
        forward_response.retry_after_ms,
        now_ms,
    )


def _finish_attempt(tables, attempt, code, response, retry_after_ms, now_ms):
    call = tables.calls.rows[attempt.call_id]
    _record_attempt(tables, call, attempt, code, response, now_ms)
    if response is not None:
        _handle_backend_response(tables, call, code, response, now_ms)
        return
    call.last_code = code.number
    call.last_retry_after_ms = retry_after_ms
    if code.outcome is codes.Outcome.MAY_HAVE_RUN:
        call.may_have_run_code = code.number
    if not failover.may_retry_failure(tables, call, code, now_ms):
        completion.finish_failed(tables, call, code, retry_after_ms, now_ms)
    elif call.attempts_max is not None or failover.needs_no_budget(code):
        _retry(tables, call, code.name, now_ms)
    else:
        call.stage = models.Stage.RETRY
        retries.request_retry(tables, call.call_id, call.chain, now_ms)


def _record_attempt(tables, call, attempt, code, response, now_ms):
    """Record the result of an attempt for its node and service."""
    del tables.calls.attempts[attempt.attempt_id]
    call.attempt = None
    balancer.attempt_ended(
        tables, attempt.node_id, code in failover.NODE_FAILURE_CODES, now_ms
    )
    if code in failover.BACKEND_REACHED_CODES or response is not None:
        call.backends_reached += 1
    if not tables.routed:
        return
    if code in failover.STREAM_FAILURE_CODES:
        balancer.mark_unreachable(tables, attempt.node_id, now_ms)
    if response is not None:
        succeeded = response.status not in failover.FAILED_STATUSES
        profile = tables.profile_of(call.service)
        budget.record_outcome(tables, call.service, profile, succeeded)


def _handle_backend_response(tables, call, code, response, now_ms):
    """Pass on a backend server's response, or try another server."""
    if failover.may_retry_response(tables, call, response, now_ms):
        call.failed_response = response
        _retry(tables, call, f"status {response.status}", now_ms)
        return
    caller_response = completion.build_caller_response(
        tables, response, codes.OK
    )
    completion.finish(tables, call, code, response, caller_response, now_ms)


def _retry(tables, call, reason, now_ms):
    LOG.decision(
        "sent_again",
        request=call.request_id,
        call=call.call_id,
        reason=reason,
        reached=call.backends_reached,
    )
    _send_attempt(tables, call, now_ms)


def _abort(tables, call, code_not_run, code_running, now_ms):
    """Abort a call without a response and cancel its attempt."""
    attempt = call.attempt
    code = code_not_run
    if attempt is not None:
        code = code_running
        del tables.calls.attempts[attempt.attempt_id]
        balancer.attempt_ended(tables, attempt.node_id, False, now_ms)
        _cancel(tables, attempt, now_ms)
    completion.finish_failed(tables, call, code, 0.0, now_ms)


def _cancel(tables, attempt, now_ms):
    own_id = tables.members.own.node_id
    if attempt.node_id == own_id:
        admission.cancel(tables, own_id, attempt.attempt_id, now_ms)
    else:
        cancel = admission_messages.ForwardCancel(attempt.attempt_id)
        tables.effects.append(effects.SendMessage(attempt.address, cancel))
