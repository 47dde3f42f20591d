"""A cold backend server gets few requests, whatever restarts or arrives late.

The schedules are random: restarts of servers and of their nodes, frozen nodes,
cut zones, late heartbeats. Faults planted in the limit have to be found.
"""

import functools
import random

import pytest

from fescueyard.admission import cold_limit
from fescueyard.core import headers
from fescueyard.core import http
from fescueyard.core import notices
from tests import setups

KEY = setups.KEYS["board"]
COLD_MS = 3_000.0
COLD_PER_S = 3.6
ALLOWED = 1.5 * COLD_PER_S + 8
CALLS_PER_S = 250
DURATION_MS = 14_000
NAMES = headers.HeaderNames()


def _start_fleet(seed, **service):
    world = setups.start_routed_fleet(
        seed=seed, service_ms=40.0, routes=[("work", {})]
    )
    fields = {
        "profile": "standard",
        "health_path": "/healthz",
        "cold_start_ms": COLD_MS,
        "cold_rate_per_s": COLD_PER_S,
    }
    setups.put_object(world, "service", "orders", **(fields | service))
    for node in world.nodes.values():
        node.backend.cold_start_ms = COLD_MS
        node.backend.announcement_delay_ms = 4_000.0
    world.add_node("caller", "zone-b", routed=True)
    world.run(6_000)
    return world


def _load(world, duration_ms, calls_per_s=CALLS_PER_S):
    calls = []

    def call(number):
        names = list(world.nodes)
        name = names[number % len(names)]
        calls.append(
            world.call(name, f"/work/{number}", KEY, host="fleet.example")
        )

    for number in range(int(duration_ms * calls_per_s / 1000)):
        world.call_later(
            number * 1000 / calls_per_s, lambda number=number: call(number)
        )
    return calls


def _restart_node(world, name, down_ms, started):
    """Restart a node beside its server, which closes what it had accepted."""
    if name not in world.nodes:
        return
    node = world.nodes[name]
    backend, zone = node.backend, world.zone_of(name)
    world.kill(name)
    backend.running = 0
    backend.waiting.clear()

    def start():
        world.add_node(
            name, zone, "orders", backend.slots, backend.service_ms, True
        ).backend = backend

    world.call_later(down_ms, start)


def _restart_server(world, name, down_ms, started):
    if name not in world.nodes:
        world.call_later(
            50, lambda: _restart_server(world, name, down_ms, started)
        )
        return
    if not world.nodes[name].backend.up:
        return
    world.stop_backend(name)

    def start():
        if name not in world.nodes:
            world.call_later(100, start)
            return
        if world.nodes[name].backend.up:
            return
        world.start_backend(name)
        started.append((name, world.now_ms))

    world.call_later(down_ms, start)


def _freeze(world, name, down_ms, started):
    if name not in world.nodes:
        return
    node = world.nodes[name]
    world.freeze(name)
    world.call_later(
        2 * down_ms,
        lambda: world.nodes.get(name) is node and world.thaw(name),
    )


def _plan(world, seed, started):
    """Schedule random faults; some hit all servers, or a node and its server.

    :param started: list that gets the servers started and when.
    """
    draws = random.Random(seed)
    names = [name for name in world.nodes if name != "caller"]
    for _ in range(draws.randint(4, 7)):
        at_ms = draws.uniform(500, DURATION_MS - 5_000)
        name = draws.choice(names)
        kind = draws.choice(["server", "all", "both", "both", "freeze"])
        down_ms = draws.uniform(150, 1_000)
        actions = []
        if kind == "all":
            actions += [(_restart_server, other) for other in names]
        if kind in ("server", "both"):
            actions.append((_restart_server, name))
        if kind == "both":
            actions.append((_restart_node, name))
        if kind == "freeze":
            actions.append((_freeze, name))
            actions.append((_restart_server, name))
        for restart, restarted in actions:
            world.call_later(
                at_ms + draws.uniform(0, 300 * (kind != "freeze")),
                functools.partial(restart, world, restarted, down_ms, started),
            )
    if draws.random() < 0.5:
        world.call_later(
            draws.uniform(500, 6_000), lambda: world.isolate_zone("zone-a")
        )
        world.call_later(8_000, world.heal)


def _most_while_cold(world, started):
    """Return the most requests that a cold server got in one second."""
    most = 0
    for name, at_ms in started:
        arrivals = [
            run.received_at_ms
            for run in world.runs
            if run.node_name == name
            and at_ms <= run.received_at_ms < at_ms + COLD_MS
        ]
        for first_ms in arrivals:
            count = sum(first_ms <= at < first_ms + 1_000 for at in arrivals)
            most = max(most, count)
    return most


def _play(seed):
    world = _start_fleet(seed)
    started = []
    _plan(world, seed, started)
    _load(world, DURATION_MS)
    world.run(DURATION_MS)
    return _most_while_cold(world, started)


@pytest.mark.parametrize("seed", range(12))
def test_no_cold_server_gets_more_than_the_bound(seed):
    assert _play(seed) <= ALLOWED


def _forget_at_restart(monkeypatch):
    """A node that was restarted takes its server for warm."""
    tick = cold_limit.tick

    def forgetful_tick(limit, now_ms):
        if limit.ticked_at_ms is None:
            limit.until_ms = limit.ticked_at_ms = now_ms
        tick(limit, now_ms)

    monkeypatch.setattr(cold_limit, "tick", forgetful_tick)


