"""The control process: connects its tables to sockets, disk and clock."""

import asyncio
import secrets

from fescueyard.conf import reloading
from fescueyard.conf import settings as conf_settings
from fescueyard.configuration import state as states
from fescueyard.consensus import elections
from fescueyard.consensus import log
from fescueyard.consensus import models as consensus_models
from fescueyard.control import admin
from fescueyard.control import bootstrap
from fescueyard.control import evacuations
from fescueyard.control import exposition
from fescueyard.control import listeners
from fescueyard.control import storage as storages
from fescueyard.control import submissions
from fescueyard.control import systems
from fescueyard.control import tables as control_tables
from fescueyard.core import addresses
from fescueyard.core import clock
from fescueyard.core import codes
from fescueyard.core import dumps
from fescueyard.core import effects
from fescueyard.core import exceptions
from fescueyard.core import exposition as core_exposition
from fescueyard.core import failures
from fescueyard.core import logs
from fescueyard.core import operators
from fescueyard.routing import membership
from fescueyard.routing import traffic
from fescueyard.routing import zone_relays
from fescueyard.transport import datagrams
from fescueyard.transport import http_server
from fescueyard.transport import streams

LOG = logs.ComponentLogger("control")

TICK_S = 0.04
STOP_TIMEOUT_S = 5.0
STORAGE_RETRY_S = 0.5
# Reads that wait until the state has every change accepted before them.
_FRESH_READS = (
    admin.ReadObjects,
    admin.ReadDocument,
    evacuations.ReadEvacuations,
)


