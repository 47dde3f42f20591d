"""A late ping of a leaving server, beside a node that was restarted."""

import asyncio
import os
import pathlib
import signal
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common"))

import yard as yards  # noqa: E402

DRAIN_S = 2.0
CONTACT_S = 3.0


async def send_requests(yard, caller, stop, results):
    """Send bookings from another machine until told to stop."""
    number = 0
    while not stop.is_set():
        number += 1
        asyncio.create_task(send_request(yard, caller, results))
        await asyncio.sleep(0.1)


async def send_request(yard, caller, results):
    attempt_id = yards.new_attempt_id()
    sent_s = yard.record.now_s()
    try:
        answer = await yards.call(
            caller,
            "POST",
            "/leny950/book?work_ms=600",
            b"a booking",
            attempt_id,
        )
        outcome = str(answer.status)
    except (OSError, EOFError, asyncio.TimeoutError) as error:
        outcome = repr(error)
    results[attempt_id] = (sent_s, outcome)
    yard.record.write(
        "caller", f"{attempt_id} sent at {sent_s:.3f} -> {outcome}"
    )


async def case(yard, trouble):
    yard.add_controls(3)
    caller = yard.add_node("wuno96b")
    leaving_node = yard.add_node("huvo11a")
    staying_node = yard.add_node("huvo11a")
    yard.start()
    await yard.configure(
        yards.configuration(
            7,
            0,
            [("r-book", "/leny950/", "huvo11a", "unsafe", 6000)],
            ["huvo11a", "wuno96b"],
        )
    )
    leaving = yards.Server(yard, leaving_node, "huvo11a")
    staying = yards.Server(yard, staying_node, "huvo11a")
    await leaving.start()
    await staying.start()
    await yard.await_served("/leny950/book", caller, "POST")
    await asyncio.sleep(4)

    results = {}
    stop = asyncio.Event()
    sending = asyncio.create_task(send_requests(yard, caller, stop, results))
    await asyncio.sleep(1)
    late_ping = None
    restarted_s = yard.record.now_s() - CONTACT_S
    if trouble:
        # The node is stopped and started again on its own. The ping that
        # falls due as it starts is under way for some seconds.
        leaving_node.signal(signal.SIGTERM)
        if await leaving_node.wait(yards.GRACE_S) is None:
            await leaving_node.kill()
        leaving.stop_pings()
        leaving_node.start()
        restarted_s = yard.record.now_s()
        late_ping = leaving.ping_body()
        runs_before = len(leaving.runs)
        for _ in range(200):
            await asyncio.sleep(0.05)
            if len(leaving.runs) > runs_before:
                break
        yard.record.write(
            leaving.name,
            f"{len(leaving.runs) - runs_before} runs since the restart",
        )
    # The server leaves: it says so with DELETE and goes on serving.
    leaving.stop_pings()
    leaving.state = "draining"
    acked_s = None
    for _ in range(5):
        if await leaving.tell("DELETE") == 200:
            acked_s = yard.record.now_s()
            break
        await asyncio.sleep(0.3)
    if acked_s is None:
        raise yards.CannotRun("the DELETE was not acknowledged")
    await asyncio.sleep(1.0)
    if late_ping is not None:
        await leaving.tell("PUT", late_ping)
    await asyncio.sleep(5.0)
    leaving.exit()
    stop.set()
    await sending
    await asyncio.sleep(2.5)

    # Requests count once the restarted machine is in touch again.
    counted_from_s = max(acked_s + DRAIN_S, restarted_s + CONTACT_S)
    late = []
    for at_s, attempt_id, _, _ in leaving.runs:
        sent_s, outcome = results.get(attempt_id, (at_s, "no answer"))
        if min(at_s, sent_s) > counted_from_s:
            late.append(attempt_id)
            yard.record.write(
                "case",
                f"{attempt_id} sent {sent_s - acked_s:.3f} s and run "
                f"{at_s - acked_s:.3f} s after the ack: {outcome}",
            )
    yard.record.write("case", f"{len(late)} late requests")
    return not late


yards.main(
    case, HERE / "record.txt", trouble=os.environ.get("TROUBLE", "1") != "0"
)
