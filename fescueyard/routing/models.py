"""Rows of membership and of the choice of a backend server."""

import dataclasses
import hashlib

from fescueyard.routing import messages

ALIVE = "alive"
SUSPECT = "suspect"
DEAD = "dead"
LEFT = "left"

NODE_ROLE = "node"
CONTROL_ROLE = "control"


@dataclasses.dataclass(slots=True)
class Probe:
    """A probe under way.

    :param node_id: the process probed.
    :param indirect_at_ms: when others are asked to probe it.
    :param timeout_at_ms: when it becomes suspect.
    """

    node_id: str
    indirect_at_ms: float
    timeout_at_ms: float
    indirect_sent: bool = False


@dataclasses.dataclass(slots=True)
class PendingUpdate:
    """A statement that still has to be passed on.

    :param transmissions_left: how often.
    """

    member: messages.Member
    transmissions_left: int


@dataclasses.dataclass(slots=True)
class TargetState:
    """What this node knows of a backend server from its own calls.

    :param accepting_since_ms: when it was first seen accepting.
    :param cold_until_ms: it is slow until then; None when it did not say.
    :param outstanding: attempts under way from this node.
    :param reported_load: requests there at its last answer.
    :param reported_at_ms: time of that answer.
    :param limit: its concurrency limit at that answer.
    :param failures: failures in a row.
    :param ejected_until_ms: it is passed over until then.
    :param refusing_until_ms: it said that it takes no new work.
    :param unreachable_until_ms: no stream to it came up or stayed up.
    :param redial_due_ms: when it is dialled next while out of reach.
    :param ejections: how often it was ejected without success between.
    """

    accepting_since_ms: float
    cold_until_ms: float | None = None
    outstanding: int = 0
    reported_load: int = 0
    reported_at_ms: float = float("-inf")
    limit: int = 0
    failures: int = 0
    ejected_until_ms: float = float("-inf")
    ejections: int = 0
    refusing_until_ms: float = float("-inf")
    unreachable_until_ms: float = float("-inf")
    redial_due_ms: float = 0.0


@dataclasses.dataclass
class MemberTable:
    """All processes of the fleet that this one knows of.

    :param own: this process's row.
    :param rows: rows by node id, this process's included.
    :param by_service: ids of nodes with an accepting backend server.
    :param by_address: ids by address.
    :param status_since_ms: when a row got its status, for those that are
        not alive.
    :param digest: of all rows, kept up to date with each change.
    :param targets: rows of :class:`TargetState` by node id.
    :param version: grows with each change of a row.
    :param started_at_ms: time of the first tick; None before it.
    :param utilization_by_service: moving average of the share of slots in
        use, by service.
    :param decays_to_average: an old reported load decays towards the
        service's average utilization instead of zero.
    :param nodes_alive: nodes not known to be gone, this one included.
    :param nodes_seen_max: most nodes, this one included, ever seen alive at
        once; what is shared out among nodes counts on it through a cut.
    """

    own: messages.Member
    seeds: list[str]
    rows: dict[str, messages.Member] = dataclasses.field(default_factory=dict)
    by_service: dict[str, dict[str, None]] = dataclasses.field(
        default_factory=dict
    )
    by_address: dict[str, str] = dataclasses.field(default_factory=dict)
    status_since_ms: dict[str, float] = dataclasses.field(default_factory=dict)
    targets: dict[str, TargetState] = dataclasses.field(default_factory=dict)
    updates: dict[str, PendingUpdate] = dataclasses.field(default_factory=dict)
    probes: dict[int, Probe] = dataclasses.field(default_factory=dict)
    relayed_probes: dict[int, messages.PingRequest] = dataclasses.field(
        default_factory=dict
    )
    probe_order: list[str] = dataclasses.field(default_factory=list)
    version: int = 0
    utilization_by_service: dict[str, float] = dataclasses.field(
        default_factory=dict
    )
    decays_to_average: bool = False
    nodes_alive: int = 0
    nodes_seen_max: int = 1
    digest: int = 0
    started_at_ms: float | None = None
    last_probe_id: int = 0
    probe_due_ms: float = 0.0
    gossip_due_ms: float = 0.0
    dead_probe_due_ms: float = 0.0
    sync_due_ms: float = 0.0
    sweep_due_ms: float = 0.0


def new_table(own, seeds):
    """Make the table of a process.

    :param own: the process's own row.
    :param seeds: ``host:port`` of processes to ask at first.
    :returns: :class:`MemberTable`.
    """
    table = MemberTable(own, [seed for seed in seeds if seed != own.address])
    table.rows[own.node_id] = own
    table.digest = member_digest(own)
    table.by_address[own.address] = own.node_id
    table.nodes_alive = int(own.role == NODE_ROLE)
    return table


def member_digest(member):
    """Digest a row; the digests of all rows add up by exclusive or.

    :param member: the row.
    :returns: whole number of 64 bits.
    """
    text = f"{member.node_id} {member.incarnation} {member.status}"
    digest = hashlib.blake2b(text.encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")
