"""Shards of customers; each zone has one grantor for each shard."""

import functools
import hashlib

GRANTORS_PER_ZONE = 4
CACHED_CUSTOMERS_MAX = 16_384


@functools.lru_cache(CACHED_CUSTOMERS_MAX)
def shard_of(customer):
    """Return the shard of a customer.

    :param customer: name of the customer.
    :returns: shard number below :data:`GRANTORS_PER_ZONE`.
    """
    digest = hashlib.blake2b(customer.encode(), digest_size=1).digest()
    return digest[0] % GRANTORS_PER_ZONE
