"""Incremental parsing of the requests on one caller's connection."""

import dataclasses
import io

import httptools

from fescueyard.core import codes
from fescueyard.core import http
from fescueyard.transport import memory_account

HEADER_BYTES_MAX = 16 * 1024
# Ordinary requests have fewer than a hundred. A thousand of them take about
# 256 KiB as objects.
HEADER_FIELDS_MAX = 1_000
IDLE_TIMEOUT_S = 60.0
HEADER_TIMEOUT_S = 10.0
REQUEST_TIMEOUT_S = 30.0
# Bytes that are parsed in one step. A step of 1 KiB holds at most 57 requests
# of the shortest form; parsing can only be stopped between steps.
HEAD_STEP_BYTES = 1_024
CHUNKED_STEP_BYTES = 4 * 1024
BODY_STEP_BYTES = 64 * 1024
# Colon, space and line break of each field.
FIELD_FRAMING_BYTES = 4
# Method, version and separators of the request line, with a margin.
LINE_FRAMING_BYTES = 256


@dataclasses.dataclass
class Limits:
    """Size and time limits on requests of callers.

    :param body_bytes_max: maximum size of a body.
    :param header_bytes_max: maximum size of target and headers together.
    :param header_fields_max: maximum number of header fields.
    :param idle_timeout_s: how long a connection may stay idle.
    :param header_timeout_s: maximum time for the headers to arrive.
    :param request_timeout_s: maximum time for a complete request to arrive.
    """

    body_bytes_max: int
    header_bytes_max: int = HEADER_BYTES_MAX
    header_fields_max: int = HEADER_FIELDS_MAX
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
    """A complete request, and whether its connection stays open.

    :param response: response that was made before the body arrived; the body
        is missing then. None for a request that is to be passed on.
    :param cost: estimate of the memory that the request takes.
    """

    request: http.HttpRequest
    keep_alive: bool
    response: http.HttpResponse | None = None
    cost: int = 0


class RequestParser:
    """Parses requests, of which several may arrive in one piece.

    Calls ``request_begun()``, ``headers_complete(head, body_bytes,
    expects_continue)``, ``body_grown(body_bytes)`` and
    ``request_complete(parsed)`` of the receiver. ``head`` is the request
    without its body, and ``body_bytes`` the size of the body; None for one in
    chunks.

    :param receiver: object with the four methods above.
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
        """Parse bytes in one step.

        After malformed input, ``rejection`` is its result code and all further
        bytes are ignored, as are bytes behind a request that closes the
        connection.

        :param data: the bytes that arrived, at most :meth:`step_bytes`.
        """
        while data and not self.is_finished():
            data = self._feed_parser(data)

    def is_finished(self):
        """Return whether all further bytes are ignored.

        :returns: bool.
        """
        return self.rejection is not None or self._closed

    def step_bytes(self):
        """Return how many bytes may be parsed in one step.

        :returns: number of bytes.
        """
        if not self._in_body:
            return HEAD_STEP_BYTES
        if self._body_bytes_left is None:
            return CHUNKED_STEP_BYTES
        return max(1, min(self._body_bytes_left, BODY_STEP_BYTES))

    def head_cost(self):
        """Return what the unfinished head takes.

        :returns: bytes.
        """
        return memory_account.HEAD_BYTE_COST * (
            self._header_bytes + self._unreported_bytes
        ) + memory_account.FIELD_COST * len(self._headers)

    def discard_body(self):
        """Parse the rest of the request without keeping its body."""
        self._discards_body = True
        self._body = None

    def reject(self, code):
        """Ignore all further bytes.

        :param code: result code of the rejection.
        """
        if self.rejection is None:
            self.rejection = code
            self._headers = []
            self._body = None

    def _feed_parser(self, data):
        """Return the bytes that are still to be parsed."""
        self._unreported_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade as upgrade:
            # The upgrade is ignored, so another request may follow.
            self._parser = httptools.HttpRequestParser(self)
            return data[upgrade.args[0] :]
        except httptools.HttpParserError:
            if not self._closed:
                self.reject(codes.BAD_REQUEST)
        self._check_unreported_bytes()
        return b""

    def _check_unreported_bytes(self):
        """Reject a field or a chunk extension that does not end.

        The parser collects a field until it is complete.
        """
        limits = self._limits
        framing_bytes = FIELD_FRAMING_BYTES * limits.header_fields_max
        allowed_bytes = (
            limits.header_bytes_max + framing_bytes + LINE_FRAMING_BYTES
        )
        if self._unreported_bytes > allowed_bytes:
            self.reject(codes.HEADERS_TOO_LARGE)

    # Callbacks of the parser.

    def on_message_begin(self):
        """Start a new request."""
        if self.is_finished():
            return
        self._reset()
        self._receiver.request_begun()

    def on_url(self, url):
        """Collect the target."""
        if self.rejection is not None:
            return
        self._url += url
        self._count_header_bytes(len(url))

    def on_header(self, name, value):
        """Collect a header."""
        if self.rejection is not None:
            return
        self._unreported_bytes = 0
        self._count_header_bytes(len(name) + len(value))
        if len(self._headers) >= self._limits.header_fields_max:
            self.reject(codes.HEADERS_TOO_LARGE)
            return
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
        length = int(self._header("content-length") or 0)
        if length > self._limits.body_bytes_max:
            self.reject(codes.BODY_TOO_LARGE)
        elif self._method == "CONNECT" or self._has_body_behind_upgrade():
            self.reject(codes.BAD_REQUEST)
        else:
            self._begin_body(length)

    def _begin_body(self, length):
        if self._header("transfer-encoding") is not None:
            length = None
        self._in_body = True
        self._unreported_bytes = 0
        self._body_bytes_left = length
        expected = self._header("expect") or ""
        self._receiver.headers_complete(
            self._request(b""), length, expected.lower() == "100-continue"
        )

    def on_chunk_header(self):
        """Note that a chunk has begun."""
        self._unreported_bytes = 0

    def on_body(self, body):
        """Collect a piece of the body."""
        if self.rejection is not None:
            return
        self._unreported_bytes = 0
        self._body_bytes += len(body)
        if self._body_bytes_left is not None:
            self._body_bytes_left -= len(body)
        if self._body_bytes > self._limits.body_bytes_max:
            self.reject(codes.BODY_TOO_LARGE)
            return
        self._receiver.body_grown(self._body_bytes)
        if not self._discards_body and self._body is not None:
            self._body.write(body)

    def on_message_complete(self):
        """Pass on the complete request."""
        if self.is_finished():
            return
        # The buffer gives its bytes away without a copy.
        body = b"" if self._body is None else self._body.getvalue()
        request = self._request(body)
        keep_alive = self._parser.should_keep_alive()
        self._closed = not keep_alive
        cost = memory_account.REQUEST_COST + self.head_cost()
        self._reset()
        self._receiver.request_complete(
            ParsedRequest(request, keep_alive, cost=cost)
        )

    def _request(self, body):
        return http.HttpRequest(
            self._method, self._url.decode("latin-1"), self._headers, body
        )

    def _reset(self):
        self._url = b""
        self._headers = []
        self._header_bytes = 0
        # Fed since the parser last reported a complete element.
        self._unreported_bytes = 0
        self._body = io.BytesIO()
        self._body_bytes = 0
        self._body_bytes_left = 0
        self._discards_body = False
        self._in_body = False
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
            self.reject(codes.HEADERS_TOO_LARGE)
