"""Order of the queue: strict priority, then fair over firms and customers."""

import itertools

from fescueyard.configuration import models as configuration_models


def enqueue(table, row):
    """Add a run to the queue.

    :param table: :class:`~fescueyard.admission.models.RunTable`.
    :param row: the run.
    """
    by_customer = table.queued.setdefault(row.forward.priority, {})
    runs = by_customer.setdefault(row.forward.customer, {})
    runs[row.run_id] = None
    row.queued = True
    table.queued_count += 1


def remove(table, row):
    """Take a run out of the queue.

    :param table: :class:`~fescueyard.admission.models.RunTable`.
    :param row: the run.
    """
    by_customer = table.queued[row.forward.priority]
    runs = by_customer[row.forward.customer]
    del runs[row.run_id]
    row.queued = False
    table.queued_count -= 1
    if not runs:
        del by_customer[row.forward.customer]
    if not by_customer:
        del table.queued[row.forward.priority]


def count_ahead(table, priority):
    """Count the queued runs that go before a new one.

    :param table: :class:`~fescueyard.admission.models.RunTable`.
    :param priority: priority of the new one.
    :returns: number of runs.
    """
    ahead = 0
    for other, by_customer in table.queued.items():
        if other <= priority:
            ahead += sum(len(runs) for runs in by_customer.values())
    return ahead


def next_to_start(table, may_run, overloaded=False):
    """Choose the run to start next.

    :param table: :class:`~fescueyard.admission.models.RunTable`.
    :param may_run: says of a run whether it may start now.
    :param overloaded: the queue has been too long for a while. Calls of begun
        work then go in the order of time left, most first: those that have
        waited longest belong to requests that end too late anyway.
    :returns: the run, or None when there is none.
    """
    for priority in sorted(table.queued):
        heads = []
        if overloaded and priority < 0:
            rows = [
                row for row in _queued_runs(table, priority) if may_run(row)
            ]
            if rows:
                return max(rows, key=lambda row: row.deadline_at_ms)
        for runs in table.queued[priority].values():
            rows = (table.rows[run_id] for run_id in runs)
            heads += itertools.islice(filter(may_run, rows), 1)
        if heads:
            return min(
                heads, key=lambda row: _fairness_order(table.fairness, row)
            )
    return None


def _queued_runs(table, priority):
    for runs in table.queued[priority].values():
        for run_id in runs:
            yield table.rows[run_id]


def choose_eviction_victim(table):
    """Choose the run to evict first.

    It has the lowest priority; among those it is the newest one of the
    customer with the most runs queued.

    :param table: :class:`~fescueyard.admission.models.RunTable`.
    :returns: the run, or None when the queue is empty.
    """
    if not table.queued:
        return None
    by_customer = table.queued[max(table.queued)]
    runs = max(by_customer.values(), key=len)
    return table.rows[next(reversed(runs))]


def charge(tables, row, cost_ms):
    """Count the time a run took against its firm and customer.

    :param tables: the node's tables.
    :param row: the run.
    :param cost_ms: time at the backend server.
    """
    fairness = tables.runs.fairness
    state = tables.configuration.state
    firm = state.find(configuration_models.Kind.FIRM, row.firm)
    customer_name = row.forward.customer
    customer = state.find(configuration_models.Kind.CUSTOMER, customer_name)
    firm_share = firm.share if firm else 1
    customer_share = customer.share if customer else 1
    _advance(fairness.firm_virtual_time_ms, row.firm, cost_ms / firm_share)
    _advance(
        fairness.customer_virtual_time_ms,
        customer_name,
        cost_ms / customer_share,
    )


def catch_up_idle(table, row):
    """Bring a firm or customer that was idle up to the present virtual time.

    Otherwise it would be owed for the time in which it asked for nothing.

    :param table: :class:`~fescueyard.admission.models.RunTable`.
    :param row: a run about to be queued.
    """
    fairness = table.fairness
    firms = set()
    customers = set()
    for run_id in table.running:
        running = table.rows[run_id]
        firms.add(running.firm)
        customers.add(running.forward.customer)
    for by_customer in table.queued.values():
        for customer, runs in by_customer.items():
            customers.add(customer)
            firms.add(table.rows[next(iter(runs))].firm)
    _raise_to_floor(fairness.firm_virtual_time_ms, row.firm, firms)
    _raise_to_floor(
        fairness.customer_virtual_time_ms, row.forward.customer, customers
    )


def _fairness_order(fairness, row):
    return (
        fairness.firm_virtual_time_ms.get(row.firm, 0.0),
        fairness.customer_virtual_time_ms.get(row.forward.customer, 0.0),
        row.run_id,
    )


def _advance(times, name, amount):
    times[name] = times.get(name, 0.0) + amount


def _raise_to_floor(times, name, active):
    if name in active:
        return
    present = [times.get(other, 0.0) for other in active]
    floor = min(present) if present else max(times.values(), default=0.0)
    times[name] = max(times.get(name, 0.0), floor)
