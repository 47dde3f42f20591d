"""CPU use of a real control process at several rates of pulls."""

import asyncio
import tempfile
import time

from benchmarks import slopes
from benchmarks import two_hops
from demo import fleet as fleets
from fescueyard.configuration import messages
from fescueyard.core import addresses
from fescueyard.transport import streams

RATES_PER_S = (200, 400, 800)
DURATION_S = 4
STREAM_COUNT = 20
# 2,900 nodes that pull every 0.6 s, over 11 control VMs.
PULLS_PER_S_AT_SCALE = 440


class _Puller:
    """Sends pulls over many streams, as nodes do."""

    def __init__(self, secret):
        self.responses = 0
        self.pools = [
            streams.StreamPool(f"puller-{number}", secret, self)
            for number in range(STREAM_COUNT)
        ]

    def message_received(self, stream, message):
        """Count a response."""
        self.responses += 1

    def message_unsent(self, address, message):
        """Fail, as the control process is reachable throughout."""
        raise RuntimeError(f"message to {address} was not sent")

    def peer_identified(self, address, peer_id):
        """Ignore the peer; the benchmark sends by address."""

    def stream_lost(self, stream):
        """Ignore the loss: streams close when the run ends."""

    async def run(self, address, rate_per_s):
        """Send pulls at a fixed rate."""
        count = rate_per_s * DURATION_S
        start_s = time.monotonic()
        for number in range(count):
            due_s = start_s + number / rate_per_s
            await asyncio.sleep(max(0, due_s - time.monotonic()))
            request = messages.ConfigurationRequest(number, "", 0)
            self.pools[number % STREAM_COUNT].send(address, request)
        await asyncio.sleep(0.3)
        for pool in self.pools:
            pool.close()


def measure():
    """Run the benchmark.

    :returns: list of :class:`~benchmarks.report.Measurement`.
    """
    points = []
    with tempfile.TemporaryDirectory() as folder:
        fleet = fleets.Fleet(folder)
        try:
            control = fleet.add_control("zone-a")
            fleet.configure("orders")
            address = addresses.parse(control.address)
            for rate_per_s in RATES_PER_S:
                puller = _Puller(fleet.secret)
                before_s = two_hops.cpu_s(control)
                asyncio.run(puller.run(address, rate_per_s))
                used_s = two_hops.cpu_s(control) - before_s
                if puller.responses < 0.99 * rate_per_s * DURATION_S:
                    raise RuntimeError(
                        f"only {puller.responses} pulls got a response"
                    )
                points.append((rate_per_s, 100 * used_s / DURATION_S))
        finally:
            fleet.kill()
    return [
        slopes.extrapolate(
            "control process: CPU over pulls a second",
            points,
            "% of a core",
            PULLS_PER_S_AT_SCALE,
        )
    ]
