"""One caller's connection: requests in, responses out in the same order.

A caller may send further requests before the first one is answered. Requests
that may overlap are served concurrently, and each response waits for the ones
before it. A connection that has too many requests or too many bytes of
responses open stops starting requests, and stops reading once some unparsed
bytes have arrived, so a caller that does not read holds a bounded amount of
memory and nothing is dropped.
"""

import asyncio
import collections
import dataclasses
import itertools

from fescueyard.core import codes
from fescueyard.core import failures
from fescueyard.core import http
from fescueyard.core import logs
from fescueyard.core import problems
from fescueyard.transport import http_parsing
from fescueyard.transport import http_responses
from fescueyard.transport import sockets

LOG = logs.ComponentLogger("http")

# Requests of one connection that are served at the same time.
OPEN_EXCHANGES_MAX = 16
# Bytes of responses waiting for earlier ones; no request is started above it.
HELD_RESPONSE_BYTES_MAX = 256 * 1024
# Bytes that are read ahead while no request may be started. Reading on shows
# when the caller disconnects.
READ_AHEAD_BYTES_MAX = 64 * 1024
# Time in which the caller closes its side after the last response. Closing
# with unread bytes would reset the connection and lose that response.
LINGER_TIMEOUT_S = 1.0

_EXCHANGE_IDS = itertools.count(1)


@dataclasses.dataclass(slots=True)
class _Exchange:
    """A request that was passed on, and its response once it is there.

    :param overlaps: whether it may run beside others of its connection; None
        until that has been asked.
    """

    exchange_id: int
    parsed: http_parsing.ParsedRequest
    overlaps: bool | None = None
    response: http.HttpResponse | None = None


