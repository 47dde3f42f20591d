"""Rows of the replicated log and the state of one member."""

import dataclasses
import enum
import random


CHANGE_ENTRY = 1
MEMBERS_ENTRY = 2
NOOP_ENTRY = 3
DOCUMENT_ENTRY = 4

VOTERS_MAX = 5


class Role(enum.Enum):
    """Role of a member in the current term."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre_candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


@dataclasses.dataclass(slots=True)
class LogEntry:
    """One entry of the replicated log.

    :param index: position in the log, from 1.
    :param term: term of the leader that appended it.
    :param kind: one of the ``_ENTRY`` constants.
    :param payload: the change or the members, encoded.
    """

    index: int
    term: int
    kind: int
    payload: bytes


@dataclasses.dataclass(slots=True)
class Member:
    """A control VM.

    :param member_id: identity of its data folder; a new disk has a new one.
    :param address: ``host:port`` of its streams.
    :param admin_address: ``host:port`` of its administration API.
    :param zone: its availability zone.
    :param voter: whether it counts towards the quorum; a learner does not.
    """

    member_id: str
    address: str
    admin_address: str
    zone: str
    voter: bool


@dataclasses.dataclass(slots=True)
class MembersRecord:
    """The control members as of one log entry."""

    members: list[Member]


@dataclasses.dataclass(slots=True)
class Snapshot:
    """The state after the entry at ``index``, in place of the log so far.

    :param index: last entry covered.
    :param term: its term.
    :param members: control members as of that entry.
    :param state: the configuration, encoded.
    """

    index: int
    term: int
    members: list[Member]
    state: bytes


@dataclasses.dataclass(slots=True)
class Vote:
    """What a member must not forget across restarts.

    :param term: latest term seen.
    :param voted_for: member voted for in that term; empty for none.
    """

    term: int
    voted_for: str


@dataclasses.dataclass
class Progress:
    """What the leader knows of another member.

    :param next_index: next entry to send.
    :param match_index: last entry known to be saved there.
    :param acked_round: latest round it answered.
    :param entries_paused_until_ms: no further entries are sent before this.
    :param last_response_at_ms: when it last answered, or the leadership began.
    """

    next_index: int
    match_index: int = 0
    acked_round: int = 0
    entries_paused_until_ms: float = 0.0
    last_response_at_ms: float = 0.0


@dataclasses.dataclass
class OutgoingMessage:
    """A message to another member."""

    member_id: str
    message: object


@dataclasses.dataclass
class UnsavedChanges:
    """What has to be on disk before the outbox may be sent.

    :param vote: the vote, when it changed.
    :param snapshot: the snapshot, when a new one replaces the log.
    :param truncate_after: index after which the saved log is cut, or
    None.
    :param entries: entries to append.
    """

    vote: Vote | None
    snapshot: Snapshot | None
    truncate_after: int | None
    entries: list[LogEntry]


@dataclasses.dataclass
class ConsensusTable:
    """State of one member.

    :param member_id: this member.
    :param vote: term and vote.
    :param snapshot: latest snapshot.
    :param entries: log entries after the snapshot.
    :param voters_max: learners beyond so many voters stay learners.
    """

    member_id: str
    vote: Vote
    snapshot: Snapshot
    entries: list[LogEntry]
    random: random.Random
    members: list[Member] = dataclasses.field(default_factory=list)
    role: Role = Role.FOLLOWER
    leader_id: str = ""
    commit_index: int = 0
    saved_index: int = 0
    leader_contact_at_ms: float = 0.0
    election_due_ms: float = 0.0
    heartbeat_due_ms: float = 0.0
    votes: set[str] = dataclasses.field(default_factory=set)
    progress: dict[str, Progress] = dataclasses.field(default_factory=dict)
    round_id: int = 0
    round_sent_at_ms: dict[int, float] = dataclasses.field(
        default_factory=dict
    )
    confirmed_at_ms: float | None = None
    leading_since_ms: float = 0.0
    term_start_index: int = 0
    transfer_started_at_ms: float | None = None
    outbox: list[OutgoingMessage] = dataclasses.field(default_factory=list)
    vote_changed: bool = False
    snapshot_changed: bool = False
    truncate_after: int | None = None
    voters_max: int = VOTERS_MAX
