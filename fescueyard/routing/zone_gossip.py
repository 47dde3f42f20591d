"""Whom membership contacts where bytes between zones are expensive.

Load pattern: every process probes and gossips with all others, so most of the
bytes leave the zone, and every update crosses between zones hundreds of times.
Here processes probe and gossip inside their zone. Its relays
(:mod:`fescueyard.routing.zone_relays`) probe the relays of the other zones and
send them the updates of their zone a few times. An update that is lost
nevertheless is found when relays compare their tables
(:mod:`fescueyard.routing.table_sync`).

A zone that was cut off has to be found dead, and alive again, as a whole and
not one process after another. A relay therefore probes many processes of a
zone that it hasn't heard, and many dead ones of a zone that it hears again.
"""

from fescueyard.routing import models
from fescueyard.routing import zone_relays

# Interval at which a relay probes one relay of each other zone.
PROBE_INTERVAL_MS = 500
# A zone may be cut off when it was not heard for this long, which is more than
# two intervals of the probes.
DOUBT_MS = 1_100
# Time after a zone is heard again in which many of its dead processes are
# probed.
BACK_MS = 10_000
# Processes of a zone that are probed at once when it may be cut off, or when
# it is heard again.
PROBES_AT_ONCE = 16
# Times that a relay sends an update to each other zone. The other relay of its
# zone does the same.
RELAY_TRANSMISSIONS = 3
DATAGRAMS_PER_ZONE_MAX = 8


def queue_for_relays(table, member, learned_directly):
    """Queue an update for the relays of other zones.

    An update that came from another zone was sent to all zones from there.

    :param table: the member table.
    :param member: the updated entry.
    :param learned_directly: whether this process detected the change, or
        learned of it with a probe.
    """
    if member.zone == table.own.zone or learned_directly:
        table.relay_updates[member.node_id] = models.PendingUpdate(
            member, RELAY_TRANSMISSIONS
        )


def take_relay_datagrams(tables):
    """Take what is due to be sent to relays of other zones.

    :param tables: the process's tables.
    :returns: list of pairs of a process id and a list of entries; empty when
        this process is no relay.
    """
    table = tables.members
    updates = table.relay_updates
    if not updates:
        return []
    if not zone_relays.is_relay(table):
        updates.clear()
        return []
    members = _take_relay_updates(updates)
    datagrams = []
    for zone in zone_relays.other_zones(table):
        node_id = tables.random.choice(zone_relays.relays_of(table, zone))
        for start in range(0, len(members), models.MEMBERS_PER_DATAGRAM):
            batch = members[start : start + models.MEMBERS_PER_DATAGRAM]
            datagrams.append((node_id, batch))
    return datagrams


def _take_relay_updates(updates):
    """Count a transmission of the first updates and return their entries."""
    count_max = models.MEMBERS_PER_DATAGRAM * DATAGRAMS_PER_ZONE_MAX
    taken = list(updates.values())[:count_max]
    for update in taken:
        update.transmissions_left -= 1
        if update.transmissions_left <= 0:
            del updates[update.member.node_id]
    return [update.member for update in taken]


def own_relays(table):
    """List the relays of the own zone, without this process.

    :param table: the member table.
    :returns: list of process ids.
    """
    return [
        node_id
        for node_id in zone_relays.relays_of(table, table.own.zone)
        if node_id != table.own.node_id
    ]


def zone_probe_targets(tables, now_ms):
    """Choose the processes of other zones that are probed now.

    :param tables: the process's tables.
    :param now_ms: the present time.
    :returns: list of process ids; empty when this process is no relay.
    """
    table = tables.members
    if now_ms < table.zone_probe_due_ms:
        return []
    table.zone_probe_due_ms = now_ms + PROBE_INTERVAL_MS
    if not zone_relays.is_relay(table):
        table.zones_heard_ms.clear()
        return []
    zones = zone_relays.other_zones(table)
    _update_zones_heard(table, zones, now_ms)
    targets = []
    for zone in zones:
        if now_ms - table.zones_heard_ms[zone] >= DOUBT_MS:
            targets.extend(_sample_unprobed(tables, zone))
        else:
            relays = zone_relays.relays_of(table, zone)
            targets.append(relays[table.last_probe_id % len(relays)])
    return targets