class ControlProcess:
    """One control VM's process.

    :param settings: :class:`~fescueyard.conf.settings.ControlSettings`.
    :param storage: the open data folder.
    :param stored: its contents, a
        :class:`~fescueyard.control.storage.StoredState`.
    :param interface: object that parses operators' requests and builds the
        responses, such as the module :mod:`fescueyard.control.admin`.
    :param reload: function that reads the settings again; None when they
        can't be reloaded.
    """

    def __init__(
        self, settings, storage, stored, interface=admin, reload=None
    ):
        self.settings = settings
        self._load_settings = reload
        self._interface = interface
        loop = asyncio.get_running_loop()
        self.stopped = loop.create_future()
        self._storage = storage
        self._operators = []
        if settings.operators_file:
            self._operators = operators.load(settings.operators_file)
        own_member = consensus_models.Member(
            stored.member_id,
            settings.address,
            settings.admin_address,
            settings.zone,
            voter=False,
        )
        self._tables = control_tables.new_tables(
            stored,
            own_member,
            settings.region,
            settings.control_addresses,
            secrets.randbits(64),
            clock.now_ms(),
            control_tables.ControlPolicy(
                settings.repairs_members, settings.keeps_claims
            ),
            settings.voters_max,
        )
        self._tables.members.saves_cross_zone = zone_relays.is_scarce(
            settings.link_mbps
        )
        self._tables.zones = settings.zones
        self._tables.fleet_grantor.configured_zones = settings.zones
        secret = conf_settings.read_secret(
            settings.cluster_secret,
            settings.cluster_secret_file,
            "cluster_secret",
        )
        self._datagram_socket = datagrams.DatagramSocket(secret, self)
        self._stream_pool = streams.StreamPool(stored.member_id, secret, self)
        self._listeners = listeners.ControlListeners(
            settings,
            self,
            http_server.ImmediateHandler(
                self._metrics_response, needs_bodies=False
            ),
        )
        self._commands = {}
        self._connections = {}
        self._peer_streams = {}
        self._role = None
        self._stopping_since_ms = None

    async def start(self):
        """Open the listening sockets and start the periodic tick."""
        address = addresses.parse(
            self.settings.listen_address or self.settings.address
        )
        await self._stream_pool.listen(address)
        await self._datagram_socket.listen(address)
        await self._listeners.listen()
        LOG.info(
            "Control started.",
            member=self._tables.consensus.member_id,
            zone=self.settings.zone,
            version=self._tables.state.version,
        )
        self._tick()

    def stop(self):
        """Transfer the leadership, respond to open requests, then stop."""
        if self._stopping_since_ms is not None:
            return
        now_ms = clock.now_ms()
        self._stopping_since_ms = now_ms
        LOG.info("Control is stopping.")
        elections.transfer_leadership(self._tables.consensus, now_ms)
        self._process_pending(now_ms)

    def reload(self):
        """Read the settings again and apply those that can change."""
        settings = reloading.load_changed(self._load_settings, self.settings)
        if settings is None:
            return
        self.settings = settings
        self._tables.control_addresses = settings.control_addresses
        self._tables.zones = settings.zones
        self._tables.fleet_grantor.configured_zones = settings.zones
        self._tables.members.seeds = list(settings.control_addresses)
        self._tables.members.saves_cross_zone = zone_relays.is_scarce(
            settings.link_mbps
        )
        LOG.info("reloaded", control_addresses=settings.control_addresses)

    def dump(self):
        """Render the process's tables as JSON.

        :returns: JSON text.
        """
        return dumps.render(self._tables)

    # Callbacks of the streams.

    def message_received(self, stream, message):
        """Handle a message from another process."""
        self._peer_streams[stream.peer_id] = stream
        if not self._receive(message, stream.peer_id, stream):
            stream.close()

    def datagram_received(self, message):
        """Handle a datagram."""
        self._receive(message, "", None)

    def message_sent(self, peer_id, message, payload_bytes):
        """Count a message sent on a stream."""
        traffic.record_sent(self._tables, peer_id, message, payload_bytes)

    def datagram_sent(self, address, message, payload_bytes):
        """Count a datagram."""
        peer_id = self._tables.members.by_address.get(address)
        traffic.record_sent(self._tables, peer_id, message, payload_bytes)

    def peer_identified(self, address, peer_id):
        """Record which process listens at an address."""
        membership.record_peer(
            self._tables, str(address), peer_id, clock.now_ms()
        )

    def stream_lost(self, stream):
        """Forget a stream; it is reconnected on demand."""
        if self._peer_streams.get(stream.peer_id) is stream:
            del self._peer_streams[stream.peer_id]

    def message_unsent(self, address, message):
        """Do nothing; every message is sent again or times out."""

    # Callbacks of the administration API.

    def request_received(self, exchange_id, request, connection):
        """Handle an operator's request."""
        self._connections[exchange_id] = connection
        now_ms = clock.now_ms()
        try:
            command = self._interface.parse(request, self._operators)
        except exceptions.FescueyardError as error:
            LOG.info(
                "order_refused",
                order=exchange_id,
                target=request.target,
                code=error.code.number,
                detail=error.detail,
            )
            response = self._interface.error_response(error.code, error.detail)
            self._respond(exchange_id, response)
            return
        LOG.info("order", order=exchange_id, kind=type(command).__name__)
        self._commands[exchange_id] = command
        origin = control_tables.LocalOrigin(exchange_id)
        if isinstance(command, admin.ChangeObject):
            submissions.submit_change(
                self._tables, command.change, origin, now_ms
            )
        elif isinstance(command, admin.ApplyDocument):
            submissions.submit_document(
                self._tables, command.change, origin, now_ms
            )
        elif isinstance(command, admin.ChangeMember):
            submissions.submit_members_change(
                self._tables, command.member_id, command.add, origin, now_ms
            )
        elif isinstance(command, evacuations.ChangeEvacuation):
            evacuations.submit(self._tables, command, origin, now_ms)
        elif isinstance(command, _FRESH_READS):
            systems.submit_read(self._tables, exchange_id, now_ms)
        else:
            self._respond(
                exchange_id, self._local_read_response(command, now_ms)
            )
        self._process_pending(now_ms)

    def check_head(self, head):
        """Return the refusal of an operator's request by its head, or None."""
        try:
            self._interface.check_head(head, self._operators)
        except exceptions.FescueyardError as error:
            LOG.info(
                "order_refused",
                order=0,
                target=head.target,
                code=error.code.number,
                detail=error.detail,
            )
            return self._interface.error_response(error.code, error.detail)
        return None

    def caller_left(self, exchange_id):
        """Forget an operator who disconnected; the change continues."""
        self._connections.pop(exchange_id, None)
        self._commands.pop(exchange_id, None)

    def may_overlap(self, request):
        """Return whether an operator's request changes nothing."""
        return request.method == "GET"

    def _metrics_response(self, request, now_ms):
        return core_exposition.metrics_response(
            exposition.samples(self._tables, now_ms)
            + self._listeners.guard.samples()
        )

    def _receive(self, message, peer_id, stream):
        now_ms = clock.now_ms()
        try:
            systems.receive(message, self._tables, peer_id, stream, now_ms)
        except exceptions.StreamError as error:
            LOG.warning(
                "Message refused.",
                peer=peer_id,
                code=error.code.number,
                detail=error.detail,
            )
            return False
        except Exception as error:
            failures.contain(
                LOG,
                "message_failed",
                error,
                peer=peer_id,
                message=type(message).__name__,
            )
            return False
        self._process_pending(now_ms)
        return True

    def _respond(self, exchange_id, response):
        connection = self._connections.pop(exchange_id, None)
        self._commands.pop(exchange_id, None)
        if connection is not None:
            connection.respond(exchange_id, response)

    def _local_read_response(self, command, now_ms):
        tables = self._tables
        if isinstance(command, admin.ReadDump):
            return admin.json_response(200, {"dump": self.dump()})
        consensus_table = tables.consensus
        if isinstance(command, admin.ReadMembers):
            members = [
                _member_json(member) for member in consensus_table.members
            ]
            applicants = [
                _member_json(applicant.member)
                for applicant in tables.applicants.values()
            ]
            return admin.json_response(
                200, {"members": members, "applicants": applicants}
            )
        age_ms = systems.state_age_ms(tables, now_ms)
        return admin.json_response(
            200,
            {
                "member_id": consensus_table.member_id,
                "role": consensus_table.role.value,
                "leader_id": consensus_table.leader_id,
                "term": consensus_table.vote.term,
                "version": tables.state.version,
                "age_ms": age_ms if age_ms < 1e12 else None,
                "evacuated_zones": states.evacuated_zones(tables.state),
                "streams": self._stream_pool.stream_count(),
            },
        )

    def _tick(self):
        now_ms = clock.now_ms()
        systems.tick(self._tables, now_ms)
        self._process_pending(now_ms)
        self._log_role()
        if self._can_stop(now_ms):
            self._shut_down()
            return
        asyncio.get_running_loop().call_later(TICK_S, self._tick)

    def _process_pending(self, now_ms):
        """Save and apply until nothing is unsaved, then send.

        The event loop blocks on the disk on purpose: a member whose disk
        hangs must not keep its leadership by heartbeats alone.
        """
        try:
            systems.save_and_apply(self._tables, self._storage.save, now_ms)
        except Exception as error:
            failures.end_process(error, "save_and_apply")
        self._send_outbox()
        self._send_effects()
        self._deliver_outcomes()

    def _send_outbox(self):
        consensus_table = self._tables.consensus
        outbox = consensus_table.outbox
        consensus_table.outbox = []
        for outgoing in outbox:
            try:
                self._send_to_member(outgoing)
            except Exception as error:
                failures.contain(
                    LOG, "message_failed", error, member=outgoing.member_id
                )

    def _send_to_member(self, outgoing):
        member = log.find_member(self._tables.consensus, outgoing.member_id)
        if member is not None:
            address = addresses.parse(member.address)
            self._stream_pool.send(address, outgoing.message)
            return
        # A member that has not caught up does not know the addresses of
        # the others yet; it responds on the stream of the request.
        stream = self._peer_streams.get(outgoing.member_id)
        if stream is not None and stream.ready:
            stream.send(outgoing.message)

    def _send_effects(self):
        pending_effects = self._tables.effects
        self._tables.effects = []
        for effect in pending_effects:
            try:
                self._send_effect(effect)
            except Exception as error:
                failures.contain(
                    LOG, "effect_failed", error, effect=type(effect).__name__
                )

    def _send_effect(self, effect):
        if isinstance(effect, effects.SendMessage):
            address = addresses.parse(effect.address)
            self._stream_pool.send(address, effect.message)
        elif isinstance(effect, effects.SendDatagram):
            self._datagram_socket.send(effect.address, effect.message)
        elif effect.stream is not None and effect.stream.ready:
            effect.stream.send(effect.message)

    def _deliver_outcomes(self):
        outcomes = self._tables.outcomes
        self._tables.outcomes = []
        for outcome in outcomes:
            try:
                self._deliver_outcome(outcome)
            except Exception as error:
                failures.contain(
                    LOG, "order_failed", error, order=outcome.exchange_id
                )
                self._respond(
                    outcome.exchange_id,
                    self._interface.error_response(codes.INTERNAL_ERROR),
                )

    def _deliver_outcome(self, outcome):
        response = self._outcome_response(outcome)
        if response is None:
            return
        LOG.info(
            "order_answered",
            order=outcome.exchange_id,
            status=response.status,
            in_force=self._tables.state.applied_document.number,
            evacuated=states.evacuated_zones(self._tables.state),
            age_ms=_round_finite(
                systems.state_age_ms(self._tables, clock.now_ms())
            ),
        )
        self._respond(outcome.exchange_id, response)

    def _outcome_response(self, outcome):
        if isinstance(outcome, control_tables.ChangeCompleted):
            return self._interface.change_response(outcome.result)
        if not outcome.fresh:
            return self._interface.error_response(codes.NO_LEADER)
        command = self._commands.get(outcome.exchange_id)
        if command is None:
            return None
        if isinstance(command, admin.ReadDocument):
            return self._interface.document_response(self._tables.state)
        if isinstance(command, evacuations.ReadEvacuations):
            return admin.json_response(
                200, evacuations.listing(self._tables.state)
            )
        return admin.objects_response(self._tables.state, command)

    def _log_role(self):
        role = self._tables.consensus.role
        if role is not self._role:
            self._role = role
            LOG.info(
                "Role changed.",
                role=role.value,
                term=self._tables.consensus.vote.term,
            )

    def _can_stop(self, now_ms):
        if self._stopping_since_ms is None:
            return False
        waited_ms = now_ms - self._stopping_since_ms
        if waited_ms > STOP_TIMEOUT_S * 1000:
            return True
        is_leader = self._tables.consensus.role is consensus_models.Role.LEADER
        is_only_member = len(self._tables.consensus.members) == 1
        return not self._connections and (is_only_member or not is_leader)

    def _shut_down(self):
        self._listeners.close_when_idle()
        self._stream_pool.close()
        self._datagram_socket.close()
        self._storage.close()
        LOG.info("Control stopped.")
        self.stopped.set_result(None)


