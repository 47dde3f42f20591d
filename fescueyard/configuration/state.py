"""The replicated state machine of the configuration.

Every control VM applies the same changes in the same order, so nothing here
may depend on time, random numbers or settings.
"""

import collections
import dataclasses
import hashlib

from fescueyard.configuration import messages
from fescueyard.configuration import models
from fescueyard.core import codes
from fescueyard.core import exceptions
from fescueyard.core import wire

# Kinds that a complete document sets; objects of these kinds that it does not
# contain are retired.
DOCUMENT_KINDS = (
    models.Kind.PROFILE,
    models.Kind.FIRM,
    models.Kind.SERVICE,
    models.Kind.CUSTOMER,
    models.Kind.KEY,
    models.Kind.ROUTE,
    models.Kind.LISTENER,
)
EVACUATION_DOCUMENT = b"{}"
JOURNAL_ENTRIES_MAX = 4_000
RECORDED_RESULTS_MAX = 20_000


@dataclasses.dataclass(slots=True)
class Change:
    """An operator's change of one object.

    :param change_id: chosen by the operator; a resend has the same id.
    :param operator: name of the operator.
    :param kind: value of :class:`~fescueyard.configuration.models.Kind`.
    :param name: the object's name.
    :param expected_version: version of the object that the operator saw; 0
        when the object must not exist. For an evacuation, the index up to
        which the process that received the change knew the log.
    :param document: JSON; empty to retire the object.
    """

    change_id: str
    operator: str
    kind: str
    name: str
    expected_version: int
    document: bytes


@dataclasses.dataclass(slots=True)
class DocumentObject:
    """One object of a complete document.

    :param kind: value of :class:`~fescueyard.configuration.models.Kind`.
    :param name: the object's name.
    :param document: JSON.
    """

    kind: str
    name: str
    document: bytes


@dataclasses.dataclass(slots=True)
class DocumentChange:
    """Replacement of the complete configuration by a document.

    :param change_id: digest of the source; a resend has the same id.
    :param operator: name of the operator.
    :param number: number that the operators give the document; increasing.
    :param base_number: number of the document that it is based on; 0 for none.
    :param source: the document as the operator sent it, compressed.
    :param objects: all objects of the document.
    """

    change_id: str
    operator: str
    number: int
    base_number: int
    source: bytes
    objects: list[DocumentObject]


@dataclasses.dataclass(slots=True)
class AppliedDocument:
    """The document in force.

    :param number: number that the operators gave it; 0 for none.
    :param source: the document as it was sent, compressed.
    """

    number: int
    source: bytes


@dataclasses.dataclass(slots=True)
class ChangeResult:
    """Outcome of a change.

    :param code: number of the result code.
    :param version: version of the object after the change, or the current one
        when the change was rejected; for a document, its number or the current
        one instead. 0 when there is none.
    :param detail: one sentence; empty on success.
    """

    code: int
    version: int
    detail: str


@dataclasses.dataclass(slots=True)
class RecordedResult:
    """The result of a change, recorded for resends."""

    change_id: str
    digest: bytes
    result: ChangeResult


@dataclasses.dataclass(slots=True)
class EvacuationEnd:
    """The last end of the evacuation of a zone that is not evacuated.

    :param version: version of the configuration that ended it.
    """

    zone: str
    version: int


@dataclasses.dataclass(slots=True)
class StateRecord:
    """The state as written to a snapshot."""

    cluster_id: str
    version: int
    objects: list[messages.ObjectVersion]
    recorded_results: list[RecordedResult]
    applied_document: AppliedDocument
    evacuation_ends: list[EvacuationEnd] = dataclasses.field(
        default_factory=list
    )


class ConfigurationState:
    """The configured objects and the journal of their changes.

    ``objects`` has the validated objects by kind and name, ``object_versions``
    their documents and versions. ``journal`` has the changes after
    ``journal_floor_version``. ``evacuation_ends`` has the versions that last
    ended the evacuation of a zone, by zone.

    :param cluster_id: identity of the cluster; empty when unknown.
    """

    def __init__(self, cluster_id=""):
        self.cluster_id = cluster_id
        self.version = 0
        self.objects = {kind: {} for kind in models.Kind}
        self.object_versions = {kind: {} for kind in models.Kind}
        self.journal = collections.deque()
        self.journal_floor_version = 0
        self.recorded_results = collections.OrderedDict()
        self.applied_document = AppliedDocument(0, b"")
        self.evacuation_ends = {}

    def find(self, kind, name):
        """Look up an object.

        :param kind: :class:`~fescueyard.configuration.models.Kind`.
        :param name: its name.
        :returns: the validated object, or None.
        """
        return self.objects[kind].get(name)

    def version_of(self, kind, name):
        """Return the version of an object.

        :returns: the version; 0 when there is no such object.
        """
        object_version = self.object_versions[kind].get(name)
        return object_version.version if object_version else 0

    def put(self, object_version):
        """Install an object version; one without a document retires it.

        :param object_version:
            :class:`~fescueyard.configuration.messages.ObjectVersion`.
        """
        kind = models.Kind(object_version.kind)
        if object_version.document:
            self.objects[kind][object_version.name] = models.parse_document(
                kind, object_version.document
            )
            self.object_versions[kind][object_version.name] = object_version
        else:
            self.objects[kind].pop(object_version.name, None)
            self.object_versions[kind].pop(object_version.name, None)
        self.version = max(self.version, object_version.version)

    def add_to_journal(self, object_version):
        """Append an object version to the change journal.

        :param object_version: the object version just put.
        """
        self.journal.append(object_version)
        if len(self.journal) > JOURNAL_ENTRIES_MAX:
            self.journal_floor_version = self.journal.popleft().version

    def reset_journal(self):
        """Clear the journal after a complete configuration was installed."""
        self.journal.clear()
        self.journal_floor_version = self.version


