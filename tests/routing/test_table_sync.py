"""Member tables of processes that start together, and what that costs."""

import pytest

from fescueyard.core import dispatch
from fescueyard.routing import messages
from tests import setups
from tests import world as worlds

KNOWN_WITHIN_MS = 3_000
QUIET_AFTER_MS = 5_000
BYTES_PER_NODE_MAX = 100_000
# Share by which the cost of a start may grow for each node when the fleet
# doubles; nobody gossips about all others.
GROWTH_MAX = 1.3


def _start_all(per_zone, seed=1):
    """Start all nodes at once.

    :returns: the world, at the moment of the start.
    """
    world = worlds.World(seed, controls=3)
    setups.put_object(world, "profile", "standard")
    setups.put_object(world, "service", "orders", profile="standard")
    world.run(500)
    for zone in setups.ZONES:
        for number in range(per_zone):
            name = f"orders-{zone}-{number}"
            node = world.add_node(name, zone, "orders", routed=True)
            node.backend.cold_ms = 0.0
    return world


def _known_counts(world):
    return {node.tables.members.nodes_alive for node in world.nodes.values()}


def _bytes_per_node(world):
    sent = sum(world.bytes_sent.get(name, 0) for name in world.nodes)
    return sent / len(world.nodes)


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("per_zone", [8, 16])
def test_all_know_all_soon_after_a_common_start(per_zone, seed):
    world = _start_all(per_zone, seed)
    world.run(KNOWN_WITHIN_MS)
    assert _known_counts(world) == {len(world.nodes)}
    world.run(QUIET_AFTER_MS - KNOWN_WITHIN_MS)
    world.messages_sent.clear()
    world.run(5_000)
    assert world.messages_sent[messages.Gossip] == 0
    assert _bytes_per_node(world) <= BYTES_PER_NODE_MAX


def test_common_start_costs_a_node_the_same_in_a_fleet_twice_as_large():
    costs = []
    for per_zone in (8, 16):
        world = _start_all(per_zone)
        world.run(10_000)
        costs.append(_bytes_per_node(world))
    assert costs[1] <= GROWTH_MAX * costs[0]


@pytest.mark.parametrize("seed", range(4))
def test_all_know_all_after_a_common_restart_with_a_seed_lost(seed):
    world = _start_all(4, seed)
    world.run(8_000)
    names = {
        name: node.tables.members.own.zone
        for name, node in world.nodes.items()
    }
    world.partitioned_pairs.update(("m0", name) for name in names)
    for name in names:
        world.kill(name)
    world.run(200)
    for name, zone in names.items():
        node = world.add_node(name, zone, "orders", routed=True)
        node.backend.cold_ms = 0.0
    world.run(8_000)
    for node in world.nodes.values():
        assert set(node.tables.members.by_service["orders"]) == set(names)


def test_second_request_gets_only_what_has_changed():
    world = _start_all(4)
    world.run(20_000)
    tables = world.nodes["orders-zone-a-0"].tables
    sender = dispatch.Sender("peer", object())

    def ask(known_version):
        own_id = tables.members.own.node_id
        request = messages.TableRequest(0, [], own_id, known_version)
        tables.effects.clear()
        dispatch.receive(request, tables, sender, world.now_ms)
        return tables.effects.pop().message

    first = ask(0)
    assert len(first.members) == len(tables.members.rows)
    again = ask(first.version)
    assert len(again.members) <= 1
    world.nodes["orders-zone-b-0"].backend.cold_ms = 5_000.0
    world.run(3_000)
    changed = ask(first.version)
    assert "orders-zone-b-0" in {member.node_id for member in changed.members}
    assert len(changed.members) < len(first.members)


def test_other_process_at_the_address_sends_everything():
    world = _start_all(4)
    world.run(10_000)
    tables = world.nodes["orders-zone-a-0"].tables
    request = messages.TableRequest(0, [], "its-predecessor", 10**6)
    tables.effects.clear()
    dispatch.receive(
        request, tables, dispatch.Sender("peer", object()), world.now_ms
    )
    response = tables.effects.pop().message
    assert len(response.members) == len(tables.members.rows)
