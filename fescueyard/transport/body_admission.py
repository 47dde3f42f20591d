"""Admission of request bodies: memory for them, and refusal by the head.

A body that is not needed, or has no room, is not kept: the response to its
request is known before the body has arrived.
"""

from fescueyard.core import codes
from fescueyard.core import failures
from fescueyard.core import logs
from fescueyard.core import problems
from fescueyard.transport import memory_account

LOG = logs.ComponentLogger("http")

RETRY_AFTER_MS = 1_000
# A body in chunks reserves memory in steps that double from this size on.
CHUNKED_RESERVE_BYTES = 64 * 1024


class BodyAdmission:
    """Decides for the request that arrives whether its body is kept.

    :param check_head: function of a request without its body that returns the
        response if the body is not needed, else None; None for no check.
    :param reserve: function of a number of bytes and of whether the part for
        small requests may be used; returns whether there is room.
    :param limits: :class:`~fescueyard.transport.http_parsing.Limits`.
    :ivar response: response that makes the body needless; None while the body
        is kept.
    :ivar reserved_bytes: what is reserved for the body.
    """

    def __init__(self, check_head, reserve, limits):
        self.response = None
        self.reserved_bytes = 0
        self._check_head = check_head
        self._reserve = reserve
        self._limits = limits
        self._unchecked_head = None

    def begin(self, head, body_bytes, expects_continue):
        """Check the head of a request with a body, and reserve memory.

        A small body has mostly arrived together with its head, so the head of
        such a request, and of one with chunks, is only checked if the body
        turns out to be missing.

        :param head: :class:`~fescueyard.core.http.HttpRequest` without its
            body.
        :param body_bytes: size of the body; None for one in chunks.
        :param expects_continue: whether the caller waits before it sends it.
        """
        is_small = (body_bytes or 0) <= memory_account.SMALL_BODY_BYTES
        if is_small and not expects_continue:
            self._unchecked_head = head
        else:
            self.response = self._response_to_head(head)
        if self.response is None:
            self._reserve_for(body_bytes or CHUNKED_RESERVE_BYTES)

    def grow(self, body_bytes):
        """Reserve more for a body in chunks.

        :param body_bytes: its size so far.
        :returns: whether the reservation changed, or was refused.
        """
        if self.response is not None:
            return False
        if memory_account.body_cost(body_bytes) <= self.reserved_bytes:
            return False
        doubled_bytes = min(2 * body_bytes, self._limits.body_bytes_max)
        self._reserve_for(max(doubled_bytes, body_bytes))
        return True

    def complete(self, parsed):
        """Pass the response and the reservation on to a complete request.

        :param parsed:
            :class:`~fescueyard.transport.http_parsing.ParsedRequest`.
        """
        self._unchecked_head = None
        parsed.response, self.response = self.response, None
        parsed.cost += self.reserved_bytes
        self.reserved_bytes = 0

    def release(self):
        """Drop the reservation of a body that is not read any more."""
        self.reserved_bytes = 0

    def take_refusal(self):
        """Return the response to a request whose body is still missing.

        :returns: :class:`~fescueyard.core.http.HttpResponse`; None when the
            body is needed.
        """
        if self._unchecked_head is not None:
            head, self._unchecked_head = self._unchecked_head, None
            response = self._response_to_head(head)
            self.response = self.response or response
        refusal, self.response = self.response, None
        return refusal

    def _response_to_head(self, head):
        if self._check_head is None:
            return None
        try:
            return self._check_head(head)
        except Exception as error:
            failures.contain(LOG, "head_check_failed", error)
            return problems.problem_response(codes.INTERNAL_ERROR)

    def _reserve_for(self, expected_bytes):
        """Reserve memory for a body, or prepare the refusal."""
        added_bytes = memory_account.body_cost(expected_bytes)
        added_bytes -= self.reserved_bytes
        is_small = expected_bytes <= memory_account.SMALL_BODY_BYTES
        if self._reserve(added_bytes, is_small):
            self.reserved_bytes += added_bytes
            return
        self.reserved_bytes = 0
        self.response = problems.problem_response(
            codes.MEMORY_SHORT, "", RETRY_AFTER_MS
        )
