"""What backend servers say of themselves, in the order in which they said it.

Announcements may come late: from a process that has ended, after its
successor announced itself at the same address, or out of order. Each carries
the start of its process and a number; what is older than the latest one
changes nothing.
"""

import dataclasses


@dataclasses.dataclass(frozen=True)
class Announcement:
    """One statement of a backend server.

    :param instance: its id.
    :param service: its service.
    :param address: ``host:port`` where it listens on this VM.
    :param slots: requests it runs at once.
    :param born_ms: its start, by its own clock; 0 when not told.
    :param sequence: grows with each statement of one process.
    :param leaving: it takes no new work.
    :param cold_ms: how much longer it is slow after its start.
    """

    instance: str
    service: str
    address: str
    slots: int
    born_ms: int
    sequence: int
    leaving: bool
    cold_ms: float


def is_outdated(backend, told):
    """Say whether a statement is older than what is known.

    :param backend: :class:`~fescueyard.admission.models.Backend`, or None.
    :param told: :class:`Announcement`.
    :returns: bool.
    """
    if backend is None:
        return False
    if told.born_ms != backend.born_ms:
        return told.born_ms < backend.born_ms
    if told.instance != backend.instance:
        return False
    return told.sequence < backend.sequence
