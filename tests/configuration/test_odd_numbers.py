"""Numbers in the configuration that are far out of the usual range."""

import pytest

from fescueyard.configuration import models
from fescueyard.core import exceptions
from tests import setups

ODD_NUMBER = 10**30
CALLS = 20
ODD_ROUTES = {
    "priority": {"priority": ODD_NUMBER},
    "attempts": {"attempts_max": ODD_NUMBER},
    "objective": {"objective_ms": 1e300},
}


def _served(world):
    calls = []
    for _ in range(CALLS):
        calls.append(
            world.call(
                "orders-zone-a",
                "/work/x",
                setups.KEYS["board"],
                host="fleet.example",
            )
        )
        world.run(50)
    world.run(1_000)
    return [call.response.status for call in calls].count(200)


@pytest.mark.parametrize("name", ODD_ROUTES)
def test_requests_are_served_on_a_route_with_an_odd_number(name):
    world = setups.start_routed_fleet(
        zones=("zone-a",), routes=[("work", ODD_ROUTES[name])]
    )
    assert _served(world) == CALLS


@pytest.mark.parametrize("burst", [ODD_NUMBER, 2**64, models.INTEGER_MAX])
def test_requests_are_served_with_an_odd_burst(burst):
    world = setups.start_routed_fleet(
        zones=("zone-a",), routes=[("work", {})], rate_per_s=1e3, burst=burst
    )
    assert _served(world) == CALLS


# The grantor of each term failed at a burst that no float can hold.
@pytest.mark.parametrize("name", ["burst", "share"])
def test_integer_without_a_float_is_refused(name):
    document = f'{{"firm":"a","rate_per_s":1,"burst":1,"{name}":1%s}}'
    with pytest.raises(exceptions.ChangeError):
        models.parse_document(
            models.Kind.CUSTOMER, (document % ("0" * 400)).encode()
        )
