"""Bounds on what the clients of all listeners of a process hold together."""

import collections
import resource

from fescueyard.core import exposition
from fescueyard.core import logs
from fescueyard.transport import memory_account

LOG = logs.ComponentLogger("http")

# Share of the descriptors for connections of clients. The others are for
# streams, connections to the backend server and files.
CLIENT_DESCRIPTOR_SHARE = 0.6
# Part of them that only listeners with ``uses_reserve`` may use, so that
# readiness probes and operators are served when callers use up the rest.
RESERVED_SHARE = 0.1
UNBOUNDED_BYTES = 1 << 62
UNBOUNDED_CONNECTIONS = 1 << 30


class ClientGuard:
    """The connections of a process's clients, and what they may hold.

    :param account:
        :class:`~fescueyard.transport.memory_account.MemoryAccount`.
    :param connections_max: maximum number of connections.
    """

    def __init__(self, account, connections_max):
        self.account = account
        self.connections_max = connections_max
        self.connections = set()
        self.counters = collections.Counter()

    def admit(self, connection, uses_reserve):
        """Register a new connection, closing an idle one if there is no room.

        :param connection:
            :class:`~fescueyard.transport.http_connection.HttpConnection`.
        :param uses_reserve: whether it may use the reserved part.
        :returns: whether it may stay.
        """
        allowed = self.connections_max
        if not uses_reserve:
            allowed = int(allowed * (1 - RESERVED_SHARE))
        if len(self.connections) >= allowed:
            idle = [each for each in self.connections if each.is_idle()]
            if not idle:
                self.count("connection_refused")
                return False
            # A connection that has sent a complete request is less likely to
            # belong to a client that only opens connections.
            victim = min(
                idle, key=lambda each: (each.has_served, each.waiting_since_s)
            )
            self.close(victim, "descriptors")
        self.connections.add(connection)
        return True

    def forget(self, connection):
        """Remove a connection that was closed."""
        self.connections.discard(connection)

    def reserve(self, connection, amount_bytes, is_small):
        """Make room for a body, at the expense of stalled connections.

        :param connection: the connection that receives it.
        :param amount_bytes: what it costs, in bytes.
        :param is_small: whether it may use the part for small requests.
        :returns: whether there is room.
        """
        if self.account.has_room(amount_bytes, is_small):
            return True
        for victim in self._by_size(connection):
            if not victim.is_stalled:
                continue
            self.close(victim, "memory")
            if self.account.has_room(amount_bytes, is_small):
                return True
        self.count("body_refused")
        return False

    def relieve(self):
        """Close connections while more is held than the limit.

        Stalled ones go first, and of these the ones that hold the most.
        """
        account = self.account
        if account.held_bytes <= account.limit_bytes:
            return
        victims = self._by_size(None)
        victims.sort(key=lambda each: not each.is_stalled)
        for victim in victims:
            self.close(victim, "memory")
            if account.held_bytes <= account.limit_bytes:
                return

    def close(self, connection, reason):
        """Close a connection for misuse.

        :param connection: the connection.
        :param reason: what it misused, for the log and the counters.
        """
        self.count(reason)
        LOG.decision(
            "client_closed",
            reason=reason,
            client=connection.client_address(),
            held_bytes=connection.held_bytes,
            all_held_bytes=self.account.held_bytes,
            connections=len(self.connections),
        )
        connection.abort()

    def count(self, reason):
        """Count a refusal or a close.

        :param reason: the counter.
        """
        self.counters[reason] += 1

    def samples(self):
        """Return the metrics of the clients.

        :returns: list of sample lines.
        """
        lines = [
            exposition.sample("clients_refused_total", count, reason=reason)
            for reason, count in sorted(self.counters.items())
        ]
        gauges = {
            "client_connections": len(self.connections),
            "client_connections_max": self.connections_max,
            "client_memory_bytes": self.account.held_bytes,
            "client_memory_forwarded_bytes": self.account.forwarded_bytes,
            "client_memory_limit_bytes": self.account.limit_bytes,
        }
        for name, value in gauges.items():
            lines.append(exposition.sample(name, value))
        return lines

    def _by_size(self, excepted):
        """Return the other connections that hold something, largest first."""
        holders = [
            each
            for each in self.connections
            if each is not excepted
            and each.held_bytes > memory_account.CONNECTION_COST
        ]
        holders.sort(key=lambda each: -each.held_bytes)
        return holders


def new_guard(settings, body_bytes_max):
    """Create the guard of a process.

    :param settings: :class:`~fescueyard.conf.settings.ProcessSettings`.
    :param body_bytes_max: largest body that a client may send or get.
    :returns: :class:`ClientGuard`.
    """
    memory_account.return_freed_blocks()
    limit_bytes = memory_account.limit_bytes(
        settings.memory_mb * memory_account.MEBIBYTE,
        memory_account.resident_bytes(),
        body_bytes_max,
    )
    descriptors, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if descriptors == resource.RLIM_INFINITY:
        descriptors = settings.fds_max
    descriptors = min(descriptors, settings.fds_max)
    account = memory_account.MemoryAccount(limit_bytes)
    return ClientGuard(account, int(descriptors * CLIENT_DESCRIPTOR_SHARE))


def unbounded_guard():
    """Create a guard without bounds, the default of a listener.

    :returns: :class:`ClientGuard`.
    """
    account = memory_account.MemoryAccount(UNBOUNDED_BYTES)
    return ClientGuard(account, UNBOUNDED_CONNECTIONS)
