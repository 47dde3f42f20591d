"""Dispatch of messages of other processes to the handlers of control."""

import functools

from fescueyard.consensus import dispatch as consensus_dispatch
from fescueyard.core import exceptions


@functools.singledispatch
def receive(message, tables, peer_id, stream, now_ms):
    """Handle a message from a stream or a datagram.

    :param message: the message.
    :param tables: the process's tables.
    :param peer_id: authenticated id of the sender; empty for a datagram.
    :param stream: handle for replies; None for a datagram.
    :param now_ms: the present time.
    :raises StreamError: when the message is not for a control process.
    :raises InconsistentTablesError: when a message of the consensus protocol
        is left half handled.
    """
    try:
        consensus_dispatch.receive(message, tables.consensus, peer_id, now_ms)
    except exceptions.StreamError:
        raise
    except Exception as error:
        raise exceptions.InconsistentTablesError(repr(error)) from error
