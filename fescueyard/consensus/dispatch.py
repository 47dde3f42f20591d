"""Hands the messages of other members to the module that takes them."""

import functools

from fescueyard.core import exceptions


@functools.singledispatch
def receive(message, table, sender_id, now_ms):
    """Take in a message of another member.

    :param message: the message.
    :param table: :class:`models.ConsensusTable`.
    :param sender_id: member that sent it, as authenticated.
    :param now_ms: the present time.
    :raises StreamError: when the message is not for this module.
    """
    raise exceptions.StreamError(
        f"{type(message).__name__} is not for a control process"
    )
