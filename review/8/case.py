"""Bytes that are no response, behind an interim response.

Of two servers one answers one request in forty with an interim response and,
in the same piece, bytes of another protocol. With TROUBLE=0 all answers are
sound.
"""

import asyncio
import os
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common-2"))

import rig  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST = "docs.example"
REQUESTS_EACH = 300
SPOILED_SHARE = 40  # one answer in so many
DEADLINE_MS = 3_000


class SpoilingServer(rig.Server):
    """Spoils some of its answers."""

    def __init__(self, *arguments, **options):
        super().__init__(*arguments, **options)
        self.spoiled = set()

    def write_answer(self, writer, attempt, answer):
        """Answer a request, or write bytes that are no response."""
        if not TROUBLE or len(self.runs) % SPOILED_SHARE:
            super().write_answer(writer, attempt, answer)
            return
        self.spoiled.add(attempt)
        self.record(f"no response is sent for {attempt}")
        writer.write(
            b"HTTP/1.1 100 Continue\r\n\r\n"
            b"RTSP/1.0 200 OK\r\nX-Attempt-Id: " + attempt.encode() + b"\r\n"
            b"Content-Length: 9\r\n\r\nsomething"
        )


async def client(record, machine, wrong):
    """Send requests one after the other; note successes without a stamp."""
    for number in range(REQUESTS_EACH):
        attempt = f"{machine.name}.{number}"
        headers = {
            "Host": HOST,
            "X-Attempt-Id": attempt,
            "X-Deadline-Ms": str(DEADLINE_MS),
        }
        try:
            status, answered, body = await rig.request(
                machine.address(rig.OUTBOUND_PORT),
                "POST",
                "/docs/x",
                headers,
                b"xy",
                timeout_s=DEADLINE_MS / 1000 + 1,
            )
        except (OSError, EOFError) as error:
            record(f"answer {attempt} none: {type(error).__name__}")
            continue
        stamp = answered.get("x-instance-stamp")
        record(f"answer {attempt} {status} stamp {stamp} {body[:40]!r}")
        if 200 <= status < 300 and not stamp:
            wrong.append(attempt)


async def play(record, installation):
    """Play the case; return the exit status."""
    spoiling = SpoilingServer(record, installation.sidecars[0])
    servers = [spoiling]
    await spoiling.start()
    for machine in installation.sidecars[1:]:
        servers.append(rig.Server(record, machine))
        await servers[-1].start()
    for server in servers:
        server.work_s = 0.005
    routes = [rig.route("docs", HOST, "/docs/", "unsafe", "docs", DEADLINE_MS)]
    configuration = rig.configuration(1, routes, ["docs", "desk"])
    if await installation.put_configuration(configuration) != 200:
        return 2
    if not await installation.until_ready():
        return 2
    await asyncio.sleep(4)
    wrong = []
    await asyncio.gather(
        *[
            client(record, machine, wrong)
            for machine in installation.sidecars[2:]
        ]
    )
    text = (
        f"spoiled {len(spoiling.spoiled)}; successes without a stamp "
        f"{len(wrong)} {wrong[:3]}"
    )
    record(text)
    print(text)
    if TROUBLE and not spoiling.spoiled:
        return 2
    return 1 if wrong else 0


if __name__ == "__main__":
    SERVICES = ["docs", "docs", "desk", "desk", "desk"]
    sys.exit(rig.run(play, SERVICES, FOLDER / "record.txt"))
