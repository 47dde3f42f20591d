"""Structured logs: a fixed prefix for each part, then key=value pairs."""

from absl import logging


class PartLogger:
    """Writes short sentences with the prefix of one part.

    :param part: name of the part, such as ``stream``.
    """

    def __init__(self, part):
        self._prefix = f"[{part}]"

    def info(self, sentence, **fields):
        """Log an event of normal operation."""
        logging.info("%s %s%s", self._prefix, sentence, _join(fields))

    def warning(self, sentence, **fields):
        """Log an event that an operator may want to look at."""
        logging.warning("%s %s%s", self._prefix, sentence, _join(fields))

    def error(self, sentence, **fields):
        """Log an event that needs an operator."""
        logging.error("%s %s%s", self._prefix, sentence, _join(fields))


def _join(fields):
    return "".join(f" {name}={value!r}" for name, value in fields.items())


# The place that a log line names is the caller's, not this module's.
for _name in ("info", "warning", "error"):
    logging.ABSLLogger.register_frame_to_skip(__file__, _name)
