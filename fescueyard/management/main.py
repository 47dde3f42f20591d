"""Entry point: a command line program with subcommands."""

import importlib
import sys

from absl import flags
from absl import logging
import fire

from fescueyard.core import exceptions

COMMANDS = {
    "check": "run",
    "codes": "run",
    "control": "run",
    "control_init": "run",
    "ctl": "Ctl",
    "dump": "run",
    "explain": "run",
    "node": "run",
    "operator_token": "run",
    "platform": "Platform",
    "settings_table": "run",
    "trace": "run",
}
EXIT_ERROR = 1
_PACKAGE = "fescueyard.management.commands"


def load_commands(arguments):
    """Import the requested command, or all commands when none is named.

    Long-lived processes avoid loading the libraries of other commands.

    :param arguments: command line arguments after the program name.
    :returns: dict of commands by name.
    """
    names = [name for name in arguments[:1] if name in COMMANDS]
    commands = {}
    for name in names or COMMANDS:
        module = importlib.import_module(f"{_PACKAGE}.{name}")
        commands[name] = getattr(module, COMMANDS[name])
    return commands


def main():
    """Run the command line."""
    # Fire parses the flags; without this call absl logging waits for its own
    # flags to be parsed.
    flags.FLAGS.mark_as_parsed()
    logging.use_absl_handler()
    logging.set_verbosity(logging.INFO)
    logging.get_absl_handler().python_handler.stream = sys.stderr
    try:
        fire.Fire(load_commands(sys.argv[1:]), name="fescueyard")
    except exceptions.FescueyardError as error:
        print(f"error {error.code.number}: {error.detail}", file=sys.stderr)
        sys.exit(EXIT_ERROR)


if __name__ == "__main__":
    main()
