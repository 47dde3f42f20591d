"""The retry budget of a service holds over all nodes together."""

import pytest

from fescueyard.core import codes
from tests import setups

KEY = setups.KEYS["board"]
RATIO = 0.2
SLACK = 12.0
SECONDS = 5
CALLS_PER_S = 60


@pytest.mark.parametrize("seed", range(4))
def test_retries_of_a_failing_service_stay_within_the_budget(seed):
    world = setups.start_routed_fleet(
        seed,
        routes=[("a", {"attempts_max": 3})],
        retry_budget_ratio=RATIO,
        retry_budget_slack=SLACK,
    )
    names = sorted(world.nodes)
    calls = SECONDS * CALLS_PER_S
    for number in range(calls):
        world.call_later(
            number * 1000 / CALLS_PER_S,
            lambda number=number: world.call(
                names[number % len(names)],
                f"/a/x?status=500&id={number}",
                KEY,
                host="fleet.example",
            ),
        )
    world.run(SECONDS * 1000 + 2_000)
    retries = len(world.runs) - calls
    assert 0 < retries <= RATIO * calls + SLACK


def test_request_reaches_no_more_servers_than_its_route_allows():
    world = setups.start_routed_fleet(
        routes=[("a", {"attempts_max": 2})],
        retry_budget_ratio=1.0,
        retry_budget_slack=1_000.0,
    )
    call = world.call(
        "orders-zone-a", "/a/x?status=500", KEY, host="fleet.example"
    )
    world.run(500)
    assert call.response.status == 500
    assert len({run.node_name for run in world.runs}) == len(world.runs) == 2


def test_request_that_is_not_idempotent_is_sent_once():
    world = setups.start_routed_fleet(
        routes=[("a", {"attempts_max": 3, "idempotent": False})],
        retry_budget_ratio=1.0,
        retry_budget_slack=1_000.0,
    )
    call = world.call(
        "orders-zone-a",
        "/a/x?status=500",
        KEY,
        method="POST",
        host="fleet.example",
    )
    world.run(500)
    assert call.response.status == 500
    assert len(world.runs) == 1


def test_retry_after_refused_connection_needs_no_budget():
    world = setups.start_routed_fleet(
        routes=[("a", {"idempotent": False})],
        retry_budget_ratio=0.0,
        retry_budget_slack=0.0,
    )
    world.nodes["orders-zone-a"].backend.up = False
    calls = [
        world.call(
            "orders-zone-a", "/a/x", KEY, method="POST", host="fleet.example"
        )
        for _ in range(5)
    ]
    world.run(500)
    assert [call.response.status for call in calls] == [200] * 5
    assert codes.CONNECT_FAILED.outcome is codes.Outcome.NOT_RUN
