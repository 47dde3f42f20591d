"""The HTTP listeners of a node."""

import dataclasses

from fescueyard.configuration import models as configuration_models
from fescueyard.core import addresses
from fescueyard.transport import client_guard
from fescueyard.transport import http_server

# Messages of the platform's backend servers, which are below 4 KiB.
BACKEND_BODY_BYTES_MAX = 256 * 1024


@dataclasses.dataclass(frozen=True)
class Handlers:
    """Handlers of a node's listeners.

    :param callers: of the listener for callers.
    :param backend: of the listener for the backend server.
    :param ready: of the readiness probes.
    :param metrics: of the metrics.
    """

    callers: object
    backend: object
    ready: object
    metrics: object


class NodeListeners:
    """All HTTP listeners of a node.

    :param settings: :class:`~fescueyard.conf.settings.NodeSettings`.
    :param handlers: :class:`Handlers`.
    :param backend_body_bytes_max: maximum size of a body that the backend
        server sends.
    """

    def __init__(self, settings, handlers, backend_body_bytes_max):
        self._settings = settings
        body_bytes_max = max(
            settings.body_bytes_max, settings.answer_bytes_max
        )
        self.guard = client_guard.new_guard(settings, body_bytes_max)
        self.callers = self._new_server(
            handlers.callers, settings.body_bytes_max
        )
        self.backend = self._new_server(
            handlers.backend, backend_body_bytes_max, uses_reserve=True
        )
        self.ready = self._new_server(
            handlers.ready, settings.body_bytes_max, uses_reserve=True
        )
        self.metrics = self._new_server(
            handlers.metrics, settings.body_bytes_max
        )
        self.all = (self.callers, self.backend, self.ready, self.metrics)

    async def listen(self):
        """Open all listeners."""
        settings = self._settings
        await self.callers.listen(addresses.parse(settings.caller_address))
        await self.backend.listen(addresses.parse(settings.backend_address))
        if settings.ready_address:
            await self.ready.listen(addresses.parse(settings.ready_address))
        await http_server.serve_metrics(self.metrics, settings.metrics_address)

    def apply_limits(self, state):
        """Apply the limits of a configuration to the callers' listener.

        :param state: the configuration.
        """
        listener = state.find(
            configuration_models.Kind.LISTENER,
            configuration_models.CALLERS_LISTENER,
        )
        if listener is None:
            return
        limits = self.callers.limits
        limits.header_bytes_max = listener.header_bytes_max
        limits.body_bytes_max = min(
            listener.body_bytes_max, self._settings.body_bytes_max
        )
        limits.header_timeout_s = listener.header_timeout_ms / 1000
        limits.idle_timeout_s = listener.idle_timeout_ms / 1000

    def have_unsent_bytes(self):
        """Return whether a caller has still to read a part of a response.

        :returns: bool.
        """
        return (
            self.callers.has_unsent_bytes() or self.backend.has_unsent_bytes()
        )

    def stop_accepting(self):
        """Stop accepting connections at all listeners."""
        for server in self.all:
            server.stop_accepting()

    def close_when_idle(self):
        """Close each connection once it is idle."""
        for server in self.all:
            server.close_when_idle()

    def _new_server(self, handler, body_bytes_max, uses_reserve=False):
        server = http_server.HttpServer(
            handler, body_bytes_max, self.guard, uses_reserve
        )
        server.limits.header_fields_max = self._settings.header_fields_max
        return server
