"""One caller's connection: requests in, responses out in the same order.

A caller may send further requests before the first one is answered. Requests
that may overlap are served concurrently, and each response waits for the ones
before it. A connection that has too many requests or too many bytes of
responses open stops starting requests, and stops reading once some unparsed
bytes have arrived, so a caller that does not read holds a bounded amount of
memory and nothing is dropped. What the connections of a process hold together
is bounded by its :class:`~fescueyard.transport.client_guard.ClientGuard`.
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
from fescueyard.transport import body_admission
from fescueyard.transport import client_guard
from fescueyard.transport import http_parsing
from fescueyard.transport import http_responses
from fescueyard.transport import memory_account
from fescueyard.transport import progress
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

# Requests and parsing steps after which the loop serves other connections.
# One that sends thousands of requests ahead would hold up all others.
WORK_UNITS_MAX = 32
# Bodies up to this size are written together with their head.
JOINED_BODY_BYTES = 16 * 1024

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

    A handler may also have ``check_head(head)``, which is called for a request
    with a body before the body is read. It returns the response to a request
    whose body is not needed, or None.

    :param handler: object with the methods above.
    :param limits: :class:`~fescueyard.transport.http_parsing.Limits`.
    :param connections: set of the open connections.
    :param closing: whether to close after the response to the first request.
    :param guard: :class:`~fescueyard.transport.client_guard.ClientGuard`; None
        for no bounds.
    :param uses_reserve: whether it may use the connections that are reserved
        for probes and operators.
    :ivar held_bytes: what the connection holds by the guard's account.
    :ivar has_served: whether a response has been written.
    :ivar waiting_since_s: loop time at which the present deadline was set.
    """

    def __init__(
        self,
        handler,
        limits,
        connections,
        closing=False,
        guard=None,
        uses_reserve=False,
    ):
        self.held_bytes = 0
        self.has_served = False
        self.waiting_since_s = 0.0
        self._handler = handler
        self._limits = limits
        self._connections = connections
        self._guard = guard or client_guard.unbounded_guard()
        self._uses_reserve = uses_reserve
        self._closing = closing
        self._transport = None
        self._parser = http_parsing.RequestParser(self, limits)
        self._exchanges = collections.OrderedDict()
        self._queued = collections.deque()
        self._unparsed = bytearray()
        self._waiting_response_bytes = 0
        self._receiving = False
        self._continue_due = False
        self._write_paused = False
        self._starting = False
        self._resuming = False
        self._lingering = False
        self._deadline_s = 0.0
        self._body = body_admission.BodyAdmission(
            getattr(handler, "check_head", None), self._reserve, limits
        )
        self._refusal = None
        self._requests_cost = 0
        self._received = progress.Progress()
        self._sent = progress.Progress()
        self._written_bytes = 0

    def connection_made(self, transport):
        """Start the idle timeout for the first request."""
        self._transport = transport
        sockets.limit_reads(transport)
        self._connections.add(self)
        self.waiting_since_s = asyncio.get_running_loop().time()
        if not self._guard.admit(self, self._uses_reserve):
            transport.abort()
            return
        self._set_deadline(self._limits.idle_timeout_s)
        self._update_charge()

    def connection_lost(self, exc):
        """Cancel the requests in progress and release what they hold."""
        self._connections.discard(self)
        self._guard.forget(self)
        self._queued.clear()
        self._unparsed.clear()
        self._parser.discard_body()
        open_exchanges = list(self._exchanges.values())
        self._exchanges.clear()
        for exchange in open_exchanges:
            if exchange.response is None:
                self._cancel(exchange)
        self._release()

    def data_received(self, data):
        """Parse bytes, or keep them while no request may be started."""
        if self._lingering or self._parser.is_finished():
            return
        self._received.add(len(data))
        self._unparsed += data
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
        self._waiting_response_bytes += len(response.body)
        try:
            self._advance()
        except Exception as error:
            # The handler may be responding on other connections next.
            failures.contain(
                LOG, "response_failed", error, exchange=exchange_id
            )
            self._transport.abort()

    @property
    def is_stalled(self):
        """Whether it has made next to no progress since the last sweep."""
        if self._receives_body():
            return self._received.is_stalled
        return self._sent.is_stalled and self.has_unsent_bytes()

    def is_idle(self):
        """Return whether no complete request is in progress.

        One that is still arriving does not count.

        :returns: bool.
        """
        return not self._exchanges and not self._queued

    def client_address(self):
        """Return the address of the client.

        :returns: ``host:port``; empty when it is not known any more.
        """
        peer = self._transport.get_extra_info("peername")
        return f"{peer[0]}:{peer[1]}" if peer else ""

    def abort(self):
        """Close at once and release what the connection holds."""
        self._transport.abort()
        self._unparsed.clear()
        self._parser.discard_body()
        self._guard.forget(self)
        self._release()

    def has_unsent_bytes(self):
        """Return whether a part of a response still waits for the caller."""
        return self._transport.get_write_buffer_size() > 0

    def close_after_response(self):
        """Close the connection after its next responses."""
        self._closing = True

    def close_when_idle(self):
        """Close now, or after the responses to the requests in progress."""
        self._closing = True
        if self.is_idle():
            self._transport.close()

    def close_if_overdue(self, now_s):
        """Close when the caller exceeds its time to send a request.

        :param now_s: the loop's time.
        """
        if not self._exchanges and now_s > self._deadline_s:
            self._transport.close()

    def check_progress(self, now_s):
        """Close when a body arrives, or a response leaves, too slowly.

        :param now_s: the loop's time.
        """
        is_due = (
            self._receives_body()
            and self._transport.is_reading()
            and not self._continue_due
        )
        if self._received.is_too_slow(is_due, progress.BODY_WINDOW_S, now_s):
            self._guard.close(self, "slow_body")
            return
        unsent_bytes = progress.unsent_bytes(self._transport)
        self._sent.total = self._written_bytes - unsent_bytes
        if self._sent.is_too_slow(
            self.has_unsent_bytes(), progress.RESPONSE_WINDOW_S, now_s
        ):
            self._guard.close(self, "slow_reader")
            return
        self._update_charge()

    # Callbacks of the request parser.

    def request_begun(self):
        """Start the timeout for the headers."""
        self._receiving = True
        self._set_deadline(self._limits.header_timeout_s)

    def headers_complete(self, head, body_bytes, expects_continue):
        """Start the timeout for the body; ask for it when it is awaited.

        :param head: the request without its body.
        :param body_bytes: size of the body; None for one in chunks.
        :param expects_continue: whether the caller waits before it sends it.
        """
        self._set_deadline(self._limits.request_timeout_s)
        if body_bytes == 0:
            return
        self._body.begin(head, body_bytes, expects_continue)
        if self._body.response is not None:
            self._parser.discard_body()
            return
        self._update_charge()
        self._continue_due = expects_continue
        self._write_due_continue()

    def body_grown(self, body_bytes):
        """Reserve more for a body in chunks.

        :param body_bytes: its size so far.
        """
        if not self._body.grow(body_bytes):
            return
        if self._body.response is None:
            self._update_charge()
        else:
            self._parser.discard_body()

    def request_complete(self, parsed):
        """Queue a request behind those in progress."""
        self._receiving = False
        self._continue_due = False
        self._body.complete(parsed)
        self._requests_cost += parsed.cost
        self._queued.append(parsed)

    def _reserve(self, amount_bytes, is_small):
        return self._guard.reserve(self, amount_bytes, is_small)

    def _receives_body(self):
        return self._receiving and self._body.reserved_bytes > 0

    def _advance(self):
        """Write the responses that are due, then start queued requests."""
        if self._starting:
            # A handler responded while its request was being started.
            return
        self._starting = True
        work_units = 0
        while not self._lingering and not self._transport.is_closing():
            self._write_due_responses()
            if work_units >= WORK_UNITS_MAX:
                self._resume_later()
                break
            if self._queued:
                if not self._may_start():
                    break
                work_units += 1
                self._start(self._queued.popleft())
            elif self._unparsed and not self._is_blocked():
                work_units += 1
                self._parse_step()
            else:
                break
        self._starting = False
        self._refuse_unread_body()
        self._write_due_rejection()
        self._update_reading()
        self._update_charge()
        self._guard.relieve()

    def _resume_later(self):
        """Go on once the loop has served the other connections."""
        if not self._resuming:
            self._resuming = True
            asyncio.get_running_loop().call_soon(self._resume)

    def _resume(self):
        self._resuming = False
        if not self._transport.is_closing():
            self._advance()

    def _parse_step(self):
        step_bytes = self._parser.step_bytes()
        data = bytes(self._unparsed[:step_bytes])
        del self._unparsed[:step_bytes]
        self._parser.feed(data)
        if self._parser.is_finished():
            self._unparsed.clear()

    def _refuse_unread_body(self):
        """Respond without the rest of a body that is not needed."""
        if self._parser.rejection is not None or self._unparsed:
            return
        self._refusal = self._body.take_refusal()
        if self._refusal is not None:
            self._parser.reject(codes.BAD_REQUEST)

    def _is_blocked(self):
        """Return whether requests that arrive now have to wait.

        Once the next responses close the connection, they wait forever: they
        count as unread. Reading on shows when the caller leaves.
        """
        is_ending = self._closing and bool(self._exchanges)
        return is_ending or bool(self._queued) or self._is_full()

    def _is_full(self):
        return (
            self._write_paused
            or len(self._exchanges) >= OPEN_EXCHANGES_MAX
            or self._waiting_response_bytes > HELD_RESPONSE_BYTES_MAX
        )

    def _may_start(self):
        """Return whether the first queued request may be started."""
        if self._is_full():
            return False
        if not self._exchanges:
            return True
        if not self._handler.may_overlap(self._queued[0].request):
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
        if parsed.response is not None:
            self.respond(exchange.exchange_id, parsed.response)
            return
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
        self.has_served = True
        self._waiting_response_bytes -= len(response.body)
        self._requests_cost -= exchange.parsed.cost
        is_last = self.is_idle()
        keep_alive = exchange.parsed.keep_alive
        if self._closing and is_last:
            keep_alive = False
        head_only = exchange.parsed.request.method == "HEAD"
        self._write(
            *http_responses.serialise_parts(response, keep_alive, head_only)
        )
        if not keep_alive:
            self._linger()
        elif is_last and self._receiving:
            self._set_deadline(self._limits.request_timeout_s)
        elif is_last:
            self._set_deadline(self._limits.idle_timeout_s)

    def _write_due_continue(self):
        """Ask for a body once all earlier requests have been answered."""
        if self._continue_due and self.is_idle():
            self._continue_due = False
            self._write(http_responses.CONTINUE, b"")

    def _write_due_rejection(self):
        """Respond to malformed input behind the responses before it."""
        code = self._parser.rejection
        if code is None or not self.is_idle():
            return
        if self._lingering:
            return
        response = self._refusal or problems.problem_response(code)
        self._write(*http_responses.serialise_parts(response, False, False))
        self._linger()

    def _write(self, head, body):
        """Write a response; a large body isn't copied behind its head."""
        self._written_bytes += len(head) + len(body)
        if len(body) <= JOINED_BODY_BYTES:
            self._transport.write(head + body)
            return
        self._transport.write(head)
        self._transport.write(body)

    def _linger(self):
        """Send the end of the responses; close when the caller does."""
        self._lingering = True
        self._continue_due = False
        self._body.release()
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

    def _update_charge(self):
        """Count what the connection holds now in the account."""
        if self not in self._guard.connections:
            return
        held_bytes = (
            memory_account.CONNECTION_COST
            + self._parser.head_cost()
            + self._body.reserved_bytes
            + self._requests_cost
            + self._waiting_response_bytes
            + len(self._unparsed)
            + memory_account.body_cost(self._transport.get_write_buffer_size())
        )
        self._guard.account.charge(held_bytes - self.held_bytes)
        self.held_bytes = held_bytes

    def _release(self):
        self._guard.account.charge(-self.held_bytes)
        self.held_bytes = 0

    def _set_deadline(self, timeout_s):
        now_s = asyncio.get_running_loop().time()
        self.waiting_since_s = now_s
        self._deadline_s = now_s + timeout_s
