"""The configuration pull: which source a node asks, and when.

Load pattern: a source responds, but is itself cut off from the others, so its
state is out of date. A response therefore counts only if it makes the node's
copy current. Otherwise the node asks another source at once and leaves this
one out for a while.
"""

from fescueyard.configuration import messages
from fescueyard.configuration import replica
from fescueyard.core import dispatch
from fescueyard.core import effects
from fescueyard.core import logs
from fescueyard.routing import evacuation
from fescueyard.routing import membership

LOG = logs.ComponentLogger("node")

PULL_INTERVAL_MS = 500
PULL_JITTER_MS = 200
# Shorter, as a process without any configuration can't serve requests.
FIRST_PULL_INTERVAL_MS = 100
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
    if now_ms < pull.pull_due_ms:
        return
    if pull.open_request_id is not None:
        _record_failure(tables, "silent", now_ms)
    _send_request(tables, now_ms)


@dispatch.receive.register
def _receive_response(
    message: messages.ConfigurationResponse, tables, sender, now_ms
):
    before = tables.configuration.state.version
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
    if response is not None:
        tables.effects.append(effects.SendReply(sender.stream, response))


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
    request = replica.new_request(tables.configuration, now_ms)
    pull.open_request_id = request.request_id
    pull.open_address = address
    tables.effects.append(effects.SendMessage(address, request))


def _retry_interval_ms(tables):
    if tables.routed and not tables.configuration.state.cluster_id:
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
