"""Payload bytes between zones, in simulated time, before and after.

Run with ``python -m benchmarks.zone_traffic``; prints one line for each case.
"""

from fescueyard.routing import traffic
from tests import setups
from tests import world as worlds

CUSTOMERS = 150
PER_ZONE = 30
START_MS = 15_000
IDLE_MS = 60_000


def _add_nodes(world):
    for zone in setups.ZONES:
        for number in range(PER_ZONE):
            name = f"orders-{zone}-{number}"
            node = world.add_node(name, zone, "orders", routed=True)
            node.backend.cold_ms = 0.0


def _take_bytes(world):
    total = sum(
        sent.payload_bytes
        for (_, _, scope), sent in world.sent.items()
        if scope == traffic.OTHER_ZONE
    )
    world.sent.clear()
    return total


def measure(saves, control_zones):
    """Measure a start, an idle minute and a restart of all nodes.

    :param saves: whether the links are slow.
    :param control_zones: zones of the three control processes.
    :returns: payload bytes between zones of each of the three.
    """
    world = worlds.World(
        1, controls=3, control_zones=control_zones, saves_cross_zone=saves
    )
    setups.put_object(world, "profile", "standard")
    setups.put_object(world, "service", "orders", profile="standard")
    for number in range(CUSTOMERS):
        setups.put_customer(world, f"customer-{number}")
    world.run(500)
    world.sent.clear()
    _add_nodes(world)
    world.run(START_MS)
    start_bytes = _take_bytes(world)
    world.run(IDLE_MS)
    idle_bytes = _take_bytes(world)
    for name in list(world.nodes):
        world.kill(name)
    _add_nodes(world)
    world.run(START_MS)
    return start_bytes, idle_bytes, _take_bytes(world)


def main():
    """Print the figures of all cases."""
    for control_zones in (setups.ZONES, ("zone-a",)):
        for saves in (False, True):
            print(len(control_zones), saves, *measure(saves, control_zones))


if __name__ == "__main__":
    main()
