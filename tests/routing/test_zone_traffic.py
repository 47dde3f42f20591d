"""Bytes between zones of processes whose links are slow."""

import dataclasses

import pytest

from fescueyard.configuration import messages as configuration_messages
from fescueyard.configuration import serving
from fescueyard.core import dispatch
from fescueyard.core import exceptions
from fescueyard.core import packing
from fescueyard.core import wire
from fescueyard.routing import messages
from fescueyard.routing import traffic
from fescueyard.routing import zone_relays
from tests import setups
from tests import world as worlds

KNOWN_WITHIN_MS = 3_000
IN_FORCE_MS = 2_000
START_MS = 15_000
BYTES_PER_PROCESS_MAX = 100_000
# Between zones; 40 KB for each process without relays.
START_CROSS_ZONE_BYTES_MAX = 10_000
ONE_ZONE = ("zone-a",)


def _add_nodes(world, per_zone):
    for zone in setups.ZONES:
        for number in range(per_zone):
            name = f"orders-{zone}-{number}"
            node = world.add_node(name, zone, "orders", routed=True)
            node.backend.cold_ms = 0.0


def _start_all(per_zone, control_zones=setups.ZONES, seed=1, saves=True):
    """Start nodes in three zones, with a configuration of 32 KB."""
    world = worlds.World(
        seed,
        controls=3,
        control_zones=control_zones,
        saves_cross_zone=saves,
    )
    setups.put_object(world, "profile", "standard")
    setups.put_object(world, "service", "orders", profile="standard")
    for number in range(150):
        setups.put_customer(world, f"customer-{number}")
    world.run(500)
    world.sent.clear()
    world.bytes_sent.clear()
    _add_nodes(world, per_zone)
    return world


def _cross_zone_bytes(world, kinds=None):
    return sum(
        sent.payload_bytes
        for (_, kind, scope), sent in world.sent.items()
        if scope == traffic.OTHER_ZONE and (kinds is None or kind in kinds)
    )


def _process_count(world):
    return len(world.nodes) + len(world.cluster.tables)


def _all_know_all(world):
    counts = {node.tables.members.nodes_alive for node in world.nodes.values()}
    return counts == {len(world.nodes)}


def _all_have(world, version):
    return all(
        node.tables.configuration.state.version >= version
        for node in world.nodes.values()
    )


def _version(world):
    leader_id = world.cluster.leader()
    return world.cluster.tables[leader_id].state.version


@pytest.mark.parametrize("control_zones", [setups.ZONES, ONE_ZONE])
@pytest.mark.parametrize("seed", range(2))
def test_start_of_all_processes_stays_within_its_bytes(control_zones, seed):
    """Guards against each process fetching tables from other zones."""
    world = _start_all(29, control_zones, seed)
    version = _version(world)
    world.run(IN_FORCE_MS)
    assert _all_have(world, version)
    world.run(KNOWN_WITHIN_MS - IN_FORCE_MS)
    assert _all_know_all(world)
    world.run(START_MS - KNOWN_WITHIN_MS)
    count = _process_count(world)
    sent = sum(world.bytes_sent.values())
    assert sent / count <= BYTES_PER_PROCESS_MAX
    assert _cross_zone_bytes(world) / count <= START_CROSS_ZONE_BYTES_MAX


def test_restart_of_all_nodes_stays_within_its_bytes():
    """Guards against fetching what control processes keep of lost nodes."""
    world = _start_all(15)
    world.run(START_MS)
    for name in list(world.nodes):
        world.kill(name)
    world.sent.clear()
    version = _version(world)
    _add_nodes(world, 15)
    world.run(IN_FORCE_MS)
    assert _all_have(world, version)
    world.run(KNOWN_WITHIN_MS - IN_FORCE_MS)
    assert _all_know_all(world)
    world.run(START_MS - KNOWN_WITHIN_MS)
    spent = _cross_zone_bytes(world) / _process_count(world)
    assert spent <= START_CROSS_ZONE_BYTES_MAX


@pytest.mark.parametrize("down_id", ["m0", "m1"])
def test_start_while_the_control_process_of_a_zone_is_down(down_id):
    """Guards against waiting for a control process that is not there."""
    world = _start_all(8)
    for name in list(world.nodes):
        world.kill(name)
    world.cluster.crash(down_id)
    world.run(2_000)
    version = _version(world)
    _add_nodes(world, 8)
    world.run(IN_FORCE_MS)
    assert _all_have(world, version)
    world.run(KNOWN_WITHIN_MS - IN_FORCE_MS)
    assert _all_know_all(world)


