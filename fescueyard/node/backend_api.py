"""HTTP interface of a node to its backend server, under ``/-/``."""

import dataclasses
import json
import typing

import pydantic

from fescueyard.configuration import models
from fescueyard.core import addresses
from fescueyard.core import exceptions

PREFIX = "/-/"


@dataclasses.dataclass(frozen=True)
class Announcement:
    """Body of ``POST /-/announce``.

    :param service: the backend server's service.
    :param address: ``host:port`` where it listens on this VM.
    :param slots: requests that it runs concurrently.
    :param ttl_ms: time without an announcement after which the backend
        server counts as gone.
    """

    __pydantic_config__ = pydantic.ConfigDict(extra="forbid", strict=True)

    service: str
    address: typing.Annotated[
        str,
        pydantic.Field(pattern=r"^127\."),
        pydantic.AfterValidator(addresses.check),
    ]
    slots: typing.Annotated[int, pydantic.Field(ge=1, le=100_000)]
    ttl_ms: typing.Annotated[int, pydantic.Field(ge=100, le=60_000)] = 3_000


_ADAPTER = pydantic.TypeAdapter(Announcement)


def parse_announcement(body):
    """Validate an announcement.

    :param body: JSON bytes.
    :returns: :class:`Announcement`.
    :raises RequestError: naming each bad field.
    """
    try:
        announcement = _ADAPTER.validate_json(body)
    except pydantic.ValidationError as error:
        raise exceptions.RequestError(
            models.format_validation_error(error)
        ) from None
    if not models.NAME_PATTERN.fullmatch(announcement.service):
        raise exceptions.RequestError("service: malformed name")
    return announcement


def status_body(tables):
    """Return the node's view of its backend server.

    :param tables: the node's tables.
    :returns: JSON bytes.
    """
    backend = tables.runs.backend
    return json.dumps(
        {
            "announced": backend is not None and not backend.leaving,
            "running": len(tables.runs.running),
            "queued": tables.runs.queued_count,
            "limit": int(tables.runs.limiter.limit),
        }
    ).encode()
