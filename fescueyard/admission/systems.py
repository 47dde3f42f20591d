"""Admission in front of this VM's backend server.

Every request to the backend server passes here, so the number in flight is
known and not reported. A refusal says "not run" only for a request of which
no byte was written to the backend server; taking it out of the queue and
answering are one step.
"""

import dataclasses

from fescueyard.admission import announcements
from fescueyard.admission import concurrency_share
from fescueyard.admission import limiter
from fescueyard.admission import messages
from fescueyard.admission import models
from fescueyard.admission import queueing
from fescueyard.admission import run_headers
from fescueyard.configuration import models as configuration_models
from fescueyard.core import codes
from fescueyard.core import dispatch
from fescueyard.core import effects
from fescueyard.core import http
from fescueyard.core import logs
from fescueyard.core import timers
from fescueyard.pressure import entry
from fescueyard.pressure import measurement
from fescueyard.retries import quarantine
from fescueyard.routing import membership

LOG = logs.PartLogger("admission")

# A backend server stops work at its deadline by itself; its own answer to
# that is worth waiting for.
DEADLINE_GRACE_MS = 60
CONNECT_FAILURES_MAX = 2
RETRY_AFTER_MIN_MS = 200
RETRY_AFTER_MAX_MS = 10_000
RETRY_AFTER_JITTER_SHARE = 1.0
TOKEN_BITS = 128
COLD_CHANGE_MIN_MS = 500
# A run is started while at least half of its usual time is left.
REMAINING_TIME_SHARE_MIN = 0.5
SERVER_ERROR_STATUS_MIN = 500


@dataclasses.dataclass(slots=True)
class LocalResponse:
    """Event: the answer to an attempt that this node made on itself."""

    response: messages.ForwardResponse


@dataclasses.dataclass(slots=True)
class RunDeadline:
    """Event: the deadline of a run has come."""

    run_id: int


@dataclasses.dataclass(slots=True)
class BackendExpiry:
    """Event: time to see whether the backend server still renews."""


def register_backend(
    tables,
    service,
    address,
    slots,
    ttl_ms,
    now_ms,
    fresh=False,
    cold_ms=None,
):
    """Take in the announcement of the backend server, or its renewal.

    :param tables: the node's tables.
    :param service: its service.
    :param address: ``host:port`` on this VM.
    :param slots: requests it runs at once.
    :param ttl_ms: silence for so long means it is gone.
    :param now_ms: the present time.
    :param fresh: another process than the one known announced itself.
    :param cold_ms: how long it stays slow, or None when it did not say.
    """
    table = tables.runs
    known = table.backend
    expires_at_ms = now_ms + ttl_ms
    same = (
        known is not None
        and not fresh
        and not known.leaving
        and (known.service, known.address, known.slots)
        == (service, address, slots)
    )
    if same:
        known.expires_at_ms = expires_at_ms
    else:
        limiter.reset(table.limiter, slots)
        table.backend = models.Backend(
            service, address, slots, expires_at_ms, False
        )
        if cold_ms is not None:
            table.backend.cold_until_ms = now_ms + cold_ms
        _publish_backend(tables, now_ms)
    timers.schedule(tables.timers, expires_at_ms, BackendExpiry())


def apply_announcement(tables, told, ttl_ms, now_ms):
    """Take in what a backend server that has an id says of itself.

    :param tables: the node's tables.
    :param told: :class:`~fescueyard.admission.announcements.Announcement`.
    :param ttl_ms: silence for so long means it is gone.
    :param now_ms: the present time.
    """
    table = tables.runs
    backend = table.backend
    if announcements.is_outdated(backend, told):
        LOG.info(
            "announcement_outdated",
            instance=told.instance,
            born_ms=told.born_ms,
            sequence=told.sequence,
            known=backend.instance,
            known_born_ms=backend.born_ms,
            known_sequence=backend.sequence,
        )
        return
    same = (
        backend is not None
        and backend.instance == told.instance
        and backend.born_ms == told.born_ms
    )
    if same and backend.leaving and not told.leaving:
        # It has left, or its process has ended; only a later one is new.
        if not backend.connect_failures:
            return
    known = same and not backend.leaving and not told.leaving
    if not known:
        LOG.info(
            "backend_announced",
            instance=told.instance,
            service=told.service,
            slots=told.slots,
            sequence=told.sequence,
            leaving=told.leaving,
            cold_ms=round(told.cold_ms),
        )
    if told.leaving:
        drain_backend(tables, now_ms)
    else:
        register_backend(
            tables,
            told.service,
            told.address,
            told.slots,
            ttl_ms,
            now_ms,
            fresh=not same,
            cold_ms=told.cold_ms,
        )
    if table.backend is not None:
        table.backend.instance = told.instance
        table.backend.born_ms = told.born_ms
        table.backend.sequence = told.sequence
        table.backend.connect_failures = 0
        _update_cold_until(tables, told.cold_ms, now_ms)


