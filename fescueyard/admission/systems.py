"""Admission control in front of this VM's backend server.

Every request to the backend server passes through here, so the number in
flight is counted here instead of being reported. A rejection carries the
outcome "not run" only for a request of which no byte was written to the
backend server; removing it from the queue and responding are one step.
"""

import dataclasses

from fescueyard.admission import concurrency_share
from fescueyard.admission import limiter
from fescueyard.admission import messages
from fescueyard.admission import models
from fescueyard.admission import outcomes
from fescueyard.admission import queueing
from fescueyard.admission import registration
from fescueyard.admission import run_headers
from fescueyard.admission import server_limit
from fescueyard.admission import start_limits
from fescueyard.configuration import models as configuration_models
from fescueyard.core import codes
from fescueyard.core import dispatch
from fescueyard.core import dumps
from fescueyard.core import effects
from fescueyard.core import http
from fescueyard.core import logs
from fescueyard.core import timers
from fescueyard.pressure import entry
from fescueyard.pressure import measurement
from fescueyard.retries import quarantine
from fescueyard.routing import evacuation

LOG = logs.ComponentLogger("admission")

# A backend server stops a run at its deadline by itself. This is the time for
# its own response to arrive.
DEADLINE_GRACE_MS = 60
RETRY_AFTER_MIN_MS = 200
RETRY_AFTER_MAX_MS = 10_000
RETRY_AFTER_JITTER_SHARE = 1.0
TOKEN_BITS = 128
# A run is started only while at least half of its usual latency is left until
# its deadline.
REMAINING_TIME_SHARE_MIN = 0.5
SERVER_ERROR_STATUS_MIN = 500
# Result codes of runs whose response the backend server spoiled or lost.
SERVER_FAILURE_CODES = frozenset(
    {
        codes.ANSWER_TOO_LARGE,
        codes.BACKEND_FAILED,
        codes.CONNECT_FAILED,
        codes.SHORT_ANSWER,
    }
)


@dataclasses.dataclass(slots=True)
class LocalResponse:
    """Event: the response to an attempt that this node sent to itself."""

    response: messages.ForwardResponse = dataclasses.field(
        metadata=dumps.written_as("answer")
    )


@dataclasses.dataclass(slots=True)
class RunDeadlineReached:
    """Event: the deadline of a run has passed."""

    run_id: int


def accept(tables, forward, peer_id, stream, now_ms):
    """Accept a request for the backend server: run, queue or reject it.

    :param tables: the node's tables.
    :param forward: :class:`~fescueyard.admission.messages.ForwardRequest`.
    :param peer_id: the sending node.
    :param stream: handle of its stream; None for this node itself.
    :param now_ms: the present time.
    """
    table = tables.runs
    table.last_run_id += 1
    customer = tables.configuration.state.find(
        configuration_models.Kind.CUSTOMER, forward.customer
    )
    run = models.Run(
        table.last_run_id,
        peer_id,
        stream,
        forward,
        now_ms + forward.deadline_ms,
        now_ms,
        customer.firm if customer else "",
    )
    table.rows[run.run_id] = run
    table.by_attempt[peer_id, forward.attempt_id] = run.run_id
    if forward.notice is not None:
        registration.adopt_notice(tables, forward.notice, now_ms)
    code = _rejection_code(tables, run, now_ms)
    if code is not None:
        _reject(tables, run, code, now_ms)
        return
    measurement.record_arrival(tables.pressure.backend)
    queueing.catch_up_idle(table, run)
    queueing.enqueue(table, run)
    grace_ms = DEADLINE_GRACE_MS if tables.routed else 0
    timers.schedule(
        tables.timers,
        run.deadline_at_ms + grace_ms,
        RunDeadlineReached(run.run_id),
    )
    _start_eligible_runs(tables, now_ms)
    _bound_queue(tables, run, now_ms)


def cancel(tables, peer_id, attempt_id, now_ms):
    """Cancel a request whose sender no longer waits for its response.

    :param tables: the node's tables.
    :param peer_id: the node that sent it.
    :param attempt_id: id of its attempt.
    :param now_ms: the present time.
    """
    run_id = tables.runs.by_attempt.get((peer_id, attempt_id))
    if run_id is None:
        return
    run = tables.runs.rows[run_id]
    if run.started_at_ms is None:
        _reject(tables, run, codes.CANCELLED, now_ms)
    else:
        _abort_run(tables, run, codes.CANCELLED_RUNNING, now_ms)


