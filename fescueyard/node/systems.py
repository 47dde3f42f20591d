"""The systems of a node: its tick and its events.

Importing this module registers every package's messages and events.
"""

import dataclasses

from fescueyard.admission import registration
from fescueyard.admission import start_limits
from fescueyard.admission import systems as admission
from fescueyard.core import dispatch
from fescueyard.core import exceptions
from fescueyard.core import timers
from fescueyard.idempotency import replica as claim_replica
from fescueyard.ingress import systems as ingress
from fescueyard.limits import systems as limits
from fescueyard.limits import token_requests
from fescueyard.node import pull
from fescueyard.routing import balancer
from fescueyard.routing import membership
from fescueyard.routing import models as routing_models
from fescueyard.routing import table_sync
from fescueyard.routing import zone_health

TICK_MAX_MS = 100
TIMER_GRANULARITY_MS = 20
CLAIM_HANDOVER_MAX_MS = 5_000
# Time that a planned stop leaves for the last runs at the backend server.
FINAL_RUNS_GRACE_MS = 600


def tick(tables, now_ms):
    """Run all systems of the node once.

    :param tables: the node's tables.
    :param now_ms: the present time.
    """
    start_limits.tick(tables, now_ms)
    for event in timers.pop_due(tables.timers, now_ms):
        dispatch.handle(event, tables, now_ms)
    membership.tick(tables, now_ms)
    table_sync.tick(tables, now_ms)
    limits.tick(tables, now_ms)
    if tables.routed:
        admission.tick(tables, now_ms)
        balancer.tick(tables, now_ms)
        zone_health.tick(tables, now_ms)
    claim_replica.tick(tables, now_ms)
    pull.tick(tables, now_ms)
    handle_events(tables, now_ms)


def next_due_ms(tables, now_ms):
    """Return when the next tick is due.

    :param tables: the node's tables.
    :param now_ms: the present time.
    :returns: a time, :data:`TICK_MAX_MS` from now at the latest.
    """
    due_ms = min(now_ms + TICK_MAX_MS, limits.next_due_ms(tables, now_ms))
    if tables.timers.heap:
        # Most timers belong to calls that have already completed, so due
        # timers are batched.
        timer_due_ms = max(
            tables.timers.heap[0][0], now_ms + TIMER_GRANULARITY_MS
        )
        due_ms = min(due_ms, timer_due_ms)
    return due_ms


def earliest_due_ms(tables, now_ms):
    """Return a time before which no tick is due, at little cost.

    A tick scheduled up to then needn't be compared with :func:`next_due_ms`,
    which is the case after most messages.

    :param tables: the node's tables.
    :param now_ms: the present time.
    :returns: a time, at most what :func:`next_due_ms` returns.
    """
    if tables.limits.waiting:
        return now_ms
    return now_ms + min(
        TICK_MAX_MS,
        TIMER_GRANULARITY_MS,
        token_requests.NODE_REPORT_INTERVAL_MS,
    )


def receive(message, tables, sender, now_ms):
    """Handle a message and the events that follow from it.

    :param message: the message.
    :param tables: the node's tables.
    :param sender: :class:`~fescueyard.core.dispatch.Sender`.
    :param now_ms: the present time.
    :raises StreamError: when the message is not for a node.
    """
    if sender.peer_id:
        zone_health.heard(tables, sender.peer_id)
    dispatch.receive(message, tables, sender, now_ms)
    handle_events(tables, now_ms)


def handle_events(tables, now_ms):
    """Handle the node's events until the queue is empty.

    :param tables: the node's tables.
    :param now_ms: the present time.
    :raises InconsistentTablesError: when an event can't be handled.
    """
    while tables.events:
        events = tables.events
        tables.events = []
        for event in events:
            try:
                dispatch.handle(event, tables, now_ms)
            except Exception as error:
                # It belongs to no input, and the events behind it are lost.
                raise exceptions.InconsistentTablesError(
                    f"{type(event).__name__}: {error!r}"
                ) from error


@dataclasses.dataclass(slots=True)
class RunAdmissionClosed:
    """Event: a draining node accepts no more runs from now on."""


def drain(tables, now_ms):
    """Begin a planned stop.

    Without a notice period the node refuses callers and runs and returns its
    tokens immediately. With one, the backend server continues to accept runs
    until shortly before the period is over, so that its last runs complete
    about when the callers have left.

    :param tables: the node's tables.
    :param now_ms: the present time.
    """
    if tables.draining:
        return
    tables.draining = True
    tables.draining_since_ms = now_ms
    membership.update_own_member(tables, now_ms, leaving=True)
    if tables.leave_notice_ms:
        close_at_ms = now_ms + max(
            0, tables.leave_notice_ms - FINAL_RUNS_GRACE_MS
        )
        timers.schedule(tables.timers, close_at_ms, RunAdmissionClosed())
    else:
        registration.close(tables, now_ms)
        limits.return_all_tokens(tables, now_ms)
    handle_events(tables, now_ms)


@dispatch.handle.register
def _close_run_admission(event: RunAdmissionClosed, tables, now_ms):
    registration.close(tables, now_ms)


def is_ready(tables):
    """Return whether callers should use this node.

    :param tables: the node's tables.
    :returns: bool.
    """
    return not tables.draining and bool(tables.configuration.state.cluster_id)


def may_stop(tables, now_ms):
    """Return whether a draining node may stop.

    The node waits for its calls and runs, for the notice period, and up to
    :data:`CLAIM_HANDOVER_MAX_MS` for other replicas to take over its claims.

    :param tables: the node's tables.
    :param now_ms: the present time.
    :returns: bool.
    """
    if not tables.draining or tables.calls.rows or tables.runs.rows:
        return False
    waited_ms = now_ms - tables.draining_since_ms
    if waited_ms < tables.leave_notice_ms:
        return False
    return waited_ms > CLAIM_HANDOVER_MAX_MS or not claim_replica.is_replica(
        tables
    )


def announce_leave(tables, now_ms):
    """Return the tokens that are left and announce that this process left.

    :param tables: the node's tables.
    :param now_ms: the present time.
    """
    limits.return_all_tokens(tables, now_ms)
    membership.update_own_member(tables, now_ms, status=routing_models.LEFT)
    membership.tick(tables, now_ms)


def stream_lost(tables, peer_id, address, stream, now_ms):
    """Handle the loss of a stream.

    :param tables: the node's tables.
    :param peer_id: the process at its other end; None before it is known.
    :param address: ``host:port`` that was dialled; None for an accepted
        stream.
    :param stream: handle of the stream.
    :param now_ms: the present time.
    """
    if address is not None:
        ingress.stream_lost(tables, address, now_ms)
    admission.stream_lost(tables, peer_id, stream, now_ms)
    handle_events(tables, now_ms)
