"""All tables of a node."""

import dataclasses
import random

from fescueyard.admission import models as admission_models
from fescueyard.configuration import models as configuration_models
from fescueyard.configuration import replica
from fescueyard.core import timers as core_timers
from fescueyard.idempotency import models as claim_models
from fescueyard.ingress import interface as ingress_interface
from fescueyard.ingress import models as ingress_models
from fescueyard.limits import models as limit_models
from fescueyard.node import metrics as node_metrics
from fescueyard.pressure import models as pressure_models
from fescueyard.retries import models as retry_models
from fescueyard.retries import quarantine as retry_quarantine
from fescueyard.routing import messages as routing_messages
from fescueyard.routing import models as routing_models
from fescueyard.routing import routes as routing_routes
from fescueyard.routing import traffic as routing_traffic


@dataclasses.dataclass
class PullTable:
    """State of the node's configuration pull.

    :param pull_due_ms: when the next request is sent.
    :param regular_due_ms: when it is sent if the open one makes the copy
        current.
    :param open_request_id: id of the latest request; None once it was
        responded to.
    :param open_address: source that it was sent to.
    :param failures: requests since the copy was last current.
    :param paused_until_ms: until when a source is left out, by address.
    """

    pull_due_ms: float = 0.0
    regular_due_ms: float = 0.0
    open_request_id: int | None = None
    open_address: str = ""
    failures: int = 0
    paused_until_ms: dict[str, float] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass
class NodeTables:
    """All state of a node.

    :param process_id: id of the process, new after each start.
    :param seeds: ``host:port`` of control VMs, from the settings.
    :param random: generator for choices that need no secrecy.
    :param secure_random: generator for tokens and ids that must not be
        guessable.
    :param interface: header names and error format of the HTTP interface.
    :param routed: whether callers' requests are matched by the configured
        routes; otherwise their path names the service.
    :param service: service of this VM's backend server, from the settings.
    :param leave_notice_ms: notice period: time between the start of a planned
        stop and refusing callers; from the settings.
    :param confirms_announcements: whether the first announcement of the
        backend server has to be confirmed, since this node was restarted.
    :param traffic: what this process has sent to others.
    :param draining: whether the node is stopping and accepts no new work.
    :param draining_since_ms: when draining began.
    :param events: queue of events that this process has yet to handle.
    :param effects: queue of effects for the process to apply.
    """

    process_id: str
    seeds: list[str]
    random: random.Random
    secure_random: random.Random
    members: routing_models.MemberTable
    configuration: replica.ReplicaTable = dataclasses.field(
        default_factory=replica.ReplicaTable
    )
    pull: PullTable = dataclasses.field(default_factory=PullTable)
    calls: ingress_models.CallTable = dataclasses.field(
        default_factory=ingress_models.CallTable
    )
    runs: admission_models.RunTable = dataclasses.field(
        default_factory=admission_models.RunTable
    )
    retries: retry_models.RetryTable = dataclasses.field(
        default_factory=retry_models.RetryTable
    )
    quarantine: retry_quarantine.QuarantineTable = dataclasses.field(
        default_factory=retry_quarantine.QuarantineTable
    )
    limits: limit_models.LimitTable = dataclasses.field(
        default_factory=limit_models.LimitTable
    )
    claims: claim_models.ClaimTable = dataclasses.field(
        default_factory=claim_models.ClaimTable
    )
    pressure: pressure_models.PressureTable = dataclasses.field(
        default_factory=pressure_models.PressureTable
    )
    timers: core_timers.TimerTable = dataclasses.field(
        default_factory=core_timers.TimerTable
    )
    traffic: routing_traffic.TrafficTable = dataclasses.field(
        default_factory=routing_traffic.TrafficTable
    )
    metrics: node_metrics.Metrics = dataclasses.field(
        default_factory=node_metrics.Metrics
    )
    default_profile: configuration_models.Profile = dataclasses.field(
        default_factory=configuration_models.Profile
    )
    routes: routing_routes.RouteTable = dataclasses.field(
        default_factory=routing_routes.RouteTable
    )
    interface: ingress_interface.Interface = dataclasses.field(
        default_factory=ingress_interface.Interface
    )
    routed: bool = False
    service: str = ""
    leave_notice_ms: float = 0.0
    confirms_announcements: bool = False
    draining: bool = False
    draining_since_ms: float = 0.0
    events: list = dataclasses.field(default_factory=list)
    effects: list = dataclasses.field(default_factory=list)

    def control_addresses(self):
        """Return the control VMs, the leader first where it is known.

        :returns: list of ``host:port``.
        """
        return self.configuration.control_addresses or self.seeds

    def refuses_callers(self, now_ms):
        """Return whether the node refuses callers.

        It does once the notice period of a planned stop is over.

        :param now_ms: the present time.
        :returns: bool.
        """
        if not self.draining:
            return False
        return now_ms - self.draining_since_ms >= self.leave_notice_ms

    def own_service(self):
        """Return the service of this VM's backend server.

        :returns: the service; empty when none is known.
        """
        if self.service or self.runs.backend is None:
            return self.service
        return self.runs.backend.service

    def own_profile(self):
        """Return the profile of this VM's backend server.

        :returns: :class:`~fescueyard.configuration.models.Profile`.
        """
        backend = self.runs.backend
        if backend is None:
            return self.default_profile
        return self.profile_of(backend.service)

    def profile_of(self, service_name):
        """Return the profile of a service.

        :param service_name: the service.
        :returns: :class:`~fescueyard.configuration.models.Profile`; the
            default one when there is no such service.
        """
        state = self.configuration.state
        service = state.find(configuration_models.Kind.SERVICE, service_name)
        if service is None:
            return self.default_profile
        return state.find(configuration_models.Kind.PROFILE, service.profile)

    def slow_start_ms_of(self, service_name):
        """Return the time over which a new server's share of the load grows.

        :param service_name: the service.
        :returns: ms; None when the nodes of its servers pace them.
        """
        service = self.configuration.state.find(
            configuration_models.Kind.SERVICE, service_name
        )
        if service is not None and service.cold_rate_per_s:
            return None
        return self.profile_of(service_name).slow_start_ms


def new_tables(
    process_id, zone, region, address, seeds, seed, secure_random, role
):
    """Create the tables of a node.

    :param process_id: id of the process, new after each start.
    :param zone: its availability zone.
    :param region: its region.
    :param address: ``host:port`` of its streams.
    :param seeds: ``host:port`` of control VMs.
    :param seed: seed of the choices that need no secrecy.
    :param secure_random: generator for values that must not be guessable.
    :param role: ``node`` or ``control``.
    :returns: :class:`NodeTables`.
    """
    own = routing_messages.Member(
        process_id,
        1,
        routing_models.ALIVE,
        role,
        zone,
        region,
        address,
        "",
        0,
        accepting=False,
        leaving=False,
    )
    return NodeTables(
        process_id,
        seeds,
        random.Random(seed),
        secure_random,
        routing_models.new_table(own, seeds),
    )
