"""Entry point: one program with a subcommand for each job."""

import sys

from absl import flags
from absl import logging
import fire

from fescueyard.core import exceptions
from fescueyard.management.commands import check
from fescueyard.management.commands import codes
from fescueyard.management.commands import control
from fescueyard.management.commands import control_init
from fescueyard.management.commands import ctl
from fescueyard.management.commands import dump
from fescueyard.management.commands import node
from fescueyard.management.commands import operator_token
from fescueyard.management.commands import settings_table

COMMANDS = {
    "check": check.run,
    "codes": codes.run,
    "control": control.run,
    "control_init": control_init.run,
    "ctl": ctl.Ctl,
    "dump": dump.run,
    "node": node.run,
    "operator_token": operator_token.run,
    "settings_table": settings_table.run,
}
EXIT_ERROR = 1


def main():
    """Run the command line."""
    # Flags are parsed by fire; this tells the logs not to wait for them.
    flags.FLAGS.mark_as_parsed()
    logging.use_absl_handler()
    logging.set_verbosity(logging.INFO)
    logging.get_absl_handler().python_handler.stream = sys.stderr
    try:
        fire.Fire(COMMANDS, name="fescueyard")
    except exceptions.FescueyardError as error:
        print(f"error {error.code.number}: {error.detail}", file=sys.stderr)
        sys.exit(EXIT_ERROR)


if __name__ == "__main__":
    main()
