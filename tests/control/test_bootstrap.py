"""Founding by several control VMs that start together."""

import pytest

from fescueyard.conf import settings
from fescueyard.control import bootstrap
from fescueyard.control import storage

FOUNDERS = ["10.1.0.1:7000", "10.2.0.1:7000", "10.3.0.1:7000"]


def _found(tmp_path, address, founders):
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
    folder = storage.Storage(values.data_folder)
    bootstrap.bootstrap_cluster(folder, values)
    return folder.load()


def test_founders_agree_without_asking(tmp_path):
    found = [
        _found(tmp_path, FOUNDERS[0], FOUNDERS),
        _found(tmp_path, FOUNDERS[1], list(reversed(FOUNDERS))),
        _found(tmp_path, FOUNDERS[2], FOUNDERS + FOUNDERS[:1]),
    ]
    assert found[0].snapshot == found[1].snapshot == found[2].snapshot
    own = [row.member_id for row in found]
    listed = [row.member_id for row in found[0].snapshot.members]
    assert sorted(own) == sorted(listed)
    assert all(row.voter for row in found[0].snapshot.members)


def test_other_founders_found_another_cluster(tmp_path):
    one = _found(tmp_path, FOUNDERS[0], FOUNDERS)
    other = _found(tmp_path / "x", FOUNDERS[0], FOUNDERS[:2])
    assert one.snapshot.state != other.snapshot.state
    assert one.member_id != other.member_id


def test_folder_with_a_member_is_never_founded_again(tmp_path):
    _found(tmp_path, FOUNDERS[0], FOUNDERS)
    with pytest.raises(Exception, match="4001"):
        _found(tmp_path, FOUNDERS[0], FOUNDERS)
