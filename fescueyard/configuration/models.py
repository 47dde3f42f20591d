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
Positive = typing.Annotated[int, pydantic.Field(ge=1)]
Natural = typing.Annotated[int, pydantic.Field(ge=0)]
Ratio = typing.Annotated[float, pydantic.Field(ge=0, le=1)]
Rate = typing.Annotated[float, pydantic.Field(gt=0, le=1e7)]


class Kind(enum.Enum):
    """Kinds of configured objects."""

    PROFILE = "profile"
    SERVICE = "service"
    FIRM = "firm"
    CUSTOMER = "customer"
    KEY = "key"
    CLAIM_GROUP = "claim_group"


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
    """

    __pydantic_config__ = _STRICT

    priority_ceiling: Priority = 0
    priority_default: Priority = 3
    deadline_default_ms: Positive = 2_000
    deadline_max_ms: Positive = 30_000
    retry_allowance: typing.Annotated[int, pydantic.Field(ge=0, le=10)] = 2
    depth_max: typing.Annotated[int, pydantic.Field(ge=1, le=64)] = 32
    queue_max: typing.Annotated[int, pydantic.Field(ge=1, le=10_000)] = 200
    concurrency_min: Positive = 2
    concurrency_share_min: Ratio = 0.75
    latency_tolerance: typing.Annotated[
        float, pydantic.Field(ge=1.1, le=20)
    ] = 2.0
    slow_start_ms: Natural = 5_000
    key_staleness_max_ms: typing.Annotated[
        int, pydantic.Field(ge=1_000, le=86_400_000)
    ] = 4_000
    crash_max: typing.Annotated[int, pydantic.Field(ge=1, le=10)] = 2
    quarantine_ms: Positive = 600_000
    claim_retention_ms: Positive = 600_000

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
    """

    __pydantic_config__ = _STRICT

    profile: str
    open_routes: list[str] = dataclasses.field(default_factory=list)
    idempotent_methods: list[str] = dataclasses.field(
        default_factory=lambda: ["GET", "HEAD", "OPTIONS", "PUT", "DELETE"]
    )


@dataclasses.dataclass(frozen=True)
class Firm:
    """A firm that shares the backend servers.

    :param share: weight of the firm against the others.
    """

    __pydantic_config__ = _STRICT

    share: Positive = 1


@dataclasses.dataclass(frozen=True)
class Customer:
    """A tenant of a firm.

    :param firm: name of the firm.
    :param rate_per_s: requests a second over the whole fleet.
    :param burst: requests above the rate that may come at once.
    :param share: weight against the firm's other customers.
    :param services: services the customer may call; empty means all.
    """

    __pydantic_config__ = _STRICT

    firm: str
    rate_per_s: Rate
    burst: Positive
    share: Positive = 1
    services: list[str] = dataclasses.field(default_factory=list)


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
    generation: Natural
    fresh_generation: Natural


_CLASSES = {
    Kind.PROFILE: Profile,
    Kind.SERVICE: Service,
    Kind.FIRM: Firm,
    Kind.CUSTOMER: Customer,
    Kind.KEY: Key,
    Kind.CLAIM_GROUP: ClaimGroup,
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
        raise exceptions.ChangeError(describe(error)) from error


def dump_document(kind, value):
    """Write an object as JSON.

    :param kind: :class:`Kind`.
    :param value: the object.
    :returns: JSON bytes.
    """
    return _ADAPTERS[kind].dump_json(value)


def describe(error):
    """Say in one line what pydantic found wrong.

    :param error: ``pydantic.ValidationError``.
    :returns: text.
    """
    parts = []
    for problem in error.errors(include_url=False):
        place = ".".join(str(step) for step in problem["loc"]) or "document"
        parts.append(f"{place}: {problem['msg']}")
    return "; ".join(parts)