def finish_run(
    tables,
    run_id,
    response,
    code,
    now_ms,
    notice=None,
    connected_at_ms=None,
):
    """Handle the completion of a run at the backend server.

    :param tables: the node's tables.
    :param run_id: the run.
    :param response: the complete response, or None.
    :param code: result code of the run.
    :param now_ms: the present time.
    :param notice: what the backend server said of itself, a
        :class:`~fescueyard.core.notices.ServerNotice`; None for nothing.
    :param connected_at_ms: when the connection was opened that the server has
        responded on; None without a response, or when not known.
    """
    table = tables.runs
    if connected_at_ms is not None:
        start_limits.record_connection(tables, connected_at_ms, now_ms)
    run = table.rows.get(run_id)
    if run is None:
        tables.metrics.count("late_backend_answers")
        return
    crash_id = ""
    start_limits.record_result(tables, run, response, code, now_ms)
    if run.backend is table.backend:
        registration.record_connect_result(tables, code, now_ms)
        if notice is not None:
            registration.record_notice(
                tables, notice, run.started_at_ms, now_ms
            )
    if code is codes.BACKEND_FAILED and tables.routed:
        registration.probe_after_failure(tables, run.forward)
    elif code is codes.BACKEND_FAILED:
        crash_id = quarantine.record_crash(tables, run.forward, now_ms)
    elif tables.routed and response is not None:
        quarantine.record_success(tables, run.forward.fingerprint)
    if run.share_index is not None and _is_success(response):
        concurrency_share.record_completion(
            table.limiter.share_search,
            run.share_index,
            run.forward.priority,
            now_ms - run.started_at_ms,
        )
    _record_outcome(table, response, code, now_ms)
    is_good = _is_success(response)
    if tables.routed:
        # Calls carry no token there, so a run that failed with a call to
        # another service can't be told from one that the server failed.
        is_good = response is not None
    is_fault = response is not None or code in SERVER_FAILURE_CODES
    _record_completion(tables, run, is_good, is_fault, now_ms)
    _complete_run(tables, run, code, response, 0.0, now_ms, crash_id)
    _start_eligible_runs(tables, now_ms)


def _record_outcome(table, response, code, now_ms):
    """Count a run of the backend server, unless the server refused it."""
    if response is not None or code in SERVER_FAILURE_CODES:
        outcomes.record(
            table.outcome_counts, not _is_success(response), now_ms
        )


def _is_success(response):
    return response is not None and response.status < SERVER_ERROR_STATUS_MIN


def find_run_by_token(tables, token):
    """Return the run that a call token identifies.

    :param tables: the node's tables.
    :param token: the call token.
    :returns: :class:`~fescueyard.admission.models.Run`, or None.
    """
    run_id = tables.runs.by_token.get(token)
    return None if run_id is None else tables.runs.rows[run_id]


def stream_lost(tables, peer_id, stream, now_ms):
    """Cancel the requests of a node whose stream is lost.

    :param tables: the node's tables.
    :param peer_id: the node.
    :param stream: handle of the stream.
    :param now_ms: the present time.
    """
    for run in list(tables.runs.rows.values()):
        if run.stream is stream and run.stream is not None:
            cancel(tables, peer_id, run.forward.attempt_id, now_ms)


def tick(tables, now_ms):
    """Update the back-pressure from the queueing time.

    :param tables: the node's tables.
    :param now_ms: the present time.
    """
    table = tables.runs
    longest_wait_ms = 0.0
    if table.queued_count and not start_limits.is_limited(tables, now_ms):
        oldest_queued_at_ms = min(
            table.rows[next(iter(run_ids))].queued_at_ms
            for by_customer in table.queued.values()
            for run_ids in by_customer.values()
        )
        longest_wait_ms = now_ms - oldest_queued_at_ms
    measurement.adjust(tables.pressure.backend, longest_wait_ms, now_ms)


def count_runs(table):
    """Return the number of requests queued and running.

    :param table: :class:`~fescueyard.admission.models.RunTable`.
    :returns: number of requests.
    """
    return len(table.rows)


