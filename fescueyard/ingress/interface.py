"""How a node reads callers' requests and words its refusals."""

import collections.abc
import dataclasses

from fescueyard.core import headers
from fescueyard.core import problems


@dataclasses.dataclass(frozen=True)
class Interface:
    """The spelling of a node's interface towards callers and servers.

    :param names: :class:`~fescueyard.core.headers.HeaderNames`.
    :param refuse: makes the answer of a refusal from its result code, a
        sentence and a time in ms after which to come back.
    """

    names: headers.HeaderNames = dataclasses.field(
        default_factory=headers.HeaderNames
    )
    refuse: collections.abc.Callable = problems.problem
