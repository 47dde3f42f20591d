"""Silent zones: an availability zone that a node can't reach as a whole.

Load pattern: a zone is cut off without a reset. A stream to it breaks only
once data has stayed unacknowledged for a second, and each of its nodes is
found out that way by requests that are lost, one node after another. A few
short probes tell sooner, and for all nodes of the zone.

A zone is probed only while nothing was heard from it since a request was sent
there, so an idle zone costs nothing.
"""

from fescueyard.core import effects
from fescueyard.core import logs
from fescueyard.routing import messages
from fescueyard.routing import models

LOG = logs.ComponentLogger("zones")

QUIET_BEFORE_PROBE_MS = 250
PROBE_INTERVAL_MS = 100
SILENT_PROBE_INTERVAL_MS = 250
# Unanswered probes to different nodes after which a zone counts as silent.
PROBES_BEFORE_SILENCE = 3


def request_sent(tables, zone, now_ms):
    """Expect to hear from a zone that a request was sent to.

    :param tables: the node's tables.
    :param zone: the zone.
    :param now_ms: the present time.
    """
    if zone == tables.members.own.zone:
        return
    state = tables.members.zones.setdefault(zone, models.ZoneState())
    if state.unheard_since_ms is None:
        state.unheard_since_ms = now_ms
        state.probe_due_ms = now_ms + QUIET_BEFORE_PROBE_MS


def heard(tables, node_id):
    """Record a message that came on a stream.

    :param tables: the node's tables.
    :param node_id: the process that sent it.
    """
    member = tables.members.rows.get(node_id)
    if member is not None:
        _record_heard(tables, member.zone)


def probe_answered(tables, probe_id):
    """Record the response to a probe; ignore probes of other modules.

    :param tables: the node's tables.
    :param probe_id: number of the probe.
    """
    zone = tables.members.zones_by_probe.get(probe_id)
    if zone is not None:
        _record_heard(tables, zone)


def is_silent(tables, zone):
    """Return whether requests to a zone would be lost.

    :param tables: the node's tables.
    :param zone: the zone.
    :returns: bool.
    """
    state = tables.members.zones.get(zone)
    return state is not None and state.silent


def tick(tables, now_ms):
    """Probe the zones that have not been heard.

    :param tables: the node's tables.
    :param now_ms: the present time.
    """
    for zone, state in tables.members.zones.items():
        if state.unheard_since_ms is None or now_ms < state.probe_due_ms:
            continue
        _update_silent(zone, state, now_ms)
        _probe(tables, zone, state, now_ms)


def _update_silent(zone, state, now_ms):
    if state.silent or state.probes_unanswered < PROBES_BEFORE_SILENCE:
        return
    state.silent = True
    LOG.info(
        "zone_silent",
        zone=zone,
        unheard_ms=round(now_ms - state.unheard_since_ms),
        probes=state.probes_unanswered,
    )


def _probe(tables, zone, state, now_ms):
    interval_ms = PROBE_INTERVAL_MS
    if state.silent:
        interval_ms = SILENT_PROBE_INTERVAL_MS
    state.probe_due_ms = now_ms + interval_ms
    member = _next_to_probe(tables, zone, state)
    if member is None:
        return
    members = tables.members
    members.last_probe_id += 1
    state.probes_unanswered += 1
    tables.members.zones_by_probe[members.last_probe_id] = zone
    ping = messages.Ping(members.last_probe_id, members.own.node_id, [])
    tables.effects.append(effects.SendDatagram(member.address, ping))


def _next_to_probe(tables, zone, state):
    rows = tables.members.rows
    if not state.probe_order:
        state.probe_order = [
            node_id
            for node_id, member in rows.items()
            if member.zone == zone and member.status != models.LEFT
        ]
        tables.random.shuffle(state.probe_order)
    while state.probe_order:
        member = rows.get(state.probe_order.pop())
        if member is not None:
            return member
    return None


def _record_heard(tables, zone):
    state = tables.members.zones.get(zone)
    if state is None or state.unheard_since_ms is None:
        return
    if state.silent:
        LOG.info("zone_heard", zone=zone)
    state.unheard_since_ms = None
    state.silent = False
    if state.probes_unanswered:
        state.probes_unanswered = 0
        members = tables.members
        members.zones_by_probe = {
            probe_id: probed_zone
            for probe_id, probed_zone in members.zones_by_probe.items()
            if probed_zone != zone
        }
