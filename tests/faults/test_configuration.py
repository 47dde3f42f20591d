"""Configuration while control processes are killed, frozen or lose disks."""

import shutil
import signal
import threading
import time

import pytest

from demo import fleet as fleets
from fescueyard.core import codes
from fescueyard.management import client

APPLY_TIMEOUT_S = 3.0


def _wait(condition, timeout_s, description):
    end_s = time.monotonic() + timeout_s
    while time.monotonic() < end_s:
        try:
            if condition():
                return
        except client.Unreachable:
            pass
        time.sleep(0.05)
    raise AssertionError(
        f"timed out after {timeout_s} s waiting for {description}"
    )


def _status(fleet, control):
    api = client.AdminClient(fleet.settings([control]))
    return api.read("/v1/status")


def _leader(fleet, controls):
    for control in controls:
        try:
            if _status(fleet, control)["role"] == "leader":
                return control
        except client.Unreachable:
            continue
    return None


def _await_leader(fleet, controls):
    leaders = []

    def has_leader():
        leaders.append(_leader(fleet, controls))
        return leaders[-1] is not None

    _wait(has_leader, 8, "a leader")
    return leaders[-1]


def _admit_applicants(fleet, count):
    """Admit applicants until the cluster has a number of voters."""

    def has_all_voters():
        applicants = fleet.api().read("/v1/members")["applicants"]
        if applicants:
            member_id = applicants[0]["member_id"]
            fleet.api().change("PUT", f"/v1/members/{member_id}", b"", 0)
        members = fleet.api().read("/v1/members")["members"]
        return sum(member["voter"] for member in members) == count

    _wait(has_all_voters, 10, f"{count} voters")


@pytest.fixture(scope="module")
def three_member_fleet(tmp_path_factory):
    """Yield a fleet with three control members and a node in each zone.

    Each test leaves all three control processes running.
    """
    fleet = fleets.Fleet(tmp_path_factory.mktemp("fleet"))
    try:
        fleet.add_control("zone-a")
        fleet.add_control("zone-b", join=True)
        _admit_applicants(fleet, 2)
        fleet.add_control("zone-c", join=True)
        _admit_applicants(fleet, 3)
        for zone in ("zone-a", "zone-b", "zone-c"):
            fleet.add_node(zone, "orders")
        fleet.configure("orders")
        fleet.await_ready("orders", *fleet.keys.values())
        yield fleet
    finally:
        fleet.kill()


def _is_applied(fleet, service):
    """Return whether all nodes know a service."""
    return all(
        fleet.call(node, f"/{service}/open").status != 404
        for node in fleet.nodes
    )


def test_changes_continue_through_kills_of_the_leader(three_member_fleet):
    version = three_member_fleet.put("firm", "one", {"share": 1})
    for share in range(2, 4):
        leader = _await_leader(three_member_fleet, three_member_fleet.controls)
        leader.process.kill()
        leader.process.wait()
        version = three_member_fleet.put(
            "firm", "one", {"share": share}, version
        )
        three_member_fleet.start_control(leader)
    firm = three_member_fleet.api().read("/v1/objects/firm/one")
    assert firm["document"] == {"share": 3}
    assert firm["version"] == version


def test_change_is_applied_on_all_nodes_while_the_leader_is_frozen(
    three_member_fleet,
):
    leader = _await_leader(three_member_fleet, three_member_fleet.controls)
    leader.process.send_signal(signal.SIGSTOP)
    others = [
        control
        for control in three_member_fleet.controls
        if control is not leader
    ]
    _await_leader(three_member_fleet, others)
    three_member_fleet.put("service", "late", {"profile": "standard"})
    accepted_s = time.monotonic()
    _wait(
        lambda: _is_applied(three_member_fleet, "late"),
        APPLY_TIMEOUT_S,
        "nodes to apply the change",
    )
    print(f"applied after {time.monotonic() - accepted_s:.2f} s")
    leader.process.send_signal(signal.SIGCONT)
    time.sleep(1.0)
    # The resumed leader must not restore the old configuration.
    assert _is_applied(three_member_fleet, "late")
    _wait(
        lambda: _status(three_member_fleet, leader)["role"] == "follower",
        3,
        "step-down",
    )


def test_second_loss_right_after_a_lost_disk_was_replaced(three_member_fleet):
    version = 0
    for share in range(1, 120):
        version = three_member_fleet.put(
            "firm", "two", {"share": share}, version
        )
    lost = three_member_fleet.controls[2]
    lost_id = _status(three_member_fleet, lost)["member_id"]
    lost.process.kill()
    lost.process.wait()
    shutil.rmtree(three_member_fleet.folder / lost.name)
    three_member_fleet.api().change("DELETE", f"/v1/members/{lost_id}", b"", 0)
    three_member_fleet.start_control(lost, join=True)
    _admit_applicants(three_member_fleet, 3)
    assert _status(three_member_fleet, lost)["member_id"] != lost_id
    second_lost = three_member_fleet.controls[0]
    second_lost.process.kill()
    second_lost.process.wait()
    remaining = three_member_fleet.controls[1:]
    _await_leader(three_member_fleet, remaining)
    api = client.AdminClient(three_member_fleet.settings(remaining))
    assert api.read("/v1/objects/firm/two")["document"] == {"share": 119}
    three_member_fleet.start_control(second_lost)


def test_exactly_one_of_racing_operators_succeeds(three_member_fleet):
    version = three_member_fleet.put("firm", "raced", {"share": 1})
    result_codes = []

    def change_firm(number):
        try:
            three_member_fleet.put(
                "firm", "raced", {"share": number + 2}, version
            )
            result_codes.append(codes.CHANGED)
        except client.Refused as error:
            result_codes.append(error.code)

    threads = [
        threading.Thread(target=change_firm, args=(number,))
        for number in range(8)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    assert result_codes.count(codes.CHANGED) == 1
    assert result_codes.count(codes.VERSION_CONFLICT) == 7


def test_planned_stop_transfers_the_leadership(three_member_fleet):
    leader = _await_leader(three_member_fleet, three_member_fleet.controls)
    leader.process.terminate()
    assert leader.process.wait(10) == 0
    others = [
        control
        for control in three_member_fleet.controls
        if control is not leader
    ]
    _await_leader(three_member_fleet, others)
    log = (three_member_fleet.folder / f"{leader.name}.log").read_text()
    assert log.rstrip().endswith("[control] Control stopped.")
    three_member_fleet.start_control(leader)
