"""Operators' configurations, valid and invalid."""

import copy
import json

import pytest

from fescueyard.configuration import models
from fescueyard.configuration import state
from fescueyard.control import admin
from fescueyard.core import exceptions
from fescueyard.core import http
from fescueyard.platform import configurations
from fescueyard.platform import operators

CONFIGURATION = {
    "Version": "r7",
    "BaseVersion": "r5",
    "Routes": [
        {
            "Name": "r-1",
            "Host": "orders.example",
            "PathPrefix": "/a/",
            "Type": "safe",
            "TimeoutMs": 1200,
            "SloMs": 2000,
            "Priority": 2,
            "TrafficSplit": [
                {"Service": "one", "Weight": 90},
                {"Service": "two", "Weight": 10},
            ],
            "Attempts": 2,
            "Public": False,
        },
        {
            "Name": "r-2",
            "Host": "orders.example",
            "PathPrefix": "/b/",
            "Type": "unsafe",
            "TimeoutMs": 1500,
            "SloMs": 2000,
            "Priority": 0,
            "Service": "two",
            "Attempts": 1,
            "Public": True,
        },
    ],
    "Services": [
        {"Name": "one", "HealthPath": "/healthz", "MaxConns": 532},
        {"Name": "two", "HealthPath": "/healthz", "MaxConns": 622},
    ],
    "Limits": {
        "MaxHeaderBytes": 16384,
        "MaxBodyBytes": 67108864,
        "HeaderTimeoutMs": 3000,
        "IdleTimeoutMs": 15000,
    },
    "Tenants": [
        {
            "Name": "board",
            "ApiKeys": ["key-1", "key-2"],
            "Priority": 1,
            "RatePerS": 97,
            "Burst": 97,
        },
        {"Name": "free", "ApiKeys": ["key-3"]},
    ],
}
PROFILE = models.Profile()


def _with_change(change):
    value = copy.deepcopy(CONFIGURATION)
    change(value)
    return json.dumps(value).replace("Infinity", "1e999").encode()


def _objects(parsed, kind):
    return {
        document_object.name: models.parse_document(
            kind, document_object.document
        )
        for document_object in parsed.objects
        if document_object.kind == kind.value
    }


def test_fields_are_parsed():
    parsed = configurations.parse(json.dumps(CONFIGURATION).encode(), PROFILE)
    assert (parsed.version, parsed.base_version) == (7, 5)
    routes = _objects(parsed, models.Kind.ROUTE)
    assert routes["r-1"].idempotent and not routes["r-2"].idempotent
    assert [part.weight for part in routes["r-1"].parts] == [90, 10]
    assert routes["r-2"].public
    customers = _objects(parsed, models.Kind.CUSTOMER)
    assert customers["board"].rate_per_s == 97
    assert customers["board"].priority == 1
    assert customers["free"].rate_per_s is None
    keys = _objects(parsed, models.Kind.KEY)
    assert sorted(key.customer for key in keys.values()) == [
        "board",
        "board",
        "free",
    ]
    assert b"key-1" not in b"".join(item.document for item in parsed.objects)


def test_cold_limit_of_a_service_is_parsed():
    body = _with_change(
        lambda v: v["Services"][0].update(ColdStartS=3.0, ColdPerS=3.6)
    )
    services = _objects(
        configurations.parse(body, PROFILE), models.Kind.SERVICE
    )
    assert services["one"].cold_start_ms == 3_000
    assert services["one"].cold_rate_per_s == 3.6
    assert services["two"].cold_rate_per_s == 0


def test_unset_cold_limit_is_not_written():
    """Nodes of release 0.5 refuse fields that they don't know."""
    parsed = configurations.parse(json.dumps(CONFIGURATION).encode(), PROFILE)
    assert b"cold" not in b"".join(item.document for item in parsed.objects)


