"""Token requests to grantors: one at a time to each, for all customers."""

import dataclasses

from fescueyard.core import effects
from fescueyard.core import logs
from fescueyard.limits import fallback
from fescueyard.limits import grantors
from fescueyard.limits import local_buckets
from fescueyard.limits import messages
from fescueyard.limits import models
from fescueyard.limits import shards

LOG = logs.ComponentLogger("limits")

REQUEST_TIMEOUT_MS = 300
REQUEST_PAUSE_MS = 3
NODE_REPORT_INTERVAL_MS = 60
ZONE_REPORT_INTERVAL_MS = 50
GRANTOR_BACKOFF_MS = 3_000
FLEET_BACKOFF_MS = 10_000
NODE_PREFETCH_S = 0.15
ZONE_PREFETCH_S = 0.2
RENEW_BEFORE_MS = 1_000


@dataclasses.dataclass(slots=True)
class _Draft:
    """A token demand, and whether it can't wait for the next report."""

    demand: messages.TokenDemand
    urgent: bool


def send_due_requests(tables, now_ms):
    """Send each grantor its due request, unless one is still open.

    :param tables: the node's tables.
    :param now_ms: the present time.
    """
    own_id = tables.members.own.node_id
    for customer in tables.limits.waiting:
        # Creates the bucket if the grantor changed while the calls waited.
        grantors.own_bucket(tables, customer, now_ms)
    # Looked up once for each shard, as its customers have the same grantor.
    grantor_ids = {}
    by_grantor = {}
    for customer in tables.limits.node_buckets:
        shard = shards.shard_of(customer)
        grantor_id = grantor_ids.get(shard)
        if grantor_id is None:
            grantor_id = grantors.grantor_of(tables, customer, now_ms)
            grantor_ids[shard] = grantor_id
        if grantor_id != own_id:
            by_grantor.setdefault(grantor_id, []).append(customer)
    for grantor_id, customers in by_grantor.items():
        _send_request(
            tables,
            grantor_id,
            customers,
            tables.limits.node_buckets,
            NODE_PREFETCH_S,
            now_ms,
        )
    if tables.limits.zone_buckets or _is_heartbeat_due(tables, now_ms):
        _send_request(
            tables,
            models.FLEET_LINK,
            list(tables.limits.zone_buckets),
            tables.limits.zone_buckets,
            ZONE_PREFETCH_S,
            now_ms,
        )


def record_failure(tables, key, link, now_ms):
    """Record that the open request failed; tokens granted for it are lost.

    :param tables: the node's tables.
    :param key: key of the link.
    :param link: :class:`~fescueyard.limits.models.GrantorLink`.
    :param now_ms: the present time.
    """
    LOG.info(
        "grantor_silent",
        grantor=key,
        asked_ms_ago=round(now_ms - link.sent_at_ms),
        failures=link.failures + 1,
    )
    _count_failure(tables, key, link, now_ms)


def record_refusal(tables, key, link, now_ms):
    """Record that a process responded that it is not the grantor.

    :param tables: the node's tables.
    :param key: key of the link.
    :param link: :class:`~fescueyard.limits.models.GrantorLink`.
    :param now_ms: the present time.
    """
    LOG.info("not_the_grantor", grantor=key, failures=link.failures + 1)
    _count_failure(tables, key, link, now_ms)


def _count_failure(tables, key, link, now_ms):
    link.sent_at_ms = None
    link.request_due_ms = now_ms + REQUEST_PAUSE_MS
    link.failures += 1
    if key != models.FLEET_LINK:
        link.failed_until_ms = now_ms + GRANTOR_BACKOFF_MS
        return
    tables.limits.control_index += 1
    # The fleet grantor counts as unreachable once every control VM was tried.
    if link.failures >= len(tables.control_addresses()):
        link.failed_until_ms = now_ms + FLEET_BACKOFF_MS


def record_response(key, link, now_ms):
    """Record that a grantor responded.

    :param key: key of the link.
    :param link: :class:`~fescueyard.limits.models.GrantorLink`.
    :param now_ms: the present time.
    """
    if link.failures:
        LOG.info("grantor_back", grantor=key, failures=link.failures)
    link.sent_at_ms = None
    link.failures = 0
    link.failed_until_ms = float("-inf")
    link.request_due_ms = now_ms + REQUEST_PAUSE_MS


