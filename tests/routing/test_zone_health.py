"""Zones that are cut off while requests are sent to them."""

import pytest

from fescueyard.core import codes
from fescueyard.routing import zone_health
from tests import setups

ZONE_A, ZONE_B, ZONE_C = setups.ZONES
# Within this time a node stops sending requests into a zone that is cut off.
SILENT_WITHIN_MS = 800
HEARD_WITHIN_MS = 600


def _start_fleet(seed=1):
    """Start a fleet with no server of ``orders`` in zone C."""
    world = setups.start_routed_fleet(
        seed, zones=(ZONE_A, ZONE_B), per_zone=3, routes=[("orders", {})]
    )
    setups.put_object(world, "service", "prices", profile="standard")
    for number in range(2):
        world.add_node(f"prices-{number}", ZONE_C, "prices", 20, 5.0, True)
    world.run(4_000)
    return world


def _send(world, name, ms=1):
    return world.call(
        name,
        f"/orders/work?ms={ms}",
        setups.KEYS["board"],
        host="fleet.example",
    )


def _send_steadily(world, name, duration_ms, interval_ms=20):
    calls = []
    for _ in range(duration_ms // interval_ms):
        calls.append(_send(world, name))
        world.run(interval_ms)
    return calls


@pytest.mark.parametrize("seed", range(4))
def test_requests_into_a_zone_that_is_cut_off_end_soon(seed):
    world = _start_fleet(seed)
    _send_steadily(world, "prices-0", 1_000)
    world.isolate_zone(ZONE_C)
    _send_steadily(world, "prices-0", SILENT_WITHIN_MS)
    calls = _send_steadily(world, "prices-0", 1_000)
    assert {call.code for call in calls} == {codes.NO_BACKEND.number}


@pytest.mark.parametrize("seed", range(4))
def test_zone_is_used_again_soon_after_a_cut(seed):
    world = _start_fleet(seed)
    _send_steadily(world, "prices-0", 1_000)
    world.isolate_zone(ZONE_C)
    _send_steadily(world, "prices-0", 1_500)
    world.heal()
    world.run(HEARD_WITHIN_MS)
    calls = _send_steadily(world, "prices-0", 1_000)
    world.run(500)
    assert {call.response.status for call in calls} == {200}


def test_slow_requests_don_t_make_a_zone_silent():
    world = _start_fleet()
    calls = []
    for _ in range(20):
        calls.append(_send(world, "prices-0", ms=700))
        world.run(100)
        assert not zone_health.is_silent(
            world.nodes["prices-0"].tables, ZONE_A
        )
    world.run(1_000)
    assert {call.response.status for call in calls} == {200}


def test_lost_datagrams_and_a_dead_node_don_t_make_a_zone_silent():
    world = _start_fleet()
    world.datagram_loss = 0.1
    world.kill(f"orders-{ZONE_A}")
    for _ in range(200):
        _send(world, "prices-0", ms=700)
        world.run(100)
        tables = world.nodes["prices-0"].tables
        assert not zone_health.is_silent(tables, ZONE_A)
        assert not zone_health.is_silent(tables, ZONE_B)


def test_zone_without_requests_is_not_probed():
    world = _start_fleet()
    _send_steadily(world, "prices-0", 1_000)
    world.run(1_000)
    members = world.nodes["prices-0"].tables.members
    states = members.zones.values()
    assert states
    for _ in range(100):
        world.run(100)
        assert not members.zones_by_probe
        assert not any(state.probes_unanswered for state in states)
