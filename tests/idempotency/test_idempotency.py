"""At most once: resends through other nodes, kills, cuts, new replicas."""

import pytest

from fescueyard.configuration import models as configuration_models
from fescueyard.core import codes
from fescueyard.idempotency import models
from tests import setups

KEY = setups.KEYS["board"]
ZONES = setups.ZONES
NODES = [f"orders-{zone}-{n}" for zone in ZONES for n in range(2)]


def _fleet(seed=1, **profile):
    world = setups.small(seed, per_zone=2, controls=3, **profile)
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


def test_groups_spread_over_the_zones():
    world = _fleet()
    groups = _groups(world)
    assert len(groups) == models.CLAIM_GROUPS
    for group in groups.values():
        zones = {
            world.nodes[name].tables.members.own.zone
            for name in group.replicas
        }
        assert zones == set(ZONES)


def test_resend_through_another_node_gets_the_kept_answer():
    world = _fleet()
    first = _order(world, NODES[0], 1)
    world.run(200)
    again = _order(world, NODES[3], 1)
    world.run(200)
    assert (first.code, first.answer.body) == (codes.OK.number, b"a1")
    assert (again.code, again.answer.body) == (codes.REPLAYED.number, b"a1")
    assert len(_runs(world, 1)) == 1


def test_resend_while_the_first_runs_is_told_so():
    world = _fleet()
    first = _order(world, NODES[0], 1, ms=500)
    world.run(100)
    again = _order(world, NODES[3], 1, ms=500)
    world.run(100)
    assert again.code == codes.IN_PROGRESS.number
    assert again.header("retry-after") is not None
    world.run(1_000)
    assert first.code == codes.OK.number
    assert len(_runs(world, 1)) == 1


def test_other_body_under_the_same_key_is_refused():
    world = _fleet()
    _order(world, NODES[0], 1)
    world.run(200)
    other = _order(world, NODES[3], 1, body=b"other")
    world.run(200)
    assert other.code == codes.KEY_REUSED.number


def test_same_key_of_another_customer_is_another_request():
    world = _fleet()
    _order(world, NODES[0], 1)
    told = world.call(
        NODES[1],
        "/orders/work?ms=1&id=1",
        setups.KEYS["limewash"],
        "POST",
        idempotency_key="order-1",
    )
    world.run(300)
    assert told.code == codes.OK.number


def test_caller_that_left_finds_its_answer_on_resend():
    world = _fleet()
    first = _order(world, NODES[0], 1, ms=300)
    world.run(100)
    world.leave_call(first)
    world.run(500)
    again = _order(world, NODES[4], 1, ms=300)
    world.run(200)
    assert again.code == codes.REPLAYED.number
    assert len(_runs(world, 1)) == 1


def test_refused_request_may_be_sent_again():
    world = _fleet()
    for name in NODES:
        world.nodes[name].backend.up = False
    first = _order(world, NODES[0], 1)
    world.run(300)
    for name in NODES:
        world.nodes[name].backend.up = True
    again = _order(world, NODES[1], 1)
    world.run(300)
    assert first.header("fescueyard-outcome") == "not_run"
    assert again.code == codes.OK.number


def test_node_killed_during_the_run_leaves_no_second_run():
    world = _fleet(deadline_default_ms=1_000, retry_allowance=3)
    first = _order(world, NODES[0], 1, ms=400)
    world.run(100)
    ran_at = _runs(world, 1)[0].node
    world.kill(NODES[0])
    for wait_ms in (1_000, 1_500, 3_000, 5_000):
        name = next(row for row in NODES if row in world.nodes)
        again = _order(world, name, 1, ms=400)
        world.run(wait_ms)
        assert again.code in (
            codes.IN_PROGRESS.number,
            codes.OUTCOME_UNKNOWN.number,
            codes.CLAIM_UNAVAILABLE.number,
        ), (first, ran_at)
    assert len(_runs(world, 1)) == 1


def test_without_a_majority_of_replicas_nothing_runs():
    world = _fleet()
    name = NODES[0]
    for other in NODES[1:]:
        world.cut_pairs.add((name, other))
    told = _order(world, name, 1)
    world.run(1_500)
    assert told.code == codes.CLAIM_UNAVAILABLE.number
    assert not _runs(world, 1)


