"""The request limit of a backend server that is cold.

Load pattern: a server that has just started tolerates a few requests per
second and crashes at a rate well above that, comes back cold and crashes
again, while the whole fleet has work for it. Its next heartbeat may arrive
seconds after it accepts connections. A heartbeat of the process before may
arrive even later, and say that the server is warm.

Every request to the server passes its own node, so one bucket there limits
the fleet. Requests are counted while the server is warm as well, so the bucket
is empty when it becomes cold under load.

A sign that the server may be another process than before is called a break,
such as a failed connection or a time in which the node was not scheduled.
After a break the server counts as cold, until a health response to a later
request says otherwise, or for the configured time after its first response.
"""

import dataclasses
import math

from fescueyard.admission import token_bucket
from fescueyard.core import logs

LOG = logs.ComponentLogger("admission")

# A heartbeat that arrives within this time after a broken connection may be of
# the process before, and doesn't shorten the time for which the server counts
# as cold. Heartbeats may be seconds late.
HEARTBEAT_DELAY_MAX_MS = 5_000
# A node that was not scheduled for this long may have missed a restart of its
# server, and handles requests before the broken connections. It ticks every
# 100 ms; with 1,000 ms a server got 18 requests after a shorter freeze.
STALL_MS = 250
# Heartbeats arrive about every 1,500 ms. Once the last one is older than this,
# the health path is requested before the server is taken for warm any longer.
HEARTBEAT_OVERDUE_MS = 2_500
# Shortest time between two requests for the health path.
HEALTH_INTERVAL_MS = 1_000


@dataclasses.dataclass(frozen=True, slots=True)
class KnownProcess:
    """What was known of the server's process before a break.

    :param until_ms: see :class:`ColdLimit`.
    :param reason: see :class:`ColdLimit`.
    :param broken_at_ms: see :class:`ColdLimit`.
    :param certain_until_ms: connections opened before then are its own.
    """

    until_ms: float
    reason: str
    broken_at_ms: float
    certain_until_ms: float


@dataclasses.dataclass(slots=True)
class ColdLimit:
    """State of the limit of one backend server.

    :param bucket: the requests that it allows.
    :param until_ms: time until which the server counts as cold; infinite while
        nothing has told how long.
    :param reason: what set ``until_ms`` last.
    :param broken_at_ms: time of the last break.
    :param break_count: number of breaks.
    :param before_break: what applies again if the process turns out to be
        the same; None once it is known which process runs.
    :param heard_at_ms: when the server last said how long it remains cold, in
        a message that can't be of the process before.
    :param queried_at_ms: when its health path was last requested.
    :param ticked_at_ms: when the node last ran its tick; None before.
    :param reported_until_ms: ``until_ms`` of the last log line; None once one
        said that the server is warm.
    """

    bucket: token_bucket.TokenBucket = dataclasses.field(
        default_factory=token_bucket.TokenBucket
    )
    until_ms: float = float("inf")
    reason: str = "node_started"
    broken_at_ms: float = float("-inf")
    break_count: int = 0
    before_break: KnownProcess | None = None
    heard_at_ms: float = float("-inf")
    queried_at_ms: float = float("-inf")
    ticked_at_ms: float | None = None
    reported_until_ms: float | None = None


def record_break(limit, reason, now_ms):
    """Record a break: the server may be another process from now on.

    :param limit: :class:`ColdLimit`.
    :param reason: what was seen, for the log.
    :param now_ms: the present time.
    """
    if limit.before_break is None:
        last_ms = limit.ticked_at_ms
        limit.before_break = KnownProcess(
            limit.until_ms,
            limit.reason,
            limit.broken_at_ms,
            # What happened since the last tick may be handled in any order.
            -math.inf if last_ms is None else last_ms,
        )
    limit.break_count += 1
    limit.broken_at_ms = now_ms
    limit.until_ms = math.inf
    limit.reason = reason


def record_connection(limit, connected_at_ms):
    """Record a response on a connection that was opened some time ago.

    Load pattern: a server spoils a part of its responses, or closes idle
    connections, while it is warm and under full load. Connections end with
    their process, so one that is older than the break and still carries
    responses shows that the process is the same.

    :param limit: :class:`ColdLimit`.
    :param connected_at_ms: when the connection was opened.
    :returns: whether this shows that the process is the same.
    """
    known = limit.before_break
    if known is None or connected_at_ms >= known.certain_until_ms:
        return False
    limit.before_break = None
    limit.until_ms = known.until_ms
    limit.reason = known.reason
    limit.broken_at_ms = known.broken_at_ms
    return True


def record_response(limit, run_started_at_ms, cold_start_ms, now_ms):
    """Record a response, which bounds how long the server counts as cold.

    After a break the start time of the process isn't known, but it is no later
    than its first response.

    :param limit: :class:`ColdLimit`.
    :param run_started_at_ms: when the run of the response was started.
    :param cold_start_ms: how long a process is cold after its start.
    :param now_ms: the present time.
    """
    if math.isinf(limit.until_ms) and run_started_at_ms > limit.broken_at_ms:
        limit.before_break = None
        limit.until_ms = now_ms + cold_start_ms
        limit.reason = "first_response"


def record_heartbeat(limit, cold_ms, is_current, now_ms):
    """Record how long a heartbeat says that the server remains cold.

    A heartbeat that may be of the process before can only lengthen the time
    for which the server counts as cold.

    :param limit: :class:`ColdLimit`.
    :param cold_ms: for how long the server remains cold; None when the
        heartbeat doesn't say so.
    :param is_current: whether it was accepted as the latest heartbeat of the
        registered process.
    :param now_ms: the present time.
    """
    if cold_ms is None:
        return
    check_stall(limit, now_ms)
    until_ms = now_ms + cold_ms
    may_be_late = now_ms - limit.broken_at_ms <= HEARTBEAT_DELAY_MAX_MS
    if is_current and not may_be_late:
        limit.heard_at_ms = now_ms
    elif not cold_ms or until_ms <= limit.until_ms:
        return
    limit.until_ms = until_ms
    limit.reason = "heartbeat"


