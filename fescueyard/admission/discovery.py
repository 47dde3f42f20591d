"""Discovery of the VM's backend server after a restart of the node.

Backend servers announce themselves every second or two. A node that starts
next to a running one requests its health path, at most :data:`ATTEMPTS_MAX`
times, to learn its id; the next announcement supplies the other fields.
"""

from fescueyard.admission import announcements
from fescueyard.configuration import models as configuration_models

HEALTHY_STATUS = 200
DEFAULT_SLOTS = 16
ATTEMPTS_MAX = 2


def health_path(tables):
    """Return the health path to request while no backend server is known.

    :param tables: the node's tables.
    :returns: the path, or None when there is nothing to request.
    """
    if tables.runs.backend is not None or not tables.service:
        return None
    service = tables.configuration.state.find(
        configuration_models.Kind.SERVICE, tables.service
    )
    if service is None or not service.health_path:
        return None
    return service.health_path


def announcement_from_response(tables, address, response, unix_ms):
    """Build an announcement from the response of a health path.

    :param tables: the node's tables.
    :param address: ``host:port`` that the request was sent to.
    :param response: :class:`~fescueyard.core.http.HttpResponse`, or None.
    :param unix_ms: the present time of day, in ms.
    :returns: :class:`~fescueyard.admission.announcements.Announcement`, or
        None when no healthy backend server responded.
    """
    if response is None or response.status != HEALTHY_STATUS:
        return None
    instance_header = tables.interface.names.instance
    for header in response.headers:
        if header.name == instance_header and header.value:
            return announcements.Announcement(
                header.value,
                tables.service,
                address,
                _announced_slots(tables),
                0,
                0,
                False,
                None,
                born_max_ms=unix_ms,
            )
    return None


def _announced_slots(tables):
    """Return the fewest slots of the service's members, or the default."""
    members = tables.members
    slots = [
        members.rows[node_id].slots
        for node_id in members.by_service.get(tables.service, ())
    ]
    return min(slots, default=DEFAULT_SLOTS)
