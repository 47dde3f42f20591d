"""HTTP client towards the VM's own backend server.

Connections are kept and used again, the latest used first. A request is
written once: nothing is ever sent again by this client, whatever becomes of
the connection. libcurl does send again on a kept connection that turns out to
be closed, and has no option against it, so the parser of ``httptools`` is used
in its place.
"""

import asyncio
import concurrent.futures
import dataclasses

import httptools

from fescueyard.core import codes
from fescueyard.core import headers as header_names
from fescueyard.core import http
from fescueyard.core import logs
from fescueyard.transport import sockets

LOG = logs.PartLogger("backend")

CONNECT_TIMEOUT_S = 0.5
IDLE_MAX_S = 30.0
# A request that must not run twice goes on a connection used just now, since
# a backend server may drop an idle one without notice.
IDLE_NOT_IDEMPOTENT_MAX_S = 1.5
IDLE_MARGIN_S = 1.0
WRONG_INSTANCE_STATUS = 421
_BODYLESS_METHODS = ("GET", "HEAD")
_BODYLESS_STATUSES = (204, 304)


@dataclasses.dataclass
class BackendResult:
    """How a run at the backend server ended.

    :param answer: the whole answer, or None.
    :param code: result code; ``OK`` with an answer.
    """

    answer: http.HttpAnswer | None
    code: codes.ResultCode


@dataclasses.dataclass
class _Transfer:
    """One request in progress.

    :param request_id: id that the answer has to echo; empty for none.
    :param expects_instance: the backend server may say that it is another.
    """

    request: http.HttpRequest
    head: bytes
    request_id: str
    expects_instance: bool
    future: concurrent.futures.Future
    connection: object = None
    cancelled: bool = False


class _Answer:
    """An answer that is being read."""

    def __init__(self):
        self.status = 0
        self.headers = []
        self.body = bytearray()
        self.headers_complete = False

    def header(self, name):
        return http.find_header(self.headers, name)

    def ends_with_connection(self):
        """Say whether only the connection's end is the answer's end."""
        if not self.headers_complete or self.status in _BODYLESS_STATUSES:
            return False
        length = self.header("content-length")
        return length is None and self.header("transfer-encoding") is None


