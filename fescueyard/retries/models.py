"""Tables of the retry allowance."""

import dataclasses

from fescueyard.retries import budget as retry_budget


@dataclasses.dataclass(slots=True)
class RetryLedger:
    """Retries left for one call chain that entered here.

    :param retries_left: over the whole chain.
    :param expires_at_ms: deadline of the chain.
    """

    retries_left: int
    expires_at_ms: float


@dataclasses.dataclass(slots=True)
class PendingRetryRequest:
    """A question to another node's ledger.

    :param call_id: the call that wants to try again.
    :param give_up_at_ms: no answer by then means no retry.
    """

    call_id: int
    give_up_at_ms: float


@dataclasses.dataclass
class RetryTable:
    """Ledgers kept here, open questions and the node's own budget.

    :param budget: retries this node may make now; first tries add to it.
    :param service_budgets: repeats of routed requests, by service.
    """

    ledgers: dict[str, RetryLedger] = dataclasses.field(default_factory=dict)
    pending_requests: dict[int, PendingRetryRequest] = dataclasses.field(
        default_factory=dict
    )
    last_request_id: int = 0
    node_budget: float = 10.0
    service_budgets: dict[str, retry_budget.ServiceBudget] = dataclasses.field(
        default_factory=dict
    )
