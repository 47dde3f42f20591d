"""How costs grow with size, for docs/CAPACITY.md.

Each quantity is measured at three sizes or more on the production tables, with
small fakes. The slope of the least-squares line through the points is the cost
for each unit of size.
"""

import gc
import json
import time
import tracemalloc

from benchmarks import report
from fescueyard.configuration import messages as configuration_messages
from fescueyard.configuration import replica
from fescueyard.configuration import state as states
from fescueyard.core import wire
from fescueyard.idempotency import models as claim_models
from fescueyard.limits import fleet_grantor
from fescueyard.limits import messages as limit_messages
from fescueyard.limits import models as limit_models
from tests import setups
from tests import world as worlds

NODE_COUNTS = (24, 48, 96)
OBJECT_COUNTS = (1_000, 2_000, 4_000)
CUSTOMER_COUNTS = (100, 200, 400)
CLAIM_COUNTS = (2_000, 4_000, 8_000)
SETTLE_MS = 35_000
WATCH_MS = 10_000
FLEET_NODES = 2_900
CONTROL_CPU_PERCENT_MAX = 1.6
CONTROL_BYTES_PER_S_MAX = 9_000
MEMORY_MB_MAX = 128


def measure():
    """Run the benchmark.

    :returns: list of :class:`~benchmarks.report.Measurement`.
    """
    measurements = []
    measurements += _measure_idle_nodes()
    measurements += _measure_configuration()
    measurements += _measure_pulls()
    measurements += _measure_token_requests()
    measurements += _measure_claims()
    return measurements


def _fit_line(points):
    """Fit a line by least squares.

    :param points: pairs of size and value.
    :returns: value at size 0, and value for each unit of size.
    """
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / spread
    return mean_y - slope * mean_x, slope


def extrapolate(name, points, unit, scale, upper_bound=None):
    """Fit a line and evaluate it at full size.

    :param name: what was measured.
    :param points: pairs of size and value.
    :param unit: unit of the values.
    :param scale: the full size.
    :param upper_bound: bound at full size; None for no bound.
    :returns: :class:`~benchmarks.report.Measurement`.
    """
    base, slope = _fit_line(points)
    points_text = ", ".join(f"{size}: {value:.3g}" for size, value in points)
    at_scale = base + slope * scale
    return report.Measurement(
        f"{name}, at {scale}",
        at_scale,
        unit,
        upper_bound,
        note=f"{base:.3g} + {slope:.3g} each ({points_text})",
    )


def _memory_bytes(build):
    gc.collect()
    tracemalloc.start()
    kept = build()
    gc.collect()
    used = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del kept
    return used


def _measure_idle_nodes():
    """Measure gossip, pulls and ticks of idle nodes in simulated time."""
    byte_points = []
    cpu_points = []
    memory_points = []
    for count in NODE_COUNTS:
        world = worlds.World(3)
        setups.put_object(world, "profile", "standard")
        setups.put_object(world, "service", "orders", profile="standard")
        for number in range(count):
            zone = setups.ZONES[number % 3]
            world.add_node(f"n{number}", zone, "orders")
        world.run(SETTLE_MS)
        world.bytes_sent.clear()
        started_s = time.process_time()
        world.run(WATCH_MS)
        used_s = time.process_time() - started_s
        nodes = [f"n{number}" for number in range(count)]
        total = sum(world.bytes_sent.get(name, 0) for name in nodes)
        byte_points.append((count, total / count / (WATCH_MS / 1000)))
        cpu_points.append((count, 100 * used_s / count / (WATCH_MS / 1000)))
        memory_points.append((count, _member_bytes(world)))
    return [
        extrapolate(
            "idle node: bytes sent for control",
            byte_points,
            "B/s",
            FLEET_NODES,
            CONTROL_BYTES_PER_S_MAX,
        ),
        extrapolate(
            "idle node: CPU for control, stand-ins included",
            cpu_points,
            "% of a core",
            FLEET_NODES,
            CONTROL_CPU_PERCENT_MAX,
        ),
        extrapolate("member table", memory_points, "bytes", FLEET_NODES),
    ]


