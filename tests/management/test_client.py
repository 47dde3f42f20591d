"""The operators' client with servers that send broken responses."""

import contextlib
import socketserver
import threading

import pytest

from fescueyard.management import client
from fescueyard.management.commands import dump

TIMEOUT_MS = 4_000


class _Handler(socketserver.StreamRequestHandler):
    """Sends bytes once, then others until the client closes."""

    def handle(self):
        """Serve one connection."""
        while self.rfile.readline().strip():
            pass
        with contextlib.suppress(ConnectionError):
            self.wfile.write(self.server.first)
            while self.server.repeated:
                self.wfile.write(self.server.repeated)
                self.server.bytes_sent += len(self.server.repeated)


class _Server(socketserver.ThreadingTCPServer):
    """Stand-in for a faulty server.

    :param first: bytes that are sent once.
    :param repeated: bytes that are sent without end after them; none when
        empty.
    """

    daemon_threads = True

    def __init__(self, first, repeated):
        super().__init__(("127.0.0.1", 0), _Handler)
        self.first = first
        self.repeated = repeated
        self.bytes_sent = 0

    def address(self):
        """Return ``host:port``."""
        host, port = self.server_address
        return f"{host}:{port}"


@contextlib.contextmanager
def _serve(first, repeated=b""):
    with _Server(first, repeated) as server:
        thread = threading.Thread(target=server.serve_forever, args=(0.01,))
        thread.start()
        try:
            yield server
        finally:
            server.shutdown()
            thread.join()


def _read(server):
    """Read a resource as the commands of operators do."""
    url = f"http://{server.address()}/v1/status"
    response = client.fetch("GET", url, [], b"", TIMEOUT_MS)
    return client.parse_response(response)


def _response(status, body):
    return b"HTTP/1.1 %s Odd\r\ncontent-length: %d\r\n\r\n%s" % (
        status,
        len(body),
        body,
    )


# Any status below 300 was taken for a success.
@pytest.mark.parametrize("status", [b"000", b"099", b"600", b"999"])
def test_response_with_an_invalid_status_is_no_success(status):
    with _serve(_response(status, b'{"version": 3}')) as server:
        with pytest.raises(client.Unreachable):
            _read(server)


def test_response_of_success_is_parsed():
    with _serve(_response(b"200", b'{"version": 3}')) as server:
        assert _read(server) == {"version": 3}


@pytest.mark.parametrize(
    "body",
    [
        b"[]",
        b'"refused"',
        b'{"code": 99999}',
        b'{"code": []}',
        b"[" * 100_000,
    ],
    ids=["list", "text", "unknown code", "code of another type", "nested"],
)
def test_refusal_that_cannot_be_read_is_no_crash(body):
    with _serve(_response(b"409", body)) as server:
        with pytest.raises(client.Unreachable):
            _read(server)


def test_dump_of_a_failed_request_is_an_error(capsys):
    with _serve(_response(b"503", b"no dump")) as server:
        with pytest.raises(client.Unreachable):
            dump.run(backend_address=server.address())
    assert capsys.readouterr().out == ""


OK_HEAD = b"HTTP/1.1 200 OK\r\n"
ENDLESS_RESPONSES = {
    "body": (OK_HEAD + b"\r\n", b"b" * 65_536),
    "body in chunks": (
        OK_HEAD + b"transfer-encoding: chunked\r\n\r\n",
        b"10000\r\n" + b"c" * 65_536 + b"\r\n",
    ),
    "headers": (OK_HEAD, b"x-more: 1\r\n" * 1_000),
    "header": (OK_HEAD + b"x-long: ", b"y" * 65_536),
    "status line": (b"HTTP/1.1 200 ", b"O" * 65_536),
    "interim responses": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 1_000),
    "trailers": (
        OK_HEAD + b"transfer-encoding: chunked\r\n\r\n0\r\n",
        b"x-trailer: 1\r\n" * 1_000,
    ),
    "not a response": (b"", b"\x00\x01\x02\x03" * 16_384),
}
# Short, as a client without a limit keeps what comes within its timeout.
ENDLESS_TIMEOUT_MS = 1_000
# Bytes that the buffers of both sockets may hold besides what the client read.
SOCKET_BYTES_MAX = 16 * 1024 * 1024


# What came within the timeout was kept, several hundred MB in a second.
@pytest.mark.parametrize("kind", ENDLESS_RESPONSES)
def test_endless_response_is_not_kept(kind):
    with _serve(*ENDLESS_RESPONSES[kind]) as server:
        url = f"http://{server.address()}/v1/status"
        with pytest.raises(client.Unreachable):
            client.fetch("GET", url, [], b"", ENDLESS_TIMEOUT_MS)
    assert server.bytes_sent < client.RESPONSE_BYTES_MAX + SOCKET_BYTES_MAX
