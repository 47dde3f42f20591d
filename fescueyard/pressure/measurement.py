"""Pressure of a backend server, measured by the wait in its node's queue.

Load pattern: a service deep in the call graph receives more calls than it can
run. Each call that it rejects fails a complete chain of work already done
upstream. It therefore rejects as little as possible and reports the share of
the load that it can't serve; nodes that accept new work shed that share before
anything has run.

A reported share affects the arrivals only after the chains in progress have
completed. The demand without shedding is therefore estimated from the arrivals
and the share reported before them, and compared with the measured capacity.
"""

from fescueyard.pressure import models

# One round lasts from one adjustment to the next.
ADJUST_INTERVAL_MS = 100
WAIT_TARGET_MS = 20
# A single round above the target is not overload.
OVER_TARGET_ROUNDS_MIN = 2
# A wait this long, for this many adjustments, makes chains of several calls
# fail.
OVERLOADED_WAIT_MS = 100
OVERLOADED_ROUNDS_MIN = 2
# Adjustments until a reported share has reached the entry nodes and affects
# the arrivals here.
FEEDBACK_DELAY_ROUNDS = 10
DEMAND_EWMA_WEIGHT = 0.2
CAPACITY_EWMA_WEIGHT = 0.3
# Without a queue the capacity can't be measured and may be higher.
CAPACITY_GROWTH = 1.02
# After this many adjustments without a queue the estimated capacity counts as
# too low: a backend server that hung for a while leaves an estimate near zero.
ON_TARGET_ROUNDS_MIN = 10
ON_TARGET_GROWTH = 1.2
# Time within which a queue that is too long is drained.
DRAIN_MS = 150
DRAIN_SHARE_MAX = 0.5
GROW_SHARE_MAX = 0.05
ADJUST_WEIGHT = 0.5
ADMITTED_SHARE_MIN = 0.1
ADMITTED_SHARE_FULL = 0.995


def record_arrival(pressure):
    """Record the arrival of a request for the backend server.

    :param pressure: :class:`~fescueyard.pressure.models.BackendPressure`.
    """
    pressure.arrived += 1


def record_start(pressure, waited_ms):
    """Record the start of a request.

    :param pressure: :class:`~fescueyard.pressure.models.BackendPressure`.
    :param waited_ms: its queueing time, in ms.
    """
    pressure.started += 1
    pressure.waited_ms += waited_ms


def adjust(pressure, longest_wait_ms, now_ms):
    """Adjust the admitted share to arrivals and waits, at fixed intervals.

    :param pressure: :class:`~fescueyard.pressure.models.BackendPressure`.
    :param longest_wait_ms: queueing time of the oldest queued request, in ms.
    :param now_ms: the present time.
    """
    if now_ms < pressure.adjust_due_ms:
        return
    pressure.adjust_due_ms = now_ms + ADJUST_INTERVAL_MS
    wait_ms = longest_wait_ms
    if pressure.started:
        wait_ms = max(wait_ms / 2, pressure.waited_ms / pressure.started)
    _count_rounds(pressure, wait_ms)
    _update_capacity(pressure)
    demand = _estimate_demand(pressure)
    _update_admitted_share(pressure, _target_share(pressure, demand, wait_ms))
    pressure.arrived = pressure.started = 0
    pressure.waited_ms = 0.0


def _count_rounds(pressure, wait_ms):
    if wait_ms > WAIT_TARGET_MS:
        pressure.over_target_rounds += 1
        pressure.on_target_rounds = 0
    else:
        pressure.over_target_rounds = 0
        pressure.on_target_rounds += 1
    if wait_ms > OVERLOADED_WAIT_MS:
        pressure.overloaded_rounds += 1
    else:
        pressure.overloaded_rounds = 0


def _update_capacity(pressure):
    """Estimate how many requests start in a round while work is queued."""
    if not pressure.over_target_rounds:
        pressure.capacity *= CAPACITY_GROWTH
        return
    capacity = pressure.capacity or float(pressure.started)
    pressure.capacity = capacity + CAPACITY_EWMA_WEIGHT * (
        pressure.started - capacity
    )


def _estimate_demand(pressure):
    """Estimate the arrivals in a round if nothing were shed."""
    pressure.arrivals_mean += DEMAND_EWMA_WEIGHT * (
        pressure.arrived - pressure.arrivals_mean
    )
    pressure.past_admitted_shares.append(pressure.admitted_share)
    effective_share = 1.0
    if len(pressure.past_admitted_shares) > FEEDBACK_DELAY_ROUNDS:
        effective_share = pressure.past_admitted_shares.pop(0)
    pressure.admitted_share_mean += DEMAND_EWMA_WEIGHT * (
        effective_share - pressure.admitted_share_mean
    )
    return pressure.arrivals_mean / pressure.admitted_share_mean


def _target_share(pressure, demand, wait_ms):
    excess = (wait_ms - WAIT_TARGET_MS) / DRAIN_MS
    excess = min(DRAIN_SHARE_MAX, max(-GROW_SHARE_MAX, excess))
    if not pressure.over_target_rounds and not pressure.capacity:
        return 1.0
    share = pressure.capacity * (1 - excess) / max(demand, 0.01)
    if pressure.on_target_rounds >= ON_TARGET_ROUNDS_MIN:
        share = max(share, ON_TARGET_GROWTH * pressure.admitted_share)
    return min(1.0, max(ADMITTED_SHARE_MIN, share))


def _update_admitted_share(pressure, target_share):
    if (
        pressure.over_target_rounds < OVER_TARGET_ROUNDS_MIN
        and pressure.admitted_share >= 1.0
    ):
        return
    pressure.admitted_share += ADJUST_WEIGHT * (
        target_share - pressure.admitted_share
    )
    if pressure.admitted_share > ADMITTED_SHARE_FULL:
        pressure.admitted_share = 1.0


def is_overloaded(pressure):
    """Return whether the queueing time has been too long for a while.

    :param pressure: :class:`~fescueyard.pressure.models.BackendPressure`.
    :returns: bool.
    """
    return pressure.overloaded_rounds >= OVERLOADED_ROUNDS_MIN


def own_pressure(pressure, service):
    """Return the pressure of the backend server itself.

    :param pressure: :class:`~fescueyard.pressure.models.BackendPressure`.
    :param service: its service.
    :returns: :class:`~fescueyard.pressure.models.Pressure`.
    """
    if pressure.admitted_share >= 1.0:
        return models.NO_PRESSURE
    return models.Pressure(1.0 - pressure.admitted_share, service)
