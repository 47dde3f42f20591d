"""A network between the processes that can cut off single machines, silently.

Each process is reached through a relay of its own, for streams and datagrams.
Reads commands from standard input: ``add NAME RELAY_IP PROCESS_IP PORT``,
``cut NAME core|all`` and ``heal``. The sender of a stream is told by its
first message, which holds the name of its process, and that of a datagram by
its source address. While a machine is cut off, bytes of its streams wait, new
ones are not passed on to their target, and its datagrams are lost.
"""

import asyncio
import socket
import sys

POLL_S = 0.02


class Relay:
    """All relays, and the machines that are cut off."""

    def __init__(self):
        self.cut = set()
        self.names_by_ip = {}
        self.tasks = set()

    def is_cut(self, source, target):
        """Return whether a machine that is cut off talks to another one.

        A machine that is cut off from the core still reaches the others.
        """
        for name, scope in self.cut:
            if name in (source, target) and source != target:
                other = target if name == source else source
                if scope == "all" or other.startswith("core-"):
                    return True
        return False

    async def add(self, name, relay_ip, process_ip, port):
        self.names_by_ip[process_ip] = name
        await asyncio.start_server(
            lambda reader, writer: self.accept(
                name, process_ip, port, reader, writer
            ),
            relay_ip,
            port,
        )
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(
            lambda: Datagrams(self, name, process_ip, port),
            local_addr=(relay_ip, port),
        )

    async def accept(self, target, process_ip, port, reader, writer):
        try:
            head = await reader.readexactly(4)
            head += await reader.readexactly(int.from_bytes(head, "big"))
            # Control processes name themselves by the id of their disk.
            source = "core-"
            for name in self.names_by_ip.values():
                if f"{name}-".encode() in head:
                    source = name
            while self.is_cut(source, target):
                await asyncio.sleep(POLL_S)
            upstream = await asyncio.open_connection(process_ip, port)
        except (OSError, asyncio.IncompleteReadError):
            writer.close()
            return
        upstream[1].write(head)
        for a_reader, a_writer in (
            (reader, upstream[1]),
            (upstream[0], writer),
        ):
            task = asyncio.create_task(
                self.carry(a_reader, a_writer, source, target)
            )
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def carry(self, reader, writer, source, target):
        try:
            while data := await reader.read(65536):
                while self.is_cut(source, target):
                    await asyncio.sleep(POLL_S)
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        writer.close()


class Datagrams(asyncio.DatagramProtocol):
    """Passes on the datagrams to one process."""

    def __init__(self, relay, target, process_ip, port):
        self.relay = relay
        self.target = target
        self.address = (process_ip, port)
        self.out = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.out.setblocking(False)

    def datagram_received(self, data, addr):
        source = self.relay.names_by_ip.get(addr[0], "")
        if not self.relay.is_cut(source, self.target):
            try:
                self.out.sendto(data, self.address)
            except OSError:
                pass


async def main():
    relay = Relay()
    loop = asyncio.get_running_loop()
    reader = asyncio.StreamReader()
    await loop.connect_read_pipe(
        lambda: asyncio.StreamReaderProtocol(reader), sys.stdin
    )
    while line := await reader.readline():
        words = line.decode().split()
        if words[0] == "add":
            await relay.add(words[1], words[2], words[3], int(words[4]))
        elif words[0] == "cut":
            relay.cut.add((words[1], words[2]))
        elif words[0] == "heal":
            relay.cut.clear()
        print("done", flush=True)


asyncio.run(main())