def _member_bytes(world):
    members = world.nodes["n0"].tables.members.rows
    payload = [wire.encode_plain(member) for member in members.values()]

    def build():
        cls = type(next(iter(members.values())))
        return {
            member.node_id: member
            for member in (wire.decode_plain(cls, each) for each in payload)
        }

    return _memory_bytes(build)


def _filled_state(count):
    state = states.ConfigurationState("c-1")
    put = state.put
    object_version = configuration_messages.ObjectVersion
    put(object_version("firm", "f", 1, b'{"share":1}'))
    for number in range(count):
        document = json.dumps(
            {"firm": "f", "rate_per_s": 10.0, "burst": 10}
        ).encode()
        put(
            object_version(
                "customer", f"customer-{number}", number + 2, document
            )
        )
    return state


def _measure_configuration():
    memory = []
    change = []
    snapshot = []
    for count in OBJECT_COUNTS:
        memory.append((count, _memory_bytes(lambda: _filled_state(count))))
        state = _filled_state(count)
        snapshot.append((count, len(states.dump_state(state))))
        change.append((count, _measure_change_us(state)))
    return [
        extrapolate("configuration: memory", memory, "bytes", 10_000),
        extrapolate("configuration: snapshot", snapshot, "bytes", 10_000),
        extrapolate("configuration: apply a change", change, "us", 10_000),
    ]


def _measure_change_us(state):
    times = 200
    started_s = time.perf_counter()
    for number in range(times):
        change = states.Change(
            f"c{number}",
            "bench",
            "customer",
            f"customer-{number}",
            state.version_of(
                states.models.Kind.CUSTOMER, f"customer-{number}"
            ),
            b'{"firm":"f","rate_per_s":20.0,"burst":20}',
        )
        result = states.apply_change(state, change, state.version + 1)
        if result.code != 3000:
            raise RuntimeError(f"change refused: {result}")
    return (time.perf_counter() - started_s) / times * 1e6


def _measure_pulls():
    """Measure a pull by the number of changes that it returns."""
    points = []
    state = _filled_state(1_000)
    for number in range(64):
        firm = configuration_messages.ObjectVersion(
            "firm", f"g{number}", state.version + 1, b'{"share":1}'
        )
        state.put(firm)
        state.add_to_journal(firm)
    for changes in (0, 16, 32, 64):
        request = configuration_messages.ConfigurationRequest(
            1, "c-1", state.version - changes
        )
        payload = wire.encode(request)
        times = 2_000
        started_s = time.perf_counter()
        for _ in range(times):
            response = replica.respond(
                state, wire.decode(payload), 1.0, ["a:1"]
            )
            wire.encode(response)
        used_us = (time.perf_counter() - started_s) / times * 1e6
        points.append((changes, used_us))
    return [extrapolate("control: one pull, codec included", points, "us", 1)]


def _measure_token_requests():
    """Measure the fleet grantor by the number of customers in a request."""
    points = []
    for count in CUSTOMER_COUNTS:
        state = _filled_state(count)
        table = limit_models.GrantorTable()
        members = _member_table()
        fleet_grantor.start_term(table, 1, 0.0)
        times = 30
        started_s = time.perf_counter()
        for number in range(1, times + 1):
            demands = [
                limit_messages.TokenDemand(f"customer-{index}", 1, 0, 1, 1)
                for index in range(count)
            ]
            request = limit_messages.TokenRequest(
                number, "holder", True, demands
            )
            response = fleet_grantor.handle_request(
                table,
                state,
                wire.decode(wire.encode(request)),
                number * 100.0,
                members,
            )
            wire.encode(response)
        used_us = (time.perf_counter() - started_s) / times * 1e6
        points.append((count, used_us))
    return [extrapolate("fleet grantor: one question", points, "us", 125)]


def _member_table():
    world = worlds.World(1)
    return world.cluster.tables["m0"].members


def _measure_claims():
    points = []
    for count in CLAIM_COUNTS:

        def build(count=count):
            return {
                number.to_bytes(16, "big"): claim_models.ReplicaClaim(
                    number.to_bytes(16, "little"),
                    f"node-0123456789abcdef/{number}",
                    claim_models.FINISHED,
                    float(number),
                    float(number + 1),
                )
                for number in range(count)
            }

        points.append((count, _memory_bytes(build)))
    return [
        extrapolate(
            "claim replica: memory, answers apart", points, "bytes", 60_000
        )
    ]
