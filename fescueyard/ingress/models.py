"""Tables of the calls that entered at this node."""

import dataclasses
import enum

from fescueyard.core import http
from fescueyard.retries import messages as retry_messages


class Stage(enum.Enum):
    """What a call waits for."""

    RATE = "rate"
    CLAIM = "claim"
    ATTEMPT = "attempt"
    RETRY = "retry"


@dataclasses.dataclass(slots=True)
class Attempt:
    """One try of a call at one backend server's node.

    :param attempt_id: never used again in the life of the process.
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
    """A call that waits for its answer.

    :param exchange_id: HTTP exchange to answer.
    :param request: cleaned request.
    :param idempotency_key: of the caller; empty for none.
    :param parent_run_id: run whose backend server called; None for a caller
        from outside.
    :param tried_node_ids: nodes that had the call.
    :param attempt: the try under way, or None.
    :param may_have_run_code: result code of an attempt that may have run; 0
        for none.
    :param request_id: the caller's id of the request, for logs.
    :param route: name of the route it came by; empty for a call by service.
    :param caller_service: service on whose VM it began.
    :param attempts_max: most backend servers that get it; None leaves it to
        the chain's retry allowance.
    :param backends_reached: backend servers that got it so far.
    :param objective_ms: latency objective; 0 for none.
    :param shed_rank: order in which new work is shed; the lowest is shed
        last.
    :param failed_response: failure returned by a backend server, kept while
        another one is tried.
    :param is_backend_call: it came on a route that backend servers call on.
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
    tried_node_ids: set[str] = dataclasses.field(default_factory=set)
    attempt_count: int = 0
    attempt: Attempt | None = None
    caller_left: bool = False
    last_code: int = 0
    may_have_run_code: int = 0
    last_retry_after_ms: float = 0.0
    request_id: str = ""
    route: str = ""
    caller_service: str = ""
    attempts_max: int | None = None
    backends_reached: int = 0
    objective_ms: float = 0.0
    shed_rank: int = 0
    failed_response: http.HttpAnswer | None = None
    is_backend_call: bool = False


@dataclasses.dataclass
class CallTable:
    """Calls and attempts under way at this node."""

    rows: dict[int, Call] = dataclasses.field(default_factory=dict)
    by_exchange: dict[int, int] = dataclasses.field(default_factory=dict)
    attempts: dict[int, Attempt] = dataclasses.field(default_factory=dict)
    last_call_id: int = 0
    last_attempt_id: int = 0
