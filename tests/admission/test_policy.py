"""Targets of the policy benchmark, checked in one deployment."""

import pytest

from benchmarks import policy


@pytest.fixture(scope="module")
def outcomes():
    """Run each scenario that has targets once."""
    by_scenario = {}
    board = policy.DEPLOYMENTS[0]
    for scenario in ("capacity", "surge", "firm_peak", "slow_service"):
        by_scenario[scenario] = policy.run_one(board, scenario, "fescueyard")
    return by_scenario


def test_goodput_is_kept_at_twice_the_capacity(outcomes):
    share = (
        outcomes["surge"].goodput_per_s / outcomes["capacity"].goodput_per_s
    )
    assert share >= policy.GOODPUT_SHARE_MIN


@pytest.mark.parametrize("scenario", ["surge", "firm_peak", "slow_service"])
def test_recovery_time_is_bounded(outcomes, scenario):
    assert outcomes[scenario].recovery_ms <= policy.RECOVERY_MAX_MS


@pytest.mark.parametrize("scenario", ["surge", "firm_peak", "slow_service"])
def test_important_work_is_the_last_to_be_shed(outcomes, scenario):
    assert outcomes[scenario].important_lost == 0.0


def test_peak_of_one_firm_does_not_starve_another(outcomes):
    assert outcomes["firm_peak"].worst_served >= policy.WORST_SERVED_MIN


def test_fifo_queue_loses_important_work():
    board = policy.DEPLOYMENTS[0]
    assert policy.run_one(board, "surge", "fifo").important_lost > 0.1
