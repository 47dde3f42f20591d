"""The configured objects, validated by pydantic when they are received."""

import dataclasses
import enum
import re
import typing

import pydantic

from fescueyard.core import exceptions

NAME_PATTERN = re.compile(r"[a-z0-9][a-z0-9._-]{0,62}")
SHA256_PATTERN = r"^[0-9a-f]{64}$"

_STRICT = pydantic.ConfigDict(extra="forbid", strict=True)

Priority = typing.Annotated[int, pydantic.Field(ge=0, le=7)]
# Larger integers have no float, and arithmetic with them fails.
INTEGER_MAX = 10**300
PositiveInt = typing.Annotated[int, pydantic.Field(ge=1, le=INTEGER_MAX)]
NonNegativeInt = typing.Annotated[int, pydantic.Field(ge=0, le=INTEGER_MAX)]
Ratio = typing.Annotated[float, pydantic.Field(ge=0, le=1)]
RATE_MAX_PER_S = 1e7
Rate = typing.Annotated[float, pydantic.Field(gt=0, le=RATE_MAX_PER_S)]
TIMEOUT_MAX_MS = 600_000
COLD_START_MAX_MS = 3_600_000
STALENESS_MAX_MS = 86_400_000
# Name of the listener object whose limits apply to callers' requests.
CALLERS_LISTENER = "callers"


class Kind(enum.Enum):
    """Kinds of configured objects.

    Each exists once, so the hash of the object itself serves; that of
    ``enum.Enum`` hashes the name at each look-up.
    """

    __hash__ = object.__hash__

    PROFILE = "profile"
    SERVICE = "service"
    FIRM = "firm"
    CUSTOMER = "customer"
    KEY = "key"
    CLAIM_GROUP = "claim_group"
    ROUTE = "route"
    LISTENER = "listener"
    EVACUATION = "evacuation"


@dataclasses.dataclass(frozen=True)
class Profile:
    """Overload protection settings of a class of calls.

    :param priority_ceiling: most important priority that a caller may request;
        0 is the most important.
    :param priority_default: priority of a call that requests none.
    :param deadline_default_ms: deadline of a call that sets none.
    :param deadline_max_ms: longest deadline that a caller may set.
    :param retry_allowance: total number of retries in one call chain.
    :param depth_max: maximum number of hops in a call chain.
    :param queue_max: maximum number of requests queued at one backend server.
    :param concurrency_min: lower bound of the adaptive concurrency limit.
    :param concurrency_share_min: lower bound of the adaptive concurrency limit
        as a share of the slots. A slow dependency looks like overload, but
        lower concurrency would not make it faster.
    :param latency_tolerance: ratio of measured to best latency at which the
        concurrency limit shrinks.
    :param slow_start_ms: time over which a new backend server's share of the
        load grows to full.
    :param key_staleness_max_ms: age of the configuration up to which a node
        serves keyed requests; a withdrawn key works no longer than this.
    :param crash_max: crashes of backend servers after which a request is
        quarantined.
    :param quarantine_ms: how long it stays quarantined.
    :param claim_retention_ms: how long a completed response is kept for
        resends with the same idempotency key.
    :param retry_budget_ratio: routed requests that may be retried at a second
        backend server, as a share of the service's requests in the fleet.
    :param retry_budget_slack: number of retries beyond that share that are
        allowed in any short period.
    :param cut_off_rate_share: share of a customer's rate, over all zones
        together, that zones without a connection to the control VMs continue
        to grant; with 0 they reject instead.
    """

    __pydantic_config__ = _STRICT

    priority_ceiling: Priority = 0
    priority_default: Priority = 3
    deadline_default_ms: PositiveInt = 2_000
    deadline_max_ms: PositiveInt = 30_000
    retry_allowance: typing.Annotated[int, pydantic.Field(ge=0, le=10)] = 2
    depth_max: typing.Annotated[int, pydantic.Field(ge=1, le=64)] = 32
    queue_max: typing.Annotated[int, pydantic.Field(ge=1, le=10_000)] = 200
    concurrency_min: PositiveInt = 2
    concurrency_share_min: Ratio = 0.75
    latency_tolerance: typing.Annotated[
        float, pydantic.Field(ge=1.1, le=20)
    ] = 2.0
    slow_start_ms: NonNegativeInt = 5_000
    key_staleness_max_ms: typing.Annotated[
        int, pydantic.Field(ge=1_000, le=STALENESS_MAX_MS)
    ] = 4_000
    crash_max: typing.Annotated[int, pydantic.Field(ge=1, le=10)] = 2
    quarantine_ms: PositiveInt = 600_000
    claim_retention_ms: PositiveInt = 600_000
    retry_budget_ratio: Ratio = 0.1
    retry_budget_slack: typing.Annotated[
        float, pydantic.Field(ge=0, le=100_000)
    ] = 20.0
    cut_off_rate_share: Ratio = 0.0

    def __post_init__(self):
        if self.priority_default < self.priority_ceiling:
            raise ValueError(
                "priority_default is more important than priority_ceiling"
            )
        if self.deadline_default_ms > self.deadline_max_ms:
            raise ValueError("deadline_default_ms exceeds deadline_max_ms")
        if self.concurrency_min > self.queue_max:
            raise ValueError("concurrency_min exceeds queue_max")