def test_start_with_a_frozen_control_process():
    """Guards against waiting for a source that takes requests in silence."""
    world = _start_all(8)
    follower = next(
        member_id
        for member_id in world.cluster.disks
        if member_id != world.cluster.leader()
    )
    for name in list(world.nodes):
        world.kill(name)
    world.cluster.frozen.add(follower)
    version = _version(world)
    _add_nodes(world, 8)
    world.run(IN_FORCE_MS)
    assert _all_have(world, version)


def test_changes_are_in_force_everywhere_after_a_start():
    """Guards against nodes that stay with the copy of a relay."""
    world = _start_all(8, ONE_ZONE)
    world.run(1_000)
    for number in range(5):
        setups.put_object(world, "firm", "late", share=number + 1)
        world.run(100)
        version = _version(world)
        world.run(IN_FORCE_MS - 100)
        assert _all_have(world, version)


def test_without_the_setting_nothing_is_packed_or_asked_by_zone():
    """Guards against a change for deployments with fast links."""
    world = _start_all(4, saves=False)
    seen = []
    count_sent = world._count_sent

    def record(source, target, message, *sizes):
        seen.append(message)
        count_sent(source, target, message, *sizes)

    world._count_sent = record
    world.run(8_000)
    requests = [
        message
        for message in seen
        if isinstance(
            message,
            (
                messages.TableRequest,
                configuration_messages.ConfigurationRequest,
            ),
        )
    ]
    assert requests
    assert not any(message.accepts_packed for message in requests)
    assert not any(getattr(message, "packed", b"") for message in seen)
    assert not any(getattr(message, "zone", "") for message in requests)


def _without_last_fields(message, count):
    """Encode a message as a release that lacks its last fields does."""
    number, values = wire.msgpack.unpackb(wire.encode(message))
    return wire.msgpack.packb([number, values[:-count]])


def test_requesters_of_the_previous_release_get_plain_responses():
    """Guards against responses that the previous release can't read."""
    world = _start_all(4)
    world.run(8_000)
    tables = world.nodes["orders-zone-a-0"].tables
    sender = dispatch.Sender("orders-zone-b-1", object())
    requests = (
        (messages.TableRequest(0, []), 2),
        (configuration_messages.ConfigurationRequest(1, "", 0), 1),
    )
    for request, new_fields in requests:
        decoded = wire.decode(_without_last_fields(request, new_fields))
        tables.effects.clear()
        dispatch.receive(decoded, tables, sender, world.now_ms)
        response = tables.effects.pop().message
        assert not response.packed
        plain = wire.decode(_without_last_fields(response, 1))
        assert plain == response
    assert len(response.objects) > 100


def test_repeated_request_on_a_stream_gets_no_second_configuration():
    """Guards against a slow link that fills with the same response."""
    world = _start_all(4)
    world.run(8_000)
    tables = world.nodes["orders-zone-a-0"].tables

    def ask(stream, now_ms):
        request = configuration_messages.ConfigurationRequest(1, "", 0, True)
        sender = dispatch.Sender("orders-zone-b-1", stream)
        tables.effects.clear()
        dispatch.receive(request, tables, sender, now_ms)
        return len(tables.effects)

    stream = object()
    assert ask(stream, world.now_ms) == 1
    assert ask(stream, world.now_ms + 100) == 0
    # What was sent on a stream that broke may be lost.
    assert ask(object(), world.now_ms + 100) == 1
    assert ask(stream, world.now_ms + 2_000) == 1


def test_packed_values_are_checked():
    """Guards against a forged size and against foreign bytes."""
    batch = configuration_messages.ObjectBatch(
        [configuration_messages.ObjectVersion("firm", "a", 1, b"{}")]
    )
    packed = packing.pack(batch)
    assert packing.unpack(type(batch), packed) == batch
    for broken in (b"x", packed[:-3], packing.pack(batch.objects[0])):
        with pytest.raises(exceptions.StreamError):
            packing.unpack(type(batch), broken)
    response = configuration_messages.ConfigurationResponse(
        1, "c", 2, True, 0.0, [], [], packed
    )
    assert serving.unpack(response) == dataclasses.replace(
        response, objects=batch.objects, packed=b""
    )


@pytest.mark.parametrize(
    "link_mbps, scarce",
    [(None, False), (1_000.0, False), (100.0, True), (50.0, True)],
)
def test_rate_of_the_link_decides(link_mbps, scarce):
    """Guards against reduced traffic where no slow link is set."""
    assert zone_relays.is_scarce(link_mbps) == scarce
