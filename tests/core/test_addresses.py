"""Addresses as text, from settings and announcements."""

import pytest

from fescueyard.core import addresses
from fescueyard.core import exceptions


@pytest.mark.parametrize("text", ["127.0.0.1:0", "10.0.0.1:65535"])
def test_address_is_parsed(text):
    assert str(addresses.parse(text)) == text


@pytest.mark.parametrize(
    "text",
    [
        "",
        "127.0.0.1",
        ":80",
        "127.0.0.1:",
        "127.0.0.1:65536",
        "127.0.0.1:99999",
        "127.0.0.1:\u00b2",
        "127.0.0.1:-1",
        "127.0.0.999:80",
        "host.example:80",
    ],
)
def test_text_that_is_no_address_is_refused(text):
    with pytest.raises(exceptions.SettingsError):
        addresses.parse(text)
