"""Incremental parsing of the requests on one caller's connection."""

import dataclasses

import httptools

from fescueyard.core import codes
from fescueyard.core import http

HEADER_BYTES_MAX = 16 * 1024
IDLE_TIMEOUT_S = 60.0
HEADER_TIMEOUT_S = 10.0
REQUEST_TIMEOUT_S = 30.0


@dataclasses.dataclass
class Limits:
    """Size and time limits on requests of callers.

    :param body_bytes_max: maximum size of a body.
    :param header_bytes_max: maximum size of target and headers together.
    :param idle_timeout_s: how long a connection may stay idle.
    :param header_timeout_s: maximum time for the headers to arrive.
    :param request_timeout_s: maximum time for a complete request to arrive.
    """

    body_bytes_max: int
    header_bytes_max: int = HEADER_BYTES_MAX
    idle_timeout_s: float = dataclasses.field(
        default_factory=lambda: IDLE_TIMEOUT_S
    )
    header_timeout_s: float = dataclasses.field(
        default_factory=lambda: HEADER_TIMEOUT_S
    )
    request_timeout_s: float = dataclasses.field(
        default_factory=lambda: REQUEST_TIMEOUT_S
    )


@dataclasses.dataclass(slots=True)
class ParsedRequest:
    """A complete request, and whether its connection stays open."""

    request: http.HttpRequest
    keep_alive: bool


class RequestParser:
    """Parses requests, of which several may arrive in one piece.

    Calls ``request_begun()``, ``headers_complete(expects_continue)`` and
    ``request_complete(parsed)`` of the receiver.

    :param receiver: object with the three methods above.
    :param limits: :class:`Limits`.
    """

    def __init__(self, receiver, limits):
        self.rejection = None
        self._receiver = receiver
        self._limits = limits
        self._parser = httptools.HttpRequestParser(self)
        self._closed = False
        self._reset()

    def feed(self, data):
        """Parse bytes.

        After malformed input, ``rejection`` is its result code and all further
        bytes are ignored, as are bytes behind a request that closes the
        connection.

        :param data: the bytes that arrived.
        """
        while data and self.rejection is None and not self._closed:
            data = self._feed_parser(data)

    def _feed_parser(self, data):
        """Return the bytes that are still to be parsed."""
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade as upgrade:
            # The upgrade is ignored, so another request may follow.
            self._parser = httptools.HttpRequestParser(self)
            return data[upgrade.args[0] :]
        except httptools.HttpParserError:
            if not self._closed:
                self._reject(codes.BAD_REQUEST)
        return b""

    # Callbacks of the parser.

    def on_message_begin(self):
        """Start a new request."""
        self._reset()
        self._receiver.request_begun()

    def on_url(self, url):
        """Collect the target."""
        self._url += url
        self._count_header_bytes(len(url))

    def on_header(self, name, value):
        """Collect a header."""
        self._count_header_bytes(len(name) + len(value))
        self._headers.append(
            http.Header(
                name.decode("latin-1").lower(), value.decode("latin-1").strip()
            )
        )

    def on_headers_complete(self):
        """Check what the headers announce."""
        if self.rejection is not None:
            return
        self._method = self._parser.get_method().decode("latin-1")
        length = self._header("content-length")
        if length is not None and int(length) > self._limits.body_bytes_max:
            self._reject(codes.BODY_TOO_LARGE)
        elif self._method == "CONNECT" or self._has_body_behind_upgrade():
            self._reject(codes.BAD_REQUEST)
        else:
            expected = self._header("expect") or ""
            self._receiver.headers_complete(expected.lower() == "100-continue")

    def on_body(self, body):
        """Collect a piece of the body."""
        if self.rejection is not None:
            return
        self._body += body
        if len(self._body) > self._limits.body_bytes_max:
            self._reject(codes.BODY_TOO_LARGE)

    def on_message_complete(self):
        """Pass on the complete request."""
        if self.rejection is not None:
            return
        request = http.HttpRequest(
            self._method,
            self._url.decode("latin-1"),
            self._headers,
            bytes(self._body),
        )
        keep_alive = self._parser.should_keep_alive()
        self._closed = not keep_alive
        self._receiver.request_complete(ParsedRequest(request, keep_alive))

    def _reset(self):
        self._url = b""
        self._headers = []
        self._header_bytes = 0
        self._body = bytearray()
        self._method = ""

    def _header(self, name):
        return http.find_header(self._headers, name)

    def _has_body_behind_upgrade(self):
        """Return whether the parser would take the body for other requests.

        It ends a request that asks for an upgrade with its headers.
        """
        if not self._parser.should_upgrade():
            return False
        length = int(self._header("content-length") or 0)
        return length > 0 or self._header("transfer-encoding") is not None

    def _count_header_bytes(self, count):
        self._header_bytes += count
        if self._header_bytes > self._limits.header_bytes_max:
            self._reject(codes.HEADERS_TOO_LARGE)

    def _reject(self, code):
        if self.rejection is None:
            self.rejection = code
