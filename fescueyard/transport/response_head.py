"""Checks of the head of a backend server's response.

The parser also accepts heads that HTTP/1.1 does not allow. A response with
such a head is malformed, and nothing of it may reach a caller.
"""

from fescueyard.core import exceptions
from fescueyard.core import http


def check(status):
    """Check the head of a response.

    :param status: its status.
    :raises ResponseError: when the head is malformed.
    """
    if not http.is_valid_status(status):
        raise exceptions.ResponseError(f"status {status:03} is not of HTTP")
