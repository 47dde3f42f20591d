"""The pressure of a backend server follows the queueing time."""

from fescueyard.pressure import measurement
from fescueyard.pressure import models


def _run_rounds(
    pressure, round_count, waited_ms, arrived, started, now_ms=0.0
):
    for _ in range(round_count):
        now_ms += measurement.ADJUST_INTERVAL_MS
        pressure.arrived, pressure.started = arrived, started
        pressure.waited_ms = waited_ms * started
        measurement.adjust(pressure, waited_ms, now_ms)
    return now_ms


def test_short_waits_cause_no_pressure():
    pressure = models.BackendPressure()
    _run_rounds(pressure, 50, measurement.WAIT_TARGET_MS, 10, 10)
    assert measurement.own_pressure(pressure, "deep") is models.NO_PRESSURE


def test_single_busy_round_causes_no_pressure():
    pressure = models.BackendPressure()
    now_ms = _run_rounds(
        pressure, measurement.OVER_TARGET_ROUNDS_MIN - 1, 200, 20, 10
    )
    _run_rounds(pressure, 1, 0, 10, 10, now_ms)
    assert measurement.own_pressure(pressure, "deep") is models.NO_PRESSURE


def test_double_load_is_reported_in_one_second_and_cleared_in_five():
    pressure = models.BackendPressure()
    now_ms = _run_rounds(pressure, 10, 300, 20, 10)
    reported = measurement.own_pressure(pressure, "deep")
    assert reported.bottleneck == "deep"
    assert reported.share >= 0.5
    _run_rounds(pressure, 50, 0, 10, 10, now_ms)
    assert measurement.own_pressure(pressure, "deep") is models.NO_PRESSURE


def test_some_load_is_always_admitted():
    pressure = models.BackendPressure()
    _run_rounds(pressure, 1_000, 5_000, 100, 0)
    assert (
        measurement.own_pressure(pressure, "deep").share
        <= 1 - measurement.ADMITTED_SHARE_MIN
    )


def test_server_that_starts_nothing_causes_pressure():
    pressure = models.BackendPressure()
    _run_rounds(pressure, 20, 5_000, 100, 0)
    assert measurement.own_pressure(pressure, "deep").share >= 0.5


def test_pressure_of_a_recovered_server_clears_in_five_seconds():
    """The server starts nothing for five seconds, then all admitted work."""
    pressure = models.BackendPressure()
    now_ms = _run_rounds(pressure, 20, 50, 10, 10)
    now_ms = _run_rounds(pressure, 50, 2_000, 10, 0, now_ms)
    for _ in range(50):
        admitted = 10 * pressure.admitted_share
        now_ms = _run_rounds(pressure, 1, 0, admitted, admitted, now_ms)
    assert measurement.own_pressure(pressure, "deep").share < 0.1
