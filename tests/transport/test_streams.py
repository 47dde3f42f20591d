"""Tests of streams that are cut or corrupted at any byte."""

import asyncio
import struct

import pytest

from fescueyard.core import addresses
from fescueyard.core import exceptions
from fescueyard.core import wire
from fescueyard.retries import messages
from fescueyard.transport import streams
from tests.transport import raw_server
from tests.transport import relay as relays

SECRET = b"s" * 32
MESSAGE = messages.RetryRequest(7, "chain")


class Handler:
    """Records what a pool reports."""

    def __init__(self):
        self.received = []
        self.sent = []
        self.unsent = []
        self.lost = 0

    def message_received(self, stream, message):
        """Record a message."""
        self.received.append(message)

    def message_sent(self, peer_id, message, payload_bytes):
        """Record the size of a message."""
        self.sent.append((peer_id, message, payload_bytes))

    def message_unsent(self, address, message):
        """Record a message that was not sent."""
        self.unsent.append(message)

    def peer_identified(self, address, peer_id):
        """Ignore the identity of the peer."""

    def stream_lost(self, stream):
        """Count a lost stream."""
        self.lost += 1


async def _send_through_relay(
    cut_after_bytes=None, flip_byte_at=None, secret=SECRET
):
    receiver = Handler()
    server = streams.StreamPool("taker", SECRET, receiver)
    listener = await server.listen(addresses.Address("127.0.0.1", 0))
    relay = relays.Relay(listener.sockets[0].getsockname())
    relay.cut_after_bytes = cut_after_bytes
    relay.flip_byte_at = flip_byte_at
    address = addresses.Address(*await relay.start())
    sender = Handler()
    pool = streams.StreamPool("sender", secret, sender)
    pool.send(address, MESSAGE)
    for _ in range(400):
        await asyncio.sleep(0.001)
        if receiver.received or sender.lost or sender.unsent:
            break
    await asyncio.sleep(0.005)
    total = relay.bytes_forwarded
    relay.stop()
    listener.close()
    pool.close()
    server.close()
    await asyncio.sleep(0.002)
    return receiver, sender, total


def test_message_is_delivered():
    receiver, sender, _ = asyncio.run(_send_through_relay())
    assert receiver.received == [MESSAGE]
    assert sender.sent == [("taker", MESSAGE, len(wire.encode(MESSAGE)))]
    assert not sender.unsent


def test_unsent_is_reported_only_for_undelivered_messages():
    _, _, total = asyncio.run(_send_through_relay())
    unsent = 0
    for cut_after_bytes in range(total):
        receiver, sender, _ = asyncio.run(
            _send_through_relay(cut_after_bytes=cut_after_bytes)
        )
        assert not receiver.received
        # Either the message is reported as unsent, or the stream as lost.
        assert sender.unsent or sender.lost
        unsent += bool(sender.unsent)
    assert unsent


def test_altered_frame_is_rejected():
    _, _, total = asyncio.run(_send_through_relay())
    for flip_byte_at in range(0, total):
        if flip_byte_at % 97 == 0 or flip_byte_at > total - 60:
            receiver, _, _ = asyncio.run(
                _send_through_relay(flip_byte_at=flip_byte_at)
            )
            assert not receiver.received


def test_peer_with_a_different_secret_is_rejected():
    receiver, sender, _ = asyncio.run(_send_through_relay(secret=b"t" * 32))
    assert not receiver.received
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
def test_malformed_payload_raises_bad_frame(payload):
    with pytest.raises(exceptions.StreamError) as caught:
        wire.decode(payload)
    assert caught.value.code.number == 4003


def test_oversized_frame_closes_only_its_stream():
    async def run():
        receiver = Handler()
        server = streams.StreamPool("taker", SECRET, receiver)
        listener = await server.listen(addresses.Address("127.0.0.1", 0))
        listen_address = listener.sockets[0].getsockname()
        reader, writer = await asyncio.open_connection(*listen_address)
        writer.write(struct.pack("!I", 2**31) + b"x" * 100)
        assert await asyncio.wait_for(reader.read(), 2) == b""
        writer.close()
        pool = streams.StreamPool("sender", SECRET, Handler())
        pool.send(addresses.Address(*listen_address), MESSAGE)
        await asyncio.sleep(0.05)
        listener.close()
        pool.close()
        server.close()
        return receiver.received

    assert asyncio.run(run()) == [MESSAGE]


