"""The trace of a request through the logs of several processes."""

import fire
import pytest

from fescueyard.management.commands import trace

ENTRY_LOG = """\
100.000 I [node] Node started. node='n1'
100.100 D [ingress] accepted request='abc' call=7 route='r' service='orders'
100.101 D [ingress] sent request='abc' call=7 attempt=9 node='n2'
100.150 D [ingress] accepted request='other' call=8 route='r'
100.300 D [ingress] attempt_answered call=7 attempt=9 node='n2' code=2103
100.301 D [ingress] answered request='abc' call=7 code=2103 reason='evicted'
100.400 D [ingress] answered request='other' call=8 code=1000 reason='ok'
not a line of a log
"""
SERVER_LOG = """\
100.105 D [admission] run_ended request='abc' attempt=9 reason='evicted'
100.200 D [admission] run_ended request='xyz' attempt=3 reason='evicted'
"""


def test_trace_orders_events_of_all_processes_by_time(tmp_path):
    lines = []
    for name, text in (("entry", ENTRY_LOG), ("server", SERVER_LOG)):
        path = tmp_path / f"{name}.log"
        path.write_text(text)
        lines += trace.read(str(path))
    output = trace.render("abc", lines).splitlines()
    events = [line.split("] ")[1].split()[0] for line in output[:5]]
    assert events == [
        "accepted",
        "sent",
        "run_ended",
        "attempt_answered",
        "answered",
    ]
    assert not any("other" in line for line in output)
    assert any(
        "server" in line and "evicted" in line and line.endswith("2")
        for line in output
    )


@pytest.mark.parametrize("request_id", ["007", "1e5", "0x10", "1_000"])
def test_request_id_that_looks_like_a_number(tmp_path, capsys, request_id):
    path = tmp_path / "entry.log"
    path.write_text(ENTRY_LOG.replace("'abc'", f"'{request_id}'"))
    fire.Fire(trace.run, command=[request_id, str(path)])
    assert f"request='{request_id}' call=7" in capsys.readouterr().out


def test_trace_of_an_unknown_request_reports_no_lines():
    assert trace.render("abc", []) == "no log line found for request abc\n"
