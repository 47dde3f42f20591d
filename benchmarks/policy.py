"""Overload control compared with simpler policies, in simulated time.

Both reference deployments run the same scenarios on the production tables and
systems. ``fescueyard`` is the production policy; ``none`` admits everything;
``fixed`` has a fixed concurrency limit and a FIFO queue; ``fifo`` has the
adaptive limit and a FIFO queue.
"""

import concurrent.futures
import contextlib
import dataclasses
import unittest.mock

from benchmarks import report
from fescueyard.admission import limiter
from fescueyard.admission import queueing
from fescueyard.admission import systems as admission
from tests import setups
from tests import world as worlds

SEED = 11
DEADLINE_MS = 1_000
DEEP_SERVICE_MS = 100.0
FRONT_SERVICE_MS = 5.0
WARM_UP_MS = 2_000
DISTURBANCE_MS = 3_000
RECOVERY_WATCH_MS = 4_000
WINDOW_MS = 100
POLICIES = ("fescueyard", "none", "fixed", "fifo")
SCENARIOS = (
    "capacity",
    "surge",
    "slow_service",
    "greedy_customer",
    "hard_retries",
    "crash",
    "firm_peak",
)
# Each call draws one of these; the lowest number is the most important.
PRIORITIES = (1, 3, 3, 3, 6, 6)
GOODPUT_SHARE_MIN = 0.95
RECOVERY_MAX_MS = 2_000
WORST_SERVED_MIN = 0.95
REFUSED_WITHIN_RATE_MAX = 0.001


@dataclasses.dataclass(frozen=True)
class Deployment:
    """One of the two reference deployments.

    :param servers: backend servers of each service.
    :param slots: slots of a backend server of the deep service.
    """

    name: str
    zones: tuple
    one_way_ms: float
    servers: int
    slots: int

    def capacity_per_s(self):
        """Return the capacity of the deep service.

        :returns: calls per second.
        """
        return self.servers * self.slots / DEEP_SERVICE_MS * 1000


DEPLOYMENTS = (
    Deployment("board", ("zone-a", "zone-b", "zone-c"), 0.5, 4, 20),
    Deployment(
        "limewash", ("zone-a", "zone-b", "zone-c", "zone-d"), 1.5, 4, 30
    ),
)
# Two large customers and six small ones; the first four belong to the first
# firm.
CUSTOMER_WEIGHTS = (6, 2, 2, 1, 5, 2, 1, 1)
CUSTOMERS = tuple(f"c{number}" for number in range(8))


@dataclasses.dataclass
class Outcome:
    """The result of a scenario.

    :param goodput_per_s: complete responses per second during the disturbance.
    :param recovery_ms: time from the end of the disturbance until at least
        95 % of the calls succeed.
    :param worst_served: lowest success share among the customers that kept to
        their rate, after the warm-up.
    :param refused_within_rate: share of such customers' calls refused.
    :param important_lost: share of the most important calls that failed
        during the disturbance; 0 if no least important call succeeded.
    """

    goodput_per_s: float
    recovery_ms: float
    worst_served: float
    refused_within_rate: float
    important_lost: float


@dataclasses.dataclass
class _Call:
    customer: int
    priority: int
    first_attempt: worlds.CallRecord
    attempts: list

    def is_good(self):
        """Return whether an attempt got a complete response."""
        return any(
            attempt.response is not None and attempt.response.status == 200
            for attempt in self.attempts
        )


