"""Headers that the system adds to a request for the backend server."""

from fescueyard.core import http

TOKEN_HEADER = "fescueyard-token"
DEADLINE_HEADER = "fescueyard-deadline-ms"
PRIORITY_HEADER = "fescueyard-priority"
CUSTOMER_HEADER = "fescueyard-customer"


def system_headers(tables, run, now_ms):
    """Return the headers that the system adds to a run.

    :param tables: the node's tables.
    :param run: :class:`~fescueyard.admission.models.Run`.
    :param now_ms: the present time.
    :returns: list of :class:`~fescueyard.core.http.Header`.
    """
    left_ms = max(0, int(run.deadline_at_ms - now_ms))
    if tables.routed:
        return _routed_headers(tables, run, left_ms)
    headers = [
        http.Header(TOKEN_HEADER, run.token),
        http.Header(DEADLINE_HEADER, str(left_ms)),
        http.Header(PRIORITY_HEADER, str(run.forward.priority)),
    ]
    if run.forward.customer:
        headers.append(http.Header(CUSTOMER_HEADER, run.forward.customer))
    return headers


def _routed_headers(tables, run, left_ms):
    names = tables.interface.names
    forward = run.forward
    headers = [http.Header(names.deadline_ms, str(left_ms))]
    if forward.customer:
        headers.append(http.Header(names.customer, forward.customer))
    if forward.caller_service:
        headers.append(
            http.Header(names.caller_service, forward.caller_service)
        )
    instance = tables.runs.backend.instance
    if instance:
        headers.append(http.Header(names.expected_instance, instance))
    return headers
