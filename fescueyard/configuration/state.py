"""The replicated state machine of the configuration.

Every control VM applies the same changes in the same order, so nothing here
may depend on time, chance or settings.
"""

import collections
import dataclasses
import hashlib

from fescueyard.configuration import messages
from fescueyard.configuration import models
from fescueyard.core import codes
from fescueyard.core import exceptions
from fescueyard.core import wire

# Kinds that a whole document sets; those it does not name are retired.
DOCUMENT_KINDS = (
    models.Kind.PROFILE,
    models.Kind.FIRM,
    models.Kind.SERVICE,
    models.Kind.CUSTOMER,
    models.Kind.KEY,
    models.Kind.ROUTE,
    models.Kind.LISTENER,
)
JOURNAL_ENTRIES_MAX = 4_000
RECORDED_RESULTS_MAX = 20_000


@dataclasses.dataclass(slots=True)
class Change:
    """An operator's change of one object.

    :param change_id: chosen by the operator; a resend carries the same.
    :param operator: who asked.
    :param kind: value of :class:`~fescueyard.configuration.models.Kind`.
    :param name: the object's name.
    :param expected_version: version of the object the operator saw; 0 when
        it must not exist.
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
    """One object of a whole document.

    :param kind: value of :class:`~fescueyard.configuration.models.Kind`.
    :param name: the object's name.
    :param document: JSON.
    """

    kind: str
    name: str
    document: bytes


@dataclasses.dataclass(slots=True)
class DocumentChange:
    """A whole configuration in place of the present one.

    :param change_id: digest of the source; a resend has the same.
    :param operator: who asked.
    :param number: the operators' own number of this document; it grows.
    :param base_number: number of the document it builds on; 0 for none.
    :param source: the document as the operator sent it, compressed.
    :param objects: every object of the document.
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

    :param number: the operators' number of it; 0 for none.
    :param source: the document as it was sent, compressed.
    """

    number: int
    source: bytes


@dataclasses.dataclass(slots=True)
class ChangeResult:
    """What became of a change.

    :param code: number of the result code.
    :param version: version of the object afterwards, or as it stands.
    :param detail: one sentence, empty on success.
    """

    code: int
    version: int
    detail: str


@dataclasses.dataclass(slots=True)
class RecordedResult:
    """The first answer to a change, kept for resends."""

    change_id: str
    digest: bytes
    result: ChangeResult


@dataclasses.dataclass(slots=True)
class StateRecord:
    """The state as it is written into a snapshot."""

    cluster_id: str
    version: int
    objects: list[messages.ObjectVersion]
    recorded_results: list[RecordedResult]
    applied_document: AppliedDocument


class ConfigurationState:
    """Tables of the configured objects.

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

    def find(self, kind, name):
        """Look up an object.

        :param kind: :class:`~fescueyard.configuration.models.Kind`.
        :param name: its name.
        :returns: the validated object, or None.
        """
        return self.objects[kind].get(name)

    def version_of(self, kind, name):
        """Look up the version of an object.

        :returns: the version; 0 when there is no such object.
        """
        row = self.object_versions[kind].get(name)
        return row.version if row else 0

    def put(self, row):
        """Install one object version.

        :param row: :class:`~fescueyard.configuration.messages.ObjectVersion`.
        """
        kind = models.Kind(row.kind)
        if row.document:
            self.objects[kind][row.name] = models.parse_document(
                kind, row.document
            )
            self.object_versions[kind][row.name] = row
        else:
            self.objects[kind].pop(row.name, None)
            self.object_versions[kind].pop(row.name, None)
        self.version = max(self.version, row.version)

    def add_to_journal(self, row):
        """Add an object version to the journal of changes.

        :param row: the object version just put.
        """
        self.journal.append(row)
        if len(self.journal) > JOURNAL_ENTRIES_MAX:
            self.journal_floor_version = self.journal.popleft().version

    def reset_journal(self):
        """Empty the journal after a whole configuration was installed."""
        self.journal.clear()
        self.journal_floor_version = self.version


def apply_change(state, change, version):
    """Apply a change.

    :param state: :class:`ConfigurationState`, changed in place.
    :param change: :class:`Change`.
    :param version: version of the configuration if the change is taken.
    :returns: :class:`ChangeResult`; a resend gets the first one again.
    """
    digest = hashlib.sha256(wire.encode_plain(change)).digest()
    kept = state.recorded_results.get(change.change_id)
    if kept is not None:
        if kept.digest == digest:
            return kept.result
        return _refusal(codes.CHANGE_ID_REUSED, 0)
    result = _decide(state, change, version)
    if result.code == codes.CHANGED.number:
        row = messages.ObjectVersion(
            change.kind, change.name, version, change.document
        )
        state.put(row)
        state.add_to_journal(row)
    _keep_result(state, RecordedResult(change.change_id, digest, result))
    return result


def apply_document(state, change, version):
    """Apply a whole document.

    :param state: :class:`ConfigurationState`, changed in place.
    :param change: :class:`DocumentChange`.
    :param version: version of the configuration if the change is taken.
    :returns: :class:`ChangeResult`; a resend gets the first one again, also
        when it was a refusal.
    """
    kept = state.recorded_results.get(change.change_id)
    if kept is not None:
        return kept.result
    present = state.applied_document.number
    if change.base_number != present or change.number <= present:
        result = _refusal(
            codes.VERSION_CONFLICT, present, f"document {present} is in force"
        )
    else:
        for row in _document_rows(state, change, version):
            state.put(row)
            state.add_to_journal(row)
        state.version = max(state.version, version)
        state.applied_document = AppliedDocument(change.number, change.source)
        result = ChangeResult(codes.CHANGED.number, change.number, "")
    digest = bytes.fromhex(change.change_id)
    _keep_result(state, RecordedResult(change.change_id, digest, result))
    return result


