"""Arguments and time limits of the operators' commands."""

import time

import fire
import pytest

from fescueyard.conf import settings
from fescueyard.management import client
from fescueyard.management.commands import ctl

TIMEOUT_MS = 500


class Client:
    """Records the paths and bodies that a command sends."""

    def __init__(self, flags):
        self.flags = flags
        self.sent = []

    def read(self, path):
        """Record a read."""
        self.sent.append(path)
        return {"version": 3}

    def change(self, method, path, document, expected_version, change_id=""):
        """Record a change."""
        self.sent.append((method, path, document, expected_version, change_id))
        return {}


def _run(monkeypatch, *arguments):
    clients = []

    def make_client(flags):
        clients.append(Client(flags))
        return clients[-1]

    monkeypatch.setattr(ctl, "_admin_client", make_client)
    fire.Fire(ctl.Ctl, command=list(arguments))
    return clients[-1].sent


@pytest.mark.parametrize("name", ["007", "1e5", "0x10", "1_000", "None"])
def test_name_that_looks_like_a_value(monkeypatch, name):
    sent = _run(monkeypatch, "withdraw_key", name)
    assert sent[-1][:2] == ("DELETE", f"/v1/objects/key/{name}")
    assert _run(monkeypatch, "get", "key", name) == [f"/v1/objects/key/{name}"]


def test_document_is_sent_as_written(monkeypatch):
    document = '{"profile": "standard", "open_routes": ["/work"]}'
    sent = _run(
        monkeypatch, "put", "service", "orders", document, "--change_id=12"
    )
    method, path, body, version, change_id = sent[-1]
    assert (method, path) == ("PUT", "/v1/objects/service/orders")
    assert body == document.encode()
    assert (version, change_id) == (3, "12")


def test_evacuations_are_sent_with_the_zone_encoded(monkeypatch):
    """A name with a slash must not become another resource."""
    sent = _run(monkeypatch, "evacuate", "zone/1")
    assert sent[-1][:2] == ("PUT", "/v1/evacuations/zone%2F1")
    sent = _run(monkeypatch, "end_evacuation", "007")
    assert sent[-1][:2] == ("DELETE", "/v1/evacuations/007")
    assert _run(monkeypatch, "evacuations") == ["/v1/evacuations"]


def test_time_limit_holds_over_all_addresses(monkeypatch):
    timeouts_ms = []

    def fetch(method, url, headers, body, timeout_ms):
        timeouts_ms.append(timeout_ms)
        time.sleep(timeout_ms / 1000)
        raise client.Unreachable(url)

    monkeypatch.setattr(client, "fetch", fetch)
    values = settings.OperatorSettings(
        admin_addresses=["127.0.0.1:1", "127.0.0.1:2"],
        operator_token="t" * 40,
        timeout_ms=TIMEOUT_MS,
    )
    started_s = time.monotonic()
    with pytest.raises(client.Unreachable):
        client.AdminClient(values).read("/v1/status")
    assert (time.monotonic() - started_s) * 1000 < 2 * TIMEOUT_MS
    assert max(timeouts_ms) <= TIMEOUT_MS
