"""Rate limits while nodes can't reach the fleet grantor."""

import dataclasses

import pytest

from fescueyard.core import dispatch
from fescueyard.core import effects
from fescueyard.limits import fallback
from fescueyard.limits import fallback_leases
from fescueyard.limits import grantors
from fescueyard.limits import messages
from fescueyard.limits import models
from fescueyard.routing import messages as routing_messages
from fescueyard.routing import models as routing_models
from tests.limits import faults
from tests import setups

KEY = setups.KEYS["board"]
RATE_PER_S = 60.0
BURST = 60
# Users accept this excess over rate and burst in any five seconds: a share and
# a number of runs.
WINDOW_S = 5
OVERSHOOT = 0.1
SLACK = 20


def _runs_max():
    return (RATE_PER_S * WINDOW_S + BURST) * (1 + OVERSHOOT) + SLACK


def _schedule_calls(world, seconds, calls_per_s):
    """Schedule calls to all nodes in turn."""
    names = sorted(world.nodes)
    calls = []
    for number in range(int(seconds * calls_per_s)):
        world.call_later(
            number * 1000 / calls_per_s,
            lambda number=number: calls.append(
                world.call(
                    names[number % len(names)],
                    f"/a/x?id={number}",
                    KEY,
                    host="fleet.example",
                )
            ),
        )
    return calls


def _max_in_window(world):
    times_ms = sorted(run.received_at_ms for run in world.runs)
    run_count_max = 0
    start = 0
    for end, at_ms in enumerate(times_ms):
        while at_ms - times_ms[start] > WINDOW_S * 1000:
            start += 1
        run_count_max = max(run_count_max, end - start + 1)
    return run_count_max


def _world(seed, share):
    return setups.start_routed_fleet(
        seed,
        routes=[("a", {})],
        rate_per_s=RATE_PER_S,
        burst=BURST,
        key_staleness_max_ms=60_000,
        cut_off_rate_share=share,
    )


def _large_world(seed):
    return setups.start_routed_fleet(
        seed,
        routes=[("a", {})],
        rate_per_s=RATE_PER_S,
        burst=BURST,
        per_zone=3,
        controls=3,
        key_staleness_max_ms=60_000,
        cut_off_rate_share=1.0,
    )


@pytest.mark.parametrize("seed", range(4))
def test_cut_zone_continues_within_the_bound(seed):
    world = _world(seed, 1.0)
    _schedule_calls(world, 14, 5 * RATE_PER_S)
    world.run(4_000)
    world.isolate_zone("zone-b")
    world.run(5_500)
    cut_from_ms = world.now_ms - 4_000
    served = [
        run
        for run in world.runs
        if run.node_name == "orders-zone-b"
        and run.received_at_ms > cut_from_ms
    ]
    world.heal()
    world.run(5_000)
    assert len(served) > 0.5 * RATE_PER_S / 3 * 4
    assert _max_in_window(world) <= _runs_max()


def test_customer_within_its_rate_is_served_in_a_cut_off_zone():
    world = _world(1, 1.0)
    world.run(1_000)
    world.isolate_zone("zone-b")
    calls = _schedule_calls(world, 8, 0.5 * RATE_PER_S)
    world.run(9_000)
    later_calls = [
        call for call in calls if call.started_at_ms > calls[0].started_at_ms
    ]
    # Calls of the first seconds may fail until streams to the zone are closed.
    cut_off_calls = [
        call
        for call in later_calls
        if call.node_name == "orders-zone-b"
        and call.started_at_ms > calls[0].started_at_ms + 3_000
    ]
    served = sum(call.response.status == 200 for call in cut_off_calls)
    assert served >= 0.95 * len(cut_off_calls)


def test_without_a_fallback_share_a_cut_zone_refuses():
    world = _world(1, 0.0)
    world.isolate_zone("zone-b")
    world.run(5_000)
    call = world.call("orders-zone-b", "/a/x", KEY, host="fleet.example")
    world.run(2_500)
    assert call.response.status == 503