def apply_change(state, change, version):
    """Apply a change.

    :param state: :class:`ConfigurationState`, changed in place.
    :param change: :class:`Change`.
    :param version: version of the configuration if the change is accepted.
    :returns: :class:`ChangeResult`; a resend gets the recorded one.
    """
    if change.kind == models.Kind.EVACUATION.value:
        return _apply_evacuation(state, change, version)
    digest = hashlib.sha256(wire.encode_plain(change)).digest()
    recorded = state.recorded_results.get(change.change_id)
    if recorded is not None:
        if recorded.digest == digest:
            return recorded.result
        return _rejection(codes.CHANGE_ID_REUSED, 0)
    result = _validate_change(state, change, version)
    if result.code == codes.CHANGED.number:
        object_version = messages.ObjectVersion(
            change.kind, change.name, version, change.document
        )
        state.put(object_version)
        state.add_to_journal(object_version)
    _record_result(state, RecordedResult(change.change_id, digest, result))
    return result


def evacuation_change(operator, zone, evacuated, known_index):
    """Create the change that starts or ends the evacuation of a zone.

    It is idempotent, so it needs neither an id nor the version of the object.

    :param operator: name of the operator who sent it.
    :param zone: the zone.
    :param evacuated: whether the zone is to be evacuated.
    :param known_index: index up to which the process that received it knows
        the log.
    :returns: :class:`Change`.
    """
    document = EVACUATION_DOCUMENT if evacuated else b""
    kind = models.Kind.EVACUATION.value
    return Change("", operator, kind, zone, known_index, document)


def evacuated_zones(state):
    """List the evacuated zones.

    :param state: :class:`ConfigurationState`.
    :returns: list of names, sorted.
    """
    return sorted(state.objects[models.Kind.EVACUATION])


def apply_document(state, change, version):
    """Apply a complete document.

    :param state: :class:`ConfigurationState`, changed in place.
    :param change: :class:`DocumentChange`.
    :param version: version of the configuration if the change is accepted.
    :returns: :class:`ChangeResult`; a resend gets the recorded one, even when
        that was a rejection.
    """
    recorded = state.recorded_results.get(change.change_id)
    if recorded is not None:
        return recorded.result
    current_number = state.applied_document.number
    if change.base_number != current_number or change.number <= current_number:
        result = _rejection(
            codes.VERSION_CONFLICT,
            current_number,
            f"document {current_number} is in force",
        )
    else:
        for object_version in _document_versions(state, change, version):
            state.put(object_version)
            state.add_to_journal(object_version)
        state.version = max(state.version, version)
        state.applied_document = AppliedDocument(change.number, change.source)
        result = ChangeResult(codes.CHANGED.number, change.number, "")
    digest = bytes.fromhex(change.change_id)
    _record_result(state, RecordedResult(change.change_id, digest, result))
    return result


def check_references(objects):
    """Check that a document's objects only refer to one another.

    :param objects: list of :class:`DocumentObject`.
    :raises ChangeError: when an object is defined twice or a referenced one is
        missing.
    """
    defined = set()
    for document_object in objects:
        object_id = (models.Kind(document_object.kind), document_object.name)
        if object_id in defined:
            raise exceptions.ChangeError(
                f"{document_object.kind} {document_object.name!r} is twice"
            )
        defined.add(object_id)
    for document_object in objects:
        kind = models.Kind(document_object.kind)
        value = models.parse_document(kind, document_object.document)
        for target_kind, name in _references(kind, value):
            if (target_kind, name) not in defined:
                raise exceptions.ChangeError(
                    f"{document_object.kind} {document_object.name!r} "
                    "names the missing "
                    f"{target_kind.value} {name!r}",
                    codes.BROKEN_REFERENCE,
                )


def _document_versions(state, change, version):
    """Return the object versions that a document changes or retires."""
    changed = []
    defined = set()
    for document_object in change.objects:
        kind = models.Kind(document_object.kind)
        defined.add((kind, document_object.name))
        current = state.object_versions[kind].get(document_object.name)
        if current is None or current.document != document_object.document:
            changed.append(
                messages.ObjectVersion(
                    document_object.kind,
                    document_object.name,
                    version,
                    document_object.document,
                )
            )
    for kind in DOCUMENT_KINDS:
        for name in state.object_versions[kind]:
            if (kind, name) not in defined:
                changed.append(
                    messages.ObjectVersion(kind.value, name, version, b"")
                )
    return changed


