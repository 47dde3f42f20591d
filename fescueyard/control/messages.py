"""Messages between control VMs."""

import dataclasses

from fescueyard.configuration import state
from fescueyard.consensus import models
from fescueyard.core import wire


@wire.message(26)
@dataclasses.dataclass(slots=True)
class FreshnessAsk:
    """A follower asks the leader how fresh a version is."""

    question_id: int


@wire.message(27)
@dataclasses.dataclass(slots=True)
class FreshnessAnswer:
    """Answers a :class:`FreshnessAsk`.

    :param applied_index: log entry that the age is about.
    :param age_ms: how long ago the leader was confirmed.
    """

    question_id: int
    applied_index: int
    age_ms: float


@wire.message(28)
@dataclasses.dataclass(slots=True)
class JoinAsk:
    """A process that is no member asks to become one.

    A member that does not lead passes it on to the leader.
    """

    member: models.Member


@wire.message(30)
@dataclasses.dataclass(slots=True)
class ChangeAsk:
    """A change, forwarded to the leader."""

    ask_id: int
    change: state.Change


@wire.message(31)
@dataclasses.dataclass(slots=True)
class ChangeAnswer:
    """Answers a :class:`ChangeAsk` or :class:`MembersAsk`."""

    ask_id: int
    result: state.ChangeResult


@wire.message(32)
@dataclasses.dataclass(slots=True)
class MembersAsk:
    """A change of the control members, forwarded to the leader.

    :param member_id: the member.
    :param add: add it when true, remove it otherwise.
    """

    ask_id: int
    member_id: str
    add: bool


@wire.message(33)
@dataclasses.dataclass(slots=True)
class DocumentAsk:
    """A whole document, forwarded to the leader."""

    ask_id: int
    change: state.DocumentChange


@wire.message(34)
@dataclasses.dataclass(slots=True)
class NotAMember:
    """Tells a process that campaigns that it was removed meanwhile."""

    term: int
