"""Nodes pull the configuration from control VMs whose state is current."""

import pytest

from tests import setups

# Time after its acceptance in which a change is in force on each node that
# reaches a control VM of the majority.
IN_FORCE_MS = 2_000
CHANGES = 20
CHANGE_INTERVAL_MS = 500
COMMIT_MS = 100


def _isolate_member(world, member_id):
    """Cut a control VM off from all processes but nodes of its own zone."""
    for other in world.cluster.disks:
        if other != member_id:
            world.partitioned_pairs.add((member_id, other))
            world.cluster.blocked_links.add((member_id, other))
            world.cluster.blocked_links.add((other, member_id))
    for name in world.nodes:
        if world.zone_of(name) != world.zone_of(member_id):
            world.partitioned_pairs.add((member_id, name))


def _apply_change(world, number):
    """Change an object; return its version, or None without a leader."""
    leader_id = world.cluster.leader()
    if leader_id is None:
        return None
    state = world.cluster.tables[leader_id].state
    before = state.version
    setups.put_object(world, "firm", "board", share=number + 1)
    world.run(COMMIT_MS)
    return state.version if state.version > before else None


def _record_late_nodes(world, version, late):
    for node in world.nodes.values():
        known = node.tables.configuration.state.version
        if known < version:
            late.append((round(world.now_ms), node.name, known, version))


def _freeze_member(world, member_id):
    world.cluster.frozen.add(member_id)


@pytest.mark.parametrize("lose_member", [_isolate_member, _freeze_member])
@pytest.mark.parametrize("cut_role", ["leader", "follower"])
@pytest.mark.parametrize("seed", range(5))
def test_near_control_vm_that_is_lost_delays_no_change(
    seed, cut_role, lose_member
):
    world = setups.start_routed_fleet(seed=seed, per_zone=2, controls=3)
    cut_id = world.cluster.leader()
    if cut_role == "follower":
        cut_id = next(
            other for other in world.cluster.disks if other != cut_id
        )
    lose_member(world, cut_id)
    late = []
    for number in range(CHANGES):
        version = _apply_change(world, number)
        if version is not None:
            world.call_later(
                IN_FORCE_MS - COMMIT_MS,
                lambda version=version: _record_late_nodes(
                    world, version, late
                ),
            )
        world.run(CHANGE_INTERVAL_MS)
    world.run(IN_FORCE_MS)
    assert world.cluster.leader() != cut_id
    assert not late
