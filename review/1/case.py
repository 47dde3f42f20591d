"""Control machines freeze, one at a time, while operators read and change."""

import asyncio
import json
import os
import pathlib
import random
import signal
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common"))

import yard as yards  # noqa: E402

FREEZE_S = 4.0
CATCH_UP_S = 4.0
ROUNDS = 2
# Calls of operators in progress at once, but for the change.
READERS = 7
# A machine freezes while it has had a read for at least this long.
READ_WAITS_S = 0.015
PATIENCE_S = 1.0
CHANGE_EVERY_S = 2.0
READ_BACK_S = 12.0


class Operator:
    """Reads and changes the configuration as PROTOCOL.md says."""

    def __init__(self, yard):
        self.yard = yard
        self.acked = 7
        self._waiting = {control.name: {} for control in yard.controls}
        self._calls = 0

    async def has_read(self, control):
        """Wait until a read is in progress at a control process."""
        while True:
            now_s = self.yard.record.now_s()
            waiting = self._waiting[control.name].values()
            if any(now_s - since_s > READ_WAITS_S for since_s in waiting):
                return
            await asyncio.sleep(0.002)

    async def order(self, control, method, body=b""):
        """Send one call; leave after a second without a response."""
        self._calls += 1
        call_id = self._calls
        self._waiting[control.name][call_id] = self.yard.record.now_s()
        try:
            answer = await yards.request(
                control.ip,
                yards.CONTROL_PORT,
                method,
                "/v1/config",
                {
                    "Host": control.ip,
                    "Content-Type": "application/json",
                    "Connection": "close",
                },
                body,
                PATIENCE_S,
            )
        except (OSError, EOFError, TimeoutError):
            return 0, b""
        finally:
            del self._waiting[control.name][call_id]
        return answer.status, answer.body

    async def read(self):
        while True:
            await self.order(random.choice(self.yard.controls), "GET")
            await asyncio.sleep(0.02)

    async def change(self):
        """Send a new version every few seconds, until it is acknowledged."""
        number = self.acked
        while True:
            await asyncio.sleep(CHANGE_EVERY_S)
            number += 1
            body = json.dumps(document(number, self.acked)).encode()
            while True:
                control = random.choice(self.yard.controls)
                status, _ = await self.order(control, "PUT", body)
                self.yard.record.write(
                    "operator", f"r{number} to {control.name} -> {status}"
                )
                if status == 200:
                    self.acked = number
                if status in (200, 412):
                    break
                await asyncio.sleep(0.3)

    async def read_back(self):
        """Read the newest acknowledged version, at any node.

        :returns: whether it came.
        """
        end_s = self.yard.record.now_s() + READ_BACK_S
        while self.yard.record.now_s() < end_s:
            for control in self.yard.controls:
                status, body = await self.order(control, "GET")
                version = json.loads(body)["Version"] if status == 200 else ""
                self.yard.record.write(
                    "operator", f"reads at {control.name}: {status} {version}"
                )
                if version and int(version[1:]) >= self.acked:
                    return True
            await asyncio.sleep(0.5)
        return False


def document(number, base):
    return yards.configuration(
        number,
        base,
        [("r-book", "/leny950/", "huvo11a", "unsafe", 3000 + number)],
        ["huvo11a"],
    )


async def case(yard, trouble):
    yard.add_controls(3)
    nodes = [yard.add_node("huvo11a") for _ in range(3)]
    yard.start()
    await yard.configure(document(7, 0))
    for node in nodes:
        await yards.Server(yard, node, "huvo11a", quiet=True).start()
    await yard.await_served("/leny950/book", nodes[0], "POST")
    await asyncio.sleep(4)

    operator = Operator(yard)
    tasks = [asyncio.create_task(operator.read()) for _ in range(READERS)]
    tasks.append(asyncio.create_task(operator.change()))
    await asyncio.sleep(3)
    for _ in range(ROUNDS):
        for control in yard.controls:
            await operator.has_read(control)
            if trouble:
                control.signal(signal.SIGSTOP)
            await asyncio.sleep(FREEZE_S)
            if trouble:
                control.signal(signal.SIGCONT)
            await asyncio.sleep(CATCH_UP_S + 0.5)
    for task in tasks:
        task.cancel()
    # Calm from here on.
    await asyncio.sleep(4)
    yard.record.write("case", f"newest acknowledged: r{operator.acked}")
    came = await operator.read_back()
    for control in yard.controls:
        log = control.log_path.read_text(errors="replace")
        yard.record.write(
            "case",
            f"{control.name} runs: {control.popen.poll() is None}; "
            f"uncaught errors in its log: {log.count('Traceback')}",
        )
    yard.record.write("case", "read back" if came else "doesn't come")
    return came


yards.main(
    case, HERE / "record.txt", trouble=os.environ.get("TROUBLE", "1") != "0"
)
