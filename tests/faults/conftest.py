"""Fleets for the process tests."""

import pytest

from demo import fleet as fleets

ZONES = ("zone-a", "zone-b", "zone-c")


@pytest.fixture
def fleet(tmp_path):
    """Give an empty fleet; whatever runs at the end is killed."""
    made = fleets.Fleet(tmp_path)
    yield made
    made.kill()


@pytest.fixture(scope="module")
def small_fleet(tmp_path_factory):
    """Give one control process and a node a zone, configured and ready."""
    made = fleets.Fleet(tmp_path_factory.mktemp("fleet"))
    try:
        made.add_control(ZONES[0])
        for zone in ZONES:
            made.add_node(zone, "orders")
        made.configure("orders")
        made.await_ready("orders", made.keys["board"])
        yield made
    finally:
        made.kill()
