"""Routing by host and longest path prefix, with weighted traffic splits."""

import dataclasses

from fescueyard.configuration import models as configuration_models


@dataclasses.dataclass(slots=True)
class RouteState:
    """A route and the state of its smooth weighted round-robin.

    :param name: name of the route.
    :param route: :class:`~fescueyard.configuration.models.Route`.
    :param credits: how far each part is behind its weight, by service; the
        highest one is chosen next.
    """

    name: str
    route: configuration_models.Route
    credits: dict[str, float] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass
class RouteTable:
    """Index of the configured routes.

    :param version: version of the configuration that it was built from.
    :param by_host: routes of each host, longest prefix first.
    """

    version: int = -1
    by_host: dict[str, list[RouteState]] = dataclasses.field(
        default_factory=dict
    )


def match(table, state, host, path):
    """Find the route of a request.

    :param table: :class:`RouteTable`, rebuilt when the configuration changed.
    :param state: the configuration.
    :param host: value of the ``Host`` header.
    :param path: path of the request, without its query.
    :returns: :class:`RouteState`, or None.
    """
    if table.version != state.version:
        _rebuild(table, state)
    for route_state in table.by_host.get(host.lower(), ()):
        if path.startswith(route_state.route.path_prefix):
            return route_state
    return None


def choose_service(route_state):
    """Choose the service of a request by the weights of the route's parts.

    Smooth weighted round-robin: with every request each part gains its weight
    as credit, and the chosen part is charged the sum of all weights, so that
    the shares also hold over short spans.

    :param route_state: :class:`RouteState`.
    :returns: name of the service, or None when every weight is 0.
    """
    parts = route_state.route.parts
    if len(parts) == 1:
        return parts[0].service if parts[0].weight else None
    total_weight = sum(part.weight for part in parts)
    if not total_weight:
        return None
    best = None
    for part in parts:
        if not part.weight:
            continue
        route_state.credits[part.service] = (
            route_state.credits.get(part.service, 0.0) + part.weight
        )
        if (
            best is None
            or route_state.credits[part.service] > route_state.credits[best]
        ):
            best = part.service
    route_state.credits[best] -= total_weight
    return best


def _rebuild(table, state):
    route_states_by_name = {}
    for route_states in table.by_host.values():
        for route_state in route_states:
            route_states_by_name[route_state.name] = route_state
    by_host = {}
    routes = state.objects[configuration_models.Kind.ROUTE]
    for name, route in routes.items():
        route_state = route_states_by_name.get(name)
        if route_state is None or route_state.route != route:
            route_state = RouteState(name, route)
        by_host.setdefault(route.host.lower(), []).append(route_state)
    for route_states in by_host.values():
        route_states.sort(
            key=lambda route_state: -len(route_state.route.path_prefix)
        )
    table.by_host = by_host
    table.version = state.version
