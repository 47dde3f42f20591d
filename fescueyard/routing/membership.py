"""Gossip membership (SWIM): probes, suspicion and incarnations.

Each process probes one other process per interval. A process that does not
respond, directly or through others, becomes suspect and then dead unless it
refutes that with a higher incarnation. Updates are piggybacked on probes and
sent in small gossip datagrams. The cost per process does not grow with the
fleet, except that each update is retransmitted a logarithmic number of times.
:mod:`fescueyard.routing.table_sync` compares whole tables. Where bytes between
zones are expensive, :mod:`fescueyard.routing.zone_gossip` chooses the
processes that are contacted.
"""

import dataclasses
import math

from fescueyard.core import dispatch
from fescueyard.core import effects
from fescueyard.routing import messages
from fescueyard.routing import models
from fescueyard.routing import zone_gossip
from fescueyard.routing import zone_health
from fescueyard.routing import zone_relays

PROBE_INTERVAL_MS = 500
INDIRECT_PROBE_DELAY_MS = 250
PROBE_TIMEOUT_MS = 1_000
# Processes considered dead are probed periodically for some time, to detect
# that a network partition has healed.
DEAD_PROBE_INTERVAL_MS = 300
DEAD_PROBE_DURATION_MS = 120_000
INDIRECT_PROBES = 3
RELAYED_PROBES_MAX = 64
SUSPICION_TIMEOUT_MS = 2_500
GOSSIP_INTERVAL_MS = 200
GOSSIP_FANOUT = 3
# Most gossip datagrams that are sent to one process of the own zone at once,
# where bytes between zones are expensive.
ZONE_DATAGRAMS_MAX = 4
RETRANSMIT_FACTOR = 3
# Time after its start in which a process learns of changes from the tables of
# others, and passes on no more than what they do not tell it.
STARTUP_MS = 5_000
LOST_MEMBER_RETENTION_MS = 600_000
SWEEP_INTERVAL_MS = 200
_STATUS_ORDER = {
    models.ALIVE: 0,
    models.SUSPECT: 1,
    models.DEAD: 2,
    models.LEFT: 3,
}


@dataclasses.dataclass(slots=True)
class MemberLost:
    """Event: a process is dead or has left.

    :param node_id: the process.
    :param address: ``host:port`` of its streams.
    """

    node_id: str
    address: str


def update_own_member(tables, now_ms, **fields):
    """Change this process's own member entry and gossip the change.

    Nothing is sent when the entry already has these values.

    :param tables: the process's tables.
    :param now_ms: the present time.
    :param fields: fields of the entry that change.
    """
    own = dataclasses.replace(tables.members.own, **fields)
    if own != tables.members.own:
        _publish_own(tables, own, now_ms)


def _publish_own(tables, own, now_ms):
    """Gossip this process's own entry under a new incarnation."""
    own = dataclasses.replace(own, incarnation=own.incarnation + 1)
    _apply_update(tables, own, now_ms)
    tables.members.gossip_due_ms = now_ms


def tick(tables, now_ms):
    """Run the periodic tasks that are due.

    :param tables: the process's tables.
    :param now_ms: the present time.
    """
    table = tables.members
    if table.started_at_ms is None:
        table.started_at_ms = now_ms
    if now_ms >= table.sweep_due_ms:
        table.sweep_due_ms = now_ms + SWEEP_INTERVAL_MS
        _sweep(tables, now_ms)
    _check_probes(tables, now_ms)
    if now_ms >= table.probe_due_ms:
        table.probe_due_ms = now_ms + PROBE_INTERVAL_MS
        _probe_next(tables, now_ms)
    if table.saves_cross_zone:
        for node_id in zone_gossip.zone_probe_targets(tables, now_ms):
            _probe(tables, node_id, [table.own], now_ms)
    if now_ms >= table.dead_probe_due_ms:
        table.dead_probe_due_ms = now_ms + DEAD_PROBE_INTERVAL_MS
        _probe_dead(tables, now_ms)
    if now_ms >= table.gossip_due_ms:
        table.gossip_due_ms = now_ms + GOSSIP_INTERVAL_MS
        _gossip(tables)


