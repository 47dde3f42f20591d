"""Reads the settings of a running process again."""

from fescueyard.core import exceptions
from fescueyard.core import logs

LOG = logs.ComponentLogger("settings")


def load_changed(load, current):
    """Read settings again, and return them if they have changed.

    Settings that can't be read or are invalid leave those in force.

    :param load: function that returns settings; None when they come from
        flags, which don't change.
    :param current: the settings in force.
    :returns: the new settings, or None when nothing is to be applied.
    """
    if load is None:
        LOG.info("reload_ignored", reason="settings come from flags")
        return None
    try:
        settings = load()
    except exceptions.SettingsError as error:
        LOG.error("reload_refused", detail=error.detail)
        return None
    return None if settings == current else settings
