"""Error responses with JSON problem details (RFC 9457)."""

import json
import math

from fescueyard.core import http

OUTCOME_HEADER = "fescueyard-outcome"
CODE_HEADER = "fescueyard-code"


def problem_response(code, detail="", retry_after_ms=None):
    """Build the response that reports an error.

    :param code: :class:`~fescueyard.core.codes.ResultCode`.
    :param detail: one sentence; the code's title when left out.
    :param retry_after_ms: delay before a retry, in ms; None for none. Not used
        with a code that is not retryable.
    :returns: :class:`~fescueyard.core.http.HttpResponse`.
    """
    members = {
        "type": f"urn:fescueyard:result:{code.number}",
        "title": code.title,
        "status": code.http_status,
        "detail": detail or code.title,
        "code": code.number,
        "name": code.name,
        "outcome": code.outcome.value,
    }
    headers = [
        http.Header("content-type", "application/problem+json"),
        http.Header(CODE_HEADER, str(code.number)),
        http.Header(OUTCOME_HEADER, code.outcome.value),
    ]
    if code.retryable and retry_after_ms is not None:
        members["retry_after_ms"] = int(retry_after_ms)
        # The HTTP header holds whole seconds, so the time is rounded up.
        retry_after_s = max(1, math.ceil(retry_after_ms / 1000))
        headers.append(http.Header("retry-after", str(retry_after_s)))
    body = json.dumps(members).encode()
    return http.HttpResponse(code.http_status, headers, body)
