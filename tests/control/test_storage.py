"""The data folder under torn writes, bit flips, restarts and compaction."""

import pytest

from fescueyard.consensus import models as consensus_models
from fescueyard.control import storage as storages
from fescueyard.core import codes
from fescueyard.core import exceptions


def _entries(first, last):
    return [
        consensus_models.LogEntry(
            index, 1, consensus_models.CHANGE_ENTRY, b"x" * index
        )
        for index in range(first, last + 1)
    ]


def _create(folder):
    storage = storages.Storage(folder)
    storage.create(lambda member_id: consensus_models.Snapshot(0, 0, [], b""))
    storage.load()
    return storage


def _save(storage, **fields):
    unsaved = consensus_models.UnsavedChanges(None, None, None, [])
    for name, value in fields.items():
        setattr(unsaved, name, value)
    storage.save(unsaved)


def _reload(folder):
    storage = storages.Storage(folder)
    loaded = storage.load()
    storage.close()
    return loaded


def test_saved_entries_and_vote_are_loaded(tmp_path):
    storage = _create(tmp_path)
    for index in range(1, 301):
        _save(storage, entries=_entries(index, index))
    _save(storage, vote=consensus_models.Vote(9, "m-other"))
    storage.close()
    loaded = _reload(tmp_path)
    assert loaded.entries == _entries(1, 300)
    assert loaded.vote == consensus_models.Vote(9, "m-other")


def test_log_torn_at_any_byte_keeps_every_earlier_entry(tmp_path):
    storage = _create(tmp_path)
    _save(storage, entries=_entries(1, 5))
    log = tmp_path / "log"
    size_before = log.stat().st_size
    _save(storage, entries=_entries(6, 6))
    storage.close()
    complete = log.read_bytes()
    for end in range(size_before, len(complete)):
        log.write_bytes(complete[:end])
        assert _reload(tmp_path).entries == _entries(1, 5)
        assert log.stat().st_size == size_before


@pytest.mark.parametrize("name", ["vote", "snapshot", "member"])
def test_flipped_bit_in_a_replaced_file_is_refused(tmp_path, name):
    _create(tmp_path).close()
    path = tmp_path / name
    data = bytearray(path.read_bytes())
    for position in range(len(data)):
        data[position] ^= 1
        path.write_bytes(data)
        with pytest.raises(exceptions.StorageError) as caught:
            _reload(tmp_path)
        assert caught.value.code is codes.CORRUPT_STORAGE
        data[position] ^= 1


def test_flipped_bit_before_the_last_entry_is_refused(tmp_path):
    storage = _create(tmp_path)
    _save(storage, entries=_entries(1, 4))
    third_entry_end = storage._record_ends[2]
    storage.close()
    log = tmp_path / "log"
    data = bytearray(log.read_bytes())
    for position in range(third_entry_end):
        data[position] ^= 1
        log.write_bytes(data)
        with pytest.raises(exceptions.StorageError):
            _reload(tmp_path)
        data[position] ^= 1


def test_conflicting_entries_are_replaced(tmp_path):
    storage = _create(tmp_path)
    _save(storage, entries=_entries(1, 6))
    newer = consensus_models.LogEntry(4, 2, consensus_models.NOOP_ENTRY, b"")
    _save(storage, truncate_after=3, entries=[newer])
    storage.close()
    assert _reload(tmp_path).entries == [*_entries(1, 3), newer]


def test_snapshot_drops_only_the_entries_it_covers(tmp_path):
    storage = _create(tmp_path)
    _save(storage, entries=_entries(1, 6))
    snapshot = consensus_models.Snapshot(4, 1, [], b"state")
    _save(storage, snapshot=snapshot)
    _save(storage, entries=_entries(7, 8))
    storage.close()
    loaded = _reload(tmp_path)
    assert loaded.snapshot == snapshot
    assert loaded.entries == _entries(5, 8)


def test_crash_between_snapshot_and_log_compaction_loses_nothing(tmp_path):
    storage = _create(tmp_path)
    _save(storage, entries=_entries(1, 6))
    storage._drop_prefix = lambda index: None
    _save(storage, snapshot=consensus_models.Snapshot(4, 1, [], b"state"))
    storage.close()
    assert _reload(tmp_path).entries == _entries(5, 6)


def test_record_that_is_no_entry_is_refused(tmp_path):
    storage = _create(tmp_path)
    _save(storage, entries=_entries(1, 2))
    storage.close()
    with open(tmp_path / "log", "ab") as log:
        log.write(storages._frame(b"\xc1"))
    with pytest.raises(exceptions.StorageError) as caught:
        _reload(tmp_path)
    assert caught.value.code is codes.CORRUPT_STORAGE


@pytest.mark.parametrize("name", ["vote", "snapshot", "log"])
def test_missing_file_is_refused(tmp_path, name):
    _create(tmp_path).close()
    (tmp_path / name).unlink()
    with pytest.raises(exceptions.StorageError):
        _reload(tmp_path)


def test_empty_folder_is_refused_as_not_initialised(tmp_path):
    with pytest.raises(exceptions.StorageError) as caught:
        _reload(tmp_path)
    assert caught.value.code is codes.NOT_INITIALISED


def test_folder_is_locked_by_one_process(tmp_path):
    storage = _create(tmp_path)
    with pytest.raises(exceptions.StorageError):
        storages.Storage(tmp_path)
    storage.close()
    storages.Storage(tmp_path).close()
