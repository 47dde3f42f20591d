"""Several requests on one connection before the first one is answered."""

import asyncio
import functools
import socket

import pytest

from fescueyard.core import addresses
from fescueyard.core import http
from fescueyard.transport import http_connection
from fescueyard.transport import http_parsing
from fescueyard.transport import http_server


class Transport:
    """Records what a connection writes and whether it reads."""

    def __init__(self):
        self.written = b""
        self.reading = True
        self.ended = False
        self.closed = False

    def write(self, data):
        """Record written bytes."""
        assert not self.ended, "bytes after the end of the responses"
        self.written += data

    def get_write_buffer_size(self):
        """Return the bytes that wait to be sent: none."""
        return 0

    def can_write_eof(self):
        """Return whether the connection can be half-closed."""
        return True

    def write_eof(self):
        """Record the end of the responses."""
        self.ended = True

    def pause_reading(self):
        """Record that reading is paused."""
        self.reading = False

    def resume_reading(self):
        """Record that reading goes on."""
        self.reading = True

    def is_closing(self):
        """Return whether the connection was closed."""
        return self.closed

    def close(self):
        """Record that the connection was closed."""
        self.closed = True


class Handler:
    """Records requests; a test decides when each is answered."""

    def __init__(self):
        self.started = []
        self.left = []
        self.exchanges = {}

    def request_received(self, exchange_id, request, connection):
        """Record a request."""
        self.started.append(request.target)
        self.exchanges[request.target] = (exchange_id, connection)

    def caller_left(self, exchange_id):
        """Record the target of a request whose caller left."""
        targets = {pair[0]: name for name, pair in self.exchanges.items()}
        self.left.append(targets[exchange_id])

    def may_overlap(self, request):
        """Return whether a request is idempotent by its method."""
        return request.method != "POST"

    def respond(self, target, body=None):
        """Respond to a request, by default with its target."""
        exchange_id, connection = self.exchanges[target]
        body = target.encode() if body is None else body
        connection.respond(exchange_id, http.HttpResponse(200, [], body))


def _run_in_loop(test):
    """Run a test in an event loop, which gives connections their time."""

    @functools.wraps(test)
    def run():
        async def run_test():
            test()

        asyncio.run(run_test())

    return run


def _connect(closing=False):
    handler = Handler()
    connection = http_connection.HttpConnection(
        handler, http_parsing.Limits(1_000_000), set(), closing
    )
    transport = Transport()
    connection.connection_made(transport)
    return handler, connection, transport


def _request(target, method="GET", headers="", body=b""):
    head = f"{method} {target} HTTP/1.1\r\nHost: a\r\n{headers}"
    if body:
        head += f"Content-Length: {len(body)}\r\n"
    return head.encode() + b"\r\n" + body


def _bodies(written):
    """Split written bytes into the bodies of complete responses."""
    bodies = []
    while written:
        assert written.startswith(b"HTTP/1.1 ")
        head, _, rest = written.partition(b"\r\n\r\n")
        if head == b"HTTP/1.1 100 Continue":
            bodies.append("continue")
            written = rest
            continue
        _, _, length = head.partition(b"content-length: ")
        length = int(length.partition(b"\r\n")[0])
        bodies.append(rest[:length].decode())
        written = rest[length:]
    return bodies


@_run_in_loop
def test_responses_leave_in_the_order_of_the_requests():
    handler, connection, transport = _connect()
    connection.data_received(_request("/1") + _request("/2") + _request("/3"))
    assert handler.started == ["/1", "/2", "/3"]
    handler.respond("/3")
    handler.respond("/2")
    assert transport.written == b""
    handler.respond("/1")
    assert _bodies(transport.written) == ["/1", "/2", "/3"]


@_run_in_loop
def test_request_that_changes_something_runs_alone():
    handler, connection, transport = _connect()
    connection.data_received(
        _request("/1")
        + _request("/2", "POST", body=b"x")
        + _request("/3")
        + _request("/4")
    )
    assert handler.started == ["/1"]
    handler.respond("/1")
    assert handler.started == ["/1", "/2"]
    handler.respond("/2")
    assert handler.started == ["/1", "/2", "/3", "/4"]
    handler.respond("/4")
    handler.respond("/3")
    assert _bodies(transport.written) == ["/1", "/2", "/3", "/4"]


@_run_in_loop
def test_response_to_head_keeps_its_form_when_another_request_follows():
    handler, connection, transport = _connect()
    connection.data_received(_request("/1", "HEAD"))
    connection.data_received(_request("/2"))
    handler.respond("/1")
    handler.respond("/2")
    first, _, second = transport.written.partition(b"\r\n\r\n")
    assert first.startswith(b"HTTP/1.1 200")
    assert _bodies(second) == ["/2"]


