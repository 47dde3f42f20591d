"""Tables of the pressure at a backend server and at the entry of a node."""

import dataclasses

from fescueyard.core import dumps


@dataclasses.dataclass(slots=True)
class Pressure:
    """The share of the load that a service can't serve at present.

    :param share: share of the requests to shed, 0 to 1.
    :param bottleneck: service whose backend servers lack capacity; empty for
        none.
    """

    share: float
    bottleneck: str


NO_PRESSURE = Pressure(0.0, "")


@dataclasses.dataclass
class BackendPressure:
    """Pressure of this VM's backend server, derived from its queue.

    :param admitted_share: share of the load that it can serve.
    :param arrived: requests since the last adjustment.
    :param started: requests started since the last adjustment.
    :param waited_ms: sum of their queueing times.
    :param over_target_rounds: consecutive adjustments with a queueing time
        above the target.
    :param on_target_rounds: consecutive adjustments with a queueing time
        within the target.
    :param overloaded_rounds: consecutive adjustments with a queueing time that
        means overload.
    :param arrivals_mean: smoothed arrivals per adjustment interval.
    :param capacity: starts per adjustment interval while work is queued; 0
        while unknown.
    :param past_admitted_shares: admitted share at the latest adjustments,
        oldest first.
    :param admitted_share_mean: smoothed share that was in effect when the
        recent arrivals were admitted.
    :param adjust_due_ms: when the next adjustment is due.
    """

    admitted_share: float = dataclasses.field(
        default=1.0, metadata=dumps.written_as("kept")
    )
    arrived: int = 0
    started: int = 0
    waited_ms: float = 0.0
    over_target_rounds: int = dataclasses.field(
        default=0, metadata=dumps.written_as("late_rounds")
    )
    on_target_rounds: int = dataclasses.field(
        default=0, metadata=dumps.written_as("quiet_rounds")
    )
    overloaded_rounds: int = 0
    arrivals_mean: float = 0.0
    capacity: float = 0.0
    past_admitted_shares: list[float] = dataclasses.field(
        default_factory=list, metadata=dumps.written_as("kept_before")
    )
    admitted_share_mean: float = dataclasses.field(
        default=1.0, metadata=dumps.written_as("kept_mean")
    )
    adjust_due_ms: float = 0.0


@dataclasses.dataclass(slots=True)
class DecayingCount:
    """A count of events that decays exponentially with their age.

    :param count: the count as of the last event.
    :param counted_at_ms: time of the last event.
    """

    count: float = 0.0
    counted_at_ms: float = 0.0


@dataclasses.dataclass(slots=True)
class ServicePressure:
    """Pressure that the responses of a service reported.

    :param share: smoothed share of the requests to shed.
    :param bottleneck: service that lacks capacity.
    :param reported_at_ms: time of the last response.
    :param calls: responses to calls of this VM's backend server.
    """

    share: float = 0.0
    bottleneck: str = ""
    reported_at_ms: float = dataclasses.field(
        default=float("-inf"), metadata=dumps.written_as("told_at_ms")
    )
    calls: DecayingCount = dataclasses.field(default_factory=DecayingCount)


@dataclasses.dataclass
class RankDemand:
    """Requests of one rank that lead to one bottleneck.

    :param count: recent requests, decaying with age.
    :param credit: accumulated fraction of a request still to be shed.
    """

    count: float = 0.0
    credit: float = 0.0


@dataclasses.dataclass
class BottleneckDemand:
    """All new requests at this node that lead to one bottleneck.

    :param ranks: demand by rank; the lowest rank is the most important.
    :param decayed_at_ms: time up to which the counts have been decayed.
    """

    ranks: dict[int, RankDemand] = dataclasses.field(default_factory=dict)
    decayed_at_ms: float = dataclasses.field(
        default=0.0, metadata=dumps.written_as("aged_at_ms")
    )


@dataclasses.dataclass
class PressureTable:
    """A node's pressure, as a bottleneck and as an entry for new work.

    :param backend: pressure of this VM's backend server.
    :param by_service: reported pressure by service.
    :param by_bottleneck: demand for each bottleneck.
    :param longest_left_ms: longest time left observed among the requests of
        each route.
    :param runs: runs of this VM's backend server.
    """

    backend: BackendPressure = dataclasses.field(
        default_factory=BackendPressure, metadata=dumps.written_as("source")
    )
    by_service: dict[str, ServicePressure] = dataclasses.field(
        default_factory=dict, metadata=dumps.written_as("doors")
    )
    by_bottleneck: dict[str, BottleneckDemand] = dataclasses.field(
        default_factory=dict, metadata=dumps.written_as("domains")
    )
    longest_left_ms: dict[str, float] = dataclasses.field(
        default_factory=dict, metadata=dumps.written_as("longest_ms")
    )
    runs: DecayingCount = dataclasses.field(default_factory=DecayingCount)
