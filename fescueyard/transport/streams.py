"""Authenticated msgpack streams between processes."""

import asyncio
import hmac
import struct

from fescueyard.core import clock
from fescueyard.core import dispatch
from fescueyard.core import exceptions
from fescueyard.core import failures
from fescueyard.core import logs
from fescueyard.core import wire
from fescueyard.transport import handshake
from fescueyard.transport import sockets

LOG = logs.ComponentLogger("stream")

LENGTH = struct.Struct("!I")
MAC_BYTES = 16
HANDSHAKE_BYTES_MAX = 4096
HANDSHAKE_TIMEOUT_S = 1.0
CONNECT_TIMEOUT_S = 0.4
FRAME_BYTES_MAX = 32 * 1024 * 1024
# A stream with more unsent bytes than this is aborted.
UNSENT_BYTES_MAX = 64 * 1024 * 1024


class _FrameBuffer:
    """Splits received bytes into frames.

    Frames before the offset ``_start`` have been taken; their bytes are
    removed when more arrive, which copies once for several frames.
    """

    def __init__(self):
        self._buffer = b""
        self._start = 0

    def feed(self, data):
        if not self._buffer:
            # A frame usually arrives in one piece, which needs no copy.
            self._buffer = data
            return
        if not isinstance(self._buffer, bytearray):
            self._buffer = bytearray(self._buffer)
        del self._buffer[: self._start]
        self._start = 0
        self._buffer += data

    def pop_frame(self, overhead, limit):
        """Remove and return one complete frame.

        :param overhead: bytes between the length and the payload.
        :param limit: maximum size of a payload, in bytes.
        :returns: the frame's bytes without the length, or None.
        :raises StreamError: when the frame is larger than the limit.
        """
        start = self._start + LENGTH.size
        if len(self._buffer) < start:
            return None
        (length,) = LENGTH.unpack_from(self._buffer, self._start)
        if length > limit:
            raise exceptions.StreamError(
                f"frame of {length} bytes is too large"
            )
        frame_end = start + overhead + length
        if len(self._buffer) < frame_end:
            return None
        frame = bytes(memoryview(self._buffer)[start:frame_end])
        self._start = frame_end
        if frame_end == len(self._buffer):
            self._buffer = b""
            self._start = 0
        return frame


