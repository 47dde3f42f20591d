"""The replicated log under random schedules, in simulated time.

After each step at most one member holds a lease, each term has one leader and
a committed entry never changes. Histories of operations are linearizable, and
all members converge once every fault is healed.
"""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from fescueyard.consensus import elections
from fescueyard.consensus import lease
from fescueyard.consensus import log
from fescueyard.consensus import messages as consensus_messages
from fescueyard.consensus import models as consensus_models
from fescueyard.consensus import roles
from fescueyard.control import messages
from fescueyard.control import systems
from fescueyard.core import codes
from tests.control import harness

MEMBERS = strategies.integers(0, 4)
NAMES = strategies.sampled_from(["one", "two"])


class ControlMachine(stateful.RuleBasedStateMachine):
    """Crashes, partitions, freezes, races and resends with five members."""

    @stateful.initialize(seed=strategies.integers(0, 2**20))
    def start_cluster(self, seed):
        self.cluster = harness.Cluster(5, seed)
        self.cluster.run(3_000)
        self.versions = {}
        self.sent_changes = []
        self.change_number = 0

    @stateful.rule(duration_ms=strategies.integers(20, 3_000))
    def wait(self, duration_ms):
        self.cluster.run(duration_ms)

    @stateful.rule(member=MEMBERS, name=NAMES)
    def change(self, member, name):
        member_id = f"m{member}"
        if not self._is_running(member_id):
            return
        self.change_number += 1
        version = self._latest_version(name)
        operation = self.cluster.change(
            member_id,
            name,
            self.change_number,
            version,
            f"change-{self.change_number}",
        )
        self.sent_changes.append(operation)

    @stateful.rule(name=NAMES)
    def race(self, name):
        # Sends conflicting changes of one object to all running members.
        version = self._latest_version(name)
        for member in range(5):
            if self._is_running(f"m{member}"):
                self.change_number += 1
                self.cluster.change(
                    f"m{member}",
                    name,
                    self.change_number,
                    version,
                    f"change-{self.change_number}",
                )

    @stateful.rule(member=MEMBERS)
    def resend(self, member):
        if not self.sent_changes or not self._is_running(f"m{member}"):
            return
        first = self.cluster.random.choice(self.sent_changes[-5:])
        self.cluster.change(
            f"m{member}",
            first.name,
            first.value,
            first.expected_version,
            first.change_id,
        )

    @stateful.rule(member=MEMBERS, name=NAMES)
    def read(self, member, name):
        if self._is_running(f"m{member}"):
            self.cluster.read(f"m{member}", name)

    @stateful.rule(member=MEMBERS)
    def crash(self, member):
        self.cluster.crash(f"m{member}")

    @stateful.rule(member=MEMBERS)
    def restart(self, member):
        member_id = f"m{member}"
        if member_id not in self.cluster.tables:
            self.cluster.start(member_id)

    @stateful.rule(member=MEMBERS)
    def freeze(self, member):
        if f"m{member}" in self.cluster.tables:
            self.cluster.frozen.add(f"m{member}")

    @stateful.rule(member=MEMBERS)
    def thaw(self, member):
        # Resumes a frozen member.
        self.cluster.frozen.discard(f"m{member}")

    @stateful.rule(member=MEMBERS, other=MEMBERS, both=strategies.booleans())
    def cut(self, member, other, both):
        # Blocks the link between two members, in one or both directions.
        self.cluster.blocked_links.add((f"m{member}", f"m{other}"))
        if both:
            self.cluster.blocked_links.add((f"m{other}", f"m{member}"))

    @stateful.rule()
    def heal(self):
        self.cluster.blocked_links.clear()

    @stateful.rule()
    def hand_over(self):
        # Transfers the leadership.
        leader_id = self.cluster.leader()
        if leader_id is not None:
            consensus_table = self.cluster.tables[leader_id].consensus
            elections.transfer_leadership(consensus_table, self.cluster.now_ms)

    def teardown(self):
        if not hasattr(self, "cluster"):
            return
        cluster = self.cluster
        cluster.blocked_links.clear()
        cluster.frozen.clear()
        for member in range(5):
            if f"m{member}" not in cluster.tables:
                cluster.start(f"m{member}")
        cluster.run(6_000)
        assert cluster.leader() is not None, "no leader after healing"
        harness.check_history(cluster.history)
        versions = {tables.state.version for tables in cluster.tables.values()}
        assert len(versions) == 1, "members differ after healing"

    def _is_running(self, member_id):
        running = member_id in self.cluster.tables
        return running and member_id not in self.cluster.frozen

    def _latest_version(self, name):
        versions = [
            operation.version
            for operation in self.cluster.history
            if operation.name == name
            and operation.code == codes.CHANGED.number
        ]
        return max(versions, default=0)


