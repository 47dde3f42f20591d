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
from fescueyard.limits import holdings
from fescueyard.limits import messages
from fescueyard.limits import shards

# Each question confirms the last answer; this often at least.
HEARTBEAT_MS = 100
# Silence of the fleet's grantor after which the own part is used.
SILENT_MS = 700
PROMISE_MS = 57_000
# What is minted of the own part is void so soon.
OWN_TOKENS_MS = 500
# Share of the burst that an own part can have saved up, times the part.
LEVEL_SHARE = 0.5


def promised_share(state):
    """Find the share that the profiles allow; the most cautious one holds.

    :param state: the configuration.
    :returns: 0 to 1, over all zones together.
    """
    profiles = state.objects[configuration_models.Kind.PROFILE]
    shares = [each.cut_off_rate_share for each in profiles.values()]
    return min(shares, default=0.0)


def level_max(customer, share):
    """Say how many tokens of an own part may be saved up.

    :param customer: :class:`~fescueyard.configuration.models.Customer`.
    :param share: the part.
    :returns: number of tokens.
    """
    return max(1, int(LEVEL_SHARE * share * customer.burst))


def is_heartbeat_due(tables, own_shards, now_ms):
    """Say whether the fleet's grantor must hear from this process now.

    :param tables: the node's tables.
    :param own_shards: shards that this node grants in its zone.
    :param now_ms: the present time.
    :returns: bool.
    """
    promise = tables.limits.promise
    if now_ms - promise.told_at_ms < HEARTBEAT_MS:
        return False
    if not promised_share(tables.configuration.state):
        return bool(promise.shares)
    return bool(own_shards or promise.shares)


def claims(tables, own_shards):
    """List the parts to confirm or to ask for; others are given back.

    :param tables: the node's tables.
    :param own_shards: shards that this node grants in its zone.
    :returns: list of :class:`~fescueyard.limits.messages.RatePart`.
    """
    promise = tables.limits.promise
    if not promised_share(tables.configuration.state):
        own_shards = ()
    promise.shares = {
        shard: promise.shares.get(shard, 0.0) for shard in own_shards
    }
    return [
        messages.RatePart(shard, share)
        for shard, share in promise.shares.items()
    ]


def take_answer(tables, message, asked_at_ms, now_ms):
    """Take in an answer of the fleet's grantor.

    :param tables: the node's tables.
    :param message: :class:`~fescueyard.limits.messages.TokenAnswer`.
    :param asked_at_ms: when its question was sent.
    :param now_ms: the present time.
    """
    promise = tables.limits.promise
    promise.fed_at_ms = now_ms
    promise.until_ms = asked_at_ms + PROMISE_MS
    promise.answered_id = message.question_id
    promise.shares = {row.shard: row.share for row in message.parts}


def silent_ms(tables, now_ms):
    """Say how long this process has not heard the fleet's grantor.

    :returns: milliseconds.
    """
    return now_ms - tables.limits.promise.fed_at_ms


def lives_on_own_parts(tables, now_ms):
    """Say whether this node grants from own parts, if it has any tokens.

    :param tables: the node's tables.
    :param now_ms: the present time.
    :returns: bool.
    """
    promise = tables.limits.promise
    return any(
        grants_own_part(tables, shard, now_ms) for shard in promise.shares
    )


def grants_own_part(tables, shard, now_ms):
    """Say whether this node grants from its zone's own part now.

    :param tables: the node's tables.
    :param shard: the customers in question.
    :param now_ms: the present time.
    :returns: bool.
    """
    promise = tables.limits.promise
    if not promise.shares.get(shard):
        return False
    return promise.fed_at_ms + SILENT_MS <= now_ms < promise.until_ms


def mint(tables, customer, pool, now_ms):
    """Add to a pool what its own part has yielded, if it may be used now.

    :param tables: the node's tables.
    :param customer: name of the customer.
    :param pool: its :class:`~fescueyard.limits.models.Holding`.
    :param now_ms: the present time.
    """
    shard = shards.shard_of(customer)
    if not grants_own_part(tables, shard, now_ms):
        return
    found = tables.configuration.state.find(
        configuration_models.Kind.CUSTOMER, customer
    )
    if found is None or found.rate_per_s is None:
        return
    promise = tables.limits.promise
    share = promise.shares[shard]
    rate_per_s = share * found.rate_per_s
    begins_at_ms = promise.fed_at_ms + SILENT_MS
    if pool.minted_at_ms < begins_at_ms:
        pool.minted_at_ms = begins_at_ms
        pool.minted_rest = 0.0
    level = pool.minted_rest
    level += rate_per_s * (now_ms - pool.minted_at_ms) / 1000
    pool.minted_at_ms = now_ms
    room = max(0, level_max(found, share) - holdings.held(pool))
    whole = min(int(level), room)
    pool.minted_rest = level - whole if whole < room else 0.0
    pool.tokens += whole
    pool.own_part = True
    pool.expires_at_ms = max(pool.expires_at_ms, now_ms + OWN_TOKENS_MS)
    pool.token_every_ms = max(1.0, 1000 / rate_per_s)
    pool.exhausted_until_ms = float("-inf")