@_run_in_loop
def test_upgrade_is_ignored():
    handler, connection, transport = _connect()
    upgrade = "Connection: upgrade\r\nUpgrade: other\r\n"
    connection.data_received(_request("/1", headers=upgrade) + _request("/2"))
    handler.respond("/1")
    handler.respond("/2")
    assert _bodies(transport.written) == ["/1", "/2"]
    assert not transport.ended


@pytest.mark.parametrize("size", [1, 7, 1_000])
def test_body_behind_an_upgrade_is_not_taken_for_requests(size):
    smuggled = _request("/smuggled")
    upgrade = "Connection: upgrade\r\nUpgrade: other\r\n"
    data = _request("/1", "POST", upgrade, smuggled)

    @_run_in_loop
    def test():
        handler, connection, transport = _connect()
        for start in range(0, len(data), size):
            connection.data_received(data[start : start + size])
        assert handler.started == []
        assert transport.written.startswith(b"HTTP/1.1 400")
        assert transport.written.count(b"HTTP/1.1") == 1

    test()


@_run_in_loop
def test_connect_is_rejected():
    handler, connection, transport = _connect()
    connection.data_received(_request("a:1", "CONNECT") + _request("/2"))
    assert handler.started == []
    assert transport.written.startswith(b"HTTP/1.1 400")


@_run_in_loop
def test_body_is_asked_for_behind_the_responses_before_it():
    handler, connection, transport = _connect()
    head = (
        b"POST /2 HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\n"
        b"Content-Length: 3\r\n\r\n"
    )
    connection.data_received(_request("/1") + head)
    assert transport.written == b""
    handler.respond("/1")
    assert _bodies(transport.written) == ["/1", "continue"]
    connection.data_received(b"abc")
    handler.respond("/2")
    assert _bodies(transport.written) == ["/1", "continue", "/2"]


@_run_in_loop
def test_body_that_has_arrived_is_not_asked_for():
    handler, connection, transport = _connect()
    connection.data_received(
        _request("/1")
        + _request("/2", "PUT", "Expect: 100-continue\r\n", b"abc")
    )
    handler.respond("/1")
    handler.respond("/2")
    assert _bodies(transport.written) == ["/1", "/2"]


@_run_in_loop
def test_open_requests_are_bounded_and_none_is_dropped():
    handler, connection, transport = _connect()
    targets = [f"/{number}" for number in range(3_000)]
    data = b"".join(_request(target) for target in targets)
    open_max = 0
    for start in range(0, len(data), 1_000):
        if not transport.reading:
            break
        connection.data_received(data[start : start + 1_000])
    sent_bytes = start
    assert len(handler.started) == http_connection.OPEN_EXCHANGES_MAX
    assert sent_bytes < http_connection.READ_AHEAD_BYTES_MAX + 10_000
    answered = 0
    while answered < len(handler.started):
        open_max = max(open_max, len(handler.started) - answered)
        handler.respond(handler.started[answered])
        answered += 1
        if transport.reading and sent_bytes < len(data):
            connection.data_received(data[sent_bytes : sent_bytes + 1_000])
            sent_bytes += 1_000
    assert _bodies(transport.written) == targets
    assert open_max == http_connection.OPEN_EXCHANGES_MAX


@_run_in_loop
def test_held_responses_are_bounded():
    handler, connection, transport = _connect()
    large = bytes(http_connection.HELD_RESPONSE_BYTES_MAX)
    connection.data_received(_request("/1") + _request("/2"))
    handler.respond("/2", large + b"x")
    connection.data_received(_request("/3"))
    assert handler.started == ["/1", "/2"]
    handler.respond("/1")
    assert handler.started == ["/1", "/2", "/3"]


@_run_in_loop
def test_no_request_is_started_while_the_caller_does_not_read():
    handler, connection, transport = _connect()
    connection.pause_writing()
    connection.data_received(_request("/1"))
    assert handler.started == []
    connection.resume_writing()
    assert handler.started == ["/1"]


@_run_in_loop
def test_caller_that_leaves_cancels_what_was_passed_on():
    handler, connection, transport = _connect()
    connection.data_received(
        _request("/1")
        + _request("/2")
        + _request("/3")
        + _request("/4", "POST", body=b"x")
    )
    handler.respond("/2")
    connection.connection_lost(None)
    assert handler.left == ["/1", "/3"]
    assert handler.started == ["/1", "/2", "/3"]
    handler.respond("/1")
    assert transport.written == b""


@_run_in_loop
def test_nothing_behind_a_closing_request_is_passed_on():
    handler, connection, transport = _connect()
    closing = _request("/2", headers="Connection: close\r\n")
    connection.data_received(_request("/1") + closing + _request("/3"))
    connection.data_received(_request("/4"))
    handler.respond("/2")
    handler.respond("/1")
    assert handler.started == ["/1", "/2"]
    assert _bodies(transport.written) == ["/1", "/2"]
    assert transport.written.count(b"connection: close") == 1
    assert transport.ended


