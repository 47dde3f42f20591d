"""The end of a call: its result, its log line and the caller's response."""

from fescueyard.core import codes
from fescueyard.core import effects
from fescueyard.core import http
from fescueyard.core import logs
from fescueyard.core import problems
from fescueyard.idempotency import systems as claims
from fescueyard.ingress import models
from fescueyard.keys import systems as keys

LOG = logs.ComponentLogger("ingress")

RETRY_AFTER_MS = 1_000
RETRY_AFTER_JITTER_SHARE = 1.0
_SERVER_ERROR_STATUS_MIN = 500


def build_caller_response(tables, response, code):
    """Build the caller's response from a backend server's response.

    :param tables: the node's tables.
    :param response: :class:`~fescueyard.core.http.HttpResponse` of the backend
        server.
    :param code: result code of the call.
    :returns: :class:`~fescueyard.core.http.HttpResponse`.
    """
    headers = keys.sanitize_response_headers(response.headers)
    if not tables.routed:
        headers.append(http.Header(problems.CODE_HEADER, str(code.number)))
        outcome = code.outcome.value
        headers.append(http.Header(problems.OUTCOME_HEADER, outcome))
    return http.HttpResponse(response.status, headers, response.body)


def finish_failed(tables, call, code, retry_after_ms, now_ms):
    """Finish a call without a response of its last attempt.

    :param tables: the node's tables.
    :param call: :class:`~fescueyard.ingress.models.Call`.
    :param code: result code of its last attempt.
    :param retry_after_ms: delay that the caller is advised, in ms; 0 for the
        default.
    :param now_ms: the present time.
    """
    if call.failed_response is not None:
        # A backend server has already responded, so the caller gets that
        # response.
        response = build_caller_response(
            tables, call.failed_response, codes.OK
        )
        finish(tables, call, codes.OK, call.failed_response, response, now_ms)
        return
    if call.may_have_run_code and code.outcome is codes.Outcome.NOT_RUN:
        # An earlier attempt may have run, so "not run" would be wrong.
        code = codes.by_number(call.may_have_run_code)
    wait_ms = retry_after_ms or draw_retry_after_ms(tables)
    response = tables.interface.build_error_response(code, "", wait_ms)
    finish(tables, call, code, None, response, now_ms)


def finish(tables, call, code, backend_response, caller_response, now_ms):
    """Finish a call and send its response.

    :param tables: the node's tables.
    :param call: :class:`~fescueyard.ingress.models.Call`.
    :param code: result code of the call.
    :param backend_response: the backend server's response, or None.
    :param caller_response: the caller's response.
    :param now_ms: the present time.
    """
    if call.stage is models.Stage.CLAIM:
        claims.abandon(tables, call.call_id, now_ms)
    claims.complete(tables, call.call_id, code, backend_response, now_ms)
    run = tables.runs.rows.get(call.parent_run_id)
    if run is not None and caller_response.status >= _SERVER_ERROR_STATUS_MIN:
        run.failed_call_fingerprints.add(call.fingerprint)
    tables.metrics.record_call_latency(now_ms - call.started_at_ms)
    table = tables.calls
    del table.rows[call.call_id]
    del table.by_exchange[call.exchange_id]
    tables.metrics.count(f"calls_{code.name}")
    LOG.decision(
        "answered",
        request=call.request_id,
        call=call.call_id,
        code=code.number,
        reason=code.name,
        status=caller_response.status,
        tries=call.attempt_count,
        reached=call.backends_reached,
        took_ms=round(now_ms - call.started_at_ms),
    )
    if not call.caller_left:
        tables.effects.append(
            effects.RespondToCaller(call.exchange_id, caller_response)
        )


def draw_retry_after_ms(tables):
    """Draw the default delay after which a caller may retry.

    :param tables: the node's tables.
    :returns: delay in ms.
    """
    return RETRY_AFTER_MS * (
        1 + RETRY_AFTER_JITTER_SHARE * tables.random.random()
    )
