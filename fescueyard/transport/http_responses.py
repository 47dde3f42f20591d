"""Serialisation of responses to callers."""

import http

from fescueyard.core import http as http_models

CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
_REASON_PHRASES = {status.value: status.phrase for status in http.HTTPStatus}
_FRAMING_HEADERS = ("connection", "content-length", "transfer-encoding")
_BODYLESS_STATUSES = (204, 304)


def serialise(response, keep_alive, head_only):
    """Serialise a response.

    :param response: :class:`~fescueyard.core.http.HttpResponse`.
    :param keep_alive: whether the connection stays open.
    :param head_only: whether to omit the body, for HEAD.
    :returns: bytes.
    """
    return b"".join(serialise_parts(response, keep_alive, head_only))


def serialise_parts(response, keep_alive, head_only):
    """Serialise a response without a copy of its body.

    :param response: :class:`~fescueyard.core.http.HttpResponse`.
    :param keep_alive: whether the connection stays open.
    :param head_only: whether to omit the body, for HEAD.
    :returns: head and body, as bytes.
    """
    reason_phrase = _REASON_PHRASES.get(response.status, "Unknown")
    lines = [f"HTTP/1.1 {response.status} {reason_phrase}"]
    for header in response.headers:
        if header.name not in _FRAMING_HEADERS:
            lines.append(f"{header.name}: {header.value}")
    bodyless = response.status in _BODYLESS_STATUSES
    if not bodyless:
        length = len(response.body)
        stated_length = http_models.find_header(
            response.headers, "content-length"
        )
        if head_only and stated_length is not None:
            length = stated_length
        lines.append(f"content-length: {length}")
    lines.append("connection: " + ("keep-alive" if keep_alive else "close"))
    head = "\r\n".join(lines) + "\r\n\r\n"
    body = b"" if head_only or bodyless else response.body
    return head.encode("latin-1", "replace"), body
