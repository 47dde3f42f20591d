"""Turning new work away where it enters, least important first.

Load pattern: a surge at several entry services whose chains all end at one
service that is short. Every answer carries the pressure of the chain behind
it. A node that takes new work counts it by rank for each bottleneck and turns
away the share that the bottleneck can't take, from the least important rank
up. Calls of work already begun always pass.
"""

from fescueyard.pressure import measurement
from fescueyard.pressure import models

SHARE_SMOOTHING = 0.5
REPORT_HALF_LIFE_MS = 1_500
COUNT_HALF_LIFE_MS = 1_000
CALL_HALF_LIFE_MS = 1_000
# A backend server that calls a service less often than once in so many runs
# does not depend on it. Callers use the routes of calls too, now and then;
# counted as calls they would send a pressure round in circles.
RUNS_PER_CALL_MAX = 10.0
SHARE_MIN = 0.02
# Some of each rank always passes, so that none is starved.
RANK_SHARE_MAX = 0.75
# A request that has used this share of its objective ends too late for it.
OBJECTIVE_USED_SHARE_MAX = 0.7


def record_response(table, service, told, is_call, now_ms):
    """Take in the pressure that an answer carried.

    :param table: :class:`~fescueyard.pressure.models.PressureTable`.
    :param service: service that answered.
    :param told: :class:`~fescueyard.pressure.models.Pressure`.
    :param is_call: a backend server's call was answered.
    :param now_ms: the present time.
    """
    row = table.by_service.setdefault(service, models.ServicePressure())
    present = _decayed_share(row, now_ms)
    row.share = present + SHARE_SMOOTHING * (told.share - present)
    if told.bottleneck:
        row.bottleneck = told.bottleneck
    row.reported_at_ms = now_ms
    if is_call:
        _record_event(row.calls, now_ms)


def record_run(table, now_ms):
    """Count a run of this VM's backend server.

    :param table: :class:`~fescueyard.pressure.models.PressureTable`.
    :param now_ms: the present time.
    """
    _record_event(table.runs, now_ms)


def chain_pressure(table, service, now_ms):
    """Say what this VM's backend server and all behind it can't take.

    :param table: :class:`~fescueyard.pressure.models.PressureTable`.
    :param service: service of the backend server.
    :param now_ms: the present time.
    :returns: :class:`~fescueyard.pressure.models.Pressure`.
    """
    worst = measurement.own_pressure(table.backend, service)
    runs = _decayed_count(table.runs, now_ms)
    for row in table.by_service.values():
        calls = _decayed_count(row.calls, now_ms)
        if row.bottleneck == service or RUNS_PER_CALL_MAX * calls < runs:
            continue
        share = _decayed_share(row, now_ms)
        if share > worst.share:
            worst = models.Pressure(share, row.bottleneck)
    return worst


def rank_request(table, route, priority, left_ms, objective_ms):
    """Rank a new request; one that can't end in time goes after its equals.

    Load pattern: a surge that lasts, whose refused callers come back once.
    If they went first they would fill the service, all too late, and each new
    request would be refused in its turn.

    :param table: :class:`~fescueyard.pressure.models.PressureTable`.
    :param route: name of its route.
    :param priority: its priority.
    :param left_ms: time that its caller has left.
    :param objective_ms: time from its caller's first try within which an
        answer is in time; 0 for none.
    :returns: whole number, the lowest is the most important.
    """
    longest_left_ms = max(table.longest_left_ms.get(route, 0.0), left_ms)
    table.longest_left_ms[route] = longest_left_ms
    used_ms = longest_left_ms - left_ms
    late = 0 < OBJECTIVE_USED_SHARE_MAX * objective_ms < used_ms
    return 2 * priority + int(late)


def shed_share(table, service, request_rank, now_ms):
    """Decide whether a new request is turned away.

    :param table: :class:`~fescueyard.pressure.models.PressureTable`.
    :param service: service that it is for.
    :param request_rank: its rank.
    :param now_ms: the present time.
    :returns: share of its rank that is turned away now, if this request is
        one of them; 0 if it may pass.
    """
    row = table.by_service.get(service)
    if row is None or not row.bottleneck:
        return 0.0
    domain = table.by_bottleneck.setdefault(
        row.bottleneck, models.BottleneckDemand()
    )
    _decay_counts(domain, now_ms)
    counted = domain.ranks.setdefault(request_rank, models.RankDemand())
    counted.count += 1
    share = _decayed_share(row, now_ms)
    if share < SHARE_MIN:
        return 0.0
    rank_share = _shed_share_of_rank(domain, request_rank, share)
    counted.credit = min(2.0, counted.credit + rank_share)
    if counted.credit < 1.0:
        return 0.0
    counted.credit -= 1.0
    return rank_share


def _shed_share_of_rank(domain, request_rank, share):
    """Share of a rank to turn away, so that all ranks together give way."""
    remaining = share * sum(each.count for each in domain.ranks.values())
    for number in sorted(domain.ranks, reverse=True):
        count = domain.ranks[number].count
        taken = min(remaining, RANK_SHARE_MAX * count)
        if number == request_rank:
            return taken / count if count else 0.0
        remaining -= taken
    return 0.0


def _decay_counts(domain, now_ms):
    elapsed_ms = now_ms - domain.decayed_at_ms
    if elapsed_ms < COUNT_HALF_LIFE_MS / 10:
        return
    domain.decayed_at_ms = now_ms
    factor = 0.5 ** (elapsed_ms / COUNT_HALF_LIFE_MS)
    for each in domain.ranks.values():
        each.count *= factor


def _record_event(row, now_ms):
    row.count = 1.0 + _decayed_count(row, now_ms)
    row.counted_at_ms = now_ms


def _decayed_count(row, now_ms):
    age_ms = now_ms - row.counted_at_ms
    return row.count * 0.5 ** (age_ms / CALL_HALF_LIFE_MS)


def _decayed_share(row, now_ms):
    if not row.share:
        return 0.0
    age_ms = max(0.0, now_ms - row.reported_at_ms)
    return row.share * 0.5 ** (age_ms / REPORT_HALF_LIFE_MS)
