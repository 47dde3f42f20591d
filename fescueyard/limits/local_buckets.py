"""Tokens that this process holds of one customer."""

DEMAND_WINDOW_MS = 1_000


def record_demand(bucket, count, now_ms):
    """Note that tokens were asked for.

    :param bucket: :class:`~fescueyard.limits.models.LocalBucket`.
    :param count: how many.
    :param now_ms: the present time.
    """
    elapsed_ms = now_ms - bucket.demand_at_ms
    bucket.demand_at_ms = now_ms
    kept = max(0.0, 1 - elapsed_ms / DEMAND_WINDOW_MS)
    bucket.demand_per_s *= kept
    bucket.demand_per_s += count * 1000 / DEMAND_WINDOW_MS


def recent_demand_per_s(bucket, now_ms):
    """Say how many tokens a second were asked for of late.

    :returns: tokens a second.
    """
    elapsed_ms = now_ms - bucket.demand_at_ms
    return bucket.demand_per_s * max(0.0, 1 - elapsed_ms / DEMAND_WINDOW_MS)


def spend(bucket, now_ms):
    """Spend one token, if there is one that is not void.

    :returns: whether there was one.
    """
    if now_ms >= bucket.expires_at_ms or bucket.tokens < 1:
        return False
    bucket.tokens -= 1
    return True


def drop_expired(bucket, now_ms):
    """Drop what has become void, here and below.

    :param now_ms: the present time.
    """
    if now_ms >= bucket.expires_at_ms:
        bucket.tokens = 0
    for holder_id, row in list(bucket.granted.items()):
        if now_ms >= row.expires_at_ms:
            del bucket.granted[holder_id]


def held_count(bucket):
    """Count the tokens held here and below.

    :returns: number of tokens.
    """
    granted = sum(row.tokens for row in bucket.granted.values())
    return bucket.tokens + granted


def apply_grant(bucket, grant, response, sent_at_ms, now_ms):
    """Take in what a grantor granted.

    :param grant: :class:`~fescueyard.limits.messages.TokenGrant`.
    :param answer: :class:`~fescueyard.limits.messages.TokenResponse` with it.
    :param sent_at_ms: when the question was sent; lifetimes begin then.
    :param now_ms: the present time.
    """
    expires_at_ms = sent_at_ms + grant.lifetime_ms
    bucket.renewed_at_ms = now_ms - response.renewal_age_ms
    bucket.is_fallback = response.is_fallback
    if now_ms < expires_at_ms:
        if now_ms >= bucket.expires_at_ms:
            bucket.tokens = 0
        bucket.tokens += grant.granted
        bucket.expires_at_ms = max(bucket.expires_at_ms, expires_at_ms)
    bucket.reported_held += grant.granted
    bucket.wanted = 0
    if grant.exhausted:
        bucket.exhausted_until_ms = now_ms + grant.retry_after_ms
    else:
        bucket.exhausted_until_ms = float("-inf")
    if grant.token_interval_ms > 0:
        bucket.token_interval_ms = max(1.0, grant.token_interval_ms)
