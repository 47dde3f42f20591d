"""Load shedding at entry, least important work first.

Load pattern: a surge at several entry services whose call chains all end at
one overloaded service. Every response carries the pressure of the chain behind
it. A node that accepts new work counts it by rank for each bottleneck and
sheds the share that the bottleneck can't serve, from the least important rank
up. Calls of work in progress are never shed here.
"""

from fescueyard.pressure import measurement
from fescueyard.pressure import models

SHARE_EWMA_WEIGHT = 0.5
REPORT_HALF_LIFE_MS = 1_500
COUNT_HALF_LIFE_MS = 1_000
CALL_HALF_LIFE_MS = 1_000
# A backend server that calls a service less often than once in this many
# runs does not depend on it. External callers occasionally use the routes of
# backend calls too; counted as calls, they would make pressure propagate in
# circles.
RUNS_PER_CALL_MAX = 10.0
SHED_SHARE_MIN = 0.02
# Part of each rank is always admitted, so that no rank starves.
RANK_SHED_SHARE_MAX = 0.75
# A request that has used more than this share of its objective is expected to
# miss it.
OBJECTIVE_USED_SHARE_MAX = 0.7


def record_response(table, service, reported, is_backend_call, now_ms):
    """Record the pressure that a response carried.

    :param table: :class:`~fescueyard.pressure.models.PressureTable`.
    :param service: service that responded.
    :param reported: :class:`~fescueyard.pressure.models.Pressure`.
    :param is_backend_call: whether the response is to a call of a backend
        server.
    :param now_ms: the present time.
    """
    service_pressure = table.by_service.setdefault(
        service, models.ServicePressure()
    )
    current_share = _decayed_share(service_pressure, now_ms)
    service_pressure.share = current_share + SHARE_EWMA_WEIGHT * (
        reported.share - current_share
    )
    if reported.bottleneck:
        service_pressure.bottleneck = reported.bottleneck
    service_pressure.reported_at_ms = now_ms
    if is_backend_call:
        _record_event(service_pressure.calls, now_ms)


def record_run(table, now_ms):
    """Record a run of this VM's backend server.

    :param table: :class:`~fescueyard.pressure.models.PressureTable`.
    :param now_ms: the present time.
    """
    _record_event(table.runs, now_ms)


def chain_pressure(table, service, now_ms):
    """Return the highest pressure of this VM's backend server and its callees.

    :param table: :class:`~fescueyard.pressure.models.PressureTable`.
    :param service: service of the backend server.
    :param now_ms: the present time.
    :returns: :class:`~fescueyard.pressure.models.Pressure`.
    """
    worst = measurement.own_pressure(table.backend, service)
    run_count = _decayed_count(table.runs, now_ms)
    for downstream in table.by_service.values():
        call_count = _decayed_count(downstream.calls, now_ms)
        if (
            downstream.bottleneck == service
            or RUNS_PER_CALL_MAX * call_count < run_count
        ):
            continue
        share = _decayed_share(downstream, now_ms)
        if share > worst.share:
            worst = models.Pressure(share, downstream.bottleneck)
    return worst


def rank_request(table, route, priority, left_ms, objective_ms):
    """Rank a new request by priority, then by whether it can be on time.

    Load pattern: a sustained surge in which each rejected caller retries once.
    If these retries ranked first, they would use up the capacity although
    their responses are too late, and new requests would be rejected and become
    late retries themselves. A request that can't meet its objective therefore
    ranks after others of its priority.

    :param table: :class:`~fescueyard.pressure.models.PressureTable`.
    :param route: name of its route.
    :param priority: its priority.
    :param left_ms: time that its caller has left, in ms.
    :param objective_ms: time from its caller's first attempt within which a
        response is in time, in ms; 0 for none.
    :returns: whole number, the lowest is the most important.
    """
    longest_left_ms = max(table.longest_left_ms.get(route, 0.0), left_ms)
    table.longest_left_ms[route] = longest_left_ms
    used_ms = longest_left_ms - left_ms
    is_late = 0 < OBJECTIVE_USED_SHARE_MAX * objective_ms < used_ms
    return 2 * priority + int(is_late)


def shed_share(table, service, request_rank, now_ms):
    """Decide whether a new request is shed.

    :param table: :class:`~fescueyard.pressure.models.PressureTable`.
    :param service: target service.
    :param request_rank: its rank.
    :param now_ms: the present time.
    :returns: share of its rank that is shed now, if this request is shed; 0
        if it is admitted.
    """
    service_pressure = table.by_service.get(service)
    if service_pressure is None or not service_pressure.bottleneck:
        return 0.0
    demand = table.by_bottleneck.setdefault(
        service_pressure.bottleneck, models.BottleneckDemand()
    )
    _decay_counts(demand, now_ms)
    rank_demand = demand.ranks.setdefault(request_rank, models.RankDemand())
    rank_demand.count += 1
    share = _decayed_share(service_pressure, now_ms)
    if share < SHED_SHARE_MIN:
        return 0.0
    rank_share = _shed_share_of_rank(demand, request_rank, share)
    rank_demand.credit = min(2.0, rank_demand.credit + rank_share)
    if rank_demand.credit < 1.0:
        return 0.0
    rank_demand.credit -= 1.0
    return rank_share


def _shed_share_of_rank(demand, request_rank, share):
    """Return the share of one rank to shed, least important ranks first."""
    remaining_count = share * sum(
        rank_demand.count for rank_demand in demand.ranks.values()
    )
    for rank in sorted(demand.ranks, reverse=True):
        count = demand.ranks[rank].count
        shed_count = min(remaining_count, RANK_SHED_SHARE_MAX * count)
        if rank == request_rank:
            return shed_count / count if count else 0.0
        remaining_count -= shed_count
    return 0.0


def _decay_counts(demand, now_ms):
    elapsed_ms = now_ms - demand.decayed_at_ms
    if elapsed_ms < COUNT_HALF_LIFE_MS / 10:
        return
    demand.decayed_at_ms = now_ms
    factor = 0.5 ** (elapsed_ms / COUNT_HALF_LIFE_MS)
    for rank_demand in demand.ranks.values():
        rank_demand.count *= factor


def _record_event(counter, now_ms):
    counter.count = 1.0 + _decayed_count(counter, now_ms)
    counter.counted_at_ms = now_ms


def _decayed_count(counter, now_ms):
    age_ms = now_ms - counter.counted_at_ms
    return counter.count * 0.5 ** (age_ms / CALL_HALF_LIFE_MS)


def _decayed_share(service_pressure, now_ms):
    if not service_pressure.share:
        return 0.0
    age_ms = max(0.0, now_ms - service_pressure.reported_at_ms)
    return service_pressure.share * 0.5 ** (age_ms / REPORT_HALF_LIFE_MS)
