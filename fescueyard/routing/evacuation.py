"""Evacuated zones: operators declared that their backend servers aren't used.

The configuration has one object for each evacuated zone. Nodes in such a zone
still take callers' requests and send them to servers in other zones.

Load pattern: nodes learn of an evacuation within about a second of one
another. A server's node that knows of it rejects what others still send. They
then leave out the whole zone for a moment, instead of trying its servers one
after another, until their own copy says the same.
"""

import dataclasses

from fescueyard.configuration import models as configuration_models
from fescueyard.configuration import state as states
from fescueyard.core import logs

LOG = logs.ComponentLogger("zones")

# Longer than the interval of the configuration pull, 500 to 700 ms.
REPORT_TTL_MS = 1_000


@dataclasses.dataclass(slots=True)
class OwnZoneEvacuated:
    """Event: this node's zone has been evacuated."""


def is_evacuated(tables, zone):
    """Return whether a zone is evacuated by this node's configuration.

    :param tables: the node's tables.
    :param zone: the zone.
    :returns: bool.
    """
    evacuated = tables.configuration.state.objects[
        configuration_models.Kind.EVACUATION
    ]
    return zone in evacuated


def excludes(tables, zone, now_ms):
    """Return whether no request is to be sent to the servers of a zone.

    :param tables: the node's tables.
    :param zone: the zone.
    :param now_ms: the present time.
    :returns: bool.
    """
    if is_evacuated(tables, zone):
        return True
    return now_ms < tables.members.evacuated_until_ms.get(zone, now_ms)


def record_rejection(tables, node_id, now_ms):
    """Record that a server's node reported its zone as evacuated.

    :param tables: the node's tables.
    :param node_id: the node.
    :param now_ms: the present time.
    """
    member = tables.members.rows.get(node_id)
    if member is not None:
        reported = tables.members.evacuated_until_ms
        reported[member.zone] = now_ms + REPORT_TTL_MS


def configuration_installed(tables):
    """Log evacuations that took effect or ceased to apply.

    An :class:`OwnZoneEvacuated` event follows when this node's zone is among
    the former.

    :param tables: the node's tables.
    """
    members = tables.members
    state = tables.configuration.state
    previous = members.evacuated_zones
    members.evacuated_zones = states.evacuated_zones(state)
    for zone in members.evacuated_zones:
        if zone not in previous:
            LOG.info("zone_evacuated", zone=zone, version=state.version)
            if zone == members.own.zone:
                tables.events.append(OwnZoneEvacuated())
    for zone in previous:
        if zone not in members.evacuated_zones:
            members.evacuated_until_ms.pop(zone, None)
            LOG.info("zone_in_use", zone=zone, version=state.version)
