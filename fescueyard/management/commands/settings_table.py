"""``fescueyard settings_table``: prints the tables of settings."""

import dataclasses
import re

from fescueyard.conf import defaults
from fescueyard.conf import settings

_CLASSES = (
    ("node", settings.NodeSettings),
    ("control, control_init", settings.ControlSettings),
    ("ctl, dump", settings.OperatorSettings),
)
_PARAMETER = re.compile(r":param (\w+): (.*?)(?=:param |\Z)", re.DOTALL)


def run():
    """Print the tables of settings in Markdown."""
    print(render(), end="")


def render():
    """Render the tables of settings.

    :returns: Markdown text.
    """
    lines = [
        "# Settings",
        "",
        "Made by `fescueyard settings_table`. A flag `--name=value` takes "
        "precedence over its environment variable. List items are separated "
        "by commas.",
    ]
    for command, cls in _CLASSES:
        lines += ["", f"## {command}", ""]
        lines += ["| flag | environment variable | default | meaning |"]
        lines += ["|---|---|---|---|"]
        lines += [_row(cls, field) for field in dataclasses.fields(cls)]
    return "\n".join(lines) + "\n"


def _row(cls, field):
    variable = defaults.ENVIRONMENT_PREFIX + field.name.upper()
    flag = f"`--{field.name}`"
    if field.name in settings.SECRET_FIELDS:
        flag = "none: secrets are never flags"
    description = _descriptions(cls).get(field.name, "")
    return f"| {flag} | `{variable}` | {_default(field)} | {description} |"


def _default(field):
    if field.default is not dataclasses.MISSING:
        return f"`{field.default!r}`"
    if field.default_factory is not dataclasses.MISSING:
        return "none"
    return "required"


def _descriptions(cls):
    descriptions = {}
    for base in reversed(cls.__mro__):
        for name, text in _PARAMETER.findall(base.__doc__ or ""):
            descriptions[name] = " ".join(text.split())
    return descriptions
