"""Bounds on what clients hold, and the ordinary clients that pass them."""

import asyncio
import socket

import pytest

from fescueyard.core import addresses
from fescueyard.core import codes
from fescueyard.core import http
from fescueyard.transport import client_guard
from fescueyard.transport import http_server
from fescueyard.transport import memory_account
from fescueyard.transport import progress

MEBIBYTE = memory_account.MEBIBYTE
BODY_BYTES_MAX = 16 * MEBIBYTE
# What a node of 200 MiB lets clients hold.
LIMIT_BYTES = memory_account.limit_bytes(
    200 * MEBIBYTE, 45 * MEBIBYTE, BODY_BYTES_MAX
)
MEMORY_SHORT = b"urn:fescueyard:result:%d" % codes.MEMORY_SHORT.number


class Handler:
    """Responds to each request with the size of its body, or a large body."""

    def __init__(self):
        self.requests = []

    def request_received(self, exchange_id, request, connection):
        """Record a request and respond to it."""
        self.requests.append(request)
        body = str(len(request.body)).encode()
        if request.target == "/large":
            body = bytes(15 * 1024**2)
        connection.respond(exchange_id, http.HttpResponse(200, [], body))

    def caller_left(self, exchange_id):
        """Ignore the disconnect."""

    def may_overlap(self, request):
        """Return whether a request may run beside others."""
        return True


def _run(exchange, handler=None, limit_bytes=LIMIT_BYTES, connections_max=100):
    """Run an exchange with a listener; return what it returns."""

    async def run():
        account = memory_account.MemoryAccount(limit_bytes)
        guard = client_guard.ClientGuard(account, connections_max)
        server = http_server.HttpServer(
            handler or Handler(), BODY_BYTES_MAX, guard
        )
        await server.listen(addresses.Address("127.0.0.1", 0))
        address = server._server.sockets[0].getsockname()
        try:
            return await asyncio.wait_for(exchange(address, guard), 20)
        finally:
            server.close_when_idle()
            for connection in list(guard.connections):
                connection.abort()
            await asyncio.sleep(0.05)
            assert account.held_bytes == 0, "memory that was not released"

    return asyncio.run(run())


async def _response_to(address, *parts):
    reader, writer = await asyncio.open_connection(*address)
    for part in parts:
        writer.write(part)
        await writer.drain()
    head = await reader.readuntil(b"\r\n\r\n")
    length = int(head.partition(b"content-length: ")[2].partition(b"\r\n")[0])
    body = await reader.readexactly(length)
    writer.close()
    return head + body


def test_body_of_15_mb_in_chunks_is_served():
    handler = Handler()

    async def exchange(address, guard):
        chunk = b"10000\r\n" + bytes(0x10000) + b"\r\n"
        return await _response_to(
            address,
            b"PUT / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n",
            *[chunk] * 240,
            b"0\r\n\r\n",
        )

    response = _run(exchange, handler)
    assert response.endswith(b"\r\n\r\n%d" % (240 * 0x10000))
    assert len(handler.requests[0].body) == 240 * 0x10000


def test_head_of_16_000_bytes_with_a_hundred_fields_is_served():
    fields = b"".join(
        b"x-field-%03d: %s\r\n" % (number, b"v" * 146) for number in range(100)
    )
    handler = Handler()

    async def exchange(address, guard):
        return await _response_to(
            address, b"GET / HTTP/1.1\r\n" + fields + b"\r\n"
        )

    assert _run(exchange, handler).startswith(b"HTTP/1.1 200")
    assert len(handler.requests[0].headers) == 100


