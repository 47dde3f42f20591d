"""Comparison of member tables between two processes.

Gossip can lose an update, and a process that starts knows nothing. Each
process therefore asks another one for what changed in its table since the last
answer, often while it starts and rarely afterwards. Control processes always
ask each other often. The answer is empty when the digests of both agree.

Where bytes between zones are expensive, a process asks processes of its own
zone. Only the relays of a zone (:mod:`fescueyard.routing.zone_relays`) compare
their table with those of other zones. A process that knows no other one of its
zone asks a seed for the processes of its zone first.
"""

import zlib

from fescueyard.core import dispatch
from fescueyard.core import effects
from fescueyard.core import packing
from fescueyard.routing import membership
from fescueyard.routing import messages
from fescueyard.routing import models
from fescueyard.routing import zone_gossip
from fescueyard.routing import zone_relays

SYNC_INTERVAL_MS = 10_000
SYNC_INTERVAL_FAST_MS = 500
# Interval at which relays compare their table with those of other zones. It
# bounds the delay of an update whose datagrams were all lost.
RELAY_SYNC_INTERVAL_MS = 1_000
# Time in which a process that knows no other one of its zone asks for those;
# afterwards it acts as the only one.
JOIN_MS = 1_000
# Chance that a seed is asked instead of any member. Seeds remain among the
# candidates: after a network partition has healed, only they reconnect sides
# that consider each other dead.
SEED_CHANCE = 0.5
# Addresses for which the version last received is remembered.
KNOWN_TABLES_MAX = 16
# Fewer entries, of some 100 bytes each, are sent uncompressed.
PACKED_MEMBERS_MIN = 4


def tick(tables, now_ms):
    """Ask another process for the changes of its table when that is due.

    :param tables: the process's tables.
    :param now_ms: the present time.
    """
    table = tables.members
    if now_ms < table.sync_due_ms:
        return
    if table.saves_cross_zone:
        _ask_by_zone(tables, now_ms)
        return
    others = membership.alive_others(table)
    # Processes that start ask the control processes, which therefore keep
    # their tables alike.
    fast = (
        not others
        or membership.is_starting(table, now_ms)
        or table.own.role == models.CONTROL_ROLE
    )
    table.sync_due_ms = now_ms + (
        SYNC_INTERVAL_FAST_MS if fast else SYNC_INTERVAL_MS
    )
    use_seed = fast or tables.random.random() < SEED_CHANCE
    choices = [table.rows[node_id].address for node_id in others]
    if use_seed and table.seeds:
        choices = table.seeds
    if choices:
        _ask(tables, tables.random.choice(choices))


def _ask(tables, address, zone=""):
    request = _new_request(tables.members, address, zone)
    tables.effects.append(effects.SendMessage(address, request))


def _ask_by_zone(tables, now_ms):
    table = tables.members
    starting = membership.is_starting(table, now_ms)
    if _is_joining(table, now_ms):
        table.sync_due_ms = now_ms + SYNC_INTERVAL_FAST_MS
        if table.seeds:
            address = _next_seed(
                table, table.seeds, SYNC_INTERVAL_FAST_MS, now_ms
            )
            _ask(tables, address, table.own.zone)
        return
    is_relay = zone_relays.is_relay(table)
    interval_ms = RELAY_SYNC_INTERVAL_MS if is_relay else SYNC_INTERVAL_MS
    if starting:
        interval_ms = SYNC_INTERVAL_FAST_MS
    if is_relay:
        addresses = _addresses_for_relay(tables, interval_ms, now_ms)
    else:
        addresses = _addresses_in_zone(tables, starting)
    table.sync_due_ms = now_ms + interval_ms
    for address in addresses:
        _ask(tables, address)


def _is_joining(table, now_ms):
    """Return whether this process still looks for others of its zone."""
    if table.joined or table.own.role == models.CONTROL_ROLE:
        return False
    return table.started_at_ms is None or (
        now_ms - table.started_at_ms < JOIN_MS
    )


