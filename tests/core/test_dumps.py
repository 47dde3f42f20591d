"""Tests of dumps: a renamed field keeps its key, and secrets stay hidden."""

import dataclasses
import json
import random

from fescueyard.configuration import state as states
from fescueyard.consensus import models as consensus_models
from fescueyard.control import storage
from fescueyard.control import tables as control_tables
from fescueyard.core import dumps
from fescueyard.node import tables as node_tables
from fescueyard.routing import models as routing_models

_NODE_KEYS = set(
    "calls claims configuration confirms_announcements default_profile"
    " draining draining_since_ms"
    " effects events interface leave_notice_ms limits members metrics pressure"
    " process_id pull quarantine random retries routed routes runs"
    " secure_random seeds service timers traffic".split()
)
_CONTROL_KEYS = set(
    "applicants applied_bytes applied_index assignment consensus"
    " control_addresses effects events fleet freshness join_due_ms last_ask_id"
    " members outcomes own pending_asks pending_proposals pending_reads policy"
    " random removed_until_ms repair_due_ms save_failures save_retry_due_ms"
    " state traffic zones".split()
)
# Names of fields whose keys differ, at any depth of the tables.
_INNER_NAMES = set(
    "admitted_share applied_version awaiting_probe baseline_index"
    " build_error_response by_bottleneck check_due_ms"
    " customer_virtual_time_ms dead_probe_due_ms decays_to_average"
    " fallback_lease fleet_grantor forwarded_changes last_request_id"
    " leader_contact_at_ms leader_since_ms node_buckets node_budget own_member"
    " pending_bounds rejoin_until_ms request_due_ms request_number"
    " request_sent_at_ms service_budgets share_search short_latency_ms"
    " transfer_started_at_ms zone_buckets".split()
)


@dataclasses.dataclass
class _Renamed:
    attempt_count: int = dataclasses.field(metadata=dumps.written_as("tries"))
    kept: int


@dataclasses.dataclass
class _Secrets:
    secret: str = dataclasses.field(metadata=dumps.written_as("text"))
    text: str = dataclasses.field(metadata=dumps.written_as("sha256"))


def test_field_is_written_under_its_outer_name():
    assert _render(_Renamed(3, 4)) == {"tries": 3, "kept": 4}


def test_field_stays_hidden_under_either_name():
    assert _render(_Secrets("one", "two")) == {}


def test_node_tables_are_written_under_outer_names():
    rendered = _render(_node_tables())
    assert set(rendered) == _NODE_KEYS
    assert set(rendered["pull"]) == {
        "failures",
        "open_address",
        "open_request_id",
        "paused_until_ms",
        "pull_due_ms",
        "regular_due_ms",
    }
    assert _all_keys(rendered).isdisjoint(_INNER_NAMES)


def test_control_tables_are_written_under_outer_names():
    rendered = _render(_control_tables())
    assert set(rendered) == _CONTROL_KEYS
    assert _all_keys(rendered).isdisjoint(_INNER_NAMES)


def _node_tables():
    return node_tables.new_tables(
        "node-a",
        "zone-a",
        "region",
        "node-a:1",
        ["m0:1"],
        1,
        random.Random(1),
        routing_models.NODE_ROLE,
    )


def _control_tables():
    member = consensus_models.Member("m0", "m0:1", "m0:2", "zone-a", True)
    state = states.dump_state(states.ConfigurationState("c-test"))
    snapshot = consensus_models.Snapshot(1, 1, [member], state)
    stored = storage.StoredState(
        "m0", consensus_models.Vote(0, ""), snapshot, []
    )
    return control_tables.new_tables(stored, member, "region", [], 1, 0.0)


def _all_keys(rendered):
    """Return the keys of all dicts in rendered JSON."""
    keys = set()
    if isinstance(rendered, dict):
        keys.update(rendered)
        rendered = rendered.values()
    if not isinstance(rendered, (str, int, float, type(None))):
        for item in rendered:
            keys |= _all_keys(item)
    return keys


def _render(value):
    return json.loads(dumps.render(value))
