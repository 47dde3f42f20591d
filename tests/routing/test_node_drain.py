"""Drain of a node with notice, and start of a node next to a warm server."""

import collections

from fescueyard.admission import announcements
from fescueyard.admission import registration
from fescueyard.core import codes
from fescueyard.node import systems as node_systems
from fescueyard.routing import balancer
from fescueyard.routing import models
from tests import setups

KEY = setups.KEYS["board"]
NOTICE_MS = 2_600
SLOTS = 20


def _world():
    world = setups.start_routed_fleet(
        routes=[("a", {"timeout_ms": 800.0})], slots=SLOTS
    )
    for node in world.nodes.values():
        node.tables.leave_notice_ms = NOTICE_MS
    return world


def _call_others(world, stopping, duration_ms):
    """Send calls through all other nodes for a while."""
    names = [name for name in sorted(world.nodes) if name != stopping]
    calls = []
    for number in range(int(duration_ms / 5)):
        name = names[number % len(names)]
        target = f"/a/{number}?ms=100"
        calls.append(world.call(name, target, KEY, host="fleet.example"))
        world.run(5)
    return calls


def test_stopping_node_serves_calls_for_most_of_its_notice():
    """Other nodes can use its slots for two thirds of the notice."""
    world = _world()
    node = world.nodes["orders-zone-b"]
    node_systems.drain(node.tables, world.now_ms)
    world._settle(node)
    drain_at_ms = world.now_ms
    calls = _call_others(world, "orders-zone-b", NOTICE_MS)
    world.run(1_000)
    times_ms = [
        run.received_at_ms - drain_at_ms
        for run in world.runs
        if run.node_name == "orders-zone-b"
    ]
    per_s = collections.Counter(int(at_ms / 1_000) for at_ms in times_ms)
    assert per_s[0] >= 30
    assert per_s[1] >= 30
    assert max(times_ms) < NOTICE_MS - 500
    assert {call.response.status for call in calls} == {200}
    assert not node.tables.runs.rows


def test_stopping_node_is_unready_immediately():
    world = _world()
    node = world.nodes["orders-zone-b"]
    assert node_systems.is_ready(node.tables)
    node_systems.drain(node.tables, world.now_ms)
    assert not node_systems.is_ready(node.tables)


def _announce_cold(world, cold_ms):
    node = world.nodes["orders-zone-b"]
    announcement = announcements.Announcement(
        "new-instance", "orders", "127.0.0.1:1", SLOTS, 1, 1, False, cold_ms
    )
    registration.apply_announcement(
        node.tables, announcement, 3_000, world.now_ms
    )
    world._settle(node)
    world.run(1_000)


def _capacity_share_of_zone_b(world):
    """Return the share of zone B's slots that another node counts on."""
    tables = world.nodes["orders-zone-a"].tables
    target = tables.members.targets["orders-zone-b"]
    return balancer._slow_start_share(target, 5_000, world.now_ms)


def test_warm_server_gets_its_full_share_from_the_start():
    world = _world()
    _announce_cold(world, 0.0)
    assert _capacity_share_of_zone_b(world) == 1.0


def test_cold_server_gets_a_reduced_share_until_it_is_warm():
    world = _world()
    _announce_cold(world, 3_000.0)
    assert _capacity_share_of_zone_b(world) == balancer.COLD_CAPACITY_SHARE
    world.run(3_000)
    assert _capacity_share_of_zone_b(world) == 1.0


def test_unrelated_update_does_not_reset_the_cold_period():
    world = _world()
    _announce_cold(world, 3_000.0)
    world.run(3_000)
    node = world.nodes["orders-zone-b"]
    node_systems.drain(node.tables, world.now_ms)
    world._settle(node)
    world.run(1_000)
    assert _capacity_share_of_zone_b(world) == 1.0


def test_later_cold_report_replaces_an_earlier_warm_one():
    """The health check at start does not report whether a server is cold."""
    world = _world()
    _announce_cold(world, 0.0)
    _announce_cold(world, 3_000.0)
    assert _capacity_share_of_zone_b(world) == balancer.COLD_CAPACITY_SHARE


def test_server_without_a_cold_report_uses_slow_start():
    target = models.TargetState(accepting_since_ms=0.0)
    assert balancer._slow_start_share(target, 5_000, 2_500.0) == 0.5
    assert balancer._slow_start_share(target, 5_000, 5_000.0) == 1.0


def test_late_call_to_a_closed_node_runs_on_another_node():
    world = _world()
    node = world.nodes["orders-zone-b"]
    registration.close(node.tables, world.now_ms)
    world._settle(node)
    call = world.call("orders-zone-b", "/a/x", KEY, host="fleet.example")
    world.run(500)
    assert call.response.status == 200
    assert codes.LEAVING.outcome is codes.Outcome.NOT_RUN
    assert all(run.node_name != "orders-zone-b" for run in world.runs)


def test_call_late_in_a_planned_stop_is_refused_before_it_is_passed_on():
    world = setups.start_routed_fleet(
        routes=[("b", {"idempotent": False, "timeout_ms": 2_500.0})]
    )
    node = world.nodes["orders-zone-b"]
    node.tables.leave_notice_ms = NOTICE_MS
    node_systems.drain(node.tables, world.now_ms)
    world._settle(node)
    drain_at_ms = world.now_ms
    calls = []
    for number in range(100):
        calls.append(
            world.call(
                "orders-zone-b",
                f"/b/{number}?ms=2000",
                KEY,
                "POST",
                host="fleet.example",
            )
        )
        world.run(50)
    world.run(3_000)
    ran = {run.request.target for run in world.runs}
    for call in calls:
        late = call.started_at_ms - drain_at_ms >= NOTICE_MS
        assert call.response.status == (503 if late else 200)
        assert (call.request.target in ran) == (not late)
