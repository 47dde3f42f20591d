"""Bodies of other nodes' requests count at the node of the backend server."""

import pytest

from fescueyard.transport import memory_account
from tests import setups

KEY = setups.KEYS["board"]
CALLS = 8
BODY = bytes(10_000)
SENDER, RECEIVER = "orders-zone-a-0", "orders-zone-a-1"


# Forwarded bodies were queued, however many there were.
@pytest.mark.parametrize("is_full", [True, False])
def test_body_that_does_not_fit_is_rejected_and_runs_elsewhere(is_full):
    world = setups.start_fleet(zones=("zone-a",), per_zone=2)
    account = memory_account.MemoryAccount(1_000 if is_full else 10_000_000)
    tables = world.nodes[RECEIVER].tables
    tables.runs.memory = account
    calls = [
        world.call(SENDER, "/orders/work", KEY, "POST", BODY)
        for _ in range(CALLS)
    ]
    world.run(5)
    assert account.held_bytes == account.forwarded_bytes
    assert account.held_bytes <= account.limit_bytes
    world.run(5_000)
    assert {call.response.status for call in calls} == {200}
    assert bool(tables.metrics.counters["runs_memory_short"]) == is_full
    assert bool(tables.metrics.counters["runs_ok"]) != is_full
    assert account.held_bytes == 0