class _Connection(asyncio.Protocol):
    """One connection; carries one request at a time."""

    def __init__(self, client, address):
        self.address = address
        self.idle_since_s = 0.0
        self.idle_max_s = IDLE_MAX_S
        self.usable = True
        self._client = client
        self._transport = None
        self._parser = httptools.HttpResponseParser(self)
        self._transfer = None
        self._answer = None
        self._too_large = False

    def connection_made(self, transport):
        """Set the socket's options."""
        self._transport = transport
        sockets.prepare(transport)

    def start(self, transfer):
        """Write a request."""
        transfer.connection = self
        self._transfer = transfer
        self._transport.write(transfer.head + transfer.request.body)

    def abort(self):
        """Close at once; the request in progress gets no result."""
        self._transfer = None
        self.usable = False
        if self._transport is not None:
            self._transport.abort()

    def data_received(self, data):
        """Parse the answer; bytes that nobody asked for end the use."""
        if self._transfer is None:
            self.abort()
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._fail(codes.SHORT_ANSWER)
        except httptools.HttpParserError:
            self._spoiled()

    def eof_received(self):
        """Take the end of the connection for the end of the answer."""
        self.usable = False
        answer = self._answer
        if self._transfer is None:
            return
        if answer is not None and answer.ends_with_connection():
            self._complete()
        else:
            self._fail(codes.SHORT_ANSWER if answer else codes.BACKEND_FAILED)

    def connection_lost(self, exc):
        """Fail the request in progress."""
        self.usable = False
        self._client.forget(self)
        if self._transfer is not None:
            self._fail(
                codes.SHORT_ANSWER if self._answer else codes.BACKEND_FAILED
            )

    # Callbacks of the parser.

    def on_message_begin(self):
        """Start an answer; one without a question is a fault."""
        if self._transfer is None:
            self.usable = False
        self._answer = _Answer()

    def on_header(self, name, value):
        """Collect a header."""
        self._answer.headers.append(
            http.Header(
                name.decode("latin-1").lower(), value.decode("latin-1").strip()
            )
        )

    def on_headers_complete(self):
        """Note the status and how long the connection may be kept."""
        answer = self._answer
        answer.status = self._parser.get_status_code()
        answer.headers_complete = True
        if not self._parser.should_keep_alive():
            self.usable = False
        self._note_idle_max(answer.header("keep-alive"))
        transfer = self._transfer
        if transfer is not None and transfer.request.method == "HEAD":
            # The parser can't know that no body follows.
            self.usable = False
            self._complete()

    def on_body(self, body):
        """Collect a piece of the body."""
        answer = self._answer
        if self._transfer is None or self._too_large:
            return
        answer.body += body
        if len(answer.body) > self._client.answer_bytes_max:
            self._too_large = True
            self._fail(codes.ANSWER_TOO_LARGE)

    def on_message_complete(self):
        """Hand on the answer, unless it is an interim or another's one."""
        answer = self._answer
        if answer is None or self._transfer is None:
            return
        if 100 <= answer.status < 200:
            self._answer = None
            return
        self._complete()

    def _complete(self):
        transfer = self._transfer
        answer = self._answer
        self._answer = None
        if not self._is_own(answer, transfer):
            # The answer to an earlier request; the one to this is still due.
            self.usable = False
            if answer.ends_with_connection():
                self._fail(codes.SHORT_ANSWER)
            return
        if self._transport.get_write_buffer_size():
            # The rest of the body would be taken for another request.
            self.usable = False
        self._finish(self._judge(answer, transfer))

    def _is_own(self, answer, transfer):
        if not transfer.request_id:
            return True
        echoed = answer.header(self._client.names.request_id)
        if echoed is None:
            if answer.status < 300:
                return False
            self.usable = False
            return True
        return echoed == transfer.request_id

    def _judge(self, answer, transfer):
        if answer.header(self._client.names.not_run) is not None:
            return BackendResult(None, codes.BACKEND_REFUSED)
        if answer.status == WRONG_INSTANCE_STATUS:
            if transfer.expects_instance:
                return BackendResult(None, codes.WRONG_INSTANCE)
        whole = http.HttpAnswer(
            answer.status, answer.headers, bytes(answer.body)
        )
        return BackendResult(whole, codes.OK)

    def _spoiled(self):
        if self._transfer is None:
            self.abort()
            return
        self._fail(codes.SHORT_ANSWER)

    def _fail(self, code):
        self.usable = False
        self._finish(BackendResult(None, code))

    def _finish(self, result):
        transfer, self._transfer = self._transfer, None
        self._answer = None
        if self.usable and not self._transport.is_closing():
            self._client.keep(self)
        else:
            self._transport.abort()
        if transfer is not None and not transfer.cancelled:
            transfer.future.set_result(result)

    def _note_idle_max(self, text):
        """Read how long an idle connection is kept at the other end."""
        for part in (text or "").split(","):
            name, _, value = part.strip().partition("=")
            if name.lower() == "timeout" and value.isdigit():
                timeout_s = float(value)
                self.idle_max_s = max(timeout_s / 2, timeout_s - IDLE_MARGIN_S)


