"""Rate limits of customers, enforced by tokens distributed to the nodes.

Tokens go from the fleet grantor to one grantor per shard in each zone and from
there to the nodes. Each token is in one place only, and a holder's tokens
expire before its grantor counts them as free. A holder reports spent tokens
soon, since the grantor counts them as held until then.
"""

from fescueyard.configuration import models as configuration_models
from fescueyard.core import codes
from fescueyard.core import dispatch
from fescueyard.core import effects
from fescueyard.limits import decisions
from fescueyard.limits import fallback
from fescueyard.limits import grantors
from fescueyard.limits import local_buckets
from fescueyard.limits import messages
from fescueyard.limits import models
from fescueyard.limits import token_requests

WAIT_MAX_MS = 1_900
WAIT_MIN_MS = 200
WAIT_OBJECTIVE_SHARE = 0.125
# How long a call waits for a token while the fleet bucket is empty; enough for
# an unused token of another zone to be returned.
EXHAUSTED_WAIT_MAX_MS = 60
CUT_OFF_RETRY_AFTER_MS = 1_000
LIFETIME_MARGIN_MS = 20


def request_token(tables, call_id, customer, now_ms):
    """Take a token for a call; a ``RateDecided`` event has the decision.

    :param tables: the node's tables.
    :param call_id: the call.
    :param customer: name of its customer.
    :param now_ms: the present time.
    """
    if not _is_limited(tables, customer):
        decided = decisions.RateDecided(
            call_id, customer, codes.OK, decisions.Basis.UNLIMITED
        )
        decisions.publish(tables, decided, None, now_ms)
        return
    bucket = grantors.own_bucket(tables, customer, now_ms)
    tables.limits.changed.add(customer)
    local_buckets.record_demand(bucket, 1, now_ms)
    call_wait_max_ms = _wait_max_ms(tables, call_id)
    outlook = rate_outlook(tables, customer, call_wait_max_ms, now_ms)
    if outlook is decisions.Outlook.TOKEN:
        local_buckets.spend(bucket, now_ms)
        _admit(tables, call_id, customer, bucket, 0.0, now_ms)
    elif outlook is decisions.Outlook.CUT_OFF:
        _reject_unknown(tables, call_id, customer, 0.0, now_ms)
    elif outlook is decisions.Outlook.EXCEEDED:
        _reject_exceeded(tables, call_id, customer, 0.0, now_ms)
    else:
        waiting = tables.limits.waiting.setdefault(customer, [])
        waiting.append(
            models.WaitingCall(call_id, now_ms, now_ms + call_wait_max_ms)
        )
        token_requests.send_due_requests(tables, now_ms)


def rate_outlook(tables, customer, wait_max_ms, now_ms):
    """Return what a call of a customer gets when it requests a token now.

    :param tables: the node's tables.
    :param customer: name of the customer.
    :param wait_max_ms: how long the call may wait for a token, in ms.
    :param now_ms: the present time.
    :returns: :class:`~fescueyard.limits.decisions.Outlook`.
    """
    if not _is_limited(tables, customer):
        return decisions.Outlook.UNLIMITED
    bucket = grantors.own_bucket(tables, customer, now_ms)
    _add_fallback_tokens(tables, customer, now_ms)
    waiting_count = len(tables.limits.waiting.get(customer, ()))
    if not waiting_count and local_buckets.has_token(bucket, now_ms):
        return decisions.Outlook.TOKEN
    if grantors.is_cut_off(tables, customer, now_ms):
        return decisions.Outlook.CUT_OFF
    if bucket.is_fallback and waiting_count >= _fallback_yield(
        bucket, wait_max_ms
    ):
        return decisions.Outlook.CUT_OFF
    if waiting_count >= _waiting_max(bucket, now_ms):
        return decisions.Outlook.EXCEEDED
    return decisions.Outlook.WAIT


def return_token(tables, event, now_ms):
    """Return the token of a call that will not be sent.

    A token that was reported as spent can't be returned: its grantor may have
    granted another one in its place.

    :param tables: the node's tables.
    :param event: :class:`~fescueyard.limits.decisions.RateDecided`.
    :param now_ms: the present time.
    """
    if event.basis is decisions.Basis.UNLIMITED:
        return
    if event.code is not codes.OK:
        return
    bucket = grantors.own_bucket(tables, event.customer, now_ms)
    if local_buckets.held_count(bucket) < bucket.reported_held:
        bucket.tokens += 1


def tick(tables, now_ms):
    """Serve or reject waiting calls, and send requests that are due.

    :param tables: the node's tables.
    :param now_ms: the present time.
    """
    _serve_from_fallback(tables, now_ms)
    _expire_waiting(tables, now_ms)
    token_requests.send_due_requests(tables, now_ms)


def next_due_ms(tables, now_ms):
    """Return when the next tick is needed.

    :param tables: the node's tables.
    :param now_ms: the present time.
    :returns: a time; infinite when no call waits for a token and this node
        has no tokens from another node to report.
    """
    table = tables.limits
    if table.waiting:
        return now_ms + token_requests.REQUEST_PAUSE_MS
    if table.node_buckets:
        return now_ms + token_requests.NODE_REPORT_INTERVAL_MS
    return float("inf")


