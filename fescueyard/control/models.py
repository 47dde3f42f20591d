"""Rows of the replicated log."""

import dataclasses
import enum

CHANGE_ENTRY = 1
MEMBERS_ENTRY = 2
EMPTY_ENTRY = 3


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
