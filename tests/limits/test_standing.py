"""Rates while nodes have no way to the fleet's grantor."""

import pytest

from fescueyard.limits import grantors
from tests import setups

KEY = setups.KEYS["board"]
RATE_PER_S = 60.0
BURST = 60
# Bound of the users on any five seconds: overshoot, and a fixed slack.
WINDOW_S = 5
OVERSHOOT = 0.1
SLACK = 20


def _bound():
    return (RATE_PER_S * WINDOW_S + BURST) * (1 + OVERSHOOT) + SLACK


def _press(world, seconds, calls_per_s):
    """Have callers send to all nodes in turn."""
    names = sorted(world.nodes)
    told = []
    for number in range(int(seconds * calls_per_s)):
        world.later(
            number * 1000 / calls_per_s,
            lambda number=number: told.append(
                world.call(
                    names[number % len(names)],
                    f"/a/x?id={number}",
                    KEY,
                    host="fleet.example",
                )
            ),
        )
    return told


def _most_in_window(world):
    times_ms = sorted(run.at_ms for run in world.runs)
    most = 0
    start = 0
    for end, at_ms in enumerate(times_ms):
        while at_ms - times_ms[start] > WINDOW_S * 1000:
            start += 1
        most = max(most, end - start + 1)
    return most


def _world(seed, share):
    return setups.routed(
        seed,
        routes=[("a", {})],
        rate_per_s=RATE_PER_S,
        burst=BURST,
        key_staleness_max_ms=60_000,
        cut_off_rate_share=share,
    )


@pytest.mark.parametrize("seed", range(4))
def test_cut_zone_goes_on_within_the_bound(seed):
    world = _world(seed, 1.0)
    _press(world, 14, 5 * RATE_PER_S)
    world.run(4_000)
    world.cut_zone("zone-b")
    world.run(5_500)
    cut_from_ms = world.now_ms - 4_000
    served = [
        run
        for run in world.runs
        if run.node == "orders-zone-b" and run.at_ms > cut_from_ms
    ]
    world.heal()
    world.run(5_000)
    assert len(served) > 0.5 * RATE_PER_S / 3 * 4
    assert _most_in_window(world) <= _bound()


def test_within_its_rate_a_cut_customer_is_served():
    world = _world(1, 1.0)
    world.run(1_000)
    world.cut_zone("zone-b")
    told = _press(world, 8, 0.5 * RATE_PER_S)
    world.run(9_000)
    late = [row for row in told if row.started_at_ms > told[0].started_at_ms]
    # The first second passes until streams to the cut zone are given up.
    cut = [
        row
        for row in late
        if row.node == "orders-zone-b"
        and row.started_at_ms > told[0].started_at_ms + 3_000
    ]
    served = sum(row.answer.status == 200 for row in cut)
    assert served >= 0.95 * len(cut)


def test_without_the_share_a_cut_zone_refuses():
    world = _world(1, 0.0)
    world.cut_zone("zone-b")
    world.run(5_000)
    told = world.call("orders-zone-b", "/a/x", KEY, host="fleet.example")
    world.run(2_500)
    assert told.answer.status == 503


def _cut_from_control(world, name):
    """Cut a node off from the control VMs, though not from other nodes."""
    for member_id in world.cluster.disks:
        world.cut_pairs.add((name, member_id))


@pytest.mark.xfail(strict=True, reason="KNOWN-RED.txt, issue 14")
@pytest.mark.parametrize("seed", range(3))
def test_zones_whose_grantors_lost_the_fleet_add_nothing_to_a_rate(seed):
    world = setups.routed(
        seed,
        routes=[("a", {})],
        rate_per_s=RATE_PER_S,
        burst=BURST,
        per_zone=3,
        controls=3,
        key_staleness_max_ms=60_000,
        cut_off_rate_share=1.0,
    )
    for zone in ("zone-b", "zone-c"):
        tables = world.nodes[f"orders-{zone}"].tables
        grantor = grantors.grantor_of(tables, "board", world.now_ms)
        _cut_from_control(world, grantor)
    world.run(1_200)
    _press(world, 7, 5 * RATE_PER_S)
    world.run(8_000)
    assert _most_in_window(world) <= _bound()
