"""Parse a caller's request by the configured routes."""

from fescueyard.configuration import models as configuration_models
from fescueyard.configuration import replica
from fescueyard.core import codes
from fescueyard.core import exceptions
from fescueyard.ingress import models
from fescueyard.ingress import parsing
from fescueyard.keys import systems as keys
from fescueyard.pressure import entry
from fescueyard.retries import messages as retry_messages
from fescueyard.routing import routes

# A local copy of the configuration older than this may lack a new route or
# key, so nothing is rejected as unknown on its basis.
STALE_CONFIGURATION_AGE_MS = 1_800
PRIORITY_LOWEST = 7
CUSTOMER_PRIORITY_STEP = PRIORITY_LOWEST + 1
BACKEND_CALL_PRIORITY = -1


def parse(tables, exchange_id, request, now_ms):
    """Build a call from a request that matches a route.

    :param tables: the node's tables.
    :param exchange_id: HTTP exchange.
    :param request: :class:`~fescueyard.core.http.HttpRequest`.
    :param now_ms: the present time.
    :returns: :class:`~fescueyard.ingress.models.Call`.
    :raises RequestError: when the request is rejected.
    """
    names = tables.interface.names
    path = request.target.partition("?")[0]
    route_state = find_route(
        tables, request.header("host") or "", path, now_ms
    )
    route = route_state.route
    service = choose_service(route_state)
    identity = identify(
        tables,
        route,
        lambda: keys.identify_key(
            tables, tables.profile_of(service), request, now_ms
        ),
        now_ms,
    )
    requested_ms = parsing.parse_number(
        request, names.deadline_ms, route.timeout_ms
    )
    timeout_ms = min(requested_ms, route.timeout_ms)
    priority = combine_priorities(tables, route, identity)
    cleaned = keys.sanitize_request(request, request.target, names.reserved())
    table = tables.calls
    table.last_call_id += 1
    return models.Call(
        call_id=table.last_call_id,
        exchange_id=exchange_id,
        service=service,
        request=cleaned,
        idempotent=route.idempotent,
        idempotency_key="",
        customer=identity.customer,
        key_id=identity.key_id,
        priority=priority,
        started_at_ms=now_ms,
        deadline_at_ms=now_ms + timeout_ms,
        chain=retry_messages.Chain("", tables.members.own.address, 1),
        fingerprint=parsing.fingerprint(
            service, cleaned, identity.customer or tables.own_service()
        ),
        parent_run_id=None,
        request_id=request.header(names.request_id) or "",
        route=route_state.name,
        caller_service=tables.own_service(),
        attempts_max=route.attempts_max,
        objective_ms=route.objective_ms,
        is_backend_call=route.public,
        shed_rank=entry.rank_request(
            tables.pressure,
            route_state.name,
            priority,
            requested_ms,
            route.objective_ms,
        ),
    )


def check_head(tables, head, now_ms):
    """Check route and key of a request before its body is read.

    :param tables: the node's tables.
    :param head: :class:`~fescueyard.core.http.HttpRequest` without its body.
    :param now_ms: the present time.
    :raises RequestError: when the request is rejected.
    """
    path = head.target.partition("?")[0]
    route = find_route(tables, head.header("host") or "", path, now_ms).route
    # Choosing a part would count in the round-robin. The most lenient profile
    # refuses no request that one of the parts would accept.
    profile = max(
        (tables.profile_of(part.service) for part in route.parts),
        key=lambda each: each.key_staleness_max_ms,
        default=tables.default_profile,
    )
    identify(
        tables,
        route,
        lambda: keys.identify_key(tables, profile, head, now_ms),
        now_ms,
    )


def find_route(tables, host, path, now_ms):
    """Find the route of a request.

    :param tables: the node's tables.
    :param host: value of the ``Host`` header.
    :param path: path of the request, without its query.
    :param now_ms: the present time.
    :returns: :class:`~fescueyard.routing.routes.RouteState`.
    :raises RequestError: when there is no such route.
    """
    state = tables.configuration.state
    if not state.objects[configuration_models.Kind.ROUTE]:
        raise exceptions.RequestError("", codes.STALE_CONFIGURATION)
    route_state = routes.match(tables.routes, state, host, path)
    if route_state is None:
        _reject_unknown(tables, codes.UNKNOWN_ROUTE, now_ms)
    return route_state


def choose_service(route_state):
    """Choose the service of a request.

    :param route_state: :class:`~fescueyard.routing.routes.RouteState`.
    :returns: name of the service.
    :raises RequestError: when no service of the route takes requests.
    """
    service = routes.choose_service(route_state)
    if service is None:
        raise exceptions.RequestError("", codes.NO_BACKEND)
    return service


def identify(tables, route, identify_key, now_ms):
    """Return the identity behind a request on a route.

    :param tables: the node's tables.
    :param route: :class:`~fescueyard.configuration.models.Route`.
    :param identify_key: function that returns the
        :class:`~fescueyard.keys.systems.Identity` behind the request's key.
    :param now_ms: the present time.
    :returns: :class:`~fescueyard.keys.systems.Identity`.
    :raises RequestError: when the route needs a key and it is not accepted.
    """
    if route.public or not _has_customers(tables):
        return keys.ANONYMOUS
    try:
        return identify_key()
    except exceptions.RequestError as error:
        if error.code is not codes.KEY_REFUSED:
            raise
        return _reject_unknown(tables, codes.KEY_REFUSED, now_ms)


def _has_customers(tables):
    state = tables.configuration.state
    return bool(state.objects[configuration_models.Kind.CUSTOMER])


def _reject_unknown(tables, code, now_ms):
    """Reject an unknown route or key, or report a stale configuration."""
    age_ms = replica.age_ms(tables.configuration, now_ms)
    if age_ms > STALE_CONFIGURATION_AGE_MS:
        raise exceptions.RequestError(
            "this node's configuration may be out of date",
            codes.STALE_CONFIGURATION,
        )
    raise exceptions.RequestError("", code)


def combine_priorities(tables, route, identity):
    """Combine priorities: the customer's first, then the route's.

    :param tables: the node's tables.
    :param route: :class:`~fescueyard.configuration.models.Route`.
    :param identity: :class:`~fescueyard.keys.systems.Identity`.
    :returns: priority of the request; the lowest is the most important.
    """
    if route.public:
        # Backend servers use public routes for calls of work in progress,
        # which takes precedence over new work.
        return BACKEND_CALL_PRIORITY
    customer = tables.configuration.state.find(
        configuration_models.Kind.CUSTOMER, identity.customer
    )
    priority = min(route.priority, PRIORITY_LOWEST)
    if customer is not None and customer.priority is not None:
        priority += CUSTOMER_PRIORITY_STEP * customer.priority
    return priority
