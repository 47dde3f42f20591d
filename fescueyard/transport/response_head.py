"""Checks of the head of a backend server's response.

The parser also accepts heads that HTTP/1.1 does not allow. A response with
such a head is malformed, and nothing of it may reach a caller.
"""

import re

from fescueyard.core import exceptions
from fescueyard.core import http

_VERSIONS = ("1.0", "1.1")
# Empty lines may come first. The parser knows HTTP, RTSP and ICE, so that the
# first letter tells the protocol.
_BEGINNING = re.compile(rb"[\r\n]*(?:H|\Z)")


def may_begin(data):
    """Return whether a response of HTTP may begin with some bytes.

    The parser accepts status lines of other protocols, and does not tell the
    protocol.

    :param data: the bytes that arrived where a response is due.
    :returns: bool.
    """
    return _BEGINNING.match(data) is not None


def check(version, status, headers):
    """Check the head of a response.

    :param version: version of HTTP in its status line.
    :param status: its status.
    :param headers: list of :class:`~fescueyard.core.http.Header`.
    :raises ResponseError: when the head is malformed.
    """
    if version not in _VERSIONS:
        raise exceptions.ResponseError(f"version {version} is not HTTP/1")
    if not http.is_valid_status(status):
        raise exceptions.ResponseError(f"status {status:03} is not of HTTP")
    codings = [
        header.value.lower()
        for header in headers
        if header.name == "transfer-encoding"
    ]
    if codings not in ([], ["chunked"]):
        raise exceptions.ResponseError("transfer coding other than chunked")
