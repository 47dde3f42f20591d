"""Data classes of HTTP requests and answers, as they cross processes."""

import dataclasses


@dataclasses.dataclass(slots=True)
class Header:
    """One header field.

    :param name: lower-case name.
    :param value: value without surrounding space.
    """

    name: str
    value: str


@dataclasses.dataclass(slots=True)
class HttpRequest:
    """A whole request.

    :param method: upper-case method.
    :param target: path and query.
    :param headers: header fields in order.
    :param body: the whole body.
    """

    method: str
    target: str
    headers: list[Header]
    body: bytes

    def header(self, name):
        """Find the first value of a header.

        :param name: lower-case name.
        :returns: the value, or None.
        """
        return find_header(self.headers, name)


@dataclasses.dataclass(slots=True)
class HttpResponse:
    """A whole answer.

    :param status: HTTP status.
    :param headers: header fields in order.
    :param body: the whole body.
    """

    status: int
    headers: list[Header]
    body: bytes


def find_header(headers, name):
    """Find the first value of a header.

    :param headers: list of :class:`Header`.
    :param name: lower-case name.
    :returns: the value, or None.
    """
    for header in headers:
        if header.name == name:
            return header.value
    return None
