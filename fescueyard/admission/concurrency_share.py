"""Search for the share of a backend server's slots with the best throughput.

Load pattern: more work than a server can run, so that all its slots are in
use. Some servers slow down when they are nearly full (the knee of their load
curve); fewer concurrent requests then give a higher throughput. While the
limit is reached, a few starts at a time run at another share of the slots. A
trial is short and is compared with the latency before and after it, so that a
server that is slow for another reason keeps its slots.
"""

import dataclasses
import math

from fescueyard.core import dumps

SHARES = (1.0, 0.95, 0.9, 0.8)
TRIAL_STARTS = 40
# Starts between two trials: at least this many, and enough for the runs of the
# last trial to complete. The number grows up to the maximum as each share is
# tried more often.
STARTS_BETWEEN_TRIALS = 120
STARTS_BETWEEN_TRIALS_MAX = 1_000
TRIAL_DRAIN_LIMIT_FACTOR = 2  # starts per unit of the concurrency limit
SAMPLES_MAX = 2_000
BASELINE_WEIGHT = 0.03
# A share is adopted when its estimated throughput gain is at least this value
# plus the error of the mean, which is that of a single sample divided by the
# square root of the number of samples.
GAIN_MIN = 0.03
SINGLE_SAMPLE_ERROR = 1.2
# Of the shares whose gain is within this of the best, the largest is adopted.
GAIN_TOLERANCE = 0.1


@dataclasses.dataclass
class RunningMean:
    """A mean over samples.

    :param count: number of samples.
    :param mean: their mean.
    """

    count: int = 0
    mean: float = 0.0


@dataclasses.dataclass
class Trial:
    """A trial of a share other than the baseline.

    :param share_index: index of the share in :data:`SHARES`.
    :param latency_ms: mean latency by priority during the trial, in ms.
    :param before_ms: baseline latency by priority when the trial started, in
        ms.
    """

    share_index: int = dataclasses.field(metadata=dumps.written_as("index"))
    latency_ms: dict[int, RunningMean]
    before_ms: dict[int, float]


@dataclasses.dataclass
class ShareSearch:
    """The adopted share of the slots, and trials of other shares.

    :param baseline_index: index in :data:`SHARES` of the adopted share.
    :param active_index: index of the share that applies now; it differs from
        the baseline during a trial.
    :param starts_left: starts until the active share changes.
    :param trial: the latest trial, or None.
    :param latency_ratios: for each share, the mean ratio of its latency to
        the baseline latency.
    :param baseline_ms: mean latency at the adopted share by priority, in ms.
    """

    baseline_index: int = dataclasses.field(
        default=0, metadata=dumps.written_as("chosen")
    )
    active_index: int = dataclasses.field(
        default=0, metadata=dumps.written_as("present")
    )
    starts_left: int = 2 * STARTS_BETWEEN_TRIALS
    trial: Trial | None = None
    latency_ratios: list[RunningMean] = dataclasses.field(
        default_factory=lambda: [RunningMean() for _ in SHARES],
        metadata=dumps.written_as("ratios"),
    )
    baseline_ms: dict[int, RunningMean] = dataclasses.field(
        default_factory=dict, metadata=dumps.written_as("usual_ms")
    )


def effective_limit(search, limit):
    """Return the concurrency limit at the active share.

    :param search: :class:`ShareSearch`.
    :param limit: concurrency limit, a whole number.
    :returns: whole number, at least one.
    """
    share = SHARES[search.active_index]
    if share >= 1.0:
        return limit
    # Stay below the share, so that a knee exactly at it is not reached.
    return max(1, math.ceil(share * limit) - 1)


def record_start(search, limit):
    """Record the start of a run that reached the limit.

    :param search: :class:`ShareSearch`.
    :param limit: concurrency limit, a whole number.
    :returns: index of the share that the run's latency is a sample of.
    """
    share_index = search.active_index
    search.starts_left -= 1
    if search.starts_left > 0:
        return share_index
    if search.active_index != search.baseline_index:
        search.active_index = search.baseline_index
        search.starts_left = max(
            _starts_between_trials(search), TRIAL_DRAIN_LIMIT_FACTOR * limit
        )
    else:
        _evaluate_trial(search)
        if not _adopt_better_share(search):
            _start_trial(search)
    return share_index


