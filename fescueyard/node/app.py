"""The node process: sockets and clock around the node's tables."""

import asyncio
import dataclasses
import functools
import random
import secrets

from fescueyard.admission import systems as admission
from fescueyard.conf import settings as conf_settings
from fescueyard.core import clock
from fescueyard.core import codes
from fescueyard.core import dispatch
from fescueyard.core import dumps
from fescueyard.core import effects
from fescueyard.core import exceptions
from fescueyard.core import http
from fescueyard.core import ids
from fescueyard.core import logs
from fescueyard.core import problems
from fescueyard.ingress import systems as ingress
from fescueyard.node import backend_api
from fescueyard.node import metrics
from fescueyard.node import systems
from fescueyard.node import tables as node_tables
from fescueyard.routing import models as routing_models
from fescueyard.transport import backend_client
from fescueyard.transport import datagrams
from fescueyard.transport import http_server
from fescueyard.transport import streams

LOG = logs.PartLogger("node")

TICK_MIN_MS = 1.0
BACKEND_CONNECTIONS_MAX = 1_000
# Time for the last answers and the goodbye to leave the sockets.
GOODBYE_S = 0.2


class _Edge:
    """Handler of one HTTP listener."""

    def __init__(self, node, from_backend):
        self._node = node
        self._from_backend = from_backend

    def request_received(self, exchange_id, request, connection):
        """Take in a request."""
        self._node.request_received(
            exchange_id, request, connection, self._from_backend
        )

    def caller_left(self, exchange_id):
        """Take in that a caller has gone."""
        self._node.caller_left(exchange_id)


class NodeProcess:
    """The process in the slot of one backend server VM.

    :param settings: :class:`~fescueyard.conf.settings.NodeSettings`.
    """

    def __init__(self, settings):
        self.settings = settings
        self.stopped = asyncio.get_running_loop().create_future()
        node_id = settings.node_id or "n"
        # A restarted process is another member: what the old one held or
        # promised is not this one's.
        process_id = ids.new_id(node_id + "-")
        self._tables = node_tables.new_tables(
            process_id,
            settings.zone,
            settings.region,
            settings.address,
            settings.control_addresses,
            secrets.randbits(64),
            random.SystemRandom(),
            routing_models.NODE_ROLE,
        )
        secret = conf_settings.read_secret(
            settings.cluster_secret,
            settings.cluster_secret_file,
            "cluster_secret",
        )
        self._pool = streams.StreamPool(process_id, secret, self)
        self._datagrams = datagrams.DatagramSocket(secret, self)
        self._callers = http_server.HttpServer(
            _Edge(self, from_backend=False), settings.body_bytes_max
        )
        self._backend_callers = http_server.HttpServer(
            _Edge(self, from_backend=True), settings.body_bytes_max
        )
        self._backend = backend_client.BackendClient(
            BACKEND_CONNECTIONS_MAX, settings.answer_bytes_max
        )
        self._connections = {}
        self._run_futures = {}
        self._finishing = False
        self._timer = None
        self._tick_due_ms = 0.0

    async def start(self):
        """Listen and start ticking."""
        settings = self.settings
        address = streams.parse_address(
            settings.listen_address or settings.address
        )
        await self._pool.listen(address)
        await self._datagrams.listen(address)
        await self._callers.listen(
            streams.parse_address(settings.caller_address)
        )
        await self._backend_callers.listen(
            streams.parse_address(settings.backend_address)
        )
        LOG.info(
            "Node started.",
            node=self._tables.process_id,
            zone=settings.zone,
            callers=settings.caller_address,
        )
        self._tick()

    def stop(self):
        """Begin a planned stop; it ends when nothing is in flight."""
        if self._tables.draining:
            return
        LOG.info("Node is stopping.", calls=len(self._tables.calls.rows))
        systems.drain(self._tables, clock.now_ms())
        self._run_effects()

    def dump(self):
        """Write out the node's tables.

        :returns: JSON text.
        """
        return dumps.render(
            _Dump(
                self._tables.metrics.summarise(),
                self._tables.metrics.counters,
                self._tables,
            )
        )

    # Callbacks of the HTTP listeners.

    def request_received(self, exchange_id, request, connection, from_backend):
        """Take in a request of a caller or of the backend server."""
        self._connections[exchange_id] = connection
        now_ms = clock.now_ms()
        if from_backend and request.target.startswith(backend_api.PREFIX):
            self._answer(exchange_id, self._backend_request(request, now_ms))
        else:
            ingress.accept(
                self._tables, exchange_id, request, from_backend, now_ms
            )
        self._settle(now_ms)

    def caller_left(self, exchange_id):
        """Stop the call of a caller who has gone."""
        self._connections.pop(exchange_id, None)
        now_ms = clock.now_ms()
        ingress.caller_left(self._tables, exchange_id, now_ms)
        self._settle(now_ms)

    # Callbacks of the streams and datagrams.

    def message_received(self, stream, message):
        """Take in a message from a stream."""
        now_ms = clock.now_ms()
        sender = dispatch.Sender(stream.peer_id, stream)
        try:
            systems.receive(message, self._tables, sender, now_ms)
        except exceptions.StreamError as error:
            LOG.warning(
                "Message refused.",
                peer=stream.peer_id,
                code=error.code.number,
                detail=error.detail,
            )
            stream.close()
        self._settle(now_ms)

    def datagram_received(self, message):
        """Take in a datagram."""
        now_ms = clock.now_ms()
        sender = dispatch.Sender("", None)
        try:
            systems.receive(message, self._tables, sender, now_ms)
        except exceptions.StreamError as error:
            LOG.warning("Datagram refused.", detail=error.detail)
        self._settle(now_ms)

    def stream_lost(self, stream):
        """End what depended on a stream."""
        address = None if stream.address is None else str(stream.address)
        now_ms = clock.now_ms()
        systems.stream_lost(
            self._tables, stream.peer_id, address, stream, now_ms
        )
        self._run_effects()

    def message_unsent(self, address, message):
        """Take back a message of which no byte went out."""
        now_ms = clock.now_ms()
        dispatch.unsent(message, self._tables, str(address), now_ms)
        self._settle(now_ms)

    def _backend_request(self, request, now_ms):
        path = request.target.partition("?")[0]
        tables = self._tables
        try:
            if path == "/-/announce" and request.method == "POST":
                told = backend_api.parse_announcement(request.body)
                admission.announce(
                    tables,
                    told.service,
                    told.address,
                    told.slots,
                    told.ttl_ms,
                    now_ms,
                )
            elif path == "/-/leave" and request.method == "POST":
                admission.leave(tables, now_ms)
            elif path == "/-/dump" and request.method == "GET":
                return _json_answer(self.dump().encode())
            elif path != "/-/status":
                raise exceptions.RequestError(f"no such resource: {path}")
        except exceptions.RequestError as error:
            return problems.problem(error.code, error.detail)
        return _json_answer(backend_api.status_body(tables))

    def _answer(self, exchange_id, answer):
        connection = self._connections.pop(exchange_id, None)
        if connection is not None:
            connection.answer(answer)

    def _tick(self):
        now_ms = clock.now_ms()
        self._timer = None
        systems.tick(self._tables, now_ms)
        self._run_effects()
        loop = asyncio.get_running_loop()
        if systems.may_stop(self._tables, now_ms):
            self._finishing = True
            systems.say_goodbye(self._tables, now_ms)
            self._run_effects()
            self._callers.close_when_idle()
            self._backend_callers.close_when_idle()
            loop.call_later(GOODBYE_S, self._finish)
            return
        self._schedule_tick(now_ms)

    def _schedule_tick(self, now_ms):
        """Have the next tick run when it is due and no earlier."""
        if self._finishing:
            return
        due_ms = systems.next_due_ms(self._tables, now_ms)
        due_ms = max(due_ms, now_ms + TICK_MIN_MS)
        if self._timer is not None:
            if self._tick_due_ms <= due_ms:
                return
            self._timer.cancel()
        self._tick_due_ms = due_ms
        self._timer = asyncio.get_running_loop().call_later(
            (due_ms - now_ms) / 1000, self._tick
        )

    def _finish(self):
        self._pool.close()
        self._datagrams.close()
        LOG.info("Node stopped.")
        self.stopped.set_result(None)

    def _settle(self, now_ms):
        systems.handle_events(self._tables, now_ms)
        self._run_effects()
        self._schedule_tick(now_ms)

    def _run_effects(self):
        while self._tables.effects:
            pending = self._tables.effects
            self._tables.effects = []
            for effect in pending:
                _carry_out(effect, self)

    def _run_ended(self, run_id, future):
        self._run_futures.pop(run_id, None)
        result = future.result()
        now_ms = clock.now_ms()
        admission.finish_run(
            self._tables, run_id, result.answer, result.code, now_ms
        )
        self._settle(now_ms)


