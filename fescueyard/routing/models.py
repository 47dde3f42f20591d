"""State of membership and of load balancing."""

import dataclasses
import hashlib

from fescueyard.core import dumps
from fescueyard.core import notices as server_notices
from fescueyard.routing import messages

ALIVE = "alive"
SUSPECT = "suspect"
DEAD = "dead"
LEFT = "left"

NODE_ROLE = "node"
CONTROL_ROLE = "control"

# Most entries in one gossip datagram, or in the updates sent with a probe.
MEMBERS_PER_DATAGRAM = 6


@dataclasses.dataclass(slots=True)
class Probe:
    """A probe in flight.

    :param node_id: the process probed.
    :param indirect_probes_due_ms: when probes through other processes are
        sent.
    :param timeout_at_ms: when the process becomes suspect.
    """

    node_id: str
    indirect_probes_due_ms: float = dataclasses.field(
        metadata=dumps.written_as("indirect_at_ms")
    )
    timeout_at_ms: float = dataclasses.field(
        metadata=dumps.written_as("fails_at_ms")
    )
    indirect_sent: bool = False


@dataclasses.dataclass(slots=True)
class PendingUpdate:
    """A membership update that is still being disseminated.

    :param transmissions_left: how many more times it is transmitted.
    """

    member: messages.Member
    transmissions_left: int = dataclasses.field(
        metadata=dumps.written_as("times_left")
    )


@dataclasses.dataclass(frozen=True, slots=True)
class QualityReport:
    """What a response reported about the recent runs of a backend server.

    :param service: its service.
    :param priority: priority of the runs that the latency is of.
    :param latency_ms: their recent latency; 0 when there were none.
    :param failure_share: share of its recent runs that failed.
    """

    service: str
    priority: int
    latency_ms: float
    failure_share: float


@dataclasses.dataclass(slots=True)
class ClassQuality:
    """Reports of the backend servers of a service for runs of one priority.

    :param reports: the latest one of each server, by node id.
    :param latency_ms: lower quartile of their latencies; 0 before the first
        report.
    :param failure_share: lower quartile of their shares of failed runs.
    :param quartiles_at_ms: when the quartiles were calculated.
    """

    reports: dict[str, QualityReport] = dataclasses.field(default_factory=dict)
    latency_ms: float = 0.0
    failure_share: float = 0.0
    quartiles_at_ms: float = float("-inf")


@dataclasses.dataclass(slots=True)
class TargetState:
    """Load and health of a backend server as seen by this node.

    :param accepting_since_ms: when it was first seen accepting.
    :param cold_until_ms: it is slow until then; None if it did not report.
    :param outstanding: attempts in flight from this node.
    :param reported_load: requests queued and running there, as reported with
        its last response.
    :param reported_at_ms: time of that response.
    :param limit: its concurrency limit, as reported with that response.
    :param failures: consecutive failures.
    :param ejected_until_ms: it is skipped until then.
    :param refusing_until_ms: it is skipped until then because it accepts no
        new requests.
    :param unreachable_until_ms: it is skipped until then because a stream to
        it broke or could not be opened.
    :param limited_until_ms: others are preferred until then, as the limit that
        its backend server has named is used up.
    :param redial_due_ms: when it is next dialled while unreachable.
    :param ejections: consecutive ejections without a success in between.
    :param report: latency and failures, as reported with the last response;
        None before the first.
    :param report_at_ms: time of that report.
    """

    accepting_since_ms: float = dataclasses.field(
        metadata=dumps.written_as("seen_at_ms")
    )
    cold_until_ms: float | None = None
    outstanding: int = 0
    reported_load: int = 0
    reported_at_ms: float = float("-inf")
    limit: int = 0
    failures: int = 0
    ejected_until_ms: float = float("-inf")
    ejections: int = 0
    refusing_until_ms: float = float("-inf")
    limited_until_ms: float = float("-inf")
    unreachable_until_ms: float = float("-inf")
    redial_due_ms: float = 0.0
    report: QualityReport | None = None
    report_at_ms: float = float("-inf")


@dataclasses.dataclass(slots=True)
class ZoneState:
    """What a node knows of its way to another zone.

    :param unheard_since_ms: when the first request was sent there since the
        zone was last heard; None when there was none.
    :param silent: whether the zone doesn't respond at all.
    :param probes_unanswered: probes sent since the zone was last heard.
    :param probe_due_ms: when the next probe is sent.
    :param probe_order: nodes to probe next, the last one first.
    """

    unheard_since_ms: float | None = None
    silent: bool = False
    probes_unanswered: int = 0
    probe_due_ms: float = 0.0
    probe_order: list[str] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(frozen=True, slots=True)
class KnownTable:
    """How much of another process's member table was received.

    :param process_id: the process.
    :param version: version of its table with its latest response.
    """

    process_id: str
    version: int


