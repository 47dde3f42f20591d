"""Messages of the consensus protocol between control members."""

import dataclasses

from fescueyard.consensus import models
from fescueyard.core import wire


@wire.message(20)
@dataclasses.dataclass(slots=True)
class VoteRequest:
    """Requests a vote.

    :param last_index: index of the candidate's last log entry.
    :param last_term: term of that entry.
    :param pre_vote: whether this only checks if a vote would be granted.
    :param transfer: whether a leadership transfer started this election;
        then a member may vote although its leader is still active.
    """

    term: int
    last_index: int
    last_term: int
    pre_vote: bool
    transfer: bool


@wire.message(21)
@dataclasses.dataclass(slots=True)
class VoteResponse:
    """Response to a :class:`VoteRequest`."""

    term: int
    pre_vote: bool
    granted: bool


@wire.message(22)
@dataclasses.dataclass(slots=True)
class AppendRequest:
    """Replicates entries from the leader; a heartbeat has none.

    :param round_id: number of the leader's round; acknowledged rounds renew
        its lease.
    :param previous_index: index of the entry before ``entries``.
    :param previous_term: term of that entry.
    :param commit_index: last entry that the leader has committed.
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
    """Response to an :class:`AppendRequest` or :class:`SnapshotRequest`.

    :param round_id: round of the request.
    :param success: whether the log matched at ``previous_index``.
    :param match_index: on success, the last entry known to match; otherwise
        the ``previous_index`` that the leader should try next.
    """

    term: int
    round_id: int
    success: bool
    match_index: int


@wire.message(24)
@dataclasses.dataclass(slots=True)
class SnapshotRequest:
    """Sends the leader's snapshot to a member whose log is too far behind."""

    term: int
    round_id: int
    snapshot: models.Snapshot


@wire.message(25)
@dataclasses.dataclass(slots=True)
class LeadershipTransfer:
    """Tells a member to start an election immediately."""

    term: int
