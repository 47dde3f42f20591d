"""Fleet-wide rate and burst: never exceeded, and used when available."""

import pytest

from fescueyard.configuration import models as configuration_models
from fescueyard.configuration import state as states
from fescueyard.core import codes
from fescueyard.core import dispatch
from fescueyard.limits import decisions
from fescueyard.limits import fleet_grantor
from fescueyard.limits import grantors
from fescueyard.limits import messages
from fescueyard.limits import models as limit_models
from fescueyard.limits import systems as limits
from tests.limits import faults
from tests import setups

KEY = setups.KEYS["board"]
RATE_PER_S = 100.0
BURST = 60
REFUSED_SHARE_MAX = 0.001


def _fleet(meter, seed=1, rate_per_s=RATE_PER_S, burst=BURST, **options):
    world = setups.start_fleet(
        seed,
        per_zone=2,
        controls=3,
        rate_per_s=rate_per_s,
        burst=burst,
        **options,
    )
    for node in world.nodes.values():
        node.backend.slots = 200
    world.run(3_000)
    meter.start(world)
    return world


def _load(world, rate_per_s, duration_ms, choose):
    """Send calls at random times to the nodes that ``choose`` returns."""
    end_ms = world.now_ms + duration_ms
    calls = []
    while world.now_ms < end_ms:
        world.run(world.random.expovariate(rate_per_s / 1000))
        name = choose(world)
        if name in world.nodes:
            target = f"/orders/work?ms=1&id={len(calls)}"
            calls.append(world.call(name, target, KEY, "POST"))
    world.run(1_000)
    return calls


def _refused_within_rate(calls, rate_per_s, burst):
    """List the refused calls that one ideal bucket would have admitted."""
    level = float(burst)
    last_ms = 0.0
    refused = []
    for call in calls:
        level += rate_per_s * (call.started_at_ms - last_ms) / 1000
        level = min(level, float(burst))
        last_ms = call.started_at_ms
        if level < 1:
            continue
        level -= 1
        if call.code != codes.OK.number:
            refused.append((call.started_at_ms, call.code))
    return refused


def _random_node(world):
    return world.random.choice(list(world.nodes))


def _first_node(world):
    return next(iter(world.nodes))


