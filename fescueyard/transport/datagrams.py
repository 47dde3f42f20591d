"""Authenticated datagrams between processes, for gossip."""

import asyncio
import hashlib
import hmac

from fescueyard.core import addresses
from fescueyard.core import exceptions
from fescueyard.core import failures
from fescueyard.core import logs
from fescueyard.core import wire

LOG = logs.ComponentLogger("datagram")

MAC_BYTES = 16
DATAGRAM_BYTES_MAX = 1_400


class DatagramSocket(asyncio.DatagramProtocol):
    """Sends and receives messages as datagrams.

    Calls ``datagram_received(message)`` of the handler for authenticated
    datagrams only, and ``datagram_sent(address, message, payload_bytes)``.

    :param secret: cluster secret, bytes.
    :param handler: object with the methods above.
    """

    def __init__(self, secret, handler):
        self._key = hmac.digest(secret, b"datagrams", "sha256")
        self._handler = handler
        self._transport = None

    async def listen(self, address):
        """Open the socket.

        :param address: :class:`~fescueyard.core.addresses.Address`.
        """
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(
            lambda: self, local_addr=(address.host, address.port)
        )

    def connection_made(self, transport):
        """Store the transport."""
        self._transport = transport

    def datagram_received(self, data, addr):
        """Pass on an authenticated message; drop any other datagram."""
        payload = data[MAC_BYTES:]
        if not hmac.compare_digest(self._mac(payload), data[:MAC_BYTES]):
            LOG.warning(
                "Datagram failed authentication.",
                source=f"{addr[0]}:{addr[1]}",
            )
            return
        try:
            message = wire.decode(payload)
        except exceptions.StreamError as error:
            LOG.warning("Datagram is malformed.", detail=error.detail)
            return
        try:
            self._handler.datagram_received(message)
        except Exception as error:
            failures.contain(
                LOG,
                "datagram_failed",
                error,
                source=f"{addr[0]}:{addr[1]}",
                message=type(message).__name__,
            )

    def error_received(self, exc):
        """Ignore unreachable processes; the probes of gossip detect them."""

    def send(self, address_text, message):
        """Send a message; drop it when it is too large for a datagram.

        :param address_text: ``host:port``.
        :param message: a registered message.
        """
        payload = wire.encode(message)
        if len(payload) + MAC_BYTES > DATAGRAM_BYTES_MAX:
            LOG.warning(
                "Datagram not sent; it is too large.", bytes=len(payload)
            )
            return
        address = addresses.parse(address_text)
        self._transport.sendto(
            self._mac(payload) + payload, (address.host, address.port)
        )
        self._handler.datagram_sent(address_text, message, len(payload))

    def close(self):
        """Close the socket."""
        self._transport.close()

    def _mac(self, payload):
        return hashlib.blake2b(
            payload, digest_size=MAC_BYTES, key=self._key
        ).digest()