@dataclasses.dataclass
class _Dump:
    """What a dump shows: measurements, then the tables."""

    latency: metrics.Summary
    counters: dict[str, int]
    tables: node_tables.NodeTables


@functools.singledispatch
def _carry_out(effect, node):
    raise TypeError(f"unknown effect: {effect!r}")


@_carry_out.register
def _send_message(effect: effects.SendMessage, node):
    node._pool.send(streams.parse_address(effect.address), effect.message)


@_carry_out.register
def _send_reply(effect: effects.SendReply, node):
    if effect.stream is not None and effect.stream.ready:
        effect.stream.send(effect.message)


@_carry_out.register
def _send_datagram(effect: effects.SendDatagram, node):
    node._datagrams.send(effect.address, effect.message)


@_carry_out.register
def _drop_stream(effect: effects.DropStream, node):
    node._pool.abort(streams.parse_address(effect.address))


@_carry_out.register
def _answer_caller(effect: effects.AnswerCaller, node):
    node._answer(effect.exchange_id, effect.answer)


@_carry_out.register
def _start_run(effect: effects.StartRun, node):
    future = node._backend.fetch(
        f"http://{effect.address}", effect.request, effect.idempotent
    )
    node._run_futures[effect.run_id] = future
    future.add_done_callback(functools.partial(node._run_ended, effect.run_id))


@_carry_out.register
def _abort_run(effect: effects.AbortRun, node):
    future = node._run_futures.pop(effect.run_id, None)
    if future is not None:
        node._backend.cancel(future)


async def start(settings):
    """Start a node.

    :param settings: :class:`~fescueyard.conf.settings.NodeSettings`.
    :returns: :class:`NodeProcess`.
    """
    process = NodeProcess(settings)
    await process.start()
    return process


def _json_answer(body):
    return http.HttpAnswer(
        codes.OK.http_status,
        [http.Header("content-type", "application/json")],
        body,
    )
