"""Requests of the backend server on this VM: announcing and leaving."""

import dataclasses
import json
import urllib.parse

import pydantic

from fescueyard.admission import announcements
from fescueyard.configuration import models as configuration_models
from fescueyard.core import addresses
from fescueyard.core import exceptions
from fescueyard.core import http
from fescueyard.core import logs

LOG = logs.ComponentLogger("announcement")

PATH_PREFIX = "/v1/instances/"
# Values of ``Status.State``.
STATE_READY = "ready"
STATE_DRAINING = "draining"

_IGNORE_EXTRA = pydantic.ConfigDict(extra="ignore", strict=True)


@dataclasses.dataclass(frozen=True)
class _Info:
    """Properties that are constant for the lifetime of the server process."""

    __pydantic_config__ = _IGNORE_EXTRA

    Service: str
    Slots: int


@dataclasses.dataclass(frozen=True)
class _Status:
    """Properties that change while the server process runs."""

    __pydantic_config__ = _IGNORE_EXTRA

    State: str
    # Increases with every announcement of the same process.
    Sequence: int
    ColdLeftMs: pydantic.FiniteFloat = 0


@dataclasses.dataclass(frozen=True)
class _Heartbeat:
    __pydantic_config__ = _IGNORE_EXTRA

    Address: str
    Info: _Info
    Status: _Status
    # Start time of the server process: milliseconds since the Unix epoch by
    # the server's own clock.
    born: int = 0


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
            "announcement_refused", instance=instance, detail=error.detail
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
    if not instance or not heartbeat.Info.Service or heartbeat.Info.Slots < 1:
        raise exceptions.RequestError(
            "instance id or service is empty, or slots is below 1"
        )
    _check_address(heartbeat.Address)
    return announcements.Announcement(
        instance,
        heartbeat.Info.Service,
        heartbeat.Address,
        heartbeat.Info.Slots,
        heartbeat.born,
        heartbeat.Status.Sequence,
        heartbeat.Status.State == STATE_DRAINING,
        heartbeat.Status.ColdLeftMs,
    )


def _check_address(address):
    try:
        addresses.parse(address)
    except exceptions.SettingsError as error:
        raise exceptions.RequestError(error.detail) from None


def _json_response(status):
    headers = [http.Header("content-type", "application/json")]
    return http.HttpResponse(status, headers, json.dumps({}).encode())
