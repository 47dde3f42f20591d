"""Blocking client of the administration API, for the command line."""

import io
import json
import time

import pycurl
import pydantic

from fescueyard.conf import settings as conf_settings
from fescueyard.control import admin
from fescueyard.core import codes
from fescueyard.core import exceptions
from fescueyard.core import http
from fescueyard.core import ids

ATTEMPT_TIMEOUT_MS = 4_000
# An attempt with less time left can't succeed.
ATTEMPT_MIN_MS = 10
RETRY_DELAY_MS = 200
# Dumps are the largest responses.
RESPONSE_BYTES_MAX = 64 * 1024 * 1024
_SUCCESS_STATUS_MIN = 200
_SUCCESS_STATUS_MAX = 299


class _Problem(pydantic.BaseModel):
    """Problem details document of a refusal."""

    code: int = codes.BAD_CHANGE.number
    detail: str = ""
    version: int = 0


class Unreachable(exceptions.FescueyardError):
    """No usable response came from an address."""

    code = codes.PEER_UNREACHABLE


class Refused(exceptions.FescueyardError):
    """The administration API refused a request.

    :param detail: one sentence that describes the refusal.
    :param code: the :class:`~fescueyard.core.codes.ResultCode`.
    :param version: current version of the object; 0 when not known.
    """

    def __init__(self, detail, code, version):
        super().__init__(detail, code)
        self.version = version


class _LimitedBody:
    """Collects a response body up to :data:`RESPONSE_BYTES_MAX`."""

    def __init__(self):
        self._buffer = io.BytesIO()

    def write(self, data):
        """Collect a piece, as a write function of libcurl.

        :param data: bytes of the body.
        :returns: number of bytes taken; fewer end the transfer.
        """
        if self._buffer.tell() + len(data) > RESPONSE_BYTES_MAX:
            return 0
        return self._buffer.write(data)

    def value(self):
        """Return the body.

        :returns: bytes.
        """
        return self._buffer.getvalue()


def fetch(method, url, headers, body, timeout_ms):
    """Send one HTTP request and wait for the response.

    :param method: HTTP method.
    :param url: absolute URL.
    :param headers: list of :class:`~fescueyard.core.http.Header`.
    :param body: body bytes.
    :param timeout_ms: time limit of the request, in ms.
    :returns: :class:`~fescueyard.core.http.HttpResponse` without headers.
    :raises Unreachable: when no complete response is received, or a larger
        one than :data:`RESPONSE_BYTES_MAX`.
    """
    curl = pycurl.Curl()
    received = _LimitedBody()
    curl.setopt(pycurl.URL, url)
    curl.setopt(pycurl.PROXY, "")
    curl.setopt(pycurl.NOSIGNAL, 1)
    curl.setopt(pycurl.TIMEOUT_MS, int(timeout_ms))
    curl.setopt(pycurl.CUSTOMREQUEST, method)
    if body:
        curl.setopt(pycurl.POSTFIELDS, body)
    curl.setopt(
        pycurl.HTTPHEADER,
        [f"{header.name}: {header.value}" for header in headers],
    )
    curl.setopt(pycurl.WRITEFUNCTION, received.write)
    try:
        curl.perform()
        status = curl.getinfo(pycurl.RESPONSE_CODE)
    except pycurl.error as error:
        raise Unreachable(f"{url}: {error.args[1]}") from None
    finally:
        curl.close()
    if not http.is_valid_status(status):
        raise Unreachable(f"{url}: status {status} is not of HTTP")
    return http.HttpResponse(status, [], received.value())


class AdminClient:
    """A client of the administration API that tries its addresses in order.

    A retry of a change has the same change id, so the change takes effect
    only once.

    :param settings: :class:`~fescueyard.conf.settings.OperatorSettings`.
    """

    def __init__(self, settings):
        self._addresses = settings.admin_addresses
        self._timeout_ms = settings.timeout_ms
        token = conf_settings.read_secret(
            settings.operator_token,
            settings.operator_token_file,
            "operator_token",
        )
        self._token = token.decode()

    def read(self, path):
        """Read a resource.

        :param path: path of the resource.
        :returns: the decoded JSON response.
        :raises Refused: when the API refuses the request.
        :raises Unreachable: when no control process responds in time.
        """
        return self._request("GET", path, [], b"")

    def change(self, method, path, document, expected_version, change_id=""):
        """Change an object.

        :param method: ``PUT`` or ``DELETE``.
        :param path: path of the resource.
        :param document: request body, JSON bytes.
        :param expected_version: version that the change is based on.
        :param change_id: id of the change; generated when empty.
        :returns: the decoded JSON response.
        :raises Refused: when the API refuses the request.
        :raises Unreachable: when the outcome remains unknown.
        """
        change_id = change_id or ids.new_id("ch-")
        headers = [
            http.Header(admin.CHANGE_ID_HEADER, change_id),
            http.Header(admin.EXPECTED_VERSION_HEADER, str(expected_version)),
        ]
        return self._request(method, path, headers, document)

    def _request(self, method, path, headers, body):
        headers = headers + [
            http.Header("authorization", f"Bearer {self._token}")
        ]
        deadline_ms = _monotonic_ms() + self._timeout_ms
        last_error = Unreachable("no control process responded")
        while True:
            for address in self._addresses:
                left_ms = deadline_ms - _monotonic_ms()
                if left_ms < ATTEMPT_MIN_MS:
                    raise last_error
                url = f"http://{address}{path}"
                timeout_ms = min(ATTEMPT_TIMEOUT_MS, left_ms)
                try:
                    response = fetch(method, url, headers, body, timeout_ms)
                    return parse_response(response)
                except Unreachable as error:
                    last_error = error
                except Refused as error:
                    if not error.code.retryable:
                        raise
                    last_error = error
            time.sleep(RETRY_DELAY_MS / 1000)


def _monotonic_ms():
    return time.monotonic() * 1000


def is_success(response):
    """Return whether a request succeeded.

    :param response: :class:`~fescueyard.core.http.HttpResponse`.
    :returns: bool.
    """
    return _SUCCESS_STATUS_MIN <= response.status <= _SUCCESS_STATUS_MAX


def parse_response(response):
    """Parse a JSON response.

    :param response: :class:`~fescueyard.core.http.HttpResponse`.
    :returns: the decoded JSON.
    :raises Refused: when the request was refused.
    :raises Unreachable: when the response can't be read.
    """
    if not is_success(response):
        raise _parse_refusal(response.body)
    try:
        return json.loads(response.body)
    except (ValueError, RecursionError):
        raise Unreachable("the response is not JSON") from None


def _parse_refusal(body):
    try:
        problem = _Problem.model_validate_json(body)
        code = codes.by_number(problem.code)
    except (ValueError, KeyError):
        return Unreachable("the refusal can't be read")
    return Refused(problem.detail, code, problem.version)
