"""Requests to the VM's own backend server, their responses and results."""

import concurrent.futures
import dataclasses

from fescueyard.core import codes
from fescueyard.core import http
from fescueyard.core import notices

_BODYLESS_STATUSES = (204, 304)


@dataclasses.dataclass
class BackendResult:
    """Result of a run at the backend server.

    :param response: the complete response, or None.
    :param code: result code; ``OK`` with a response.
    :param notice: what the backend server says of itself in the response, or
        in its refusal; None without either.
    :param connected_at_ms: time at which the connection of the response was
        opened, in ms of the process's clock; None without a response.
    """

    response: http.HttpResponse | None
    code: codes.ResultCode
    notice: notices.ServerNotice | None = None
    connected_at_ms: float | None = None


@dataclasses.dataclass
class Transfer:
    """One request in progress.

    :param request_id: id that the response echoes; empty for none.
    :param expects_instance: whether the request names an instance id, so that
        the backend server may respond that it is another instance.
    """

    request: http.HttpRequest
    head: bytes
    request_id: str
    expects_instance: bool
    future: concurrent.futures.Future | None
    connection: object = None
    cancelled: bool = False


@dataclasses.dataclass(slots=True)
class Completion:
    """A request that has ended, and the result that is still to be set."""

    transfer: Transfer
    result: BackendResult


class Response:
    """A response being parsed.

    ``status`` and ``headers`` are those of its head, which is whole when
    ``headers_complete``; ``body`` is what has arrived of the body.
    """

    def __init__(self):
        self.status = 0
        self.headers = []
        self.body = bytearray()
        self.headers_complete = False

    def header(self, name):
        """Return the first value of a header.

        :param name: lower-case name.
        :returns: the value, or None.
        """
        return http.find_header(self.headers, name)

    def is_interim(self):
        """Return whether another response to the same request follows.

        :returns: bool.
        """
        return self.status < http.FINAL_STATUS_MIN

    def is_delimited_by_close(self):
        """Return whether the response ends when the connection closes.

        :returns: bool.
        """
        if not self.headers_complete or self.status in _BODYLESS_STATUSES:
            return False
        length = self.header("content-length")
        return length is None and self.header("transfer-encoding") is None
