"""What a process sends in response to configuration requests.

Load pattern: all nodes of a fleet start without a configuration, on slow
links. A node that gets no response in time asks again, and responses with a
complete configuration, of some ten kilobytes, queue up behind each other. So
a process that has nothing to send says so, a request that comes again while
the response is on its way gets no second one, and large responses are
compressed when they leave the zone. Requesters of earlier releases get none of
this; they ask without ``accepts_packed``.
"""

import dataclasses

from fescueyard.configuration import messages
from fescueyard.core import packing

# Responses with at least this many bytes of documents are large.
LARGE_BYTES = 2_000
# A large response is not sent again on the same stream within this time.
REPEAT_AFTER_MS = 1_000


@dataclasses.dataclass(frozen=True, slots=True)
class LargeResponse:
    """A large response that was sent a short time ago.

    :param stream: handle of the stream that it was sent on.
    :param known_version: version that the requester had.
    :param version: version that it was sent.
    :param sent_at_ms: when it was sent.
    """

    stream: object
    known_version: int
    version: int
    sent_at_ms: float


def compact(sent, response, request, sender, in_own_zone, now_ms):
    """Reduce a response to what the requester doesn't have.

    :param sent: :class:`LargeResponse` by id of the requester; updated.
    :param response: from
        :func:`~fescueyard.configuration.replica.respond`, or None.
    :param request: the request.
    :param sender: :class:`~fescueyard.core.dispatch.Sender` of the request.
    :param in_own_zone: whether the requester is in the zone of this process.
    :param now_ms: the present time.
    :returns: the response to send, or None.
    """
    if not request.accepts_packed:
        return response
    if response is None:
        return _empty_response(request)
    document_bytes = sum(len(item.document) for item in response.objects)
    if document_bytes < LARGE_BYTES:
        return response
    if _is_repeated(sent, response, request, sender, now_ms):
        return None
    if not in_own_zone:
        batch = messages.ObjectBatch(response.objects)
        response = dataclasses.replace(
            response, objects=[], packed=packing.pack(batch)
        )
    return response


def _is_repeated(sent, response, request, sender, now_ms):
    """Return whether the requester was sent the same a short time ago."""
    for peer_id, earlier in list(sent.items()):
        if now_ms - earlier.sent_at_ms >= REPEAT_AFTER_MS:
            del sent[peer_id]
    earlier = sent.get(sender.peer_id)
    if (
        earlier is not None
        and earlier.stream is sender.stream
        and earlier.known_version == request.version
        and earlier.version == response.version
    ):
        return True
    sent[sender.peer_id] = LargeResponse(
        sender.stream, request.version, response.version, now_ms
    )
    return False


def _empty_response(request):
    return messages.ConfigurationResponse(
        request.request_id,
        cluster_id="",
        version=0,
        complete=False,
        age_ms=-1.0,
        objects=[],
        control_addresses=[],
    )


def unpack(response):
    """Return a response with its objects in place.

    :param response: a response as received.
    :returns: the response.
    :raises StreamError: when its objects can't be read.
    """
    if not response.packed:
        return response
    batch = packing.unpack(messages.ObjectBatch, response.packed)
    return dataclasses.replace(response, objects=batch.objects, packed=b"")


def is_empty(response):
    """Return whether the responder had nothing to send.

    :param response: the response.
    :returns: bool.
    """
    return response.age_ms < 0 and not response.cluster_id
