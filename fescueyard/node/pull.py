"""The configuration pull: which source a node asks, and when.

Load pattern: a source responds, but is itself cut off from the others, so its
state is out of date. A response therefore counts only if it makes the node's
copy current. Otherwise the node asks another source at once and leaves this
one out for a while.

Where bytes between zones are scarce (the setting ``link_mbps``), a node
without a configuration asks the control process of its zone, or else the
relays of its zone (:mod:`fescueyard.routing.zone_relays`); only those fetch it
from another zone.
It asks the next source only once the last one has said that it has nothing,
or has been silent for as long as a large response may take.
"""

from fescueyard.configuration import messages
from fescueyard.configuration import replica
from fescueyard.configuration import serving
from fescueyard.core import dispatch
from fescueyard.core import effects
from fescueyard.core import logs
from fescueyard.routing import evacuation
from fescueyard.routing import membership
from fescueyard.routing import models as routing_models
from fescueyard.routing import zone_relays

LOG = logs.ComponentLogger("node")

PULL_INTERVAL_MS = 500
PULL_JITTER_MS = 200
# Shorter, as a process without any configuration can't serve requests.
FIRST_PULL_INTERVAL_MS = 100
# Where bytes between zones are scarce: time for a complete configuration to
# arrive.
FIRST_RESPONSE_MS = 400
# There as well: time in which a node that starts learns the members of its
# zone.
ZONE_KNOWN_MS = 300
# Requests to the own zone before the others are asked as well.
OWN_ZONE_REQUESTS = 8
# Interval while the last response did not make the copy current, or is due.
RETRY_INTERVAL_MS = 250
# Requests at that interval; longer outages are waited out more slowly.
FAST_RETRIES = 8
# A copy of this age or younger is current. A control VM that is a follower
# confirms its state each 200 ms with a leader that does so each 100 ms.
CURRENT_AGE_MAX_MS = 600
FAILED_SOURCE_PAUSE_MS = 3_000
# Of the requests since the copy was current, every third goes to a node: one
# in another zone may reach control VMs that this node doesn't.
PEER_PULL_INTERVAL_REQUESTS = 3


def tick(tables, now_ms):
    """Send the next request when it is due.

    :param tables: the node's tables.
    :param now_ms: the present time.
    """
    pull = tables.pull
    if now_ms < pull.pull_due_ms or _waits_for_zone(tables, now_ms):
        return
    if pull.open_request_id is not None:
        _record_failure(tables, "silent", now_ms)
    _send_request(tables, now_ms)


@dispatch.receive.register
def _receive_response(
    message: messages.ConfigurationResponse, tables, sender, now_ms
):
    before = tables.configuration.state.version
    if serving.is_empty(message):
        _record_empty(tables, message, now_ms)
        return
    message = serving.unpack(message)
    if not replica.install(tables.configuration, message):
        LOG.info(
            "configuration_refused",
            version=message.version,
            known=before,
            source=sender.peer_id,
        )
        return
    if message.version != before:
        LOG.info(
            "configuration_installed",
            version=message.version,
            before=before,
            objects=len(message.objects),
            whole=message.complete,
            source=sender.peer_id,
            source_age_ms=round(message.age_ms),
        )
        evacuation.configuration_installed(tables)
    pull = tables.pull
    if replica.age_ms(tables.configuration, now_ms) <= CURRENT_AGE_MAX_MS:
        _record_success(tables, now_ms)
    elif message.request_id == pull.open_request_id:
        _record_failure(tables, "out_of_date", now_ms)
        if pull.failures == 1:
            _send_request(tables, now_ms)


@dispatch.receive.register
def _receive_request(
    message: messages.ConfigurationRequest, tables, sender, now_ms
):
    table = tables.configuration
    response = replica.respond(
        table.state,
        message,
        replica.age_ms(table, now_ms),
        table.control_addresses,
    )
    response = serving.compact(
        tables.traffic.large_responses,
        response,
        message,
        sender,
        zone_relays.in_own_zone(tables.members, sender.peer_id),
        now_ms,
    )
    if response is not None:
        tables.effects.append(effects.SendReply(sender.stream, response))


def _waits_for_zone(tables, now_ms):
    """Return whether a node that starts may not know its zone yet.

    Until it knows the others of its zone, it may take itself for a relay.
    """
    members = tables.members
    if not members.saves_cross_zone or members.started_at_ms is None:
        return False
    for node_id in zone_relays.relays_of(members, members.own.zone):
        if members.rows[node_id].role == routing_models.CONTROL_ROLE:
            return False
    return now_ms - members.started_at_ms < ZONE_KNOWN_MS


