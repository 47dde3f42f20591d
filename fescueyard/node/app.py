"""The node process: connects the node's tables to sockets and the clock."""

import asyncio
import dataclasses
import functools
import random
import secrets

from fescueyard.admission import discovery
from fescueyard.admission import registration
from fescueyard.admission import start_limits
from fescueyard.admission import systems as admission
from fescueyard.conf import reloading
from fescueyard.conf import settings as conf_settings
from fescueyard.core import addresses
from fescueyard.core import clock
from fescueyard.core import codes
from fescueyard.core import dispatch
from fescueyard.core import dumps
from fescueyard.core import exceptions
from fescueyard.core import exposition as core_exposition
from fescueyard.core import failures
from fescueyard.core import http
from fescueyard.core import ids
from fescueyard.core import logs
from fescueyard.core import problems
from fescueyard.ingress import interface as ingress_interface
from fescueyard.ingress import overlap
from fescueyard.ingress import systems as ingress
from fescueyard.node import backend_api
from fescueyard.node import execution
from fescueyard.node import explanation
from fescueyard.node import exposition
from fescueyard.node import listeners
from fescueyard.node import metrics
from fescueyard.node import systems
from fescueyard.node import tables as node_tables
from fescueyard.routing import balancer
from fescueyard.routing import membership
from fescueyard.routing import models as routing_models
from fescueyard.routing import traffic
from fescueyard.routing import zone_relays
from fescueyard.transport import backend_client
from fescueyard.transport import datagrams
from fescueyard.transport import http_server
from fescueyard.transport import streams

LOG = logs.ComponentLogger("node")

TICK_MIN_MS = 1.0
BACKEND_CONNECTIONS_MAX = 1_000
# Time to refuse the requests of connections accepted last, and to flush the
# last responses and the leave message to the sockets.
LEAVE_FLUSH_S = 0.2
# Part of the stop timeout kept for responses to calls that are cut off when a
# planned stop ends.
STOP_MARGIN_MS = 600


def _ends_process_on_error(callback):
    """Wrap a callback of a future, which would only log what it raises."""

    @functools.wraps(callback)
    def wrapped(*arguments):
        try:
            callback(*arguments)
        except Exception as error:
            failures.end_process(error, callback.__name__)

    return wrapped


class _ListenerHandler:
    """Handler of one HTTP listener."""

    def __init__(self, node, from_backend):
        self._node = node
        self._from_backend = from_backend

    def request_received(self, exchange_id, request, connection):
        """Forward a request to the node."""
        self._node.request_received(
            exchange_id, request, connection, self._from_backend
        )

    def caller_left(self, exchange_id):
        """Report to the node that a caller has disconnected."""
        self._node.caller_left(exchange_id)

    def may_overlap(self, request):
        """Return whether a request may run beside others of its caller."""
        return self._node.may_overlap(request)

    def check_head(self, head):
        """Return the refusal of a request by its head, or None."""
        return self._node.check_head(head, self._from_backend)


