"""Membership by zone: changes, failures of relays, and cut zones."""

import pytest

from fescueyard.routing import membership
from fescueyard.routing import models
from fescueyard.routing import traffic
from fescueyard.routing import zone_relays
from tests import setups
from tests import world as worlds

PER_ZONE = 10
SETTLE_MS = 12_000
CHANGE_KNOWN_MS = 1_000
IDLE_BYTES_PER_S_MAX = 2_000
# 25 to 50 bytes a second are measured; 176 without relays.
IDLE_BYTES_PER_S_MEAN_MAX = 100
# A lost relay is suspected after 1 to 1.5 s; then another one takes over.
RELAY_TAKEN_OVER_MS = 4_000
CUT_FOUND_MS = 8_000
# The slowest runs without relays take 4.6 s with 90 processes.
HEALED_MS = 5_000
LONG_CUT_MS = membership.DEAD_PROBE_DURATION_MS + 10_000


def _start(seed=1, per_zone=PER_ZONE, control_zones=setups.ZONES):
    world = worlds.World(
        seed, controls=3, control_zones=control_zones, saves_cross_zone=True
    )
    setups.put_object(world, "profile", "standard")
    setups.put_object(world, "service", "orders", profile="standard")
    world.run(500)
    for zone in setups.ZONES:
        for number in range(per_zone):
            name = f"orders-{zone}-{number}"
            node = world.add_node(name, zone, "orders", routed=True)
            node.backend.cold_ms = 0.0
    world.run(SETTLE_MS)
    return world


def _views(world):
    for node in world.nodes.values():
        yield node.tables.members
    for tables in world.cluster.tables.values():
        yield tables.members


def _change(world, name, slots):
    tables = world.nodes[name].tables
    membership.update_own_member(tables, world.now_ms, slots=slots)


def _all_know(world, name, slots):
    return all(view.rows[name].slots == slots for view in _views(world))


def _all_see_all_alive(world):
    return {view.nodes_alive for view in _views(world)} == {len(world.nodes)}


def _relay_nodes(world, zone):
    view = world.nodes[f"orders-{zone}-1"].tables.members
    relays = zone_relays.relays_of(view, zone)
    return [node_id for node_id in relays if node_id in world.nodes]


@pytest.mark.parametrize("control_zones", [setups.ZONES, ("zone-a",)])
@pytest.mark.parametrize("seed", range(2))
def test_change_is_known_everywhere_within_a_second(seed, control_zones):
    """Guards against updates that stay in their zone."""
    world = _start(seed, control_zones=control_zones)
    for number, name in enumerate(list(world.nodes)[::6]):
        _change(world, name, 100 + number)
        world.run(CHANGE_KNOWN_MS)
        assert _all_know(world, name, 100 + number)


def test_change_is_known_although_datagrams_are_lost():
    """Guards against an update that is lost with a few datagrams."""
    world = _start()
    world.datagram_loss = 0.5
    name = "orders-zone-b-3"
    _change(world, name, 77)
    world.run(RELAY_TAKEN_OVER_MS)
    assert _all_know(world, name, 77)


@pytest.mark.parametrize("seed", range(2))
@pytest.mark.parametrize("control_zones", [setups.ZONES, ("zone-a",)])
def test_updates_outlive_the_relays_of_their_zone(seed, control_zones):
    """Guards against updates that are lost with a relaying process."""
    world = _start(seed, control_zones=control_zones)
    relays = _relay_nodes(world, "zone-b")
    assert relays
    others = [
        name
        for name in world.nodes
        if world.zone_of(name) == "zone-b" and name not in relays
    ]
    _change(world, others[0], 55)
    for name in relays:
        world.kill(name)
    if "m1" in world.cluster.tables and control_zones == setups.ZONES:
        world.cluster.crash("m1")
    _change(world, others[1], 66)
    world.run(RELAY_TAKEN_OVER_MS)
    assert _all_know(world, others[0], 55)
    assert _all_know(world, others[1], 66)
    world.run(3_000)
    for view in _views(world):
        for name in relays:
            assert view.rows[name].status == models.DEAD


@pytest.mark.parametrize("seed", range(2))
@pytest.mark.parametrize("cut_ms", [10_000, LONG_CUT_MS])
def test_cut_zone_is_found_and_merged_again(seed, cut_ms):
    """Guards against zones that hold each other for dead after a cut."""
    world = _start(seed)
    world.isolate_zone("zone-c")
    world.run(CUT_FOUND_MS)
    for view in _views(world):
        for name in world.nodes:
            cut_off = (world.zone_of(name) == "zone-c") != (
                view.own.zone == "zone-c"
            )
            expected = models.DEAD if cut_off else models.ALIVE
            assert view.rows[name].status == expected
    world.run(cut_ms - CUT_FOUND_MS)
    world.heal()
    world.run(HEALED_MS)
    assert _all_see_all_alive(world)
    world.run(5_000)
    assert _all_see_all_alive(world)


def test_one_broken_link_of_a_relay_harms_no_process():
    """Guards against declaring a process dead that others reach."""
    world = _start()
    relay_a = zone_relays.relays_of(
        world.nodes["orders-zone-a-1"].tables.members, "zone-a"
    )[0]
    for name in world.nodes:
        if world.zone_of(name) == "zone-b":
            world.partitioned_pairs.add((relay_a, name))
    world.run(20_000)
    assert _all_see_all_alive(world)
    _change(world, "orders-zone-b-2", 99)
    world.run(2_000)
    assert _all_know(world, "orders-zone-b-2", 99)


@pytest.mark.parametrize("control_zones", [setups.ZONES, ("zone-a",)])
def test_idle_minute_stays_within_its_bytes(control_zones):
    """Guards against membership traffic of each node between zones."""
    world = _start(per_zone=15, control_zones=control_zones)
    world.sent.clear()
    world.run(60_000)
    spent = dict.fromkeys([*world.nodes, *world.cluster.tables], 0)
    for (source, _, scope), sent in world.sent.items():
        if scope == traffic.OTHER_ZONE:
            spent[source] += sent.payload_bytes / 60
    assert max(spent.values()) <= IDLE_BYTES_PER_S_MAX
    nodes = [spent[name] for name in world.nodes]
    assert sum(nodes) / len(nodes) <= IDLE_BYTES_PER_S_MEAN_MAX


def test_zone_with_one_process_is_part_of_the_fleet():
    """Guards against a zone without a second process to relay for it."""
    world = _start(per_zone=1, control_zones=("zone-a",))
    assert _all_see_all_alive(world)
    _change(world, "orders-zone-c-0", 44)
    world.run(CHANGE_KNOWN_MS)
    assert _all_know(world, "orders-zone-c-0", 44)
    world.kill("orders-zone-c-0")
    world.run(7_000)
    for view in _views(world):
        assert view.rows["orders-zone-c-0"].status == models.DEAD
