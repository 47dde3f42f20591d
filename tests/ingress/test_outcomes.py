"""Outcomes reported to callers match what backend servers actually ran."""

import json

import pytest

from fescueyard.core import codes
from tests import setups

KEY = setups.KEYS["board"]
NODES = [f"orders-{zone}-{n}" for zone in setups.ZONES for n in range(2)]


class Chaos:
    """Random calls and faults, followed by a check of every outcome."""

    def __init__(self, seed):
        self.world = setups.start_fleet(
            seed, per_zone=2, deadline_default_ms=1_000, retry_allowance=3
        )
        for node in self.world.nodes.values():
            node.backend.slots = 4
        self.random = self.world.random
        self.calls = {}

    def run(self, steps):
        """Take random steps, then let every call complete."""
        for _ in range(steps):
            action = self.random.choice(
                [self._call] * 12
                + [self._cut, self._heal, self._freeze, self._thaw]
                + [
                    self._kill,
                    self._crash,
                    self._disconnect_caller,
                    self._slow,
                ]
            )
            action()
            self.world.run(self.random.choice((1, 5, 40)))
        self.world.heal()
        for node in list(self.world.nodes.values()):
            if node.frozen:
                self.world.thaw(node.name)
        self.world.run(10_000)

    def check(self):
        """Check the outcome reported to every caller."""
        runs_by_number = {}
        for run in self.world.runs:
            number = run.request.target.partition("id=")[2]
            runs_by_number.setdefault(number, []).append(run)
        for number, call in self.calls.items():
            runs = runs_by_number.get(number, [])
            if call.request.method == "POST":
                assert len(runs) <= 1, f"{number} ran twice"
            if call.response is None:
                continue
            outcome = call.header("fescueyard-outcome")
            if outcome == "not_run":
                assert not runs, f"{number} ran: {call}"
            if call.response.status == 200:
                assert call.response.body == number.encode()
                assert runs

    def _call(self):
        names = [name for name in NODES if name in self.world.nodes]
        if not names:
            return
        number = str(len(self.calls))
        method = self.random.choice(("GET", "POST"))
        ms = self.random.choice((1, 20, 300))
        target = f"/orders/work?ms={ms}&body={number}&id={number}"
        self.calls[number] = self.world.call(
            self.random.choice(names), target, KEY, method
        )

    def _cut(self):
        self.world.partitioned_pairs.add(tuple(self.random.sample(NODES, 2)))

    def _heal(self):
        self.world.heal()

    def _freeze(self):
        name = self.random.choice(NODES)
        if name in self.world.nodes:
            self.world.freeze(name)

    def _thaw(self):
        for node in list(self.world.nodes.values()):
            if node.frozen:
                self.world.thaw(node.name)

    def _kill(self):
        name = self.random.choice(NODES)
        if name in self.world.nodes and self.random.random() < 0.5:
            self.world.kill(name)
        elif name not in self.world.nodes:
            zone = name.partition("-")[2].rpartition("-")[0]
            self.world.add_node(name, zone, "orders", slots=4)

    def _crash(self):
        node = self.world.nodes.get(self.random.choice(NODES))
        if node is not None and not node.frozen:
            self.world._crash(node)

    def _disconnect_caller(self):
        open_calls = [
            call
            for call in self.calls.values()
            if call.response is None and call.node_name in self.world.nodes
        ]
        if open_calls:
            self.world.cancel_call(self.random.choice(open_calls))

    def _slow(self):
        node = self.world.nodes.get(self.random.choice(NODES))
        if node is not None:
            node.backend.slowdown = self.random.choice((1.0, 5.0))


@pytest.mark.parametrize("seed", range(12))
def test_reported_outcomes_match_runs_under_random_faults(seed):
    chaos = Chaos(seed)
    chaos.run(800)
    chaos.check()
    outcomes = {
        call.header("fescueyard-outcome")
        for call in chaos.calls.values()
        if call.response is not None
    }
    assert outcomes == {"ran", "not_run", "may_have_run"}


def test_late_response_is_counted_and_not_delivered():
    world = setups.start_fleet(zones=("zone-a", "zone-b"))
    first, second = world.nodes
    world.nodes[first].tables.runs.backend.leaving = True
    call = world.call(first, "/orders/work?ms=50&body=late", KEY)
    world.run(20)
    world.partitioned_pairs.add((first, second))
    world.run(2_500)
    assert call.code == codes.DEADLINE_EXCEEDED.number
    world.heal()
    world.run(500)
    counters = world.nodes[first].tables.metrics.counters
    assert [run.node_name for run in world.runs] == [second]
    assert call.code == codes.DEADLINE_EXCEEDED.number
    assert counters["late_answers"] == 1


def test_disconnected_caller_cancels_the_run():
    world = setups.start_fleet(zones=("zone-a",))
    call = world.call("orders-zone-a-0", "/orders/work?ms=500", KEY)
    world.run(50)
    world.cancel_call(call)
    world.run(1_000)
    assert [run.cancelled for run in world.runs] == [True]


def test_rejection_is_a_problem_document_with_its_outcome():
    world = setups.start_fleet(zones=("zone-a",))
    call = world.call("orders-zone-a-0", "/orders/work")
    world.run(100)
    members = json.loads(call.response.body)
    assert members["code"] == codes.KEY_MISSING.number
    assert members["outcome"] == "not_run"
    assert call.header("content-type") == "application/problem+json"


# Nodes of release 0.6 pass on any status that their backend servers send, and
# callers of newer nodes got it as an answer.
@pytest.mark.parametrize("status", [0, 99, 103, 600])
@pytest.mark.parametrize("caller_node", range(2))
def test_invalid_status_from_a_node_is_not_passed_on(caller_node, status):
    world = setups.start_fleet(zones=("zone-a", "zone-b"))
    names = list(world.nodes)
    target = f"/orders/work?status={status}"
    call = world.call(names[caller_node], target, KEY, method="POST")
    world.run(500)
    assert len(world.runs) == 1
    assert call.response.status == 502
    assert call.code == codes.SHORT_ANSWER.number
    assert call.header("fescueyard-outcome") == "may_have_run"
