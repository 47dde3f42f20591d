"""The main job of the README: a fleet in three zones, driven while it runs."""

import json
import sys
import tempfile
import time

from demo import fleet as fleets

ZONES = ("zone-a", "zone-b", "zone-c")
CALLS = 60
WITHDRAWAL_S = 5.0


class Outcomes:
    """Collects what happened and whether it should have."""

    def __init__(self):
        self.failed = False

    def note(self, what, seen, wanted):
        """Print one line of the table.

        :param what: what was done.
        :param seen: what came of it.
        :param wanted: what should have.
        """
        good = seen == wanted
        self.failed = self.failed or not good
        verdict = "ok" if good else f"WRONG, wanted {wanted}"
        print(f"{what:<52} {str(seen):<12} {verdict}", flush=True)


def main():
    """Run the demo; the exit code tells whether every outcome was right."""
    outcomes = Outcomes()
    with tempfile.TemporaryDirectory() as folder:
        fleet = fleets.Fleet(folder)
        try:
            _run(fleet, outcomes)
        finally:
            fleet.kill()
    sys.exit(1 if outcomes.failed else 0)


def _run(fleet, outcomes):
    fleet.add_control(ZONES[0])
    for service in ("orders", "stock"):
        for zone in ZONES:
            fleet.add_node(zone, service)
    _configure(fleet)
    keys = {
        customer: fleet.ctl("grant_key", customer, f"{customer}-key")["key"]
        for customer in ("board", "limewash")
    }
    fleet.await_ready("orders", keys["board"])
    fleet.await_ready("stock", keys["board"])
    _call(fleet, outcomes, keys)
    _change(fleet, outcomes, keys)
    _withdraw(fleet, outcomes, keys)
    exit_codes = fleet.stop()
    outcomes.note(
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


def _call(fleet, outcomes, keys):
    for customer, key in keys.items():
        good = 0
        for number in range(CALLS):
            node = fleet.nodes[number % len(fleet.nodes)]
            answer = fleet.call(node, "/orders/call/stock/work?ms=2", key)
            good += answer.status == 200 and answer.body == b"done"
        outcomes.note(f"{customer}: whole answers of {CALLS}", good, CALLS)
    node = fleet.nodes[0]
    outcomes.note(
        "call without a key", fleet.call(node, "/orders/work").status, 401
    )
    outcomes.note(
        "open route without a key",
        fleet.call(node, "/stock/open/x").status,
        200,
    )
    seen = fleet.call(node, "/orders/echo", keys["board"]).body.decode()
    outcomes.note("key seen by a backend server", keys["board"] in seen, False)


def _change(fleet, outcomes, keys):
    version = fleet.api().read("/v1/objects/profile/careful")["version"]
    changed = fleet.ctl(
        "put",
        "profile",
        "careful",
        json.dumps({"deadline_default_ms": 60}),
        f"--expected_version={version}",
    )
    outcomes.note("profile changed under traffic", changed["code"], 3000)
    deadline = time.monotonic() + 3
    status = 200
    while status == 200 and time.monotonic() < deadline:
        answer = fleet.call(
            fleet.nodes[1], "/orders/work?ms=300", keys["board"]
        )
        status = answer.status
    outcomes.note("slow call under the new 60 ms deadline", status, 504)


def _withdraw(fleet, outcomes, keys):
    fleet.ctl("withdraw_key", "limewash-key")
    withdrawn_s = time.monotonic()
    waiting = list(fleet.nodes)
    while waiting and time.monotonic() - withdrawn_s < WITHDRAWAL_S:
        waiting = [
            node
            for node in waiting
            if fleet.call(node, "/stock/work", keys["limewash"]).status != 401
        ]
    took_s = time.monotonic() - withdrawn_s
    outcomes.note(
        f"nodes that still take the withdrawn key, {took_s:.1f} s",
        len(waiting),
        0,
    )
    outcomes.note(
        "other customer's calls go on",
        fleet.call(fleet.nodes[2], "/stock/work", keys["board"]).status,
        200,
    )


if __name__ == "__main__":
    main()
