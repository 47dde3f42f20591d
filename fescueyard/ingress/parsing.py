"""Parse a caller's request: service, deadline, priority, call token."""

import dataclasses
import hashlib

from fescueyard.admission import run_headers
from fescueyard.admission import systems as admission
from fescueyard.configuration import models as configuration_models
from fescueyard.core import codes
from fescueyard.core import exceptions
from fescueyard.core import http
from fescueyard.core import text
from fescueyard.ingress import models
from fescueyard.keys import systems as keys
from fescueyard.retries import messages as retry_messages
from fescueyard.retries import systems as retries

IDEMPOTENCY_HEADER = "idempotency-key"
IDEMPOTENCY_KEY_LENGTH_MAX = 255
DEADLINE_MAX_MS = 86_400_000
NUMBER_DIGITS_MAX = 9


@dataclasses.dataclass(slots=True)
class _CallContext:
    """Context inherited from the parent run, or of a new chain."""

    identity: keys.Identity
    priority: int
    deadline_at_ms: float
    chain: retry_messages.Chain
    parent_run_id: int | None


def parse(tables, exchange_id, request, from_backend, now_ms):
    """Build a call from a request addressed to a service by its path.

    :param tables: the node's tables.
    :param exchange_id: HTTP exchange.
    :param request: :class:`~fescueyard.core.http.HttpRequest`.
    :param from_backend: whether it arrived at the listener for the backend
        server.
    :param now_ms: the present time.
    :returns: :class:`~fescueyard.ingress.models.Call`.
    :raises RequestError: when the request is rejected.
    """
    name, target = _split_service_path(request.target)
    service, profile = _find_service(tables, name)
    token = request.header(run_headers.TOKEN_HEADER) if from_backend else None
    if token:
        context = _continue_chain(tables, token, request, profile, now_ms)
    else:
        context = _start_chain(
            tables, service, profile, request, target, now_ms
        )
    _check_service_allowed(tables, context.identity.customer, name)
    cleaned = keys.sanitize_request(request, target)
    table = tables.calls
    table.last_call_id += 1
    request_id = _ensure_request_id(tables, cleaned, context.chain)
    return models.Call(
        call_id=table.last_call_id,
        exchange_id=exchange_id,
        service=name,
        request=cleaned,
        idempotent=request.method in service.idempotent_methods,
        idempotency_key=_idempotency_key(request),
        customer=context.identity.customer,
        key_id=context.identity.key_id,
        priority=context.priority,
        started_at_ms=now_ms,
        deadline_at_ms=context.deadline_at_ms,
        chain=context.chain,
        fingerprint=fingerprint(name, cleaned, context.identity.customer),
        parent_run_id=context.parent_run_id,
        request_id=request_id,
    )


def check_head(tables, head, from_backend, now_ms):
    """Check service and key of a request before its body is read.

    :param tables: the node's tables.
    :param head: :class:`~fescueyard.core.http.HttpRequest` without its body.
    :param from_backend: whether it arrived at the listener for the backend
        server.
    :param now_ms: the present time.
    :raises RequestError: when the request is rejected.
    """
    name, target = _split_service_path(head.target)
    service, _ = _find_service(tables, name)
    if from_backend and head.header(run_headers.TOKEN_HEADER):
        return
    path = target.partition("?")[0]
    identity = keys.identify(tables, service, head, path, now_ms)
    _check_service_allowed(tables, identity.customer, name)


def _ensure_request_id(tables, cleaned, chain):
    """Return the id of a request; add one to its headers if it has none.

    By the id that a backend server echoes, its response is told from a late
    one to an earlier request.
    """
    name = tables.interface.names.request_id
    request_id = cleaned.header(name)
    if not request_id:
        request_id = f"{chain.chain_id}-{tables.calls.last_call_id}"
        cleaned.headers.append(http.Header(name, request_id))
    return request_id


def _split_service_path(target):
    if not target.startswith("/"):
        raise exceptions.RequestError("the target is no path")
    name, slash, rest = target[1:].partition("/")
    if not slash:
        name, question_mark, query = name.partition("?")
        return name, "/" + question_mark + query
    return name, "/" + rest


