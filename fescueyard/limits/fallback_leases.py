"""Leases of fallback shares by the fleet grantor to zones.

A share counts as in use from :data:`RESERVE_AFTER_MS` after the latest
response that its holder is known to have received. The holder begins to use it
later than that, counted from the arrival of that response or of a later one.
"""

from fescueyard.core import logs
from fescueyard.limits import messages
from fescueyard.limits import models
from fescueyard.limits import shards
from fescueyard.routing import models as routing_models

LOG = logs.ComponentLogger("limits")

# Shorter than fallback.FALLBACK_AFTER_MS, so that a fleet grantor whose clock
# is a twentieth slower than the holder's still reserves in time.
RESERVE_AFTER_MS = 660
# Longer than fallback.LEASE_MS for the same reason.
LEASE_MS = 60_000


def is_superseded(table, request):
    """Return whether this or a later request of its holder was handled.

    :param table: :class:`~fescueyard.limits.models.GrantorTable`.
    :param request: :class:`~fescueyard.limits.messages.TokenRequest`.
    :returns: bool.
    """
    holder = table.holders.get(request.holder_id)
    return holder is not None and request.request_id <= holder.request_id


def changes_reservations(table, request, now_ms):
    """Return whether recording a request may change the reserved shares.

    It may when the holder is new or silent, or reports a shard that its
    previous request left out.

    :param table: :class:`~fescueyard.limits.models.GrantorTable`.
    :param request: :class:`~fescueyard.limits.messages.TokenRequest`.
    :param now_ms: the present time.
    :returns: bool.
    """
    holder = table.holders.get(request.holder_id)
    if holder is None or is_silent(holder, now_ms):
        return True
    return any(
        requested.shard not in holder.shares
        for requested in request.fallback_shares
    )


def record_request(table, request, now_ms):
    """Record what a holder confirms, and which shares it has.

    :param table: :class:`~fescueyard.limits.models.GrantorTable`.
    :param request: :class:`~fescueyard.limits.messages.TokenRequest`.
    :param now_ms: the present time.
    """
    holder = table.holders.get(request.holder_id)
    shares = {
        requested.shard: requested.share
        for requested in request.fallback_shares
    }
    if holder is None:
        confirmed_at_ms = now_ms
        if any(shares.values()):
            # An earlier leader's lease may be in use until the response.
            confirmed_at_ms = table.leader_since_ms - RESERVE_AFTER_MS
        holder = models.Holder(
            request.zone, request.request_id, now_ms, confirmed_at_ms, shares
        )
        table.holders[request.holder_id] = holder
        return
    if request.acknowledged_id == holder.request_id:
        holder.confirmed_at_ms = holder.responded_at_ms
    holder.request_id = request.request_id
    holder.responded_at_ms = now_ms
    holder.shares = shares


def lease_shares(table, request, share, unreported, now_ms):
    """Decide on the fallback shares of a holder.

    A holder's share grows only by what no other holder has. The response
    reports a smaller share at once, but the difference is free for others only
    when the holder has confirmed that response.

    :param table: :class:`~fescueyard.limits.models.GrantorTable`.
    :param request: :class:`~fescueyard.limits.messages.TokenRequest`, already
        recorded.
    :param share: sum of all holders' shares of a shard.
    :param unreported: shares by shard that zones without a request so far may
        have.
    :param now_ms: the present time.
    :returns: list of the response's
        :class:`~fescueyard.limits.messages.FallbackShare`.
    """
    holder = table.holders[request.holder_id]
    leased_shares = []
    for requested in request.fallback_shares:
        others = 0.0
        count = 1
        for other in table.holders.values():
            if other is holder or requested.shard not in other.shares:
                continue
            others += other.shares[requested.shard]
            count += not is_silent(other, now_ms)
        others += unreported.get(requested.shard, 0.0)
        free = max(0.0, share - others)
        leased = min(share / count, free)
        holder.shares[requested.shard] = max(requested.share, leased)
        leased_shares.append(messages.FallbackShare(requested.shard, leased))
    return leased_shares


def is_silent(holder, now_ms):
    """Return whether a holder of shares is late to confirm a response.

    It may then be using its shares, so they are reserved.

    :param holder: :class:`~fescueyard.limits.models.Holder`.
    :param now_ms: the present time.
    :returns: bool.
    """
    if not any(holder.shares.values()):
        return False
    return now_ms > holder.confirmed_at_ms + RESERVE_AFTER_MS