def _update_cold_until(tables, cold_ms, now_ms):
    """Tell the fleet when a backend server is colder than was known."""
    backend = tables.runs.backend
    known_ms = backend.cold_until_ms or now_ms
    backend.cold_until_ms = now_ms + cold_ms
    if backend.cold_until_ms - known_ms > COLD_CHANGE_MIN_MS:
        _publish_backend(tables, now_ms)


def backend_left(tables, instance, now_ms):
    """Take in that a backend server says it is gone.

    :param tables: the node's tables.
    :param instance: its id; another one's word changes nothing.
    :param now_ms: the present time.
    """
    backend = tables.runs.backend
    if backend is not None and backend.instance == instance:
        LOG.info("backend_left", instance=instance)
        drain_backend(tables, now_ms)


def drain_backend(tables, now_ms):
    """Stop new work for the backend server; what runs goes on.

    :param tables: the node's tables.
    :param now_ms: the present time.
    """
    table = tables.runs
    if table.backend is None or table.backend.leaving:
        return
    table.backend.leaving = True
    _publish_backend(tables, now_ms)
    for run_id in list(table.rows):
        if run_id not in table.running:
            _refuse(tables, table.rows[run_id], codes.LEAVING, now_ms)


def close(tables, now_ms):
    """Take no more work for the backend server; this node is stopping.

    :param tables: the node's tables.
    :param now_ms: the present time.
    """
    tables.runs.closed = True
    drain_backend(tables, now_ms)
    membership.update_own_member(tables, now_ms, accepting=False)


