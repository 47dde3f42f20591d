"""Load balancing: choose the backend server for an attempt.

Of two candidates drawn at random the less loaded one is chosen (power of two
choices). Load is the value reported with the candidate's last response,
decayed by its age, or the number of this node's outstanding attempts if that
is larger. A server that is slower or fails more than others of its service, or
has no free slot, counts as more loaded (:mod:`fescueyard.routing.outliers`).
The node's own zone is preferred unless its load per slot is higher by more
than :data:`CROSS_ZONE_PENALTY`. Where bytes between zones are expensive,
:mod:`fescueyard.routing.zone_preference` decides instead.
"""

from fescueyard.core import effects
from fescueyard.routing import evacuation
from fescueyard.routing import models
from fescueyard.routing import outliers
from fescueyard.routing import zone_health
from fescueyard.routing import zone_preference

LOAD_HALF_LIFE_MS = 200
# Half-life of the weight of a backend server's last reported load; the rest of
# the weight is that of the service's average utilization.
UTILIZATION_HALF_LIFE_MS = 500
UTILIZATION_EWMA_WEIGHT = 0.1
CROSS_ZONE_PENALTY = 0.25
FAILURES_BEFORE_EJECTION = 5
EJECTION_BASE_MS = 1_000
EJECTION_MAX_MS = 30_000
REFUSING_MS = 2_000
LIMITED_MAX_MS = 1_000
UNREACHABLE_MS = 10_000
REDIAL_INTERVAL_MS = 500
EJECTED_SHARE_MAX = 0.34
# Share of its slots that counts while a backend server reports that it is
# cold.
COLD_CAPACITY_SHARE = 0.5
SLOW_START_SHARE_MIN = 0.1
# Slots to count on before a paced server has reported its limit. Its node
# paces it while it starts or recovers; see :mod:`fescueyard.admission.pace`.
PACED_SLOTS_MIN = 2
# The longer there is no report, the more slots count, up to this share of all
# after this time: a server with a low limit is not chosen, and only its
# responses can say that the limit has grown.
PACED_UNREPORTED_SHARE_MAX = 0.5
PACED_UNREPORTED_MS = 2_000


def choose(tables, service, tried_node_ids, slow_start_ms, now_ms):
    """Choose a backend server.

    :param tables: the node's tables.
    :param service: name of the service.
    :param tried_node_ids: ids of nodes that this call was sent to before.
    :param slow_start_ms: time in ms after which a new backend server counts
        with its full capacity; None where its node paces it.
    :param now_ms: the present time.
    :returns: its :class:`~fescueyard.routing.messages.Member`, or None.
    """
    table = tables.members
    usable = candidates(tables, service, tried_node_ids, now_ms)
    if not usable:
        return None
    own_zone = []
    other_zones = []
    for member in usable:
        if member.zone == table.own.zone:
            own_zone.append(member)
        else:
            other_zones.append(member)

    def score(member):
        return load_score(tables, member, slow_start_ms, now_ms)

    near = _better_of_two(tables, own_zone, score)
    far = _better_of_two(tables, other_zones, score)
    if near is None or far is None:
        return near or far
    if table.saves_cross_zone:
        return zone_preference.choose(near, far, score(near), score(far))
    if score(far) + CROSS_ZONE_PENALTY < score(near):
        return far
    return near


def attempt_started(tables, node_id, now_ms):
    """Count an attempt as outstanding.

    :param tables: the node's tables.
    :param node_id: the chosen node.
    :param now_ms: the present time.
    """
    targets = tables.members.targets
    if node_id not in targets:
        targets[node_id] = models.TargetState(now_ms)
    targets[node_id].outstanding += 1


def attempt_ended(tables, node_id, failed, now_ms):
    """Count a completed attempt; eject a target that keeps failing.

    :param tables: the node's tables.
    :param node_id: the chosen node.
    :param failed: whether the node or its backend server failed.
    :param now_ms: the present time.
    """
    target = tables.members.targets.get(node_id)
    if target is None:
        return
    target.outstanding = max(0, target.outstanding - 1)
    if not failed:
        target.failures = 0
        target.ejections = 0
        return
    target.failures += 1
    if target.failures >= FAILURES_BEFORE_EJECTION:
        target.failures = 0
        ejection_ms = EJECTION_BASE_MS * 2**target.ejections
        target.ejected_until_ms = now_ms + min(ejection_ms, EJECTION_MAX_MS)
        target.ejections = min(target.ejections + 1, 16)


def mark_refusing(tables, node_id, now_ms):
    """Skip a node for :data:`REFUSING_MS`; its server accepts no requests.

    Gossip reports the same a little later.

    :param tables: the node's tables.
    :param node_id: the node.
    :param now_ms: the present time.
    """
    target = tables.members.targets.get(node_id)
    if target is not None:
        target.refusing_until_ms = now_ms + REFUSING_MS


