"""Tests of the HTTP listener: slow and idle callers, incomplete requests."""

import asyncio
import socket

import pytest

from fescueyard.core import addresses
from fescueyard.core import http
from fescueyard.transport import http_parsing
from fescueyard.transport import http_responses
from fescueyard.transport import http_server

REQUEST = (
    b"POST /orders/work?x=1 HTTP/1.1\r\nHost: a\r\nX-Two:  b \r\n"
    b"Content-Length: 6\r\n\r\nfleece"
)


class Handler:
    """Records requests and responds to each with its body."""

    def __init__(self):
        self.requests = []
        self.left = []

    def request_received(self, exchange_id, request, connection):
        """Record a request and respond to it."""
        self.requests.append(request)
        response = http.HttpResponse(200, [], request.body)
        connection.respond(exchange_id, response)

    def caller_left(self, exchange_id):
        """Record that a caller disconnected."""
        self.left.append(exchange_id)

    def may_overlap(self, request):
        """Return whether a request may run beside others."""
        return True


async def _serve(handler, exchange):
    server = http_server.HttpServer(handler, 1_000)
    await server.listen(addresses.Address("127.0.0.1", 0))
    host, port = server._server.sockets[0].getsockname()
    reader, writer = await asyncio.open_connection(host, port)
    try:
        return await exchange(reader, writer)
    finally:
        writer.close()
        server.close_when_idle()


def test_request_is_parsed_alike_in_pieces_of_any_size():
    expected_request = None
    for size in (1, 2, 7, 40, len(REQUEST)):
        handler = Handler()

        async def exchange(reader, writer, size=size):
            for start in range(0, len(REQUEST), size):
                writer.write(REQUEST[start : start + size])
                await writer.drain()
                await asyncio.sleep(0)
            return await reader.readuntil(b"fleece")

        response = asyncio.run(_serve(handler, exchange))
        assert response.startswith(b"HTTP/1.1 200 OK\r\n")
        expected_request = expected_request or handler.requests[0]
        assert handler.requests == [expected_request]
    assert expected_request.header("x-two") == "b"


def test_incomplete_request_is_never_passed_to_the_handler():
    for end in range(len(REQUEST)):
        handler = Handler()

        async def exchange(reader, writer, end=end):
            writer.write(REQUEST[:end])
            writer.write_eof()
            await reader.read()

        asyncio.run(_serve(handler, exchange))
        assert not handler.requests


@pytest.mark.parametrize("sent_bytes", [b"", REQUEST[:30], REQUEST[:-1]])
def test_silent_caller_is_disconnected(monkeypatch, sent_bytes):
    monkeypatch.setattr(http_parsing, "IDLE_TIMEOUT_S", 0.1)
    monkeypatch.setattr(http_parsing, "HEADER_TIMEOUT_S", 0.1)
    monkeypatch.setattr(http_parsing, "REQUEST_TIMEOUT_S", 0.1)
    monkeypatch.setattr(http_server, "SWEEP_INTERVAL_S", 0.02)

    async def exchange(reader, writer):
        writer.write(sent_bytes)
        return await asyncio.wait_for(reader.read(), 2)

    assert asyncio.run(_serve(Handler(), exchange)) == b""


def test_response_to_head_has_no_body():
    response = http.HttpResponse(200, [], b"abc")
    serialised = http_responses.serialise(
        response, keep_alive=True, head_only=True
    )
    assert serialised.endswith(b"\r\n\r\n")
    assert b"content-length: 3" in serialised


class DelayedHandler(Handler):
    """Keeps the requests for a response later on."""

    def __init__(self):
        super().__init__()
        self.open = []

    def request_received(self, exchange_id, request, connection):
        """Keep a request."""
        self.open.append((exchange_id, request, connection))


async def _serve_delayed(exchange):
    """Serve a caller that asks for the last response of its connection."""
    handler = DelayedHandler()
    server = http_server.HttpServer(handler, 1_000)
    await server.listen(addresses.Address("127.0.0.1", 0))
    with socket.create_connection(
        server._server.sockets[0].getsockname()
    ) as caller:
        caller.sendall(REQUEST.replace(b"Host", b"Connection: close\r\nHost"))
        while not handler.open:
            await asyncio.sleep(0.01)
        await exchange(server, handler, caller)
    server.close_when_idle()


# The error of a caller that had left ended the callback that answered it.
def test_response_to_a_caller_that_left_unnoticed_raises_nothing():
    async def exchange(server, handler, caller):
        caller.close()
        exchange_id, request, connection = handler.open[0]
        connection.respond(
            exchange_id, http.HttpResponse(200, [], request.body)
        )
        while server._connections:
            await asyncio.sleep(0.01)

    asyncio.run(asyncio.wait_for(_serve_delayed(exchange), 5))


class FailingHandler(Handler):
    """Raises for each request, and for each disconnect."""

    def request_received(self, exchange_id, request, connection):
        """Fail in the middle of a request."""
        self.requests.append(request)
        raise KeyError("odd row")

    def caller_left(self, exchange_id):
        """Fail after recording that the request is cancelled."""
        super().caller_left(exchange_id)
        raise KeyError("odd row")


def test_request_that_fails_is_answered_and_cancelled():
    handler = FailingHandler()

    async def exchange(reader, writer):
        writer.write(REQUEST * 2)
        body = b"urn:fescueyard:result:4005"
        return await reader.readuntil(body), await reader.readuntil(body)

    first, second = asyncio.run(_serve(handler, exchange))
    assert first.startswith(b"HTTP/1.1 500 ")
    assert b"HTTP/1.1 500 " in second
    assert len(handler.left) == len(handler.requests) == 2


def test_response_given_before_a_failure_is_sent():
    class RespondingHandler(Handler):
        """Responds, then fails."""

        def request_received(self, exchange_id, request, connection):
            """Respond to a request and fail."""
            super().request_received(exchange_id, request, connection)
            raise KeyError("odd row")

    async def exchange(reader, writer):
        writer.write(REQUEST)
        return await reader.readuntil(b"fleece")

    handler = RespondingHandler()
    response = asyncio.run(_serve(handler, exchange))
    assert response.startswith(b"HTTP/1.1 200 ")
    assert not handler.left


# A connection whose timeout raised kept all idle ones open for good.
def test_connection_that_can_not_be_closed_does_not_end_the_sweep(monkeypatch):
    class Connection:
        """Counts the sweeps; fails in each."""

        sweeps = 0

        def close_if_overdue(self, now_s):
            """Fail."""
            self.sweeps += 1
            raise KeyError("odd row")

    async def sweep():
        server = http_server.HttpServer(Handler(), 1_000)
        connection = Connection()
        server._connections.add(connection)
        await server.listen(addresses.Address("127.0.0.1", 0))
        while connection.sweeps < 3:
            await asyncio.sleep(0.01)
        server._connections.clear()
        server.close_when_idle()

    monkeypatch.setattr(http_server, "SWEEP_INTERVAL_S", 0.02)
    asyncio.run(asyncio.wait_for(sweep(), 5))
