"""The request limit that a backend server names for itself.

Load pattern: a server in need names how many requests a second it takes from
all nodes together, far below what its slots allow. Every request to it passes
its own node, so one token bucket there holds for the fleet, whichever node a
request comes from and however the fleet is cut. Work that can't start soon is
rejected, the least important first, so that it runs elsewhere.

A node that was restarted doesn't know the limit. The nodes that passed on a
response that named it send it along with their requests.
"""

import dataclasses
import math

from fescueyard.admission import token_bucket
from fescueyard.core import logs
from fescueyard.core import notices

LOG = logs.ComponentLogger("admission")

# A server that takes nothing still gets a few requests, as only its responses
# can say that the limit has ended.
RATE_MIN_PER_S = 0.5
# Share of its latency objective that a request waits at most for the limit:
# while other servers of the service may have room, and when none has.
WAIT_OBJECTIVE_SHARE = 0.125
LAST_WAIT_OBJECTIVE_SHARE = 0.5
OBJECTIVE_DEFAULT_MS = 1_000  # for requests without an objective


@dataclasses.dataclass(slots=True)
class ServerLimit:
    """State of the limit of one backend server.

    :param rate_per_s: the limit; None while the server names none.
    :param bucket: the requests that it allows.
    :param named_at_ms: when a response last named the limit.
    :param heard: whether this node has had a response of the server.
    """

    rate_per_s: float | None = None
    bucket: token_bucket.TokenBucket = dataclasses.field(
        default_factory=token_bucket.TokenBucket
    )
    named_at_ms: float = float("-inf")
    heard: bool = False


def record_notice(limit, notice, run_started_at_ms, now_ms):
    """Record what a response of the backend server says about its limit.

    Responses may arrive in another order than they were written. One without
    a limit ends it only if its run started after the limit was last named.

    :param limit: :class:`ServerLimit`.
    :param notice: :class:`~fescueyard.core.notices.ServerNotice`.
    :param run_started_at_ms: when the run of the response was started.
    :param now_ms: the present time.
    """
    limit.heard = True
    rate_per_s = notice.rate_limit_per_s
    if rate_per_s is None:
        if run_started_at_ms > limit.named_at_ms:
            _change(limit, None, "response", now_ms)
    elif math.isnan(rate_per_s):
        LOG.warning("server_limit_unreadable", instance=notice.instance)
    else:
        limit.named_at_ms = now_ms
        _change(limit, rate_per_s, "response", now_ms)


def adopt(limit, notice, now_ms):
    """Adopt a limit that another node knows, if this node knows nothing yet.

    :param limit: :class:`ServerLimit`.
    :param notice: :class:`~fescueyard.core.notices.ServerNotice` of the same
        backend server.
    :param now_ms: the present time.
    """
    if limit.heard or notice.rate_limit_per_s is None:
        return
    limit.heard = True
    limit.named_at_ms = now_ms
    _change(limit, notice.rate_limit_per_s, "other_node", now_ms)


def may_start(limit, now_ms):
    """Return whether the limit lets one more request start.

    :param limit: :class:`ServerLimit`.
    :param now_ms: the present time.
    :returns: bool.
    """
    if limit.rate_per_s is None:
        return True
    token_bucket.refill(limit.bucket, _rate_per_s(limit), now_ms)
    return limit.bucket.tokens >= 1.0


def record_start(limit, now_ms):
    """Count a request that is sent to the backend server.

    :param limit: :class:`ServerLimit`.
    :param now_ms: the present time.
    """
    if limit.rate_per_s is not None:
        token_bucket.refill(limit.bucket, _rate_per_s(limit), now_ms)
        limit.bucket.tokens -= 1.0


def wait_ms(limit, ahead_count, now_ms):
    """Return how long the limit holds a request back.

    :param limit: :class:`ServerLimit`.
    :param ahead_count: requests that start before it.
    :param now_ms: the present time.
    :returns: ms; 0 without a limit.
    """
    if limit.rate_per_s is None:
        return 0.0
    return token_bucket.wait_ms(
        limit.bucket, _rate_per_s(limit), ahead_count, now_ms
    )


def wait_max_ms(objective_ms, may_wait):
    """Return how long a request waits at most for the limit.

    :param objective_ms: time left of its latency objective, in ms; 0 for
        none.
    :param may_wait: whether its sender knows no other server with room.
    :returns: ms.
    """
    share = LAST_WAIT_OBJECTIVE_SHARE if may_wait else WAIT_OBJECTIVE_SHARE
    return share * max(0.0, objective_ms or OBJECTIVE_DEFAULT_MS)


def to_notice(limit, backend):
    """Build the notice that is sent along with responses to other nodes.

    :param limit: :class:`ServerLimit`.
    :param backend: :class:`~fescueyard.admission.models.Backend`.
    :returns: :class:`~fescueyard.core.notices.ServerNotice`, or None when
        there is nothing to say.
    """
    if limit.rate_per_s is None and not backend.says_leaving:
        return None
    return notices.ServerNotice(
        limit.rate_per_s,
        backend.says_leaving,
        backend.instance,
        backend.born_ms,
    )


def _rate_per_s(limit):
    return max(RATE_MIN_PER_S, limit.rate_per_s)


def _change(limit, rate_per_s, basis, now_ms):
    if rate_per_s == limit.rate_per_s:
        return
    LOG.info(
        "server_limit_changed",
        rate_per_s=rate_per_s,
        previous=limit.rate_per_s,
        basis=basis,
    )
    if limit.rate_per_s is None:
        # The requests of the last moments were sent without a limit.
        limit.bucket = token_bucket.TokenBucket(0.0, now_ms)
    limit.rate_per_s = rate_per_s
