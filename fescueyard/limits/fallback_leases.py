"""The promises of the fleet's grantor: parts of the rates for zones in a cut.

A part counts as in use from :data:`RESERVE_AFTER_MS` after the latest answer
that its owner is known to have received. The owner begins to use it later than
that, counted from the arrival of that answer or of a later one.
"""

from fescueyard.core import logs
from fescueyard.limits import messages
from fescueyard.limits import models
from fescueyard.limits import shards
from fescueyard.routing import models as routing_models

LOG = logs.PartLogger("limits")

# Shorter than standing.FALLBACK_AFTER_MS, so that a clock that is slower by a
# twentieth still holds back in time.
RESERVE_AFTER_MS = 660
# Longer than standing.LEASE_MS for the same reason.
LEASE_MS = 60_000


def is_superseded(table, request):
    """Say whether a later question of the same holder came before.

    :param table: :class:`~fescueyard.limits.models.GrantorTable`.
    :param request: :class:`~fescueyard.limits.messages.TokenRequest`.
    :returns: bool.
    """
    row = table.holders.get(request.holder_id)
    return row is not None and request.request_id <= row.request_id


def changes_reservations(table, request, now_ms):
    """Say whether a question ends the silence of a holder or of a zone.

    :param table: :class:`~fescueyard.limits.models.GrantorTable`.
    :param request: :class:`~fescueyard.limits.messages.TokenRequest`.
    :param now_ms: the present time.
    :returns: bool.
    """
    row = table.holders.get(request.holder_id)
    if row is None or is_silent(row, now_ms):
        return True
    return any(
        each.shard not in row.shares for each in request.fallback_shares
    )


def record_request(table, request, now_ms):
    """Take in what a holder confirms, and which parts it has.

    :param table: :class:`~fescueyard.limits.models.GrantorTable`.
    :param request: :class:`~fescueyard.limits.messages.TokenRequest`.
    :param now_ms: the present time.
    """
    row = table.holders.get(request.holder_id)
    shares = {each.shard: each.share for each in request.fallback_shares}
    if row is None:
        confirmed_at_ms = now_ms
        if any(shares.values()):
            # An earlier leader's promise may be in use until the answer.
            confirmed_at_ms = table.leader_since_ms - RESERVE_AFTER_MS
        row = models.Holder(
            request.zone, request.request_id, now_ms, confirmed_at_ms, shares
        )
        table.holders[request.holder_id] = row
        return
    if request.acknowledged_id == row.request_id:
        row.confirmed_at_ms = row.responded_at_ms
    row.request_id = request.request_id
    row.responded_at_ms = now_ms
    row.shares = shares


def lease_shares(table, request, share, unreported, now_ms):
    """Decide on the parts of a holder.

    A part grows out of what nobody else has. It shrinks at once in the answer,
    and for others only when the holder has confirmed that.

    :param table: :class:`~fescueyard.limits.models.GrantorTable`.
    :param request: :class:`~fescueyard.limits.messages.TokenRequest`, already
        recorded.
    :param share: sum of all parts of a shard.
    :param unreported: shares by shard that zones not heard yet may have.
    :param now_ms: the present time.
    :returns: list of the answer's
        :class:`~fescueyard.limits.messages.FallbackShare`.
    """
    row = table.holders[request.holder_id]
    told = []
    for claim in request.fallback_shares:
        others = 0.0
        count = 1
        for other in table.holders.values():
            if other is row or claim.shard not in other.shares:
                continue
            others += other.shares[claim.shard]
            count += not is_silent(other, now_ms)
        others += unreported.get(claim.shard, 0.0)
        free = max(0.0, share - others)
        promised = min(share / count, free)
        row.shares[claim.shard] = max(claim.share, promised)
        told.append(messages.FallbackShare(claim.shard, promised))
    return told


def is_silent(row, now_ms):
    """Say whether a holder may use its parts now, as far as is known.

    :param row: :class:`~fescueyard.limits.models.Holder`.
    :param now_ms: the present time.
    :returns: bool.
    """
    if not any(row.shares.values()):
        return False
    return now_ms > row.confirmed_at_ms + RESERVE_AFTER_MS


