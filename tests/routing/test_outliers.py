"""One server of a service that is slow, or spoils part of its responses."""

import pytest

from tests import setups

KEY = setups.KEYS["board"]
SECONDS = 6
CALLS_PER_S = 150
SLOTS = 20
SERVICE_MS = 40.0
OBJECTIVE_MS = 200.0
BAD = "orders-zone-b-1"


def _start_fleet(seed):
    return setups.start_routed_fleet(
        seed,
        routes=[
            ("a", {"idempotent": False, "objective_ms": OBJECTIVE_MS}),
        ],
        slots=SLOTS,
        service_ms=SERVICE_MS,
        per_zone=2,
    )


def _call_steadily(world, seconds):
    """Call all nodes in turn; return the calls of all but the first second."""
    names = sorted(world.nodes)
    calls = []
    for number in range(seconds * CALLS_PER_S):
        name = names[number % len(names)]
        calls.append(
            world.call(name, f"/a/{number}", KEY, "POST", host="fleet.example")
        )
        world.run(1000 / CALLS_PER_S)
    world.run(2_000)
    return calls[CALLS_PER_S:]


def _share_of_runs(world, calls, node_name):
    started_at_ms = calls[0].started_at_ms
    runs = [run for run in world.runs if run.received_at_ms >= started_at_ms]
    return sum(run.node_name == node_name for run in runs) / len(runs)


@pytest.mark.parametrize("seed", range(3))
def test_server_that_spoils_responses_gets_little_work(seed):
    world = _start_fleet(seed)
    world.nodes[BAD].backend.spoiled_share = 0.3
    calls = _call_steadily(world, SECONDS)
    failed = [call for call in calls if call.response.status != 200]
    assert len(failed) <= 0.015 * len(calls)
    assert _share_of_runs(world, calls, BAD) <= 0.06


@pytest.mark.parametrize("seed", range(3))
def test_slow_server_gets_work_in_proportion_to_its_speed(seed):
    world = _start_fleet(seed)
    world.nodes[BAD].backend.slowdown = 8.0
    calls = _call_steadily(world, SECONDS)
    late = [
        call
        for call in calls
        if call.ended_at_ms - call.started_at_ms > OBJECTIVE_MS
    ]
    assert len(late) <= 0.02 * len(calls)
    assert _share_of_runs(world, calls, BAD) <= 0.03


@pytest.mark.parametrize("seed", range(3))
def test_two_of_three_servers_that_spoil_responses_get_little_work(seed):
    world = setups.start_routed_fleet(
        seed,
        routes=[("a", {"idempotent": False})],
        slots=SLOTS,
        service_ms=SERVICE_MS,
    )
    for name in ("orders-zone-a", "orders-zone-b"):
        world.nodes[name].backend.spoiled_share = 0.2
    calls = _call_steadily(world, SECONDS)
    assert _share_of_runs(world, calls, "orders-zone-c") >= 0.8


@pytest.mark.parametrize("seed", range(3))
def test_slots_of_a_slow_server_are_used_before_work_queues(seed):
    """The load needs 0.9 of all slots, those of the slow server included."""
    slowdown = 2.0
    world = setups.start_routed_fleet(
        seed,
        routes=[("a", {"idempotent": False, "timeout_ms": 3_000.0})],
        slots=SLOTS,
        service_ms=SERVICE_MS,
        zones=("zone-a", "zone-b"),
        concurrency_share_min=1.0,
    )
    world.nodes["orders-zone-b"].backend.slowdown = slowdown
    capacity_per_s = SLOTS * 1_000 / SERVICE_MS * (1 + 1 / slowdown)
    load_per_s = 0.9 * capacity_per_s
    calls = []
    for number in range(int(SECONDS * load_per_s)):
        calls.append(
            world.call(
                "orders-zone-a",
                f"/a/{number}",
                KEY,
                "POST",
                host="fleet.example",
            )
        )
        world.run(1_000 / load_per_s)
    world.run(3_500)
    answered = [call for call in calls if call.response.status == 200]
    assert len(answered) >= 0.97 * len(calls)


@pytest.mark.parametrize("seed", range(3))
def test_server_gets_its_share_again_once_it_has_recovered(seed):
    world = _start_fleet(seed)
    world.nodes[BAD].backend.spoiled_share = 0.5
    _call_steadily(world, SECONDS)
    world.nodes[BAD].backend.spoiled_share = 0.0
    _call_steadily(world, 12)
    calls = _call_steadily(world, SECONDS)
    assert _share_of_runs(world, calls, BAD) >= 0.5 / len(world.nodes)


@pytest.mark.parametrize("seed", range(3))
def test_no_server_is_avoided_when_all_fail_alike(seed):
    world = _start_fleet(seed)
    for node in world.nodes.values():
        node.backend.spoiled_share = 0.3
    _call_steadily(world, SECONDS)
    calls = _call_steadily(world, 2 * SECONDS)
    shares = [_share_of_runs(world, calls, name) for name in world.nodes]
    assert min(shares) >= 0.5 / len(world.nodes)
