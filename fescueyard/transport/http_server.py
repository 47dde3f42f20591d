"""HTTP/1.1 listener for callers, operators and the backend server."""

import asyncio
import socket

from fescueyard.core import addresses
from fescueyard.core import clock
from fescueyard.core import failures
from fescueyard.core import logs
from fescueyard.transport import http_connection
from fescueyard.transport import http_parsing

LOG = logs.ComponentLogger("http")

SWEEP_INTERVAL_S = 1.0
BACKLOG_CONNECTIONS = 1_024


class HttpServer:
    """A listener and its open connections.

    :param handler: see
        :class:`~fescueyard.transport.http_connection.HttpConnection`.
    :param body_bytes_max: maximum size of a request body.
    """

    def __init__(self, handler, body_bytes_max):
        self.limits = http_parsing.Limits(body_bytes_max)
        self._handler = handler
        self._connections = set()
        self._tasks = set()
        self._socket = None
        self._server = None
        self._closing = False

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
        )
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
        if self._server is None or not self._server.is_serving():
            return
        self._closing = True
        loop = asyncio.get_running_loop()
        while (accepted := _accept(self._socket)) is not None:
            task = loop.create_task(
                loop.connect_accepted_socket(self._new_connection, accepted)
            )
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
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
            self._handler, self.limits, self._connections, self._closing
        )

    def _sweep(self):
        """Close overdue connections; a single timer is cheaper than many."""
        loop = asyncio.get_running_loop()
        for connection in list(self._connections):
            try:
                connection.close_if_overdue(loop.time())
            except Exception as error:
                failures.contain(LOG, "close_failed", error)
        if self._server.is_serving():
            loop.call_later(SWEEP_INTERVAL_S, self._sweep)


def _accept(listening):
    """Return the next connection that waits to be accepted, or None."""
    try:
        accepted, _ = listening.accept()
    except OSError:
        return None
    accepted.setblocking(False)
    return accepted


class ImmediateHandler:
    """Handler that responds to each request synchronously.

    :param make_response: function of the request and the present time that
        returns the response.
    """

    def __init__(self, make_response):
        self._make_response = make_response

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
