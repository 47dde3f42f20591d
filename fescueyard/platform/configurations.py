"""Conversion of the platform's configuration to configuration objects."""

import dataclasses
import hashlib
import re
import typing

import pydantic

from fescueyard.configuration import models
from fescueyard.configuration import state
from fescueyard.core import codes
from fescueyard.core import exceptions

PROFILE_NAME = "standard"
FIRM_NAME = "everyone"
_IGNORE_EXTRA = pydantic.ConfigDict(extra="ignore", strict=True)
_VERSION_PATTERN = re.compile(r"r([0-9]{1,18})")
_IDEMPOTENT_BY_TYPE = {"safe": True, "unsafe": False}
_KEY_NAME_DIGITS = 24


_FiniteAmount = typing.Annotated[pydantic.FiniteFloat, pydantic.Field(ge=0)]


@dataclasses.dataclass(frozen=True)
class _SplitPart:
    __pydantic_config__ = _IGNORE_EXTRA

    Service: str
    Weight: _FiniteAmount


@dataclasses.dataclass(frozen=True)
class _Route:
    __pydantic_config__ = _IGNORE_EXTRA

    Name: str
    Host: typing.Annotated[str, pydantic.Field(min_length=1)]
    PathPrefix: str
    # "safe" or "unsafe": a safe request is idempotent and may run more than
    # once.
    Type: str
    TimeoutMs: typing.Annotated[
        float, pydantic.Field(gt=0, le=models.TIMEOUT_MAX_MS)
    ]
    SloMs: pydantic.FiniteFloat = 1_000
    Priority: int = 0
    Attempts: int = 1
    Public: bool = False
    Service: str = ""
    TrafficSplit: list[_SplitPart] | None = None


@dataclasses.dataclass(frozen=True)
class _Service:
    __pydantic_config__ = _IGNORE_EXTRA

    Name: str
    HealthPath: str = ""
    MaxConns: int = 0
    # How long a backend server is cold after its start, and how many requests
    # per second it takes then; 0 for no limit.
    ColdStartS: typing.Annotated[
        float, pydantic.Field(ge=0, le=models.COLD_START_MAX_MS / 1000)
    ] = 0.0
    ColdPerS: typing.Annotated[
        float, pydantic.Field(ge=0, le=models.RATE_MAX_PER_S)
    ] = 0.0


@dataclasses.dataclass(frozen=True)
class _Limits:
    __pydantic_config__ = _IGNORE_EXTRA

    MaxHeaderBytes: pydantic.PositiveInt
    MaxBodyBytes: pydantic.NonNegativeInt
    HeaderTimeoutMs: pydantic.PositiveInt
    IdleTimeoutMs: pydantic.PositiveInt


@dataclasses.dataclass(frozen=True)
class _Tenant:
    """A customer; the platform calls it a tenant."""

    __pydantic_config__ = _IGNORE_EXTRA

    Name: str
    ApiKeys: list[str]
    # Takes precedence over the priority of the route.
    Priority: int | None = None
    # 0 means unlimited, for RatePerS and Burst.
    RatePerS: _FiniteAmount = 0
    Burst: _FiniteAmount = 0


@dataclasses.dataclass(frozen=True)
class _Configuration:
    __pydantic_config__ = _IGNORE_EXTRA

    Version: str
    Routes: list[_Route]
    Services: list[_Service]
    Limits: _Limits | None = None
    Tenants: list[_Tenant] = dataclasses.field(default_factory=list)
    # Version that this configuration is based on; 0 for none.
    BaseVersion: str | int = 0


_CONFIGURATION_ADAPTER = pydantic.TypeAdapter(_Configuration)


@dataclasses.dataclass(frozen=True)
class ParsedConfiguration:
    """A configuration converted to configuration objects.

    :param version: version number.
    :param base_version: version number of the configuration it is based on; 0
        for none.
    :param objects: list of
        :class:`~fescueyard.configuration.state.DocumentObject`.
    """

    version: int
    base_version: int
    objects: list[state.DocumentObject]


