"""Faults injected into a simulated fleet by tests of rate limits."""

from tests import setups

NODES_MIN = 4


def kill_and_replace(world):
    """Kill a node and start another one in a random zone."""
    if len(world.nodes) < NODES_MIN:
        return
    victim = world.random.choice(list(world.nodes))
    service = world.nodes[victim].backend.service
    routed = world.nodes[victim].tables.routed
    world.kill(victim)
    zone = world.random.choice(setups.ZONES)
    world.add_node(f"{victim}+", zone, service, routed=routed)


def cut_zone(world):
    """Cut a random zone off from the others."""
    world.isolate_zone(world.random.choice(setups.ZONES))


def cut_pair(world):
    """Cut two nodes off from each other."""
    pair = world.random.sample(list(world.nodes), 2)
    world.partitioned_pairs.add(tuple(pair))


def cut_from_control(world, name=None):
    """Cut a node off from the control VMs, but not from other nodes."""
    name = name or world.random.choice(list(world.nodes))
    for member_id in world.cluster.disks:
        world.partitioned_pairs.add((name, member_id))


def freeze_node(world):
    """Freeze a random node."""
    world.freeze(world.random.choice(list(world.nodes)))


def crash_leader(world):
    """Crash the control leader."""
    leader_id = world.cluster.leader()
    if leader_id is not None:
        world.cluster.crash(leader_id)


def freeze_leader(world):
    """Freeze the control leader."""
    leader_id = world.cluster.leader()
    if leader_id is not None:
        world.cluster.frozen.add(leader_id)


def clear_faults(world):
    """End all faults."""
    world.heal()
    world.cluster.frozen.clear()
    for node in list(world.nodes.values()):
        if node.frozen:
            world.thaw(node.name)
    for member_id in world.cluster.disks:
        if member_id not in world.cluster.tables:
            world.cluster.start(member_id)