class _Run:
    """One scenario under one policy."""

    def __init__(self, deployment, scenario):
        self.deployment = deployment
        self.scenario = scenario
        self.capacity = deployment.capacity_per_s()
        self.calls = []
        self.world = self._build()
        self.random = self.world.random
        self.begin_ms = self.world.now_ms + WARM_UP_MS
        self.end_ms = self.begin_ms + DISTURBANCE_MS

    def _build(self):
        deployment = self.deployment
        world = worlds.World(SEED, one_way_ms=deployment.one_way_ms)
        setups.put_object(
            world, "profile", "standard", deadline_default_ms=DEADLINE_MS
        )
        for service in ("front", "deep"):
            setups.put_object(world, "service", service, profile="standard")
        for firm in ("firm-0", "firm-1"):
            setups.put_object(world, "firm", firm)
        for index, customer in enumerate(CUSTOMERS):
            rate_per_s = self._rate_per_s(index)
            setups.put_object(
                world,
                "customer",
                customer,
                firm=f"firm-{index // 4}",
                rate_per_s=rate_per_s,
                burst=int(rate_per_s),
                share=CUSTOMER_WEIGHTS[index],
            )
            setups.grant_key(world, customer)
        for number in range(deployment.servers):
            zone = deployment.zones[number % len(deployment.zones)]
            front = world.add_node(
                f"front-{number}", zone, "front", 400, FRONT_SERVICE_MS
            )
            deep = world.add_node(
                f"deep-{number}",
                zone,
                "deep",
                deployment.slots,
                DEEP_SERVICE_MS,
            )
            front.backend.jitter = deep.backend.jitter = 0.5
        world.run(6_000)
        return world

    def _rate_per_s(self, index):
        share = CUSTOMER_WEIGHTS[index] / sum(CUSTOMER_WEIGHTS)
        # Outside greedy_customer the rate limit is far above the demand, so
        # that it has no effect.
        headroom = 0.9 if self.scenario == "greedy_customer" else 4.0
        return share * self.capacity * headroom

    def demand_per_s(self, index, now_ms):
        """Return how many calls per second a customer sends.

        Outside the disturbance, all customers together use 70 % of the
        capacity of the deep service.
        """
        share = CUSTOMER_WEIGHTS[index] / sum(CUSTOMER_WEIGHTS)
        base = 0.7 * share * self.capacity
        if not self.begin_ms <= now_ms < self.end_ms:
            return base
        if self.scenario == "capacity":
            return base / 0.7
        if self.scenario in ("surge", "hard_retries"):
            return 2.0 * base / 0.7
        if self.scenario == "greedy_customer":
            if index == 0:
                return 5 * self._rate_per_s(index)
            return 0.9 * self._rate_per_s(index)
        if self.scenario == "firm_peak" and index < 4:
            return 4.0 * base
        return base

    def run(self):
        """Run the scenario.

        :returns: :class:`Outcome`.
        """
        for index in range(len(CUSTOMERS)):
            self._schedule_next_call(index)
        self.world.call_later(WARM_UP_MS, self._begin_disturbance)
        self.world.call_later(
            WARM_UP_MS + DISTURBANCE_MS, self._end_disturbance
        )
        self.world.run(WARM_UP_MS + DISTURBANCE_MS + RECOVERY_WATCH_MS)
        return self._summarise()

    def _schedule_next_call(self, index):
        rate_per_s = self.demand_per_s(index, self.world.now_ms)
        delay_ms = self.random.expovariate(rate_per_s / 1000)

        def send_and_continue():
            self._send(index)
            self._schedule_next_call(index)

        self.world.call_later(delay_ms, send_and_continue)

    def _send(self, index):
        priority = self.random.choice(PRIORITIES)
        call = _Call(index, priority, None, [])
        self.calls.append(call)
        self._start_attempt(call)
        call.first_attempt = call.attempts[0]

    def _start_attempt(self, call):
        names = [name for name in self.world.nodes if "front" in name]
        attempt = self.world.call(
            self.random.choice(names),
            f"/front/call/deep/work?id={len(self.calls)}",
            setups.KEYS[CUSTOMERS[call.customer]],
            fescueyard_priority=str(call.priority),
        )
        call.attempts.append(attempt)
        if self.scenario == "hard_retries" and len(call.attempts) < 4:
            self.world.call_later(
                60, lambda: self._retry_if_failed(call, attempt)
            )

    def _retry_if_failed(self, call, attempt):
        if attempt.response is None:
            self.world.call_later(
                60, lambda: self._retry_if_failed(call, attempt)
            )
        elif attempt.response.status >= 500:
            self._start_attempt(call)

    def _begin_disturbance(self):
        deep = [n for n in self.world.nodes.values() if "deep" in n.name]
        if self.scenario == "slow_service":
            for node in deep:
                node.backend.slowdown = 4.0
        elif self.scenario == "crash":
            self.world.kill(deep[0].name)

    def _end_disturbance(self):
        if self.scenario == "slow_service":
            for node in self.world.nodes.values():
                node.backend and setattr(node.backend, "slowdown", 1.0)
        elif self.scenario == "crash":
            zone = self.deployment.zones[0]
            self.world.add_node(
                "deep-new",
                zone,
                "deep",
                self.deployment.slots,
                DEEP_SERVICE_MS,
            )

    def _summarise(self):
        during = self._calls_started_between(self.begin_ms, self.end_ms)
        good = sum(self._is_good_during(call) for call in self.calls)
        return Outcome(
            good / (DISTURBANCE_MS / 1000),
            self._recovery_ms(),
            self._worst_served(),
            self._refused_within_rate(),
            _important_lost(during),
        )

    def _is_good_during(self, call):
        """Return whether a complete response came during the disturbance."""
        return any(
            attempt.response is not None
            and attempt.response.status == 200
            and self.begin_ms <= attempt.ended_at_ms < self.end_ms
            for attempt in call.attempts
        )

    def _calls_started_between(self, start_ms, end_ms):
        return [
            call
            for call in self.calls
            if start_ms <= call.first_attempt.started_at_ms < end_ms
        ]

    def _recovery_ms(self):
        last_bad_ms = 0
        for start_ms in range(0, RECOVERY_WATCH_MS - DEADLINE_MS, WINDOW_MS):
            begin_ms = self.end_ms + start_ms
            calls = self._calls_started_between(begin_ms, begin_ms + WINDOW_MS)
            good = sum(call.is_good() for call in calls)
            if calls and good < 0.95 * len(calls):
                last_bad_ms = start_ms + WINDOW_MS
        return last_bad_ms

    def _keeps_to_rate(self, index):
        if self.scenario == "greedy_customer":
            return index != 0
        if self.scenario == "firm_peak":
            return index >= 4
        return True

    def _counted_calls(self, index):
        calls = self._calls_started_between(
            self.begin_ms, self.end_ms + RECOVERY_WATCH_MS - DEADLINE_MS
        )
        lowest_priority = PRIORITIES[-1]
        if self.scenario == "firm_peak":
            # Priority takes precedence over fairness, so a peak of one firm's
            # more important calls may displace the least important ones
            # of the other.
            lowest_priority = PRIORITIES[1]
        return [
            call
            for call in calls
            if call.customer == index and call.priority <= lowest_priority
        ]

    def _worst_served(self):
        worst = 1.0
        for index in range(len(CUSTOMERS)):
            calls = self._counted_calls(index)
            if calls and self._keeps_to_rate(index):
                good = sum(call.is_good() for call in calls)
                worst = min(worst, good / len(calls))
        return worst

    def _refused_within_rate(self):
        refused = total = 0
        for index in range(len(CUSTOMERS)):
            if not self._keeps_to_rate(index):
                continue
            for call in self._counted_calls(index):
                total += 1
                response = call.first_attempt.response
                refused += response is None or response.status in (429, 503)
        return refused / max(1, total)