def mark_limited(tables, node_id, wait_ms, now_ms):
    """Prefer other nodes while the limit of a backend server is used up.

    :param tables: the node's tables.
    :param node_id: the node.
    :param wait_ms: how long its queue is expected to last, in ms.
    :param now_ms: the present time.
    """
    target = tables.members.targets.get(node_id)
    if target is not None:
        target.limited_until_ms = now_ms + min(wait_ms, LIMITED_MAX_MS)


def is_limited(tables, node_id, now_ms):
    """Return whether the limit of a backend server is used up.

    :param tables: the node's tables.
    :param node_id: its node.
    :param now_ms: the present time.
    :returns: bool.
    """
    target = tables.members.targets.get(node_id)
    return target is not None and now_ms < target.limited_until_ms


def record_notice(tables, member_address, notice, from_server):
    """Record what a backend server said of itself.

    :param tables: the node's tables.
    :param member_address: ``host:port`` of its node.
    :param notice: :class:`~fescueyard.core.notices.ServerNotice`; None when
        its node knows of nothing.
    :param from_server: whether it came with a response of the server. Only
        that can end an earlier notice: a node that was restarted knows none.
    """
    if notice is not None:
        tables.members.notices[member_address] = notice
    elif from_server:
        tables.members.notices.pop(member_address, None)


def mark_unreachable(tables, node_id, now_ms):
    """Skip a node whose stream broke or could not be opened.

    :param tables: the node's tables.
    :param node_id: the node.
    :param now_ms: the present time.
    """
    target = tables.members.targets.get(node_id)
    if target is not None:
        target.unreachable_until_ms = now_ms + UNREACHABLE_MS
        target.redial_due_ms = now_ms + REDIAL_INTERVAL_MS
        tables.members.unreachable[node_id] = None


def mark_reachable(tables, node_id):
    """Record that a stream to a node is open.

    :param tables: the node's tables.
    :param node_id: the node.
    """
    target = tables.members.targets.get(node_id)
    if target is not None:
        target.unreachable_until_ms = float("-inf")


def tick(tables, now_ms):
    """Dial unreachable nodes periodically, without risking a request.

    :param tables: the node's tables.
    :param now_ms: the present time.
    """
    table = tables.members
    for node_id in list(table.unreachable):
        target = table.targets.get(node_id)
        if target is None or target.unreachable_until_ms <= now_ms:
            del table.unreachable[node_id]
        elif now_ms >= target.redial_due_ms:
            target.redial_due_ms = now_ms + REDIAL_INTERVAL_MS
            member = table.rows.get(node_id)
            if member is not None:
                tables.effects.append(effects.Dial(member.address))


def has_untried_backend(tables, service, tried_node_ids, now_ms):
    """Return whether a usable backend server has not received the request.

    :param tables: the node's tables.
    :param service: name of the service.
    :param tried_node_ids: ids of nodes that the request was sent to.
    :param now_ms: the present time.
    :returns: bool.
    """
    return any(
        node_id not in tried_node_ids
        for node_id in _usable_nodes(tables, service, now_ms)
    )


def record_load(tables, node_id, load, limit, now_ms):
    """Record the load and the concurrency limit reported with a response.

    :param tables: the node's tables.
    :param node_id: the responding node.
    :param load: requests queued and running there.
    :param limit: its concurrency limit.
    :param now_ms: the present time.
    """
    target = tables.members.targets.get(node_id)
    member = tables.members.rows.get(node_id)
    if member is not None and limit:
        utilization = tables.members.utilization_by_service
        average = utilization.get(member.service, load / limit)
        utilization[member.service] = average + UTILIZATION_EWMA_WEIGHT * (
            load / limit - average
        )
    if target is not None:
        target.reported_load = load
        target.limit = limit
        target.reported_at_ms = now_ms


def candidates(tables, service, tried_node_ids, now_ms):
    """List the backend servers that an attempt may be sent to.

    :param tables: the node's tables.
    :param service: name of the service.
    :param tried_node_ids: ids of nodes that this call was sent to before.
    :param now_ms: the present time.
    :returns: list of :class:`~fescueyard.routing.messages.Member`.
    """
    table = tables.members
    node_ids = _usable_nodes(tables, service, now_ms)
    untried = [
        node_id for node_id in node_ids if node_id not in tried_node_ids
    ]
    # When every candidate was tried, retrying one of them beats failing.
    usable = untried or node_ids
    usable = _without_limited(tables, usable, now_ms)
    healthy = []
    for node_id in usable:
        target = table.targets.get(node_id)
        if target is None or target.ejected_until_ms <= now_ms:
            healthy.append(node_id)
    ejected_count = len(usable) - len(healthy)
    if ejected_count > EJECTED_SHARE_MAX * len(usable):
        healthy = usable
    return [table.rows[node_id] for node_id in healthy]


