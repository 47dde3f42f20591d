"""New work is turned away by rank, calls of begun work pass."""

import collections

import pytest

from fescueyard.core import codes
from fescueyard.pressure import entry
from fescueyard.pressure import models
from tests import setups

KEY = setups.KEYS["board"]


def _table(share, services=("front",)):
    table = models.PressureTable()
    for service in services:
        table.by_service[service] = models.ServicePressure(share, "deep", 0.0)
    return table


def _press(table, ranks, rounds=600):
    """Have requests of some ranks come in turn; count those turned away."""
    turned = collections.Counter()
    for number in range(rounds):
        now_ms = number * 10.0
        for row in table.by_service.values():
            row.reported_at_ms = now_ms
        for service, rank in ranks:
            if entry.shed_share(table, service, rank, now_ms):
                turned[rank] += 1
    return {rank: turned[rank] / rounds for _, rank in ranks}


def test_least_important_rank_gives_way_first():
    table = _table(0.3)
    shares = _press(table, [("front", 1), ("front", 5)])
    assert shares[1] == 0
    assert shares[5] == pytest.approx(0.6, abs=0.05)


def test_no_rank_gives_way_wholly_and_the_next_one_follows():
    table = _table(0.6)
    shares = _press(table, [("front", 1), ("front", 5)])
    assert shares[5] == pytest.approx(entry.RANK_SHARE_MAX, abs=0.05)
    assert shares[1] == pytest.approx(0.45, abs=0.06)


def test_services_that_end_at_one_bottleneck_share_one_order():
    table = _table(0.25, ("front", "other"))
    shares = _press(table, [("front", 1), ("other", 5)])
    assert shares[1] == 0
    assert shares[5] == pytest.approx(0.5, abs=0.05)


def test_pressure_that_nobody_confirms_fades():
    table = _table(0.8)
    now_ms = 6 * entry.REPORT_HALF_LIFE_MS
    assert not any(
        entry.shed_share(table, "front", 5, now_ms) for _ in range(50)
    )


def test_request_that_ends_too_late_goes_after_its_equals():
    table = models.PressureTable()
    first = entry.rank_request(table, "r", 3, 6_000.0, 2_000.0)
    in_time = entry.rank_request(table, "r", 3, 5_200.0, 2_000.0)
    late = entry.rank_request(table, "r", 3, 4_000.0, 2_000.0)
    less_important = entry.rank_request(table, "r", 4, 6_000.0, 2_000.0)
    assert first == in_time < late < less_important


def test_request_without_an_objective_is_never_late():
    table = models.PressureTable()
    first = entry.rank_request(table, "r", 3, 6_000.0, 0.0)
    assert entry.rank_request(table, "r", 3, 1_000.0, 0.0) == first


def _told_by_calls(table, service, share, bottleneck, calls, runs):
    told = models.Pressure(share, bottleneck)
    for _ in range(calls):
        entry.record_response(table, service, told, True, 0.0)
    for _ in range(runs):
        entry.record_run(table, 0.0)


def test_pressure_of_a_called_service_is_told_on():
    table = models.PressureTable()
    _told_by_calls(table, "deep", 0.4, "deep", calls=20, runs=20)
    told = entry.chain_pressure(table, "front", 0.0)
    assert told.bottleneck == "deep"
    assert told.share == pytest.approx(0.4, abs=0.01)


def test_pressure_of_a_service_that_is_rarely_called_goes_no_further():
    table = models.PressureTable()
    _told_by_calls(table, "other", 0.4, "deep", calls=1, runs=50)
    assert entry.chain_pressure(table, "middle", 0.0) is models.NO_PRESSURE


def test_own_pressure_does_not_come_back_from_others():
    table = models.PressureTable()
    _told_by_calls(table, "other", 0.4, "deep", calls=20, runs=20)
    assert entry.chain_pressure(table, "deep", 0.0) is models.NO_PRESSURE


DEEP_SLOTS = 10
DEEP_MS = 20
CALLS = 4
URGENT_EVERY = 4
SECONDS = 6
# The first answers of a surge tell of it; what began before may be lost.
CONVERGED_MS = 1_000


