"""Operators' tokens; only their hashes are stored."""

import hashlib
import hmac
import re
import secrets

from fescueyard.core import exceptions

_LINE_PATTERN = re.compile(r"([A-Za-z0-9._-]+)\s+([0-9a-f]{64})")


def new_token():
    """Make an operator's token.

    :returns: the token.
    """
    return "fyo_" + secrets.token_urlsafe(32)


def token_line(name, token):
    """Format the line of the operators file for a token.

    :param name: the operator's name.
    :param token: the token.
    :returns: line of text, without a line break.
    """
    return f"{name} {hashlib.sha256(token.encode()).hexdigest()}"


def load(path):
    """Read an operators file.

    :param path: its path.
    :returns: list of pairs of name and SHA-256 in hexadecimal.
    :raises SettingsError: when the file can't be read or has a malformed line.
    """
    try:
        with open(path, encoding="utf-8") as file:
            lines = file.read().splitlines()
    except OSError as error:
        raise exceptions.SettingsError(
            f"can't read operators file {path!r}: {error.strerror}"
        ) from None
    operators = []
    for number, line in enumerate(lines, 1):
        if not line.strip() or line.startswith("#"):
            continue
        match = _LINE_PATTERN.fullmatch(line.strip())
        if match is None:
            raise exceptions.SettingsError(
                f"operators file {path!r}: malformed line {number}"
            )
        operators.append(match.groups())
    return operators


def find(operators, token):
    """Return the operator to whom a token belongs.

    :param operators: what :func:`load` returned.
    :param token: the token presented.
    :returns: the operator's name, or None.
    """
    digest = hashlib.sha256(token.encode()).hexdigest()
    operator_name = None
    for name, sha256 in operators:
        if hmac.compare_digest(sha256, digest):
            operator_name = name
    return operator_name
