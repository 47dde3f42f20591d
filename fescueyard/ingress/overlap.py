"""Which requests of one connection may run at the same time.

A caller that sends several requests without waiting relies on their order only
where one of them changes something.
"""

from fescueyard.configuration import models as configuration_models
from fescueyard.routing import routes


def may_overlap(tables, request):
    """Return whether a request may run beside others of its connection.

    :param tables: the node's tables.
    :param request: :class:`~fescueyard.core.http.HttpRequest`.
    :returns: whether it is idempotent, or goes to no backend server at all.
    """
    state = tables.configuration.state
    if tables.routed:
        path = request.target.partition("?")[0]
        route_state = routes.match(
            tables.routes, state, request.header("host") or "", path
        )
        return route_state is None or route_state.route.idempotent
    name = request.target.lstrip("/").partition("?")[0].partition("/")[0]
    service = state.find(configuration_models.Kind.SERVICE, name)
    return service is None or request.method in service.idempotent_methods
