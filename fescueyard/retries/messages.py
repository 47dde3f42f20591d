"""Messages about the retry allowance of a call chain."""

import dataclasses

from fescueyard.core import dumps
from fescueyard.core import wire


@dataclasses.dataclass(slots=True)
class Chain:
    """The call chain that a request belongs to.

    :param chain_id: assigned where the chain entered the fleet.
    :param ledger_address: ``host:port`` of the node that keeps its ledger.
    :param depth: hops so far; 1 for the caller's own request.
    """

    chain_id: str
    ledger_address: str
    depth: int


@wire.message(50)
@dataclasses.dataclass(slots=True)
class RetryRequest:
    """Requests one more attempt from the node that keeps the ledger.

    :param request_id: number of the request at the requesting node.
    """

    request_id: int = dataclasses.field(metadata=dumps.written_as("ask_id"))
    chain_id: str


@wire.message(51)
@dataclasses.dataclass(slots=True)
class RetryResponse:
    """Response to a :class:`RetryRequest`."""

    request_id: int = dataclasses.field(metadata=dumps.written_as("ask_id"))
    granted: bool
