"""A server that slows down when nearly full is kept just below that."""

import heapq
import random

import pytest

from fescueyard.admission import concurrency_share
from tests import setups

KEY = setups.KEYS["board"]
SLOTS = 19
WORK_MS = 30.0


def _serve(row, runs, slots, work_ms, seed=1):
    """Keep a server full, as an endless queue does.

    :param work_ms: function of how many run and the number of the start that
        gives the time of a run.
    :returns: mean time between two ends over the second half of the runs.
    """
    choice = random.Random(seed)
    running = []
    now_ms = half_ms = 0.0
    started = 0
    for number in range(runs):
        while len(running) < concurrency_share.effective_limit(row, slots):
            started += 1
            last = len(running) + 1 == concurrency_share.effective_limit(
                row, slots
            )
            took_ms = work_ms(len(running) + 1, started)
            took_ms *= choice.lognormvariate(-0.125, 0.5)
            sampled = (
                concurrency_share.record_start(row, slots) if last else None
            )
            heapq.heappush(running, (now_ms + took_ms, took_ms, sampled))
        now_ms, took_ms, sampled = heapq.heappop(running)
        if sampled is not None:
            concurrency_share.record_completion(row, sampled, 0, took_ms)
        if number == runs // 2:
            half_ms = now_ms
    return (now_ms - half_ms) / (runs - runs // 2)


def _slower_when_nearly_full(slots, share):
    def work_ms(running, _):
        return WORK_MS * (1.3 if running >= share * slots else 1.0)

    return work_ms


@pytest.mark.parametrize("slots", [19, 36, 107, 160])
def test_server_that_slows_down_is_kept_below_that(slots):
    row = concurrency_share.ShareSearch()
    work_ms = _slower_when_nearly_full(slots, 0.95)
    every_ms = _serve(row, 12_000, slots, work_ms)
    assert concurrency_share.SHARES[row.baseline_index] == 0.95
    full_ms = 1.3 * WORK_MS / slots
    assert every_ms < 0.87 * full_ms


@pytest.mark.parametrize("seed", range(5))
def test_server_without_a_knee_loses_little_to_trials(seed):
    row = concurrency_share.ShareSearch()
    every_ms = _serve(row, 12_000, SLOTS, lambda *_: WORK_MS, seed)
    assert every_ms < 1.08 * WORK_MS / SLOTS


@pytest.mark.parametrize("seed", range(3))
def test_server_that_turns_slow_for_a_while_keeps_its_slots(seed):
    """All runs take five times as long from the thousandth start on."""

    def work_ms(_, started):
        return WORK_MS * (5.0 if 1_000 < started < 4_000 else 1.0)

    row = concurrency_share.ShareSearch()
    _serve(row, 8_000, SLOTS, work_ms, seed)
    assert concurrency_share.SHARES[row.baseline_index] >= 0.95


def test_share_is_below_the_knee_and_never_nothing():
    row = concurrency_share.ShareSearch(baseline_index=1, active_index=1)
    assert concurrency_share.effective_limit(row, 20) == 18
    assert concurrency_share.effective_limit(row, 19) == 18
    assert concurrency_share.effective_limit(row, 1) == 1


def _overrun(monkeypatch, tries_shares):
    """Replay three seconds at twice what a service runs below its knee.

    :returns: answered requests a second in the last two of them.
    """
    if not tries_shares:
        monkeypatch.setattr(
            concurrency_share, "effective_limit", lambda row, limit: limit
        )
    world = setups.routed(
        routes=[("a", {"timeout_ms": 300.0})],
        slots=SLOTS,
        concurrency_share_min=1.0,
    )
    for node in world.nodes.values():
        node.backend.service_ms = WORK_MS
        node.backend.knee_share = 0.95
        node.backend.knee_slowdown = 1.3
    told = []
    per_s = 3 * 18 * 1000 / WORK_MS * 2
    names = sorted(world.nodes)
    for number in range(int(3 * per_s)):
        world.later(
            number * 1000 / per_s,
            lambda number=number: told.append(
                world.call(
                    names[number % len(names)],
                    f"/a/{number}",
                    KEY,
                    host="fleet.example",
                )
            ),
        )
    start_ms = world.now_ms
    world.run(3_500)
    served = [
        row
        for row in told
        if row.answer.status == 200 and row.ended_at_ms - start_ms > 1_000
    ]
    return len(served) / 2


def test_overrun_service_answers_more_below_its_knee(monkeypatch):
    full = _overrun(monkeypatch, tries_shares=False)
    monkeypatch.undo()
    below = _overrun(monkeypatch, tries_shares=True)
    assert below > 1.1 * full


def test_failed_runs_are_no_samples():
    world = setups.routed(slots=1, concurrency_share_min=1.0)
    node = world.nodes["orders-zone-a"]
    row = node.tables.runs.limiter.share_search
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
    assert not row.baseline_ms
    world.call("orders-zone-a", "/a/last", KEY, host="fleet.example")
    world.run(100)
    assert row.baseline_ms
