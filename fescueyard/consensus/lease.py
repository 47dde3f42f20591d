"""Leader lease: the time in which no other member can be elected."""

from fescueyard.consensus import log
from fescueyard.consensus import models

# Shorter than the shortest election timeout, so that the lease expires before
# another member can be elected.
LEASE_MS = 400


def is_leader(table):
    """Return whether this member leads and is not transferring leadership.

    :returns: bool.
    """
    leads = table.role is models.Role.LEADER
    return leads and table.transfer_started_at_ms is None


def confirmation_age_ms(table, now_ms):
    """Return the time since a majority last confirmed this leader.

    :returns: age in ms; infinite when this member is not a confirmed leader
        or has not yet committed an entry of its own term.
    """
    if not is_leader(table) or table.confirmed_at_ms is None:
        return float("inf")
    if table.commit_index < table.term_start_index:
        return float("inf")
    return now_ms - table.confirmed_at_ms


def holds_lease(table, now_ms):
    """Return whether this leader's lease is still valid.

    :returns: bool.
    """
    return confirmation_age_ms(table, now_ms) < LEASE_MS


def renew(table):
    """Renew the lease after a round was sent or acknowledged.

    The lease runs from the time at which the latest round that a majority has
    acknowledged was sent.
    """
    confirmed_round = 0
    rounds = {progress.acked_round for progress in table.progress.values()}
    rounds.add(table.round_id)
    for round_id in sorted(rounds, reverse=True):
        acked_ids = {table.member_id}
        for member_id, progress in table.progress.items():
            if progress.acked_round >= round_id:
                acked_ids.add(member_id)
        if log.is_majority(table, acked_ids):
            confirmed_round = round_id
            break
    sent_at_ms = table.round_sent_at_ms.get(confirmed_round)
    if sent_at_ms is None:
        return
    if table.confirmed_at_ms is None or sent_at_ms > table.confirmed_at_ms:
        table.confirmed_at_ms = sent_at_ms
    for round_id in [
        each for each in table.round_sent_at_ms if each < confirmed_round
    ]:
        del table.round_sent_at_ms[round_id]
