"""Rate and burst of a customer, by tokens handed down to where it calls.

Tokens go from the fleet's grantor to one grantor in each zone and from there
to the nodes. Each token is in one place only, and what a holder has becomes
void before its grantor counts on that. A holder reports soon what it has
spent, since the grantor takes it for held until then.
"""

import dataclasses
import hashlib

from fescueyard.core import codes
from fescueyard.core import dispatch
from fescueyard.core import effects
from fescueyard.limits import messages
from fescueyard.limits import models
from fescueyard.routing import membership
from fescueyard.routing import models as routing_models

GRANTORS_PER_ZONE = 4
ASK_TIMEOUT_MS = 300
ASK_PAUSE_MS = 3
NODE_REPORT_MS = 20
ZONE_REPORT_MS = 50
GRANTOR_FAILED_MS = 3_000
FLEET_FAILED_MS = 10_000
WAIT_MAX_MS = 1_500
# A call waits so long for a token when the bucket is empty just now; enough
# for one to come back that another zone did not use.
SHORT_WAIT_MS = 60
NODE_AHEAD_S = 0.1
ZONE_AHEAD_S = 0.2
DEMAND_WINDOW_MS = 1_000
SAFETY_MS = 20
RENEW_MS = 1_000


@dataclasses.dataclass(slots=True)
class RateDecided:
    """Event: a call got its token, or is refused.

    :param code: ``OK`` or the refusal.
    """

    call_id: int
    customer: str
    code: codes.ResultCode
    retry_after_ms: float


@dataclasses.dataclass(slots=True)
class _Draft:
    """A wish, and whether it can't wait for the next report."""

    wish: messages.TokenWish
    urgent: bool


def request(tables, call_id, customer, now_ms):
    """Take a token for a call; a :class:`RateDecided` event follows.

    :param tables: the node's tables.
    :param call_id: the call.
    :param customer: name of its customer.
    :param now_ms: the present time.
    """
    holding = _own_holding(tables, customer, now_ms)
    _note_demand(holding, 1, now_ms)
    waiting = tables.limits.waiting.get(customer, [])
    if not waiting and _spend(holding, now_ms):
        _decide(tables, call_id, customer, codes.OK, 0.0)
    elif _is_cut_off(tables, customer, now_ms):
        _decide(tables, call_id, customer, codes.RATE_UNKNOWN, FLEET_FAILED_MS)
    elif len(waiting) >= _may_wait(holding, now_ms):
        wait_ms = holding.exhausted_until_ms - now_ms
        _decide(tables, call_id, customer, codes.RATE_EXCEEDED, wait_ms)
    else:
        waiting.append(models.WaitingCall(call_id, now_ms))
        tables.limits.waiting[customer] = waiting
        _ask_all(tables, now_ms)


def give_back(tables, event, now_ms):
    """Take back the token of a call that ended meanwhile.

    :param tables: the node's tables.
    :param event: :class:`RateDecided`.
    :param now_ms: the present time.
    """
    if event.code is codes.OK:
        _own_holding(tables, event.customer, now_ms).tokens += 1


def tick(tables, now_ms):
    """Refuse calls that waited too long; ask and report what is due.

    :param tables: the node's tables.
    :param now_ms: the present time.
    """
    _expire_waiting(tables, now_ms)
    _ask_all(tables, now_ms)


def next_due_ms(tables, now_ms):
    """Say when the next tick is needed here.

    :param tables: the node's tables.
    :param now_ms: the present time.
    :returns: a time; infinite when there is nothing to report or ask.
    """
    table = tables.limits
    if table.waiting:
        return now_ms + ASK_PAUSE_MS
    if table.holdings:
        return now_ms + NODE_REPORT_MS
    return float("inf")


def release(tables, now_ms):
    """Hand every token back before a planned stop.

    :param tables: the node's tables.
    :param now_ms: the present time.
    """
    for link in tables.limits.links.values():
        link.asked_at_ms = None
        link.ask_due_ms = now_ms
    _ask_all(tables, now_ms)


@dispatch.receive.register
def _receive_ask(message: messages.TokenAsk, tables, sender, now_ms):
    grants = []
    for wish in message.wishes:
        grants.append(_grant(tables, message, wish, now_ms))
    answer = messages.TokenAnswer(message.question_id, False, True, grants)
    tables.effects.append(effects.SendReply(sender.stream, answer))
    _ask_all(tables, now_ms)


