"""Events that are due at a time."""

import dataclasses
import heapq
import itertools


@dataclasses.dataclass
class TimerTable:
    """Heap of events by due time.

    :param heap: rows of due time, sequence number and event.
    """

    heap: list = dataclasses.field(default_factory=list)
    sequence: itertools.count = dataclasses.field(
        default_factory=itertools.count
    )


def schedule(table, due_at_ms, event):
    """Have an event handled later.

    :param table: :class:`TimerTable`.
    :param due_at_ms: when it is due.
    :param event: a data class that the dispatch module knows.
    """
    heapq.heappush(table.heap, (due_at_ms, next(table.sequence), event))


def pop_due(table, now_ms):
    """Take the events that are due.

    :param table: :class:`TimerTable`.
    :param now_ms: the present time.
    :returns: list of events in order of due time.
    """
    due = []
    while table.heap and table.heap[0][0] <= now_ms:
        due.append(heapq.heappop(table.heap)[2])
    return due
