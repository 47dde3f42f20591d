"""Tables of a control process."""

import dataclasses
import random

from fescueyard.configuration import state as states
from fescueyard.consensus import models as consensus_models
from fescueyard.consensus import systems as consensus
from fescueyard.idempotency import models as claim_models
from fescueyard.limits import models as limit_models
from fescueyard.routing import messages as routing_messages
from fescueyard.routing import models as routing_models

QUESTIONS_MAX = 64


@dataclasses.dataclass
class FreshnessTable:
    """How fresh a follower knows its applied log to be.

    :param fresh_as_of_ms: every change accepted before this is applied.
    :param asked_at_ms: time of each open question.
    :param waiting: answers about entries not applied yet, as rows of
        :class:`FreshnessClaim`.
    """

    fresh_as_of_ms: float = float("-inf")
    asked_at_ms: dict[int, float] = dataclasses.field(default_factory=dict)
    last_question_id: int = 0
    waiting: list = dataclasses.field(default_factory=list)
    ask_due_ms: float = 0.0


@dataclasses.dataclass
class FreshnessClaim:
    """The log up to an index holds all that was accepted before a time."""

    applied_index: int
    fresh_as_of_ms: float


@dataclasses.dataclass
class LocalOrigin:
    """A change that came through this process's administration API."""

    exchange_id: int


@dataclasses.dataclass
class InternalOrigin:
    """A change that the control leader makes by itself."""


@dataclasses.dataclass
class RemoteOrigin:
    """A change that another control process forwarded."""

    stream: object
    ask_id: int


@dataclasses.dataclass
class PendingChange:
    """A change whose result is awaited.

    :param origin: :class:`LocalOrigin` or :class:`RemoteOrigin`.
    :param give_up_at_ms: when its outcome is reported as unknown.
    :param term: term it was proposed in; 0 for a forwarded one.
    """

    origin: object
    give_up_at_ms: float
    term: int = 0


@dataclasses.dataclass
class PendingRead:
    """A read that waits until the state is fresh enough.

    :param exchange_id: HTTP exchange.
    :param asked_at_ms: the state has to be fresh as of this time.
    """

    exchange_id: int
    asked_at_ms: float


@dataclasses.dataclass
class Settled:
    """Result of a change for a local exchange."""

    exchange_id: int
    result: states.ChangeResult


@dataclasses.dataclass
class ReadReady:
    """A pending read may be answered, or must be refused.

    :param fresh: whether the state is fresh enough.
    """

    exchange_id: int
    fresh: bool


@dataclasses.dataclass
class Applicant:
    """A process that asks to become a member.

    :param heard_at_ms: when it last asked.
    """

    member: consensus_models.Member
    heard_at_ms: float


@dataclasses.dataclass(frozen=True)
class ControlPolicy:
    """What a control process decides by itself.

    :param repairs_members: admits applicants, and replaces a voter that stays
        gone by a learner that has caught up.
    :param keeps_claims: assigns the replicas of claim groups.
    """

    repairs_members: bool = False
    keeps_claims: bool = True


@dataclasses.dataclass
class ControlTables:
    """All state of a control process.

    :param consensus: the replicated log.
    :param state: the configuration, applied up to ``applied_index``.
    :param members: all processes of the fleet, for gossip.
    :param events: news of lost members, which control does not act on.
    :param applied_bytes: size of the entries applied since the snapshot.
    :param pending_proposals: changes by log index.
    :param pending_asks: changes forwarded to the leader, by ask id.
    :param policy: what the process may decide without an operator.
    :param removed_until_ms: a member told that this one was removed; it asks
        to join again until then.
    :param outcomes: results for local exchanges, for the edge to take.
    :param effects: messages for the edge to send.
    """

    consensus: consensus_models.ConsensusTable
    state: states.ConfigurationState
    own: consensus_models.Member
    members: routing_models.MemberTable
    control_addresses: list[str]
    random: random.Random
    applied_index: int = 0
    applied_bytes: int = 0
    freshness: FreshnessTable = dataclasses.field(
        default_factory=FreshnessTable
    )
    pending_proposals: dict[int, PendingChange] = dataclasses.field(
        default_factory=dict
    )
    pending_asks: dict[int, PendingChange] = dataclasses.field(
        default_factory=dict
    )
    pending_reads: list[PendingRead] = dataclasses.field(default_factory=list)
    applicants: dict[str, Applicant] = dataclasses.field(default_factory=dict)
    fleet: limit_models.GrantorTable = dataclasses.field(
        default_factory=limit_models.GrantorTable
    )
    events: list = dataclasses.field(default_factory=list)
    assignment: claim_models.AssignmentTable = dataclasses.field(
        default_factory=claim_models.AssignmentTable
    )
    policy: ControlPolicy = dataclasses.field(default_factory=ControlPolicy)
    repair_due_ms: float = 0.0
    removed_until_ms: float = float("-inf")
    last_ask_id: int = 0
    join_due_ms: float = 0.0
    outcomes: list = dataclasses.field(default_factory=list)
    effects: list = dataclasses.field(default_factory=list)


def new_tables(
    loaded,
    own,
    region,
    control_addresses,
    seed,
    now_ms,
    policy=ControlPolicy(),
    voters_max=consensus_models.VOTERS_MAX,
):
    """Make the tables of a control process from its data folder.

    :param loaded: :class:`~fescueyard.control.storage.Loaded`.
    :param own: this process as a :class:`~fescueyard.consensus.models.Member`.
    :param region: region of its zone.
    :param control_addresses: ``host:port`` of other control VMs.
    :param seed: seed of the random choices.
    :param now_ms: the present time.
    :param policy: :class:`ControlPolicy`.
    :param voters_max: most members with a vote.
    :returns: :class:`ControlTables`.
    """
    snapshot = loaded.snapshot
    applied = states.ConfigurationState()
    if snapshot.state:
        applied = states.load_state(snapshot.state)
    agreement = consensus.new_table(
        loaded.member_id,
        loaded.vote,
        snapshot,
        loaded.entries,
        seed,
        now_ms,
        voters_max,
    )
    return ControlTables(
        agreement,
        applied,
        own,
        _gossip_table(own, region, control_addresses),
        control_addresses,
        random.Random(seed),
        applied_index=snapshot.index,
        policy=policy,
    )


def _gossip_table(own, region, control_addresses):
    row = routing_messages.Member(
        own.member_id,
        1,
        routing_models.ALIVE,
        routing_models.CONTROL_ROLE,
        own.zone,
        region,
        own.address,
        "",
        0,
        accepting=False,
        leaving=False,
    )
    return routing_models.new_table(row, control_addresses)
