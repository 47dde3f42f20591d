"""Pressure of a backend server, measured by the wait in its node's queue.

Load pattern: a service deep in the graph gets more calls than it can run.
Whatever it refuses fails a whole chain of work that was already done above it.
So it refuses as little as it can and says how much of the load it can take;
nodes that take new work turn the rest away before anything has run.
"""

from fescueyard.pressure import models

ADJUST_MS = 100
WAIT_TARGET_MS = 40
# One busy moment is no overload.
LATE_ROUNDS = 2
# The pressure needs about so long to take effect; a wait that lasts is more.
OVERLOADED_ROUNDS = 9
# What was turned away shows here only after the calls on their way have come.
HOLD_MS = 300
SHRINK_MIN = 0.75
SHRINK_MAX = 0.95
GROW = 1.05
KEPT_MIN = 0.1


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
    """Follow the wait of late, at fixed intervals.

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
    if wait_ms <= WAIT_TARGET_MS:
        row.late_rounds = 0
        row.kept = min(1.0, row.kept * GROW)
    else:
        row.late_rounds += 1
        if row.late_rounds >= LATE_ROUNDS and now_ms >= row.hold_until_ms:
            ratio = row.started / max(1, row.arrived)
            shrink = min(SHRINK_MAX, max(SHRINK_MIN, ratio))
            row.kept = max(KEPT_MIN, row.kept * shrink)
            row.hold_until_ms = now_ms + HOLD_MS
    row.arrived = row.started = 0
    row.waited_ms = 0.0


def is_overloaded(row):
    """Say whether the wait has been too long for a while.

    :param row: :class:`~fescueyard.pressure.models.SourceRow`.
    :returns: bool.
    """
    return row.late_rounds >= OVERLOADED_ROUNDS


def own_pressure(row, service):
    """Say what the backend server can't take.

    :param row: :class:`~fescueyard.pressure.models.SourceRow`.
    :param service: its service.
    :returns: :class:`~fescueyard.pressure.models.Pressure`.
    """
    if row.kept >= 1.0:
        return models.NONE
    return models.Pressure(1.0 - row.kept, service)
