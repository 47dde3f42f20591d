"""The metrics of a node as text in the usual exposition format."""

from fescueyard.configuration import replica
from fescueyard.core import clock
from fescueyard.core import http

CONTENT_TYPE = "text/plain; version=0.0.4"
QUANTILES = (50, 90, 99, 99.9)


def answer(tables):
    """Make the answer of the metrics listener.

    :param tables: the node's tables.
    :returns: :class:`~fescueyard.core.http.HttpAnswer`.
    """
    headers = [http.Header("content-type", CONTENT_TYPE)]
    text = render(tables, clock.now_ms())
    return http.HttpAnswer(200, headers, text.encode())


def render(tables, now_ms):
    """Write the metrics.

    :param tables: the node's tables.
    :param now_ms: the present time.
    :returns: text.
    """
    lines = []
    for name, count in sorted(tables.metrics.counters.items()):
        lines.append(f'fescueyard_events_total{{event="{name}"}} {count}')
    histogram = tables.metrics.call_latency
    for quantile in QUANTILES:
        value_ms = histogram.get_value_at_percentile(quantile) / 1000
        lines.append(
            f'fescueyard_call_latency_ms{{quantile="{quantile / 100}"}} '
            f"{value_ms}"
        )
    lines.append(
        f"fescueyard_call_latency_ms_count {histogram.get_total_count()}"
    )
    for name, value in _gauges(tables, now_ms).items():
        lines.append(f"fescueyard_{name} {value}")
    return "\n".join(lines) + "\n"


def _gauges(tables, now_ms):
    runs = tables.runs
    return {
        "calls_open": len(tables.calls.rows),
        "runs_running": len(runs.running),
        "runs_queued": runs.queued_count,
        "run_limit": int(runs.limiter.limit),
        "members_alive": tables.members.nodes_alive,
        "configuration_version": tables.configuration.state.version,
        "configuration_age_ms": replica.age_ms(tables.configuration, now_ms),
        "draining": int(tables.draining),
    }
