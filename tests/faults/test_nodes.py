"""Node processes under kills, freezes, planned stops and open connections."""

import http.client
import json
import signal
import threading
import time

import pytest

from fescueyard.idempotency import models as claim_models
from fescueyard.management import client
from tests.faults import conftest

# Every node refuses a withdrawn key within this time. It is more than the
# default key_staleness_max_ms, after which a node that gets no configuration
# refuses all keys.
WITHDRAWN_WITHIN_S = 5.0


@pytest.fixture(scope="module")
def fleet_with_claims(small_fleet):
    """Return a fleet whose claim groups have all their replicas.

    Each test restarts the processes that it ends.
    """
    _await_claim_replication(small_fleet)
    return small_fleet


def _await_claim_replication(fleet):
    """Wait until every node serves all claim groups at the same epochs."""
    deadline_s = time.monotonic() + 30
    while time.monotonic() < deadline_s:
        epochs = [_served_epochs(node) for node in fleet.nodes]
        if len(epochs[0]) == claim_models.CLAIM_GROUP_COUNT and all(
            each == epochs[0] for each in epochs
        ):
            return
        time.sleep(0.2)
    raise AssertionError("claim groups did not get three replicas")


def _served_epochs(node):
    url = f"http://{node.backend_address}/-/dump"
    response = client.fetch("GET", url, [], b"", 5_000)
    groups = json.loads(response.body)["tables"]["claims"]["groups"]
    return {
        number: group["epoch"]
        for number, group in groups.items()
        if group["synced"] and len(group["replicas"]) == len(conftest.ZONES)
    }


def _await_run_of_order(fleet, number):
    deadline_s = time.monotonic() + 10
    while not _runs_of_order(fleet, number):
        assert time.monotonic() < deadline_s, "the order did not run"
        time.sleep(0.02)


def _send_order(fleet, node, number, ms=1):
    return fleet.call(
        node,
        f"/orders/work?ms={ms}&id={number}",
        fleet.keys["board"],
        "POST",
        b"fleece",
        idempotency_key=f"order-{number}",
    )


def _runs_of_order(fleet, number):
    return [
        run for run in fleet.runs() if run["target"].endswith(f"&id={number}")
    ]


def test_resent_order_is_replayed(fleet_with_claims):
    first = _send_order(fleet_with_claims, fleet_with_claims.nodes[0], 1)
    resent = _send_order(fleet_with_claims, fleet_with_claims.nodes[1], 1)
    assert first.status == resent.status == 200
    assert len(_runs_of_order(fleet_with_claims, 1)) == 1


def test_planned_stop_under_load_fails_no_call(fleet_with_claims):
    node = fleet_with_claims.nodes[2]
    outcomes = []
    stop = threading.Event()

    def send_load(number):
        while not stop.is_set():
            try:
                outcomes.append(
                    fleet_with_claims.call(
                        fleet_with_claims.nodes[number % 2],
                        "/orders/work?ms=40",
                        fleet_with_claims.keys["board"],
                    )
                )
            except client.Unreachable as error:
                outcomes.append(error)

    threads = [
        threading.Thread(target=send_load, args=(number,))
        for number in range(6)
    ]
    slow_responses = []

    def call_slow():
        slow_responses.append(
            fleet_with_claims.call(
                node, "/orders/work?ms=800", fleet_with_claims.keys["board"]
            )
        )

    threads.append(threading.Thread(target=call_slow))
    for thread in threads:
        thread.start()
    time.sleep(0.4)
    node.process.terminate()
    assert node.process.wait(15) == 0
    stop.set()
    for thread in threads:
        thread.join()
    assert [response.status for response in slow_responses] == [200]
    assert {getattr(outcome, "status", outcome) for outcome in outcomes} == {
        200
    }
    fleet_with_claims.start_node(node)
    fleet_with_claims.await_ready("orders", fleet_with_claims.keys["board"])
    _await_claim_replication(fleet_with_claims)


