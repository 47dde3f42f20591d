"""IP addresses and ports of processes, as text and as values."""

import dataclasses
import functools
import ipaddress

from fescueyard.core import exceptions
from fescueyard.core import text

PORT_MAX = 65_535
# Distinct addresses whose values are kept; every message names one.
PARSED_ADDRESSES_MAX = 16_384


@dataclasses.dataclass(frozen=True)
class Address:
    """IP address and port of a process.

    :param host: IP address.
    :param port: port number.
    """

    host: str
    port: int

    def __str__(self):
        return f"{self.host}:{self.port}"


@functools.lru_cache(PARSED_ADDRESSES_MAX)
def parse(value):
    """Parse ``host:port``.

    :param value: such as ``10.0.0.1:7000``.
    :returns: :class:`Address`.
    :raises SettingsError: when the host is no IPv4 address, or the port is no
        whole number up to 65535.
    """
    host, _, port = value.rpartition(":")
    if not text.is_decimal(port) or int(port) > PORT_MAX:
        raise exceptions.SettingsError(f"not host:port: {value!r}")
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        raise exceptions.SettingsError(f"not host:port: {value!r}") from None
    return Address(host, int(port))


def check(value):
    """Check an address in a validated model.

    :param value: the address as text.
    :returns: the same text.
    :raises ValueError: when it is no address.
    """
    try:
        parse(value)
    except exceptions.SettingsError as error:
        raise ValueError(error.detail) from None
    return value
