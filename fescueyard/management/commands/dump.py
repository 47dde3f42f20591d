"""``fescueyard dump``: shows the state of a process."""

import os
import signal

from fescueyard.conf import settings
from fescueyard.core import exceptions
from fescueyard.management import client


def run(pid=None, backend_address="", **flags):
    """Show the state of a process.

    With ``pid``, the process writes a dump to its dump folder or log. With
    ``backend_address``, the dump is fetched from the node on this VM.
    Otherwise it is fetched from a control process, which the settings of
    ``ctl`` name.

    :param pid: process id on this VM.
    :param backend_address: ``host:port`` of a node's backend listener.
    :param flags: settings of ``fescueyard ctl``.
    """
    if pid is not None:
        try:
            os.kill(int(pid), signal.SIGUSR1)
        except (ProcessLookupError, ValueError) as error:
            raise exceptions.SettingsError(f"pid {pid}: {error}") from None
        return
    if backend_address:
        response = client.fetch(
            "GET", f"http://{backend_address}/-/dump", [], b"", 5_000
        )
        if not client.is_success(response):
            raise client.Unreachable(
                f"{backend_address}: status {response.status}"
            )
        print(response.body.decode())
        return
    values = settings.load(settings.OperatorSettings, flags, os.environ)
    print(client.AdminClient(values).read("/v1/dump")["dump"])
