"""Least progress of bodies that arrive and of responses that are read."""

import array
import fcntl
import termios

# Least rate of both directions. Ordinary clients are tens of times faster.
RATE_MIN_BYTES_PER_S = 1_024
BODY_WINDOW_S = 10.0
# A reader that is slow but steady frees the receive buffer of its system in
# steps of up to 64 KiB on links with large segments.
RESPONSE_WINDOW_S = 20.0
# A transfer with less than this between two sweeps has stalled. It may go on,
# but is closed before others when memory is short.
STALLED_BYTES_MAX = 4 * 1024


class Progress:
    """Progress of one direction of a connection.

    :ivar total: bytes transferred so far.
    :ivar is_stalled: whether next to nothing was transferred between the last
        two sweeps.
    """

    __slots__ = (
        "total",
        "is_stalled",
        "_swept_total",
        "_window_start_total",
        "_window_start_s",
    )

    def __init__(self):
        self.total = 0
        self.is_stalled = False
        self._swept_total = 0
        self._window_start_total = 0
        self._window_start_s = None

    def add(self, count):
        """Count transferred bytes.

        :param count: number of bytes.
        """
        self.total += count

    def is_too_slow(self, is_due, window_s, now_s):
        """Return whether too little was transferred; called once a sweep.

        :param is_due: whether the other side has something to transfer.
        :param window_s: time over which the rate is measured.
        :param now_s: the loop's time.
        :returns: bool.
        """
        transferred = self.total - self._swept_total
        self._swept_total = self.total
        self.is_stalled = (
            is_due
            and self._window_start_s is not None
            and transferred < STALLED_BYTES_MAX
        )
        if not is_due:
            self._window_start_s = None
            return False
        if self._window_start_s is None:
            self._window_start_s, self._window_start_total = now_s, self.total
            return False
        elapsed_s = now_s - self._window_start_s
        if elapsed_s < window_s:
            return False
        is_slow = (
            self.total - self._window_start_total
            < elapsed_s * RATE_MIN_BYTES_PER_S
        )
        self._window_start_s, self._window_start_total = now_s, self.total
        return is_slow


def unsent_bytes(transport):
    """Return the bytes that the other side has not acknowledged yet.

    :param transport: asyncio transport of a TCP connection.
    :returns: number of bytes in the buffers of the process and the kernel.
    """
    in_process = transport.get_write_buffer_size()
    if not in_process:
        return 0
    queued = array.array("i", [0])
    connected = transport.get_extra_info("socket")
    try:
        fcntl.ioctl(connected.fileno(), termios.TIOCOUTQ, queued)
    except (OSError, ValueError):
        return in_process
    return in_process + queued[0]