class PeerStream(asyncio.Protocol):
    """One stream to another process; starts with a handshake.

    See :mod:`fescueyard.transport.handshake`.

    :param pool: the :class:`StreamPool` that owns the stream.
    :param address: address dialled; None on the accepting side.
    """

    def __init__(self, pool, address=None):
        self.address = address
        self.peer_id = None
        self.ready = False
        self._pool = pool
        self._transport = None
        self._frame_buffer = _FrameBuffer()
        self._hello = None
        self._nonce = handshake.new_nonce()
        self._sequence_in = 0
        self._sequence_out = 0
        self._hash_in = None
        self._hash_out = None
        self._timer = None

    def connection_made(self, transport):
        """Start the handshake."""
        self._transport = transport
        sockets.set_options(transport)
        sockets.limit_reads(transport)
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(HANDSHAKE_TIMEOUT_S, self._time_out)
        if self.address is not None:
            self._hello = handshake.Hello(
                handshake.PROTOCOL_VERSION, self._pool.process_id, self._nonce
            )
            self._write_unauthenticated(self._hello)

    def data_received(self, data):
        """Parse bytes; a malformed or forged frame closes the stream."""
        self._frame_buffer.feed(data)
        try:
            self._read_frames()
        except exceptions.StreamError as error:
            LOG.warning(
                "Closing a stream after a protocol error.",
                peer=self.peer_id,
                code=error.code.number,
                detail=error.detail,
            )
            self.close()
        except Exception as error:
            failures.contain(LOG, "stream_failed", error, peer=self.peer_id)
            self.close()

    def connection_lost(self, exc):
        """Report the loss of the stream to the pool."""
        self._timer.cancel()
        self.ready = False
        self._pool.stream_lost(self)

    def send(self, message):
        """Send a message on a ready stream.

        :param message: a registered message.
        """
        payload = wire.encode(message)
        mac = handshake.frame_mac(self._hash_out, self._sequence_out, payload)
        self._sequence_out += 1
        self._transport.write(LENGTH.pack(len(payload)) + mac + payload)
        self._pool.message_sent(self, message, len(payload))
        if self._transport.get_write_buffer_size() > UNSENT_BYTES_MAX:
            LOG.warning(
                "Stream aborted; the peer reads too slowly.", peer=self.peer_id
            )
            self._transport.abort()

    def close(self):
        """Close the stream after pending data is written."""
        if self._transport is not None:
            self._transport.close()

    def abort(self):
        """Close the stream immediately and drop pending data."""
        if self._transport is not None:
            self._transport.abort()

    def _time_out(self):
        if not self.ready:
            self.abort()

    def _read_frames(self):
        while not self._transport.is_closing():
            if self.ready:
                frame = self._frame_buffer.pop_frame(
                    MAC_BYTES, FRAME_BYTES_MAX
                )
            else:
                frame = self._frame_buffer.pop_frame(0, HANDSHAKE_BYTES_MAX)
            if frame is None:
                return
            if self.ready:
                self._handle_message(frame)
            else:
                self._handle_handshake(wire.decode(frame))

    def _handle_message(self, frame):
        payload = frame[MAC_BYTES:]
        mac = handshake.frame_mac(self._hash_in, self._sequence_in, payload)
        if not hmac.compare_digest(mac, frame[:MAC_BYTES]):
            raise exceptions.StreamError("frame fails authentication")
        self._sequence_in += 1
        self._pool.message_received(self, wire.decode(payload))

    def _handle_handshake(self, message):
        if isinstance(message, handshake.Hello) and self.address is None:
            self._respond_to_hello(message)
        elif isinstance(message, handshake.HelloResponse) and self.address:
            self._complete_dial(message)
        elif isinstance(message, handshake.HelloProof) and self._hello:
            self._complete_accept(message)
        else:
            raise exceptions.PeerAuthenticationError(
                "message before authentication"
            )

    def _respond_to_hello(self, hello):
        if self._hello is not None:
            raise exceptions.PeerAuthenticationError("second hello")
        if hello.protocol_version != handshake.PROTOCOL_VERSION:
            raise exceptions.PeerAuthenticationError(
                "unknown protocol version"
            )
        if len(hello.nonce) != handshake.NONCE_BYTES:
            raise exceptions.PeerAuthenticationError("nonce of the wrong size")
        self._hello = hello
        pool = self._pool
        own_proof = handshake.make_proof(
            pool.secret, b"acceptor", hello, pool.process_id, self._nonce
        )
        self._write_unauthenticated(
            handshake.HelloResponse(pool.process_id, self._nonce, own_proof)
        )

    def _complete_dial(self, response):
        pool = self._pool
        handshake.check_proof(
            pool.secret,
            b"acceptor",
            self._hello,
            response.process_id,
            response.nonce,
            response.proof,
        )
        own_proof = handshake.make_proof(
            pool.secret,
            b"dialler",
            self._hello,
            response.process_id,
            response.nonce,
        )
        self._write_unauthenticated(handshake.HelloProof(own_proof))
        keys = handshake.frame_keys(
            pool.secret, self._hello, response.process_id, response.nonce
        )
        self._hash_in = handshake.frame_hash(keys.acceptor)
        self._hash_out = handshake.frame_hash(keys.dialler)
        self._become_ready(response.process_id)

    def _complete_accept(self, message):
        pool = self._pool
        hello = self._hello
        handshake.check_proof(
            pool.secret,
            b"dialler",
            hello,
            pool.process_id,
            self._nonce,
            message.proof,
        )
        keys = handshake.frame_keys(
            pool.secret, hello, pool.process_id, self._nonce
        )
        self._hash_in = handshake.frame_hash(keys.dialler)
        self._hash_out = handshake.frame_hash(keys.acceptor)
        self._become_ready(hello.process_id)

    def _become_ready(self, peer_id):
        self.peer_id = peer_id
        self.ready = True
        self._timer.cancel()
        self._pool.stream_ready(self)

    def _write_unauthenticated(self, message):
        payload = wire.encode(message)
        self._transport.write(LENGTH.pack(len(payload)) + payload)


