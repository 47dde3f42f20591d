"""Announcements of backend servers and their order.

Announcements can arrive out of order, or late from a process that has ended
after its successor announced itself at the same address. Each carries the
start time of its process and a sequence number; one that is older than the
latest known announcement is ignored.

A node that was restarted knows no earlier announcement. The first one that it
receives may be late and from a server that has since reported that it is
leaving, so it counts only once a later one of the same process follows, or
the server's health check confirms it. A health check names no start time;
the process that it found started at the latest when it responded.
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
    :param cold_ms: remaining time of its slow start, in ms; None when not
        reported.
    :param born_max_ms: time of day, in ms, at which its process ran already;
        an upper bound of a start time that is not reported.
    """

    instance: str
    service: str
    address: str
    slots: int
    born_ms: int
    sequence: int
    leaving: bool
    cold_ms: float | None
    born_max_ms: int = 0


def is_same_process(backend, announcement):
    """Return whether an announcement is of the process that is known.

    :param backend: :class:`~fescueyard.admission.models.Backend`, or None.
    :param announcement: :class:`Announcement`.
    :returns: bool.
    """
    if backend is None or backend.instance != announcement.instance:
        return False
    if backend.born_ms == announcement.born_ms:
        return True
    return not backend.born_ms and (
        announcement.born_ms <= backend.born_max_ms
    )


def follows(held, announcement):
    """Return whether an announcement confirms the one held before it.

    :param held: :class:`Announcement`, or None.
    :param announcement: :class:`Announcement`.
    :returns: whether both are of one process and the second one is later.
    """
    return (
        held is not None
        and held.instance == announcement.instance
        and held.born_ms == announcement.born_ms
        and held.sequence < announcement.sequence
    )


def is_outdated(backend, announcement):
    """Return whether an announcement is older than the one known.

    :param backend: :class:`~fescueyard.admission.models.Backend`, or None.
    :param announcement: :class:`Announcement`.
    :returns: bool.
    """
    return backend is not None and is_older(announcement, backend)


def is_older(announcement, known):
    """Return whether an announcement is older than another one.

    :param announcement: :class:`Announcement`.
    :param known: :class:`Announcement`, or the
        :class:`~fescueyard.admission.models.Backend` made from one.
    :returns: bool.
    """
    if announcement.born_ms != known.born_ms:
        return announcement.born_ms < known.born_ms
    if announcement.instance != known.instance:
        return False
    return announcement.sequence < known.sequence


def log_fields(announcement):
    """Return the fields of a log line about an announcement.

    :param announcement: :class:`Announcement`.
    :returns: dict.
    """
    return {
        "instance": announcement.instance,
        "service": announcement.service,
        "slots": announcement.slots,
        "born_ms": announcement.born_ms,
        "sequence": announcement.sequence,
        "leaving": announcement.leaving,
        "cold_ms": round(announcement.cold_ms or 0),
    }


def outdated_fields(announcement, known):
    """Return the fields of a log line about an outdated announcement.

    :param announcement: :class:`Announcement`.
    :param known: the :class:`~fescueyard.admission.models.Backend` that
        outranks it.
    :returns: dict.
    """
    return {
        "instance": announcement.instance,
        "born_ms": announcement.born_ms,
        "sequence": announcement.sequence,
        "known": known.instance,
        "known_born_ms": known.born_ms,
        "known_sequence": known.sequence,
    }
