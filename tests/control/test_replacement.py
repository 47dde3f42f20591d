"""Control members replaced for good, under random schedules.

A member's disk is removed and another process with an empty disk joins at a
new address. Meanwhile others are down, frozen or cut off, have full disks, or
are being replaced themselves. No more disks are gone at once than the voters
tolerate. Every accepted change is there at the end.
"""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from fescueyard.consensus import log
from fescueyard.control import tables as control_tables
from fescueyard.core import codes
from tests.control import harness

POLICY = control_tables.ControlPolicy(repairs_members=True, keeps_claims=False)
CONVERGENCE_MS = 15_000
PICKS = strategies.integers(0, 100)
NAMES = strategies.sampled_from(["one", "two"])


class ReplacementMachine(stateful.RuleBasedStateMachine):
    """Replacements beside crashes, freezes, partitions and full disks."""

    @stateful.initialize(
        seed=strategies.integers(0, 2**20),
        voters=strategies.sampled_from([3, 5]),
    )
    def start_cluster(self, seed, voters):
        self.voters = voters
        self.cluster = harness.Cluster(voters, seed, POLICY, voters)
        self.cluster.run(3_000)
        self.change_number = 0
        self.replacement_number = 0
        self.removed_disks = {}

    @stateful.rule(duration_ms=strategies.integers(20, 4_000))
    def wait(self, duration_ms):
        self.cluster.run(duration_ms)

    @stateful.rule(pick=PICKS, name=NAMES)
    def change(self, pick, name):
        member_id = self._pick_running(pick)
        if member_id is None:
            return
        self.change_number += 1
        self.cluster.change(
            member_id,
            name,
            self.change_number,
            self._latest_version(name),
            f"change-{self.change_number}",
        )

    @stateful.rule(pick=PICKS, name=NAMES)
    def read(self, pick, name):
        member_id = self._pick_running(pick)
        if member_id is not None:
            self.cluster.read(member_id, name)

    @stateful.rule(pick=PICKS)
    def replace(self, pick):
        # Removes a member for good; an empty one joins at another address.
        candidates = sorted(self.cluster.disks)
        member_id = candidates[pick % len(candidates)]
        if not self._may_lose_disk(member_id):
            return
        self.removed_disks[member_id] = self.cluster.disks[member_id]
        self.replacement_number += 1
        self.cluster.lose_disk(member_id, f"n{self.replacement_number}")

    @stateful.rule(pick=PICKS)
    def bring_back(self, pick):
        # A removed member is started with its old disk after all.
        gone = sorted(set(self.removed_disks) - set(self.cluster.disks))
        if gone:
            member_id = gone[pick % len(gone)]
            self.cluster.disks[member_id] = self.removed_disks[member_id]
            self.cluster.start(member_id)

    @stateful.rule(pick=PICKS)
    def crash(self, pick):
        member_id = self._pick_running(pick)
        if member_id is not None:
            self.cluster.crash(member_id)

    @stateful.rule(pick=PICKS)
    def restart(self, pick):
        stopped = sorted(set(self.cluster.disks) - set(self.cluster.tables))
        if stopped:
            self.cluster.start(stopped[pick % len(stopped)])

    @stateful.rule(pick=PICKS)
    def freeze(self, pick):
        member_id = self._pick_running(pick)
        if member_id is not None:
            self.cluster.frozen.add(member_id)

    @stateful.rule(pick=PICKS)
    def fill_disk(self, pick):
        # Every write of this member fails from now on.
        member_ids = sorted(self.cluster.disks)
        self.cluster.disks[member_ids[pick % len(member_ids)]].full = True

    @stateful.rule()
    def free_disks(self):
        for disk in self.cluster.disks.values():
            disk.full = False

    @stateful.rule()
    def thaw(self):
        self.cluster.frozen.clear()

    @stateful.rule(pick=PICKS, other=PICKS)
    def cut(self, pick, other):
        # Blocks the link between two members, in both directions.
        member_ids = sorted(self.cluster.disks)
        first = member_ids[pick % len(member_ids)]
        second = member_ids[other % len(member_ids)]
        self.cluster.blocked_links |= {(first, second), (second, first)}

    @stateful.rule()
    def heal(self):
        self.cluster.blocked_links.clear()

    def teardown(self):
        if not hasattr(self, "cluster"):
            return
        cluster = self.cluster
        cluster.blocked_links.clear()
        cluster.frozen.clear()
        self.free_disks()
        for member_id in cluster.disks:
            if member_id not in cluster.tables:
                cluster.start(member_id)
        cluster.run(CONVERGENCE_MS)
        assert cluster.leader() is not None, "no leader after healing"
        self._check_voters()
        for name in ("one", "two"):
            read = cluster.read(cluster.leader(), name)
            cluster.run(1_000)
            assert read.version >= self._latest_version(name)
        harness.check_history(cluster.history)
        versions = {tables.state.version for tables in cluster.tables.values()}
        assert len(versions) == 1, "members differ after healing"

    def _check_voters(self):
        members = self.cluster.tables[self.cluster.leader()].consensus.members
        voters = [each.member_id for each in members if each.voter]
        assert len(voters) == self.voters
        assert set(voters) <= set(self.cluster.disks), "a voter has no disk"

    def _may_lose_disk(self, member_id):
        """Return whether the voters tolerate the loss of another disk."""
        leader_id = self.cluster.leader()
        if leader_id is None:
            return False
        table = self.cluster.tables[leader_id].consensus
        for members in (
            table.members,
            log.members_at(table, table.commit_index),
        ):
            voters = {each.member_id for each in members if each.voter}
            lost = (voters - set(self.cluster.disks)) | (voters & {member_id})
            if len(lost) > (len(voters) - 1) // 2:
                return False
        return True

    def _pick_running(self, pick):
        running = sorted(set(self.cluster.tables) - self.cluster.frozen)
        return running[pick % len(running)] if running else None

    def _latest_version(self, name):
        versions = [
            operation.version
            for operation in self.cluster.history
            if operation.name == name
            and operation.code == codes.CHANGED.number
        ]
        return max(versions, default=0)


ReplacementMachine.TestCase.settings = hypothesis.settings(
    max_examples=40, stateful_step_count=30
)
TestReplacement = ReplacementMachine.TestCase
