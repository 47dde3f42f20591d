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
LATE_ROUNDS = 2
# A wait this long, for so many adjustments, ruins chains of several calls.
OVERLOADED_WAIT_MS = 100
OVERLOADED_ROUNDS = 2
# Adjustments until what was said has reached the doors and shows here.
EFFECT_ROUNDS = 10
SMOOTHING = 0.2
CAPACITY_SMOOTHING = 0.3
# Without a queue the capacity is unknown; it may be more.
CAPACITY_GROWTH = 1.02
# After so many adjustments without a queue the capacity known is too low; a
# backend server that hung for a while leaves next to none behind.
QUIET_ROUNDS = 10
QUIET_GROWTH = 1.2
# A queue that is too long is to be gone within this time.
DRAIN_MS = 150
DRAIN_SHARE_MAX = 0.5
GROW_SHARE_MAX = 0.05
APPROACH = 0.5
KEPT_MIN = 0.1
KEPT_WHOLE = 0.995


def note_arrival(row):
    """Count a request for the backend server.

    :param row: :class:`~fescueyard.pressure.models.SourceRow`.
    """
    row.arrived += 1


def note_start(row, waited_ms):
    """Count a request that starts.

    :param row: :class:`~fescueyard.pressure.models.SourceRow`.
    :param waited_ms: how long it was queued.
    """
    row.started += 1
    row.waited_ms += waited_ms


def adjust(row, head_waited_ms, now_ms):
    """Follow the arrivals and the wait of late, at fixed intervals.

    :param row: :class:`~fescueyard.pressure.models.SourceRow`.
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
    _follow_capacity(row)
    demand = _demand(row)
    _approach(row, _share_to_keep(row, demand, wait_ms))
    row.arrived = row.started = 0
    row.waited_ms = 0.0


def _count_rounds(row, wait_ms):
    if wait_ms > WAIT_TARGET_MS:
        row.late_rounds += 1
        row.quiet_rounds = 0
    else:
        row.late_rounds = 0
        row.quiet_rounds += 1
    if wait_ms > OVERLOADED_WAIT_MS:
        row.overloaded_rounds += 1
    else:
        row.overloaded_rounds = 0


def _follow_capacity(row):
    """Learn what the backend server starts in a round while work waits."""
    if not row.late_rounds:
        row.capacity *= CAPACITY_GROWTH
        return
    known = row.capacity or float(row.started)
    row.capacity = known + CAPACITY_SMOOTHING * (row.started - known)


def _demand(row):
    """Work out what would arrive in a round if nothing were turned away."""
    row.arrivals_mean += SMOOTHING * (row.arrived - row.arrivals_mean)
    row.kept_before.append(row.kept)
    kept = 1.0
    if len(row.kept_before) > EFFECT_ROUNDS:
        kept = row.kept_before.pop(0)
    row.kept_mean += SMOOTHING * (kept - row.kept_mean)
    return row.arrivals_mean / row.kept_mean


def _share_to_keep(row, demand, wait_ms):
    excess = (wait_ms - WAIT_TARGET_MS) / DRAIN_MS
    excess = min(DRAIN_SHARE_MAX, max(-GROW_SHARE_MAX, excess))
    if not row.late_rounds and not row.capacity:
        return 1.0
    share = row.capacity * (1 - excess) / max(demand, 0.01)
    if row.quiet_rounds >= QUIET_ROUNDS:
        share = max(share, QUIET_GROWTH * row.kept)
    return min(1.0, max(KEPT_MIN, share))


def _approach(row, wanted):
    if row.late_rounds < LATE_ROUNDS and row.kept >= 1.0:
        return
    row.kept += APPROACH * (wanted - row.kept)
    if row.kept > KEPT_WHOLE:
        row.kept = 1.0


def is_overloaded(row):
    """Say whether the wait has been too long for a while.

    :param row: :class:`~fescueyard.pressure.models.SourceRow`.
    :returns: bool.
    """
    return row.overloaded_rounds >= OVERLOADED_ROUNDS


def own_pressure(row, service):
    """Say what the backend server can't take.

    :param row: :class:`~fescueyard.pressure.models.SourceRow`.
    :param service: its service.
    :returns: :class:`~fescueyard.pressure.models.Pressure`.
    """
    if row.kept >= 1.0:
        return models.NONE
    return models.Pressure(1.0 - row.kept, service)