ControlMachine.TestCase.settings = hypothesis.settings(
    max_examples=40, stateful_step_count=30
)
TestControl = ControlMachine.TestCase


def test_leader_without_a_majority_steps_down_with_unknown_outcome():
    cluster = harness.Cluster(3, 1)
    cluster.run(3_000)
    leader_id = cluster.leader()
    for other in ("m0", "m1", "m2"):
        cluster.blocked_links.add((leader_id, other))
    operation = cluster.change(leader_id, "one", 1, 0, "c1")
    cluster.run(roles.ELECTION_TIMEOUT_MIN_MS + 200)
    assert operation.code == codes.CHANGE_OUTCOME_UNKNOWN.number
    stale = cluster.tables[leader_id].consensus
    assert not lease.is_leader(stale)


def test_resend_returns_the_first_result_after_a_leader_change():
    cluster = harness.Cluster(3, 2)
    cluster.run(3_000)
    old_leader = cluster.leader()
    first = cluster.change(old_leader, "one", 1, 0, "c1")
    cluster.run(500)
    assert first.code == codes.CHANGED.number
    cluster.crash(old_leader)
    cluster.run(4_000)
    resent = cluster.change(cluster.leader(), "one", 1, 0, "c1")
    other = cluster.change(cluster.leader(), "one", 2, 0, "c2")
    cluster.run(500)
    assert (resent.code, resent.version) == (first.code, first.version)
    assert other.code == codes.VERSION_CONFLICT.number


def test_replaced_disk_joins_under_a_new_identity_before_a_second_loss():
    cluster = harness.Cluster(3, 3)
    cluster.run(3_000)
    for number in range(1, 400):
        version = 0 if number == 1 else cluster.history[-1].version
        cluster.change(cluster.leader(), "one", number, version, f"c{number}")
        cluster.run(100)
    replaced_id = next(
        each for each in cluster.disks if each != cluster.leader()
    )
    cluster.lose_disk(replaced_id, "m9")
    cluster.run(1_000)
    _change_members(cluster, replaced_id, add=False)
    _change_members(cluster, "m9", add=True)
    cluster.run(2_000)
    consensus_table = cluster.tables[cluster.leader()].consensus
    assert log.find_member(consensus_table, "m9").voter
    second = next(
        each for each in cluster.disks if each not in ("m9", cluster.leader())
    )
    cluster.crash(second)
    cluster.run(4_000)
    read = cluster.read("m9", "one")
    cluster.run(1_000)
    assert (read.code, read.observed_value) == (1000, 399)


def test_empty_disk_does_not_vote():
    cluster = harness.Cluster(3, 4)
    cluster.run(3_000)
    followers = [each for each in cluster.disks if each != cluster.leader()]
    cluster.lose_disk(followers[0], "m8")
    cluster.lose_disk(followers[1], "m9")
    cluster.run(5_000)
    assert cluster.leader() is None


def _change_members(cluster, member_id, add):
    for _ in range(10):
        operation = cluster.change_members(member_id, add)
        cluster.run(500)
        if operation.code == codes.CHANGED.number:
            return
    raise AssertionError(f"membership change failed: {operation}")


def test_vote_survives_a_restart():
    cluster = harness.Cluster(3, 5)
    request = consensus_messages.VoteRequest(
        7, 1, 1, pre_vote=False, transfer=True
    )
    cluster.receive("m0", "m1", request)
    assert cluster.tables["m0"].consensus.vote == consensus_models.Vote(
        7, "m1"
    )
    cluster.crash("m0")
    cluster.start("m0")
    cluster.receive("m0", "m2", request)
    assert cluster.tables["m0"].consensus.vote == consensus_models.Vote(
        7, "m1"
    )


def test_partitioned_follower_does_not_depose_a_leader_with_a_lease():
    cluster = harness.Cluster(3, 6)
    cluster.run(3_000)
    leader_id = cluster.leader()
    term = cluster.tables[leader_id].consensus.vote.term
    other = next(each for each in cluster.disks if each != leader_id)
    cluster.blocked_links.update({(leader_id, other), (other, leader_id)})
    cluster.run(6_000)
    assert cluster.leader() == leader_id
    assert cluster.tables[leader_id].consensus.vote.term == term


