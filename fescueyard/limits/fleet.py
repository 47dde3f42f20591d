"""The fleet's grantor: one bucket a customer, at the control leader.

A token is either in the bucket or held by one holder. The bucket's level and
all that is held never exceed the burst together, so no window of time sees
more than rate times time plus burst, whatever the holders do. At most half of
the burst is held; a new leader, which does not know the holders of the old
one, therefore starts with an empty bucket of the other half until all that was
held has expired.
"""

import dataclasses

from fescueyard.configuration import models as configuration_models
from fescueyard.core import logs
from fescueyard.limits import messages
from fescueyard.limits import models
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
        table.term = term
        table.in_charge_since_ms = now_ms


def answer(table, state, ask, now_ms, members=None):
    """Answer a holder's question, while the leader's lease holds.

    :param table: :class:`~fescueyard.limits.models.FleetTable`.
    :param state: the configuration.
    :param ask: :class:`~fescueyard.limits.messages.TokenAsk`.
    :param now_ms: the present time.
    :param members: the control process's member table, where nodes out of
        sight may grant parts of their own.
    :returns: :class:`~fescueyard.limits.messages.TokenAnswer`.
    """
    if members is not None:
        _note_missing(table, members)
    grants = []
    for wish in ask.wishes:
        customer = state.find(
            configuration_models.Kind.CUSTOMER, wish.customer
        )
        if customer is None:
            grants.append(
                messages.TokenGrant(
                    wish.customer, 0, True, LIFETIME_MS, LIFETIME_MS, 0.0
                )
            )
            continue
        if customer.rate_per_s is None:
            # The limit was lifted a moment ago.
            granted = wish.wanted + wish.ahead
            grants.append(
                messages.TokenGrant(
                    wish.customer, granted, False, 0.0, 0.0, HOLDER_LIFETIME_MS
                )
            )
            continue
        if members is not None:
            customer = dataclasses.replace(
                customer,
                rate_per_s=standing.kept_rate(
                    state, members, customer.rate_per_s
                ),
            )
        bucket = _bucket(table, wish.customer)
        reserve = _unknown_held(table, customer, now_ms)
        _refill(bucket, customer, reserve, now_ms)
        grant = _grant(bucket, customer, ask, wish, reserve, now_ms)
        table.granted_count += grant.granted
        grants.append(grant)
    return messages.TokenAnswer(ask.question_id, True, True, grants)


def held_max(customer):
    """Say how many of a customer's tokens may be held at once.

    :param customer: :class:`~fescueyard.configuration.models.Customer`.
    :returns: number of tokens.
    """
    return max(1, customer.burst // 2)


def _note_missing(table, members):
    """Log when the number of nodes changes for which a part is held back."""
    missing = max(0, members.nodes_seen_max - members.nodes_alive)
    if missing == table.nodes_missing:
        return
    LOG.info(
        "rate_held_back",
        nodes_missing=missing,
        before=table.nodes_missing,
        nodes_seen_max=members.nodes_seen_max,
    )
    table.nodes_missing = missing


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


def _refill(bucket, customer, reserve, now_ms):
    held = 0
    for holder_id, row in list(bucket.held.items()):
        if now_ms >= row.expires_at_ms:
            del bucket.held[holder_id]
        else:
            held += row.tokens
    elapsed_ms = now_ms - bucket.refilled_at_ms
    bucket.refilled_at_ms = now_ms
    level = bucket.level + customer.rate_per_s * elapsed_ms / 1000
    cap = max(0, customer.burst - max(held, reserve))
    bucket.level = min(level, float(cap))


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
