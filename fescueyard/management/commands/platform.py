"""``fescueyard platform``: runs processes from a VM's settings file."""

from absl import logging

from fescueyard.conf import checks
from fescueyard.control import app as control_app
from fescueyard.node import app as node_app
from fescueyard.platform import announcements
from fescueyard.platform import interface
from fescueyard.platform import operators
from fescueyard.platform import settings
from fescueyard.transport import process


class Platform:
    """Commands that run a process from the settings file of its VM.

    The environment variable ``FESCUEYARD_BOOT`` names the file.
    """

    def node(self):
        """Run a node for the VM's backend server."""
        values = settings.read_node()
        checks.require_valid(values)
        logging.set_verbosity(logging.INFO)
        process.run(
            lambda: node_app.start(
                values,
                interface=interface.INTERFACE,
                backend_handler=announcements.handle_request,
                reload=settings.read_node,
            ),
            settings.path(),
        )

    def control(self):
        """Run a control process."""
        values = settings.read_control()
        checks.require_valid(values)
        logging.set_verbosity(logging.INFO)
        operator_interface = operators.OperatorInterface(
            settings.read_profile()
        )
        process.run(
            lambda: control_app.start(
                values,
                interface=operator_interface,
                reload=settings.read_control,
            ),
            settings.path(),
        )
