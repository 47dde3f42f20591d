"""The operators' configuration as a document of the project's objects."""

import dataclasses
import hashlib
import re
import typing

import pydantic

from fescueyard.configuration import models
from fescueyard.configuration import state
from fescueyard.core import exceptions

PROFILE = "standard"
FIRM = "everyone"
_OPEN = pydantic.ConfigDict(extra="ignore", strict=True)
_VERSION = re.compile(r"r([0-9]{1,18})")
_KINDS = {"safe": True, "unsafe": False}
_KEY_NAME_DIGITS = 24


@dataclasses.dataclass(frozen=True)
class _Part:
    __pydantic_config__ = _OPEN

    Service: str
    Weight: typing.Annotated[float, pydantic.Field(ge=0)]


@dataclasses.dataclass(frozen=True)
class _Route:
    __pydantic_config__ = _OPEN

    Name: str
    Host: typing.Annotated[str, pydantic.Field(min_length=1)]
    PathPrefix: str
    # "safe" requests may run more than once.
    Type: str
    TimeoutMs: typing.Annotated[
        float, pydantic.Field(gt=0, le=models.TIMEOUT_MS_MAX)
    ]
    SloMs: float = 1_000
    Priority: int = 0
    Attempts: int = 1
    Public: bool = False
    Service: str = ""
    TrafficSplit: list[_Part] | None = None


@dataclasses.dataclass(frozen=True)
class _Service:
    __pydantic_config__ = _OPEN

    Name: str
    HealthPath: str = ""
    MaxConns: int = 0


@dataclasses.dataclass(frozen=True)
class _Limits:
    __pydantic_config__ = _OPEN

    MaxHeaderBytes: pydantic.PositiveInt
    MaxBodyBytes: pydantic.NonNegativeInt
    HeaderTimeoutMs: pydantic.PositiveInt
    IdleTimeoutMs: pydantic.PositiveInt


@dataclasses.dataclass(frozen=True)
class _Tenant:
    """A customer."""

    __pydantic_config__ = _OPEN

    Name: str
    ApiKeys: list[str]
    # Goes before the priority of the route.
    Priority: int | None = None
    # 0 means no limit, for both.
    RatePerS: float = 0
    Burst: float = 0


@dataclasses.dataclass(frozen=True)
class _Configuration:
    __pydantic_config__ = _OPEN

    Version: str
    Routes: list[_Route]
    Services: list[_Service]
    Limits: _Limits | None = None
    Tenants: list[_Tenant] = dataclasses.field(default_factory=list)
    # The version that this one builds on.
    BaseVersion: str | int = 0


_ADAPTER = pydantic.TypeAdapter(_Configuration)


@dataclasses.dataclass(frozen=True)
class Parsed:
    """A configuration in the project's terms.

    :param number: its number.
    :param base_number: number of the one it builds on; 0 for none.
    :param objects: rows of
        :class:`~fescueyard.configuration.state.DocumentObject`.
    """

    number: int
    base_number: int
    objects: list[state.DocumentObject]


def parse(body, profile):
    """Read a configuration.

    :param body: JSON bytes.
    :param profile: :class:`~fescueyard.configuration.models.Profile` that all
        services run under.
    :returns: :class:`Parsed`.
    :raises ChangeError: when it is invalid.
    """
    try:
        found = _ADAPTER.validate_json(body)
    except pydantic.ValidationError as error:
        raise exceptions.ChangeError(
            models.format_validation_error(error)
        ) from None
    rows = [
        _row(models.Kind.PROFILE, PROFILE, profile),
        _row(models.Kind.FIRM, FIRM, models.Firm()),
    ]
    if found.Limits is not None:
        rows.append(
            _row(
                models.Kind.LISTENER,
                models.CALLERS_LISTENER,
                _listener(found.Limits),
            )
        )
    for each in found.Services:
        service = models.Service(
            PROFILE,
            connections_max=max(0, each.MaxConns),
            health_path=each.HealthPath,
        )
        rows.append(_row(models.Kind.SERVICE, each.Name, service))
    for each in found.Tenants:
        rows += _customer_rows(each)
    for each in found.Routes:
        rows.append(_row(models.Kind.ROUTE, each.Name, _route(each)))
    state.check_references(rows)
    _check_places(found.Routes)
    return Parsed(
        parse_version(found.Version), parse_version(found.BaseVersion), rows
    )


def parse_version(value):
    """Read the number of a configuration.

    :param value: such as ``r12``; 0 for none.
    :returns: whole number.
    :raises ChangeError: when it is none.
    """
    if value in (0, "0", ""):
        return 0
    match = _VERSION.fullmatch(str(value))
    if match is None:
        raise exceptions.ChangeError(f"no version: {value!r}")
    return int(match.group(1))


def _route(each):
    if each.Type not in _KINDS:
        raise exceptions.ChangeError(f"type {each.Type!r}")
    parts = [models.RoutePart(each.Service, 1.0)]
    if each.TrafficSplit is not None:
        parts = [
            models.RoutePart(part.Service, part.Weight)
            for part in each.TrafficSplit
        ]
        if not sum(part.weight for part in parts):
            raise exceptions.ChangeError(f"route {each.Name!r}: no weight")
    if not each.PathPrefix.startswith("/"):
        raise exceptions.ChangeError(f"route {each.Name!r}: bad prefix")
    return models.Route(
        host=each.Host,
        path_prefix=each.PathPrefix,
        parts=parts,
        idempotent=_KINDS[each.Type],
        timeout_ms=each.TimeoutMs,
        objective_ms=max(1.0, each.SloMs),
        attempts_max=max(1, each.Attempts),
        priority=max(0, each.Priority),
        public=each.Public,
    )


def _check_places(routes):
    places = set()
    for each in routes:
        place = (each.Host.lower(), each.PathPrefix)
        if place in places:
            raise exceptions.ChangeError(f"two routes at {place}")
        places.add(place)


def _customer_rows(each):
    customer = models.Customer(
        FIRM,
        rate_per_s=each.RatePerS or None,
        burst=max(1, int(each.Burst)),
        priority=None if each.Priority is None else min(7, each.Priority),
    )
    rows = [_row(models.Kind.CUSTOMER, each.Name, customer)]
    for key in each.ApiKeys:
        sha256 = hashlib.sha256(key.encode()).hexdigest()
        name = f"k-{sha256[:_KEY_NAME_DIGITS]}"
        rows.append(_row(models.Kind.KEY, name, models.Key(each.Name, sha256)))
    return rows


def _listener(limits):
    return models.Listener(
        limits.MaxHeaderBytes,
        limits.MaxBodyBytes,
        limits.HeaderTimeoutMs,
        limits.IdleTimeoutMs,
    )


def _row(kind, name, value):
    return state.DocumentObject(
        kind.value, name, models.dump_document(kind, value)
    )
