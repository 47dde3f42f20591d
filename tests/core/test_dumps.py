"""Tests of dumps: a renamed field keeps its key, and secrets stay hidden."""

import dataclasses
import json

from fescueyard.core import dumps


@dataclasses.dataclass
class _Renamed:
    attempt_count: int = dataclasses.field(metadata=dumps.written_as("tries"))
    kept: int


@dataclasses.dataclass
class _Secrets:
    secret: str = dataclasses.field(metadata=dumps.written_as("text"))
    text: str = dataclasses.field(metadata=dumps.written_as("sha256"))


def test_field_is_written_under_its_outer_name():
    assert _render(_Renamed(3, 4)) == {"tries": 3, "kept": 4}


def test_field_stays_hidden_under_either_name():
    assert _render(_Secrets("one", "two")) == {}


def _render(value):
    return json.loads(dumps.render(value))