def parse(body, profile):
    """Parse and validate a configuration.

    :param body: JSON bytes.
    :param profile: :class:`~fescueyard.configuration.models.Profile` that all
        services run under.
    :returns: :class:`ParsedConfiguration`.
    :raises ChangeError: when the configuration is invalid.
    """
    try:
        configuration = _CONFIGURATION_ADAPTER.validate_json(body)
    except pydantic.ValidationError as error:
        raise exceptions.ChangeError(
            models.format_validation_error(error)
        ) from None
    objects = [
        _build_object(models.Kind.PROFILE, PROFILE_NAME, profile),
        _build_object(models.Kind.FIRM, FIRM_NAME, models.Firm()),
    ]
    if configuration.Limits is not None:
        objects.append(
            _build_object(
                models.Kind.LISTENER,
                models.CALLERS_LISTENER,
                _build_listener(configuration.Limits),
            )
        )
    for service in configuration.Services:
        value = models.Service(
            PROFILE_NAME,
            connections_max=max(0, service.MaxConns),
            health_path=service.HealthPath,
            cold_start_ms=service.ColdStartS * 1000,
            cold_rate_per_s=service.ColdPerS,
        )
        objects.append(_build_object(models.Kind.SERVICE, service.Name, value))
    for tenant in configuration.Tenants:
        objects += _customer_objects(tenant)
    for route in configuration.Routes:
        objects.append(
            _build_object(models.Kind.ROUTE, route.Name, _build_route(route))
        )
    state.check_references(objects)
    _check_unused_services(configuration)
    _check_route_conflicts(configuration.Routes)
    return ParsedConfiguration(
        parse_version(configuration.Version),
        parse_version(configuration.BaseVersion),
        objects,
    )


def parse_version(value):
    """Parse the version of a configuration.

    :param value: the version, such as ``r12``; 0 or empty for none.
    :returns: the version number, an int; 0 for none.
    :raises ChangeError: when the value is not a version.
    """
    if value in (0, "0", ""):
        return 0
    match = _VERSION_PATTERN.fullmatch(str(value))
    if match is None:
        raise exceptions.ChangeError(f"no version: {value!r}")
    return int(match.group(1))


def _build_route(route):
    if route.Type not in _IDEMPOTENT_BY_TYPE:
        raise exceptions.ChangeError(f"type {route.Type!r}")
    parts = [models.RoutePart(route.Service, 1.0)]
    if route.TrafficSplit is not None:
        parts = [
            models.RoutePart(part.Service, part.Weight)
            for part in route.TrafficSplit
        ]
        if not sum(part.weight for part in parts):
            raise exceptions.ChangeError(f"route {route.Name!r}: no weight")
    if not route.PathPrefix.startswith("/"):
        raise exceptions.ChangeError(f"route {route.Name!r}: bad prefix")
    return models.Route(
        host=route.Host,
        path_prefix=route.PathPrefix,
        parts=parts,
        idempotent=_IDEMPOTENT_BY_TYPE[route.Type],
        timeout_ms=route.TimeoutMs,
        objective_ms=max(1.0, route.SloMs),
        attempts_max=max(1, route.Attempts),
        priority=max(0, route.Priority),
        public=route.Public,
    )


def _check_unused_services(configuration):
    """Check the services that routes name beside a split, which wins.

    :raises ChangeError: when such a service is unknown.
    """
    known = {service.Name for service in configuration.Services}
    for route in configuration.Routes:
        if route.Service and route.Service not in known:
            raise exceptions.ChangeError(
                f"route {route.Name!r} names the missing "
                f"service {route.Service!r}",
                codes.BROKEN_REFERENCE,
            )


def _check_route_conflicts(routes):
    known_prefixes = set()
    for route in routes:
        host_and_prefix = (route.Host.lower(), route.PathPrefix)
        if host_and_prefix in known_prefixes:
            raise exceptions.ChangeError(f"two routes at {host_and_prefix}")
        known_prefixes.add(host_and_prefix)


def _customer_objects(tenant):
    customer = models.Customer(
        FIRM_NAME,
        rate_per_s=tenant.RatePerS or None,
        burst=max(1, int(tenant.Burst)),
        priority=None if tenant.Priority is None else min(7, tenant.Priority),
    )
    objects = [_build_object(models.Kind.CUSTOMER, tenant.Name, customer)]
    for key in tenant.ApiKeys:
        sha256 = hashlib.sha256(key.encode()).hexdigest()
        name = f"k-{sha256[:_KEY_NAME_DIGITS]}"
        objects.append(
            _build_object(
                models.Kind.KEY, name, models.Key(tenant.Name, sha256)
            )
        )
    return objects


def _build_listener(limits):
    return models.Listener(
        limits.MaxHeaderBytes,
        limits.MaxBodyBytes,
        limits.HeaderTimeoutMs,
        limits.IdleTimeoutMs,
    )


def _build_object(kind, name, value):
    return state.DocumentObject(
        kind.value, name, models.dump_document(kind, value)
    )
