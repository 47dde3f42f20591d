"""Header names and error responses towards callers and backend servers."""

from fescueyard.core import codes
from fescueyard.core import headers
from fescueyard.core import http
from fescueyard.ingress import interface

HEADER_NAMES = headers.HeaderNames(
    request_id="x-attempt-id",
    deadline_ms="x-deadline-ms",
    customer="x-tenant",
    caller_service="x-caller",
    # The backend server responds with 421 when its id differs.
    expected_instance="x-expect-instance",
    instance="x-instance-id",
    not_run="x-not-run",
    server_limit="server-limit",
    server_leaving="server-leaving",
    cold_ms="x-cold-ms",
    signature="x-instance-stamp",
)
# Caller errors, which keep their HTTP status. Every other rejection of a
# request that has not run gets a status that invites a retry.
_CALLER_ERRORS = frozenset(
    {
        codes.BAD_REQUEST,
        codes.BAD_HEADER,
        codes.HEADERS_TOO_LARGE,
        codes.BODY_TOO_LARGE,
        codes.UNKNOWN_ROUTE,
        codes.KEY_MISSING,
        codes.KEY_REFUSED,
        codes.RATE_EXCEEDED,
    }
)
_RETRY_LATER_STATUS = 503
_GATEWAY_STATUSES = (502, 504)


def build_error_response(code, detail="", retry_after_ms=None):
    """Build the response to a rejected or failed request.

    :param code: :class:`~fescueyard.core.codes.ResultCode`.
    :param detail: one sentence; defaults to the title of the code.
    :param retry_after_ms: time after which to retry, in ms; None for none.
    :returns: :class:`~fescueyard.core.http.HttpResponse`.
    """
    status = code.http_status
    if code.outcome is codes.Outcome.NOT_RUN and code not in _CALLER_ERRORS:
        status = _RETRY_LATER_STATUS
    elif code.outcome is not codes.Outcome.NOT_RUN:
        if status not in _GATEWAY_STATUSES:
            status = _GATEWAY_STATUSES[0]
    response_headers = [http.Header("content-type", "text/plain")]
    if status in (429, _RETRY_LATER_STATUS) and retry_after_ms is not None:
        # Callers of this platform accept fractions of a second.
        response_headers.append(
            http.Header("retry-after", f"{retry_after_ms / 1000:.3f}")
        )
    body = f"{code.number} {code.name}: {detail or code.title}\n"
    return http.HttpResponse(status, response_headers, body.encode())


INTERFACE = interface.Interface(HEADER_NAMES, build_error_response)
