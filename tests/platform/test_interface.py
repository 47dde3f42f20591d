"""Responses to rejected requests."""

import pytest

from fescueyard.core import codes
from fescueyard.core import http
from fescueyard.platform import interface

# Statuses that guarantee that the request has not run and never will.
NOT_RUN_STATUSES = {408, 421, 429, 503}
CALLER_ERROR_STATUSES = {400, 401, 404, 413, 431}


@pytest.mark.parametrize("code", codes.all_codes(), ids=lambda each: each.name)
def test_status_claims_not_run_only_where_certain(code):
    status = interface.build_error_response(code, "", 250.0).status
    if code.outcome is codes.Outcome.NOT_RUN:
        assert status in NOT_RUN_STATUSES | CALLER_ERROR_STATUSES
    else:
        assert status in {502, 504}


def test_retry_after_is_in_fractions_of_a_second():
    response = interface.build_error_response(codes.OVERLOADED, "", 250.0)
    assert http.find_header(response.headers, "retry-after") == "0.250"
