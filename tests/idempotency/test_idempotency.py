"""Tests that a request with an idempotency key runs at most once.

They cover resends through other nodes, killed nodes, network partitions and
changes of replicas.
"""

import pytest

from fescueyard.configuration import models as configuration_models
from fescueyard.core import codes
from fescueyard.idempotency import assignment
from fescueyard.idempotency import models
from tests import setups

KEY = setups.KEYS["board"]
ZONES = setups.ZONES
NODES = [f"orders-{zone}-{n}" for zone in ZONES for n in range(2)]


def _fleet(seed=1, **profile):
    world = setups.start_fleet(seed, per_zone=2, controls=3, **profile)
    world.run(10_000)
    return world


def _order(world, name, number, ms=1, body=b"fleece"):
    return world.call(
        name,
        f"/orders/work?ms={ms}&body=a{number}&id={number}",
        KEY,
        "POST",
        body,
        idempotency_key=f"order-{number}",
    )


def _runs(world, number):
    return [
        run
        for run in world.runs
        if run.request.target.endswith(f"&id={number}")
    ]


def _groups(world):
    tables = next(iter(world.nodes.values())).tables
    kind = configuration_models.Kind.CLAIM_GROUP
    return tables.configuration.state.objects[kind]


def test_new_leader_counts_no_dead_node_as_usable():
    world = _fleet()
    tables = next(iter(world.cluster.tables.values()))
    lost = NODES[0]
    world.kill(lost)
    world.run(assignment.UNAVAILABLE_GRACE_MS + 6_000)
    tables.assignment = models.AssignmentTable()
    usable = assignment.usable_nodes(tables, world.cluster.now_ms)
    assert set(usable) == set(NODES) - {lost}


def test_groups_spread_over_the_zones():
    world = _fleet()
    groups = _groups(world)
    assert len(groups) == models.CLAIM_GROUP_COUNT
    for group in groups.values():
        zones = {
            world.nodes[name].tables.members.own.zone
            for name in group.replicas
        }
        assert zones == set(ZONES)


def test_resend_through_another_node_gets_the_stored_response():
    world = _fleet()
    first = _order(world, NODES[0], 1)
    world.run(200)
    resent = _order(world, NODES[3], 1)
    world.run(200)
    assert (first.code, first.response.body) == (codes.OK.number, b"a1")
    assert (resent.code, resent.response.body) == (
        codes.REPLAYED.number,
        b"a1",
    )
    assert len(_runs(world, 1)) == 1


def test_resend_during_the_first_run_is_in_progress():
    world = _fleet()
    first = _order(world, NODES[0], 1, ms=500)
    world.run(100)
    resent = _order(world, NODES[3], 1, ms=500)
    world.run(100)
    assert resent.code == codes.IN_PROGRESS.number
    assert resent.header("retry-after") is not None
    world.run(1_000)
    assert first.code == codes.OK.number
    assert len(_runs(world, 1)) == 1


def test_reused_key_with_another_body_is_rejected():
    world = _fleet()
    _order(world, NODES[0], 1)
    world.run(200)
    other = _order(world, NODES[3], 1, body=b"other")
    world.run(200)
    assert other.code == codes.IDEMPOTENCY_KEY_REUSED.number


def test_keys_are_scoped_to_the_customer():
    world = _fleet()
    _order(world, NODES[0], 1)
    other = world.call(
        NODES[1],
        "/orders/work?ms=1&id=1",
        setups.KEYS["limewash"],
        "POST",
        idempotency_key="order-1",
    )
    world.run(300)
    assert other.code == codes.OK.number


def test_resend_after_disconnect_gets_the_stored_response():
    world = _fleet()
    first = _order(world, NODES[0], 1, ms=300)
    world.run(100)
    world.cancel_call(first)
    world.run(500)
    resent = _order(world, NODES[4], 1, ms=300)
    world.run(200)
    assert resent.code == codes.REPLAYED.number
    assert len(_runs(world, 1)) == 1


def test_request_that_did_not_run_can_be_resent():
    world = _fleet()
    for name in NODES:
        world.nodes[name].backend.up = False
    first = _order(world, NODES[0], 1)
    world.run(300)
    for name in NODES:
        world.nodes[name].backend.up = True
    resent = _order(world, NODES[1], 1)
    world.run(300)
    assert first.header("fescueyard-outcome") == "not_run"
    assert resent.code == codes.OK.number


def test_killed_node_causes_no_second_run():
    world = _fleet(deadline_default_ms=1_000, retry_allowance=3)
    first = _order(world, NODES[0], 1, ms=400)
    world.run(100)
    first_node = _runs(world, 1)[0].node_name
    world.kill(NODES[0])
    for wait_ms in (1_000, 1_500, 3_000, 5_000):
        name = next(node for node in NODES if node in world.nodes)
        resent = _order(world, name, 1, ms=400)
        world.run(wait_ms)
        assert resent.code in (
            codes.IN_PROGRESS.number,
            codes.OUTCOME_UNKNOWN.number,
            codes.CLAIM_UNAVAILABLE.number,
        ), (first, first_node)
    assert len(_runs(world, 1)) == 1


def test_request_without_replica_majority_does_not_run():
    world = _fleet()
    name = NODES[0]
    for other in NODES[1:]:
        world.partitioned_pairs.add((name, other))
    call = _order(world, name, 1)
    world.run(1_500)
    assert call.code == codes.CLAIM_UNAVAILABLE.number
    assert not _runs(world, 1)


