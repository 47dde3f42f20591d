"""Tokens that this process holds of one customer."""

DEMAND_WINDOW_MS = 1_000


def note_demand(holding, count, now_ms):
    """Note that tokens were asked for.

    :param holding: :class:`~fescueyard.limits.models.Holding`.
    :param count: how many.
    :param now_ms: the present time.
    """
    elapsed_ms = now_ms - holding.demand_at_ms
    holding.demand_at_ms = now_ms
    kept = max(0.0, 1 - elapsed_ms / DEMAND_WINDOW_MS)
    holding.demand_per_s *= kept
    holding.demand_per_s += count * 1000 / DEMAND_WINDOW_MS


def present_demand_per_s(holding, now_ms):
    """Say how many tokens a second were asked for of late.

    :returns: tokens a second.
    """
    elapsed_ms = now_ms - holding.demand_at_ms
    return holding.demand_per_s * max(0.0, 1 - elapsed_ms / DEMAND_WINDOW_MS)


def spend(holding, now_ms):
    """Spend one token, if there is one that is not void.

    :returns: whether there was one.
    """
    if now_ms >= holding.expires_at_ms or holding.tokens < 1:
        return False
    holding.tokens -= 1
    return True


def drop_expired(holding, now_ms):
    """Drop what has become void, here and below.

    :param now_ms: the present time.
    """
    if now_ms >= holding.expires_at_ms:
        holding.tokens = 0
    for holder_id, row in list(holding.granted.items()):
        if now_ms >= row.expires_at_ms:
            del holding.granted[holder_id]


def held(holding):
    """Count the tokens held here and below.

    :returns: number of tokens.
    """
    granted = sum(row.tokens for row in holding.granted.values())
    return holding.tokens + granted


def install(holding, grant, answer, asked_at_ms, now_ms):
    """Take in what a grantor granted.

    :param grant: :class:`~fescueyard.limits.messages.TokenGrant`.
    :param answer: :class:`~fescueyard.limits.messages.TokenAnswer` with it.
    :param asked_at_ms: when the question was sent; lifetimes begin then.
    :param now_ms: the present time.
    """
    expires_at_ms = asked_at_ms + grant.lifetime_ms
    holding.fed_at_ms = now_ms - answer.silent_ms
    holding.own_part = answer.own_part
    if now_ms < expires_at_ms:
        if now_ms >= holding.expires_at_ms:
            holding.tokens = 0
        holding.tokens += grant.granted
        holding.expires_at_ms = max(holding.expires_at_ms, expires_at_ms)
    holding.reported_held += grant.granted
    holding.wanted = 0
    if grant.exhausted:
        holding.exhausted_until_ms = now_ms + grant.retry_after_ms
    else:
        holding.exhausted_until_ms = float("-inf")
    if grant.token_every_ms > 0:
        holding.token_every_ms = max(1.0, grant.token_every_ms)
