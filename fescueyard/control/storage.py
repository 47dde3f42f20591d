"""The data folder of a control VM.

The stored state is in four files: ``member`` (identity), ``vote``,
``snapshot`` and ``log``. The first three are replaced atomically. The log is
appended to, truncated when entries at its end conflict with the leader's, and
replaced atomically when a snapshot covers entries at its start. Each record
carries a checksum of its length and payload. All writes are synced to disk
before :meth:`Storage.save` returns. When it fails, for example on a full disk,
it can be repeated: what is known of the files changes only after a write has
succeeded, and a failed append is truncated before the next one. The file
``lock`` is empty; the process that uses the folder locks it.
"""

import dataclasses
import fcntl
import os
import struct
import zlib

from fescueyard.consensus import models as consensus_models
from fescueyard.core import codes
from fescueyard.core import exceptions
from fescueyard.core import ids
from fescueyard.core import logs
from fescueyard.core import wire

LOG = logs.ComponentLogger("storage")

_MAGIC = b"FYR1"
_HEADER = struct.Struct("!4sII")


@dataclasses.dataclass
class StoredState:
    """The contents of a data folder."""

    member_id: str
    vote: consensus_models.Vote
    snapshot: consensus_models.Snapshot
    entries: list[consensus_models.LogEntry]


@dataclasses.dataclass
class _MemberRecord:
    member_id: str


class Storage:
    """An open data folder, locked by this process.

    :param folder: path of the folder.
    :raises StorageError: when another process has locked it.
    """

    def __init__(self, folder):
        self._folder = folder
        os.makedirs(folder, exist_ok=True)
        self._lock = open(self._path("lock"), "w")
        try:
            fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            raise exceptions.StorageError(
                f"{folder} is in use by another process"
            ) from None
        self._log = None
        self._record_ends = []
        self._first_index = 1
        # Whether a failed append may have left bytes behind the last record.
        self._has_torn_tail = False

    def is_new(self):
        """Return whether the folder holds no member yet.

        :returns: bool.
        """
        return not os.path.exists(self._path("member"))

    def create(self, snapshot, member_id=""):
        """Initialise the folder with an identity and the first snapshot.

        :param snapshot: function from the new member id to the
            :class:`~fescueyard.consensus.models.Snapshot`.
        :param member_id: the identity; generated when empty.
        :raises StorageError: when the folder already holds a member.
        """
        if not self.is_new():
            raise exceptions.StorageError(
                "the data folder already holds a member"
            )
        member_id = member_id or ids.new_id("m-")
        self._replace("snapshot", snapshot(member_id))
        self._replace("vote", consensus_models.Vote(0, ""))
        self._replace_log([])
        # The identity is written last: a folder without it counts as new.
        self._replace("member", _MemberRecord(member_id))

    def load(self):
        """Read the contents of the folder.

        A torn record at the very end of the log is truncated; it was never
        acknowledged. Any other corruption is an error.

        :returns: :class:`StoredState`.
        :raises StorageError: when the folder is new or corrupt.
        """
        if self.is_new():
            raise exceptions.StorageError(
                "the data folder holds no member", codes.NOT_INITIALISED
            )
        member = self._read_record("member", _MemberRecord)
        vote = self._read_record("vote", consensus_models.Vote)
        snapshot = self._read_record("snapshot", consensus_models.Snapshot)
        entries = self._load_log()
        entries = [entry for entry in entries if entry.index > snapshot.index]
        self._check_sequence(snapshot, entries)
        return StoredState(member.member_id, vote, snapshot, entries)

    def save(self, unsaved):
        """Write the unsaved changes and sync them to disk.

        :param unsaved: :class:`~fescueyard.consensus.models.UnsavedChanges`.
        :raises OSError: when the disk refuses a write; nothing of the changes
            may be relied on then, and the call can be repeated.
        """
        if unsaved.vote is not None:
            self._replace("vote", unsaved.vote)
        if unsaved.truncate_after is not None:
            self._truncate_log(unsaved.truncate_after)
        if unsaved.snapshot is not None:
            self._replace("snapshot", unsaved.snapshot)
            self._drop_prefix(unsaved.snapshot.index)
        if unsaved.entries:
            self._append(unsaved.entries)

    def close(self):
        """Close the log and release the lock."""
        if self._log is not None:
            self._log.close()
        self._lock.close()

    def _path(self, name):
        return os.path.join(self._folder, name)

    def _replace(self, name, value):
        self._replace_bytes(name, _frame(wire.encode_plain(value)))

    def _replace_bytes(self, name, data):
        path = self._path(name)
        with open(path + ".new", "wb", buffering=0) as file:
            _write_all(file, data)
            os.fsync(file.fileno())
        os.rename(path + ".new", path)
        descriptor = os.open(self._folder, os.O_RDONLY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)

    def _read_record(self, name, cls):
        try:
            with open(self._path(name), "rb") as file:
                data = file.read()
        except FileNotFoundError:
            raise exceptions.StorageError(
                f"the data folder has no {name} file"
            ) from None
        payload, end = _unframe(data, 0)
        if payload is None or end != len(data):
            raise exceptions.StorageError(
                f"the {name} file fails its checksum"
            )
        try:
            return wire.decode_plain(cls, payload)
        except exceptions.StreamError as error:
            raise exceptions.StorageError(
                f"the {name} file can't be decoded: {error.detail}"
            ) from None

    def _load_log(self):
        path = self._path("log")
        try:
            with open(path, "rb") as file:
                data = file.read()
        except FileNotFoundError:
            raise exceptions.StorageError(
                "the data folder has no log file"
            ) from None
        entries, record_ends = _parse_log(data)
        end = record_ends[-1] if record_ends else 0
        if end < len(data):
            self._truncate_torn_tail(data, end)
        self._open_log(entries, record_ends)
        return entries

    def _truncate_torn_tail(self, data, end):
        if _contains_record(data, end + 1):
            raise exceptions.StorageError(
                f"the log file fails its checksum at byte {end}, "
                "before its last record"
            )
        LOG.warning(
            "Torn record at the end of the log truncated.",
            bytes=len(data) - end,
        )
        with open(self._path("log"), "r+b") as file:
            file.truncate(end)
            os.fsync(file.fileno())

    def _check_sequence(self, snapshot, entries):
        expected = snapshot.index + 1
        for entry in entries:
            if entry.index != expected:
                raise exceptions.StorageError(
                    f"the log file holds entry {entry.index} "
                    f"where entry {expected} was expected"
                )
            expected += 1

    def _open_log(self, entries, record_ends):
        self._log = open(self._path("log"), "r+b", buffering=0)
        self._first_index = entries[0].index if entries else None
        self._record_ends = record_ends

    def _append(self, entries):
        start = self._end_of_log()
        data = bytearray()
        record_ends = []
        for entry in entries:
            data += _frame(wire.encode_plain(entry))
            record_ends.append(start + len(data))
        if self._has_torn_tail:
            self._log.truncate(start)
        self._has_torn_tail = True
        self._log.seek(start)
        _write_all(self._log, data)
        os.fdatasync(self._log.fileno())
        self._has_torn_tail = False
        if not self._record_ends:
            self._first_index = entries[0].index
        self._record_ends += record_ends

    def _end_of_log(self):
        return self._record_ends[-1] if self._record_ends else 0

    def _truncate_log(self, index):
        if not self._record_ends:
            return
        kept_count = max(0, index - self._first_index + 1)
        kept = self._record_ends[:kept_count]
        self._log.truncate(kept[-1] if kept else 0)
        os.fdatasync(self._log.fileno())
        self._record_ends = kept
        self._has_torn_tail = False

    def _drop_prefix(self, index):
        dropped_count = 0
        if self._record_ends:
            dropped_count = max(0, index - self._first_index + 1)
        dropped_count = min(dropped_count, len(self._record_ends))
        if not dropped_count:
            return
        start = self._record_ends[dropped_count - 1]
        self._log.seek(start)
        kept = self._log.read(self._end_of_log() - start)
        self._replace_bytes("log", kept)
        self._log.close()
        record_ends = [
            end - start for end in self._record_ends[dropped_count:]
        ]
        first_index = self._first_index + dropped_count
        self._open_log([], record_ends)
        self._first_index = first_index
        self._has_torn_tail = False

    def _replace_log(self, entries):
        data = bytearray()
        for entry in entries:
            data += _frame(wire.encode_plain(entry))
        self._replace_bytes("log", data)


