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
