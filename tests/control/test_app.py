"""A message, response or error of a control process, and what it ends."""

import asyncio
import dataclasses
import hashlib
import json

import pytest

from fescueyard.conf import settings
from fescueyard.configuration import state as states
from fescueyard.consensus import dispatch as consensus_dispatch
from fescueyard.consensus import messages as consensus_messages
from fescueyard.consensus import models as consensus_models
from fescueyard.control import admin
from fescueyard.control import app
from fescueyard.control import storage
from fescueyard.control import tables as control_tables
from fescueyard.core import effects
from fescueyard.core import exceptions
from fescueyard.core import failures
from fescueyard.core import http
from fescueyard.retries import messages as retry_messages
from fescueyard.routing import messages as routing_messages

ADDRESS = "127.0.0.1:1"
TOKEN = "t" * 40
TOKEN_SHA256 = hashlib.sha256(TOKEN.encode()).hexdigest()


class Ended(BaseException):
    """The process has ended."""


class Connection:
    """Records the responses to an operator; fails if told to."""

    def __init__(self, fails=False):
        self.responses = []
        self._fails = fails

    def respond(self, exchange_id, response):
        """Record a response."""
        if self._fails:
            raise OSError("gone")
        self.responses.append(response.status)


class Storage:
    """A disk that can fail in a way that it should not."""

    error = None

    def save(self, unsaved):
        """Save nothing."""
        if self.error:
            raise self.error


def _on_control(act):
    async def start_and_act():
        snapshot = consensus_models.Snapshot(0, 0, [], b"")
        stored = storage.StoredState(
            "c-1", consensus_models.Vote(0, ""), snapshot, []
        )
        process = app.ControlProcess(
            settings.ControlSettings(
                zone="zone-a",
                region="region-a",
                address=ADDRESS,
                control_addresses=[ADDRESS],
                cluster_secret="c" * 40,
                data_folder="unused",
                admin_address="127.0.0.1:2",
            ),
            Storage(),
            stored,
        )
        return act(process)

    return asyncio.run(start_and_act())


@pytest.fixture
def ended(monkeypatch):
    """Yield the errors that ended the process."""
    errors = []

    def end_process(error, activity):
        errors.append(error)
        raise Ended

    monkeypatch.setattr(failures, "end_process", end_process)
    return errors


# The error of one response kept the tick from being scheduled again.
def test_outcome_that_fails_does_not_drop_those_behind_it():
    def act(process):
        connections = [Connection(fails=True), Connection()]
        for exchange_id, connection in enumerate(connections):
            process._connections[exchange_id] = connection
            process._tables.outcomes.append(
                control_tables.ReadCompleted(exchange_id, False)
            )
        odd = retry_messages.RetryRequest(2**70, "")
        process._tables.effects.append(effects.SendDatagram(ADDRESS, odd))
        process._process_pending(0.0)
        return connections[1].responses

    assert _on_control(act) == [503]


def test_gossip_that_fails_ends_its_stream_alone(ended):
    odd = routing_messages.Gossip([None])
    assert not _on_control(lambda process: process._receive(odd, "n-1", None))
    assert not ended


# A member of the cluster must not go on with its vote or log half changed.
def test_consensus_message_that_fails_is_not_contained(monkeypatch):
    def receive(message, table, peer_id, now_ms):
        raise KeyError("odd entry")

    def act(process):
        request = consensus_messages.LeadershipTransfer(1)
        return process._receive(request, "c-2", None)

    monkeypatch.setattr(consensus_dispatch, "receive", receive)
    with pytest.raises(exceptions.InconsistentTablesError):
        _on_control(act)


def test_storage_that_fails_oddly_ends_the_process(ended):
    def act(process):
        process._storage.error = ValueError("odd record")
        process._tables.consensus.vote = consensus_models.Vote(1, "c-1")
        process._tables.consensus.vote_changed = True
        process._process_pending(0.0)

    with pytest.raises(Ended):
        _on_control(act)
    assert len(ended) == 1


# A request for an unknown zone must not depend on there being a leader.
def test_requests_to_evacuate_a_zone_without_a_leader():
    def act(process):
        process._operators = [("asha", TOKEN_SHA256)]
        process._tables.zones = ["zone-b"]
        connection = Connection()
        headers = [http.Header("authorization", f"Bearer {TOKEN}")]
        for number, zone in enumerate(["zone-a", "zone-b", "zone-x"]):
            target = f"/v1/evacuations/{zone}"
            request = http.HttpRequest("PUT", target, headers, b"")
            process.request_received(number, request, connection)
        return connection.responses

    assert _on_control(act) == [503, 503, 404]


def test_zones_of_the_settings_are_taken_over_when_they_are_read_again():
    def act(process):
        process._load_settings = lambda: dataclasses.replace(
            process.settings, zones=["zone-b"]
        )
        process.reload()
        return process._tables.zones

    assert _on_control(act) == ["zone-b"]


def test_status_names_the_evacuated_zones():
    def act(process):
        change = states.evacuation_change("asha", "zone-b", True, 0)
        states.apply_change(process._tables.state, change, 1)
        return process._local_read_response(admin.ReadStatus(), 0.0).body

    assert json.loads(_on_control(act))["evacuated_zones"] == ["zone-b"]