def _usable_nodes(tables, service, now_ms):
    """List the nodes whose backend servers may get a request."""
    table = tables.members
    excluded_by_zone = {}
    usable = []
    for node_id in table.by_service.get(service, ()):
        zone = table.rows[node_id].zone
        if zone not in excluded_by_zone:
            excluded_by_zone[zone] = _is_excluded(tables, zone, now_ms)
        if not excluded_by_zone[zone] and _is_usable(table, node_id, now_ms):
            usable.append(node_id)
    return usable


def _is_excluded(tables, zone, now_ms):
    return zone_health.is_silent(tables, zone) or evacuation.excludes(
        tables, zone, now_ms
    )


def exclusion_reason(tables, member, now_ms):
    """Return why a backend server is not a candidate.

    :param tables: the node's tables.
    :param member: the :class:`~fescueyard.routing.messages.Member` of its
        node, which is not among :func:`candidates`.
    :param now_ms: the present time.
    :returns: a word, such as ``unreachable``.
    """
    table = tables.members
    if member.node_id not in table.by_service.get(member.service, ()):
        return "leaving" if member.status == models.ALIVE else member.status
    if zone_health.is_silent(tables, member.zone):
        return "zone_silent"
    if evacuation.excludes(tables, member.zone, now_ms):
        return "zone_evacuated"
    target = table.targets[member.node_id]
    if now_ms < target.refusing_until_ms:
        return "refusing"
    if now_ms < target.unreachable_until_ms:
        return "unreachable"
    if is_limited(tables, member.node_id, now_ms):
        return "limited"
    return "ejected"


def load_score(tables, member, slow_start_ms, now_ms):
    """Return the load per slot by which candidates are compared.

    :param tables: the node's tables.
    :param member: :class:`~fescueyard.routing.messages.Member` of the
        backend server's node.
    :param slow_start_ms: see :func:`choose`.
    :param now_ms: the present time.
    :returns: a number; the lowest is the best.
    """
    table = tables.members
    target = table.targets.get(member.node_id)
    if target is None:
        return 0.0
    load = max(
        _estimated_load(table, member, target, now_ms), target.outstanding
    )
    if slow_start_ms is None:
        capacity = _paced_capacity(member, target, now_ms)
    else:
        capacity = max(1, target.limit or member.slots)
        capacity *= _slow_start_share(target, slow_start_ms, now_ms)
    return outliers.weigh(table, target, (load + 1) / capacity, now_ms)


def _without_limited(tables, node_ids, now_ms):
    """Leave out nodes whose limit is used up, unless none would be left."""
    others = [
        node_id
        for node_id in node_ids
        if not is_limited(tables, node_id, now_ms)
    ]
    return others or node_ids


def _is_usable(table, node_id, now_ms):
    target = table.targets.get(node_id)
    if target is None:
        return True
    return (
        target.refusing_until_ms <= now_ms
        and target.unreachable_until_ms <= now_ms
    )


def _better_of_two(tables, members, score):
    if len(members) <= 1:
        return members[0] if members else None
    first, second = tables.random.sample(members, 2)
    return second if score(second) < score(first) else first


def _paced_capacity(member, target, now_ms):
    """Return the slots to count on at a server that its node paces.

    A limit that was reported before the server started, or while it was cold,
    says nothing about the present.
    """
    warm_since_ms = target.accepting_since_ms
    if target.cold_until_ms is not None:
        if now_ms < target.cold_until_ms:
            return 1
        warm_since_ms = max(warm_since_ms, target.cold_until_ms)
    limit = min(PACED_SLOTS_MIN, member.slots)
    unreported_since_ms = warm_since_ms
    if target.limit and target.reported_at_ms >= warm_since_ms:
        limit = target.limit
        unreported_since_ms = target.reported_at_ms
    unreported_ms = now_ms - unreported_since_ms
    share = min(1.0, unreported_ms / PACED_UNREPORTED_MS)
    share *= PACED_UNREPORTED_SHARE_MAX
    return max(limit, share * member.slots)


def _slow_start_share(target, slow_start_ms, now_ms):
    """Return the share of the slots to count on during a slow start.

    A node may restart next to a backend server that is still warm, so what
    that server reports takes precedence over the time since it was first seen.
    """
    if target.cold_until_ms is not None:
        return COLD_CAPACITY_SHARE if now_ms < target.cold_until_ms else 1.0
    accepting_for_ms = now_ms - target.accepting_since_ms
    if accepting_for_ms >= slow_start_ms:
        return 1.0
    return max(SLOW_START_SHARE_MIN, accepting_for_ms / slow_start_ms)


def _estimated_load(table, member, target, now_ms):
    """Decay the last reported load towards the service's average or zero."""
    age_ms = now_ms - target.reported_at_ms
    if not table.decays_to_average:
        return target.reported_load * 0.5 ** (age_ms / LOAD_HALF_LIFE_MS)
    capacity = max(1, target.limit or member.slots)
    average_load = (
        table.utilization_by_service.get(member.service, 0.0) * capacity
    )
    weight = 0.5 ** (age_ms / UTILIZATION_HALF_LIFE_MS)
    return average_load + weight * (target.reported_load - average_load)
