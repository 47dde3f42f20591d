"""Signals that reach a process while it starts, and while it ends."""

import os
import signal
import subprocess
import sys

import pytest

START_TIMEOUT_S = 30
# Runs the program, and sends a signal to itself at a given moment: when a
# module is first looked for, or when the interpreter exits.
PROGRAM = """
import atexit, importlib.abc, os, runpy, sys

moment, number, *arguments = sys.argv[1:]


def send():
    os.kill(os.getpid(), int(number))


class Sender(importlib.abc.MetaPathFinder):
    def find_spec(self, name, path, target=None):
        if name == moment:
            send()


sys.meta_path.insert(0, Sender())
if moment == "exit":
    atexit.register(send)
sys.argv = ["fescueyard", *arguments]
runpy.run_module("fescueyard", run_name="__main__", alter_sys=True)
"""
SETTINGS = """
[Self]
Node = "sidecar-a-1"
Role = "{role}"
Ip = "{host}"
Zone = "thrissur-a"
Region = "kerala-central"
Bootstrap = true
DataDir = "{data_folder}"
AppAddr = "{host}:8547"
Service = "huvo11a"
[Network]
InternalPorts = [7000, 7000]
Seeds = ["{host}:8540"]
[Network.Listen]
Outbound = "{host}:8548"
Ready = "{host}:8546"
Control = "{host}:8540"
[Platform]
HeartbeatMs = 1500
[Terms.FaultTolerance]
Machines = 1
[Terms.Bounds]
GraceS = 6
FailClosed = false
RetryBudgetRatio = 0.2
BudgetSlack = 49
"""
STARTED = {"node": "Node started.", "control": "Control started."}
# The first is imported at once, the last when the settings are to be read.
MOMENTS = ["fescueyard.management.main", "fescueyard.platform.settings"]


@pytest.fixture(name="start")
def _start(tmp_path):
    """Yield a function that starts a process from a settings file.

    All processes are killed after the test.
    """
    processes = []

    def start(role, moment, number):
        path = tmp_path / "settings.toml"
        path.write_text(
            SETTINGS.format(
                role=role, data_folder=tmp_path / "data", host=_own_host()
            )
        )
        environment = dict(os.environ)
        environment["FESCUEYARD_BOOT"] = str(path)
        environment["FESCUEYARD_CLUSTER_SECRET"] = "s" * 32
        process = _run_program(
            moment, number, "platform", role, env=environment
        )
        processes.append(process)
        return process

    yield start
    for process in processes:
        process.kill()
        process.communicate()


def _own_host():
    """Return a loopback address that no other test run uses.

    The settings file names no port of the metrics, which is the same on all
    machines.
    """
    high, low = divmod(os.getpid() % 50_000, 250)
    return f"127.{high + 16}.{low + 1}.1"


def _run_program(moment, number, *arguments, **options):
    return subprocess.Popen(
        [sys.executable, "-c", PROGRAM, moment, str(int(number)), *arguments],
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
        **options,
    )


def _read_until(process, text):
    """Read the log up to a line; return whether it came before the end."""
    return any(text in line for line in process.stdout)


# The handlers are installed once all modules are imported. Until then the
# signal that announces new settings, or asks for a dump, ended the process.
@pytest.mark.parametrize("number", [signal.SIGHUP, signal.SIGUSR1])
@pytest.mark.parametrize("moment", MOMENTS)
@pytest.mark.parametrize("role", STARTED)
def test_signal_does_not_end_a_process_that_starts(
    start, role, moment, number
):
    process = start(role, moment, number)
    assert _read_until(process, STARTED[role])
    if number == signal.SIGUSR1:
        assert _read_until(process, "Dump.")


@pytest.mark.parametrize("moment", MOMENTS)
@pytest.mark.parametrize("role", STARTED)
def test_stop_of_a_process_that_starts_is_orderly(start, role, moment):
    process = start(role, moment, signal.SIGTERM)
    assert process.wait(START_TIMEOUT_S) == 0


# Closing the event loop restores the default actions.
@pytest.mark.parametrize(
    "number", [signal.SIGHUP, signal.SIGUSR1, signal.SIGTERM]
)
@pytest.mark.parametrize("role", STARTED)
def test_signal_does_not_change_the_status_of_a_process_that_ends(
    start, role, number
):
    process = start(role, "exit", number)
    assert _read_until(process, STARTED[role])
    process.terminate()
    assert process.wait(START_TIMEOUT_S) == 0


# Holding signals back would keep an operator from ending a command.
def test_signal_ends_a_command_of_an_operator():
    module = "fescueyard.management.commands.codes"
    process = _run_program(module, signal.SIGTERM, "codes")
    process.communicate(timeout=START_TIMEOUT_S)
    assert process.returncode == -signal.SIGTERM