@_run_in_loop
def test_malformed_input_is_rejected_behind_the_responses_before_it():
    handler, connection, transport = _connect()
    connection.data_received(_request("/1") + _request("/2") + b"\0\r\n\r\n")
    handler.respond("/2")
    assert transport.written == b""
    handler.respond("/1")
    assert transport.written.count(b"HTTP/1.1 200") == 2
    assert transport.written.count(b"HTTP/1.1 400") == 1
    assert transport.written.index(b"400") > transport.written.index(b"/2")


@_run_in_loop
def test_planned_stop_answers_what_was_passed_on():
    handler, connection, transport = _connect()
    connection.data_received(_request("/1") + _request("/2"))
    connection.close_after_response()
    connection.data_received(_request("/3"))
    assert transport.reading
    handler.respond("/2")
    handler.respond("/1")
    assert handler.started == ["/1", "/2"]
    first, second = transport.written.split(b"HTTP/1.1 200 OK")[1:]
    assert b"connection: keep-alive" in first
    assert b"connection: close" in second
    assert transport.ended


@_run_in_loop
def test_caller_that_leaves_during_a_planned_stop_cancels_its_requests():
    handler, connection, transport = _connect()
    connection.data_received(_request("/1") + _request("/2"))
    connection.close_after_response()
    # A closed connection is noticed only while it is read.
    assert transport.reading
    connection.connection_lost(None)
    assert handler.left == ["/1", "/2"]


@_run_in_loop
def test_connection_opened_during_a_planned_stop_closes():
    handler, connection, transport = _connect(closing=True)
    connection.data_received(_request("/1"))
    handler.respond("/1")
    assert b"connection: close" in transport.written
    assert transport.ended


def test_last_response_arrives_though_more_was_sent():
    response_bytes = 300_000

    class Stopping(Handler):
        def request_received(self, exchange_id, request, connection):
            connection.close_after_response()
            response = http.HttpResponse(200, [], bytes(response_bytes))
            asyncio.get_running_loop().call_later(
                0.1, connection.respond, exchange_id, response
            )

    async def exchange():
        server = http_server.HttpServer(Stopping(), 1_000)
        await server.listen(addresses.Address("127.0.0.1", 0))
        host, port = server._server.sockets[0].getsockname()
        reader, writer = await asyncio.open_connection(host, port)
        writer.write(_request("/1"))
        await asyncio.sleep(0.05)
        writer.write(_request("/2") * 40_000)
        # The caller reads slowly, so the response is still on its way when
        # the listener closes.
        await asyncio.sleep(0.5)
        received = await asyncio.wait_for(reader.read(), 5)
        writer.close()
        server.close_when_idle()
        return received

    received = asyncio.run(exchange())
    assert len(received.partition(b"\r\n\r\n")[2]) == response_bytes


@pytest.mark.parametrize("slow_part", ["headers", "body"])
def test_headers_have_a_timeout_of_their_own(slow_part):
    @_run_in_loop
    def test():
        handler, connection, transport = _connect()
        connection._limits.header_timeout_s = 2.0
        head = b"PUT /1 HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\n"
        connection.data_received(head[:-4] if slow_part == "headers" else head)
        now_s = asyncio.get_running_loop().time()
        connection.close_if_overdue(now_s + 3.0)
        assert transport.closed == (slow_part == "headers")

    test()


def test_listener_queues_as_many_connections_as_it_asks_for():
    asked = []

    class Socket(socket.socket):
        def listen(self, backlog=0):
            asked.append(backlog)
            super().listen(backlog)

    async def listen():
        server = http_server.HttpServer(Handler(), 1_000)
        original = socket.socket
        socket.socket = Socket
        try:
            await server.listen(addresses.Address("127.0.0.1", 0))
        finally:
            socket.socket = original
        server.close_when_idle()

    asyncio.run(listen())
    assert set(asked) == {http_server.BACKLOG_CONNECTIONS}


def test_connection_not_yet_accepted_at_a_planned_stop_is_answered():
    async def exchange():
        server = http_server.HttpServer(
            http_server.ImmediateHandler(
                lambda request, now_ms: http.HttpResponse(503, [], b"leaving")
            ),
            1_000,
        )
        await server.listen(addresses.Address("127.0.0.1", 0))
        address = server._server.sockets[0].getsockname()
        callers = []
        for _ in range(20):
            # The loop does not run, so nothing is accepted meanwhile.
            caller = socket.create_connection(address, 1)
            caller.sendall(_request("/1"))
            callers.append(caller)
        server.stop_accepting()
        await asyncio.sleep(0.1)
        server.close_when_idle()
        return [_read_all(caller) for caller in callers]

    for received in asyncio.run(exchange()):
        assert received.startswith(b"HTTP/1.1 503")
        assert b"connection: close" in received


def _read_all(caller):
    caller.settimeout(1)
    with caller:
        received = b""
        while chunk := caller.recv(65_536):
            received += chunk
    return received
