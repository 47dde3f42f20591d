"""Socket options for low latency and detection of a dead or silent peer."""

import socket

# The kernel closes a connection whose data stays unacknowledged this long.
USER_TIMEOUT_MS = 1_000
KEEPALIVE_IDLE_S = 2
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
READ_BYTES_MAX = 64 * 1024


def set_options(transport):
    """Disable Nagle's algorithm and detect a dead or silent peer.

    :param transport: asyncio transport of the connection.
    """
    connected_socket = transport.get_extra_info("socket")
    if connected_socket is None or connected_socket.family != socket.AF_INET:
        return
    for level, option, value in (
        (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
        (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS),
    ):
        connected_socket.setsockopt(level, option, value)


def limit_reads(transport):
    """Read at most :data:`READ_BYTES_MAX` at a time.

    The event loop allocates as much for each read; its default of 256 KiB is
    taken from the system instead of the heap and costs six times as much.

    :param transport: asyncio transport of the connection.
    """
    transport.max_size = READ_BYTES_MAX
