"""A network between real processes that can partition availability zones.

Each process is reached through a relay of its own, for streams and datagrams.
The relay identifies the sender of a stream by its first message and that of a
datagram by its source port. Partitioned streams stall; their data arrives
after the end of the partition. Partitioned datagrams are lost.
"""

import asyncio
import dataclasses
import struct
import threading

from fescueyard.core import wire
from fescueyard.transport import handshake

HOST = "127.0.0.1"
STALL_POLL_S = 0.02


@dataclasses.dataclass
class _Process:
    name: str
    zone: str
    port: int


class _DatagramRelay(asyncio.DatagramProtocol):
    def __init__(self, network, target):
        self._network = network
        self._target = target
        self._transport = None

    def connection_made(self, transport):
        self._transport = transport

    def datagram_received(self, data, addr):
        source = self._network.process_by_port.get(addr[1])
        if source and not self._network.is_partitioned(source, self._target):
            # Forwarded from the target's relay port; responses go to the
            # address that the sender advertises.
            self._transport.sendto(data, (HOST, self._target.port))


class Network:
    """Runs relays on a separate thread.

    ``member_zones`` holds the zones of control members by member id. A control
    process identifies itself by its member id, which is not known before it
    runs.
    """

    def __init__(self):
        self.process_by_port = {}
        self.member_zones = {}
        self._isolated_zones = set()
        self._processes = []
        self._tasks = set()
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(
            target=self._loop.run_forever, daemon=True
        )
        self._thread.start()

    def add_process(self, name, zone, listen_address):
        """Start a relay for a process.

        :param listen_address: ``host:port`` on which the process listens.
        :returns: ``host:port`` by which others reach it.
        """
        port = int(listen_address.rpartition(":")[2])
        process = _Process(name, zone, port)
        self._processes.append(process)
        self.process_by_port[port] = process
        future = asyncio.run_coroutine_threadsafe(
            self._listen(process), self._loop
        )
        return f"{HOST}:{future.result(5)}"

    def isolate_zone(self, zone):
        """Partition a zone from the others."""
        self._isolated_zones.add(zone)

    def heal(self):
        """End all partitions."""
        self._isolated_zones.clear()

    def stop(self):
        """Stop the relays."""
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join(5)

    def is_partitioned(self, source, target):
        """Return whether two processes are partitioned."""
        if source.zone == target.zone:
            return False
        return bool({source.zone, target.zone} & self._isolated_zones)

    async def _listen(self, process):
        server = await asyncio.start_server(
            lambda reader, writer: self._accept(process, reader, writer),
            HOST,
            0,
        )
        port = server.sockets[0].getsockname()[1]
        await self._loop.create_datagram_endpoint(
            lambda: _DatagramRelay(self, process), local_addr=(HOST, port)
        )
        return port

    async def _accept(self, target, reader, writer):
        try:
            length_prefix = await reader.readexactly(4)
            (length,) = struct.unpack("!I", length_prefix)
            hello_payload = await reader.readexactly(length)
            hello = wire.decode(hello_payload)
            if not isinstance(hello, handshake.Hello):
                writer.close()
                return
            source = self._find_process(hello.process_id)
            await self._wait_while_partitioned(source, target)
            (
                upstream_reader,
                upstream_writer,
            ) = await asyncio.open_connection(HOST, target.port)
        except (OSError, asyncio.IncompleteReadError):
            writer.close()
            return
        upstream_writer.write(length_prefix + hello_payload)
        for source_reader, target_writer in (
            (reader, upstream_writer),
            (upstream_reader, writer),
        ):
            task = self._loop.create_task(
                self._relay(source_reader, target_writer, source, target)
            )
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    def _find_process(self, process_id):
        for process in self._processes:
            if process_id.startswith(process.name + "-"):
                return process
        zone = self.member_zones.get(process_id, "")
        return _Process(process_id, zone, 0)

    async def _relay(self, reader, writer, source, target):
        try:
            while data := await reader.read(65536):
                await self._wait_while_partitioned(source, target)
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        writer.close()

    async def _wait_while_partitioned(self, source, target):
        while self.is_partitioned(source, target):
            await asyncio.sleep(STALL_POLL_S)