# One message that could not be encoded lost those queued behind it.
def test_unencodable_message_is_reported_and_those_behind_it_arrive():
    odd = messages.RetryRequest(2**70, "chain")

    async def run():
        receiver = Handler()
        server = streams.StreamPool("taker", SECRET, receiver)
        listener = await server.listen(addresses.Address("127.0.0.1", 0))
        address = addresses.Address(*listener.sockets[0].getsockname())
        sender = Handler()
        pool = streams.StreamPool("sender", SECRET, sender)
        for _ in range(2):
            # Queued for the stream at first, then sent on it.
            pool.send(address, odd)
            pool.send(address, MESSAGE)
            while not receiver.received:
                await asyncio.sleep(0.001)
        await asyncio.sleep(0.01)
        pool.close()
        listener.close()
        await asyncio.sleep(0.01)
        return receiver, sender

    receiver, sender = asyncio.run(asyncio.wait_for(run(), 5))
    assert receiver.received == [MESSAGE] * 2
    assert sender.unsent == [odd] * 2


# An address that could not be dialled kept its messages for good.
def test_failed_dial_reports_its_messages_each_time():
    async def run():
        sender = Handler()
        pool = streams.StreamPool("sender", SECRET, sender)
        for count in (1, 2):
            pool.send(addresses.Address("127.0.0.1", 99_999), MESSAGE)
            while len(sender.unsent) < count:
                await asyncio.sleep(0.001)

    asyncio.run(asyncio.wait_for(run(), 5))


# Frames are taken out of the received chunk, and joined only when split.
@pytest.mark.parametrize("piece_bytes", [1, 3, 7, 64, 1_000])
def test_frames_are_found_in_pieces_of_any_size(piece_bytes):
    payloads = [b"a" * size for size in (1, 0, 5, 300, 2)]
    data = b"".join(
        streams.LENGTH.pack(len(payload)) + b"mac!" + payload
        for payload in payloads
    )
    frame_buffer = streams._FrameBuffer()
    frames = []
    for start in range(0, len(data), piece_bytes):
        frame_buffer.feed(data[start : start + piece_bytes])
        while (frame := frame_buffer.pop_frame(4, 1_000)) is not None:
            frames.append(frame)
    assert frames == [b"mac!" + payload for payload in payloads]


# The address of a process may have passed to a faulty server of another kind.
@pytest.mark.parametrize(
    ("first", "repeated"),
    [
        (b"", bytes(4_096)),
        (b"", b"HTTP/1.1 400 Bad Request\r\n\r\n" * 100),
        (struct.pack("!I", streams.HANDSHAKE_BYTES_MAX), b"x" * 4_096),
        (struct.pack("!I", streams.FRAME_BYTES_MAX), b"x" * 4_096),
        (struct.pack("!I", 2**32 - 1), b"x" * 4_096),
    ],
    ids=["zeros", "text", "handshake", "frame", "largest frame"],
)
def test_dialled_stream_is_closed_on_endless_bytes(first, repeated):
    async def run():
        endless = raw_server.EndlessServer(first, repeated, request_end=b"")
        listener = await asyncio.start_server(endless.accept, "127.0.0.1", 0)
        address = addresses.Address(*listener.sockets[0].getsockname())
        sender = Handler()
        pool = streams.StreamPool("sender", SECRET, sender)
        pool.send(address, MESSAGE)
        await asyncio.wait_for(endless.closed.wait(), 5)
        while not sender.unsent:
            await asyncio.sleep(0.001)
        listener.close()
        pool.close()
        return sender, endless.bytes_written

    sender, bytes_written = asyncio.run(asyncio.wait_for(run(), 10))
    assert sender.unsent == [MESSAGE]
    assert not sender.received
    assert bytes_written < raw_server.SOCKET_BYTES_MAX
