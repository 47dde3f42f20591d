"""What a zone goes on granting while it has no way to the fleet's grantor.

Load pattern: an availability zone is cut off, or the control VMs have no
leader, while callers with keys press on. Each grantor of a zone has a promise
of the fleet's grantor: a part of the rates that it may grant by itself, once
it has heard nothing for a while. The promise is a lease turned round. The
fleet's grantor holds a part back from before its owner may begin to use it,
unless the owner confirms in time that it is still fed; so both together stay
within the rate.
"""

from fescueyard.configuration import models as configuration_models
from fescueyard.limits import local_buckets
from fescueyard.limits import messages
from fescueyard.limits import shards

# Each question confirms the last answer; this often at least.
HEARTBEAT_MS = 100
# Silence of the fleet's grantor after which the own part is used.
FALLBACK_AFTER_MS = 700
LEASE_MS = 57_000
# What is minted of the own part is void so soon.
FALLBACK_TOKEN_LIFETIME_MS = 500
# Share of the burst that an own part can have saved up, times the part.
FALLBACK_BURST_SHARE = 0.5


def allowed_share(state):
    """Find the share that the profiles allow; the most cautious one holds.

    :param state: the configuration.
    :returns: 0 to 1, over all zones together.
    """
    profiles = state.objects[configuration_models.Kind.PROFILE]
    shares = [each.cut_off_rate_share for each in profiles.values()]
    return min(shares, default=0.0)


def burst_max(customer, share):
    """Say how many tokens of an own part may be saved up.

    :param customer: :class:`~fescueyard.configuration.models.Customer`.
    :param share: the part.
    :returns: number of tokens.
    """
    return max(1, int(FALLBACK_BURST_SHARE * share * customer.burst))


def is_heartbeat_due(tables, own_shards, now_ms):
    """Say whether the fleet's grantor must hear from this process now.

    :param tables: the node's tables.
    :param own_shards: shards that this node grants in its zone.
    :param now_ms: the present time.
    :returns: bool.
    """
    lease = tables.limits.fallback_lease
    if now_ms - lease.sent_at_ms < HEARTBEAT_MS:
        return False
    if not allowed_share(tables.configuration.state):
        return bool(lease.shares)
    return bool(own_shards or lease.shares)


def requested_shares(tables, own_shards):
    """List the parts to confirm or to ask for; others are given back.

    :param tables: the node's tables.
    :param own_shards: shards that this node grants in its zone.
    :returns: list of :class:`~fescueyard.limits.messages.FallbackShare`.
    """
    lease = tables.limits.fallback_lease
    if not allowed_share(tables.configuration.state):
        own_shards = ()
    lease.shares = {
        shard: lease.shares.get(shard, 0.0) for shard in own_shards
    }
    return [
        messages.FallbackShare(shard, share)
        for shard, share in lease.shares.items()
    ]


def apply_response(tables, message, sent_at_ms, now_ms):
    """Take in an answer of the fleet's grantor.

    :param tables: the node's tables.
    :param message: :class:`~fescueyard.limits.messages.TokenResponse`.
    :param sent_at_ms: when its question was sent.
    :param now_ms: the present time.
    """
    lease = tables.limits.fallback_lease
    lease.renewed_at_ms = now_ms
    lease.expires_at_ms = sent_at_ms + LEASE_MS
    lease.acknowledged_id = message.request_id
    lease.shares = {row.shard: row.share for row in message.fallback_shares}


def renewal_age_ms(tables, now_ms):
    """Say how long this process has not heard the fleet's grantor.

    :returns: milliseconds.
    """
    return now_ms - tables.limits.fallback_lease.renewed_at_ms


def is_any_fallback_active(tables, now_ms):
    """Say whether this node grants from own parts, if it has any tokens.

    :param tables: the node's tables.
    :param now_ms: the present time.
    :returns: bool.
    """
    lease = tables.limits.fallback_lease
    return any(
        is_fallback_active(tables, shard, now_ms) for shard in lease.shares
    )


def is_fallback_active(tables, shard, now_ms):
    """Say whether this node grants from its zone's own part now.

    :param tables: the node's tables.
    :param shard: the customers in question.
    :param now_ms: the present time.
    :returns: bool.
    """
    lease = tables.limits.fallback_lease
    if not lease.shares.get(shard):
        return False
    return (
        lease.renewed_at_ms + FALLBACK_AFTER_MS <= now_ms < lease.expires_at_ms
    )


def add_fallback_tokens(tables, customer, zone_bucket, now_ms):
    """Add to a pool what its own part has yielded, if it may be used now.

    :param tables: the node's tables.
    :param customer: name of the customer.
    :param zone_bucket: its :class:`~fescueyard.limits.models.LocalBucket`.
    :param now_ms: the present time.
    """
    shard = shards.shard_of(customer)
    if not is_fallback_active(tables, shard, now_ms):
        return
    found = tables.configuration.state.find(
        configuration_models.Kind.CUSTOMER, customer
    )
    if found is None or found.rate_per_s is None:
        return
    lease = tables.limits.fallback_lease
    share = lease.shares[shard]
    rate_per_s = share * found.rate_per_s
    begins_at_ms = lease.renewed_at_ms + FALLBACK_AFTER_MS
    if zone_bucket.fallback_refilled_at_ms < begins_at_ms:
        zone_bucket.fallback_refilled_at_ms = begins_at_ms
        zone_bucket.fallback_remainder = 0.0
    level = zone_bucket.fallback_remainder
    level += rate_per_s * (now_ms - zone_bucket.fallback_refilled_at_ms) / 1000
    zone_bucket.fallback_refilled_at_ms = now_ms
    room = max(
        0, burst_max(found, share) - local_buckets.held_count(zone_bucket)
    )
    whole = min(int(level), room)
    zone_bucket.fallback_remainder = level - whole if whole < room else 0.0
    zone_bucket.tokens += whole
    zone_bucket.is_fallback = True
    zone_bucket.expires_at_ms = max(
        zone_bucket.expires_at_ms, now_ms + FALLBACK_TOKEN_LIFETIME_MS
    )
    zone_bucket.token_interval_ms = max(1.0, 1000 / rate_per_s)
    zone_bucket.exhausted_until_ms = float("-inf")