def silent_holders(table, now_ms):
    """List the holders whose shares are reserved.

    :param table: :class:`~fescueyard.limits.models.GrantorTable`.
    :param now_ms: the present time.
    :returns: :class:`~fescueyard.limits.models.Holder` by id.
    """
    return {
        holder_id: holder
        for holder_id, holder in table.holders.items()
        if is_silent(holder, now_ms)
    }


def unreported_shares(table, members, share, now_ms):
    """Return what an earlier leader may have leased to unreported zones.

    These are the zones that have not sent this leader a request for a shard.

    :param table: :class:`~fescueyard.limits.models.GrantorTable`.
    :param members: the control process's member table.
    :param share: sum of all holders' shares of a shard.
    :param now_ms: the present time.
    :returns: shares of the rates, 0 to 1, by shard; empty once such leases
        have expired.
    """
    if not share or now_ms >= table.leader_since_ms + LEASE_MS:
        return {}
    zones = _zones(table, members)
    if not zones:
        return {}
    shares_by_shard = {}
    for shard in range(shards.GRANTORS_PER_ZONE):
        reported_zones = {
            holder.zone
            for holder in table.holders.values()
            if shard in holder.shares
        }
        shares_by_shard[shard] = (
            share * len(zones - reported_zones) / len(zones)
        )
    return shares_by_shard


def _zones(table, members):
    """Return the zones that may have nodes; cached until the members change.

    Load pattern: all control processes are restarted while a zone is cut off.
    The new leader has no member of that zone, which goes on using its share.
    Only the settings name it.
    """
    if table.zones_version != members.version:
        table.zones_version = members.version
        table.zones = set(table.configured_zones) | {
            member.zone
            for member in members.rows.values()
            if member.role == routing_models.NODE_ROLE
            and member.status != routing_models.LEFT
        }
    return table.zones


def reserved_ms(table, silent, unreported, shard, since_ms, now_ms):
    """Return how long a rate was reserved, weighted by the shares.

    :param table: :class:`~fescueyard.limits.models.GrantorTable`.
    :param silent: holders that are silent now, by id.
    :param unreported: shares of the unreported zones, by shard.
    :param shard: the shard of customers.
    :param since_ms: start of the period.
    :param now_ms: its end, the present time.
    :returns: milliseconds times the share.
    """
    total_ms = 0.0
    for holder in silent.values():
        begins_at_ms = holder.confirmed_at_ms + RESERVE_AFTER_MS
        ends_at_ms = holder.responded_at_ms + LEASE_MS
        overlap_ms = min(now_ms, ends_at_ms) - max(since_ms, begins_at_ms)
        total_ms += holder.shares.get(shard, 0.0) * max(0.0, overlap_ms)
    total_ms += unreported.get(shard, 0.0) * (now_ms - since_ms)
    return min(total_ms, now_ms - since_ms)


def expired_holders(table, members, now_ms):
    """List the holders whose leases end.

    A lease ends when it expires. That of a silent holder also ends when the
    holder has left, or is dead and was replaced.

    :param table: :class:`~fescueyard.limits.models.GrantorTable`.
    :param members: the control process's member table.
    :param now_ms: the present time.
    :returns: list of holder ids.
    """
    return [
        holder_id
        for holder_id, holder in table.holders.items()
        if now_ms >= holder.responded_at_ms + LEASE_MS
        or (
            is_silent(holder, now_ms)
            and _has_left_or_was_replaced(members, holder_id)
        )
    ]


def log_silence_changes(table, now_ms):
    """Log which holders became silent or responsive again.

    :param table: :class:`~fescueyard.limits.models.GrantorTable`.
    :param now_ms: the present time.
    """
    for holder_id, holder in table.holders.items():
        silent = is_silent(holder, now_ms)
        if silent == holder.shares_reserved:
            continue
        holder.shares_reserved = silent
        fields = {
            "holder": holder_id,
            "zone": holder.zone,
            "parts": dict(holder.shares),
            "confirmed_ms_ago": round(now_ms - holder.confirmed_at_ms),
            "asked_ms_ago": round(now_ms - holder.responded_at_ms),
        }
        if silent:
            LOG.info("part_held_back", **fields)
        else:
            LOG.info("part_given_back", **fields)


def _has_left_or_was_replaced(members, holder_id):
    """Return whether a process has left, or is dead and was replaced."""
    member = members.rows.get(holder_id)
    if member is None:
        return False
    if member.status == routing_models.LEFT:
        return True
    successor_id = members.by_address.get(member.address)
    return member.status == routing_models.DEAD and successor_id is not None