def return_all_tokens(tables, now_ms):
    """Return all tokens to their grantors before a planned stop.

    :param tables: the node's tables.
    :param now_ms: the present time.
    """
    for link in tables.limits.links.values():
        link.sent_at_ms = None
        link.request_due_ms = now_ms
        link.report_due_ms = now_ms
    token_requests.send_due_requests(tables, now_ms)


@dispatch.receive.register
def _receive_request(message: messages.TokenRequest, tables, sender, now_ms):
    grants = []
    for demand in message.demands:
        grants.append(_grant(tables, message, demand, now_ms))
    response = messages.TokenResponse(
        message.request_id,
        False,
        True,
        grants,
        renewal_age_ms=fallback.renewal_age_ms(tables, now_ms),
        is_fallback=fallback.is_any_fallback_active(tables, now_ms),
    )
    tables.effects.append(effects.SendReply(sender.stream, response))
    if any(
        zone_bucket.wanted
        for zone_bucket in tables.limits.zone_buckets.values()
    ):
        token_requests.send_due_requests(tables, now_ms)


@dispatch.receive.register
def _receive_response(message: messages.TokenResponse, tables, sender, now_ms):
    key = (
        models.FLEET_LINK
        if message.fleet_grantor_requested
        else sender.peer_id
    )
    link = tables.limits.links.get(key)
    if link is None or link.sent_at_ms is None:
        return
    if message.request_id != link.request_id:
        return
    sent_at_ms = link.sent_at_ms
    if not message.is_grantor:
        token_requests.record_refusal(tables, key, link, now_ms)
        return
    token_requests.record_response(key, link, now_ms)
    buckets = tables.limits.node_buckets
    if message.fleet_grantor_requested:
        buckets = tables.limits.zone_buckets
        fallback.apply_response(tables, message, sent_at_ms, now_ms)
    for grant in message.grants:
        bucket = buckets.get(grant.customer)
        if bucket is not None:
            local_buckets.apply_grant(
                bucket, grant, message, sent_at_ms, now_ms
            )
    _serve_waiting(tables, now_ms)
    if tables.limits.waiting:
        token_requests.send_due_requests(tables, now_ms)


@dispatch.handle_unsent.register
def _handle_unsent_request(
    message: messages.TokenRequest, tables, address, now_ms
):
    key = models.FLEET_LINK
    if not message.to_fleet:
        key = tables.members.by_address.get(address)
    link = tables.limits.links.get(key)
    if link is None or link.sent_at_ms is None:
        return
    if link.request_id == message.request_id:
        token_requests.record_failure(tables, key, link, now_ms)
        token_requests.send_due_requests(tables, now_ms)


def _admit(tables, call_id, customer, bucket, waited_ms, now_ms):
    basis = decisions.Basis.GRANTED
    if bucket.is_fallback:
        basis = decisions.Basis.FALLBACK_SHARE
    decided = decisions.RateDecided(
        call_id, customer, codes.OK, basis, 0.0, waited_ms
    )
    decisions.publish(tables, decided, bucket, now_ms)


def _reject_exceeded(tables, call_id, customer, waited_ms, now_ms):
    """Reject a call of a customer whose bucket is empty."""
    bucket = grantors.own_bucket(tables, customer, now_ms)
    decided = decisions.RateDecided(
        call_id,
        customer,
        codes.RATE_EXCEEDED,
        decisions.Basis.NO_TOKEN,
        bucket.exhausted_until_ms - now_ms,
        waited_ms,
    )
    decisions.publish(tables, decided, bucket, now_ms)


def _reject_unknown(tables, call_id, customer, waited_ms, now_ms):
    """Reject a call because no grantor responds."""
    decided = decisions.RateDecided(
        call_id,
        customer,
        codes.RATE_UNKNOWN,
        decisions.Basis.NO_TOKEN,
        CUT_OFF_RETRY_AFTER_MS,
        waited_ms,
    )
    bucket = grantors.own_bucket(tables, customer, now_ms)
    decisions.publish(tables, decided, bucket, now_ms)


def _wait_max_ms(tables, call_id):
    call = tables.calls.rows.get(call_id)
    return wait_max_ms(0.0 if call is None else call.objective_ms)


def wait_max_ms(objective_ms):
    """Return how long a call may wait for a token.

    :param objective_ms: its latency objective, in ms; 0 for none.
    :returns: ms, a part of the objective.
    """
    if not objective_ms:
        return WAIT_MAX_MS
    share_ms = objective_ms * WAIT_OBJECTIVE_SHARE
    return min(WAIT_MAX_MS, max(WAIT_MIN_MS, share_ms))


def _is_limited(tables, customer):
    customer_object = tables.configuration.state.find(
        configuration_models.Kind.CUSTOMER, customer
    )
    return customer_object is None or customer_object.rate_per_s is not None