def alive_others(table):
    """List the ids of the other processes that are alive or suspect.

    :param table: the member table.
    :returns: list of ids.
    """
    return [
        node_id
        for node_id, member in table.rows.items()
        if node_id != table.own.node_id
        and member.status in (models.ALIVE, models.SUSPECT)
    ]


def alive_nodes(table):
    """List the ids of the other nodes that are alive or suspect.

    :param table: the member table.
    :returns: list of ids, without control processes.
    """
    return [
        node_id
        for node_id in alive_others(table)
        if table.rows[node_id].role == models.NODE_ROLE
    ]


def is_alive(table, node_id):
    """Return whether a process is alive or suspect.

    :param table: the member table.
    :param node_id: the process.
    :returns: bool.
    """
    member = table.rows.get(node_id)
    return member is not None and member.status in (
        models.ALIVE,
        models.SUSPECT,
    )


@dispatch.receive.register
def _receive_ping(message: messages.Ping, tables, sender, now_ms):
    incarnation = tables.members.own.incarnation
    merge(tables, message.members, now_ms, learned_directly=True)
    zone_gossip.record_heard(tables.members, message.sender_id, now_ms)
    reply_to = _address_of(tables, message.sender_id)
    if reply_to is None:
        # An unknown sender puts its own member entry first.
        if not message.members:
            return
        reply_to = message.members[0].address
    has_refuted = tables.members.own.incarnation != incarnation
    members = _ack_members(tables, message.sender_id, has_refuted)
    ack = messages.Ack(message.probe_id, tables.members.own.node_id, members)
    tables.effects.append(effects.SendDatagram(reply_to, ack))


def _ack_members(tables, sender_id, has_refuted):
    """Choose the entries that are sent with the ack of a probe.

    :param has_refuted: whether this process has just refuted a suspicion that
        came with the probe.
    """
    table = tables.members
    known = table.rows.get(sender_id)
    if _passes_updates_to(table, known):
        members = _take_updates(tables)
    elif has_refuted:
        members = [table.own]
    else:
        members = []
    if known is not None and known.status == models.DEAD:
        # The sender refutes this with a higher incarnation.
        members = [table.own, known] + members[:-2]
    return members


@dispatch.receive.register
def _receive_ack(message: messages.Ack, tables, sender, now_ms):
    merge(tables, message.members, now_ms, learned_directly=True)
    zone_gossip.record_heard(tables.members, message.node_id, now_ms)
    table = tables.members
    relayed = table.relayed_probes.pop(message.probe_id, None)
    if relayed is not None:
        ack = messages.Ack(relayed.probe_id, message.node_id, [])
        tables.effects.append(effects.SendDatagram(relayed.reply_to, ack))
    zone_health.probe_answered(tables, message.probe_id)
    probe = table.probes.get(message.probe_id)
    if probe is not None and probe.node_id == message.node_id:
        del table.probes[message.probe_id]


@dispatch.receive.register
def _receive_ping_request(
    message: messages.PingRequest, tables, sender, now_ms
):
    table = tables.members
    table.last_probe_id += 1
    table.relayed_probes[table.last_probe_id] = message
    if len(table.relayed_probes) > RELAYED_PROBES_MAX:
        del table.relayed_probes[min(table.relayed_probes)]
    ping = messages.Ping(table.last_probe_id, table.own.node_id, [table.own])
    tables.effects.append(effects.SendDatagram(message.address, ping))


@dispatch.receive.register
def _receive_gossip(message: messages.Gossip, tables, sender, now_ms):
    merge(tables, message.members, now_ms)


def _passes_updates_to(table, member):
    """Return whether acks to a process carry updates."""
    if not table.saves_cross_zone:
        return True
    return member is None or member.zone == table.own.zone


