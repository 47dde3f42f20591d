"""Share of a backend server's slots at which it gets the most work done.

Load pattern: more work than a server can run, so that all its slots are in
use. Some servers slow down when they are nearly full; a request less at once
then gets more of them done. While the limit binds, a few starts at a time try
another share of the slots. A trial is short and is compared with what ran
before and after it, so that a server that is slow for another reason keeps its
slots.
"""

import dataclasses
import math

SHARES = (1.0, 0.95, 0.9, 0.8)
TRIAL_STARTS = 40
# Starts between two trials: so many, and enough for the last one's to end;
# more once each share was tried a few times.
STARTS_BETWEEN_TRIALS = 120
STARTS_BETWEEN_TRIALS_MAX = 1_000
TRIAL_DRAIN_LIMIT_FACTOR = 2  # times the limit
SAMPLES_MAX = 2_000
BASELINE_WEIGHT = 0.03
# A share is taken over when it promises more than this, and the error of so
# many samples, on top.
GAIN_MIN = 0.03
SINGLE_SAMPLE_ERROR = 1.2
# Of shares that promise about the same, the largest is taken.
GAIN_TOLERANCE = 0.1


@dataclasses.dataclass
class RunningMean:
    """A mean over samples.

    :param count: samples.
    :param mean: their mean.
    """

    count: int = 0
    mean: float = 0.0


@dataclasses.dataclass
class Trial:
    """A trial of another share.

    :param share_index: index of the share in :data:`SHARES`.
    :param latency_ms: mean latency by priority.
    :param before_ms: usual latency by priority when the trial began.
    """

    share_index: int
    latency_ms: dict[int, RunningMean]
    before_ms: dict[int, float]


@dataclasses.dataclass
class ShareSearch:
    """The share of the slots in use, and trials of others.

    :param baseline_index: index in :data:`SHARES` of the share in use.
    :param active_index: index of the share that holds now; another in a trial.
    :param starts_left: starts until the present share changes.
    :param trial: the latest trial, or None.
    :param latency_ratios: of each share, the mean of its latency over the
        usual one.
    :param baseline_ms: mean latency at the share in use by priority.
    """

    baseline_index: int = 0
    active_index: int = 0
    starts_left: int = 2 * STARTS_BETWEEN_TRIALS
    trial: Trial | None = None
    latency_ratios: list[RunningMean] = dataclasses.field(
        default_factory=lambda: [RunningMean() for _ in SHARES]
    )
    baseline_ms: dict[int, RunningMean] = dataclasses.field(
        default_factory=dict
    )


def effective_limit(search, limit):
    """Say how many requests may run at once.

    :param search: :class:`ShareSearch`.
    :param limit: concurrency limit, a whole number.
    :returns: whole number, one at least.
    """
    share = SHARES[search.active_index]
    if share >= 1.0:
        return limit
    # Below the share, so that a knee right at it isn't reached.
    return max(1, math.ceil(share * limit) - 1)


def record_start(search, limit):
    """Count a start that took the last place.

    :param search: :class:`ShareSearch`.
    :param limit: concurrency limit, a whole number.
    :returns: index of the share that the run is a sample of.
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
    """Take in how long a sample ran.

    :param search: :class:`ShareSearch`.
    :param share_index: index of the share that it is a sample of.
    :param priority: its priority; runs of one priority are alike.
    :param latency_ms: time at the backend server.
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
    """Say how much more work a share gets done than the one in use.

    :param search: :class:`ShareSearch`.
    :param share_index: index of the share.
    :returns: part of the work, negative for less.
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
    """Compare the latest trial with what ran before and after it."""
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
    """Try the share that was tried least so far."""
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
    """Find the largest share that gains about as much as the best one."""
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
