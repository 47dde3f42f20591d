"""Stand-ins for servers that send given bytes as their responses."""

import asyncio
import contextlib

from fescueyard.core import http

RESPONSE = b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\nx-a: b\r\n\r\nhello"
# Bytes that the buffers of both sockets may hold besides what the client read.
SOCKET_BYTES_MAX = 16 * 1024 * 1024
REQUEST = http.HttpRequest("POST", "/order", [], b"one fleece")


class RawServer:
    """Responds with given raw bytes; counts complete requests.

    ``piece_bytes`` may be set to the number of bytes that are written at a
    time, and ``keep_open`` to leave the connection open behind any response.
    """

    def __init__(self, responses):
        self.requests = 0
        self.keep_open = False
        self.piece_bytes = None
        self._responses = responses
        self._server = None

    async def start(self):
        """Listen on a free port.

        :returns: base URL.
        """
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()
        return f"http://{host}:{port}"

    def stop(self):
        """Stop listening."""
        self._server.close()

    async def _accept(self, reader, writer):
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                if b"POST" in head:
                    await reader.readexactly(len(REQUEST.body))
                response = self._responses[
                    min(self.requests, len(self._responses) - 1)
                ]
                self.requests += 1
                if response is None:
                    break
                await self._write(writer, response)
                if response != RESPONSE and not self.keep_open:
                    break
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            # Also when the event loop ends: a writer that is left open fails
            # when it is collected, which may be inside the report of a test.
            writer.close()

    async def _write(self, writer, response):
        piece_bytes = self.piece_bytes or len(response) or 1
        for start in range(0, len(response), piece_bytes):
            writer.write(response[start : start + piece_bytes])
            await writer.drain()
            # Lets the client read the piece before the next one arrives.
            await asyncio.sleep(0)


class EndlessServer:
    """Sends until its client closes the connection; counts bytes written.

    :param first: bytes that are sent first.
    :param repeated: bytes that are sent without end after them.
    :param request_end: end of the client's request, which is read before
        anything is sent; none when empty.
    """

    def __init__(self, first, repeated, request_end=b"\r\n\r\n"):
        self.bytes_written = 0
        self.closed = asyncio.Event()
        self._first = first
        self._repeated = repeated
        self._request_end = request_end

    async def accept(self, reader, writer):
        """Serve one connection."""
        if self._request_end:
            await reader.readuntil(self._request_end)
        with contextlib.suppress(ConnectionError):
            writer.write(self._first)
            while not writer.is_closing():
                writer.write(self._repeated)
                self.bytes_written += len(self._repeated)
                await writer.drain()
                # Lets the client run.
                await asyncio.sleep(0)
        self.closed.set()
        writer.close()