async def start(settings, interface=admin, reload=None):
    """Open the data folder and start a control process.

    A new data folder is initialised first if the settings say to bootstrap a
    cluster or to join one. While the disk refuses writes, the start waits.

    :param settings: :class:`~fescueyard.conf.settings.ControlSettings`.
    :param interface: see :class:`ControlProcess`.
    :param reload: see :class:`ControlProcess`.
    :returns: :class:`ControlProcess`.
    :raises StorageError: when the data folder is uninitialised, in use or
        corrupt.
    """
    while True:
        try:
            storage, stored = _open_storage(settings)
            break
        except OSError as error:
            LOG.error("storage_unusable", error=str(error))
            await asyncio.sleep(STORAGE_RETRY_S)
    process = ControlProcess(settings, storage, stored, interface, reload)
    await process.start()
    return process


def _open_storage(settings):
    """Open the data folder; initialise a new one if the settings say so.

    :returns: the storage and its contents.
    """
    storage = storages.Storage(settings.data_folder)
    try:
        if storage.is_new() and settings.address in settings.founders:
            bootstrap.bootstrap_cluster(storage, settings)
        elif storage.is_new() and settings.join:
            storage.create(
                lambda member_id: consensus_models.Snapshot(0, 0, [], b"")
            )
        return storage, storage.load()
    except OSError:
        storage.close()
        raise


def _round_finite(value_ms):
    return None if value_ms == float("inf") else round(value_ms)


def _member_json(member):
    return {
        "member_id": member.member_id,
        "address": member.address,
        "admin_address": member.admin_address,
        "zone": member.zone,
        "voter": member.voter,
    }
