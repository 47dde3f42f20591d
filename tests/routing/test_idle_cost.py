"""What membership costs a fleet in which nothing changes."""

import pytest

from fescueyard.admission import registration
from fescueyard.routing import messages
from tests import setups

SETTLE_MS = 12_000
OBSERVED_MS = 10_000
# Share by which the cost of an idle node may grow when the fleet doubles.
GROWTH_MAX = 1.3


def _start_fleet_of_warm_servers(per_zone):
    world = setups.start_routed_fleet(per_zone=per_zone)
    for node in world.nodes.values():
        node.backend.cold_ms = 0.0
    world.run(SETTLE_MS)
    return world


def _idle_bytes_per_node(world):
    before = sum(world.bytes_sent[name] for name in world.nodes)
    world.run(OBSERVED_MS)
    sent = sum(world.bytes_sent[name] for name in world.nodes) - before
    return sent / len(world.nodes)


def test_fleet_of_warm_servers_sends_no_gossip():
    world = _start_fleet_of_warm_servers(per_zone=4)
    world.messages_sent.clear()
    world.run(OBSERVED_MS)
    assert world.messages_sent[messages.Gossip] == 0
    assert world.messages_sent[messages.Ping] > 0


def test_announcements_of_a_warm_server_keep_its_member_entry():
    world = _start_fleet_of_warm_servers(per_zone=1)
    members = world.nodes["orders-zone-a"].tables.members
    before = members.own
    world.run(OBSERVED_MS)
    assert members.own == before


@pytest.mark.parametrize("cold_ms", [4_000.0, 20_000.0])
def test_slow_start_is_published_once(cold_ms):
    world = _start_fleet_of_warm_servers(per_zone=1)
    node = world.nodes["orders-zone-a"]
    incarnation = node.tables.members.own.incarnation
    started_at_ms = world.now_ms
    node.backend.cold_ms = cold_ms
    for _ in range(30):
        world.run(500)
        elapsed_ms = world.now_ms - started_at_ms
        node.backend.cold_ms = max(0.0, cold_ms - elapsed_ms)
    assert node.tables.members.own.incarnation == incarnation + 1
    other = world.nodes["orders-zone-b"].tables.members
    target = other.targets["orders-zone-a"]
    assert abs(target.cold_until_ms - started_at_ms - cold_ms) < 2_000


def test_own_entry_without_a_change_is_not_published():
    world = _start_fleet_of_warm_servers(per_zone=1)
    node = world.nodes["orders-zone-a"]
    registration.close(node.tables, world.now_ms)
    incarnation = node.tables.members.own.incarnation
    registration.close(node.tables, world.now_ms)
    assert node.tables.members.own.incarnation == incarnation


def test_idle_node_costs_the_same_in_a_fleet_twice_as_large():
    smaller = _idle_bytes_per_node(_start_fleet_of_warm_servers(per_zone=8))
    larger = _idle_bytes_per_node(_start_fleet_of_warm_servers(per_zone=16))
    assert larger <= GROWTH_MAX * smaller
