"""What limits the requests that start at this VM's backend server.

Combines the rate that the server names (:mod:`server_limit`), the one that
holds while it is cold (:mod:`cold_limit`) and, in services with a cold rate,
its pace after a start (:mod:`pace`).
"""

import dataclasses
import math

from fescueyard.admission import cold_limit
from fescueyard.admission import limiter
from fescueyard.admission import pace
from fescueyard.admission import registration
from fescueyard.admission import server_limit
from fescueyard.admission import token_bucket
from fescueyard.configuration import models as configuration_models
from fescueyard.core import codes
from fescueyard.core import effects
from fescueyard.core import notices
from fescueyard.core import timers

# Assumed until a restarted node has its first copy of the configuration, which
# says how long a server is cold and how many requests it takes meanwhile.
UNCONFIGURED_RATE_PER_S = 2.0
UNCONFIGURED_COLD_START_MS = 5_000
# Results of runs after which another process may listen at the address.
BREAK_CODES = frozenset(
    {
        codes.BACKEND_FAILED,
        codes.CONNECT_FAILED,
        codes.SHORT_ANSWER,
        codes.WRONG_INSTANCE,
    }
)


@dataclasses.dataclass(slots=True)
class StartTokenDue:
    """Event: a limit of the backend server may let a queued run start."""


def cold_rate_per_s(tables):
    """Return the rate that this VM's backend server takes while it is cold.

    :param tables: the node's tables.
    :returns: requests per second; 0 for no limit.
    """
    service = _own_service(tables)
    if service is not None:
        return service.cold_rate_per_s
    return UNCONFIGURED_RATE_PER_S if _is_unconfigured(tables) else 0.0


def is_limited(tables, now_ms):
    """Return whether a rate or the pace limits what the server takes.

    :param tables: the node's tables.
    :param now_ms: the present time.
    :returns: bool.
    """
    table = tables.runs
    if table.server_limit.rate_per_s is not None:
        return True
    return not math.isinf(table.pace.window) or _is_cold(tables, now_ms)


def pace_window(tables):
    """Return the window of the pace, as a metric.

    :param tables: the node's tables.
    :returns: number of requests; 0 with full load.
    """
    window = tables.runs.pace.window
    return 0 if math.isinf(window) else round(window, 1)


def has_free_slot(tables):
    """Return whether concurrency limit and pace let one more request start.

    :param tables: the node's tables.
    :returns: bool.
    """
    table = tables.runs
    running = len(table.running)
    return limiter.may_start(table.limiter, running) and pace.may_start(
        table.pace, running
    )


def reported_limit(tables, now_ms):
    """Return the concurrency limit that senders weight the server by.

    :param tables: the node's tables.
    :param now_ms: the present time.
    :returns: number of requests; 1 while the server is cold.
    """
    if _is_cold(tables, now_ms):
        return 1
    return int(min(tables.runs.limiter.limit, tables.runs.pace.window))


def record_completion(tables, run, is_good, is_fault, now_ms):
    """Adjust the pace to the end of a run.

    A run that failed along with a call to another service, or was waiting for
    one, counts as good, as it says nothing about this server. Refusals and
    missed deadlines of a server at full load are ignored: any overload causes
    them, and a smaller window would reduce the service's capacity further.

    :param tables: the node's tables.
    :param run: :class:`~fescueyard.admission.models.Run`.
    :param is_good: whether the server ran it and responded without an error.
    :param is_fault: whether a run that is not good failed by a fault of the
        server, rather than a refusal or a missed deadline. Ignored for a good
        run.
    :param now_ms: the present time.
    """
    table = tables.runs
    if not _is_paced(tables):
        return
    if not (is_good or is_fault) and math.isinf(table.pace.window):
        return
    is_good = is_good or _depends_on_other(tables, run)
    quality = tables.members.quality.get(
        (table.backend.service, run.forward.priority)
    )
    pace.record_completion(
        table.pace,
        pace.Completion(
            run.started_at_ms,
            is_good,
            len(table.running),
            table.backend.slots,
            quality.latency_ms if quality else 0.0,
            tables.own_profile().latency_tolerance,
        ),
        now_ms,
    )