@dataclasses.dataclass(frozen=True)
class Service:
    """A service and the profile it runs under.

    :param profile: name of the profile.
    :param open_routes: path prefixes that need no key.
    :param idempotent_methods: methods that may run twice without harm.
    :param connections_max: maximum number of connections to one backend
        server; 0 lets the node decide.
    :param health_path: health check path, to which a healthy backend server
        responds with its id; empty for none.
    :param cold_start_ms: how long a backend server is cold after its start.
    :param cold_rate_per_s: requests per second that a backend server takes
        while it is cold; 0 for no limit.
    """

    __pydantic_config__ = _STRICT

    profile: str
    open_routes: list[str] = dataclasses.field(default_factory=list)
    idempotent_methods: list[str] = dataclasses.field(
        default_factory=lambda: ["GET", "HEAD", "OPTIONS", "PUT", "DELETE"]
    )
    connections_max: NonNegativeInt = 0
    health_path: str = ""
    cold_start_ms: typing.Annotated[
        float, pydantic.Field(ge=0, le=COLD_START_MAX_MS)
    ] = 0.0
    cold_rate_per_s: typing.Annotated[
        float, pydantic.Field(ge=0, le=RATE_MAX_PER_S)
    ] = 0.0


@dataclasses.dataclass(frozen=True)
class Firm:
    """A firm that shares the backend servers.

    :param share: weight of the firm relative to other firms.
    """

    __pydantic_config__ = _STRICT

    share: PositiveInt = 1


@dataclasses.dataclass(frozen=True)
class Customer:
    """A tenant of a firm.

    :param firm: name of the firm.
    :param rate_per_s: requests per second over the entire fleet; None for no
        limit.
    :param burst: requests above the rate that may arrive at once.
    :param share: weight relative to the firm's other customers.
    :param services: services that the customer may call; empty for all.
    :param priority: priority of its requests, overriding the route's.
    """

    __pydantic_config__ = _STRICT

    firm: str
    rate_per_s: Rate | None
    burst: PositiveInt
    share: PositiveInt = 1
    services: list[str] = dataclasses.field(default_factory=list)
    priority: Priority | None = None


@dataclasses.dataclass(frozen=True)
class Key:
    """A customer key, of which only the hash is stored.

    :param customer: name of the customer.
    :param sha256: SHA-256 of the key, in hexadecimal.
    """

    __pydantic_config__ = _STRICT

    customer: str
    sha256: typing.Annotated[str, pydantic.Field(pattern=SHA256_PATTERN)]


@dataclasses.dataclass(frozen=True)
class ClaimGroup:
    """Replicas of one group of claims, assigned by the control leader.

    Claims ensure that a request with an idempotency key runs at most once
    (:mod:`fescueyard.idempotency`).

    :param replicas: node ids.
    :param joined: generation in which each replica joined.
    :param generation: number of changes of the group so far.
    :param fresh_generation: generation in which the group last started
        without claims.
    """

    __pydantic_config__ = _STRICT

    replicas: list[str]
    joined: list[int]
    generation: NonNegativeInt
    fresh_generation: NonNegativeInt


@dataclasses.dataclass(frozen=True)
class RoutePart:
    """A service that receives a share of a route's requests.

    :param service: name of the service.
    :param weight: its share relative to the weights of the other services.
    """

    __pydantic_config__ = _STRICT

    service: str
    weight: typing.Annotated[float, pydantic.Field(ge=0, le=1e9)]


