"""Each listener rejects bad input with its result code and keeps serving."""

import json
import socket

import pytest

from fescueyard.core import http
from fescueyard.management import client


def _exchange_raw(address, data):
    """Send raw bytes and read until the connection closes."""
    host, _, port = address.rpartition(":")
    with socket.create_connection((host, int(port)), 5) as connection:
        connection.sendall(data)
        connection.shutdown(socket.SHUT_WR)
        received = b""
        while chunk := connection.recv(65536):
            received += chunk
    return received


@pytest.mark.parametrize(
    ("data", "status", "code"),
    [
        (b"nonsense\r\n\r\n", 400, 2000),
        (b"GET / HTTP/9.9\r\n\r\n", 400, 2000),
        (b"GET /a HTTP/1.1\r\nX: " + b"y" * 20_000 + b"\r\n\r\n", 431, 2001),
        (b"GET /" + b"y" * 20_000 + b" HTTP/1.1\r\n\r\n", 431, 2001),
        (
            b"POST /orders/x HTTP/1.1\r\nContent-Length: 99999999\r\n\r\n",
            413,
            2002,
        ),
        (
            b"POST /orders/x HTTP/1.1\r\nContent-Length: ten\r\n\r\n",
            400,
            2000,
        ),
        (
            b"POST /orders/x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
            b"zz\r\n",
            400,
            2000,
        ),
        (
            b"GET /orders/x HTTP/1.1\r\nConnection: close\r\n"
            b"Idempotency-Key: " + b"k" * 300 + b"\r\n\r\n",
            401,
            2005,
        ),
    ],
)
def test_bad_request_bytes(small_fleet, data, status, code):
    response = _exchange_raw(small_fleet.nodes[0].caller_address, data)
    assert response.startswith(b"HTTP/1.1 %d " % status), response[:200]
    body = response.partition(b"\r\n\r\n")[2]
    assert json.loads(body)["code"] == code
    _assert_still_serving(small_fleet)


def test_truncated_body_is_not_run(small_fleet):
    before = len(small_fleet.runs())
    _exchange_raw(
        small_fleet.nodes[0].caller_address,
        b"POST /orders/work HTTP/1.1\r\nContent-Length: 10\r\n\r\nfive!",
    )
    assert len(small_fleet.runs()) == before
    _assert_still_serving(small_fleet)


def test_pipelined_requests_are_answered_in_order(small_fleet):
    key = small_fleet.keys["board"].encode()
    data = b""
    for number in range(5):
        data += (
            b"GET /orders/work?ms=%d&body=n%d HTTP/1.1\r\n"
            b"Authorization: Bearer %s\r\n%s\r\n"
            % (
                50 - 10 * number,
                number,
                key,
                b"Connection: close\r\n" if number == 4 else b"",
            )
        )
    host, _, port = small_fleet.nodes[0].caller_address.rpartition(":")
    with socket.create_connection((host, int(port)), 5) as connection:
        connection.sendall(data)
        received = b""
        while chunk := connection.recv(65536):
            received += chunk
    offsets = [received.index(b"\r\n\r\nn%d" % n) for n in range(5)]
    assert offsets == sorted(offsets)


@pytest.mark.parametrize(
    ("body", "field"),
    [
        (b"{", "document"),
        (b"[]", "document"),
        (b'{"service": "orders"}', "address"),
        (
            b'{"service": "orders", "address": "10.0.0.1:1", "slots": 1}',
            "address",
        ),
        (
            b'{"service": "orders", "address": "127.0.0.1:1", "slots": 0}',
            "slots",
        ),
        (
            b'{"service": "O!", "address": "127.0.0.1:1", "slots": 1}',
            "service",
        ),
        (
            b'{"service": "o", "address": "127.0.0.1:1", "slots": 1, "x": 1}',
            "x",
        ),
    ],
)
def test_bad_announcement(small_fleet, body, field):
    url = f"http://{small_fleet.nodes[0].backend_address}/-/announce"
    response = client.fetch("POST", url, [], body, 5_000)
    problem = json.loads(response.body)
    assert (response.status, problem["code"]) == (400, 2000)
    assert field in problem["detail"]
    _assert_still_serving(small_fleet)


def test_callers_do_not_reach_the_backend_listener_paths(small_fleet):
    node = small_fleet.nodes[0]
    response = small_fleet.call(node, "/-/leave", method="POST")
    assert response.status == 404
    _assert_still_serving(small_fleet)


@pytest.mark.parametrize(
    ("method", "path", "headers", "body", "status", "code"),
    [
        ("GET", "/v1/status", {"authorization": "Bearer x"}, b"", 401, 3002),
        ("GET", "/v1/status", {"authorization": ""}, b"", 401, 3002),
        ("GET", "/v1/nothing", {}, b"", 404, 3004),
        ("GET", "/v1/objects/fleece", {}, b"", 400, 3001),
        ("GET", "/v1/objects/profile/none", {}, b"", 404, 3004),
        ("POST", "/v1/objects/profile/p", {}, b"{}", 400, 3001),
        ("PUT", "/v1/objects/profile/P!", {}, b"{}", 400, 3001),
        ("PUT", "/v1/objects/profile/p", {}, b"{", 400, 3001),
        ("PUT", "/v1/objects/profile/p", {}, b'{"colour": 1}', 400, 3001),
        (
            "PUT",
            "/v1/objects/profile/p",
            {},
            b'{"deadline_default_ms": 9000, "deadline_max_ms": 10}',
            400,
            3001,
        ),
        (
            "PUT",
            "/v1/objects/profile/p",
            {"fescueyard-change-id": ""},
            b"{}",
            400,
            3001,
        ),
        (
            "PUT",
            "/v1/objects/profile/p",
            {"fescueyard-expected-version": "one"},
            b"{}",
            400,
            3001,
        ),
        (
            "PUT",
            "/v1/objects/service/s",
            {},
            b'{"profile": "none"}',
            409,
            3009,
        ),
        ("PUT", "/v1/objects/claim_group/1", {}, b"{}", 400, 3001),
        ("DELETE", "/v1/objects/profile/standard", {}, b"", 409, 3003),
    ],
)
def test_bad_administration_request(
    small_fleet, method, path, headers, body, status, code
):
    values = {
        "authorization": f"Bearer {small_fleet.token}",
        "fescueyard-change-id": f"c-{method}{path}{body!r}"[:100],
        "fescueyard-expected-version": "0",
        **headers,
    }
    header_list = [http.Header(name, value) for name, value in values.items()]
    url = f"http://{small_fleet.controls[0].admin_address}{path}"
    response = client.fetch(method, url, header_list, body, 5_000)
    assert (response.status, json.loads(response.body)["code"]) == (
        status,
        code,
    )


def test_object_still_referred_to_is_not_retired(small_fleet):
    with pytest.raises(client.Refused) as error_info:
        small_fleet.retire("profile", "standard")
    assert error_info.value.code.number == 3005


def test_garbage_on_stream_and_datagram_ports(small_fleet):
    node = small_fleet.nodes[0]
    host, _, port = node.address.rpartition(":")
    for data in (b"\x00", b"\xff" * 4096, b"GET / HTTP/1.1\r\n\r\n"):
        assert _exchange_raw(node.address, data) == b""
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
            sender.sendto(data, (host, int(port)))
    _assert_still_serving(small_fleet)


def _assert_still_serving(fleet):
    response = fleet.call(fleet.nodes[0], "/orders/work", fleet.keys["board"])
    assert response.status == 200
