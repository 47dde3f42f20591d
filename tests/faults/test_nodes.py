"""Nodes as processes: kills, freezes, planned stops, open connections."""

import http.client
import json
import signal
import threading
import time

import pytest

from fescueyard.management import client

WITHDRAWN_WITHIN_S = 5.0


@pytest.fixture(scope="module")
def running(small_fleet):
    """Give a fleet whose claim groups have spread over its nodes.

    Tests start again what they end.
    """
    _await_claims(small_fleet)
    return small_fleet


def _await_claims(fleet):
    end_s = time.monotonic() + 30
    while time.monotonic() < end_s:
        groups = fleet.api().read("/v1/objects/claim_group")["objects"]
        sizes = {len(row["document"]["replicas"]) for row in groups}
        if groups and sizes == {3}:
            time.sleep(1.5)
            return
        time.sleep(0.2)
    raise AssertionError("claim groups did not spread")


def _order(fleet, node, number, ms=1):
    return fleet.call(
        node,
        f"/orders/work?ms={ms}&id={number}",
        fleet.keys["board"],
        "POST",
        b"fleece",
        idempotency_key=f"order-{number}",
    )


def _runs(fleet, number):
    return [
        run for run in fleet.runs() if run["target"].endswith(f"&id={number}")
    ]


def test_resent_order_is_replayed(running):
    first = _order(running, running.nodes[0], 1)
    again = _order(running, running.nodes[1], 1)
    assert first.status == again.status == 200
    assert len(_runs(running, 1)) == 1


def test_planned_stop_under_load_cuts_nothing(running):
    node = running.nodes[2]
    answers = []
    stop = threading.Event()

    def load(number):
        while not stop.is_set():
            try:
                answers.append(
                    running.call(
                        running.nodes[number % 2],
                        "/orders/work?ms=40",
                        running.keys["board"],
                    )
                )
            except client.Unreachable as error:
                answers.append(error)

    threads = [
        threading.Thread(target=load, args=(number,)) for number in range(6)
    ]
    slow = []

    def call_slow():
        slow.append(
            running.call(node, "/orders/work?ms=800", running.keys["board"])
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
    assert [row.status for row in slow] == [200]
    assert {getattr(row, "status", row) for row in answers} == {200}
    running.start_node(node)
    running.await_ready("orders", running.keys["board"])
    _await_claims(running)


def test_order_of_a_killed_node_does_not_run_again(running):
    node = running.nodes[0]
    thread = threading.Thread(
        target=lambda: _ignore(_order, running, node, 7, 1500)
    )
    thread.start()
    time.sleep(0.5)
    node.process.kill()
    node.process.wait()
    thread.join()
    statuses = set()
    for _ in range(8):
        statuses.add(_order(running, running.nodes[1], 7, 1500).status)
        time.sleep(0.5)
    assert statuses <= {409, 503}
    assert len(_runs(running, 7)) == 1
    running.start_node(node)
    running.await_ready("orders", running.keys["board"])
    _await_claims(running)


def _ignore(function, *arguments):
    try:
        function(*arguments)
    except client.Unreachable:
        pass


def test_withdrawn_key_stops_on_an_open_connection(running):
    key = running.keys["limewash"]
    host, _, port = running.nodes[1].caller_address.rpartition(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=5)
    headers = {"Authorization": f"Bearer {key}"}

    def status():
        connection.request("GET", "/orders/work", headers=headers)
        answer = connection.getresponse()
        answer.read()
        return answer.status

    assert status() == 200
    running.retire("key", "limewash-key")
    withdrawn_s = time.monotonic()
    while status() == 200:
        assert time.monotonic() - withdrawn_s < WITHDRAWN_WITHIN_S
        time.sleep(0.02)
    assert status() == 401
    connection.close()


def test_frozen_control_stops_keys_and_not_open_routes(running):
    control = running.controls[0]
    version = running.api().read("/v1/objects/service/orders")["version"]
    document = {"profile": "standard", "open_routes": ["/work"]}
    running.put("service", "orders", document, version)
    time.sleep(1.5)
    control.process.send_signal(signal.SIGSTOP)
    time.sleep(WITHDRAWN_WITHIN_S)
    node = running.nodes[1]
    closed = running.call(node, "/orders/echo", running.keys["board"])
    opened = running.call(node, "/orders/work")
    control.process.send_signal(signal.SIGCONT)
    assert (closed.status, json.loads(closed.body)["code"]) == (503, 2201)
    assert opened.status == 200
    end_s = time.monotonic() + 5
    while (
        running.call(node, "/orders/echo", running.keys["board"]).status != 200
    ):
        assert time.monotonic() < end_s, "does not come back"
        time.sleep(0.05)


def test_poison_takes_down_no_more_than_the_set_number(running):
    crashed = 0
    for number in range(10):
        node = running.nodes[number % 3]
        answer = running.call(node, "/orders/crash", running.keys["board"])
        for other in running.nodes:
            if other.backend.poll() is not None:
                crashed += 1
                running.start_backend(other)
        time.sleep(0.1)
    assert crashed <= 2
    assert json.loads(answer.body)["code"] == 2104


def test_dump_on_signal_and_on_request(running):
    node = running.nodes[1]
    node.process.send_signal(signal.SIGUSR1)
    url = f"http://{node.backend_address}/-/dump"
    answer = client.fetch("GET", url, [], b"", 5_000)
    told = json.loads(answer.body)
    assert told["tables"]["members"]["own"]["zone"] == node.zone
    assert running.keys["board"] not in answer.body.decode()
    log = (running.folder / f"{node.name}.log").read_text()
    end_s = time.monotonic() + 5
    while "Dump." not in log and time.monotonic() < end_s:
        time.sleep(0.05)
        log = (running.folder / f"{node.name}.log").read_text()
    assert "Dump." in log
    assert running.keys["board"] not in log
