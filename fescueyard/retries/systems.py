"""Retries bounded over the whole call chain and on each node.

The node where a chain enters keeps its ledger. Every retry anywhere in the
chain is requested there first; a ledger that can't be reached allows none. In
addition, a node makes at most a tenth as many retries as first attempts, plus
an initial budget.
"""

import dataclasses

from fescueyard.core import dispatch
from fescueyard.core import dumps
from fescueyard.core import effects
from fescueyard.core import timers
from fescueyard.retries import messages
from fescueyard.retries import models

BUDGET_PER_FIRST_ATTEMPT = 0.1
BUDGET_MAX = 50.0
REQUEST_TIMEOUT_MS = 250
LEDGER_GRACE_MS = 1_000


@dataclasses.dataclass(slots=True)
class RetryDecided:
    """Event: a retry of a call is granted or refused."""

    call_id: int
    granted: bool


@dataclasses.dataclass(slots=True)
class LedgerExpired:
    """Event: the deadline of a chain has passed."""

    chain_id: str


@dataclasses.dataclass(slots=True)
class RequestTimedOut:
    """Event: a ledger has not responded in time."""

    request_id: int = dataclasses.field(metadata=dumps.written_as("ask_id"))


def open_ledger(tables, chain_id, allowance, expires_at_ms):
    """Open the ledger of a chain that enters here.

    :param tables: the node's tables.
    :param chain_id: the chain.
    :param allowance: retries over the whole chain.
    :param expires_at_ms: deadline of the chain.
    """
    tables.retries.ledgers[chain_id] = models.RetryLedger(
        allowance, expires_at_ms
    )
    timers.schedule(
        tables.timers, expires_at_ms + LEDGER_GRACE_MS, LedgerExpired(chain_id)
    )


def record_first_attempt(tables):
    """Add to the node's budget for a call's first attempt.

    :param tables: the node's tables.
    """
    budget = tables.retries.node_budget + BUDGET_PER_FIRST_ATTEMPT
    tables.retries.node_budget = min(BUDGET_MAX, budget)


def request_retry(tables, call_id, chain, now_ms):
    """Request a retry; a :class:`RetryDecided` event follows.

    :param tables: the node's tables.
    :param call_id: the call.
    :param chain: its :class:`~fescueyard.retries.messages.Chain`.
    :param now_ms: the present time.
    """
    table = tables.retries
    if table.node_budget < 1:
        tables.events.append(RetryDecided(call_id, False))
        return
    table.node_budget -= 1
    if chain.ledger_address == tables.members.own.address:
        granted = _take_retry(table, chain.chain_id, now_ms)
        tables.events.append(RetryDecided(call_id, granted))
        return
    table.last_request_id += 1
    request_id = table.last_request_id
    timeout_at_ms = now_ms + REQUEST_TIMEOUT_MS
    table.pending_requests[request_id] = models.PendingRetryRequest(
        call_id, timeout_at_ms
    )
    timers.schedule(tables.timers, timeout_at_ms, RequestTimedOut(request_id))
    request = messages.RetryRequest(request_id, chain.chain_id)
    tables.effects.append(effects.SendMessage(chain.ledger_address, request))


@dispatch.receive.register
def _receive_request(message: messages.RetryRequest, tables, sender, now_ms):
    granted = _take_retry(tables.retries, message.chain_id, now_ms)
    response = messages.RetryResponse(message.request_id, granted)
    tables.effects.append(effects.SendReply(sender.stream, response))


@dispatch.receive.register
def _receive_response(message: messages.RetryResponse, tables, sender, now_ms):
    _decide(tables, message.request_id, message.granted)


@dispatch.handle_unsent.register
def _handle_unsent_request(
    message: messages.RetryRequest, tables, address, now_ms
):
    _decide(tables, message.request_id, False)


@dispatch.handle.register
def _time_out_request(event: RequestTimedOut, tables, now_ms):
    _decide(tables, event.request_id, False)


@dispatch.handle.register
def _expire_ledger(event: LedgerExpired, tables, now_ms):
    tables.retries.ledgers.pop(event.chain_id, None)


def _decide(tables, request_id, granted):
    pending = tables.retries.pending_requests.pop(request_id, None)
    if pending is not None:
        tables.events.append(RetryDecided(pending.call_id, granted))


def _take_retry(table, chain_id, now_ms):
    ledger = table.ledgers.get(chain_id)
    if (
        ledger is None
        or now_ms >= ledger.expires_at_ms
        or ledger.retries_left < 1
    ):
        return False
    ledger.retries_left -= 1
    return True
