"""A node that stops with notice, and one that starts beside a warm server."""

import collections

from fescueyard.admission import announcements
from fescueyard.admission import systems as admission
from fescueyard.core import codes
from fescueyard.node import systems as node_systems
from fescueyard.routing import balancer
from fescueyard.routing import models
from tests import setups

KEY = setups.KEYS["board"]
NOTICE_MS = 2_600
SLOTS = 20


def _world():
    world = setups.routed(routes=[("a", {"timeout_ms": 800.0})], slots=SLOTS)
    for node in world.nodes.values():
        node.tables.leave_notice_ms = NOTICE_MS
    return world


def _call_others(world, stopping, duration_ms):
    """Have the callers of all other nodes send for a while."""
    names = [name for name in sorted(world.nodes) if name != stopping]
    told = []
    for number in range(int(duration_ms / 5)):
        name = names[number % len(names)]
        target = f"/a/{number}?ms=100"
        told.append(world.call(name, target, KEY, host="fleet.example"))
        world.run(5)
    return told


def test_backend_server_of_a_stopping_node_works_until_its_callers_go():
    """Two thirds of the notice, the other nodes still have its slots."""
    world = _world()
    node = world.nodes["orders-zone-b"]
    node_systems.drain(node.tables, world.now_ms)
    world._settle(node)
    since_ms = world.now_ms
    told = _call_others(world, "orders-zone-b", NOTICE_MS)
    world.run(1_000)
    times_ms = [
        run.at_ms - since_ms
        for run in world.runs
        if run.node == "orders-zone-b"
    ]
    per_s = collections.Counter(int(at_ms / 1_000) for at_ms in times_ms)
    assert per_s[0] >= 30
    assert per_s[1] >= 30
    assert max(times_ms) < NOTICE_MS - 500
    assert {row.answer.status for row in told} == {200}
    assert not node.tables.runs.rows


def test_stopping_node_is_not_ready_at_once():
    world = _world()
    node = world.nodes["orders-zone-b"]
    assert node_systems.is_ready(node.tables)
    node_systems.drain(node.tables, world.now_ms)
    assert not node_systems.is_ready(node.tables)


def _told_cold(world, cold_ms):
    node = world.nodes["orders-zone-b"]
    told = announcements.Announcement(
        "new-instance", "orders", "127.0.0.1:1", SLOTS, 1, 1, False, cold_ms
    )
    admission.take_announcement(node.tables, told, 3_000, world.now_ms)
    world._settle(node)
    world.run(1_000)


def _share_of_zone_b(world):
    """Share of the slots of zone B's server that another node counts on."""
    tables = world.nodes["orders-zone-a"].tables
    target = tables.members.targets["orders-zone-b"]
    return balancer._slow_start_share(target, 5_000, world.now_ms)


def test_warm_server_gets_its_whole_share_from_the_start():
    world = _world()
    _told_cold(world, 0.0)
    assert _share_of_zone_b(world) == 1.0


def test_cold_server_gets_less_until_it_is_warm():
    world = _world()
    _told_cold(world, 3_000.0)
    assert _share_of_zone_b(world) == balancer.COLD_CAPACITY_SHARE
    world.run(3_000)
    assert _share_of_zone_b(world) == 1.0


def test_other_news_of_a_node_does_not_make_its_server_cold_again():
    world = _world()
    _told_cold(world, 3_000.0)
    world.run(3_000)
    node = world.nodes["orders-zone-b"]
    node_systems.drain(node.tables, world.now_ms)
    world._settle(node)
    world.run(1_000)
    assert _share_of_zone_b(world) == 1.0


def test_server_that_turns_out_to_be_cold_is_told_of_again():
    """The health path, asked at a start, does not say whether it is cold."""
    world = _world()
    _told_cold(world, 0.0)
    _told_cold(world, 3_000.0)
    assert _share_of_zone_b(world) == balancer.COLD_CAPACITY_SHARE


def test_server_that_does_not_say_starts_slowly():
    target = models.TargetState(accepting_since_ms=0.0)
    assert balancer._slow_start_share(target, 5_000, 2_500.0) == 0.5
    assert balancer._slow_start_share(target, 5_000, 5_000.0) == 1.0


def test_runs_that_come_late_are_told_that_the_node_leaves():
    world = _world()
    node = world.nodes["orders-zone-b"]
    admission.close(node.tables, world.now_ms)
    world._settle(node)
    told = world.call("orders-zone-b", "/a/x", KEY, host="fleet.example")
    world.run(500)
    assert told.answer.status == 200
    assert codes.LEAVING.outcome is codes.Outcome.NOT_RUN
    assert all(run.node != "orders-zone-b" for run in world.runs)
