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


def effective_limit(row, limit):
    """Say how many requests may run at once.

    :param row: :class:`ShareSearch`.
    :param limit: concurrency limit, a whole number.
    :returns: whole number, one at least.
    """
    share = SHARES[row.active_index]
    if share >= 1.0:
        return limit
    # Below the share, so that a knee right at it isn't reached.
    return max(1, math.ceil(share * limit) - 1)


def record_start(row, limit):
    """Count a start that took the last place.

    :param row: :class:`ShareSearch`.
    :param limit: concurrency limit, a whole number.
    :returns: index of the share that the run is a sample of.
    """
    sampled = row.active_index
    row.starts_left -= 1
    if row.starts_left > 0:
        return sampled
    if row.active_index != row.baseline_index:
        row.active_index = row.baseline_index
        row.starts_left = max(
            _starts_between_trials(row), TRIAL_DRAIN_LIMIT_FACTOR * limit
        )
    else:
        _evaluate_trial(row)
        if not _adopt_better_share(row):
            _start_trial(row)
    return sampled


def record_completion(row, sampled, priority, latency_ms):
    """Take in how long a sample ran.

    :param row: :class:`ShareSearch`.
    :param sampled: index of the share that it is a sample of.
    :param priority: its priority; runs of one priority are alike.
    :param latency_ms: time at the backend server.
    """
    if sampled == row.baseline_index:
        usual = row.baseline_ms.setdefault(priority, RunningMean())
        _add_sample(usual, latency_ms, BASELINE_WEIGHT)
    elif row.trial is not None and sampled == row.trial.share_index:
        seen = row.trial.latency_ms.setdefault(priority, RunningMean())
        _add_sample(seen, latency_ms)


def throughput_gain(row, index):
    """Say how much more work a share gets done than the one in use.

    :param row: :class:`ShareSearch`.
    :param index: index of the share.
    :returns: part of the work, negative for less.
    """
    ratio = max(0.01, row.latency_ratios[index].mean)
    return SHARES[index] / SHARES[row.baseline_index] / ratio - 1


def _starts_between_trials(row):
    tried = min(
        ratios.count
        for index, ratios in enumerate(row.latency_ratios)
        if index != row.baseline_index
    )
    rounds = tried // TRIAL_STARTS
    return min(STARTS_BETWEEN_TRIALS_MAX, STARTS_BETWEEN_TRIALS * (1 + rounds))


def _evaluate_trial(row):
    """Compare the latest trial with what ran before and after it."""
    trial, row.trial = row.trial, None
    if trial is None:
        return
    ratios = row.latency_ratios[trial.share_index]
    for priority, seen in trial.latency_ms.items():
        before_ms = trial.before_ms.get(priority)
        if before_ms is None:
            continue
        usual_ms = min(before_ms, row.baseline_ms[priority].mean)
        total = ratios.count + seen.count
        ratio = seen.mean / max(0.01, usual_ms)
        ratios.mean += (ratio - ratios.mean) * seen.count / total
        ratios.count = min(SAMPLES_MAX, total)


def _adopt_better_share(row):
    better = _find_better_share(row)
    if better is None:
        return False
    row.baseline_index = row.active_index = better
    row.starts_left = 2 * STARTS_BETWEEN_TRIALS
    row.latency_ratios = [RunningMean() for _ in SHARES]
    row.baseline_ms = {}
    return True


def _start_trial(row):
    """Try the share that was tried least so far."""
    others = [
        index for index in range(len(SHARES)) if index != row.baseline_index
    ]
    index = min(others, key=lambda each: row.latency_ratios[each].count)
    before_ms = {name: each.mean for name, each in row.baseline_ms.items()}
    row.trial = Trial(index, {}, before_ms)
    row.active_index = index
    row.starts_left = TRIAL_STARTS


def _find_better_share(row):
    """Find the largest share that gains about as much as the best one."""
    gains = {}
    for index, ratios in enumerate(row.latency_ratios):
        if ratios.count >= TRIAL_STARTS / 2:
            error = SINGLE_SAMPLE_ERROR / math.sqrt(ratios.count)
            if throughput_gain(row, index) >= GAIN_MIN + error:
                gains[index] = throughput_gain(row, index)
    if not gains:
        return None
    wanted = max(gains.values()) - GAIN_TOLERANCE
    return min(index for index in gains if gains[index] >= wanted)


def _add_sample(row, value, weight_min=0.0):
    row.count += 1
    weight = max(weight_min, 1 / row.count)
    row.mean += weight * (value - row.mean)
