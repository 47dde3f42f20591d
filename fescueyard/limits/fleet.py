"""The fleet's grantor: one bucket a customer, at the control leader.

A token is either in the bucket or held by one holder. The bucket's level and
all that is held never exceed the burst together, so no window of time sees
more than rate times time plus burst, whatever the holders do. At most half of
the burst is held; a new leader, which does not know the holders of the old
one, therefore starts with an empty bucket of the other half until all that was
held has expired. What zones may grant by themselves in a cut is held back from
the rate and from the bucket (:mod:`fescueyard.limits.parts`).
"""

import dataclasses

from fescueyard.configuration import models as configuration_models
from fescueyard.core import logs
from fescueyard.limits import messages
from fescueyard.limits import models
from fescueyard.limits import parts
from fescueyard.limits import shards
from fescueyard.limits import standing

LOG = logs.PartLogger("limits")

LIFETIME_MS = 2_000
# What holders are told; shorter, so that a clock that is a twentieth slower
# than the grantor's still ends it in time.
HOLDER_LIFETIME_MS = 1_900
PLENTY_SHARE = 0.25


def take_charge(table, term, now_ms):
    """Begin to grant in a new term; nothing to do in the same one.

    :param table: :class:`~fescueyard.limits.models.FleetTable`.
    :param term: the leader's term.
    :param now_ms: the present time.
    """
    if term != table.term:
        LOG.info("grantor_in_charge", term=term, before=table.term)
        table.buckets.clear()
        table.holders.clear()
        table.term = term
        table.in_charge_since_ms = now_ms


def tick(table, state, members, now_ms):
    """Release promises that have ended, and log what is held back.

    :param table: :class:`~fescueyard.limits.models.FleetTable`.
    :param state: the configuration.
    :param members: the control process's member table.
    :param now_ms: the present time.
    """
    parts.log_changes(table, now_ms)
    lapsed = parts.lapsed(table, members, now_ms)
    if not lapsed:
        return
    _settle(table, state, _held_back(table, state, members, now_ms), now_ms)
    for holder_id in lapsed:
        row = table.holders.pop(holder_id)
        LOG.info("part_ended", holder=holder_id, parts=dict(row.shares))


def answer(table, state, ask, now_ms, members):
    """Answer a holder's question, while the leader's lease holds.

    :param table: :class:`~fescueyard.limits.models.FleetTable`.
    :param state: the configuration.
    :param ask: :class:`~fescueyard.limits.messages.TokenAsk`.
    :param now_ms: the present time.
    :param members: the control process's member table, which names zones
        that an earlier leader may have promised parts to.
    :returns: :class:`~fescueyard.limits.messages.TokenAnswer`.
    """
    if parts.is_overtaken(table, ask):
        # Its answer is void anyway.
        return messages.TokenAnswer(ask.question_id, True, True, [])
    if parts.changes_what_is_held_back(table, ask, now_ms):
        held_back = _held_back(table, state, members, now_ms)
        _settle(table, state, held_back, now_ms)
    parts.note_question(table, ask, now_ms)
    held_back = _held_back(table, state, members, now_ms)
    promised = parts.promise(
        table,
        ask,
        standing.promised_share(state),
        held_back.unheard,
        now_ms,
    )
    grants = []
    for wish in ask.wishes:
        grant = _answer_wish(table, state, ask, wish, held_back, now_ms)
        table.granted_count += grant.granted
        grants.append(grant)
    return messages.TokenAnswer(
        ask.question_id, True, True, grants, parts=promised
    )


@dataclasses.dataclass(slots=True)
class _HeldBack:
    """What is held back now.

    :param silent: rows of holders that may use their parts, by holder.
    :param unheard: shares that zones not heard yet may use, by shard.
    """

    silent: dict[str, models.HolderRow]
    unheard: dict[int, float]


def _held_back(table, state, members, now_ms):
    share = standing.promised_share(state)
    unheard = parts.unheard_shares(table, members, share, now_ms)
    return _HeldBack(parts.silent_holders(table, now_ms), unheard)


def _settle(table, state, held_back, now_ms):
    """Bring all buckets up to date before what is held back changes."""
    for name in table.buckets:
        customer = state.find(configuration_models.Kind.CUSTOMER, name)
        if customer is not None and customer.rate_per_s is not None:
            _refill(table, name, customer, held_back, now_ms)


