"""Questions to grantors: one at a time to each, for all customers."""

import dataclasses

from fescueyard.core import effects
from fescueyard.core import logs
from fescueyard.limits import grantors
from fescueyard.limits import holdings
from fescueyard.limits import messages
from fescueyard.limits import models
from fescueyard.limits import standing

LOG = logs.PartLogger("limits")

ASK_TIMEOUT_MS = 300
ASK_PAUSE_MS = 3
NODE_REPORT_MS = 60
ZONE_REPORT_MS = 50
GRANTOR_FAILED_MS = 3_000
FLEET_FAILED_MS = 10_000
NODE_AHEAD_S = 0.15
ZONE_AHEAD_S = 0.2
RENEW_MS = 1_000


@dataclasses.dataclass(slots=True)
class _Draft:
    """A wish, and whether it can't wait for the next report."""

    wish: messages.TokenWish
    urgent: bool


def ask_all(tables, now_ms):
    """Send each grantor the question that is due, one at a time.

    :param tables: the node's tables.
    :param now_ms: the present time.
    """
    own_id = tables.members.own.node_id
    for customer in tables.limits.waiting:
        # The grantor may have changed since the calls began to wait.
        grantors.own_holding(tables, customer, now_ms)
    by_grantor = {}
    for customer in tables.limits.holdings:
        grantor_id = grantors.grantor_of(tables, customer, now_ms)
        if grantor_id != own_id:
            by_grantor.setdefault(grantor_id, []).append(customer)
    for grantor_id, customers in by_grantor.items():
        _ask(
            tables,
            grantor_id,
            customers,
            tables.limits.holdings,
            NODE_AHEAD_S,
            now_ms,
        )
    if tables.limits.pools or _is_heartbeat_due(tables, now_ms):
        _ask(
            tables,
            models.FLEET_LINK,
            list(tables.limits.pools),
            tables.limits.pools,
            ZONE_AHEAD_S,
            now_ms,
        )


def note_failure(tables, key, link, now_ms):
    """Give up on the open question; what it may have granted is lost.

    :param tables: the node's tables.
    :param key: key of the link.
    :param link: :class:`~fescueyard.limits.models.Link`.
    :param now_ms: the present time.
    """
    LOG.info(
        "grantor_silent",
        grantor=key,
        asked_ms_ago=round(now_ms - link.asked_at_ms),
        failures=link.failures + 1,
    )
    link.asked_at_ms = None
    link.ask_due_ms = now_ms + ASK_PAUSE_MS
    link.failures += 1
    if key != models.FLEET_LINK:
        link.failed_until_ms = now_ms + GRANTOR_FAILED_MS
        return
    tables.limits.control_turn += 1
    # Each control VM is tried before the fleet counts as out of reach.
    if link.failures >= len(tables.control_addresses()):
        link.failed_until_ms = now_ms + FLEET_FAILED_MS


def note_answer(key, link, in_charge, now_ms):
    """Take in that a grantor answered.

    :param key: key of the link.
    :param link: :class:`~fescueyard.limits.models.Link`.
    :param in_charge: whether it grants.
    :param now_ms: the present time.
    """
    if link.failures and in_charge:
        LOG.info("grantor_back", grantor=key, failures=link.failures)
    link.asked_at_ms = None
    link.failures = 0
    link.failed_until_ms = float("-inf")
    link.ask_due_ms = now_ms + ASK_PAUSE_MS


def _ask(tables, key, customers, rows, ahead_s, now_ms):
    link = tables.limits.links.setdefault(key, models.Link())
    if link.asked_at_ms is not None:
        if now_ms - link.asked_at_ms < ASK_TIMEOUT_MS:
            return
        note_failure(tables, key, link, now_ms)
    if now_ms < link.ask_due_ms:
        return
    drafts = []
    for customer in customers:
        draft = _draft(tables, customer, rows[customer], ahead_s, now_ms)
        if draft is not None:
            drafts.append(draft)
    to_fleet = key == models.FLEET_LINK
    heartbeat = to_fleet and _is_heartbeat_due(tables, now_ms)
    if not drafts:
        _forget_idle(customers, rows, now_ms)
        if not heartbeat:
            return
    urgent = heartbeat or any(row.urgent for row in drafts)
    if now_ms < link.report_due_ms and not urgent:
        return
    address = _address(tables, key)
    if address is None:
        return
    link.question_id += 1
    link.asked_at_ms = now_ms
    link.report_due_ms = now_ms + (
        ZONE_REPORT_MS if to_fleet else NODE_REPORT_MS
    )
    wishes = []
    for draft in drafts:
        holding = rows[draft.wish.customer]
        holding.tokens -= draft.wish.returned
        holding.reported_held = draft.wish.held
        wishes.append(draft.wish)
    ask = messages.TokenAsk(
        link.question_id, tables.process_id, to_fleet, wishes
    )
    if to_fleet:
        promise = tables.limits.promise
        promise.told_at_ms = now_ms
        ask.zone = tables.members.own.zone
        ask.answered_id = promise.answered_id
        ask.parts = standing.claims(tables, grantors.own_shards(tables))
    tables.effects.append(effects.SendMessage(address, ask))


def _draft(tables, customer, holding, ahead_s, now_ms):
    """Draft what to tell and ask of a customer, or None if nothing is due."""
    holdings.drop_expired(holding, now_ms)
    needed = holding.wanted
    if grantors.own_holding(tables, customer, now_ms) is holding:
        waiting = tables.limits.waiting.get(customer, ())
        needed = max(needed, len(waiting))
    ahead = int(holdings.present_demand_per_s(holding, now_ms) * ahead_s)
    if tables.refuses_callers(now_ms):
        needed = ahead = 0
    returned = max(0, holding.tokens - max(needed, 2 * ahead))
    held = holdings.held(holding) - returned
    wanted = extra = 0
    if now_ms >= holding.exhausted_until_ms:
        wanted = max(0, needed - holding.tokens)
        if wanted or 2 * holding.tokens < ahead:
            extra = max(0, ahead - max(needed, holding.tokens))
    renew = held > 0 and holding.expires_at_ms - now_ms < RENEW_MS
    reports = returned > 0 or held != holding.reported_held
    if not (wanted or extra or renew or reports):
        return None
    wish = messages.TokenWish(customer, held, returned, wanted, extra)
    return _Draft(wish, wanted + extra > 0 or renew)


def _is_heartbeat_due(tables, now_ms):
    own_shards = grantors.own_shards(tables)
    return standing.is_heartbeat_due(tables, own_shards, now_ms)


def _forget_idle(customers, rows, now_ms):
    for customer in customers:
        holding = rows[customer]
        idle = now_ms - holding.demand_at_ms > 10 * holdings.DEMAND_WINDOW_MS
        if idle and not holdings.held(holding):
            del rows[customer]


def _address(tables, key):
    if key == models.FLEET_LINK:
        addresses = tables.control_addresses()
        if not addresses:
            return None
        return addresses[tables.limits.control_turn % len(addresses)]
    member = tables.members.rows.get(key)
    return None if member is None else member.address
