"""Selection of the process that grants a node its tokens of a customer."""

import hashlib

from fescueyard.limits import fallback
from fescueyard.limits import models
from fescueyard.limits import shards
from fescueyard.routing import membership
from fescueyard.routing import models as routing_models


def grantor_of(tables, customer, now_ms):
    """Return the node that grants this node's tokens of a customer.

    :param tables: the node's tables.
    :param customer: name of the customer.
    :param now_ms: the present time.
    :returns: id of the node; the own id for requests to the fleet grantor.
    """
    return _grantor_of_shard(tables, shards.shard_of(customer), now_ms)


def _grantor_of_shard(tables, shard, now_ms):
    """Choose a grantor that responds.

    That is a node of the same zone. When it does not respond, this node
    requests from the fleet grantor itself; when that does not respond either,
    from a grantor of another zone, which may still reach the fleet grantor.
    That is safe, since each grantor accounts for every holder alike. While
    this node has a fallback share in use, it does not turn to another zone.
    """
    table = tables.limits
    own_id = tables.members.own.node_id
    node_id = _grantor(tables, shard, True)
    if node_id != own_id and not _has_failed(table, node_id, now_ms):
        return node_id
    if fallback.is_fallback_active(tables, shard, now_ms):
        return own_id
    if not _has_failed(table, models.FLEET_LINK, now_ms):
        return own_id
    node_id = _grantor(tables, shard, False)
    return own_id if _has_failed(table, node_id, now_ms) else node_id


def own_shards(tables):
    """List the shards that this node grants in its zone.

    :param tables: the node's tables.
    :returns: list of shard numbers.
    """
    own_id = tables.members.own.node_id
    return [
        shard
        for shard in range(shards.GRANTORS_PER_ZONE)
        if _grantor(tables, shard, True) == own_id
    ]


def is_cut_off(tables, customer, now_ms):
    """Return whether no grantor is reachable.

    :param tables: the node's tables.
    :param customer: name of the customer.
    :param now_ms: the present time.
    :returns: bool.
    """
    table = tables.limits
    own_id = tables.members.own.node_id
    if grantor_of(tables, customer, now_ms) != own_id:
        return False
    if fallback.is_fallback_active(tables, shards.shard_of(customer), now_ms):
        return False
    return _has_failed(table, models.FLEET_LINK, now_ms)


def own_bucket(tables, customer, now_ms):
    """Return the bucket that this node spends its own calls' tokens from.

    :param customer: name of the customer.
    :param now_ms: the present time.
    :returns: :class:`~fescueyard.limits.models.LocalBucket`.
    """
    grantor_id = grantor_of(tables, customer, now_ms)
    if grantor_id == tables.members.own.node_id:
        return tables.limits.zone_buckets.setdefault(
            customer, models.LocalBucket()
        )
    return tables.limits.node_buckets.setdefault(
        customer, models.LocalBucket()
    )


def _has_failed(table, key, now_ms):
    link = table.links.get(key)
    return link is not None and now_ms < link.failed_until_ms


def _grantor(tables, shard, in_own_zone):
    table = tables.limits
    if table.grantors_version != tables.members.version:
        table.grantors.clear()
        table.grantors_version = tables.members.version
    node_id = table.grantors.get((shard, in_own_zone))
    if node_id is None:
        node_id = _choose_grantor(tables.members, shard, in_own_zone)
        table.grantors[shard, in_own_zone] = node_id
    return node_id


def _choose_grantor(members, shard, in_own_zone):
    """Choose by rendezvous hashing; a change of nodes moves few shards."""
    best = (b"", members.own.node_id)
    for member in members.rows.values():
        usable = (
            (member.zone == members.own.zone) == in_own_zone
            and member.role == routing_models.NODE_ROLE
            and not member.leaving
            and membership.is_alive(members, member.node_id)
        )
        if usable:
            text = f"{shard}/{member.node_id}".encode()
            digest = hashlib.blake2b(text, digest_size=8).digest()
            best = max(best, (digest, member.node_id))
    return best[1]
