"""Disks that refuse writes: the data folder, and the members as a group."""

import errno
import os

import pytest

from fescueyard.consensus import models as consensus_models
from fescueyard.control import storage as storages
from fescueyard.core import codes
from tests.control import harness

WRITES_MAX = 30


class FaultyDisk:
    """Fails every write from a given one on, until it has room again.

    A failing write of bytes first writes half of them.

    :param writes_left: writes that still succeed.
    """

    def __init__(self, monkeypatch, writes_left):
        self.writes_left = writes_left
        self._write_all = storages._write_all
        monkeypatch.setattr(storages, "_write_all", self._write)
        for name in ("fsync", "fdatasync", "rename"):
            guarded = self._guard(getattr(os, name))
            monkeypatch.setattr(storages.os, name, guarded)

    def free(self):
        """Let all writes succeed again."""
        self.writes_left = float("inf")

    def _count(self):
        self.writes_left -= 1
        if self.writes_left < 0:
            raise OSError(errno.ENOSPC, "no space left on the device")

    def _write(self, file, data):
        try:
            self._count()
        except OSError:
            self._write_all(file, data[: len(data) // 2])
            raise
        self._write_all(file, data)

    def _guard(self, function):
        def guarded(*arguments):
            self._count()
            return function(*arguments)

        return guarded


def _entries(first, last, term=1):
    return [
        consensus_models.LogEntry(
            index, term, consensus_models.CHANGE_ENTRY, b"x" * 40
        )
        for index in range(first, last + 1)
    ]


def _unsaved(**fields):
    unsaved = consensus_models.UnsavedChanges(None, None, None, [])
    for name, value in fields.items():
        setattr(unsaved, name, value)
    return unsaved


STEPS = [
    _unsaved(entries=_entries(1, 3)),
    _unsaved(vote=consensus_models.Vote(2, "m-other")),
    _unsaved(truncate_after=2, entries=_entries(3, 3, term=2)),
    _unsaved(
        snapshot=consensus_models.Snapshot(2, 1, [], b"state"),
        entries=_entries(4, 6, term=2),
    ),
    _unsaved(entries=_entries(7, 7, term=2)),
]
# The entry that the third step replaces; until then it is saved, and from the
# beginning of that step on it may be gone.
REPLACED_INDEX = 3


def _new_storage(folder):
    storage = storages.Storage(folder)
    storage.create(lambda member_id: consensus_models.Snapshot(0, 0, [], b""))
    storage.load()
    return storage


def _load(folder):
    storage = storages.Storage(folder)
    try:
        return storage.load()
    finally:
        storage.close()


@pytest.mark.parametrize("writes", range(WRITES_MAX))
def test_save_is_repeated_after_any_failed_write(
    tmp_path, monkeypatch, writes
):
    storage = _new_storage(tmp_path)
    disk = FaultyDisk(monkeypatch, writes)
    for step in STEPS:
        try:
            storage.save(step)
        except OSError:
            with pytest.raises(OSError):
                storage.save(step)
            disk.free()
            storage.save(step)
    storage.close()
    loaded = _load(tmp_path)
    assert loaded.entries == _entries(3, 7, term=2)
    assert loaded.vote == STEPS[1].vote
    assert loaded.snapshot == STEPS[3].snapshot


@pytest.mark.parametrize("writes", range(WRITES_MAX))
def test_crash_after_any_failed_write_loses_nothing_saved(
    tmp_path, monkeypatch, writes
):
    storage = _new_storage(tmp_path)
    disk = FaultyDisk(monkeypatch, writes)
    saved = {}
    saved_vote = consensus_models.Vote(0, "")
    for number, step in enumerate(STEPS):
        if step.truncate_after is not None:
            saved.pop(REPLACED_INDEX)
        try:
            storage.save(step)
        except OSError:
            break
        saved_vote = step.vote or saved_vote
        saved.update({entry.index: entry for entry in step.entries})
    disk.free()
    storage.close()
    loaded = _load(tmp_path)
    assert loaded.vote.term >= saved_vote.term
    present = {entry.index: entry for entry in loaded.entries}
    for index, entry in saved.items():
        assert index <= loaded.snapshot.index or present[index] == entry


@pytest.mark.parametrize("seed", range(6))
def test_leader_with_a_full_disk_is_replaced_and_joins_again(seed):
    cluster = harness.Cluster(3, seed)
    cluster.run(3_000)
    first = cluster.change(cluster.leader(), "one", 1, 0, "c1")
    cluster.run(500)
    old_leader = cluster.leader()
    cluster.disks[old_leader].full = True
    unsure = cluster.change(old_leader, "two", 2, 0, "c2")
    cluster.run(3_000)
    assert unsure.code == codes.CHANGE_OUTCOME_UNKNOWN.number
    assert cluster.leader() not in (None, old_leader)
    later = cluster.change(cluster.leader(), "one", 3, first.version, "c3")
    cluster.run(500)
    assert later.code == codes.CHANGED.number
    cluster.disks[old_leader].full = False
    cluster.run(3_000)
    other = next(
        name
        for name in cluster.tables
        if name not in (old_leader, cluster.leader())
    )
    cluster.crash(other)
    cluster.run(3_000)
    read = cluster.read(cluster.leader(), "one")
    cluster.run(500)
    assert read.observed_value == 3
    harness.check_history(cluster.history)


@pytest.mark.parametrize("seed", range(3))
def test_nothing_is_acknowledged_while_most_disks_are_full(seed):
    cluster = harness.Cluster(3, seed)
    cluster.run(3_000)
    for name in sorted(cluster.disks)[:2]:
        cluster.disks[name].full = True
    changes = []
    for number in range(1, 13):
        for name in list(cluster.tables):
            changes.append(
                cluster.change(name, "one", number, 0, f"{name}-{number}")
            )
        cluster.run(200)
    cluster.run(4_000)
    assert codes.CHANGED.number not in {change.code for change in changes}
    for disk in cluster.disks.values():
        disk.full = False
    cluster.run(4_000)
    assert cluster.leader() is not None
    harness.check_history(cluster.history)