INVALID = {
    "negative cold rate": lambda v: v["Services"][0].update(ColdPerS=-0.1),
    "infinite cold rate": lambda v: v["Services"][0].update(
        ColdPerS=float("inf")
    ),
    "huge cold rate": lambda v: v["Services"][0].update(ColdPerS=1e9),
    "negative cold time": lambda v: v["Services"][0].update(ColdStartS=-1),
    "infinite cold time": lambda v: v["Services"][0].update(
        ColdStartS=float("inf")
    ),
    "huge cold time": lambda v: v["Services"][0].update(ColdStartS=1e6),
    "unknown service": lambda v: v["Routes"][1].update(Service="three"),
    # The split wins over it, so it would go unnoticed.
    "unknown service beside a split": lambda v: v["Routes"][0].update(
        Service="three"
    ),
    "unknown split": lambda v: v["Routes"][0]["TrafficSplit"][0].update(
        Service="three"
    ),
    "weight below zero": lambda v: v["Routes"][0]["TrafficSplit"][0].update(
        Weight=-1
    ),
    "no weight": lambda v: [
        part.update(Weight=0) for part in v["Routes"][0]["TrafficSplit"]
    ],
    "long timeout": lambda v: v["Routes"][0].update(TimeoutMs=600_001),
    "no timeout": lambda v: v["Routes"][0].pop("TimeoutMs"),
    "empty host": lambda v: v["Routes"][0].update(Host=""),
    "duplicate route": lambda v: v["Routes"][1].update(PathPrefix="/a/"),
    "shared key": lambda v: v["Tenants"][1].update(ApiKeys=["key-1"]),
    "no version": lambda v: v.pop("Version"),
    "malformed version": lambda v: v.update(Version="seven"),
    "malformed base": lambda v: v.update(BaseVersion="five"),
    "wrong type": lambda v: v.update(Routes="none"),
    "infinite burst": lambda v: v["Tenants"][0].update(Burst=float("inf")),
    "infinite rate": lambda v: v["Tenants"][0].update(RatePerS=float("inf")),
    "negative rate": lambda v: v["Tenants"][0].update(RatePerS=-1),
    "infinite goal": lambda v: v["Routes"][0].update(SloMs=float("inf")),
    "infinite weight": lambda v: v["Routes"][0].update(
        TrafficSplit=[{"Service": "orders", "Weight": float("inf")}]
    ),
    "unknown type": lambda v: v["Routes"][0].update(Type="maybe"),
}


@pytest.mark.parametrize("name", INVALID)
def test_invalid_configuration_is_refused(name):
    operator_interface = operators.OperatorInterface(PROFILE)
    body = _with_change(INVALID[name])
    request = http.HttpRequest("PUT", "/v1/config", [], body)
    with pytest.raises(exceptions.ChangeError) as caught:
        operator_interface.parse(request, [])
    assert operator_interface.error_response(caught.value.code).status == 400


@pytest.mark.parametrize("share", [0.1, 0.5, 0.9, 0.999])
def test_truncated_configuration_is_refused(share):
    body = json.dumps(CONFIGURATION).encode()
    with pytest.raises(exceptions.ChangeError):
        configurations.parse(body[: int(len(body) * share)], PROFILE)


def _apply(target, body, index):
    parsed = configurations.parse(body, PROFILE)
    change = admin.document_change(
        "x", parsed.version, parsed.base_version, body, parsed.objects
    )
    return operators.OperatorInterface(PROFILE).change_response(
        state.apply_document(target, change, index)
    )


def _body_with_version(number, base, **fields):
    return _with_change(
        lambda v: v.update(Version=f"r{number}", BaseVersion=base, **fields)
    )


def test_first_of_two_changes_to_a_version_wins_and_resends_repeat_result():
    target = state.ConfigurationState("c")
    first = _body_with_version(5, 0)
    winner = _body_with_version(7, "r5")
    loser = _body_with_version(7, "r5", Tenants=[])
    assert _apply(target, first, 1).status == 200
    assert _apply(target, winner, 2).status == 200
    assert _apply(target, loser, 3).status == 412
    assert _apply(target, winner, 4).status == 200
    assert _apply(target, loser, 5).status == 412
    assert _apply(target, _body_with_version(6, "r7"), 6).status == 412
    read = operators.OperatorInterface(PROFILE).document_response(target)
    assert read.body == winner


def test_refused_document_is_never_applied_later():
    target = state.ConfigurationState("c")
    _apply(target, _body_with_version(5, 0), 1)
    refused = _body_with_version(9, "r7")
    assert _apply(target, refused, 2).status == 412
    assert _apply(target, _body_with_version(7, "r5"), 3).status == 200
    assert _apply(target, refused, 4).status == 412


def test_read_without_a_configuration_responds_503():
    operator_interface = operators.OperatorInterface(PROFILE)
    assert (
        operator_interface.document_response(state.ConfigurationState()).status
        == 503
    )