def cold_state(tables, now_ms):
    """Return whether the backend server counts as cold, as a metric.

    :param tables: the node's tables.
    :param now_ms: the present time.
    :returns: 1 or 0.
    """
    return int(_is_cold(tables, now_ms))


def may_start(tables, now_ms):
    """Return whether the rates let one more request start.

    Requests the health path if it is due and requests are queued, to learn
    whether the server is still cold.

    :param tables: the node's tables.
    :param now_ms: the present time.
    :returns: bool.
    """
    table = tables.runs
    rate_per_s = cold_rate_per_s(tables)
    if rate_per_s and table.queued_count:
        _query_health_if_due(tables, rate_per_s, now_ms)
    return server_limit.may_start(
        table.server_limit, now_ms
    ) and cold_limit.may_start(table.cold_limit, rate_per_s, now_ms)


def record_start(tables, now_ms):
    """Count a request that is sent to the backend server.

    :param tables: the node's tables.
    :param now_ms: the present time.
    """
    table = tables.runs
    server_limit.record_start(table.server_limit, now_ms)
    rate_per_s = cold_rate_per_s(tables)
    cold_limit.record_start(table.cold_limit, rate_per_s, now_ms)


def wait_ms(tables, ahead_count, now_ms):
    """Return how long the limits hold a request back.

    :param tables: the node's tables.
    :param ahead_count: requests that start before it.
    :param now_ms: the present time.
    :returns: ms; 0 without a limit.
    """
    table = tables.runs
    rate_per_s = cold_rate_per_s(tables)
    return max(
        server_limit.wait_ms(table.server_limit, ahead_count, now_ms),
        cold_limit.wait_ms(table.cold_limit, rate_per_s, ahead_count, now_ms),
        pace.wait_ms(
            table.pace,
            len(table.running),
            ahead_count,
            table.limiter.short_latency_ms,
        ),
    )


def is_held_back(tables, run, ahead_count, now_ms):
    """Return whether the limits hold a queued run back too long.

    :param tables: the node's tables.
    :param run: :class:`~fescueyard.admission.models.Run`.
    :param ahead_count: requests that start before it.
    :param now_ms: the present time.
    :returns: bool.
    """
    wait_max_ms = server_limit.wait_max_ms(
        run.forward.objective_ms, run.forward.may_wait
    )
    waited_ms = now_ms - run.queued_at_ms
    remaining_ms = wait_ms(tables, ahead_count, now_ms)
    return remaining_ms > 0 and waited_ms + remaining_ms > wait_max_ms


def schedule_next_token(tables, now_ms):
    """Schedule a :class:`StartTokenDue` event if requests are queued.

    :param tables: the node's tables.
    :param now_ms: the present time.
    """
    table = tables.runs
    if not table.queued_count or table.token_wakeup_at_ms > now_ms:
        return
    table.token_wakeup_at_ms = now_ms + wait_ms(tables, 0, now_ms)
    timers.schedule(tables.timers, table.token_wakeup_at_ms, StartTokenDue())


def record_result(tables, run, response, code, now_ms):
    """Record what the result of a run tells of the server's process.

    :param tables: the node's tables.
    :param run: :class:`~fescueyard.admission.models.Run`.
    :param response: its response, or None.
    :param code: its result code.
    :param now_ms: the present time.
    """
    if code in BREAK_CODES:
        record_break(tables, code.name, now_ms)
    elif response is not None:
        service = _own_service(tables)
        cold_limit.record_response(
            tables.runs.cold_limit,
            run.started_at_ms,
            service.cold_start_ms if service else UNCONFIGURED_COLD_START_MS,
            now_ms,
        )


