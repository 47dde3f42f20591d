"""Evacuated zones: no request reaches their backend servers."""

import pytest

from fescueyard.core import codes
from fescueyard.core import http
from fescueyard.node import exposition
from fescueyard.node import systems as node_systems
from fescueyard.platform import interface
from fescueyard.routing import evacuation
from tests import setups

ZONES = setups.ZONES
ZONE_A, ZONE_B, ZONE_C = ZONES
KEY = setups.KEYS["board"]
# Time after the acknowledgement within which an evacuation is in force.
IN_FORCE_MS = 5_000
ROUTE = ("a", {"public": True, "timeout_ms": 5_000.0, "attempts_max": 1})


def _start_fleet(seed=1, per_zone=2, **fields):
    return setups.start_routed_fleet(
        seed, per_zone=per_zone, routes=[ROUTE], **fields
    )


def _evacuate(world, zone, evacuated=True):
    operation = world.evacuate(zone, evacuated)
    while operation.returned_at_ms is None:
        world.run(5)
    assert operation.code == codes.CHANGED.number


def _send(world, name, ms=5):
    return world.call(name, f"/a/x?ms={ms}", host="fleet.example")


def _send_from_all(world, duration_ms, interval_ms=10):
    """Send calls through all nodes in turn for a while."""
    calls = []
    for number in range(int(duration_ms / interval_ms)):
        names = sorted(world.nodes)
        calls.append(_send(world, names[number % len(names)]))
        world.run(interval_ms)
    world.run(1_000)
    return calls


def _runs_in(world, zone, since_ms):
    return [
        run
        for run in world.runs
        if world.zone_of(run.node_name) == zone
        and run.received_at_ms >= since_ms
    ]


def _statuses(calls):
    return {call.response and call.response.status for call in calls}


def _nodes_in(world, zone):
    return [
        node
        for name, node in world.nodes.items()
        if world.zone_of(name) == zone
    ]


@pytest.mark.parametrize("seed", range(3))
def test_evacuation_is_in_force_at_all_nodes_in_time(seed):
    """A node that doesn't follow goes on using servers that must not be.

    No caller notices it, wherever its request arrives.
    """
    world = _start_fleet(seed, per_zone=4)
    _evacuate(world, ZONE_A)
    since_ms = world.now_ms + IN_FORCE_MS
    calls = _send_from_all(world, IN_FORCE_MS + 2_000)
    assert _statuses(calls) == {200}
    assert _runs_in(world, ZONE_A, since_ms - IN_FORCE_MS)
    assert not _runs_in(world, ZONE_A, since_ms)
    assert len(_runs_in(world, ZONE_B, since_ms)) > 10


def test_nodes_of_the_zone_stay_ready_and_report_it(monkeypatch):
    """Callers in the zone would lose their way in."""
    events = []
    monkeypatch.setattr(
        evacuation.LOG,
        "info",
        lambda event, **fields: events.append((event, fields["zone"])),
    )
    world = _start_fleet(per_zone=1)
    _evacuate(world, ZONE_A)
    world.run(IN_FORCE_MS)
    assert events == [("zone_evacuated", ZONE_A)] * 3
    for node in world.nodes.values():
        assert node_systems.is_ready(node.tables)
        lines = exposition.samples(node.tables, world.now_ms)
        in_zone = world.zone_of(node.name) == ZONE_A
        assert f"fescueyard_zone_evacuated {int(in_zone)}" in lines
    events.clear()
    _evacuate(world, ZONE_A, False)
    world.run(IN_FORCE_MS)
    assert events == [("zone_in_use", ZONE_A)] * 3


def _fill_queue(world, name, send):
    """Send more to a node's own server than it has slots; return the calls."""
    node = world.nodes[name]
    for node_id, target in node.tables.members.targets.items():
        if node_id != name:
            target.refusing_until_ms = world.now_ms + 100
    calls = [send(number) for number in range(8)]
    world.run(100)
    assert node.tables.runs.queued_count >= 5
    return calls


def _check_queued_ran_elsewhere(world, calls, zone):
    """Check that running requests completed and the others ran elsewhere."""
    running = _runs_in(world, zone, 0)
    _evacuate(world, zone)
    world.run(IN_FORCE_MS)
    assert _runs_in(world, zone, 0) == running
    assert not any(run.cancelled for run in running)
    assert _statuses(calls) == {200}


