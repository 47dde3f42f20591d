"""``fescueyard trace``: one request's story out of the logs of processes."""

import collections
import dataclasses
import os
import re

from fescueyard.core import exceptions

_LINE = re.compile(
    r"(?P<at_s>[0-9]+\.[0-9]{3}) (?P<level>[DIWE]) "
    r"\[(?P<part>[a-z_]+)\] (?P<event>.*)$"
)
_FIELD = re.compile(r"([a-z_]+)=('(?:[^'\\]|\\.)*'|[^ ]+)")
# Outcomes within so long of the request show what its service looked like.
CONTEXT_WINDOW_S = 1.0


@dataclasses.dataclass(frozen=True)
class Line:
    """One line of a log.

    :param process: name of the process, from its file's name.
    :param at_s: time of day in seconds.
    :param text: the line as written.
    :param event: name of the event.
    :param fields: values by name, as written.
    """

    process: str
    at_s: float
    text: str
    event: str
    fields: dict[str, str]


def run(request_id, *paths):
    """Print what each process decided about a request.

    :param request_id: the caller's id of the request, or its beginning.
    :param paths: log files, one for each process.
    """
    if not paths:
        raise exceptions.SettingsError("name the log files to read")
    lines = []
    for path in paths:
        lines += read(path)
    print(render(str(request_id), lines), end="")


def read(path):
    """Read a log file.

    :param path: the file.
    :returns: list of :class:`Line`; what is no line of a log is left out.
    :raises SettingsError: when the file can't be read.
    """
    process = os.path.splitext(os.path.basename(path))[0]
    try:
        with open(path, encoding="utf-8", errors="replace") as file:
            parsed_lines = [_parse_line(process, text) for text in file]
    except OSError as error:
        raise exceptions.SettingsError(
            f"can't read {path}: {error.strerror}"
        ) from None
    return [line for line in parsed_lines if line is not None]


def render(request_id, lines):
    """Write a request's story and what its service looked like then.

    :param request_id: the caller's id of the request, or its beginning.
    :param lines: list of :class:`Line` of all processes.
    :returns: text.
    """
    calls = set()
    for line in lines:
        if line.fields.get("request", "").startswith(request_id):
            calls.add((line.process, line.fields.get("call")))
    request_lines = [
        line for line in lines if _matches_request(line, request_id, calls)
    ]
    if not request_lines:
        return f"no line of request {request_id}\n"
    request_lines.sort(key=lambda line: line.at_s)
    text = [f"{line.process}: {line.text}" for line in request_lines]
    text += _summarize_outcomes(request_lines, lines)
    return "\n".join(text) + "\n"


def _matches_request(line, request_id, calls):
    """Say whether a line names the request, or one of its calls by number."""
    if "request" in line.fields:
        return line.fields["request"].startswith(request_id)
    number = line.fields.get("call")
    return number is not None and (line.process, number) in calls


def _summarize_outcomes(request_lines, lines):
    """Count how requests ended on the same processes around that time."""
    since_s = request_lines[0].at_s - CONTEXT_WINDOW_S
    until_s = request_lines[-1].at_s + CONTEXT_WINDOW_S
    processes = {line.process for line in request_lines}
    counts = collections.Counter()
    for line in lines:
        if line.event not in ("answered", "run_ended"):
            continue
        if line.process in processes and since_s <= line.at_s <= until_s:
            reason = line.fields.get("reason", "")
            counts[line.process, line.event, reason] += 1
    text = ["", f"within {CONTEXT_WINDOW_S:g} s of it:"]
    for (process, event, reason), count in sorted(counts.items()):
        text.append(f"  {process:24} {event:10} {reason:24} {count}")
    return text


def _parse_line(process, text):
    match = _LINE.search(text)
    if match is None:
        return None
    event, _, rest = match["event"].partition(" ")
    fields = {name: value.strip("'") for name, value in _FIELD.findall(rest)}
    return Line(process, float(match["at_s"]), match.group(0), event, fields)
