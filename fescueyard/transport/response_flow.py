"""Pace of responses that arrive from the backend server.

Several large responses together may not fit into the memory of the process.
Those that don't are read later: reading pauses, and the backend server waits.
"""

import asyncio

from fescueyard.transport import memory_account

RESUME_INTERVAL_S = 0.02


class ResponseFlow:
    """Responses that are arriving, and whether they are read on.

    The oldest one is always read on, so that they can't all wait for each
    other.

    :param memory: :class:`~fescueyard.transport.memory_account.MemoryAccount`;
        None for no bound.
    """

    def __init__(self, memory):
        self._memory = memory
        self._held = {}
        self._paused = []
        self._timer = None

    def hold(self, connection, count):
        """Count bytes of a body that have arrived; pause without room.

        :param connection: connection with ``pause_reading()`` and
            ``resume_reading()``.
        :param count: number of bytes.
        """
        self.charge(connection, memory_account.body_cost(count))

    def charge(self, connection, amount):
        """Count what a part of a response costs; pause without room.

        :param connection: connection, as of :meth:`hold`.
        :param amount: cost in bytes.
        """
        if self._memory is None:
            return
        self._memory.charge(amount)
        self._held[connection] = self._held.get(connection, 0) + amount
        if not self._may_read(connection) and connection not in self._paused:
            connection.pause_reading()
            self._paused.append(connection)
            self._schedule()

    def release(self, connection):
        """Release what a response holds that is complete or given up.

        :param connection: its connection.
        """
        amount = self._held.pop(connection, 0)
        if not amount:
            return
        self._memory.charge(-amount)
        if connection in self._paused:
            self._paused.remove(connection)
            connection.resume_reading()

    def _may_read(self, connection):
        if next(iter(self._held)) is connection:
            return True
        return self._memory.has_room(0, is_small=False)

    def _schedule(self):
        if self._timer is None and self._paused:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(RESUME_INTERVAL_S, self._resume)

    def _resume(self):
        """Read on one response, besides the oldest one."""
        self._timer = None
        for connection in list(self._paused):
            if self._may_read(connection):
                self._paused.remove(connection)
                connection.resume_reading()
                if next(iter(self._held)) is not connection:
                    break
        self._schedule()