def _answer_wish(table, state, ask, wish, held_back, now_ms):
    customer = state.find(configuration_models.Kind.CUSTOMER, wish.customer)
    if customer is None:
        return messages.TokenGrant(
            wish.customer, 0, True, LIFETIME_MS, LIFETIME_MS, 0.0
        )
    if customer.rate_per_s is None:
        # The limit was lifted a moment ago.
        granted = wish.wanted + wish.ahead
        return messages.TokenGrant(
            wish.customer, granted, False, 0.0, 0.0, HOLDER_LIFETIME_MS
        )
    bucket = _refill(table, wish.customer, customer, held_back, now_ms)
    reserve = _unknown_held(table, customer, now_ms)
    return _grant(bucket, customer, ask, wish, reserve, now_ms)


def held_max(customer):
    """Say how many of a customer's tokens may be held at once.

    :param customer: :class:`~fescueyard.configuration.models.Customer`.
    :returns: number of tokens.
    """
    return max(1, customer.burst // 2)


def _bucket(table, name):
    bucket = table.buckets.get(name)
    if bucket is None:
        # Nothing was granted here before, so the rate of the whole time in
        # charge has added up, as far as the burst allows.
        bucket = models.FleetBucket(0.0, table.in_charge_since_ms)
        table.buckets[name] = bucket
    return bucket


def _unknown_held(table, customer, now_ms):
    """Count what holders of an earlier leader may still have."""
    if now_ms - table.in_charge_since_ms > LIFETIME_MS:
        return 0
    return held_max(customer)


def _refill(table, name, customer, held_back, now_ms):
    """Add what the rate yielded, less what was held back of it."""
    bucket = _bucket(table, name)
    held = 0
    for holder_id, row in list(bucket.held.items()):
        # A silent holder may renew by itself what it was granted.
        if now_ms >= row.expires_at_ms and holder_id not in held_back.silent:
            del bucket.held[holder_id]
        else:
            held += row.tokens
    shard = shards.shard_of(name)
    reserve = _unknown_held(table, customer, now_ms)
    if held_back.unheard.get(shard):
        reserve = held_max(customer)
    since_ms = bucket.refilled_at_ms
    yields_ms = (now_ms - since_ms) - parts.held_back_ms(
        table,
        held_back.silent,
        held_back.unheard,
        shard,
        since_ms,
        now_ms,
    )
    bucket.refilled_at_ms = now_ms
    level = bucket.level + customer.rate_per_s * yields_ms / 1000
    cap = customer.burst - max(held, reserve)
    for row in held_back.silent.values():
        if row.shares.get(shard):
            cap -= standing.level_max(customer, row.shares[shard])
    bucket.level = min(level, float(max(0, cap)))
    return bucket


def _grant(bucket, customer, ask, wish, reserve, now_ms):
    row = bucket.held.get(ask.holder_id)
    if row is not None and ask.question_id <= row.question_id:
        # An old question that was overtaken; its answer is void anyway.
        return messages.TokenGrant(wish.customer, 0, False, 0.0, 0.0, 0.0)
    known = row.tokens if row is not None else 0
    # Never believe in more than was granted, nor in a return beyond it.
    returned = max(0, min(wish.returned, known - wish.held))
    bucket.level += returned
    held_by_others = sum(
        other.tokens
        for holder_id, other in bucket.held.items()
        if holder_id != ask.holder_id
    )
    own_held = max(0, wish.held)
    room = held_max(customer) - held_by_others - own_held
    if reserve:
        room = min(room, customer.burst - reserve - held_by_others)
    granted = max(0, min(wish.wanted, int(bucket.level), room))
    # Tokens for calls to come are given out of plenty only, or a zone could
    # hoard what another one's callers need.
    plenty = int(bucket.level - granted - customer.burst * PLENTY_SHARE)
    granted += max(0, min(wish.ahead, plenty, room - granted))
    bucket.level -= granted
    bucket.held[ask.holder_id] = models.HeldRow(
        own_held + granted, now_ms + LIFETIME_MS, ask.question_id
    )
    missing = granted < wish.wanted
    wait_ms = 0.0
    if missing:
        lacking = max(0.0, 1 - bucket.level)
        wait_ms = max(1.0, 1000 * lacking / customer.rate_per_s)
    # A new leader's bucket is empty for what it can't know. That is no reason
    # to refuse a call that may wait.
    exhausted = missing and bucket.level < 1 and not reserve
    return messages.TokenGrant(
        wish.customer,
        granted,
        exhausted,
        wait_ms,
        1000 / customer.rate_per_s,
        HOLDER_LIFETIME_MS,
    )