def test_claims_survive_rolling_replica_replacement():
    world = _fleet(claim_retention_ms=600_000)
    numbers = range(40)
    for number in numbers:
        _order(world, NODES[number % 6], number)
    world.run(500)
    for index, name in enumerate(NODES):
        zone = world.nodes[name].tables.members.own.zone
        world.add_node(f"spare-{index}", zone, "orders")
        world.run(3_000)
        world.kill(name)
        world.run(20_000)
    names = list(world.nodes)
    for number in numbers:
        resent = _order(world, names[number % len(names)], number)
        world.run(300)
        assert resent.code == codes.REPLAYED.number, number
        assert len(_runs(world, number)) == 1


def test_orders_run_while_a_replica_is_replaced():
    world = _fleet()
    sender = NODES[-1]
    world.add_node("spare", ZONES[0], "orders")
    world.run(3_000)
    world.kill(NODES[0])
    orders = []
    for number in range(400):
        orders.append(_order(world, sender, number))
        world.run(25)
    world.run(2_000)
    statuses = [(order.code, order.response.status) for order in orders]
    assert set(statuses) == {(codes.OK.number, 200)}


def test_loss_of_two_replicas_causes_no_second_run():
    world = _fleet()
    _order(world, NODES[0], 1)
    world.run(300)
    _, replicas = _group_with_claims(world)
    lost = replicas[:2]
    for name in lost:
        world.kill(name)
    survivor = next(name for name in NODES if name in world.nodes)
    for wait_ms in (1_000, 10_000, 30_000):
        resent = _order(world, survivor, 1)
        world.run(wait_ms)
        # The surviving replica may still replay the stored response.
        assert resent.code in (
            codes.REPLAYED.number,
            codes.CLAIM_UNAVAILABLE.number,
        )
    other = _order(world, survivor, 2)
    world.run(1_000)
    assert other.code in (codes.OK.number, codes.CLAIM_UNAVAILABLE.number)
    assert len(_runs(world, 1)) == 1


@pytest.mark.parametrize("seed", range(5))
def test_no_order_runs_twice_under_random_faults(seed):
    world = _fleet(seed, deadline_default_ms=800, retry_allowance=3)
    random = world.random
    calls = {}
    spare = 0
    for step in range(250):
        names = list(world.nodes)
        number = random.randrange(max(1, step // 3))
        name = random.choice(names)
        ms = random.choice((1, 30, 300))
        calls.setdefault(number, []).append(
            _order(world, name, number, ms=30 if number in calls else ms)
        )
        fault = random.random()
        if fault < 0.03 and len(names) > 4:
            world.kill(random.choice(names))
            spare += 1
            world.add_node(f"s{spare}", random.choice(ZONES), "orders")
        elif fault < 0.08:
            world.partitioned_pairs.add(tuple(random.sample(names, 2)))
        elif fault < 0.10:
            world.isolate_zone(random.choice(ZONES))
        elif fault < 0.18:
            world.heal()
        elif fault < 0.21:
            world.freeze(random.choice(names))
        elif fault < 0.30:
            for node in list(world.nodes.values()):
                if node.frozen:
                    world.thaw(node.name)
        world.run(random.choice((5, 50, 400)))
    world.heal()
    world.run(5_000)
    succeeded = 0
    for number, order_calls in calls.items():
        assert len(_runs(world, number)) <= 1, f"order {number} ran twice"
        for call in order_calls:
            if call.response is not None and call.response.status == 200:
                assert call.response.body == f"a{number}".encode()
                succeeded += 1
    assert succeeded > len(calls) / 2


def test_new_replica_syncs_from_all_other_replicas():
    world = _fleet()
    _order(world, NODES[0], 1)
    world.run(300)
    number, replicas = _group_with_claims(world)
    lost, with_claim, without_claim = replicas
    # As if only two of the three replicas had granted the claim.
    world.nodes[without_claim].tables.claims.groups[number].claims.clear()
    for name in NODES:
        if name not in replicas:
            world.kill(name)
    zone = world.nodes[lost].tables.members.own.zone
    world.add_node("spare", zone, "orders")
    world.run(5_000)
    world.partitioned_pairs.add(("spare", with_claim))
    world.kill(lost)
    world.run(15_000)
    assert "spare" in _groups(world)[str(number)].replicas
    resent = _order(world, "spare", 1)
    world.run(1_500)
    assert resent.code == codes.CLAIM_UNAVAILABLE.number
    assert len(_runs(world, 1)) == 1


def _group_with_claims(world):
    for name, group in _groups(world).items():
        tables = world.nodes[group.replicas[0]].tables
        if tables.claims.groups[int(name)].claims:
            return int(name), group.replicas
    raise AssertionError("no replica stores a claim")


def test_group_without_majority_resets_after_the_retention():
    world = _fleet(claim_retention_ms=1_000, deadline_max_ms=2_000)
    _order(world, NODES[0], 1)
    world.run(300)
    number, replicas = _group_with_claims(world)
    for name in replicas[:2]:
        world.kill(name)
    survivor = replicas[2]
    world.run(20_000)
    generation = _groups(world)[str(number)].generation
    world.run(60_000)
    resent = _order(world, survivor, 1)
    world.run(1_500)
    group = _groups(world)[str(number)]
    assert group.fresh_generation > generation
    # The claim has expired, so the resend runs as a new order.
    assert resent.code == codes.OK.number
