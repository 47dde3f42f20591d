"""Counters and latency histograms of a node."""

import collections
import dataclasses

from hdrh import histogram

LATENCY_MIN_US = 1
LATENCY_MAX_US = 3_600_000_000
SIGNIFICANT_DIGITS = 2


def _new_histogram():
    return histogram.HdrHistogram(
        LATENCY_MIN_US, LATENCY_MAX_US, SIGNIFICANT_DIGITS
    )


@dataclasses.dataclass
class Summary:
    """Percentiles of a histogram, in ms."""

    count: int
    p50_ms: float
    p99_ms: float
    max_ms: float


class Metrics:
    """All measurements of a node."""

    def __init__(self):
        self.counters = collections.Counter()
        self.call_latency = _new_histogram()

    def count(self, name):
        """Increment a counter.

        :param name: the counter.
        """
        self.counters[name] += 1

    def record_call_latency(self, latency_ms):
        """Record the time that a call took at this node.

        :param latency_ms: from the complete request to the complete response.
        """
        self.call_latency.record_value(max(1, int(latency_ms * 1000)))

    def summarise(self):
        """Summarise the call latencies.

        :returns: :class:`Summary`.
        """
        latencies = self.call_latency
        return Summary(
            latencies.get_total_count(),
            latencies.get_value_at_percentile(50) / 1000,
            latencies.get_value_at_percentile(99) / 1000,
            latencies.get_max_value() / 1000,
        )