def _goodput(seed, overload, monkeypatch, with_door=True, urgent_calls=CALLS):
    """Replay a surge whose chains end at a service that is short.

    :param urgent_calls: calls of an important request to the deep service.
    :returns: served share of what the deep service could carry, and the
        served shares of the important and the other requests.
    """
    if not with_door:
        monkeypatch.setattr(entry, "shed_share", lambda *args: 0.0)
    routes = [
        ("call", {"timeout_ms": 500.0, "objective_ms": 400.0}),
        (
            "call/deep/urgent",
            {
                "timeout_ms": 500.0,
                "objective_ms": 400.0,
                "priority": 0,
                "idempotent": False,
            },
        ),
    ]
    world = setups.routed(
        seed,
        services=("front", "deep"),
        routes=routes,
        slots=120,
        retry_budget_ratio=0.2,
        retry_budget_slack=20.0,
        concurrency_share_min=1.0,
    )
    setups.put_route(world, "deep", "deep", public=True, timeout_ms=700.0)
    for node in world.nodes.values():
        if node.backend.service == "deep":
            node.backend.slots = DEEP_SLOTS
            node.backend.service_ms = DEEP_MS
            node.tables.runs.backend.slots = DEEP_SLOTS
            node.tables.runs.limiter.limit = DEEP_SLOTS
    world.run(1_000)
    calls_mean = (urgent_calls + (URGENT_EVERY - 1) * CALLS) / URGENT_EVERY
    capacity_per_s = 3 * DEEP_SLOTS * 1000 / DEEP_MS / calls_mean
    calls = int(SECONDS * capacity_per_s * overload)
    fronts = sorted(name for name in world.nodes if "front" in name)
    told = {"urgent": [], "other": []}

    def call(number):
        kind = "other" if number % URGENT_EVERY else "urgent"
        times = CALLS if number % URGENT_EVERY else urgent_calls
        told[kind].append(
            world.call(
                fronts[number % len(fronts)],
                f"/call/deep/{kind}/?ms={DEEP_MS}&times={times}&id={number}",
                KEY,
                "POST" if kind == "urgent" else "GET",
                host="fleet.example",
            )
        )

    for number in range(calls):
        world.later(
            number * 1000 * SECONDS / calls, lambda number=number: call(number)
        )
    world.run(SECONDS * 1_000 + 3_000)
    whole = sum(
        row.answer.status == 200 for rows in told.values() for row in rows
    )
    served = {}
    for kind, rows in told.items():
        since_ms = rows[0].started_at_ms + CONVERGED_MS
        later = [row for row in rows if row.started_at_ms > since_ms]
        good = sum(row.answer.status == 200 for row in later)
        served[kind] = good / len(later)
    return whole / (SECONDS * capacity_per_s), served


@pytest.mark.parametrize("seed", range(3))
def test_surge_on_a_deep_service_costs_little_begun_work(seed, monkeypatch):
    goodput, _ = _goodput(seed, 1.8, monkeypatch)
    assert goodput >= 0.75


@pytest.mark.parametrize("seed", range(3))
def test_surge_spares_important_work_once_it_is_known(seed, monkeypatch):
    """The deep service could carry all important requests twice over."""
    _, served = _goodput(seed, 1.8, monkeypatch)
    assert served["urgent"] >= 0.9


@pytest.mark.xfail(reason="KNOWN-RED.txt: 0.79 to 0.84 served, issue 9")
@pytest.mark.parametrize("seed", range(3))
def test_surge_spares_important_work_of_longer_chains(seed, monkeypatch):
    """All important requests take 0.6 of what the deep service can carry."""
    _, served = _goodput(seed, 1.5, monkeypatch, urgent_calls=2 * CALLS)
    assert served["urgent"] >= 0.9


def test_without_the_door_the_same_surge_ruins_most_chains(monkeypatch):
    without_door, _ = _goodput(0, 1.8, monkeypatch, with_door=False)
    monkeypatch.undo()
    with_door, _ = _goodput(0, 1.8, monkeypatch)
    assert with_door > 1.3 * without_door


OBJECTIVE_MS = 1_000
LEFT_MS = 3_000
SURGE_S = 4