def _waiting_max(bucket, now_ms):
    """Return how many calls may wait for a token.

    While the fleet bucket is empty, only as many calls wait as tokens are
    expected within a short wait; the others are rejected at once.
    """
    if now_ms >= bucket.exhausted_until_ms:
        return float("inf")
    if bucket.token_interval_ms > EXHAUSTED_WAIT_MAX_MS:
        return 0
    return EXHAUSTED_WAIT_MAX_MS // bucket.token_interval_ms


def _fallback_yield(bucket, wait_ms):
    """Return how many tokens a fallback share yields while a call may wait.

    The fleet grantor may become reachable meanwhile, so calls wait as long as
    they can.
    """
    return wait_ms // bucket.token_interval_ms


def _grant(tables, request, demand, now_ms):
    """Grant a node tokens from this zone's bucket."""
    zone_bucket = tables.limits.zone_buckets.setdefault(
        demand.customer, models.LocalBucket()
    )
    tables.limits.changed.add(demand.customer)
    local_buckets.drop_expired(zone_bucket, now_ms)
    _add_fallback_tokens(tables, demand.customer, now_ms)
    previous = zone_bucket.granted.get(request.holder_id)
    if previous is not None and request.request_id <= previous.request_id:
        return messages.TokenGrant(demand.customer, 0, False, 0.0, 0.0, 0.0)
    known_held = previous.tokens if previous is not None else 0
    held = max(0, min(demand.held, known_held))
    zone_bucket.tokens += max(0, min(demand.returned, known_held - held))
    granted = max(0, min(demand.wanted, zone_bucket.tokens))
    local_buckets.record_demand(zone_bucket, granted, now_ms)
    # Prefetching may not starve calls that wait already.
    granted += max(
        0, min(demand.prefetch, (zone_bucket.tokens - granted) // 2)
    )
    zone_bucket.tokens -= granted
    missing = max(0, demand.wanted - granted)
    zone_bucket.wanted = max(zone_bucket.wanted, missing)
    lifetime_ms = max(
        0.0, zone_bucket.expires_at_ms - now_ms - LIFETIME_MARGIN_MS
    )
    zone_bucket.granted[request.holder_id] = models.HeldTokens(
        held + granted, zone_bucket.expires_at_ms, request.request_id
    )
    exhausted = missing > 0 and now_ms < zone_bucket.exhausted_until_ms
    retry_after_ms = max(0.0, zone_bucket.exhausted_until_ms - now_ms)
    return messages.TokenGrant(
        demand.customer,
        granted,
        exhausted,
        retry_after_ms,
        zone_bucket.token_interval_ms,
        lifetime_ms,
    )


def _add_fallback_tokens(tables, customer, now_ms):
    zone_bucket = tables.limits.zone_buckets.get(customer)
    if zone_bucket is not None:
        fallback.add_fallback_tokens(tables, customer, zone_bucket, now_ms)


def _serve_from_fallback(tables, now_ms):
    """Serve waiting calls from the fallback share, if it is in use."""
    table = tables.limits
    if not table.waiting:
        return
    for customer in table.waiting:
        _add_fallback_tokens(tables, customer, now_ms)
    if fallback.is_any_fallback_active(tables, now_ms):
        _serve_waiting(tables, now_ms)


def _serve_waiting(tables, now_ms):
    table = tables.limits
    for customer in list(table.waiting):
        calls = table.waiting[customer]
        bucket = grantors.own_bucket(tables, customer, now_ms)
        while calls and local_buckets.spend(bucket, now_ms):
            call = calls.pop(0)
            waited_ms = now_ms - call.waiting_since_ms
            _admit(tables, call.call_id, customer, bucket, waited_ms, now_ms)
        if not bucket.is_fallback:
            calls = _reject_surplus(tables, customer, calls, bucket, now_ms)
        _set_waiting(table, customer, calls)


def _reject_surplus(tables, customer, calls, bucket, now_ms):
    """Reject waiting calls for which no token will come in time.

    :returns: the calls that continue to wait.
    """
    kept = []
    for call in calls:
        waited_ms = now_ms - call.waiting_since_ms
        in_time = (
            now_ms >= bucket.exhausted_until_ms
            or waited_ms < EXHAUSTED_WAIT_MAX_MS
        )
        if in_time and len(kept) < _waiting_max(bucket, now_ms):
            kept.append(call)
        else:
            _reject_exceeded(tables, call.call_id, customer, waited_ms, now_ms)
    return kept


def _expire_waiting(tables, now_ms):
    table = tables.limits
    for customer in list(table.waiting):
        kept = []
        for call in table.waiting[customer]:
            if now_ms < call.timeout_at_ms:
                kept.append(call)
                continue
            waited_ms = now_ms - call.waiting_since_ms
            _reject_unknown(tables, call.call_id, customer, waited_ms, now_ms)
        _set_waiting(table, customer, kept)


def _set_waiting(table, customer, kept):
    if kept:
        table.waiting[customer] = kept
    else:
        del table.waiting[customer]