def test_late_freshness_response_does_not_validate_a_read():
    cluster = harness.Cluster(3, 7)
    cluster.run(3_000)
    leader_id = cluster.leader()
    follower_id = next(each for each in cluster.disks if each != leader_id)
    tables = cluster.tables[follower_id]
    systems.tick(tables, cluster.now_ms + 300)
    request_id = tables.freshness.last_request_id
    cluster.frozen.add(follower_id)
    change = cluster.change(leader_id, "one", 1, 0, "c1")
    cluster.run(3_000)
    assert change.code == codes.CHANGED.number
    cluster.frozen.discard(follower_id)
    for other in cluster.disks:
        cluster.blocked_links.add((other, follower_id))
    cluster.clear_network()
    late = messages.FreshnessResponse(request_id, 1, 10.0)
    cluster.receive(follower_id, leader_id, late)
    read = cluster.read(follower_id, "one")
    cluster.run(2_000)
    assert read.code == 0, f"a stale read succeeded: {read}"


def test_resend_returns_the_first_result_after_compaction_and_restart():
    cluster = harness.Cluster(1, 8)
    cluster.run(3_000)
    first = cluster.change("m0", "one", 1, 0, "c1")
    cluster.run(100)
    systems.take_snapshot(cluster.tables["m0"])
    cluster.run(100)
    cluster.crash("m0")
    cluster.start("m0")
    cluster.run(3_000)
    resent = cluster.change("m0", "one", 1, 0, "c1")
    cluster.run(100)
    assert first.code == codes.CHANGED.number
    assert (resent.code, resent.version) == (first.code, first.version)


def test_entry_of_an_earlier_term_is_not_committed_by_counting_replicas():
    cluster = harness.Cluster(5, 9)
    table = cluster.tables["m0"].consensus
    old = consensus_models.LogEntry(2, 2, consensus_models.NOOP_ENTRY, b"")
    table.entries.append(old)
    table.vote = consensus_models.Vote(3, "")
    request = consensus_messages.LeadershipTransfer(3)
    table.leader_id = "m1"
    cluster.receive("m0", "m1", request)
    for voter in ("m1", "m2"):
        response = consensus_messages.VoteResponse(
            4, pre_vote=False, granted=True
        )
        cluster.receive("m0", voter, response)
    assert table.role is consensus_models.Role.LEADER
    for voter in ("m1", "m2"):
        response = consensus_messages.AppendResponse(4, 1, True, old.index)
        cluster.receive("m0", voter, response)
    # Three of five members have the old entry, but a later leader may still
    # replace it.
    assert table.commit_index < old.index


def test_membership_change_is_rejected_while_another_is_pending():
    cluster = harness.Cluster(3, 10)
    cluster.run(3_000)
    leader_id = cluster.leader()
    for other in cluster.disks:
        cluster.blocked_links.add((leader_id, other))
    followers = [each for each in cluster.disks if each != leader_id]
    first = cluster.change_members(followers[0], add=False)
    second = cluster.change_members(followers[1], add=False)
    cluster.run(100)
    assert first.code != codes.CHANGED.number
    assert second.code == codes.MEMBERS_BUSY.number


def test_surplus_learner_is_promoted_when_a_voter_is_removed():
    cluster = harness.Cluster(5, 11)
    cluster.run(3_000)
    cluster.add_learner("m9")
    cluster.run(1_000)
    _change_members(cluster, "m9", add=True)
    cluster.run(2_000)
    consensus_table = cluster.tables[cluster.leader()].consensus
    assert not log.find_member(consensus_table, "m9").voter
    voter = next(each for each in cluster.disks if each != cluster.leader())
    _change_members(cluster, voter, add=False)
    cluster.run(2_000)
    consensus_table = cluster.tables[cluster.leader()].consensus
    assert log.find_member(consensus_table, "m9").voter
    read = cluster.read("m9", "one")
    cluster.run(1_000)
    assert read.code == 1000


def test_leadership_transfer_is_faster_than_any_election_timeout():
    cluster = harness.Cluster(3, 12)
    cluster.run(3_000)
    leader_id = cluster.leader()
    consensus_table = cluster.tables[leader_id].consensus
    assert elections.transfer_leadership(consensus_table, cluster.now_ms)
    cluster.run(roles.ELECTION_TIMEOUT_MIN_MS - 100)
    assert cluster.leader() not in (None, leader_id)
