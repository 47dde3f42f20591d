"""Hands messages and events to the package that registered for them."""

import dataclasses
import functools

from fescueyard.core import exceptions


@dataclasses.dataclass(slots=True, frozen=True)
class Sender:
    """Who sent a message.

    :param peer_id: authenticated id of the process.
    :param stream: handle for replies; None for a datagram.
    """

    peer_id: str
    stream: object


@functools.singledispatch
def receive(message, tables, sender, now_ms):
    """Take in a message of another process.

    :param message: the message.
    :param tables: the process's tables.
    :param sender: :class:`Sender`.
    :param now_ms: the present time.
    :raises StreamError: when no package takes such a message.
    """
    raise exceptions.StreamError(
        f"{type(message).__name__} is not for this process"
    )


@functools.singledispatch
def handle(event, tables, now_ms):
    """Take in an event of this process: a timer or another package's result.

    :param event: the event.
    :param tables: the process's tables.
    :param now_ms: the present time.
    :raises TypeError: when no package takes such an event.
    """
    raise TypeError(f"unknown event: {event!r}")


@functools.singledispatch
def handle_unsent(message, tables, address, now_ms):
    """Take back a message of which no byte went out.

    :param message: the message.
    :param tables: the process's tables.
    :param address: ``host:port`` it was meant for.
    :param now_ms: the present time.
    """


@functools.singledispatch
def deduct_wait(message, waited_ms):
    """Take the time off a message for which it waited to be sent.

    :param message: the message.
    :param waited_ms: how long it waited.
    :returns: the message to send.
    """
    return message