class NodeProcess:
    """The process that serves one backend server on its VM.

    :param settings: :class:`~fescueyard.conf.settings.NodeSettings`.
    :param interface: :class:`~fescueyard.ingress.interface.Interface`.
    :param backend_handler: responds to requests of the backend server to
        this node; called with the process, the request and the time. None
        selects the project's own interface, which also accepts the backend
        server's calls.
    :param reload: function that reads the settings again; None when they
        can't be reloaded.
    """

    def __init__(
        self,
        settings,
        interface=None,
        backend_handler=None,
        reload=None,
    ):
        self.settings = settings
        self._load_settings = reload
        self.stopped = asyncio.get_running_loop().create_future()
        node_id = settings.node_id or "n"
        # A restarted process joins as a new member: it doesn't hold the
        # tokens, claims or leases of the old process.
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
        tables = self._tables
        tables.routed = settings.caller_interface == "routes"
        tables.members.decays_to_average = tables.routed
        tables.members.saves_cross_zone = zone_relays.is_scarce(
            settings.link_mbps
        )
        tables.interface = interface or ingress_interface.Interface()
        tables.service = settings.service
        tables.leave_notice_ms = settings.leave_notice_ms
        tables.confirms_announcements = not settings.first_start
        secret = conf_settings.read_secret(
            settings.cluster_secret,
            settings.cluster_secret_file,
            "cluster_secret",
        )
        self._stream_pool = streams.StreamPool(process_id, secret, self)
        self._datagram_socket = datagrams.DatagramSocket(secret, self)
        self._listeners = self._new_listeners(backend_handler)
        tables.runs.memory = self._listeners.guard.account
        self._backend_client = backend_client.BackendClient(
            BACKEND_CONNECTIONS_MAX,
            settings.answer_bytes_max,
            tables.interface.names,
            requires_echo=tables.routed,
            connection_lost=self._backend_connection_lost,
            memory=self._listeners.guard.account,
        )
        self._executor = execution.Executor(
            self._stream_pool,
            self._datagram_socket,
            self._backend_client,
            self._run_completed,
            self._probe_completed,
            self._health_completed,
        )
        self._shutting_down = False
        self._applied_version = -1
        self._discovery_attempts_left = discovery.ATTEMPTS_MAX
        self._timer = None
        self._tick_due_ms = 0.0

    async def start(self):
        """Open the listeners and start the tick timer."""
        settings = self.settings
        address = addresses.parse(settings.listen_address or settings.address)
        await self._stream_pool.listen(address)
        await self._datagram_socket.listen(address)
        await self._listeners.listen()
        LOG.info(
            "Node started.",
            node=self._tables.process_id,
            zone=settings.zone,
            callers=settings.caller_address,
        )
        self._tick()

    def stop(self):
        """Begin a planned stop; it completes when nothing is in flight."""
        if self._tables.draining:
            return
        LOG.info("Node is stopping.", calls=len(self._tables.calls.rows))
        systems.drain(self._tables, clock.now_ms())
        self._listeners.callers.close_after_responses()
        self._apply_effects()

    def reload(self):
        """Read the settings again and apply those that may change."""
        settings = reloading.load_changed(self._load_settings, self.settings)
        if settings is None:
            return
        self.settings = settings
        tables = self._tables
        tables.service = settings.service
        tables.seeds = settings.control_addresses
        tables.members.seeds = list(settings.control_addresses)
        tables.members.saves_cross_zone = zone_relays.is_scarce(
            settings.link_mbps
        )
        LOG.info(
            "reloaded",
            service=settings.service,
            control_addresses=settings.control_addresses,
        )

    def dump(self):
        """Render the measurements and tables of the node.

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
        """Handle a request of a caller or of the backend server."""
        self._executor.connections[exchange_id] = connection
        now_ms = clock.now_ms()
        if from_backend and request.target.startswith(backend_api.PREFIX):
            self._executor.respond(
                exchange_id, self._respond_to_api_request(request, now_ms)
            )
        else:
            ingress.accept(
                self._tables, exchange_id, request, from_backend, now_ms
            )
        self._process_pending(now_ms)

    def caller_left(self, exchange_id):
        """Cancel the call of a caller that has disconnected."""
        self._executor.connections.pop(exchange_id, None)
        now_ms = clock.now_ms()
        ingress.caller_left(self._tables, exchange_id, now_ms)
        self._process_pending(now_ms)

    def may_overlap(self, request):
        """Return whether a request may run beside others of its caller."""
        return overlap.may_overlap(self._tables, request)

    def check_head(self, head, from_backend):
        """Return the refusal of a request by its head, or None."""
        if from_backend and head.target.startswith(backend_api.PREFIX):
            return None
        return ingress.check_head(
            self._tables, head, from_backend, clock.now_ms()
        )

    def apply_announcement(self, announcement, now_ms):
        """Apply an announcement of the backend server.

        :param announcement:
            :class:`~fescueyard.admission.announcements.Announcement`.
        :param now_ms: the present time.
        """
        registration.apply_announcement(
            self._tables,
            announcement,
            self.settings.announcement_ttl_ms,
            now_ms,
        )
        if self._tables.runs.held_announcement is not None:
            self._query_backend_id()

    def backend_left(self, instance, now_ms):
        """Handle the backend server's message that it is leaving.

        :param instance: id of the backend server.
        :param now_ms: the present time.
        """
        registration.backend_left(
            self._tables, instance, now_ms, clock.unix_ms()
        )

    def _respond_to_backend(self, backend_handler, request, now_ms):
        response = backend_handler(self, request, now_ms)
        self._process_pending(now_ms)
        return response

    def _ready_response(self, request, now_ms):
        ready = systems.is_ready(self._tables)
        return http.HttpResponse(200 if ready else 503, [], b"")

    def _metrics_response(self, request, now_ms):
        if request.target.partition("?")[0] == explanation.PATH:
            return explanation.respond(self._tables, request, now_ms)
        return core_exposition.metrics_response(
            exposition.samples(self._tables, now_ms)
            + self._listeners.guard.samples()
        )

    # Callbacks of the streams and datagrams.

    def message_received(self, stream, message):
        """Handle a message from a stream."""
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
        except Exception as error:
            failures.contain(
                LOG,
                "message_failed",
                error,
                peer=stream.peer_id,
                message=type(message).__name__,
            )
            stream.close()
        self._process_pending(now_ms)

    def datagram_received(self, message):
        """Handle a datagram."""
        now_ms = clock.now_ms()
        sender = dispatch.Sender("", None)
        try:
            systems.receive(message, self._tables, sender, now_ms)
        except exceptions.StreamError as error:
            LOG.warning("Datagram refused.", detail=error.detail)
        except Exception as error:
            failures.contain(
                LOG, "message_failed", error, message=type(message).__name__
            )
        self._process_pending(now_ms)

    def message_sent(self, peer_id, message, payload_bytes):
        """Count a message sent on a stream."""
        traffic.record_sent(self._tables, peer_id, message, payload_bytes)

    def datagram_sent(self, address, message, payload_bytes):
        """Count a datagram."""
        peer_id = self._tables.members.by_address.get(address)
        traffic.record_sent(self._tables, peer_id, message, payload_bytes)

    def peer_identified(self, address, peer_id):
        """Record which process responds at an address."""
        membership.record_peer(
            self._tables, str(address), peer_id, clock.now_ms()
        )
        balancer.mark_reachable(self._tables, peer_id)

    def stream_lost(self, stream):
        """Handle the loss of a stream and what was in flight on it."""
        address = None if stream.address is None else str(stream.address)
        now_ms = clock.now_ms()
        systems.stream_lost(
            self._tables, stream.peer_id, address, stream, now_ms
        )
        self._apply_effects()

    def message_unsent(self, address, message):
        """Handle a message that was not sent, not even in part."""
        now_ms = clock.now_ms()
        dispatch.handle_unsent(message, self._tables, str(address), now_ms)
        self._process_pending(now_ms)

    def _respond_to_api_request(self, request, now_ms):
        path = request.target.partition("?")[0]
        tables = self._tables
        try:
            if path == "/-/announce" and request.method == "POST":
                announcement = backend_api.parse_announcement(request.body)
                registration.register_backend(
                    tables,
                    announcement.service,
                    announcement.address,
                    announcement.slots,
                    announcement.ttl_ms,
                    now_ms,
                )
            elif path == "/-/leave" and request.method == "POST":
                registration.drain_backend(tables, now_ms)
            elif path == "/-/dump" and request.method == "GET":
                return _json_response(self.dump().encode())
            elif path != "/-/status":
                raise exceptions.RequestError(f"no such resource: {path}")
        except exceptions.RequestError as error:
            return problems.problem_response(error.code, error.detail)
        return _json_response(backend_api.status_body(tables))

    def _tick(self):
        now_ms = clock.now_ms()
        self._timer = None
        systems.tick(self._tables, now_ms)
        self._apply_effects()
        loop = asyncio.get_running_loop()
        if self._may_stop(now_ms):
            self._shutting_down = True
            systems.announce_leave(self._tables, now_ms)
            self._apply_effects()
            self._listeners.stop_accepting()
            loop.call_later(LEAVE_FLUSH_S, self._shut_down)
            return
        self._schedule_tick(now_ms)

    def _may_stop(self, now_ms):
        """Return whether a planned stop is complete or has to end.

        What callers have not read yet would be lost with the process.
        """
        if self._stop_timed_out(now_ms):
            return True
        if not systems.may_stop(self._tables, now_ms):
            return False
        return not self._listeners.have_unsent_bytes()

    def _stop_timed_out(self, now_ms):
        """Return whether a planned stop has used up its time."""
        tables = self._tables
        if not tables.draining:
            return False
        spent_ms = now_ms - tables.draining_since_ms
        return spent_ms > self.settings.stop_timeout_ms - STOP_MARGIN_MS

    def _schedule_tick(self, now_ms):
        """Schedule the next tick; replace a timer that fires later."""
        if self._shutting_down:
            return
        if self._timer is not None and self._tick_due_ms <= (
            systems.earliest_due_ms(self._tables, now_ms)
        ):
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

    def _new_listeners(self, backend_handler):
        settings = self.settings
        backend_listener_handler = _ListenerHandler(self, from_backend=True)
        backend_body_bytes_max = settings.body_bytes_max
        if backend_handler is not None:
            backend_listener_handler = http_server.ImmediateHandler(
                functools.partial(self._respond_to_backend, backend_handler)
            )
            backend_body_bytes_max = listeners.BACKEND_BODY_BYTES_MAX
        handlers = listeners.Handlers(
            _ListenerHandler(self, from_backend=False),
            backend_listener_handler,
            http_server.ImmediateHandler(
                self._ready_response, needs_bodies=False
            ),
            http_server.ImmediateHandler(
                self._metrics_response, needs_bodies=False
            ),
        )
        return listeners.NodeListeners(
            settings, handlers, backend_body_bytes_max
        )

    def _shut_down(self):
        self._listeners.close_when_idle()
        self._stream_pool.close()
        self._datagram_socket.close()
        LOG.info("Node stopped.")
        self.stopped.set_result(None)

    def _apply_configuration(self):
        """Apply the listener limits of a new configuration version.

        Also requests the backend server's id while it is unknown.
        """
        state = self._tables.configuration.state
        self._applied_version = state.version
        self._query_backend_id()
        try:
            self._listeners.apply_limits(state)
        except Exception as error:
            failures.contain(
                LOG, "listener_limits_failed", error, version=state.version
            )

    def _process_pending(self, now_ms):
        tables = self._tables
        if tables.configuration.state.version != self._applied_version:
            self._apply_configuration()
        if tables.events:
            systems.handle_events(tables, now_ms)
        if tables.effects:
            self._apply_effects()
        self._schedule_tick(now_ms)

    def _apply_effects(self):
        while self._tables.effects:
            pending = self._tables.effects
            self._tables.effects = []
            self._executor.execute(pending)

    @_ends_process_on_error
    def _run_completed(self, run_id, result):
        now_ms = clock.now_ms()
        admission.finish_run(
            self._tables,
            run_id,
            result.response,
            result.code,
            now_ms,
            result.notice,
            result.connected_at_ms,
        )
        self._process_pending(now_ms)

    def _query_backend_id(self):
        """Request the backend server's id while it is unknown."""
        address = self.settings.server_address
        if address is None or self._discovery_attempts_left <= 0:
            return
        path = discovery.health_path(self._tables)
        if path is None:
            return
        self._discovery_attempts_left -= 1
        break_count = start_limits.record_health_request(
            self._tables, clock.now_ms()
        )
        request = http.HttpRequest("GET", path, [], b"")
        future = self._backend_client.fetch(f"http://{address}", request, True)
        future.add_done_callback(
            functools.partial(self._backend_id_received, break_count)
        )

    @_ends_process_on_error
    def _backend_id_received(self, break_count, future):
        now_ms = clock.now_ms()
        result = future.result()
        response = result.response
        address = self.settings.server_address
        announcement = discovery.announcement_from_response(
            self._tables, address, response, clock.unix_ms()
        )
        LOG.info(
            "backend_asked",
            status=None if response is None else response.status,
            instance=None if announcement is None else announcement.instance,
        )
        if announcement is not None and self._tables.runs.backend is None:
            registration.confirm_backend(
                self._tables,
                announcement,
                self.settings.announcement_ttl_ms,
                now_ms,
            )
        if result.notice is not None and self._tables.runs.backend is not None:
            registration.record_notice(
                self._tables, result.notice, now_ms, now_ms
            )
        start_limits.handle_health_response(
            self._tables, response, break_count, now_ms
        )
        self._process_pending(now_ms)

    @_ends_process_on_error
    def _health_completed(self, break_count, result):
        now_ms = clock.now_ms()
        start_limits.handle_health_response(
            self._tables, result.response, break_count, now_ms
        )
        self._process_pending(now_ms)

    @_ends_process_on_error
    def _backend_connection_lost(self):
        start_limits.record_break(
            self._tables, "connection_closed", clock.now_ms()
        )

    def _probe_completed(self, task):
        now_ms = clock.now_ms()
        accepted = not task.cancelled() and task.result()
        registration.handle_probe_result(self._tables, accepted, now_ms)
        self._process_pending(now_ms)


@dataclasses.dataclass
class _Dump:
    """Contents of a dump: measurements, then the tables."""

    latency: metrics.Summary
    counters: dict[str, int]
    tables: node_tables.NodeTables


async def start(settings, **options):
    """Start a node.

    :param settings: :class:`~fescueyard.conf.settings.NodeSettings`.
    :param options: see :class:`NodeProcess`.
    :returns: :class:`NodeProcess`.
    """
    process = NodeProcess(settings, **options)
    await process.start()
    return process


def _json_response(body):
    return http.HttpResponse(
        codes.OK.http_status,
        [http.Header("content-type", "application/json")],
        body,
    )