def test_claims_outlive_every_replica_being_replaced_in_turn():
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
        again = _order(world, names[number % len(names)], number)
        world.run(300)
        assert again.code == codes.REPLAYED.number, number
        assert len(_runs(world, number)) == 1


def test_two_replicas_lost_at_once_means_refusal_and_no_second_run():
    world = _fleet()
    _order(world, NODES[0], 1)
    world.run(300)
    _, replicas = _group_with_claims(world)
    lost = replicas[:2]
    for name in lost:
        world.kill(name)
    left = next(name for name in NODES if name in world.nodes)
    for wait_ms in (1_000, 10_000, 30_000):
        again = _order(world, left, 1)
        world.run(wait_ms)
        # The replica that is left may still replay the kept answer.
        assert again.code in (
            codes.REPLAYED.number,
            codes.CLAIM_UNAVAILABLE.number,
        )
    other = _order(world, left, 2)
    world.run(1_000)
    assert other.code in (codes.OK.number, codes.CLAIM_UNAVAILABLE.number)
    assert len(_runs(world, 1)) == 1


@pytest.mark.parametrize("seed", range(5))
def test_no_order_runs_twice_under_random_faults(seed):
    world = _fleet(seed, deadline_default_ms=800, retry_allowance=3)
    random = world.random
    told = {}
    spare = 0
    for step in range(250):
        names = list(world.nodes)
        number = random.randrange(max(1, step // 3))
        name = random.choice(names)
        ms = random.choice((1, 30, 300))
        told.setdefault(number, []).append(
            _order(world, name, number, ms=30 if number in told else ms)
        )
        fault = random.random()
        if fault < 0.03 and len(names) > 4:
            world.kill(random.choice(names))
            spare += 1
            world.add_node(f"s{spare}", random.choice(ZONES), "orders")
        elif fault < 0.08:
            world.cut_pairs.add(tuple(random.sample(names, 2)))
        elif fault < 0.10:
            world.cut_zone(random.choice(ZONES))
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
    good = 0
    for number, rows in told.items():
        assert len(_runs(world, number)) <= 1, f"order {number} ran twice"
        for row in rows:
            if row.answer is not None and row.answer.status == 200:
                assert row.answer.body == f"a{number}".encode()
                good += 1
    assert good > len(told) / 2


def test_new_replica_needs_the_claims_of_every_other():
    world = _fleet()
    _order(world, NODES[0], 1)
    world.run(300)
    number, replicas = _group_with_claims(world)
    lost, informed, ignorant = replicas
    # The claim was granted by two of the three only.
    world.nodes[ignorant].tables.claims.groups[number].rows.clear()
    for name in NODES:
        if name not in replicas:
            world.kill(name)
    zone = world.nodes[lost].tables.members.own.zone
    world.add_node("spare", zone, "orders")
    world.run(5_000)
    world.cut_pairs.add(("spare", informed))
    world.kill(lost)
    world.run(15_000)
    assert "spare" in _groups(world)[str(number)].replicas
    again = _order(world, "spare", 1)
    world.run(1_500)
    assert again.code == codes.CLAIM_UNAVAILABLE.number
    assert len(_runs(world, 1)) == 1


def _group_with_claims(world):
    for name, group in _groups(world).items():
        tables = world.nodes[group.replicas[0]].tables
        if tables.claims.groups[int(name)].rows:
            return int(name), group.replicas
    raise AssertionError("no claim is kept anywhere")


def test_group_without_majority_starts_afresh_after_the_retention():
    world = _fleet(claim_retention_ms=1_000, deadline_max_ms=2_000)
    _order(world, NODES[0], 1)
    world.run(300)
    number, replicas = _group_with_claims(world)
    for name in replicas[:2]:
        world.kill(name)
    left = replicas[2]
    world.run(20_000)
    generation = _groups(world)[str(number)].generation
    world.run(60_000)
    again = _order(world, left, 1)
    world.run(1_500)
    group = _groups(world)[str(number)]
    assert group.fresh_generation > generation
    # The retention has passed, so this is another order.
    assert again.code == codes.OK.number