def _next_seed(table, seeds, interval_ms, now_ms):
    """Choose each seed in turn, so that one that is down costs one request."""
    first = zlib.crc32(table.own.node_id.encode())
    return seeds[(first + int(now_ms // interval_ms)) % len(seeds)]


def _addresses_for_relay(tables, interval_ms, now_ms):
    """Choose a relay of each zone, the own one included, and a seed.

    After a long cut only seeds reconnect zones that consider each other dead,
    so a seed that is not among the members is asked as well.
    """
    table = tables.members
    choices = [
        zone_relays.relays_of(table, zone)
        for zone in zone_relays.other_zones(table)
    ]
    choices.append(zone_gossip.own_relays(table))
    addresses = [
        table.rows[tables.random.choice(node_ids)].address
        for node_ids in choices
        if node_ids
    ]
    unknown = [seed for seed in table.seeds if seed not in table.by_address]
    if unknown:
        addresses.append(_next_seed(table, unknown, interval_ms, now_ms))
    return addresses


def _addresses_in_zone(tables, starting):
    table = tables.members
    choices = zone_relays.own_zone_others(table)
    if starting:
        choices = zone_relays.relays_of(table, table.own.zone)
    if not choices:
        return []
    return [table.rows[tables.random.choice(choices)].address]


def _new_request(table, address, zone):
    known = table.known_tables.get(address, models.KnownTable("", 0))
    return messages.TableRequest(
        table.digest,
        [table.own],
        known.process_id,
        known.version,
        zone,
        table.saves_cross_zone,
    )


@dispatch.receive.register
def _receive_table_request(
    message: messages.TableRequest, tables, sender, now_ms
):
    membership.merge(tables, message.members, now_ms)
    table = tables.members
    own_id = table.own.node_id
    response = messages.TableResponse([], own_id, 0)
    if message.digest != table.digest:
        if message.zone:
            response.members = _members_for_zone(table, message.zone)
        else:
            response.members = _members_since(table, message)
            response.version = table.version
    if message.accepts_packed:
        _pack(table, sender, response)
    tables.effects.append(effects.SendReply(sender.stream, response))


def _members_since(table, message):
    is_known = message.responder_id == table.own.node_id
    since_version = message.known_version if is_known else 0
    return [
        member
        for node_id, member in table.rows.items()
        if table.changed_versions.get(node_id, 0) >= since_version
    ]


def _members_for_zone(table, zone):
    """List the entries of a zone and of the control processes."""
    return [
        member
        for member in table.rows.values()
        if member.status in (models.ALIVE, models.SUSPECT)
        and (member.zone == zone or member.role == models.CONTROL_ROLE)
    ]


def _pack(table, sender, response):
    """Compress the entries when they leave the zone."""
    if len(response.members) < PACKED_MEMBERS_MIN:
        return
    if zone_relays.in_own_zone(table, sender.peer_id):
        return
    response.packed = packing.pack(messages.MemberBatch(response.members))
    response.members = []


@dispatch.receive.register
def _receive_table_response(
    message: messages.TableResponse, tables, sender, now_ms
):
    members = message.members
    if message.packed:
        batch = packing.unpack(messages.MemberBatch, message.packed)
        members = members + batch.members
    table = tables.members
    if table.saves_cross_zone:
        members = zone_gossip.credible_members(
            table, members, message.responder_id
        )
    membership.merge(tables, members, now_ms)
    if table.saves_cross_zone and not table.joined:
        table.joined = bool(zone_relays.own_zone_others(table))
        if table.joined:
            table.sync_due_ms = now_ms
    responder = table.rows.get(message.responder_id)
    if responder is None or not message.version:
        return
    table.known_tables.pop(responder.address, None)
    table.known_tables[responder.address] = models.KnownTable(
        message.responder_id, message.version
    )
    if len(table.known_tables) > KNOWN_TABLES_MAX:
        del table.known_tables[next(iter(table.known_tables))]