def merge(tables, members, now_ms, learned_directly=False):
    """Apply entries received from another process.

    :param tables: the process's tables.
    :param members: the entries.
    :param now_ms: the present time.
    :param learned_directly: whether they came with a probe of this process
        or with one that it received.
    """
    for member in members:
        if member.status not in _STATUS_ORDER:
            continue
        if member.node_id == tables.members.own.node_id:
            _refute(tables, member, now_ms)
        elif _is_newer(member, tables.members.rows.get(member.node_id)):
            _apply_update(tables, member, now_ms, learned_directly)


def _is_newer(member, current):
    if current is None:
        return member.status in (models.ALIVE, models.SUSPECT)
    if member.incarnation != current.incarnation:
        return member.incarnation > current.incarnation
    return _STATUS_ORDER[member.status] > _STATUS_ORDER[current.status]


def _refute(tables, member, now_ms):
    """Refute an update about this process with a higher incarnation."""
    own = tables.members.own
    if member.incarnation < own.incarnation:
        return
    if member == own:
        return
    own = dataclasses.replace(own, incarnation=member.incarnation)
    _publish_own(tables, own, now_ms)


def _apply_update(tables, member, now_ms, learned_directly=False):
    table = tables.members
    previous = table.rows.get(member.node_id)
    table.version += 1
    if member.node_id == table.own.node_id:
        table.own = member
    table.rows[member.node_id] = member
    _count_nodes(table, previous, member)
    table.digest ^= models.member_digest(member)
    if previous is not None:
        table.digest ^= models.member_digest(previous)
    if member.status == models.ALIVE:
        table.status_since_ms.pop(member.node_id, None)
    elif previous is None or previous.status != member.status:
        table.status_since_ms[member.node_id] = now_ms
    if previous is not None and previous.address != member.address:
        table.by_address.pop(previous.address, None)
    lost = member.status in (models.DEAD, models.LEFT)
    if lost:
        if table.by_address.get(member.address) == member.node_id:
            del table.by_address[member.address]
        if previous is not None and previous.status != member.status:
            tables.events.append(MemberLost(member.node_id, member.address))
    else:
        _declare_predecessor_dead(tables, member, now_ms)
        table.by_address[member.address] = member.node_id
    _index_service(table, previous, member, now_ms)
    table.changed_versions[member.node_id] = table.version
    if _passes_on(table, previous, member, now_ms):
        table.updates[member.node_id] = models.PendingUpdate(
            member, _transmission_count(table)
        )
        if table.saves_cross_zone:
            zone_gossip.queue_for_relays(table, member, learned_directly)
            table.gossip_due_ms = min(table.gossip_due_ms, now_ms)
    else:
        table.updates.pop(member.node_id, None)


def is_starting(table, now_ms):
    """Return whether this process started a short time ago.

    :param table: the member table.
    :param now_ms: the present time.
    :returns: bool.
    """
    if table.started_at_ms is None:
        return True
    return now_ms - table.started_at_ms < STARTUP_MS


def _passes_on(table, previous, member, now_ms):
    """Return whether an update is gossiped.

    Load pattern: all processes start at the same time. If each one passed on
    what it learns of all others, the work would grow with the square of the
    fleet. While a process starts, it reads the tables of others often, and so
    do those that start with it; only failures can't wait for that.
    """
    if member.node_id == table.own.node_id or not is_starting(table, now_ms):
        return True
    was_alive = previous is None or previous.status == models.ALIVE
    return not (was_alive and member.status == models.ALIVE)


def _declare_predecessor_dead(tables, member, now_ms):
    """Mark a process dead when another one has taken over its address."""
    table = tables.members
    previous_id = table.by_address.get(member.address)
    if previous_id in (None, member.node_id, table.own.node_id):
        return
    previous = table.rows.get(previous_id)
    if previous is not None and previous.status in (
        models.ALIVE,
        models.SUSPECT,
    ):
        _apply_update(
            tables, dataclasses.replace(previous, status=models.DEAD), now_ms
        )


