"""Random identifiers."""

import secrets


def new_id(prefix=""):
    """Make an identifier with 96 random bits.

    :param prefix: text that the identifier starts with.
    :returns: the identifier.
    """
    return prefix + secrets.token_hex(12)
