"""A replica of the configuration never reverts or overstates its freshness."""

import copy

import hypothesis
from hypothesis import strategies

from fescueyard.configuration import models
from fescueyard.configuration import replica
from fescueyard.configuration import state as states


def _change(state, number, version):
    change = states.Change(
        f"c{number}",
        "test",
        "firm",
        f"firm-{number % 3}",
        state.version_of(models.Kind.FIRM, f"firm-{number % 3}"),
        b'{"share":%d}' % (number + 1),
    )
    result = states.apply_change(state, change, version)
    assert result.code == 3000


@hypothesis.given(strategies.data())
@hypothesis.settings(max_examples=200)
def test_replica_never_reverts_for_any_order_of_responses(data):
    source = states.ConfigurationState("c-1")
    table = replica.ReplicaTable()
    now_ms = 0.0
    version_at_ms = [(float("-inf"), 0)]
    in_flight = []
    for number in range(data.draw(strategies.integers(1, 25))):
        now_ms += data.draw(strategies.integers(1, 50))
        step = data.draw(strategies.sampled_from(["change", "ask", "answer"]))
        before = table.state.version
        if step == "change":
            _change(source, number, source.version + 2)
            version_at_ms.append((now_ms, source.version))
        elif step == "ask":
            request = replica.new_request(table, now_ms)
            age_ms = float(data.draw(strategies.integers(0, 30)))
            response = replica.respond(source, request, age_ms, [])
            if response is not None:
                # The source was certainly current that long ago.
                in_flight.append(copy.deepcopy(response))
        elif in_flight:
            position = data.draw(strategies.integers(0, len(in_flight) - 1))
            replica.install(table, in_flight.pop(position))
        assert table.state.version >= before
        if table.fresh_as_of_ms is not None:
            accepted = [
                version
                for at_ms, version in version_at_ms
                if at_ms <= table.fresh_as_of_ms
            ]
            assert table.state.version >= accepted[-1]
            expected = {
                name: object_version.version
                for name, object_version in source.object_versions[
                    models.Kind.FIRM
                ].items()
                if object_version.version <= table.state.version
            }
            seen = table.state.object_versions[models.Kind.FIRM]
            for name, version in expected.items():
                assert seen[name].version == version


def test_response_of_another_cluster_is_rejected():
    table = replica.ReplicaTable()
    request = replica.new_request(table, 0.0)
    own = states.ConfigurationState("c-1")
    replica.install(table, replica.respond(own, request, 0.0, []))
    request = replica.new_request(table, 1.0)
    other = states.ConfigurationState("c-2")
    other.version = 99
    request.cluster_id = "c-2"
    response = replica.respond(other, request, 0.0, [])
    assert not replica.install(table, response)
    assert table.state.cluster_id == "c-1"


def test_replica_behind_the_journal_gets_the_complete_configuration():
    source = states.ConfigurationState("c-1")
    table = replica.ReplicaTable()
    request = replica.new_request(table, 0.0)
    replica.install(table, replica.respond(source, request, 0.0, []))
    for number in range(states.JOURNAL_ENTRIES_MAX + 50):
        _change(source, number, source.version + 1)
    request = replica.new_request(table, 1.0)
    response = replica.respond(source, request, 0.0, [])
    assert response.complete
    assert replica.install(table, response)
    assert table.state.version == source.version
    assert len(table.state.object_versions[models.Kind.FIRM]) == 3


def test_list_of_control_vms_is_not_replaced_by_an_older_one():
    table = replica.ReplicaTable()
    source = states.ConfigurationState("c-1")
    request = replica.new_request(table, 1_000.0)
    replica.install(table, replica.respond(source, request, 0.0, ["new:1"]))
    request = replica.new_request(table, 1_500.0)
    response = replica.respond(source, request, 2_000.0, ["old:1"])
    assert replica.install(table, response)
    assert table.control_addresses == ["new:1"]
