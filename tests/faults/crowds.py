"""Crowds of clients that misbehave, and the memory of their victim."""

import contextlib
import os
import pathlib
import re
import selectors
import socket
import threading
import time

# Nothing more is sent once no connection has taken bytes for this long.
QUIET_S = 0.4
# Longest time for which a crowd sends.
SEND_S = 4.0
# Time for which a crowd stays as it is once it has sent all that it can.
HOLD_S = 0.5
SAMPLE_S = 0.01
READ_BYTES = 65_536


class Watch:
    """Samples the resident memory and the descriptors of a process.

    :param pid: the process.
    """

    def __init__(self, pid):
        self.rss_max_bytes = 0
        self.descriptors_max = 0
        self._folder = pathlib.Path("/proc") / str(pid)
        self._ended = threading.Event()
        self._thread = threading.Thread(target=self._sample_until_ended)

    def __enter__(self):
        self._thread.start()
        return self

    def __exit__(self, *exception):
        self._ended.set()
        self._thread.join()

    def _sample_until_ended(self):
        while not self._ended.wait(SAMPLE_S):
            with contextlib.suppress(OSError):
                self._sample()

    def _sample(self):
        self.rss_max_bytes = max(self.rss_max_bytes, rss_bytes(self._folder))
        count = len(os.listdir(self._folder / "fd"))
        self.descriptors_max = max(self.descriptors_max, count)


def rss_bytes(folder):
    """Read the resident memory of a process.

    :param folder: its folder in ``/proc``.
    :returns: bytes; 0 for a process that has ended.
    """
    status = (pathlib.Path(folder) / "status").read_text()
    found = re.search(r"VmRSS:\s+(\d+) kB", status)
    return int(found.group(1)) * 1024 if found else 0


class Crowd:
    """Connections that all send the same bytes and read nothing.

    :param address: ``host:port``.
    :param count: number of connections.
    :param parts: byte strings that each connection sends in turn.
    :param piece_bytes: most bytes of one write; None for no limit.
    :param receive_buffer_bytes: size of the sockets' receive buffers; None for
        the default.
    :param hold_s: time for which the crowd stays after it has sent.
    """

    def __init__(
        self,
        address,
        count,
        parts,
        piece_bytes=None,
        receive_buffer_bytes=None,
        hold_s=HOLD_S,
    ):
        self._sockets = []
        self._hold_s = hold_s
        self._piece_bytes = piece_bytes
        self._receive_buffer_bytes = receive_buffer_bytes
        self._selector = selectors.DefaultSelector()
        host, _, port = address.rpartition(":")
        for _ in range(count):
            with contextlib.suppress(OSError):
                self._connect((host, int(port)), list(parts))

    def __enter__(self):
        return self

    def __exit__(self, *exception):
        for connected in self._sockets:
            connected.close()
        self._selector.close()

    def send(self):
        """Send until all is sent, or the other side takes no more."""
        end_s = time.monotonic() + SEND_S
        while self._selector.get_map() and time.monotonic() < end_s:
            ready = self._selector.select(QUIET_S)
            if not ready:
                break
            for key, _ in ready:
                self._send_piece(key.fileobj, key.data)
        time.sleep(self._hold_s)

    def _connect(self, address, parts):
        connected = socket.socket()
        if self._receive_buffer_bytes:
            connected.setsockopt(
                socket.SOL_SOCKET,
                socket.SO_RCVBUF,
                self._receive_buffer_bytes,
            )
        connected.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        connected.settimeout(1)
        try:
            connected.connect(address)
        except OSError:
            connected.close()
            raise
        connected.setblocking(False)
        self._sockets.append(connected)
        views = [memoryview(part) for part in parts]
        self._selector.register(connected, selectors.EVENT_WRITE, views)

    def _send_piece(self, connected, views):
        try:
            sent = connected.send(views[0][: self._piece_bytes])
        except BlockingIOError:
            return
        except OSError:
            self._selector.unregister(connected)
            return
        views[0] = views[0][sent:]
        if not views[0]:
            views.pop(0)
        if not views:
            self._selector.unregister(connected)
