"""Rate and burst of a customer, by tokens handed down to where it calls.

Tokens go from the fleet's grantor to one grantor in each zone and from there
to the nodes. Each token is in one place only, and what a holder has becomes
void before its grantor counts on that. A holder reports soon what it has
spent, since the grantor takes it for held until then.
"""

from fescueyard.configuration import models as configuration_models
from fescueyard.core import codes
from fescueyard.core import dispatch
from fescueyard.core import effects
from fescueyard.limits import asking
from fescueyard.limits import decisions
from fescueyard.limits import grantors
from fescueyard.limits import holdings
from fescueyard.limits import messages
from fescueyard.limits import models
from fescueyard.limits import standing

WAIT_MAX_MS = 1_900
WAIT_MIN_MS = 200
WAIT_OBJECTIVE_SHARE = 0.125
# A call waits so long for a token when the bucket is empty just now; enough
# for one to come back that another zone did not use.
SHORT_WAIT_MS = 60
CUT_OFF_RETRY_MS = 1_000
SAFETY_MS = 20


def request(tables, call_id, customer, now_ms):
    """Take a token for a call; an event tells what was decided.

    :param tables: the node's tables.
    :param call_id: the call.
    :param customer: name of its customer.
    :param now_ms: the present time.
    """
    if not _is_limited(tables, customer):
        decided = decisions.RateDecided(
            call_id, customer, codes.OK, decisions.Basis.UNLIMITED
        )
        decisions.conclude(tables, decided, None, now_ms)
        return
    holding = grantors.own_holding(tables, customer, now_ms)
    holdings.note_demand(holding, 1, now_ms)
    _mint(tables, customer, now_ms)
    waiting = tables.limits.waiting.get(customer, [])
    if not waiting and holdings.spend(holding, now_ms):
        _pass(tables, call_id, customer, 0.0, now_ms)
    elif grantors.is_cut_off(tables, customer, now_ms):
        _refuse_unknown(tables, call_id, customer, 0.0, now_ms)
    elif holding.own_part and len(waiting) >= _own_part_yields(
        holding, _wait_max_ms(tables, call_id)
    ):
        _refuse_unknown(tables, call_id, customer, 0.0, now_ms)
    elif len(waiting) >= _may_wait(holding, now_ms):
        _refuse_exceeded(tables, call_id, customer, 0.0, now_ms)
    else:
        give_up_at_ms = now_ms + _wait_max_ms(tables, call_id)
        waiting.append(models.WaitingCall(call_id, now_ms, give_up_at_ms))
        tables.limits.waiting[customer] = waiting
        asking.ask_all(tables, now_ms)


def give_back(tables, event, now_ms):
    """Take back the token of a call that ended meanwhile.

    A token that was reported as spent is gone: its grantor may have granted
    another one in its place.

    :param tables: the node's tables.
    :param event: :class:`~fescueyard.limits.decisions.RateDecided`.
    :param now_ms: the present time.
    """
    if event.basis is decisions.Basis.UNLIMITED:
        return
    if event.code is not codes.OK:
        return
    holding = grantors.own_holding(tables, event.customer, now_ms)
    if holdings.held(holding) < holding.reported_held:
        holding.tokens += 1


def tick(tables, now_ms):
    """Refuse calls that waited too long; ask and report what is due.

    :param tables: the node's tables.
    :param now_ms: the present time.
    """
    _serve_from_own_part(tables, now_ms)
    _expire_waiting(tables, now_ms)
    asking.ask_all(tables, now_ms)


def next_due_ms(tables, now_ms):
    """Say when the next tick is needed here.

    :param tables: the node's tables.
    :param now_ms: the present time.
    :returns: a time; infinite when there is nothing to report or ask.
    """
    table = tables.limits
    if table.waiting:
        return now_ms + asking.ASK_PAUSE_MS
    if table.holdings:
        return now_ms + asking.NODE_REPORT_MS
    return float("inf")


def release(tables, now_ms):
    """Hand every token back before a planned stop.

    :param tables: the node's tables.
    :param now_ms: the present time.
    """
    for link in tables.limits.links.values():
        link.asked_at_ms = None
        link.ask_due_ms = now_ms
    asking.ask_all(tables, now_ms)


@dispatch.receive.register
def _receive_ask(message: messages.TokenAsk, tables, sender, now_ms):
    grants = []
    for wish in message.wishes:
        grants.append(_grant(tables, message, wish, now_ms))
    answer = messages.TokenAnswer(
        message.question_id,
        False,
        True,
        grants,
        silent_ms=standing.silent_ms(tables, now_ms),
        own_part=standing.lives_on_own_parts(tables, now_ms),
    )
    tables.effects.append(effects.SendReply(sender.stream, answer))
    if any(pool.wanted for pool in tables.limits.pools.values()):
        asking.ask_all(tables, now_ms)


@dispatch.receive.register
def _receive_answer(message: messages.TokenAnswer, tables, sender, now_ms):
    key = models.FLEET_LINK if message.to_fleet else sender.peer_id
    link = tables.limits.links.get(key)
    if link is None or link.asked_at_ms is None:
        return
    if message.question_id != link.question_id:
        return
    asked_at_ms = link.asked_at_ms
    asking.note_answer(key, link, message.in_charge, now_ms)
    if not message.in_charge:
        tables.limits.control_turn += 1
        return
    rows = tables.limits.holdings
    if message.to_fleet:
        rows = tables.limits.pools
        standing.take_answer(tables, message, asked_at_ms, now_ms)
    for grant in message.grants:
        holding = rows.get(grant.customer)
        if holding is not None:
            holdings.install(holding, grant, message, asked_at_ms, now_ms)
    _serve_waiting(tables, now_ms)
    if tables.limits.waiting:
        asking.ask_all(tables, now_ms)


