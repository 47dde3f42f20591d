"""Execution of the effects that the systems of a node request.

Each effect is executed on its own: one that fails doesn't drop the others.
"""

import functools

from fescueyard.core import addresses
from fescueyard.core import codes
from fescueyard.core import dispatch
from fescueyard.core import effects
from fescueyard.core import failures
from fescueyard.core import http
from fescueyard.core import logs
from fescueyard.transport import transfers

LOG = logs.ComponentLogger("node")


class Executor:
    """Executes effects with the sockets of a node.

    :param stream_pool: :class:`~fescueyard.transport.streams.StreamPool`.
    :param datagram_socket:
        :class:`~fescueyard.transport.datagrams.DatagramSocket`.
    :param client: :class:`~fescueyard.transport.backend_client.BackendClient`.
    :param run_completed: function of the run id and its
        :class:`~fescueyard.transport.transfers.BackendResult`.
    :param probe_completed: function of a completed probe's task.
    :param health_completed: function of the number that came with a health
        request and of its result.
    """

    def __init__(
        self,
        stream_pool,
        datagram_socket,
        client,
        run_completed,
        probe_completed,
        health_completed,
    ):
        self.stream_pool = stream_pool
        self.datagram_socket = datagram_socket
        self.client = client
        self.run_completed = run_completed
        self.probe_completed = probe_completed
        self.health_completed = health_completed
        self.health_future = None
        self.connections = {}
        self.run_futures = {}

    def execute(self, pending):
        """Execute effects in order.

        :param pending: list of effects.
        """
        for effect in pending:
            try:
                _execute(effect, self)
            except Exception as error:
                failures.contain(
                    LOG, "effect_failed", error, effect=type(effect).__name__
                )
                _handle_failure(effect, self)

    def respond(self, exchange_id, response):
        """Send the response of an HTTP exchange, unless its caller has left.

        :param exchange_id: id of the HTTP exchange.
        :param response: :class:`~fescueyard.core.http.HttpResponse`.
        """
        connection = self.connections.pop(exchange_id, None)
        if connection is not None:
            connection.respond(exchange_id, response)

    def complete_run(self, run_id, future):
        """Report a run whose future is complete."""
        self.run_futures.pop(run_id, None)
        self.run_completed(run_id, future.result())


@dispatch.dispatch_by_type
def _execute(effect, executor):
    raise TypeError(f"unknown effect: {effect!r}")


@_execute.register
def _send_message(effect: effects.SendMessage, executor):
    address = addresses.parse(effect.address)
    executor.stream_pool.send(address, effect.message)


@_execute.register
def _send_reply(effect: effects.SendReply, executor):
    if effect.stream is not None and effect.stream.ready:
        effect.stream.send(effect.message)


@_execute.register
def _send_datagram(effect: effects.SendDatagram, executor):
    executor.datagram_socket.send(effect.address, effect.message)


@_execute.register
def _dial(effect: effects.Dial, executor):
    executor.stream_pool.dial(addresses.parse(effect.address))


@_execute.register
def _drop_stream(effect: effects.DropStream, executor):
    executor.stream_pool.abort(addresses.parse(effect.address))


@_execute.register
def _respond_to_caller(effect: effects.RespondToCaller, executor):
    executor.respond(effect.exchange_id, effect.response)


@_execute.register
def _start_run(effect: effects.StartRun, executor):
    future = executor.client.fetch(
        f"http://{effect.address}", effect.request, effect.idempotent
    )
    executor.run_futures[effect.run_id] = future
    future.add_done_callback(
        functools.partial(executor.complete_run, effect.run_id)
    )


@_execute.register
def _probe_backend(effect: effects.ProbeBackend, executor):
    task = executor.client.probe(f"http://{effect.address}")
    task.add_done_callback(executor.probe_completed)


@_execute.register
def _query_health(effect: effects.QueryHealth, executor):
    if executor.health_future is not None:
        # A server that hangs would otherwise gather one connection for each.
        executor.client.cancel(executor.health_future)
    future = executor.client.fetch(
        f"http://{effect.address}",
        http.HttpRequest("GET", effect.path, [], b""),
        True,
    )
    executor.health_future = future

    def completed(completed_future):
        executor.health_future = None
        executor.health_completed(
            effect.break_count, completed_future.result()
        )

    future.add_done_callback(completed)


@_execute.register
def _abort_run(effect: effects.AbortRun, executor):
    future = executor.run_futures.pop(effect.run_id, None)
    if future is not None:
        executor.client.cancel(future)


@functools.singledispatch
def _handle_failure(effect, executor):
    """Report an effect that could not be executed to what waits for it."""


@_handle_failure.register
def _handle_failed_run(effect: effects.StartRun, executor):
    # How much of the request was written is not known.
    result = transfers.BackendResult(None, codes.BACKEND_FAILED)
    executor.run_completed(effect.run_id, result)
