"""Helpers shared by the commands."""

import os

from absl import logging

from fescueyard.conf import checks
from fescueyard.conf import settings
from fescueyard.core import logs

_LEVELS = {
    "debug": logging.DEBUG,
    "info": logging.INFO,
    "warning": logging.WARNING,
    "error": logging.ERROR,
}


def load_process_settings(cls, flags):
    """Load and check the settings of a process, and set its log level.

    :param cls: settings class.
    :param flags: flag values by name.
    :returns: an instance of ``cls``.
    :raises SettingsError: when a setting is invalid.
    """
    values = settings.load(cls, flags, os.environ)
    checks.require_valid(values)
    logging.set_verbosity(_LEVELS[values.log_level])
    logs.set_level(values.log_level)
    return values
