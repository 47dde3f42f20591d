"""Tests of the log sink: it is bounded and never blocks on its reader."""

import os
import re

import pytest

from fescueyard.core import logs


@pytest.fixture(name="pipe")
def _pipe():
    reader, writer = os.pipe()
    yield reader, writer
    os.close(reader)
    os.close(writer)


def test_sink_never_blocks_on_a_stalled_reader(pipe):
    reader, writer = pipe
    sink = logs.Sink(writer)
    lines = 3 * logs.UNWRITTEN_BYTES_MAX // 1_000
    for _ in range(lines):
        sink.write("x" * 1_000, False, 1.0)
    sink.flush(1.0)
    assert len(sink._pending) <= logs.UNWRITTEN_BYTES_MAX + 2_000
    os.set_blocking(reader, False)
    text = b""
    while True:
        try:
            text += os.read(reader, 1 << 20)
        except BlockingIOError:
            if not sink._pending and not sink._suppressed:
                break
            sink.flush(2.0)
    complete_lines = text.count(b"x" * 1_000 + b"\n")
    assert complete_lines < lines
    assert f"suppressed lines={lines - complete_lines}".encode() in text


def test_only_decisions_are_rate_limited(pipe):
    reader, writer = pipe
    sink = logs.Sink(writer)
    os.set_blocking(reader, False)
    text = b""
    for number in range(2 * logs.DECISIONS_BURST):
        sink.write("decision", True, 1.0)
        if number % 1_000 == 0:
            sink.flush(1.0)
            text += os.read(reader, 1 << 20)
    sink.write("stopped", False, 1.0)
    sink.flush(1.0)
    text += os.read(reader, 1 << 20)
    assert text.count(b"decision\n") == logs.DECISIONS_BURST
    assert b"stopped\n" in text
    counts = [int(count) for count in re.findall(rb"lines=(\d+)", text)]
    assert sum(counts) == logs.DECISIONS_BURST


def test_closed_reader_is_not_an_error(pipe):
    reader, writer = os.pipe()
    os.close(reader)
    sink = logs.Sink(writer)
    sink.write("line", False, 1.0)
    sink.flush(1.0)
    assert not sink._pending
    os.close(writer)


# The reason of a process's end was dropped while its log was at its limit.
def test_last_failure_is_written_above_the_limit_of_decisions(tmp_path):
    path = tmp_path / "log"
    descriptor = os.open(path, os.O_CREAT | os.O_WRONLY)
    logs.open_sink(descriptor)
    logger = logs.ComponentLogger("test")
    try:
        for _ in range(2 * logs.DECISIONS_BURST):
            logger.failure("input_failed", ValueError("odd"))
        logger.failure("process_failed", ValueError("odd"), is_last=True)
    finally:
        logs.close_sink()
        os.close(descriptor)
    lines = path.read_text().splitlines()
    assert len(lines) < 2 * logs.DECISIONS_BURST
    assert "process_failed" in "".join(lines[-2:])


# Lines are formatted by templates, in which a percent sign has a meaning.
def test_line_has_all_fields_and_a_percent_sign_in_its_event(tmp_path):
    path = tmp_path / "log"
    descriptor = os.open(path, os.O_CREAT | os.O_WRONLY)
    logs.open_sink(descriptor)
    try:
        logger = logs.ComponentLogger("test")
        logger.info("50 % done", path="a%s", count=3, text="x\ny", none=None)
        logger.info("50 % done")
    finally:
        logs.close_sink()
        os.close(descriptor)
    lines = [line.partition(" ")[2] for line in path.read_text().splitlines()]
    assert lines == [
        r"I [test] 50 % done path='a%s' count=3 text='x\ny' none=None",
        "I [test] 50 % done",
    ]
