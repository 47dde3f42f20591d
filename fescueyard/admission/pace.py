"""The pace at which a starting or recovering backend server gets more work.

Load pattern: a server that has just started, or recovers from being slow, from
failing, from flapping or from a freeze, can't run as many requests at once as
its slots allow. With full load at once it becomes slow or fails again; with a
fixed ramp it is idle while the others are overloaded.

A window caps the requests that run at the server at once. Each round of
responses that used the window and were good doubles it, or adds a tenth of the
slots once it has reached the size at which there was trouble before. Trouble
within a round shrinks it at once. The round counts only requests that started
after the last change, so one disturbance counts once. Nothing changes without
requests, so an idle server gets no probes.

Latency counts as trouble only while the server starts. Later it may come from
a service further down the chain, which fewer requests here don't make faster.
"""

import dataclasses
import math

from fescueyard.core import logs

LOG = logs.ComponentLogger("admission")

# Requests that may run at once after a start; failures don't shrink the window
# below it either.
WINDOW_MIN = 2.0
# Factor by which a good round grows the window, up to the threshold.
GROWTH = 2.0
# Share of the slots that a good round adds to the window above the threshold.
STEP_SHARE = 0.1
# Factors by which failures and high latency shrink the window.
FAILURE_SHRINK = 0.5
LATENCY_SHRINK = 0.7
# A round that used a smaller share of the window doesn't show that the server
# tolerates a larger one.
USED_SHARE_MIN = 0.5
# Shares of a round that have to fail to shrink the window: of a server that
# starts, and of one with full load, which may fail for a service below it.
FAILED_SHARE_STARTING = 0.3
FAILED_SHARE_FULL = 0.5
# Lowest number of requests in a round of a server with full load.
ROUND_MIN_FULL = 10
# Weight of one response in the moving average of the usual latency.
USUAL_EWMA_WEIGHT = 0.05
# A server is paced once it has counted as cold for this long. A health
# response tells sooner that a broken connection was not the end of a process.
COLD_MIN_MS = 200


@dataclasses.dataclass(slots=True)
class Pace:
    """State of the pace of one backend server.

    :param window: requests that may run at once; infinite with full load, that
        is, when the pace doesn't limit the server.
    :param threshold: number of requests up to which the window doubles.
    :param changed_at_ms: when it last changed, or a round ended.
    :param completed: requests of the round that have ended.
    :param failed: those of them that failed.
    :param latency_sum_ms: sum of the latencies of the others.
    :param running_max: most requests running at once in the round.
    :param usual_ms: moving average of the latency of good responses with full
        load; 0 if not known. It is kept when the server's process restarts.
    :param best_ms: lowest mean latency of a round since the start; 0 if not
        known.
    :param cold_since_ms: since when the server counts as cold; None if warm.
    """

    window: float = math.inf
    threshold: float = math.inf
    changed_at_ms: float = float("-inf")
    completed: int = 0
    failed: int = 0
    latency_sum_ms: float = 0.0
    running_max: int = 0
    usual_ms: float = 0.0
    best_ms: float = 0.0
    cold_since_ms: float | None = None


@dataclasses.dataclass(slots=True)
class Completion:
    """The end of a request.

    :param started_at_ms: when it was sent to the server.
    :param is_good: whether the server ran it and responded without an error.
    :param running: requests running at its end, itself included.
    :param slots: requests that the server can run concurrently.
    :param service_latency_ms: usual latency of the service; 0 if not known.
    :param latency_tolerance: ratio to the usual latency above which a round
        counts as trouble.
    """

    started_at_ms: float
    is_good: bool
    running: int
    slots: int
    service_latency_ms: float
    latency_tolerance: float


def update_cold(pace, is_cold, now_ms):
    """Start the server over once it has counted as cold for a while.

    :param pace: :class:`Pace`.
    :param is_cold: whether it counts as cold.
    :param now_ms: the present time.
    """
    if not is_cold:
        pace.cold_since_ms = None
    elif pace.cold_since_ms is None:
        pace.cold_since_ms = now_ms
    elif now_ms - pace.cold_since_ms >= COLD_MIN_MS:
        if pace.window > WINDOW_MIN:
            pace.threshold = math.inf
            _set_window(pace, WINDOW_MIN, "cold", now_ms)
        pace.best_ms = 0.0


