"""Structured logs: a component, an event, then key=value pairs.

Lines go through ``absl.logging`` until a process opens the bounded sink, which
writes to standard output and never blocks on its reader. Lines about decisions
on single requests are limited per second. Lines above that limit, and lines
that the full buffer can't take, are dropped, and their number is logged.
"""

import dataclasses
import functools
import os
import time
import traceback

from absl import logging

FLUSH_BYTES = 16 * 1024
UNWRITTEN_BYTES_MAX = 512 * 1024
DECISIONS_PER_S = 1_500
DECISIONS_BURST = 3_000
ERROR_CHARS_MAX = 300
# Frames of a traceback that a line about an unexpected error names.
ORIGIN_FRAMES = 6
# Kinds of lines whose templates are kept; the code has about 150.
LINE_TEMPLATES_MAX = 1_024


@dataclasses.dataclass(slots=True)
class _DecisionBudget:
    """Token bucket that limits the lines about decisions."""

    lines_left: float = DECISIONS_BURST
    refilled_at_s: float = 0.0

    def try_spend(self, now_s):
        elapsed_s = now_s - self.refilled_at_s
        self.refilled_at_s = now_s
        lines_left = self.lines_left
        if elapsed_s > 0:
            lines_left += elapsed_s * DECISIONS_PER_S
        if lines_left > DECISIONS_BURST:
            lines_left = DECISIONS_BURST
        may_spend = lines_left >= 1
        self.lines_left = lines_left - may_spend
        return may_spend


class Sink:
    """A bounded buffer in front of a file descriptor; drops lines when full.

    :param descriptor: file descriptor to write to; made non-blocking.
    """

    def __init__(self, descriptor):
        self._descriptor = descriptor
        self._pending = bytearray()
        self._budget = _DecisionBudget()
        self._suppressed = 0
        os.set_blocking(descriptor, False)

    def write(self, line, is_decision, now_s):
        """Buffer a line.

        :param line: text without a line break.
        :param is_decision: whether the limit for decisions applies.
        :param now_s: the present time since the epoch.
        """
        if self.try_reserve(is_decision, now_s):
            self.append(line, now_s)

    def try_reserve(self, is_decision, now_s):
        """Return whether a line may be written now; count it if not.

        Asked before a line is formatted, so that a dropped one costs little.

        :param is_decision: whether the limit for decisions applies.
        :param now_s: the present time since the epoch.
        :returns: bool.
        """
        if is_decision and not self._budget.try_spend(now_s):
            self._suppressed += 1
            return False
        if len(self._pending) > UNWRITTEN_BYTES_MAX:
            self._suppressed += 1
            return False
        return True

    def append(self, line, now_s):
        """Buffer a line that :meth:`try_reserve` has allowed.

        :param line: text without a line break.
        :param now_s: the present time since the epoch.
        """
        self._pending += line.encode("utf-8", "replace")
        self._pending += b"\n"
        if len(self._pending) > FLUSH_BYTES:
            self.flush(now_s)

    def flush(self, now_s):
        """Write as much as the descriptor accepts without blocking.

        :param now_s: the present time since the epoch.
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
                # The reader is gone, so there is nowhere to report the error.
                self._pending.clear()
                return
            del self._pending[:written]


_LEVELS = ("debug", "info", "warning", "error")

_sink = None
_level = 1


def open_sink(descriptor):
    """Direct all lines to a bounded sink.

    :param descriptor: file descriptor of standard output.
    :returns: :class:`Sink`.
    """
    global _sink
    _sink = Sink(descriptor)
    return _sink


def set_level(name):
    """Suppress less severe lines; decisions have the severity ``info``.

    :param name: ``debug``, ``info``, ``warning`` or ``error``.
    """
    global _level
    _level = _LEVELS.index(name)


def close_sink():
    """Flush and drop the sink; later lines go to ``absl.logging``."""
    global _sink
    if _sink is not None:
        _sink.flush(time.time())
    _sink = None


def flush():
    """Flush the sink, if one is open, without blocking."""
    if _sink is not None:
        _sink.flush(time.time())


class ComponentLogger:
    """Writes lines with the prefix of one component.

    :param component: name of the component, such as ``stream``.
    """

    def __init__(self, component):
        self._component = component

    def decision(self, event, **fields):
        """Log a decision about one request; only an open sink writes it.

        :param event: name of the event.
        :param fields: the decision and the inputs that led to it.
        """
        if _sink is not None and _level <= 1:
            _write("D", self._component, event, fields, True)

    def info(self, event, **fields):
        """Log an event of normal operation."""
        if _sink is not None:
            if _level <= 1:
                _write("I", self._component, event, fields, False)
            return
        logging.info(
            "[%s] %s%s", self._component, event, _format_fields(fields)
        )

    def warning(self, event, **fields):
        """Log an event that may need an operator's attention."""
        if _sink is not None:
            if _level <= 2:
                _write("W", self._component, event, fields, False)
            return
        logging.warning(
            "[%s] %s%s", self._component, event, _format_fields(fields)
        )

    def error(self, event, **fields):
        """Log an event that needs an operator's action."""
        if _sink is not None:
            _write("E", self._component, event, fields, False)
            return
        logging.error(
            "[%s] %s%s", self._component, event, _format_fields(fields)
        )

    def failure(self, event, error, is_last=False, **fields):
        """Log an unexpected error and where it was raised.

        The lines count against the limit of those about decisions: an error
        may be raised for each request.

        :param event: name of the event.
        :param error: the exception.
        :param is_last: whether it ends the process; not limited.
        :param fields: what it ends.
        """
        fields.update(error=repr(error)[:ERROR_CHARS_MAX], at=_origin(error))
        if _sink is not None:
            _write("E", self._component, event, fields, not is_last)
            return
        logging.error(
            "[%s] %s%s", self._component, event, _format_fields(fields)
        )


def _origin(error):
    """Return the innermost places through which an exception passed."""
    frames = traceback.extract_tb(error.__traceback__)[-ORIGIN_FRAMES:]
    places = [
        f"{os.path.basename(frame.filename)}:{frame.lineno}"
        for frame in frames
    ]
    return " > ".join(places)


def _write(level, component, event, fields, is_decision):
    now_s = time.time()
    if _sink.try_reserve(is_decision, now_s):
        template = _line_template(level, component, event, *fields)
        _sink.append(template % (now_s, *fields.values()), now_s)


@functools.lru_cache(LINE_TEMPLATES_MAX)
def _line_template(level, component, event, *names):
    """Return the template of a line; formatting it is one call."""
    head = f"{level} [{component}] {event}".replace("%", "%%")
    return f"%.3f {head}" + "".join(f" {name}=%r" for name in names)


def _format_fields(fields):
    return "".join(f" {name}={value!r}" for name, value in fields.items())


# Log lines name the source line of the caller instead of this module's.
for _name in ("info", "warning", "error", "failure"):
    logging.ABSLLogger.register_frame_to_skip(__file__, _name)
