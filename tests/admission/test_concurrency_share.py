"""A server that slows down when nearly full runs just below its knee."""

import heapq
import random

import pytest

from fescueyard.admission import concurrency_share
from tests import setups

KEY = setups.KEYS["board"]
SLOTS = 19
WORK_MS = 30.0


def _serve(search, runs, slots, work_ms, seed=1):
    """Keep a server saturated, as by an endless queue.

    :param work_ms: function of the number of running requests and the number
        of the start that returns the duration of a run.
    :returns: mean time between two completions over the second half of the
        runs.
    """
    rng = random.Random(seed)
    running = []
    now_ms = half_time_ms = 0.0
    started = 0
    for run_number in range(runs):
        while len(running) < concurrency_share.effective_limit(search, slots):
            started += 1
            is_last = len(running) + 1 == concurrency_share.effective_limit(
                search, slots
            )
            took_ms = work_ms(len(running) + 1, started)
            took_ms *= rng.lognormvariate(-0.125, 0.5)
            share_index = (
                concurrency_share.record_start(search, slots)
                if is_last
                else None
            )
            heapq.heappush(running, (now_ms + took_ms, took_ms, share_index))
        now_ms, took_ms, share_index = heapq.heappop(running)
        if share_index is not None:
            concurrency_share.record_completion(
                search, share_index, 0, took_ms
            )
        if run_number == runs // 2:
            half_time_ms = now_ms
    return (now_ms - half_time_ms) / (runs - runs // 2)


def _slower_when_nearly_full(slots, share):
    def work_ms(running, _):
        return WORK_MS * (1.3 if running >= share * slots else 1.0)

    return work_ms


@pytest.mark.parametrize("slots", [19, 36, 107, 160])
def test_server_that_slows_down_when_full_runs_below_that(slots):
    search = concurrency_share.ShareSearch()
    work_ms = _slower_when_nearly_full(slots, 0.95)
    interval_ms = _serve(search, 12_000, slots, work_ms)
    assert concurrency_share.SHARES[search.baseline_index] == 0.95
    full_interval_ms = 1.3 * WORK_MS / slots
    assert interval_ms < 0.87 * full_interval_ms


@pytest.mark.parametrize("seed", range(5))
def test_server_without_a_knee_loses_little_to_trials(seed):
    search = concurrency_share.ShareSearch()
    interval_ms = _serve(search, 12_000, SLOTS, lambda *_: WORK_MS, seed)
    assert interval_ms < 1.08 * WORK_MS / SLOTS


@pytest.mark.parametrize("seed", range(3))
def test_server_that_is_slow_for_a_while_keeps_its_slots(seed):
    """Starts 1001 to 3999 take five times as long as the others."""

    def work_ms(_, started):
        return WORK_MS * (5.0 if 1_000 < started < 4_000 else 1.0)

    search = concurrency_share.ShareSearch()
    _serve(search, 8_000, SLOTS, work_ms, seed)
    assert concurrency_share.SHARES[search.baseline_index] >= 0.95


def test_effective_limit_is_below_the_knee_and_at_least_one():
    search = concurrency_share.ShareSearch(baseline_index=1, active_index=1)
    assert concurrency_share.effective_limit(search, 20) == 18
    assert concurrency_share.effective_limit(search, 19) == 18
    assert concurrency_share.effective_limit(search, 1) == 1


def _overload(monkeypatch, with_trials):
    """Simulate three seconds at twice a service's capacity below its knee.

    :returns: served requests per second in the last two seconds.
    """
    if not with_trials:
        monkeypatch.setattr(
            concurrency_share, "effective_limit", lambda search, limit: limit
        )
    world = setups.start_routed_fleet(
        routes=[("a", {"timeout_ms": 300.0})],
        slots=SLOTS,
        concurrency_share_min=1.0,
    )
    for node in world.nodes.values():
        node.backend.service_ms = WORK_MS
        node.backend.knee_share = 0.95
        node.backend.knee_slowdown = 1.3
    calls = []
    calls_per_s = 3 * 18 * 1000 / WORK_MS * 2
    node_names = sorted(world.nodes)
    for number in range(int(3 * calls_per_s)):
        world.call_later(
            number * 1000 / calls_per_s,
            lambda number=number: calls.append(
                world.call(
                    node_names[number % len(node_names)],
                    f"/a/{number}",
                    KEY,
                    host="fleet.example",
                )
            ),
        )
    start_ms = world.now_ms
    world.run(3_500)
    served_calls = [
        call
        for call in calls
        if call.response.status == 200 and call.ended_at_ms - start_ms > 1_000
    ]
    return len(served_calls) / 2


def test_overloaded_service_serves_more_below_its_knee(monkeypatch):
    full_rate = _overload(monkeypatch, with_trials=False)
    monkeypatch.undo()
    reduced_rate = _overload(monkeypatch, with_trials=True)
    assert reduced_rate > 1.1 * full_rate


def test_failed_runs_are_not_sampled():
    world = setups.start_routed_fleet(
        zones=("zone-a",), slots=1, concurrency_share_min=1.0
    )
    node = world.nodes["orders-zone-a"]
    search = node.tables.runs.limiter.share_search
    setups.put_route(world, "a", "orders")
    world.run(1_500)
    for number in range(5):
        world.call(
            "orders-zone-a",
            f"/a/{number}?status=500",
            KEY,
            host="fleet.example",
        )
        world.run(100)
    assert not search.baseline_ms
    world.call("orders-zone-a", "/a/last", KEY, host="fleet.example")
    world.run(100)
    assert search.baseline_ms
