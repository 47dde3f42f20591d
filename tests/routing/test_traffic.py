"""Counters of what a process sends."""

from fescueyard.retries import messages
from fescueyard.routing import traffic
from tests import setups

MESSAGE = messages.RetryRequest(7, "chain")


def _tables():
    world = setups.start_routed_fleet(per_zone=2)
    return world.nodes["orders-zone-a"].tables


def test_messages_are_counted_by_kind_and_zone():
    tables = _tables()
    table = tables.traffic
    for peer_id, payload_bytes in (
        ("orders-zone-a-1", 10),
        ("orders-zone-b", 20),
        ("orders-zone-c", 30),
        ("stranger", 40),
    ):
        traffic.record_sent(tables, peer_id, MESSAGE, payload_bytes)
    rows = {
        scope: (sent.messages, sent.payload_bytes)
        for (_, scope), sent in table.rows.items()
    }
    assert rows == {"own": (1, 10), "other": (2, 50), "unknown": (1, 40)}


def test_counters_are_samples_with_kind_and_zone():
    tables = _tables()
    traffic.record_sent(tables, "orders-zone-b", MESSAGE, 20)
    assert traffic.samples(tables.traffic) == [
        'fescueyard_messages_sent_total{kind="RetryRequest",zone="other"} 1',
        "fescueyard_message_bytes_sent_total"
        '{kind="RetryRequest",zone="other"} 20',
    ]
