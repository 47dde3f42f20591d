"""Machines are stopped in turn while some callers reach their time budget."""

import asyncio
import os
import pathlib
import random
import signal
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common"))

import yard as yards  # noqa: E402

BOOKINGS_PER_S = 40.0
BOOKING_BUDGET_MS = 6_000
LOOKS_PER_S = 80.0
LOOK_BUDGET_MS = 300
# Callers on a machine get no new work after two misses of its readiness check.
SENT_AFTER_SIGTERM_S = 2.0


class Server(yards.Server):
    """A server that stops work at the time budget, and says 504 then."""

    def __init__(self, *arguments, **options):
        super().__init__(*arguments, **options)
        self.answered_at_s = {}
        self.started_at_s = {}

    async def _answer(self, method, target, headers, body):
        attempt_id = headers.get("x-attempt-id")
        if attempt_id is None or "work_ms" not in target:
            return await super()._answer(method, target, headers, body)
        budget_s = int(headers["x-deadline-ms"]) / 1000
        work_s = self._work_s(target)
        self.started_at_s[attempt_id] = self.yard.record.now_s()
        self.yard.record.write(self.name, f"runs {attempt_id} {target}")
        await asyncio.sleep(min(work_s, budget_s))
        status = 200 if work_s <= budget_s else 504
        self.answered_at_s[attempt_id] = self.yard.record.now_s()
        self.yard.record.write(self.name, f"answers {attempt_id} {status}")
        echo = {
            "X-Attempt-Id": attempt_id,
            "X-Instance-Stamp": "3e1b.07.5a2.600.0.c9f2a4d1",
        }
        return self._encode(status, echo, b"done\n")


class Callers:
    """The callers of one machine, until it is stopped."""

    def __init__(self, yard, node):
        self.yard = yard
        self.node = node
        self.bookings = {}
        self._tasks = set()
        self._sending = []

    def start(self):
        for per_s, send in (
            (BOOKINGS_PER_S, self._book),
            (LOOKS_PER_S, self._look),
        ):
            self._sending.append(asyncio.create_task(self._send(per_s, send)))

    async def stop(self):
        for task in self._sending:
            task.cancel()
        await asyncio.gather(*self._tasks)

    async def _send(self, per_s, send):
        while True:
            task = asyncio.create_task(send())
            self._tasks.add(task)
            await asyncio.sleep(random.expovariate(per_s))

    async def _book(self):
        work_ms = random.randrange(300, 800)
        attempt_id, outcome = await self._call(
            "POST",
            f"/leny950/book?work_ms={work_ms}",
            b"a booking",
            BOOKING_BUDGET_MS,
        )
        self.bookings[attempt_id] = (self.yard.record.now_s(), outcome)

    async def _look(self):
        """Look something up; leave when the time budget is over."""
        work_ms = random.randrange(100, 600)
        await self._call(
            "GET", f"/puka111/look?work_ms={work_ms}", b"", LOOK_BUDGET_MS
        )

    async def _call(self, method, target, body, budget_ms):
        attempt_id = yards.new_attempt_id()
        sent_s = self.yard.record.now_s()
        try:
            answer = await yards.call(
                self.node,
                method,
                target,
                body,
                attempt_id,
                budget_ms / 1000,
                budget_ms,
            )
            stamp = answer.headers.get("x-instance-stamp", "none")
            outcome = f"{answer.status}, signature {stamp}"
        except TimeoutError:
            outcome = "left at the time budget"
        except (OSError, EOFError) as error:
            outcome = f"no answer: {error!r}"
        self.yard.record.write(
            "caller",
            f"{attempt_id} {method} sent at {sent_s:.3f} to {self.node.name}"
            f" -> {outcome}",
        )
        return attempt_id, outcome


async def stop_and_start(node):
    node.signal(signal.SIGTERM)
    if await node.wait(yards.GRACE_S) is None:
        await node.kill()
    node.yard.record.write("platform", f"{node.name} has ended")
    node.start()


def broken_off(callers, servers):
    """Yield the bookings that were ended while a server was at work."""
    for attempt_id, (ended_s, outcome) in callers.bookings.items():
        if "3e1b" in outcome or outcome.startswith("left"):
            continue
        for server in servers:
            started_s = server.started_at_s.get(attempt_id)
            answered_s = server.answered_at_s.get(attempt_id, float("inf"))
            if started_s is not None and answered_s > ended_s:
                yield attempt_id, ended_s - started_s, outcome


async def case(yard, trouble):
    yard.add_controls(3)
    machines = [yard.add_node("wuno96b") for _ in range(3)]
    behind = [yard.add_node("huvo11a") for _ in range(2)]
    yard.start()
    await yard.configure(
        yards.configuration(
            7,
            0,
            [
                ("r-book", "/leny950/", "huvo11a", "unsafe", 6000),
                ("r-look", "/puka111/", "huvo11a", "safe", 6000),
            ],
            ["huvo11a", "wuno96b"],
        )
    )
    servers = [Server(yard, node, "huvo11a", slots=87) for node in behind]
    for server in servers:
        await server.start()
    for node in machines:
        await yard.await_served("/leny950/up", node, "POST")
    await asyncio.sleep(4)

    count = 0
    bookings = 0
    for node in machines:
        callers = Callers(yard, node)
        callers.start()
        await asyncio.sleep(2)
        stopping = None
        if trouble:
            stopping = asyncio.create_task(stop_and_start(node))
        await asyncio.sleep(SENT_AFTER_SIGTERM_S)
        await callers.stop()
        if stopping is not None:
            await stopping
            await yard.await_served("/leny950/up", node, "POST")
        bookings += len(callers.bookings)
        for attempt_id, after_s, outcome in broken_off(callers, servers):
            count += 1
            yard.record.write(
                "case",
                f"{attempt_id} broken off {after_s:.3f} s after its server "
                f"began to work on it: {outcome}",
            )
    yard.record.write(
        "case", f"{count} of {bookings} bookings broken off at their servers"
    )
    return count == 0


yards.main(
    case,
    HERE / "record-node.txt",
    trouble=os.environ.get("TROUBLE", "1") != "0",
)