@dataclasses.dataclass(frozen=True)
class Route:
    """Destination and limits of requests by host and path prefix.

    :param host: value of the ``Host`` header, in lower case.
    :param path_prefix: prefix of the path; the longest matching one wins.
    :param parts: services among which the requests are split.
    :param idempotent: whether a request may run more than once.
    :param timeout_ms: longest time that a caller waits for the response.
    :param objective_ms: latency objective of a request.
    :param attempts_max: maximum number of backend servers that get one
        request.
    :param priority: priority of its requests; 0 is the most important.
    :param public: whether requests need no key.
    """

    __pydantic_config__ = _STRICT

    host: typing.Annotated[str, pydantic.Field(min_length=1)]
    path_prefix: typing.Annotated[str, pydantic.Field(pattern=r"^/")]
    parts: list[RoutePart]
    idempotent: bool
    timeout_ms: typing.Annotated[
        float, pydantic.Field(gt=0, le=TIMEOUT_MAX_MS)
    ]
    objective_ms: typing.Annotated[float, pydantic.Field(gt=0)]
    attempts_max: PositiveInt = 1
    priority: NonNegativeInt = 3
    public: bool = False

    def __post_init__(self):
        if not self.parts:
            raise ValueError("a route needs a service")


@dataclasses.dataclass(frozen=True)
class Listener:
    """Size limits and timeouts of callers' requests.

    :param header_bytes_max: maximum size of request line and headers together.
    :param body_bytes_max: maximum size of the body.
    :param header_timeout_ms: longest time for the headers to arrive.
    :param idle_timeout_ms: how long a connection may stay idle.
    """

    __pydantic_config__ = _STRICT

    header_bytes_max: PositiveInt
    body_bytes_max: NonNegativeInt
    header_timeout_ms: PositiveInt
    idle_timeout_ms: PositiveInt


@dataclasses.dataclass(frozen=True)
class Evacuation:
    """An evacuated availability zone; the object's name is the zone.

    No request goes to the backend servers of the zone while it exists.
    """

    __pydantic_config__ = _STRICT


_CLASSES = {
    Kind.PROFILE: Profile,
    Kind.SERVICE: Service,
    Kind.FIRM: Firm,
    Kind.CUSTOMER: Customer,
    Kind.KEY: Key,
    Kind.CLAIM_GROUP: ClaimGroup,
    Kind.ROUTE: Route,
    Kind.LISTENER: Listener,
    Kind.EVACUATION: Evacuation,
}
# Fields that nodes of release 0.5 refuse; left out while they are unset.
_OMITTED_WHEN_UNSET = {Kind.SERVICE: ("cold_start_ms", "cold_rate_per_s")}
_ADAPTERS = {kind: pydantic.TypeAdapter(cls) for kind, cls in _CLASSES.items()}


def parse_kind(text):
    """Parse the kind of an object.

    :param text: such as ``profile``.
    :returns: :class:`Kind`.
    :raises ChangeError: when the kind is unknown.
    """
    try:
        return Kind(text)
    except ValueError:
        raise exceptions.ChangeError(f"no such kind: {text!r}") from None


def check_name(name):
    """Check the name of an object.

    :param name: the name.
    :raises ChangeError: when it is malformed.
    """
    if not NAME_PATTERN.fullmatch(name):
        raise exceptions.ChangeError(f"malformed name: {name!r}")


def parse_document(kind, document):
    """Validate the JSON document of an object.

    :param kind: :class:`Kind`.
    :param document: JSON bytes.
    :returns: the object, such as :class:`Profile`.
    :raises ChangeError: when it is invalid; the detail names each bad field.
    """
    try:
        return _ADAPTERS[kind].validate_json(document)
    except pydantic.ValidationError as error:
        raise exceptions.ChangeError(format_validation_error(error)) from error


def dump_document(kind, value):
    """Encode an object as JSON.

    :param kind: :class:`Kind`.
    :param value: the object.
    :returns: JSON bytes.
    """
    unset = {
        name
        for name in _OMITTED_WHEN_UNSET.get(kind, ())
        if not getattr(value, name)
    }
    return _ADAPTERS[kind].dump_json(value, exclude=unset or None)


def format_validation_error(error):
    """Format a validation error as one line.

    :param error: ``pydantic.ValidationError``.
    :returns: text.
    """
    parts = []
    for problem in error.errors(include_url=False):
        location = ".".join(str(key) for key in problem["loc"]) or "document"
        parts.append(f"{location}: {problem['msg']}")
    return "; ".join(parts)
