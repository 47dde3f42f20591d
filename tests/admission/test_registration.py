"""Announcements that are late, repeated or from a process that has ended."""

import pytest

from fescueyard.admission import announcements
from fescueyard.admission import discovery
from fescueyard.admission import registration
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
        registration.apply_announcement(
            tables, announcement, TTL_MS, world.now_ms
        )
    backend = tables.runs.backend
    assert (backend.instance, backend.leaving) == expected
    assert backend.service == reported[-1].service or name.startswith("late")


def _restarted_node():
    """Return the world and the tables of a node without any memory."""
    world = setups.start_routed_fleet(zones=("zone-a",))
    tables = world.nodes["orders-zone-a"].tables
    tables.runs.backend = None
    tables.confirms_announcements = True
    return world, tables


AFTER_RESTART = {
    "late, and the server has ended": ([_announcement(sequence=5)], False),
    "late, and the server is leaving": (
        [
            _announcement(sequence=5),
            _announcement(sequence=8, leaving=True),
        ],
        False,
    ),
    "late behind its successor in time": (
        [
            _announcement(sequence=8, leaving=True),
            _announcement(sequence=5),
            _announcement(sequence=6),
        ],
        False,
    ),
    "late of a predecessor": (
        [
            _announcement("i-1", born_ms=100, sequence=7),
            _announcement("i-2", born_ms=200, sequence=1),
        ],
        False,
    ),
    "the same one twice": (
        [_announcement(sequence=5), _announcement(sequence=5)],
        False,
    ),
    "two in a row": (
        [_announcement(sequence=5), _announcement(sequence=6)],
        True,
    ),
    "two in a row behind a late one": (
        [
            _announcement("i-1", born_ms=100, sequence=7),
            _announcement("i-2", born_ms=200, sequence=1),
            _announcement("i-2", born_ms=200, sequence=2),
        ],
        True,
    ),
}


@pytest.mark.parametrize("name", AFTER_RESTART)
def test_restarted_node_uses_no_server_on_one_announcement(name):
    reported, is_used = AFTER_RESTART[name]
    world, tables = _restarted_node()
    for announcement in reported:
        registration.apply_announcement(
            tables, announcement, TTL_MS, world.now_ms
        )
    backend = tables.runs.backend
    assert (backend is not None and not backend.leaving) == is_used


def test_server_that_left_a_restarted_node_is_not_used():
    world, tables = _restarted_node()
    registration.apply_announcement(
        tables, _announcement(sequence=5), TTL_MS, world.now_ms
    )
    registration.backend_left(tables, "i-1", world.now_ms)
    registration.apply_announcement(
        tables, _announcement(sequence=6), TTL_MS, world.now_ms
    )
    assert tables.runs.backend is None


def test_health_check_confirms_the_announcement_held():
    world, tables = _restarted_node()
    registration.apply_announcement(
        tables, _announcement(sequence=5, slots=33), TTL_MS, world.now_ms
    )
    checked = _announcement("i-1", born_ms=0, sequence=0, slots=16)
    registration.confirm_backend(tables, checked, TTL_MS, world.now_ms)
    backend = tables.runs.backend
    assert (backend.instance, backend.slots, backend.born_ms) == (
        "i-1",
        33,
        100,
    )


def test_leave_of_another_instance_does_not_drain_this_one():
    world = setups.start_routed_fleet(zones=("zone-a",))
    tables = world.nodes["orders-zone-a"].tables
    tables.runs.backend = None
    registration.apply_announcement(
        tables, _announcement(), TTL_MS, world.now_ms
    )
    registration.backend_left(tables, "i-other", world.now_ms)
    assert not tables.runs.backend.leaving
    registration.backend_left(tables, "i-1", world.now_ms)
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
    registration.apply_announcement(tables, announcement, TTL_MS, world.now_ms)
    assert tables.runs.backend.instance == "i-1"
    registration.apply_announcement(
        tables, _announcement(sequence=7, slots=33), TTL_MS, world.now_ms
    )
    assert tables.runs.backend.slots == 33
    assert not tables.runs.backend.leaving
