"""Calls of the backend server on this VM: announcing and leaving."""

import dataclasses
import json
import urllib.parse

import pydantic

from fescueyard.admission import announcements
from fescueyard.configuration import models as configuration_models
from fescueyard.core import exceptions
from fescueyard.core import http
from fescueyard.core import logs

LOG = logs.ComponentLogger("announcement")

PREFIX = "/v1/instances/"
# Words for the state of a backend server.
READY = "ready"
DRAINING = "draining"

_OPEN = pydantic.ConfigDict(extra="ignore", strict=True)


@dataclasses.dataclass(frozen=True)
class _Info:
    """What stays the same for the life of the server's process."""

    __pydantic_config__ = _OPEN

    Service: str
    Slots: int


@dataclasses.dataclass(frozen=True)
class _Status:
    """What changes."""

    __pydantic_config__ = _OPEN

    State: str
    # Grows with each call of one process.
    Sequence: int
    ColdLeftMs: float = 0


@dataclasses.dataclass(frozen=True)
class _Beat:
    __pydantic_config__ = _OPEN

    Address: str
    Info: _Info
    Status: _Status
    # Start of the server's process, in ms since 1970 by its own clock.
    born: int = 0


_ADAPTER = pydantic.TypeAdapter(_Beat)


def answer(process, request, now_ms):
    """Answer a call of the backend server.

    :param process: :class:`~fescueyard.node.app.NodeProcess`.
    :param request: :class:`~fescueyard.core.http.HttpRequest`.
    :param now_ms: the present time.
    :returns: :class:`~fescueyard.core.http.HttpResponse`.
    """
    path = request.target.partition("?")[0]
    if not path.startswith(PREFIX):
        return _reply(404)
    instance = urllib.parse.unquote(path[len(PREFIX) :])
    if request.method == "DELETE":
        process.backend_left(instance, now_ms)
        return _reply(200)
    if request.method != "PUT":
        return _reply(405)
    try:
        told = parse(instance, request.body)
    except exceptions.RequestError as error:
        LOG.warning(
            "announcement_refused", instance=instance, detail=error.detail
        )
        return _reply(400)
    process.apply_announcement(told, now_ms)
    return _reply(200)


def parse(instance, body):
    """Read an announcement.

    :param instance: id of the backend server, from the path.
    :param body: JSON bytes.
    :returns: :class:`~fescueyard.admission.announcements.Announcement`.
    :raises RequestError: when it names no backend server to use.
    """
    try:
        beat = _ADAPTER.validate_json(body)
    except pydantic.ValidationError as error:
        raise exceptions.RequestError(
            configuration_models.format_validation_error(error)
        ) from None
    if beat.Status.State not in (READY, DRAINING):
        raise exceptions.RequestError(f"state {beat.Status.State!r}")
    if not instance or not beat.Info.Service or beat.Info.Slots < 1:
        raise exceptions.RequestError("id, service or slots are missing")
    _check_address(beat.Address)
    return announcements.Announcement(
        instance,
        beat.Info.Service,
        beat.Address,
        beat.Info.Slots,
        beat.born,
        beat.Status.Sequence,
        beat.Status.State == DRAINING,
        beat.Status.ColdLeftMs,
    )


def _check_address(address):
    host, _, port = address.rpartition(":")
    if not host or not port.isdigit():
        raise exceptions.RequestError(f"address {address!r}")


def _reply(status):
    headers = [http.Header("content-type", "application/json")]
    return http.HttpResponse(status, headers, json.dumps({}).encode())
