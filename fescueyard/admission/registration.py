"""Registration of this VM's backend server: who it is, and whether it leaves.

It announces itself to its node. It is drained when its announcements stop,
when it reports that it is leaving, or when it can't be reached. Only its own
report is final for its process; its next announcement ends the other two.
Each change is published to the fleet.
"""

import dataclasses

from fescueyard.admission import announcements
from fescueyard.admission import cold_limit
from fescueyard.admission import limiter
from fescueyard.admission import models
from fescueyard.admission import outcomes
from fescueyard.admission import server_limit
from fescueyard.configuration import models as configuration_models
from fescueyard.core import codes
from fescueyard.core import dispatch
from fescueyard.core import effects
from fescueyard.core import logs
from fescueyard.core import timers
from fescueyard.retries import quarantine
from fescueyard.routing import membership

LOG = logs.ComponentLogger("admission")

CONNECT_FAILURES_MAX = 2
# Results of runs that did not reach the backend server.
OUT_OF_REACH_CODES = (codes.CONNECT_FAILED, codes.WRONG_INSTANCE)
# Servers other than the one known whose leaves are kept.
LEAVES_MAX = 16
COLD_CHANGE_MIN_MS = 500


@dataclasses.dataclass(slots=True)
class BackendDrained:
    """Event: the backend server accepts no new work from now on."""


@dataclasses.dataclass(slots=True)
class BackendExpiryDue:
    """Event: time to check whether the backend server has expired."""


def register_backend(
    tables,
    service,
    address,
    slots,
    ttl_ms,
    now_ms,
    is_new_process=False,
    cold_ms=None,
):
    """Register the backend server or renew its registration.

    :param tables: the node's tables.
    :param service: its service.
    :param address: ``host:port`` on this VM.
    :param slots: requests it can run concurrently.
    :param ttl_ms: time without an announcement after which it counts as gone,
        in ms.
    :param now_ms: the present time.
    :param is_new_process: whether a process other than the known one
        announced itself.
    :param cold_ms: remaining time of its slow start, in ms, or None when not
        reported.
    """
    table = tables.runs
    backend = table.backend
    expires_at_ms = now_ms + ttl_ms
    is_renewal = (
        backend is not None
        and not is_new_process
        and not backend.leaving
        and (backend.service, backend.address, backend.slots)
        == (service, address, slots)
    )
    if is_renewal:
        backend.expires_at_ms = expires_at_ms
    elif not is_new_process and _is_known(backend, service, address):
        # In reach again, or found by its health check before. What its
        # responses said stays.
        backend.expires_at_ms = expires_at_ms
        backend.slots = slots
        backend.leaving = False
        limiter.reset(table.limiter, slots)
        _publish_backend(tables, now_ms)
    else:
        limiter.reset(table.limiter, slots)
        table.outcome_counts = outcomes.OutcomeCounts()
        table.server_limit = server_limit.ServerLimit()
        if backend is not None and backend.says_leaving:
            _remember_leave(table, backend.instance, backend.born_ms)
        table.backend = models.Backend(
            service, address, slots, expires_at_ms, False
        )
        if cold_ms is not None:
            table.backend.cold_until_ms = now_ms + cold_ms
        _publish_backend(tables, now_ms)
    timers.schedule(tables.timers, expires_at_ms, BackendExpiryDue())


def _is_known(backend, service, address):
    """Return whether a server with an id is known at an address."""
    return (
        backend is not None
        and bool(backend.instance)
        and (backend.service, backend.address) == (service, address)
    )


def apply_announcement(tables, announcement, ttl_ms, now_ms):
    """Apply the announcement of a backend server that has an id.

    :param tables: the node's tables.
    :param announcement:
        :class:`~fescueyard.admission.announcements.Announcement`.
    :param ttl_ms: time without an announcement after which it counts as gone,
        in ms.
    :param now_ms: the present time.
    """
    table = tables.runs
    backend = table.backend
    if _left_before(table, announcement):
        LOG.info(
            "announcement_of_left", **announcements.log_fields(announcement)
        )
        return
    cold_ms = announcement.cold_ms
    cold_limit.record_heartbeat(table.cold_limit, cold_ms, False, now_ms)
    is_same_process = announcements.is_same_process(backend, announcement)
    if not is_same_process and _is_of_unknown_service(tables, announcement):
        LOG.info(
            "announcement_of_no_service",
            **announcements.log_fields(announcement),
        )
        return
    if announcements.is_outdated(backend, announcement):
        if not _has_returned(table, announcement, ttl_ms, now_ms):
            LOG.info(
                "announcement_outdated",
                **announcements.outdated_fields(announcement, backend),
            )
            return
        LOG.info(
            "backend_returned",
            known=backend.instance,
            **announcements.log_fields(announcement),
        )
    if _must_be_confirmed(tables, announcement):
        _hold(table, announcement, ttl_ms, now_ms)
        return
    table.held_announcement = None
    if is_same_process and backend.says_leaving and not announcement.leaving:
        # Only a later process may register.
        LOG.info(
            "announcement_of_left", **announcements.log_fields(announcement)
        )
        return
    if not is_same_process or backend.leaving or announcement.leaving:
        LOG.info("backend_announced", **announcements.log_fields(announcement))
    if announcement.leaving:
        _apply_leaving(tables, announcement, now_ms)
    else:
        register_backend(
            tables,
            announcement.service,
            announcement.address,
            announcement.slots,
            ttl_ms,
            now_ms,
            is_new_process=not is_same_process,
            cold_ms=cold_ms or 0.0,
        )
    table.backend.instance = announcement.instance
    table.backend.born_ms = announcement.born_ms
    table.backend.born_max_ms = announcement.born_max_ms
    table.backend.announced_at_ms = now_ms
    table.backend.sequence = announcement.sequence
    table.backend.connect_failures = 0
    cold_limit.record_heartbeat(table.cold_limit, cold_ms, True, now_ms)
    update_cold_until(tables, cold_ms or 0.0, now_ms)