def _miss_breaks(monkeypatch):
    """Only heartbeats tell that the server is cold."""
    monkeypatch.setattr(cold_limit, "record_break", lambda *arguments: None)


def _trust_late_heartbeats(monkeypatch):
    """Heartbeats of the process before count after a broken connection."""
    monkeypatch.setattr(cold_limit, "HEARTBEAT_DELAY_MAX_MS", -1.0)


@pytest.mark.parametrize("plant", [_miss_breaks, _trust_late_heartbeats])
def test_planted_fault_is_found(plant, monkeypatch):
    plant(monkeypatch)
    assert any(_play(seed) > ALLOWED for seed in range(12))


@pytest.mark.parametrize("announces", [True, False])
def test_server_that_is_cold_again_without_a_restart(announces):
    """A health response tells it when its heartbeats no longer arrive."""
    world = _start_fleet(1)
    _load(world, 6_000)
    world.run(1_000)
    backend = world.nodes["orders-zone-a"].backend
    backend.announcement_delay_ms = 0.0
    backend.announces = announces
    backend.cold_until_ms = world.now_ms + 5_000
    told_ms = 1_000 if announces else cold_limit.HEARTBEAT_OVERDUE_MS
    cold_at_ms = world.now_ms
    world.run(told_ms + (100 if announces else 1_100))
    since_ms = world.now_ms
    world.run(1_300)
    before_ms = cold_at_ms - 1_000
    assert _most_while_cold(world, [("orders-zone-a", before_ms)]) > ALLOWED
    assert _most_while_cold(world, [("orders-zone-a", since_ms)]) <= ALLOWED


@pytest.mark.parametrize(
    "text", ["", "-1", "nan", "1e9", "inf", "\u00b2", "3s", "99999999999"]
)
def test_unreadable_cold_time_changes_nothing(text):
    header = http.Header(NAMES.cold_ms, text)
    cold_ms = notices.parse_cold_ms([header], NAMES)
    limit = cold_limit.ColdLimit(until_ms=5_000.0)
    assert not cold_limit.record_health_response(limit, cold_ms, 0, 1_000.0)
    assert limit.until_ms == 5_000.0


def test_health_response_to_a_request_before_a_break_does_not_count():
    """The process that responded may have ended since."""
    limit = cold_limit.ColdLimit()
    cold_limit.record_break(limit, "connection_closed", 1_000.0)
    assert not cold_limit.record_health_response(limit, 0.0, 0, 1_001.0)
    assert cold_limit.is_cold(limit, 1_002.0)
    assert cold_limit.record_health_response(limit, 0.0, 1, 1_003.0)
    assert not cold_limit.is_cold(limit, 1_004.0)


def test_first_heartbeat_after_a_restart_of_the_node_may_be_late():
    limit = cold_limit.ColdLimit()
    cold_limit.tick(limit, 10_000.0)
    cold_limit.record_heartbeat(limit, 0.0, True, 10_050.0)
    assert cold_limit.is_cold(limit, 10_051.0)


def test_server_without_a_health_path_is_warm_some_time_after_a_response():
    limit = cold_limit.ColdLimit()
    cold_limit.record_break(limit, "connect_failed", 1_000.0)
    cold_limit.record_response(limit, 900.0, COLD_MS, 1_100.0)
    assert cold_limit.is_cold(limit, 60_000.0)
    cold_limit.record_response(limit, 60_000.0, COLD_MS, 60_010.0)
    assert cold_limit.is_cold(limit, 63_000.0)
    assert not cold_limit.is_cold(limit, 63_010.0)


def test_service_without_a_cold_rate_is_not_limited():
    world = _start_fleet(1, cold_rate_per_s=0.0)
    calls = _load(world, 2_000)
    for name in ("orders-zone-a", "orders-zone-b", "orders-zone-c"):
        world.stop_backend(name)
        world.start_backend(name)
    world.run(3_000)
    assert all(call.response.status == 200 for call in calls)


def test_older_connection_that_still_responds_ends_the_doubt():
    """Guards against a server at full load that is limited as if cold.

    It spoiled some responses; each of them counted as a possible restart.
    """
    limit = cold_limit.ColdLimit(until_ms=0.0, ticked_at_ms=950.0)
    cold_limit.record_break(limit, "short_answer", 1_000.0)
    assert cold_limit.is_cold(limit, 1_000.0)
    assert cold_limit.record_connection(limit, 400.0)
    assert not cold_limit.is_cold(limit, 1_001.0)


def test_connection_to_a_later_process_ends_no_doubt():
    """Guards against a cold server that is taken for its predecessor.

    A second connection of the predecessor may be found closed when one to the
    later process is open already.
    """
    limit = cold_limit.ColdLimit(until_ms=0.0, ticked_at_ms=950.0)
    cold_limit.record_break(limit, "connection_closed", 1_000.0)
    limit.ticked_at_ms = 1_550.0
    cold_limit.record_break(limit, "connection_closed", 1_600.0)
    assert not cold_limit.record_connection(limit, 1_500.0)
    assert cold_limit.is_cold(limit, 1_700.0)


def test_connection_opened_during_a_stall_ends_no_doubt():
    """Guards against a restart that a suspended node did not see."""
    limit = cold_limit.ColdLimit(until_ms=0.0, ticked_at_ms=1_000.0)
    cold_limit.check_stall(limit, 3_000.0)
    assert not cold_limit.record_connection(limit, 2_999.0)
    assert cold_limit.record_connection(limit, 900.0)