def test_order_of_a_killed_node_does_not_run_again(fleet_with_claims):
    node = fleet_with_claims.nodes[0]
    thread = threading.Thread(
        target=lambda: _ignore_unreachable(
            _send_order, fleet_with_claims, node, 7, 1500
        )
    )
    thread.start()
    _await_run_of_order(fleet_with_claims, 7)
    node.process.kill()
    node.process.wait()
    thread.join()
    statuses = set()
    for _ in range(8):
        statuses.add(
            _send_order(
                fleet_with_claims, fleet_with_claims.nodes[1], 7, 1500
            ).status
        )
        time.sleep(0.5)
    assert statuses <= {409, 503}
    assert len(_runs_of_order(fleet_with_claims, 7)) == 1
    fleet_with_claims.start_node(node)
    fleet_with_claims.await_ready("orders", fleet_with_claims.keys["board"])
    _await_claim_replication(fleet_with_claims)


def _ignore_unreachable(function, *arguments):
    try:
        function(*arguments)
    except client.Unreachable:
        pass


def test_withdrawn_key_is_refused_on_an_open_connection(fleet_with_claims):
    key = fleet_with_claims.keys["limewash"]
    host, _, port = fleet_with_claims.nodes[1].caller_address.rpartition(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=5)
    headers = {"Authorization": f"Bearer {key}"}

    def status():
        connection.request("GET", "/orders/work", headers=headers)
        response = connection.getresponse()
        response.read()
        return response.status

    assert status() == 200
    fleet_with_claims.retire("key", "limewash-key")
    withdrawn_s = time.monotonic()
    while status() == 200:
        assert time.monotonic() - withdrawn_s < WITHDRAWN_WITHIN_S
        time.sleep(0.02)
    assert status() == 401
    connection.close()


def test_frozen_control_process_fails_keyed_calls_and_not_open_routes(
    fleet_with_claims,
):
    control = fleet_with_claims.controls[0]
    version = fleet_with_claims.api().read("/v1/objects/service/orders")[
        "version"
    ]
    document = {"profile": "standard", "open_routes": ["/work"]}
    fleet_with_claims.put("service", "orders", document, version)
    time.sleep(1.5)
    control.process.send_signal(signal.SIGSTOP)
    time.sleep(WITHDRAWN_WITHIN_S)
    node = fleet_with_claims.nodes[1]
    keyed = fleet_with_claims.call(
        node, "/orders/echo", fleet_with_claims.keys["board"]
    )
    open_route = fleet_with_claims.call(node, "/orders/work")
    control.process.send_signal(signal.SIGCONT)
    assert (keyed.status, json.loads(keyed.body)["code"]) == (503, 2201)
    assert open_route.status == 200
    deadline_s = time.monotonic() + 5
    while (
        fleet_with_claims.call(
            node, "/orders/echo", fleet_with_claims.keys["board"]
        ).status
        != 200
    ):
        assert time.monotonic() < deadline_s, (
            "calls with a key still fail after the control process resumed"
        )
        time.sleep(0.05)


def test_poison_request_crashes_no_more_than_crash_max_backends(
    fleet_with_claims,
):
    crashed = 0
    for number in range(10):
        node = fleet_with_claims.nodes[number % 3]
        response = fleet_with_claims.call(
            node, "/orders/crash", fleet_with_claims.keys["board"]
        )
        for other in fleet_with_claims.nodes:
            if other.backend.poll() is not None:
                crashed += 1
                fleet_with_claims.start_backend(other)
        time.sleep(0.1)
    assert crashed <= 2
    assert json.loads(response.body)["code"] == 2104


def test_dump_on_signal_and_on_request(fleet_with_claims):
    node = fleet_with_claims.nodes[1]
    node.process.send_signal(signal.SIGUSR1)
    url = f"http://{node.backend_address}/-/dump"
    response = client.fetch("GET", url, [], b"", 5_000)
    dump = json.loads(response.body)
    assert dump["tables"]["members"]["own"]["zone"] == node.zone
    assert fleet_with_claims.keys["board"] not in response.body.decode()
    log = (fleet_with_claims.folder / f"{node.name}.log").read_text()
    deadline_s = time.monotonic() + 5
    while "Dump." not in log and time.monotonic() < deadline_s:
        time.sleep(0.05)
        log = (fleet_with_claims.folder / f"{node.name}.log").read_text()
    assert "Dump." in log
    assert fleet_with_claims.keys["board"] not in log
