"""Checks of text received from outside."""


def is_decimal(value):
    """Return whether a text consists of the digits 0 to 9.

    ``str.isdigit`` alone also accepts characters that ``int`` rejects.

    :param value: the text.
    :returns: bool.
    """
    return value.isascii() and value.isdigit()
