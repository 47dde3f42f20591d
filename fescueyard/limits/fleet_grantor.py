"""The fleet grantor: a token bucket per customer, at the control leader.

A token is either in the bucket or held by one holder. The bucket's level and
all held tokens never exceed the burst together, so no window of time sees more
than rate times time plus burst, whatever the holders do. At most half of the
burst is held. A new leader does not know the holders of its predecessor, so it
limits itself to the other half, starting with an empty bucket, until all
tokens held then have expired. What zones may grant by themselves while cut off
is reserved from the rate and from the bucket
(:mod:`fescueyard.limits.fallback_leases`).
"""

import dataclasses

from fescueyard.configuration import models as configuration_models
from fescueyard.core import logs
from fescueyard.limits import fallback
from fescueyard.limits import fallback_leases
from fescueyard.limits import messages
from fescueyard.limits import models
from fescueyard.limits import shards

LOG = logs.ComponentLogger("limits")

GRANT_LIFETIME_MS = 2_000
# Lifetime reported to holders; shorter, so that a holder whose clock is a
# twentieth slower than the grantor's still stops in time.
HOLDER_LIFETIME_MS = 1_900
PREFETCH_LEVEL_SHARE = 0.25


def start_term(table, term, now_ms):
    """Begin to grant in a new term; does nothing within the same term.

    :param table: :class:`~fescueyard.limits.models.GrantorTable`.
    :param term: the leader's term.
    :param now_ms: the present time.
    """
    if term != table.term:
        LOG.info("grantor_in_charge", term=term, before=table.term)
        table.buckets.clear()
        table.holders.clear()
        table.term = term
        table.leader_since_ms = now_ms


def tick(table, state, members, now_ms):
    """Release expired leases, and log changes of reserved shares.

    :param table: :class:`~fescueyard.limits.models.GrantorTable`.
    :param state: the configuration.
    :param members: the control process's member table.
    :param now_ms: the present time.
    """
    fallback_leases.log_silence_changes(table, now_ms)
    expired_holders = fallback_leases.expired_holders(table, members, now_ms)
    if not expired_holders:
        return
    _refill_all(
        table, state, _reservations(table, state, members, now_ms), now_ms
    )
    for holder_id in expired_holders:
        holder = table.holders.pop(holder_id)
        LOG.info("part_ended", holder=holder_id, parts=dict(holder.shares))


def handle_request(table, state, request, now_ms, members):
    """Respond to a holder's request, while the leader's own lease holds.

    :param table: :class:`~fescueyard.limits.models.GrantorTable`.
    :param state: the configuration.
    :param request: :class:`~fescueyard.limits.messages.TokenRequest`.
    :param now_ms: the present time.
    :param members: the control process's member table, which names zones
        that an earlier leader may have leased shares to.
    :returns: :class:`~fescueyard.limits.messages.TokenResponse`.
    """
    if fallback_leases.is_superseded(table, request):
        # The holder ignores the response in any case.
        return messages.TokenResponse(request.request_id, True, True, [])
    if fallback_leases.changes_reservations(table, request, now_ms):
        reservations = _reservations(table, state, members, now_ms)
        _refill_all(table, state, reservations, now_ms)
    fallback_leases.record_request(table, request, now_ms)
    reservations = _reservations(table, state, members, now_ms)
    leased_shares = fallback_leases.lease_shares(
        table,
        request,
        fallback.allowed_share(state),
        reservations.unreported,
        now_ms,
    )
    grants = []
    for demand in request.demands:
        grant = _handle_demand(
            table, state, request, demand, reservations, now_ms
        )
        table.granted_count += grant.granted
        grants.append(grant)
    return messages.TokenResponse(
        request.request_id, True, True, grants, fallback_shares=leased_shares
    )


@dataclasses.dataclass(slots=True)
class _Reservations:
    """Shares that are reserved now.

    :param silent: holders that may be using their shares, by id.
    :param unreported: shares that unreported zones may use, by shard.
    """

    silent: dict[str, models.Holder]
    unreported: dict[int, float]


def _reservations(table, state, members, now_ms):
    share = fallback.allowed_share(state)
    unreported = fallback_leases.unreported_shares(
        table, members, share, now_ms
    )
    return _Reservations(
        fallback_leases.silent_holders(table, now_ms), unreported
    )


def _refill_all(table, state, reservations, now_ms):
    """Bring all buckets up to date before the reservations change."""
    for name in table.buckets:
        customer = state.find(configuration_models.Kind.CUSTOMER, name)
        if customer is not None and customer.rate_per_s is not None:
            _refill(table, name, customer, reservations, now_ms)


