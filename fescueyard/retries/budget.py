"""Budget of repeated sends to a service, shared by the whole fleet.

Load pattern: a service fails or sheds part of its requests while callers press
on, so that every node wants to send again. What the nodes send beyond the
first of each request stays within a ratio of the requests, plus a slack. Each
node earns from its own first sends and gets an equal part of the slack, so
that the sum holds without asking anybody, also through a cut.
"""

import dataclasses

# Share of the allowed ratio and slack that nodes use. Calls of a repeated run
# count as repeats at every service below it, so the levels of a chain add up.
USED_SHARE = 0.25
PART_MIN = 1.0
GOOD_WEIGHT = 0.05
# With fewer good answers than this the service itself fails, and what it
# failed is not worth another server's time.
GOOD_SHARE_MIN = 0.8


@dataclasses.dataclass(slots=True)
class BudgetRow:
    """Repeats that this node may still send to one service.

    :param left: number of sends.
    :param good: share of answers of late that were no failures.
    """

    left: float
    good: float = 1.0


def note_first_send(tables, service, profile):
    """Earn from the first send of a request.

    :param tables: the node's tables.
    :param service: name of the service.
    :param profile: its :class:`~fescueyard.configuration.models.Profile`.
    """
    row = _row(tables, service, profile)
    earned = profile.retry_budget_ratio * USED_SHARE
    row.left = min(_part(tables, profile), row.left + earned)


def note_outcome(tables, service, profile, good):
    """Take in how an attempt ended.

    :param tables: the node's tables.
    :param service: name of the service.
    :param profile: its :class:`~fescueyard.configuration.models.Profile`.
    :param good: whether a backend server answered without a failure.
    """
    row = _row(tables, service, profile)
    row.good += GOOD_WEIGHT * (good - row.good)


def is_failing(tables, service, profile):
    """Say whether the service as a whole fails.

    :param tables: the node's tables.
    :param service: name of the service.
    :param profile: its :class:`~fescueyard.configuration.models.Profile`.
    :returns: bool.
    """
    return _row(tables, service, profile).good < GOOD_SHARE_MIN


def take(tables, service, profile):
    """Take one repeat, if there is one.

    :param tables: the node's tables.
    :param service: name of the service.
    :param profile: its :class:`~fescueyard.configuration.models.Profile`.
    :returns: whether the request may be sent again.
    """
    row = _row(tables, service, profile)
    if row.left < 1:
        return False
    row.left -= 1
    return True


def _row(tables, service, profile):
    budgets = tables.retries.budgets
    row = budgets.get(service)
    if row is None:
        row = BudgetRow(_part(tables, profile))
        budgets[service] = row
    return row


def _part(tables, profile):
    """Size of this node's part of the slack."""
    nodes = max(1, tables.members.nodes_seen_max)
    part = profile.retry_budget_slack * USED_SHARE / nodes
    return max(PART_MIN, part)