@pytest.mark.parametrize("seed", range(3))
def test_zones_cut_off_from_the_fleet_grantor_add_nothing_to_a_rate(seed):
    world = _large_world(seed)
    for zone in ("zone-b", "zone-c"):
        tables = world.nodes[f"orders-{zone}"].tables
        grantor = grantors.grantor_of(tables, "board", world.now_ms)
        faults.cut_from_control(world, grantor)
    world.run(1_200)
    _schedule_calls(world, 7, 5 * RATE_PER_S)
    world.run(8_000)
    assert _max_in_window(world) <= _runs_max()


@pytest.mark.parametrize("seed", range(6))
def test_fallback_and_grants_never_exceed_rate_and_burst(meter, seed):
    world = _large_world(seed)
    meter.start(world)
    injections = [
        faults.kill_and_replace,
        faults.cut_zone,
        faults.cut_pair,
        faults.cut_from_control,
        faults.cut_from_control,
        faults.freeze_node,
        faults.crash_leader,
        faults.freeze_leader,
        faults.clear_faults,
        faults.clear_faults,
        faults.clear_faults,
    ]

    def inject_fault():
        world.random.choice(injections)(world)
        world.call_later(
            world.random.choice([400, 1_200, 2_500]), inject_fault
        )

    world.call_later(100, inject_fault)
    end_ms = world.now_ms + 15_000
    while world.now_ms < end_ms:
        world.run(world.random.expovariate(4 * RATE_PER_S / 1000))
        name = world.random.choice(list(world.nodes))
        world.call(name, "/a/x", KEY, host="fleet.example")
    world.run(500)
    assert meter.highest_excess(RATE_PER_S, BURST) <= 0.0
    assert len(meter.spent_at_ms) > RATE_PER_S


def _lease_share(table, holder_id, request_id, acknowledged_id, share, now_ms):
    request = messages.TokenRequest(
        request_id,
        holder_id,
        True,
        [],
        zone=holder_id,
        acknowledged_id=acknowledged_id,
        fallback_shares=[messages.FallbackShare(0, share)],
    )
    assert not fallback_leases.is_superseded(table, request)
    fallback_leases.record_request(table, request, now_ms)
    (leased,) = fallback_leases.lease_shares(table, request, 1.0, {}, now_ms)
    return leased.share


def _reserved_ms(table, since_ms, now_ms):
    silent = fallback_leases.silent_holders(table, now_ms)
    return fallback_leases.reserved_ms(table, silent, {}, 0, since_ms, now_ms)


def test_share_is_reserved_before_its_holder_may_use_it():
    table = models.GrantorTable()
    assert _lease_share(table, "z1", 1, 0, 0.0, 0.0) == 1.0
    # The second response is lost: only the first is known to have arrived.
    _lease_share(table, "z1", 2, 1, 1.0, 200.0)
    begins_ms = 0.0 + fallback_leases.RESERVE_AFTER_MS
    assert _reserved_ms(table, 0.0, begins_ms) == 0.0
    assert _reserved_ms(table, 0.0, begins_ms + 300) == 300.0
    assert fallback_leases.RESERVE_AFTER_MS < 0.96 * fallback.FALLBACK_AFTER_MS
    assert fallback_leases.LEASE_MS > 1.04 * fallback.LEASE_MS


def test_share_goes_to_another_only_after_its_holder_returned_it():
    table = models.GrantorTable()
    assert _lease_share(table, "z1", 1, 0, 0.0, 0.0) == 1.0
    assert _lease_share(table, "z2", 1, 0, 0.0, 10.0) == 0.0
    # The first share shrinks; until z1 confirms that, it may use all of it.
    assert _lease_share(table, "z1", 2, 1, 1.0, 100.0) == 0.5
    assert _lease_share(table, "z2", 2, 1, 0.0, 110.0) == 0.0
    assert _lease_share(table, "z1", 3, 2, 0.5, 200.0) == 0.5
    assert _lease_share(table, "z2", 3, 2, 0.0, 210.0) == 0.5


