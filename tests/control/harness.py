"""Control members on a fake network with fake disks, in simulated time."""

import copy
import dataclasses
import errno
import heapq
import itertools
import random

from fescueyard.configuration import state as states
from fescueyard.consensus import lease
from fescueyard.consensus import log
from fescueyard.consensus import models as consensus_models
from fescueyard.control import evacuations
from fescueyard.control import storage
from fescueyard.control import submissions
from fescueyard.control import systems
from fescueyard.control import tables as control_tables
from fescueyard.core import effects
from fescueyard.core import wire

TICK_MS = 20
# Zones that the members' settings name.
ZONES = ("zone-a", "zone-b", "zone-c")


class FakeStream:
    """A fake stream, the handle for replies to a member."""

    def __init__(self, member_id):
        self.member_id = member_id


class FakeDisk:
    """A fake disk: whatever was saved survives a crash.

    Tests set ``full``; every write fails then.
    """

    def __init__(self, member_id, snapshot):
        self.full = False
        self.stored = storage.StoredState(
            member_id, consensus_models.Vote(0, ""), snapshot, []
        )

    def save(self, unsaved):
        """Save as :meth:`fescueyard.control.storage.Storage.save` does."""
        if self.full:
            raise OSError(errno.ENOSPC, "no space left on the device")
        stored = self.stored
        if unsaved.vote is not None:
            stored.vote = unsaved.vote
        if unsaved.truncate_after is not None:
            stored.entries = [
                entry
                for entry in stored.entries
                if entry.index <= unsaved.truncate_after
            ]
        if unsaved.snapshot is not None:
            stored.snapshot = unsaved.snapshot
            stored.entries = [
                entry
                for entry in stored.entries
                if entry.index > unsaved.snapshot.index
            ]
        stored.entries = stored.entries + list(unsaved.entries)


@dataclasses.dataclass
class Operation:
    """One operation of an operator, recorded in the history.

    :param observed_value: value that a read returned.
    """

    kind: str
    name: str
    called_at_ms: float
    value: int = 0
    expected_version: int = 0
    returned_at_ms: float | None = None
    code: int = 0
    version: int = 0
    observed_value: int = 0
    change_id: str = ""


