"""The explanation of a request agrees with what happens to the next one."""

import copy
import hashlib
import json

import pytest

from fescueyard.core import codes
from fescueyard.core import dumps
from fescueyard.core import http
from fescueyard.management.commands import explain as explain_command
from fescueyard.node import explanation
from tests import setups

KEY = setups.KEYS["board"]
QUESTION = explanation.Question(
    "fleet.example", "/a/1", hashlib.sha256(KEY.encode()).hexdigest()
)


def _start(**options):
    return setups.start_routed_fleet(
        services=("orders",), routes=[("a", {})], per_zone=3, **options
    )


def _tables(world):
    return world.nodes["orders-zone-a"].tables


@pytest.mark.parametrize("cold_rate_per_s", [0.0, 50.0])
def test_next_request_goes_where_the_explanation_says(cold_rate_per_s):
    world = _start()
    setups.put_object(
        world,
        "service",
        "orders",
        profile="standard",
        cold_start_ms=3_000.0,
        cold_rate_per_s=cold_rate_per_s,
    )
    world.run(4_000)
    tables = _tables(world)
    chosen = []
    for _ in range(20):
        explained = explanation.explain(tables, QUESTION, world.now_ms)
        call = world.call("orders-zone-a", "/a/1", KEY, host="fleet.example")
        sent_to = [
            attempt.node_id for attempt in tables.calls.attempts.values()
        ]
        world.run(50)
        assert call.response.status == 200
        assert sent_to == [explained.chosen]
        chosen.append(explained.chosen)
    assert len(set(chosen)) > 1


def test_explanation_changes_no_state():
    world = _start(rate_per_s=5.0)
    tables = _tables(world)
    before = dumps.render(tables)
    draws = copy.copy(tables.random.getstate())
    for _ in range(3):
        explanation.explain(tables, QUESTION, world.now_ms)
    assert dumps.render(tables) == before
    assert tables.random.getstate() == draws


def test_rejection_is_explained_with_its_code():
    world = _start()
    tables = _tables(world)
    no_key = explanation.Question("fleet.example", "/a/1")
    explained = explanation.explain(tables, no_key, world.now_ms)
    assert explained.code == codes.KEY_MISSING.number
    assert explained.route == "a" and not explained.chosen
    unknown = explanation.Question("nowhere.example", "/a/1")
    explained = explanation.explain(tables, unknown, world.now_ms)
    assert explained.code == codes.UNKNOWN_ROUTE.number


def test_servers_that_are_left_out_have_a_reason():
    world = _start()
    tables = _tables(world)
    refusing = "orders-zone-b"
    now_ms = world.now_ms
    node_id = world.nodes[refusing].tables.process_id
    tables.members.targets[node_id].refusing_until_ms = now_ms + 1_000
    explained = explanation.explain(tables, QUESTION, now_ms)
    reasons = {view.node: view.excluded for view in explained.servers}
    assert reasons.pop(node_id) == "refusing"
    assert set(reasons.values()) == {""} and len(reasons) == 8


@pytest.mark.parametrize(
    "query", ["", "host=a", "host=a&path=b", "host=a&path=/&more=1"]
)
def test_malformed_question_is_refused(query):
    world = _start()
    request = http.HttpRequest("GET", f"/explain?{query}", [], b"")
    response = explanation.respond(_tables(world), request, world.now_ms)
    assert response.status == codes.BAD_REQUEST.http_status


def test_command_renders_the_response_of_the_node():
    world = _start()
    target = (
        "/explain?host=fleet.example&path=/a/1&key_sha256="
        + QUESTION.key_sha256
    )
    request = http.HttpRequest("GET", target, [], b"")
    response = explanation.respond(_tables(world), request, world.now_ms)
    explained = json.loads(response.body)
    text = explain_command.render(explained)
    assert f"would go to    {explained['chosen']}" in text
    assert text.count("  zone-b  ") == 3
