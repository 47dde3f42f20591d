"""Dispatch of messages from other members to their handlers."""

import functools

from fescueyard.core import exceptions


@functools.singledispatch
def receive(message, table, sender_id, now_ms):
    """Handle a message from another member.

    :param message: the message.
    :param table: :class:`models.ConsensusTable`.
    :param sender_id: authenticated id of the sending member.
    :param now_ms: the present time.
    :raises StreamError: when no handler is registered for the message.
    """
    raise exceptions.StreamError(
        f"{type(message).__name__} is not accepted by a control process"
    )
