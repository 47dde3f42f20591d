"""Metrics of a node in the exposition format."""

from fescueyard.admission import start_limits
from fescueyard.configuration import replica
from fescueyard.core import exposition
from fescueyard.routing import evacuation
from fescueyard.routing import traffic

QUANTILES = (50, 90, 99, 99.9)


def samples(tables, now_ms):
    """Return the metrics of a node.

    :param tables: the node's tables.
    :param now_ms: the present time.
    :returns: list of sample lines.
    """
    lines = []
    for name, count in sorted(tables.metrics.counters.items()):
        lines.append(exposition.sample("events_total", count, event=name))
    histogram = tables.metrics.call_latency
    for quantile in QUANTILES:
        value_ms = histogram.get_value_at_percentile(quantile) / 1000
        lines.append(
            exposition.sample(
                "call_latency_ms", value_ms, quantile=quantile / 100
            )
        )
    count = histogram.get_total_count()
    lines.append(exposition.sample("call_latency_ms_count", count))
    lines.extend(traffic.samples(tables.traffic))
    for name, value in _gauges(tables, now_ms).items():
        lines.append(exposition.sample(name, value))
    return lines


def _gauges(tables, now_ms):
    runs = tables.runs
    return {
        "calls_open": len(tables.calls.rows),
        "runs_running": len(runs.running),
        "runs_queued": runs.queued_count,
        "run_limit": int(runs.limiter.limit),
        "server_cold": start_limits.cold_state(tables, now_ms),
        "pace_window": start_limits.pace_window(tables),
        "pressure_kept": round(tables.pressure.backend.admitted_share, 3),
        "members_alive": tables.members.nodes_alive,
        "configuration_version": tables.configuration.state.version,
        "configuration_age_ms": replica.age_ms(tables.configuration, now_ms),
        "draining": int(tables.draining),
        "zone_evacuated": int(
            evacuation.is_evacuated(tables, tables.members.own.zone)
        ),
    }
