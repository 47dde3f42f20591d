"""The pressure of a backend server follows the wait in its queue."""

from fescueyard.pressure import measurement
from fescueyard.pressure import models


def _rounds(row, count, waited_ms, arrived, started, now_ms=0.0):
    for _ in range(count):
        now_ms += measurement.ADJUST_MS
        row.arrived, row.started = arrived, started
        row.waited_ms = waited_ms * started
        measurement.adjust(row, waited_ms, now_ms)
    return now_ms


def test_short_waits_are_no_pressure():
    row = models.BackendPressure()
    _rounds(row, 50, measurement.WAIT_TARGET_MS, 10, 10)
    assert measurement.own_pressure(row, "deep") is models.NO_PRESSURE


def test_one_busy_moment_is_no_pressure():
    row = models.BackendPressure()
    now_ms = _rounds(row, measurement.OVER_TARGET_ROUNDS_MIN - 1, 200, 20, 10)
    _rounds(row, 1, 0, 10, 10, now_ms)
    assert measurement.own_pressure(row, "deep") is models.NO_PRESSURE


def test_twice_the_load_is_seen_within_a_second_and_forgotten_in_three():
    row = models.BackendPressure()
    now_ms = _rounds(row, 10, 300, 20, 10)
    told = measurement.own_pressure(row, "deep")
    assert told.bottleneck == "deep"
    assert told.share >= 0.5
    _rounds(row, 50, 0, 10, 10, now_ms)
    assert measurement.own_pressure(row, "deep") is models.NO_PRESSURE


def test_some_load_always_passes():
    row = models.BackendPressure()
    _rounds(row, 1_000, 5_000, 100, 0)
    assert (
        measurement.own_pressure(row, "deep").share
        <= 1 - measurement.ADMITTED_SHARE_MIN
    )


def test_server_that_starts_nothing_is_pressure():
    row = models.BackendPressure()
    _rounds(row, 20, 5_000, 100, 0)
    assert measurement.own_pressure(row, "deep").share >= 0.5


def test_pressure_of_a_server_that_hung_is_forgotten_in_five_seconds():
    """It starts nothing for five seconds, then all that is let in."""
    row = models.BackendPressure()
    now_ms = _rounds(row, 20, 50, 10, 10)
    now_ms = _rounds(row, 50, 2_000, 10, 0, now_ms)
    for _ in range(50):
        let_in = 10 * row.admitted_share
        now_ms = _rounds(row, 1, 0, let_in, let_in, now_ms)
    assert measurement.own_pressure(row, "deep").share < 0.1