def _is_of_unknown_service(tables, announcement):
    """Return whether neither configuration nor settings name its service."""
    services = tables.configuration.state.objects[
        configuration_models.Kind.SERVICE
    ]
    return (
        bool(services)
        and announcement.service not in services
        and announcement.service != tables.service
    )


def _has_returned(table, announcement, ttl_ms, now_ms):
    """Return whether an outdated announcement replaces the known server."""
    silent_ms = now_ms - table.backend.announced_at_ms
    outlasts = _outlasts(table, announcement, silent_ms, ttl_ms)
    return outlasts or table.backend.connect_failures >= CONNECT_FAILURES_MAX


def _outlasts(table, announcement, silent_ms, ttl_ms):
    """Return whether an outdated announcement applies nevertheless.

    A single announcement, not from a server that runs, must not outrank the
    others for good: the process that goes on announcing itself is the one
    that runs, once nothing has come from the other one for a while.

    :param silent_ms: time since the announcement that outranks it.
    """
    last = table.outdated_announcement
    table.outdated_announcement = announcement
    return silent_ms >= ttl_ms / 2 and announcements.follows(
        last, announcement
    )


def _left_before(table, announcement):
    """Return whether the process had left before it was known to this node."""
    left_at_unix_ms = table.left_at_unix_ms.get(announcement.instance)
    return (
        left_at_unix_ms is not None and announcement.born_ms <= left_at_unix_ms
    )


def _apply_leaving(tables, announcement, now_ms):
    """Drain the backend server, or record that an unknown one is leaving."""
    if tables.runs.backend is None:
        # Later announcements of the same process are compared with it.
        tables.runs.backend = models.Backend(
            announcement.service,
            announcement.address,
            announcement.slots,
            now_ms,
            True,
        )
    tables.runs.backend.says_leaving = True
    drain_backend(tables, now_ms)


def _must_be_confirmed(tables, announcement):
    """Return whether an announcement may be late, from before a restart."""
    table = tables.runs
    return (
        tables.confirms_announcements
        and table.backend is None
        and not announcement.leaving
        and not announcements.follows(table.held_announcement, announcement)
    )


def _hold(table, announcement, ttl_ms, now_ms):
    LOG.info(
        "announcement_held",
        instance=announcement.instance,
        born_ms=announcement.born_ms,
        sequence=announcement.sequence,
    )
    held = table.held_announcement
    if held is not None and announcements.is_older(announcement, held):
        silent_ms = now_ms - table.held_at_ms
        if not _outlasts(table, announcement, silent_ms, ttl_ms):
            return
    table.held_announcement = announcement
    table.held_at_ms = now_ms


def confirm_backend(tables, announcement, ttl_ms, now_ms):
    """Register the backend server that its health check has confirmed.

    :param tables: the node's tables.
    :param announcement:
        :class:`~fescueyard.admission.announcements.Announcement`, built from
        the health check; that of the server itself is used if it is held.
    :param ttl_ms: time without an announcement after which it counts as gone,
        in ms.
    :param now_ms: the present time.
    """
    held = tables.runs.held_announcement
    if held is not None and held.instance == announcement.instance:
        announcement = held
    tables.confirms_announcements = False
    apply_announcement(tables, announcement, ttl_ms, now_ms)


def update_cold_until(tables, cold_ms, now_ms):
    """Set the end of the slow start; publish it if it is much later.

    An end that has passed counts as the present, so the announcements of a
    warm backend server publish nothing.

    :param tables: the node's tables.
    :param cold_ms: remaining time of the slow start, in ms.
    :param now_ms: the present time.
    """
    backend = tables.runs.backend
    known_ms = max(backend.cold_until_ms or now_ms, now_ms)
    backend.cold_until_ms = now_ms + cold_ms
    if backend.cold_until_ms - known_ms > COLD_CHANGE_MIN_MS:
        _publish_backend(tables, now_ms)


