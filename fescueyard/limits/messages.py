"""Messages that distribute tokens from the fleet to zones and nodes."""

import dataclasses

from fescueyard.core import dumps
from fescueyard.core import wire


@dataclasses.dataclass(slots=True)
class TokenDemand:
    """Tokens of one customer that a holder has, returns and needs.

    :param customer: name of the customer.
    :param held: tokens it holds now, including those granted to others.
    :param returned: tokens it returns with this request.
    :param wanted: further tokens that waiting calls need.
    :param prefetch: tokens requested in addition, for expected calls.
    """

    customer: str
    held: int
    returned: int
    wanted: int
    prefetch: int = dataclasses.field(metadata=dumps.written_as("ahead"))


@dataclasses.dataclass(slots=True)
class TokenGrant:
    """Tokens of one customer granted to a holder.

    :param customer: name of the customer.
    :param granted: tokens granted.
    :param exhausted: neither the grantor nor the fleet grantor has more.
    :param retry_after_ms: time until there may be a token again.
    :param token_interval_ms: time in which the rate yields a token.
    :param lifetime_ms: how long these and the holder's other tokens may be
        used, counted from the sending of the request.
    """

    customer: str
    granted: int
    exhausted: bool
    retry_after_ms: float
    token_interval_ms: float = dataclasses.field(
        metadata=dumps.written_as("token_every_ms")
    )
    lifetime_ms: float


@dataclasses.dataclass(slots=True)
class FallbackShare:
    """Share of the rates that a zone may grant by itself while cut off.

    :param shard: shard of customers that it applies to.
    :param share: share of their rates, 0 to 1.
    """

    shard: int
    share: float


@wire.message(70)
@dataclasses.dataclass(slots=True)
class TokenRequest:
    """A holder's request to its grantor.

    :param request_id: increases; a response to an earlier request is void.
    :param holder_id: the holder; a process gets a new id at each start.
    :param to_fleet: meant for the fleet grantor and not for a zone grantor.
    :param zone: the holder's availability zone.
    :param acknowledged_id: latest request whose response has arrived.
    :param fallback_shares: shares that the holder has leased; 0 requests a
        first lease. A shard that is left out is returned.
    """

    request_id: int = dataclasses.field(
        metadata=dumps.written_as("question_id")
    )
    holder_id: str
    to_fleet: bool
    demands: list[TokenDemand] = dataclasses.field(
        metadata=dumps.written_as("wishes")
    )
    zone: str = ""
    acknowledged_id: int = dataclasses.field(
        default=0, metadata=dumps.written_as("answered_id")
    )
    fallback_shares: list[FallbackShare] = dataclasses.field(
        default_factory=list, metadata=dumps.written_as("parts")
    )


@wire.message(71)
@dataclasses.dataclass(slots=True)
class TokenResponse:
    """Response to a :class:`TokenRequest`.

    :param fleet_grantor_requested: whether the request was meant for the fleet
        grantor; also true when the sender isn't the fleet grantor.
    :param is_grantor: whether the sender is the requested grantor.
    :param renewal_age_ms: how long ago the sender last heard from the fleet
        grantor.
    :param is_fallback: the sender grants from its zone's fallback share.
    :param fallback_shares: shares leased from now on, for each requested
        shard.
    """

    request_id: int = dataclasses.field(
        metadata=dumps.written_as("question_id")
    )
    fleet_grantor_requested: bool = dataclasses.field(
        metadata=dumps.written_as("to_fleet")
    )
    is_grantor: bool = dataclasses.field(
        metadata=dumps.written_as("in_charge")
    )
    grants: list[TokenGrant]
    renewal_age_ms: float = dataclasses.field(
        default=0.0, metadata=dumps.written_as("silent_ms")
    )
    is_fallback: bool = dataclasses.field(
        default=False, metadata=dumps.written_as("own_part")
    )
    fallback_shares: list[FallbackShare] = dataclasses.field(
        default_factory=list, metadata=dumps.written_as("parts")
    )
