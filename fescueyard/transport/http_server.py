"""HTTP/1.1 listener: parses complete requests, writes complete responses."""

import asyncio
import dataclasses
import http
import itertools

import httptools

from fescueyard.core import clock
from fescueyard.core import codes
from fescueyard.core import http as http_models
from fescueyard.core import logs
from fescueyard.core import problems
from fescueyard.transport import streams

LOG = logs.ComponentLogger("http")

HEADER_BYTES_MAX = 16 * 1024
IDLE_TIMEOUT_S = 60.0
REQUEST_TIMEOUT_S = 30.0
SWEEP_INTERVAL_S = 1.0


@dataclasses.dataclass
class Limits:
    """Size and time limits on requests of callers.

    :param body_bytes_max: maximum size of a body.
    :param header_bytes_max: maximum size of target and headers together.
    :param idle_timeout_s: how long a connection may stay idle.
    :param request_timeout_s: maximum time for a complete request to arrive.
    """

    body_bytes_max: int
    header_bytes_max: int = HEADER_BYTES_MAX
    idle_timeout_s: float = dataclasses.field(
        default_factory=lambda: IDLE_TIMEOUT_S
    )
    request_timeout_s: float = dataclasses.field(
        default_factory=lambda: REQUEST_TIMEOUT_S
    )


_EXCHANGE_IDS = itertools.count(1)
_REASON_PHRASES = {status.value: status.phrase for status in http.HTTPStatus}


class HttpConnection(asyncio.Protocol):
    """One caller's connection; its requests are served one at a time.

    Calls ``request_received(exchange_id, request, connection)`` and
    ``caller_left(exchange_id)`` of the handler.

    :param handler: object with the two methods above.
    :param limits: :class:`Limits`.
    :param connections: set of the open connections.
    """

    def __init__(self, handler, limits, connections):
        self._handler = handler
        self._limits = limits
        self._connections = connections
        self._transport = None
        self._parser = httptools.HttpRequestParser(self)
        self._pending = []
        self._exchange_id = None
        self._deadline_s = 0.0
        self._closing = False
        self._keep_alive = True
        self._rejection = None
        self._reset()

    def connection_made(self, transport):
        """Start the idle timeout for the first request."""
        self._transport = transport
        self._connections.add(self)
        self._set_deadline(self._limits.idle_timeout_s)

    def connection_lost(self, exc):
        """Cancel the request in progress."""
        self._connections.discard(self)
        self._pending.clear()
        if self._exchange_id is not None:
            exchange_id = self._exchange_id
            self._exchange_id = None
            self._handler.caller_left(exchange_id)

    def data_received(self, data):
        """Parse bytes; respond to malformed input with an error response."""
        if self._rejection is not None:
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._reject(codes.BAD_REQUEST)
        except httptools.HttpParserError:
            if self._rejection is None:
                self._reject(codes.BAD_REQUEST)
        if self._rejection is not None and self._exchange_id is None:
            self._write_rejection()

    def respond(self, response):
        """Write the response to the request in progress.

        :param response: :class:`~fescueyard.core.http.HttpResponse`.
        """
        keep_alive = self._keep_alive and not self._closing
        self._exchange_id = None
        self._transport.write(serialise(response, keep_alive, self._head_only))
        if not keep_alive:
            self._transport.close()
            return
        self._transport.resume_reading()
        self._set_deadline(self._limits.idle_timeout_s)
        if self._pending:
            self._start(self._pending.pop(0))
        elif self._rejection is not None:
            self._write_rejection()

    def close_after_response(self):
        """Close the connection after its next response."""
        self._closing = True

    def close_when_idle(self):
        """Close now, or after the response to the request in progress."""
        self._closing = True
        if self._exchange_id is None:
            self._transport.close()

    # Callbacks of the parser.

    def on_message_begin(self):
        """Start a new request."""
        self._reset()
        self._set_deadline(self._limits.request_timeout_s)

    def on_url(self, url):
        """Collect the target."""
        self._url += url
        self._count_header_bytes(len(url))

    def on_header(self, name, value):
        """Collect a header."""
        self._count_header_bytes(len(name) + len(value))
        self._headers.append(
            http_models.Header(
                name.decode("latin-1").lower(), value.decode("latin-1").strip()
            )
        )

    def on_headers_complete(self):
        """Check ``content-length``; send ``100 Continue`` if expected."""
        method = self._parser.get_method().decode("latin-1")
        self._method = method
        length = http_models.find_header(self._headers, "content-length")
        if length is not None and int(length) > self._limits.body_bytes_max:
            self._reject(codes.BODY_TOO_LARGE)
            return
        expect = http_models.find_header(self._headers, "expect")
        if expect is not None and expect.lower() == "100-continue":
            self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body):
        """Collect a piece of the body."""
        if self._rejection is not None:
            return
        self._body += body
        if len(self._body) > self._limits.body_bytes_max:
            self._reject(codes.BODY_TOO_LARGE)

    def on_message_complete(self):
        """Serve the request, or queue it behind the one in progress."""
        if self._rejection is not None:
            return
        request = http_models.HttpRequest(
            self._method,
            self._url.decode("latin-1"),
            self._headers,
            bytes(self._body),
        )
        parsed = _ParsedRequest(request, self._parser.should_keep_alive())
        if self._exchange_id is None:
            self._start(parsed)
        else:
            self._transport.pause_reading()
            self._pending.append(parsed)

    def _start(self, parsed):
        self._keep_alive = parsed.keep_alive
        self._head_only = parsed.request.method == "HEAD"
        self._exchange_id = next(_EXCHANGE_IDS)
        self._handler.request_received(self._exchange_id, parsed.request, self)

    def _reset(self):
        self._url = b""
        self._headers = []
        self._header_bytes = 0
        self._body = bytearray()
        self._method = ""
        self._head_only = False

    def _count_header_bytes(self, count):
        self._header_bytes += count
        if self._header_bytes > self._limits.header_bytes_max:
            self._reject(codes.HEADERS_TOO_LARGE)

    def _reject(self, code):
        if self._rejection is None:
            self._rejection = code

    def _write_rejection(self):
        response = problems.problem_response(self._rejection)
        self._transport.write(serialise(response, False, False))
        self._transport.close()

    def close_if_overdue(self, now_s):
        """Close when the caller exceeds its time to send a request.

        :param now_s: the loop's time.
        """
        if self._exchange_id is None and now_s > self._deadline_s:
            self._transport.close()

    def _set_deadline(self, timeout_s):
        self._deadline_s = asyncio.get_running_loop().time() + timeout_s