def record_break(tables, reason, now_ms):
    """Record a sign that another process may listen at the server's address.

    :param tables: the node's tables.
    :param reason: what was seen, for the log.
    :param now_ms: the present time.
    """
    cold_limit.record_break(tables.runs.cold_limit, reason, now_ms)
    _log_cold_changes(tables, now_ms)


def record_connection(tables, connected_at_ms, now_ms):
    """Record a response on a connection that was opened some time ago.

    :param tables: the node's tables.
    :param connected_at_ms: when the connection was opened.
    :param now_ms: the present time.
    """
    limit = tables.runs.cold_limit
    if cold_limit.record_connection(limit, connected_at_ms):
        _log_cold_changes(tables, now_ms)


def record_health_request(tables, now_ms):
    """Count a request for the health path of the backend server.

    :param tables: the node's tables.
    :param now_ms: the present time.
    :returns: number of breaks so far, to be passed to
        :func:`handle_health_response` with the response.
    """
    limit = tables.runs.cold_limit
    rate_per_s = cold_rate_per_s(tables)
    cold_limit.record_health_request(limit, rate_per_s, now_ms)
    return limit.break_count


def handle_health_response(tables, response, break_count, now_ms):
    """Apply what a health response says of how long the server is cold.

    :param tables: the node's tables.
    :param response: :class:`~fescueyard.core.http.HttpResponse`, or None.
    :param break_count: what :func:`record_health_request` returned.
    :param now_ms: the present time.
    """
    if response is None:
        record_break(tables, "health_request_failed", now_ms)
        return
    cold_ms = notices.parse_cold_ms(response.headers, tables.interface.names)
    if not cold_limit.record_health_response(
        tables.runs.cold_limit, cold_ms, break_count, now_ms
    ):
        return
    if tables.runs.backend is not None:
        registration.update_cold_until(tables, cold_ms, now_ms)
    _log_cold_changes(tables, now_ms)
    tables.events.append(StartTokenDue())


def tick(tables, now_ms):
    """Detect a stall of the node, and update the bucket and the pace.

    :param tables: the node's tables.
    :param now_ms: the present time.
    """
    limit = tables.runs.cold_limit
    cold_limit.tick(limit, now_ms)
    rate_per_s = cold_rate_per_s(tables)
    if rate_per_s:
        token_bucket.refill(limit.bucket, rate_per_s, now_ms)
        _log_cold_changes(tables, now_ms)
    if _is_paced(tables):
        pace.update_cold(
            tables.runs.pace, cold_limit.is_cold(limit, now_ms), now_ms
        )
    else:
        tables.runs.pace.window = math.inf


def _depends_on_other(tables, run):
    return bool(run.failed_call_fingerprints) or any(
        call.parent_run_id == run.run_id for call in tables.calls.rows.values()
    )


def _is_cold(tables, now_ms):
    return bool(cold_rate_per_s(tables)) and cold_limit.is_cold(
        tables.runs.cold_limit, now_ms
    )


def _own_service(tables):
    return tables.configuration.state.find(
        configuration_models.Kind.SERVICE, tables.own_service()
    )


def _is_paced(tables):
    """Return whether the configuration names a cold rate for the service."""
    service = _own_service(tables)
    return service is not None and bool(service.cold_rate_per_s)


def _is_unconfigured(tables):
    services = tables.configuration.state.objects[
        configuration_models.Kind.SERVICE
    ]
    return tables.routed and not services


def _log_cold_changes(tables, now_ms):
    rate_per_s = cold_rate_per_s(tables)
    cold_limit.log_changes(tables.runs.cold_limit, rate_per_s, now_ms)


def _query_health_if_due(tables, rate_per_s, now_ms):
    service = _own_service(tables)
    backend = tables.runs.backend
    limit = tables.runs.cold_limit
    if service is None or not service.health_path or backend is None:
        return
    if cold_limit.may_query_health(limit, now_ms):
        break_count = record_health_request(tables, now_ms)
        tables.effects.append(
            effects.QueryHealth(
                backend.address, service.health_path, break_count
            )
        )
