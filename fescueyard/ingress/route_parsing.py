"""Reads a caller's request by the configured routes."""

from fescueyard.configuration import models as configuration_models
from fescueyard.configuration import replica
from fescueyard.core import codes
from fescueyard.core import exceptions
from fescueyard.ingress import models
from fescueyard.ingress import parsing
from fescueyard.keys import systems as keys
from fescueyard.pressure import door
from fescueyard.retries import messages as retry_messages
from fescueyard.routing import routes

# A copy this old is no ground to call a route or key unknown.
STALE_CONFIGURATION_AGE_MS = 1_800
PRIORITY_LOWEST = 7
CUSTOMER_PRIORITY_STEP = PRIORITY_LOWEST + 1
BACKEND_CALL_PRIORITY = -1


def parse(tables, exchange_id, request, now_ms):
    """Turn a request into a call.

    :param tables: the node's tables.
    :param exchange_id: HTTP exchange.
    :param request: :class:`~fescueyard.core.http.HttpRequest`.
    :param now_ms: the present time.
    :returns: :class:`~fescueyard.ingress.models.Call`.
    :raises RequestError: when the request is refused.
    """
    names = tables.interface.names
    row = _find_route(tables, request, now_ms)
    route = row.route
    service = routes.choose_service(row)
    if service is None:
        raise exceptions.RequestError("", codes.NO_BACKEND)
    profile = tables.profile_of(service)
    identity = _identify(tables, route, profile, request, now_ms)
    left_ms = parsing.parse_number(
        request, names.deadline_ms, route.timeout_ms
    )
    timeout_ms = min(left_ms, route.timeout_ms)
    priority = _priority(tables, route, identity)
    cleaned = keys.sanitize_request(request, request.target, names.own())
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
        route=row.name,
        caller_service=tables.own_service(),
        attempts_max=route.attempts_max,
        objective_ms=route.objective_ms,
        is_backend_call=route.public,
        shed_rank=door.rank(
            tables.pressure, row.name, priority, left_ms, route.objective_ms
        ),
    )


def _find_route(tables, request, now_ms):
    state = tables.configuration.state
    if not state.objects[configuration_models.Kind.ROUTE]:
        raise exceptions.RequestError("", codes.STALE_CONFIGURATION)
    path = request.target.partition("?")[0]
    row = routes.match(
        tables.routes, state, request.header("host") or "", path
    )
    if row is None:
        _reject_unknown(tables, codes.UNKNOWN_ROUTE, now_ms)
    return row


def _identify(tables, route, profile, request, now_ms):
    if route.public or not _has_customers(tables):
        return keys.ANONYMOUS
    try:
        return keys.identify_key(tables, profile, request, now_ms)
    except exceptions.RequestError as error:
        if error.code is not codes.KEY_REFUSED:
            raise
        return _reject_unknown(tables, codes.KEY_REFUSED, now_ms)


def _has_customers(tables):
    state = tables.configuration.state
    return bool(state.objects[configuration_models.Kind.CUSTOMER])


def _reject_unknown(tables, code, now_ms):
    """Refuse what this copy does not hold; an old copy can't be sure."""
    age_ms = replica.age_ms(tables.configuration, now_ms)
    if age_ms > STALE_CONFIGURATION_AGE_MS:
        raise exceptions.RequestError(
            "this node's configuration may be out of date",
            codes.STALE_CONFIGURATION,
        )
    raise exceptions.RequestError("", code)


def _priority(tables, route, identity):
    """Order by the customer's priority first, then by the route's."""
    if route.public:
        # Work that has begun goes before new work.
        return BACKEND_CALL_PRIORITY
    customer = tables.configuration.state.find(
        configuration_models.Kind.CUSTOMER, identity.customer
    )
    priority = min(route.priority, PRIORITY_LOWEST)
    if customer is not None and customer.priority is not None:
        priority += CUSTOMER_PRIORITY_STEP * customer.priority
    return priority
