"""Timers: events that become due at a given time."""

import dataclasses
import heapq
import itertools


@dataclasses.dataclass
class TimerTable:
    """Heap of events by due time.

    :param heap: tuples of due time, sequence number and event.
    """

    heap: list = dataclasses.field(default_factory=list)
    sequence: itertools.count = dataclasses.field(
        default_factory=itertools.count
    )


def schedule(table, due_at_ms, event):
    """Schedule an event.

    :param table: :class:`TimerTable`.
    :param due_at_ms: when the event is due.
    :param event: a data class with a handler in the dispatch module.
    """
    heapq.heappush(table.heap, (due_at_ms, next(table.sequence), event))


def pop_due(table, now_ms):
    """Remove and return the events that are due.

    :param table: :class:`TimerTable`.
    :param now_ms: the present time.
    :returns: list of events in order of due time.
    """
    due = []
    while table.heap and table.heap[0][0] <= now_ms:
        due.append(heapq.heappop(table.heap)[2])
    return due
