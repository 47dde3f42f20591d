"""Header names and error responses of a node's HTTP interface."""

import collections.abc
import dataclasses

from fescueyard.core import dumps
from fescueyard.core import headers
from fescueyard.core import problems


@dataclasses.dataclass(frozen=True)
class Interface:
    """Header names and error format towards callers and backend servers.

    :param names: :class:`~fescueyard.core.headers.HeaderNames`.
    :param build_error_response: builds the response to a rejected or failed
        request from its result code, a detail message and the time in ms after
        which to retry.
    """

    names: headers.HeaderNames = dataclasses.field(
        default_factory=headers.HeaderNames
    )
    build_error_response: collections.abc.Callable = dataclasses.field(
        default=problems.problem_response, metadata=dumps.written_as("refuse")
    )
