"""Token tables of the fleet grantor, the zone grantors and the nodes."""

import dataclasses

from fescueyard.core import dumps


@dataclasses.dataclass(slots=True)
class HeldTokens:
    """Tokens that a grantor counts as held by one holder.

    :param tokens: most tokens the holder may still spend.
    :param expires_at_ms: the holder stops using them before this time.
    :param request_id: latest request that was responded to.
    """

    tokens: int
    expires_at_ms: float
    request_id: int = dataclasses.field(
        metadata=dumps.written_as("question_id")
    )


@dataclasses.dataclass
class FleetBucket:
    """The fleet-wide token bucket of a customer, at the control leader.

    :param level: tokens not handed out.
    :param refilled_at_ms: time up to which the rate was added.
    :param held: :class:`HeldTokens` by holder.
    """

    level: float
    refilled_at_ms: float
    held: dict[str, HeldTokens] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass
class Holder:
    """A process that requests tokens of the fleet grantor, and its lease.

    :param zone: its availability zone.
    :param request_id: its latest request.
    :param responded_at_ms: when that request was responded to.
    :param confirmed_at_ms: when the latest response that is known to have
        arrived was sent.
    :param shares: fallback shares by shard that it may use.
    :param shares_reserved: whether its shares were reserved at the last check.
    """

    zone: str
    request_id: int = dataclasses.field(
        metadata=dumps.written_as("question_id")
    )
    responded_at_ms: float = dataclasses.field(
        metadata=dumps.written_as("answered_at_ms")
    )
    confirmed_at_ms: float
    shares: dict[int, float] = dataclasses.field(default_factory=dict)
    shares_reserved: bool = dataclasses.field(
        default=False, metadata=dumps.written_as("silent")
    )


@dataclasses.dataclass
class GrantorTable:
    """Token buckets of all customers and the leases of all holders.

    :param holders: :class:`Holder` by id.
    :param term: latest term in which this process was leader; 0 for none.
    :param leader_since_ms: when this process became leader.
    :param granted_count: tokens granted to all customers together.
    :param configured_zones: zones named by the settings. They may have nodes
        that a new leader can't see.
    :param zones: zones that have nodes, and those of the settings.
    :param zones_version: version of the member table that ``zones`` was
        computed from.
    """

    buckets: dict[str, FleetBucket] = dataclasses.field(default_factory=dict)
    holders: dict[str, Holder] = dataclasses.field(default_factory=dict)
    configured_zones: list[str] = dataclasses.field(default_factory=list)
    term: int = 0
    leader_since_ms: float = dataclasses.field(
        default=0.0, metadata=dumps.written_as("in_charge_since_ms")
    )
    granted_count: int = 0
    zones: set[str] = dataclasses.field(default_factory=set)
    zones_version: int = -1


@dataclasses.dataclass(slots=True)
class GrantorLink:
    """State of a holder's requests to one grantor, one at a time.

    :param request_id: latest request.
    :param sent_at_ms: when it was sent; None once it is responded to.
    :param request_due_ms: when the next request may be sent.
    :param report_due_ms: when a request that only reports may be sent.
    :param failures: consecutive requests without a response.
    :param failed_until_ms: the grantor is skipped until then.
    """

    request_id: int = dataclasses.field(
        default=0, metadata=dumps.written_as("question_id")
    )
    sent_at_ms: float | None = dataclasses.field(
        default=None, metadata=dumps.written_as("asked_at_ms")
    )
    request_due_ms: float = dataclasses.field(
        default=0.0, metadata=dumps.written_as("ask_due_ms")
    )
    report_due_ms: float = 0.0
    failures: int = 0
    failed_until_ms: float = float("-inf")


