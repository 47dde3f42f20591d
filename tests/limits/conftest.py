"""What the tests of rates share."""

import pytest

from fescueyard.core import codes
from fescueyard.limits import decisions


class Meter:
    """Notes each token as it is spent, and each refusal."""

    def __init__(self, monkeypatch):
        self.world = None
        self.spent_at_ms = []
        self.refused = []
        publish = decisions.publish

        def note(tables, decided, bucket, now_ms):
            if decided.code is codes.OK:
                self.spent_at_ms.append(self.world.now_ms)
            else:
                self.refused.append((self.world.now_ms, decided.code.name))
            publish(tables, decided, bucket, now_ms)

        monkeypatch.setattr(decisions, "publish", note)

    def start(self, world):
        """Begin to measure a world."""
        self.world = world
        self.spent_at_ms.clear()
        self.refused.clear()

    def highest_excess(self, rate_per_s, burst):
        """Find by how much any window exceeds rate times time plus burst."""
        level = float(burst)
        last_ms = 0.0
        worst = 0.0
        for at_ms in self.spent_at_ms:
            level += rate_per_s * (at_ms - last_ms) / 1000
            level = min(level, float(burst)) - 1
            last_ms = at_ms
            worst = max(worst, -level)
        return worst


@pytest.fixture
def meter(monkeypatch):
    """Give a meter of tokens."""
    return Meter(monkeypatch)
