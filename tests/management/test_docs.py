"""The reference pages are what the commands print."""

import pathlib

from fescueyard.core import codes
from fescueyard.management.commands import codes as codes_command
from fescueyard.management.commands import settings_table

REFERENCE = pathlib.Path(__file__).parents[2] / "docs" / "ref"


def test_page_of_result_codes_is_up_to_date():
    page = (REFERENCE / "result-codes.md").read_text()
    assert page == codes_command.render()


def test_page_of_settings_is_up_to_date():
    assert (REFERENCE / "settings.md").read_text() == settings_table.render()


def test_result_code_that_invites_a_retry_is_no_success():
    for code in codes.all_codes():
        assert not (code.retryable and code.http_status < 400), code
