"""Which requests of one connection run at the same time."""

import pytest

from fescueyard.core import http
from fescueyard.ingress import overlap
from tests import setups


def _may_overlap(world, method, target, host="fleet.example"):
    request = http.HttpRequest(
        method, target, [http.Header("host", host)], b""
    )
    tables = next(iter(world.nodes.values())).tables
    return overlap.may_overlap(tables, request)


@pytest.mark.parametrize("method", ["GET", "POST"])
def test_route_decides_whether_its_requests_overlap(method):
    world = setups.start_routed_fleet(
        routes=[("read", {}), ("change", {"idempotent": False})]
    )
    assert _may_overlap(world, method, "/read/1?a=b")
    assert not _may_overlap(world, method, "/change/1")
    assert _may_overlap(world, method, "/unknown/1")
    assert _may_overlap(world, method, "/change/1", "other.example")


def test_method_decides_whether_requests_of_a_service_overlap():
    world = setups.start_fleet()
    assert _may_overlap(world, "GET", "/orders/work?ms=1")
    assert not _may_overlap(world, "POST", "/orders/work")
    assert _may_overlap(world, "POST", "/unknown")
