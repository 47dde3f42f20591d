"""The monotonic clock.

Only the I/O layer reads it; all other code gets the time as an argument.
"""

import time


def now_ms():
    """Read the monotonic clock, which also runs while the VM is suspended.

    :returns: milliseconds as a float, from an arbitrary origin.
    """
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) / 1e6
