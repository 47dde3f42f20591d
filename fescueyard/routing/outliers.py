"""Backend servers that are slower or fail more than others of their service.

Load pattern: one server of a service answers several times slower than the
others, or spoils part of its responses, while its health check is good and
its number of requests in flight looks ordinary. Its own node sees every run,
so each response carries the recent latency and share of failures there, and
all nodes learn of it within a few requests of the fleet together. Only the
difference from the better servers of the service counts: when all are slow or
fail alike, the cause lies further down the chain and no server is avoided.

Second load pattern: the service as a whole is short of slots. A free slot of a
slow server is then worth more than a place in the queue of a fast one, since
work that queues is soon turned away.
"""

from fescueyard.routing import models

# Interval at which the quartiles of a service with many servers are calculated
# again; with few servers each response may move them.
QUARTILES_INTERVAL_MS = 100
FEW_SERVERS_MAX = 8
# Half-life of what a server last reported, so that it is tried again.
REPORT_HALF_LIFE_MS = 3_000
SLOWNESS_MIN = 0.5
SLOWNESS_MAX = 8.0
# Shares of failures up to these, added together, can't be told from chance.
FAILURE_TOLERANCE = 0.05
FAILURE_TOLERANCE_PER_QUARTILE = 2.0
# Load per slot that a server may carry more than others before work goes to
# one that fails this share of it in addition.
LOAD_PER_FAILURE_SHARE = 5.0
# Load per slot that a server without a free slot counts in addition.
QUEUE_PENALTY = 2.0


def record_report(table, node_id, report, now_ms):
    """Record the latency and the failures that a response reported.

    :param table: :class:`~fescueyard.routing.models.MemberTable`.
    :param node_id: node of the backend server.
    :param report: :class:`~fescueyard.routing.models.QualityReport`.
    :param now_ms: the present time.
    """
    target = table.targets.get(node_id)
    if target is None:
        return
    quality = table.quality.setdefault(
        (report.service, report.priority), models.ClassQuality()
    )
    quality.reports[node_id] = report
    if (
        len(quality.reports) <= FEW_SERVERS_MAX
        or now_ms - quality.quartiles_at_ms >= QUARTILES_INTERVAL_MS
    ):
        _update_quartiles(table, quality, report.service, now_ms)
    target.report = report
    target.report_at_ms = now_ms


def weigh(table, target, load_per_slot, now_ms):
    """Return the load of a server as a good one of its service has it.

    :param table: :class:`~fescueyard.routing.models.MemberTable`.
    :param target: :class:`~fescueyard.routing.models.TargetState`.
    :param load_per_slot: its requests in flight, per slot.
    :param now_ms: the present time.
    :returns: a load per slot that can be compared between servers.
    """
    report = target.report
    if load_per_slot > 1.0:
        load_per_slot += QUEUE_PENALTY
    if report is None:
        return load_per_slot
    quality = table.quality[report.service, report.priority]
    age_ms = now_ms - target.report_at_ms
    weight = 0.5 ** (age_ms / REPORT_HALF_LIFE_MS)
    slowness = 1.0 + weight * (_slowness(report, quality) - 1.0)
    failures = weight * _excess_failures(report, quality)
    return load_per_slot * slowness + LOAD_PER_FAILURE_SHARE * failures


def _slowness(report, quality):
    """Return the ratio of a server's latency to the lower quartile."""
    if not report.latency_ms or not quality.latency_ms:
        return 1.0
    ratio = report.latency_ms / quality.latency_ms
    return min(SLOWNESS_MAX, max(SLOWNESS_MIN, ratio))


def _excess_failures(report, quality):
    """Return the share of failures above what is ordinary."""
    tolerated_share = (
        FAILURE_TOLERANCE
        + FAILURE_TOLERANCE_PER_QUARTILE * quality.failure_share
    )
    return max(0.0, report.failure_share - tolerated_share)


def _update_quartiles(table, quality, service, now_ms):
    """Calculate the lower quartiles over the servers that are in use."""
    quality.quartiles_at_ms = now_ms
    in_use = table.by_service.get(service, {})
    quality.reports = {
        node_id: report
        for node_id, report in quality.reports.items()
        if node_id in in_use
    }
    if not quality.reports:
        return
    reports = quality.reports.values()
    quality.latency_ms = _lower_quartile(
        [report.latency_ms for report in reports]
    )
    failure_shares = [report.failure_share for report in reports]
    # Servers of other zones may not have been tried; they count as faultless,
    # so that a failing one nearby is not all that is known.
    failure_shares += [0.0] * (len(in_use) - len(failure_shares))
    quality.failure_share = _lower_quartile(failure_shares)


def _lower_quartile(values):
    ordered = sorted(values)
    return ordered[(len(ordered) - 1) // 4]
