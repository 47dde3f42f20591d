"""CPU time of a forwarded request at both nodes, and of an idle node.

Requests are sent at a fixed rate to one fleet for each tree, in turn, so that
other load on the machine affects all of them. ``FESCUEYARD_BASELINE`` names
the working tree of an earlier version to compare with. With
``FESCUEYARD_PROFILE`` set to a folder, the nodes run under ``cProfile``, which
multiplies their CPU time, and the functions that cost most are printed.
"""

import asyncio
import contextlib
import dataclasses
import os
import pathlib
import pstats
import statistics
import tempfile
import time

from benchmarks import report
from demo import fleet as fleets
from fescueyard.core import http
from fescueyard.transport import backend_client

BACKEND_MS = 5
RATE_PER_S = int(os.environ.get("FESCUEYARD_BENCH_RATE", "200"))
ROUND_REQUESTS = int(os.environ.get("FESCUEYARD_BENCH_REQUESTS", "600"))
ROUNDS = int(os.environ.get("FESCUEYARD_BENCH_ROUNDS", "2"))
# The CPU time of equal processes differs by up to 6 % from start to start.
STARTS = int(os.environ.get("FESCUEYARD_BENCH_STARTS", "4"))
WARM_UP_REQUESTS = 300
IDLE_SETTLE_S = 2
IDLE_S = 4
PROFILED_FUNCTIONS = 10
# Headers that a caller's HTTP client and a proxy before it usually add.
HEADERS = (
    ("user-agent", "benchmark/1.0"),
    ("accept", "*/*"),
    ("accept-encoding", "gzip, deflate"),
    ("x-forwarded-for", "10.1.2.3"),
    ("x-forwarded-proto", "https"),
)


@dataclasses.dataclass
class _Subject:
    """A fleet under measurement."""

    name: str
    fleet: fleets.Fleet
    sender: fleets.Node
    server: fleets.Node
    figures: "_Figures"


@dataclasses.dataclass
class _Figures:
    """What was measured of one tree, over all starts of its fleet.

    :param sender_us: CPU time for each request at the sender's node, by
        round.
    :param server_us: the same at the server's node.
    :param idle_ms_per_s: CPU time of an idle node, by start.
    """

    sender_us: list[float] = dataclasses.field(default_factory=list)
    server_us: list[float] = dataclasses.field(default_factory=list)
    idle_ms_per_s: list[float] = dataclasses.field(default_factory=list)


def measure():
    """Run the benchmark.

    :returns: list of :class:`~benchmarks.report.Measurement`.
    """
    trees = {"this tree": None}
    baseline = os.environ.get("FESCUEYARD_BASELINE")
    if baseline:
        trees["baseline"] = baseline
    profile_folder = os.environ.get("FESCUEYARD_PROFILE")
    figures = {name: _Figures() for name in trees}
    for _ in range(1 if profile_folder else STARTS):
        with contextlib.ExitStack() as stack:
            subjects = [
                _start(stack, name, tree, profile_folder, figures[name])
                for name, tree in trees.items()
            ]
            _measure_idle(subjects)
            asyncio.run(_send_round(subjects, WARM_UP_REQUESTS))
            for _ in range(ROUNDS):
                _measure_round(subjects)
            if profile_folder:
                for subject in subjects:
                    subject.fleet.stop()
                    _print_profiles(subject, pathlib.Path(profile_folder))
    return _measurements(figures)


def _start(stack, name, tree, profile_folder, figures):
    folder = stack.enter_context(tempfile.TemporaryDirectory())
    fleet = fleets.Fleet(folder)
    stack.callback(fleet.kill)
    fleet.tree = tree
    if profile_folder:
        fleet.profile_folder = pathlib.Path(profile_folder) / name
        fleet.profile_folder.mkdir(parents=True, exist_ok=True)
    fleet.add_control("zone-a")
    sender = fleet.add_node("zone-a")
    server = fleet.add_node("zone-a", "orders", slots=200)
    fleet.configure("orders")
    fleet.await_ready("orders", *fleet.keys.values())
    return _Subject(name, fleet, sender, server, figures)


def _measure_idle(subjects):
    time.sleep(IDLE_SETTLE_S)
    before_s = [_cpu_s(subject.sender) for subject in subjects]
    time.sleep(IDLE_S)
    for subject, start_s in zip(subjects, before_s):
        used_s = _cpu_s(subject.sender) - start_s
        subject.figures.idle_ms_per_s.append(used_s * 1000 / IDLE_S)


def _measure_round(subjects):
    before_s = [
        (_cpu_s(subject.sender), _cpu_s(subject.server))
        for subject in subjects
    ]
    asyncio.run(_send_round(subjects, ROUND_REQUESTS))
    for subject, (sender_s, server_s) in zip(subjects, before_s):
        scale = 1e6 / ROUND_REQUESTS
        figures = subject.figures
        figures.sender_us.append((_cpu_s(subject.sender) - sender_s) * scale)
        figures.server_us.append((_cpu_s(subject.server) - server_s) * scale)


async def _send_round(subjects, count):
    """Send requests to all subjects in turn, at the rate for each."""
    client = backend_client.BackendClient(1_000, 1024 * 1024)
    loop = asyncio.get_running_loop()
    pending = []
    start_s = loop.time()
    for number in range(count * len(subjects)):
        due_s = start_s + number / (RATE_PER_S * len(subjects))
        await asyncio.sleep(max(0, due_s - loop.time()))
        pending.append(_send(client, subjects[number % len(subjects)]))
    await asyncio.gather(*pending)
    client.close()


def _send(client, subject):
    headers = [http.Header(name, value) for name, value in HEADERS]
    key = subject.fleet.keys["board"]
    headers.append(http.Header("authorization", f"Bearer {key}"))
    request = http.HttpRequest(
        "GET", f"/orders/work?ms={BACKEND_MS}", headers, b""
    )
    done = asyncio.get_running_loop().create_future()

    def check_response(future):
        response = future.result().response
        if response is None or response.status != 200:
            error = RuntimeError(f"{subject.name}: {future.result()}")
            done.set_exception(error)
        else:
            done.set_result(None)

    url = f"http://{subject.sender.caller_address}"
    client.fetch(url, request, True).add_done_callback(check_response)
    return done


def _measurements(figures):
    measurements = []
    for name, measured in figures.items():
        both_us = [
            sender + server
            for sender, server in zip(measured.sender_us, measured.server_us)
        ]
        measurements += [
            _median(f"{name}: sender's node a request", measured.sender_us),
            _median(f"{name}: server's node a request", measured.server_us),
            _median(f"{name}: both nodes a request", both_us),
            _median(f"{name}: idle node", measured.idle_ms_per_s, "ms/s"),
        ]
    return measurements


def _median(name, values, unit="us"):
    spread = f"each {', '.join(f'{value:.4g}' for value in values)}"
    return report.Measurement(
        name, statistics.median(values), unit, note=spread
    )


def _print_profiles(subject, folder):
    for role, node in (("sender", subject.sender), ("server", subject.server)):
        path = folder / subject.name / f"{node.name}.pstats"
        print(f"\n{subject.name}, {role}'s node:\n", flush=True)
        stats = pstats.Stats(str(path))
        stats.sort_stats("tottime").print_stats(PROFILED_FUNCTIONS)


def _cpu_s(node):
    """Read the CPU time of a node's main thread, in nanosecond resolution."""
    path = f"/proc/{node.process.pid}/schedstat"
    with open(path, encoding="ascii") as file:
        return int(file.read().split()[0]) / 1e9
