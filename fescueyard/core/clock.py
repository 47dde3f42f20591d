"""The clocks of this VM.

Only the I/O layer reads it; all other code gets the time as an argument.
"""

import time


def now_ms():
    """Read the monotonic clock, which also runs while the VM is suspended.

    :returns: milliseconds as a float, from an arbitrary origin.
    """
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) / 1e6


def unix_ms():
    """Read the time of day, which may jump either way.

    :returns: whole milliseconds since the Unix epoch.
    """
    return time.time_ns() // 1_000_000
