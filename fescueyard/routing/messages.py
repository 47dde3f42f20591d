"""Membership messages; each fits one datagram, except the complete table."""

import dataclasses

from fescueyard.core import wire


@dataclasses.dataclass(slots=True)
class Member:
    """State of a process as spread by gossip.

    :param node_id: the process.
    :param incarnation: incremented with each update that the process publishes
        about itself; a higher one replaces a lower one.
    :param status: ``alive``, ``suspect``, ``dead`` or ``left``.
    :param role: ``node`` or ``control``.
    :param zone: its availability zone.
    :param region: its region.
    :param address: ``host:port`` of its streams and datagrams.
    :param service: service of its backend server; empty if it has none.
    :param slots: requests that its backend server runs concurrently.
    :param accepting: whether its backend server accepts new requests.
    :param leaving: whether the process itself is stopping.
    :param cold_ms: how long its backend server expects to stay slow, as
        reported by it; negative if not reported.
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
    """Liveness probe of a process.

    :param probe_id: number of the probe.
    :param members: the sender's own entry, then recent updates.
    """

    probe_id: int
    sender_id: str
    members: list[Member]


@wire.message(41)
@dataclasses.dataclass(slots=True)
class Ack:
    """Response to a :class:`Ping`.

    :param node_id: the process that is alive.
    """

    probe_id: int
    node_id: str
    members: list[Member]


@wire.message(42)
@dataclasses.dataclass(slots=True)
class PingRequest:
    """Request to probe another process (indirect probe).

    :param address: the process to probe.
    :param reply_to: address of the requester.
    """

    probe_id: int
    sender_id: str
    address: str
    reply_to: str


@wire.message(43)
@dataclasses.dataclass(slots=True)
class TableRequest:
    """Request for what changed in the receiver's table.

    :param digest: digest of the requester's table; nothing is sent when the
        receiver's is the same.
    :param members: the requester's own entry.
    :param responder_id: process that ``known_version`` is of; empty for none.
    :param known_version: version of the receiver's table up to which the
        requester has its entries.
    :param zone: zone of which the entries are requested, besides control
        processes; empty for all.
    :param accepts_packed: whether the requester reads packed entries.
    """

    digest: int
    members: list[Member]
    responder_id: str = ""
    known_version: int = 0
    zone: str = ""
    accepts_packed: bool = False


@wire.message(44)
@dataclasses.dataclass(slots=True)
class TableResponse:
    """Entries that changed since the version that the requester knows.

    :param members: the entries; empty when the digests agree.
    :param responder_id: the process that responds.
    :param version: version of its table; 0 when the digests agree, or when
        the entries are of one zone.
    :param packed: :class:`MemberBatch` in place of ``members``, compressed;
        empty for none.
    """

    members: list[Member]
    responder_id: str = ""
    version: int = 0
    packed: bytes = b""


@dataclasses.dataclass(slots=True)
class MemberBatch:
    """Entries that are compressed together."""

    members: list[Member]


@wire.message(45)
@dataclasses.dataclass(slots=True)
class Gossip:
    """Updates that should spread before the next probe is due."""

    members: list[Member]
