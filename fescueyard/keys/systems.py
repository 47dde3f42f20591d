"""Authentication of requests by the customer key that they carry."""

import dataclasses
import hashlib
import re

from fescueyard.configuration import models as configuration_models
from fescueyard.configuration import replica
from fescueyard.core import codes
from fescueyard.core import exceptions
from fescueyard.core import http

KEY_HEADER = "authorization"
# Keys have a fixed form, so that a misplaced key is recognised too.
KEY_PATTERN = re.compile(r"fyk_[A-Za-z0-9_-]{20,}")
_KEY_BYTES_PATTERN = re.compile(rb"fyk_[A-Za-z0-9_-]{20,}")
_HOP_BY_HOP = frozenset(
    {
        "connection",
        "content-length",
        "expect",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "proxy-connection",
        "transfer-encoding",
        "upgrade",
    }
)
_NOT_FORWARDED = _HOP_BY_HOP | {KEY_HEADER}
_RESERVED_PREFIX = "fescueyard-"


@dataclasses.dataclass(frozen=True, slots=True)
class Identity:
    """The customer that a request runs for.

    :param customer: name of the customer; empty on an open route.
    :param key_id: name of the key; empty on an open route.
    """

    customer: str
    key_id: str


ANONYMOUS = Identity("", "")


def identify(tables, service, request, path, now_ms):
    """Return the identity behind a caller's request.

    :param tables: the node's tables.
    :param service: :class:`~fescueyard.configuration.models.Service`.
    :param request: :class:`~fescueyard.core.http.HttpRequest`.
    :param path: path within the service.
    :param now_ms: the present time.
    :returns: :class:`Identity`.
    :raises RequestError: when the route needs a key and there is none, or
        the key is unknown, withdrawn or can't be confirmed.
    """
    if _is_open_route(service, path):
        return ANONYMOUS
    profile = tables.configuration.state.find(
        configuration_models.Kind.PROFILE, service.profile
    )
    return identify_key(tables, profile, request, now_ms)


def identify_key(tables, profile, request, now_ms):
    """Return the identity behind a request that needs a key.

    :param tables: the node's tables.
    :param profile: :class:`~fescueyard.configuration.models.Profile` that
        limits the age of the configuration that confirms a key.
    :param request: :class:`~fescueyard.core.http.HttpRequest`.
    :param now_ms: the present time.
    :returns: :class:`Identity`.
    :raises RequestError: when there is no key, or it is unknown, withdrawn
        or can't be confirmed.
    """
    key = _bearer_key(request)
    # Only the hash of a key is looked up, so timing reveals nothing.
    sha256 = hashlib.sha256(key.encode()).hexdigest() if key else ""
    return identify_sha256(tables, profile, sha256, now_ms)


def identify_sha256(tables, profile, sha256, now_ms):
    """Return the identity behind the hash of a key.

    :param tables: the node's tables.
    :param profile: see :func:`identify_key`.
    :param sha256: SHA-256 of the key, in hexadecimal; empty for no key.
    :param now_ms: the present time.
    :returns: :class:`Identity`.
    :raises RequestError: see :func:`identify_key`.
    """
    if not sha256:
        raise exceptions.RequestError("", codes.KEY_MISSING)
    state = tables.configuration.state
    age_ms = replica.age_ms(tables.configuration, now_ms)
    if age_ms > profile.key_staleness_max_ms:
        raise exceptions.RequestError("", codes.STALE_CONFIGURATION)
    key_id = tables.configuration.keys_by_sha256.get(sha256)
    if key_id is None:
        raise exceptions.RequestError("", codes.KEY_REFUSED)
    key_object = state.find(configuration_models.Kind.KEY, key_id)
    return Identity(key_object.customer, key_id)


def sanitize_request(request, target, reserved_names=frozenset()):
    """Return the request in the form that other processes may receive.

    Keys, the caller's fescueyard headers and hop-by-hop headers are removed.

    :param request: the caller's request.
    :param target: path and query within the service.
    :param reserved_names: further headers that only the system sets.
    :returns: :class:`~fescueyard.core.http.HttpRequest`.
    :raises RequestError: when the target or body holds a key.
    """
    if KEY_PATTERN.search(target) or _KEY_BYTES_PATTERN.search(request.body):
        raise exceptions.RequestError(
            "a key belongs in the Authorization header only"
        )
    headers = _forwarded_headers(request.headers, reserved_names)
    return http.HttpRequest(request.method, target, headers, request.body)


def sanitize_response_headers(headers):
    """Remove headers that may not go back to the caller.

    :param headers: headers of the backend server's response.
    :returns: list of the other headers.
    """
    return _forwarded_headers(headers, frozenset())


def _is_open_route(service, path):
    for prefix in service.open_routes:
        if path == prefix or path.startswith(prefix.rstrip("/") + "/"):
            return True
    return False


def _bearer_key(request):
    scheme, _, key = (request.header(KEY_HEADER) or "").partition(" ")
    return key.strip() if scheme.lower() == "bearer" else ""


def _forwarded_headers(headers, reserved_names):
    """Return the headers that may leave this process.

    :param headers: list of :class:`~fescueyard.core.http.Header`.
    :param reserved_names: names of further headers to remove.
    :returns: list of the other headers.
    """
    kept = []
    listed_names = None
    for header in headers:
        name = header.name
        if name == "connection":
            listed_names = (listed_names or set()) | _listed_names(header)
        elif not (
            name in _NOT_FORWARDED
            or name in reserved_names
            or name.startswith(_RESERVED_PREFIX)
        ):
            kept.append(header)
    if listed_names:
        kept = [header for header in kept if header.name not in listed_names]
    # A key can't reach over a line break, so one search covers all values.
    values = "\n".join([header.value for header in kept])
    if KEY_PATTERN.search(values):
        kept = [
            header for header in kept if not KEY_PATTERN.search(header.value)
        ]
    return kept


def _listed_names(header):
    """Return the names of headers that a Connection header lists."""
    return {name.strip().lower() for name in header.value.split(",")}
