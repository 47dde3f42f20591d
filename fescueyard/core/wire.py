"""Codec between typed messages and msgpack arrays.

A message is a data class registered under a number. It travels as an array of
that number and an array of the field values in order. A data class in a field
or in a list travels as an array of its own field values.
"""

import dataclasses
import functools
import operator
import typing

import msgpack

from fescueyard.core import codes
from fescueyard.core import exceptions

_BY_NUMBER = {}
_DEPTH_MAX = 4


@dataclasses.dataclass(frozen=True)
class _Field:
    name: str
    types: tuple
    item_class: type | None
    nested_class: type | None


def message(number):
    """Register a data class as a message.

    :param number: the message's number on the wire.
    :returns: a class decorator.
    :raises ValueError: when the number is already registered.
    """

    def register(cls):
        if number in _BY_NUMBER:
            raise ValueError(f"message number {number} defined twice")
        cls.wire_number = number
        _BY_NUMBER[number] = cls
        return cls

    return register


def encode(value):
    """Encode a message.

    :param value: a registered data class instance.
    :returns: bytes.
    """
    return msgpack.packb([value.wire_number, _flatten(value)])


def decode(payload):
    """Decode and validate a message.

    :param payload: bytes made by :func:`encode`.
    :returns: the message.
    :raises StreamError: when the bytes are not a valid message.
    """
    try:
        number, values = msgpack.unpackb(payload)
        cls = _BY_NUMBER[number]
    except (ValueError, TypeError, KeyError, msgpack.UnpackException) as error:
        raise _frame_error(f"undecodable message: {error!r}") from error
    return _build(cls, values, 0)


def encode_plain(value):
    """Encode a data class without a message number.

    Used for stored records and for digests.

    :param value: a data class instance.
    :returns: bytes.
    """
    return msgpack.packb(_flatten(value))


def decode_plain(cls, payload):
    """Decode bytes made by :func:`encode_plain`.

    :param cls: the data class.
    :param payload: the bytes.
    :returns: an instance of ``cls``.
    :raises StreamError: when the bytes don't match the fields of the class.
    """
    try:
        values = msgpack.unpackb(payload)
    except (ValueError, TypeError, msgpack.UnpackException) as error:
        raise _frame_error(f"undecodable record: {error!r}") from error
    return _build(cls, values, 0)


def _flatten(value):
    get_values, nested_fields = _flattening_plan(type(value))
    values = list(get_values(value))
    for position, field in nested_fields:
        item = values[position]
        if field.nested_class:
            if item is not None:
                values[position] = _flatten(item)
        else:
            values[position] = [_flatten(entry) for entry in item]
    return values


def _build(cls, values, depth):
    fields = _all_fields(cls)
    if not isinstance(values, list) or len(values) < _required_count(cls):
        raise _frame_error(f"{cls.__name__}: wrong number of fields")
    if depth > _DEPTH_MAX:
        raise _frame_error(f"{cls.__name__}: nested too deeply")
    # A process of another build may know fewer or more fields at the end.
    values = values[: len(fields)]
    for position, (field, value) in enumerate(zip(fields, values)):
        if field.nested_class and value is not None:
            values[position] = _build(field.nested_class, value, depth + 1)
        elif field.types and not isinstance(value, field.types):
            raise _frame_error(f"{cls.__name__}.{field.name}: wrong type")
        elif field.item_class:
            values[position] = [
                _build(field.item_class, entry, depth + 1) for entry in value
            ]
    return cls(*values)


@functools.cache
def _flattening_plan(cls):
    """Prepare a class for flattening.

    :returns: a getter of all field values, and the fields that hold other
        data classes with their positions.
    """
    fields = _all_fields(cls)
    names = [field.name for field in fields]
    if len(names) > 1:
        getter = operator.attrgetter(*names)
    else:

        def getter(value):
            return [getattr(value, name) for name in names]

    nested_fields = []
    for position, field in enumerate(fields):
        if field.nested_class or field.item_class:
            nested_fields.append((position, field))
    return getter, nested_fields


@functools.cache
def _all_fields(cls):
    return _describe(cls)


@functools.cache
def _required_count(cls):
    """Return the number of leading fields without a default."""
    return sum(
        field.default is dataclasses.MISSING
        and field.default_factory is dataclasses.MISSING
        for field in dataclasses.fields(cls)
    )


def _describe(cls):
    hints = typing.get_type_hints(cls)
    fields = []
    for field in dataclasses.fields(cls):
        fields.append(_describe_field(field.name, hints[field.name]))
    return fields


def _describe_field(name, hint):
    types = []
    item_class = None
    nested_class = None
    for option in typing.get_args(hint) if _is_optional(hint) else (hint,):
        origin = typing.get_origin(option) or option
        if origin is list:
            item_class = _dataclass_or_none(typing.get_args(option)[0])
        elif dataclasses.is_dataclass(origin):
            nested_class = origin
        types.append(origin)
    if float in types:
        types.append(int)
    if typing.Any in types:
        types = []
    return _Field(name, tuple(types), item_class, nested_class)


def _is_optional(hint):
    return type(None) in typing.get_args(hint)


def _dataclass_or_none(hint):
    return hint if dataclasses.is_dataclass(hint) else None


def _frame_error(detail):
    return exceptions.StreamError(detail, codes.BAD_FRAME)
