"""Messages about the claims on idempotency keys."""

import dataclasses

from fescueyard.core import dumps
from fescueyard.core import http
from fescueyard.core import wire


@dataclasses.dataclass(slots=True)
class StoredResponse:
    """Response to a finished request, replayed to callers that resend it.

    :param response: the response; None when it was too large to store.
    """

    response: http.HttpResponse | None = dataclasses.field(
        metadata=dumps.written_as("answer")
    )


@dataclasses.dataclass(slots=True)
class ClaimRecord:
    """A claim in transfer from one replica to another.

    Its times are relative, as the clocks of two processes differ.

    :param claim_id: digest of customer, service and idempotency key.
    :param fingerprint: digest of the request.
    :param holder: id of the call that holds the claim.
    :param state: ``taken``, ``finished`` or ``unknown``.
    :param deadline_in_ms: time left until the call's deadline.
    :param expires_in_ms: time left until the claim is deleted.
    :param stored_response: the response, once the call has finished.
    """

    claim_id: bytes
    fingerprint: bytes
    holder: str
    state: str
    deadline_in_ms: float = dataclasses.field(
        metadata=dumps.written_as("ends_in_ms")
    )
    expires_in_ms: float
    stored_response: StoredResponse | None = dataclasses.field(
        metadata=dumps.written_as("kept")
    )


@wire.message(80)
@dataclasses.dataclass(slots=True)
class ClaimRequest:
    """Requests a claim from a replica.

    :param epoch: version of the group that the requesting node knows.
    :param deadline_ms: time left until the call's deadline.
    :param retention_ms: how long the claim is kept after the call.
    """

    request_id: int = dataclasses.field(metadata=dumps.written_as("ask_id"))
    group: int
    epoch: int
    claim_id: bytes
    fingerprint: bytes
    holder: str
    deadline_ms: float
    retention_ms: float


@wire.message(81)
@dataclasses.dataclass(slots=True)
class ClaimResponse:
    """Response to a :class:`ClaimRequest`.

    :param state: ``granted``, ``taken``, ``finished``, ``unknown``,
        ``mismatch`` or ``refused``.
    """

    request_id: int = dataclasses.field(metadata=dumps.written_as("ask_id"))
    state: str
    stored_response: StoredResponse | None = dataclasses.field(
        metadata=dumps.written_as("kept")
    )


@wire.message(82)
@dataclasses.dataclass(slots=True)
class ClaimOutcome:
    """Reports to replicas how the call that holds a claim ended.

    :param state: ``finished``, ``unknown`` or ``released``.
    """

    group: int
    claim_id: bytes
    fingerprint: bytes
    holder: str
    state: str
    retention_ms: float
    stored_response: StoredResponse | None = dataclasses.field(
        metadata=dumps.written_as("kept")
    )


@wire.message(83)
@dataclasses.dataclass(slots=True)
class SyncRequest:
    """Requests the claims of another replica, page by page.

    :param epoch: epoch of the requesting replica; a replica at another epoch,
        or not synchronised itself, does not respond.
    :param after_claim_id: id of the last claim received; empty at first.
    """

    group: int
    epoch: int
    after_claim_id: bytes = dataclasses.field(
        metadata=dumps.written_as("after")
    )


@wire.message(84)
@dataclasses.dataclass(slots=True)
class SyncResponse:
    """Response to a :class:`SyncRequest`.

    :param last: whether this is the last page.
    """

    group: int
    epoch: int
    claims: list[ClaimRecord] = dataclasses.field(
        metadata=dumps.written_as("rows")
    )
    last: bool


@dataclasses.dataclass(slots=True)
class GroupEpoch:
    """A group and the epoch at which a replica is synchronised."""

    group: int
    epoch: int


@wire.message(85)
@dataclasses.dataclass(slots=True)
class SyncStatusRequest:
    """Control leader's request for the groups a replica is synchronised in."""


@wire.message(86)
@dataclasses.dataclass(slots=True)
class SyncStatusResponse:
    """Response to a :class:`SyncStatusRequest`."""

    synced: list[GroupEpoch]
