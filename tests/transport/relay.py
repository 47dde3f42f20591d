"""A TCP relay that can cut, stall or corrupt a connection."""

import asyncio


class Relay:
    """Forwards bytes to a target, with faults set through its attributes.

    Only bytes from the client to the target are cut or altered.

    :param target: ``(host, port)`` to forward to.
    """

    def __init__(self, target):
        self._target = target
        self._server = None
        self._writers = []
        self.cut_after_bytes = None
        self.flip_byte_at = None
        self.bytes_forwarded = 0
        self.stalled = False

    async def start(self):
        """Listen on a free port.

        :returns: ``(host, port)``.
        """
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        return self._server.sockets[0].getsockname()

    def stop(self):
        """Abort all connections and stop listening."""
        self._server.close()
        for writer in self._writers:
            writer.transport.abort()

    async def _accept(self, reader, writer):
        target_reader, target_writer = await asyncio.open_connection(
            *self._target
        )
        self._writers += [writer, target_writer]
        await asyncio.gather(
            self._forward(reader, target_writer, writer, True),
            self._forward(target_reader, writer, target_writer, False),
        )

    async def _forward(self, reader, writer, other_writer, is_forward):
        try:
            while data := await reader.read(65536):
                while self.stalled:
                    await asyncio.sleep(0.005)
                if is_forward:
                    data = self._alter(bytearray(data))
                writer.write(data)
                await writer.drain()
                if is_forward and self.cut_after_bytes is not None:
                    if self.bytes_forwarded >= self.cut_after_bytes:
                        break
        except OSError:
            pass
        writer.transport.abort() if is_forward else writer.close()
        other_writer.transport.abort() if is_forward else other_writer.close()

    def _alter(self, data):
        start = self.bytes_forwarded
        self.bytes_forwarded += len(data)
        if (
            self.flip_byte_at is not None
            and start <= self.flip_byte_at < self.bytes_forwarded
        ):
            data[self.flip_byte_at - start] ^= 1
        if (
            self.cut_after_bytes is not None
            and self.bytes_forwarded > self.cut_after_bytes
        ):
            data = data[: max(0, self.cut_after_bytes - start)]
        return data
