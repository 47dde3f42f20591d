"""A process's copy of the configuration and how fresh it is.

Freshness is measured from the moment the question was sent, by the asker's own
clock. A process that was frozen or cut off therefore sees its copy grow old,
whatever answers reach it late.
"""

import dataclasses

from fescueyard.configuration import messages
from fescueyard.configuration import models
from fescueyard.configuration import state as states

PENDING_REQUESTS_MAX = 64


@dataclasses.dataclass
class ReplicaTable:
    """The copy and the open questions.

    :param state: :class:`~fescueyard.configuration.state.ConfigurationState`.
    :param fresh_as_of_ms: latest time as of which the copy is known to hold
        every accepted change; None before the first answer.
    :param control_addresses: control VMs as last told.
    """

    state: states.ConfigurationState = dataclasses.field(
        default_factory=states.ConfigurationState
    )
    fresh_as_of_ms: float | None = None
    control_addresses: list[str] = dataclasses.field(default_factory=list)
    request_sent_at_ms: dict[int, float] = dataclasses.field(
        default_factory=dict
    )
    last_request_id: int = 0
    keys_by_sha256: dict[str, str] = dataclasses.field(default_factory=dict)


def new_request(table, now_ms):
    """Make the next question.

    :param table: :class:`ReplicaTable`.
    :param now_ms: the present time.
    :returns: :class:`~fescueyard.configuration.messages.ConfigurationRequest`.
    """
    table.last_request_id += 1
    request_id = table.last_request_id
    table.request_sent_at_ms[request_id] = now_ms
    if len(table.request_sent_at_ms) > PENDING_REQUESTS_MAX:
        table.request_sent_at_ms.pop(min(table.request_sent_at_ms))
    return messages.ConfigurationRequest(
        request_id, table.state.cluster_id, table.state.version
    )


def respond(state, question, age_ms, control_addresses):
    """Answer a question out of a copy.

    :param state: the answering process's configuration.
    :param question: the question.
    :param age_ms: age of the copy now, in ms.
    :param control_addresses: control VMs to tell.
    :returns: the answer, or None when this copy is of another cluster,
        older than the asker's, or was not known to be whole since this process
        started: a log read back from disk may lack what others accepted.
    """
    if age_ms == float("inf"):
        return None
    if question.cluster_id not in ("", state.cluster_id):
        return None
    if question.version > state.version or not state.cluster_id:
        return None
    objects = None
    if question.cluster_id:
        objects = states.objects_since(state, question.version)
    whole = objects is None
    if whole:
        objects = states.all_objects(state)
    return messages.ConfigurationResponse(
        question.request_id,
        state.cluster_id,
        state.version,
        whole,
        age_ms,
        objects,
        control_addresses,
    )


def install(table, told):
    """Install an answer.

    An answer to a forgotten question, of another cluster or with an older
    version changes nothing: a configuration never reverts.

    :param table: :class:`ReplicaTable`.
    :param told: the answer.
    :returns: whether the answer counted.
    """
    asked_at_ms = table.request_sent_at_ms.pop(told.request_id, None)
    state = table.state
    if asked_at_ms is None or told.age_ms < 0:
        return False
    if state.cluster_id not in ("", told.cluster_id):
        return False
    if told.version < state.version:
        return False
    if told.complete:
        _install_complete(table, told)
    else:
        known_version = state.version
        for row in told.objects:
            # An answer to an earlier question may overlap a later one, and a
            # whole document sets many objects in one version.
            if row.version > known_version:
                state.put(row)
                state.add_to_journal(row)
    table.state.version = told.version
    _index_keys(table, told)
    if told.control_addresses:
        table.control_addresses = told.control_addresses
    fresh_as_of_ms = asked_at_ms - told.age_ms
    if table.fresh_as_of_ms is None or fresh_as_of_ms > table.fresh_as_of_ms:
        table.fresh_as_of_ms = fresh_as_of_ms
    return True


def age_ms(table, now_ms):
    """Say how old the copy is.

    :param table: :class:`ReplicaTable`.
    :param now_ms: the present time.
    :returns: age in ms; infinite before the first answer.
    """
    if table.fresh_as_of_ms is None:
        return float("inf")
    return now_ms - table.fresh_as_of_ms


def _install_complete(table, told):
    state = states.ConfigurationState(told.cluster_id)
    for row in told.objects:
        state.put(row)
    state.version = told.version
    state.reset_journal()
    table.state = state


def _index_keys(table, told):
    kinds = {row.kind for row in told.objects}
    if models.Kind.KEY.value not in kinds and not told.complete:
        return
    keys = table.state.objects[models.Kind.KEY]
    table.keys_by_sha256 = {key.sha256: name for name, key in keys.items()}
