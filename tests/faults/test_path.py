"""The complete request path as a caller sees it."""

import json

import pytest


def test_response_body_is_complete(small_fleet):
    response = small_fleet.call(
        small_fleet.nodes[0],
        "/orders/work?body=abc&times=1000",
        small_fleet.keys["board"],
    )
    assert response.status == 200
    assert response.body == b"abc" * 1000


def test_call_chain_passes_through_the_local_node(small_fleet):
    response = small_fleet.call(
        small_fleet.nodes[1],
        "/orders/call/orders/call/orders/work?body=deep",
        small_fleet.keys["board"],
    )
    assert response.status == 200
    assert response.body == b"deep"


def test_backend_server_sees_no_key_in_any_header(small_fleet):
    key = small_fleet.keys["board"]
    response = small_fleet.call(
        small_fleet.nodes[2],
        "/orders/echo",
        key,
        cookie=f"session={key}",
        x_api_key=key,
        fescueyard_customer="limewash",
    )
    received_headers = json.loads(response.body)["headers"]
    assert key not in response.body.decode()
    assert received_headers["fescueyard-customer"] == "board"


@pytest.mark.parametrize(
    ("target", "key", "headers", "status", "code"),
    [
        ("/orders/work", "", {}, 401, 2005),
        ("/orders/work", "fyk_" + "x" * 43, {}, 401, 2006),
        ("/nothing/work", "board", {}, 404, 2003),
        ("/orders/work", "board", {"fescueyard_deadline_ms": "x"}, 400, 2004),
        ("/orders/work", "board", {"fescueyard_priority": "-1"}, 400, 2004),
        ("/orders/work", "board", {"x_long": "x" * 20_000}, 431, 2001),
        ("/orders/drop", "board", {}, 502, 2302),
        ("/orders/short", "board", {}, 502, 2303),
    ],
)
def test_refusal_carries_its_code(
    small_fleet, target, key, headers, status, code
):
    key = small_fleet.keys.get(key, key)
    response = small_fleet.call(small_fleet.nodes[0], target, key, **headers)
    assert response.status == status
    assert json.loads(response.body)["code"] == code
