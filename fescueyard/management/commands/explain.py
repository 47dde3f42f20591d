"""``fescueyard explain``: shows where a request would go now, and why."""

import hashlib
import json
import urllib.parse

import fire

from fescueyard.core import exceptions
from fescueyard.management import client
from fescueyard.node import explanation

TIMEOUT_MS = 5_000
_SERVER_COLUMNS = (
    "node",
    "zone",
    "score",
    "load",
    "limit",
    "outstanding",
    "cold_ms",
    "latency_ms",
    "failure_share",
    "excluded",
)


@fire.decorators.SetParseFns(
    node=str, host=str, path=str, key=str, key_file=str
)
def run(node, host, path, key="", key_file="", timeout_ms=0, json=False):
    """Show where a request would go now, and why, without sending it.

    Other users of this machine can read the arguments of a command, so a key
    is better kept in a file. Only its hash is sent.

    :param node: ``host:port`` of the metrics listener of the node that would
        get the request.
    :param host: ``Host`` header of the request.
    :param path: its path.
    :param key: key of the customer; none for a public route.
    :param key_file: file that contains the key.
    :param timeout_ms: time that the caller waits, in ms; that of the route
        when left out.
    :param json: whether to print JSON instead of text.
    """
    fields = {"host": host, "path": path, "timeout_ms": timeout_ms}
    key = _read_key(key_file) if key_file else key
    if key:
        fields["key_sha256"] = hashlib.sha256(key.encode()).hexdigest()
    query = urllib.parse.urlencode(fields)
    url = f"http://{node}{explanation.PATH}?{query}"
    response = client.fetch("GET", url, [], b"", TIMEOUT_MS)
    explained = client.parse_response(response)
    print(_to_json(explained) if json else render(explained))


def render(explained):
    """Render an explanation as text.

    :param explained: the JSON object that the node sent.
    :returns: text.
    """
    lines = [
        f"node           {explained['node']} in {explained['zone']}",
        f"configuration  version {explained['version']}, "
        f"age {explained['age_ms']} ms",
        f"route          {explained['route'] or '-'}",
        f"service        {explained['service'] or '-'}",
        f"customer       {explained['customer'] or '-'}",
    ]
    rate = explained["rate"]
    if rate is not None:
        lines.append(
            f"rate           {rate['outlook']}, {rate['tokens']} tokens, "
            f"{rate['waiting']} calls wait, "
            f"granted by {rate['grantor'] or 'the control leader'}"
        )
    if explained["rank"] is not None:
        lines.append(
            f"rank           {explained['rank']}, "
            f"{explained['shed_share']:.0%} shed now, "
            f"bottleneck {explained['bottleneck'] or '-'}"
        )
    lines += _render_servers(explained["servers"])
    if explained["chosen"]:
        lines.append(f"would go to    {explained['chosen']}")
    else:
        lines.append(
            f"rejected       {explained['code']} {explained['reason']}: "
            f"{explained['detail']}"
        )
    return "\n".join(lines)


def _render_servers(servers):
    """Render the servers as a table, the best candidate first."""
    rows = [_SERVER_COLUMNS]
    for server in servers:
        rows.append([str(server[column]) for column in _SERVER_COLUMNS])
    widths = [max(map(len, column)) for column in zip(*rows)]
    return [
        "  " + "  ".join(map(str.ljust, row, widths)).rstrip() for row in rows
    ]


def _read_key(path):
    try:
        with open(path, encoding="utf-8") as file:
            return file.read().strip()
    except (OSError, ValueError) as error:
        raise exceptions.SettingsError(f"can't read {path}: {error}") from None


def _to_json(explained):
    return json.dumps(explained, indent=1)
