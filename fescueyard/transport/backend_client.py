"""HTTP client towards the VM's own backend server.

Connections are kept and used again, the latest used first. A request is
written once: nothing is ever sent again by this client, whatever becomes of
the connection. libcurl does send again on a kept connection that turns out to
be closed, and has no option against it, so the parser of ``httptools`` is used
in its place.
"""

import asyncio
import concurrent.futures

from fescueyard.core import codes
from fescueyard.core import headers as header_names
from fescueyard.core import logs
from fescueyard.transport import backend_connection

LOG = logs.ComponentLogger("backend")

CONNECT_TIMEOUT_S = 0.5
# A request that must not run twice goes on a connection used just now, since
# a backend server may drop an idle one without notice.
NON_IDEMPOTENT_IDLE_MAX_S = 1.5
_BODYLESS_METHODS = ("GET", "HEAD")


class BackendClient:
    """Keeps connections to the VM's backend server and runs requests.

    :param connections_max: most connections at once.
    :param response_bytes_max: largest response accepted.
    :param names: :class:`~fescueyard.core.headers.HeaderNames`.
    """

    def __init__(
        self,
        connections_max,
        response_bytes_max,
        names=header_names.HeaderNames(),
    ):
        self.response_bytes_max = response_bytes_max
        self.names = names
        self.connections_opened = 0
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
        :returns: future of a
            :class:`~fescueyard.transport.backend_connection.BackendResult`;
            cancel it with :meth:`cancel`.
        """
        address = base_url.removeprefix("http://")
        transfer = backend_connection.Transfer(
            request,
            _serialise_head(request, address),
            request.header(self.names.request_id) or "",
            request.header(self.names.expected_instance) is not None,
            concurrent.futures.Future(),
        )
        transfer.future.transfer = transfer
        connection = self._pop_idle(address, idempotent)
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

    def add_idle(self, connection):
        """Keep a connection for the next request."""
        connection.idle_since_s = self._loop.time()
        self._idle.setdefault(connection.address, []).append(connection)

    def remove(self, connection):
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

    def _pop_idle(self, address, idempotent):
        idle = self._idle.get(address)
        now_s = self._loop.time()
        while idle:
            connection = idle.pop()
            idle_s = now_s - connection.idle_since_s
            limit_s = connection.idle_max_s
            if not idempotent:
                limit_s = min(limit_s, NON_IDEMPOTENT_IDLE_MAX_S)
            if connection.usable and idle_s < limit_s:
                return connection
            connection.abort()
        return None

    async def _probe(self, address):
        connection = await self._open_connection(address)
        if connection is None:
            return False
        if connection.usable:
            self.add_idle(connection)
        return True

    async def _open_connection(self, address):
        host, _, port = address.rpartition(":")
        connecting = self._loop.create_connection(
            lambda: backend_connection.Connection(self, address),
            host,
            int(port),
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
        self.connections_opened += 1
        self._open.add(connection)
        return connection

    async def _connect(self, address, transfer):
        if len(self._open) >= self._connections_max:
            self._fail_unsent(transfer)
            return
        connection = await self._open_connection(address)
        if connection is None:
            self._fail_unsent(transfer)
            return
        if transfer.cancelled:
            self.add_idle(connection)
        elif connection.usable:
            connection.start(transfer)
        else:
            self._fail_unsent(transfer)

    def _fail_unsent(self, transfer):
        """Report a request of which no byte was written."""
        if not transfer.cancelled:
            transfer.future.set_result(
                backend_connection.BackendResult(None, codes.CONNECT_FAILED)
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
