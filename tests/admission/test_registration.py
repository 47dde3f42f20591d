"""Announcements that are late, repeated or from a process that has ended."""

import pytest

from fescueyard.admission import announcements
from fescueyard.admission import discovery
from fescueyard.admission import registration
from fescueyard.core import codes
from fescueyard.core import http
from fescueyard.core import notices
from tests import setups

TTL_MS = 6_000
# A time of day after the start of every process below.
UNIX_MS = 1_000


def _announcement(
    instance="i-1", born_ms=100, sequence=1, leaving=False, **fields
):
    values = {
        "service": "orders",
        "address": "127.0.0.1:1",
        "slots": 10,
        "cold_ms": 0.0,
        "born_max_ms": 0,
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
        values["born_max_ms"],
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
    setups.put_object(world, "service", "billing", profile="standard")
    world.run(1_500)
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
    registration.backend_left(tables, "i-1", world.now_ms, UNIX_MS)
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
    registration.backend_left(tables, "i-other", world.now_ms, UNIX_MS)
    assert not tables.runs.backend.leaving
    registration.backend_left(tables, "i-1", world.now_ms, UNIX_MS)
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
                tables, "127.0.0.1:1", response, UNIX_MS
            )
            is None
        )
    announcement = discovery.announcement_from_response(
        tables, "127.0.0.1:1", healthy, UNIX_MS
    )
    registration.apply_announcement(tables, announcement, TTL_MS, world.now_ms)
    assert tables.runs.backend.instance == "i-1"
    registration.apply_announcement(
        tables, _announcement(sequence=7, slots=33), TTL_MS, world.now_ms
    )
    assert tables.runs.backend.slots == 33
    assert not tables.runs.backend.leaving


def _checked_node():
    """Return the world and tables of a node whose server is only checked."""
    world, tables = _restarted_node()
    checked = _announcement(
        "i-1", born_ms=0, sequence=0, slots=16, born_max_ms=UNIX_MS
    )
    registration.confirm_backend(tables, checked, TTL_MS, world.now_ms)
    return world, tables


def _leave(world, tables):
    registration.backend_left(tables, "i-1", world.now_ms, UNIX_MS)


def _notice(world, tables, born_ms=0):
    notice = notices.ServerNotice(None, True, "i-1", born_ms)
    registration.adopt_notice(tables, notice, world.now_ms)


def _respond(world, tables):
    notice = notices.ServerNotice(leaving=True)
    registration.record_notice(tables, notice, 0.0, world.now_ms)


LEAVES = {
    "DELETE": _leave,
    "response": _respond,
    "another node, start not known": _notice,
    "another node": lambda world, tables: _notice(world, tables, 100),
}


# A late announcement brought back a server that had left.
@pytest.mark.parametrize("way", LEAVES)
def test_leave_of_a_server_known_by_its_health_check_is_final(way):
    world, tables = _checked_node()
    LEAVES[way](world, tables)
    for sequence in (5, 6):
        registration.apply_announcement(
            tables, _announcement(sequence=sequence), TTL_MS, world.now_ms
        )
        assert tables.runs.backend.leaving
    later = _announcement(born_ms=UNIX_MS + 1, sequence=1)
    registration.apply_announcement(tables, later, TTL_MS, world.now_ms)
    assert not tables.runs.backend.leaving


# A health check or late announcements outranked a leave that came first.
def test_leave_of_a_server_that_is_not_known_yet_is_final():
    world, tables = _restarted_node()
    _leave(world, tables)
    checked = _announcement(born_ms=0, sequence=0, born_max_ms=UNIX_MS)
    registration.confirm_backend(tables, checked, TTL_MS, world.now_ms)
    for sequence in (5, 6):
        registration.apply_announcement(
            tables, _announcement(sequence=sequence), TTL_MS, world.now_ms
        )
    assert tables.runs.backend is None
    for sequence in (1, 2):
        registration.apply_announcement(
            tables,
            _announcement(born_ms=UNIX_MS + 1, sequence=sequence),
            TTL_MS,
            world.now_ms,
        )
    assert not tables.runs.backend.leaving


# The limit of a server was forgotten at its first announcement.
def test_announcement_keeps_what_responses_said_before_it():
    world, tables = _checked_node()
    notice = notices.ServerNotice(rate_limit_per_s=5.0)
    registration.record_notice(tables, notice, 0.0, world.now_ms)
    checked = tables.runs.backend
    registration.apply_announcement(
        tables, _announcement(sequence=5, slots=33), TTL_MS, world.now_ms
    )
    assert tables.runs.server_limit.rate_per_s == 5.0
    assert tables.runs.backend is checked
    assert (checked.slots, checked.born_ms) == (33, 100)
    own = tables.members.own
    assert own.slots == 33


# A server that had left and refused connections was used again.
def test_leave_is_final_though_connections_are_refused():
    world, tables = _restarted_node()
    tables.confirms_announcements = False
    registration.apply_announcement(
        tables, _announcement(), TTL_MS, world.now_ms
    )
    _leave(world, tables)
    registration.handle_probe_result(tables, False, world.now_ms)
    registration.apply_announcement(
        tables, _announcement(sequence=2), TTL_MS, world.now_ms
    )
    assert tables.runs.backend.leaving


