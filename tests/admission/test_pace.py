"""The pace of a starting or recovering server, replayed on its load patterns.

Single servers are replayed in a closed loop: requests start whenever the pace
allows. Fleets run in simulated time.
"""

import heapq
import math
import random
import types

import pytest

from fescueyard.admission import pace as paces
from fescueyard.admission import start_limits
from fescueyard.configuration import state as states
from fescueyard.routing import balancer
from tests import setups
from tests import world as worlds

KEY = setups.KEYS["board"]
SLOTS = 20
LATENCY_MS = 40.0


class _Replay:
    """One server under its pace.

    :param latency_ms: function of the requests running and the time.
    :param fails: function of the time; whether a response is an error.
    :param demand: requests that are there to run at once.
    """

    def __init__(self, latency_ms=None, fails=None, demand=SLOTS):
        self.pace = paces.Pace(usual_ms=LATENCY_MS)
        self.latency_ms = latency_ms or (lambda running, now_ms: LATENCY_MS)
        self.fails = fails or (lambda now_ms: False)
        self.demand = demand
        self.now_ms = 1_000.0
        self.ends = []
        self.windows = []

    def start_over(self):
        """Let the server count as cold for a while, as after a restart."""
        for at_ms in (0.0, 500.0):
            paces.update_cold(self.pace, True, self.now_ms + at_ms)
        self.now_ms += 500.0
        paces.update_cold(self.pace, False, self.now_ms)

    def run(self, duration_ms):
        """Run requests for a while, then return the last window."""
        end_ms = self.now_ms + duration_ms
        self._start()
        while self.ends and self.ends[0][0] <= end_ms:
            self.now_ms, started_ms = heapq.heappop(self.ends)
            completion = paces.Completion(
                started_ms,
                not self.fails(self.now_ms),
                len(self.ends) + 1,
                SLOTS,
                0.0,
                2.0,
            )
            paces.record_completion(self.pace, completion, self.now_ms)
            self.windows.append(self.pace.window)
            self._start()
        self.now_ms = end_ms
        return self.pace.window

    def _start(self):
        while len(self.ends) < self.demand and paces.may_start(
            self.pace, len(self.ends)
        ):
            latency_ms = self.latency_ms(len(self.ends) + 1, self.now_ms)
            heapq.heappush(
                self.ends, (self.now_ms + latency_ms, self.now_ms + 1e-6)
            )


def test_started_server_is_at_full_load_within_a_few_rounds():
    replay = _Replay()
    replay.start_over()
    assert replay.pace.window == paces.WINDOW_MIN
    replay.run(10 * LATENCY_MS)
    assert math.isinf(replay.pace.window)
    windows = [paces.WINDOW_MIN, *replay.windows]
    grown = [pair for pair in zip(windows, windows[1:]) if pair[1] > pair[0]]
    assert all(new <= 2 * old for old, new in grown if not math.isinf(new))


