"""Messages that distribute the configuration."""

import dataclasses

from fescueyard.core import dumps
from fescueyard.core import wire


@dataclasses.dataclass(slots=True)
class ObjectVersion:
    """One object as of one version.

    :param kind: value of :class:`~fescueyard.configuration.models.Kind`.
    :param name: the object's name.
    :param version: version of the configuration that set it.
    :param document: JSON; empty when the object was retired.
    """

    kind: str
    name: str
    version: int
    document: bytes


@wire.message(10)
@dataclasses.dataclass(slots=True)
class ConfigurationRequest:
    """Requests the changes since a version.

    :param request_id: matches the response to the time the request was sent.
    :param cluster_id: cluster of the requester; empty before its first
        response.
    :param version: version that the requester has.
    :param accepts_packed: whether the requester reads packed objects, and a
        response of a process that has nothing to send.
    """

    request_id: int = dataclasses.field(
        metadata=dumps.written_as("question_id")
    )
    cluster_id: str
    version: int
    accepts_packed: bool = False


@dataclasses.dataclass(slots=True)
class ObjectBatch:
    """Objects that are compressed together."""

    objects: list[ObjectVersion]


@wire.message(11)
@dataclasses.dataclass(slots=True)
class ConfigurationResponse:
    """Response to a :class:`ConfigurationRequest`.

    :param request_id: id of the request.
    :param cluster_id: cluster of the configuration.
    :param version: version once the objects are installed.
    :param complete: whether the objects are the complete configuration rather
        than a delta.
    :param age_ms: age of the responder's copy when it sent the response, that
        is, how long ago it knew that no newer version was in force; negative
        when the responder has nothing to send.
    :param objects: changed objects, or all when ``complete``.
    :param control_addresses: ``host:port`` of the control VMs.
    :param packed: :class:`ObjectBatch` in place of ``objects``, compressed;
        empty for none.
    """

    request_id: int = dataclasses.field(
        metadata=dumps.written_as("question_id")
    )
    cluster_id: str
    version: int
    complete: bool = dataclasses.field(metadata=dumps.written_as("whole"))
    age_ms: float
    objects: list[ObjectVersion]
    control_addresses: list[str]
    packed: bytes = b""
