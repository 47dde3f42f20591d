"""Nodes, control members and backend servers in simulated time.

The tables and systems are the production ones; only sockets, disks, clocks
and backend servers are replaced by small fakes. Runs with the same seed are
identical.
"""

import collections
import dataclasses
import functools
import heapq
import itertools
import random
import urllib.parse

from fescueyard.admission import announcements
from fescueyard.admission import registration
from fescueyard.admission import start_limits
from fescueyard.admission import systems as admission
from fescueyard.configuration import state as states
from fescueyard.control import submissions
from fescueyard.control import systems as control_systems
from fescueyard.control import tables as control_tables
from fescueyard.core import codes
from fescueyard.core import dispatch
from fescueyard.core import effects
from fescueyard.core import exceptions
from fescueyard.core import http
from fescueyard.core import notices
from fescueyard.core import wire
from fescueyard.ingress import systems as ingress
from fescueyard.node import systems as node_systems
from fescueyard.node import tables as node_tables
from fescueyard.routing import balancer
from fescueyard.routing import models as routing_models
from fescueyard.routing import traffic
from tests.control import harness

CONNECT_TIMEOUT_MS = 1_000
CONTROL_TICK_MS = 20
BACKEND_TTL_MS = 3_000
ZONES = ("zone-a", "zone-b", "zone-c")


@dataclasses.dataclass
class CallRecord:
    """A call and its response."""

    node_name: str
    request: http.HttpRequest
    started_at_ms: float
    ended_at_ms: float | None = None
    response: http.HttpResponse | None = None

    @property
    def code(self):
        """Number of the result code, or None before the response."""
        if self.response is None:
            return None
        return int(self.header("fescueyard-code"))

    def header(self, name):
        """Find a header of the response."""
        return http.find_header(self.response.headers, name)


@dataclasses.dataclass
class Run:
    """A request that a backend server received.

    :param has_slot: whether it has taken a slot; it waits for one before.
    :param exchange_id: id of its last downstream call; 0 before the first.
    """

    node_name: str
    request: http.HttpRequest
    received_at_ms: float
    ended_at_ms: float | None = None
    cancelled: bool = False
    has_slot: bool = False
    exchange_id: int = 0


class Stream:
    """One end of a fake stream, the handle for replies to its peer.

    :param owner: name of the process at this end.
    :param peer_name: name of the process at the other end.
    :param address: address that the owner connected to; None at the end that
        accepted the connection.
    """

    def __init__(self, owner, peer_name, address):
        self.owner = owner
        self.peer_name = peer_name
        self.address = address
        self.peer = None
        self.open = True
        self.last_arrival_ms = 0.0
        self.stalled = []


class Backend:
    """A fake backend server with a limited number of slots.

    :param service_ms: processing time of a request whose target names none.

    Tests set further attributes. ``slowdown`` multiplies the processing time;
    so does ``knee_slowdown`` while at least ``knee_share`` of the slots are in
    use. ``jitter`` is the largest random deviation of the processing time, as
    a share of it. ``spoiled_share`` is the share of its responses that it
    spoils after the run. ``attempts_max`` is the maximum number of attempts of
    a downstream call that fails with a status of 500 or above. ``cold_ms`` is
    the remaining time of its slow start, which only a server that announces
    itself with an id reports; None announces it without one. ``limit_per_s``
    is the limit that it names in its responses; ``leaving`` makes it say in
    them that it is leaving. With ``cold_start_ms`` it is cold for that long
    after each start and says so in its announcements, which arrive up to
    ``announcement_delay_ms`` late, and in its health responses.
    """

    def __init__(self, service, slots, service_ms=5.0):
        self.service = service
        self.slots = slots
        self.service_ms = service_ms
        self.slowdown = 1.0
        self.knee_share = 1.0
        self.knee_slowdown = 1.0
        self.attempts_max = 1
        self.spoiled_share = 0.0
        self.jitter = 0.0
        self.announces = True
        self.cold_ms = None
        self.limit_per_s = None
        self.leaving = False
        self.cold_start_ms = None
        self.cold_until_ms = 0.0
        self.announcement_delay_ms = 0.0
        self.born_ms = 1
        self.sequence = 0
        self.up = True
        self.running = 0
        self.waiting = []


