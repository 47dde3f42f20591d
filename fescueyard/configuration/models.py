"""The configured objects, which pydantic validates at the border."""

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
PositiveInt = typing.Annotated[int, pydantic.Field(ge=1)]
NonNegativeInt = typing.Annotated[int, pydantic.Field(ge=0)]
Ratio = typing.Annotated[float, pydantic.Field(ge=0, le=1)]
Rate = typing.Annotated[float, pydantic.Field(gt=0, le=1e7)]
TIMEOUT_MS_MAX = 600_000
STALENESS_MS_MAX = 86_400_000
# Name of the listener object that holds for callers' requests.
CALLERS_LISTENER = "callers"


class Kind(enum.Enum):
    """Kinds of configured objects."""

    PROFILE = "profile"
    SERVICE = "service"
    FIRM = "firm"
    CUSTOMER = "customer"
    KEY = "key"
    CLAIM_GROUP = "claim_group"
    ROUTE = "route"
    LISTENER = "listener"


@dataclasses.dataclass(frozen=True)
class Profile:
    """How a class of calls is protected.

    :param priority_ceiling: most important priority a caller may ask for;
        0 is the most important.
    :param priority_default: priority of a caller that asks for none.
    :param deadline_default_ms: deadline of a caller that sets none.
    :param deadline_max_ms: longest deadline a caller may set.
    :param retry_allowance: retries in total over one call chain.
    :param depth_max: most hops of a call chain.
    :param queue_max: most requests queued at one backend server.
    :param concurrency_min: lowest adaptive concurrency limit.
    :param concurrency_share_min: lowest adaptive concurrency limit as a
        share of the slots. A slow dependency looks like overload, and fewer
        requests at once would not make it faster.
    :param latency_tolerance: ratio of measured to best latency at which the
        concurrency limit shrinks.
    :param slow_start_ms: time over which a new backend server's share of the
        load grows to full.
    :param key_staleness_max_ms: oldest configuration by which a node still
        serves keyed requests; a withdrawn key works no longer than this.
    :param crash_max: crashes of backend servers after which a request is
        quarantined.
    :param quarantine_ms: how long it stays quarantined.
    :param claim_retention_ms: how long a finished answer is kept for a
        resend with the same idempotency key.
    :param retry_budget_ratio: routed requests that may reach a second backend
        server, as a share of the requests for the service over the fleet.
    :param retry_budget_slack: how many more may do so in any short span.
    :param cut_off_rate_share: part of a customer's rate, over all zones
        together, that zones without a way to the control VMs go on granting;
        0 refuses instead.
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
        int, pydantic.Field(ge=1_000, le=STALENESS_MS_MAX)
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
    :param connections_max: most connections to one backend server; 0 leaves
        it to the node.
    :param health_path: path that a healthy backend server answers with its
        id; empty for none.
    """

    __pydantic_config__ = _STRICT

    profile: str
    open_routes: list[str] = dataclasses.field(default_factory=list)
    idempotent_methods: list[str] = dataclasses.field(
        default_factory=lambda: ["GET", "HEAD", "OPTIONS", "PUT", "DELETE"]
    )
    connections_max: NonNegativeInt = 0
    health_path: str = ""


@dataclasses.dataclass(frozen=True)
class Firm:
    """A firm that shares the backend servers.

    :param share: weight of the firm against the others.
    """

    __pydantic_config__ = _STRICT

    share: PositiveInt = 1


