"""Failover: decide whether a call may be sent to another backend server.

Backend servers fail, shed load or disappear while callers keep sending. A
request that may have run is retried only if it is idempotent, at most as often
as the route and the service's retry budget allow, and not while the service as
a whole fails.
"""

from fescueyard.core import codes
from fescueyard.retries import budget
from fescueyard.retries import quarantine
from fescueyard.routing import balancer

# Limit of reroutes after a node rejected the request before any backend server
# saw it.
REROUTES_MAX = 3

# Failures that count against the backend server or its node.
NODE_FAILURE_CODES = frozenset(
    {
        codes.CONNECT_FAILED,
        codes.PEER_UNREACHABLE,
        codes.PEER_LOST,
        codes.BACKEND_FAILED,
        codes.SHORT_ANSWER,
    }
)
STREAM_FAILURE_CODES = frozenset({codes.PEER_UNREACHABLE, codes.PEER_LOST})
# Result codes of attempts that may have reached a backend server.
BACKEND_REACHED_CODES = frozenset(
    {
        codes.BACKEND_REFUSED,
        codes.WRONG_INSTANCE,
        codes.PEER_LOST,
        codes.BACKEND_FAILED,
        codes.SHORT_ANSWER,
        codes.DEADLINE_EXCEEDED,
    }
)
# Response statuses after which another backend server may be tried.
FAILED_STATUSES = frozenset({500, 502, 503})
# Result codes after which another backend server may be tried.
RETRYABLE_CODES = NODE_FAILURE_CODES | {
    codes.OVERLOADED,
    codes.EVICTED,
    codes.SERVER_LIMITED,
    codes.ZONE_EVACUATED,
    codes.DEADLINE_UNREACHABLE,
    codes.LEAVING,
    codes.MEMORY_SHORT,
    codes.NO_BACKEND,
    codes.BACKEND_REFUSED,
    codes.WRONG_INSTANCE,
}


def may_retry_response(tables, call, response, now_ms):
    """Return whether a failed response may be retried on another server.

    :param tables: the node's tables.
    :param call: :class:`~fescueyard.ingress.models.Call`.
    :param response: :class:`~fescueyard.core.http.HttpResponse` of the backend
        server that failed.
    :param now_ms: the present time.
    :returns: bool; when True, one retry has been taken from the budget.
    """
    if call.attempts_max is None or not call.idempotent:
        return False
    if response.status not in FAILED_STATUSES:
        return False
    profile = tables.profile_of(call.service)
    if budget.is_failing(tables, call.service, profile):
        return False
    return _may_use_another_backend(tables, call, now_ms)


def _may_use_another_backend(tables, call, now_ms):
    """Return whether a request may be sent to another backend server.

    When it may, one retry has been taken from the budget.
    """
    if (
        call.backends_reached >= call.attempts_max
        or now_ms >= call.deadline_at_ms
    ):
        return False
    if not balancer.has_untried_backend(
        tables, call.service, call.tried_node_ids, now_ms
    ):
        return False
    profile = tables.profile_of(call.service)
    return budget.take_retry(tables, call.service, profile)


def may_retry_failure(tables, call, code, now_ms):
    """Return whether a call whose attempt got no response may be retried.

    :param tables: the node's tables.
    :param call: :class:`~fescueyard.ingress.models.Call`.
    :param code: result code of the attempt.
    :param now_ms: the present time.
    :returns: bool; when True for a routed call whose attempt may have reached
        a backend server, one retry has been taken from the budget.
    """
    profile = tables.profile_of(call.service)
    if quarantine.is_quarantined(tables, call.fingerprint, profile, now_ms):
        return False
    if code not in RETRYABLE_CODES or now_ms >= call.deadline_at_ms:
        return False
    if code.outcome is not codes.Outcome.NOT_RUN and not call.idempotent:
        return False
    if call.attempts_max is None and not needs_no_budget(code):
        return True
    if code in BACKEND_REACHED_CODES:
        return _may_use_another_backend(tables, call, now_ms)
    if call.attempt_count > REROUTES_MAX:
        return False
    return balancer.has_untried_backend(
        tables, call.service, call.tried_node_ids, now_ms
    )


def needs_no_budget(code):
    """Return whether a retry is no load that a retry budget has to bound.

    While an evacuation takes effect, each request to the zone is rejected at
    once and goes to another zone, so the number of runs stays the same.

    :param code: result code of the attempt.
    :returns: bool.
    """
    return code is codes.ZONE_EVACUATED
