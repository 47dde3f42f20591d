"""Where a response of a backend server may end.

The parser goes on with the next response in the same call, and does not tell
where it begins. Bytes are therefore parsed in steps that no response crosses,
so that the first bytes of each can be checked.
"""

# Ends a line and the empty line behind it.
_LINES_END = b"\n\r\n"
# An empty line, also one whose first byte has arrived before.
_EMPTY_LINES = (b"\r\n", b"\n")


def step_end(response, data, start):
    """Return where a step ends that crosses the end of no response.

    A response ends with its head, behind its chunks or their trailers, each
    time with an empty line; by its length; or when the connection closes.

    :param response: the :class:`~fescueyard.transport.transfers.Response`
        that is being parsed; None when the next one is due.
    :param data: the bytes that have arrived.
    :param start: offset of the step, less than the length of the data.
    :returns: offset behind its last byte, greater than ``start``.
    """
    if response is not None and response.headers_complete:
        if response.is_delimited_by_close():
            return len(data)
        length = response.header("content-length")
        if length is not None:
            bytes_left = int(length) - len(response.body)
            return min(len(data), start + max(bytes_left, 1))
    return _empty_line_end(data, start)


def _empty_line_end(data, start):
    """Return the offset behind the first empty line, or that of the end."""
    for empty_line in _EMPTY_LINES:
        if data.startswith(empty_line, start):
            return start + len(empty_line)
    position = data.find(_LINES_END, start)
    return len(data) if position < 0 else position + len(_LINES_END)