@dispatch.receive.register
def _receive_forward(message: messages.ForwardRequest, tables, sender, now_ms):
    accept(tables, message, sender.peer_id, sender.stream, now_ms)


@dispatch.receive.register
def _receive_cancel(message: messages.ForwardCancel, tables, sender, now_ms):
    cancel(tables, sender.peer_id, message.attempt_id, now_ms)


@dispatch.handle.register
def _handle_run_deadline(event: RunDeadlineReached, tables, now_ms):
    run = tables.runs.rows.get(event.run_id)
    if run is None:
        return
    if run.started_at_ms is None:
        _reject(tables, run, codes.DEADLINE_NOT_RUN, now_ms)
    else:
        _abort_run(tables, run, codes.DEADLINE_EXCEEDED, now_ms)


@dispatch.handle.register
def _handle_start_token(event: start_limits.StartTokenDue, tables, now_ms):
    _start_eligible_runs(tables, now_ms)


@dispatch.handle.register
def _handle_backend_drained(
    event: registration.BackendDrained, tables, now_ms
):
    _reject_queued(tables, codes.LEAVING, now_ms)


@dispatch.handle.register
def _handle_own_zone_evacuated(
    event: evacuation.OwnZoneEvacuated, tables, now_ms
):
    _reject_queued(tables, codes.ZONE_EVACUATED, now_ms)


def _reject_queued(tables, code, now_ms):
    table = tables.runs
    for run_id in list(table.rows):
        if run_id not in table.running:
            _reject(tables, table.rows[run_id], code, now_ms)


def _rejection_code(tables, run, now_ms):
    """Return the code for rejecting a request on arrival, or None."""
    forward = run.forward
    backend = tables.runs.backend
    if backend is None or backend.service != forward.service:
        return codes.NO_BACKEND
    if backend.leaving or tables.runs.closed:
        return codes.LEAVING
    if evacuation.is_evacuated(tables, tables.members.own.zone):
        return codes.ZONE_EVACUATED
    if run.deadline_at_ms <= now_ms:
        return codes.DEADLINE_NOT_RUN
    if _key_is_withdrawn(tables, forward):
        return codes.KEY_REFUSED
    if _is_quarantined(tables, run, now_ms):
        return codes.QUARANTINED
    if not _hold_body(tables, run):
        return codes.MEMORY_SHORT
    return None


def _hold_body(tables, run):
    """Count the body of another node's request, if it fits.

    The body of a local request is counted with its caller's connection.
    """
    memory = tables.runs.memory
    if memory is None or run.stream is None:
        return True
    run.holds_memory = memory.hold_forwarded(len(run.forward.request.body))
    return run.holds_memory


def _is_quarantined(tables, run, now_ms):
    return quarantine.is_quarantined(
        tables, run.forward.fingerprint, tables.own_profile(), now_ms
    )


def _is_suspect(tables, run):
    return run.forward.suspect or quarantine.is_suspect(
        tables, run.forward.fingerprint
    )


def _key_is_withdrawn(tables, forward):
    if not forward.key_id:
        return False
    state = tables.configuration.state
    if state.version < forward.version:
        # The sender applied a newer configuration than this node has.
        return False
    return state.find(configuration_models.Kind.KEY, forward.key_id) is None


def _bound_queue(tables, run, now_ms):
    """Shed requests that exceed the queue bound or can't meet a deadline."""
    table = tables.runs
    if run.run_id not in table.rows or run.started_at_ms is not None:
        return
    ahead_count = queueing.count_ahead(table, run.forward.priority) - 1
    if start_limits.is_held_back(tables, run, ahead_count, now_ms):
        _reject(tables, run, codes.SERVER_LIMITED, now_ms)
        return
    if not _can_meet_deadline(tables, run, ahead_count, now_ms):
        _reject(tables, run, codes.DEADLINE_UNREACHABLE, now_ms)
        return
    if table.queued_count > tables.own_profile().queue_max:
        victim = queueing.choose_eviction_victim(table)
        code = codes.OVERLOADED if victim is run else codes.EVICTED
        _reject(tables, victim, code, now_ms)
    _evict_unreachable(tables, now_ms)


