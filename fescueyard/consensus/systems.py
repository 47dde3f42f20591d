"""Entry points of the consensus: creation of the table, ticks and saving.

This package uses no socket, disk or clock. The caller passes in each message
and the present time, saves what :func:`log.unsaved_changes` returns, calls
:func:`mark_saved`, and only then sends the messages in ``outbox``.
"""

import random

from fescueyard.consensus import elections
from fescueyard.consensus import log
from fescueyard.consensus import models
from fescueyard.consensus import replication
from fescueyard.consensus import roles


def new_table(
    member_id,
    vote,
    snapshot,
    entries,
    seed,
    now_ms,
    voters_max=models.VOTERS_MAX,
):
    """Create the table of a member from its saved state.

    :param member_id: identity of the data folder.
    :param vote: saved :class:`~fescueyard.consensus.models.Vote`.
    :param snapshot: saved :class:`~fescueyard.consensus.models.Snapshot`.
    :param entries: saved entries after the snapshot.
    :param seed: random seed of the election timeouts.
    :param now_ms: the present time.
    :param voters_max: maximum number of voters.
    :returns: :class:`models.ConsensusTable`.
    """
    table = models.ConsensusTable(
        member_id,
        vote,
        snapshot,
        entries,
        random.Random(seed),
        voters_max=voters_max,
    )
    table.commit_index = snapshot.index
    table.saved_index = log.last_index(table)
    # A vote granted just before the restart may still support a leader's
    # lease, so this member treats the leader as active for one election
    # timeout.
    table.leader_contact_at_ms = now_ms
    log.refresh_members(table)
    roles.schedule_election(table, now_ms)
    return table


def tick(table, now_ms):
    """Run due work: heartbeats, promotions, stepping down and elections.

    :param now_ms: the present time.
    """
    if table.role is models.Role.LEADER:
        _tick_leader(table, now_ms)
    elif now_ms >= table.election_due_ms:
        roles.schedule_election(table, now_ms)
        if log.is_voter(table, table.member_id):
            elections.start_pre_vote(table, now_ms)


def mark_saved(table, now_ms):
    """Record that all changes are on disk.

    The leader's own copy counts towards the majority from now on.

    :param now_ms: the present time.
    """
    table.vote_changed = False
    table.snapshot_changed = False
    table.truncate_after = None
    table.saved_index = log.last_index(table)
    if table.role is models.Role.LEADER:
        replication.advance_commit(table, now_ms)


def _tick_leader(table, now_ms):
    since_ms = table.confirmed_at_ms
    if since_ms is None:
        since_ms = table.leading_since_ms
    if table.transfer_started_at_ms is not None:
        # The transfer message may still be in flight, so the lease can't be
        # regained in this term.
        since_ms = table.transfer_started_at_ms
    if now_ms - since_ms > roles.ELECTION_TIMEOUT_MIN_MS:
        roles.become_follower(table, now_ms)
        return
    if now_ms >= table.heartbeat_due_ms:
        replication.send_entries(table, now_ms, heartbeat=True)
    replication.promote_learner(table, now_ms)
