"""``fescueyard node``: runs the data plane process of a backend server VM."""

from fescueyard.conf import settings
from fescueyard.management import utils
from fescueyard.node import app
from fescueyard.transport import process


def run(**flags):
    """Run a node until SIGTERM.

    :param flags: settings; see docs/ref/settings.md.
    """
    values = utils.load_process_settings(settings.NodeSettings, flags)
    process.run(lambda: app.start(values))
