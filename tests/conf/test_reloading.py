"""What is applied when settings are read again."""

import pytest

from fescueyard.conf import reloading
from fescueyard.core import exceptions


def _refuse():
    raise exceptions.SettingsError("odd file")


# A file that is half written must not end a process or undo its settings.
@pytest.mark.parametrize(
    "load, expected",
    [(lambda: "new", "new"), (lambda: "old", None), (_refuse, None)],
    ids=["changed", "unchanged", "refused"],
)
def test_only_valid_changed_settings_are_applied(load, expected):
    assert reloading.load_changed(load, "old") == expected


def test_settings_from_flags_are_not_read_again():
    assert reloading.load_changed(None, "old") is None
