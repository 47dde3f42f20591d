"""Messages between the members that agree on a log."""

import dataclasses

from fescueyard.consensus import models
from fescueyard.core import wire


@wire.message(20)
@dataclasses.dataclass(slots=True)
class VoteRequest:
    """Asks for a vote, or whether one would be given (pre-vote).

    :param transfer: the leader itself asked for this election.
    """

    term: int
    last_index: int
    last_term: int
    pre_vote: bool
    transfer: bool


@wire.message(21)
@dataclasses.dataclass(slots=True)
class VoteResponse:
    """Answers a :class:`VoteRequest`."""

    term: int
    pre_vote: bool
    granted: bool


@wire.message(22)
@dataclasses.dataclass(slots=True)
class AppendRequest:
    """Entries from the leader; none in a heartbeat.

    :param round_id: number of the leader's round, for its lease.
    """

    term: int
    round_id: int
    previous_index: int
    previous_term: int
    commit_index: int
    entries: list[models.LogEntry]


@wire.message(23)
@dataclasses.dataclass(slots=True)
class AppendResponse:
    """Answers an :class:`AppendRequest` or :class:`SnapshotRequest`.

    :param match_index: on success, last entry known to match; otherwise
        the last entry the leader should try.
    """

    term: int
    round_id: int
    success: bool
    match_index: int


@wire.message(24)
@dataclasses.dataclass(slots=True)
class SnapshotRequest:
    """The leader's snapshot, for a member too far behind."""

    term: int
    round_id: int
    snapshot: models.Snapshot


@wire.message(25)
@dataclasses.dataclass(slots=True)
class LeadershipTransfer:
    """Asks a member to call an election at once."""

    term: int