class Cluster:
    """Control members, their network and the history of operations.

    :param count: number of voters.
    :param seed: seed of all random choices.
    :param policy: what members decide without an operator.
    :param voters_max: maximum number of members with a vote.
    :param zones: zone of each member; None for the same one.

    Tests set ``on_sent``, which is called with sender, recipient and message
    of what members send to each other besides the consensus protocol.
    """

    def __init__(
        self,
        count,
        seed,
        policy=control_tables.ControlPolicy(),
        voters_max=consensus_models.VOTERS_MAX,
        zones=None,
    ):
        self.on_sent = None
        self._zones = zones or {}
        self._policy = policy
        self._voters_max = voters_max
        self._addresses = {}
        self.random = random.Random(seed)
        self.now_ms = 0.0
        self.disks = {}
        self.tables = {}
        self.frozen = set()
        self.blocked_links = set()
        self.leaders_by_term = {}
        self.committed = {}
        self.history = []
        self.on_external_effect = None
        self._pending_operations = {}
        self._sequence = itertools.count()
        self._in_flight = []
        self._exchange_ids = itertools.count(1)
        ids = [f"m{number}" for number in range(count)]
        members = [self._member(member_id, voter=True) for member_id in ids]
        state = states.dump_state(states.ConfigurationState("c-test"))
        for member_id in ids:
            snapshot = consensus_models.Snapshot(1, 1, members, state)
            self.disks[member_id] = FakeDisk(member_id, snapshot)
            self.start(member_id)

    def start(self, member_id):
        """Start a member from its disk."""
        stored = copy.copy(self.disks[member_id].stored)
        stored.entries = list(stored.entries)
        others = [f"{other}:1" for other in self.disks if other != member_id]
        self.tables[member_id] = control_tables.new_tables(
            stored,
            self._member(member_id, voter=False),
            "region",
            others,
            self.random.getrandbits(32),
            self.now_ms,
            self._policy,
            self._voters_max,
        )
        self.tables[member_id].zones = list(ZONES)

    def crash(self, member_id):
        """Crash a member; its memory is lost and its disk is kept."""
        self.tables.pop(member_id, None)
        self.frozen.discard(member_id)

    def lose_disk(self, member_id, new_id):
        """Lose a member's disk; a new identity requests to join instead."""
        self.crash(member_id)
        del self.disks[member_id]
        self.add_learner(new_id)

    def add_learner(self, member_id):
        """Start a process with an empty disk; it requests to join."""
        empty = consensus_models.Snapshot(0, 0, [], b"")
        self.disks[member_id] = FakeDisk(member_id, empty)
        self.start(member_id)

    def _member(self, member_id, voter):
        zone = self._zones.get(member_id, "zone")
        return _member(member_id, voter, zone)

    def run(self, duration_ms):
        """Advance the simulated time."""
        end_ms = self.now_ms + duration_ms
        while self.now_ms < end_ms:
            self.now_ms += TICK_MS
            self.step()

    def step(self):
        """Deliver the messages that are due, then tick each member once."""
        while self._in_flight and self._in_flight[0][0] <= self.now_ms:
            _, _, source, target, message = heapq.heappop(self._in_flight)
            self._deliver(source, target, message)
        for member_id in list(self.tables):
            if member_id not in self.frozen:
                systems.tick(self.tables[member_id], self.now_ms)
                self._process_pending(member_id)

    def receive(self, target, source, message):
        """Deliver a message to a member immediately."""
        self._deliver(source, target, message)

    def clear_network(self):
        """Drop all messages in flight."""
        self._in_flight.clear()

    def leader(self):
        """Return the id of the member that holds the lease, or None."""
        for member_id, tables in self.tables.items():
            if member_id not in self.frozen and lease.holds_lease(
                tables.consensus, self.now_ms
            ):
                return member_id
        return None

    def change(self, member_id, name, value, expected_version, change_id):
        """Send an operator's change of a firm's share to a member."""
        operation = Operation(
            "change",
            name,
            self.now_ms,
            value,
            expected_version,
            change_id=change_id,
        )
        self.history.append(operation)
        change = states.Change(
            change_id,
            "test",
            "firm",
            name,
            expected_version,
            b'{"share":%d}' % value,
        )
        origin = control_tables.LocalOrigin(self._register(operation))
        submissions.submit_change(
            self.tables[member_id], change, origin, self.now_ms
        )
        self._process_pending(member_id)
        return operation

    def evacuate(self, member_id, zone, evacuated=True):
        """Send an operator's start or end of an evacuation to a member."""
        operation = Operation("evacuation", zone, self.now_ms, int(evacuated))
        command = evacuations.ChangeEvacuation("test", zone, evacuated)
        origin = control_tables.LocalOrigin(self._register(operation))
        evacuations.submit(
            self.tables[member_id], command, origin, self.now_ms
        )
        self._process_pending(member_id)
        return operation

    def read(self, member_id, name):
        """Send an operator's read of a firm to a member."""
        operation = Operation("read", name, self.now_ms)
        self.history.append(operation)
        exchange_id = self._register(operation)
        systems.submit_read(self.tables[member_id], exchange_id, self.now_ms)
        self._process_pending(member_id)
        return operation

    def change_members(self, member_id, add):
        """Send an operator's change of the members to the leader."""
        operation = Operation("members", member_id, self.now_ms)
        leader_id = self.leader()
        if leader_id is None:
            return operation
        origin = control_tables.LocalOrigin(self._register(operation))
        submissions.submit_members_change(
            self.tables[leader_id], member_id, add, origin, self.now_ms
        )
        self._process_pending(leader_id)
        return operation

    def _register(self, operation):
        exchange_id = next(self._exchange_ids)
        self._pending_operations[exchange_id] = operation
        return exchange_id

    def _deliver(self, source, target, message):
        tables = self.tables.get(target)
        if tables is None:
            return
        if target in self.frozen:
            # A frozen process receives the message after it resumes.
            self._send(source, target, message, 200)
            return
        decoded = wire.decode(wire.encode(message))
        systems.receive(
            decoded, tables, source, FakeStream(source), self.now_ms
        )
        self._process_pending(target)

    def _process_pending(self, member_id):
        tables = self.tables[member_id]
        consensus_table = tables.consensus
        systems.save_and_apply(tables, self.disks[member_id].save, self.now_ms)
        self._check(member_id)
        outbox, consensus_table.outbox = consensus_table.outbox, []
        for outgoing in outbox:
            self._send(member_id, outgoing.member_id, outgoing.message)
        pending, tables.effects = tables.effects, []
        for effect in pending:
            target = _target(effect)
            if target in self.disks:
                if self.on_sent is not None:
                    self.on_sent(member_id, target, effect.message)
                self._send(member_id, target, effect.message)
            elif self.on_external_effect is not None:
                self.on_external_effect(member_id, effect)
        self._record_outcomes(tables)

    def _send(self, source, target, message, extra_ms=0):
        """Queue a message with a random delay; some messages are lost."""
        if (source, target) in self.blocked_links:
            return
        if self.random.random() < 0.02:
            return
        delay_ms = extra_ms + self.random.choice((1, 2, 5, 30))
        heapq.heappush(
            self._in_flight,
            (
                self.now_ms + delay_ms,
                next(self._sequence),
                source,
                target,
                message,
            ),
        )

    def _record_outcomes(self, tables):
        """Record the outcomes of completed operations in the history."""
        outcomes, tables.outcomes = tables.outcomes, []
        for outcome in outcomes:
            operation = self._pending_operations.pop(outcome.exchange_id, None)
            if operation is None:
                continue
            operation.returned_at_ms = self.now_ms
            if isinstance(outcome, control_tables.ChangeCompleted):
                operation.code = outcome.result.code
                operation.version = outcome.result.version
            elif outcome.fresh:
                operation.code = 1000
                object_version = tables.state.object_versions[
                    states.models.Kind.FIRM
                ].get(operation.name)
                if object_version is not None:
                    operation.version = object_version.version
                    firm = tables.state.find(
                        states.models.Kind.FIRM, operation.name
                    )
                    operation.observed_value = firm.share

    def _check(self, member_id):
        """Check the invariants that hold after each step."""
        consensus_table = self.tables[member_id].consensus
        if consensus_table.role is consensus_models.Role.LEADER:
            term = consensus_table.vote.term
            previous = self.leaders_by_term.setdefault(term, member_id)
            assert previous == member_id, f"two leaders in term {term}"
        first = consensus_table.snapshot.index + 1
        for index in range(first, consensus_table.commit_index + 1):
            entry = log.entry_at(consensus_table, index)
            content = (entry.term, entry.kind, entry.payload)
            previous = self.committed.setdefault(index, content)
            assert previous == content, (
                f"entry {index} was committed with two contents"
            )
        holders = [
            other
            for other, tables in self.tables.items()
            if lease.holds_lease(tables.consensus, self.now_ms)
        ]
        assert len(holders) <= 1, f"several members hold the lease: {holders}"