def record_completion(search, share_index, priority, latency_ms):
    """Record the latency of a sampled run.

    :param search: :class:`ShareSearch`.
    :param share_index: index of the share that it is a sample of.
    :param priority: priority of the run; latencies are compared only between
        runs of the same priority.
    :param latency_ms: time at the backend server, in ms.
    """
    if share_index == search.baseline_index:
        baseline = search.baseline_ms.setdefault(priority, RunningMean())
        _add_sample(baseline, latency_ms, BASELINE_WEIGHT)
    elif search.trial is not None and share_index == search.trial.share_index:
        trial_mean = search.trial.latency_ms.setdefault(
            priority, RunningMean()
        )
        _add_sample(trial_mean, latency_ms)


def throughput_gain(search, share_index):
    """Estimate the throughput gain of a share over the adopted one.

    :param search: :class:`ShareSearch`.
    :param share_index: index of the share.
    :returns: fraction of the present throughput; negative for a loss.
    """
    ratio = max(0.01, search.latency_ratios[share_index].mean)
    return SHARES[share_index] / SHARES[search.baseline_index] / ratio - 1


def _starts_between_trials(search):
    samples_min = min(
        ratio.count
        for index, ratio in enumerate(search.latency_ratios)
        if index != search.baseline_index
    )
    rounds = samples_min // TRIAL_STARTS
    return min(STARTS_BETWEEN_TRIALS_MAX, STARTS_BETWEEN_TRIALS * (1 + rounds))


def _evaluate_trial(search):
    """Compare the latest trial with the latency before and after it."""
    trial, search.trial = search.trial, None
    if trial is None:
        return
    mean_ratio = search.latency_ratios[trial.share_index]
    for priority, trial_mean in trial.latency_ms.items():
        before_ms = trial.before_ms.get(priority)
        if before_ms is None:
            continue
        baseline_ms = min(before_ms, search.baseline_ms[priority].mean)
        total_count = mean_ratio.count + trial_mean.count
        ratio = trial_mean.mean / max(0.01, baseline_ms)
        mean_ratio.mean += (
            (ratio - mean_ratio.mean) * trial_mean.count / total_count
        )
        mean_ratio.count = min(SAMPLES_MAX, total_count)


def _adopt_better_share(search):
    better_index = _find_better_share(search)
    if better_index is None:
        return False
    search.baseline_index = search.active_index = better_index
    search.starts_left = 2 * STARTS_BETWEEN_TRIALS
    search.latency_ratios = [RunningMean() for _ in SHARES]
    search.baseline_ms = {}
    return True


def _start_trial(search):
    """Start a trial of the share with the fewest samples."""
    other_indexes = [
        index for index in range(len(SHARES)) if index != search.baseline_index
    ]
    index = min(
        other_indexes, key=lambda other: search.latency_ratios[other].count
    )
    before_ms = {
        priority: baseline.mean
        for priority, baseline in search.baseline_ms.items()
    }
    search.trial = Trial(index, {}, before_ms)
    search.active_index = index
    search.starts_left = TRIAL_STARTS


def _find_better_share(search):
    """Return the largest share whose gain is about that of the best one."""
    gains = {}
    for index, ratio in enumerate(search.latency_ratios):
        if ratio.count >= TRIAL_STARTS / 2:
            error = SINGLE_SAMPLE_ERROR / math.sqrt(ratio.count)
            if throughput_gain(search, index) >= GAIN_MIN + error:
                gains[index] = throughput_gain(search, index)
    if not gains:
        return None
    gain_needed = max(gains.values()) - GAIN_TOLERANCE
    return min(index for index in gains if gains[index] >= gain_needed)


def _add_sample(running_mean, value, weight_min=0.0):
    running_mean.count += 1
    weight = max(weight_min, 1 / running_mean.count)
    running_mean.mean += weight * (value - running_mean.mean)
