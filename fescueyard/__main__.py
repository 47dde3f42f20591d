"""Entry point of the program.

The modules of a command take some tenths of a second to import. A long-lived
process blocks its signals before, so that none of them ends it while it
starts. Nothing else may be imported here.
"""

import importlib
import sys

from fescueyard.core import signals

# Commands that run until they are stopped. They unblock the signals when they
# can handle them.
LONG_LIVED_COMMANDS = ("control", "node", "platform")


def main():
    """Run the command line."""
    if sys.argv[1:2] and sys.argv[1] in LONG_LIVED_COMMANDS:
        signals.block()
    importlib.import_module("fescueyard.management.main").main()


if __name__ == "__main__":
    main()
