"""Dispatches messages and events to the packages that handle them."""

import dataclasses
import functools

from fescueyard.core import exceptions


@dataclasses.dataclass(slots=True, frozen=True)
class Sender:
    """The sender of a message.

    :param peer_id: authenticated id of the process; empty for a datagram.
    :param stream: handle for replies; None for a datagram.
    """

    peer_id: str
    stream: object


def dispatch_by_type(function):
    """Make a single-dispatch function that looks handlers up faster.

    ``functools.singledispatch`` takes three calls of Python functions for a
    look-up, which each message and event pays several times.

    :param function: handles the types without a handler of their own.
    :returns: a function with ``register`` as of ``functools.singledispatch``.
    """
    generic = functools.singledispatch(function)
    handlers = {}

    @functools.wraps(function)
    def call(first, *others):
        handler = handlers.get(type(first))
        if handler is None:
            handler = handlers[type(first)] = generic.dispatch(type(first))
        return handler(first, *others)

    def register(*arguments):
        handlers.clear()
        return generic.register(*arguments)

    call.register = register
    return call


@dispatch_by_type
def receive(message, tables, sender, now_ms):
    """Handle a message of another process.

    :param message: the message.
    :param tables: the process's tables.
    :param sender: :class:`Sender`.
    :param now_ms: the present time.
    :raises StreamError: when no package handles such a message.
    """
    raise exceptions.StreamError(
        f"{type(message).__name__} is not handled by this process"
    )


@dispatch_by_type
def handle(event, tables, now_ms):
    """Handle an event of this process: a timer or another package's result.

    :param event: the event.
    :param tables: the process's tables.
    :param now_ms: the present time.
    :raises TypeError: when no package handles such an event.
    """
    raise TypeError(f"unknown event: {event!r}")


@dispatch_by_type
def handle_unsent(message, tables, address, now_ms):
    """Handle a message of which no byte was sent.

    :param message: the message.
    :param tables: the process's tables.
    :param address: ``host:port`` of its recipient.
    :param now_ms: the present time.
    """


@dispatch_by_type
def deduct_wait(message, waited_ms):
    """Deduct the time that a message waited from the time limits it carries.

    A message without such limits is returned unchanged.

    :param message: the message.
    :param waited_ms: how long the message waited for a stream.
    :returns: the message to send.
    """
    return message
