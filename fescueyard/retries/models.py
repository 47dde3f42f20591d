"""Tables of the retry allowance."""

import dataclasses

from fescueyard.retries import budget as retry_budget


@dataclasses.dataclass(slots=True)
class LedgerRow:
    """Retries left for one call chain that entered here.

    :param retries_left: over the whole chain.
    :param ends_at_ms: deadline of the chain.
    """

    retries_left: int
    ends_at_ms: float


@dataclasses.dataclass(slots=True)
class AskRow:
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
    :param budgets: repeats of routed requests, by service.
    """

    ledgers: dict[str, LedgerRow] = dataclasses.field(default_factory=dict)
    asks: dict[int, AskRow] = dataclasses.field(default_factory=dict)
    last_ask_id: int = 0
    budget: float = 10.0
    budgets: dict[str, retry_budget.BudgetRow] = dataclasses.field(
        default_factory=dict
    )
