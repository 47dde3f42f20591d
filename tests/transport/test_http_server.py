"""The HTTP listener: slow and idle callers, requests cut at every byte."""

import asyncio

import pytest

from fescueyard.core import http
from fescueyard.transport import http_server
from fescueyard.transport import streams

REQUEST = (
    b"POST /orders/work?x=1 HTTP/1.1\r\nHost: a\r\nX-Two:  b \r\n"
    b"Content-Length: 6\r\n\r\nfleece"
)


class Handler:
    """Notes requests and answers each with its body."""

    def __init__(self):
        self.requests = []
        self.left = []

    def request_received(self, exchange_id, request, connection):
        """Note a request and answer it."""
        self.requests.append(request)
        connection.respond(http.HttpResponse(200, [], request.body))

    def caller_left(self, exchange_id):
        """Note that a caller left."""
        self.left.append(exchange_id)


async def _serve(handler, talk):
    server = http_server.HttpServer(handler, 1_000)
    await server.listen(streams.Address("127.0.0.1", 0))
    host, port = server._server.sockets[0].getsockname()
    reader, writer = await asyncio.open_connection(host, port)
    try:
        return await talk(reader, writer)
    finally:
        writer.close()
        server.close_when_idle()


def test_request_in_pieces_of_any_size_is_the_same_request():
    whole = None
    for size in (1, 2, 7, 40, len(REQUEST)):
        handler = Handler()

        async def talk(reader, writer, size=size):
            for start in range(0, len(REQUEST), size):
                writer.write(REQUEST[start : start + size])
                await writer.drain()
                await asyncio.sleep(0)
            return await reader.readuntil(b"fleece")

        answer = asyncio.run(_serve(handler, talk))
        assert answer.startswith(b"HTTP/1.1 200 OK\r\n")
        whole = whole or handler.requests[0]
        assert handler.requests == [whole]
    assert whole.header("x-two") == "b"


def test_request_cut_at_every_byte_is_never_handed_on():
    for end in range(len(REQUEST)):
        handler = Handler()

        async def talk(reader, writer, end=end):
            writer.write(REQUEST[:end])
            writer.write_eof()
            await reader.read()

        asyncio.run(_serve(handler, talk))
        assert not handler.requests


@pytest.mark.parametrize("sent", [b"", REQUEST[:30], REQUEST[:-1]])
def test_caller_that_falls_silent_is_closed(monkeypatch, sent):
    monkeypatch.setattr(http_server, "IDLE_TIMEOUT_S", 0.1)
    monkeypatch.setattr(http_server, "REQUEST_TIMEOUT_S", 0.1)
    monkeypatch.setattr(http_server, "SWEEP_INTERVAL_S", 0.02)

    async def talk(reader, writer):
        writer.write(sent)
        return await asyncio.wait_for(reader.read(), 2)

    assert asyncio.run(_serve(Handler(), talk)) == b""


def test_head_has_no_body():
    answer = http.HttpResponse(200, [], b"abc")
    told = http_server.serialise(answer, keep_alive=True, head_only=True)
    assert told.endswith(b"\r\n\r\n")
    assert b"content-length: 3" in told
