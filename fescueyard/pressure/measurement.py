"""Pressure of a backend server, measured by the wait in its node's queue.

Load pattern: a service deep in the graph gets more calls than it can run.
Whatever it refuses fails a whole chain of work that was already done above it.
So it refuses as little as it can and says how much of the load it can take;
nodes that take new work turn the rest away before anything has run.

What it says shows in its arrivals only after the chains under way have ended.
So it works out what would come if nothing were turned away, from the arrivals
and what it said before them, and compares that with what it gets done.
"""

from fescueyard.pressure import models

ADJUST_MS = 100
WAIT_TARGET_MS = 20
# One busy moment is no overload.
OVER_TARGET_ROUNDS_MIN = 2
# A wait this long, for so many adjustments, ruins chains of several calls.
OVERLOADED_WAIT_MS = 100
OVERLOADED_ROUNDS = 2
# Adjustments until what was said has reached the doors and shows here.
FEEDBACK_DELAY_ROUNDS = 10
DEMAND_SMOOTHING = 0.2
CAPACITY_SMOOTHING = 0.3
# Without a queue the capacity is unknown; it may be more.
CAPACITY_GROWTH = 1.02
# After so many adjustments without a queue the capacity known is too low; a
# backend server that hung for a while leaves next to none behind.
ON_TARGET_ROUNDS_MIN = 10
ON_TARGET_GROWTH = 1.2
# A queue that is too long is to be gone within this time.
DRAIN_MS = 150
DRAIN_SHARE_MAX = 0.5
GROW_SHARE_MAX = 0.05
ADJUST_WEIGHT = 0.5
ADMITTED_SHARE_MIN = 0.1
ADMITTED_SHARE_FULL = 0.995


def record_arrival(row):
    """Count a request for the backend server.

    :param row: :class:`~fescueyard.pressure.models.BackendPressure`.
    """
    row.arrived += 1


def record_start(row, waited_ms):
    """Count a request that starts.

    :param row: :class:`~fescueyard.pressure.models.BackendPressure`.
    :param waited_ms: how long it was queued.
    """
    row.started += 1
    row.waited_ms += waited_ms


def adjust(row, head_waited_ms, now_ms):
    """Follow the arrivals and the wait of late, at fixed intervals.

    :param row: :class:`~fescueyard.pressure.models.BackendPressure`.
    :param head_waited_ms: how long the longest queued request has waited.
    :param now_ms: the present time.
    """
    if now_ms < row.adjust_due_ms:
        return
    row.adjust_due_ms = now_ms + ADJUST_MS
    wait_ms = head_waited_ms
    if row.started:
        wait_ms = max(wait_ms / 2, row.waited_ms / row.started)
    _count_rounds(row, wait_ms)
    _update_capacity(row)
    demand = _estimate_demand(row)
    _move_towards(row, _target_share(row, demand, wait_ms))
    row.arrived = row.started = 0
    row.waited_ms = 0.0


def _count_rounds(row, wait_ms):
    if wait_ms > WAIT_TARGET_MS:
        row.over_target_rounds += 1
        row.on_target_rounds = 0
    else:
        row.over_target_rounds = 0
        row.on_target_rounds += 1
    if wait_ms > OVERLOADED_WAIT_MS:
        row.overloaded_rounds += 1
    else:
        row.overloaded_rounds = 0


def _update_capacity(row):
    """Learn what the backend server starts in a round while work waits."""
    if not row.over_target_rounds:
        row.capacity *= CAPACITY_GROWTH
        return
    known = row.capacity or float(row.started)
    row.capacity = known + CAPACITY_SMOOTHING * (row.started - known)


def _estimate_demand(row):
    """Work out what would arrive in a round if nothing were turned away."""
    row.arrivals_mean += DEMAND_SMOOTHING * (row.arrived - row.arrivals_mean)
    row.past_admitted_shares.append(row.admitted_share)
    kept = 1.0
    if len(row.past_admitted_shares) > FEEDBACK_DELAY_ROUNDS:
        kept = row.past_admitted_shares.pop(0)
    row.admitted_share_mean += DEMAND_SMOOTHING * (
        kept - row.admitted_share_mean
    )
    return row.arrivals_mean / row.admitted_share_mean


def _target_share(row, demand, wait_ms):
    excess = (wait_ms - WAIT_TARGET_MS) / DRAIN_MS
    excess = min(DRAIN_SHARE_MAX, max(-GROW_SHARE_MAX, excess))
    if not row.over_target_rounds and not row.capacity:
        return 1.0
    share = row.capacity * (1 - excess) / max(demand, 0.01)
    if row.on_target_rounds >= ON_TARGET_ROUNDS_MIN:
        share = max(share, ON_TARGET_GROWTH * row.admitted_share)
    return min(1.0, max(ADMITTED_SHARE_MIN, share))


def _move_towards(row, wanted):
    if (
        row.over_target_rounds < OVER_TARGET_ROUNDS_MIN
        and row.admitted_share >= 1.0
    ):
        return
    row.admitted_share += ADJUST_WEIGHT * (wanted - row.admitted_share)
    if row.admitted_share > ADMITTED_SHARE_FULL:
        row.admitted_share = 1.0


def is_overloaded(row):
    """Say whether the wait has been too long for a while.

    :param row: :class:`~fescueyard.pressure.models.BackendPressure`.
    :returns: bool.
    """
    return row.overloaded_rounds >= OVERLOADED_ROUNDS


def own_pressure(row, service):
    """Say what the backend server can't take.

    :param row: :class:`~fescueyard.pressure.models.BackendPressure`.
    :param service: its service.
    :returns: :class:`~fescueyard.pressure.models.Pressure`.
    """
    if row.admitted_share >= 1.0:
        return models.NO_PRESSURE
    return models.Pressure(1.0 - row.admitted_share, service)
