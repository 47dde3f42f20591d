"""Routes: longest prefix match and weighted traffic splits."""

import collections
import json

import pytest

from fescueyard.configuration import messages
from fescueyard.configuration import state as states
from fescueyard.core import codes
from fescueyard.routing import routes
from tests import setups

KEY = setups.KEYS["board"]


def _configuration_state(*route_specs):
    state = states.ConfigurationState("c")
    for version, (name, prefix, parts) in enumerate(route_specs, 1):
        document = {
            "host": "Fleet.example",
            "path_prefix": prefix,
            "parts": [
                {"service": service, "weight": weight}
                for service, weight in parts
            ],
            "idempotent": True,
            "timeout_ms": 1000.0,
            "objective_ms": 500.0,
        }
        state.put(
            messages.ObjectVersion(
                "route", name, version, json.dumps(document).encode()
            )
        )
    return state


def test_longest_prefix_wins():
    state = _configuration_state(
        ("short", "/a/", [("one", 1.0)]), ("long", "/a/b/", [("two", 1.0)])
    )
    table = routes.RouteTable()
    matches = {
        path: routes.match(table, state, "fleet.EXAMPLE", path)
        for path in ("/a/x", "/a/b/x", "/a/b", "/c/", "/a")
    }
    names = {
        path: route_state and route_state.name
        for path, route_state in matches.items()
    }
    assert names == {
        "/a/x": "short",
        "/a/b/x": "long",
        "/a/b": "short",
        "/c/": None,
        "/a": None,
    }
    assert routes.match(table, state, "other.example", "/a/x") is None


@pytest.mark.parametrize("weights", [(90, 10), (1, 1, 1), (0, 5), (7, 2, 1)])
def test_traffic_split_holds_over_any_short_span(weights):
    parts = [(f"s{n}", float(weight)) for n, weight in enumerate(weights)]
    state = _configuration_state(("r", "/a/", parts))
    route_state = routes.match(
        routes.RouteTable(), state, "fleet.example", "/a/"
    )
    chosen = [routes.choose_service(route_state) for _ in range(1_000)]
    for start in range(0, 900, 100):
        counts = collections.Counter(chosen[start : start + 100])
        for service, weight in parts:
            expected = 100 * weight / sum(weights)
            assert abs(counts[service] - expected) <= 2


def test_zero_total_weight_chooses_no_service():
    state = _configuration_state(("r", "/a/", [("one", 0.0)]))
    route_state = routes.match(
        routes.RouteTable(), state, "fleet.example", "/a/"
    )
    assert routes.choose_service(route_state) is None


def _call(world, path, key=KEY, node="orders-zone-b", **headers):
    return world.call(node, path, key, host="fleet.example", **headers)


def test_request_is_served_by_its_route():
    world = setups.start_routed_fleet(routes=[("a", {})])
    call = _call(world, "/a/x?body=fleece", x_request_id="id-1")
    world.run(500)
    assert call.response.status == 200
    assert call.response.body == b"fleece"
    headers = {
        header.name: header.value for header in world.runs[0].request.headers
    }
    assert headers["fescueyard-customer"] == "board"
    assert headers["fescueyard-caller"] == "orders"
    assert headers["x-request-id"] == "id-1"
    assert "authorization" not in headers
    assert 0 < int(headers["fescueyard-deadline-ms"]) <= 1_000


def test_reserved_and_connection_headers_of_a_caller_are_dropped():
    world = setups.start_routed_fleet(routes=[("a", {"public": True})])
    _call(
        world,
        "/a/x",
        "",
        fescueyard_customer="limewash",
        fescueyard_caller="billing",
        fescueyard_instance="i-1",
        connection="x-private",
        x_private="1",
        x_public="2",
    )
    world.run(500)
    headers = {
        header.name: header.value for header in world.runs[0].request.headers
    }
    assert "fescueyard-customer" not in headers
    assert headers["fescueyard-caller"] == "orders"
    assert "fescueyard-instance" not in headers
    assert "x-private" not in headers
    assert headers["x-public"] == "2"


@pytest.mark.parametrize(
    ("path", "key", "code"),
    [
        ("/none/", KEY, codes.UNKNOWN_ROUTE),
        ("/a/", "", codes.KEY_MISSING),
        ("/a/", "unknown", codes.KEY_REFUSED),
    ],
)
def test_unknown_route_or_invalid_key_is_rejected(path, key, code):
    world = setups.start_routed_fleet(routes=[("a", {})])
    call = _call(world, path, key)
    world.run(500)
    assert call.code == code.number


def test_stale_configuration_rejects_nothing_as_unknown():
    world = setups.start_routed_fleet(
        routes=[("a", {})], key_staleness_max_ms=60_000
    )
    world.isolate_zone("zone-b")
    world.run(6_000)
    calls = [_call(world, "/none/"), _call(world, "/a/", "unknown")]
    served_call = _call(world, "/a/")
    world.run(500)
    assert [call.code for call in calls] == [
        codes.STALE_CONFIGURATION.number
    ] * 2
    assert served_call.response.status == 200


def test_route_timeout_ends_the_call():
    world = setups.start_routed_fleet(routes=[("a", {"timeout_ms": 300.0})])
    call = _call(world, "/a/?ms=5000")
    world.run(1_000)
    assert call.code == codes.DEADLINE_EXCEEDED.number
    assert call.ended_at_ms - call.started_at_ms < 500
