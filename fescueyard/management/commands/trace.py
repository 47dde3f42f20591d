"""``fescueyard trace``: traces a request through the logs of processes."""

import collections
import dataclasses
import os
import re

import fire

from fescueyard.core import exceptions

_LINE = re.compile(
    r"(?P<at_s>[0-9]+\.[0-9]{3}) (?P<level>[DIWE]) "
    r"\[(?P<part>[a-z_]+)\] (?P<event>.*)$"
)
_FIELD = re.compile(r"([a-z_]+)=('(?:[^'\\]|\\.)*'|[^ ]+)")
# Outcomes within this time before and after the request show the state of its
# service at that time.
CONTEXT_WINDOW_S = 1.0


@dataclasses.dataclass(frozen=True)
class Line:
    """One line of a log.

    :param process: name of the process, from the name of its log file.
    :param at_s: time of day in seconds.
    :param text: the line as logged, from the timestamp on.
    :param event: event name.
    :param fields: logged values by key, as text without quotes.
    """

    process: str
    at_s: float
    text: str
    event: str
    fields: dict[str, str]


@fire.decorators.SetParseFn(str)
def run(request_id, *paths):
    """Print what every process decided about a request.

    :param request_id: id of the request as sent by the caller, or a prefix of
        it.
    :param paths: log files, one per process.
    """
    if not paths:
        raise exceptions.SettingsError("no log file is named")
    lines = []
    for path in paths:
        lines += read(path)
    print(render(request_id, lines), end="")


def read(path):
    """Read a log file.

    :param path: path of the file.
    :returns: list of :class:`Line`; text that is not a log line is skipped.
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
    """Render the trace of a request and the outcomes around its time.

    :param request_id: id of the request as sent by the caller, or a prefix of
        it.
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
        return f"no log line found for request {request_id}\n"
    request_lines.sort(key=lambda line: line.at_s)
    text = [f"{line.process}: {line.text}" for line in request_lines]
    text += _summarise_outcomes(request_lines, lines)
    return "\n".join(text) + "\n"


def _matches_request(line, request_id, calls):
    """Return whether a line names the request or the number of its call."""
    if "request" in line.fields:
        return line.fields["request"].startswith(request_id)
    number = line.fields.get("call")
    return number is not None and (line.process, number) in calls


def _summarise_outcomes(story, lines):
    """Count outcomes on the same processes around the time of the request."""
    since_s = story[0].at_s - CONTEXT_WINDOW_S
    until_s = story[-1].at_s + CONTEXT_WINDOW_S
    processes = {line.process for line in story}
    counts = collections.Counter()
    for line in lines:
        if line.event not in ("answered", "run_ended"):
            continue
        if line.process in processes and since_s <= line.at_s <= until_s:
            reason = line.fields.get("reason", "")
            counts[line.process, line.event, reason] += 1
    text = ["", f"outcomes within {CONTEXT_WINDOW_S:g} s of the request:"]
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
