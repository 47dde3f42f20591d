"""Tests of the codec: compiled functions check what arrives like loops did."""

import dataclasses

import msgpack
import pytest

from fescueyard.core import exceptions
from fescueyard.core import wire


@dataclasses.dataclass(slots=True)
class _Item:
    name: str
    value: str


@wire.message(9_901)
@dataclasses.dataclass(slots=True)
class _Sample:
    number: int
    share: float
    first: _Item
    items: list[_Item]
    other: _Item | None = None


VALUES = [1, 0.5, ["a", "b"], [["c", "d"]], None]


def _decode(values):
    return wire.decode(msgpack.packb([9_901, values]))


def test_message_is_the_same_after_a_round_trip():
    sample = _Sample(1, 0.5, _Item("a", "b"), [_Item("c", "d")], None)
    payload = wire.encode(sample)
    assert payload == msgpack.packb([9_901, VALUES])
    assert wire.decode(payload) == sample


# A process of an earlier or later release knows fewer or more fields.
@pytest.mark.parametrize("values", [VALUES[:4], [*VALUES, "later field"]])
def test_fields_at_the_end_may_be_missing_or_unknown(values):
    assert _decode(values) == _decode(VALUES)


def test_numbers_of_a_wider_type_are_accepted():
    sample = _decode([True, 1, *VALUES[2:]])
    assert (sample.number, sample.share) == (1, 1)


# A value of another type would fail later, far from its sender.
@pytest.mark.parametrize(
    ("position", "value"),
    [
        (0, "1"),
        (0, None),
        (1, b"x"),
        (2, None),
        (2, ["a"]),
        (2, {"a": "b", "c": "d"}),
        (3, {}),
        (3, [["c", 1]]),
        (4, 1),
    ],
)
def test_wrong_types_are_refused(position, value):
    values = list(VALUES)
    values[position] = value
    with pytest.raises(exceptions.StreamError):
        _decode(values)


# The packer is kept between messages.
def test_unencodable_message_does_not_spoil_the_next_one():
    sample = _decode(VALUES)
    with pytest.raises(TypeError):
        wire.encode(dataclasses.replace(sample, number=object()))
    large = dataclasses.replace(sample, first=_Item("a", "x" * 1_000_000))
    assert wire.decode(wire.encode(large)) == large
    assert wire.decode(wire.encode(sample)) == sample