@dataclasses.dataclass
class LocalBucket:
    """Tokens of one customer that this process may spend or grant.

    :param tokens: number of tokens.
    :param expires_at_ms: the tokens are void from then on.
    :param granted: :class:`HeldTokens` by holder that this process granted
        them to.
    :param wanted: tokens that waiting calls and holders need now.
    :param demand_per_s: recent demand in tokens a second.
    :param demand_at_ms: time up to which the demand was decayed.
    :param exhausted_until_ms: the grantor has no tokens before this time.
    :param token_interval_ms: time in which the rate yields a token.
    :param reported_held: tokens held as last reported to the grantor.
    :param renewed_at_ms: when the fleet grantor last responded, to this
        process or to its zone grantor.
    :param is_fallback: the latest tokens come from a zone's fallback share.
    :param fallback_refilled_at_ms: time up to which the fallback share was
        added.
    :param fallback_remainder: fraction of a token that the share yielded.
    """

    tokens: int = 0
    expires_at_ms: float = float("-inf")
    granted: dict[str, HeldTokens] = dataclasses.field(default_factory=dict)
    wanted: int = 0
    demand_per_s: float = 0.0
    demand_at_ms: float = 0.0
    exhausted_until_ms: float = float("-inf")
    token_interval_ms: float = dataclasses.field(
        default=1.0, metadata=dumps.written_as("token_every_ms")
    )
    reported_held: int = 0
    renewed_at_ms: float = dataclasses.field(
        default=float("-inf"), metadata=dumps.written_as("fed_at_ms")
    )
    is_fallback: bool = dataclasses.field(
        default=False, metadata=dumps.written_as("own_part")
    )
    fallback_refilled_at_ms: float = dataclasses.field(
        default=float("-inf"), metadata=dumps.written_as("minted_at_ms")
    )
    fallback_remainder: float = dataclasses.field(
        default=0.0, metadata=dumps.written_as("minted_rest")
    )


@dataclasses.dataclass(slots=True)
class WaitingCall:
    """A call that waits for a token.

    :param waiting_since_ms: when it began to wait.
    :param timeout_at_ms: when it is refused at the latest.
    """

    call_id: int
    waiting_since_ms: float = dataclasses.field(
        metadata=dumps.written_as("since_ms")
    )
    timeout_at_ms: float = dataclasses.field(
        metadata=dumps.written_as("give_up_at_ms")
    )


@dataclasses.dataclass(slots=True)
class FallbackLease:
    """Shares of the rates that this process may grant while cut off.

    :param shares: fallback share of the rates by shard.
    :param renewed_at_ms: when the latest response of the fleet grantor
        arrived.
    :param expires_at_ms: the shares may be used until then.
    :param acknowledged_id: request that this response belongs to.
    :param sent_at_ms: when the latest request was sent.
    """

    shares: dict[int, float] = dataclasses.field(default_factory=dict)
    renewed_at_ms: float = dataclasses.field(
        default=float("-inf"), metadata=dumps.written_as("fed_at_ms")
    )
    expires_at_ms: float = dataclasses.field(
        default=float("-inf"), metadata=dumps.written_as("until_ms")
    )
    acknowledged_id: int = dataclasses.field(
        default=0, metadata=dumps.written_as("answered_id")
    )
    sent_at_ms: float = dataclasses.field(
        default=float("-inf"), metadata=dumps.written_as("told_at_ms")
    )


@dataclasses.dataclass
class LimitTable:
    """Token state of a node.

    :param zone_buckets: tokens it holds as its zone's grantor, by customer.
    :param node_buckets: tokens it holds for its own calls, by customer.
    :param waiting: calls that wait, by customer, oldest first.
    :param changed: customers whose tokens were asked for since the last
        report to their grantor.
    :param links: :class:`GrantorLink` by node id of the grantor; the fleet
        grantor has the key :data:`FLEET_LINK`.
    :param grantors: chosen grantors by shard and whether in the own zone.
    :param grantors_version: version of the member table that ``grantors``
        was computed from.
    :param control_index: index of the control address to use, modulo their
        number.
    :param fallback_lease: what the fleet grantor granted for use while cut
        off.
    """

    zone_buckets: dict[str, LocalBucket] = dataclasses.field(
        default_factory=dict, metadata=dumps.written_as("pools")
    )
    node_buckets: dict[str, LocalBucket] = dataclasses.field(
        default_factory=dict, metadata=dumps.written_as("holdings")
    )
    waiting: dict[str, list[WaitingCall]] = dataclasses.field(
        default_factory=dict
    )
    changed: set[str] = dataclasses.field(default_factory=set)
    links: dict[str, GrantorLink] = dataclasses.field(default_factory=dict)
    grantors: dict[tuple[int, bool], str] = dataclasses.field(
        default_factory=dict
    )
    grantors_version: int = -1
    control_index: int = dataclasses.field(
        default=0, metadata=dumps.written_as("control_turn")
    )
    fallback_lease: FallbackLease = dataclasses.field(
        default_factory=FallbackLease, metadata=dumps.written_as("promise")
    )


FLEET_LINK = "fleet"
