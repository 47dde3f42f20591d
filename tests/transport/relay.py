"""A relay between two processes that cuts, stalls or alters the bytes."""

import asyncio


class Relay:
    """Passes bytes on to a target until it is told otherwise.

    :param target: ``(host, port)`` to pass on to.
    """

    def __init__(self, target):
        self._target = target
        self._server = None
        self._writers = []
        self.cut_after = None
        self.flip_at = None
        self.passed = 0
        self.stalled = False

    async def start(self):
        """Listen on a free port.

        :returns: ``(host, port)``.
        """
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        return self._server.sockets[0].getsockname()

    def stop(self):
        """Cut everything and stop listening."""
        self._server.close()
        for writer in self._writers:
            writer.transport.abort()

    async def _accept(self, reader, writer):
        onward_reader, onward = await asyncio.open_connection(*self._target)
        self._writers += [writer, onward]
        await asyncio.gather(
            self._pass(reader, onward, writer, True),
            self._pass(onward_reader, writer, onward, False),
        )

    async def _pass(self, reader, writer, other, forward):
        try:
            while data := await reader.read(65536):
                while self.stalled:
                    await asyncio.sleep(0.005)
                if forward:
                    data = self._alter(bytearray(data))
                writer.write(data)
                await writer.drain()
                if forward and self.cut_after is not None:
                    if self.passed >= self.cut_after:
                        break
        except OSError:
            pass
        writer.transport.abort() if forward else writer.close()
        other.transport.abort() if forward else other.close()

    def _alter(self, data):
        start = self.passed
        self.passed += len(data)
        if self.flip_at is not None and start <= self.flip_at < self.passed:
            data[self.flip_at - start] ^= 1
        if self.cut_after is not None and self.passed > self.cut_after:
            data = data[: max(0, self.cut_after - start)]
        return data