def accept(tables, forward, peer_id, stream, now_ms):
    """Take a request for the backend server: run, queue or refuse it.

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
    row = models.Run(
        table.last_run_id,
        peer_id,
        stream,
        forward,
        now_ms + forward.deadline_ms,
        now_ms,
        customer.firm if customer else "",
    )
    table.rows[row.run_id] = row
    table.by_attempt[peer_id, forward.attempt_id] = row.run_id
    code = _refusal_code(tables, row, now_ms)
    if code is not None:
        _refuse(tables, row, code, now_ms)
        return
    measurement.record_arrival(tables.pressure.backend)
    queueing.catch_up_idle(table, row)
    queueing.enqueue(table, row)
    grace_ms = DEADLINE_GRACE_MS if tables.routed else 0
    timers.schedule(
        tables.timers,
        row.deadline_at_ms + grace_ms,
        RunDeadline(row.run_id),
    )
    _start_eligible_runs(tables, now_ms)
    _bound_queue(tables, row, now_ms)


def cancel(tables, peer_id, attempt_id, now_ms):
    """Drop a request whose caller has given up.

    :param tables: the node's tables.
    :param peer_id: the node that sent it.
    :param attempt_id: its attempt.
    :param now_ms: the present time.
    """
    run_id = tables.runs.by_attempt.get((peer_id, attempt_id))
    if run_id is None:
        return
    row = tables.runs.rows[run_id]
    if row.started_at_ms is None:
        _refuse(tables, row, codes.CANCELLED, now_ms)
    else:
        _abort_run(tables, row, codes.CANCELLED_RUNNING, now_ms)


def finish_run(tables, run_id, answer, code, now_ms):
    """Take in the end of a run at the backend server.

    :param tables: the node's tables.
    :param run_id: the run.
    :param answer: the whole answer, or None.
    :param code: result code of the run.
    :param now_ms: the present time.
    """
    table = tables.runs
    row = table.rows.get(run_id)
    if row is None:
        tables.metrics.count("late_backend_answers")
        return
    crash_id = ""
    _track_connect_failures(tables, code, now_ms)
    if code is codes.BACKEND_FAILED and tables.routed:
        _probe_backend(tables, row.forward)
    elif code is codes.BACKEND_FAILED:
        crash_id = quarantine.record_crash(tables, row.forward, now_ms)
    elif tables.routed and answer is not None:
        quarantine.record_success(tables, row.forward.fingerprint)
    if row.share_index is not None and _is_success(answer):
        concurrency_share.record_completion(
            table.limiter.share_search,
            row.share_index,
            row.forward.priority,
            now_ms - row.started_at_ms,
        )
    _record_completion(tables, row, now_ms)
    _complete_run(tables, row, code, answer, 0.0, now_ms, crash_id)
    _start_eligible_runs(tables, now_ms)


def _is_success(answer):
    return answer is not None and answer.status < SERVER_ERROR_STATUS_MIN


def _probe_backend(tables, forward):
    """Find out whether a run broke off because the server crashed."""
    table = tables.runs
    if not table.awaiting_probe and table.backend is not None:
        tables.effects.append(effects.ProbeBackend(table.backend.address))
    table.awaiting_probe.append(forward)


def handle_probe_result(tables, accepted, now_ms):
    """Take in whether the backend server accepts connections.

    :param tables: the node's tables.
    :param accepted: whether it does; else its runs broke off in a crash.
    :param now_ms: the present time.
    """
    table = tables.runs
    awaiting_probe, table.awaiting_probe = table.awaiting_probe, []
    if accepted:
        return
    LOG.warning("backend_crashed", runs=len(awaiting_probe))
    for forward in awaiting_probe:
        quarantine.record_crash(tables, forward, now_ms)
    if table.backend is not None:
        table.backend.connect_failures = CONNECT_FAILURES_MAX
    drain_backend(tables, now_ms)


def _track_connect_failures(tables, code, now_ms):
    """Stop new work for a backend server that accepts no connections."""
    backend = tables.runs.backend
    if backend is None or not tables.routed:
        return
    if code is not codes.CONNECT_FAILED:
        backend.connect_failures = 0
        return
    backend.connect_failures += 1
    if backend.connect_failures >= CONNECT_FAILURES_MAX:
        if not backend.leaving:
            LOG.warning("backend_unreachable", instance=backend.instance)
        drain_backend(tables, now_ms)


def find_run_by_token(tables, token):
    """Find the run that a call token stands for.

    :param tables: the node's tables.
    :param token: the token.
    :returns: :class:`~fescueyard.admission.models.Run`, or None.
    """
    run_id = tables.runs.by_token.get(token)
    return None if run_id is None else tables.runs.rows[run_id]


def stream_lost(tables, peer_id, stream, now_ms):
    """Drop the requests of a node whose stream is gone.

    :param tables: the node's tables.
    :param peer_id: the node.
    :param stream: handle of the stream.
    :param now_ms: the present time.
    """
    for row in list(tables.runs.rows.values()):
        if row.stream is stream and row.stream is not None:
            cancel(tables, peer_id, row.forward.attempt_id, now_ms)


def tick(tables, now_ms):
    """Follow the wait in the queue.

    :param tables: the node's tables.
    :param now_ms: the present time.
    """
    table = tables.runs
    head_ms = 0.0
    if table.queued_count:
        oldest_ms = min(
            table.rows[next(iter(runs))].queued_at_ms
            for by_customer in table.queued.values()
            for runs in by_customer.values()
        )
        head_ms = now_ms - oldest_ms
    measurement.adjust(tables.pressure.backend, head_ms, now_ms)


def count_runs(table):
    """Count the requests queued and running.

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
def _handle_run_deadline(event: RunDeadline, tables, now_ms):
    row = tables.runs.rows.get(event.run_id)
    if row is None:
        return
    if row.started_at_ms is None:
        _refuse(tables, row, codes.DEADLINE_NOT_RUN, now_ms)
    else:
        _abort_run(tables, row, codes.DEADLINE_EXCEEDED, now_ms)


@dispatch.handle.register
def _handle_backend_expiry(event: BackendExpiry, tables, now_ms):
    backend = tables.runs.backend
    if backend is not None and now_ms >= backend.expires_at_ms:
        drain_backend(tables, now_ms)