def _node_in_turn(world):
    names = list(world.nodes)
    return names[int(world.now_ms // 700) % len(names)]


@pytest.mark.parametrize("choose", [_random_node, _first_node, _node_in_turn])
def test_never_above_rate_and_burst_under_three_times_the_load(meter, choose):
    world = _fleet(meter)
    _load(world, 3 * RATE_PER_S, 10_000, choose)
    assert meter.highest_excess(RATE_PER_S, BURST) <= 0.0
    # The rate is also used, apart from a small remainder.
    assert len(meter.spent_at_ms) >= 0.95 * (RATE_PER_S * 10 + BURST)


@pytest.mark.parametrize("seed", range(4))
def test_never_above_rate_and_burst_under_faults(meter, seed):
    world = _fleet(meter, seed)
    random = world.random

    def inject_fault():
        choice = random.random()
        if choice < 0.15:
            faults.kill_and_replace(world)
        elif choice < 0.35:
            faults.cut_zone(world)
        elif choice < 0.45:
            faults.cut_pair(world)
        elif choice < 0.55:
            faults.freeze_node(world)
        elif choice < 0.65:
            faults.crash_leader(world)
        elif choice < 0.75:
            faults.freeze_leader(world)
        else:
            faults.clear_faults(world)
        world.call_later(400, inject_fault)

    world.call_later(100, inject_fault)
    _load(world, 3 * RATE_PER_S, 10_000, _random_node)
    assert meter.highest_excess(RATE_PER_S, BURST) <= 0.0
    assert len(meter.spent_at_ms) > RATE_PER_S


@pytest.mark.parametrize("choose", [_random_node, _first_node, _node_in_turn])
@pytest.mark.parametrize(
    ("rate_per_s", "burst"), [(100.0, 60), (20.0, 10), (400.0, 400)]
)
@pytest.mark.parametrize("share", [0.0, 1.0])
def test_refusals_within_rate_are_rare(
    meter, choose, rate_per_s, burst, share
):
    world = _fleet(
        meter, rate_per_s=rate_per_s, burst=burst, cut_off_rate_share=share
    )
    calls = _load(world, 0.7 * rate_per_s, 20_000, choose)
    refused = _refused_within_rate(calls, rate_per_s, burst)
    assert len(refused) <= REFUSED_SHARE_MAX * len(calls), refused


def test_complete_burst_at_once_is_granted(meter):
    world = _fleet(meter)
    for number in range(BURST):
        world.call(_random_node(world), f"/orders/work?ms=1&id={number}", KEY)
    world.run(1_000)
    assert len(meter.spent_at_ms) == BURST
    assert not meter.refused


@pytest.mark.parametrize("share", [0.0, 1.0])
@pytest.mark.parametrize("seed", range(4))
def test_change_of_leader_refuses_little_within_rate(meter, seed, share):
    world = _fleet(meter, seed, cut_off_rate_share=share)
    world.call_later(
        5_000, lambda: world.cluster.crash(world.cluster.leader())
    )
    calls = _load(world, 0.5 * RATE_PER_S, 12_000, _random_node)
    refused = _refused_within_rate(calls, RATE_PER_S, BURST)
    print(f"{len(refused)} of {len(calls)} refused over a change of leader")
    assert meter.highest_excess(RATE_PER_S, BURST) <= 0.0
    assert len(refused) <= REFUSED_SHARE_MAX * len(calls)


def test_lowered_rate_applies_within_seconds(meter):
    world = _fleet(meter)
    setups.put_object(
        world,
        "customer",
        "board",
        firm="board",
        rate_per_s=RATE_PER_S / 10,
        burst=6,
    )
    world.run(3_000)
    meter.spent_at_ms.clear()
    _load(world, 3 * RATE_PER_S, 5_000, _random_node)
    assert meter.highest_excess(RATE_PER_S / 10, 6) <= 0.0


def test_refusal_over_the_rate_has_retry_after(meter):
    world = _fleet(meter)
    calls = [
        world.call(_first_node(world), f"/orders/work?ms=1&id={number}", KEY)
        for number in range(2 * BURST)
    ]
    world.run(1_000)
    refused = [
        call for call in calls if call.code == codes.RATE_EXCEEDED.number
    ]
    assert refused
    assert all(call.header("retry-after") for call in refused)
    # Refused at once and not only near the deadline.
    assert max(call.ended_at_ms - call.started_at_ms for call in refused) < 100


def test_tokens_of_frozen_nodes_expire_before_they_are_granted_again(meter):
    burst = 600
    world = _fleet(meter, burst=burst, key_staleness_max_ms=60_000)
    frozen_names = [name for name in world.nodes if "zone-c" in name]
    other_names = [name for name in world.nodes if "zone-c" not in name]
    _load(
        world, RATE_PER_S, 3_000, lambda _: world.random.choice(frozen_names)
    )
    # A node gives back what it holds once no calls come, so it is frozen while
    # they do.
    for number in range(30):
        name = frozen_names[number % len(frozen_names)]
        world.call(name, f"/orders/work?ms=1&id=late-{number}", KEY)
        world.run(10)
    assert any(_tokens(world, name) for name in frozen_names)
    for name in frozen_names:
        world.freeze(name)
    world.run(3_500)
    meter.spent_at_ms.clear()
    for number in range(burst + 100):
        target = f"/orders/work?ms=1&id={number}"
        world.call(other_names[number % len(other_names)], target, KEY)
        world.call(frozen_names[number % len(frozen_names)], target, KEY)
    world.run(50)
    for name in frozen_names:
        world.thaw(name)
    world.run(50)
    assert meter.highest_excess(RATE_PER_S, burst) <= 0.0


def _tokens(world, name):
    table = world.nodes[name].tables.limits
    buckets = [*table.zone_buckets.values(), *table.node_buckets.values()]
    return sum(bucket.tokens for bucket in buckets)


def test_response_to_a_superseded_request_is_void(meter):
    world = _fleet(meter)
    name = _first_node(world)
    tables = world.nodes[name].tables
    zone_bucket = limit_models.LocalBucket()
    tables.limits.zone_buckets["board"] = zone_bucket
    link = limit_models.GrantorLink(request_id=2, sent_at_ms=world.now_ms)
    tables.limits.links[limit_models.FLEET_LINK] = link
    grant = messages.TokenGrant("board", 5, False, 0.0, 10.0, 2_000.0)
    outdated = messages.TokenResponse(1, True, True, [grant])
    dispatch.receive(
        outdated, tables, dispatch.Sender("m0", None), world.now_ms
    )
    assert zone_bucket.tokens == 0


def test_new_leader_grants_nothing_that_old_holders_may_hold():
    state = states.ConfigurationState("c-1")
    customer = configuration_models.Customer("board", 1.0, BURST)
    state.objects[configuration_models.Kind.CUSTOMER]["board"] = customer
    table = limit_models.GrantorTable()
    members = setups.start_fleet().cluster.tables["m0"].members
    fleet_grantor.start_term(table, 2, 0.0)
    granted = 0
    for number in range(1, 20):
        now_ms = number * fleet_grantor.GRANT_LIFETIME_MS / 20
        demand = messages.TokenDemand("board", 0, 0, BURST, 0)
        request = messages.TokenRequest(number, "holder", True, [demand])
        response = fleet_grantor.handle_request(
            table, state, request, now_ms, members
        )
        granted += response.grants[0].granted
    # The rate yields one token a second; old holders may have the burst.
    assert granted <= 2


def _granted_bucket(tokens, now_ms):
    """Return a bucket whose tokens are all known to its grantor."""
    return limit_models.LocalBucket(
        tokens=tokens, expires_at_ms=now_ms + 1_000, reported_held=tokens
    )


def test_token_reported_as_spent_is_not_returned(meter):
    world = _fleet(meter)
    tables = world.nodes[_first_node(world)].tables
    bucket = _granted_bucket(5, world.now_ms)
    grantor_id = grantors.grantor_of(tables, "board", world.now_ms)
    if grantor_id == tables.members.own.node_id:
        tables.limits.zone_buckets["board"] = bucket
    else:
        tables.limits.node_buckets["board"] = bucket
    decided = decisions.RateDecided(
        1, "board", codes.OK, decisions.Basis.GRANTED
    )
    # Spent, not reported yet: the grantor still counts the token as held.
    bucket.tokens = 4
    limits.return_token(tables, decided, world.now_ms)
    assert bucket.tokens == 5
    # Spent and reported: the grantor no longer counts the token.
    bucket.tokens = 4
    bucket.reported_held = 4
    limits.return_token(tables, decided, world.now_ms)
    assert bucket.tokens == 4
