"""Stand-in for a backend server that sends given bytes as its responses."""

import asyncio

from fescueyard.core import http

RESPONSE = b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\nx-a: b\r\n\r\nhello"
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
        writer.close()

    async def _write(self, writer, response):
        piece_bytes = self.piece_bytes or len(response) or 1
        for start in range(0, len(response), piece_bytes):
            writer.write(response[start : start + piece_bytes])
            await writer.drain()
            # Lets the client read the piece before the next one arrives.
            await asyncio.sleep(0)
