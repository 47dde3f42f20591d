"""The trace of a request shows the cause of its outcome, from its id alone.

These are the procedures of docs/OPERATIONS.md.
"""

import os
import re

import pytest

from fescueyard.core import logs
from fescueyard.management.commands import trace
from fescueyard.pressure import models as pressure_models
from tests import setups

KEY = setups.KEYS["board"]


@pytest.fixture(name="story")
def _story(tmp_path):
    """Return a function that renders the trace of a request from the log."""
    path = tmp_path / "fleet.log"
    descriptor = os.open(path, os.O_WRONLY | os.O_CREAT)
    logs.open_sink(descriptor)

    def request_lines(request_id):
        logs.flush()
        output = trace.render(request_id, trace.read(str(path)))
        return [
            re.sub(r"^.*\] ", "", line)
            for line in output.split("\n\n")[0].splitlines()
        ]

    yield request_lines
    logs.close_sink()
    os.close(descriptor)


def _call(world, request_id, path="/a/x", **options):
    return world.call(
        "orders-zone-a",
        path,
        KEY,
        host="fleet.example",
        x_request_id=request_id,
        **options,
    )


def test_trace_shows_refusal_under_load(story):
    world = setups.start_routed_fleet(routes=[("a", {})])
    pressure = world.nodes["orders-zone-a"].tables.pressure
    pressure.by_service["orders"] = pressure_models.ServicePressure(
        1.0, "deep"
    )
    calls = []
    for number in range(10):
        pressure.by_service["orders"].share = 1.0
        pressure.by_service["orders"].reported_at_ms = world.now_ms
        calls.append(_call(world, f"id-{number}"))
        world.run(20)
    refused = [
        number
        for number, call in enumerate(calls)
        if call.response.status == 503
    ]
    lines = story(f"id-{refused[0]}")
    assert [line.split()[0] for line in lines] == [
        "accepted",
        "turned_away",
        "answered",
    ]
    assert "bottleneck='deep'" in lines[1] and "told_ms_ago=" in lines[1]
    assert "code=2106" in lines[2]


def test_trace_shows_crash_of_the_backend_server(story):
    world = setups.start_routed_fleet(
        routes=[("crash", {"idempotent": False}), ("a", {})]
    )
    setups.put_route(world, "r", "orders", path_prefix="/", idempotent=False)
    world.run(1_500)
    _call(world, "id-1", "/crash", method="POST")
    world.run(200)
    lines = story("id-1")
    events = [line.split()[0] for line in lines]
    assert events[:2] == ["accepted", "sent"]
    assert "run_ended" in events and events[-1] == "answered"
    ended = lines[events.index("run_ended")]
    assert "reason='backend_failed'" in ended
    assert "code=2302" in lines[-1]


def test_trace_shows_refusal_for_the_rate_and_for_an_unknown_key(story):
    world = setups.start_routed_fleet(
        routes=[("a", {})], rate_per_s=1.0, burst=2
    )
    for number in range(8):
        _call(world, f"id-{number}")
        world.run(30)
    world.run(2_000)
    answered = [story(f"id-{number}")[-1] for number in range(8)]
    assert any("reason='rate_exceeded'" in line for line in answered)
    world.call(
        "orders-zone-a",
        "/a/x",
        "unknown",
        host="fleet.example",
        x_request_id="key-1",
    )
    world.run(100)
    (line,) = story("key-1")
    assert "reason='key_refused'" in line
    assert "version=" in line and "age_ms=" in line


def test_trace_shows_the_basis_of_a_rate_decision(story):
    world = setups.start_routed_fleet(
        routes=[("a", {})],
        rate_per_s=20.0,
        burst=20,
        key_staleness_max_ms=60_000,
        cut_off_rate_share=1.0,
    )
    _call(world, "id-1")
    world.run(200)
    world.cluster.frozen.add("m0")
    world.run(6_000)
    _call(world, "id-2")
    world.run(1_000)
    granted = [line for line in story("id-1") if "rate_decided" in line]
    assert len(granted) == 1 and "basis='granted'" in granted[0]
    own_part = [line for line in story("id-2") if "rate_decided" in line]
    assert len(own_part) == 1 and "basis='own_part'" in own_part[0]
    assert "fed_ms_ago=" in own_part[0]
