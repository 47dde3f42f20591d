"""Routes by host and longest path prefix, with weighted parts."""

import dataclasses

from fescueyard.configuration import models as configuration_models


@dataclasses.dataclass(slots=True)
class RouteState:
    """A route and how far each part is behind its weight.

    :param name: name of the route.
    :param route: :class:`~fescueyard.configuration.models.Route`.
    :param credits: by service; the highest one is chosen next.
    """

    name: str
    route: configuration_models.Route
    credits: dict[str, float] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass
class RouteTable:
    """Index of the configured routes.

    :param version: version of the configuration that it was built from.
    :param by_host: rows of each host, longest prefix first.
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
    for row in table.by_host.get(host.lower(), ()):
        if path.startswith(row.route.path_prefix):
            return row
    return None


def choose_service(row):
    """Choose the service of a request by the weights of the route's parts.

    Each part earns its weight with every request and pays the sum of all when
    it is chosen, so that shares hold over any short span.

    :param row: :class:`RouteState`.
    :returns: name of the service, or None when every weight is 0.
    """
    parts = row.route.parts
    if len(parts) == 1:
        return parts[0].service if parts[0].weight else None
    total = sum(part.weight for part in parts)
    if not total:
        return None
    best = None
    for part in parts:
        if not part.weight:
            continue
        row.credits[part.service] = (
            row.credits.get(part.service, 0.0) + part.weight
        )
        if best is None or row.credits[part.service] > row.credits[best]:
            best = part.service
    row.credits[best] -= total
    return best


def _rebuild(table, state):
    known = {}
    for rows in table.by_host.values():
        for row in rows:
            known[row.name] = row
    by_host = {}
    routes = state.objects[configuration_models.Kind.ROUTE]
    for name, route in routes.items():
        row = known.get(name)
        if row is None or row.route != route:
            row = RouteState(name, route)
        by_host.setdefault(route.host.lower(), []).append(row)
    for rows in by_host.values():
        rows.sort(key=lambda row: -len(row.route.path_prefix))
    table.by_host = by_host
    table.version = state.version
