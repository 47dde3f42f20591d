"""Calls that entered at this node, and their attempts."""

import dataclasses
import enum

from fescueyard.core import dumps
from fescueyard.core import http
from fescueyard.retries import messages as retry_messages


class Stage(enum.Enum):
    """What a call is waiting for."""

    RATE = "rate"
    CLAIM = "claim"
    ATTEMPT = "attempt"
    RETRY = "retry"


@dataclasses.dataclass(slots=True)
class Attempt:
    """One attempt of a call at the node of a backend server.

    :param attempt_id: unique for the lifetime of the process.
    :param node_id: the node.
    :param address: ``host:port`` of its streams.
    :param started_at_ms: when it was sent.
    """

    attempt_id: int
    call_id: int
    node_id: str
    address: str
    started_at_ms: float


@dataclasses.dataclass(slots=True)
class Call:
    """A call in progress.

    :param exchange_id: HTTP exchange to respond to.
    :param request: request without the headers that are not forwarded.
    :param idempotency_key: as sent by the caller; empty for none.
    :param parent_run_id: run during which a backend server made the call; None
        for a caller from outside the fleet.
    :param tried_node_ids: nodes that the call was sent to.
    :param attempt: the attempt in flight, or None.
    :param may_have_run_code: result code of an attempt that may have run; 0
        for none.
    :param request_id: request id set by the caller, for logs.
    :param route: name of the matching route; empty for a call by service.
    :param caller_service: service on whose VM the call originated.
    :param attempts_max: maximum number of backend servers that get the
        request; None applies the chain's retry allowance instead.
    :param backends_reached: backend servers that got the request so far.
    :param objective_ms: latency objective; 0 for none.
    :param shed_rank: order in which new work is shed; the lowest is shed
        last.
    :param failed_response: failure returned by a backend server, kept while
        another one is tried.
    :param is_backend_call: whether it matched a route that backend servers use
        for their own calls.
    """

    call_id: int
    exchange_id: int
    service: str
    request: http.HttpRequest
    idempotent: bool
    idempotency_key: str
    customer: str
    key_id: str
    priority: int
    started_at_ms: float
    deadline_at_ms: float
    chain: retry_messages.Chain
    fingerprint: bytes
    parent_run_id: int | None
    stage: Stage = Stage.RATE
    tried_node_ids: set[str] = dataclasses.field(
        default_factory=set, metadata=dumps.written_as("tried")
    )
    attempt_count: int = dataclasses.field(
        default=0, metadata=dumps.written_as("tries")
    )
    attempt: Attempt | None = None
    caller_left: bool = False
    last_code: int = 0
    may_have_run_code: int = dataclasses.field(
        default=0, metadata=dumps.written_as("doubt_code")
    )
    last_retry_after_ms: float = 0.0
    request_id: str = ""
    route: str = ""
    caller_service: str = ""
    attempts_max: int | None = None
    backends_reached: int = dataclasses.field(
        default=0, metadata=dumps.written_as("reached")
    )
    objective_ms: float = 0.0
    shed_rank: int = dataclasses.field(
        default=0, metadata=dumps.written_as("rank")
    )
    failed_response: http.HttpResponse | None = dataclasses.field(
        default=None, metadata=dumps.written_as("failed")
    )
    is_backend_call: bool = dataclasses.field(
        default=False, metadata=dumps.written_as("is_call")
    )


@dataclasses.dataclass
class CallTable:
    """Calls and attempts in progress at this node."""

    rows: dict[int, Call] = dataclasses.field(default_factory=dict)
    by_exchange: dict[int, int] = dataclasses.field(default_factory=dict)
    attempts: dict[int, Attempt] = dataclasses.field(default_factory=dict)
    last_call_id: int = 0
    last_attempt_id: int = 0
