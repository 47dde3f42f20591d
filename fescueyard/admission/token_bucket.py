"""A token bucket: how many requests may start at one backend server now."""

import dataclasses

# Time whose unused tokens are saved, so it bounds a burst.
BURST_MS = 250


@dataclasses.dataclass(slots=True)
class TokenBucket:
    """State of one bucket, which starts empty.

    :param tokens: requests that may start now; negative while those sent
        exceed the rate.
    :param refilled_at_ms: time as of which ``tokens`` holds; infinite before
        the first use, so that a new bucket stays empty until then.
    """

    tokens: float = 0.0
    refilled_at_ms: float = float("inf")


def refill(bucket, rate_per_s, now_ms):
    """Add the tokens of the time since the last refill.

    :param bucket: :class:`TokenBucket`.
    :param rate_per_s: tokens added per second.
    :param now_ms: the present time.
    """
    elapsed_ms = max(0.0, now_ms - bucket.refilled_at_ms)
    bucket.refilled_at_ms = now_ms
    burst = max(1.0, rate_per_s * BURST_MS / 1000)
    bucket.tokens = min(burst, bucket.tokens + rate_per_s * elapsed_ms / 1000)


def wait_ms(bucket, rate_per_s, ahead_count, now_ms):
    """Return how long a request waits for its token.

    :param bucket: :class:`TokenBucket`.
    :param rate_per_s: tokens added per second.
    :param ahead_count: requests that start before it.
    :param now_ms: the present time.
    :returns: ms.
    """
    refill(bucket, rate_per_s, now_ms)
    missing = ahead_count + 1 - bucket.tokens
    return max(0.0, missing) * 1000 / rate_per_s