@dispatch.receive.register
def _receive_answer(message: messages.TokenAnswer, tables, sender, now_ms):
    key = models.FLEET_LINK if message.to_fleet else sender.peer_id
    link = tables.limits.links.get(key)
    if link is None or link.asked_at_ms is None:
        return
    if message.question_id != link.question_id:
        return
    asked_at_ms = link.asked_at_ms
    link.asked_at_ms = None
    link.failures = 0
    link.failed_until_ms = float("-inf")
    if not message.in_charge:
        tables.limits.control_turn += 1
        link.ask_due_ms = now_ms + ASK_PAUSE_MS
        return
    link.ask_due_ms = now_ms + ASK_PAUSE_MS
    holdings = tables.limits.holdings
    if message.to_fleet:
        holdings = tables.limits.pools
    for grant in message.grants:
        holding = holdings.get(grant.customer)
        if holding is not None:
            _install(holding, grant, asked_at_ms, now_ms)
    _serve_waiting(tables, now_ms)
    _ask_all(tables, now_ms)


@dispatch.unsent.register
def _take_back_ask(message: messages.TokenAsk, tables, address, now_ms):
    key = models.FLEET_LINK
    if not message.to_fleet:
        key = tables.members.by_address.get(address)
    link = tables.limits.links.get(key)
    if link is None or link.asked_at_ms is None:
        return
    if link.question_id == message.question_id:
        _note_failure(tables, key, link, now_ms)
        _ask_all(tables, now_ms)


def _decide(tables, call_id, customer, code, retry_after_ms):
    tables.events.append(RateDecided(call_id, customer, code, retry_after_ms))


def _is_cut_off(tables, customer, now_ms):
    """Say whether no grantor is left to ask."""
    table = tables.limits
    own_id = tables.members.own.node_id
    if _grantor_of(tables, customer, now_ms) != own_id:
        return False
    return _has_failed(table, models.FLEET_LINK, now_ms)


def _may_wait(holding, now_ms):
    """Say how many calls may wait for a token.

    While the bucket is empty, only as many as tokens should come in a short
    wait; the others get their refusal at once.
    """
    if now_ms >= holding.exhausted_until_ms:
        return float("inf")
    if holding.token_every_ms > SHORT_WAIT_MS:
        return 0
    return SHORT_WAIT_MS // holding.token_every_ms


def _note_demand(holding, count, now_ms):
    elapsed_ms = now_ms - holding.demand_at_ms
    holding.demand_at_ms = now_ms
    kept = max(0.0, 1 - elapsed_ms / DEMAND_WINDOW_MS)
    holding.demand_per_s *= kept
    holding.demand_per_s += count * 1000 / DEMAND_WINDOW_MS


def _present_demand_per_s(holding, now_ms):
    elapsed_ms = now_ms - holding.demand_at_ms
    return holding.demand_per_s * max(0.0, 1 - elapsed_ms / DEMAND_WINDOW_MS)


def _spend(holding, now_ms):
    if now_ms >= holding.expires_at_ms or holding.tokens < 1:
        return False
    holding.tokens -= 1
    return True


def _grantor_of(tables, customer, now_ms):
    """Find the node that grants this node's tokens of a customer.

    That is one of its zone. When it does not answer, this node asks the fleet
    itself; when that does not answer either, a grantor of another zone, which
    may still reach the fleet. That is safe, as every holder is.
    """
    table = tables.limits
    if table.grantors_version != tables.members.version:
        table.grantors.clear()
        table.grantors_version = tables.members.version
    digest = hashlib.blake2b(customer.encode(), digest_size=1).digest()
    shard = digest[0] % GRANTORS_PER_ZONE
    own_id = tables.members.own.node_id
    node_id = _grantor(tables, shard, True)
    if node_id != own_id and not _has_failed(table, node_id, now_ms):
        return node_id
    if not _has_failed(table, models.FLEET_LINK, now_ms):
        return own_id
    node_id = _grantor(tables, shard, False)
    return own_id if _has_failed(table, node_id, now_ms) else node_id


