"""Mutual authentication of two processes with the cluster secret.

Each side proves that it holds the secret by a MAC over both sides' nonces; a
proof is valid in one direction only. The stream's frame keys are derived from
the same nonces, so a recorded stream can't be replayed.
"""

import dataclasses
import hashlib
import hmac
import secrets

from fescueyard.core import exceptions
from fescueyard.core import wire

NONCE_BYTES = 16
PROTOCOL_VERSION = 1


@wire.message(1)
@dataclasses.dataclass(slots=True)
class Hello:
    """First message of the dialling side."""

    protocol_version: int
    process_id: str
    nonce: bytes


@wire.message(2)
@dataclasses.dataclass(slots=True)
class HelloResponse:
    """Response of the accepting side, with its proof."""

    process_id: str
    nonce: bytes
    proof: bytes


@wire.message(3)
@dataclasses.dataclass(slots=True)
class HelloProof:
    """Proof of the dialling side."""

    proof: bytes


@dataclasses.dataclass(frozen=True)
class FrameKeys:
    """MAC keys of a stream, one for each direction, named by the sender."""

    dialler: bytes
    acceptor: bytes


def new_nonce():
    """Generate a nonce.

    :returns: random bytes.
    """
    return secrets.token_bytes(NONCE_BYTES)


def make_proof(secret, side, hello, process_id, nonce):
    """Make the proof that a side holds the secret, or derive its frame key.

    :param secret: cluster secret, bytes.
    :param side: ``b"dialler"`` or ``b"acceptor"``; with ``b" frames"``
        appended for the frame key.
    :param hello: the dialler's :class:`Hello`.
    :param process_id: the acceptor's id.
    :param nonce: the acceptor's nonce.
    :returns: bytes.
    """
    transcript = wire.encode(hello) + process_id.encode() + nonce
    return hmac.digest(secret, side + b"\0" + transcript, "sha256")


def check_proof(secret, side, hello, process_id, nonce, received_proof):
    """Verify the other side's proof.

    :raises PeerAuthenticationError: when the proof is wrong.
    """
    expected = make_proof(secret, side, hello, process_id, nonce)
    if not hmac.compare_digest(expected, received_proof):
        raise exceptions.PeerAuthenticationError(
            "the peer does not hold the secret"
        )


def frame_keys(secret, hello, process_id, nonce):
    """Derive the keys that authenticate the frames.

    :returns: :class:`FrameKeys`.
    """
    dialler = make_proof(secret, b"dialler frames", hello, process_id, nonce)
    acceptor = make_proof(secret, b"acceptor frames", hello, process_id, nonce)
    return FrameKeys(dialler, acceptor)


def frame_hash(key):
    """Prepare the keyed hash of a stream's frames in one direction.

    :param key: the sender's frame key.
    :returns: hash object without data, copied for each frame.
    """
    return hashlib.blake2b(digest_size=16, key=key)


def frame_mac(keyed_hash, sequence, payload):
    """Compute the MAC of one frame.

    :param keyed_hash: what :func:`frame_hash` returned.
    :param sequence: number of the frame in its direction, from 0.
    :param payload: the frame's bytes.
    :returns: 16 bytes.
    """
    mac = keyed_hash.copy()
    mac.update(sequence.to_bytes(8, "big"))
    mac.update(payload)
    return mac.digest()
