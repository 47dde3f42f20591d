"""Codec between typed messages and msgpack arrays.

A message is a data class registered under a number. It travels as an array of
that number and an array of the field values in order. A data class in a field
or in a list travels as an array of its own field values.
"""

import dataclasses
import functools
import typing

import msgpack

from fescueyard.core import codes
from fescueyard.core import exceptions

_BY_NUMBER = {}
_DEPTH_MAX = 4
_PACKER_BYTES_MAX = 256 * 1024

_packer = msgpack.Packer()


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
    return _pack([value.wire_number, _flatten(value)])


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
    return _build(cls, values)


def encode_plain(value):
    """Encode a data class without a message number.

    Used for stored records and for digests.

    :param value: a data class instance.
    :returns: bytes.
    """
    return _pack(_flatten(value))


def _pack(values):
    """Serialise values with a packer that is kept.

    Its buffer stays as large as the largest message, so that after a large
    one the packer is replaced.
    """
    global _packer
    payload = _packer.pack(values)
    if len(payload) > _PACKER_BYTES_MAX:
        _packer = msgpack.Packer()
    return payload


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
    return _build(cls, values)


def _flatten(value):
    return _compile_flatten(type(value))(value)


def _build(cls, values):
    return _compile_build(cls)(values)


@functools.cache
def _compile_flatten(cls, depth=0):
    """Compile the function that turns an instance into its field values.

    A loop over the fields was the costliest function of a forwarded request.

    :param cls: the data class.
    :param depth: number of data classes that it is nested in.
    :returns: function of an instance that returns a list.
    """
    scope = {}
    items = []
    for position, field in enumerate(_all_fields(cls)):
        item = f"value.{field.name}"
        nested = field.nested_class or field.item_class
        if nested:
            flatten = f"flatten_{position}"
            scope[flatten] = _compile_flatten(nested, _deeper(cls, depth))
            if field.nested_class:
                item = f"None if {item} is None else {flatten}({item})"
            else:
                item = f"[{flatten}(entry) for entry in {item}]"
        items.append(item)
    source = f"def compiled(value):\n    return [{', '.join(items)}]\n"
    exec(source, scope)
    return scope["compiled"]


@functools.cache
def _compile_build(cls, depth=0):
    """Compile the function that builds an instance from its field values.

    It handles values of exactly the declared types, and leaves all others to
    :func:`_build_checked`.

    :param cls: the data class.
    :param depth: number of data classes that it is nested in.
    :returns: function of a list of values that returns an instance.
    """
    fields = _all_fields(cls)
    scope = {"cls": cls, "build_checked": _build_checked}
    names = [f"item_{position}" for position in range(len(fields))]
    checks = []
    arguments = []
    for position, field in enumerate(fields):
        name = names[position]
        argument = name
        nested = field.nested_class or field.item_class
        if nested:
            scope[f"build_{position}"] = _compile_build(
                nested, _deeper(cls, depth)
            )
        if field.nested_class:
            argument = f"build_{position}({name})"
            if type(None) in field.types:
                argument = f"None if {name} is None else {argument}"
        elif field.types:
            scope[f"types_{position}"] = field.types
            checks.append(_type_check(name, field.types, scope, position))
        if field.item_class:
            argument = f"[build_{position}(entry) for entry in {name}]"
        arguments.append(argument)
    source = f"""
def compiled(values):
    if type(values) is list and len(values) == {len(fields)}:
        [{", ".join(names)}] = values
        if {" and ".join(checks) or "True"}:
            return cls({", ".join(arguments)})
    return build_checked(cls, values)
"""
    exec(source, scope)
    return scope["compiled"]


def _type_check(name, types, scope, position):
    """Return the source of a check; ``int`` also allows for ``bool``."""
    if len(types) == 1:
        scope[f"type_{position}"] = types[0]
        return f"type({name}) is type_{position}"
    return f"isinstance({name}, types_{position})"


def _deeper(cls, depth):
    """Return the depth of a data class nested in another one."""
    if depth >= _DEPTH_MAX:
        raise TypeError(f"{cls.__name__}: nested too deeply")
    return depth + 1


def _build_checked(cls, values):
    fields = _all_fields(cls)
    if not isinstance(values, list) or len(values) < _required_count(cls):
        raise _frame_error(f"{cls.__name__}: wrong number of fields")
    # A process of another build may know fewer or more fields at the end.
    values = values[: len(fields)]
    for position, (field, value) in enumerate(zip(fields, values)):
        if field.nested_class and value is not None:
            values[position] = _build(field.nested_class, value)
        elif field.types and not isinstance(value, field.types):
            raise _frame_error(f"{cls.__name__}.{field.name}: wrong type")
        elif field.item_class:
            values[position] = [
                _build(field.item_class, entry) for entry in value
            ]
    return cls(*values)


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