def check_references(rows):
    """Check that a document's objects refer to each other only.

    :param rows: list of :class:`DocumentObject`.
    :raises ChangeError: when an object is named twice or one is missing.
    """
    named = set()
    for row in rows:
        place = (models.Kind(row.kind), row.name)
        if place in named:
            raise exceptions.ChangeError(f"{row.kind} {row.name!r} is twice")
        named.add(place)
    for row in rows:
        kind = models.Kind(row.kind)
        value = models.parse_document(kind, row.document)
        for target_kind, name in _references(kind, value):
            if (target_kind, name) not in named:
                raise exceptions.ChangeError(
                    f"{row.kind} {row.name!r} names the missing "
                    f"{target_kind.value} {name!r}",
                    codes.BROKEN_REFERENCE,
                )


def _document_rows(state, change, version):
    """List the object versions that a document changes or retires."""
    found = []
    named = set()
    for each in change.objects:
        kind = models.Kind(each.kind)
        named.add((kind, each.name))
        known = state.object_versions[kind].get(each.name)
        if known is None or known.document != each.document:
            found.append(
                messages.ObjectVersion(
                    each.kind, each.name, version, each.document
                )
            )
    for kind in DOCUMENT_KINDS:
        for name in state.object_versions[kind]:
            if (kind, name) not in named:
                found.append(
                    messages.ObjectVersion(kind.value, name, version, b"")
                )
    return found


def objects_since(state, version):
    """List what changed after a version.

    :param state: :class:`ConfigurationState`.
    :param version: the asker's version.
    :returns: list of object versions, or None when the journal does not
        reach back so far and the whole configuration is needed.
    """
    if version < state.journal_floor_version:
        return None
    # The newest entries are at the right; askers are rarely far behind.
    changed = []
    for row in reversed(state.journal):
        if row.version <= version:
            break
        changed.append(row)
    changed.reverse()
    return changed


def all_objects(state):
    """List every object in force.

    :returns: list of object versions.
    """
    found = []
    for rows in state.object_versions.values():
        found.extend(rows.values())
    return found


def dump_state(state):
    """Write the state for a snapshot.

    :returns: bytes.
    """
    record = StateRecord(
        state.cluster_id,
        state.version,
        all_objects(state),
        list(state.recorded_results.values()),
        state.applied_document,
    )
    return wire.encode_plain(record)


def load_state(payload):
    """Read the state back from a snapshot.

    :param payload: bytes made by :func:`dump_state`.
    :returns: :class:`ConfigurationState`.
    :raises StreamError: when the bytes are no state.
    """
    record = wire.decode_plain(StateRecord, payload)
    state = ConfigurationState(record.cluster_id)
    for row in record.objects:
        state.put(row)
    state.version = record.version
    state.reset_journal()
    for kept in record.recorded_results:
        state.recorded_results[kept.change_id] = kept
    state.applied_document = record.applied_document
    return state


def _decide(state, change, version):
    kind = models.Kind(change.kind)
    current = state.version_of(kind, change.name)
    if current != change.expected_version:
        if current == 0:
            return _refusal(codes.UNKNOWN_OBJECT, 0)
        return _refusal(codes.VERSION_CONFLICT, current)
    if change.document:
        value = models.parse_document(kind, change.document)
        missing = _missing_reference(state, kind, value)
        if missing:
            return _refusal(codes.BROKEN_REFERENCE, current, missing)
    else:
        if current == 0:
            return _refusal(codes.UNKNOWN_OBJECT, 0)
        referrer = _referrer(state, kind, change.name)
        if referrer:
            return _refusal(codes.STILL_REFERRED_TO, current, referrer)
    return ChangeResult(codes.CHANGED.number, version, "")


def _missing_reference(state, kind, value):
    for target_kind, name in _references(kind, value):
        if state.find(target_kind, name) is None:
            return f"no {target_kind.value} named {name!r}"
    return ""


def _references(kind, value):
    if kind is models.Kind.SERVICE:
        return [(models.Kind.PROFILE, value.profile)]
    if kind is models.Kind.CUSTOMER:
        found = [(models.Kind.FIRM, value.firm)]
        for name in value.services:
            found.append((models.Kind.SERVICE, name))
        return found
    if kind is models.Kind.KEY:
        return [(models.Kind.CUSTOMER, value.customer)]
    if kind is models.Kind.ROUTE:
        return [(models.Kind.SERVICE, part.service) for part in value.parts]
    return []


def _referrer(state, kind, name):
    for other_kind, objects in state.objects.items():
        for other_name, value in objects.items():
            if (kind, name) in _references(other_kind, value):
                return f"{other_kind.value} {other_name!r} refers to it"
    return ""


def _refusal(code, version, detail=""):
    return ChangeResult(code.number, version, detail or code.title)


def _keep_result(state, kept):
    state.recorded_results[kept.change_id] = kept
    if len(state.recorded_results) > RECORDED_RESULTS_MAX:
        state.recorded_results.popitem(last=False)
