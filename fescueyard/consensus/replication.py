"""Log replication, commitment and membership changes."""

import dataclasses

from fescueyard.consensus import dispatch
from fescueyard.consensus import lease
from fescueyard.consensus import log
from fescueyard.consensus import messages
from fescueyard.consensus import models
from fescueyard.consensus import roles
from fescueyard.core import wire

HEARTBEAT_INTERVAL_MS = 100
ENTRIES_PER_MESSAGE_MAX = 256
SNAPSHOT_RESEND_MS = 2_000
# A member whose last response is older does not count as caught up.
RESPONSE_AGE_MAX_MS = 1_000


def propose(table, kind, payload, now_ms):
    """Append an entry as the leader.

    :param kind: one of the ``_ENTRY`` constants of the models.
    :param payload: encoded as :class:`models.LogEntry` describes.
    :param now_ms: the present time.
    :returns: the entry's index, or None when this member is not the leader.
    """
    if not lease.is_leader(table):
        return None
    index = log.last_index(table) + 1
    entry = models.LogEntry(index, table.vote.term, kind, payload)
    table.entries.append(entry)
    if kind == models.MEMBERS_ENTRY:
        log.refresh_members(table)
        track_progress(table, now_ms)
    send_entries(table, now_ms)
    return index


def may_change_members(table):
    """Return whether a membership change may start.

    Only one change may be in progress, and the leader must have committed an
    entry of its own term. Otherwise two leaders could count different
    majorities.

    :returns: bool.
    """
    if not lease.is_leader(table):
        return False
    if table.commit_index < table.term_start_index:
        return False
    for entry in reversed(table.entries):
        if entry.index <= table.commit_index:
            return True
        if entry.kind == models.MEMBERS_ENTRY:
            return False
    return True


def propose_members(table, members, now_ms):
    """Propose a new list of members.

    :param members: list of members that differs by one from the current one.
    :param now_ms: the present time.
    :returns: the entry's index, or None when no change may start now.
    """
    if not may_change_members(table):
        return None
    payload = wire.encode_plain(models.MembersRecord(members))
    return propose(table, models.MEMBERS_ENTRY, payload, now_ms)


def track_progress(table, now_ms):
    """Add missing progress records and remove those of former members.

    :param now_ms: the present time.
    """
    for member in table.members:
        if member.member_id != table.member_id:
            table.progress.setdefault(
                member.member_id,
                models.Progress(
                    log.last_index(table), last_response_at_ms=now_ms
                ),
            )
    member_ids = {member.member_id for member in table.members}
    for member_id in list(table.progress):
        if member_id not in member_ids:
            del table.progress[member_id]


def promote_learner(table, now_ms):
    """Promote a learner that has caught up if there is room for a voter.

    There is room while there are fewer than ``voters_max`` voters. Surplus
    learners are not promoted: they respond to configuration requests, and one
    of them replaces a voter that is removed.

    :param now_ms: the present time.
    """
    if sum(member.voter for member in table.members) >= table.voters_max:
        return
    for member in table.members:
        if member.voter:
            continue
        if has_caught_up(table, member, now_ms) and may_change_members(table):
            promoted = dataclasses.replace(member, voter=True)
            members = [
                promoted if each is member else each for each in table.members
            ]
            propose_members(table, members, now_ms)
            return


def has_caught_up(table, member, now_ms):
    """Return whether a member responds and has all committed entries.

    :param member: the member.
    :param now_ms: the present time.
    :returns: bool.
    """
    progress = table.progress.get(member.member_id)
    if (
        progress is None
        or now_ms - progress.last_response_at_ms > RESPONSE_AGE_MAX_MS
    ):
        return False
    return progress.match_index >= table.commit_index


def send_entries(table, now_ms, heartbeat=False):
    """Start a round: send each member the entries that it lacks.

    :param now_ms: the present time.
    :param heartbeat: also send, without entries, to members with entries or a
        snapshot in flight.
    """
    table.round_id += 1
    table.round_sent_at_ms[table.round_id] = now_ms
    table.heartbeat_due_ms = now_ms + HEARTBEAT_INTERVAL_MS
    for member_id in table.progress:
        if (
            heartbeat
            or now_ms >= table.progress[member_id].entries_paused_until_ms
        ):
            _send_append(table, member_id, now_ms)
    lease.renew(table)


