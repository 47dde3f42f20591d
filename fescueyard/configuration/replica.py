"""A process's replica of the configuration and its freshness.

Freshness is measured from the time the request was sent, by the requester's
own clock. The copy of a process that was frozen or partitioned therefore
ages, whatever late responses reach it.
"""

import dataclasses

from fescueyard.configuration import messages
from fescueyard.configuration import models
from fescueyard.configuration import state as states
from fescueyard.core import dumps

PENDING_REQUESTS_MAX = 64


@dataclasses.dataclass
class ReplicaTable:
    """The local copy and the pending requests.

    :param state: :class:`~fescueyard.configuration.state.ConfigurationState`.
    :param fresh_as_of_ms: latest time as of which the copy is known to contain
        every accepted change; None before the first response.
    :param control_addresses: control VMs that a response last reported.
    :param request_sent_at_ms: send times of pending requests, by request id.
    :param keys_by_sha256: names of the customer keys by their hash.
    """

    state: states.ConfigurationState = dataclasses.field(
        default_factory=states.ConfigurationState
    )
    fresh_as_of_ms: float | None = None
    control_addresses: list[str] = dataclasses.field(default_factory=list)
    request_sent_at_ms: dict[int, float] = dataclasses.field(
        default_factory=dict, metadata=dumps.written_as("asked_at_ms")
    )
    last_request_id: int = dataclasses.field(
        default=0, metadata=dumps.written_as("last_question_id")
    )
    keys_by_sha256: dict[str, str] = dataclasses.field(default_factory=dict)


def new_request(table, now_ms, accepts_packed=False):
    """Create the next request and record when it is sent.

    :param table: :class:`ReplicaTable`.
    :param now_ms: the present time.
    :param accepts_packed: whether packed objects are requested.
    :returns: :class:`~fescueyard.configuration.messages.ConfigurationRequest`.
    """
    table.last_request_id += 1
    request_id = table.last_request_id
    table.request_sent_at_ms[request_id] = now_ms
    if len(table.request_sent_at_ms) > PENDING_REQUESTS_MAX:
        table.request_sent_at_ms.pop(min(table.request_sent_at_ms))
    return messages.ConfigurationRequest(
        request_id,
        table.state.cluster_id,
        table.state.version,
        accepts_packed,
    )


def respond(state, request, age_ms, control_addresses):
    """Respond to a request from the local copy.

    :param state: configuration of the responding process.
    :param request:
        :class:`~fescueyard.configuration.messages.ConfigurationRequest`.
    :param age_ms: current age of the copy, in ms; infinite when it has not
        been known to be complete since this process started: a log read back
        from disk may lack changes that others accepted.
    :param control_addresses: control VMs to report.
    :returns: the response, or None when the age is infinite, or this copy is
        of another cluster or older than the requester's.
    """
    if age_ms == float("inf"):
        return None
    if request.cluster_id not in ("", state.cluster_id):
        return None
    if request.version > state.version or not state.cluster_id:
        return None
    objects = None
    if request.cluster_id:
        objects = states.objects_since(state, request.version)
    complete = objects is None
    if complete:
        objects = states.all_objects(state)
    return messages.ConfigurationResponse(
        request.request_id,
        state.cluster_id,
        state.version,
        complete,
        age_ms,
        objects,
        control_addresses,
    )


def install(table, response):
    """Install the configuration from a response.

    A response without a pending request, of another cluster or with an older
    version is ignored: a configuration never reverts.

    :param table: :class:`ReplicaTable`.
    :param response:
        :class:`~fescueyard.configuration.messages.ConfigurationResponse`.
    :returns: whether the response was accepted.
    """
    sent_at_ms = table.request_sent_at_ms.pop(response.request_id, None)
    state = table.state
    if sent_at_ms is None or response.age_ms < 0:
        return False
    if state.cluster_id not in ("", response.cluster_id):
        return False
    if response.version < state.version:
        return False
    if response.complete:
        _install_complete(table, response)
    else:
        known_version = state.version
        for object_version in response.objects:
            # Responses to earlier and later requests may overlap, and a
            # complete document sets many objects in one version.
            if object_version.version > known_version:
                state.put(object_version)
                state.add_to_journal(object_version)
    table.state.version = response.version
    _index_keys(table, response)
    fresh_as_of_ms = sent_at_ms - response.age_ms
    if table.fresh_as_of_ms is None or fresh_as_of_ms > table.fresh_as_of_ms:
        table.fresh_as_of_ms = fresh_as_of_ms
        if response.control_addresses:
            table.control_addresses = response.control_addresses
    return True


def age_ms(table, now_ms):
    """Return the age of the copy.

    :param table: :class:`ReplicaTable`.
    :param now_ms: the present time.
    :returns: age in ms; infinite before the first response.
    """
    if table.fresh_as_of_ms is None:
        return float("inf")
    return now_ms - table.fresh_as_of_ms


def rounded_age_ms(table, now_ms):
    """Return the age of the copy for a log line.

    :param table: :class:`ReplicaTable`.
    :param now_ms: the present time.
    :returns: age in whole ms; None before the first response.
    """
    known_age_ms = age_ms(table, now_ms)
    return None if known_age_ms == float("inf") else round(known_age_ms)


def _install_complete(table, response):
    state = states.ConfigurationState(response.cluster_id)
    for object_version in response.objects:
        state.put(object_version)
    state.version = response.version
    state.reset_journal()
    table.state = state


def _index_keys(table, response):
    kinds = {object_version.kind for object_version in response.objects}
    if models.Kind.KEY.value not in kinds and not response.complete:
        return
    keys = table.state.objects[models.Kind.KEY]
    table.keys_by_sha256 = {key.sha256: name for name, key in keys.items()}
