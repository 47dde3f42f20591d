"""Tables for the queue and the concurrency limit of one backend server."""

import dataclasses

from fescueyard.admission import announcements
from fescueyard.admission import cold_limit as cold_limits
from fescueyard.admission import concurrency_share
from fescueyard.admission import messages
from fescueyard.admission import outcomes
from fescueyard.admission import pace as paces
from fescueyard.admission import server_limit as server_limits
from fescueyard.core import dumps


@dataclasses.dataclass(slots=True)
class Backend:
    """This VM's backend server, as announced.

    :param service: its service.
    :param address: ``host:port`` on this VM.
    :param slots: requests it can run concurrently.
    :param expires_at_ms: time at which it counts as gone unless it announces
        itself again.
    :param leaving: whether it has stopped accepting new work.
    :param instance: its id, which it checks on each request; empty for none.
    :param born_ms: start time of its process by its own clock, in ms; 0 when
        not reported.
    :param sequence: number of its latest announcement.
    :param connect_failures: consecutive runs that did not reach it, as it
        accepted no connection or another server responded.
    :param cold_until_ms: end of its slow start; None when not reported.
    :param says_leaving: whether it has said itself that it is leaving, which
        is final. It may also be drained as it is out of reach, and come back.
    :param born_max_ms: upper bound of a start time that is not reported.
    :param announced_at_ms: when it last announced itself.
    """

    service: str
    address: str
    slots: int
    expires_at_ms: float
    leaving: bool
    instance: str = ""
    born_ms: int = 0
    sequence: int = 0
    connect_failures: int = 0
    cold_until_ms: float | None = None
    says_leaving: bool = False
    born_max_ms: int = 0
    announced_at_ms: float = float("-inf")


@dataclasses.dataclass(slots=True)
class Run:
    """A request queued for, or running at, this VM's backend server.

    :param peer_id: node that sent it; this node's own id for local ones.
    :param stream: handle of the sender's stream; None for local ones.
    :param forward: the forwarded request.
    :param deadline_at_ms: deadline by this node's clock.
    :param queued_at_ms: time of arrival.
    :param firm: firm of its customer; empty when there is none.
    :param started_at_ms: when it was sent to the backend server, or None.
    :param backend: the process of the backend server that it was sent to.
    :param token: call token of the run; empty while queued.
    :param queued: whether it is in the queue.
    :param share_index: index of the share of the slots that its latency is a
        sample of, or None.
    :param failed_call_fingerprints: fingerprints of its failed downstream
        calls.
    :param holds_memory: whether its body is counted in the account of memory.
    """

    run_id: int
    peer_id: str
    stream: object
    forward: messages.ForwardRequest
    deadline_at_ms: float
    queued_at_ms: float
    firm: str
    started_at_ms: float | None = None
    backend: Backend | None = None
    token: str = ""
    queued: bool = False
    share_index: int | None = dataclasses.field(
        default=None, metadata=dumps.written_as("sampled")
    )
    failed_call_fingerprints: set[bytes] = dataclasses.field(
        default_factory=set, metadata=dumps.written_as("failed_calls")
    )
    holds_memory: bool = False


@dataclasses.dataclass(slots=True)
class ConcurrencyLimiter:
    """The adaptive concurrency limit.

    :param limit: requests that may run concurrently.
    :param short_latency_ms: recent latency, smoothed over a few runs.
    :param long_latency_ms: long-term latency, smoothed over many runs.
    :param latency_by_priority_ms: recent latency of each priority. Less
        important runs may wait longer further down the chain.
    :param share_search: search for the share of the limit with the best
        throughput.
    """

    limit: float = 1.0
    short_latency_ms: float = dataclasses.field(
        default=0.0, metadata=dumps.written_as("short_ms")
    )
    long_latency_ms: float = dataclasses.field(
        default=0.0, metadata=dumps.written_as("long_ms")
    )
    latency_by_priority_ms: dict[int, float] = dataclasses.field(
        default_factory=dict, metadata=dumps.written_as("by_priority_ms")
    )
    share_search: concurrency_share.ShareSearch = dataclasses.field(
        default_factory=concurrency_share.ShareSearch,
        metadata=dumps.written_as("knee_row"),
    )


@dataclasses.dataclass
class FairnessTable:
    """Virtual times for fair queueing over firms and their customers.

    :param firm_virtual_time_ms: service time of each firm divided by its
        share.
    :param customer_virtual_time_ms: the same for each customer within its
        firm.
    """

    firm_virtual_time_ms: dict[str, float] = dataclasses.field(
        default_factory=dict, metadata=dumps.written_as("firm_time")
    )
    customer_virtual_time_ms: dict[str, float] = dataclasses.field(
        default_factory=dict, metadata=dumps.written_as("customer_time")
    )


@dataclasses.dataclass
class RunTable:
    """All requests at this VM's backend server.

    :param queued: ids of queued runs by priority, then by customer, oldest
        first.
    :param running: ids of runs at the backend server.
    :param by_token: ids of running runs by call token.
    :param by_attempt: ids by sender and attempt.
    :param awaiting_probe: requests whose runs were interrupted, until a probe
        shows whether the backend server has crashed.
    :param closed: whether the node is stopping and accepts no more runs.
    :param held_announcement: first announcement after a restart of the node,
        until it is confirmed; None for none.
    :param held_at_ms: when it arrived.
    :param outdated_announcement: the last announcement that was older than
        the one known; None for none.
    :param left_at_unix_ms: servers other than the one known that said that
        they leave: the time of day, in ms, at which they ran, by their id.
    :param outcome_counts: recent runs and failures of the backend server.
    :param server_limit: the limit that the backend server has named.
    :param cold_limit: the limit that holds while it is cold.
    :param pace: the pace at which it gets more work after a start.
    :param token_wakeup_at_ms: when the next event is due that starts queued
        runs, as the limits allow one again.
    :param memory: account of what bodies hold in this process, with the
        methods ``hold_forwarded`` and ``release_forwarded``; None for none.
    """

    rows: dict[int, Run] = dataclasses.field(default_factory=dict)
    queued: dict[int, dict[str, dict[int, None]]] = dataclasses.field(
        default_factory=dict
    )
    queued_count: int = 0
    running: dict[int, None] = dataclasses.field(default_factory=dict)
    by_token: dict[str, int] = dataclasses.field(default_factory=dict)
    by_attempt: dict[tuple[str, int], int] = dataclasses.field(
        default_factory=dict
    )
    awaiting_probe: list[messages.ForwardRequest] = dataclasses.field(
        default_factory=list, metadata=dumps.written_as("broken_off")
    )
    last_run_id: int = 0
    closed: bool = False
    held_announcement: announcements.Announcement | None = None
    held_at_ms: float = float("-inf")
    outdated_announcement: announcements.Announcement | None = None
    left_at_unix_ms: dict[str, int] = dataclasses.field(default_factory=dict)
    outcome_counts: outcomes.OutcomeCounts = dataclasses.field(
        default_factory=outcomes.OutcomeCounts
    )
    backend: Backend | None = None
    limiter: ConcurrencyLimiter = dataclasses.field(
        default_factory=ConcurrencyLimiter
    )
    server_limit: server_limits.ServerLimit = dataclasses.field(
        default_factory=server_limits.ServerLimit
    )
    cold_limit: cold_limits.ColdLimit = dataclasses.field(
        default_factory=cold_limits.ColdLimit
    )
    pace: paces.Pace = dataclasses.field(default_factory=paces.Pace)
    token_wakeup_at_ms: float = float("-inf")
    memory: object = None
    fairness: FairnessTable = dataclasses.field(default_factory=FairnessTable)
