"""Rate limit decisions on calls, with their log line and counter."""

import dataclasses
import enum
import math

from fescueyard.core import codes
from fescueyard.core import logs

LOG = logs.ComponentLogger("limits")


class Basis(enum.Enum):
    """What a rate limit decision is based on."""

    UNLIMITED = "unlimited"
    GRANTED = "granted"
    FALLBACK_SHARE = "own_part"
    NO_TOKEN = "no_token"


class Outlook(enum.Enum):
    """What a call of a customer gets when it requests a token now.

    ``UNLIMITED``: the customer has no limit. ``TOKEN``: a token at once.
    ``WAIT``: a place among the waiting calls. ``EXCEEDED``: a rejection by the
    limit. ``CUT_OFF``: a rejection, as no grantor is reachable and the node's
    share of the limit doesn't suffice.
    """

    UNLIMITED = "unlimited"
    TOKEN = "token"
    WAIT = "wait"
    EXCEEDED = "exceeded"
    CUT_OFF = "cut_off"


@dataclasses.dataclass(slots=True)
class RateDecided:
    """Event: a call is admitted or rejected by its customer's rate limit.

    :param code: ``OK`` or the reason of the rejection.
    :param waited_ms: how long the call waited for the decision.
    """

    call_id: int
    customer: str
    code: codes.ResultCode
    basis: Basis
    retry_after_ms: float = 0.0
    waited_ms: float = 0.0


def publish(tables, decided, bucket, now_ms):
    """Log and count a decision, and emit it as an event.

    :param tables: the node's tables.
    :param decided: :class:`RateDecided`.
    :param bucket: :class:`~fescueyard.limits.models.LocalBucket` that the
        token comes from, or None without a limit.
    :param now_ms: the present time.
    """
    tables.events.append(decided)
    if decided.basis is Basis.UNLIMITED:
        return
    tables.metrics.count(f"rate_{decided.basis.value}")
    call = tables.calls.rows.get(decided.call_id)
    LOG.decision(
        "rate_decided",
        request="" if call is None else call.request_id,
        call=decided.call_id,
        customer=decided.customer,
        code=decided.code.number,
        basis=decided.basis.value,
        waited_ms=round(decided.waited_ms),
        tokens=bucket.tokens,
        valid_ms=_round_finite(bucket.expires_at_ms - now_ms),
        fed_ms_ago=_round_finite(now_ms - bucket.renewed_at_ms),
    )


def _round_finite(value_ms):
    """Round for a log line; None for a time that was never set."""
    return round(value_ms) if math.isfinite(value_ms) else None