def _refusal_code(tables, row, now_ms):
    """Find the reason, if any, not to take a request at all."""
    forward = row.forward
    backend = tables.runs.backend
    if backend is None or backend.service != forward.service:
        return codes.NO_BACKEND
    if backend.leaving or tables.runs.closed:
        return codes.LEAVING
    if row.deadline_at_ms <= now_ms:
        return codes.DEADLINE_NOT_RUN
    if _key_is_withdrawn(tables, forward):
        return codes.KEY_REFUSED
    if _is_quarantined(tables, row, now_ms):
        return codes.QUARANTINED
    return None


def _is_quarantined(tables, row, now_ms):
    return quarantine.is_quarantined(
        tables, row.forward.fingerprint, tables.own_profile(), now_ms
    )


def _is_suspect(tables, row):
    return row.forward.suspect or quarantine.is_suspect(
        tables, row.forward.fingerprint
    )


def _key_is_withdrawn(tables, forward):
    if not forward.key_id:
        return False
    state = tables.configuration.state
    if state.version < forward.version:
        # The sender decided by a newer configuration than this one.
        return False
    return state.find(configuration_models.Kind.KEY, forward.key_id) is None


def _bound_queue(tables, row, now_ms):
    """Shed what the queue can't hold or can't start in time."""
    table = tables.runs
    if row.run_id not in table.rows or row.started_at_ms is not None:
        return
    ahead = queueing.count_ahead(table, row.forward.priority) - 1
    if not _can_meet_deadline(tables, row, ahead, now_ms):
        _refuse(tables, row, codes.DEADLINE_UNREACHABLE, now_ms)
        return
    if table.queued_count > tables.own_profile().queue_max:
        victim = queueing.choose_eviction_victim(table)
        code = codes.OVERLOADED if victim is row else codes.EVICTED
        _refuse(tables, victim, code, now_ms)
    _evict_unreachable(tables, now_ms)


def _evict_unreachable(tables, now_ms):
    """Refuse at once what more important work now keeps from its deadline."""
    table = tables.runs
    while table.queued_count:
        victim = queueing.choose_eviction_victim(table)
        if _can_meet_deadline(tables, victim, table.queued_count - 1, now_ms):
            return
        _refuse(tables, victim, codes.EVICTED, now_ms)


def _can_meet_deadline(tables, row, ahead, now_ms):
    limit = tables.runs.limiter
    expected_ms = limiter.estimate_wait_ms(limit, ahead)
    expected_ms += limiter.estimate_service_ms(limit, row.forward.priority)
    return now_ms + expected_ms <= row.deadline_at_ms


def _start_eligible_runs(tables, now_ms):
    table = tables.runs
    while limiter.may_start(table.limiter, len(table.running)):
        row = queueing.next_to_start(
            table,
            lambda each: _may_start_run(tables, each),
            measurement.is_overloaded(tables.pressure.backend),
        )
        if row is None:
            return
        if _is_quarantined(tables, row, now_ms):
            _refuse(tables, row, codes.QUARANTINED, now_ms)
        elif _key_is_withdrawn(tables, row.forward):
            _refuse(tables, row, codes.KEY_REFUSED, now_ms)
        elif _is_too_late_to_start(table, row, now_ms):
            # Work that can't end in time would be wasted.
            _refuse(tables, row, codes.DEADLINE_NOT_RUN, now_ms)
        else:
            _start_run(tables, row, now_ms)


def _is_too_late_to_start(table, row, now_ms):
    usual_ms = limiter.estimate_service_ms(table.limiter, row.forward.priority)
    return now_ms + REMAINING_TIME_SHARE_MIN * usual_ms > row.deadline_at_ms


def _may_start_run(tables, row):
    """Say whether a queued run may start beside those that run.

    Requests that were seen at a crash run one at a time: when the next crash
    comes, only the culprit is seen at it again.
    """
    if not tables.quarantine.suspects and not row.forward.suspect:
        return True
    if not _is_suspect(tables, row):
        return True
    table = tables.runs
    return not any(
        _is_suspect(tables, table.rows[run_id]) for run_id in table.running
    )


