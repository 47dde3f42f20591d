"""HTTP requests and responses, as they are sent between processes."""

import dataclasses

STATUS_MIN = 100
FINAL_STATUS_MIN = 200
STATUS_MAX = 599


@dataclasses.dataclass(slots=True)
class Header:
    """One header field.

    :param name: lower-case name.
    :param value: value without surrounding whitespace.
    """

    name: str
    value: str


@dataclasses.dataclass(slots=True)
class HttpRequest:
    """A complete request.

    :param method: upper-case method.
    :param target: path and query.
    :param headers: header fields in order.
    :param body: the complete body.
    """

    method: str
    target: str
    headers: list[Header]
    body: bytes

    def header(self, name):
        """Return the first value of a header.

        :param name: lower-case name.
        :returns: the value, or None.
        """
        return find_header(self.headers, name)


@dataclasses.dataclass(slots=True)
class HttpResponse:
    """A complete response.

    :param status: HTTP status.
    :param headers: header fields in order.
    :param body: the complete body.
    """

    status: int
    headers: list[Header]
    body: bytes


def find_header(headers, name):
    """Return the first value of a header.

    :param headers: list of :class:`Header`.
    :param name: lower-case name.
    :returns: the value, or None.
    """
    for header in headers:
        if header.name == name:
            return header.value
    return None


def is_valid_status(status):
    """Return whether a number is a status of HTTP.

    :param status: the number in a response.
    :returns: bool.
    """
    return STATUS_MIN <= status <= STATUS_MAX


def is_final_status(status):
    """Return whether a number is the status of a final response.

    :param status: the number in a response.
    :returns: bool.
    """
    return FINAL_STATUS_MIN <= status <= STATUS_MAX
