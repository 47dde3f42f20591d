"""What every long-lived process does: signals, dumps, its loop."""

import asyncio
import gc
import os
import signal
import time

from fescueyard.core import logs

LOG = logs.PartLogger("process")

GC_THRESHOLD = 20_000


def run(start):
    """Run a process until it has stopped.

    :param start: coroutine function that returns an object with
        ``stop()``, ``dump()`` and an awaitable ``stopped``.
    """
    asyncio.run(_run(start))


async def _run(start):
    process = await start()
    # What start-up made lives as long as the process; collecting it again
    # and again would only delay calls.
    gc.collect()
    gc.freeze()
    gc.set_threshold(GC_THRESHOLD)
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, process.stop)
    loop.add_signal_handler(signal.SIGINT, process.stop)
    loop.add_signal_handler(signal.SIGUSR1, _write_dump, process)
    await process.stopped


def _write_dump(process):
    text = process.dump()
    folder = process.settings.dump_folder
    if not folder:
        LOG.info("Dump.", tables=text)
        return
    name = f"fescueyard-{os.getpid()}-{time.time_ns()}.json"
    path = os.path.join(folder, name)
    with open(path, "w", encoding="utf-8") as file:
        file.write(text)
    LOG.info("Dump written.", path=path)
