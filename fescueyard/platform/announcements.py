"""Requests of the backend server on this VM: announcing and leaving."""

import dataclasses
import json
import re
import typing
import urllib.parse

import pydantic

from fescueyard.admission import announcements
from fescueyard.configuration import models as configuration_models
from fescueyard.core import addresses
from fescueyard.core import exceptions
from fescueyard.core import http
from fescueyard.core import logs
from fescueyard.core import notices

LOG = logs.ComponentLogger("announcement")

PATH_PREFIX = "/v1/instances/"
# Values of ``Status.State``.
STATE_READY = "ready"
STATE_DRAINING = "draining"

# Larger numbers are malformed: nothing that follows could be told from them.
SLOTS_MAX = 100_000
SEQUENCE_MAX = 2**53
START_TIME_MAX_MS = 4_102_444_800_000  # the year 2100
COLD_MAX_MS = notices.COLD_MAX_MS
NAME_CHARS_MAX = 255
ERROR_CHARS_MAX = 500

_IGNORE_EXTRA = pydantic.ConfigDict(extra="ignore", strict=True)


# Ids and services travel in headers and in datagrams.
_NAME_PATTERN = re.compile(rf"[!-~]{{1,{NAME_CHARS_MAX}}}")
_Name = typing.Annotated[
    str, pydantic.Field(pattern=rf"^{_NAME_PATTERN.pattern}\z")
]


@dataclasses.dataclass(frozen=True)
class _Info:
    """Properties that are constant for the lifetime of the server process."""

    __pydantic_config__ = _IGNORE_EXTRA

    Service: _Name
    Slots: typing.Annotated[int, pydantic.Field(ge=1, le=SLOTS_MAX)]


@dataclasses.dataclass(frozen=True)
class _Status:
    """Properties that change while the server process runs."""

    __pydantic_config__ = _IGNORE_EXTRA

    State: str
    # Increases with every announcement of the same process.
    Sequence: typing.Annotated[int, pydantic.Field(ge=0, le=SEQUENCE_MAX)]
    # Below 0 when its slow start is over.
    ColdLeftMs: typing.Annotated[
        float, pydantic.Field(ge=-COLD_MAX_MS, le=COLD_MAX_MS)
    ] = 0


@dataclasses.dataclass(frozen=True)
class _Heartbeat:
    __pydantic_config__ = _IGNORE_EXTRA

    Address: str
    Info: _Info
    Status: _Status
    # Start time of the server process: milliseconds since the Unix epoch by
    # the server's own clock.
    born: typing.Annotated[int, pydantic.Field(ge=0, le=START_TIME_MAX_MS)] = 0


_HEARTBEAT_ADAPTER = pydantic.TypeAdapter(_Heartbeat)


def handle_request(process, request, now_ms):
    """Handle a request of the backend server.

    :param process: :class:`~fescueyard.node.app.NodeProcess`.
    :param request: :class:`~fescueyard.core.http.HttpRequest`.
    :param now_ms: the present time.
    :returns: :class:`~fescueyard.core.http.HttpResponse`.
    """
    path = request.target.partition("?")[0]
    if not path.startswith(PATH_PREFIX):
        return _json_response(404)
    instance = urllib.parse.unquote(path[len(PATH_PREFIX) :])
    if request.method == "DELETE":
        process.backend_left(instance, now_ms)
        return _json_response(200)
    if request.method != "PUT":
        return _json_response(405)
    try:
        announcement = parse(instance, request.body)
    except exceptions.RequestError as error:
        LOG.warning(
            "announcement_refused",
            instance=instance[:NAME_CHARS_MAX],
            detail=error.detail[:ERROR_CHARS_MAX],
        )
        return _json_response(400)
    process.apply_announcement(announcement, now_ms)
    return _json_response(200)


def parse(instance, body):
    """Parse an announcement.

    :param instance: id of the backend server, from the request path.
    :param body: JSON bytes.
    :returns: :class:`~fescueyard.admission.announcements.Announcement`.
    :raises RequestError: when the announcement is malformed or describes no
        usable backend server.
    """
    try:
        heartbeat = _HEARTBEAT_ADAPTER.validate_json(body)
    except pydantic.ValidationError as error:
        raise exceptions.RequestError(
            configuration_models.format_validation_error(error)
        ) from None
    if heartbeat.Status.State not in (STATE_READY, STATE_DRAINING):
        raise exceptions.RequestError(
            f"unknown state {heartbeat.Status.State!r}"
        )
    if not _NAME_PATTERN.fullmatch(instance):
        raise exceptions.RequestError(f"malformed instance id {instance!r}")
    _check_address(heartbeat.Address)
    return announcements.Announcement(
        instance,
        heartbeat.Info.Service,
        heartbeat.Address,
        heartbeat.Info.Slots,
        heartbeat.born,
        heartbeat.Status.Sequence,
        heartbeat.Status.State == STATE_DRAINING,
        max(0.0, heartbeat.Status.ColdLeftMs),
    )


def _check_address(address):
    try:
        addresses.parse(address)
    except exceptions.SettingsError as error:
        raise exceptions.RequestError(error.detail) from None


def _json_response(status):
    headers = [http.Header("content-type", "application/json")]
    return http.HttpResponse(status, headers, json.dumps({}).encode())