def _evict_unreachable(tables, now_ms):
    """Evict requests that more important work keeps from their deadline."""
    table = tables.runs
    while table.queued_count:
        victim = queueing.choose_eviction_victim(table)
        ahead_count = table.queued_count - 1
        code = codes.EVICTED
        if start_limits.is_held_back(tables, victim, ahead_count, now_ms):
            code = codes.SERVER_LIMITED
        elif _can_meet_deadline(tables, victim, ahead_count, now_ms):
            return
        _reject(tables, victim, code, now_ms)


def _can_meet_deadline(tables, run, ahead_count, now_ms):
    concurrency_limiter = tables.runs.limiter
    expected_ms = limiter.estimate_wait_ms(concurrency_limiter, ahead_count)
    expected_ms += limiter.estimate_service_ms(
        concurrency_limiter, run.forward.priority
    )
    return now_ms + expected_ms <= run.deadline_at_ms


def _start_eligible_runs(tables, now_ms):
    table = tables.runs
    if table.backend is None or table.backend.leaving:
        return
    if table.queued_count and evacuation.may_have_missed(tables, now_ms):
        _reject_queued(tables, codes.NO_BACKEND, now_ms)
        return
    while start_limits.has_free_slot(tables):
        if not start_limits.may_start(tables, now_ms):
            start_limits.schedule_next_token(tables, now_ms)
            return
        if not table.queued_count:
            return
        run = queueing.next_to_start(
            table,
            lambda queued_run: _may_start_run(tables, queued_run),
            measurement.is_overloaded(tables.pressure.backend),
        )
        if run is None:
            return
        if _is_quarantined(tables, run, now_ms):
            _reject(tables, run, codes.QUARANTINED, now_ms)
        elif _key_is_withdrawn(tables, run.forward):
            _reject(tables, run, codes.KEY_REFUSED, now_ms)
        elif _is_too_late_to_start(table, run, now_ms):
            # Work that can't complete before its deadline would be wasted.
            _reject(tables, run, codes.DEADLINE_NOT_RUN, now_ms)
        else:
            _start_run(tables, run, now_ms)


def _is_too_late_to_start(table, run, now_ms):
    usual_ms = limiter.estimate_service_ms(table.limiter, run.forward.priority)
    return now_ms + REMAINING_TIME_SHARE_MIN * usual_ms > run.deadline_at_ms


def _may_start_run(tables, run):
    """Return whether a queued run may start beside the running ones.

    Requests that were running during a crash run one at a time, so that the
    next crash identifies the request that causes it.
    """
    if not tables.quarantine.suspects and not run.forward.suspect:
        return True
    if not _is_suspect(tables, run):
        return True
    table = tables.runs
    return not any(
        _is_suspect(tables, table.rows[run_id]) for run_id in table.running
    )


def _start_run(tables, run, now_ms):
    table = tables.runs
    queueing.remove(table, run)
    run.started_at_ms = now_ms
    run.backend = table.backend
    start_limits.record_start(tables, now_ms)
    measurement.record_start(
        tables.pressure.backend, _pressing_wait_ms(tables, run, now_ms)
    )
    entry.record_run(tables.pressure, now_ms)
    run.token = f"{tables.secure_random.getrandbits(TOKEN_BITS):x}"
    table.running[run.run_id] = None
    table.by_token[run.token] = run.run_id
    if not limiter.may_start(table.limiter, len(table.running)):
        _record_share_sample(table, run)
    forward = run.forward
    request = http.HttpRequest(
        forward.request.method,
        forward.request.target,
        forward.request.headers
        + run_headers.system_headers(tables, run, now_ms),
        forward.request.body,
    )
    LOG.decision(
        "started",
        request=forward.request_id,
        attempt=forward.attempt_id,
        peer=run.peer_id,
        instance=table.backend.instance,
        waited_ms=round(now_ms - run.queued_at_ms),
        left_ms=round(run.deadline_at_ms - now_ms),
        running=len(table.running),
        queued=table.queued_count,
    )
    tables.effects.append(
        effects.StartRun(
            run.run_id, table.backend.address, request, forward.idempotent
        )
    )


def _pressing_wait_ms(tables, run, now_ms):
    """Return the wait of a run that tells of too little capacity.

    While the server's rate is limited, its queue says nothing about the other
    servers of its service, which have room for what is rejected here.
    """
    if start_limits.is_limited(tables, now_ms):
        return 0.0
    return now_ms - run.queued_at_ms


