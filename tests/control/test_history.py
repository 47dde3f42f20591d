"""The check of histories itself: what it accepts, and what it reports."""

import pytest

from fescueyard.core import codes
from tests.control import harness

CHANGED = codes.CHANGED.number
READ = codes.OK.number


def _change(change_id, called, returned, expected, version, code=CHANGED):
    return harness.Operation(
        "change",
        "one",
        called,
        1,
        expected,
        returned,
        code,
        version,
        0,
        change_id,
    )


def _read(called, returned, version):
    return harness.Operation(
        "read", "one", called, 0, 0, returned, READ, version, 1
    )


ACCEPTED = {
    "resend after a later change": [
        _change("a", 0, 1, 0, 1),
        _change("b", 2, 3, 1, 2),
        _change("a", 4, 5, 0, 1),
    ],
    "lost response, resent after a later change": [
        _change("a", 0, None, 0, 0, 0),
        _change("b", 2, 3, 1, 2),
        _change("a", 4, 5, 0, 1),
    ],
    "overlapping read of the version before": [
        _change("a", 0, 1, 0, 1),
        _change("b", 2, 5, 1, 2),
        _read(3, 4, 1),
    ],
}
REPORTED = {
    "change sent later that got an older version": [
        _change("b", 0, 1, 1, 2),
        _change("a", 2, 3, 0, 1),
    ],
    "read of an older version": [
        _change("a", 0, 1, 0, 1),
        _change("b", 2, 3, 1, 2),
        _read(4, 5, 1),
    ],
    "read of nothing after an acceptance by a resend": [
        _change("a", 0, None, 0, 0, 0),
        _change("a", 1, 2, 0, 1),
        _read(3, 4, 0),
    ],
    "two changes on one version": [
        _change("a", 0, 1, 0, 1),
        _change("b", 0, 1, 0, 2),
    ],
    "resend with another version": [
        _change("a", 0, 1, 0, 1),
        _change("a", 2, 3, 0, 2),
    ],
}


@pytest.mark.parametrize("name", ACCEPTED)
def test_history_that_is_linearizable(name):
    harness.check_history(ACCEPTED[name])


@pytest.mark.parametrize("name", REPORTED)
def test_history_that_is_not(name):
    with pytest.raises(AssertionError):
        harness.check_history(REPORTED[name])
