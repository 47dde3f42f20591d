"""Tables of the retry allowance."""

import dataclasses

from fescueyard.core import dumps
from fescueyard.retries import budget as retry_budget


@dataclasses.dataclass(slots=True)
class RetryLedger:
    """Retry allowance of one call chain that entered here.

    :param retries_left: retries left over the whole chain.
    :param expires_at_ms: deadline of the chain.
    """

    retries_left: int
    expires_at_ms: float = dataclasses.field(
        metadata=dumps.written_as("ends_at_ms")
    )


@dataclasses.dataclass(slots=True)
class PendingRetryRequest:
    """A retry request to another node's ledger.

    :param call_id: the call to retry.
    :param timeout_at_ms: without a response by then the retry is refused.
    """

    call_id: int
    timeout_at_ms: float = dataclasses.field(
        metadata=dumps.written_as("give_up_at_ms")
    )


@dataclasses.dataclass
class RetryTable:
    """Ledgers kept here, pending requests and this node's budgets.

    :param ledgers: by id of the chain.
    :param pending_requests: by request id.
    :param node_budget: retries of call chains that this node may make now;
        first attempts add to it.
    :param service_budgets: budgets for retries of routed requests, by
        service.
    """

    ledgers: dict[str, RetryLedger] = dataclasses.field(default_factory=dict)
    pending_requests: dict[int, PendingRetryRequest] = dataclasses.field(
        default_factory=dict, metadata=dumps.written_as("asks")
    )
    last_request_id: int = dataclasses.field(
        default=0, metadata=dumps.written_as("last_ask_id")
    )
    node_budget: float = dataclasses.field(
        default=10.0, metadata=dumps.written_as("budget")
    )
    service_budgets: dict[str, retry_budget.ServiceBudget] = dataclasses.field(
        default_factory=dict, metadata=dumps.written_as("budgets")
    )
