"""Tables of a control process."""

import dataclasses
import random

from fescueyard.configuration import state as states
from fescueyard.consensus import models as consensus_models
from fescueyard.consensus import systems as consensus
from fescueyard.core import dumps
from fescueyard.idempotency import models as claim_models
from fescueyard.limits import models as limit_models
from fescueyard.routing import messages as routing_messages
from fescueyard.routing import models as routing_models
from fescueyard.routing import traffic as routing_traffic

FRESHNESS_REQUESTS_MAX = 64


@dataclasses.dataclass
class FreshnessTable:
    """How fresh a follower knows its applied log to be.

    :param fresh_as_of_ms: latest time such that every change accepted before
        it has been applied.
    :param request_sent_at_ms: send times of pending requests, by request id.
    :param pending_bounds: list of :class:`FreshnessBound` from responses about
        entries not applied yet.
    :param request_due_ms: when the next request to the leader is due.
    """

    fresh_as_of_ms: float = float("-inf")
    request_sent_at_ms: dict[int, float] = dataclasses.field(
        default_factory=dict, metadata=dumps.written_as("asked_at_ms")
    )
    last_request_id: int = dataclasses.field(
        default=0, metadata=dumps.written_as("last_question_id")
    )
    pending_bounds: list = dataclasses.field(
        default_factory=list, metadata=dumps.written_as("waiting")
    )
    request_due_ms: float = dataclasses.field(
        default=0.0, metadata=dumps.written_as("ask_due_ms")
    )


@dataclasses.dataclass
class FreshnessBound:
    """The log up to an index holds every change accepted before a time."""

    applied_index: int
    fresh_as_of_ms: float


@dataclasses.dataclass
class LocalOrigin:
    """A change received through this process's administration API."""

    exchange_id: int


@dataclasses.dataclass
class InternalOrigin:
    """A change that the control leader makes on its own."""


@dataclasses.dataclass
class RemoteOrigin:
    """A change that another control process forwarded."""

    stream: object
    request_id: int = dataclasses.field(metadata=dumps.written_as("ask_id"))


@dataclasses.dataclass
class PendingChange:
    """A change whose result is pending.

    :param origin: :class:`LocalOrigin`, :class:`InternalOrigin` or
        :class:`RemoteOrigin`.
    :param timeout_at_ms: when its outcome is reported as unknown.
    :param term: term it was proposed in; 0 for a forwarded change.
    :param change: an idempotent change that is forwarded again if the leader
        changes; None for others.
    :param leader_id: the member it was forwarded to.
    """

    origin: object
    timeout_at_ms: float = dataclasses.field(
        metadata=dumps.written_as("give_up_at_ms")
    )
    term: int = 0
    change: states.Change | None = None
    leader_id: str = ""


@dataclasses.dataclass
class PendingRead:
    """A read that waits until the state is fresh enough.

    :param exchange_id: HTTP exchange.
    :param received_at_ms: when the read was received; the state has to be
        fresh as of this time.
    """

    exchange_id: int
    received_at_ms: float = dataclasses.field(
        metadata=dumps.written_as("asked_at_ms")
    )


@dataclasses.dataclass
class ChangeCompleted:
    """The result of a change for a local exchange."""

    exchange_id: int
    result: states.ChangeResult


@dataclasses.dataclass
class ReadCompleted:
    """A pending read may be served, or has to be rejected.

    :param fresh: whether the state is fresh enough.
    """

    exchange_id: int
    fresh: bool


@dataclasses.dataclass
class Applicant:
    """A process that requests to become a member.

    :param last_request_at_ms: when its last request arrived.
    """

    member: consensus_models.Member
    last_request_at_ms: float = dataclasses.field(
        metadata=dumps.written_as("heard_at_ms")
    )


@dataclasses.dataclass(frozen=True)
class ControlPolicy:
    """What a control process decides without an operator.

    :param repairs_members: whether it admits applicants, and replaces a voter
        that stays silent with a learner that has caught up.
    :param keeps_claims: whether it assigns the replicas of claim groups.
    """

    repairs_members: bool = False
    keeps_claims: bool = True