def record_peer(tables, address, node_id, now_ms):
    """Declare a process dead when another one responds at its address.

    :param tables: the process's tables.
    :param address: ``host:port``.
    :param node_id: the process that authenticated itself there.
    :param now_ms: the present time.
    """
    previous_id = tables.members.by_address.get(address)
    previous = tables.members.rows.get(previous_id)
    if previous is None or previous_id == node_id:
        return
    _apply_update(
        tables, dataclasses.replace(previous, status=models.DEAD), now_ms
    )


def _count_nodes(table, previous, member):
    if member.role != models.NODE_ROLE:
        return
    alive = member.status in (models.ALIVE, models.SUSPECT)
    was_alive = previous is not None and previous.status in (
        models.ALIVE,
        models.SUSPECT,
    )
    table.nodes_alive += alive - was_alive
    table.nodes_seen_max = max(table.nodes_seen_max, table.nodes_alive)


def _index_service(table, previous, member, now_ms):
    if previous is not None and previous.service:
        table.by_service.get(previous.service, {}).pop(member.node_id, None)
    usable = member.accepting and member.status in (
        models.ALIVE,
        models.SUSPECT,
    )
    if not usable or not member.service:
        return
    table.by_service.setdefault(member.service, {})[member.node_id] = None
    was_usable = previous is not None and previous.accepting
    target = table.targets.get(member.node_id)
    if target is None:
        target = models.TargetState(now_ms)
        table.targets[member.node_id] = target
    elif not was_usable:
        target.accepting_since_ms = now_ms
    cold_ms_changed = previous is None or previous.cold_ms != member.cold_ms
    if cold_ms_changed and member.cold_ms >= 0:
        target.cold_until_ms = now_ms + member.cold_ms


def _transmission_count(table):
    count = len(table.rows)
    if table.saves_cross_zone:
        count = len(zone_relays.own_zone_others(table)) + 1
    return RETRANSMIT_FACTOR * math.ceil(math.log2(count + 1))


def _take_updates(tables):
    """Take the updates transmitted least often, for one datagram."""
    updates = tables.members.updates
    if not updates:
        return []
    ordered = sorted(
        updates.values(), key=lambda update: -update.transmissions_left
    )
    members = []
    for update in ordered[: models.MEMBERS_PER_DATAGRAM]:
        update.transmissions_left -= 1
        members.append(update.member)
        if update.transmissions_left <= 0:
            del updates[update.member.node_id]
    return members


def _address_of(tables, node_id):
    member = tables.members.rows.get(node_id)
    return None if member is None else member.address


def _sweep(tables, now_ms):
    table = tables.members
    for node_id, since_ms in list(table.status_since_ms.items()):
        member = table.rows[node_id]
        if member.status == models.SUSPECT:
            if now_ms - since_ms > SUSPICION_TIMEOUT_MS:
                dead = dataclasses.replace(member, status=models.DEAD)
                _apply_update(tables, dead, now_ms, learned_directly=True)
        elif now_ms - since_ms > LOST_MEMBER_RETENTION_MS:
            del table.rows[node_id]
            table.digest ^= models.member_digest(member)
            del table.status_since_ms[node_id]
            table.changed_versions.pop(node_id, None)
            table.targets.pop(node_id, None)


def _check_probes(tables, now_ms):
    table = tables.members
    for probe_id, probe in list(table.probes.items()):
        if now_ms >= probe.timeout_at_ms:
            del table.probes[probe_id]
            _suspect(tables, probe.node_id, now_ms)
        elif (
            now_ms >= probe.indirect_probes_due_ms and not probe.indirect_sent
        ):
            probe.indirect_sent = True
            _probe_indirectly(tables, probe_id, probe)


def _suspect(tables, node_id, now_ms):
    member = tables.members.rows.get(node_id)
    if member is not None and member.status == models.ALIVE:
        suspect = dataclasses.replace(member, status=models.SUSPECT)
        _apply_update(tables, suspect, now_ms, learned_directly=True)