def _write_all(file, data):
    """Write all bytes to an unbuffered file."""
    remaining = memoryview(data)
    while remaining:
        remaining = remaining[file.write(remaining) :]


def _frame(payload):
    length_prefix = len(payload).to_bytes(4, "big")
    checksum = zlib.crc32(payload, zlib.crc32(length_prefix))
    return _HEADER.pack(_MAGIC, len(payload), checksum) + payload


def _unframe(data, start):
    """Read the record at a byte offset.

    :returns: its payload and end offset; None and None when there is no valid
        record.
    """
    if len(data) < start + _HEADER.size:
        return None, None
    magic, length, checksum = _HEADER.unpack_from(data, start)
    payload_start = start + _HEADER.size
    payload = data[payload_start : payload_start + length]
    if magic != _MAGIC or len(payload) < length:
        return None, None
    length_prefix = length.to_bytes(4, "big")
    if zlib.crc32(payload, zlib.crc32(length_prefix)) != checksum:
        return None, None
    return payload, payload_start + length


def _parse_log(data):
    entries = []
    record_ends = []
    start = 0
    while start < len(data):
        payload, end = _unframe(data, start)
        if payload is None:
            break
        entries.append(_decode_entry(payload, start))
        record_ends.append(end)
        start = end
    return entries, record_ends


def _decode_entry(payload, start):
    try:
        return wire.decode_plain(consensus_models.LogEntry, payload)
    except exceptions.StreamError as error:
        raise exceptions.StorageError(
            f"the log record at byte {start} can't be decoded: {error.detail}"
        ) from None


def _contains_record(data, start):
    """Return whether a complete record begins at or after a byte offset."""
    while True:
        start = data.find(_MAGIC, start)
        if start < 0:
            return False
        if _unframe(data, start)[0] is not None:
            return True
        start += 1
