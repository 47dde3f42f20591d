"""Evacuations as replicated state: durable, idempotent, in order."""

import zlib

import pytest

from fescueyard.configuration import models
from fescueyard.configuration import state as states
from fescueyard.consensus import models as consensus_models
from fescueyard.control import messages
from fescueyard.control import submissions
from fescueyard.control import systems
from fescueyard.control import tables as control_tables
from fescueyard.core import codes
from tests.control import harness

ZONE_A, ZONE_B, ZONE_C = harness.ZONES
CHANGED = codes.CHANGED.number
# Operators send a request again for at most this long.
RESEND_MAX_MS = 4_000


def _cluster(seed=1, members=3):
    cluster = harness.Cluster(members, seed)
    cluster.run(3_000)
    return cluster


def _followers(cluster):
    return sorted(set(cluster.tables) - {cluster.leader()})


def _evacuate(cluster, zone, evacuated=True):
    """Send a request to members in turn until one acknowledges it."""
    deadline_ms = cluster.now_ms + RESEND_MAX_MS
    while cluster.now_ms < deadline_ms:
        for member_id in sorted(cluster.tables):
            operation = cluster.evacuate(member_id, zone, evacuated)
            cluster.run(300)
            if operation.code == CHANGED:
                return operation
    raise AssertionError("not acknowledged in time")


def _zones(cluster):
    """Return the evacuated zones on which all members agree."""
    cluster.run(2_000)
    zones = [
        states.evacuated_zones(tables.state)
        for tables in cluster.tables.values()
    ]
    assert all(each == zones[0] for each in zones), zones
    return zones[0]


def _restart(cluster):
    members = list(cluster.tables)
    for member_id in members:
        cluster.crash(member_id)
    cluster.clear_network()
    for member_id in members:
        cluster.start(member_id)
    cluster.run(3_000)


def _holds_evacuation(disk):
    return any(
        entry.kind == consensus_models.CHANGE_ENTRY
        for entry in disk.stored.entries
    )


def _block(cluster, member_id):
    for other in cluster.disks:
        cluster.blocked_links.update({(member_id, other), (other, member_id)})


@pytest.mark.parametrize("seed", range(5))
def test_acknowledged_only_once_a_majority_has_saved_it(seed):
    """An acknowledgement before that is lost with one disk."""
    cluster = _cluster(seed)
    operation = cluster.evacuate(cluster.leader(), ZONE_A)
    while operation.returned_at_ms is None:
        cluster.run(harness.TICK_MS)
    assert operation.code == CHANGED
    saved = [_holds_evacuation(disk) for disk in cluster.disks.values()]
    assert sum(saved) >= 2


def test_leader_without_a_majority_acknowledges_nothing():
    """A leader that is cut off must not promise what the others lack."""
    cluster = _cluster()
    leader_id = cluster.leader()
    _block(cluster, leader_id)
    operation = cluster.evacuate(leader_id, ZONE_A)
    cluster.run(RESEND_MAX_MS)
    assert operation.code == codes.CHANGE_OUTCOME_UNKNOWN.number
    refused = cluster.evacuate(leader_id, ZONE_A)
    assert refused.code == codes.NO_LEADER.number


def test_full_disks_of_a_majority_prevent_the_acknowledgement():
    """A change in the memory of members is lost with their power."""
    cluster = _cluster()
    operation = cluster.evacuate(cluster.leader(), ZONE_A)
    for member_id in _followers(cluster):
        cluster.disks[member_id].full = True
    cluster.run(RESEND_MAX_MS)
    assert operation.code != CHANGED


def test_resend_is_acknowledged_by_any_member():
    """A lost acknowledgement must not make the resend fail."""
    cluster = _cluster()
    first = _evacuate(cluster, ZONE_A)
    for member_id in sorted(cluster.tables):
        resend = cluster.evacuate(member_id, ZONE_A)
        cluster.run(300)
        assert (resend.code, resend.version) == (CHANGED, first.version)
    _evacuate(cluster, ZONE_A, False)
    _evacuate(cluster, ZONE_A, False)
    assert _zones(cluster) == []


@pytest.mark.parametrize("seed", range(5))
def test_next_leader_has_what_was_acknowledged(seed):
    """The leader dies right after the commit, and with it its disk."""
    cluster = _cluster(seed)
    leader_id = cluster.leader()
    operation = cluster.evacuate(leader_id, ZONE_A)
    while operation.returned_at_ms is None:
        cluster.run(harness.TICK_MS)
    assert operation.code == CHANGED
    cluster.crash(leader_id)
    cluster.run(3_000)
    assert _zones(cluster) == [ZONE_A]
    assert _evacuate(cluster, ZONE_A).version == operation.version


@pytest.mark.parametrize("seed", range(5))
def test_change_forwarded_to_a_dead_leader_reaches_the_next_one(seed):
    """Its time limit would leave the operator no time to send it again."""
    cluster = _cluster(seed)
    follower = _followers(cluster)[0]
    cluster.crash(cluster.leader())
    operation = cluster.evacuate(follower, ZONE_A)
    cluster.run(2_500)
    assert operation.code == CHANGED
    assert _zones(cluster) == [ZONE_A]


