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
USUAL_STARTS = 120
USUAL_STARTS_MAX = 1_000
ENDED_AFTER = 2  # times the limit
COUNT_MAX = 2_000
USUAL_WEIGHT = 0.03
# A share is taken over when it promises more than this, and the error of so
# many samples, on top.
GAIN_MIN = 0.03
ERROR_OF_ONE = 1.2
# Of shares that promise about the same, the largest is taken.
SAME_GAIN = 0.1


@dataclasses.dataclass
class MeanRow:
    """A mean over samples.

    :param count: samples.
    :param mean: their mean.
    """

    count: int = 0
    mean: float = 0.0


@dataclasses.dataclass
class TrialRow:
    """A trial of another share.

    :param index: index of the share in :data:`SHARES`.
    :param latency_ms: mean latency by priority.
    :param before_ms: usual latency by priority when the trial began.
    """

    index: int
    latency_ms: dict[int, MeanRow]
    before_ms: dict[int, float]


@dataclasses.dataclass
class KneeRow:
    """The share of the slots in use, and trials of others.

    :param chosen: index in :data:`SHARES` of the share in use.
    :param present: index of the share that holds now; another in a trial.
    :param starts_left: starts until the present share changes.
    :param trial: the latest trial, or None.
    :param ratios: of each share, the mean of its latency over the usual one.
    :param usual_ms: mean latency at the share in use by priority.
    """

    chosen: int = 0
    present: int = 0
    starts_left: int = 2 * USUAL_STARTS
    trial: TrialRow | None = None
    ratios: list[MeanRow] = dataclasses.field(
        default_factory=lambda: [MeanRow() for _ in SHARES]
    )
    usual_ms: dict[int, MeanRow] = dataclasses.field(default_factory=dict)


def allowed(row, limit):
    """Say how many requests may run at once.

    :param row: :class:`KneeRow`.
    :param limit: concurrency limit, a whole number.
    :returns: whole number, one at least.
    """
    share = SHARES[row.present]
    if share >= 1.0:
        return limit
    # Below the share, so that a knee right at it isn't reached.
    return max(1, math.ceil(share * limit) - 1)


def note_start(row, limit):
    """Count a start that took the last place.

    :param row: :class:`KneeRow`.
    :param limit: concurrency limit, a whole number.
    :returns: index of the share that the run is a sample of.
    """
    sampled = row.present
    row.starts_left -= 1
    if row.starts_left > 0:
        return sampled
    if row.present != row.chosen:
        row.present = row.chosen
        row.starts_left = max(_usual_starts(row), ENDED_AFTER * limit)
    else:
        _judge_trial(row)
        if not _take_better(row):
            _begin_trial(row)
    return sampled


def note_end(row, sampled, priority, latency_ms):
    """Take in how long a sample ran.

    :param row: :class:`KneeRow`.
    :param sampled: index of the share that it is a sample of.
    :param priority: its priority; runs of one priority are alike.
    :param latency_ms: time at the backend server.
    """
    if sampled == row.chosen:
        usual = row.usual_ms.setdefault(priority, MeanRow())
        _add(usual, latency_ms, USUAL_WEIGHT)
    elif row.trial is not None and sampled == row.trial.index:
        seen = row.trial.latency_ms.setdefault(priority, MeanRow())
        _add(seen, latency_ms)


def gain(row, index):
    """Say how much more work a share gets done than the one in use.

    :param row: :class:`KneeRow`.
    :param index: index of the share.
    :returns: part of the work, negative for less.
    """
    ratio = max(0.01, row.ratios[index].mean)
    return SHARES[index] / SHARES[row.chosen] / ratio - 1


def _usual_starts(row):
    tried = min(
        ratios.count
        for index, ratios in enumerate(row.ratios)
        if index != row.chosen
    )
    rounds = tried // TRIAL_STARTS
    return min(USUAL_STARTS_MAX, USUAL_STARTS * (1 + rounds))


def _judge_trial(row):
    """Compare the latest trial with what ran before and after it."""
    trial, row.trial = row.trial, None
    if trial is None:
        return
    ratios = row.ratios[trial.index]
    for priority, seen in trial.latency_ms.items():
        before_ms = trial.before_ms.get(priority)
        if before_ms is None:
            continue
        usual_ms = min(before_ms, row.usual_ms[priority].mean)
        total = ratios.count + seen.count
        ratio = seen.mean / max(0.01, usual_ms)
        ratios.mean += (ratio - ratios.mean) * seen.count / total
        ratios.count = min(COUNT_MAX, total)


def _take_better(row):
    better = _better_share(row)
    if better is None:
        return False
    row.chosen = row.present = better
    row.starts_left = 2 * USUAL_STARTS
    row.ratios = [MeanRow() for _ in SHARES]
    row.usual_ms = {}
    return True


def _begin_trial(row):
    """Try the share that was tried least so far."""
    others = [index for index in range(len(SHARES)) if index != row.chosen]
    index = min(others, key=lambda each: row.ratios[each].count)
    before_ms = {name: each.mean for name, each in row.usual_ms.items()}
    row.trial = TrialRow(index, {}, before_ms)
    row.present = index
    row.starts_left = TRIAL_STARTS


def _better_share(row):
    """Find the largest share that gains about as much as the best one."""
    gains = {}
    for index, ratios in enumerate(row.ratios):
        if ratios.count >= TRIAL_STARTS / 2:
            error = ERROR_OF_ONE / math.sqrt(ratios.count)
            if gain(row, index) >= GAIN_MIN + error:
                gains[index] = gain(row, index)
    if not gains:
        return None
    wanted = max(gains.values()) - SAME_GAIN
    return min(index for index in gains if gains[index] >= wanted)


def _add(row, value, weight_min=0.0):
    row.count += 1
    weight = max(weight_min, 1 / row.count)
    row.mean += weight * (value - row.mean)
