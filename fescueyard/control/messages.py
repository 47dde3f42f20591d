"""Messages between control VMs."""

import dataclasses

from fescueyard.configuration import state
from fescueyard.consensus import models
from fescueyard.core import dumps
from fescueyard.core import wire


@wire.message(26)
@dataclasses.dataclass(slots=True)
class FreshnessRequest:
    """A follower's request for how long ago the leader was confirmed."""

    request_id: int = dataclasses.field(
        metadata=dumps.written_as("question_id")
    )


@wire.message(27)
@dataclasses.dataclass(slots=True)
class FreshnessResponse:
    """The response to a :class:`FreshnessRequest`.

    :param applied_index: last entry that the leader has applied; the log up to
        it contains every change accepted before the confirmation.
    :param age_ms: how long ago a majority last confirmed the leader; infinite
        when the responder is not a confirmed leader.
    """

    request_id: int = dataclasses.field(
        metadata=dumps.written_as("question_id")
    )
    applied_index: int
    age_ms: float


@wire.message(28)
@dataclasses.dataclass(slots=True)
class JoinRequest:
    """The request of a process that is not a member to become one.

    A member that is not the leader forwards it to the leader.
    """

    member: models.Member


@wire.message(30)
@dataclasses.dataclass(slots=True)
class ChangeRequest:
    """A change, forwarded to the leader."""

    request_id: int = dataclasses.field(metadata=dumps.written_as("ask_id"))
    change: state.Change


@wire.message(31)
@dataclasses.dataclass(slots=True)
class ChangeResponse:
    """The result of a change that was forwarded to the leader.

    Responds to a :class:`ChangeRequest`, a :class:`DocumentChangeRequest` or a
    :class:`MembersChangeRequest`.
    """

    request_id: int = dataclasses.field(metadata=dumps.written_as("ask_id"))
    result: state.ChangeResult


@wire.message(32)
@dataclasses.dataclass(slots=True)
class MembersChangeRequest:
    """A change of the control members, forwarded to the leader.

    :param member_id: the member.
    :param add: whether to add or remove it.
    """

    request_id: int = dataclasses.field(metadata=dumps.written_as("ask_id"))
    member_id: str
    add: bool


@wire.message(33)
@dataclasses.dataclass(slots=True)
class DocumentChangeRequest:
    """A complete document, forwarded to the leader."""

    request_id: int = dataclasses.field(metadata=dumps.written_as("ask_id"))
    change: state.DocumentChange


@wire.message(34)
@dataclasses.dataclass(slots=True)
class NotAMember:
    """A notice to a candidate that it was removed from the members.

    :param term: term of the sender.
    """

    term: int
