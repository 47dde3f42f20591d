"""Structured logs: a part, an event, then key=value pairs.

Lines go through ``absl.logging`` until a process opens the bounded sink, which
writes to standard output and never waits for its reader. Lines of decisions
have a budget a second; what does not fit is counted and reported.
"""

import dataclasses
import os
import time

from absl import logging

FLUSH_BYTES = 16 * 1024
UNWRITTEN_BYTES_MAX = 512 * 1024
DECISIONS_PER_S = 1_500
DECISIONS_BURST = 3_000


@dataclasses.dataclass
class _Budget:
    """Lines of decisions that may still be written."""

    left: float = DECISIONS_BURST
    refilled_at_s: float = 0.0

    def take(self, now_s):
        elapsed_s = now_s - self.refilled_at_s
        self.refilled_at_s = now_s
        if elapsed_s > 0:
            self.left += elapsed_s * DECISIONS_PER_S
        self.left = min(DECISIONS_BURST, self.left)
        if self.left < 1:
            return False
        self.left -= 1
        return True


class Sink:
    """A bounded buffer in front of a file descriptor.

    :param descriptor: where lines go; it is made non-blocking.
    """

    def __init__(self, descriptor):
        self._descriptor = descriptor
        self._pending = bytearray()
        self._budget = _Budget()
        self._suppressed = 0
        os.set_blocking(descriptor, False)

    def write(self, line, is_decision, now_s):
        """Take in a line.

        :param line: text without its end.
        :param is_decision: whether the budget of decisions applies.
        :param now_s: the time of day.
        """
        if is_decision and not self._budget.take(now_s):
            self._suppressed += 1
            return
        if len(self._pending) > UNWRITTEN_BYTES_MAX:
            self._suppressed += 1
            return
        self._pending += line.encode("utf-8", "replace") + b"\n"
        if len(self._pending) > FLUSH_BYTES:
            self.flush(now_s)

    def flush(self, now_s):
        """Write what the reader takes now.

        :param now_s: the time of day.
        """
        if self._suppressed and len(self._pending) < UNWRITTEN_BYTES_MAX:
            count, self._suppressed = self._suppressed, 0
            line = f"{now_s:.3f} W [logs] suppressed lines={count}\n"
            self._pending += line.encode()
        while self._pending:
            try:
                written = os.write(self._descriptor, self._pending)
            except BlockingIOError:
                return
            except OSError:
                # Nobody reads any more; there is nowhere to say so.
                self._pending.clear()
                return
            del self._pending[:written]


_LEVELS = ("debug", "info", "warning", "error")

_sink = None
_level = 1


def open_sink(descriptor):
    """Have all lines go through a bounded sink.

    :param descriptor: file descriptor of standard output.
    :returns: :class:`Sink`.
    """
    global _sink
    _sink = Sink(descriptor)
    return _sink


def set_level(name):
    """Leave out lines that are less severe; decisions count as ``info``.

    :param name: ``debug``, ``info``, ``warning`` or ``error``.
    """
    global _level
    _level = _LEVELS.index(name)


def close_sink():
    """Write what the reader takes, and go back to ``absl.logging``."""
    global _sink
    if _sink is not None:
        _sink.flush(time.time())
    _sink = None


def flush():
    """Write what the reader of the sink takes now."""
    if _sink is not None:
        _sink.flush(time.time())


class ComponentLogger:
    """Writes lines with the prefix of one part.

    :param part: name of the part, such as ``stream``.
    """

    def __init__(self, part):
        self._part = part

    def decision(self, event, **fields):
        """Log a decision that touches one request.

        :param event: name of the event.
        :param fields: what was decided and the inputs that decided it.
        """
        if _sink is not None and _level <= 1:
            _write("D", self._part, event, fields, True)

    def info(self, sentence, **fields):
        """Log an event of normal operation."""
        if _sink is not None:
            if _level <= 1:
                _write("I", self._part, sentence, fields, False)
            return
        logging.info("[%s] %s%s", self._part, sentence, _join(fields))

    def warning(self, sentence, **fields):
        """Log an event that an operator may want to look at."""
        if _sink is not None:
            if _level <= 2:
                _write("W", self._part, sentence, fields, False)
            return
        logging.warning("[%s] %s%s", self._part, sentence, _join(fields))

    def error(self, sentence, **fields):
        """Log an event that needs an operator."""
        if _sink is not None:
            _write("E", self._part, sentence, fields, False)
            return
        logging.error("[%s] %s%s", self._part, sentence, _join(fields))


def _write(level, part, event, fields, is_decision):
    now_s = time.time()
    line = f"{now_s:.3f} {level} [{part}] {event}{_join(fields)}"
    _sink.write(line, is_decision, now_s)


def _join(fields):
    return "".join(f" {name}={value!r}" for name, value in fields.items())


# The place that a log line names is the caller's, not this module's.
for _name in ("info", "warning", "error"):
    logging.ABSLLogger.register_frame_to_skip(__file__, _name)
