"""Operators' requests to evacuate a zone, and the responses to them."""

import json

import pytest

from fescueyard.configuration import models
from fescueyard.configuration import state as states
from fescueyard.control import admin
from fescueyard.control import evacuations
from fescueyard.core import codes
from fescueyard.core import exceptions
from fescueyard.core import http
from fescueyard.core import operators as tokens
from fescueyard.platform import operators

INTERFACE = operators.OperatorInterface(models.Profile())
TOKEN = "t" * 40
OPERATORS = [tuple(tokens.token_line("asha", TOKEN).split())]


def _parse(method, target, body=b""):
    return INTERFACE.parse(http.HttpRequest(method, target, [], body), [])


def _parse_own(method, target, token=TOKEN):
    headers = [http.Header("authorization", f"Bearer {token}")]
    request = http.HttpRequest(method, target, headers, b"")
    return admin.parse(request, OPERATORS)


@pytest.mark.parametrize(
    ("path", "zone"),
    [
        ("zone-a", "zone-a"),
        ("zone%2Da", "zone-a"),
        ("zone%20a%2Fb", "zone a/b"),
        ("zone+a", "zone+a"),
        ("z%C3%B6ne", "zöne"),
        ("zone-a?x=1", "zone-a"),
    ],
)
def test_zone_is_taken_from_the_path(path, zone):
    """A name that needs encoding must not look like an unknown zone."""
    command = _parse("POST", f"/v1/evacuate/{path}")
    assert command == evacuations.ChangeEvacuation("operator", zone, True)
    command = _parse("DELETE", f"/v1/evacuate/{path}")
    assert command == evacuations.ChangeEvacuation("operator", zone, False)
    command = _parse_own("PUT", f"/v1/evacuations/{path}")
    assert command == evacuations.ChangeEvacuation("asha", zone, True)


def test_body_is_ignored_with_a_log_line(monkeypatch):
    """A client that always sends a body must not be refused."""
    lines = []
    monkeypatch.setattr(
        evacuations.LOG,
        "warning",
        lambda event, **fields: lines.append((event, fields)),
    )
    command = _parse("POST", "/v1/evacuate/zone-a", b"{")
    assert command.zone == "zone-a"
    target = "/v1/evacuate/zone-a"
    assert lines == [
        ("order_body_ignored", {"target": target, "body_bytes": 1})
    ]


def test_name_that_is_no_utf_8_is_an_unknown_zone():
    with pytest.raises(exceptions.ChangeError) as raised:
        _parse("POST", "/v1/evacuate/zone%FF")
    assert raised.value.code is codes.UNKNOWN_ZONE


@pytest.mark.parametrize("method", ["GET", "PUT"])
def test_other_methods_change_nothing(method):
    with pytest.raises(exceptions.ChangeError):
        _parse(method, "/v1/evacuate/zone-a")


def test_evacuation_needs_the_token_of_an_operator():
    """The network guards the platform's API, but not the project's own."""
    with pytest.raises(exceptions.ChangeError) as raised:
        _parse_own("PUT", "/v1/evacuations/zone-a", "x" * 40)
    assert raised.value.code is codes.NOT_AN_OPERATOR


def test_evacuation_is_not_set_as_an_object_or_in_a_document():
    """It would bypass the order of the changes of a zone."""
    with pytest.raises(exceptions.ChangeError):
        _parse_own("PUT", "/v1/objects/evacuation/zone-a")
    assert models.Kind.EVACUATION not in states.DOCUMENT_KINDS


@pytest.mark.parametrize(
    ("code", "status"),
    [
        (codes.CHANGED, 200),
        (codes.UNKNOWN_ZONE, 404),
        (codes.NO_LEADER, 503),
        (codes.CHANGE_OUTCOME_UNKNOWN, 503),
        (codes.OVERTAKEN, 503),
    ],
)
def test_status_of_the_response(code, status):
    """Only a status of 503 is sent again; 2xx promises durability."""
    result = states.ChangeResult(code.number, 7, "")
    response = INTERFACE.change_response(result)
    assert response.status == status
    if status != 200:
        assert json.loads(response.body)["code"] == code.number
    retry_after = http.find_header(response.headers, "retry-after")
    assert (retry_after is not None) == (status == 503)


def test_listing_names_the_evacuated_zones():
    state = states.ConfigurationState("c-test")
    start = states.evacuation_change("asha", "zone-a", True, 1)
    states.apply_change(state, start, 2)
    assert evacuations.listing(state) == {
        "evacuations": [{"zone": "zone-a", "version": 2}]
    }
    command = _parse_own("GET", "/v1/evacuations")
    assert command == evacuations.ReadEvacuations()
