"""Tables of the claims on idempotency keys."""

import dataclasses

from fescueyard.core import dumps
from fescueyard.idempotency import messages

CLAIM_GROUP_COUNT = 64
REPLICAS_PER_GROUP = 3
CLAIMS_PER_GROUP_MAX = 20_000
STORED_RESPONSE_BYTES_MAX = 64 * 1024

TAKEN = "taken"
FINISHED = "finished"
UNKNOWN = "unknown"
RELEASED = "released"


@dataclasses.dataclass(slots=True)
class ReplicaClaim:
    """A claim as a replica stores it.

    :param fingerprint: digest of the request.
    :param holder: id of the call that holds the claim.
    :param state: :data:`TAKEN`, :data:`FINISHED` or :data:`UNKNOWN`.
    :param deadline_at_ms: deadline of the call.
    :param expires_at_ms: when the claim is deleted.
    :param stored_response: the response, once the call has finished.
    """

    fingerprint: bytes
    holder: str
    state: str
    deadline_at_ms: float = dataclasses.field(
        metadata=dumps.written_as("ends_at_ms")
    )
    expires_at_ms: float
    stored_response: messages.StoredResponse | None = dataclasses.field(
        default=None, metadata=dumps.written_as("kept")
    )


@dataclasses.dataclass
class ReplicaGroup:
    """State of this node as a replica of one claim group.

    :param epoch: version of the group's configuration.
    :param generation: number of changes to the group so far.
    :param replicas: ids of the nodes that are replicas.
    :param synced: whether this replica holds every valid claim.
    :param claims: claims by id, oldest first.
    :param installed_at_ms: when this node installed the epoch.
    :param synced_from: replicas whose claims have been copied completely.
    :param sync_due_ms: when sync requests are sent next.
    """

    epoch: int
    generation: int
    replicas: list[str]
    synced: bool
    installed_at_ms: float
    claims: dict[bytes, ReplicaClaim] = dataclasses.field(
        default_factory=dict, metadata=dumps.written_as("rows")
    )
    synced_from: set[str] = dataclasses.field(default_factory=set)
    sync_due_ms: float = 0.0


@dataclasses.dataclass(slots=True)
class PendingClaim:
    """A claim that waits for responses of its replicas.

    :param replicas: nodes that the request was sent to.
    :param wait_until_ms: until when a refused claim is requested again.
    :param states_by_replica: state reported by each that has responded.
    :param stored_response: response of a finished call, when one was
        reported.
    """

    call_id: int
    request: messages.ClaimRequest = dataclasses.field(
        metadata=dumps.written_as("ask")
    )
    replicas: list[str]
    wait_until_ms: float
    states_by_replica: dict[str, str] = dataclasses.field(
        default_factory=dict, metadata=dumps.written_as("answers")
    )
    stored_response: messages.StoredResponse | None = dataclasses.field(
        default=None, metadata=dumps.written_as("kept")
    )


@dataclasses.dataclass(slots=True)
class HeldClaim:
    """A claim that a call of this node holds.

    :param replicas: nodes that the request was sent to.
    """

    request: messages.ClaimRequest = dataclasses.field(
        metadata=dumps.written_as("ask")
    )
    replicas: list[str]


@dataclasses.dataclass
class ClaimTable:
    """All claim state of a node.

    :param groups: groups this node is a replica of, by number.
    :param applied_version: version of the configuration last applied.
    :param pending: claims being requested, by request id.
    :param waiting: when to stop requesting a claim that was refused, in ms,
        by call id.
    :param held: claims held by calls of this node, by call id.
    :param expiry_due_ms: when expired claims are deleted next.
    :param sync_due_ms: when the first group is synchronised next; infinite
        when all are synchronised.
    """

    groups: dict[int, ReplicaGroup] = dataclasses.field(default_factory=dict)
    applied_version: int = dataclasses.field(
        default=-1, metadata=dumps.written_as("seen_version")
    )
    pending: dict[int, PendingClaim] = dataclasses.field(default_factory=dict)
    waiting: dict[int, float] = dataclasses.field(default_factory=dict)
    held: dict[int, HeldClaim] = dataclasses.field(default_factory=dict)
    last_request_id: int = dataclasses.field(
        default=0, metadata=dumps.written_as("last_ask_id")
    )
    expiry_due_ms: float = 0.0
    sync_due_ms: float = 0.0


@dataclasses.dataclass
class AssignmentTable:
    """State of the control leader's replica assignment.

    :param synced_epochs: latest epoch for which a replica reported that it is
        synchronised, by group and node.
    :param majority_lost_since_ms: when a group was first seen without a
        majority.
    :param check_due_ms: when the groups are checked next.
    :param last_change_number: makes change ids unique within a term.
    """

    synced_epochs: dict[tuple[int, str], int] = dataclasses.field(
        default_factory=dict
    )
    majority_lost_since_ms: dict[int, float] = dataclasses.field(
        default_factory=dict, metadata=dumps.written_as("lost_since_ms")
    )
    check_due_ms: float = dataclasses.field(
        default=0.0, metadata=dumps.written_as("due_ms")
    )
    last_change_number: int = dataclasses.field(
        default=0, metadata=dumps.written_as("last_change")
    )
