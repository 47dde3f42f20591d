"""An effect, message or event that fails, and what else of a node does."""

import asyncio

import pytest

from fescueyard.conf import settings
from fescueyard.core import codes
from fescueyard.core import dispatch
from fescueyard.core import effects
from fescueyard.core import exceptions
from fescueyard.core import http
from fescueyard.node import app
from fescueyard.node import systems
from fescueyard.retries import messages
from tests import setups

# Larger than any integer of the codec.
ODD_NUMBER = 10**30
ADDRESS = "127.0.0.1:1"


class Connection:
    """Records the responses to a caller."""

    def __init__(self):
        self.responses = []

    def respond(self, exchange_id, response):
        """Record a response."""
        self.responses.append(response)


def _on_node(act):
    async def start_and_act():
        node = app.NodeProcess(
            settings.NodeSettings(
                zone="zone-a",
                region="region-a",
                address=ADDRESS,
                control_addresses=["127.0.0.1:2"],
                cluster_secret="c" * 40,
                caller_address="127.0.0.1:3",
                backend_address="127.0.0.1:4",
            )
        )
        return act(node)

    return asyncio.run(start_and_act())


# One value that could not be encoded lost the responses behind it.
@pytest.mark.parametrize(
    "effect",
    [
        effects.SendDatagram(ADDRESS, messages.RetryRequest(ODD_NUMBER, "")),
        effects.SendMessage("nowhere", messages.RetryRequest(1, "")),
        effects.Dial("127.0.0.1:99999"),
        effects.StartRun(1, "nowhere", http.HttpRequest("é", "/", [], b""), 0),
    ],
    ids=lambda effect: type(effect).__name__,
)
def test_effect_that_fails_does_not_drop_those_behind_it(effect):
    def act(node):
        connection = Connection()
        node._executor.connections[7] = connection
        response = http.HttpResponse(200, [], b"")
        node._tables.effects += [effect, effects.RespondToCaller(7, response)]
        node._apply_effects()
        return connection.responses

    assert [response.status for response in _on_node(act)] == [200]


def test_event_that_fails_is_not_contained():
    world = setups.start_fleet(zones=("zone-a",))
    tables = next(iter(world.nodes.values())).tables
    tables.events.append("no event")
    with pytest.raises(exceptions.InconsistentTablesError):
        systems.handle_events(tables, world.now_ms)


# A message that could not be handled kept the node from answering others.
def test_message_that_fails_ends_its_stream_alone(monkeypatch):
    class Stream:
        """Records whether it was closed."""

        peer_id = "n-2"
        closed = False

        def close(self):
            """Record the call."""
            self.closed = True

    def receive(message, tables, sender, now_ms):
        raise KeyError("odd row")

    def act(node):
        stream = Stream()
        connection = Connection()
        node._executor.connections[7] = connection
        response = http.HttpResponse(200, [], b"")
        node._tables.effects.append(effects.RespondToCaller(7, response))
        monkeypatch.setattr(dispatch, "receive", receive)
        node.message_received(stream, messages.RetryRequest(1, ""))
        return stream.closed, len(connection.responses)

    assert _on_node(act) == (True, 1)


def test_internal_error_may_have_run():
    assert codes.INTERNAL_ERROR.outcome is codes.Outcome.MAY_HAVE_RUN


def test_planned_stop_waits_for_responses_that_callers_still_read():
    """Guards against a response that is cut off when the node exits."""

    class Caller:
        """A caller's connection with bytes of a response left to send."""

        unsent = True

        def has_unsent_bytes(self):
            """Return whether bytes are left."""
            return self.unsent

    def act(node):
        caller = Caller()
        node._listeners.callers._connections.add(caller)
        node._tables.draining = True
        waits = not node._may_stop(1_000.0)
        stops_in_time = node._may_stop(node.settings.stop_timeout_ms)
        caller.unsent = False
        return waits, stops_in_time, node._may_stop(1_000.0)

    assert _on_node(act) == (True, True, True)
