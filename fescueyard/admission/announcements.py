"""Announcements of backend servers and their order.

Announcements can arrive out of order, or late from a process that has ended
after its successor announced itself at the same address. Each carries the
start time of its process and a sequence number; one that is older than the
latest known announcement is ignored.
"""

import dataclasses


@dataclasses.dataclass(frozen=True)
class Announcement:
    """One announcement of a backend server.

    :param instance: id of the backend server.
    :param service: its service.
    :param address: ``host:port`` where it listens on this VM.
    :param slots: requests it can run concurrently.
    :param born_ms: start time of its process by its own clock, in ms; 0 when
        not reported.
    :param sequence: increases with each announcement of one process.
    :param leaving: whether it has stopped accepting new work.
    :param cold_ms: remaining time of its slow start, in ms.
    """

    instance: str
    service: str
    address: str
    slots: int
    born_ms: int
    sequence: int
    leaving: bool
    cold_ms: float


def is_outdated(backend, announcement):
    """Return whether an announcement is older than the one known.

    :param backend: :class:`~fescueyard.admission.models.Backend`, or None.
    :param announcement: :class:`Announcement`.
    :returns: bool.
    """
    if backend is None:
        return False
    if announcement.born_ms != backend.born_ms:
        return announcement.born_ms < backend.born_ms
    if announcement.instance != backend.instance:
        return False
    return announcement.sequence < backend.sequence