@pytest.mark.parametrize("from_snapshot", [False, True])
def test_evacuations_survive_a_restart_of_all_members(from_snapshot):
    """A power loss; the state comes from the log or from a snapshot."""
    cluster = _cluster()
    _evacuate(cluster, ZONE_A)
    _evacuate(cluster, ZONE_B)
    _evacuate(cluster, ZONE_B, False)
    ends = cluster.tables["m0"].state.evacuation_ends
    if from_snapshot:
        for tables in cluster.tables.values():
            systems.take_snapshot(tables)
        cluster.run(200)
        assert not cluster.disks["m0"].stored.entries
    _restart(cluster)
    assert _zones(cluster) == [ZONE_A]
    assert ZONE_B in ends
    assert cluster.tables["m0"].state.evacuation_ends == ends


def test_evacuation_survives_the_loss_of_a_disk():
    """The member that replaces the lost one gets it from the others."""
    cluster = _cluster()
    _evacuate(cluster, ZONE_A)
    cluster.lose_disk(_followers(cluster)[0], "m9")
    cluster.run(1_000)
    assert cluster.change_members("m9", True).code in (0, CHANGED)
    cluster.run(3_000)
    assert _zones(cluster) == [ZONE_A]


def test_unknown_zone_is_refused_and_changes_nothing():
    """A misspelt name must not look like an evacuation."""
    cluster = _cluster()
    index = cluster.tables["m0"].consensus.commit_index
    for member_id in cluster.tables:
        for evacuated in (True, False):
            operation = cluster.evacuate(member_id, "zone-x", evacuated)
            assert operation.code == codes.UNKNOWN_ZONE.number
    assert _zones(cluster) == []
    assert cluster.tables["m0"].consensus.commit_index == index


def test_zones_of_known_processes_and_evacuated_ones_are_known():
    """The evacuation of a zone must be ended though it is in use no more."""
    cluster = _cluster()
    _evacuate(cluster, ZONE_A)
    for tables in cluster.tables.values():
        tables.zones = []
    assert _evacuate(cluster, "zone").code == CHANGED
    assert _evacuate(cluster, ZONE_A, False).code == CHANGED
    operation = cluster.evacuate("m0", ZONE_A, False)
    assert operation.code == codes.UNKNOWN_ZONE.number


def test_minority_refuses_requests():
    """Without a leader nothing can be made durable."""
    cluster = _cluster()
    for member_id in _followers(cluster):
        cluster.crash(member_id)
    cluster.run(3_000)
    survivor = next(iter(cluster.tables))
    operation = cluster.evacuate(survivor, ZONE_A)
    assert operation.code == codes.NO_LEADER.number


@pytest.mark.parametrize("from_snapshot", [False, True])
def test_late_request_does_not_undo_a_later_one(from_snapshot):
    """A request is delayed on its way to the leader.

    In the meantime it was sent again and acknowledged, and so was the end of
    the evacuation.
    """
    cluster = _cluster()
    follower = _followers(cluster)[0]
    tables = cluster.tables[follower]
    known_index = tables.consensus.commit_index
    _evacuate(cluster, ZONE_A)
    _evacuate(cluster, ZONE_A, False)
    if from_snapshot:
        for each in cluster.tables.values():
            systems.take_snapshot(each)
        _restart(cluster)
    late = states.evacuation_change("test", ZONE_A, True, known_index)
    sender = _followers(cluster)[0]
    cluster.receive(cluster.leader(), sender, messages.ChangeRequest(99, late))
    assert _zones(cluster) == []
    _evacuate(cluster, ZONE_A)
    assert _zones(cluster) == [ZONE_A]


def test_late_request_is_reported_as_overtaken():
    state = states.ConfigurationState("c-test")
    start = states.evacuation_change("test", ZONE_A, True, 4)
    end = states.evacuation_change("test", ZONE_A, False, 5)
    assert states.apply_change(state, start, 5).code == CHANGED
    assert states.apply_change(state, end, 6).code == CHANGED
    result = states.apply_change(state, start, 7)
    assert (result.code, result.version) == (codes.OVERTAKEN.number, 6)
    # Of another zone, nothing has overtaken it.
    start_b = states.evacuation_change("test", ZONE_B, True, 4)
    assert states.apply_change(state, start_b, 8).code == CHANGED


def test_document_neither_ends_nor_changes_an_evacuation():
    """A complete document retires what it doesn't name, but no evacuation."""
    cluster = _cluster()
    _evacuate(cluster, ZONE_A)
    firm = states.DocumentObject("firm", "board", b'{"share":1}')
    change = states.DocumentChange(
        "00" * 32, "test", 1, 0, zlib.compress(b"{}"), [firm]
    )
    leader = cluster.tables[cluster.leader()]
    origin = control_tables.LocalOrigin(-1)
    submissions.submit_document(leader, change, origin, cluster.now_ms)
    crossing = cluster.evacuate(cluster.leader(), ZONE_C)
    cluster.run(500)
    assert crossing.code == CHANGED
    assert leader.state.applied_document.number == 1
    assert leader.state.find(models.Kind.FIRM, "board") is not None
    assert _zones(cluster) == [ZONE_A, ZONE_C]
