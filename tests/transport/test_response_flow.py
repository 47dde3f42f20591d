"""Large responses of the backend server and the memory that they take."""

import asyncio
import gc
import weakref

from fescueyard.core import http
from fescueyard.transport import backend_client
from fescueyard.transport import memory_account
from fescueyard.transport import response_flow

BODY_BYTES = 2_000_000


class Connection:
    """Records whether it is read."""

    reading = True

    def pause_reading(self):
        """Record that reading is paused."""
        self.reading = False

    def resume_reading(self):
        """Record that reading goes on."""
        self.reading = True


# Concurrent responses were read into memory, however large they were together.
def test_response_without_room_waits_and_the_oldest_one_goes_on():
    async def run():
        account = memory_account.MemoryAccount(10_000)
        flow = response_flow.ResponseFlow(account)
        oldest, newer = Connection(), Connection()
        flow.hold(oldest, 9_000)
        flow.hold(newer, 1_000)
        states = [(oldest.reading, newer.reading)]
        flow.release(oldest)
        await asyncio.sleep(3 * response_flow.RESUME_INTERVAL_S)
        states.append((oldest.reading, newer.reading))
        flow.release(newer)
        return states, account.held_bytes

    assert asyncio.run(run()) == ([(True, False), (True, True)], 0)


async def _serve(reader, writer):
    await reader.readuntil(b"\r\n\r\n")
    writer.write(b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % BODY_BYTES)
    writer.write(bytes(BODY_BYTES))
    await writer.drain()
    writer.close()


# A reference cycle kept each response until the next garbage collection.
def test_completed_response_is_freed_without_garbage_collection():
    async def run():
        listener = await asyncio.start_server(_serve, "127.0.0.1", 0)
        host, port = listener.sockets[0].getsockname()
        account = memory_account.MemoryAccount(1_000_000)
        client = backend_client.BackendClient(
            10, BODY_BYTES, requires_echo=False, memory=account
        )
        request = http.HttpRequest("GET", "/sheet", [], b"")
        future = client.fetch(f"http://{host}:{port}", request, True)
        transfer = weakref.ref(future.transfer)
        while not future.done():
            await asyncio.sleep(0.01)
        length = len(future.result().response.body)
        del future
        await asyncio.sleep(0.01)
        client.close()
        listener.close()
        return length, transfer(), account.held_bytes

    gc.disable()
    try:
        assert asyncio.run(run()) == (BODY_BYTES, None, 0)
    finally:
        gc.enable()