def _abort_run(tables, run, code, now_ms):
    tables.effects.append(effects.AbortRun(run.run_id))
    is_good = code is codes.CANCELLED_RUNNING
    _record_completion(tables, run, is_good, False, now_ms)
    _complete_run(tables, run, code, None, 0.0, now_ms)
    _start_eligible_runs(tables, now_ms)


def _record_share_sample(table, run):
    """Sample the latency of a run that reached the concurrency limit."""
    concurrency_limiter = table.limiter
    previous_index = concurrency_limiter.share_search.baseline_index
    run.share_index = concurrency_share.record_start(
        concurrency_limiter.share_search, int(concurrency_limiter.limit)
    )
    if concurrency_limiter.share_search.baseline_index != previous_index:
        LOG.info(
            "concurrency_share_changed",
            share=concurrency_share.SHARES[
                concurrency_limiter.share_search.baseline_index
            ],
            previous=concurrency_share.SHARES[previous_index],
            limit=limiter.current_limit(concurrency_limiter),
            slots=table.backend.slots,
        )


def _record_completion(tables, run, is_good, is_fault, now_ms):
    """Adjust the limits to the end of a run.

    :param is_good: whether the server ran it and responded without an error.
    :param is_fault: see :func:`start_limits.record_completion`.
    """
    start_limits.record_completion(tables, run, is_good, is_fault, now_ms)
    table = tables.runs
    latency_ms = now_ms - run.started_at_ms
    queueing.charge(tables, run, latency_ms)
    limiter.record_completion(
        table.limiter,
        run.forward.priority,
        latency_ms,
        len(table.running),
        table.backend.slots,
        tables.own_profile(),
    )


def _reject(tables, run, code, now_ms):
    if run.queued:
        queueing.remove(tables.runs, run)
    retry_after_ms = _retry_after_ms(tables, now_ms)
    _complete_run(tables, run, code, None, retry_after_ms, now_ms)


def _complete_run(
    tables, run, code, response, retry_after_ms, now_ms, crash_id=""
):
    table = tables.runs
    if run.holds_memory:
        table.memory.release_forwarded(len(run.forward.request.body))
    del table.rows[run.run_id]
    del table.by_attempt[run.peer_id, run.forward.attempt_id]
    table.running.pop(run.run_id, None)
    table.by_token.pop(run.token, None)
    tables.metrics.count(f"runs_{code.name}")
    pressure = entry.chain_pressure(
        tables.pressure, tables.own_service(), now_ms
    )
    LOG.decision(
        "run_ended",
        request=run.forward.request_id,
        attempt=run.forward.attempt_id,
        peer=run.peer_id,
        code=code.number,
        reason=code.name,
        status=None if response is None else response.status,
        started=run.started_at_ms is not None,
        running=len(table.running),
        queued=table.queued_count,
        limit=int(table.limiter.limit),
        priority=run.forward.priority,
        pressure=round(pressure.share, 3),
        bottleneck=pressure.bottleneck,
    )
    forward_response = messages.ForwardResponse(
        run.forward.attempt_id,
        code.number,
        response,
        retry_after_ms,
        crash_id,
        count_runs(table),
        start_limits.reported_limit(tables, now_ms),
        pressure.share,
        pressure.bottleneck,
        table.limiter.latency_by_priority_ms.get(run.forward.priority, 0.0),
        outcomes.failure_share(table.outcome_counts, now_ms),
        _current_notice(table),
    )
    if run.stream is None:
        tables.events.append(LocalResponse(forward_response))
    else:
        tables.effects.append(effects.SendReply(run.stream, forward_response))


def _current_notice(table):
    backend = table.backend
    if backend is None:
        return None
    return server_limit.to_notice(table.server_limit, backend)


def _retry_after_ms(tables, now_ms):
    """Return the expected time until the queue drains, with jitter."""
    table = tables.runs
    drain_ms = max(
        limiter.estimate_wait_ms(table.limiter, table.queued_count),
        start_limits.wait_ms(tables, table.queued_count, now_ms),
    )
    base_ms = min(max(drain_ms, RETRY_AFTER_MIN_MS), RETRY_AFTER_MAX_MS)
    return base_ms * (1 + RETRY_AFTER_JITTER_SHARE * tables.random.random())