def test_queued_requests_go_elsewhere_and_running_ones_complete():
    """Requests in the queue would run after the evacuation, or fail.

    The route allows one server for each request and the budget is used up:
    no server saw the queued requests, so neither counts.
    """
    world = _start_fleet(per_zone=1, slots=2)
    name = f"orders-{ZONE_A}"
    calls = _fill_queue(world, name, lambda _: _send(world, name, 1_000))
    budgets = world.nodes[name].tables.retries.service_budgets
    budgets["orders"].retries_left = 0.0
    _check_queued_ran_elsewhere(world, calls, ZONE_A)
    assert budgets["orders"].retries_left == 0.0


def test_queued_requests_of_a_chain_take_no_retry_from_it():
    """With an allowance of none, budgeted retries would all be refused."""
    world = setups.start_fleet(retry_allowance=0, deadline_default_ms=5_000)
    name = f"orders-{ZONE_A}-0"
    node = world.nodes[name]
    node.backend.slots = 2
    world.run(1_500)
    node.tables.runs.limiter.limit = 2.0

    def send(number):
        return world.call(name, f"/orders/work?ms=1000&id={number}", KEY)

    calls = _fill_queue(world, name, send)
    _check_queued_ran_elsewhere(world, calls, ZONE_A)


def test_calls_of_a_server_that_still_runs_leave_the_zone():
    """Calls that backend servers make are routed like those of callers."""
    services = ("front", "back")
    world = setups.start_fleet(services=services, deadline_default_ms=9_000)
    name = f"front-{ZONE_A}-0"
    target = "/front/call/back/work?ms=6000"
    calls = [world.call(name, target, KEY) for _ in range(3)]
    world.run(100)
    assert _runs_in(world, ZONE_A, 0)
    _evacuate(world, ZONE_A)
    since_ms = world.now_ms
    # The first service takes 6 s, the second is called after that.
    for node in world.nodes.values():
        if node.backend.service == "back":
            node.backend.slowdown = 0.001
    world.run(8_000)
    assert _statuses(calls) == {200}
    assert not _runs_in(world, ZONE_A, since_ms)


def test_sender_with_an_old_copy_is_rejected_and_tries_another_zone():
    """The servers of the zone outnumber the attempts of one request."""
    world = _start_fleet(per_zone=6)
    sender = world.nodes[f"orders-{ZONE_A}"]
    sender.tables.pull.pull_due_ms = float("inf")
    _evacuate(world, ZONE_A)
    world.run(2_000)
    since_ms = world.now_ms
    calls = []
    for _ in range(100):
        calls.append(_send(world, sender.name))
        world.run(10)
    world.run(500)
    # Its own server is behind its own, old copy.
    others = {run.node_name for run in _runs_in(world, ZONE_A, since_ms)} - {
        sender.name
    }
    assert not others
    assert _statuses(calls) == {200}


def test_zone_is_used_again_after_the_evacuation():
    """The rejections that were seen must not outlast it."""
    world = _start_fleet()
    _evacuate(world, ZONE_A)
    _send_from_all(world, 6_000)
    _evacuate(world, ZONE_A, False)
    since_ms = world.now_ms
    calls = _send_from_all(world, IN_FORCE_MS)
    assert _statuses(calls) == {200}
    assert _runs_in(world, ZONE_A, since_ms)
    assert _runs_in(world, ZONE_A, since_ms)[0].received_at_ms < (
        since_ms + 2_000
    )


def test_two_zones_may_be_evacuated():
    """The end of one evacuation must not end the other."""
    world = _start_fleet()
    for zone in (ZONE_A, ZONE_B):
        _evacuate(world, zone)
    world.run(IN_FORCE_MS)
    since_ms = world.now_ms
    assert _statuses(_send_from_all(world, 500)) == {200}
    assert {run.node_name for run in world.runs} == {
        run.node_name for run in _runs_in(world, ZONE_C, since_ms)
    }
    _evacuate(world, ZONE_A, False)
    world.run(IN_FORCE_MS)
    assert _statuses(_send_from_all(world, 500)) == {200}
    assert _runs_in(world, ZONE_A, since_ms)
    assert not _runs_in(world, ZONE_B, since_ms)