def _find_service(tables, name):
    state = tables.configuration.state
    service = state.find(configuration_models.Kind.SERVICE, name)
    if service is None:
        if not state.cluster_id:
            raise exceptions.RequestError("", codes.STALE_CONFIGURATION)
        raise exceptions.RequestError("", codes.UNKNOWN_SERVICE)
    profile = state.find(configuration_models.Kind.PROFILE, service.profile)
    return service, profile


def _start_chain(tables, service, profile, request, target, now_ms):
    """Start a chain for a caller from outside the fleet."""
    path = target.partition("?")[0]
    identity = keys.identify(tables, service, request, path, now_ms)
    deadline_ms = parse_number(
        request, run_headers.DEADLINE_HEADER, profile.deadline_default_ms
    )
    deadline_ms = min(deadline_ms, profile.deadline_max_ms)
    priority = parse_number(
        request, run_headers.PRIORITY_HEADER, profile.priority_default
    )
    priority = max(min(priority, 7), profile.priority_ceiling)
    chain_id = f"{tables.secure_random.getrandbits(96):x}"
    chain = retry_messages.Chain(chain_id, tables.members.own.address, 1)
    deadline_at_ms = now_ms + deadline_ms
    retries.open_ledger(
        tables, chain_id, profile.retry_allowance, deadline_at_ms
    )
    return _CallContext(identity, priority, deadline_at_ms, chain, None)


def _continue_chain(tables, token, request, profile, now_ms):
    """Continue the chain of the run that the call token identifies."""
    run = admission.find_run_by_token(tables, token)
    if run is None:
        raise exceptions.RequestError("", codes.TOKEN_REFUSED)
    forward = run.forward
    depth = forward.chain.depth + 1
    if depth > profile.depth_max:
        raise exceptions.RequestError("", codes.TOO_DEEP)
    remaining_ms = run.deadline_at_ms - now_ms
    deadline_ms = parse_number(
        request, run_headers.DEADLINE_HEADER, remaining_ms
    )
    priority = parse_number(
        request, run_headers.PRIORITY_HEADER, forward.priority
    )
    return _CallContext(
        keys.Identity(forward.customer, forward.key_id),
        max(min(priority, 7), forward.priority, profile.priority_ceiling),
        now_ms + min(deadline_ms, remaining_ms),
        dataclasses.replace(forward.chain, depth=depth),
        run.run_id,
    )


def _check_service_allowed(tables, customer_name, service_name):
    state = tables.configuration.state
    customer = state.find(configuration_models.Kind.CUSTOMER, customer_name)
    if customer is None or not customer.services:
        return
    if service_name not in customer.services:
        raise exceptions.RequestError("", codes.SERVICE_FORBIDDEN)


def parse_number(request, name, default):
    """Parse a header with a non-negative integer.

    :param request: :class:`~fescueyard.core.http.HttpRequest`.
    :param name: lower-case name of the header.
    :param default: the value if the header is missing.
    :returns: the number, at most :data:`DEADLINE_MAX_MS`, or the default.
    :raises RequestError: when the header is not a non-negative integer of at
        most nine digits.
    """
    value = request.header(name)
    if value is None:
        return default
    if not text.is_decimal(value) or len(value) > NUMBER_DIGITS_MAX:
        raise exceptions.RequestError(
            f"{name} is no whole number", codes.BAD_HEADER
        )
    return min(int(value), DEADLINE_MAX_MS)


def _idempotency_key(request):
    key = request.header(IDEMPOTENCY_HEADER) or ""
    if len(key) > IDEMPOTENCY_KEY_LENGTH_MAX:
        raise exceptions.RequestError(
            f"{IDEMPOTENCY_HEADER} is too long", codes.BAD_HEADER
        )
    return key


def fingerprint(service, request, customer):
    """Digest the parts of a request by which a resend is recognised.

    :param service: name of the service.
    :param request: cleaned :class:`~fescueyard.core.http.HttpRequest`.
    :param customer: the customer it runs for; for a routed call without one,
        the service of the node that received it.
    :returns: bytes.
    """
    digest = hashlib.blake2b(digest_size=16)
    for part in (customer, service, request.method, request.target):
        digest.update(part.encode() + b"\0")
    digest.update(request.body)
    return digest.digest()
