"""The promises of the fleet's grantor: parts of the rates for zones in a cut.

A part counts as in use from :data:`HELD_BACK_AFTER_MS` after the latest answer
that its owner is known to have received. The owner begins to use it later than
that, counted from the arrival of that answer or of a later one.
"""

from fescueyard.core import logs
from fescueyard.limits import messages
from fescueyard.limits import models
from fescueyard.limits import shards
from fescueyard.routing import models as routing_models

LOG = logs.PartLogger("limits")

# Shorter than standing.SILENT_MS, so that a clock that is slower by a
# twentieth still holds back in time.
HELD_BACK_AFTER_MS = 660
# Longer than standing.PROMISE_MS for the same reason.
PROMISE_MS = 60_000


def is_overtaken(table, ask):
    """Say whether a later question of the same holder came before.

    :param table: :class:`~fescueyard.limits.models.FleetTable`.
    :param ask: :class:`~fescueyard.limits.messages.TokenAsk`.
    :returns: bool.
    """
    row = table.holders.get(ask.holder_id)
    return row is not None and ask.question_id <= row.question_id


def changes_what_is_held_back(table, ask, now_ms):
    """Say whether a question ends the silence of a holder or of a zone.

    :param table: :class:`~fescueyard.limits.models.FleetTable`.
    :param ask: :class:`~fescueyard.limits.messages.TokenAsk`.
    :param now_ms: the present time.
    :returns: bool.
    """
    row = table.holders.get(ask.holder_id)
    if row is None or is_silent(row, now_ms):
        return True
    return any(each.shard not in row.shares for each in ask.parts)


def note_question(table, ask, now_ms):
    """Take in what a holder confirms, and which parts it has.

    :param table: :class:`~fescueyard.limits.models.FleetTable`.
    :param ask: :class:`~fescueyard.limits.messages.TokenAsk`.
    :param now_ms: the present time.
    """
    row = table.holders.get(ask.holder_id)
    shares = {each.shard: each.share for each in ask.parts}
    if row is None:
        confirmed_at_ms = now_ms
        if any(shares.values()):
            # An earlier leader's promise may be in use until the answer.
            confirmed_at_ms = table.in_charge_since_ms - HELD_BACK_AFTER_MS
        row = models.HolderRow(
            ask.zone, ask.question_id, now_ms, confirmed_at_ms, shares
        )
        table.holders[ask.holder_id] = row
        return
    if ask.answered_id == row.question_id:
        row.confirmed_at_ms = row.answered_at_ms
    row.question_id = ask.question_id
    row.answered_at_ms = now_ms
    row.shares = shares


def promise(table, ask, share, unheard, now_ms):
    """Decide on the parts of a holder.

    A part grows out of what nobody else has. It shrinks at once in the answer,
    and for others only when the holder has confirmed that.

    :param table: :class:`~fescueyard.limits.models.FleetTable`.
    :param ask: :class:`~fescueyard.limits.messages.TokenAsk`, already noted.
    :param share: sum of all parts of a shard.
    :param unheard: shares by shard that zones not heard yet may have.
    :param now_ms: the present time.
    :returns: list of the answer's
        :class:`~fescueyard.limits.messages.RatePart`.
    """
    row = table.holders[ask.holder_id]
    told = []
    for claim in ask.parts:
        others = 0.0
        count = 1
        for other in table.holders.values():
            if other is row or claim.shard not in other.shares:
                continue
            others += other.shares[claim.shard]
            count += not is_silent(other, now_ms)
        others += unheard.get(claim.shard, 0.0)
        free = max(0.0, share - others)
        promised = min(share / count, free)
        row.shares[claim.shard] = max(claim.share, promised)
        told.append(messages.RatePart(claim.shard, promised))
    return told


def is_silent(row, now_ms):
    """Say whether a holder may use its parts now, as far as is known.

    :param row: :class:`~fescueyard.limits.models.HolderRow`.
    :param now_ms: the present time.
    :returns: bool.
    """
    if not any(row.shares.values()):
        return False
    return now_ms > row.confirmed_at_ms + HELD_BACK_AFTER_MS


def silent_holders(table, now_ms):
    """List the holders whose parts are held back.

    :param table: :class:`~fescueyard.limits.models.FleetTable`.
    :param now_ms: the present time.
    :returns: rows of :class:`~fescueyard.limits.models.HolderRow` by holder.
    """
    return {
        holder_id: row
        for holder_id, row in table.holders.items()
        if is_silent(row, now_ms)
    }


def unheard_shares(table, members, share, now_ms):
    """Say what an earlier leader may have promised to zones not heard yet.

    :param table: :class:`~fescueyard.limits.models.FleetTable`.
    :param members: the control process's member table.
    :param share: sum of all parts of a shard.
    :param now_ms: the present time.
    :returns: parts of the rates, 0 to 1, by shard; none once such promises
        have ended.
    """
    if not share or now_ms >= table.in_charge_since_ms + PROMISE_MS:
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


def held_back_ms(table, silent, unheard, shard, since_ms, now_ms):
    """Add up for how long which part of a rate was held back.

    :param table: :class:`~fescueyard.limits.models.FleetTable`.
    :param silent: rows of the holders that are silent now.
    :param unheard: shares of the zones not heard yet, by shard.
    :param shard: the customers in question.
    :param since_ms: begin of the time to look at.
    :param now_ms: its end, the present time.
    :returns: milliseconds times the share.
    """
    total_ms = 0.0
    for row in silent.values():
        begins_at_ms = row.confirmed_at_ms + HELD_BACK_AFTER_MS
        ends_at_ms = row.answered_at_ms + PROMISE_MS
        spent_ms = min(now_ms, ends_at_ms) - max(since_ms, begins_at_ms)
        total_ms += row.shares.get(shard, 0.0) * max(0.0, spent_ms)
    total_ms += unheard.get(shard, 0.0) * (now_ms - since_ms)
    return min(total_ms, now_ms - since_ms)


def lapsed(table, members, now_ms):
    """List the holders whose promises have ended.

    :param table: :class:`~fescueyard.limits.models.FleetTable`.
    :param members: the control process's member table.
    :param now_ms: the present time.
    :returns: list of holders.
    """
    return [
        holder_id
        for holder_id, row in table.holders.items()
        if now_ms >= row.answered_at_ms + PROMISE_MS
        or (is_silent(row, now_ms) and _is_gone(members, holder_id))
    ]


def log_changes(table, now_ms):
    """Log which holders fell silent or came back.

    :param table: :class:`~fescueyard.limits.models.FleetTable`.
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
            "asked_ms_ago": round(now_ms - row.answered_at_ms),
        }
        if silent:
            LOG.info("part_held_back", **fields)
        else:
            LOG.info("part_given_back", **fields)


def _is_gone(members, holder_id):
    """Say whether a process has left, or another one has its address."""
    member = members.rows.get(holder_id)
    if member is None:
        return False
    if member.status == routing_models.LEFT:
        return True
    successor_id = members.by_address.get(member.address)
    return member.status == routing_models.DEAD and successor_id is not None