def _has_failed(table, key, now_ms):
    link = table.links.get(key)
    return link is not None and now_ms < link.failed_until_ms


def _grantor(tables, shard, in_own_zone):
    table = tables.limits
    node_id = table.grantors.get((shard, in_own_zone))
    if node_id is None:
        node_id = _choose_grantor(tables.members, shard, in_own_zone)
        table.grantors[shard, in_own_zone] = node_id
    return node_id


def _choose_grantor(members, shard, in_own_zone):
    """Choose by highest hash, so that few customers move with a change."""
    best = (b"", members.own.node_id)
    for member in members.rows.values():
        usable = (
            (member.zone == members.own.zone) == in_own_zone
            and member.role == routing_models.NODE_ROLE
            and membership.is_alive(members, member.node_id)
        )
        if usable:
            text = f"{shard}/{member.node_id}".encode()
            digest = hashlib.blake2b(text, digest_size=8).digest()
            best = max(best, (digest, member.node_id))
    return best[1]


def _own_holding(tables, customer, now_ms):
    """Find the tokens this node spends for its own calls."""
    grantor_id = _grantor_of(tables, customer, now_ms)
    if grantor_id == tables.members.own.node_id:
        return tables.limits.pools.setdefault(customer, models.Holding())
    return tables.limits.holdings.setdefault(customer, models.Holding())