class StreamPool:
    """All streams of a process; dials on demand.

    The methods of the handler are ``message_received(stream, message)``,
    ``message_sent(peer_id, message, payload_bytes)``,
    ``peer_identified(address, peer_id)``, ``stream_lost(stream)`` and
    ``message_unsent(address, message)``; the last is called only for messages
    of which no byte was sent.

    :param process_id: this process's id.
    :param secret: cluster secret, bytes.
    :param handler: object with the five methods above.
    """

    def __init__(self, process_id, secret, handler):
        self.process_id = process_id
        self.secret = secret
        self._handler = handler
        self._stream_by_address = {}
        self._queued = {}
        self._open = set()
        self._tasks = set()
        self._closing = False

    async def listen(self, address):
        """Accept streams.

        :param address: :class:`~fescueyard.core.addresses.Address`.
        :returns: the server.
        """
        loop = asyncio.get_running_loop()
        return await loop.create_server(
            lambda: self._add_open(PeerStream(self)),
            address.host,
            address.port,
        )

    def send(self, address, message):
        """Send a message; dial the peer first if there is no stream.

        :param address: the peer's :class:`~fescueyard.core.addresses.Address`.
        :param message: a registered message.
        """
        stream = self._stream_by_address.get(address)
        if stream is not None and stream.ready:
            self._send_on(stream, message)
            return
        dialling = address in self._queued
        queued = self._queued.setdefault(address, [])
        queued.append((clock.now_ms(), message))
        if not dialling:
            self._start_dialling(address)

    def dial(self, address):
        """Dial a peer unless it has a stream or is being dialled.

        :param address: the peer's :class:`~fescueyard.core.addresses.Address`.
        """
        if address in self._stream_by_address or address in self._queued:
            return
        self._queued[address] = []
        self._start_dialling(address)

    def close(self):
        """Close every stream."""
        self._closing = True
        for stream in list(self._open):
            stream.close()

    def abort(self, address):
        """Abort the stream to a peer that no longer exists."""
        stream = self._stream_by_address.get(address)
        if stream is not None:
            stream.abort()

    def stream_count(self):
        """Return the number of open streams.

        :returns: number of streams.
        """
        return len(self._open)

    def stream_ready(self, stream):
        """Register a dialled stream and send the messages queued for it."""
        if stream.address is None:
            return
        self._stream_by_address[stream.address] = stream
        LOG.info(
            "stream_ready", peer=stream.peer_id, address=str(stream.address)
        )
        self._handler.peer_identified(stream.address, stream.peer_id)
        now_ms = clock.now_ms()
        for queued_at_ms, message in self._queued.pop(stream.address, []):
            self._send_on(
                stream, dispatch.deduct_wait(message, now_ms - queued_at_ms)
            )

    def stream_lost(self, stream):
        """Remove a stream and report the messages not sent."""
        self._open.discard(stream)
        if stream.address is not None and not self._closing:
            LOG.info(
                "stream_lost", peer=stream.peer_id, address=str(stream.address)
            )
        if stream.address is not None:
            if self._stream_by_address.get(stream.address) is stream:
                del self._stream_by_address[stream.address]
            self._report_unsent(stream.address)
        self._handler.stream_lost(stream)

    def message_received(self, stream, message):
        """Pass a message to the handler."""
        self._handler.message_received(stream, message)

    def message_sent(self, stream, message, payload_bytes):
        """Report a message written to a stream."""
        self._handler.message_sent(stream.peer_id, message, payload_bytes)

    def _send_on(self, stream, message):
        """Send a message; report it as not sent when it can't be encoded."""
        try:
            stream.send(message)
        except Exception as error:
            failures.contain(
                LOG,
                "message_unsendable",
                error,
                peer=stream.peer_id,
                message=type(message).__name__,
            )
            # The handler may be in the middle of sending other messages.
            asyncio.get_running_loop().call_soon(
                self._handler.message_unsent, stream.address, message
            )

    def _add_open(self, stream):
        self._open.add(stream)
        return stream

    def _start_dialling(self, address):
        loop = asyncio.get_running_loop()
        task = loop.create_task(self._dial(address))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _dial(self, address):
        loop = asyncio.get_running_loop()
        connecting = loop.create_connection(
            lambda: self._add_open(PeerStream(self, address)),
            address.host,
            address.port,
        )
        try:
            await asyncio.wait_for(connecting, CONNECT_TIMEOUT_S)
        except (OSError, asyncio.TimeoutError) as error:
            LOG.info(
                "dial_failed", address=str(address), error=type(error).__name__
            )
            self._report_unsent(address)
        except Exception as error:
            failures.contain(LOG, "dial_failed", error, address=str(address))
            self._report_unsent(address)

    def _report_unsent(self, address):
        for _, message in self._queued.pop(address, []):
            self._handler.message_unsent(address, message)
