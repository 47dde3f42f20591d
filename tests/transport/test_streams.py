"""Streams that die, or are tampered with, at every byte."""

import asyncio
import struct

import pytest

from fescueyard.core import exceptions
from fescueyard.core import wire
from fescueyard.retries import messages
from fescueyard.transport import streams
from tests.transport import relay as relays

SECRET = b"s" * 32
MESSAGE = messages.RetryRequest(7, "chain")


class Handler:
    """Notes what a pool reports."""

    def __init__(self):
        self.received = []
        self.unsent = []
        self.lost = 0

    def message_received(self, stream, message):
        """Note a message."""
        self.received.append(message)

    def message_unsent(self, address, message):
        """Note a message that did not go out."""
        self.unsent.append(message)

    def peer_identified(self, address, peer_id):
        """Nothing depends on it here."""

    def stream_lost(self, stream):
        """Count a lost stream."""
        self.lost += 1


async def _through_relay(cut_after=None, flip_at=None, secret=SECRET):
    taker = Handler()
    server = streams.StreamPool("taker", SECRET, taker)
    listener = await server.listen(streams.Address("127.0.0.1", 0))
    relay = relays.Relay(listener.sockets[0].getsockname())
    relay.cut_after = cut_after
    relay.flip_at = flip_at
    address = streams.Address(*await relay.start())
    sender = Handler()
    pool = streams.StreamPool("sender", secret, sender)
    pool.send(address, MESSAGE)
    for _ in range(400):
        await asyncio.sleep(0.001)
        if taker.received or sender.lost or sender.unsent:
            break
    await asyncio.sleep(0.005)
    total = relay.passed
    relay.stop()
    listener.close()
    pool.close()
    server.close()
    await asyncio.sleep(0.002)
    return taker, sender, total


def test_message_arrives_whole():
    taker, sender, _ = asyncio.run(_through_relay())
    assert taker.received == [MESSAGE]
    assert not sender.unsent


def test_unsent_is_true_with_the_stream_cut_at_every_byte():
    _, _, total = asyncio.run(_through_relay())
    unsent = 0
    for cut_after in range(total):
        taker, sender, _ = asyncio.run(_through_relay(cut_after=cut_after))
        assert not taker.received
        # Either it is known not to have gone out, or the stream is lost.
        assert sender.unsent or sender.lost
        unsent += bool(sender.unsent)
    assert unsent


def test_no_altered_byte_is_taken_for_a_message():
    _, _, total = asyncio.run(_through_relay())
    for flip_at in range(0, total):
        if flip_at % 97 == 0 or flip_at > total - 60:
            taker, _, _ = asyncio.run(_through_relay(flip_at=flip_at))
            assert not taker.received


def test_peer_with_another_secret_is_refused():
    taker, sender, _ = asyncio.run(_through_relay(secret=b"t" * 32))
    assert not taker.received
    assert sender.unsent == [MESSAGE]


@pytest.mark.parametrize(
    "payload",
    [
        b"",
        b"\xc1",
        b"\x92\x01",
        wire.msgpack.packb([9999, []]),
        wire.msgpack.packb([50, [1]]),
        wire.msgpack.packb([50, ["x", "chain"]]),
        wire.msgpack.packb({"a": 1}),
        wire.msgpack.packb([50, {"request_id": 1}]),
    ],
)
def test_malformed_payload_has_a_numbered_error(payload):
    with pytest.raises(exceptions.StreamError) as caught:
        wire.decode(payload)
    assert caught.value.code.number == 4003


def test_oversized_frame_closes_the_stream_and_the_process_goes_on():
    async def run():
        taker = Handler()
        server = streams.StreamPool("taker", SECRET, taker)
        listener = await server.listen(streams.Address("127.0.0.1", 0))
        where = listener.sockets[0].getsockname()
        reader, writer = await asyncio.open_connection(*where)
        writer.write(struct.pack("!I", 2**31) + b"x" * 100)
        assert await asyncio.wait_for(reader.read(), 2) == b""
        writer.close()
        pool = streams.StreamPool("sender", SECRET, Handler())
        pool.send(streams.Address(*where), MESSAGE)
        await asyncio.sleep(0.05)
        listener.close()
        pool.close()
        server.close()
        return taker.received

    assert asyncio.run(run()) == [MESSAGE]
