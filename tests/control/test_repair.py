"""Automatic repair of the control membership."""

import pytest

from fescueyard.consensus import log
from fescueyard.control import tables as control_tables
from tests.control import harness

POLICY = control_tables.ControlPolicy(repairs_members=True, keeps_claims=False)
REPAIR_MS = 4_000


def _cluster(seed, count=3, voters_max=3):
    cluster = harness.Cluster(count, seed, POLICY, voters_max)
    cluster.run(2_000)
    return cluster


def _voters(cluster):
    leader = cluster.tables[cluster.leader()]
    return {
        member.member_id for member in leader.consensus.members if member.voter
    }


def _change(cluster, name, value, expected_version=0):
    operation = cluster.change(
        cluster.leader(), name, value, expected_version, f"{name}-{value}"
    )
    cluster.run(1_000)
    assert operation.code == 3000
    return operation


def _check_value(cluster, name, value):
    operation = cluster.read(cluster.leader(), name)
    cluster.run(1_000)
    assert operation.observed_value == value
    harness.check_history(cluster.history)


@pytest.mark.parametrize("seed", range(6))
def test_lost_disk_is_replaced_and_a_second_loss_is_tolerated(seed):
    cluster = _cluster(seed)
    _change(cluster, "first", 1)
    lost_id = next(
        member for member in cluster.tables if member != cluster.leader()
    )
    cluster.lose_disk(lost_id, "m-new")
    cluster.run(REPAIR_MS)
    assert _voters(cluster) == {"m0", "m1", "m2", "m-new"} - {lost_id}
    second_lost_id = next(
        member
        for member in cluster.tables
        if member not in (cluster.leader(), "m-new")
    )
    cluster.crash(second_lost_id)
    cluster.run(REPAIR_MS)
    _change(cluster, "second", 2)
    _check_value(cluster, "first", 1)


@pytest.mark.parametrize("seed", range(6))
def test_lost_leader_is_replaced_by_a_learner(seed):
    cluster = _cluster(seed)
    cluster.add_learner("m-spare")
    cluster.run(2_000)
    assert "m-spare" not in _voters(cluster)
    _change(cluster, "first", 1)
    leader_id = cluster.leader()
    cluster.crash(leader_id)
    cluster.run(2_000 + REPAIR_MS)
    assert _voters(cluster) == {"m0", "m1", "m2", "m-spare"} - {leader_id}
    _check_value(cluster, "first", 1)


def test_silent_voter_is_kept_without_a_successor():
    cluster = _cluster(1)
    silent_id = next(
        member for member in cluster.tables if member != cluster.leader()
    )
    cluster.crash(silent_id)
    cluster.run(10_000)
    assert silent_id in _voters(cluster)


@pytest.mark.parametrize("seed", range(3))
def test_removed_member_that_returns_becomes_a_learner(seed):
    cluster = _cluster(seed)
    cluster.add_learner("m-spare")
    cluster.run(2_000)
    removed_id = next(
        member
        for member in cluster.tables
        if member not in (cluster.leader(), "m-spare")
    )
    cluster.crash(removed_id)
    cluster.run(REPAIR_MS)
    assert removed_id not in _voters(cluster)
    cluster.start(removed_id)
    cluster.run(REPAIR_MS)
    leader = cluster.tables[cluster.leader()]
    returned = log.find_member(leader.consensus, removed_id)
    assert returned is not None and not returned.voter
    assert len(_voters(cluster)) == 3
