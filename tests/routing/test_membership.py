"""Leaving backend servers, failed nodes, and membership in partitions."""

import pytest

from fescueyard.admission import registration
from fescueyard.core import codes
from fescueyard.node import systems as node_systems
from fescueyard.routing import membership
from fescueyard.routing import models
from tests import setups

KEY = setups.KEYS["board"]
ANNOUNCEMENT_TTL_MS = 3_000
NODES = [f"orders-{zone}-0" for zone in setups.ZONES]


def _send_steadily(world, duration_ms, calls):
    end_ms = world.now_ms + duration_ms
    number = 0
    while world.now_ms < end_ms:
        name = NODES[number % len(NODES)]
        if name in world.nodes:
            calls.append(world.call(name, "/orders/work?ms=20", KEY))
        number += 1
        world.run(5)


def test_leaving_backend_server_gets_no_new_calls():
    world = setups.start_fleet()
    calls = []
    _send_steadily(world, 500, calls)
    node = world.nodes[NODES[1]]
    node.backend.announces = False
    registration.drain_backend(node.tables, world.now_ms)
    world._settle(node)
    left_at_ms = world.now_ms
    _send_steadily(world, 4_000, calls)
    world.run(1_000)
    late_runs = [
        run
        for run in world.runs
        if run.node_name == NODES[1] and run.received_at_ms > left_at_ms
    ]
    assert not late_runs
    assert {call.code for call in calls} == {codes.OK.number}
    for name in NODES:
        table = world.nodes[name].tables.members
        assert NODES[1] not in table.by_service["orders"]


def test_leaving_backend_server_runs_nothing_before_gossip_spreads():
    world = setups.start_fleet()
    world.add_node("gate", "zone-b")
    world.run(3_000)
    world.datagram_loss = 1.0
    calls = []
    node = world.nodes[NODES[1]]
    node.backend.announces = False
    registration.drain_backend(node.tables, world.now_ms)
    world._settle(node)
    left_at_ms = world.now_ms
    for _ in range(40):
        calls.append(world.call("gate", "/orders/work?ms=20", KEY))
        world.run(10)
    world.run(1_000)
    # The gate still considered the server accepting, and it is in the gate's
    # own zone, which is preferred.
    assert NODES[1] in world.nodes["gate"].tables.members.targets
    assert not [
        run
        for run in world.runs
        if run.node_name == NODES[1] and run.received_at_ms > left_at_ms
    ]
    assert {call.code for call in calls} == {codes.OK.number}


def test_backend_server_without_announcements_gets_no_calls():
    world = setups.start_fleet()
    world.nodes[NODES[1]].backend.announces = False
    calls = []
    world.run(ANNOUNCEMENT_TTL_MS + 500)
    before = len([run for run in world.runs if run.node_name == NODES[1]])
    _send_steadily(world, 1_000, calls)
    world.run(500)
    after = len([run for run in world.runs if run.node_name == NODES[1]])
    assert before == after
    assert {call.code for call in calls} == {codes.OK.number}


def test_drain_completes_all_calls_in_flight():
    world = setups.start_fleet(deadline_default_ms=5_000)
    calls = [
        world.call(name, "/orders/work?ms=900", KEY)
        for name in NODES
        for _ in range(10)
    ]
    world.run(50)
    node = world.nodes[NODES[0]]
    node_systems.drain(node.tables, world.now_ms)
    world._settle(node)
    refused = world.call(NODES[0], "/orders/work", KEY)
    stopped_at_ms = None
    for _ in range(800):
        world.run(10)
        if node_systems.may_stop(node.tables, world.now_ms):
            stopped_at_ms = world.now_ms
            break
    assert stopped_at_ms is not None
    assert {call.code for call in calls} == {codes.OK.number}
    assert refused.code == codes.LEAVING.number
    assert refused.header("retry-after") is not None


def test_killed_node_is_declared_dead_by_all_within_seconds():
    world = setups.start_fleet(per_zone=3)
    victim = "orders-zone-b-1"
    world.kill(victim)
    world.run(8_000)
    for node in world.nodes.values():
        assert not membership.is_alive(node.tables.members, victim)


@pytest.mark.parametrize("loss", [0.05, 0.2])
def test_datagram_loss_declares_no_node_dead(loss):
    world = setups.start_fleet(per_zone=4)
    world.datagram_loss = loss
    world.run(30_000)
    for node in world.nodes.values():
        for member in node.tables.members.rows.values():
            assert member.status in (models.ALIVE, models.SUSPECT)


def test_zones_merge_after_a_partition_heals():
    world = setups.start_fleet(per_zone=2, controls=3)
    world.isolate_zone("zone-b")
    world.run(15_000)
    partitioned_members = world.nodes["orders-zone-b-0"].tables.members
    assert not membership.is_alive(partitioned_members, "orders-zone-a-0")
    assert membership.is_alive(partitioned_members, "orders-zone-b-1")
    world.heal()
    world.run(40_000)
    for node in world.nodes.values():
        others = membership.alive_nodes(node.tables.members)
        assert len(others) == len(world.nodes) - 1


def test_frozen_node_refutes_its_death_after_resuming():
    world = setups.start_fleet(per_zone=2)
    name = "orders-zone-a-0"
    world.freeze(name)
    world.run(10_000)
    other = world.nodes["orders-zone-b-0"].tables.members
    assert not membership.is_alive(other, name)
    world.thaw(name)
    world.run(25_000)
    for node in world.nodes.values():
        assert membership.is_alive(node.tables.members, name)