@dataclasses.dataclass
class MemberTable:
    """All processes of the fleet known to this one.

    :param own: this process's own entry.
    :param rows: members by node id, this process included.
    :param by_service: ids of nodes with an accepting backend server.
    :param by_address: node ids by address.
    :param status_since_ms: when a member got its status, for those that are
        not alive.
    :param digest: digest of all members, updated with each change.
    :param targets: :class:`TargetState` by node id.
    :param version: incremented with each change of a member.
    :param changed_versions: version with which each member last changed.
    :param known_tables: :class:`KnownTable` by address of the process.
    :param started_at_ms: time of the first tick; None before it.
    :param utilization_by_service: moving average of the share of slots in
        use, by service.
    :param unreachable: ids of nodes whose stream broke or could not be
        opened; those among them that are reachable again are removed.
    :param zones: ways to the other zones that requests were sent to.
    :param evacuated_zones: the evacuated zones, sorted, as last logged.
    :param evacuated_until_ms: until when a zone is left out because one of its
        nodes reported it as evacuated, by zone.
    :param zones_by_probe: zone of each probe that was sent to find out
        whether a zone responds, since it was last heard.
    :param notices: what backend servers last said of themselves, as
        :class:`~fescueyard.core.notices.ServerNotice` by address of their
        node. They outlive a restart of that node.
    :param quality: what the servers of a service reported, by service and
        priority.
    :param decays_to_average: an old reported load decays towards the
        service's average utilization instead of zero.
    :param saves_cross_zone: whether bytes between zones are saved: processes
        of other zones are told of changes through relays
        (:mod:`fescueyard.routing.zone_relays`).
    :param relays_by_zone: ids of the relays of each zone.
    :param relays_version: ``version`` that they were derived from.
    :param relay_updates: updates that are being sent to the relays of other
        zones.
    :param zones_heard_ms: when another zone last responded to this process as
        a relay.
    :param zones_back_ms: when another zone first responded again, or to this
        process as a relay.
    :param zone_probe_due_ms: when other zones are next probed.
    :param joined: whether a process of the own zone has been known; used
        with ``saves_cross_zone``.
    :param nodes_alive: nodes that are alive or suspect, this one included.
    :param nodes_seen_max: highest number of nodes, this one included, ever
        seen alive at the same time; budgets divided among nodes use it, so
        that they do not grow during a network partition.
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
    updates: dict[str, PendingUpdate] = dataclasses.field(
        default_factory=dict, metadata=dumps.written_as("news")
    )
    probes: dict[int, Probe] = dataclasses.field(default_factory=dict)
    relayed_probes: dict[int, messages.PingRequest] = dataclasses.field(
        default_factory=dict
    )
    probe_order: list[str] = dataclasses.field(default_factory=list)
    version: int = 0
    changed_versions: dict[str, int] = dataclasses.field(default_factory=dict)
    known_tables: dict[str, KnownTable] = dataclasses.field(
        default_factory=dict
    )
    utilization_by_service: dict[str, float] = dataclasses.field(
        default_factory=dict, metadata=dumps.written_as("use_of_service")
    )
    unreachable: dict[str, None] = dataclasses.field(default_factory=dict)
    zones: dict[str, ZoneState] = dataclasses.field(default_factory=dict)
    evacuated_zones: list[str] = dataclasses.field(default_factory=list)
    evacuated_until_ms: dict[str, float] = dataclasses.field(
        default_factory=dict
    )
    zones_by_probe: dict[int, str] = dataclasses.field(default_factory=dict)
    notices: dict[str, server_notices.ServerNotice] = dataclasses.field(
        default_factory=dict
    )
    quality: dict[tuple[str, int], ClassQuality] = dataclasses.field(
        default_factory=dict
    )
    decays_to_average: bool = dataclasses.field(
        default=False, metadata=dumps.written_as("keeps_use")
    )
    saves_cross_zone: bool = False
    relays_by_zone: dict[str, list[str]] = dataclasses.field(
        default_factory=dict
    )
    relays_version: int = -1
    relay_updates: dict[str, PendingUpdate] = dataclasses.field(
        default_factory=dict
    )
    zones_heard_ms: dict[str, float] = dataclasses.field(default_factory=dict)
    zones_back_ms: dict[str, float] = dataclasses.field(default_factory=dict)
    zone_probe_due_ms: float = 0.0
    joined: bool = False
    nodes_alive: int = 0
    nodes_seen_max: int = 1
    digest: int = 0
    started_at_ms: float | None = None
    last_probe_id: int = 0
    probe_due_ms: float = 0.0
    gossip_due_ms: float = 0.0
    dead_probe_due_ms: float = dataclasses.field(
        default=0.0, metadata=dumps.written_as("revival_due_ms")
    )
    sync_due_ms: float = dataclasses.field(
        default=0.0, metadata=dumps.written_as("table_due_ms")
    )
    sweep_due_ms: float = 0.0


def new_table(own, seeds):
    """Create the member table of a process.

    :param own: the process's own entry.
    :param seeds: ``host:port`` of processes to contact first.
    :returns: :class:`MemberTable`.
    """
    table = MemberTable(own, [seed for seed in seeds if seed != own.address])
    table.rows[own.node_id] = own
    table.digest = member_digest(own)
    table.by_address[own.address] = own.node_id
    table.nodes_alive = int(own.role == NODE_ROLE)
    return table


def member_digest(member):
    """Return the digest of a member; XOR combines the digests of a table.

    :param member: the member.
    :returns: unsigned 64-bit integer.
    """
    text = f"{member.node_id} {member.incarnation} {member.status}"
    digest = hashlib.blake2b(text.encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")
