"""One connection to the VM's own backend server, and its responses.

A backend server may send bytes that are not a response, and may never stop.
Header fields and bytes outside the response body are limited as well as the
body itself; the connection is closed when a limit is exceeded.
"""

import asyncio

import httptools

from fescueyard.core import clock
from fescueyard.core import codes
from fescueyard.core import exceptions
from fescueyard.core import http
from fescueyard.core import logs
from fescueyard.core import text as text_checks
from fescueyard.transport import backend_results
from fescueyard.transport import http_parsing
from fescueyard.transport import memory_account
from fescueyard.transport import response_framing
from fescueyard.transport import response_head
from fescueyard.transport import sockets
from fescueyard.transport import transfers

LOG = logs.ComponentLogger("backend")

# Idle time after which a connection is not reused, unless the backend server
# states a timeout in a ``keep-alive`` header.
IDLE_MAX_S = 30.0
# Margin before the backend server would close an idle connection; at most half
# of the timeout that it states.
IDLE_MARGIN_S = 1.0
# Bytes of a response outside its body: head, trailers, framing.
OVERHEAD_BYTES_MAX = 64 * 1024
# Allows for the framing of a body that arrives in chunks of one byte.
OVERHEAD_BYTES_PER_BODY_BYTE_MAX = 8
# Limit on interim responses and responses to other requests before the
# expected one.
RESPONSES_SKIPPED_MAX = 16