@dispatch.unsent.register
def _take_back_ask(message: messages.TokenAsk, tables, address, now_ms):
    key = models.FLEET_LINK
    if not message.to_fleet:
        key = tables.members.by_address.get(address)
    link = tables.limits.links.get(key)
    if link is None or link.asked_at_ms is None:
        return
    if link.question_id == message.question_id:
        asking.note_failure(tables, key, link, now_ms)
        asking.ask_all(tables, now_ms)


def _pass(tables, call_id, customer, waited_ms, now_ms):
    holding = grantors.own_holding(tables, customer, now_ms)
    basis = decisions.Basis.GRANTED
    if holding.own_part:
        basis = decisions.Basis.OWN_PART
    decided = decisions.RateDecided(
        call_id, customer, codes.OK, basis, 0.0, waited_ms
    )
    _conclude(tables, decided, now_ms)


def _refuse_exceeded(tables, call_id, customer, waited_ms, now_ms):
    """Refuse a call of a customer whose bucket is empty."""
    holding = grantors.own_holding(tables, customer, now_ms)
    decided = decisions.RateDecided(
        call_id,
        customer,
        codes.RATE_EXCEEDED,
        decisions.Basis.NO_TOKEN,
        holding.exhausted_until_ms - now_ms,
        waited_ms,
    )
    _conclude(tables, decided, now_ms)


def _refuse_unknown(tables, call_id, customer, waited_ms, now_ms):
    """Refuse a call because no grantor answers."""
    decided = decisions.RateDecided(
        call_id,
        customer,
        codes.RATE_UNKNOWN,
        decisions.Basis.NO_TOKEN,
        CUT_OFF_RETRY_MS,
        waited_ms,
    )
    _conclude(tables, decided, now_ms)


def _conclude(tables, decided, now_ms):
    holding = grantors.own_holding(tables, decided.customer, now_ms)
    decisions.conclude(tables, decided, holding, now_ms)


def _wait_max_ms(tables, call_id):
    """Say how long a call may wait; less than its objective allows."""
    call = tables.calls.rows.get(call_id)
    if call is None or not call.objective_ms:
        return WAIT_MAX_MS
    share_ms = call.objective_ms * WAIT_OBJECTIVE_SHARE
    return min(WAIT_MAX_MS, max(WAIT_MIN_MS, share_ms))


def _is_limited(tables, customer):
    found = tables.configuration.state.find(
        configuration_models.Kind.CUSTOMER, customer
    )
    return found is None or found.rate_per_s is not None


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


def _own_part_yields(holding, wait_ms):
    """Say how many tokens an own part yields while a call may wait.

    The fleet's grantor may come back meanwhile, so calls wait as long as they
    can.
    """
    return wait_ms // holding.token_every_ms


def _grant(tables, ask, wish, now_ms):
    """Grant a node of this zone what the pool has."""
    pool = tables.limits.pools.setdefault(wish.customer, models.Holding())
    holdings.drop_expired(pool, now_ms)
    _mint(tables, wish.customer, now_ms)
    row = pool.granted.get(ask.holder_id)
    if row is not None and ask.question_id <= row.question_id:
        return messages.TokenGrant(wish.customer, 0, False, 0.0, 0.0, 0.0)
    known = row.tokens if row is not None else 0
    held = max(0, min(wish.held, known))
    pool.tokens += max(0, min(wish.returned, known - held))
    granted = max(0, min(wish.wanted, pool.tokens))
    holdings.note_demand(pool, granted, now_ms)
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


def _mint(tables, customer, now_ms):
    pool = tables.limits.pools.get(customer)
    if pool is not None:
        standing.mint(tables, customer, pool, now_ms)


def _serve_from_own_part(tables, now_ms):
    """Give calls that wait at a silent zone's grantor what its part yields."""
    table = tables.limits
    if not table.waiting:
        return
    for customer in table.waiting:
        _mint(tables, customer, now_ms)
    if standing.lives_on_own_parts(tables, now_ms):
        _serve_waiting(tables, now_ms)


def _serve_waiting(tables, now_ms):
    table = tables.limits
    for customer in list(table.waiting):
        rows = table.waiting[customer]
        holding = grantors.own_holding(tables, customer, now_ms)
        while rows and holdings.spend(holding, now_ms):
            row = rows.pop(0)
            waited_ms = now_ms - row.since_ms
            _pass(tables, row.call_id, customer, waited_ms, now_ms)
        if not holding.own_part:
            rows = _refuse_surplus(tables, customer, rows, holding, now_ms)
        _keep_waiting(table, customer, rows)


def _refuse_surplus(tables, customer, rows, holding, now_ms):
    """Refuse waiting calls for which no token will come in time.

    :returns: the calls that go on waiting.
    """
    kept = []
    for row in rows:
        waited_ms = now_ms - row.since_ms
        in_time = (
            now_ms >= holding.exhausted_until_ms or waited_ms < SHORT_WAIT_MS
        )
        if in_time and len(kept) < _may_wait(holding, now_ms):
            kept.append(row)
        else:
            _refuse_exceeded(tables, row.call_id, customer, waited_ms, now_ms)
    return kept


def _expire_waiting(tables, now_ms):
    table = tables.limits
    for customer in list(table.waiting):
        kept = []
        for row in table.waiting[customer]:
            if now_ms < row.give_up_at_ms:
                kept.append(row)
                continue
            waited_ms = now_ms - row.since_ms
            _refuse_unknown(tables, row.call_id, customer, waited_ms, now_ms)
        _keep_waiting(table, customer, kept)


def _keep_waiting(table, customer, kept):
    if kept:
        table.waiting[customer] = kept
    else:
        del table.waiting[customer]
