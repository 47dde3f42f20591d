"""Refusals as callers know them."""

import pytest

from fescueyard.core import codes
from fescueyard.core import http
from fescueyard.platform import interface

# Statuses that promise that the request has not run and never will.
PROMISES = {408, 421, 429, 503}
CALLERS_FAULT = {400, 401, 404, 413, 431}


@pytest.mark.parametrize("code", codes.all_codes(), ids=lambda row: row.name)
def test_status_promises_only_what_is_known(code):
    status = interface.refuse(code, "", 250.0).status
    if code.outcome is codes.Outcome.NOT_RUN:
        assert status in PROMISES | CALLERS_FAULT
    else:
        assert status in {502, 504}


def test_return_is_told_in_fractions():
    answer = interface.refuse(codes.OVERLOADED, "", 250.0)
    assert http.find_header(answer.headers, "retry-after") == "0.250"