def silent_holders(table, now_ms):
    """List the holders whose parts are held back.

    :param table: :class:`~fescueyard.limits.models.GrantorTable`.
    :param now_ms: the present time.
    :returns: rows of :class:`~fescueyard.limits.models.Holder` by holder.
    """
    return {
        holder_id: row
        for holder_id, row in table.holders.items()
        if is_silent(row, now_ms)
    }


def unreported_shares(table, members, share, now_ms):
    """Say what an earlier leader may have promised to zones not heard yet.

    :param table: :class:`~fescueyard.limits.models.GrantorTable`.
    :param members: the control process's member table.
    :param share: sum of all parts of a shard.
    :param now_ms: the present time.
    :returns: parts of the rates, 0 to 1, by shard; none once such promises
        have ended.
    """
    if not share or now_ms >= table.leader_since_ms + LEASE_MS:
        return {}
    zones = _zones(table, members)
    if not zones:
        return {}
    found = {}
    for shard in range(shards.GRANTORS_PER_ZONE):
        heard = {
            row.zone for row in table.holders.values() if shard in row.shares
        }
        found[shard] = share * len(zones - heard) / len(zones)
    return found


def _zones(table, members):
    """Find the zones that have nodes; anew when the members have changed."""
    if table.zones_version != members.version:
        table.zones_version = members.version
        table.zones = {
            member.zone
            for member in members.rows.values()
            if member.role == routing_models.NODE_ROLE
            and member.status != routing_models.LEFT
        }
    return table.zones


def reserved_ms(table, silent, unreported, shard, since_ms, now_ms):
    """Add up for how long which part of a rate was held back.

    :param table: :class:`~fescueyard.limits.models.GrantorTable`.
    :param silent: rows of the holders that are silent now.
    :param unreported: shares of the zones not heard yet, by shard.
    :param shard: the customers in question.
    :param since_ms: begin of the time to look at.
    :param now_ms: its end, the present time.
    :returns: milliseconds times the share.
    """
    total_ms = 0.0
    for row in silent.values():
        begins_at_ms = row.confirmed_at_ms + RESERVE_AFTER_MS
        ends_at_ms = row.responded_at_ms + LEASE_MS
        spent_ms = min(now_ms, ends_at_ms) - max(since_ms, begins_at_ms)
        total_ms += row.shares.get(shard, 0.0) * max(0.0, spent_ms)
    total_ms += unreported.get(shard, 0.0) * (now_ms - since_ms)
    return min(total_ms, now_ms - since_ms)


def expired_holders(table, members, now_ms):
    """List the holders whose promises have ended.

    :param table: :class:`~fescueyard.limits.models.GrantorTable`.
    :param members: the control process's member table.
    :param now_ms: the present time.
    :returns: list of holders.
    """
    return [
        holder_id
        for holder_id, row in table.holders.items()
        if now_ms >= row.responded_at_ms + LEASE_MS
        or (is_silent(row, now_ms) and _has_departed(members, holder_id))
    ]


def log_silence_changes(table, now_ms):
    """Log which holders fell silent or came back.

    :param table: :class:`~fescueyard.limits.models.GrantorTable`.
    :param now_ms: the present time.
    """
    for holder_id, row in table.holders.items():
        silent = is_silent(row, now_ms)
        if silent == row.silent:
            continue
        row.silent = silent
        fields = {
            "holder": holder_id,
            "zone": row.zone,
            "parts": dict(row.shares),
            "confirmed_ms_ago": round(now_ms - row.confirmed_at_ms),
            "asked_ms_ago": round(now_ms - row.responded_at_ms),
        }
        if silent:
            LOG.info("part_held_back", **fields)
        else:
            LOG.info("part_given_back", **fields)


def _has_departed(members, holder_id):
    """Say whether a process has left, or another one has its address."""
    member = members.rows.get(holder_id)
    if member is None:
        return False
    if member.status == routing_models.LEFT:
        return True
    successor_id = members.by_address.get(member.address)
    return member.status == routing_models.DEAD and successor_id is not None
