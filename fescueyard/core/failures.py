"""Unexpected errors, and what each of them ends.

An error that belongs to one connection, message or request ends that one, and
a line of the log names it. After any other error the tables may be half
changed: the process ends at once, so that it is started again, and its last
line says why. It must never go on with a part of its work undone.
"""

import os

from fescueyard.core import exceptions
from fescueyard.core import logs

LOG = logs.ComponentLogger("process")

# Exit status of a process that ended itself after an unexpected error.
EXIT_STATUS = 70


def contain(logger, event, error, **fields):
    """Log an error that ends no more than one input.

    :param logger: :class:`~fescueyard.core.logs.ComponentLogger`.
    :param event: name of the event.
    :param error: the exception.
    :param fields: the input that ends.
    :raises InconsistentTablesError: when the error is one.
    """
    if isinstance(error, exceptions.InconsistentTablesError):
        raise error
    logger.failure(event, error, **fields)


def end_process(error, activity):
    """End this process at once; the tables can't be relied on.

    :param error: the exception.
    :param activity: what the process was doing.
    """
    LOG.failure("process_failed", error, is_last=True, activity=activity)
    logs.close_sink()
    os._exit(EXIT_STATUS)
