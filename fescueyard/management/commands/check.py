"""``fescueyard check``: validates settings without starting a process."""

import os
import sys

from fescueyard.conf import checks
from fescueyard.conf import settings
from fescueyard.core import exceptions

_CLASSES = {
    "node": settings.NodeSettings,
    "control": settings.ControlSettings,
    "ctl": settings.OperatorSettings,
}


def run(command, **flags):
    """Validate the settings of a command and print all problems.

    :param command: ``node``, ``control`` or ``ctl``.
    :param flags: settings of the command.
    """
    cls = _CLASSES.get(command)
    if cls is None:
        raise exceptions.SettingsError(f"command {command!r} has no settings")
    problems = checks.check(settings.load(cls, flags, os.environ))
    for problem in problems:
        print(f"{problem.id}: {problem.message}\n    hint: {problem.hint}")
    errors = sum(problem.is_error() for problem in problems)
    print(f"{len(problems)} problems, {errors} of them errors")
    if errors:
        sys.exit(1)