def _probe_indirectly(tables, probe_id, probe):
    table = tables.members
    target = table.rows.get(probe.node_id)
    if target is None:
        return
    if table.saves_cross_zone:
        others = zone_gossip.indirect_candidates(table, target)
    else:
        others = [
            node_id
            for node_id in alive_others(table)
            if node_id != probe.node_id
        ]
    count = min(INDIRECT_PROBES, len(others))
    for node_id in tables.random.sample(others, count):
        request = messages.PingRequest(
            probe_id, table.own.node_id, target.address, table.own.address
        )
        tables.effects.append(
            effects.SendDatagram(table.rows[node_id].address, request)
        )


def _probe_next(tables, now_ms):
    table = tables.members
    node_id = _next_probe_target(tables)
    if node_id is not None:
        _probe(tables, node_id, [table.own] + _take_updates(tables), now_ms)


def _probe(tables, node_id, members, now_ms):
    table = tables.members
    table.last_probe_id += 1
    table.probes[table.last_probe_id] = models.Probe(
        node_id, now_ms + INDIRECT_PROBE_DELAY_MS, now_ms + PROBE_TIMEOUT_MS
    )
    ping = messages.Ping(table.last_probe_id, table.own.node_id, members)
    tables.effects.append(
        effects.SendDatagram(table.rows[node_id].address, ping)
    )


def _probe_dead(tables, now_ms):
    """Probe one process considered dead, so that it can refute that."""
    table = tables.members
    dead = []
    for node_id, since_ms in table.status_since_ms.items():
        member = table.rows[node_id]
        if member.status != models.DEAD or member.address in table.by_address:
            continue
        if now_ms - since_ms < DEAD_PROBE_DURATION_MS or zone_gossip.is_back(
            table, member.zone, now_ms
        ):
            dead.append(member)
    if not dead:
        return
    if table.saves_cross_zone:
        targets = zone_gossip.dead_probe_targets(tables, dead, now_ms)
    else:
        targets = [tables.random.choice(dead)]
    for member in targets:
        ping = messages.Ping(0, table.own.node_id, [table.own, member])
        tables.effects.append(effects.SendDatagram(member.address, ping))


def _next_probe_target(tables):
    table = tables.members
    while True:
        if not table.probe_order:
            table.probe_order = _probe_and_gossip_candidates(table)
            tables.random.shuffle(table.probe_order)
            if not table.probe_order:
                return None
        node_id = table.probe_order.pop()
        if is_alive(table, node_id):
            return node_id


def _probe_and_gossip_candidates(table):
    if table.saves_cross_zone:
        return zone_relays.own_zone_others(table)
    return alive_others(table)


def _gossip(tables):
    table = tables.members
    if table.saves_cross_zone:
        for node_id, members in zone_gossip.take_relay_datagrams(tables):
            gossip = messages.Gossip(members)
            address = table.rows[node_id].address
            tables.effects.append(effects.SendDatagram(address, gossip))
    if not table.updates:
        return
    for node_id in _gossip_targets(tables):
        members = _take_updates(tables)
        if members:
            tables.effects.append(
                effects.SendDatagram(
                    table.rows[node_id].address, messages.Gossip(members)
                )
            )


def _gossip_targets(tables):
    """Choose the receivers of gossip datagrams, one for each datagram."""
    table = tables.members
    others = _probe_and_gossip_candidates(table)
    targets = tables.random.sample(others, min(GOSSIP_FANOUT, len(others)))
    if not table.saves_cross_zone:
        return targets
    if table.own.node_id in table.updates:
        # The relays pass it on to the other zones.
        relays = zone_gossip.own_relays(table)
        targets = list(dict.fromkeys(relays + targets))
    # Many updates are pending when a zone is cut off or comes back, so each
    # target gets several datagrams.
    count = math.ceil(len(table.updates) / models.MEMBERS_PER_DATAGRAM)
    return targets * min(count, ZONE_DATAGRAMS_MAX)
