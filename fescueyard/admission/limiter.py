"""Adaptive concurrency limit, derived from the measured latency.

The limit shrinks when the recent latency exceeds the long-term latency times
the profile's tolerance, and grows while it is in use and the latency is
normal. It never exceeds the slots that the backend server announced.
"""

import math

from fescueyard.admission import concurrency_share

SHORT_WEIGHT = 0.1
LONG_WEIGHT = 0.01
LONG_RECOVERY_WEIGHT = 0.1
GRADIENT_MIN = 0.5
LIMIT_WEIGHT = 0.2


def reset(limiter, slots):
    """Reset the limit for a backend server that announced itself.

    :param limiter: :class:`~fescueyard.admission.models.ConcurrencyLimiter`.
    :param slots: requests it can run concurrently.
    """
    limiter.limit = float(slots)
    limiter.short_latency_ms = 0.0
    limiter.long_latency_ms = 0.0
    limiter.latency_by_priority_ms.clear()
    limiter.share_search = concurrency_share.ShareSearch()


def record_completion(limiter, priority, latency_ms, running, slots, profile):
    """Adjust the limit to the latency of a completed run.

    :param limiter: :class:`~fescueyard.admission.models.ConcurrencyLimiter`.
    :param priority: priority of the run.
    :param latency_ms: time at the backend server, in ms.
    :param running: requests running at the time, this one included.
    :param slots: requests the backend server can run concurrently.
    :param profile: :class:`~fescueyard.configuration.models.Profile`.
    """
    smoothed_ms = limiter.latency_by_priority_ms.get(priority, latency_ms)
    limiter.latency_by_priority_ms[priority] = smoothed_ms + SHORT_WEIGHT * (
        latency_ms - smoothed_ms
    )
    if not limiter.long_latency_ms:
        limiter.short_latency_ms = limiter.long_latency_ms = max(
            latency_ms, 0.1
        )
        return
    limiter.short_latency_ms += SHORT_WEIGHT * (
        latency_ms - limiter.short_latency_ms
    )
    weight = LONG_WEIGHT
    if latency_ms < limiter.long_latency_ms / 2:
        # Let the long-term latency recover quickly after a slow period.
        weight = LONG_RECOVERY_WEIGHT
    limiter.long_latency_ms += weight * (latency_ms - limiter.long_latency_ms)
    gradient = (
        profile.latency_tolerance
        * limiter.long_latency_ms
        / limiter.short_latency_ms
    )
    gradient = min(1.0, max(GRADIENT_MIN, gradient))
    if gradient == 1.0 and running < limiter.limit / 2:
        return
    target = limiter.limit * gradient + math.sqrt(limiter.limit)
    limiter.limit += LIMIT_WEIGHT * (target - limiter.limit)
    limit_min = max(
        profile.concurrency_min, slots * profile.concurrency_share_min
    )
    limit_min = min(slots, limit_min)
    limiter.limit = min(float(slots), max(float(limit_min), limiter.limit))


def may_start(limiter, running):
    """Return whether one more request may start.

    :param limiter: :class:`~fescueyard.admission.models.ConcurrencyLimiter`.
    :param running: requests running now.
    :returns: bool.
    """
    return running < current_limit(limiter)


def current_limit(limiter):
    """Return the number of requests that may run concurrently.

    :param limiter: :class:`~fescueyard.admission.models.ConcurrencyLimiter`.
    :returns: whole number.
    """
    return concurrency_share.effective_limit(
        limiter.share_search, int(limiter.limit)
    )


def estimate_service_ms(limiter, priority):
    """Estimate the service time of a request.

    :param limiter: :class:`~fescueyard.admission.models.ConcurrencyLimiter`.
    :param priority: priority of the request.
    :returns: ms; 0 before the first measurement.
    """
    usual_ms = min(limiter.short_latency_ms, limiter.long_latency_ms)
    return limiter.latency_by_priority_ms.get(priority, usual_ms)


def estimate_wait_ms(limiter, ahead_count):
    """Estimate the queueing time of a request.

    :param limiter: :class:`~fescueyard.admission.models.ConcurrencyLimiter`.
    :param ahead_count: requests that start before it.
    :returns: ms; 0 before the first measurement.
    """
    if not limiter.short_latency_ms:
        return 0.0
    return (
        (ahead_count + 1) * limiter.short_latency_ms / max(1.0, limiter.limit)
    )
