"""Requests leave their zone when the wait saved is worth the way."""

import pytest

from fescueyard.admission import messages
from fescueyard.routing import traffic
from fescueyard.routing import zone_preference
from tests import setups
from tests import world as worlds

SLOTS = 8
SERVICE_MS = 20.0
OBSERVED_MS = 5_000
KEY = setups.KEYS["board"]


@pytest.mark.parametrize(
    "near_score, far_score, expected",
    [
        (0.9, 0.1, "near"),
        (1.5, 0.0, "near"),
        (1.6, 1.2, "near"),
        (3.2, 0.5, "far"),
        (3.2, 3.1, "near"),
    ],
)
def test_request_leaves_a_queue_but_no_free_slot(
    near_score, far_score, expected
):
    """Guards against leaving for a little load and staying in a queue."""
    chosen = zone_preference.choose("near", "far", near_score, far_score)
    assert chosen == expected


def _start(saves, counts=(1, 3, 3)):
    """Start a service with one server in one zone and three in others.

    The servers differ in speed by a factor of up to 2.5.
    """
    world = worlds.World(
        1, controls=3, control_zones=setups.ZONES, saves_cross_zone=saves
    )
    setups.put_object(world, "profile", "standard")
    for service in ("orders", "front"):
        setups.put_object(world, "service", service, profile="standard")
    setups.put_object(world, "firm", "board")
    setups.put_object(
        world, "customer", "board", firm="board", rate_per_s=None, burst=100
    )
    setups.grant_key(world, "board")
    setups.put_route(world, "a", "orders")
    for zone, count in zip(setups.ZONES, counts):
        for number in range(count):
            node = world.add_node(
                f"orders-{zone}-{number}",
                zone,
                "orders",
                SLOTS,
                SERVICE_MS,
                True,
            )
            node.backend.slowdown = (1.0, 2.0, 2.5)[number]
        world.add_node(f"front-{zone}", zone, "front", routed=True)
    for node in world.nodes.values():
        node.backend.cold_ms = 0.0
    world.run(8_000)
    return world


def _call(world, zone):
    return world.call(f"front-{zone}", "/a/x", KEY, host="fleet.example")


def _offer(world, rate_per_s):
    """Offer each zone the same load; return the calls."""
    calls = []
    end_ms = world.now_ms + OBSERVED_MS

    def arrive(zone):
        if world.now_ms < end_ms:
            calls.append(_call(world, zone))
            gap_ms = world.random.expovariate(rate_per_s) * 1_000
            world.call_later(gap_ms, lambda: arrive(zone))

    world.sent.clear()
    for zone in setups.ZONES:
        arrive(zone)
    world.run(OBSERVED_MS + 1_000)
    return calls


def _far_count(world):
    kind = messages.ForwardRequest.__name__
    return sum(
        sent.messages
        for (_, sent_kind, scope), sent in world.sent.items()
        if sent_kind == kind and scope == traffic.OTHER_ZONE
    )


def _mean_ms(calls):
    return sum(call.ended_at_ms - call.started_at_ms for call in calls) / len(
        calls
    )


# The servers together take about 1,920 requests a second.
@pytest.mark.parametrize(
    "rate_per_s, far_ratio_max", [(190.0, 0.2), (380.0, 0.65)]
)
def test_fewer_requests_leave_and_none_waits_longer(rate_per_s, far_ratio_max):
    """Guards against leaving for nothing, and against a full near server."""
    results = {}
    for saves in (False, True):
        world = _start(saves)
        calls = _offer(world, rate_per_s)
        assert all(call.response.status == 200 for call in calls)
        results[saves] = (_far_count(world), _mean_ms(calls))
    assert results[True][0] <= far_ratio_max * results[False][0]
    assert results[True][1] <= 1.1 * results[False][1]


def test_zone_without_a_usable_server_sends_elsewhere_at_once():
    """Guards against waiting for servers of the own zone that are gone."""
    world = _start(True, counts=(0, 2, 2))
    calls = [_call(world, "zone-a") for _ in range(10)]
    world.run(200)
    assert all(call.response.status == 200 for call in calls)


def test_load_of_a_small_zone_does_not_swing():
    """Guards against a near server that is idle and full by turns."""
    world = _start(True)
    _offer(world, 600.0)
    near = [
        run
        for run in world.runs
        if run.node_name == "orders-zone-a-0"
        and run.received_at_ms > world.now_ms - OBSERVED_MS
    ]
    windows = [0] * 8
    for run in near:
        age_ms = world.now_ms - 1_000 - run.received_at_ms
        if 0 <= age_ms < 4_000:
            windows[int(age_ms // 500)] += 1
    assert min(windows) >= 0.6 * max(windows)
