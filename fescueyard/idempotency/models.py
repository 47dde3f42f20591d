"""Tables of claims on non-idempotent requests."""

import dataclasses

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
    """A claim as a replica keeps it.

    :param fingerprint: digest of the request.
    :param holder: the call that took it.
    :param state: :data:`TAKEN`, :data:`FINISHED` or :data:`UNKNOWN`.
    :param deadline_at_ms: deadline of the call.
    :param expires_at_ms: when the claim is forgotten.
    :param stored_response: the answer, once finished.
    """

    fingerprint: bytes
    holder: str
    state: str
    deadline_at_ms: float
    expires_at_ms: float
    stored_response: messages.StoredResponse | None = None


@dataclasses.dataclass
class ReplicaGroup:
    """This node's part in one group of claim replicas.

    :param epoch: version of the group's replicas.
    :param generation: counts the group's changes.
    :param synced: whether it holds every claim that counts.
    :param claims: claims by id, oldest first.
    :param installed_at_ms: when it learnt of the epoch.
    :param synced_from: replicas whose claims it has copied.
    """

    epoch: int
    generation: int
    replicas: list[str]
    synced: bool
    installed_at_ms: float
    claims: dict[bytes, ReplicaClaim] = dataclasses.field(default_factory=dict)
    synced_from: set[str] = dataclasses.field(default_factory=set)
    sync_due_ms: float = 0.0


@dataclasses.dataclass(slots=True)
class PendingClaim:
    """A claim whose replicas have not all answered.

    :param replicas: nodes that were asked.
    :param states_by_replica: state told by each that answered.
    :param stored_response: a finished answer, when one was told.
    """

    call_id: int
    request: messages.ClaimRequest
    replicas: list[str]
    states_by_replica: dict[str, str] = dataclasses.field(default_factory=dict)
    stored_response: messages.StoredResponse | None = None


@dataclasses.dataclass(slots=True)
class HeldClaim:
    """A claim that a call of this node holds.

    :param replicas: nodes that were asked for it.
    """

    request: messages.ClaimRequest
    replicas: list[str]


@dataclasses.dataclass
class ClaimTable:
    """All that a node knows of claims.

    :param groups: groups this node is a replica of.
    :param applied_version: version of the configuration last looked at.
    :param pending: claims asked for, by ask id.
    :param held: claims held, by call id.
    """

    groups: dict[int, ReplicaGroup] = dataclasses.field(default_factory=dict)
    applied_version: int = -1
    pending: dict[int, PendingClaim] = dataclasses.field(default_factory=dict)
    held: dict[int, HeldClaim] = dataclasses.field(default_factory=dict)
    last_request_id: int = 0
    expiry_due_ms: float = 0.0


@dataclasses.dataclass
class AssignmentTable:
    """The control leader's care for the groups.

    :param synced_epochs: latest epoch a replica said to be synced at, by
        group and node.
    :param majority_lost_since_ms: when a group was seen to have lost its
        majority.
    :param unavailable_since_ms: when a replica was seen to be gone.
    """

    synced_epochs: dict[tuple[int, str], int] = dataclasses.field(
        default_factory=dict
    )
    majority_lost_since_ms: dict[int, float] = dataclasses.field(
        default_factory=dict
    )
    unavailable_since_ms: dict[str, float] = dataclasses.field(
        default_factory=dict
    )
    check_due_ms: float = 0.0
    last_change_number: int = 0
