"""Fleet-wide retry budget of a service for routed requests.

Load pattern: a service fails or sheds part of its requests while callers keep
sending, so that every node wants to retry. Retries, that is attempts beyond
the first of each request, stay within a ratio of the requests, plus a slack.
Each node earns from its own first attempts and gets an equal part of the
slack, so that the sum holds without coordination, also while nodes are cut
off.
"""

import dataclasses

from fescueyard.core import dumps

# Share of the allowed ratio and slack that nodes use. Calls made by a retried
# run count as retries at every service below it, so the levels of a chain add
# up.
USED_BUDGET_SHARE = 0.25
NODE_SLACK_MIN = 1.0
SUCCESS_WEIGHT = 0.05
# With a lower share of successful responses the service itself is failing, and
# a retry would only cost another server's time.
SUCCESS_SHARE_MIN = 0.8


@dataclasses.dataclass(slots=True)
class ServiceBudget:
    """Retry budget of this node for one service.

    :param retries_left: retries that may still be sent.
    :param success_share: share of recent responses that were no failures.
    """

    retries_left: float = dataclasses.field(metadata=dumps.written_as("left"))
    success_share: float = dataclasses.field(
        default=1.0, metadata=dumps.written_as("good")
    )


def record_first_attempt(tables, service, profile):
    """Add to the budget for the first attempt of a request.

    :param tables: the node's tables.
    :param service: name of the service.
    :param profile: its :class:`~fescueyard.configuration.models.Profile`.
    """
    budget = _service_budget(tables, service, profile)
    earned = profile.retry_budget_ratio * USED_BUDGET_SHARE
    budget.retries_left = min(
        _node_slack(tables, profile), budget.retries_left + earned
    )


def record_outcome(tables, service, profile, is_success):
    """Record the outcome of an attempt.

    :param tables: the node's tables.
    :param service: name of the service.
    :param profile: its :class:`~fescueyard.configuration.models.Profile`.
    :param is_success: whether a backend server responded without a failure.
    """
    budget = _service_budget(tables, service, profile)
    budget.success_share += SUCCESS_WEIGHT * (
        is_success - budget.success_share
    )


def is_failing(tables, service, profile):
    """Return whether the service as a whole is failing.

    :param tables: the node's tables.
    :param service: name of the service.
    :param profile: its :class:`~fescueyard.configuration.models.Profile`.
    :returns: bool.
    """
    return (
        _service_budget(tables, service, profile).success_share
        < SUCCESS_SHARE_MIN
    )


def take_retry(tables, service, profile):
    """Take one retry from the budget, if there is one.

    :param tables: the node's tables.
    :param service: name of the service.
    :param profile: its :class:`~fescueyard.configuration.models.Profile`.
    :returns: whether the request may be retried.
    """
    budget = _service_budget(tables, service, profile)
    if budget.retries_left < 1:
        return False
    budget.retries_left -= 1
    return True


def _service_budget(tables, service, profile):
    service_budgets = tables.retries.service_budgets
    budget = service_budgets.get(service)
    if budget is None:
        budget = ServiceBudget(_node_slack(tables, profile))
        service_budgets[service] = budget
    return budget


def _node_slack(tables, profile):
    """Return this node's part of the slack."""
    nodes = max(1, tables.members.nodes_seen_max)
    slack = profile.retry_budget_slack * USED_BUDGET_SHARE / nodes
    return max(NODE_SLACK_MIN, slack)
