"""Share of the recent runs at this VM's backend server that failed."""

import dataclasses

# Half-life of a run in the counts.
RUN_HALF_LIFE_MS = 2_000
# Successful runs that are added to the counted ones, so that a single failure
# of a server with little work weighs little.
PRIOR_RUNS = 8.0


@dataclasses.dataclass(slots=True)
class OutcomeCounts:
    """Recent runs and failed runs; both decay with time.

    :param counted_at_ms: time as of which the counts hold.
    """

    runs: float = 0.0
    failed: float = 0.0
    counted_at_ms: float = 0.0


def record(counts, failed, now_ms):
    """Count a run.

    :param counts: :class:`OutcomeCounts`.
    :param failed: whether the backend server failed it.
    :param now_ms: the present time.
    """
    _decay(counts, now_ms)
    counts.runs += 1
    counts.failed += failed


def failure_share(counts, now_ms):
    """Return the share of the recent runs that failed.

    :param counts: :class:`OutcomeCounts`.
    :param now_ms: the present time.
    :returns: 0 to 1.
    """
    _decay(counts, now_ms)
    return counts.failed / (counts.runs + PRIOR_RUNS)


def _decay(counts, now_ms):
    factor = 0.5 ** ((now_ms - counts.counted_at_ms) / RUN_HALF_LIFE_MS)
    counts.runs *= factor
    counts.failed *= factor
    counts.counted_at_ms = now_ms
