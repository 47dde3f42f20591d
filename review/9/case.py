"""A settings change that meets a process while it starts.

Two machines are stopped with SIGTERM and started again, in turn, three times
each. Their settings file changes, with SIGHUP, shortly after the start: with
trouble, 0.15 s after it; without, 3 s after it.
"""

import asyncio
import os
import pathlib
import signal
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common-2"))

import rig  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ROUNDS = 3
CHANGE_AFTER_S = 0.15 if TROUBLE else 3.0
ENDS_MAX = 2  # a third end on each of two machines breaks the rule


async def until(condition, timeout_s):
    """Wait for a condition; return whether it was met in time."""
    end_s = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() > end_s:
            return False
        await asyncio.sleep(0.005)
    return True


async def roll(record, installation, machine, turn):
    """Restart a machine's process; change its settings after the start."""
    starts = machine.starts
    record(f"SIGTERM {machine.name}")
    machine.process.send_signal(signal.SIGTERM)
    if not await until(lambda: machine.starts > starts, 12):
        return False
    await asyncio.sleep(CHANGE_AFTER_S)
    installation.write_settings(machine, turn=turn)
    record(f"settings of {machine.name} change, SIGHUP")
    machine.process.send_signal(signal.SIGHUP)
    await asyncio.sleep(1.5)
    return await installation.until_ready()


async def play(record, installation):
    """Play the case; return the exit status."""
    for machine in installation.sidecars:
        await rig.Server(record, machine).start()
    routes = [rig.route("a", "a.example", "/a/", "safe", "desk")]
    configuration = rig.configuration(1, routes, ["desk"])
    if await installation.put_configuration(configuration) != 200:
        return 2
    if not await installation.until_ready():
        return 2
    await asyncio.sleep(2)
    rolled = installation.sidecars[:2]
    for round_number in range(ROUNDS):
        for machine in rolled:
            turn = round_number % 2 + 1
            if not await roll(record, installation, machine, turn):
                return 2
    own_ends = {
        machine.name: [end for end in machine.ends if end != 0]
        for machine in installation.machines
    }
    text = f"ends other than by SIGTERM: {own_ends}"
    record(text)
    print(text)
    over = [name for name, ends in own_ends.items() if len(ends) > ENDS_MAX]
    return 1 if len(over) >= 2 else 0


if __name__ == "__main__":
    SERVICES = ["desk"] * 4
    sys.exit(rig.run(play, SERVICES, FOLDER / "record.txt"))
