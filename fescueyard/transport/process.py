"""Signals, dumps and the event loop of a long-lived process."""

import asyncio
import gc
import os
import signal
import socket
import sys
import time

from fescueyard.core import exceptions
from fescueyard.core import failures
from fescueyard.core import logs
from fescueyard.core import signals

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
            _reload(self._process)
        else:
            _write_dump(self._process)


def _handle_uncaught(loop, context):
    """Contain an error that reached the event loop, or end the process.

    An error in a callback of a TCP connection ends that connection. The
    datagram socket is opened once, so the process ends with it.

    :param loop: the event loop.
    :param context: see ``loop.call_exception_handler``.
    """
    error = context.get("exception")
    if error is None:
        LOG.warning("event_loop", message=context["message"])
        return
    owner = context.get("transport") or _callback_owner(context)
    is_inconsistent = isinstance(error, exceptions.InconsistentTablesError)
    if _is_connection(owner) and not is_inconsistent:
        LOG.failure("connection_failed", error, message=context["message"])
        owner.abort()
        return
    if "handle" in context or owner is not None or is_inconsistent:
        failures.end_process(error, context["message"])
    LOG.failure("event_loop", error, message=context["message"])


def _is_connection(owner):
    """Return whether a transport is that of a TCP connection."""
    if owner is None:
        return False
    # The transport of datagrams is an asyncio.Transport as well.
    return owner.get_extra_info("socket").type == socket.SOCK_STREAM


def _callback_owner(context):
    """Return the transport whose callback raised, or None.

    The event loop calls most of them on the transport, and ``connection_made``
    with it.
    """
    handle = context.get("handle")
    callback = getattr(handle, "_callback", None)
    arguments = getattr(handle, "_args", None) or ()
    for owner in (getattr(callback, "__self__", None), *arguments):
        if isinstance(owner, asyncio.BaseTransport):
            return owner
    return None


def _start_background(loop, coroutine):
    """Start a task that runs as long as the process."""
    task = loop.create_task(coroutine)
    task.add_done_callback(_background_ended)
    return task


def _background_ended(task):
    if not task.cancelled() and task.exception() is not None:
        failures.end_process(task.exception(), task.get_name())


async def _run(start, watched_path):
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(_handle_uncaught)
    signal_queue = _SignalQueue(loop)
    signals.unblock()
    try:
        await _serve(start, watched_path, signal_queue)
    finally:
        # Closing the event loop restores the default actions.
        signals.block()


async def _serve(start, watched_path, signal_queue):
    """Start the process, and return when it has stopped."""
    loop = asyncio.get_running_loop()
    process = await start()
    # Objects made at start-up live as long as the process; scanning them in
    # every collection would only delay calls.
    gc.collect()
    gc.freeze()
    gc.set_threshold(GC_THRESHOLD)
    signal_queue.attach(process)
    tasks = [_start_background(loop, _flush_logs())]
    if watched_path:
        tasks.append(
            _start_background(loop, _watch_file(watched_path, process))
        )
    await process.stopped
    for task in tasks:
        task.cancel()


async def _flush_logs():
    while True:
        await asyncio.sleep(LOG_FLUSH_INTERVAL_S)
        logs.flush()


async def _watch_file(path, process):
    """Reload the process when its settings file changes.

    The process has read the file before, so the first reload is for a change
    since then.
    """
    last_modified_at_ns = _modified_at_ns(path)
    _reload(process)
    while True:
        await asyncio.sleep(WATCH_INTERVAL_S)
        modified_at_ns = _modified_at_ns(path)
        if modified_at_ns != last_modified_at_ns:
            last_modified_at_ns = modified_at_ns
            LOG.info("settings_changed", path=path)
            _reload(process)


def _modified_at_ns(path):
    try:
        return os.stat(path).st_mtime_ns
    except OSError as error:
        LOG.warning("settings_missing", path=path, error=error.strerror)
        return None


def _reload(process):
    """Read the settings again; keep those in force if that fails."""
    try:
        process.reload()
    except Exception as error:
        failures.contain(LOG, "reload_failed", error)


def _write_dump(process):
    try:
        text = process.dump()
    except Exception as error:
        failures.contain(LOG, "dump_failed", error)
        return
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
