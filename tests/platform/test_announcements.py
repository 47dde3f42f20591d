"""Announcements of backend servers, well-formed and malformed."""

import json

import pytest

from fescueyard.core import exceptions
from fescueyard.core import http
from fescueyard.platform import announcements

HEARTBEAT = {
    "Address": "10.1.0.9:8080",
    "Info": {"Service": "orders", "Version": "v1", "Zone": "a", "Slots": 72},
    "Status": {"State": "ready", "Sequence": 4, "ColdLeftMs": 0},
    "born": 1_700_000_000_000,
}


def _with_change(path, value):
    heartbeat = json.loads(json.dumps(HEARTBEAT))
    parent = heartbeat
    for name in path[:-1]:
        parent = parent[name]
    if value is None:
        del parent[path[-1]]
    else:
        parent[path[-1]] = value
    return json.dumps(heartbeat).encode()


class RecordingProcess:
    """A process that records the announcements and departures it receives."""

    def __init__(self):
        self.reported = []

    def apply_announcement(self, announcement, now_ms):
        """Record an announcement."""
        self.reported.append(announcement)

    def backend_left(self, instance, now_ms):
        """Record the departure of a backend server."""
        self.reported.append(instance)


def _send(method, target, body=b""):
    process = RecordingProcess()
    request = http.HttpRequest(method, target, [], body)
    response = announcements.handle_request(process, request, 1.0)
    return response.status, process.reported


def test_fields_are_parsed():
    status, reported = _send(
        "PUT", "/v1/instances/i-1", json.dumps(HEARTBEAT).encode()
    )
    assert status == 200
    assert reported[0].instance == "i-1"
    assert reported[0].service == "orders"
    assert reported[0].slots == 72
    assert reported[0].sequence == 4
    assert reported[0].born_ms == 1_700_000_000_000
    assert not reported[0].leaving


def test_draining_is_leaving():
    body = _with_change(("Status", "State"), "draining")
    assert _send("PUT", "/v1/instances/i-1", body)[1][0].leaving


def test_delete_is_leaving():
    assert _send("DELETE", "/v1/instances/i-1") == (200, ["i-1"])


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"\xff\xfe",
        b"[]",
        b"{",
        _with_change(("Info",), None),
        _with_change(("Info", "Service"), None),
        _with_change(("Info", "Service"), ""),
        _with_change(("Info", "Slots"), "72"),
        _with_change(("Info", "Slots"), 0),
        _with_change(("Status", "State"), "asleep"),
        _with_change(("Status", "Sequence"), None),
        _with_change(("Status", "Sequence"), [1]),
        _with_change(("Address",), "nowhere"),
        _with_change(("Address",), 7),
        _with_change(("Address",), "10.128.0.9:99999"),
        _with_change(("Address",), "10.128.0.9:\u00b2"),
        _with_change(("Status", "ColdLeftMs"), float("inf")),
        _with_change(("born",), "yesterday"),
        _with_change(("born",), 10**30),
        _with_change(("born",), -(10**30)),
        _with_change(("born",), 10**13),
        _with_change(("Status", "Sequence"), 10**30),
        _with_change(("Status", "Sequence"), -1),
        _with_change(("Status", "ColdLeftMs"), 1e308),
        _with_change(("Status", "ColdLeftMs"), -1e308),
        _with_change(("Info", "Slots"), 10**30),
        _with_change(("Info", "Slots"), 10**15),
        _with_change(("Info", "Service"), "orders\0"),
        _with_change(("Info", "Service"), "orders\n"),
        _with_change(("Info", "Service"), "o" * 256),
        _with_change(("Info", "Service"), "\ud800"),
        _with_change(("Info", "Extra"), 0).replace(
            b'"Extra": 0', b'"Extra": ' + b"[" * 100_000 + b"]" * 100_000
        ),
        _with_change(("born",), 0).replace(b'"born": 0', b'"born": 1e999'),
        _with_change(("born",), 0).replace(
            b'"born": 0', b'"born": ' + b"9" * 5_000
        ),
    ],
    ids=lambda body: f"{len(body)} bytes",
)
def test_malformed_announcement_is_refused(body):
    status, reported = _send("PUT", "/v1/instances/i-1", body)
    assert (status, reported) == (400, [])
    with pytest.raises(exceptions.RequestError):
        announcements.parse("i-1", body)


@pytest.mark.parametrize(
    ("method", "target", "status"),
    [
        ("PUT", "/v1/other", 404),
        ("GET", "/v1/instances/i-1", 405),
        ("POST", "/v1/instances/i-1", 405),
    ],
)
def test_other_requests_are_refused(method, target, status):
    assert _send(method, target)[0] == status


# An id that breaks out of its header would smuggle another request.
@pytest.mark.parametrize(
    "instance", ["", "%0d%0aX-Tenant:%20a", "%00", "%e2%82%ac", "i" * 256]
)
def test_malformed_instance_id_is_refused(instance):
    body = json.dumps(HEARTBEAT).encode()
    assert _send("PUT", f"/v1/instances/{instance}", body) == (400, [])


def test_server_that_is_past_its_slow_start_is_warm():
    body = _with_change(("Status", "ColdLeftMs"), -250)
    assert _send("PUT", "/v1/instances/i-1", body)[1][0].cold_ms == 0
