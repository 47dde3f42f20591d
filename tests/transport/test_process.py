"""What an error that nothing has caught ends."""

import subprocess
import sys

import pytest

from fescueyard.core import failures

# Serves one connection of its own. The first argument names what raises.
PROGRAM = """
import asyncio, sys
from fescueyard.core import exceptions
from fescueyard.transport import process


class Process:
    async def serve(self):
        loop = asyncio.get_running_loop()
        self.stopped = loop.create_future()
        server = await loop.create_server(Connection, "127.0.0.1", 0)
        address = server.sockets[0].getsockname()
        reader, writer = await asyncio.open_connection(*address)
        writer.write(sys.argv[1].encode())
        await reader.read()
        Connection.raises = sys.argv[1] == "made"
        reader, writer = await asyncio.open_connection(*address)
        writer.write(b"nothing")
        await reader.read()
        loop.call_later(0.1, self.stopped.set_result, None)
        if sys.argv[1] == "datagram":
            sender, _ = await loop.create_datagram_endpoint(
                Datagrams, local_addr=("127.0.0.1", 0)
            )
            sender.sendto(b"odd", ("127.0.0.1", 99_999))
        if sys.argv[1] == "tick":
            loop.call_soon(self.reload)
        process._reload(self)
        return self

    def reload(self):
        raise ValueError("odd file")


class Datagrams(asyncio.DatagramProtocol):
    pass


class Connection(asyncio.Protocol):
    raises = False

    def connection_made(self, transport):
        self.transport = transport
        if self.raises:
            raise OSError("odd option")

    def data_received(self, data):
        if data == b"bytes":
            raise ValueError("odd bytes")
        if data == b"tables":
            raise exceptions.InconsistentTablesError("odd row")
        self.transport.close()


process.run(lambda: Process().serve())
"""
CASES = {
    "nothing": (0, "reload_failed"),
    "made": (0, "connection_failed"),
    "bytes": (0, "connection_failed"),
    "datagram": (failures.EXIT_STATUS, "process_failed"),
    "tables": (failures.EXIT_STATUS, "process_failed"),
    "tick": (failures.EXIT_STATUS, "process_failed"),
}


# A process whose timer had raised ran on and did nothing, and none saw why.
@pytest.mark.parametrize("raised", CASES)
def test_uncaught_error_ends_the_connection_or_the_process(raised):
    ended = subprocess.run(
        [sys.executable, "-c", PROGRAM, raised],
        capture_output=True,
        text=True,
        timeout=30,
    )
    status, event = CASES[raised]
    assert ended.returncode == status, ended.stderr
    assert event in ended.stdout


# Changes its settings file while it starts, without a signal.
CHANGED_PROGRAM = """
import asyncio, os, sys
from fescueyard.transport import process

path = sys.argv[1]


class Process:
    async def serve(self):
        os.utime(path, (1, 1))
        loop = asyncio.get_running_loop()
        self.stopped = loop.create_future()
        loop.call_later(2, self.stopped.set_result, None)
        return self

    def reload(self):
        print("reloaded", flush=True)


process.run(lambda: Process().serve(), path)
"""


# The settings were read before the watch of the file began, so that a change
# between the two was never seen.
def test_settings_that_change_during_the_start_are_read_again(tmp_path):
    path = tmp_path / "settings.toml"
    path.write_text("")
    ended = subprocess.run(
        [sys.executable, "-c", CHANGED_PROGRAM, str(path)],
        capture_output=True,
        text=True,
        timeout=30,
    )
    assert "reloaded" in ended.stdout, ended.stderr
