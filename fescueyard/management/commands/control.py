"""``fescueyard control``: runs the control process of a control VM."""

from fescueyard.conf import settings
from fescueyard.control import app
from fescueyard.management import utils
from fescueyard.transport import process


def run(**flags):
    """Run a control process until SIGTERM; it replicates the configuration.

    :param flags: settings; see docs/ref/settings.md.
    """
    values = utils.load_process_settings(settings.ControlSettings, flags)
    process.run(lambda: app.start(values))