def test_server_that_slows_down_under_load_gets_no_more_than_it_takes():
    replay = _Replay(lambda running, now_ms: LATENCY_MS * max(1, running / 4))
    replay.start_over()
    replay.run(5_000)
    later = replay.windows[len(replay.windows) // 2 :]
    # At 8 running the latency is the tolerated double of the usual one.
    assert max(later) <= 14
    assert sum(later) / len(later) <= 10


def test_server_that_was_slow_at_its_start_gets_full_load_afterwards():
    replay = _Replay(
        lambda running, now_ms: LATENCY_MS * (5 if now_ms < 3_000 else 1)
    )
    replay.start_over()
    replay.run(5_000)
    assert math.isinf(replay.pace.window)


def test_failing_server_gets_less_at_once_and_all_once_it_recovers():
    draws = random.Random(1)
    replay = _Replay(
        fails=lambda now_ms: now_ms < 3_000 and draws.random() < 0.7
    )
    replay.run(3 * LATENCY_MS)
    assert replay.pace.window <= SLOTS / 2
    replay.run(1_500)
    assert replay.pace.window <= SLOTS / 4
    replay.run(2_500)
    assert math.isinf(replay.pace.window)


def test_flapping_server_gets_less_each_time():
    replay = _Replay(
        fails=lambda now_ms: now_ms < 6_000 and now_ms % 1_000 < 400
    )
    for _ in range(4):
        replay.run(400)
        assert replay.pace.window <= SLOTS / 4
        replay.run(600)
    replay.run(3_000)
    assert math.isinf(replay.pace.window)


def test_server_that_was_frozen_is_not_flooded():
    """The requests that ran during the freeze are all lost at its end."""
    replay = _Replay(
        lambda running, now_ms: 2_000.0 if now_ms < 1_500 else LATENCY_MS,
        lambda now_ms: 1_500 < now_ms < 3_510,
    )
    replay.run(600)
    replay.run(2_000)
    assert replay.pace.window <= SLOTS / 2
    replay.run(1_000)
    assert math.isinf(replay.pace.window)


def test_requests_that_ran_before_a_change_do_not_count_again():
    pace = paces.Pace()
    for number in range(SLOTS):
        completion = paces.Completion(500.0, False, SLOTS, SLOTS, 0.0, 2.0)
        paces.record_completion(pace, completion, 1_000.0 + number)
    assert pace.window == SLOTS / 2


def test_low_load_changes_nothing():
    replay = _Replay(demand=1)
    replay.start_over()
    replay.pace.window = 8.0
    assert replay.run(2_000) == 8.0


def _start_fleet(seed, servers=10):
    world = worlds.World(seed)
    setups.put_object(world, "profile", "standard")
    setups.put_object(
        world,
        "service",
        "orders",
        profile="standard",
        health_path="/healthz",
        cold_start_ms=2_000.0,
        cold_rate_per_s=3.6,
    )
    setups.put_object(world, "firm", "board")
    setups.put_object(
        world, "customer", "board", firm="board", rate_per_s=None, burst=100
    )
    setups.grant_key(world, "board")
    setups.put_route(world, "work", "orders")
    for number in range(servers):
        zone = worlds.ZONES[number % 3]
        node = world.add_node(f"s{number}", zone, "orders", SLOTS, 100, True)
        node.backend.cold_start_ms = 2_000.0
        node.backend.jitter = 0.3
    for zone in worlds.ZONES:
        world.add_node(f"caller-{zone}", zone, routed=True)
    world.run(7_000)
    return world


def _load(world, calls_per_s, duration_ms):
    calls = []
    names = [f"caller-{zone}" for zone in worlds.ZONES]

    def call(number):
        calls.append(
            world.call(
                names[number % len(names)],
                f"/work/{number}",
                KEY,
                host="fleet.example",
            )
        )

    for number in range(int(duration_ms * calls_per_s / 1000)):
        world.call_later(
            number * 1000 / calls_per_s, lambda number=number: call(number)
        )
    return calls


def _served_share(calls, since_ms):
    later = [call for call in calls if call.started_at_ms >= since_ms]
    served = [
        call for call in later if call.response and call.response.status == 200
    ]
    return len(served) / len(later)


def _restart(world, names):
    for name in names:
        world.stop_backend(name)
        world.call_later(300, lambda name=name: world.start_backend(name))


@pytest.mark.parametrize("seed", range(3))
def test_restarted_server_among_ten_costs_no_request(seed):
    """What it can't take yet runs elsewhere, and nothing is shed at entry."""
    world = _start_fleet(seed)
    calls = _load(world, 1_000, 7_000)
    world.run(2_000)
    started_at_ms = world.now_ms
    _restart(world, ["s0"])
    world.run(6_000)
    assert _served_share(calls, started_at_ms) >= 0.995
    for node in world.nodes.values():
        assert node.tables.pressure.backend.admitted_share == 1.0
    # Warm after 2.3 s, it has its part of the load in the fifth second.
    got = {
        name: sum(
            run.node_name == name
            and run.received_at_ms >= started_at_ms + 4_000
            for run in world.runs
        )
        for name in ("s0", "s9")
    }
    assert got["s0"] >= 0.6 * got["s9"]


def test_service_that_starts_as_a_whole_serves_a_second_after_it_is_warm():
    world = _start_fleet(1)
    calls = _load(world, 1_200, 8_000)
    world.run(2_000)
    started_at_ms = world.now_ms
    _restart(world, [f"s{number}" for number in range(10)])
    world.run(7_000)
    assert _served_share(calls, started_at_ms + 3_500) >= 0.99


def test_sender_does_not_assume_full_capacity_before_a_report():
    world = _start_fleet(1)
    table = world.nodes["caller-zone-a"].tables.members
    target = table.targets["s0"]
    member = table.rows["s0"]
    target.limit = SLOTS
    target.reported_at_ms = world.now_ms
    target.cold_until_ms = world.now_ms + 1_000
    capacity = balancer._paced_capacity
    assert capacity(member, target, world.now_ms + 500) == 1
    assert capacity(member, target, world.now_ms + 1_001) <= 2
    assert capacity(member, target, world.now_ms + 60_000) <= SLOTS / 2
    target.reported_at_ms = world.now_ms + 1_002
    assert capacity(member, target, world.now_ms + 1_003) == SLOTS


@pytest.mark.parametrize("is_fault", [True, False])
def test_refusals_of_a_server_at_full_load_do_not_shrink_its_window(is_fault):
    """Guards against a collapse under overload.

    All servers of a service refused a part of their requests, so each of them
    was given less at once, and fewer were served still.
    """
    world = setups.start_routed_fleet(services=("orders",), zones=("zone-a",))
    setups.put_object(
        world,
        "service",
        "orders",
        profile="standard",
        cold_start_ms=3_000.0,
        cold_rate_per_s=3.0,
    )
    world.run(2_000)
    tables = world.nodes["orders-zone-a"].tables
    tables.runs.pace = paces.Pace()
    run = types.SimpleNamespace(
        run_id=1,
        started_at_ms=world.now_ms + 1,
        failed_call_fingerprints=set(),
        forward=types.SimpleNamespace(priority=0),
    )
    for _ in range(2 * paces.ROUND_MIN_FULL):
        start_limits.record_completion(
            tables, run, False, is_fault, world.now_ms + 2
        )
    assert math.isinf(tables.runs.pace.window) != is_fault


def test_server_without_a_cold_rate_is_not_paced_once_that_is_known():
    """Guards against a server that stays at two requests for good.

    Its node counted it as cold until the first configuration arrived.
    """
    world = setups.start_routed_fleet(services=("orders",), zones=("zone-a",))
    tables = world.nodes["orders-zone-a"].tables
    tables.runs.pace.window = paces.WINDOW_MIN
    world.run(200)
    assert math.isinf(tables.runs.pace.window)
    known = tables.configuration.state
    tables.configuration.state = states.ConfigurationState()
    start_limits.tick(tables, world.now_ms)
    start_limits.tick(tables, world.now_ms + paces.COLD_MIN_MS)
    assert math.isinf(tables.runs.pace.window)
    tables.configuration.state = known
