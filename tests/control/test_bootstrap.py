"""Bootstrap of a cluster by several control VMs that start together."""

import pytest

from fescueyard.conf import settings
from fescueyard.control import bootstrap
from fescueyard.control import storage

FOUNDERS = ["10.1.0.1:7000", "10.2.0.1:7000", "10.3.0.1:7000"]


def _bootstrap(tmp_path, address, founders):
    values = settings.load(
        settings.ControlSettings,
        {
            "zone": "a",
            "address": address,
            "admin_address": "10.1.0.1:8000",
            "data_folder": str(tmp_path / address),
            "founders": founders,
        },
        {},
    )
    open_storage = storage.Storage(values.data_folder)
    bootstrap.bootstrap_cluster(open_storage, values)
    return open_storage.load()


def test_founders_write_the_same_snapshot_without_communicating(tmp_path):
    stored = [
        _bootstrap(tmp_path, FOUNDERS[0], FOUNDERS),
        _bootstrap(tmp_path, FOUNDERS[1], list(reversed(FOUNDERS))),
        _bootstrap(tmp_path, FOUNDERS[2], FOUNDERS + FOUNDERS[:1]),
    ]
    assert stored[0].snapshot == stored[1].snapshot == stored[2].snapshot
    own_ids = [state.member_id for state in stored]
    member_ids = [member.member_id for member in stored[0].snapshot.members]
    assert sorted(own_ids) == sorted(member_ids)
    assert all(member.voter for member in stored[0].snapshot.members)


def test_different_founders_bootstrap_different_clusters(tmp_path):
    first = _bootstrap(tmp_path, FOUNDERS[0], FOUNDERS)
    second = _bootstrap(tmp_path / "x", FOUNDERS[0], FOUNDERS[:2])
    assert first.snapshot.state != second.snapshot.state
    assert first.member_id != second.member_id


def test_folder_with_a_member_is_never_bootstrapped_again(tmp_path):
    _bootstrap(tmp_path, FOUNDERS[0], FOUNDERS)
    with pytest.raises(Exception, match="4001"):
        _bootstrap(tmp_path, FOUNDERS[0], FOUNDERS)
