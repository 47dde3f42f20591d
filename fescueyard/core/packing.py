"""Compressed values inside messages.

Load pattern: tables and configurations of some ten kilobytes cross between
zones, where bytes are expensive. A compressed value is sent only to a process
that has asked for it, because earlier releases can't read it.
"""

import zlib

from fescueyard.core import codes
from fescueyard.core import exceptions
from fescueyard.core import wire

ZLIB_LEVEL = 6
# Largest value that is unpacked; the largest frame of a stream.
BYTES_MAX = 32 * 1024 * 1024


def pack(value):
    """Encode and compress a data class.

    :param value: a data class instance.
    :returns: bytes.
    """
    return zlib.compress(wire.encode_plain(value), ZLIB_LEVEL)


def unpack(cls, payload):
    """Decode bytes made by :func:`pack`.

    :param cls: the data class.
    :param payload: the bytes.
    :returns: an instance of ``cls``.
    :raises StreamError: when the bytes are not of that class or too many.
    """
    decompressor = zlib.decompressobj()
    try:
        plain = decompressor.decompress(payload, BYTES_MAX)
    except zlib.error as error:
        raise _frame_error(f"packed value: {error}") from error
    if not decompressor.eof:
        raise _frame_error("packed value is cut off or too large")
    return wire.decode_plain(cls, plain)


def _frame_error(detail):
    return exceptions.StreamError(detail, codes.BAD_FRAME)
