"""Whether a request may go to one more backend server.

Load pattern: servers fail, shed or vanish while callers press on. What may
have run is repeated only where that does no harm, no more often than the route
and the service's budget allow, and not while the service as a whole fails.
"""

from fescueyard.core import codes
from fescueyard.retries import budget
from fescueyard.retries import quarantine
from fescueyard.routing import balancer

# Refusals of nodes on the way, which no backend server saw, are followed by
# another node so often at most.
REROUTES_MAX = 3

# Failures that say something about the backend server or its node.
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
# Ends of attempts whose requests a backend server may have seen.
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
# Answers of a backend server that another one may make up for.
FAILED_STATUSES = frozenset({500, 502, 503})
# Refusals after which another backend server may take the request.
RETRYABLE_CODES = NODE_FAILURE_CODES | {
    codes.OVERLOADED,
    codes.EVICTED,
    codes.DEADLINE_UNREACHABLE,
    codes.LEAVING,
    codes.NO_BACKEND,
    codes.BACKEND_REFUSED,
    codes.WRONG_INSTANCE,
}


def may_retry_response(tables, call, answer, now_ms):
    """Say whether another backend server may make up for a failure.

    :param tables: the node's tables.
    :param call: :class:`~fescueyard.ingress.models.Call`.
    :param answer: :class:`~fescueyard.core.http.HttpAnswer` of the first one.
    :param now_ms: the present time.
    :returns: bool; a repeat is taken from the budget when it is True.
    """
    if call.attempts_max is None or not call.idempotent:
        return False
    if answer.status not in FAILED_STATUSES:
        return False
    profile = tables.profile_of(call.service)
    if budget.is_failing(tables, call.service, profile):
        return False
    return _may_use_another_backend(tables, call, now_ms)


def _may_use_another_backend(tables, call, now_ms):
    """Say whether a request may go to one more backend server."""
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
    """Say whether a call whose attempt ended without an answer goes on.

    :param tables: the node's tables.
    :param call: :class:`~fescueyard.ingress.models.Call`.
    :param code: result code of the attempt.
    :param now_ms: the present time.
    :returns: bool; a repeat is taken from the budget when it is True.
    """
    profile = tables.profile_of(call.service)
    if quarantine.is_quarantined(tables, call.fingerprint, profile, now_ms):
        return False
    if code not in RETRYABLE_CODES or now_ms >= call.deadline_at_ms:
        return False
    if code.outcome is not codes.Outcome.NOT_RUN and not call.idempotent:
        return False
    if call.attempts_max is None:
        return True
    if code in BACKEND_REACHED_CODES:
        return _may_use_another_backend(tables, call, now_ms)
    if call.attempt_count > REROUTES_MAX:
        return False
    return balancer.has_untried_backend(
        tables, call.service, call.tried_node_ids, now_ms
    )
