"""What a backend server's response says of its request."""

from fescueyard.core import codes
from fescueyard.core import http
from fescueyard.core import notices
from fescueyard.transport import transfers

WRONG_INSTANCE_STATUS = 421
# Statuses that tell a caller that its request has not run.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
# A redirection counts as a failure: its request has not succeeded.
FAILURE_STATUS_MIN = 300


def is_failure(response):
    """Return whether a response is other than a success.

    :param response: :class:`~fescueyard.transport.transfers.Response`.
    :returns: bool.
    """
    return response.status >= FAILURE_STATUS_MIN


def denies_run(response, names):
    """Return whether a response says that its request has not run.

    :param response: :class:`~fescueyard.transport.transfers.Response`.
    :param names: :class:`~fescueyard.core.headers.HeaderNames`.
    :returns: bool.
    """
    return (
        response.status in NOT_RUN_STATUSES
        or response.header(names.not_run) is not None
    )


def lacks_signature(response, transfer, names):
    """Return whether a success is not the backend server's own.

    :param response: :class:`~fescueyard.transport.transfers.Response`.
    :param transfer: :class:`~fescueyard.transport.transfers.Transfer`.
    :param names: :class:`~fescueyard.core.headers.HeaderNames`.
    :returns: bool; False where backend servers don't sign.
    """
    return (
        bool(names.signature and transfer.request_id)
        and not is_failure(response)
        and response.header(names.signature) is None
    )


def build(response, transfer, names, connected_at_ms):
    """Build the result of a request from its complete response.

    :param response: :class:`~fescueyard.transport.transfers.Response`.
    :param transfer: :class:`~fescueyard.transport.transfers.Transfer`.
    :param names: :class:`~fescueyard.core.headers.HeaderNames`.
    :param connected_at_ms: when its connection was opened.
    :returns: :class:`~fescueyard.transport.transfers.BackendResult`.
    """
    notice = notices.parse(response.headers, names)
    if response.header(names.not_run) is not None:
        return transfers.BackendResult(
            None, codes.BACKEND_REFUSED, notice, connected_at_ms
        )
    if response.status == WRONG_INSTANCE_STATUS:
        if transfer.expects_instance:
            return transfers.BackendResult(None, codes.WRONG_INSTANCE)
    complete_response = http.HttpResponse(
        response.status, response.headers, bytes(response.body)
    )
    return transfers.BackendResult(
        complete_response, codes.OK, notice, connected_at_ms
    )
