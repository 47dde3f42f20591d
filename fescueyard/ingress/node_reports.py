"""What a node's response to an attempt tells of its backend server."""

from fescueyard.core import codes
from fescueyard.pressure import entry
from fescueyard.pressure import models as pressure_models
from fescueyard.retries import quarantine
from fescueyard.routing import balancer
from fescueyard.routing import evacuation
from fescueyard.routing import models as routing_models
from fescueyard.routing import outliers

_REFUSING_CODES = frozenset({codes.LEAVING.number, codes.NO_BACKEND.number})


def record(tables, call, attempt, response, now_ms):
    """Record load, quality and refusals for the choice of later attempts.

    :param tables: the node's tables.
    :param call: :class:`~fescueyard.ingress.models.Call`.
    :param attempt: the attempt, which is still in progress.
    :param response: the node's
        :class:`~fescueyard.admission.messages.ForwardResponse`.
    :param now_ms: the present time.
    """
    _record_load(tables, call, attempt.node_id, response, now_ms)
    _record_refusal(tables, attempt.node_id, response, now_ms)
    balancer.record_notice(
        tables,
        attempt.address,
        response.notice,
        response.response is not None,
    )
    if response.crash_id:
        quarantine.record_reported_crash(
            tables, call.fingerprint, response.crash_id, now_ms
        )


def _record_load(tables, call, node_id, response, now_ms):
    entry.record_response(
        tables.pressure,
        call.service,
        pressure_models.Pressure(response.pressure, response.bottleneck),
        call.is_backend_call,
        now_ms,
    )
    balancer.record_load(
        tables, node_id, response.load, response.limit, now_ms
    )
    outliers.record_report(
        tables.members,
        node_id,
        routing_models.QualityReport(
            call.service,
            call.priority,
            response.latency_ms,
            response.failure_share,
        ),
        now_ms,
    )


def _record_refusal(tables, node_id, response, now_ms):
    if response.code in _REFUSING_CODES:
        balancer.mark_refusing(tables, node_id, now_ms)
    if response.code == codes.SERVER_LIMITED.number:
        balancer.mark_limited(tables, node_id, response.retry_after_ms, now_ms)
    if response.code == codes.ZONE_EVACUATED.number:
        evacuation.record_rejection(tables, node_id, now_ms)
