"""Availability zones cut off from each other, with real processes."""

import json
import time

import pytest

from demo import fleet as fleets
from fescueyard.management import client
from tests.faults import network as networks

ZONES = ("zone-a", "zone-b", "zone-c")
STALE_S = 5.0
BACK_S = 6.0


@pytest.fixture(scope="module")
def divided(tmp_path_factory):
    """Give three control members and three nodes behind a network."""
    fleet = fleets.Fleet(tmp_path_factory.mktemp("fleet"))
    fleet.network = networks.Network()
    try:
        for index, zone in enumerate(ZONES):
            control = fleet.add_control(zone, join=index > 0)
            _admit(fleet, index + 1)
            api = client.AdminClient(fleet.settings([control]))
            member_id = api.read("/v1/status")["member_id"]
            fleet.network.member_zones[member_id] = zone
        for zone in ZONES:
            fleet.add_node(zone, "orders")
        fleet.configure("orders")
        version = fleet.api().read("/v1/objects/service/orders")["version"]
        document = {"profile": "standard", "open_routes": ["/work"]}
        fleet.put("service", "orders", document, version)
        fleet.await_ready("orders", fleet.keys["board"])
        yield fleet
    finally:
        fleet.kill()
        fleet.network.stop()


def _admit(fleet, count):
    end_s = time.monotonic() + 20
    while time.monotonic() < end_s:
        told = fleet.api().read("/v1/members")
        for row in told["applicants"]:
            fleet.api().change(
                "PUT", f"/v1/members/{row['member_id']}", b"", 0
            )
        if sum(row["voter"] for row in told["members"]) == count:
            return
        time.sleep(0.1)
    raise AssertionError(f"not {count} voters")


def _call(fleet, node, path="/orders/echo"):
    answer = fleet.call(node, path, fleet.keys["board"])
    if answer.status == 200:
        return 200
    return json.loads(answer.body)["code"]


def _wait(condition, timeout_s, what):
    end_s = time.monotonic() + timeout_s
    while not condition():
        assert time.monotonic() < end_s, what
        time.sleep(0.05)


def test_cut_zone_refuses_keys_serves_open_routes_and_comes_back(divided):
    inside = divided.nodes[2]
    outside = divided.nodes[:2]
    _wait(lambda: _call(divided, inside) == 200, BACK_S, "not ready")
    divided.network.cut("zone-c")
    time.sleep(STALE_S)
    assert _call(divided, inside) == 2201
    assert _call(divided, inside, "/orders/work") == 200
    assert [_call(divided, node) for node in outside] == [200, 200]
    divided.network.heal()
    _wait(lambda: _call(divided, inside) == 200, BACK_S, "does not come back")


def test_change_accepted_by_the_majority_reaches_the_cut_zone_later(divided):
    divided.network.cut("zone-a")
    end_s = time.monotonic() + 10
    version = None
    while version is None and time.monotonic() < end_s:
        try:
            api = client.AdminClient(divided.settings(divided.controls[1:]))
            version = api.change(
                "PUT", "/v1/objects/firm/during", b'{"share":7}', 0, "cut-1"
            )["version"]
        except client.Refused as error:
            assert error.code.retryable, error
    assert version is not None
    minority = client.AdminClient(
        divided.settings(divided.controls[:1], timeout_ms=1_000)
    )
    with pytest.raises((client.Refused, client.Unreachable)):
        minority.read("/v1/objects/firm/during")
    divided.network.heal()

    def caught_up():
        try:
            found = minority.read("/v1/objects/firm/during")
        except (client.Refused, client.Unreachable):
            return False
        return found["document"] == {"share": 7}

    _wait(caught_up, BACK_S, "the cut member does not catch up")
    # The resend finds the first answer at any member.
    again = minority.change(
        "PUT", "/v1/objects/firm/during", b'{"share":7}', 0, "cut-1"
    )
    assert again["version"] == version


def test_key_withdrawn_during_a_cut_never_works_again_inside(divided):
    inside = divided.nodes[1]
    _wait(lambda: _call(divided, inside) == 200, BACK_S, "not ready")
    divided.network.cut("zone-b")
    api = client.AdminClient(
        divided.settings([divided.controls[0], divided.controls[2]])
    )
    path = "/v1/objects/key/board-key"

    def withdrawn():
        try:
            known = api.read(path)["version"]
            api.change("DELETE", path, b"", known, "cut-2")
        except client.Refused as error:
            return error.code.http_status == 404
        return True

    _wait(withdrawn, 10, "not withdrawn")
    withdrawn_s = time.monotonic()
    while time.monotonic() - withdrawn_s < STALE_S:
        code = _call(divided, inside)
        time.sleep(0.05)
    assert code == 2201
    divided.network.heal()
    _wait(lambda: _call(divided, inside) == 2006, BACK_S, "still not refused")
