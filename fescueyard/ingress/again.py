"""Whether a request may go to one more backend server.

Load pattern: servers fail, shed or vanish while callers press on. What may
have run is repeated only where that does no harm, no more often than the route
and the service's budget allow, and not while the service as a whole fails.
"""

from fescueyard.core import codes
from fescueyard.retries import budget
from fescueyard.retries import quarantine
from fescueyard.routing import choice

# Refusals of nodes on the way, which no backend server saw, are followed by
# another node so often at most.
REROUTES_MAX = 3

# Failures that say something about the backend server or its node.
NODE_FAILURES = frozenset(
    {
        codes.CONNECT_FAILED,
        codes.PEER_UNREACHABLE,
        codes.PEER_LOST,
        codes.BACKEND_FAILED,
        codes.SHORT_ANSWER,
    }
)
STREAM_FAILURES = frozenset({codes.PEER_UNREACHABLE, codes.PEER_LOST})
# Ends of attempts whose requests a backend server may have seen.
REACHED_SERVER = frozenset(
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
WORTH_ANOTHER_TRY = NODE_FAILURES | {
    codes.OVERLOADED,
    codes.EVICTED,
    codes.DEADLINE_UNREACHABLE,
    codes.LEAVING,
    codes.NO_BACKEND,
    codes.BACKEND_REFUSED,
    codes.WRONG_INSTANCE,
}


def is_worth_another(tables, call, answer, now_ms):
    """Say whether another backend server may make up for a failure.

    :param tables: the node's tables.
    :param call: :class:`~fescueyard.ingress.models.CallRow`.
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
    return _may_reach_another(tables, call, now_ms)


def _may_reach_another(tables, call, now_ms):
    """Say whether a request may go to one more backend server."""
    if call.reached >= call.attempts_max or now_ms >= call.deadline_at_ms:
        return False
    if not choice.has_untried(tables, call.service, call.tried, now_ms):
        return False
    profile = tables.profile_of(call.service)
    return budget.take_retry(tables, call.service, profile)


def may_try_again(tables, call, code, now_ms):
    """Say whether a call whose attempt ended without an answer goes on.

    :param tables: the node's tables.
    :param call: :class:`~fescueyard.ingress.models.CallRow`.
    :param code: result code of the attempt.
    :param now_ms: the present time.
    :returns: bool; a repeat is taken from the budget when it is True.
    """
    profile = tables.profile_of(call.service)
    if quarantine.is_quarantined(tables, call.fingerprint, profile, now_ms):
        return False
    if code not in WORTH_ANOTHER_TRY or now_ms >= call.deadline_at_ms:
        return False
    if code.outcome is not codes.Outcome.NOT_RUN and not call.idempotent:
        return False
    if call.attempts_max is None:
        return True
    if code in REACHED_SERVER:
        return _may_reach_another(tables, call, now_ms)
    if call.tries > REROUTES_MAX:
        return False
    return choice.has_untried(tables, call.service, call.tried, now_ms)
