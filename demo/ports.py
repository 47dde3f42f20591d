"""Reserves ports on loopback for processes that listen on them later."""

import socket

HOST = "127.0.0.1"


class ReservedPorts:
    """Ports that no other process gets until they are released.

    A socket stays bound to each port without listening. The kernel then gives
    the port to no socket that asks for any free one, while a process that
    binds it by number, and also sets ``SO_REUSEADDR``, can listen on it.
    """

    def __init__(self):
        self._sockets = []

    def new_address(self):
        """Reserve a port that is free for TCP and UDP.

        :returns: ``host:port``.
        """
        while True:
            reserved = socket.socket()
            reserved.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            reserved.bind((HOST, 0))
            port = reserved.getsockname()[1]
            self._sockets.append(reserved)
            if _is_free_for_datagrams(port):
                return f"{HOST}:{port}"

    def release(self):
        """Release all ports."""
        for reserved in self._sockets:
            reserved.close()
        self._sockets.clear()


def _is_free_for_datagrams(port):
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as probe:
        try:
            probe.bind((HOST, port))
        except OSError:
            return False
    return True
