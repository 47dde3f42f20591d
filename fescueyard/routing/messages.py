"""Membership messages; each fits one datagram, but for the whole table."""

import dataclasses

from fescueyard.core import wire


@dataclasses.dataclass(slots=True)
class Member:
    """A process as gossip tells of it.

    :param node_id: the process.
    :param incarnation: grows with each statement the process makes about
        itself; a higher one replaces a lower one.
    :param status: ``alive``, ``suspect``, ``dead`` or ``left``.
    :param role: ``node`` or ``control``.
    :param zone: its availability zone.
    :param region: its region.
    :param address: ``host:port`` of its streams and datagrams.
    :param service: service of its backend server; empty for none.
    :param slots: requests its backend server runs at once.
    :param accepting: whether its backend server takes new work.
    :param leaving: whether the process itself is stopping.
    :param cold_ms: how long its backend server said that it stays slow;
        negative when it did not say.
    """

    node_id: str
    incarnation: int
    status: str
    role: str
    zone: str
    region: str
    address: str
    service: str
    slots: int
    accepting: bool
    leaving: bool
    cold_ms: float = -1.0


@wire.message(40)
@dataclasses.dataclass(slots=True)
class Ping:
    """Asks a process for a sign of life.

    :param probe_id: number of the probe.
    :param members: the sender's own row, then news.
    """

    probe_id: int
    sender_id: str
    members: list[Member]


@wire.message(41)
@dataclasses.dataclass(slots=True)
class Ack:
    """Answers a :class:`Ping`.

    :param node_id: the process that is alive.
    """

    probe_id: int
    node_id: str
    members: list[Member]


@wire.message(42)
@dataclasses.dataclass(slots=True)
class PingRequest:
    """Asks a process to probe another one.

    :param address: the process to probe.
    :param reply_to: address of the asker.
    """

    probe_id: int
    sender_id: str
    address: str
    reply_to: str


@wire.message(43)
@dataclasses.dataclass(slots=True)
class TableRequest:
    """Asks for the whole table unless its digest is the same.

    :param digest: digest of the asker's table.
    :param members: the asker's own row.
    """

    digest: int
    members: list[Member]


@wire.message(44)
@dataclasses.dataclass(slots=True)
class TableResponse:
    """The whole table; empty when the digests agree."""

    members: list[Member]


@wire.message(45)
@dataclasses.dataclass(slots=True)
class Gossip:
    """News that should spread before the next probe is due."""

    members: list[Member]
