"""Messages that spread the configuration."""

import dataclasses

from fescueyard.core import wire


@dataclasses.dataclass(slots=True)
class ObjectVersion:
    """One object as of one version.

    :param kind: value of :class:`~fescueyard.configuration.models.Kind`.
    :param name: the object's name.
    :param version: version of the configuration that set it.
    :param document: JSON; empty when the object is retired.
    """

    kind: str
    name: str
    version: int
    document: bytes


@wire.message(10)
@dataclasses.dataclass(slots=True)
class ConfigurationRequest:
    """Asks for what changed since a version.

    :param request_id: ties the answer to the time of asking.
    :param cluster_id: cluster of the asker; empty before its first answer.
    :param version: the asker's version.
    """

    request_id: int
    cluster_id: str
    version: int


@wire.message(11)
@dataclasses.dataclass(slots=True)
class ConfigurationResponse:
    """Answers a :class:`ConfigurationRequest`.

    :param request_id: the question.
    :param cluster_id: cluster of the configuration.
    :param version: version after the objects are installed.
    :param complete: the objects are the whole configuration, not a delta.
    :param age_ms: at the time of the answer, how long ago the answering
        process knew that no newer version was in force.
    :param objects: what changed.
    :param control_addresses: ``host:port`` of the control VMs.
    """

    request_id: int
    cluster_id: str
    version: int
    complete: bool
    age_ms: float
    objects: list[ObjectVersion]
    control_addresses: list[str]