def record_health_request(limit, rate_per_s, now_ms):
    """Count a request for the health path.

    :param limit: :class:`ColdLimit`.
    :param rate_per_s: the limit.
    :param now_ms: the present time.
    """
    limit.queried_at_ms = now_ms
    if rate_per_s:
        token_bucket.refill(limit.bucket, rate_per_s, now_ms)
        limit.bucket.tokens -= 1.0


def record_health_response(limit, cold_ms, break_count, now_ms):
    """Record what a health response says.

    :param limit: :class:`ColdLimit`.
    :param cold_ms: for how long the server remains cold; None when it doesn't
        say so, NaN when that can't be parsed.
    :param break_count: number of breaks when the request was sent. After a
        later break another process may run, so the response doesn't count.
    :param now_ms: the present time.
    :returns: whether the response counts.
    """
    if cold_ms is None:
        return False
    if math.isnan(cold_ms):
        LOG.warning("cold_time_unreadable")
        return False
    check_stall(limit, now_ms)
    if break_count != limit.break_count:
        return False
    limit.heard_at_ms = now_ms
    limit.before_break = None
    limit.until_ms = now_ms + cold_ms
    limit.reason = "health_response"
    return True


def tick(limit, now_ms):
    """Record that the node is scheduled; its first tick is a break.

    :param limit: :class:`ColdLimit`.
    :param now_ms: the present time.
    """
    if limit.ticked_at_ms is None:
        record_break(limit, "node_started", now_ms)
    check_stall(limit, now_ms)
    limit.ticked_at_ms = now_ms


def check_stall(limit, now_ms):
    """Record a break when the node was not scheduled for a while.

    What arrived meanwhile is handled afterwards, in any order.

    :param limit: :class:`ColdLimit`.
    :param now_ms: the present time.
    """
    last_ms = limit.ticked_at_ms
    if last_ms is not None and now_ms - last_ms > STALL_MS:
        record_break(limit, "node_stalled", now_ms)
        limit.ticked_at_ms = now_ms


def is_cold(limit, now_ms):
    """Return whether the server counts as cold.

    :param limit: :class:`ColdLimit`.
    :param now_ms: the present time.
    :returns: bool.
    """
    check_stall(limit, now_ms)
    return now_ms < limit.until_ms


def may_start(limit, rate_per_s, now_ms):
    """Return whether the limit lets one more request start.

    :param limit: :class:`ColdLimit`.
    :param rate_per_s: the limit; 0 for none.
    :param now_ms: the present time.
    :returns: bool.
    """
    if not rate_per_s or not is_cold(limit, now_ms):
        return True
    token_bucket.refill(limit.bucket, rate_per_s, now_ms)
    return limit.bucket.tokens >= 1.0


def record_start(limit, rate_per_s, now_ms):
    """Count a request that is sent to the backend server, warm or cold.

    :param limit: :class:`ColdLimit`.
    :param rate_per_s: the limit; 0 for none.
    :param now_ms: the present time.
    """
    if rate_per_s:
        token_bucket.refill(limit.bucket, rate_per_s, now_ms)
        # Never takes the bucket below zero, so that requests sent while the
        # server was warm delay none once it is cold. Only requests for the
        # health path do that.
        limit.bucket.tokens = max(
            min(0.0, limit.bucket.tokens), limit.bucket.tokens - 1.0
        )


def wait_ms(limit, rate_per_s, ahead_count, now_ms):
    """Return how long the limit holds a request back.

    :param limit: :class:`ColdLimit`.
    :param rate_per_s: the limit; 0 for none.
    :param ahead_count: requests that start before it.
    :param now_ms: the present time.
    :returns: ms; 0 while the server is warm.
    """
    if not rate_per_s or not is_cold(limit, now_ms):
        return 0.0
    return token_bucket.wait_ms(limit.bucket, rate_per_s, ahead_count, now_ms)


def may_query_health(limit, now_ms):
    """Return whether the server may be asked how long it remains cold.

    :param limit: :class:`ColdLimit`.
    :param now_ms: the present time.
    :returns: bool.
    """
    if now_ms - limit.queried_at_ms < HEALTH_INTERVAL_MS:
        return False
    if limit.heard_at_ms <= limit.broken_at_ms:
        return True
    return now_ms - limit.heard_at_ms > HEARTBEAT_OVERDUE_MS


def log_changes(limit, rate_per_s, now_ms):
    """Log when the server starts or ceases to count as cold, and until when.

    :param limit: :class:`ColdLimit`.
    :param rate_per_s: the limit; 0 for none.
    :param now_ms: the present time.
    """
    if not rate_per_s:
        return
    reported = limit.reported_until_ms
    if not is_cold(limit, now_ms):
        if reported is not None:
            LOG.info("cold_ended", reason=limit.reason)
            limit.reported_until_ms = None
        return
    is_known = not math.isinf(limit.until_ms)
    if reported is not None and is_known != math.isinf(reported):
        return
    limit.reported_until_ms = limit.until_ms
    left_ms = round(limit.until_ms - now_ms) if is_known else None
    LOG.info(
        "cold_started",
        reason=limit.reason,
        left_ms=left_ms,
        rate_per_s=rate_per_s,
    )