def _grant(tables, ask, wish, now_ms):
    """Grant a node of this zone what the pool has."""
    pool = tables.limits.pools.setdefault(wish.customer, models.Holding())
    _drop_expired(pool, now_ms)
    row = pool.granted.get(ask.holder_id)
    if row is not None and ask.question_id <= row.question_id:
        return messages.TokenGrant(wish.customer, 0, False, 0.0, 0.0, 0.0)
    known = row.tokens if row is not None else 0
    held = max(0, min(wish.held, known))
    pool.tokens += max(0, min(wish.returned, known - held))
    granted = max(0, min(wish.wanted, pool.tokens))
    _note_demand(pool, granted, now_ms)
    # What is asked for calls to come may not starve those that wait.
    granted += max(0, min(wish.ahead, (pool.tokens - granted) // 2))
    pool.tokens -= granted
    missing = max(0, wish.wanted - granted)
    pool.wanted = max(pool.wanted, missing)
    lifetime_ms = max(0.0, pool.expires_at_ms - now_ms - SAFETY_MS)
    pool.granted[ask.holder_id] = models.HeldRow(
        held + granted, pool.expires_at_ms, ask.question_id
    )
    exhausted = missing > 0 and now_ms < pool.exhausted_until_ms
    wait_ms = max(0.0, pool.exhausted_until_ms - now_ms)
    return messages.TokenGrant(
        wish.customer,
        granted,
        exhausted,
        wait_ms,
        pool.token_every_ms,
        lifetime_ms,
    )


def _drop_expired(holding, now_ms):
    if now_ms >= holding.expires_at_ms:
        holding.tokens = 0
    for holder_id, row in list(holding.granted.items()):
        if now_ms >= row.expires_at_ms:
            del holding.granted[holder_id]


def _held(holding):
    granted = sum(row.tokens for row in holding.granted.values())
    return holding.tokens + granted


def _install(holding, grant, asked_at_ms, now_ms):
    expires_at_ms = asked_at_ms + grant.lifetime_ms
    if now_ms < expires_at_ms:
        if now_ms >= holding.expires_at_ms:
            holding.tokens = 0
        holding.tokens += grant.granted
        holding.expires_at_ms = max(holding.expires_at_ms, expires_at_ms)
    holding.reported_held += grant.granted
    holding.wanted = 0
    if grant.exhausted:
        holding.exhausted_until_ms = now_ms + grant.retry_after_ms
        holding.token_every_ms = max(1.0, grant.token_every_ms)
    else:
        holding.exhausted_until_ms = float("-inf")


def _serve_waiting(tables, now_ms):
    table = tables.limits
    for customer in list(table.waiting):
        rows = table.waiting[customer]
        holding = _own_holding(tables, customer, now_ms)
        while rows and _spend(holding, now_ms):
            _decide(tables, rows.pop(0).call_id, customer, codes.OK, 0.0)
        kept = []
        for row in rows:
            waited_ms = now_ms - row.since_ms
            if len(kept) < _may_wait(holding, now_ms) and (
                now_ms >= holding.exhausted_until_ms
                or waited_ms < SHORT_WAIT_MS
            ):
                kept.append(row)
            else:
                wait_ms = holding.exhausted_until_ms - now_ms
                _decide(
                    tables,
                    row.call_id,
                    customer,
                    codes.RATE_EXCEEDED,
                    wait_ms,
                )
        table.waiting[customer] = kept
        if not kept:
            del table.waiting[customer]


def _expire_waiting(tables, now_ms):
    table = tables.limits
    for customer in list(table.waiting):
        kept = []
        for row in table.waiting[customer]:
            if now_ms - row.since_ms < WAIT_MAX_MS:
                kept.append(row)
            else:
                _decide(
                    tables,
                    row.call_id,
                    customer,
                    codes.RATE_UNKNOWN,
                    WAIT_MAX_MS,
                )
        table.waiting[customer] = kept
        if not kept:
            del table.waiting[customer]


def _ask_all(tables, now_ms):
    """Send each grantor the question that is due, one at a time."""
    own_id = tables.members.own.node_id
    for customer in tables.limits.waiting:
        # The grantor may have changed since the calls began to wait.
        _own_holding(tables, customer, now_ms)
    by_grantor = {}
    for customer in tables.limits.holdings:
        grantor_id = _grantor_of(tables, customer, now_ms)
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
    if tables.limits.pools:
        _ask(
            tables,
            models.FLEET_LINK,
            list(tables.limits.pools),
            tables.limits.pools,
            ZONE_AHEAD_S,
            now_ms,
        )


def _ask(tables, key, customers, holdings, ahead_s, now_ms):
    link = tables.limits.links.setdefault(key, models.Link())
    if link.asked_at_ms is not None:
        if now_ms - link.asked_at_ms < ASK_TIMEOUT_MS:
            return
        _note_failure(tables, key, link, now_ms)
    if now_ms < link.ask_due_ms:
        return
    drafts = []
    for customer in customers:
        draft = _draft(tables, customer, holdings[customer], ahead_s, now_ms)
        if draft is not None:
            drafts.append(draft)
    if not drafts:
        _forget_idle(holdings, now_ms)
        return
    if now_ms < link.report_due_ms and not any(row.urgent for row in drafts):
        return
    address = _address(tables, key)
    if address is None:
        return
    link.question_id += 1
    link.asked_at_ms = now_ms
    to_fleet = key == models.FLEET_LINK
    link.report_due_ms = now_ms + (
        ZONE_REPORT_MS if to_fleet else NODE_REPORT_MS
    )
    wishes = []
    for draft in drafts:
        holding = holdings[draft.wish.customer]
        holding.tokens -= draft.wish.returned
        holding.reported_held = draft.wish.held
        wishes.append(draft.wish)
    ask = messages.TokenAsk(
        link.question_id, tables.process_id, to_fleet, wishes
    )
    tables.effects.append(effects.SendMessage(address, ask))


def _draft(tables, customer, holding, ahead_s, now_ms):
    """Draft what to tell and ask of a customer, or None if nothing is due."""
    _drop_expired(holding, now_ms)
    needed = holding.wanted
    if _own_holding(tables, customer, now_ms) is holding:
        waiting = tables.limits.waiting.get(customer, ())
        needed = max(needed, len(waiting))
    ahead = int(_present_demand_per_s(holding, now_ms) * ahead_s)
    if tables.draining:
        needed = ahead = 0
    returned = max(0, holding.tokens - max(needed, 2 * ahead))
    held = _held(holding) - returned
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


def _forget_idle(holdings, now_ms):
    for customer, holding in list(holdings.items()):
        idle = now_ms - holding.demand_at_ms > 10 * DEMAND_WINDOW_MS
        if idle and not _held(holding):
            del holdings[customer]


def _address(tables, key):
    if key == models.FLEET_LINK:
        addresses = tables.control_addresses()
        if not addresses:
            return None
        return addresses[tables.limits.control_turn % len(addresses)]
    member = tables.members.rows.get(key)
    return None if member is None else member.address


def _note_failure(tables, key, link, now_ms):
    """Give up on the open question; what it may have granted is lost."""
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
