"""The processes that carry membership updates between availability zones.

Load pattern: bytes between zones are expensive, and most of the fleet's
updates are of interest in every zone. Two processes of each zone, its relays,
exchange them with the relays of the other zones; all others talk to processes
of their own zone only. Control processes come first, since nodes know their
addresses from the settings; then a hash of the process id decides. Each
process derives the relays from its own member table. Processes that disagree
for a moment cost some messages and lose nothing: the tables of relays are
compared periodically.
"""

import zlib

from fescueyard.routing import models

# A second relay covers the time until the failure of the first is known.
RELAYS_PER_ZONE = 2
# Traffic between zones is reduced on links of this rate or less.
SCARCE_LINK_MBPS = 100.0


def is_scarce(link_mbps):
    """Return whether a link is so slow that bytes between zones are saved.

    :param link_mbps: rate of the VM's link; None when it isn't limited.
    :returns: bool.
    """
    return link_mbps is not None and link_mbps <= SCARCE_LINK_MBPS


def relays_of(table, zone):
    """List the relays of a zone, the first choice first.

    :param table: the member table.
    :param zone: the zone.
    :returns: list of process ids, this process included if it is one.
    """
    _update(table)
    return table.relays_by_zone.get(zone, [])


def is_relay(table):
    """Return whether this process is a relay of its zone.

    :param table: the member table.
    :returns: bool.
    """
    return table.own.node_id in relays_of(table, table.own.zone)


def other_zones(table):
    """List the other zones with a process that is alive or suspect.

    :param table: the member table.
    :returns: list of zones.
    """
    _update(table)
    return [zone for zone in table.relays_by_zone if zone != table.own.zone]


def own_zone_others(table):
    """List the other processes of the own zone that are alive or suspect.

    :param table: the member table.
    :returns: list of process ids.
    """
    own = table.own
    return [
        member.node_id
        for member in table.rows.values()
        if member.zone == own.zone
        and member.node_id != own.node_id
        and member.status in (models.ALIVE, models.SUSPECT)
    ]


def in_own_zone(table, process_id):
    """Return whether a process is known to be in the own zone.

    :param table: the member table.
    :param process_id: the process.
    :returns: bool; False when it is unknown.
    """
    member = table.rows.get(process_id)
    return member is not None and member.zone == table.own.zone


def _update(table):
    """Derive the relays again when the member table has changed."""
    if table.relays_version == table.version:
        return
    members_by_zone = {}
    for member in table.rows.values():
        if member.status in (models.ALIVE, models.SUSPECT):
            members_by_zone.setdefault(member.zone, []).append(member)
    table.relays_by_zone = {
        zone: [
            member.node_id
            for member in sorted(members, key=_rank)[:RELAYS_PER_ZONE]
        ]
        for zone, members in sorted(members_by_zone.items())
    }
    table.relays_version = table.version


def _rank(member):
    return (
        member.status != models.ALIVE,
        member.role != models.CONTROL_ROLE,
        zlib.crc32(member.node_id.encode()),
        member.node_id,
    )
