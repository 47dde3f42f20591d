"""Signals, dumps and the event loop of a long-lived process."""

import asyncio
import gc
import os
import signal
import sys
import time

from fescueyard.core import logs

LOG = logs.ComponentLogger("process")

GC_THRESHOLD = 20_000
LOG_FLUSH_INTERVAL_S = 0.25
WATCH_INTERVAL_S = 1.0


def run(start, watched_path=""):
    """Run a process until it has stopped.

    :param start: coroutine function that returns an object with
        ``stop()``, ``reload()``, ``dump()``, an awaitable ``stopped`` and
        ``settings`` with a ``dump_folder``.
    :param watched_path: settings file; the process reloads when it changes.
    """
    logs.open_sink(sys.stdout.fileno())
    try:
        asyncio.run(_run(start, watched_path))
    finally:
        logs.close_sink()


class _SignalQueue:
    """Queues signals that arrive before the process is ready."""

    def __init__(self, loop):
        self._process = None
        self._pending = []
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._dispatch, "stop")
        loop.add_signal_handler(signal.SIGHUP, self._dispatch, "reload")
        loop.add_signal_handler(signal.SIGUSR1, self._dispatch, "dump")

    def attach(self, process):
        """Deliver the queued signals to the process, and all later ones."""
        self._process = process
        pending, self._pending = self._pending, []
        for action in pending:
            self._dispatch(action)

    def _dispatch(self, action):
        if self._process is None:
            self._pending.append(action)
        elif action == "stop":
            self._process.stop()
        elif action == "reload":
            self._process.reload()
        else:
            _write_dump(self._process)


async def _run(start, watched_path):
    loop = asyncio.get_running_loop()
    signals = _SignalQueue(loop)
    process = await start()
    # Objects made at start-up live as long as the process; scanning them in
    # every collection would only delay calls.
    gc.collect()
    gc.freeze()
    gc.set_threshold(GC_THRESHOLD)
    signals.attach(process)
    tasks = [loop.create_task(_flush_logs())]
    if watched_path:
        tasks.append(loop.create_task(_watch_file(watched_path, process)))
    await process.stopped
    for task in tasks:
        task.cancel()


async def _flush_logs():
    while True:
        await asyncio.sleep(LOG_FLUSH_INTERVAL_S)
        logs.flush()


async def _watch_file(path, process):
    """Reload the process when its settings file changes."""
    last_modified_at_ns = _modified_at_ns(path)
    while True:
        await asyncio.sleep(WATCH_INTERVAL_S)
        modified_at_ns = _modified_at_ns(path)
        if modified_at_ns != last_modified_at_ns:
            last_modified_at_ns = modified_at_ns
            LOG.info("settings_changed", path=path)
            process.reload()


def _modified_at_ns(path):
    try:
        return os.stat(path).st_mtime_ns
    except OSError as error:
        LOG.warning("settings_missing", path=path, error=error.strerror)
        return None


def _write_dump(process):
    text = process.dump()
    folder = process.settings.dump_folder
    if not folder:
        LOG.info("Dump.", tables=text)
        return
    name = f"fescueyard-{os.getpid()}-{time.time_ns()}.json"
    path = os.path.join(folder, name)
    try:
        with open(path, "w", encoding="utf-8") as file:
            file.write(text)
    except OSError as error:
        LOG.error("Dump not written.", path=path, error=str(error))
        return
    LOG.info("Dump written.", path=path)
