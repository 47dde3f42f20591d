"""Finding the VM's backend server again after the node has restarted.

Backend servers announce themselves every second or two. A node that starts
beside one that runs asks its health path once and so learns its id; the next
announcement brings the rest.
"""

from fescueyard.admission import announcements
from fescueyard.configuration import models as configuration_models

HEALTHY_STATUS = 200
DEFAULT_SLOTS = 16
ATTEMPTS_MAX = 2


def health_path(tables):
    """Find the path to ask, if the backend server is not known yet.

    :param tables: the node's tables.
    :returns: the path, or None.
    """
    if tables.runs.backend is not None or not tables.service:
        return None
    found = tables.configuration.state.find(
        configuration_models.Kind.SERVICE, tables.service
    )
    if found is None or not found.health_path:
        return None
    return found.health_path


def announcement_from_response(tables, address, answer):
    """Make an announcement of a health path's answer.

    :param tables: the node's tables.
    :param address: ``host:port`` that was asked.
    :param answer: :class:`~fescueyard.core.http.HttpAnswer`, or None.
    :returns: :class:`~fescueyard.admission.announcements.Announcement`, or
        None when no healthy backend server answered.
    """
    if answer is None or answer.status != HEALTHY_STATUS:
        return None
    name = tables.interface.names.instance
    for header in answer.headers:
        if header.name == name and header.value:
            return announcements.Announcement(
                header.value,
                tables.service,
                address,
                _announced_slots(tables),
                0,
                0,
                False,
                0.0,
            )
    return None


def _announced_slots(tables):
    """Take the slots that others of the service announced."""
    members = tables.members
    slots = [
        members.rows[node_id].slots
        for node_id in members.by_service.get(tables.service, ())
    ]
    return min(slots, default=DEFAULT_SLOTS)
