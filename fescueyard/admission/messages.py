"""Messages between the node of a call and the node of its backend server."""

import dataclasses

from fescueyard.core import dispatch
from fescueyard.core import dumps
from fescueyard.core import http
from fescueyard.core import notices
from fescueyard.core import wire
from fescueyard.retries import messages as retry_messages


@wire.message(60)
@dataclasses.dataclass(slots=True)
class ForwardRequest:
    """A request forwarded to the node of a backend server.

    :param attempt_id: number of the attempt at the sender.
    :param service: target service.
    :param request: the request, without any key.
    :param idempotent: whether it is safe to run more than once.
    :param customer: customer it runs for; empty on an open route.
    :param key_id: key that authenticated it; empty on an open route.
    :param priority: 0 is the most important.
    :param deadline_ms: time left when it was sent, in ms.
    :param chain: the call chain.
    :param fingerprint: digest of the request, for quarantine.
    :param suspect: whether the sender knows of a crash during a run of it.
    :param caller_service: service on whose VM the request originated; empty
        when not known.
    :param request_id: the caller's id of the request, for logs.
    :param objective_ms: time left of the latency objective when it was sent,
        in ms; 0 for none.
    :param is_backend_call: whether a backend server sent it while running
        another request.
    :param version: configuration version that the sender applied.
    :param notice: what the backend server said of itself in its last response
        to the sender; None for nothing.
    :param may_wait: whether the sender knows no other backend server with
        room, so that the request may wait longer.
    """

    attempt_id: int
    service: str
    request: http.HttpRequest
    idempotent: bool
    customer: str
    key_id: str
    priority: int
    deadline_ms: float
    chain: retry_messages.Chain
    fingerprint: bytes
    suspect: bool
    caller_service: str = ""
    request_id: str = ""
    objective_ms: float = 0.0
    is_backend_call: bool = dataclasses.field(
        default=False, metadata=dumps.written_as("is_call")
    )
    version: int = 0
    notice: notices.ServerNotice | None = None
    may_wait: bool = False


@dispatch.deduct_wait.register
def _deduct_forward_wait(message: ForwardRequest, waited_ms):
    return dataclasses.replace(
        message,
        deadline_ms=message.deadline_ms - waited_ms,
        objective_ms=message.objective_ms - waited_ms,
    )


@wire.message(61)
@dataclasses.dataclass(slots=True)
class ForwardResponse:
    """Response to a :class:`ForwardRequest`.

    :param attempt_id: the attempt.
    :param code: number of the result code.
    :param response: the backend server's response; None when there is none.
    :param retry_after_ms: advised delay before a retry, in ms; 0 for none.
    :param crash_id: id of the crash that ended the run; empty for none.
    :param load: requests queued and running at the backend server.
    :param limit: its concurrency limit.
    :param pressure: share of the load that it, or a service downstream of
        it, can't serve.
    :param bottleneck: the service without capacity; empty for none.
    :param latency_ms: recent latency of runs of this priority there; 0 when
        not known.
    :param failure_share: share of the recent runs there that failed.
    :param notice: what the backend server last said of itself; None for
        nothing.
    """

    attempt_id: int
    code: int
    response: http.HttpResponse | None = dataclasses.field(
        metadata=dumps.written_as("answer")
    )
    retry_after_ms: float
    crash_id: str
    load: int
    limit: int
    pressure: float = 0.0
    bottleneck: str = ""
    latency_ms: float = 0.0
    failure_share: float = 0.0
    notice: notices.ServerNotice | None = None


@wire.message(62)
@dataclasses.dataclass(slots=True)
class ForwardCancel:
    """Cancels an attempt whose caller left or whose deadline passed."""

    attempt_id: int
