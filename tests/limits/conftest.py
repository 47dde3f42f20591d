"""Fixtures for tests of rate limits."""

import pytest

from fescueyard.core import codes
from fescueyard.limits import decisions


class TokenMeter:
    """Records the time of each spent token and of each refusal."""

    def __init__(self, monkeypatch):
        self.world = None
        self.spent_at_ms = []
        self.refused = []
        publish = decisions.publish

        def record(tables, decided, bucket, now_ms):
            if decided.code is codes.OK:
                self.spent_at_ms.append(self.world.now_ms)
            else:
                self.refused.append((self.world.now_ms, decided.code.name))
            publish(tables, decided, bucket, now_ms)

        monkeypatch.setattr(decisions, "publish", record)

    def start(self, world):
        """Start measuring a simulated fleet."""
        self.world = world
        self.spent_at_ms.clear()
        self.refused.clear()

    def highest_excess(self, rate_per_s, burst):
        """Return the largest excess of a window over rate x time + burst."""
        level = float(burst)
        last_ms = 0.0
        excess_max = 0.0
        for at_ms in self.spent_at_ms:
            level += rate_per_s * (at_ms - last_ms) / 1000
            level = min(level, float(burst)) - 1
            last_ms = at_ms
            excess_max = max(excess_max, -level)
        return excess_max


@pytest.fixture
def meter(monkeypatch):
    """Return a meter of spent tokens."""
    return TokenMeter(monkeypatch)