class BackendClient:
    """Keeps connections to the VM's backend server and runs requests.

    :param connections_max: most connections at once.
    :param answer_bytes_max: largest answer accepted.
    :param names: :class:`~fescueyard.core.headers.HeaderNames`.
    """

    def __init__(
        self,
        connections_max,
        answer_bytes_max,
        names=header_names.HeaderNames(),
    ):
        self.answer_bytes_max = answer_bytes_max
        self.names = names
        self.opened = 0
        self._connections_max = connections_max
        self._loop = asyncio.get_running_loop()
        self._idle = {}
        self._open = set()
        self._tasks = set()

    def fetch(self, base_url, request, idempotent):
        """Start a request.

        :param base_url: ``http://host:port`` of the backend server.
        :param request: :class:`~fescueyard.core.http.HttpRequest`.
        :param idempotent: whether running twice does no harm.
        :returns: future of a :class:`BackendResult`; cancel it with
            :meth:`cancel`.
        """
        address = base_url.removeprefix("http://")
        transfer = _Transfer(
            request,
            _serialise_head(request, address),
            request.header(self.names.request_id) or "",
            request.header(self.names.expected_instance) is not None,
            concurrent.futures.Future(),
        )
        transfer.future.transfer = transfer
        connection = self._take_idle(address, idempotent)
        if connection is not None:
            connection.start(transfer)
        else:
            task = self._loop.create_task(self._connect(address, transfer))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        return transfer.future

    def probe(self, base_url):
        """See whether the backend server accepts connections.

        :param base_url: ``http://host:port`` of the backend server.
        :returns: task that ends with a bool.
        """
        address = base_url.removeprefix("http://")
        return self._loop.create_task(self._probe(address))

    def cancel(self, future):
        """Break a request off; its future gets no result.

        :param future: what :meth:`fetch` returned.
        """
        transfer = future.transfer
        transfer.cancelled = True
        if transfer.connection is not None:
            transfer.connection.abort()

    def keep(self, connection):
        """Keep a connection for the next request."""
        connection.idle_since_s = self._loop.time()
        self._idle.setdefault(connection.address, []).append(connection)

    def forget(self, connection):
        """Take in that a connection is closed."""
        self._open.discard(connection)
        idle = self._idle.get(connection.address, [])
        if connection in idle:
            idle.remove(connection)

    def close(self):
        """Close the connections that carry nothing."""
        for idle in self._idle.values():
            for connection in list(idle):
                connection.abort()

    def _take_idle(self, address, idempotent):
        idle = self._idle.get(address)
        now_s = self._loop.time()
        while idle:
            connection = idle.pop()
            idle_s = now_s - connection.idle_since_s
            limit_s = connection.idle_max_s
            if not idempotent:
                limit_s = min(limit_s, IDLE_NOT_IDEMPOTENT_MAX_S)
            if connection.usable and idle_s < limit_s:
                return connection
            connection.abort()
        return None

    async def _probe(self, address):
        connection = await self._open_connection(address)
        if connection is None:
            return False
        if connection.usable:
            self.keep(connection)
        return True

    async def _open_connection(self, address):
        host, _, port = address.rpartition(":")
        connecting = self._loop.create_connection(
            lambda: _Connection(self, address), host, int(port)
        )
        try:
            _, connection = await asyncio.wait_for(
                connecting, CONNECT_TIMEOUT_S
            )
        except (OSError, asyncio.TimeoutError) as error:
            LOG.info(
                "connect_failed", address=address, error=type(error).__name__
            )
            return None
        self.opened += 1
        self._open.add(connection)
        return connection

    async def _connect(self, address, transfer):
        if len(self._open) >= self._connections_max:
            self._end_unsent(transfer)
            return
        connection = await self._open_connection(address)
        if connection is None:
            self._end_unsent(transfer)
            return
        if transfer.cancelled:
            self.keep(connection)
        elif connection.usable:
            connection.start(transfer)
        else:
            self._end_unsent(transfer)

    def _end_unsent(self, transfer):
        """Report a request of which no byte was written."""
        if not transfer.cancelled:
            transfer.future.set_result(
                BackendResult(None, codes.CONNECT_FAILED)
            )


def _serialise_head(request, address):
    lines = [f"{request.method} {request.target} HTTP/1.1"]
    if request.header("host") is None:
        lines.append(f"host: {address}")
    for field in request.headers:
        lines.append(f"{field.name}: {field.value}")
    if request.body or request.method not in _BODYLESS_METHODS:
        lines.append(f"content-length: {len(request.body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")
