"""HTTP/1.1 listener for callers, operators and the backend server."""

import asyncio
import errno
import socket

from fescueyard.core import addresses
from fescueyard.core import clock
from fescueyard.core import failures
from fescueyard.core import logs
from fescueyard.transport import client_guard
from fescueyard.transport import http_connection
from fescueyard.transport import http_parsing

LOG = logs.ComponentLogger("http")

SWEEP_INTERVAL_S = 1.0
BACKLOG_CONNECTIONS = 1_024
# Connections accepted before others of the process are served. Each takes a
# descriptor before it can be refused.
ACCEPTED_AT_ONCE_MAX = 16
# Pause after the process has run out of descriptors.
ACCEPT_PAUSE_S = 0.2
_OUT_OF_DESCRIPTORS = (errno.EMFILE, errno.ENFILE)


class HttpServer:
    """A listener and its open connections.

    :param handler: see
        :class:`~fescueyard.transport.http_connection.HttpConnection`.
    :param body_bytes_max: maximum size of a request body.
    :param guard: :class:`~fescueyard.transport.client_guard.ClientGuard` of
        the process; None for no bounds.
    :param uses_reserve: whether its connections may use the reserved part.
    """

    def __init__(
        self, handler, body_bytes_max, guard=None, uses_reserve=False
    ):
        self.limits = http_parsing.Limits(body_bytes_max)
        self._handler = handler
        self._guard = guard or client_guard.unbounded_guard()
        self._uses_reserve = uses_reserve
        self._connections = set()
        self._tasks = set()
        self._socket = None
        self._server = None
        self._closing = False
        self._accepting = False

    async def listen(self, address):
        """Accept connections.

        :param address: :class:`~fescueyard.core.addresses.Address`.
        """
        loop = asyncio.get_running_loop()
        self._socket = socket.create_server(
            (address.host, address.port), backlog=BACKLOG_CONNECTIONS
        )
        self._server = await loop.create_server(
            self._new_connection,
            sock=self._socket,
            backlog=BACKLOG_CONNECTIONS,
            start_serving=False,
        )
        self._socket.setblocking(False)
        self._accepting = True
        loop.add_reader(self._socket, self._accept_ready)
        self._sweep()

    def close_after_responses(self):
        """Close each connection, also new ones, after its next responses."""
        self._closing = True
        for connection in list(self._connections):
            connection.close_after_response()

    def has_unsent_bytes(self):
        """Return whether a caller has still to read a part of a response.

        :returns: bool.
        """
        return any(
            connection.has_unsent_bytes() for connection in self._connections
        )

    def stop_accepting(self):
        """Close the listener once all connections made so far are accepted.

        The kernel has completed their handshakes, and a caller may already
        have sent a request. Closing the listener before would reset them.
        """
        if not self._accepting:
            return
        self._closing = True
        self._accepting = False
        while self._accept_next():
            pass
        asyncio.get_running_loop().remove_reader(self._socket)
        self._server.close()

    def close_when_idle(self):
        """Stop accepting; close each connection once it is idle."""
        if self._server is None:
            return
        self.stop_accepting()
        for connection in list(self._connections):
            connection.close_when_idle()

    def _new_connection(self):
        return http_connection.HttpConnection(
            self._handler,
            self.limits,
            self._connections,
            self._closing,
            self._guard,
            self._uses_reserve,
        )

    def _accept_ready(self):
        """Accept some of the connections that wait."""
        for _ in range(ACCEPTED_AT_ONCE_MAX):
            if not self._accept_next():
                return

    def _accept_next(self):
        """Accept a connection; return whether there was one."""
        try:
            accepted, _ = self._socket.accept()
        except OSError as error:
            if error.errno in _OUT_OF_DESCRIPTORS:
                self._pause_accepting(error)
            return False
        accepted.setblocking(False)
        loop = asyncio.get_running_loop()
        task = loop.create_task(
            loop.connect_accepted_socket(self._new_connection, accepted)
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return True

    def _pause_accepting(self, error):
        """Wait for descriptors; a ready listener would keep the loop busy."""
        if not self._accepting:
            return
        LOG.warning("accept_failed", error=error.strerror)
        loop = asyncio.get_running_loop()
        loop.remove_reader(self._socket)
        loop.call_later(ACCEPT_PAUSE_S, self._resume_accepting)

    def _resume_accepting(self):
        if self._accepting:
            loop = asyncio.get_running_loop()
            loop.add_reader(self._socket, self._accept_ready)

    def _sweep(self):
        """Close overdue connections; a single timer is cheaper than many."""
        loop = asyncio.get_running_loop()
        for connection in list(self._connections):
            try:
                connection.close_if_overdue(loop.time())
                connection.check_progress(loop.time())
            except Exception as error:
                failures.contain(LOG, "close_failed", error)
        if self._accepting or self._connections:
            loop.call_later(SWEEP_INTERVAL_S, self._sweep)


class ImmediateHandler:
    """Handler that responds to each request synchronously.

    :param make_response: function of the request and the present time that
        returns the response.
    :param needs_bodies: whether the response depends on the body. If not,
        bodies aren't read.
    """

    def __init__(self, make_response, needs_bodies=True):
        self._make_response = make_response
        self._needs_bodies = needs_bodies

    def check_head(self, head):
        """Respond to a request whose body is not needed."""
        if self._needs_bodies:
            return None
        return self._make_response(head, clock.now_ms())

    def request_received(self, exchange_id, request, connection):
        """Respond to a request."""
        response = self._make_response(request, clock.now_ms())
        connection.respond(exchange_id, response)

    def caller_left(self, exchange_id):
        """Ignore the disconnect; no request is ever in progress."""

    def may_overlap(self, request):
        """Return False; no request is ever in progress."""
        return False


async def serve_metrics(server, address):
    """Serve metrics; log the error and continue if it can't listen.

    :param server: :class:`HttpServer`.
    :param address: ``host:port``, or None for none.
    """
    if address is None:
        return
    try:
        await server.listen(addresses.parse(address))
    except OSError as error:
        LOG.warning("metrics_unserved", address=address, error=str(error))
