"""Fixtures that start fleets of real processes."""

import pytest

from demo import fleet as fleets

ZONES = ("zone-a", "zone-b", "zone-c")


@pytest.fixture
def fleet(tmp_path):
    """Yield an empty fleet, whose processes are killed after the test."""
    started_fleet = fleets.Fleet(tmp_path)
    yield started_fleet
    started_fleet.kill()


@pytest.fixture(scope="module")
def small_fleet(tmp_path_factory):
    """Yield a ready fleet: one control process, one node in each zone."""
    started_fleet = fleets.Fleet(tmp_path_factory.mktemp("fleet"))
    try:
        started_fleet.add_control(ZONES[0])
        for zone in ZONES:
            started_fleet.add_node(zone, "orders")
        started_fleet.configure("orders")
        started_fleet.await_ready("orders", *started_fleet.keys.values())
        yield started_fleet
    finally:
        started_fleet.kill()
