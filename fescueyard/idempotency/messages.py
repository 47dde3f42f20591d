"""Messages about claims on non-idempotent requests."""

import dataclasses

from fescueyard.core import http
from fescueyard.core import wire


@dataclasses.dataclass(slots=True)
class StoredResponse:
    """The answer of a finished request, for resends.

    :param response: the answer; None when it was too large to keep.
    """

    response: http.HttpAnswer | None


@dataclasses.dataclass(slots=True)
class ClaimRecord:
    """A claim that one replica copies from another.

    :param claim_id: digest of customer, service and idempotency key.
    :param fingerprint: digest of the request.
    :param holder: the call that took it.
    :param state: ``taken``, ``finished`` or ``unknown``.
    :param deadline_in_ms: time left of the call's deadline.
    :param expires_in_ms: time left until the claim is forgotten.
    :param stored_response: the answer, once finished.
    """

    claim_id: bytes
    fingerprint: bytes
    holder: str
    state: str
    deadline_in_ms: float
    expires_in_ms: float
    stored_response: StoredResponse | None


@wire.message(80)
@dataclasses.dataclass(slots=True)
class ClaimRequest:
    """Asks a replica for a claim.

    :param epoch: version of the group as the asker knows it.
    :param deadline_ms: time left of the call.
    :param retention_ms: how long the claim is kept after the call.
    """

    request_id: int
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
    """Answers a :class:`ClaimRequest`.

    :param state: ``granted``, ``taken``, ``finished``, ``unknown``,
        ``mismatch`` or ``refused``.
    """

    request_id: int
    state: str
    stored_response: StoredResponse | None


@wire.message(82)
@dataclasses.dataclass(slots=True)
class ClaimOutcome:
    """Tells replicas how the call of a claim ended.

    :param state: ``finished``, ``unknown`` or ``released``.
    """

    group: int
    claim_id: bytes
    fingerprint: bytes
    holder: str
    state: str
    retention_ms: float
    stored_response: StoredResponse | None


@wire.message(83)
@dataclasses.dataclass(slots=True)
class SyncRequest:
    """A new replica asks another one for its claims.

    :param epoch: the asker's epoch; the other must have come to it too.
    :param after_claim_id: id of the last claim received; empty at first.
    """

    group: int
    epoch: int
    after_claim_id: bytes


@wire.message(84)
@dataclasses.dataclass(slots=True)
class SyncResponse:
    """Answers a :class:`SyncRequest`.

    :param last: no further rows follow.
    """

    group: int
    epoch: int
    claims: list[ClaimRecord]
    last: bool


@dataclasses.dataclass(slots=True)
class GroupEpoch:
    """A group and the epoch at which a replica is synced."""

    group: int
    epoch: int


@wire.message(85)
@dataclasses.dataclass(slots=True)
class SyncStatusRequest:
    """The control leader asks a replica which groups it is synced in."""


@wire.message(86)
@dataclasses.dataclass(slots=True)
class SyncStatusResponse:
    """Answers a :class:`SyncStatusRequest`."""

    synced: list[GroupEpoch]