class HttpConnection(asyncio.Protocol):
    """One caller's connection.

    Calls ``request_received(exchange_id, request, connection)``,
    ``caller_left(exchange_id)`` and ``may_overlap(request)`` of the handler.
    The last one says whether a request may run beside others of the same
    connection; it is only called for a connection with more than one.

    :param handler: object with the three methods above.
    :param limits: :class:`~fescueyard.transport.http_parsing.Limits`.
    :param connections: set of the open connections.
    :param closing: whether to close after the response to the first request.
    """

    def __init__(self, handler, limits, connections, closing=False):
        self._handler = handler
        self._limits = limits
        self._connections = connections
        self._closing = closing
        self._transport = None
        self._parser = http_parsing.RequestParser(self, limits)
        self._exchanges = collections.OrderedDict()
        self._waiting = collections.deque()
        self._unparsed = bytearray()
        self._held_bytes = 0
        self._receiving = False
        self._continue_due = False
        self._write_paused = False
        self._starting = False
        self._lingering = False
        self._deadline_s = 0.0

    def connection_made(self, transport):
        """Start the idle timeout for the first request."""
        self._transport = transport
        sockets.limit_reads(transport)
        self._connections.add(self)
        self._set_deadline(self._limits.idle_timeout_s)

    def connection_lost(self, exc):
        """Cancel the requests in progress."""
        self._connections.discard(self)
        self._waiting.clear()
        open_exchanges = list(self._exchanges.values())
        self._exchanges.clear()
        for exchange in open_exchanges:
            if exchange.response is None:
                self._cancel(exchange)

    def data_received(self, data):
        """Parse bytes, or keep them while no request may be started."""
        if self._lingering:
            return
        if self._is_blocked() or self._unparsed:
            self._unparsed += data
        else:
            self._parser.feed(data)
        self._advance()

    def pause_writing(self):
        """Stop starting requests while the caller does not read."""
        self._write_paused = True

    def resume_writing(self):
        """Continue after the caller has read."""
        self._write_paused = False
        self._advance()

    def respond(self, exchange_id, response):
        """Write the response to a request, or keep it until its turn.

        :param exchange_id: id of the exchange.
        :param response: :class:`~fescueyard.core.http.HttpResponse`.
        """
        exchange = self._exchanges.get(exchange_id)
        if exchange is None:
            return
        exchange.response = response
        self._held_bytes += len(response.body)
        try:
            self._advance()
        except Exception as error:
            # The handler may be responding on other connections next.
            failures.contain(
                LOG, "response_failed", error, exchange=exchange_id
            )
            self._transport.abort()

    def has_unsent_bytes(self):
        """Return whether a part of a response still waits for the caller."""
        return self._transport.get_write_buffer_size() > 0

    def close_after_response(self):
        """Close the connection after its next responses."""
        self._closing = True

    def close_when_idle(self):
        """Close now, or after the responses to the requests in progress."""
        self._closing = True
        if not self._exchanges and not self._waiting:
            self._transport.close()

    def close_if_overdue(self, now_s):
        """Close when the caller exceeds its time to send a request.

        :param now_s: the loop's time.
        """
        if not self._exchanges and now_s > self._deadline_s:
            self._transport.close()

    # Callbacks of the request parser.

    def request_begun(self):
        """Start the timeout for the headers."""
        self._receiving = True
        self._set_deadline(self._limits.header_timeout_s)

    def headers_complete(self, expects_continue):
        """Start the timeout for the body; ask for it when it is awaited."""
        self._set_deadline(self._limits.request_timeout_s)
        self._continue_due = expects_continue
        self._write_due_continue()

    def request_complete(self, parsed):
        """Queue a request behind those in progress."""
        self._receiving = False
        self._continue_due = False
        self._waiting.append(parsed)

    def _advance(self):
        """Write the responses that are due, then start waiting requests."""
        if self._starting:
            # A handler responded while its request was being started.
            return
        self._starting = True
        while not self._lingering:
            self._write_due_responses()
            if self._waiting:
                if not self._may_start():
                    break
                self._start(self._waiting.popleft())
            elif self._unparsed and not self._is_blocked():
                data, self._unparsed = bytes(self._unparsed), bytearray()
                self._parser.feed(data)
            else:
                break
        self._starting = False
        self._write_due_rejection()
        self._update_reading()

    def _is_blocked(self):
        """Return whether requests that arrive now have to wait.

        Once the next responses close the connection, they wait forever: they
        count as unread. Reading on shows when the caller leaves.
        """
        is_ending = self._closing and bool(self._exchanges)
        return is_ending or bool(self._waiting) or self._is_full()

    def _is_full(self):
        return (
            self._write_paused
            or len(self._exchanges) >= OPEN_EXCHANGES_MAX
            or self._held_bytes > HELD_RESPONSE_BYTES_MAX
        )

    def _may_start(self):
        """Return whether the first waiting request may be started."""
        if self._is_full():
            return False
        if not self._exchanges:
            return True
        if not self._handler.may_overlap(self._waiting[0].request):
            return False
        return all(map(self._overlaps, self._exchanges.values()))

    def _overlaps(self, exchange):
        if exchange.overlaps is None:
            request = exchange.parsed.request
            exchange.overlaps = self._handler.may_overlap(request)
        return exchange.overlaps

    def _start(self, parsed):
        exchange = _Exchange(next(_EXCHANGE_IDS), parsed)
        self._exchanges[exchange.exchange_id] = exchange
        try:
            self._handler.request_received(
                exchange.exchange_id, parsed.request, self
            )
        except Exception as error:
            failures.contain(
                LOG, "request_failed", error, exchange=exchange.exchange_id
            )
            if exchange.response is None:
                self._cancel(exchange)
                self.respond(
                    exchange.exchange_id,
                    problems.problem_response(codes.INTERNAL_ERROR),
                )

    def _cancel(self, exchange):
        """Tell the handler that a request needs no response any more."""
        try:
            self._handler.caller_left(exchange.exchange_id)
        except Exception as error:
            failures.contain(
                LOG, "cancel_failed", error, exchange=exchange.exchange_id
            )

    def _write_due_responses(self):
        """Write the responses before the first one that is missing."""
        while self._exchanges and not self._lingering:
            exchange = next(iter(self._exchanges.values()))
            if exchange.response is None:
                return
            del self._exchanges[exchange.exchange_id]
            self._write_response(exchange)
        self._write_due_continue()

    def _write_response(self, exchange):
        response = exchange.response
        self._held_bytes -= len(response.body)
        is_last = not self._exchanges and not self._waiting
        keep_alive = exchange.parsed.keep_alive
        if self._closing and is_last:
            keep_alive = False
        head_only = exchange.parsed.request.method == "HEAD"
        self._transport.write(
            http_responses.serialise(response, keep_alive, head_only)
        )
        if not keep_alive:
            self._linger()
        elif is_last and self._receiving:
            self._set_deadline(self._limits.request_timeout_s)
        elif is_last:
            self._set_deadline(self._limits.idle_timeout_s)

    def _write_due_continue(self):
        """Ask for a body once all earlier requests have been answered."""
        if self._continue_due and not self._exchanges and not self._waiting:
            self._continue_due = False
            self._transport.write(http_responses.CONTINUE)

    def _write_due_rejection(self):
        """Respond to malformed input behind the responses before it."""
        code = self._parser.rejection
        if code is None or self._exchanges or self._waiting:
            return
        if self._lingering:
            return
        response = problems.problem_response(code)
        self._transport.write(http_responses.serialise(response, False, False))
        self._linger()

    def _linger(self):
        """Send the end of the responses; close when the caller does."""
        self._lingering = True
        self._continue_due = False
        self._unparsed.clear()
        self._set_deadline(LINGER_TIMEOUT_S)
        if not self._transport.can_write_eof():
            self._transport.close()
            return
        try:
            self._transport.write_eof()
        except OSError as error:
            # The caller closed its side and reset the connection when the
            # response arrived, which the event loop has not seen yet.
            LOG.info("caller_gone", error=error.strerror)
            self._transport.abort()

    def _update_reading(self):
        if self._transport is None or self._transport.is_closing():
            return
        is_full = len(self._unparsed) > READ_AHEAD_BYTES_MAX
        if is_full and not self._lingering:
            self._transport.pause_reading()
        else:
            self._transport.resume_reading()

    def _set_deadline(self, timeout_s):
        self._deadline_s = asyncio.get_running_loop().time() + timeout_s
