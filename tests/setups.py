"""Set up simulated fleets for the tests and benchmarks."""

import hashlib
import json

from tests import world as worlds

ZONES = worlds.ZONES
KEYS = {
    name: f"fyk_{name}-{'x' * 30}"
    for name in ("board", "limewash", *(f"c{n}" for n in range(16)))
}


def put_object(world, kind, name, **document):
    """Create or change a configuration object."""
    world.configure(kind, name, json.dumps(document).encode())


def grant_key(world, customer):
    """Grant a customer its key from :data:`KEYS`."""
    sha256 = hashlib.sha256(KEYS[customer].encode()).hexdigest()
    put_object(
        world, "key", f"{customer}-key", customer=customer, sha256=sha256
    )


def put_customer(world, name):
    """Create a firm with one customer and its key."""
    put_object(world, "firm", name)
    put_object(world, "customer", name, firm=name, rate_per_s=100.0, burst=50)
    sha256 = hashlib.sha256(name.encode()).hexdigest()
    put_object(world, "key", f"{name}-key", customer=name, sha256=sha256)


def withdraw_key(world, customer):
    """Withdraw the key that :func:`grant_key` granted a customer."""
    world.configure("key", f"{customer}-key", b"")


def start_fleet(
    seed=1,
    services=("orders",),
    per_zone=1,
    rate_per_s=1e5,
    burst=100_000,
    controls=1,
    zones=ZONES,
    **profile,
):
    """Start nodes of each service in each zone, with two customers.

    :param per_zone: nodes of each service in each zone.
    :param profile: fields of the profile.
    :returns: the world, after four simulated seconds to settle.
    """
    world = worlds.World(seed, controls=controls)
    put_object(world, "profile", "standard", **profile)
    for service in services:
        put_object(world, "service", service, profile="standard")
    for name in ("board", "limewash"):
        put_object(world, "firm", name)
        put_object(
            world,
            "customer",
            name,
            firm=name,
            rate_per_s=float(rate_per_s),
            burst=burst,
        )
        grant_key(world, name)
    for service in services:
        for zone in zones:
            for number in range(per_zone):
                world.add_node(f"{service}-{zone}-{number}", zone, service)
    world.run(4_000)
    return world


def start_routed_fleet(
    seed=1,
    services=("orders",),
    zones=ZONES,
    routes=(),
    rate_per_s=None,
    burst=100,
    slots=20,
    service_ms=5.0,
    per_zone=1,
    controls=1,
    **profile,
):
    """Start nodes that serve requests by route, with one customer.

    :param routes: pairs of a route name and the fields that differ from
        those of :func:`put_route`; all lead to the first service.
    :param per_zone: nodes of each service in each zone.
    :param profile: fields of the profile.
    :returns: the world, after four simulated seconds to settle.
    """
    world = worlds.World(seed, controls=controls)
    put_object(world, "profile", "standard", **profile)
    for service in services:
        put_object(world, "service", service, profile="standard")
    put_object(world, "firm", "board")
    put_object(
        world,
        "customer",
        "board",
        firm="board",
        rate_per_s=rate_per_s,
        burst=burst,
    )
    grant_key(world, "board")
    for name, fields in routes:
        put_route(world, name, services[0], **fields)
    for service in services:
        for zone in zones:
            for number in range(per_zone):
                name = f"{service}-{zone}"
                if number:
                    name += f"-{number}"
                world.add_node(name, zone, service, slots, service_ms, True)
    world.run(4_000)
    return world


def put_route(world, name, service, **fields):
    """Create or change a route.

    :param fields: fields that differ from a route at ``/NAME/`` of
        ``fleet.example``.
    """
    route = {
        "host": "fleet.example",
        "path_prefix": f"/{name}/",
        "parts": [{"service": service, "weight": 1.0}],
        "idempotent": True,
        "timeout_ms": 1_000.0,
        "objective_ms": 500.0,
        "attempts_max": 2,
        "priority": 3,
        "public": False,
    }
    put_object(world, "route", name, **(route | fields))