@dataclasses.dataclass
class ControlTables:
    """All state of a control process.

    :param consensus: the replicated log.
    :param state: the configuration, applied up to ``applied_index``.
    :param members: all processes of the fleet, for gossip.
    :param own_member: this process as a member.
    :param fleet_grantor: token buckets of the fleet grantor, used while this
        process leads.
    :param events: events about lost members, which a control process ignores.
    :param traffic: what this process has sent to others.
    :param applied_bytes: size of the entries applied since the last snapshot.
    :param pending_proposals: proposed changes, by log index.
    :param forwarded_changes: changes forwarded to the leader, by request id.
    :param policy: what the process may decide without an operator.
    :param rejoin_until_ms: set when a member reports that this process was
        removed; the process sends join requests until then.
    :param outcomes: results for local exchanges, for the I/O layer to
        deliver.
    :param effects: messages for the I/O layer to send.
    :param zones: availability zones named by the settings.
    """

    consensus: consensus_models.ConsensusTable
    state: states.ConfigurationState
    own_member: consensus_models.Member = dataclasses.field(
        metadata=dumps.written_as("own")
    )
    members: routing_models.MemberTable
    control_addresses: list[str]
    random: random.Random
    applied_index: int = 0
    applied_bytes: int = 0
    traffic: routing_traffic.TrafficTable = dataclasses.field(
        default_factory=routing_traffic.TrafficTable
    )
    freshness: FreshnessTable = dataclasses.field(
        default_factory=FreshnessTable
    )
    pending_proposals: dict[int, PendingChange] = dataclasses.field(
        default_factory=dict
    )
    forwarded_changes: dict[int, PendingChange] = dataclasses.field(
        default_factory=dict, metadata=dumps.written_as("pending_asks")
    )
    pending_reads: list[PendingRead] = dataclasses.field(default_factory=list)
    applicants: dict[str, Applicant] = dataclasses.field(default_factory=dict)
    fleet_grantor: limit_models.GrantorTable = dataclasses.field(
        default_factory=limit_models.GrantorTable,
        metadata=dumps.written_as("fleet"),
    )
    events: list = dataclasses.field(default_factory=list)
    assignment: claim_models.AssignmentTable = dataclasses.field(
        default_factory=claim_models.AssignmentTable
    )
    policy: ControlPolicy = dataclasses.field(default_factory=ControlPolicy)
    repair_due_ms: float = 0.0
    save_failures: int = 0
    save_retry_due_ms: float = float("-inf")
    rejoin_until_ms: float = dataclasses.field(
        default=float("-inf"), metadata=dumps.written_as("removed_until_ms")
    )
    last_request_id: int = dataclasses.field(
        default=0, metadata=dumps.written_as("last_ask_id")
    )
    join_due_ms: float = 0.0
    outcomes: list = dataclasses.field(default_factory=list)
    effects: list = dataclasses.field(default_factory=list)
    zones: list[str] = dataclasses.field(default_factory=list)


def new_tables(
    stored,
    own_member,
    region,
    control_addresses,
    seed,
    now_ms,
    policy=ControlPolicy(),
    voters_max=consensus_models.VOTERS_MAX,
):
    """Create the tables of a control process from its stored state.

    :param stored: :class:`~fescueyard.control.storage.StoredState`.
    :param own_member: this process as a
        :class:`~fescueyard.consensus.models.Member`.
    :param region: region of its zone.
    :param control_addresses: ``host:port`` of other control VMs.
    :param seed: seed of the random choices.
    :param now_ms: the present time.
    :param policy: :class:`ControlPolicy`.
    :param voters_max: maximum number of members with a vote.
    :returns: :class:`ControlTables`.
    """
    snapshot = stored.snapshot
    state = states.ConfigurationState()
    if snapshot.state:
        state = states.load_state(snapshot.state)
    consensus_table = consensus.new_table(
        stored.member_id,
        stored.vote,
        snapshot,
        stored.entries,
        seed,
        now_ms,
        voters_max,
    )
    return ControlTables(
        consensus_table,
        state,
        own_member,
        _gossip_table(own_member, region, control_addresses),
        control_addresses,
        random.Random(seed),
        applied_index=snapshot.index,
        policy=policy,
    )


def _gossip_table(own_member, region, control_addresses):
    gossip_member = routing_messages.Member(
        own_member.member_id,
        1,
        routing_models.ALIVE,
        routing_models.CONTROL_ROLE,
        own_member.zone,
        region,
        own_member.address,
        "",
        0,
        accepting=False,
        leaving=False,
    )
    return routing_models.new_table(gossip_member, control_addresses)