def backend_left(tables, instance, now_ms, unix_ms):
    """Drain a backend server that reported that it is leaving.

    :param tables: the node's tables.
    :param instance: its id; the report of another instance does not drain.
    :param now_ms: the present time.
    :param unix_ms: the present time of day, in ms.
    """
    table = tables.runs
    LOG.info("backend_left", instance=instance, unix_ms=unix_ms)
    held = table.held_announcement
    if held is not None and held.instance == instance:
        table.held_announcement = None
    if table.backend is not None and table.backend.instance == instance:
        table.backend.says_leaving = True
        drain_backend(tables, now_ms)
    elif table.backend is None:
        _remember_leave(table, instance, unix_ms)


def _remember_leave(table, instance, unix_ms):
    table.left_at_unix_ms[instance] = unix_ms
    if len(table.left_at_unix_ms) > LEAVES_MAX:
        del table.left_at_unix_ms[next(iter(table.left_at_unix_ms))]


def drain_backend(tables, now_ms):
    """Stop new work for the backend server; running requests continue.

    The queued ones are rejected by the event.

    :param tables: the node's tables.
    :param now_ms: the present time.
    """
    table = tables.runs
    if table.backend is None or table.backend.leaving:
        return
    table.backend.leaving = True
    _publish_backend(tables, now_ms)
    tables.events.append(BackendDrained())


def close(tables, now_ms):
    """Stop accepting work for the backend server because the node is stopping.

    :param tables: the node's tables.
    :param now_ms: the present time.
    """
    tables.runs.closed = True
    drain_backend(tables, now_ms)
    membership.update_own_member(tables, now_ms, accepting=False)


def record_notice(tables, notice, run_started_at_ms, now_ms):
    """Record what the backend server says of itself in a response.

    :param tables: the node's tables.
    :param notice: :class:`~fescueyard.core.notices.ServerNotice`.
    :param run_started_at_ms: when the run of the response was started.
    :param now_ms: the present time.
    """
    table = tables.runs
    server_limit.record_notice(
        table.server_limit, notice, run_started_at_ms, now_ms
    )
    if notice.leaving:
        _drain_by_notice(tables, "response", now_ms)


def adopt_notice(tables, notice, now_ms):
    """Apply what another node knows of the backend server.

    This node may have been restarted after the server said it. What is known
    of another instance is ignored.

    :param tables: the node's tables.
    :param notice: :class:`~fescueyard.core.notices.ServerNotice`.
    :param now_ms: the present time.
    """
    backend = tables.runs.backend
    if backend is None or not notice.instance:
        return
    same_process = backend.instance == notice.instance and (
        backend.born_ms == notice.born_ms or not backend.born_ms
    )
    if not same_process:
        return
    if notice.born_ms:
        # A later process under the same id is told by its start time.
        backend.born_ms = notice.born_ms
    server_limit.adopt(tables.runs.server_limit, notice, now_ms)
    if notice.leaving:
        _drain_by_notice(tables, "other_node", now_ms)


def _drain_by_notice(tables, basis, now_ms):
    backend = tables.runs.backend
    if backend is None:
        return
    backend.says_leaving = True
    if backend.leaving:
        return
    LOG.info("backend_leaving", instance=backend.instance, basis=basis)
    drain_backend(tables, now_ms)


def probe_after_failure(tables, forward):
    """Probe whether a run was interrupted by a crash of the server.

    :param tables: the node's tables.
    :param forward: :class:`~fescueyard.admission.messages.ForwardRequest`.
    """
    table = tables.runs
    if not table.awaiting_probe and table.backend is not None:
        tables.effects.append(effects.ProbeBackend(table.backend.address))
    table.awaiting_probe.append(forward)


def handle_probe_result(tables, accepted, now_ms):
    """Handle the result of probing the backend server's address.

    :param tables: the node's tables.
    :param accepted: whether it accepts connections; otherwise a crash
        interrupted its runs.
    :param now_ms: the present time.
    """
    table = tables.runs
    awaiting_probe, table.awaiting_probe = table.awaiting_probe, []
    if accepted:
        return
    LOG.warning("backend_crashed", runs=len(awaiting_probe))
    cold_limit.record_break(table.cold_limit, "probe_refused", now_ms)
    for forward in awaiting_probe:
        quarantine.record_crash(tables, forward, now_ms)
    if table.backend is not None:
        table.backend.connect_failures = CONNECT_FAILURES_MAX
    drain_backend(tables, now_ms)


def record_connect_result(tables, code, now_ms):
    """Drain a backend server that can't be reached at its address.

    It keeps refusing connections, or another one responds there.

    :param tables: the node's tables.
    :param code: result code of a run.
    :param now_ms: the present time.
    """
    backend = tables.runs.backend
    if backend is None or not tables.routed:
        return
    if code not in OUT_OF_REACH_CODES:
        backend.connect_failures = 0
        return
    backend.connect_failures += 1
    if backend.connect_failures >= CONNECT_FAILURES_MAX:
        if not backend.leaving:
            LOG.warning("backend_unreachable", instance=backend.instance)
        drain_backend(tables, now_ms)


@dispatch.handle.register
def _handle_backend_expiry(event: BackendExpiryDue, tables, now_ms):
    backend = tables.runs.backend
    if backend is None or now_ms < backend.expires_at_ms:
        return
    if not backend.leaving:
        LOG.info("backend_silent", instance=backend.instance)
    drain_backend(tables, now_ms)


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
