"""Queue order: strict priority, then fair over firms and customers."""

import itertools

from fescueyard.configuration import models as configuration_models


def enqueue(table, run):
    """Add a run to the queue.

    :param table: :class:`~fescueyard.admission.models.RunTable`.
    :param run: the run.
    """
    by_customer = table.queued.setdefault(run.forward.priority, {})
    run_ids = by_customer.setdefault(run.forward.customer, {})
    run_ids[run.run_id] = None
    run.queued = True
    table.queued_count += 1


def remove(table, run):
    """Remove a run from the queue.

    :param table: :class:`~fescueyard.admission.models.RunTable`.
    :param run: the run.
    """
    by_customer = table.queued[run.forward.priority]
    run_ids = by_customer[run.forward.customer]
    del run_ids[run.run_id]
    run.queued = False
    table.queued_count -= 1
    if not run_ids:
        del by_customer[run.forward.customer]
    if not by_customer:
        del table.queued[run.forward.priority]


def count_ahead(table, priority):
    """Count the queued runs that start before a new one.

    :param table: :class:`~fescueyard.admission.models.RunTable`.
    :param priority: priority of the new run.
    :returns: number of runs.
    """
    ahead_count = 0
    for queued_priority, by_customer in table.queued.items():
        if queued_priority <= priority:
            ahead_count += sum(
                len(run_ids) for run_ids in by_customer.values()
            )
    return ahead_count


def next_to_start(table, may_run, overloaded=False):
    """Choose the run to start next.

    :param table: :class:`~fescueyard.admission.models.RunTable`.
    :param may_run: returns whether a run may start now.
    :param overloaded: whether the queueing time has been too long for a
        while. Calls of work in progress, which have a negative priority, then
        start in order of remaining time, most first: the calls that have
        waited longest belong to requests that miss their deadline anyway.
    :returns: the run, or None when there is none.
    """
    for priority in sorted(table.queued):
        heads = []
        if overloaded and priority < 0:
            candidates = [
                run for run in _queued_runs(table, priority) if may_run(run)
            ]
            if candidates:
                return max(candidates, key=lambda run: run.deadline_at_ms)
        for run_ids in table.queued[priority].values():
            candidates = (table.rows[run_id] for run_id in run_ids)
            heads += itertools.islice(filter(may_run, candidates), 1)
        if heads:
            return min(
                heads, key=lambda run: _fairness_order(table.fairness, run)
            )
    return None


def _queued_runs(table, priority):
    for run_ids in table.queued[priority].values():
        for run_id in run_ids:
            yield table.rows[run_id]


def choose_eviction_victim(table):
    """Choose the run to evict first.

    This is a run of the lowest priority: the newest one of the customer with
    the most runs queued.

    :param table: :class:`~fescueyard.admission.models.RunTable`.
    :returns: the run, or None when the queue is empty.
    """
    if not table.queued:
        return None
    by_customer = table.queued[max(table.queued)]
    run_ids = max(by_customer.values(), key=len)
    return table.rows[next(reversed(run_ids))]


def charge(tables, run, cost_ms):
    """Charge the service time of a run to its firm and customer.

    :param tables: the node's tables.
    :param run: the run.
    :param cost_ms: time at the backend server, in ms.
    """
    fairness = tables.runs.fairness
    state = tables.configuration.state
    firm = state.find(configuration_models.Kind.FIRM, run.firm)
    customer_name = run.forward.customer
    customer = state.find(configuration_models.Kind.CUSTOMER, customer_name)
    firm_share = firm.share if firm else 1
    customer_share = customer.share if customer else 1
    _advance(fairness.firm_virtual_time_ms, run.firm, cost_ms / firm_share)
    _advance(
        fairness.customer_virtual_time_ms,
        customer_name,
        cost_ms / customer_share,
    )


def catch_up_idle(table, run):
    """Advance an idle firm or customer to the present virtual time.

    Otherwise it would accumulate credit for the time in which it was idle.

    :param table: :class:`~fescueyard.admission.models.RunTable`.
    :param run: a run about to be queued.
    """
    fairness = table.fairness
    firms = set()
    customers = set()
    for run_id in table.running:
        active_run = table.rows[run_id]
        firms.add(active_run.firm)
        customers.add(active_run.forward.customer)
    for by_customer in table.queued.values():
        for customer, run_ids in by_customer.items():
            customers.add(customer)
            firms.add(table.rows[next(iter(run_ids))].firm)
    _raise_to_floor(fairness.firm_virtual_time_ms, run.firm, firms)
    _raise_to_floor(
        fairness.customer_virtual_time_ms, run.forward.customer, customers
    )


def _fairness_order(fairness, run):
    return (
        fairness.firm_virtual_time_ms.get(run.firm, 0.0),
        fairness.customer_virtual_time_ms.get(run.forward.customer, 0.0),
        run.run_id,
    )


def _advance(times, name, amount):
    times[name] = times.get(name, 0.0) + amount


def _raise_to_floor(times, name, active):
    if name in active:
        return
    active_times = [times.get(other, 0.0) for other in active]
    floor = (
        min(active_times) if active_times else max(times.values(), default=0.0)
    )
    times[name] = max(times.get(name, 0.0), floor)
