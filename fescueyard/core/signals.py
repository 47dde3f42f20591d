"""Blocks the signals that a long-lived process handles.

A blocked signal stays pending until it is unblocked, so one that arrives
before its handler is installed is handled late instead of ending the process.
"""

import signal

# SIGTERM and SIGINT stop a process, SIGHUP lets it read its settings again,
# SIGUSR1 writes a dump.
HANDLED = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP, signal.SIGUSR1)


def block():
    """Keep the signals pending, in this thread and those that it starts."""
    signal.pthread_sigmask(signal.SIG_BLOCK, HANDLED)


def unblock():
    """Let the signals act, also those that are pending."""
    signal.pthread_sigmask(signal.SIG_UNBLOCK, HANDLED)