class Node:
    """A node process and its backend server."""

    def __init__(self, name, tables, backend):
        self.name = name
        self.tables = tables
        self.backend = backend
        self.frozen = False
        self.inbox = []
        self.tick_due_ms = 0.0
        self.runs = {}


class World:
    """A simulated fleet with control members, on one simulated clock.

    :param seed: seed of all random draws.
    :param one_way_ms: one-way latency between zones.
    :param controls: number of control members.
    :param control_zones: zones of the control members; None when their
        member entries name none of the nodes' zones.
    :param saves_cross_zone: whether bytes between zones are expensive.

    ``sent`` counts messages and payload bytes by sender, message class and
    scope, without what control members send for the consensus protocol. Tests
    set ``datagram_loss``, the share of datagrams that are lost, and
    ``partitioned_pairs``, pairs of names of processes that can't reach each
    other.
    """

    def __init__(
        self,
        seed=1,
        one_way_ms=0.5,
        controls=1,
        control_zones=None,
        saves_cross_zone=False,
    ):
        self.saves_cross_zone = saves_cross_zone
        self.sent = collections.defaultdict(traffic.Sent)
        self.random = random.Random(seed)
        self.now_ms = 0.0
        self.one_way_ms = one_way_ms
        self.nodes = {}
        self.runs = []
        self.calls = {}
        self.isolated_zones = set()
        self.partitioned_pairs = set()
        self.dead = set()
        self.datagram_loss = 0.0
        self.bytes_sent = {}
        self.messages_sent = collections.Counter()
        zones = control_zones or ZONES
        self._zones = {
            f"m{index}": zones[index % len(zones)] for index in range(controls)
        }
        self.cluster = harness.Cluster(
            controls, seed, zones=control_zones and self._zones
        )
        for tables in self.cluster.tables.values():
            tables.members.saves_cross_zone = saves_cross_zone
        self.cluster.run(3_000)
        self.cluster.on_sent = self._count_control_message
        self._control_clock_offset_ms = self.cluster.now_ms
        self.cluster.on_external_effect = self._execute_control_effect
        self._heap = []
        self._sequence = itertools.count()
        self._exchange_ids = itertools.count(1)
        self._streams = {}
        self._version = 1
        self._schedule(0, self._tick_control)

    # Setup.

    def configure(self, kind, name, document):
        """Create or change an object directly on the control leader.

        :param document: JSON; empty to retire the object.
        """
        self._version += 1
        leader = self.cluster.tables[self.cluster.leader() or "m0"]
        change = states.Change(
            f"setup-{self._version}",
            "test",
            kind,
            name,
            leader.state.version_of(states.models.Kind(kind), name),
            document,
        )
        origin = control_tables.LocalOrigin(-self._version)
        submissions.submit_change(
            leader, change, origin, self._sync_control_clock()
        )
        self.cluster._process_pending(leader.consensus.member_id)

    def evacuate(self, zone, evacuated=True):
        """Start or end the evacuation of a zone.

        :returns: the operation, which later gets the result.
        """
        self._sync_control_clock()
        return self.cluster.evacuate(
            self.cluster.leader() or "m0", zone, evacuated
        )

    def add_node(
        self,
        name,
        zone,
        service="",
        slots=20,
        service_ms=5.0,
        routed=False,
    ):
        """Add a node and its backend server.

        :param service: service of the backend server; no server when empty.
        :param routed: match requests by the configured routes.
        :returns: :class:`Node`.
        """
        tables = node_tables.new_tables(
            name,
            zone,
            "region",
            f"{name}:1",
            [f"m{index}:1" for index in range(len(self.cluster.disks))],
            self.random.getrandbits(32),
            random.Random(self.random.getrandbits(32)),
            routing_models.NODE_ROLE,
        )
        tables.routed = routed
        tables.members.decays_to_average = routed
        tables.members.saves_cross_zone = self.saves_cross_zone
        tables.service = service if routed else ""
        backend = Backend(service, slots, service_ms) if service else None
        node = Node(name, tables, backend)
        self.nodes[name] = node
        self._zones[name] = zone
        self.dead.discard(name)
        self._schedule(0, lambda: self._tick_node(node))
        if backend is not None:
            self._schedule(1, lambda: self._announce(node))
        return node

    def zone_of(self, name):
        """Return the zone of a node or a control member."""
        return self._zones[name]

    # Faults.

    def kill(self, name):
        """Kill a node; its streams close and its memory is lost."""
        node = self.nodes.pop(name)
        self.dead.add(name)
        node.backend = None
        for stream in list(self._streams.values()):
            if name in (stream.owner, stream.peer_name) and stream.open:
                self._close_stream(stream)

    def freeze(self, name):
        """Suspend a node as SIGSTOP does."""
        self.nodes[name].frozen = True

    def thaw(self, name):
        """Resume a frozen node, which first handles its queued input."""
        node = self.nodes[name]
        node.frozen = False
        inbox, node.inbox = node.inbox, []
        for action in inbox:
            action()
        self._tick_node(node)

    def stop_backend(self, name):
        """End a backend server's process; its connections break."""
        node = self.nodes[name]
        node.backend.up = False
        self._crash(node)
        self._run_on(
            node,
            lambda: start_limits.record_break(
                node.tables, "connection_closed", self.now_ms
            ),
        )

    def start_backend(self, name):
        """Start the next process of a backend server, which is cold."""
        backend = self.nodes[name].backend
        backend.up = True
        backend.born_ms = int(self.now_ms) + 2
        backend.sequence = 0
        backend.cold_until_ms = self.now_ms + backend.cold_start_ms

    def isolate_zone(self, zone):
        """Partition a zone from the others."""
        self.isolated_zones.add(zone)
        members = list(self.cluster.disks)
        for member in members:
            for other in members:
                if self._is_partitioned(member, other):
                    self.cluster.blocked_links.add((member, other))

    def heal(self):
        """End all partitions; stalled messages of streams are sent then."""
        self.isolated_zones.clear()
        self.partitioned_pairs.clear()
        self.cluster.blocked_links.clear()
        for stream in list(self._streams.values()):
            stalled, stream.stalled = stream.stalled, []
            for message in stalled:
                self._transmit(stream, message)

    # Running.

    def run(self, duration_ms):
        """Advance simulated time."""
        end_ms = self.now_ms + duration_ms
        while self._heap and self._heap[0][0] <= end_ms:
            self.now_ms, _, action = heapq.heappop(self._heap)
            action()
        self.now_ms = end_ms

    def call(self, name, target, key="", method="GET", body=b"", **headers):
        """Send a request to a node as a caller.

        :param headers: further headers; underscores stand for hyphens.
        :returns: :class:`CallRecord`, which later gets the response.
        """
        header_list = [
            http.Header(header.replace("_", "-"), value)
            for header, value in headers.items()
        ]
        if key:
            header_list.append(http.Header("authorization", f"Bearer {key}"))
        request = http.HttpRequest(method, target, header_list, body)
        call = CallRecord(name, request, self.now_ms)
        node = self.nodes.get(name)
        if node is not None:
            self._submit(
                node, request, False, functools.partial(_record_response, call)
            )
        return call

    def cancel_call(self, call):
        """Cancel a call, as a caller does by disconnecting."""
        node = self.nodes[call.node_name]
        for exchange_id, (_, on_response) in list(self.calls.items()):
            if getattr(on_response, "args", (None,))[0] is call:
                del self.calls[exchange_id]
                ingress.caller_left(node.tables, exchange_id, self.now_ms)
                self._settle(node)

    def call_later(self, delay_ms, action):
        """Schedule an action after a delay."""
        self._schedule(delay_ms, action)

    # Nodes.

    def _cancel_downstream_call(self, node, run):
        """Cancel the downstream call that an aborted run waits for."""
        if run.exchange_id in self.calls:
            del self.calls[run.exchange_id]
            self._schedule(
                0.1,
                lambda: self._run_on(
                    node,
                    lambda: ingress.caller_left(
                        node.tables, run.exchange_id, self.now_ms
                    ),
                ),
            )

    def _submit(self, node, request, from_backend, on_response):
        exchange_id = next(self._exchange_ids)
        self.calls[exchange_id] = (node, on_response)

        def accept():
            ingress.accept(
                node.tables, exchange_id, request, from_backend, self.now_ms
            )
            self._settle(node)

        self._run_on(node, accept)
        return exchange_id

    def _run_on(self, node, action):
        """Run an action on a node, or queue it while the node is frozen."""
        if self.nodes.get(node.name) is not node:
            return
        if node.frozen:
            node.inbox.append(action)
        else:
            action()

    def _tick_node(self, node):
        if self.nodes.get(node.name) is not node or node.frozen:
            return
        node_systems.tick(node.tables, self.now_ms)
        self._settle(node)
        due_ms = node_systems.next_due_ms(node.tables, self.now_ms)
        delay_ms = max(1.0, due_ms - self.now_ms)
        node.tick_due_ms = self.now_ms + delay_ms
        self._schedule(delay_ms, lambda: self._tick_if_due(node))

    def _tick_if_due(self, node):
        if self.now_ms >= node.tick_due_ms:
            self._tick_node(node)

    def _settle(self, node):
        """Handle a node's events and execute their effects."""
        node_systems.handle_events(node.tables, self.now_ms)
        while node.tables.effects:
            pending, node.tables.effects = node.tables.effects, []
            for effect in pending:
                self._execute_effect(node, effect)

    def _execute_effect(self, node, effect):
        if isinstance(effect, effects.SendMessage):
            self._send_message(node.name, effect.address, effect.message)
        elif isinstance(effect, effects.SendReply):
            if effect.stream is not None:
                self._transmit(effect.stream, effect.message)
        elif isinstance(effect, effects.SendDatagram):
            self._send_datagram(node.name, effect.address, effect.message)
        elif isinstance(effect, effects.RespondToCaller):
            _, on_response = self.calls.pop(effect.exchange_id, (None, None))
            if on_response is not None:
                on_response(effect.response, self.now_ms)
        elif isinstance(effect, effects.Dial):
            self._dial(node, effect.address)
        elif isinstance(effect, effects.StartRun):
            self._start_run(node, effect)
        elif isinstance(effect, effects.QueryHealth):
            self._respond_to_health(node, effect)
        elif isinstance(effect, effects.AbortRun):
            run = node.runs.pop(effect.run_id, None)
            if run is not None:
                run.cancelled = True
                if run.has_slot:
                    self._free_slot(node)
                self._cancel_downstream_call(node, run)
        elif isinstance(effect, effects.DropStream):
            stream = self._streams.get((node.name, effect.address))
            if stream is not None:
                self._close_stream(stream)

    # Backend servers.

    def _announce(self, node):
        if self.nodes.get(node.name) is not node or node.backend is None:
            return
        backend = node.backend
        if backend.up and backend.announces and backend.cold_start_ms is None:
            self._run_on(node, lambda: self._receive_announcement(node))
            self._settle(node)
        elif backend.up and backend.announces:
            self._announce_late(node)
        self._schedule(BACKEND_TTL_MS / 3, lambda: self._announce(node))

    def _announce_late(self, node):
        """Send an announcement that says how long the server remains cold."""
        backend = node.backend
        backend.sequence += 1
        announcement = announcements.Announcement(
            f"i-{node.name}",
            backend.service,
            "127.0.0.1:1",
            backend.slots,
            backend.born_ms,
            backend.sequence,
            False,
            max(0.0, backend.cold_until_ms - self.now_ms),
        )

        def receive(receiver):
            registration.apply_announcement(
                receiver.tables, announcement, 2 * BACKEND_TTL_MS, self.now_ms
            )
            self._settle(receiver)

        def arrive():
            # The node may have been restarted since it was sent.
            receiver = self.nodes.get(node.name)
            if receiver is not None:
                self._run_on(receiver, lambda: receive(receiver))

        delay_ms = self.random.uniform(0, backend.announcement_delay_ms)
        self._schedule(delay_ms, arrive)

    def _respond_to_health(self, node, effect):
        backend = node.backend
        response = None
        if backend is not None and backend.up:
            request = http.HttpRequest("GET", effect.path, [], b"")
            self.runs.append(Run(node.name, request, self.now_ms))
            left_ms = max(0.0, backend.cold_until_ms - self.now_ms)
            name = node.tables.interface.names.cold_ms
            headers = [http.Header(name, f"{left_ms:.1f}")]
            response = http.HttpResponse(200, headers, b"")

        def receive():
            start_limits.handle_health_response(
                node.tables, response, effect.break_count, self.now_ms
            )
            self._settle(node)

        self._schedule(0.5, lambda: self._run_on(node, receive))

    def _receive_announcement(self, node):
        backend = node.backend
        if backend.cold_ms is None:
            registration.register_backend(
                node.tables,
                backend.service,
                "127.0.0.1:1",
                backend.slots,
                BACKEND_TTL_MS,
                self.now_ms,
            )
            return
        backend.sequence += 1
        announcement = announcements.Announcement(
            f"i-{node.name}",
            backend.service,
            "127.0.0.1:1",
            backend.slots,
            1,
            backend.sequence,
            False,
            backend.cold_ms,
        )
        registration.apply_announcement(
            node.tables, announcement, BACKEND_TTL_MS, self.now_ms
        )

    def _start_run(self, node, effect):
        backend = node.backend
        if backend is None or not backend.up:
            self._report_run_end(
                node, effect.run_id, None, codes.CONNECT_FAILED
            )
            return
        run = Run(node.name, effect.request, self.now_ms)
        self.runs.append(run)
        node.runs[effect.run_id] = run
        if backend.running >= backend.slots:
            backend.waiting.append((effect.run_id, run))
            return
        backend.running += 1
        self._process_request(node, effect.run_id, run)

    def _process_request(self, node, run_id, run):
        run.has_slot = True
        split = urllib.parse.urlsplit(run.request.target)
        query = dict(urllib.parse.parse_qsl(split.query))
        backend = node.backend
        if split.path == "/crash":
            self._crash(node)
            return
        if split.path == "/drop":
            del node.runs[run_id]
            self._free_slot(node)
            self._report_run_end(node, run_id, None, codes.SHORT_ANSWER)
            return
        delay_ms = float(query.get("ms", backend.service_ms))
        delay_ms *= backend.slowdown
        if backend.running >= backend.knee_share * backend.slots:
            delay_ms *= backend.knee_slowdown
        if backend.jitter:
            delay_ms *= self.random.uniform(
                1 - backend.jitter, 1 + backend.jitter
            )
        if split.path.startswith("/call/"):
            target = split.path[len("/call") :]
            if split.query:
                target += "?" + split.query
            self._schedule(
                delay_ms,
                lambda: self._call_downstream(
                    node, run_id, run, target, int(query.get("times", "1"))
                ),
            )
            return
        status = int(query.get("status", "200"))
        response = http.HttpResponse(
            status, [], query.get("body", "").encode()
        )
        self._schedule(
            delay_ms, lambda: self._finish_run(node, run_id, run, response)
        )

    def _call_downstream(self, node, run_id, run, target, times=1):
        if run.cancelled or self.nodes.get(node.name) is not node:
            return
        headers = [
            header
            for header in run.request.headers
            if header.name in ("fescueyard-token", "idempotency-key", "host")
        ]
        downstream_request = http.HttpRequest(
            run.request.method, target, headers, b""
        )

        attempts_left = [node.backend.attempts_max - 1]

        def on_response(response, at_ms):
            if response.status >= 500 and attempts_left[0] > 0:
                attempts_left[0] -= 1
                run.exchange_id = self._submit(
                    node, downstream_request, True, on_response
                )
                return
            if response.status < 400 and times > 1:
                self._call_downstream(node, run_id, run, target, times - 1)
                return
            self._finish_run(
                node,
                run_id,
                run,
                http.HttpResponse(response.status, [], response.body),
            )

        run.exchange_id = self._submit(
            node, downstream_request, True, on_response
        )

    def _finish_run(self, node, run_id, run, response):
        if run.cancelled or node.runs.get(run_id) is not run:
            return
        run.ended_at_ms = self.now_ms
        del node.runs[run_id]
        self._free_slot(node)
        backend = node.backend
        spoiled_share = 0.0 if backend is None else backend.spoiled_share
        if spoiled_share and self.random.random() < spoiled_share:
            self._report_run_end(node, run_id, None, codes.SHORT_ANSWER)
            return
        headers = list(response.headers)
        if backend is not None and backend.limit_per_s is not None:
            limit_text = str(backend.limit_per_s)
            headers.append(http.Header("server-limit", limit_text))
        if backend is not None and backend.leaving:
            headers.append(http.Header("server-leaving", "1"))
        response = dataclasses.replace(response, headers=headers)
        self._report_run_end(node, run_id, response, codes.OK)

    def _free_slot(self, node):
        """Free a slot of a backend server and start the next request."""
        backend = node.backend
        if backend is None:
            return
        backend.running -= 1
        while backend.waiting:
            run_id, run = backend.waiting.pop(0)
            if not run.cancelled:
                backend.running += 1
                self._process_request(node, run_id, run)
                return

    def _crash(self, node):
        run_ids = list(node.runs)
        node.runs.clear()
        node.backend.running = 0
        node.backend.waiting.clear()
        for run_id in run_ids:
            self._report_run_end(node, run_id, None, codes.BACKEND_FAILED)

    def _report_run_end(self, node, run_id, response, code):
        connected_at_ms = None
        if response is not None and node.backend is not None:
            # The oldest connection that the process can have.
            connected_at_ms = float(node.backend.born_ms)

        def report():
            notice = None
            if response is not None:
                names = node.tables.interface.names
                notice = notices.parse(response.headers, names)
            admission.finish_run(
                node.tables,
                run_id,
                response,
                code,
                self.now_ms,
                notice,
                connected_at_ms,
            )
            self._settle(node)

        self._run_on(node, report)

    # The network.

    def _delay_ms(self, source, target):
        if source == target:
            return 0.01
        same_zone = self._zones.get(source) == self._zones.get(target)
        base_ms = 0.1 if same_zone else self.one_way_ms
        return base_ms * self.random.uniform(1.0, 1.4)

    def _is_partitioned(self, source, target):
        if (source, target) in self.partitioned_pairs:
            return True
        if (target, source) in self.partitioned_pairs:
            return True
        zones = (self._zones.get(source), self._zones.get(target))
        return zones[0] != zones[1] and bool(self.isolated_zones & set(zones))

    def _send_message(self, source, address, message):
        target = address.partition(":")[0]
        stream = self._streams.get((source, address))
        if stream is None or not stream.open:
            if not self._is_up(target):
                self._schedule(
                    1, lambda: self._report_unsent(source, address, message)
                )
                return
            if self._is_partitioned(source, target):
                self._schedule(
                    CONNECT_TIMEOUT_MS,
                    lambda: self._report_unsent(source, address, message),
                )
                return
            stream = self._connect(source, target, address)
        self._transmit(stream, message)

    def _dial(self, node, address):
        target = address.partition(":")[0]
        if self._is_up(target) and not self._is_partitioned(node.name, target):
            balancer.mark_reachable(node.tables, target)

    def _connect(self, source, target, address):
        stream = Stream(source, target, address)
        stream.peer = Stream(target, source, None)
        stream.peer.peer = stream
        self._streams[source, address] = stream
        self._streams[target, id(stream.peer)] = stream.peer
        return stream

    def _transmit(self, stream, message):
        if not stream.open:
            return
        if self._is_partitioned(stream.owner, stream.peer_name):
            stream.stalled.append(message)
            return
        payload = wire.encode(message)
        self._count_sent(
            stream.owner, stream.peer_name, message, len(payload), 20
        )
        delay_ms = self._delay_ms(stream.owner, stream.peer_name)
        at_ms = max(self.now_ms + delay_ms, stream.last_arrival_ms)
        stream.last_arrival_ms = at_ms
        receiving_end = stream.peer
        self._schedule(
            at_ms - self.now_ms,
            lambda: self._deliver(receiving_end, payload, message),
        )

    def _deliver(self, stream, payload, message):
        if not stream.open:
            return
        if self._is_partitioned(stream.owner, stream.peer_name):
            stream.peer.stalled.append(message)
            return
        if stream.owner in self.cluster.disks:
            self._deliver_to_control(
                stream.owner, stream.peer_name, stream, wire.decode(payload)
            )
            return
        node = self.nodes.get(stream.owner)
        if node is None:
            return
        sender = dispatch.Sender(stream.peer_name, stream)

        def receive():
            node_systems.receive(
                wire.decode(payload), node.tables, sender, self.now_ms
            )
            self._settle(node)

        self._run_on(node, receive)

    def _report_unsent(self, source, address, message):
        node = self.nodes.get(source)
        if node is not None:
            dispatch.handle_unsent(message, node.tables, address, self.now_ms)
            self._settle(node)

    def _close_stream(self, stream):
        for end in (stream, stream.peer):
            if not end.open:
                continue
            end.open = False
            key = end.address if end.address is not None else id(end)
            self._streams.pop((end.owner, key), None)
            node = self.nodes.get(end.owner)
            if node is not None:
                self._schedule(
                    0.1, functools.partial(self._report_stream_lost, node, end)
                )

    def _report_stream_lost(self, node, end):
        def report():
            node_systems.stream_lost(
                node.tables, end.peer_name, end.address, end, self.now_ms
            )
            self._settle(node)

        self._run_on(node, report)

    def _send_datagram(self, source, address, message):
        target = address.partition(":")[0]
        payload = wire.encode(message)
        self._count_sent(source, target, message, len(payload), 44)
        if self._is_partitioned(source, target) or (
            self.random.random() < self.datagram_loss
        ):
            return
        self._schedule(
            self._delay_ms(source, target),
            lambda: self._deliver_datagram(target, payload),
        )

    def _deliver_datagram(self, target, payload):
        if target in self.cluster.disks:
            self._deliver_to_control(target, "", None, wire.decode(payload))
            return
        node = self.nodes.get(target)
        if node is None or node.frozen:
            return
        try:
            node_systems.receive(
                wire.decode(payload),
                node.tables,
                dispatch.Sender("", None),
                self.now_ms,
            )
        except exceptions.StreamError:
            return
        self._settle(node)

    def _count_sent(self, source, target, message, payload_bytes, overhead):
        count = payload_bytes + overhead
        self.bytes_sent[source] = self.bytes_sent.get(source, 0) + count
        self.messages_sent[type(message)] += 1
        scope = traffic.OTHER_ZONE
        if self._zones.get(source) == self._zones.get(target):
            scope = traffic.OWN_ZONE
        row = self.sent[source, type(message).__name__, scope]
        row.messages += 1
        row.payload_bytes += payload_bytes

    def _count_control_message(self, source, target, message):
        payload = wire.encode(message)
        self._count_sent(source, target, message, len(payload), 20)

    def _is_up(self, target):
        return target in self.nodes or target in self.cluster.tables

    def _schedule(self, delay_ms, action):
        heapq.heappush(
            self._heap,
            (self.now_ms + delay_ms, next(self._sequence), action),
        )

    # Control members.

    def _sync_control_clock(self):
        self.cluster.now_ms = self.now_ms + self._control_clock_offset_ms
        return self.cluster.now_ms

    def _tick_control(self):
        self._sync_control_clock()
        self.cluster.step()
        self._schedule(CONTROL_TICK_MS, self._tick_control)

    def _deliver_to_control(self, member_id, peer_name, stream, message):
        tables = self.cluster.tables.get(member_id)
        if tables is None or member_id in self.cluster.frozen:
            return
        control_systems.receive(
            message, tables, peer_name, stream, self._sync_control_clock()
        )
        self.cluster._process_pending(member_id)

    def _execute_control_effect(self, member_id, effect):
        if isinstance(effect, effects.SendReply):
            if effect.stream is not None:
                self._transmit(effect.stream, effect.message)
        elif isinstance(effect, effects.SendDatagram):
            self._send_datagram(member_id, effect.address, effect.message)
        elif isinstance(effect, effects.SendMessage):
            self._send_message(member_id, effect.address, effect.message)


def _record_response(call, response, at_ms):
    call.response = response
    call.ended_at_ms = at_ms