def _handle_demand(table, state, request, demand, reservations, now_ms):
    customer = state.find(configuration_models.Kind.CUSTOMER, demand.customer)
    if customer is None:
        return messages.TokenGrant(
            demand.customer, 0, True, GRANT_LIFETIME_MS, GRANT_LIFETIME_MS, 0.0
        )
    if customer.rate_per_s is None:
        # The limit was removed since the request was sent.
        granted = demand.wanted + demand.prefetch
        return messages.TokenGrant(
            demand.customer, granted, False, 0.0, 0.0, HOLDER_LIFETIME_MS
        )
    bucket = _refill(table, demand.customer, customer, reservations, now_ms)
    unknown_held = _unknown_held(table, customer, now_ms)
    return _grant(bucket, customer, request, demand, unknown_held, now_ms)


def held_tokens_max(customer):
    """Return how many of a customer's tokens may be held at once.

    :param customer: :class:`~fescueyard.configuration.models.Customer`.
    :returns: number of tokens.
    """
    return max(1, customer.burst // 2)


def _bucket(table, name):
    bucket = table.buckets.get(name)
    if bucket is None:
        # Nothing was granted here before, so the rate has accrued since this
        # process became leader, as far as the burst allows.
        bucket = models.FleetBucket(0.0, table.leader_since_ms)
        table.buckets[name] = bucket
    return bucket


def _unknown_held(table, customer, now_ms):
    """Return how many tokens holders of an earlier leader may still have."""
    if now_ms - table.leader_since_ms > GRANT_LIFETIME_MS:
        return 0
    return held_tokens_max(customer)


def _refill(table, name, customer, reservations, now_ms):
    """Add what the rate yielded, less what was reserved of it."""
    bucket = _bucket(table, name)
    held = 0
    for holder_id, held_tokens in list(bucket.held.items()):
        # A silent holder may replace these tokens from its fallback share.
        if (
            now_ms >= held_tokens.expires_at_ms
            and holder_id not in reservations.silent
        ):
            del bucket.held[holder_id]
        else:
            held += held_tokens.tokens
    shard = shards.shard_of(name)
    unknown_held = _unknown_held(table, customer, now_ms)
    if reservations.unreported.get(shard):
        unknown_held = held_tokens_max(customer)
    since_ms = bucket.refilled_at_ms
    unreserved_ms = (now_ms - since_ms) - fallback_leases.reserved_ms(
        table,
        reservations.silent,
        reservations.unreported,
        shard,
        since_ms,
        now_ms,
    )
    bucket.refilled_at_ms = now_ms
    level = bucket.level + customer.rate_per_s * unreserved_ms / 1000
    cap = customer.burst - max(held, unknown_held)
    for holder in reservations.silent.values():
        if holder.shares.get(shard):
            cap -= fallback.burst_max(customer, holder.shares[shard])
    bucket.level = min(level, float(max(0, cap)))
    return bucket


def _grant(bucket, customer, request, demand, unknown_held, now_ms):
    previous = bucket.held.get(request.holder_id)
    if previous is not None and request.request_id <= previous.request_id:
        # A superseded request; the holder ignores the response in any case.
        return messages.TokenGrant(demand.customer, 0, False, 0.0, 0.0, 0.0)
    known_held = previous.tokens if previous is not None else 0
    # Accept no more tokens as returned than were granted and are not held.
    returned = max(0, min(demand.returned, known_held - demand.held))
    bucket.level += returned
    held_by_others = sum(
        other.tokens
        for holder_id, other in bucket.held.items()
        if holder_id != request.holder_id
    )
    own_held = max(0, demand.held)
    room = held_tokens_max(customer) - held_by_others - own_held
    if unknown_held:
        room = min(room, customer.burst - unknown_held - held_by_others)
    granted = max(0, min(demand.wanted, int(bucket.level), room))
    # Prefetched tokens come from a surplus only, or a zone could hoard what
    # callers of another zone need.
    surplus = int(
        bucket.level - granted - customer.burst * PREFETCH_LEVEL_SHARE
    )
    granted += max(0, min(demand.prefetch, surplus, room - granted))
    bucket.level -= granted
    bucket.held[request.holder_id] = models.HeldTokens(
        own_held + granted, now_ms + GRANT_LIFETIME_MS, request.request_id
    )
    missing = granted < demand.wanted
    retry_after_ms = 0.0
    if missing:
        deficit = max(0.0, 1 - bucket.level)
        retry_after_ms = max(1.0, 1000 * deficit / customer.rate_per_s)
    # A new leader's bucket is empty because it does not know what is held.
    # That is no reason to reject a call that may wait.
    exhausted = missing and bucket.level < 1 and not unknown_held
    return messages.TokenGrant(
        demand.customer,
        granted,
        exhausted,
        retry_after_ms,
        1000 / customer.rate_per_s,
        HOLDER_LIFETIME_MS,
    )