def _important_lost(calls):
    """Return the share of the most important calls that failed.

    :returns: the share; 0 if no least important call succeeded.
    """
    important = [call for call in calls if call.priority == 1]
    less_important = [call for call in calls if call.priority == 6]
    if not any(call.is_good() for call in less_important):
        return 0.0
    lost = sum(not call.is_good() for call in important)
    return lost / max(1, len(important))


@contextlib.contextmanager
def _patched_policy(name):
    """Replace parts of the production policy by a simpler one."""
    patches = []

    def patch(module, attribute, function):
        patches.append(unittest.mock.patch.object(module, attribute, function))

    def first_come(table, may_run, overloaded=False):
        queued = [run for run in table.rows.values() if run.queued]
        return min(queued, key=lambda run: run.run_id, default=None)

    def skip_bounding(tables, run, now_ms):
        return None

    if name in ("none", "fixed", "fifo"):
        patch(queueing, "next_to_start", first_come)
        patch(admission, "_bound_queue", skip_bounding)
    if name == "none":
        patch(limiter, "may_start", lambda limit, running: True)
    if name == "fixed":
        patch(limiter, "record_completion", lambda *arguments: None)
    with contextlib.ExitStack() as stack:
        for each in patches:
            stack.enter_context(each)
        yield


def run_one(deployment, scenario, policy):
    """Run one scenario under one policy.

    :param deployment: :class:`Deployment`.
    :param scenario: one of :data:`SCENARIOS`.
    :param policy: one of :data:`POLICIES`.
    :returns: :class:`Outcome`.
    """
    with _patched_policy(policy):
        return _Run(deployment, scenario).run()


def run_all(policies=POLICIES):
    """Run every scenario in both deployments.

    :param policies: names of policies.
    :returns: outcomes by deployment name, scenario and policy.
    """
    jobs = {}
    with concurrent.futures.ProcessPoolExecutor(max_workers=7) as pool:
        for deployment in DEPLOYMENTS:
            for scenario in SCENARIOS:
                for policy in policies:
                    key = (deployment.name, scenario, policy)
                    jobs[key] = pool.submit(
                        run_one, deployment, scenario, policy
                    )
        return {key: job.result() for key, job in jobs.items()}


