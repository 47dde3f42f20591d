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
from fescueyard.configuration import replica
from fescueyard.configuration import state as states
from fescueyard.core import logs

LOG = logs.ComponentLogger("zones")

# Time for which senders leave out a zone that a server's node reported as
# evacuated. It is longer than the interval of the configuration pull, 500 to
# 700 ms, so by then their own copy says the same.
REPORT_TTL_MS = 1_000
# A copy of this age, with no failed request, is one of a process that was
# suspended. Otherwise it gets no older than the interval of the pull, the time
# limit of a request (250 ms) and the age that the source reports (600 ms)
# together. An evacuation is in force within 5 s.
SUSPENDED_AGE_MS = 3_000


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


def may_have_missed(tables, now_ms):
    """Return whether this node may have missed the evacuation of its zone.

    A process that was suspended resumes with an old copy and the requests that
    were waiting for it. It knows more once its next request to a control
    process is responded to. A node that is cut off has failed requests
    instead, and goes by the copy that it has.

    :param tables: the node's tables.
    :param now_ms: the present time.
    :returns: bool; True as well before the first configuration.
    """
    if not tables.configuration.state.cluster_id:
        return True
    if tables.pull.failures:
        return False
    return replica.age_ms(tables.configuration, now_ms) > SUSPENDED_AGE_MS


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
