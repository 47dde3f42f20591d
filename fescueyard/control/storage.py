"""The data folder of a control VM.

Four files: ``member`` (identity), ``vote``, ``snapshot`` and ``log``. The
first three are replaced as a whole; the log is appended to. Each record
carries a checksum over its length and its bytes. Everything is synced before
:meth:`Storage.save` returns.
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

LOG = logs.PartLogger("storage")

_MAGIC = b"FYR1"
_HEADER = struct.Struct("!4sII")


@dataclasses.dataclass
class StoredState:
    """What a data folder holds."""

    member_id: str
    vote: consensus_models.Vote
    snapshot: consensus_models.Snapshot
    entries: list[consensus_models.LogEntry]


@dataclasses.dataclass
class _MemberRecord:
    member_id: str


class Storage:
    """An open data folder; only one process can hold it.

    :param folder: path of the folder.
    :raises StorageError: when another process holds it.
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

    def is_new(self):
        """Say whether the folder holds no member yet.

        :returns: bool.
        """
        return not os.path.exists(self._path("member"))

    def create(self, snapshot, member_id=""):
        """Give the folder an identity and its first snapshot.

        :param snapshot: function from the new member id to the
            :class:`~fescueyard.consensus.models.Snapshot`.
        :param member_id: the identity; made up when empty.
        :raises StorageError: when the folder already holds a member.
        """
        if not self.is_new():
            raise exceptions.StorageError("the folder already has a member")
        member_id = member_id or ids.new_id("m-")
        self._replace("snapshot", snapshot(member_id))
        self._replace("vote", consensus_models.Vote(0, ""))
        self._replace_log([])
        # The identity goes last: a folder without it counts as new.
        self._replace("member", _MemberRecord(member_id))

    def load(self):
        """Read everything back.

        A torn record at the very end of the log is cut; it was never
        acknowledged. Any other damage is an error.

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
        entries = [row for row in entries if row.index > snapshot.index]
        self._check_sequence(snapshot, entries)
        return StoredState(member.member_id, vote, snapshot, entries)

    def save(self, unsaved):
        """Write and sync what changed.

        :param unsaved: :class:`~fescueyard.consensus.models.UnsavedChanges`.
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
        """Release the folder."""
        if self._log is not None:
            self._log.close()
        self._lock.close()

    def _path(self, name):
        return os.path.join(self._folder, name)

    def _replace(self, name, value):
        self._replace_bytes(name, _frame(wire.encode_plain(value)))

    def _replace_bytes(self, name, data):
        path = self._path(name)
        with open(path + ".new", "wb") as file:
            file.write(data)
            file.flush()
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
            raise exceptions.StorageError(f"{name} is missing") from None
        payload, end = _unframe(data, 0)
        if payload is None or end != len(data):
            raise exceptions.StorageError(f"{name} fails its checksum")
        try:
            return wire.decode_plain(cls, payload)
        except exceptions.StreamError as error:
            raise exceptions.StorageError(f"{name}: {error.detail}") from None

    def _load_log(self):
        path = self._path("log")
        try:
            with open(path, "rb") as file:
                data = file.read()
        except FileNotFoundError:
            raise exceptions.StorageError("log is missing") from None
        entries, ends = _parse_log(data)
        end = ends[-1] if ends else 0
        if end < len(data):
            self._truncate_torn_tail(data, end)
        self._open_log(entries, ends)
        return entries

    def _truncate_torn_tail(self, data, end):
        if _contains_record(data, end + 1):
            raise exceptions.StorageError(
                f"log fails its checksum at byte {end}, before its last record"
            )
        LOG.warning("Torn end of the log cut.", bytes=len(data) - end)
        with open(self._path("log"), "r+b") as file:
            file.truncate(end)
            os.fsync(file.fileno())

    def _check_sequence(self, snapshot, entries):
        expected = snapshot.index + 1
        for entry in entries:
            if entry.index != expected:
                raise exceptions.StorageError(
                    f"log holds entry {entry.index} in place of {expected}"
                )
            expected += 1

    def _open_log(self, entries, ends):
        self._log = open(self._path("log"), "r+b")
        self._log.seek(0, os.SEEK_END)
        self._first_index = entries[0].index if entries else None
        self._record_ends = ends

    def _append(self, entries):
        if self._first_index is None or not self._record_ends:
            self._first_index = entries[0].index
        data = bytearray()
        start = self._record_ends[-1] if self._record_ends else 0
        for entry in entries:
            data += _frame(wire.encode_plain(entry))
            self._record_ends.append(start + len(data))
        self._log.write(data)
        self._log.flush()
        os.fdatasync(self._log.fileno())

    def _truncate_log(self, index):
        if not self._record_ends:
            return
        kept = max(0, index - self._first_index + 1)
        self._record_ends = self._record_ends[:kept]
        end = self._record_ends[-1] if self._record_ends else 0
        self._log.truncate(end)
        self._log.seek(end)
        os.fdatasync(self._log.fileno())

    def _drop_prefix(self, index):
        dropped = 0
        if self._record_ends:
            dropped = max(0, index - self._first_index + 1)
        dropped = min(dropped, len(self._record_ends))
        if not dropped:
            return
        start = self._record_ends[dropped - 1]
        self._log.seek(start)
        self._replace_bytes("log", self._log.read())
        self._log.close()
        ends = [end - start for end in self._record_ends[dropped:]]
        first_index = self._first_index + dropped
        self._open_log([], ends)
        self._first_index = first_index

    def _replace_log(self, entries):
        data = bytearray()
        for entry in entries:
            data += _frame(wire.encode_plain(entry))
        self._replace_bytes("log", data)


def _frame(payload):
    head = len(payload).to_bytes(4, "big")
    checksum = zlib.crc32(payload, zlib.crc32(head))
    return _HEADER.pack(_MAGIC, len(payload), checksum) + payload


def _unframe(data, start):
    """Read the record that begins at a byte.

    :returns: its payload and end, or None and None when it is no record.
    """
    if len(data) < start + _HEADER.size:
        return None, None
    magic, length, checksum = _HEADER.unpack_from(data, start)
    begin = start + _HEADER.size
    payload = data[begin : begin + length]
    if magic != _MAGIC or len(payload) < length:
        return None, None
    head = length.to_bytes(4, "big")
    if zlib.crc32(payload, zlib.crc32(head)) != checksum:
        return None, None
    return payload, begin + length


def _parse_log(data):
    entries = []
    ends = []
    start = 0
    while start < len(data):
        payload, end = _unframe(data, start)
        if payload is None:
            break
        entries.append(wire.decode_plain(consensus_models.LogEntry, payload))
        ends.append(end)
        start = end
    return entries, ends


def _contains_record(data, start):
    """Say whether any whole record begins after a byte."""
    while True:
        start = data.find(_MAGIC, start)
        if start < 0:
            return False
        if _unframe(data, start)[0] is not None:
            return True
        start += 1
