"""What a node goes on granting while it has no way to the fleet's grantor.

Load pattern: an availability zone is cut off, or the control VMs have no
leader, while callers with keys press on. Each node then grants its equal part
of a customer's rate by itself, where the profile allows it. The fleet's
grantor holds the parts of nodes that it can't see back, so that both sides
together stay near the rate.
"""

from fescueyard.configuration import models as configuration_models
from fescueyard.limits import models

# Silence of the grantor after which the node's own part is used.
UNFED_MS = 400
# The most of its part that a node can have saved up.
LEVEL_MAX_S = 1.0
# The fleet's grantor never holds back more than this share of a rate.
HELD_BACK_SHARE_MAX = 0.5


def take(tables, customer, holding, now_ms):
    """Take one token of the node's own part, if that may be used now.

    :param tables: the node's tables.
    :param customer: name of the customer.
    :param holding: :class:`~fescueyard.limits.models.Holding` of the node.
    :param now_ms: the present time.
    :returns: whether there was one.
    """
    if now_ms - holding.fed_at_ms < UNFED_MS:
        return False
    found = tables.configuration.state.find(
        configuration_models.Kind.CUSTOMER, customer
    )
    share = _share(tables.configuration.state)
    if found is None or not share:
        return False
    rate_per_s = found.rate_per_s * share / tables.members.nodes_seen_max
    row = tables.limits.standing.get(customer)
    if row is None:
        row = models.StandingRow(1.0, now_ms)
        tables.limits.standing[customer] = row
    level = row.level + rate_per_s * (now_ms - row.refilled_at_ms) / 1000
    row.level = min(level, max(1.0, rate_per_s * LEVEL_MAX_S))
    row.refilled_at_ms = now_ms
    if row.level < 1:
        return False
    row.level -= 1
    return True


def kept_rate(state, members, rate_per_s):
    """Say how much of a rate the fleet's grantor may grant now.

    :param state: the configuration.
    :param members: the control process's member table.
    :param rate_per_s: rate of the customer.
    :returns: tokens a second.
    """
    share = _share(state)
    missing = members.nodes_seen_max - members.nodes_alive
    if not share or missing <= 0:
        return rate_per_s
    held_back = share * missing / members.nodes_seen_max
    return rate_per_s * (1 - min(HELD_BACK_SHARE_MAX, held_back))


def _share(state):
    """Find the share that the profiles allow; the most cautious one holds."""
    profiles = state.objects[configuration_models.Kind.PROFILE]
    shares = [each.cut_off_rate_share for each in profiles.values()]
    return min(shares, default=0.0)