def objects_since(state, version):
    """Return the changes after a version.

    :param state: :class:`ConfigurationState`.
    :param version: the requester's version.
    :returns: list of object versions, or None when the journal no longer
        covers that version and the complete configuration is needed.
    """
    if version < state.journal_floor_version:
        return None
    # Scan from the newest entry: requesters are rarely far behind.
    changed = []
    for object_version in reversed(state.journal):
        if object_version.version <= version:
            break
        changed.append(object_version)
    changed.reverse()
    return changed


def all_objects(state):
    """Return all objects in force.

    :returns: list of object versions.
    """
    objects = []
    for versions_by_name in state.object_versions.values():
        objects.extend(versions_by_name.values())
    return objects


def dump_state(state):
    """Encode the state for a snapshot.

    :param state: :class:`ConfigurationState`.
    :returns: bytes.
    """
    record = StateRecord(
        state.cluster_id,
        state.version,
        all_objects(state),
        list(state.recorded_results.values()),
        state.applied_document,
        [EvacuationEnd(*end) for end in state.evacuation_ends.items()],
    )
    return wire.encode_plain(record)


def load_state(payload):
    """Decode the state from a snapshot.

    :param payload: bytes made by :func:`dump_state`.
    :returns: :class:`ConfigurationState`.
    :raises StreamError: when the bytes are not an encoded state.
    """
    record = wire.decode_plain(StateRecord, payload)
    state = ConfigurationState(record.cluster_id)
    for object_version in record.objects:
        state.put(object_version)
    state.version = record.version
    state.reset_journal()
    for recorded in record.recorded_results:
        state.recorded_results[recorded.change_id] = recorded
    state.applied_document = record.applied_document
    state.evacuation_ends = {
        end.zone: end.version for end in record.evacuation_ends
    }
    return state


def _apply_evacuation(state, change, version):
    """Start or end an evacuation, unless that state already holds.

    A request that was delayed on its way to the leader must not undo a later
    one that was acknowledged in the meantime. So it is rejected if the zone
    has changed since the process that received it knew the log.
    """
    zone = change.name
    current = state.version_of(models.Kind.EVACUATION, zone)
    if bool(change.document) == bool(current):
        return ChangeResult(codes.CHANGED.number, current, "")
    changed_version = current or state.evacuation_ends.get(zone, 0)
    if changed_version > change.expected_version:
        return _rejection(codes.OVERTAKEN, changed_version)
    object_version = messages.ObjectVersion(
        change.kind, zone, version, change.document
    )
    state.put(object_version)
    state.add_to_journal(object_version)
    if change.document:
        state.evacuation_ends.pop(zone, None)
    else:
        state.evacuation_ends[zone] = version
    return ChangeResult(codes.CHANGED.number, version, "")


def _validate_change(state, change, version):
    kind = models.Kind(change.kind)
    current = state.version_of(kind, change.name)
    if current != change.expected_version:
        if current == 0:
            return _rejection(codes.UNKNOWN_OBJECT, 0)
        return _rejection(codes.VERSION_CONFLICT, current)
    if change.document:
        value = models.parse_document(kind, change.document)
        missing = _describe_missing_reference(state, kind, value)
        if missing:
            return _rejection(codes.BROKEN_REFERENCE, current, missing)
    else:
        if current == 0:
            return _rejection(codes.UNKNOWN_OBJECT, 0)
        referrer = _describe_referrer(state, kind, change.name)
        if referrer:
            return _rejection(codes.STILL_REFERRED_TO, current, referrer)
    return ChangeResult(codes.CHANGED.number, version, "")


def _describe_missing_reference(state, kind, value):
    for target_kind, name in _references(kind, value):
        if state.find(target_kind, name) is None:
            return f"no {target_kind.value} named {name!r}"
    return ""


def _references(kind, value):
    if kind is models.Kind.SERVICE:
        return [(models.Kind.PROFILE, value.profile)]
    if kind is models.Kind.CUSTOMER:
        references = [(models.Kind.FIRM, value.firm)]
        for name in value.services:
            references.append((models.Kind.SERVICE, name))
        return references
    if kind is models.Kind.KEY:
        return [(models.Kind.CUSTOMER, value.customer)]
    if kind is models.Kind.ROUTE:
        return [(models.Kind.SERVICE, part.service) for part in value.parts]
    return []


def _describe_referrer(state, kind, name):
    for other_kind, objects in state.objects.items():
        for other_name, value in objects.items():
            if (kind, name) in _references(other_kind, value):
                return f"{other_kind.value} {other_name!r} refers to it"
    return ""


def _rejection(code, version, detail=""):
    return ChangeResult(code.number, version, detail or code.title)


def _record_result(state, recorded):
    state.recorded_results[recorded.change_id] = recorded
    if len(state.recorded_results) > RECORDED_RESULTS_MAX:
        state.recorded_results.popitem(last=False)
