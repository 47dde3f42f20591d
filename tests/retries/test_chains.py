"""Retries bounded over a complete call chain, whoever sends them."""

import pytest

from fescueyard.core import codes
from tests import setups

KEY = setups.KEYS["board"]
ZONES = setups.ZONES


def _deep_target(services, depth, suffix):
    names = [services[index % len(services)] for index in range(depth)]
    return "/" + "/call/".join(names) + suffix


def _attempts(world):
    """Count the attempts that reached a node, run or refused."""
    total = 0
    for node in world.nodes.values():
        counters = node.tables.metrics.counters
        total += sum(
            count
            for name, count in counters.items()
            if name.startswith("runs_")
        )
    return total


@pytest.mark.parametrize("depth", [1, 3, 8, 24])
@pytest.mark.parametrize("allowance", [0, 2, 5])
def test_attempts_stay_within_the_allowance_when_the_last_service_fails(
    depth, allowance
):
    services = ("one", "two", "three")
    world = setups.start_fleet(
        services=services, retry_allowance=allowance, crash_max=10
    )
    for node in world.nodes.values():
        node.backend.slots = 100
    target = _deep_target(services, depth, "/drop")
    call = world.call(next(iter(world.nodes)), target, KEY)
    world.run(3_000)
    assert call.response is not None
    assert call.response.status in (502, 503)
    assert _attempts(world) <= depth + allowance
    if allowance and depth > 1:
        assert _attempts(world) > depth, "no retry at all"


def test_backend_servers_that_retry_by_themselves_share_the_allowance():
    services = ("one", "two", "three")
    world = setups.start_fleet(
        services=services, retry_allowance=2, crash_max=10
    )
    for node in world.nodes.values():
        node.backend.attempts_max = 3
    target = _deep_target(services, 6, "/drop")
    call = world.call(next(iter(world.nodes)), target, KEY)
    world.run(5_000)
    assert call.response is not None
    assert _attempts(world) <= 6 + 2


def test_unreachable_ledger_allows_no_retry():
    world = setups.start_fleet(
        services=("gate",), retry_allowance=5, zones=("zone-a",)
    )
    for service in ("one", "two"):
        setups.put_object(world, "service", service, profile="standard")
    world.add_node("one-0", "zone-b", "one")
    for number in range(3):
        world.add_node(f"two-{number}", "zone-b", "two")
    world.run(3_000)
    entry = "gate-zone-a-0"
    call = world.call(entry, "/one/call/two/drop", KEY)
    world.run(1_000)
    assert call.response is not None
    assert _attempts(world) == 1 + 1 + 5
    world.call(entry, "/one/call/two/drop?id=2", KEY)
    world.run(4)
    world.partitioned_pairs.add((entry, "one-0"))
    world.run(1_000)
    assert _attempts(world) == 7 + 2


def test_node_budget_bounds_retries_to_a_tenth_of_first_attempts():
    world = setups.start_fleet(retry_allowance=5, crash_max=10)
    count = 600
    for number in range(count):
        name = list(world.nodes)[number % 3]
        world.call(name, f"/orders/drop?id={number}", KEY)
        world.run(5)
    world.run(3_000)
    initial_budget = sum(10 for _ in world.nodes)
    assert _attempts(world) <= count + initial_budget + 0.1 * count + 1


def test_chain_deeper_than_allowed_is_refused():
    world = setups.start_fleet(depth_max=4)
    target = _deep_target(("orders",), 6, "/work")
    call = world.call("orders-zone-a-0", target, KEY)
    world.run(1_000)
    assert call.response.status == codes.TOO_DEEP.http_status
    assert _attempts(world) == 4


def test_deadline_shrinks_down_the_chain_and_work_past_it_stops():
    world = setups.start_fleet(services=("one", "two"))
    for name, node in world.nodes.items():
        node.backend.service_ms = 5_000 if name.startswith("two") else 5
    call = world.call(
        "one-zone-a-0",
        "/one/call/two/work",
        KEY,
        fescueyard_deadline_ms="300",
    )
    world.run(1_000)
    assert call.response.status == 504
    assert call.ended_at_ms - call.started_at_ms < 350
    assert [run.cancelled for run in world.runs] == [True, True]


def test_run_token_is_refused_after_its_request():
    world = setups.start_fleet(zones=("zone-a",))
    world.call("orders-zone-a-0", "/orders/work?ms=10", KEY)
    world.run(5)
    token = next(
        header.value
        for header in world.runs[0].request.headers
        if header.name == "fescueyard-token"
    )
    world.run(200)
    node = world.nodes["orders-zone-a-0"]
    responses = []
    request = setups.worlds.http.HttpRequest(
        "GET",
        "/orders/work",
        [setups.worlds.http.Header("fescueyard-token", token)],
        b"",
    )
    world._submit(
        node, request, True, lambda response, at_ms: responses.append(response)
    )
    world.run(200)
    assert responses[0].status == codes.TOKEN_REFUSED.http_status
