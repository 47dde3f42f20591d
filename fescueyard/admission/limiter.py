"""Concurrency limit that follows the measured latency.

The limit shrinks when the latency of late rises above the usual latency times
the profile's tolerance, and grows while it is in use and latency is normal. It
never exceeds the slots that the backend server announced.
"""

import math

from fescueyard.admission import concurrency_share

SHORT_WEIGHT = 0.1
LONG_WEIGHT = 0.01
LONG_RECOVERY_WEIGHT = 0.1
GRADIENT_MIN = 0.5
LIMIT_WEIGHT = 0.2


def reset(row, slots):
    """Start afresh for a backend server that announced itself.

    :param row: :class:`~fescueyard.admission.models.ConcurrencyLimiter`.
    :param slots: requests it runs at once.
    """
    row.limit = float(slots)
    row.short_latency_ms = 0.0
    row.long_latency_ms = 0.0
    row.latency_by_priority_ms.clear()
    row.share_search = concurrency_share.ShareSearch()


def record_completion(row, priority, latency_ms, running, slots, profile):
    """Take in the end of a run.

    :param row: :class:`~fescueyard.admission.models.ConcurrencyLimiter`.
    :param priority: priority of the run.
    :param latency_ms: time at the backend server.
    :param running: requests that ran at the time, this one included.
    :param slots: requests the backend server runs at once.
    :param profile: :class:`~fescueyard.configuration.models.Profile`.
    """
    known_ms = row.latency_by_priority_ms.get(priority, latency_ms)
    row.latency_by_priority_ms[priority] = known_ms + SHORT_WEIGHT * (
        latency_ms - known_ms
    )
    if not row.long_latency_ms:
        row.short_latency_ms = row.long_latency_ms = max(latency_ms, 0.1)
        return
    row.short_latency_ms += SHORT_WEIGHT * (latency_ms - row.short_latency_ms)
    weight = LONG_WEIGHT
    if latency_ms < row.long_latency_ms / 2:
        # After a slow spell the usual latency has to come down quickly.
        weight = LONG_RECOVERY_WEIGHT
    row.long_latency_ms += weight * (latency_ms - row.long_latency_ms)
    gradient = (
        profile.latency_tolerance * row.long_latency_ms / row.short_latency_ms
    )
    gradient = min(1.0, max(GRADIENT_MIN, gradient))
    if gradient == 1.0 and running < row.limit / 2:
        return
    wanted = row.limit * gradient + math.sqrt(row.limit)
    row.limit += LIMIT_WEIGHT * (wanted - row.limit)
    lowest = max(
        profile.concurrency_min, slots * profile.concurrency_share_min
    )
    lowest = min(slots, lowest)
    row.limit = min(float(slots), max(float(lowest), row.limit))


def may_start(row, running):
    """Say whether one more request may run.

    :param row: :class:`~fescueyard.admission.models.ConcurrencyLimiter`.
    :param running: requests that run now.
    :returns: bool.
    """
    return running < current_limit(row)


def current_limit(row):
    """Say how many requests may run at once.

    :param row: :class:`~fescueyard.admission.models.ConcurrencyLimiter`.
    :returns: whole number.
    """
    return concurrency_share.effective_limit(row.share_search, int(row.limit))


def estimate_service_ms(row, priority):
    """Estimate how long a request runs once it has started.

    :param row: :class:`~fescueyard.admission.models.ConcurrencyLimiter`.
    :param priority: its priority.
    :returns: ms; 0 while nothing is known.
    """
    usual_ms = min(row.short_latency_ms, row.long_latency_ms)
    return row.latency_by_priority_ms.get(priority, usual_ms)


def estimate_wait_ms(row, ahead):
    """Estimate how long a request waits until it starts.

    :param row: :class:`~fescueyard.admission.models.ConcurrencyLimiter`.
    :param ahead: requests that start before it.
    :returns: ms; 0 while nothing is known.
    """
    if not row.short_latency_ms:
        return 0.0
    return (ahead + 1) * row.short_latency_ms / max(1.0, row.limit)