@dataclasses.dataclass(frozen=True)
class Customer:
    """A tenant of a firm.

    :param firm: name of the firm.
    :param rate_per_s: requests a second over the whole fleet; None for no
        limit.
    :param burst: requests above the rate that may come at once.
    :param share: weight against the firm's other customers.
    :param services: services the customer may call; empty means all.
    :param priority: priority of its requests in place of the route's.
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
    """A customer key; only its hash is known here.

    :param customer: name of the customer.
    :param sha256: SHA-256 of the key, in hexadecimal.
    """

    __pydantic_config__ = _STRICT

    customer: str
    sha256: typing.Annotated[str, pydantic.Field(pattern=SHA256_PATTERN)]


@dataclasses.dataclass(frozen=True)
class ClaimGroup:
    """Replicas of one group of claims; the control leader sets these.

    :param replicas: node ids.
    :param joined: generation in which each replica joined.
    :param generation: counts the changes of the group.
    :param fresh_generation: generation in which the group last began with
        no claims.
    """

    __pydantic_config__ = _STRICT

    replicas: list[str]
    joined: list[int]
    generation: NonNegativeInt
    fresh_generation: NonNegativeInt


@dataclasses.dataclass(frozen=True)
class RoutePart:
    """A service that takes part of a route's requests.

    :param service: name of the service.
    :param weight: its part against the weights of the others.
    """

    __pydantic_config__ = _STRICT

    service: str
    weight: typing.Annotated[float, pydantic.Field(ge=0, le=1e9)]


@dataclasses.dataclass(frozen=True)
class Route:
    """Requests of one host and path prefix, and where they go.

    :param host: value of the ``Host`` header, in lower case.
    :param path_prefix: the longest one that begins the path wins.
    :param parts: services that share the requests.
    :param idempotent: whether a request may run more than once.
    :param timeout_ms: longest time a caller is kept waiting.
    :param objective_ms: latency objective of a request.
    :param attempts_max: most backend servers that get one request.
    :param priority: 0 is the most important.
    :param public: whether requests need no key.
    """

    __pydantic_config__ = _STRICT

    host: typing.Annotated[str, pydantic.Field(min_length=1)]
    path_prefix: typing.Annotated[str, pydantic.Field(pattern=r"^/")]
    parts: list[RoutePart]
    idempotent: bool
    timeout_ms: typing.Annotated[
        float, pydantic.Field(gt=0, le=TIMEOUT_MS_MAX)
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
    """What callers may send, and how long they may take.

    :param header_bytes_max: largest request line and headers together.
    :param body_bytes_max: largest body.
    :param header_timeout_ms: longest time for the headers to arrive.
    :param idle_timeout_ms: how long a connection may stay unused.
    """

    __pydantic_config__ = _STRICT

    header_bytes_max: PositiveInt
    body_bytes_max: NonNegativeInt
    header_timeout_ms: PositiveInt
    idle_timeout_ms: PositiveInt


_CLASSES = {
    Kind.PROFILE: Profile,
    Kind.SERVICE: Service,
    Kind.FIRM: Firm,
    Kind.CUSTOMER: Customer,
    Kind.KEY: Key,
    Kind.CLAIM_GROUP: ClaimGroup,
    Kind.ROUTE: Route,
    Kind.LISTENER: Listener,
}
_ADAPTERS = {kind: pydantic.TypeAdapter(cls) for kind, cls in _CLASSES.items()}


def parse_kind(text):
    """Parse the kind of an object.

    :param text: such as ``profile``.
    :returns: :class:`Kind`.
    :raises ChangeError: when there is no such kind.
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
    :raises ChangeError: naming each bad field.
    """
    try:
        return _ADAPTERS[kind].validate_json(document)
    except pydantic.ValidationError as error:
        raise exceptions.ChangeError(format_validation_error(error)) from error


def dump_document(kind, value):
    """Write an object as JSON.

    :param kind: :class:`Kind`.
    :param value: the object.
    :returns: JSON bytes.
    """
    return _ADAPTERS[kind].dump_json(value)


def format_validation_error(error):
    """Say in one line what pydantic found wrong.

    :param error: ``pydantic.ValidationError``.
    :returns: text.
    """
    parts = []
    for problem in error.errors(include_url=False):
        place = ".".join(str(step) for step in problem["loc"]) or "document"
        parts.append(f"{place}: {problem['msg']}")
    return "; ".join(parts)