def _running_node():
    """Return the world and tables of a node whose server is unknown yet."""
    world, tables = _restarted_node()
    tables.confirms_announcements = False
    world.nodes["orders-zone-a"].backend.announces = False
    return world, tables


HEARTBEAT_MS = 1_500
ODD_ANNOUNCEMENTS = {
    "later start, another id": _announcement("i-odd", born_ms=900),
    "later start": _announcement(born_ms=900),
    "sequence": _announcement(sequence=2**53),
    "leaving": _announcement("i-odd", born_ms=900, leaving=True),
    "service that is not configured": _announcement(
        "i-odd", born_ms=900, service="nowhere"
    ),
    "leaving, of no service": _announcement(
        "i-odd", born_ms=900, service="nowhere", leaving=True
    ),
}


# One odd announcement put a sound server out of use for good.
@pytest.mark.parametrize("name", ODD_ANNOUNCEMENTS)
def test_odd_announcement_does_not_outrank_a_sound_server(name):
    world, tables = _running_node()
    odd = ODD_ANNOUNCEMENTS[name]
    sound = _announcement(sequence=10)
    registration.apply_announcement(tables, sound, TTL_MS, world.now_ms)
    registration.apply_announcement(tables, odd, TTL_MS, world.now_ms)
    used = []
    for sequence in range(11, 15):
        world.run(HEARTBEAT_MS)
        sound = _announcement(sequence=sequence)
        registration.apply_announcement(tables, sound, TTL_MS, world.now_ms)
        backend = tables.runs.backend
        used.append(backend.born_ms == 100 and not backend.leaving)
    assert used[2:] == [True, True]
    if odd.service == "nowhere":
        assert all(used)
        return
    late = _announcement("i-odd", born_ms=900, sequence=0)
    registration.apply_announcement(tables, late, TTL_MS, world.now_ms)
    if odd.leaving:
        assert tables.runs.backend.instance == "i-1"


def test_late_announcements_do_not_outrank_a_server_that_runs():
    world, tables = _running_node()
    for sequence in range(1, 9):
        running = _announcement("i-2", born_ms=200, sequence=sequence)
        late = _announcement(sequence=sequence)
        for announcement in (running, late, late):
            registration.apply_announcement(
                tables, announcement, TTL_MS, world.now_ms
            )
        assert tables.runs.backend.instance == "i-2"
        world.run(HEARTBEAT_MS)


# Requests went on to a server that another one had answered for.
def test_server_for_which_another_one_responds_is_drained():
    world, tables = _running_node()
    registration.apply_announcement(
        tables, _announcement(sequence=10), TTL_MS, world.now_ms
    )
    odd = _announcement("i-odd", born_ms=900)
    registration.apply_announcement(tables, odd, TTL_MS, world.now_ms)
    for _ in range(registration.CONNECT_FAILURES_MAX):
        assert not tables.runs.backend.leaving
        registration.record_connect_result(
            tables, codes.WRONG_INSTANCE, world.now_ms
        )
    assert tables.runs.backend.leaving
    registration.apply_announcement(
        tables, _announcement(sequence=11), TTL_MS, world.now_ms
    )
    assert tables.runs.backend.instance == "i-1"
    assert not tables.runs.backend.leaving


# A successor was drained for runs that had been sent to its predecessor.
def test_late_result_of_a_predecessors_run_does_not_drain_its_successor():
    world = setups.start_routed_fleet(
        zones=("zone-a",), routes=[("work", {})], service_ms=500.0
    )
    node = world.nodes["orders-zone-a"]
    node.backend.announces = False
    for _ in range(registration.CONNECT_FAILURES_MAX):
        world.call(
            node.name, "/work/x", setups.KEYS["board"], host="fleet.example"
        )
    world.run(100)
    successor = _announcement("i-2", born_ms=200)
    registration.apply_announcement(
        node.tables, successor, TTL_MS, world.now_ms
    )
    assert len(node.runs) == registration.CONNECT_FAILURES_MAX
    for run_id in list(node.runs):
        world._report_run_end(node, run_id, None, codes.WRONG_INSTANCE)
    assert not node.tables.runs.backend.leaving


# One odd announcement right after a restart kept the server out for good.
def test_odd_announcement_after_a_restart_does_not_outrank_a_sound_server():
    world, tables = _running_node()
    tables.confirms_announcements = True
    odd = _announcement("i-odd", born_ms=900)
    registration.apply_announcement(tables, odd, TTL_MS, world.now_ms)
    for sequence in range(1, 5):
        world.run(HEARTBEAT_MS)
        sound = _announcement(sequence=sequence)
        registration.apply_announcement(tables, sound, TTL_MS, world.now_ms)
    assert tables.runs.backend.instance == "i-1"


# A server whose announcements had been delayed was never used again.
def test_server_that_was_silent_is_used_again_as_it_was():
    world, tables = _running_node()
    registration.apply_announcement(
        tables, _announcement(), TTL_MS, world.now_ms
    )
    notice = notices.ServerNotice(rate_limit_per_s=5.0)
    registration.record_notice(tables, notice, 0.0, world.now_ms)
    world.run(TTL_MS + 1_000)
    assert tables.runs.backend.leaving
    registration.apply_announcement(
        tables, _announcement(sequence=2), TTL_MS, world.now_ms
    )
    assert not tables.runs.backend.leaving
    assert tables.members.own.accepting
    assert tables.runs.server_limit.rate_per_s == 5.0
