"""Dumps of a process's tables as JSON, without secrets or bodies."""

import collections
import dataclasses
import enum
import json
import random

ITEMS_MAX = 200
_HIDDEN_FIELDS = frozenset(
    {"body", "document", "headers", "keys_by_sha256", "secret", "sha256"}
)
_OUTER_NAME = "outer_name"


def written_as(outer_name):
    """Return the metadata of a field that dumps write under another name.

    Operators' tools read the keys of dumps, so a renamed field keeps its key.

    :param outer_name: key of the field in dumps.
    :returns: value of ``metadata`` for :func:`dataclasses.field`.
    """
    return {_OUTER_NAME: outer_name}


def render(value):
    """Render a table as JSON.

    :param value: data classes, dicts, lists and plain values.
    :returns: JSON text.
    """
    return json.dumps(_to_plain(value), indent=1, sort_keys=True)


def _to_plain(value):
    if dataclasses.is_dataclass(value) and not isinstance(value, type):
        return _fields_to_plain(value)
    if isinstance(value, enum.Enum):
        return value.value
    if isinstance(value, dict):
        return _dict_to_plain(value)
    if isinstance(value, (list, tuple, set, frozenset, collections.deque)):
        items = [_to_plain(item) for item in list(value)[:ITEMS_MAX]]
        if len(value) > ITEMS_MAX:
            items.append(f"{len(value) - ITEMS_MAX} more")
        return items
    if isinstance(value, bytes):
        return f"{len(value)} bytes"
    if isinstance(value, float) and value in (float("inf"), float("-inf")):
        return str(value)
    if value is None or isinstance(value, (str, int, float, bool)):
        return value
    if isinstance(value, random.Random):
        return "random generator"
    return type(value).__name__


def _fields_to_plain(value):
    rendered = {}
    for field in dataclasses.fields(value):
        outer_name = field.metadata.get(_OUTER_NAME, field.name)
        if _HIDDEN_FIELDS.isdisjoint((field.name, outer_name)):
            rendered[outer_name] = _to_plain(getattr(value, field.name))
    return rendered


def _dict_to_plain(value):
    rendered = {}
    for key in list(value)[:ITEMS_MAX]:
        rendered[str(_to_plain(key))] = _to_plain(value[key])
    if len(value) > ITEMS_MAX:
        rendered["..."] = f"{len(value) - ITEMS_MAX} more"
    return rendered
