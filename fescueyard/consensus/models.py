"""Records of the replicated log and the state of one member."""

import dataclasses
import enum
import random

from fescueyard.core import dumps


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
    :param payload: the encoded change or list of members, or the compressed
        change of the document; empty for a no-op.
    """

    index: int
    term: int
    kind: int
    payload: bytes


@dataclasses.dataclass(slots=True)
class Member:
    """A control member: the control process of one VM.

    :param member_id: identity of its data folder; a new disk gets a new one.
    :param address: ``host:port`` of its streams.
    :param admin_address: ``host:port`` of its administration API.
    :param zone: its availability zone.
    :param voter: whether it counts towards the quorum; learners don't.
    """

    member_id: str
    address: str
    admin_address: str
    zone: str
    voter: bool


@dataclasses.dataclass(slots=True)
class MembersRecord:
    """Payload of a membership entry: all control members."""

    members: list[Member]


@dataclasses.dataclass(slots=True)
class Snapshot:
    """Applied state after the entry at ``index``.

    It replaces the entries up to that one in the log.

    :param index: last entry that it covers.
    :param term: term of that entry.
    :param members: control members as of that entry.
    :param state: the encoded configuration state.
    """

    index: int
    term: int
    members: list[Member]
    state: bytes


@dataclasses.dataclass(slots=True)
class Vote:
    """The term and vote of a member, saved across restarts.

    :param term: latest term seen.
    :param voted_for: member that got the vote in that term; empty for none.
    """

    term: int
    voted_for: str


@dataclasses.dataclass
class Progress:
    """Replication progress of another member, as the leader knows it.

    :param next_index: next entry to send.
    :param match_index: last entry known to be saved there.
    :param acked_round: latest round that it acknowledged.
    :param entries_paused_until_ms: time before which no further entries are
        sent, since earlier ones or a snapshot are in flight.
    :param last_response_at_ms: time of its last response; at first, when
        tracking began.
    """

    next_index: int
    match_index: int = 0
    acked_round: int = 0
    entries_paused_until_ms: float = dataclasses.field(
        default=0.0, metadata=dumps.written_as("busy_until_ms")
    )
    last_response_at_ms: float = dataclasses.field(
        default=0.0, metadata=dumps.written_as("heard_at_ms")
    )


@dataclasses.dataclass
class OutgoingMessage:
    """A message in the outbox, for another member."""

    member_id: str
    message: object


@dataclasses.dataclass
class UnsavedChanges:
    """Changes that have to be on disk before the outbox is sent.

    :param vote: the vote, when it changed; otherwise None.
    :param snapshot: the new snapshot, when one replaces entries of the log.
    :param truncate_after: index after which the saved log is truncated, or
        None.
    :param entries: entries to append.
    """

    vote: Vote | None
    snapshot: Snapshot | None
    truncate_after: int | None
    entries: list[LogEntry]


@dataclasses.dataclass
class ConsensusTable:
    """Consensus state of one member.

    :param member_id: this member.
    :param vote: current term and vote.
    :param snapshot: latest snapshot.
    :param entries: log entries after the snapshot.
    :param saved_index: last entry that is on disk.
    :param votes: members that granted a vote or pre-vote.
    :param round_sent_at_ms: send times of rounds, by round id.
    :param confirmed_at_ms: send time of the latest round that a majority
        acknowledged; None before the first.
    :param term_start_index: first entry of this leader's term.
    :param transfer_started_at_ms: when a leadership transfer started; None
        when there is none.
    :param voters_max: learners are promoted only below this many voters.
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
    leader_contact_at_ms: float = dataclasses.field(
        default=0.0, metadata=dumps.written_as("heard_leader_at_ms")
    )
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
    transfer_started_at_ms: float | None = dataclasses.field(
        default=None, metadata=dumps.written_as("handing_over_at_ms")
    )
    outbox: list[OutgoingMessage] = dataclasses.field(default_factory=list)
    vote_changed: bool = False
    snapshot_changed: bool = False
    truncate_after: int | None = None
    voters_max: int = VOTERS_MAX
