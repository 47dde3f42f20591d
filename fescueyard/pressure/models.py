"""Tables of the pressure at a backend server and at the door of a node."""

import dataclasses


@dataclasses.dataclass(slots=True)
class Pressure:
    """How much of the load a service can't take just now.

    :param share: share of the requests to turn away, 0 to 1.
    :param bottleneck: service whose backend servers are short; empty for none.
    """

    share: float
    bottleneck: str


NO_PRESSURE = Pressure(0.0, "")


@dataclasses.dataclass
class BackendPressure:
    """What this VM's backend server can't take, from its queue.

    :param admitted_share: share of the load that it can take.
    :param arrived: requests since the last adjustment.
    :param started: requests started since then.
    :param waited_ms: sum of their waits.
    :param over_target_rounds: adjustments in a row that found work waiting.
    :param on_target_rounds: adjustments in a row that found none waiting.
    :param overloaded_rounds: adjustments in a row that found a long wait.
    :param arrivals_mean: arrivals between two adjustments of late.
    :param capacity: starts between two adjustments while work waits; 0 while
        unknown.
    :param past_admitted_shares: the admitted share at the last adjustments,
        oldest first.
    :param admitted_share_mean: share kept when the arrivals of late were let
        in.
    :param adjust_due_ms: when the next adjustment is due.
    """

    admitted_share: float = 1.0
    arrived: int = 0
    started: int = 0
    waited_ms: float = 0.0
    over_target_rounds: int = 0
    on_target_rounds: int = 0
    overloaded_rounds: int = 0
    arrivals_mean: float = 0.0
    capacity: float = 0.0
    past_admitted_shares: list[float] = dataclasses.field(default_factory=list)
    admitted_share_mean: float = 1.0
    adjust_due_ms: float = 0.0


@dataclasses.dataclass(slots=True)
class DecayingCount:
    """A count of what happened of late; older events count less.

    :param count: the count at that time.
    :param counted_at_ms: when the last event was counted.
    """

    count: float = 0.0
    counted_at_ms: float = 0.0


@dataclasses.dataclass(slots=True)
class ServicePressure:
    """Pressure that answers of a service told of.

    :param share: share of the requests to turn away, smoothed.
    :param bottleneck: service that is short.
    :param reported_at_ms: time of the last answer.
    :param calls: answers to calls of this VM's backend server.
    """

    share: float = 0.0
    bottleneck: str = ""
    reported_at_ms: float = float("-inf")
    calls: DecayingCount = dataclasses.field(default_factory=DecayingCount)


@dataclasses.dataclass
class RankDemand:
    """Requests of one rank that lead to one bottleneck.

    :param count: of late; older ones count less.
    :param credit: part of a request that is still to be turned away.
    """

    count: float = 0.0
    credit: float = 0.0


@dataclasses.dataclass
class BottleneckDemand:
    """All new requests here that lead to one bottleneck.

    :param ranks: rows by rank; the lowest rank is the most important.
    :param decayed_at_ms: time up to which the counts were aged.
    """

    ranks: dict[int, RankDemand] = dataclasses.field(default_factory=dict)
    decayed_at_ms: float = 0.0


@dataclasses.dataclass
class PressureTable:
    """A node's pressure, as bottleneck and as door.

    :param backend: of this VM's backend server.
    :param by_service: rows by service.
    :param by_bottleneck: rows by bottleneck.
    :param longest_left_ms: longest time left seen of each route's requests.
    :param runs: runs of this VM's backend server.
    """

    backend: BackendPressure = dataclasses.field(
        default_factory=BackendPressure
    )
    by_service: dict[str, ServicePressure] = dataclasses.field(
        default_factory=dict
    )
    by_bottleneck: dict[str, BottleneckDemand] = dataclasses.field(
        default_factory=dict
    )
    longest_left_ms: dict[str, float] = dataclasses.field(default_factory=dict)
    runs: DecayingCount = dataclasses.field(default_factory=DecayingCount)