def _send_request(tables, key, customers, buckets, prefetch_s, now_ms):
    link = tables.limits.links.setdefault(key, models.GrantorLink())
    if link.sent_at_ms is not None:
        if now_ms - link.sent_at_ms < REQUEST_TIMEOUT_MS:
            return
        record_failure(tables, key, link, now_ms)
    if now_ms < link.request_due_ms:
        return
    to_fleet = key == models.FLEET_LINK
    heartbeat = to_fleet and _is_heartbeat_due(tables, now_ms)
    if now_ms < link.report_due_ms and not heartbeat:
        # Only what has changed since the last report can be urgent.
        changed = [
            customer
            for customer in customers
            if _has_changed(tables, customer, buckets[customer])
        ]
        drafts = _draft_demands(tables, changed, buckets, prefetch_s, now_ms)
        if not any(draft.urgent for draft in drafts):
            return
    drafts = _draft_demands(tables, customers, buckets, prefetch_s, now_ms)
    tables.limits.changed.difference_update(customers)
    if not drafts:
        _drop_idle_buckets(customers, buckets, now_ms)
        if not heartbeat:
            return
    address = _address(tables, key)
    if address is None:
        return
    link.request_id += 1
    link.sent_at_ms = now_ms
    link.report_due_ms = now_ms + (
        ZONE_REPORT_INTERVAL_MS if to_fleet else NODE_REPORT_INTERVAL_MS
    )
    demands = []
    for draft in drafts:
        bucket = buckets[draft.demand.customer]
        bucket.tokens -= draft.demand.returned
        bucket.reported_held = draft.demand.held
        demands.append(draft.demand)
    request = messages.TokenRequest(
        link.request_id, tables.process_id, to_fleet, demands
    )
    if to_fleet:
        lease = tables.limits.fallback_lease
        lease.sent_at_ms = now_ms
        request.zone = tables.members.own.zone
        request.acknowledged_id = lease.acknowledged_id
        request.fallback_shares = fallback.requested_shares(
            tables, grantors.own_shards(tables)
        )
    tables.effects.append(effects.SendMessage(address, request))


def _has_changed(tables, customer, bucket):
    """Return whether a customer may need tokens since the last report."""
    table = tables.limits
    return (
        customer in table.changed
        or customer in table.waiting
        or bucket.wanted > 0
    )


def _draft_demands(tables, customers, buckets, prefetch_s, now_ms):
    """Draft what is due for some customers; skip those that are idle."""
    drafts = []
    for customer in customers:
        bucket = buckets[customer]
        if not (
            bucket.tokens
            or bucket.reported_held
            or _has_changed(tables, customer, bucket)
        ):
            continue
        draft = _draft_demand(tables, customer, bucket, prefetch_s, now_ms)
        if draft is not None:
            drafts.append(draft)
    return drafts


def _draft_demand(tables, customer, bucket, prefetch_s, now_ms):
    """Draft a report and demand for a customer; None if nothing is due."""
    local_buckets.drop_expired(bucket, now_ms)
    needed = bucket.wanted
    if grantors.own_bucket(tables, customer, now_ms) is bucket:
        waiting = tables.limits.waiting.get(customer, ())
        needed = max(needed, len(waiting))
    prefetch = int(
        local_buckets.recent_demand_per_s(bucket, now_ms) * prefetch_s
    )
    if tables.refuses_callers(now_ms):
        needed = prefetch = 0
    returned = max(0, bucket.tokens - max(needed, 2 * prefetch))
    held = local_buckets.held_count(bucket) - returned
    wanted = extra = 0
    if now_ms >= bucket.exhausted_until_ms:
        wanted = max(0, needed - bucket.tokens)
        if wanted or 2 * bucket.tokens < prefetch:
            extra = max(0, prefetch - max(needed, bucket.tokens))
    renew = held > 0 and bucket.expires_at_ms - now_ms < RENEW_BEFORE_MS
    reports = returned > 0 or held != bucket.reported_held
    if not (wanted or extra or renew or reports):
        return None
    demand = messages.TokenDemand(customer, held, returned, wanted, extra)
    return _Draft(demand, wanted + extra > 0 or renew)


def _is_heartbeat_due(tables, now_ms):
    # Asked at each tick and message, so the cheapest condition comes first.
    if not fallback.is_heartbeat_interval_over(tables, now_ms):
        return False
    own_shards = grantors.own_shards(tables)
    return fallback.is_heartbeat_due(tables, own_shards, now_ms)


def _drop_idle_buckets(customers, buckets, now_ms):
    for customer in customers:
        bucket = buckets[customer]
        idle = (
            now_ms - bucket.demand_at_ms > 10 * local_buckets.DEMAND_WINDOW_MS
        )
        if idle and not local_buckets.held_count(bucket):
            del buckets[customer]


def _address(tables, key):
    if key == models.FLEET_LINK:
        addresses = tables.control_addresses()
        if not addresses:
            return None
        return addresses[tables.limits.control_index % len(addresses)]
    member = tables.members.rows.get(key)
    return None if member is None else member.address
