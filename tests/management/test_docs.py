"""The reference pages match the output of the commands and the sources."""

import pathlib
import re

from fescueyard.control import exposition as control_exposition
from fescueyard.core import codes
from fescueyard.management.commands import codes as codes_command
from fescueyard.management.commands import settings_table
from fescueyard.node import exposition
from fescueyard.retries import messages as retry_messages
from fescueyard.routing import traffic
from fescueyard.transport import client_guard
from tests import setups

REFERENCE = pathlib.Path(__file__).parents[2] / "docs" / "ref"


def test_page_of_result_codes_is_up_to_date():
    page = (REFERENCE / "result-codes.md").read_text()
    assert page == codes_command.render()


def test_page_of_settings_is_up_to_date():
    assert (REFERENCE / "settings.md").read_text() == settings_table.render()


def test_retryable_result_code_is_not_a_success():
    for code in codes.all_codes():
        assert not (code.retryable and code.http_status < 400), code


def _logged_events():
    """Return the names of all logged events; logged sentences are excluded."""
    source = pathlib.Path(__file__).parents[2] / "fescueyard"
    events = set()
    for path in source.rglob("*.py"):
        text = path.read_text()
        events.update(
            re.findall(
                r"(?:LOG\.(?:decision|info|warning|error|failure)\(|"
                r"failures\.contain\(\s*LOG,)\s*\"([a-z_]+)\"",
                text,
            )
        )
    return events


def test_page_of_log_events_names_each_event():
    page = (REFERENCE / "log-events.md").read_text()
    named = set(re.findall(r"`([a-z_]+)`", page))
    assert _logged_events() - named == set()
    assert named - _logged_events() == {"suppressed"}


def test_page_of_metrics_names_each_metric():
    world = setups.start_fleet(zones=("zone-a",))
    world.call("orders-zone-a-0", "/orders/work", setups.KEYS["board"])
    world.run(100)
    node = next(iter(world.nodes.values()))
    # The simulated world has no transport, which counts what is sent.
    request = retry_messages.RetryRequest(1, "chain")
    traffic.record_sent(node.tables, None, request, 10)
    lines = exposition.samples(node.tables, world.now_ms)
    lines += control_exposition.samples(
        world.cluster.tables["m0"], world.now_ms
    )
    guard = client_guard.unbounded_guard()
    guard.count("memory")
    lines += guard.samples()
    served = {re.match(r"[a-z_]+", line)[0] for line in lines}
    page = (REFERENCE / "metrics.md").read_text()
    named = set(re.findall(r"`(fescueyard_[a-z_]+)", page))
    assert served == named
