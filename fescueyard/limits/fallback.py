"""Fallback grants of a zone that can't reach the fleet grantor.

Load pattern: an availability zone is cut off, or the control VMs have no
leader, while callers with keys keep sending. Each grantor of a zone leases a
fallback share from the fleet grantor: a share of the rates that it may grant
by itself once the fleet grantor has not responded for a while. It uses the
share only while it can't renew the lease. The fleet grantor therefore reserves
the share only for a holder that has not confirmed a response in time, and does
so before that holder may begin to use the share. So both together stay within
the rate.
"""

from fescueyard.configuration import models as configuration_models
from fescueyard.limits import local_buckets
from fescueyard.limits import messages
from fescueyard.limits import shards

# Longest interval between requests to the fleet grantor; each request confirms
# the last response.
HEARTBEAT_INTERVAL_MS = 100
# Silence of the fleet grantor after which the fallback share is used.
FALLBACK_AFTER_MS = 700
LEASE_MS = 57_000
# Tokens granted from the fallback share expire after this time.
FALLBACK_TOKEN_LIFETIME_MS = 500
# A fallback share accumulates at most this part of the burst, times the share.
FALLBACK_BURST_SHARE = 0.5


def allowed_share(state):
    """Return the fallback share that the profiles allow; the lowest applies.

    :param state: the configuration.
    :returns: 0 to 1, over all zones together.
    """
    profiles = state.objects[configuration_models.Kind.PROFILE]
    shares = [profile.cut_off_rate_share for profile in profiles.values()]
    return min(shares, default=0.0)


def burst_max(customer, share):
    """Return how many tokens a fallback share may accumulate.

    :param customer: :class:`~fescueyard.configuration.models.Customer`.
    :param share: the fallback share, 0 to 1.
    :returns: number of tokens.
    """
    return max(1, int(FALLBACK_BURST_SHARE * share * customer.burst))


def is_heartbeat_due(tables, own_shards, now_ms):
    """Return whether a request to the fleet grantor is due, even an empty one.

    :param tables: the node's tables.
    :param own_shards: shards that this node grants in its zone.
    :param now_ms: the present time.
    :returns: bool.
    """
    lease = tables.limits.fallback_lease
    if not is_heartbeat_interval_over(tables, now_ms):
        return False
    if not allowed_share(tables.configuration.state):
        return bool(lease.shares)
    return bool(own_shards or lease.shares)


def is_heartbeat_interval_over(tables, now_ms):
    """Return whether a heartbeat is due by the time of the last request.

    :param tables: the node's tables.
    :param now_ms: the present time.
    :returns: bool.
    """
    lease = tables.limits.fallback_lease
    return now_ms - lease.sent_at_ms >= HEARTBEAT_INTERVAL_MS


def requested_shares(tables, own_shards):
    """List the shares to confirm or to request; drop others from the lease.

    The fleet grantor takes a share back when a request leaves it out.

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
    """Renew the fallback lease by a response of the fleet grantor.

    :param tables: the node's tables.
    :param message: :class:`~fescueyard.limits.messages.TokenResponse`.
    :param sent_at_ms: when its request was sent.
    :param now_ms: the present time.
    """
    lease = tables.limits.fallback_lease
    lease.renewed_at_ms = now_ms
    lease.expires_at_ms = sent_at_ms + LEASE_MS
    lease.acknowledged_id = message.request_id
    lease.shares = {
        granted.shard: granted.share for granted in message.fallback_shares
    }


def renewal_age_ms(tables, now_ms):
    """Return how long ago this process last heard from the fleet grantor.

    :returns: milliseconds.
    """
    return now_ms - tables.limits.fallback_lease.renewed_at_ms


def is_any_fallback_active(tables, now_ms):
    """Return whether this node grants from any fallback share now.

    The share may have no tokens left at the moment.

    :param tables: the node's tables.
    :param now_ms: the present time.
    :returns: bool.
    """
    lease = tables.limits.fallback_lease
    return any(
        is_fallback_active(tables, shard, now_ms) for shard in lease.shares
    )


def is_fallback_active(tables, shard, now_ms):
    """Return whether this node grants from its zone's fallback share now.

    :param tables: the node's tables.
    :param shard: the shard of customers.
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
    """Add tokens of the fallback share to a bucket, if the share is in use.

    :param tables: the node's tables.
    :param customer: name of the customer.
    :param zone_bucket: its :class:`~fescueyard.limits.models.LocalBucket`.
    :param now_ms: the present time.
    """
    shard = shards.shard_of(customer)
    if not is_fallback_active(tables, shard, now_ms):
        return
    customer_object = tables.configuration.state.find(
        configuration_models.Kind.CUSTOMER, customer
    )
    if customer_object is None or customer_object.rate_per_s is None:
        return
    lease = tables.limits.fallback_lease
    share = lease.shares[shard]
    rate_per_s = share * customer_object.rate_per_s
    begins_at_ms = lease.renewed_at_ms + FALLBACK_AFTER_MS
    if zone_bucket.fallback_refilled_at_ms < begins_at_ms:
        zone_bucket.fallback_refilled_at_ms = begins_at_ms
        zone_bucket.fallback_remainder = 0.0
    level = zone_bucket.fallback_remainder
    level += rate_per_s * (now_ms - zone_bucket.fallback_refilled_at_ms) / 1000
    zone_bucket.fallback_refilled_at_ms = now_ms
    room = max(
        0,
        burst_max(customer_object, share)
        - local_buckets.held_count(zone_bucket),
    )
    added = min(int(level), room)
    zone_bucket.fallback_remainder = level - added if added < room else 0.0
    zone_bucket.tokens += added
    zone_bucket.is_fallback = True
    zone_bucket.expires_at_ms = max(
        zone_bucket.expires_at_ms, now_ms + FALLBACK_TOKEN_LIFETIME_MS
    )
    zone_bucket.token_interval_ms = max(1.0, 1000 / rate_per_s)
    zone_bucket.exhausted_until_ms = float("-inf")
