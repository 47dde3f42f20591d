"""Starts of backend servers: the pace compared with the timed ramp.

Simulated time, production tables and systems. A server that is cold for 3 s
after its start crashes when more than 13 requests reach it within a second,
and starts again 300 ms later. ``pace`` has the cold rate in the configuration;
``ramp`` is the timed ramp (``slow_start_ms``), with the remaining cold time
in the heartbeats as well.
"""

import collections
import dataclasses

from benchmarks import report
from tests import setups
from tests import world as worlds

SEED = 11
SERVERS = 10
SLOTS = 10
SERVICE_MS = 100.0
COLD_MS = 3_000.0
COLD_RATE_PER_S = 3.6
CRASH_PER_S = 13
DOWN_MS = 300
CHECK_MS = 10
SETTLE_MS = 8_000
BEFORE_MS = 1_500
WATCH_MS = 8_000
WINDOW_MS = 250
# Servers that restart at once, and the load as a share of the capacity.
LOADS = {
    "one of ten restarts": (1, 0.7),
    "a third restarts, 1.3 times the load": (3, 1.3 * 0.7),
    "the service starts as a whole": (SERVERS, 0.7),
}
POLICIES = ("pace", "ramp")
# Without a restart, single windows at 0.91 of the capacity fall to 0.93.
RECOVERED_SHARE = 0.9


@dataclasses.dataclass
class Outcome:
    """The result of one load under one policy.

    :param served: share of the calls served since the restart.
    :param recovery_ms: time from the restart until windows of 250 ms stay at
        90 % served.
    :param crashes: crashes of cold servers.
    :param most_cold: most requests in a second at a cold server.
    :param shares: share served in each window.
    """

    served: float
    recovery_ms: float
    crashes: int
    most_cold: int
    shares: list


class _Run:
    """One load under one policy."""

    def __init__(self, policy):
        self.crashes = 0
        self.most_cold = 0
        self.arrivals = collections.defaultdict(collections.deque)
        self.seen = 0
        world = self.world = worlds.World(SEED)
        setups.put_object(world, "profile", "standard")
        limits = {}
        if policy == "pace":
            limits["cold_start_ms"] = COLD_MS
            limits["cold_rate_per_s"] = COLD_RATE_PER_S
        setups.put_object(
            world,
            "service",
            "orders",
            profile="standard",
            health_path="/healthz",
            **limits,
        )
        setups.put_object(world, "firm", "board")
        setups.put_object(
            world,
            "customer",
            "board",
            firm="board",
            rate_per_s=None,
            burst=100,
        )
        setups.grant_key(world, "board")
        setups.put_route(world, "work", "orders")
        for number in range(SERVERS):
            zone = worlds.ZONES[number % len(worlds.ZONES)]
            backend = world.add_node(
                f"s{number}", zone, "orders", SLOTS, SERVICE_MS, True
            ).backend
            backend.cold_start_ms = COLD_MS
            backend.jitter = 0.3
        for zone in worlds.ZONES:
            world.add_node(f"caller-{zone}", zone, routed=True)
        world.run(SETTLE_MS)

    def play(self, restarted, load):
        """Play one load.

        :param restarted: number of servers that restart.
        :param load: share of the capacity.
        :returns: :class:`Outcome`.
        """
        world = self.world
        calls = []
        rate_per_s = load * SERVERS * SLOTS * 1000 / SERVICE_MS
        callers = [f"caller-{zone}" for zone in worlds.ZONES]

        def send():
            calls.append(
                world.call(
                    world.random.choice(callers),
                    f"/work/{len(calls)}",
                    setups.KEYS["board"],
                    host="fleet.example",
                )
            )
            if world.now_ms < end_ms:
                world.call_later(
                    world.random.expovariate(rate_per_s / 1000), send
                )

        begin_ms = world.now_ms + BEFORE_MS
        end_ms = begin_ms + WATCH_MS
        send()
        world.run(BEFORE_MS)
        for number in range(restarted):
            self._restart(f"s{number}")
        self.seen = len(world.runs)
        self._check()
        world.run(WATCH_MS + 1_500)
        return self._summarise(calls, begin_ms)

    def _restart(self, name):
        self.world.stop_backend(name)
        self.world.call_later(DOWN_MS, lambda: self.world.start_backend(name))

    def _check(self):
        """Crash the cold servers that got too many requests."""
        world = self.world
        for run in world.runs[self.seen :]:
            backend = world.nodes[run.node_name].backend
            if run.received_at_ms < backend.cold_until_ms and backend.up:
                self.arrivals[run.node_name].append(run.received_at_ms)
        self.seen = len(world.runs)
        for name, arrivals in self.arrivals.items():
            while arrivals and arrivals[0] < world.now_ms - 1_000:
                arrivals.popleft()
            self.most_cold = max(self.most_cold, len(arrivals))
            if len(arrivals) > CRASH_PER_S:
                arrivals.clear()
                self.crashes += 1
                self._restart(name)
        world.call_later(CHECK_MS, self._check)

    def _summarise(self, calls, begin_ms):
        later = [call for call in calls if call.started_at_ms >= begin_ms]
        windows = [[] for _ in range(int(WATCH_MS / WINDOW_MS) + 1)]
        for call in later:
            served = call.response is not None and call.response.status == 200
            windows[int((call.started_at_ms - begin_ms) / WINDOW_MS)].append(
                served
            )
        shares = [sum(part) / len(part) for part in windows if part]
        recovery_ms = 0.0
        for index, share in enumerate(shares):
            if share < RECOVERED_SHARE:
                recovery_ms = (index + 1) * WINDOW_MS
        served_count = sum(sum(part) for part in windows)
        return Outcome(
            served_count / len(later),
            recovery_ms,
            self.crashes,
            self.most_cold,
            shares,
        )


def run_all():
    """Play every load under both policies.

    :returns: outcomes by load and policy.
    """
    return {
        (name, policy): _Run(policy).play(*LOADS[name])
        for name in LOADS
        for policy in POLICIES
    }


def print_outcomes(outcomes):
    """Print all outcomes as a Markdown table."""
    print("| load | policy | served | recovery ms | crashes | most cold /s |")
    print("|---|---|---|---|---|---|")
    for (name, policy), outcome in outcomes.items():
        print(
            f"| {name} | {policy} | {outcome.served:.3f} "
            f"| {outcome.recovery_ms:.0f} | {outcome.crashes} "
            f"| {outcome.most_cold} |"
        )
    print()


def plot(outcomes, path):
    """Draw the share served over time.

    :param outcomes: what :func:`run_all` returned.
    :param path: PNG file to write.
    """
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(1, len(LOADS), figsize=(13, 3.5))
    for axis, name in zip(axes, LOADS):
        for policy in POLICIES:
            shares = outcomes[name, policy].shares
            times_s = [
                index * WINDOW_MS / 1000 for index in range(len(shares))
            ]
            axis.plot(times_s, shares, label=policy)
        axis.set_title(name, fontsize=9)
        axis.set_xlabel("s since the restart")
        axis.set_ylim(0, 1.05)
    axes[0].set_ylabel("share of calls served")
    axes[0].legend()
    figure.tight_layout()
    figure.savefig(path, dpi=80)


def measure():
    """Run the benchmark.

    :returns: list of :class:`~benchmarks.report.Measurement`.
    """
    outcomes = run_all()
    print_outcomes(outcomes)
    plot(outcomes, "docs/internals/starts.png")
    return [
        report.Measurement(
            f"{name}: crashes of cold servers",
            outcomes[name, "pace"].crashes,
            "crashes",
            upper_bound=0,
        )
        for name in LOADS
    ]
