"""The HTTP listeners of a control process."""

from fescueyard.core import addresses
from fescueyard.transport import client_guard
from fescueyard.transport import http_server

ADMIN_BODY_BYTES_MAX = 16 * 1024 * 1024


class ControlListeners:
    """All HTTP listeners of a control process.

    :param settings: :class:`~fescueyard.conf.settings.ControlSettings`.
    :param admin_handler: handler of the administration API.
    :param metrics_handler: handler of the metrics.
    """

    def __init__(self, settings, admin_handler, metrics_handler):
        self._settings = settings
        self.guard = client_guard.new_guard(settings, ADMIN_BODY_BYTES_MAX)
        self.admin = self._new_server(admin_handler, uses_reserve=True)
        self.metrics = self._new_server(metrics_handler, uses_reserve=False)

    async def listen(self):
        """Open all listeners."""
        settings = self._settings
        await self.admin.listen(addresses.parse(settings.admin_address))
        await http_server.serve_metrics(self.metrics, settings.metrics_address)

    def close_when_idle(self):
        """Close each connection once it is idle."""
        self.admin.close_when_idle()
        self.metrics.close_when_idle()

    def _new_server(self, handler, uses_reserve):
        server = http_server.HttpServer(
            handler, ADMIN_BODY_BYTES_MAX, self.guard, uses_reserve
        )
        server.limits.header_fields_max = self._settings.header_fields_max
        return server
