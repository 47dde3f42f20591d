"""HTTP client towards the VM's own backend server.

Connections are pooled and reused, the most recently used first. A request is
written once: this client never retries, whatever happens to the connection.
libcurl does retry when a pooled connection turns out to be closed, and has no
option to disable this, so the parser of ``httptools`` is used instead.
"""

import asyncio
import concurrent.futures

from fescueyard.core import codes
from fescueyard.core import failures
from fescueyard.core import headers as header_names
from fescueyard.core import logs
from fescueyard.transport import backend_connection
from fescueyard.transport import response_flow
from fescueyard.transport import transfers

LOG = logs.ComponentLogger("backend")

CONNECT_TIMEOUT_S = 0.5
# A request that is not idempotent reuses only a recently used connection,
# since a backend server may close an idle one without notice.
NON_IDEMPOTENT_IDLE_MAX_S = 1.5
_BODYLESS_METHODS = ("GET", "HEAD")


class BackendClient:
    """Pools connections to the VM's backend server and runs requests.

    :param connections_max: maximum number of open connections.
    :param response_bytes_max: maximum size of a response body.
    :param names: :class:`~fescueyard.core.headers.HeaderNames`.
    :param requires_echo: whether each successful response has to echo the id
        of its request; otherwise only those of a server that has echoed one.
    :param connection_lost: function that is called when the backend server
        closes an idle connection.
    :param memory: account that counts unfinished responses, a
        :class:`~fescueyard.transport.memory_account.MemoryAccount`; None for
        none.
    """

    def __init__(
        self,
        connections_max,
        response_bytes_max,
        names=header_names.HeaderNames(),
        requires_echo=True,
        connection_lost=lambda: None,
        memory=None,
    ):
        self.flow = response_flow.ResponseFlow(memory)
        self.response_bytes_max = response_bytes_max
        self.names = names
        self.requires_echo = requires_echo
        self._connection_lost = connection_lost
        self.echoing_addresses = set()
        self.connections_opened = 0
        self._connections_max = connections_max
        self._loop = asyncio.get_running_loop()
        self._idle = {}
        self._open = set()
        self._opening = 0
        self._tasks = set()

    def fetch(self, base_url, request, idempotent):
        """Start a request.

        :param base_url: ``http://host:port`` of the backend server.
        :param request: :class:`~fescueyard.core.http.HttpRequest`.
        :param idempotent: whether the request may safely run twice.
        :returns: future of a
            :class:`~fescueyard.transport.transfers.BackendResult`;
            cancel it with :meth:`cancel`.
        """
        address = base_url.removeprefix("http://")
        transfer = transfers.Transfer(
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
        """Check whether the backend server accepts connections.

        :param base_url: ``http://host:port`` of the backend server.
        :returns: task whose result is a bool.
        """
        address = base_url.removeprefix("http://")
        return self._loop.create_task(self._probe(address))

    def cancel(self, future):
        """Abort a request; its future gets no result.

        :param future: what :meth:`fetch` returned.
        """
        transfer = future.transfer
        transfer.cancelled = True
        if transfer.connection is not None:
            transfer.connection.abort()

    def add_idle(self, connection):
        """Return a connection to the pool."""
        connection.idle_since_s = self._loop.time()
        self._idle.setdefault(connection.address, []).append(connection)

    def remove(self, connection):
        """Remove a closed connection from the pool."""
        self._open.discard(connection)
        idle = self._idle.get(connection.address, [])
        if connection in idle:
            idle.remove(connection)
        if not connection.aborted and connection.is_idle():
            self._connection_lost()

    def close(self):
        """Close the idle connections."""
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
        try:
            connecting = self._loop.create_connection(
                lambda: backend_connection.Connection(self, address),
                host,
                int(port),
            )
            _, connection = await asyncio.wait_for(
                connecting, CONNECT_TIMEOUT_S
            )
        except (OSError, asyncio.TimeoutError) as error:
            LOG.info(
                "connect_failed", address=address, error=type(error).__name__
            )
            return None
        except Exception as error:
            failures.contain(LOG, "connect_failed", error, address=address)
            return None
        self.connections_opened += 1
        self._open.add(connection)
        return connection

    async def _connect(self, address, transfer):
        if len(self._open) + self._opening >= self._connections_max:
            self._fail_unsent(transfer)
            return
        self._opening += 1
        try:
            connection = await self._open_connection(address)
        finally:
            self._opening -= 1
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
        """Fail a request of which no byte was written."""
        if not transfer.cancelled:
            transfer.future.set_result(
                transfers.BackendResult(None, codes.CONNECT_FAILED)
            )


def _serialise_head(request, address):
    lines = [f"{request.method} {request.target} HTTP/1.1"]
    if request.header("host") is None:
        lines.append(f"host: {address}")
    lines += [f"{field.name}: {field.value}" for field in request.headers]
    if request.body or request.method not in _BODYLESS_METHODS:
        lines.append(f"content-length: {len(request.body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")