def may_start(pace, running):
    """Return whether the window lets one more request start.

    :param pace: :class:`Pace`.
    :param running: requests running now.
    :returns: bool.
    """
    return running < pace.window


def record_completion(pace, completion, now_ms):
    """Record the end of a request and adjust the window.

    :param pace: :class:`Pace`.
    :param completion: :class:`Completion`.
    :param now_ms: the present time.
    """
    if completion.started_at_ms <= pace.changed_at_ms:
        return
    _add_to_round(pace, completion, now_ms)
    is_starting = not math.isinf(pace.window)
    if is_starting:
        round_size = max(WINDOW_MIN, pace.window)
        failed_share = FAILED_SHARE_STARTING
    else:
        round_size = max(ROUND_MIN_FULL, pace.running_max)
        failed_share = FAILED_SHARE_FULL
    if pace.failed >= max(1.0, failed_share * round_size):
        size = min(pace.window, pace.running_max)
        _shrink(pace, size * FAILURE_SHRINK, "failures", now_ms)
    elif pace.completed >= round_size:
        if is_starting:
            _evaluate_round(pace, completion, now_ms)
        _start_round(pace, now_ms)


def wait_ms(pace, running, ahead_count, latency_ms):
    """Return how long the window holds a request back.

    :param pace: :class:`Pace`.
    :param running: requests running now.
    :param ahead_count: requests that start before it.
    :param latency_ms: recent latency of the server.
    :returns: ms; 0 with full load.
    """
    if math.isinf(pace.window):
        return 0.0
    missing = ahead_count + 1 - max(0.0, pace.window - running)
    return max(0.0, missing) * latency_ms / pace.window


def _add_to_round(pace, completion, now_ms):
    pace.completed += 1
    pace.failed += not completion.is_good
    pace.running_max = max(pace.running_max, completion.running)
    if completion.is_good:
        latency_ms = now_ms - completion.started_at_ms
        pace.latency_sum_ms += latency_ms
        if math.isinf(pace.window):
            _update_usual_latency(pace, latency_ms)


def _evaluate_round(pace, completion, now_ms):
    """Adjust the window of a starting server to a round that has ended."""
    good = pace.completed - pace.failed
    mean_ms = pace.latency_sum_ms / good if good else 0.0
    best_ms = pace.best_ms or mean_ms
    pace.best_ms = min(best_ms, mean_ms) if mean_ms else best_ms
    usual_ms = pace.usual_ms or completion.service_latency_ms
    reference_ms = max(usual_ms, pace.best_ms)
    if mean_ms > completion.latency_tolerance * reference_ms:
        _shrink(pace, pace.window * LATENCY_SHRINK, "latency", now_ms)
    elif pace.running_max >= USED_SHARE_MIN * pace.window:
        _grow(pace, completion.slots, now_ms)


def _update_usual_latency(pace, latency_ms):
    usual_ms = pace.usual_ms or latency_ms
    pace.usual_ms = usual_ms + USUAL_EWMA_WEIGHT * (latency_ms - usual_ms)


def _grow(pace, slots, now_ms):
    window = pace.window + max(1.0, STEP_SHARE * slots)
    if pace.window < pace.threshold:
        window = min(max(pace.threshold, window), GROWTH * pace.window)
    if window >= slots:
        window = pace.threshold = math.inf
    _set_window(pace, window, "good_round", now_ms)


def _shrink(pace, window, reason, now_ms):
    window = max(WINDOW_MIN, window)
    pace.threshold = window
    _set_window(pace, window, reason, now_ms)


def _set_window(pace, window, reason, now_ms):
    if window != pace.window:
        LOG.info(
            "pace_changed",
            window=_rounded(window),
            previous=_rounded(pace.window),
            reason=reason,
            failed=pace.failed,
            completed=pace.completed,
        )
    pace.window = window
    _start_round(pace, now_ms)


def _start_round(pace, now_ms):
    pace.changed_at_ms = now_ms
    pace.completed = pace.failed = pace.running_max = 0
    pace.latency_sum_ms = 0.0


def _rounded(window):
    return None if math.isinf(window) else round(window, 1)
