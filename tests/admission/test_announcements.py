"""Announcements that are late, repeated or from a process that has ended."""

import pytest

from fescueyard.admission import announcements
from fescueyard.admission import discovery
from fescueyard.admission import systems as admission
from fescueyard.core import http
from tests import setups

TTL_MS = 6_000


def _announcement(
    instance="i-1", born_ms=100, sequence=1, leaving=False, **fields
):
    values = {
        "service": "orders",
        "address": "127.0.0.1:1",
        "slots": 10,
        "cold_ms": 0.0,
    }
    values.update(fields)
    return announcements.Announcement(
        instance,
        values["service"],
        values["address"],
        values["slots"],
        born_ms,
        sequence,
        leaving,
        values["cold_ms"],
    )


CASES = {
    "first": ([_announcement()], ("i-1", False)),
    "renewed": ([_announcement(), _announcement(sequence=2)], ("i-1", False)),
    "leaving": (
        [_announcement(), _announcement(sequence=2, leaving=True)],
        ("i-1", True),
    ),
    "late ready after leaving": (
        [
            _announcement(),
            _announcement(sequence=3, leaving=True),
            _announcement(sequence=2),
        ],
        ("i-1", True),
    ),
    "ready again after leaving": (
        [
            _announcement(),
            _announcement(sequence=2, leaving=True),
            _announcement(sequence=3),
        ],
        ("i-1", True),
    ),
    "successor": (
        [_announcement(), _announcement("i-2", born_ms=200, sequence=1)],
        ("i-2", False),
    ),
    "late announcement of the predecessor": (
        [_announcement("i-2", born_ms=200), _announcement(sequence=9)],
        ("i-2", False),
    ),
    "late leaving of the predecessor": (
        [
            _announcement("i-2", born_ms=200),
            _announcement(sequence=9, leaving=True),
        ],
        ("i-2", False),
    ),
    "same id after a restart": (
        [_announcement(sequence=9), _announcement(born_ms=200, sequence=1)],
        ("i-1", False),
    ),
    "other service at the address": (
        [
            _announcement(),
            _announcement("i-3", born_ms=300, service="billing"),
        ],
        ("i-3", False),
    ),
}


@pytest.mark.parametrize("name", CASES)
def test_latest_announcement_of_the_latest_process_applies(name):
    reported, expected = CASES[name]
    world = setups.start_routed_fleet(zones=("zone-a",))
    tables = world.nodes["orders-zone-a"].tables
    tables.runs.backend = None
    for announcement in reported:
        admission.apply_announcement(
            tables, announcement, TTL_MS, world.now_ms
        )
    backend = tables.runs.backend
    assert (backend.instance, backend.leaving) == expected
    assert backend.service == reported[-1].service or name.startswith("late")


def test_leave_of_another_instance_does_not_drain_this_one():
    world = setups.start_routed_fleet(zones=("zone-a",))
    tables = world.nodes["orders-zone-a"].tables
    tables.runs.backend = None
    admission.apply_announcement(tables, _announcement(), TTL_MS, world.now_ms)
    admission.backend_left(tables, "i-other", world.now_ms)
    assert not tables.runs.backend.leaving
    admission.backend_left(tables, "i-1", world.now_ms)
    assert tables.runs.backend.leaving


def test_health_check_identifies_the_server_until_it_announces_itself():
    world = setups.start_routed_fleet(zones=("zone-a", "zone-b"))
    tables = world.nodes["orders-zone-a"].tables
    setups.put_object(
        world,
        "service",
        "orders",
        profile="standard",
        health_path="/healthz",
    )
    world.run(1_500)
    assert discovery.health_path(tables) is None
    tables.runs.backend = None
    assert discovery.health_path(tables) == "/healthz"
    instance_header = tables.interface.names.instance
    healthy = http.HttpResponse(
        200, [http.Header(instance_header, "i-1")], b""
    )
    for response in (
        None,
        http.HttpResponse(503, [http.Header(instance_header, "i-1")], b""),
        http.HttpResponse(200, [], b""),
    ):
        assert (
            discovery.announcement_from_response(
                tables, "127.0.0.1:1", response
            )
            is None
        )
    announcement = discovery.announcement_from_response(
        tables, "127.0.0.1:1", healthy
    )
    admission.apply_announcement(tables, announcement, TTL_MS, world.now_ms)
    assert tables.runs.backend.instance == "i-1"
    admission.apply_announcement(
        tables, _announcement(sequence=7, slots=33), TTL_MS, world.now_ms
    )
    assert tables.runs.backend.slots == 33
    assert not tables.runs.backend.leaving
