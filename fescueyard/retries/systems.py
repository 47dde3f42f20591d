"""Retries bounded over the whole call chain and on each node.

The node where a chain enters keeps its ledger. Every retry anywhere in the
chain asks it first; a ledger that can't be reached allows none. On top, a node
makes at most a tenth as many retries as first tries.
"""

import dataclasses

from fescueyard.core import dispatch
from fescueyard.core import effects
from fescueyard.core import timers
from fescueyard.retries import messages
from fescueyard.retries import models

BUDGET_PER_TRY = 0.1
BUDGET_MAX = 50.0
ASK_TIMEOUT_MS = 250
LEDGER_GRACE_MS = 1_000


@dataclasses.dataclass(slots=True)
class RetryDecided:
    """Event: a call may, or may not, be tried again."""

    call_id: int
    granted: bool


@dataclasses.dataclass(slots=True)
class LedgerEnded:
    """Event: the deadline of a chain has passed."""

    chain_id: str


@dataclasses.dataclass(slots=True)
class AskTimedOut:
    """Event: a ledger has not answered in time."""

    ask_id: int


def open_ledger(tables, chain_id, allowance, ends_at_ms):
    """Open the ledger of a chain that enters here.

    :param tables: the node's tables.
    :param chain_id: the chain.
    :param allowance: retries over the whole chain.
    :param ends_at_ms: deadline of the chain.
    """
    tables.retries.ledgers[chain_id] = models.LedgerRow(allowance, ends_at_ms)
    timers.schedule(
        tables.timers, ends_at_ms + LEDGER_GRACE_MS, LedgerEnded(chain_id)
    )


def count_first_try(tables):
    """Add to the node's budget for a call's first try.

    :param tables: the node's tables.
    """
    budget = tables.retries.budget + BUDGET_PER_TRY
    tables.retries.budget = min(BUDGET_MAX, budget)


def ask_retry(tables, call_id, chain, now_ms):
    """Ask for one more try; a :class:`RetryDecided` event follows.

    :param tables: the node's tables.
    :param call_id: the call.
    :param chain: its :class:`~fescueyard.retries.messages.Chain`.
    :param now_ms: the present time.
    """
    table = tables.retries
    if table.budget < 1:
        tables.events.append(RetryDecided(call_id, False))
        return
    table.budget -= 1
    if chain.ledger_address == tables.members.own.address:
        granted = _withdraw(table, chain.chain_id, now_ms)
        tables.events.append(RetryDecided(call_id, granted))
        return
    table.last_ask_id += 1
    ask_id = table.last_ask_id
    give_up_at_ms = now_ms + ASK_TIMEOUT_MS
    table.asks[ask_id] = models.AskRow(call_id, give_up_at_ms)
    timers.schedule(tables.timers, give_up_at_ms, AskTimedOut(ask_id))
    ask = messages.RetryAsk(ask_id, chain.chain_id)
    tables.effects.append(effects.SendMessage(chain.ledger_address, ask))


@dispatch.receive.register
def _receive_ask(message: messages.RetryAsk, tables, sender, now_ms):
    granted = _withdraw(tables.retries, message.chain_id, now_ms)
    answer = messages.RetryAnswer(message.ask_id, granted)
    tables.effects.append(effects.SendReply(sender.stream, answer))


@dispatch.receive.register
def _receive_answer(message: messages.RetryAnswer, tables, sender, now_ms):
    _decide(tables, message.ask_id, message.granted)


@dispatch.unsent.register
def _take_back_ask(message: messages.RetryAsk, tables, address, now_ms):
    _decide(tables, message.ask_id, False)


@dispatch.handle.register
def _time_out_ask(event: AskTimedOut, tables, now_ms):
    _decide(tables, event.ask_id, False)


@dispatch.handle.register
def _end_ledger(event: LedgerEnded, tables, now_ms):
    tables.retries.ledgers.pop(event.chain_id, None)


def _decide(tables, ask_id, granted):
    row = tables.retries.asks.pop(ask_id, None)
    if row is not None:
        tables.events.append(RetryDecided(row.call_id, granted))


def _withdraw(table, chain_id, now_ms):
    row = table.ledgers.get(chain_id)
    if row is None or now_ms >= row.ends_at_ms or row.retries_left < 1:
        return False
    row.retries_left -= 1
    return True
