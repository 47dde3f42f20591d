"""Load balancing: zone preference, unreachable nodes, decay of load."""

import pytest

from fescueyard.routing import balancer
from tests import setups

MERGE_TIMEOUT_MS = 2_000
KEY = setups.KEYS["board"]


def _call(world, node, path="/a/x"):
    return world.call(node, path, KEY, host="fleet.example")


def test_old_load_report_decays_to_average_and_not_to_zero():
    """Old load reports don't draw calls away from the own zone.

    If loads reported 5 s ago counted as zero, the other zones would look idle.
    """
    world = setups.start_routed_fleet(routes=[("a", {})], slots=20)
    members = world.nodes["orders-zone-b"].tables.members
    for node_id in members.by_service["orders"]:
        balancer.record_load(
            world.nodes["orders-zone-b"].tables, node_id, 10, 20, 0.0
        )
        members.targets[node_id].reported_at_ms = world.now_ms - 5_000
    members.targets["orders-zone-b"].reported_at_ms = world.now_ms
    chosen = {
        balancer.choose(
            world.nodes["orders-zone-b"].tables,
            "orders",
            set(),
            0,
            world.now_ms,
        ).node_id
        for _ in range(50)
    }
    assert chosen == {"orders-zone-b"}


def test_unreachable_zone_gets_no_request_until_a_stream_is_up():
    world = setups.start_routed_fleet(
        routes=[("a", {"idempotent": False, "timeout_ms": 3_000.0})],
        zones=setups.ZONES[:2],
    )
    world.nodes["orders-zone-a"].backend.up = False
    tables = world.nodes["orders-zone-a"].tables
    world.isolate_zone("zone-b")
    balancer.mark_unreachable(tables, "orders-zone-b", world.now_ms)
    call = _call(world, "orders-zone-a")
    world.run(3 * balancer.REDIAL_INTERVAL_MS)
    assert call.response.status == 503
    assert call.ended_at_ms - call.started_at_ms < 50
    world.heal()
    world.run(2 * balancer.REDIAL_INTERVAL_MS)
    recovered_call = _call(world, "orders-zone-a")
    world.run(100)
    assert recovered_call.response.status == 200


@pytest.mark.parametrize("cut_ms", [5_500, 12_000])
def test_zones_merge_soon_after_a_partition(cut_ms):
    world = setups.start_routed_fleet(
        services=("orders", "billing"), routes=[("a", {})]
    )
    world.isolate_zone("zone-b")
    world.run(cut_ms)
    for node in world.nodes.values():
        assert node.tables.members.nodes_alive < len(world.nodes)
    world.heal()
    world.run(MERGE_TIMEOUT_MS)
    for node in world.nodes.values():
        assert node.tables.members.nodes_alive == len(world.nodes)
