"""Messages that hand tokens down from the fleet to zones and nodes."""

import dataclasses

from fescueyard.core import wire


@dataclasses.dataclass(slots=True)
class TokenDemand:
    """What a holder has and wants of one customer's tokens.

    :param customer: name of the customer.
    :param held: tokens it holds now, those it granted on included.
    :param returned: tokens it gives back with this question.
    :param wanted: tokens that waiting calls need more.
    :param prefetch: tokens it would like on top, for calls to come.
    """

    customer: str
    held: int
    returned: int
    wanted: int
    prefetch: int


@dataclasses.dataclass(slots=True)
class TokenGrant:
    """What a holder got of one customer's tokens.

    :param customer: name of the customer.
    :param granted: tokens granted.
    :param exhausted: the grantor has no more, and neither has who is above.
    :param retry_after_ms: when there may be a token again.
    :param token_interval_ms: time in which the rate yields a token.
    :param lifetime_ms: from the time of the question, how long these and
        the holder's other tokens may be used.
    """

    customer: str
    granted: int
    exhausted: bool
    retry_after_ms: float
    token_interval_ms: float
    lifetime_ms: float


@dataclasses.dataclass(slots=True)
class FallbackShare:
    """A part of each rate that a zone may grant by itself in a cut.

    :param shard: the customers it is of.
    :param share: part of their rates, 0 to 1.
    """

    shard: int
    share: float


@wire.message(70)
@dataclasses.dataclass(slots=True)
class TokenRequest:
    """A holder's question to its grantor.

    :param request_id: grows; an answer to an earlier one is void.
    :param holder_id: the holder, another one after each start.
    :param to_fleet: meant for the fleet's grantor and not for a zone's.
    :param zone: the holder's availability zone.
    :param acknowledged_id: latest question whose answer has arrived.
    :param parts: what the holder was promised; 0 asks for a first promise.
        A shard left out is given back.
    """

    request_id: int
    holder_id: str
    to_fleet: bool
    demands: list[TokenDemand]
    zone: str = ""
    acknowledged_id: int = 0
    fallback_shares: list[FallbackShare] = dataclasses.field(
        default_factory=list
    )


@wire.message(71)
@dataclasses.dataclass(slots=True)
class TokenResponse:
    """Answers a :class:`TokenRequest`.

    :param is_grantor: whether the sender is the grantor asked for.
    :param renewal_age_ms: how long the sender has heard nothing of the fleet's
        grantor.
    :param is_fallback: the sender grants from its zone's own part.
    :param parts: what is promised from now on, for each part asked for.
    """

    request_id: int
    to_fleet: bool
    is_grantor: bool
    grants: list[TokenGrant]
    renewal_age_ms: float = 0.0
    is_fallback: bool = False
    fallback_shares: list[FallbackShare] = dataclasses.field(
        default_factory=list
    )
