"""What a backend server says of itself in the headers of its responses."""

import dataclasses
import math
import re

from fescueyard.core import http

_DECIMAL = re.compile(r"[0-9]{1,9}(\.[0-9]{1,9})?")
_LEAVING_VALUE = "1"
_COLD_TIME = re.compile(r"[0-9]{1,9}(\.[0-9]{1,20})?")
COLD_MAX_MS = 86_400_000  # a day


@dataclasses.dataclass(slots=True)
class ServerNotice:
    """What a backend server says of itself.

    :param rate_limit_per_s: requests a second that it takes from all nodes
        together; None when it names no limit, not a number when the limit
        can't be read.
    :param leaving: whether it accepts no new work.
    :param instance: id of the backend server; empty when not known.
    :param born_ms: start time of its process by its own clock, in ms; 0 when
        not known. A server may start again under the id that it had.
    """

    rate_limit_per_s: float | None = None
    leaving: bool = False
    instance: str = ""
    born_ms: int = 0


def parse(headers, names):
    """Parse the headers of a backend server's response.

    :param headers: list of :class:`~fescueyard.core.http.Header`.
    :param names: :class:`~fescueyard.core.headers.HeaderNames`.
    :returns: :class:`ServerNotice`.
    """
    limit_text = http.find_header(headers, names.server_limit)
    leaving_text = http.find_header(headers, names.server_leaving)
    limit_per_s = None
    if limit_text is not None:
        readable = _DECIMAL.fullmatch(limit_text.strip()) is not None
        limit_per_s = float(limit_text) if readable else math.nan
    return ServerNotice(
        limit_per_s,
        leaving_text is not None and leaving_text.strip() == _LEAVING_VALUE,
    )


def parse_cold_ms(headers, names):
    """Parse how long a backend server remains cold, from a health response.

    :param headers: list of :class:`~fescueyard.core.http.Header`.
    :param names: :class:`~fescueyard.core.headers.HeaderNames`.
    :returns: ms; None when it isn't reported, not a number when it can't be
        read or is out of range.
    """
    text = http.find_header(headers, names.cold_ms)
    if text is None:
        return None
    if _COLD_TIME.fullmatch(text.strip()) is None:
        return math.nan
    cold_ms = float(text)
    return cold_ms if cold_ms <= COLD_MAX_MS else math.nan