class Connection(asyncio.Protocol):
    """One connection, with at most one request in progress."""

    def __init__(self, client, address):
        self.address = address
        self.idle_since_s = 0.0
        self.idle_max_s = IDLE_MAX_S
        self.usable = True
        self.aborted = False
        self.connected_at_ms = 0.0
        self._client = client
        self._transport = None
        self._parser = httptools.HttpResponseParser(self)
        self._transfer = None
        self._response = None
        self._response_due = False
        self._parsing = False
        self._completion = None
        self._too_large = False
        self._overhead_bytes = 0
        self._head_cost = 0
        self._body_bytes = 0
        self._responses_skipped = 0
        self._requests_started = 0

    def connection_made(self, transport):
        """Set the socket's options."""
        self._transport = transport
        self.connected_at_ms = clock.now_ms()
        sockets.set_options(transport)
        sockets.limit_reads(transport)

    def is_idle(self):
        """Return whether no request is in progress."""
        return self._transfer is None

    def start(self, transfer):
        """Write a request."""
        transfer.connection = self
        self._transfer = transfer
        self._overhead_bytes = 0
        self._head_cost = 0
        self._body_bytes = 0
        self._responses_skipped = 0
        self._requests_started += 1
        self._transport.write(transfer.head + transfer.request.body)

    def abort(self):
        """Close at once; the request in progress gets no result."""
        self._transfer = None
        self.usable = False
        self.aborted = True
        # The parser refers to the connection: as a cycle they would keep the
        # response until the next garbage collection.
        self._response = None
        self._client.flow.release(self)
        if self._transport is not None:
            self._transport.abort()

    def pause_reading(self):
        """Leave the rest of the response to the buffers of the system."""
        self._transport.pause_reading()

    def resume_reading(self):
        """Read the rest of the response."""
        if not self._transport.is_closing():
            self._transport.resume_reading()

    def data_received(self, data):
        """Parse the response; abort when no request is in progress."""
        if self._transfer is None:
            # The backend server ends the connection, as some do after a
            # timeout; it counts as closed by the server.
            self.usable = False
            self._transport.abort()
            return
        self._overhead_bytes += len(data)
        self._parse(data)
        if self._completion is not None:
            self._complete_transfer()
            return
        self._check_overhead()
        if self._transfer is not None:
            self._charge_head()

    def eof_received(self):
        """Complete a response delimited by the close; fail any other one."""
        self.usable = False
        response = self._response
        if self._transfer is None:
            return
        if response is not None and response.is_delimited_by_close():
            self._complete()
        else:
            self._fail(
                codes.SHORT_ANSWER if response else codes.BACKEND_FAILED
            )

    def connection_lost(self, exc):
        """Fail the request in progress."""
        self.usable = False
        self._client.remove(self)
        if self._transfer is not None:
            self._fail(
                codes.SHORT_ANSWER if self._response else codes.BACKEND_FAILED
            )

    def _parse(self, data):
        """Parse bytes up to the end of the request's response.

        A request that ends is completed behind the last byte. The next one
        may start as soon as this one is complete. Started earlier, it would
        get the bytes behind the response as its own.
        """
        start = 0
        self._parsing = True
        try:
            while start < len(data) and self._transfer is not None:
                end = response_framing.step_end(self._response, data, start)
                self._parse_step(data[start:end])
                start = end
        finally:
            self._parsing = False
        if start < len(data):
            # They belong to no request, and more of them may arrive.
            self.usable = False

    def _parse_step(self, data):
        """Parse bytes of one response, which is checked where it begins."""
        self._response_due = self._response is None
        if self._response_due and not response_head.may_begin(data):
            self._handle_parse_error("not a response of HTTP")
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._handle_parse_error("upgrade that was not requested")
        except httptools.HttpParserError as error:
            self._handle_parse_error(str(error))

    # Callbacks of the parser. A request that has failed ignores the rest of
    # its response.

    def on_message_begin(self):
        """Start a response; its first bytes have to be those of a step."""
        if self._transfer is None:
            self.usable = False
            return
        if not self._response_due:
            self._handle_parse_error("response begins inside another one")
            return
        self._response_due = False
        self._response = transfers.Response()

    def on_header(self, name, value):
        """Collect a header; trailers are ignored."""
        if self._transfer is None or self._response.headers_complete:
            return
        if len(self._response.headers) >= http_parsing.HEADER_FIELDS_MAX:
            self._abandon_response(codes.ANSWER_TOO_LARGE)
            return
        self._response.headers.append(
            http.Header(
                name.decode("latin-1").lower(), value.decode("latin-1").strip()
            )
        )

    def on_headers_complete(self):
        """Check the head; record how long the connection may stay idle."""
        transfer = self._transfer
        if transfer is None:
            return
        response = self._response
        response.status = self._parser.get_status_code()
        response.headers_complete = True
        try:
            response_head.check(
                self._parser.get_http_version(),
                response.status,
                response.headers,
            )
        except exceptions.ResponseError as error:
            self._reject_response(error)
            return
        if not self._parser.should_keep_alive():
            self.usable = False
        self._record_idle_max(response.header("keep-alive"))
        if transfer.request.method == "HEAD" and not response.is_interim():
            # The parser can't know that no body follows.
            self.usable = False
            self._complete()

    def on_body(self, body):
        """Collect a piece of the body."""
        response = self._response
        self._overhead_bytes -= len(body)
        self._body_bytes += len(body)
        if self._transfer is None or self._too_large:
            return
        response.body += body
        self._client.flow.hold(self, len(body))
        if len(response.body) > self._client.response_bytes_max:
            self._too_large = True
            self._fail(codes.ANSWER_TOO_LARGE)

    def on_message_complete(self):
        """Complete the request, unless this is an interim response."""
        response = self._response
        if response is None or self._transfer is None:
            return
        if response.is_interim():
            self._response = None
            self._count_skipped()
            return
        self._complete()

    def _complete(self):
        transfer = self._transfer
        response = self._response
        self._response = None
        if self._may_be_late(response, transfer):
            self._reject_response(
                exceptions.ResponseError("failure without the request's id")
            )
            return
        if not self._matches_request(response, transfer):
            # A response to an earlier request; the expected one is still due.
            self.usable = False
            if response.is_delimited_by_close():
                self._fail(codes.SHORT_ANSWER)
            else:
                self._count_skipped()
            return
        if backend_results.lacks_signature(
            response, transfer, self._client.names
        ):
            self._reject_response(
                exceptions.ResponseError("success without a signature")
            )
            return
        if self._transport.get_write_buffer_size():
            # The backend server would parse the rest of the request body as
            # another request.
            self.usable = False
        self._finish(
            backend_results.build(
                response, transfer, self._client.names, self.connected_at_ms
            )
        )

    def _count_skipped(self):
        """Count a response other than the expected one."""
        self._responses_skipped += 1
        if self._responses_skipped > RESPONSES_SKIPPED_MAX:
            self._abandon_response(codes.SHORT_ANSWER)

    def _check_overhead(self):
        """Abort the request when too many bytes outside the body arrived."""
        allowed_bytes = OVERHEAD_BYTES_PER_BODY_BYTE_MAX * self._body_bytes
        if self._overhead_bytes > OVERHEAD_BYTES_MAX + allowed_bytes:
            self._abandon_response(codes.ANSWER_TOO_LARGE)

    def _charge_head(self):
        """Count the memory that an unfinished head takes."""
        response = self._response
        if response is None or response.headers_complete:
            return
        cost = (
            memory_account.HEAD_BYTE_COST * self._overhead_bytes
            + memory_account.FIELD_COST * len(response.headers)
        )
        if cost > self._head_cost:
            self._client.flow.charge(self, cost - self._head_cost)
            self._head_cost = cost

    def _abandon_response(self, code):
        LOG.info(
            "answer_broken_off",
            address=self.address,
            code=code.number,
            request=self._transfer.request_id,
            overhead_bytes=self._overhead_bytes,
            body_bytes=self._body_bytes,
            skipped=self._responses_skipped,
        )
        self._fail(code)

    def _may_be_late(self, response, transfer):
        """Return whether a failure may be the response to an earlier request.

        Without an id it can't be told from the expected one. No earlier
        request was on the connection of the first one.
        """
        return (
            self._requests_started > 1
            and bool(transfer.request_id)
            and backend_results.is_failure(response)
            and response.header(self._client.names.request_id) is None
            and self._must_echo()
        )

    def _matches_request(self, response, transfer):
        if not transfer.request_id:
            return True
        echoed_id = response.header(self._client.names.request_id)
        if echoed_id is None:
            if backend_results.denies_run(response, self._client.names):
                # A second copy of it could not be told from the response to
                # the next request on this connection.
                self.usable = False
            if not self._must_echo():
                return True
            if not backend_results.is_failure(response):
                return False
            self.usable = False
            return True
        self._client.echoing_addresses.add(self.address)
        return echoed_id == transfer.request_id

    def _must_echo(self):
        return (
            self._client.requires_echo
            or self.address in self._client.echoing_addresses
        )

    def _handle_parse_error(self, reason):
        if self._transfer is None:
            self.abort()
            return
        self._reject_response(exceptions.ResponseError(reason))

    def _reject_response(self, error):
        """Fail the request, as its response is malformed."""
        LOG.decision(
            "answer_malformed",
            address=self.address,
            code=error.code.number,
            request=self._transfer.request_id,
            reason=error.detail,
        )
        self._fail(error.code)

    def _fail(self, code):
        self.usable = False
        self._finish(transfers.BackendResult(None, code))

    def _finish(self, result):
        """End the request; its result is set once no bytes are parsed."""
        self._completion = transfers.Completion(self._transfer, result)
        self._transfer = None
        self._response = None
        self._client.flow.release(self)
        if not self._parsing:
            self._complete_transfer()

    def _complete_transfer(self):
        """Pool or close the connection, and set the result of the request."""
        completion, self._completion = self._completion, None
        if self.usable and not self._transport.is_closing():
            self._client.add_idle(self)
        else:
            self.aborted = True
            self._transport.abort()
        transfer = completion.transfer
        if not transfer.cancelled:
            # The future refers to the transfer: as a cycle they would keep the
            # response until the next garbage collection.
            future, transfer.future = transfer.future, None
            future.set_result(completion.result)

    def _record_idle_max(self, text):
        """Derive the idle limit from the value of a ``keep-alive`` header."""
        for part in (text or "").split(","):
            name, _, value = part.strip().partition("=")
            if name.lower() == "timeout" and text_checks.is_decimal(value):
                timeout_s = float(value)
                self.idle_max_s = max(timeout_s / 2, timeout_s - IDLE_MARGIN_S)
