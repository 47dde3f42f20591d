"""Customer keys under withdrawal, network cuts, freezes and late responses."""

import pytest

from fescueyard.configuration import models
from fescueyard.core import codes
from fescueyard.core import dumps
from fescueyard.core import http
from fescueyard.keys import systems as keys
from tests import setups

REFUSED_WITHIN_MS = 4_000
KEY = setups.KEYS["board"]
NODES = [f"orders-{zone}-0" for zone in setups.ZONES]


def _call_all(world, **headers):
    calls = [
        world.call(name, "/orders/work", KEY, **headers) for name in NODES
    ]
    world.run(1_000)
    return [call.code for call in calls]


def test_withdrawn_key_is_refused_everywhere_within_seconds():
    world = setups.start_fleet()
    assert _call_all(world) == [codes.OK.number] * 3
    setups.withdraw_key(world, "board")
    world.run(1_500)
    assert _call_all(world) == [codes.KEY_REFUSED.number] * 3


@pytest.mark.parametrize("name", NODES)
def test_withdrawn_key_is_refused_at_a_node_cut_off_from_all_others(name):
    world = setups.start_fleet()
    for other in [*NODES, "m0"]:
        world.partitioned_pairs.add((name, other))
    setups.withdraw_key(world, "board")
    world.run(REFUSED_WITHIN_MS + 100)
    call = world.call(name, "/orders/work", KEY)
    world.run(300)
    assert call.code == codes.STALE_CONFIGURATION.number


def test_withdrawn_key_is_refused_at_a_node_that_was_frozen():
    world = setups.start_fleet()
    name = NODES[1]
    world.freeze(name)
    setups.withdraw_key(world, "board")
    world.run(REFUSED_WITHIN_MS + 100)
    # The request arrives before a newer configuration can.
    call = world.call(name, "/orders/work", KEY)
    world.thaw(name)
    world.run(2_000)
    assert call.code in (
        codes.STALE_CONFIGURATION.number,
        codes.KEY_REFUSED.number,
    )
    assert not [run for run in world.runs if run.node_name == name]


def test_response_delayed_by_a_cut_confirms_no_key_after_it():
    world = setups.start_fleet()
    name = NODES[2]
    world.run(490)
    world.partitioned_pairs.add((name, "m0"))
    for other in NODES:
        world.partitioned_pairs.add((name, other))
    setups.withdraw_key(world, "board")
    world.run(REFUSED_WITHIN_MS + 500)
    world.heal()
    call = world.call(name, "/orders/work", KEY)
    world.run(2_000)
    assert call.code in (
        codes.STALE_CONFIGURATION.number,
        codes.KEY_REFUSED.number,
    )


def test_queued_request_of_a_withdrawn_key_does_not_run():
    world = setups.start_fleet(zones=("zone-a",), deadline_default_ms=8_000)
    node = world.nodes[NODES[0]]
    slots = node.backend.slots
    running = [
        world.call(NODES[0], "/orders/work?ms=3000", KEY) for _ in range(slots)
    ]
    world.run(100)
    queued = world.call(NODES[0], "/orders/work?body=queued", KEY)
    world.run(100)
    setups.withdraw_key(world, "board")
    world.run(6_000)
    assert [call.code for call in running] == [codes.OK.number] * slots
    assert queued.code == codes.KEY_REFUSED.number
    assert not [run for run in world.runs if "queued" in run.request.target]


def test_zone_that_reaches_control_through_another_zone_continues():
    world = setups.start_fleet()
    for name in NODES[1:]:
        world.partitioned_pairs.add((name, "m0"))
    world.run(8_000)
    assert _call_all(world) == [codes.OK.number] * 3


def test_cut_zone_serves_open_routes_and_what_its_profile_allows():
    world = setups.start_fleet()
    setups.put_object(
        world, "service", "orders", profile="standard", open_routes=["/open"]
    )
    world.run(1_500)
    world.isolate_zone("zone-c")
    world.run(REFUSED_WITHIN_MS + 500)
    name = NODES[2]
    keyed_call = world.call(name, "/orders/work", KEY)
    open_call = world.call(name, "/orders/open/list")
    world.run(500)
    assert keyed_call.code == codes.STALE_CONFIGURATION.number
    assert keyed_call.header("retry-after") is not None
    assert open_call.code == codes.OK.number


def test_newly_granted_key_works_everywhere_within_seconds():
    world = setups.start_fleet()
    setups.withdraw_key(world, "board")
    world.run(2_000)
    setups.grant_key(world, "board")
    world.run(2_000)
    assert _call_all(world) == [codes.OK.number] * 3


def test_backend_server_never_sees_a_key_wherever_the_caller_puts_it():
    world = setups.start_fleet()
    name = NODES[0]
    calls = [
        world.call(name, "/orders/work", KEY, x_key=KEY, cookie=f"a={KEY}"),
        world.call(name, f"/orders/work?key={KEY}", KEY),
        world.call(name, "/orders/work", KEY, "POST", KEY.encode()),
    ]
    world.run(500)
    assert calls[0].code == codes.OK.number
    assert [call.code for call in calls[1:]] == [codes.BAD_REQUEST.number] * 2
    for run in world.runs:
        seen = repr((run.request.target, run.request.headers))
        assert KEY not in seen
        assert KEY.encode() not in run.request.body


def test_headers_that_any_connection_header_lists_are_not_forwarded():
    headers = [
        http.Header("connection", "keep-alive, X-First"),
        http.Header("x-first", "1"),
        http.Header("x-second", "2"),
        http.Header("x-third", "3"),
        http.Header("connection", "x-second"),
    ]
    request = http.HttpRequest("GET", "/orders/work", headers, b"")
    cleaned = keys.sanitize_request(request, "/work")
    assert [header.name for header in cleaned.headers] == ["x-third"]
    returned = keys.sanitize_response_headers(headers)
    assert [header.name for header in returned] == ["x-third"]


def test_dump_shows_no_key_and_no_hash():
    world = setups.start_fleet()
    _call_all(world)
    tables = world.nodes[NODES[0]].tables
    key_object = tables.configuration.state.find(models.Kind.KEY, "board-key")
    text = dumps.render(tables)
    assert KEY not in text
    assert key_object.sha256 not in text