def _answered_in_time(seed, monkeypatch, returned_first):
    """Replay a surge that lasts, whose refused callers come back once.

    :param returned_first: rank those that came back before their equals.
    :returns: shares of the requests answered within the objective from the
        first try, and answered at all.
    """
    if returned_first:
        monkeypatch.setattr(
            entry,
            "rank_request",
            lambda table, route, priority, left_ms, objective_ms: (
                2 * priority + int(left_ms > 0.85 * LEFT_MS)
            ),
        )
    fields = {"timeout_ms": 500.0, "objective_ms": OBJECTIVE_MS}
    world = setups.routed(
        seed,
        services=("front", "deep"),
        routes=[("call", fields)],
        slots=120,
        concurrency_share_min=1.0,
    )
    setups.put_route(world, "deep", "deep", public=True, timeout_ms=500.0)
    for node in world.nodes.values():
        if node.backend.service == "deep":
            node.backend.slots = DEEP_SLOTS
            node.tables.runs.backend.slots = DEEP_SLOTS
            node.tables.runs.limiter.limit = DEEP_SLOTS
    world.run(1_000)
    fronts = sorted(name for name in world.nodes if "front" in name)
    told = []

    def send(first, left_ms):
        row = world.call(
            fronts[len(told) % len(fronts)],
            f"/call/deep/x/?ms={DEEP_MS}&times={CALLS}&id={len(told)}",
            KEY,
            host="fleet.example",
            fescueyard_deadline_ms=str(int(left_ms)),
        )
        told.append((first, row))
        world.later(450.0, lambda: come_back(first, row))

    def come_back(first, row):
        if row.answer is None or row.answer.status != 503:
            return
        if row.started_at_ms != first:
            return
        after_ms = 1000 * float(row.header("retry-after"))
        at_ms = max(world.now_ms, row.ended_at_ms + after_ms)
        left_ms = LEFT_MS - (at_ms - first)
        world.later(at_ms - world.now_ms, lambda: send(first, left_ms))

    per_s = 1.6 * 3 * DEEP_SLOTS * 1000 / DEEP_MS / CALLS
    count = int(SURGE_S * per_s)
    for number in range(count):
        world.later(number * 1000 / per_s, lambda: send(world.now_ms, LEFT_MS))
    world.run(SURGE_S * 1_000 + 4_000)
    good = [(first, row) for first, row in told if row.answer.status == 200]
    in_time = [
        row for first, row in good if row.ended_at_ms - first <= OBJECTIVE_MS
    ]
    return len(in_time) / count, len(good) / count


@pytest.mark.parametrize("seed", range(2))
def test_surge_that_lasts_is_answered_in_time(seed, monkeypatch):
    """0.62 of the requests fit; going last costs those that came back."""
    before, _ = _answered_in_time(seed, monkeypatch, returned_first=True)
    monkeypatch.undo()
    in_time, served = _answered_in_time(seed, monkeypatch, False)
    assert in_time > 1.2 * before
    assert served > 0.5


def test_refusal_at_the_door_has_not_run_and_says_when_to_return():
    world = setups.routed(routes=[("a", {})])
    node = world.nodes["orders-zone-a"]
    row = models.ServicePressure(1.0, "orders", world.now_ms)
    node.tables.pressure.by_service["orders"] = row
    told = []
    for _ in range(20):
        row.share, row.reported_at_ms = 1.0, world.now_ms
        told.append(
            world.call("orders-zone-a", "/a/x", KEY, host="fleet.example")
        )
        world.run(20)
    number = str(codes.TURNED_AWAY.number)
    refused = [row for row in told if row.header("fescueyard-code") == number]
    assert len(refused) >= 10
    assert all(
        row.header("fescueyard-outcome") == "not_run" for row in refused
    )
    assert all(int(row.header("retry-after")) >= 1 for row in refused)
    assert all(row.ended_at_ms == row.started_at_ms for row in refused)


def test_new_work_without_a_customer_is_turned_away_too():
    world = setups.routed(routes=[("a", {})])
    world.configure("key", "board-key", b"")
    world.configure("customer", "board", b"")
    world.run(1_500)
    node = world.nodes["orders-zone-a"]
    row = models.ServicePressure(1.0, "orders", world.now_ms)
    node.tables.pressure.by_service["orders"] = row
    told = []
    for _ in range(20):
        row.share, row.reported_at_ms = 1.0, world.now_ms
        told.append(world.call("orders-zone-a", "/a/x", host="fleet.example"))
        world.run(20)
    number = str(codes.TURNED_AWAY.number)
    refused = [row for row in told if row.header("fescueyard-code") == number]
    assert 10 <= len(refused) < 20