def _update_zones_heard(table, zones, now_ms):
    """Forget zones that are gone; count new ones as heard at present."""
    for zone in table.zones_heard_ms.keys() - zones:
        del table.zones_heard_ms[zone]
    for zone in zones:
        if zone not in table.zones_heard_ms:
            table.zones_heard_ms[zone] = table.zones_back_ms[zone] = now_ms


def _sample_unprobed(tables, zone):
    """Choose processes of a zone that no probe is under way to."""
    table = tables.members
    probed = {probe.node_id for probe in table.probes.values()}
    node_ids = [
        member.node_id
        for member in table.rows.values()
        if member.zone == zone
        and member.status == models.ALIVE
        and member.node_id not in probed
    ]
    return tables.random.sample(node_ids, min(PROBES_AT_ONCE, len(node_ids)))


def record_heard(table, process_id, now_ms):
    """Record a probe of a process, or its response, if it is in another zone.

    :param table: the member table.
    :param process_id: the process that sent it.
    :param now_ms: the present time.
    """
    member = table.rows.get(process_id)
    if member is None or member.zone == table.own.zone:
        return
    heard_ms = table.zones_heard_ms.get(member.zone, float("-inf"))
    if now_ms - heard_ms >= DOUBT_MS:
        table.zones_back_ms[member.zone] = now_ms
    table.zones_heard_ms[member.zone] = now_ms


def is_back(table, zone, now_ms):
    """Return whether another zone was first heard again a short time ago.

    :param table: the member table.
    :param zone: the zone.
    :param now_ms: the present time.
    :returns: bool.
    """
    back_ms = table.zones_back_ms.get(zone, float("-inf"))
    return now_ms - back_ms < BACK_MS


def indirect_candidates(table, target):
    """List the processes that may probe another one for this process.

    :param table: the member table.
    :param target: entry of the process to probe.
    :returns: list of process ids, without the target and this process.
    """
    if target.zone == table.own.zone:
        node_ids = zone_relays.own_zone_others(table)
    else:
        node_ids = own_relays(table)
        for zone in zone_relays.other_zones(table):
            node_ids.extend(zone_relays.relays_of(table, zone))
    return [node_id for node_id in node_ids if node_id != target.node_id]


def dead_probe_targets(tables, dead, now_ms):
    """Choose the processes considered dead that are probed now.

    :param tables: the process's tables.
    :param dead: their entries.
    :param now_ms: the present time.
    :returns: list of entries: one of the own zone and, when this process is a
        relay, one of each other zone, or many of a zone that is heard again.
    """
    table = tables.members
    by_zone = {}
    for member in dead:
        by_zone.setdefault(member.zone, []).append(member)
    is_relay = zone_relays.is_relay(table)
    targets = []
    for zone, members in by_zone.items():
        count = 1
        if zone != table.own.zone:
            if not is_relay:
                continue
            if is_back(table, zone, now_ms):
                count = min(PROBES_AT_ONCE, len(members))
        targets.extend(tables.random.sample(members, count))
    return targets


def credible_members(table, members, source_id):
    """Leave out failures that the sender of a table can't know.

    The processes of a zone find their own failures. After a partition has
    healed, the other side's table says that all processes of this one failed.

    :param table: the member table.
    :param members: entries of another process's table.
    :param source_id: that process.
    :returns: list of the entries to apply.
    """
    source = table.rows.get(source_id)
    if source is None or source.zone == table.own.zone:
        return members
    return [
        member
        for member in members
        if member.status in (models.ALIVE, models.LEFT)
        or member.zone == source.zone
        or member.node_id == table.own.node_id
    ]