def _send_append(table, member_id, now_ms):
    progress = table.progress[member_id]
    paused = now_ms < progress.entries_paused_until_ms
    previous_index = progress.next_index - 1
    if previous_index < table.snapshot.index:
        if not paused:
            progress.entries_paused_until_ms = now_ms + SNAPSHOT_RESEND_MS
            request = messages.SnapshotRequest(
                table.vote.term, table.round_id, table.snapshot
            )
            log.enqueue_message(table, member_id, request)
            return
        previous_index = table.snapshot.index
    entries = []
    if not paused:
        start = previous_index - table.snapshot.index
        entries = table.entries[start : start + ENTRIES_PER_MESSAGE_MAX]
    if entries:
        progress.entries_paused_until_ms = now_ms + HEARTBEAT_INTERVAL_MS
    request = messages.AppendRequest(
        table.vote.term,
        table.round_id,
        previous_index,
        log.term_at(table, previous_index),
        table.commit_index,
        entries,
    )
    log.enqueue_message(table, member_id, request)


def advance_commit(table, now_ms):
    """Commit the entries that a majority has saved.

    Only an entry of the current term is committed by counting its replicas;
    earlier entries are committed along with it.

    :param now_ms: the present time.
    """
    for index in range(log.last_index(table), table.commit_index, -1):
        if log.term_at(table, index) != table.vote.term:
            return
        holders = set()
        if table.saved_index >= index:
            holders.add(table.member_id)
        for member_id, progress in table.progress.items():
            if progress.match_index >= index:
                holders.add(member_id)
        if log.is_majority(table, holders):
            table.commit_index = index
            send_entries(table, now_ms)
            if not log.is_voter(table, table.member_id):
                roles.become_follower(table, now_ms)
            return


def _append_entries(table, message):
    """Append new entries and truncate conflicting ones.

    :returns: last index that matches the leader's log, or None when the
        entry at ``previous_index`` does not match.
    """
    previous_index = message.previous_index
    if previous_index > table.snapshot.index:
        if log.term_at(table, previous_index) != message.previous_term:
            return None
    members_changed = False
    for entry in message.entries:
        if entry.index <= table.snapshot.index:
            continue
        known_term = log.term_at(table, entry.index)
        if known_term == entry.term:
            continue
        if known_term is not None:
            log.truncate(table, entry.index - 1)
            members_changed = True
        table.entries.append(entry)
        if entry.kind == models.MEMBERS_ENTRY:
            members_changed = True
    if members_changed:
        log.refresh_members(table)
    return previous_index + len(message.entries)


@dispatch.receive.register
def _receive_append_request(
    message: messages.AppendRequest, table, sender_id, now_ms
):
    if not roles.follow(table, message.term, sender_id, now_ms):
        response = messages.AppendResponse(
            table.vote.term, message.round_id, False, 0
        )
        log.enqueue_message(table, sender_id, response)
        return
    match_index = _append_entries(table, message)
    if match_index is None:
        hint = min(log.last_index(table), message.previous_index - 1)
        hint = max(hint, table.commit_index)
        response = messages.AppendResponse(
            table.vote.term, message.round_id, False, hint
        )
    else:
        table.commit_index = max(
            table.commit_index, min(message.commit_index, match_index)
        )
        response = messages.AppendResponse(
            table.vote.term, message.round_id, True, match_index
        )
    log.enqueue_message(table, sender_id, response)


@dispatch.receive.register
def _receive_snapshot_request(
    message: messages.SnapshotRequest, table, sender_id, now_ms
):
    if not roles.follow(table, message.term, sender_id, now_ms):
        return
    snapshot = message.snapshot
    if snapshot.index > table.commit_index:
        if log.term_at(table, snapshot.index) == snapshot.term:
            covered_count = snapshot.index - table.snapshot.index
            table.entries = table.entries[covered_count:]
            table.saved_index = max(table.saved_index, snapshot.index)
        else:
            # Entries covered by the snapshot stay on disk until the snapshot
            # is saved.
            log.truncate(table, snapshot.index - 1)
            table.entries = []
            table.saved_index = snapshot.index
        table.snapshot = snapshot
        table.snapshot_changed = True
        table.commit_index = snapshot.index
        log.refresh_members(table)
    response = messages.AppendResponse(
        table.vote.term, message.round_id, True, table.commit_index
    )
    log.enqueue_message(table, sender_id, response)


@dispatch.receive.register
def _receive_append_response(
    message: messages.AppendResponse, table, sender_id, now_ms
):
    roles.observe_term(table, message.term, now_ms)
    progress = table.progress.get(sender_id)
    if table.role is not models.Role.LEADER or progress is None:
        return
    if message.term != table.vote.term:
        return
    progress.acked_round = max(progress.acked_round, message.round_id)
    progress.last_response_at_ms = now_ms
    lease.renew(table)
    if message.success:
        progress.entries_paused_until_ms = 0.0
        progress.match_index = max(progress.match_index, message.match_index)
        progress.next_index = progress.match_index + 1
        advance_commit(table, now_ms)
    else:
        hint = min(progress.next_index - 1, message.match_index + 1)
        progress.next_index = max(progress.match_index + 1, hint)
    if progress.next_index <= log.last_index(table):
        _send_append(table, sender_id, now_ms)
