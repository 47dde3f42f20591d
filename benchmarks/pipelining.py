"""Several requests of one caller on one connection.

A caller keeps one or eight requests open on a connection, in turn and in one
run, so that other load on the machine affects both. The ratio shows what
serving them concurrently is worth; the time of a single one shows that it
costs nothing where it isn't used.
"""

import asyncio
import statistics
import tempfile
import time

from benchmarks import report
from demo import fleet as fleets

BACKEND_MS = 5
OPEN_REQUESTS = 8
CALLS = 400
REPEATS = 3
# Eight open requests are to be served at least half as fast as eight callers.
SPEEDUP_MIN = OPEN_REQUESTS / 2


def measure():
    """Run the benchmark.

    :returns: list of :class:`~benchmarks.report.Measurement`.
    """
    with tempfile.TemporaryDirectory() as folder:
        fleet = fleets.Fleet(folder)
        try:
            fleet.add_control("zone-a")
            entry = fleet.add_node("zone-a")
            fleet.add_node("zone-a", "orders", slots=200)
            fleet.configure("orders")
            fleet.await_ready("orders", *fleet.keys.values())
            return _measure_speedup(entry, fleet.keys["board"])
        finally:
            fleet.kill()


def _measure_speedup(entry, key):
    single_s = []
    pipelined_s = []
    asyncio.run(_call(entry, key, 1, CALLS))
    for _ in range(REPEATS):
        single_s.append(asyncio.run(_call(entry, key, 1, CALLS)))
        pipelined_s.append(
            asyncio.run(_call(entry, key, OPEN_REQUESTS, CALLS))
        )
    ratios = [
        single / pipelined for single, pipelined in zip(single_s, pipelined_s)
    ]
    single_ms = statistics.median(single_s) / CALLS * 1000
    return [
        report.Measurement(
            "one open request: time of a call", single_ms, "ms"
        ),
        report.Measurement(
            f"{OPEN_REQUESTS} open requests: speedup",
            statistics.median(ratios),
            "x",
            lower_bound=SPEEDUP_MIN,
            note=f"runs {', '.join(f'{ratio:.2f}' for ratio in ratios)}",
        ),
    ]


async def _call(entry, key, open_requests, count):
    """Send requests on one connection with a number of them open.

    :returns: seconds that all took together.
    """
    host, _, port = entry.caller_address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    request = (
        f"GET /orders/work?ms={BACKEND_MS} HTTP/1.1\r\nHost: a\r\n"
        f"Authorization: Bearer {key}\r\n\r\n"
    ).encode()
    started_s = time.perf_counter()
    writer.write(request * open_requests)
    sent = open_requests
    for _ in range(count):
        await _read_response(reader)
        if sent < count:
            writer.write(request)
            sent += 1
    elapsed_s = time.perf_counter() - started_s
    writer.close()
    return elapsed_s


async def _read_response(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    if not head.startswith(b"HTTP/1.1 200 "):
        raise RuntimeError(f"call failed: {head!r}")
    length = head.partition(b"content-length: ")[2].partition(b"\r\n")[0]
    await reader.readexactly(int(length))