def print_outcomes(outcomes):
    """Print all outcomes as a Markdown table."""
    print(
        "| deployment | scenario | policy | goodput /s | recovery ms "
        "| worst served | refused within rate | important lost |"
    )
    print("|---|---|---|---|---|---|---|---|")
    for (deployment, scenario, policy), outcome in outcomes.items():
        print(
            f"| {deployment} | {scenario} | {policy} "
            f"| {outcome.goodput_per_s:.0f} | {outcome.recovery_ms:.0f} "
            f"| {outcome.worst_served:.3f} "
            f"| {outcome.refused_within_rate:.4f} "
            f"| {outcome.important_lost:.4f} |"
        )
    print()


def plot(outcomes, path):
    """Draw goodput and losses of each scenario and policy.

    :param outcomes: what :func:`run_all` returned.
    :param path: PNG file to write.
    """
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(2, 2, figsize=(13, 7), sharex=True)
    for column, deployment in enumerate(DEPLOYMENTS):
        for policy_index, policy in enumerate(POLICIES):
            policy_outcomes = [
                outcomes[deployment.name, scenario, policy]
                for scenario in SCENARIOS
            ]
            x_positions = [
                x + 0.2 * policy_index for x in range(len(policy_outcomes))
            ]
            top, bottom = axes[0][column], axes[1][column]
            goodput = [outcome.goodput_per_s for outcome in policy_outcomes]
            lost = [
                100 * outcome.important_lost for outcome in policy_outcomes
            ]
            top.bar(x_positions, goodput, 0.18, label=policy)
            bottom.bar(x_positions, lost, 0.18, label=policy)
        top.set_title(deployment.name)
        top.axhline(deployment.capacity_per_s(), color="grey", linewidth=0.8)
        bottom.set_xticks(range(len(SCENARIOS)), SCENARIOS, rotation=30)
    axes[0][0].set_ylabel("whole answers a second")
    axes[1][0].set_ylabel("important calls lost, %")
    axes[0][0].legend()
    figure.tight_layout()
    figure.savefig(path, dpi=80)


def measure():
    """Run the benchmark.

    :returns: list of :class:`~benchmarks.report.Measurement`.
    """
    outcomes = run_all()
    print_outcomes(outcomes)
    plot(outcomes, "docs/internals/policy.png")
    measurements = []
    for deployment in DEPLOYMENTS:
        measurements += _check_bounds(deployment.name, outcomes)
    return measurements


def _check_bounds(name, outcomes):
    def fescueyard_outcome(scenario):
        return outcomes[name, scenario, "fescueyard"]

    at_capacity = fescueyard_outcome("capacity").goodput_per_s
    measurements = []
    for scenario in ("surge", "hard_retries"):
        share = fescueyard_outcome(scenario).goodput_per_s / at_capacity
        measurements.append(
            report.Measurement(
                f"{name}, {scenario}: goodput over that at capacity",
                share,
                "ratio",
                lower_bound=GOODPUT_SHARE_MIN,
            )
        )
    for scenario in SCENARIOS[1:]:
        measurements.append(
            report.Measurement(
                f"{name}, {scenario}: recovery",
                fescueyard_outcome(scenario).recovery_ms,
                "ms",
                upper_bound=RECOVERY_MAX_MS,
            )
        )
    greedy = fescueyard_outcome("greedy_customer")
    measurements.append(
        report.Measurement(
            f"{name}, greedy_customer: worst-served within its rate",
            greedy.worst_served,
            "ratio",
            lower_bound=WORST_SERVED_MIN,
        )
    )
    measurements.append(
        report.Measurement(
            f"{name}, greedy_customer: refused within rate",
            greedy.refused_within_rate,
            "ratio",
            upper_bound=REFUSED_WITHIN_RATE_MAX,
        )
    )
    measurements.append(
        report.Measurement(
            f"{name}, firm_peak: worst-served of the other firm",
            fescueyard_outcome("firm_peak").worst_served,
            "ratio",
            lower_bound=WORST_SERVED_MIN,
        )
    )
    for scenario in ("surge", "slow_service", "firm_peak"):
        measurements.append(
            report.Measurement(
                f"{name}, {scenario}: important lost before lesser",
                fescueyard_outcome(scenario).important_lost,
                "ratio",
                upper_bound=0.0,
            )
        )
    return measurements
