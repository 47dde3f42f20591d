"""I/O that the decision logic requests; the I/O layer executes it."""

import dataclasses

from fescueyard.core import dumps
from fescueyard.core import http


@dataclasses.dataclass(slots=True)
class SendMessage:
    """Send a message over the stream to an address.

    :param address: ``host:port`` of the process.
    :param message: a registered message.
    """

    address: str
    message: object


@dataclasses.dataclass(slots=True)
class SendReply:
    """Send a message over the stream that carried the request.

    :param stream: handle of the stream.
    :param message: a registered message.
    """

    stream: object
    message: object


@dataclasses.dataclass(slots=True)
class SendDatagram:
    """Send a message as one datagram.

    :param address: ``host:port`` of the process.
    :param message: a registered message.
    """

    address: str
    message: object


@dataclasses.dataclass(slots=True)
class DropStream:
    """Abort the stream to a process that no longer exists.

    :param address: ``host:port`` of the process.
    """

    address: str


@dataclasses.dataclass(slots=True)
class RespondToCaller:
    """Send the response of an HTTP exchange.

    :param exchange_id: id of the HTTP exchange.
    :param response: the complete response.
    """

    exchange_id: int
    response: http.HttpResponse = dataclasses.field(
        metadata=dumps.written_as("answer")
    )


@dataclasses.dataclass(slots=True)
class StartRun:
    """Send a request to the VM's backend server.

    :param run_id: id of the run.
    :param address: ``host:port`` of the backend server.
    :param request: the request.
    :param idempotent: whether the request may safely run twice.
    """

    run_id: int
    address: str
    request: http.HttpRequest
    idempotent: bool


@dataclasses.dataclass(slots=True)
class AbortRun:
    """Abort a run.

    :param run_id: id of the run.
    """

    run_id: int


@dataclasses.dataclass(slots=True)
class ProbeBackend:
    """Check whether the VM's backend server accepts connections.

    :param address: ``host:port`` of the backend server.
    """

    address: str


@dataclasses.dataclass(slots=True)
class QueryHealth:
    """Request the health path of the VM's backend server.

    :param address: ``host:port`` of the backend server.
    :param path: its health path.
    :param break_count: breaks of its connections known at this time.
    """

    address: str
    path: str
    break_count: int


@dataclasses.dataclass(slots=True)
class Dial:
    """Open a stream to a process, without a message to send.

    :param address: ``host:port`` of the process.
    """

    address: str