@dataclasses.dataclass(slots=True)
class _ParsedRequest:
    """A complete request, and whether its connection stays open."""

    request: http_models.HttpRequest
    keep_alive: bool


class HttpServer:
    """A listener and its open connections.

    :param handler: see :class:`HttpConnection`.
    :param body_bytes_max: maximum size of a request body.
    """

    def __init__(self, handler, body_bytes_max):
        self.limits = Limits(body_bytes_max)
        self._handler = handler
        self._connections = set()
        self._server = None

    async def listen(self, address):
        """Accept connections.

        :param address: :class:`~fescueyard.transport.streams.Address`.
        """
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: HttpConnection(
                self._handler, self.limits, self._connections
            ),
            address.host,
            address.port,
            backlog=1024,
        )
        self._sweep()

    def close_after_responses(self):
        """Close each connection after its next response."""
        for connection in list(self._connections):
            connection.close_after_response()

    def close_when_idle(self):
        """Stop accepting; close each connection once it is idle."""
        if self._server is None:
            return
        self._server.close()
        for connection in list(self._connections):
            connection.close_when_idle()

    def _sweep(self):
        """Close overdue connections; a single timer is cheaper than many."""
        loop = asyncio.get_running_loop()
        for connection in list(self._connections):
            connection.close_if_overdue(loop.time())
        if self._server.is_serving():
            loop.call_later(SWEEP_INTERVAL_S, self._sweep)


class ImmediateHandler:
    """Handler that responds to each request synchronously.

    :param make_response: function of the request and the present time that
        returns the response.
    """

    def __init__(self, make_response):
        self._make_response = make_response

    def request_received(self, exchange_id, request, connection):
        """Respond to a request."""
        connection.respond(self._make_response(request, clock.now_ms()))

    def caller_left(self, exchange_id):
        """Ignore the disconnect; no request is ever in progress."""


async def serve_metrics(server, address):
    """Serve metrics; log the error and continue if it can't listen.

    :param server: :class:`HttpServer`.
    :param address: ``host:port``, or None for none.
    """
    if address is None:
        return
    try:
        await server.listen(streams.parse_address(address))
    except OSError as error:
        LOG.warning("metrics_unserved", address=address, error=str(error))


_FRAMING_HEADERS = ("connection", "content-length", "transfer-encoding")


def serialise(response, keep_alive, head_only):
    """Serialise a response.

    :param response: :class:`~fescueyard.core.http.HttpResponse`.
    :param keep_alive: whether the connection stays open.
    :param head_only: whether to omit the body, for HEAD.
    :returns: bytes.
    """
    reason_phrase = _REASON_PHRASES.get(response.status, "Unknown")
    lines = [f"HTTP/1.1 {response.status} {reason_phrase}"]
    for header in response.headers:
        if header.name not in _FRAMING_HEADERS:
            lines.append(f"{header.name}: {header.value}")
    if response.status not in (204, 304):
        length = len(response.body)
        stated_length = http_models.find_header(
            response.headers, "content-length"
        )
        if head_only and stated_length is not None:
            length = stated_length
        lines.append(f"content-length: {length}")
    lines.append("connection: " + ("keep-alive" if keep_alive else "close"))
    head = "\r\n".join(lines) + "\r\n\r\n"
    body = b"" if head_only or response.status in (204, 304) else response.body
    return head.encode("latin-1", "replace") + body
