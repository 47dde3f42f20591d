"""Messages between the node of a call and the node of its backend server."""

import dataclasses

from fescueyard.core import dispatch
from fescueyard.core import http
from fescueyard.core import wire
from fescueyard.retries import messages as retry_messages


@wire.message(60)
@dataclasses.dataclass(slots=True)
class ForwardRequest:
    """A request for the receiver's backend server.

    :param attempt_id: number of the attempt at the sender.
    :param service: service that is meant.
    :param request: the request, without any key.
    :param idempotent: whether running twice does no harm.
    :param customer: customer it runs for; empty on an open route.
    :param key_id: key it came with; empty on an open route.
    :param priority: 0 is the most important.
    :param deadline_ms: time left when it was sent.
    :param chain: the call chain.
    :param fingerprint: digest of the request, for quarantine.
    :param suspect: the sender knows of a crash that it was seen at.
    :param caller_service: service on whose VM the request began; empty when
        not known.
    :param request_id: the caller's id of the request, for logs.
    :param objective_ms: latency objective left when it was sent; 0 for none.
    :param version: configuration by which the sender decided.
    :param is_call: a backend server made it while it ran another request.
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
    is_call: bool = False
    version: int = 0


@dispatch.delayed.register
def _delay_forward(message: ForwardRequest, waited_ms):
    return dataclasses.replace(
        message,
        deadline_ms=message.deadline_ms - waited_ms,
        objective_ms=message.objective_ms - waited_ms,
    )


@wire.message(61)
@dataclasses.dataclass(slots=True)
class ForwardResponse:
    """Answers a :class:`ForwardRequest`.

    :param attempt_id: the attempt.
    :param code: number of the result code.
    :param response: the backend server's answer; None when there is none.
    :param retry_after_ms: when to come back; 0 when there is no advice.
    :param crash_id: id of the crash that ended the run; empty for none.
    :param load: requests queued and running at the backend server.
    :param limit: its concurrency limit.
    :param pressure: share of the load that it, or a service behind it, can't
        take.
    :param bottleneck: the service that is short; empty for none.
    """

    attempt_id: int
    code: int
    response: http.HttpAnswer | None
    retry_after_ms: float
    crash_id: str
    load: int
    limit: int
    pressure: float = 0.0
    bottleneck: str = ""


@wire.message(62)
@dataclasses.dataclass(slots=True)
class ForwardCancel:
    """The caller left or the deadline passed; the attempt is pointless."""

    attempt_id: int
