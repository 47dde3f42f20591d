"""Token requests of a node to the grantors of its customers."""

import pytest

from fescueyard.core import codes
from fescueyard.limits import grantors
from fescueyard.limits import models
from fescueyard.limits import token_requests
from fescueyard.node import systems as node_systems
from tests import setups


KEY = setups.KEYS["board"]
ZONE_A = ("orders-zone-a", "papers-zone-a", "stock-zone-a")
NOTICE_MS = 2_600


def _customers_of_two_grantors(tables, now_ms):
    """Return two customers with different grantors, neither this node."""
    by_grantor = {}
    for number in range(100):
        name = f"customer-{number}"
        grantor_id = grantors.grantor_of(tables, name, now_ms)
        if grantor_id != tables.members.own.node_id:
            by_grantor.setdefault(grantor_id, name)
    return list(by_grantor.values())[:2]


def test_idle_buckets_of_several_grantors_are_dropped_together():
    world = setups.start_routed_fleet(services=("orders", "stock", "papers"))
    tables = world.nodes["orders-zone-a"].tables
    names = _customers_of_two_grantors(tables, world.now_ms)
    assert len(names) == 2
    world.run(20_000)
    for name in names:
        tables.limits.node_buckets[name] = models.LocalBucket()
    token_requests.send_due_requests(tables, world.now_ms)
    assert not set(names) & set(tables.limits.node_buckets)


def _call_while_stopping(world, stopping, callers):
    """Stop a node with notice while callers of some nodes continue.

    :returns: result codes of the calls that no backend server responded to.
    """
    node = world.nodes[stopping]
    node.tables.leave_notice_ms = NOTICE_MS
    calls = []
    for number in range(300):
        if number == 50:
            node_systems.drain(node.tables, world.now_ms)
            world._settle(node)
        name = callers[number % len(callers)]
        calls.append(
            world.call(name, f"/a/{number}", KEY, host="fleet.example")
        )
        world.run(10)
    world.run(1_000)
    return [call.code for call in calls if call.response.status != 200]


@pytest.mark.parametrize("stopping", ZONE_A)
def test_planned_stop_of_a_grantor_refuses_nobody_within_the_rate(stopping):
    world = setups.start_routed_fleet(
        services=("orders", "stock", "papers"),
        routes=[("a", {})],
        rate_per_s=200.0,
    )
    others = [name for name in ZONE_A if name != stopping]
    assert _call_while_stopping(world, stopping, others) == []


def test_stop_with_notice_returns_the_tokens_that_are_left():
    world = setups.start_routed_fleet(
        services=("orders", "stock", "papers"),
        routes=[("a", {})],
        rate_per_s=200.0,
    )
    node = world.nodes[ZONE_A[0]]
    node.tables.leave_notice_ms = NOTICE_MS
    node_systems.drain(node.tables, world.now_ms)
    world.run(NOTICE_MS - 50)
    for number in range(4):
        world.call(ZONE_A[0], f"/a/{number}", KEY, host="fleet.example")
        world.run(15)
    tables = node.tables
    buckets = tables.limits.node_buckets | tables.limits.zone_buckets
    for bucket in buckets.values():
        bucket.tokens += 5
        bucket.expires_at_ms = world.now_ms + 2_000
    node_systems.announce_leave(tables, world.now_ms)
    assert buckets
    assert not any(bucket.tokens for bucket in buckets.values())


def test_callers_of_a_stopping_node_are_served_within_the_notice():
    world = setups.start_routed_fleet(routes=[("a", {})], rate_per_s=200.0)
    refused = _call_while_stopping(world, ZONE_A[0], ZONE_A[:1])
    assert set(refused) <= {codes.LEAVING.number}
    assert not refused


def test_followers_that_respond_do_not_hide_a_silent_fleet_grantor():
    """Guards against a link that never fails as other members respond."""
    world = setups.start_routed_fleet(services=("orders",))
    node = world.nodes["orders-zone-a"]
    node.tables.configuration.control_addresses = ["one:1", "two:1", "three:1"]
    link = models.GrantorLink()
    now_ms = world.now_ms
    for is_refusal in (True, False, True):
        link.sent_at_ms = now_ms
        now_ms += token_requests.REQUEST_TIMEOUT_MS
        if is_refusal:
            record = token_requests.record_refusal
        else:
            record = token_requests.record_failure
        record(node.tables, models.FLEET_LINK, link, now_ms)
    assert link.failed_until_ms > now_ms