def test_requests_are_refused_as_not_run_when_all_zones_are_evacuated():
    """A last zone must not be used as there is no other."""
    world = _start_fleet()
    for node in world.nodes.values():
        node.tables.interface = interface.INTERFACE
    for zone in ZONES:
        _evacuate(world, zone)
    world.run(IN_FORCE_MS)
    calls = _send_from_all(world, 500)
    assert _statuses(calls) == {503}
    for call in calls:
        headers = call.response.headers
        assert float(http.find_header(headers, "retry-after")) > 0
    assert not world.runs


def test_document_neither_ends_nor_hides_an_evacuation():
    """Nodes get the objects of a document in one response with it."""
    world = _start_fleet()
    _evacuate(world, ZONE_A)
    setups.put_route(world, "b", "orders", public=True)
    world.run(IN_FORCE_MS)
    since_ms = world.now_ms
    call = world.call(f"orders-{ZONE_A}", "/b/x", host="fleet.example")
    world.run(500)
    assert call.response.status == 200
    assert not _runs_in(world, ZONE_A, since_ms)


@pytest.mark.parametrize("cut", [False, True])
def test_restarted_nodes_of_the_zone_know_of_it(cut):
    """A new process has no copy, and its zone may be cut off as a whole."""
    world = _start_fleet()
    _evacuate(world, ZONE_B)
    world.run(IN_FORCE_MS)
    if cut:
        world.isolate_zone(ZONE_B)
        world.run(1_000)
    since_ms = world.now_ms
    world.kill(f"orders-{ZONE_B}")
    world.add_node("restarted", ZONE_B, "orders", 20, 5.0, True)
    calls = _send_from_all(world, 6_000)
    assert not _runs_in(world, ZONE_B, since_ms)
    in_zone = [
        call for call in calls if world.zone_of(call.node_name) == ZONE_B
    ]
    late = [call for call in in_zone if call.started_at_ms > since_ms + 1_500]
    assert late
    assert _statuses(late) == ({503} if cut else {200})


def test_node_without_a_configuration_runs_nothing():
    """It was just restarted and can't know whether its zone is evacuated."""
    world = _start_fleet()
    node = world.add_node("restarted", ZONE_A, "orders", 20, 5.0, True)
    node.tables.pull.pull_due_ms = float("inf")
    # The others use it as much as their own servers after its slow start.
    world.run(6_000)
    calls = _send_from_all(world, 2_000)
    served = [call for call in calls if call.node_name != node.name]
    assert _statuses(served) == {200}
    assert node.tables.metrics.counters["runs_no_backend"]
    assert not any(run.node_name == node.name for run in world.runs)


def _suspend_while_evacuated(world, name, calls):
    """Suspend a node, evacuate its zone, and resume it later."""
    running = _runs_in(world, ZONE_A, 0)
    _evacuate(world, ZONE_A)
    world.run(IN_FORCE_MS + 1_000)
    world.thaw(name)
    world.run(5_000)
    assert _runs_in(world, ZONE_A, 0) == running
    assert _statuses(calls) == {200}


def test_suspended_node_starts_nothing_from_its_queue():
    """A run that completed meanwhile would make room for the next one."""
    world = _start_fleet(per_zone=1, slots=2)
    setups.put_route(world, "b", "orders", public=True, timeout_ms=3e4)
    world.run(1_000)
    name = f"orders-{ZONE_A}"

    def send(_):
        return world.call(name, "/b/x?ms=1000", host="fleet.example")

    calls = _fill_queue(world, name, send)
    world.freeze(name)
    _suspend_while_evacuated(world, name, calls)


def test_suspended_node_runs_nothing_that_has_waited_for_it():
    """Callers' requests are read before its copy is brought up to date."""
    world = _start_fleet(per_zone=1)
    name = f"orders-{ZONE_A}"
    world.freeze(name)
    calls = [_send(world, name) for _ in range(3)]
    _suspend_while_evacuated(world, name, calls)


def test_node_that_is_cut_off_uses_its_server_by_the_copy_it_has():
    """Its old copy must not be taken for that of a suspended process."""
    world = _start_fleet()
    world.isolate_zone(ZONE_B)
    world.run(8_000)
    calls = []
    for _ in range(50):
        calls.append(_send(world, f"orders-{ZONE_B}"))
        world.run(20)
    world.run(500)
    assert _statuses(calls) == {200}