def test_new_leader_reserves_shares_leased_by_its_predecessor():
    table = models.GrantorTable(leader_since_ms=1_000.0)
    assert _lease_share(table, "z1", 7, 6, 0.4, 1_100.0) == 1.0
    assert _reserved_ms(table, 1_000.0, 1_100.0) == pytest.approx(100.0)
    assert table.holders["z1"].shares[0] == 1.0


def _member(node_id):
    return routing_messages.Member(
        node_id,
        incarnation=0,
        status=routing_models.ALIVE,
        role=routing_models.NODE_ROLE,
        zone="zone-a",
        region="region",
        address=f"{node_id}:1",
        service="",
        slots=0,
        accepting=False,
        leaving=False,
    )


def test_only_a_departed_process_loses_its_share():
    table = models.GrantorTable()
    _lease_share(table, "z1", 1, 0, 0.0, 0.0)
    member = _member("z1")
    members = routing_models.new_table(_member("m0"), [])
    members.rows["z1"] = dataclasses.replace(
        member, status=routing_models.DEAD
    )
    assert fallback_leases.expired_holders(table, members, 2_000.0) == []
    members.by_address["z1:1"] = "z1-started-again"
    assert fallback_leases.expired_holders(table, members, 2_000.0) == ["z1"]
    del members.by_address["z1:1"]
    members.rows["z1"] = dataclasses.replace(
        member, status=routing_models.LEFT
    )
    assert fallback_leases.expired_holders(table, members, 2_000.0) == ["z1"]


def test_unreported_zone_counts_as_cut_off_for_a_new_leader():
    world = _large_world(0)
    leader = world.cluster.tables[world.cluster.leader()]
    now_ms = world.now_ms
    table = models.GrantorTable(leader_since_ms=now_ms)
    for zone in ("zone-a", "zone-b"):
        request = messages.TokenRequest(
            1, zone, True, [], zone, 0, [messages.FallbackShare(0, 0.0)]
        )
        fallback_leases.record_request(table, request, now_ms)
    unreported = fallback_leases.unreported_shares(
        table, leader.members, 1.0, now_ms
    )
    assert unreported[0] == pytest.approx(1 / 3)
    assert unreported[1] == 1.0
    later_ms = now_ms + fallback_leases.LEASE_MS
    assert not fallback_leases.unreported_shares(
        table, leader.members, 1.0, later_ms
    )


def test_new_leader_without_members_reserves_for_the_zones_of_the_settings():
    """Guards against a rate granted twice.

    All control processes were restarted while a zone was cut off. The new
    leader knew no member there, and granted the share that the zone used.
    """
    leader = _large_world(0).cluster
    members = leader.tables[leader.leader()].members
    members.rows.clear()
    members.version += 1
    zones = ["zone-a", "zone-b", "zone-c"]
    table = models.GrantorTable(configured_zones=zones)
    for zone in zones[:2]:
        request = messages.TokenRequest(
            1, zone, True, [], zone, 0, [messages.FallbackShare(0, 0.0)]
        )
        fallback_leases.record_request(table, request, 0.0)
    unreported = fallback_leases.unreported_shares(table, members, 1.0, 0.0)
    assert unreported[0] == pytest.approx(1 / 3)


@pytest.mark.parametrize("share", [0.0, 1.0])
def test_idle_grantor_is_not_taken_for_a_cut_off_one(share):
    world = _world(0, share)
    tables = world.nodes["orders-zone-a"].tables
    tables.limits.fallback_lease = models.FallbackLease()
    request = messages.TokenRequest(
        1, "other", False, [messages.TokenDemand("board", 0, 0, 1, 0)]
    )
    tables.effects.clear()
    dispatch.receive(
        request, tables, dispatch.Sender("other", "stream"), world.now_ms
    )
    responses = [
        effect.message
        for effect in tables.effects
        if isinstance(effect, effects.SendReply)
    ]
    assert [response.is_fallback for response in responses] == [False]
