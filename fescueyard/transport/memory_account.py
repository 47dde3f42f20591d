"""Account of the memory that clients hold in this process.

It counts an estimate of what unfinished heads and bodies, waiting requests and
unread responses cost, which is more than their bytes: a Python object for each
header field takes about a hundred times the shortest field.
"""

import ctypes
import dataclasses
import resource

MEBIBYTE = 1024 * 1024
# A connection: transport, socket, protocol object, parser and containers.
CONNECTION_COST = 6 * 1024
# A parsed request without its fields, target and body.
REQUEST_COST = 1024
# A header field: the object, its name and its value, each with its overhead.
FIELD_COST = 256
# Text decoded from the bytes of a head exists beside them for a moment.
HEAD_BYTE_COST = 2
# A growing buffer keeps up to an eighth more than it holds.
BODY_GROWTH_SHARE = 0.125
# Bodies up to this size may use the whole limit, larger ones only a share of
# it, so that large bodies can't take the part of small requests.
SMALL_BODY_BYTES = 64 * 1024
LARGE_SHARE = 0.75
# Copies of a body that exist for a moment while it is encoded or decoded: the
# message, its frame, and the payload cut out of it.
PASSING_COPIES = 4
# Part of the memory that stays free for tables that grow, logs and buffers.
MARGIN_SHARE = 0.15
# The C library serves blocks from this size on by a mapping of their own, and
# returns them to the system when they are freed. By default it raises the
# limit up to 32 MiB whenever such a block is freed, and later bodies then
# fragment the heap.
MAPPED_BLOCK_BYTES = 128 * 1024
_M_MMAP_THRESHOLD = -3
_M_TRIM_THRESHOLD = -1


def body_cost(length):
    """Return what a body costs.

    :param length: its size in bytes.
    :returns: bytes.
    """
    return int(length * (1 + BODY_GROWTH_SHARE))


def limit_bytes(memory_bytes, base_bytes, body_bytes_max):
    """Return how much memory clients may hold.

    One body of the largest size always fits, also where the memory is too
    small for the copies of it that exist for a moment.

    :param memory_bytes: memory of the VM.
    :param base_bytes: resident memory of the process without clients.
    :param body_bytes_max: largest body that a client may send.
    :returns: bytes.
    """
    reserved_bytes = base_bytes + PASSING_COPIES * body_bytes_max
    limit = memory_bytes * (1 - MARGIN_SHARE) - reserved_bytes
    return int(max(limit, body_cost(body_bytes_max) / LARGE_SHARE))


@dataclasses.dataclass
class MemoryAccount:
    """What clients hold, and what they may hold.

    :param limit_bytes: hard limit. Nothing new is accepted above it.
    :param held_bytes: what is held now.
    :param forwarded_bytes: part of it for requests of other nodes.
    """

    limit_bytes: int
    held_bytes: int = 0
    forwarded_bytes: int = 0

    @property
    def soft_limit_bytes(self):
        """Limit from which on no further large bodies are read."""
        return int(self.limit_bytes * LARGE_SHARE)

    def has_room(self, amount_bytes, is_small):
        """Return whether an amount fits.

        :param amount_bytes: cost in bytes.
        :param is_small: whether the part for small requests may be used.
        :returns: bool.
        """
        limit = self.limit_bytes if is_small else self.soft_limit_bytes
        return self.held_bytes + amount_bytes <= limit

    def charge(self, amount_bytes):
        """Count an amount; a negative one is released.

        :param amount_bytes: cost in bytes, as of :func:`body_cost`.
        """
        self.held_bytes += amount_bytes

    def hold_forwarded(self, length):
        """Count the body of a request from another node, if it fits.

        :param length: its size in bytes.
        :returns: whether it fits.
        """
        amount_bytes = body_cost(length)
        if not self.has_room(amount_bytes, length <= SMALL_BODY_BYTES):
            return False
        self.held_bytes += amount_bytes
        self.forwarded_bytes += amount_bytes
        return True

    def release_forwarded(self, length):
        """Release the body of a request from another node.

        :param length: its size in bytes.
        """
        self.held_bytes -= body_cost(length)
        self.forwarded_bytes -= body_cost(length)


def resident_bytes():
    """Return the resident memory of this process.

    :returns: bytes; 0 where the system doesn't tell.
    """
    try:
        with open("/proc/self/statm", encoding="ascii") as file:
            pages = int(file.read().split()[1])
    except OSError:
        return 0
    return pages * resource.getpagesize()


def return_freed_blocks():
    """Have the C library return large freed blocks to the system.

    Does nothing with a C library that has no such option.
    """
    try:
        library = ctypes.CDLL(None)
        library.mallopt(_M_MMAP_THRESHOLD, MAPPED_BLOCK_BYTES)
        library.mallopt(_M_TRIM_THRESHOLD, MAPPED_BLOCK_BYTES)
    except (AttributeError, OSError):
        return
