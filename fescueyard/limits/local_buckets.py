"""Operations on the tokens of one customer that this process holds."""

DEMAND_WINDOW_MS = 1_000


def record_demand(bucket, count, now_ms):
    """Record demand for tokens.

    :param bucket: :class:`~fescueyard.limits.models.LocalBucket`.
    :param count: number of tokens.
    :param now_ms: the present time.
    """
    elapsed_ms = now_ms - bucket.demand_at_ms
    bucket.demand_at_ms = now_ms
    kept = max(0.0, 1 - elapsed_ms / DEMAND_WINDOW_MS)
    bucket.demand_per_s *= kept
    bucket.demand_per_s += count * 1000 / DEMAND_WINDOW_MS


def recent_demand_per_s(bucket, now_ms):
    """Return the recent demand, decayed to the present time.

    :returns: tokens a second.
    """
    elapsed_ms = now_ms - bucket.demand_at_ms
    return bucket.demand_per_s * max(0.0, 1 - elapsed_ms / DEMAND_WINDOW_MS)


def has_token(bucket, now_ms):
    """Return whether there is a token that has not expired.

    :returns: bool.
    """
    return now_ms < bucket.expires_at_ms and bucket.tokens >= 1


def spend(bucket, now_ms):
    """Spend one token, if there is one that has not expired.

    :returns: whether a token was spent.
    """
    if not has_token(bucket, now_ms):
        return False
    bucket.tokens -= 1
    return True


def drop_expired(bucket, now_ms):
    """Drop expired tokens, both held here and granted to holders.

    :param now_ms: the present time.
    """
    if now_ms >= bucket.expires_at_ms:
        bucket.tokens = 0
    for holder_id, held in list(bucket.granted.items()):
        if now_ms >= held.expires_at_ms:
            del bucket.granted[holder_id]


def held_count(bucket):
    """Count the tokens held here and granted to holders.

    :returns: number of tokens.
    """
    granted = sum(held.tokens for held in bucket.granted.values())
    return bucket.tokens + granted


def apply_grant(bucket, grant, response, sent_at_ms, now_ms):
    """Apply a grant from a grantor.

    :param grant: :class:`~fescueyard.limits.messages.TokenGrant`.
    :param response: :class:`~fescueyard.limits.messages.TokenResponse` that
        carried it.
    :param sent_at_ms: when the request was sent; lifetimes begin then.
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