def _target(effect):
    """Return the id of the member that an effect is sent to, or None."""
    if isinstance(effect, effects.SendMessage):
        return effect.address.partition(":")[0]
    if isinstance(effect, effects.SendReply):
        return getattr(effect.stream, "member_id", None)
    return None


def _member(member_id, voter, zone="zone"):
    return consensus_models.Member(
        member_id, f"{member_id}:1", f"{member_id}:2", zone, voter
    )


def check_history(history):
    """Check that a history of versioned changes and reads is linearizable.

    Each accepted change moves its object from the expected version to a new
    one, so the changes of an object form a chain. A read that began after a
    change was accepted does not return an older version, nor does a change
    that was first sent after it.

    :param history: list of :class:`Operation`.
    """
    for name in {operation.name for operation in history}:
        operations = [
            operation for operation in history if operation.name == name
        ]
        accepted = [
            operation for operation in operations if operation.code == 3000
        ]
        _check_chain(accepted)
        values = {change.version: change.value for change in accepted}
        completed = _merge_resends(operations) + [
            operation for operation in operations if operation.code == 1000
        ]
        for later in completed:
            for earlier in completed:
                if earlier.returned_at_ms < later.called_at_ms:
                    assert later.version >= earlier.version, (
                        "an accepted change was missing or reverted"
                    )
        for operation in operations:
            if operation.code == 1000 and operation.version in values:
                assert operation.observed_value == values[operation.version]


def _check_chain(accepted):
    """Check that each version was replaced once, by resends of one change."""
    by_expected = {}
    for change in accepted:
        winner = by_expected.setdefault(change.expected_version, change)
        assert winner.change_id == change.change_id, (
            "two changes replaced the same version"
        )
        assert winner.version == change.version, (
            "a resend got a different response"
        )


def _merge_resends(operations):
    """Return the accepted changes, each with its resends as one operation.

    A resend is answered with the first acceptance, so the change took effect
    once, between the first call of all and the first response that accepted
    it.
    """
    merged = {}
    for operation in operations:
        if operation.kind == "change":
            first = merged.setdefault(
                operation.change_id,
                dataclasses.replace(
                    operation, returned_at_ms=float("inf"), code=0
                ),
            )
            first.called_at_ms = min(
                first.called_at_ms, operation.called_at_ms
            )
            if operation.code == 3000:
                first.code = operation.code
                first.version = operation.version
                first.returned_at_ms = min(
                    first.returned_at_ms, operation.returned_at_ms
                )
    return [change for change in merged.values() if change.code == 3000]