def _record_success(tables, now_ms):
    pull = tables.pull
    if pull.failures:
        LOG.info(
            "configuration_current",
            version=tables.configuration.state.version,
            age_ms=replica.rounded_age_ms(tables.configuration, now_ms),
            requests=pull.failures + 1,
        )
    pull.open_request_id = None
    pull.failures = 0
    pull.pull_due_ms = pull.regular_due_ms


def _record_empty(tables, message, now_ms):
    """Ask again soon: the source of the open request has nothing yet."""
    pull = tables.pull
    if message.request_id != pull.open_request_id:
        return
    if tables.configuration.state.cluster_id:
        _record_failure(tables, "empty", now_ms)
        if pull.failures == 1:
            _send_request(tables, now_ms)
        return
    pull.open_request_id = None
    pull.failures += 1
    pull.pull_due_ms = now_ms + FIRST_PULL_INTERVAL_MS


def _record_failure(tables, reason, now_ms):
    """Leave out the source of the open request for a while."""
    pull = tables.pull
    LOG.info(
        "configuration_source_failed",
        source=pull.open_address,
        reason=reason,
        version=tables.configuration.state.version,
        age_ms=replica.rounded_age_ms(tables.configuration, now_ms),
        failures=pull.failures + 1,
    )
    pull.paused_until_ms[pull.open_address] = now_ms + FAILED_SOURCE_PAUSE_MS
    pull.open_request_id = None
    pull.failures += 1


def _send_request(tables, now_ms):
    pull = tables.pull
    jitter_ms = PULL_JITTER_MS * tables.random.random()
    pull.regular_due_ms = now_ms + PULL_INTERVAL_MS + jitter_ms
    pull.pull_due_ms = min(
        pull.regular_due_ms, now_ms + _retry_interval_ms(tables)
    )
    address = _choose_source(tables, now_ms)
    if address is None:
        return
    request = replica.new_request(
        tables.configuration, now_ms, tables.members.saves_cross_zone
    )
    pull.open_request_id = request.request_id
    pull.open_address = address
    tables.effects.append(effects.SendMessage(address, request))


def _retry_interval_ms(tables):
    if not tables.configuration.state.cluster_id:
        if tables.members.saves_cross_zone:
            return FIRST_RESPONSE_MS
        if tables.routed:
            return FIRST_PULL_INTERVAL_MS
    if tables.pull.failures < FAST_RETRIES:
        return RETRY_INTERVAL_MS
    return PULL_INTERVAL_MS + PULL_JITTER_MS


def _choose_source(tables, now_ms):
    """Choose the source of the next request.

    Control VMs come first, that of the node's own zone before the others.
    Sources that failed a short time ago are left out while there are others.
    """
    pull = tables.pull
    for address in list(pull.paused_until_ms):
        if now_ms >= pull.paused_until_ms[address]:
            del pull.paused_until_ms[address]
    address = _choose_in_zone(tables)
    if address is not None:
        return address
    round_number = pull.failures % PEER_PULL_INTERVAL_REQUESTS
    if round_number == PEER_PULL_INTERVAL_REQUESTS - 1:
        address = _choose_peer(tables)
        if address is not None:
            return address
    addresses = tables.control_addresses()
    usable = [
        address for address in addresses if address not in pull.paused_until_ms
    ]
    if not usable:
        return tables.random.choice(addresses) if addresses else None
    return _nearest_address(tables, usable)


def _choose_in_zone(tables):
    """Choose the source in the own zone of a node without a configuration.

    :returns: ``host:port``, or None when others are to be asked.
    """
    pull = tables.pull
    members = tables.members
    if not members.saves_cross_zone or tables.configuration.state.cluster_id:
        return None
    if pull.failures >= OWN_ZONE_REQUESTS:
        return None
    relays = zone_relays.relays_of(members, members.own.zone)
    usable = [
        members.rows[node_id]
        for node_id in relays
        if members.rows[node_id].address not in pull.paused_until_ms
    ]
    for member in usable:
        if member.role == routing_models.CONTROL_ROLE:
            return member.address
    if members.own.node_id in relays or not usable:
        return None
    return tables.random.choice(usable).address


def _choose_peer(tables):
    """Choose a node, in another zone if there is one, or return None."""
    members = tables.members
    usable = [
        members.rows[node_id]
        for node_id in membership.alive_nodes(members)
        if members.rows[node_id].address not in tables.pull.paused_until_ms
    ]
    others = [member for member in usable if member.zone != members.own.zone]
    if not usable:
        return None
    return tables.random.choice(others or usable).address


def _nearest_address(tables, addresses):
    members = tables.members
    for address in addresses:
        member = members.rows.get(members.by_address.get(address))
        if member is not None and member.zone == members.own.zone:
            return address
    # The node id spreads the nodes evenly over the control VMs.
    index = sum(members.own.node_id.encode()) % len(addresses)
    return addresses[index]
