"""The demo of the README: calls and changes on a fleet in three zones."""

import json
import sys
import tempfile
import time

from demo import fleet as fleets

ZONES = ("zone-a", "zone-b", "zone-c")
CALL_COUNT = 60
WITHDRAWAL_TIMEOUT_S = 5.0


class OutcomeTable:
    """Prints actual outcomes next to the expected ones."""

    def __init__(self):
        self.failed = False

    def record(self, check, actual, expected):
        """Print one line of the table.

        :param check: what was done.
        :param actual: its outcome.
        :param expected: the outcome it should have.
        """
        matches = actual == expected
        self.failed = self.failed or not matches
        verdict = "ok" if matches else f"WRONG, expected {expected}"
        print(f"{check:<52} {str(actual):<12} {verdict}", flush=True)


def main():
    """Run the demo and exit with 0 if every outcome is as expected, else 1."""
    outcomes = OutcomeTable()
    with tempfile.TemporaryDirectory() as folder:
        fleet = fleets.Fleet(folder)
        try:
            _run_demo(fleet, outcomes)
        finally:
            fleet.kill()
    sys.exit(1 if outcomes.failed else 0)


def _run_demo(fleet, outcomes):
    fleet.add_control(ZONES[0])
    for service in ("orders", "stock"):
        for zone in ZONES:
            fleet.add_node(zone, service)
    _configure(fleet)
    keys = {
        customer: fleet.ctl("grant_key", customer, f"{customer}-key")["key"]
        for customer in ("board", "limewash")
    }
    fleet.await_ready("orders", *keys.values())
    fleet.await_ready("stock", *keys.values())
    _check_calls(fleet, outcomes, keys)
    _check_profile_change(fleet, outcomes, keys)
    _check_key_withdrawal(fleet, outcomes, keys)
    exit_codes = fleet.stop()
    outcomes.record(
        "processes that stopped gracefully",
        sum(code == 0 for code in exit_codes.values()),
        len(exit_codes),
    )


def _configure(fleet):
    put = fleet.put
    put("profile", "careful", {"deadline_default_ms": 3000})
    put("service", "orders", {"profile": "careful"})
    put("service", "stock", {"profile": "careful", "open_routes": ["/open"]})
    for firm in ("board", "limewash"):
        put("firm", firm, {"share": 1})
        put(
            "customer",
            firm,
            {"firm": firm, "rate_per_s": 500.0, "burst": 500},
        )


def _check_calls(fleet, outcomes, keys):
    for customer, key in keys.items():
        complete_responses = 0
        for number in range(CALL_COUNT):
            node = fleet.nodes[number % len(fleet.nodes)]
            response = fleet.call(node, "/orders/call/stock/work?ms=2", key)
            complete_responses += (
                response.status == 200 and response.body == b"done"
            )
        outcomes.record(
            f"{customer}: complete responses of {CALL_COUNT}",
            complete_responses,
            CALL_COUNT,
        )
    node = fleet.nodes[0]
    outcomes.record(
        "call without a key", fleet.call(node, "/orders/work").status, 401
    )
    outcomes.record(
        "open route without a key",
        fleet.call(node, "/stock/open/x").status,
        200,
    )
    echoed = fleet.call(node, "/orders/echo", keys["board"]).body.decode()
    outcomes.record(
        "key seen by a backend server", keys["board"] in echoed, False
    )


def _check_profile_change(fleet, outcomes, keys):
    version = fleet.api().read("/v1/objects/profile/careful")["version"]
    changed = fleet.ctl(
        "put",
        "profile",
        "careful",
        json.dumps({"deadline_default_ms": 60}),
        f"--expected_version={version}",
    )
    outcomes.record("profile changed under traffic", changed["code"], 3000)
    deadline = time.monotonic() + 3
    status = 200
    while status == 200 and time.monotonic() < deadline:
        response = fleet.call(
            fleet.nodes[1], "/orders/work?ms=300", keys["board"]
        )
        status = response.status
    outcomes.record("slow call under the new 60 ms deadline", status, 504)


def _check_key_withdrawal(fleet, outcomes, keys):
    fleet.ctl("withdraw_key", "limewash-key")
    withdrawn_s = time.monotonic()
    accepting_nodes = list(fleet.nodes)
    while (
        accepting_nodes
        and time.monotonic() - withdrawn_s < WITHDRAWAL_TIMEOUT_S
    ):
        accepting_nodes = [
            node
            for node in accepting_nodes
            if fleet.call(node, "/stock/work", keys["limewash"]).status != 401
        ]
    took_s = time.monotonic() - withdrawn_s
    outcomes.record(
        f"nodes that still accept the withdrawn key, {took_s:.1f} s",
        len(accepting_nodes),
        0,
    )
    outcomes.record(
        "other customer's calls still succeed",
        fleet.call(fleet.nodes[2], "/stock/work", keys["board"]).status,
        200,
    )


if __name__ == "__main__":
    main()
