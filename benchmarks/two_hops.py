"""Latency that two hops add to a call, over a direct call.

Calls directly to the backend server and calls through a node alternate in one
run, so that other load on the machine affects both. The runs are repeated; the
result is the median of the differences.
"""

import asyncio
import dataclasses
import os
import statistics
import tempfile
import time

from benchmarks import report
from demo import fleet as fleets
from fescueyard.core import http
from fescueyard.transport import backend_client

BACKEND_MS = 5
RATES_PER_S = (125, 500)
DURATION_S = 4
REPEATS = 3
WARM_UP_CALLS = 200
ADDED_P99_MAX_MS = 1.6
MEMORY_MB_MAX = 128
IDLE_SETTLE_S = 10
IDLE_S = 10
IDLE_CPU_PERCENT_MAX = 1.6
_TICKS_PER_S = os.sysconf("SC_CLK_TCK")


@dataclasses.dataclass
class RunLatencies:
    """Latencies of one run, in ms."""

    direct_ms: list[float]
    proxied_ms: list[float]


def measure():
    """Run the benchmark.

    :returns: list of :class:`~benchmarks.report.Measurement`.
    """
    with tempfile.TemporaryDirectory() as folder:
        fleet = fleets.Fleet(folder)
        try:
            fleet.add_control("zone-a")
            entry = fleet.add_node("zone-a")
            server = fleet.add_node("zone-a", "orders", slots=200)
            fleet.configure("orders")
            fleet.await_ready("orders", *fleet.keys.values())
            measurements = _measure_idle_cpu(entry, server)
            for rate_per_s in RATES_PER_S:
                measurements += _measure_rate(fleet, entry, server, rate_per_s)
            measurements += _measure_memory(entry, server)
            return measurements
        finally:
            fleet.kill()


def _measure_rate(fleet, entry, server, rate_per_s):
    load = _Load(
        f"http://{server.server_address}",
        f"http://{entry.caller_address}",
        fleet.keys["board"],
    )
    asyncio.run(load.run(rate_per_s, WARM_UP_CALLS))
    p50s = []
    p99s = []
    before_s = cpu_s(entry) + cpu_s(server)
    count = rate_per_s * DURATION_S
    for _ in range(REPEATS):
        run = asyncio.run(load.run(rate_per_s, count))
        p50s.append(
            _quantile(run.proxied_ms, 50) - _quantile(run.direct_ms, 50)
        )
        p99s.append(
            _quantile(run.proxied_ms, 99) - _quantile(run.direct_ms, 99)
        )
    used_s = cpu_s(entry) + cpu_s(server) - before_s
    per_1000 = used_s / (count * REPEATS) * 1000
    name = f"two hops, {rate_per_s} calls/s"
    spread = f"runs {', '.join(f'{value:.2f}' for value in p99s)}"
    bound = ADDED_P99_MAX_MS if rate_per_s == RATES_PER_S[0] else None
    return [
        report.Measurement(
            f"{name}: added p50", statistics.median(p50s), "ms"
        ),
        report.Measurement(
            f"{name}: added p99",
            statistics.median(p99s),
            "ms",
            bound,
            note=spread,
        ),
        report.Measurement(
            f"{name}: both nodes' CPU", per_1000, "s/1000 calls"
        ),
    ]


def _measure_idle_cpu(entry, server):
    time.sleep(IDLE_SETTLE_S)
    measurements = []
    for name, node in (("entry", entry), ("server", server)):
        before_s = cpu_s(node)
        time.sleep(IDLE_S)
        percent = 100 * (cpu_s(node) - before_s) / IDLE_S
        measurements.append(
            report.Measurement(
                f"idle {name} node: CPU",
                percent,
                "% of a core",
                IDLE_CPU_PERCENT_MAX,
            )
        )
    return measurements


def _measure_memory(entry, server):
    measurements = []
    for name, node in (("entry", entry), ("server", server)):
        path = f"/proc/{node.process.pid}/status"
        with open(path, encoding="ascii") as file:
            lines = dict(line.split(":", 1) for line in file)
        used_mb = int(lines["VmRSS"].split()[0]) / 1024
        measurements.append(
            report.Measurement(
                f"memory of {name} node", used_mb, "MB", MEMORY_MB_MAX
            )
        )
    return measurements


class _Load:
    """Sends direct and proxied calls in turn, each at a fixed rate."""

    def __init__(self, direct_url, node_url, key):
        self._direct_url = direct_url
        self._node_url = node_url
        self._key = key

    async def run(self, rate_per_s, count):
        client = backend_client.BackendClient(1_000, 1024 * 1024)
        run = RunLatencies([], [])
        pending = []
        loop = asyncio.get_running_loop()
        start_s = loop.time()
        for number in range(2 * count):
            due_s = start_s + number / (2 * rate_per_s)
            await asyncio.sleep(max(0, due_s - loop.time()))
            proxied = number % 2 == 1
            pending.append(self._send(client, run, proxied))
        await asyncio.gather(*pending)
        return run

    def _send(self, client, run, proxied):
        target = f"/work?ms={BACKEND_MS}"
        url = self._direct_url
        headers = []
        latencies = run.direct_ms
        if proxied:
            target = "/orders" + target
            url = self._node_url
            headers = [http.Header("authorization", f"Bearer {self._key}")]
            latencies = run.proxied_ms
        request = http.HttpRequest("GET", target, headers, b"")
        done = asyncio.get_running_loop().create_future()
        started_s = time.perf_counter()

        def record_latency(future):
            response = future.result().response
            if response is None or response.status != 200:
                raise RuntimeError(f"call failed: {future.result()}")
            latencies.append((time.perf_counter() - started_s) * 1000)
            done.set_result(None)

        client.fetch(url, request, True).add_done_callback(record_latency)
        return done


def _quantile(values, percent):
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, len(ordered) * percent // 100)]


def cpu_s(node):
    """Read the CPU time that a process has used.

    :param node: a ``Node`` or ``Control`` of :mod:`demo.fleet`.
    :returns: seconds.
    """
    with open(f"/proc/{node.process.pid}/stat", encoding="ascii") as file:
        fields = file.read().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / _TICKS_PER_S