def test_16_pipelined_requests_are_served():
    async def exchange(address, guard):
        reader, writer = await asyncio.open_connection(*address)
        writer.write(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n" * 16)
        heads = [await reader.readuntil(b"\r\n\r\n0") for _ in range(16)]
        writer.close()
        return heads

    assert all(head.startswith(b"HTTP/1.1 200") for head in _run(exchange))


def test_response_of_15_mb_is_read_to_its_end():
    async def exchange(address, guard):
        response = await _response_to(address, b"GET /large HTTP/1.1\r\n\r\n")
        return len(response.partition(b"\r\n\r\n")[2])

    assert _run(exchange) == 15 * 1024**2


# Bodies were read into memory, however many there were.
@pytest.mark.parametrize(
    "framing",
    [b"Content-Length: 15728640", b"Transfer-Encoding: chunked"],
)
def test_bodies_without_room_are_refused_as_not_run_each_time(framing):
    handler = Handler()
    head = b"PUT / HTTP/1.1\r\n" + framing + b"\r\n\r\n"
    chunk = b"100000\r\n" + bytes(0x100000) + b"\r\n"

    async def exchange(address, guard):
        refused = []
        for _ in range(2):
            crowd = [await asyncio.open_connection(*address) for _ in range(8)]
            for _, writer in crowd:
                writer.write(head + chunk * 10)
                await asyncio.sleep(0.1)
            received = [reader._buffer for reader, _ in crowd]
            refused.append(sum(MEMORY_SHORT in each for each in received))
            assert guard.account.held_bytes <= guard.account.limit_bytes
            for _, writer in crowd:
                writer.transport.abort()
            await asyncio.sleep(0.1)
        return refused

    assert all(count >= 4 for count in _run(exchange, handler))
    assert not handler.requests


# A crowd of large bodies must not take the room of small requests.
def test_small_request_is_served_beside_a_crowd_of_large_bodies():
    async def exchange(address, guard):
        head = b"PUT / HTTP/1.1\r\nContent-Length: 15728640\r\n\r\n"
        crowd = [await asyncio.open_connection(*address) for _ in range(8)]
        for _, writer in crowd:
            writer.write(head)
        await asyncio.sleep(0.1)
        response = await _response_to(
            address, b"PUT / HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc"
        )
        for _, writer in crowd:
            writer.transport.abort()
        return response

    assert _run(exchange).startswith(b"HTTP/1.1 200")


# A readiness probe's body was read whole before the probe was answered.
def test_listener_that_needs_no_body_answers_by_the_head():
    handler = http_server.ImmediateHandler(
        lambda request, now_ms: http.HttpResponse(200, [], b"ready"),
        needs_bodies=False,
    )

    async def exchange(address, guard):
        head = b"PUT / HTTP/1.1\r\nContent-Length: %d\r\n\r\n"
        unfinished = [
            await _response_to(address, head % length + b"abc")
            for length in (4, 1_000_000)
        ]
        complete = await _response_to(address, head % 3 + b"abc")
        return unfinished, complete

    unfinished, complete = _run(exchange, handler)
    for response in unfinished:
        assert response.endswith(b"ready")
        assert b"connection: close" in response
    assert complete.endswith(b"ready")
    assert b"connection: keep-alive" in complete


# The oldest connection that has sent no request makes room, not one in use.
def test_connections_are_bounded_and_those_in_use_are_kept():
    async def exchange(address, guard):
        used = await asyncio.open_connection(*address)
        used[1].write(b"GET / HTTP/1.1\r\n\r\n")
        await used[0].readuntil(b"\r\n\r\n0")
        crowd = [socket.create_connection(address) for _ in range(40)]
        await asyncio.sleep(0.2)
        connections = len(guard.connections)
        used[1].write(b"GET / HTTP/1.1\r\n\r\n")
        again = await used[0].readuntil(b"\r\n\r\n0")
        for each in crowd:
            each.close()
        used[1].close()
        return connections, again

    connections, again = _run(exchange, connections_max=20)
    assert connections <= 20
    assert again.startswith(b"HTTP/1.1 200")


@pytest.mark.parametrize(
    ("bytes_per_s", "step_s", "window_s", "expected"),
    [
        # Tens of kilobytes a second, and a reader of 5 KiB a second whose
        # system acknowledges 64 KiB at a time.
        (20_000, 1, progress.BODY_WINDOW_S, False),
        (5_120, 12, progress.RESPONSE_WINDOW_S, False),
        (100, 1, progress.BODY_WINDOW_S, True),
        (100, 1, progress.RESPONSE_WINDOW_S, True),
    ],
)
def test_only_transfers_below_the_least_rate_are_too_slow(
    bytes_per_s, step_s, window_s, expected
):
    measured = progress.Progress()
    is_slow = False
    for now_s in range(120):
        if now_s % step_s == 0:
            measured.add(bytes_per_s * step_s)
        is_slow |= measured.is_too_slow(True, window_s, now_s)
    assert is_slow is expected