def _start_run(tables, row, now_ms):
    table = tables.runs
    queueing.remove(table, row)
    row.started_at_ms = now_ms
    measurement.record_start(
        tables.pressure.backend, now_ms - row.queued_at_ms
    )
    entry.record_run(tables.pressure, now_ms)
    row.token = f"{tables.secure_random.getrandbits(TOKEN_BITS):x}"
    table.running[row.run_id] = None
    table.by_token[row.token] = row.run_id
    if not limiter.may_start(table.limiter, len(table.running)):
        _record_share_sample(table, row)
    forward = row.forward
    request = http.HttpRequest(
        forward.request.method,
        forward.request.target,
        forward.request.headers
        + run_headers.system_headers(tables, row, now_ms),
        forward.request.body,
    )
    LOG.decision(
        "started",
        request=forward.request_id,
        attempt=forward.attempt_id,
        peer=row.peer_id,
        instance=table.backend.instance,
        waited_ms=round(now_ms - row.queued_at_ms),
        left_ms=round(row.deadline_at_ms - now_ms),
        running=len(table.running),
        queued=table.queued_count,
    )
    tables.effects.append(
        effects.StartRun(
            row.run_id, table.backend.address, request, forward.idempotent
        )
    )


def _abort_run(tables, row, code, now_ms):
    tables.effects.append(effects.AbortRun(row.run_id))
    _record_completion(tables, row, now_ms)
    _complete_run(tables, row, code, None, 0.0, now_ms)
    _start_eligible_runs(tables, now_ms)


def _record_share_sample(table, row):
    """Let a run that took the last place tell how fast the server is then."""
    limit = table.limiter
    chosen = limit.share_search.baseline_index
    row.share_index = concurrency_share.record_start(
        limit.share_search, int(limit.limit)
    )
    if limit.share_search.baseline_index != chosen:
        LOG.info(
            "concurrency_share_changed",
            share=concurrency_share.SHARES[limit.share_search.baseline_index],
            previous=concurrency_share.SHARES[chosen],
            limit=limiter.current_limit(limit),
            slots=table.backend.slots,
        )


def _record_completion(tables, row, now_ms):
    table = tables.runs
    latency_ms = now_ms - row.started_at_ms
    queueing.charge(tables, row, latency_ms)
    limiter.record_completion(
        table.limiter,
        row.forward.priority,
        latency_ms,
        len(table.running),
        table.backend.slots,
        tables.own_profile(),
    )


def _refuse(tables, row, code, now_ms):
    if row.queued:
        queueing.remove(tables.runs, row)
    _complete_run(tables, row, code, None, _retry_after_ms(tables), now_ms)


def _complete_run(
    tables, row, code, answer, retry_after_ms, now_ms, crash_id=""
):
    table = tables.runs
    del table.rows[row.run_id]
    del table.by_attempt[row.peer_id, row.forward.attempt_id]
    table.running.pop(row.run_id, None)
    table.by_token.pop(row.token, None)
    tables.metrics.count(f"runs_{code.name}")
    pressure = entry.chain_pressure(
        tables.pressure, tables.own_service(), now_ms
    )
    LOG.decision(
        "run_ended",
        request=row.forward.request_id,
        attempt=row.forward.attempt_id,
        peer=row.peer_id,
        code=code.number,
        reason=code.name,
        status=None if answer is None else answer.status,
        started=row.started_at_ms is not None,
        running=len(table.running),
        queued=table.queued_count,
        limit=int(table.limiter.limit),
        priority=row.forward.priority,
        pressure=round(pressure.share, 3),
        bottleneck=pressure.bottleneck,
    )
    told = messages.ForwardResponse(
        row.forward.attempt_id,
        code.number,
        answer,
        retry_after_ms,
        crash_id,
        count_runs(table),
        int(table.limiter.limit),
        pressure.share,
        pressure.bottleneck,
    )
    if row.stream is None:
        tables.events.append(LocalResponse(told))
    else:
        tables.effects.append(effects.SendReply(row.stream, told))


def _retry_after_ms(tables):
    """Say when the queue should have drained, spread over clients."""
    table = tables.runs
    drained_ms = limiter.estimate_wait_ms(table.limiter, table.queued_count)
    base_ms = min(max(drained_ms, RETRY_AFTER_MIN_MS), RETRY_AFTER_MAX_MS)
    return base_ms * (1 + RETRY_AFTER_JITTER_SHARE * tables.random.random())


def _publish_backend(tables, now_ms):
    backend = tables.runs.backend
    cold_ms = -1.0
    if backend.cold_until_ms is not None:
        cold_ms = max(0.0, backend.cold_until_ms - now_ms)
    membership.update_own_member(
        tables,
        now_ms,
        service=backend.service,
        slots=backend.slots,
        accepting=not (backend.leaving or tables.runs.closed),
        cold_ms=cold_ms,
    )
