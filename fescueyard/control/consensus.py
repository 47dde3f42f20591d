"""Agreement on the log by majority: elections, replication and commitment.

No socket, disk or clock is used here. The caller hands in each message and the
present time, saves what :func:`take_unsaved` returns, calls :func:`saved`, and
only then sends the messages in ``outbox``.
"""

import dataclasses
import functools
import random

from fescueyard.control import messages
from fescueyard.control import models
from fescueyard.core import exceptions
from fescueyard.core import wire

HEARTBEAT_MS = 100
ELECTION_TIMEOUT_MIN_MS = 500
ELECTION_TIMEOUT_MAX_MS = 900
# Shorter than the shortest election timeout, so that the lease ends before
# another member can be elected.
LEASE_MS = 400
ENTRIES_PER_MESSAGE_MAX = 256
SNAPSHOT_RESEND_MS = 2_000
VOTERS_MAX = 5


@dataclasses.dataclass
class Progress:
    """What the leader knows of another member.

    :param next_index: next entry to send.
    :param match_index: last entry known to be saved there.
    :param acked_round: latest round it answered.
    :param busy_until_ms: no further entries are sent before this.
    """

    next_index: int
    match_index: int = 0
    acked_round: int = 0
    busy_until_ms: float = 0.0


@dataclasses.dataclass
class Outgoing:
    """A message to another member."""

    member_id: str
    message: object


@dataclasses.dataclass
class Unsaved:
    """What has to be on disk before the outbox may be sent.

    :param vote: the vote, when it changed.
    :param snapshot: the snapshot, when a new one replaces the log.
    :param truncate_after: index after which the saved log is cut, or None.
    :param entries: entries to append.
    """

    vote: models.Vote | None
    snapshot: models.Snapshot | None
    truncate_after: int | None
    entries: list[models.LogEntry]


@dataclasses.dataclass
class ConsensusTable:
    """State of one member.

    :param member_id: this member.
    :param vote: term and vote.
    :param snapshot: latest snapshot.
    :param entries: log entries after the snapshot.
    """

    member_id: str
    vote: models.Vote
    snapshot: models.Snapshot
    entries: list[models.LogEntry]
    random: random.Random
    members: list[models.Member] = dataclasses.field(default_factory=list)
    role: models.Role = models.Role.FOLLOWER
    leader_id: str = ""
    commit_index: int = 0
    saved_index: int = 0
    heard_leader_at_ms: float = 0.0
    election_due_ms: float = 0.0
    heartbeat_due_ms: float = 0.0
    votes: set[str] = dataclasses.field(default_factory=set)
    progress: dict[str, Progress] = dataclasses.field(default_factory=dict)
    round_id: int = 0
    round_sent_at_ms: dict[int, float] = dataclasses.field(
        default_factory=dict
    )
    confirmed_at_ms: float | None = None
    leading_since_ms: float = 0.0
    term_start_index: int = 0
    handing_over_at_ms: float | None = None
    outbox: list[Outgoing] = dataclasses.field(default_factory=list)
    vote_changed: bool = False
    snapshot_changed: bool = False
    truncate_after: int | None = None


def new_table(member_id, vote, snapshot, entries, seed, now_ms):
    """Make the table of a member from what its disk holds.

    :param member_id: identity of the data folder.
    :param vote: saved :class:`~fescueyard.control.models.Vote`.
    :param snapshot: saved :class:`~fescueyard.control.models.Snapshot`.
    :param entries: saved entries after the snapshot.
    :param seed: seed of the election timeouts.
    :param now_ms: the present time.
    :returns: :class:`ConsensusTable`.
    """
    table = ConsensusTable(
        member_id, vote, snapshot, entries, random.Random(seed)
    )
    table.commit_index = snapshot.index
    table.saved_index = last_index(table)
    # A vote given just before the restart may still back a leader's lease.
    table.heard_leader_at_ms = now_ms
    _refresh_members(table)
    _schedule_election(table, now_ms)
    return table


def last_index(table):
    """Find the last entry of the log.

    :returns: its index.
    """
    return table.snapshot.index + len(table.entries)


def term_at(table, index):
    """Find the term of an entry.

    :param index: the entry's index.
    :returns: the term, or None when the log does not hold the entry.
    """
    if index == table.snapshot.index:
        return table.snapshot.term
    position = index - table.snapshot.index - 1
    if 0 <= position < len(table.entries):
        return table.entries[position].term
    return None


def entry_at(table, index):
    """Find an entry after the snapshot.

    :returns: the entry.
    """
    return table.entries[index - table.snapshot.index - 1]


def is_leader(table):
    """Say whether this member leads and has not begun to hand over.

    :returns: bool.
    """
    leads = table.role is models.Role.LEADER
    return leads and table.handing_over_at_ms is None


def confirmed_age_ms(table, now_ms):
    """Say how long ago a majority confirmed this leader.

    :returns: age in ms; infinite when this member is no confirmed leader,
        or has not yet committed an entry of its own term.
    """
    if not is_leader(table) or table.confirmed_at_ms is None:
        return float("inf")
    if table.commit_index < table.term_start_index:
        return float("inf")
    return now_ms - table.confirmed_at_ms


def holds_lease(table, now_ms):
    """Say whether no other member can have been elected yet.

    :returns: bool.
    """
    return confirmed_age_ms(table, now_ms) < LEASE_MS


def find_member(table, member_id):
    """Look up a member.

    :returns: :class:`~fescueyard.control.models.Member` or None.
    """
    for member in table.members:
        if member.member_id == member_id:
            return member
    return None


def propose(table, kind, payload, now_ms):
    """Append an entry as the leader.

    :param kind: kind of entry.
    :param payload: its payload.
    :param now_ms: the present time.
    :returns: the entry's index, or None when this member does not lead.
    """
    if not is_leader(table):
        return None
    index = last_index(table) + 1
    entry = models.LogEntry(index, table.vote.term, kind, payload)
    table.entries.append(entry)
    if kind == models.MEMBERS_ENTRY:
        _refresh_members(table)
        _track_progress(table)
    _send_entries(table, now_ms)
    return index


def may_change_members(table):
    """Say whether a change of the members may start.

    One change at a time, and only after the leader committed an entry of its
    own term: otherwise two leaders could count different majorities.

    :returns: bool.
    """
    if not is_leader(table):
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

    :param members: list of members that differs by one from the present.
    :returns: the entry's index, or None when it may not start now.
    """
    if not may_change_members(table):
        return None
    payload = wire.encode_plain(models.MembersRecord(members))
    return propose(table, models.MEMBERS_ENTRY, payload, now_ms)


def tick(table, now_ms):
    """Run what is due: heartbeats, promotion, stepping down, elections.

    :param now_ms: the present time.
    """
    if table.role is models.Role.LEADER:
        _tick_leader(table, now_ms)
    elif now_ms >= table.election_due_ms:
        _schedule_election(table, now_ms)
        if _is_voter(table, table.member_id):
            _start_pre_vote(table, now_ms)


def hand_over(table, now_ms):
    """Offer the leadership to the member that is furthest ahead.

    The lease ends at once, since the next election won't wait for it.

    :returns: whether there was a voter to offer it to.
    """
    if table.role is not models.Role.LEADER:
        return False
    best_id = None
    for member in table.members:
        if not member.voter or member.member_id == table.member_id:
            continue
        matched = table.progress[member.member_id].match_index
        if best_id is None or matched > table.progress[best_id].match_index:
            best_id = member.member_id
    if best_id is None:
        return False
    table.handing_over_at_ms = now_ms
    _send(table, best_id, messages.LeadershipOffer(table.vote.term))
    return True


def take_unsaved(table):
    """Collect what must be saved before the outbox is sent.

    :returns: :class:`Unsaved`, or None when the disk is up to date.
    """
    entries = []
    if last_index(table) > table.saved_index:
        start = max(0, table.saved_index - table.snapshot.index)
        entries = table.entries[start:]
    changed = table.vote_changed or table.snapshot_changed
    if not changed and not entries and table.truncate_after is None:
        return None
    return Unsaved(
        table.vote if table.vote_changed else None,
        table.snapshot if table.snapshot_changed else None,
        table.truncate_after,
        entries,
    )


def saved(table, now_ms):
    """Note that everything is on disk; the leader's own copy counts now."""
    table.vote_changed = False
    table.snapshot_changed = False
    table.truncate_after = None
    table.saved_index = last_index(table)
    if table.role is models.Role.LEADER:
        _advance_commit(table, now_ms)


def compact(table, state):
    """Replace the committed log by a snapshot of the applied state.

    :param state: the state after the entry at ``commit_index``, encoded.
    """
    index = table.commit_index
    members = _members_at(table, index)
    snapshot = models.Snapshot(index, term_at(table, index), members, state)
    table.entries = table.entries[index - table.snapshot.index :]
    table.snapshot = snapshot
    table.snapshot_changed = True


@functools.singledispatch
def receive(message, table, sender_id, now_ms):
    """Take in a message of another member.

    :param message: the message.
    :param table: :class:`ConsensusTable`.
    :param sender_id: member that sent it, as authenticated.
    :param now_ms: the present time.
    :raises StreamError: when the message is not for this module.
    """
    raise exceptions.StreamError(
        f"{type(message).__name__} is not for a control process"
    )


@receive.register
def _receive_vote_ask(message: messages.VoteAsk, table, sender_id, now_ms):
    if not message.transfer and _hears_leader(table, now_ms):
        return
    if not message.pre_vote:
        _see_term(table, message.term, now_ms)
    granted = _would_vote(table, message, sender_id)
    if granted and not message.pre_vote:
        table.vote = models.Vote(table.vote.term, sender_id)
        table.vote_changed = True
        _schedule_election(table, now_ms)
    term = message.term if granted else table.vote.term
    answer = messages.VoteAnswer(term, message.pre_vote, granted)
    _send(table, sender_id, answer)


@receive.register
def _receive_vote_answer(
    message: messages.VoteAnswer, table, sender_id, now_ms
):
    if not message.granted:
        _see_term(table, message.term, now_ms)
        return
    if not _is_voter(table, sender_id):
        return
    if message.pre_vote:
        if table.role is not models.Role.PRE_CANDIDATE:
            return
        if message.term != table.vote.term + 1:
            return
        table.votes.add(sender_id)
        if _is_majority(table, table.votes):
            _start_election(table, now_ms, transfer=False)
        return
    if table.role is not models.Role.CANDIDATE:
        return
    if message.term != table.vote.term:
        return
    table.votes.add(sender_id)
    if _is_majority(table, table.votes):
        _become_leader(table, now_ms)


@receive.register
def _receive_append_ask(message: messages.AppendAsk, table, sender_id, now_ms):
    if not _follow(table, message.term, sender_id, now_ms):
        answer = messages.AppendAnswer(
            table.vote.term, message.round_id, False, 0
        )
        _send(table, sender_id, answer)
        return
    matched = _append_entries(table, message)
    if matched is None:
        hint = min(last_index(table), message.previous_index - 1)
        hint = max(hint, table.commit_index)
        answer = messages.AppendAnswer(
            table.vote.term, message.round_id, False, hint
        )
    else:
        table.commit_index = max(
            table.commit_index, min(message.commit_index, matched)
        )
        answer = messages.AppendAnswer(
            table.vote.term, message.round_id, True, matched
        )
    _send(table, sender_id, answer)


@receive.register
def _receive_snapshot_ask(
    message: messages.SnapshotAsk, table, sender_id, now_ms
):
    if not _follow(table, message.term, sender_id, now_ms):
        return
    snapshot = message.snapshot
    if snapshot.index > table.commit_index:
        if term_at(table, snapshot.index) == snapshot.term:
            kept = snapshot.index - table.snapshot.index
            table.entries = table.entries[kept:]
            table.saved_index = max(table.saved_index, snapshot.index)
        else:
            # Entries below the snapshot stay on disk until it is saved.
            _truncate(table, snapshot.index - 1)
            table.entries = []
            table.saved_index = snapshot.index
        table.snapshot = snapshot
        table.snapshot_changed = True
        table.commit_index = snapshot.index
        _refresh_members(table)
    answer = messages.AppendAnswer(
        table.vote.term, message.round_id, True, table.commit_index
    )
    _send(table, sender_id, answer)


@receive.register
def _receive_append_answer(
    message: messages.AppendAnswer, table, sender_id, now_ms
):
    _see_term(table, message.term, now_ms)
    progress = table.progress.get(sender_id)
    if table.role is not models.Role.LEADER or progress is None:
        return
    if message.term != table.vote.term:
        return
    progress.acked_round = max(progress.acked_round, message.round_id)
    _confirm(table)
    if message.success:
        progress.busy_until_ms = 0.0
        progress.match_index = max(progress.match_index, message.match_index)
        progress.next_index = progress.match_index + 1
        _advance_commit(table, now_ms)
    else:
        hint = min(progress.next_index - 1, message.match_index + 1)
        progress.next_index = max(progress.match_index + 1, hint)
    if progress.next_index <= last_index(table):
        _send_append(table, sender_id, now_ms)


@receive.register
def _receive_leadership_offer(
    message: messages.LeadershipOffer, table, sender_id, now_ms
):
    if message.term != table.vote.term or sender_id != table.leader_id:
        return
    if _is_voter(table, table.member_id):
        _start_election(table, now_ms, transfer=True)


def _hears_leader(table, now_ms):
    if table.role is models.Role.LEADER:
        return table.handing_over_at_ms is None
    return now_ms - table.heard_leader_at_ms < ELECTION_TIMEOUT_MIN_MS


def _would_vote(table, message, sender_id):
    if message.term < table.vote.term:
        return False
    if message.pre_vote:
        if message.term == table.vote.term:
            return False
    elif table.vote.voted_for not in ("", sender_id):
        return False
    own = (term_at(table, last_index(table)), last_index(table))
    return (message.last_term, message.last_index) >= own


def _see_term(table, term, now_ms):
    if term <= table.vote.term:
        return
    table.vote = models.Vote(term, "")
    table.vote_changed = True
    _become_follower(table, now_ms)


def _become_follower(table, now_ms):
    if table.role is models.Role.LEADER:
        table.leader_id = ""
        _schedule_election(table, now_ms)
    table.role = models.Role.FOLLOWER
    table.handing_over_at_ms = None
    table.confirmed_at_ms = None
    table.round_sent_at_ms.clear()
    table.progress.clear()
    table.votes.clear()


def _follow(table, term, sender_id, now_ms):
    if term < table.vote.term:
        return False
    _see_term(table, term, now_ms)
    if table.role is not models.Role.FOLLOWER:
        _become_follower(table, now_ms)
    table.leader_id = sender_id
    table.heard_leader_at_ms = now_ms
    _schedule_election(table, now_ms)
    return True


def _append_entries(table, message):
    """Append what is new and cut what conflicts.

    :returns: last index that matches the leader's log, or None.
    """
    previous = message.previous_index
    if previous > table.snapshot.index:
        if term_at(table, previous) != message.previous_term:
            return None
    members_changed = False
    for entry in message.entries:
        if entry.index <= table.snapshot.index:
            continue
        known_term = term_at(table, entry.index)
        if known_term == entry.term:
            continue
        if known_term is not None:
            _truncate(table, entry.index - 1)
            members_changed = True
        table.entries.append(entry)
        if entry.kind == models.MEMBERS_ENTRY:
            members_changed = True
    if members_changed:
        _refresh_members(table)
    return previous + len(message.entries)


def _truncate(table, index):
    table.entries = table.entries[: index - table.snapshot.index]
    if index < table.saved_index:
        table.saved_index = index
        table.truncate_after = index


def _members_at(table, index):
    members = table.snapshot.members
    for entry in table.entries:
        if entry.index > index:
            break
        if entry.kind == models.MEMBERS_ENTRY:
            record = wire.decode_plain(models.MembersRecord, entry.payload)
            members = record.members
    return members


def _refresh_members(table):
    table.members = _members_at(table, last_index(table))


def _is_voter(table, member_id):
    member = find_member(table, member_id)
    return member is not None and member.voter


def _is_majority(table, member_ids):
    voters = [member for member in table.members if member.voter]
    counted = 0
    for voter in voters:
        if voter.member_id in member_ids:
            counted += 1
    return counted * 2 > len(voters)


def _schedule_election(table, now_ms):
    table.election_due_ms = now_ms + table.random.uniform(
        ELECTION_TIMEOUT_MIN_MS, ELECTION_TIMEOUT_MAX_MS
    )


def _start_pre_vote(table, now_ms):
    table.role = models.Role.PRE_CANDIDATE
    table.leader_id = ""
    table.votes = {table.member_id}
    if _is_majority(table, table.votes):
        _start_election(table, now_ms, transfer=False)
        return
    _ask_votes(table, table.vote.term + 1, pre_vote=True, transfer=False)


def _start_election(table, now_ms, transfer):
    table.role = models.Role.CANDIDATE
    table.leader_id = ""
    table.vote = models.Vote(table.vote.term + 1, table.member_id)
    table.vote_changed = True
    table.votes = {table.member_id}
    _schedule_election(table, now_ms)
    if _is_majority(table, table.votes):
        _become_leader(table, now_ms)
        return
    _ask_votes(table, table.vote.term, pre_vote=False, transfer=transfer)


def _ask_votes(table, term, pre_vote, transfer):
    index = last_index(table)
    for member in table.members:
        if member.voter and member.member_id != table.member_id:
            ask = messages.VoteAsk(
                term, index, term_at(table, index), pre_vote, transfer
            )
            _send(table, member.member_id, ask)


def _become_leader(table, now_ms):
    table.role = models.Role.LEADER
    table.leader_id = table.member_id
    table.handing_over_at_ms = None
    table.confirmed_at_ms = None
    table.round_sent_at_ms.clear()
    table.progress.clear()
    table.leading_since_ms = now_ms
    table.term_start_index = last_index(table) + 1
    _track_progress(table)
    propose(table, models.EMPTY_ENTRY, b"", now_ms)


def _track_progress(table):
    for member in table.members:
        if member.member_id != table.member_id:
            table.progress.setdefault(
                member.member_id, Progress(last_index(table))
            )
    known = {member.member_id for member in table.members}
    for member_id in list(table.progress):
        if member_id not in known:
            del table.progress[member_id]


def _tick_leader(table, now_ms):
    since_ms = table.confirmed_at_ms
    if since_ms is None:
        since_ms = table.leading_since_ms
    if table.handing_over_at_ms is not None:
        # The offer may still be under way, so the lease can't come back in
        # this term.
        since_ms = table.handing_over_at_ms
    if now_ms - since_ms > ELECTION_TIMEOUT_MIN_MS:
        _become_follower(table, now_ms)
        return
    if now_ms >= table.heartbeat_due_ms:
        _send_entries(table, now_ms, heartbeat=True)
    _promote_learner(table, now_ms)


def _promote_learner(table, now_ms):
    """Give a learner that has caught up a vote, while voters are wanted.

    Learners beyond that stay what they are: they answer pulls, and one takes
    the place of a voter that is removed.
    """
    if sum(member.voter for member in table.members) >= VOTERS_MAX:
        return
    for member in table.members:
        if member.voter:
            continue
        progress = table.progress.get(member.member_id)
        caught_up = progress and progress.match_index >= table.commit_index
        if caught_up and may_change_members(table):
            promoted = dataclasses.replace(member, voter=True)
            members = [
                promoted if each is member else each for each in table.members
            ]
            propose_members(table, members, now_ms)
            return


def _send_entries(table, now_ms, heartbeat=False):
    table.round_id += 1
    table.round_sent_at_ms[table.round_id] = now_ms
    table.heartbeat_due_ms = now_ms + HEARTBEAT_MS
    for member_id in table.progress:
        if heartbeat or now_ms >= table.progress[member_id].busy_until_ms:
            _send_append(table, member_id, now_ms)
    _confirm(table)


def _send_append(table, member_id, now_ms):
    progress = table.progress[member_id]
    busy = now_ms < progress.busy_until_ms
    previous = progress.next_index - 1
    if previous < table.snapshot.index:
        if not busy:
            progress.busy_until_ms = now_ms + SNAPSHOT_RESEND_MS
            ask = messages.SnapshotAsk(
                table.vote.term, table.round_id, table.snapshot
            )
            _send(table, member_id, ask)
            return
        previous = table.snapshot.index
    entries = []
    if not busy:
        start = previous - table.snapshot.index
        entries = table.entries[start : start + ENTRIES_PER_MESSAGE_MAX]
    if entries:
        progress.busy_until_ms = now_ms + HEARTBEAT_MS
    ask = messages.AppendAsk(
        table.vote.term,
        table.round_id,
        previous,
        term_at(table, previous),
        table.commit_index,
        entries,
    )
    _send(table, member_id, ask)


def _confirm(table):
    """Renew the lease from the latest round that a majority answered."""
    confirmed = 0
    rounds = {progress.acked_round for progress in table.progress.values()}
    rounds.add(table.round_id)
    for round_id in sorted(rounds, reverse=True):
        answered = {table.member_id}
        for member_id, progress in table.progress.items():
            if progress.acked_round >= round_id:
                answered.add(member_id)
        if _is_majority(table, answered):
            confirmed = round_id
            break
    sent_at_ms = table.round_sent_at_ms.get(confirmed)
    if sent_at_ms is None:
        return
    if table.confirmed_at_ms is None or sent_at_ms > table.confirmed_at_ms:
        table.confirmed_at_ms = sent_at_ms
    for round_id in [r for r in table.round_sent_at_ms if r < confirmed]:
        del table.round_sent_at_ms[round_id]


def _advance_commit(table, now_ms):
    for index in range(last_index(table), table.commit_index, -1):
        if term_at(table, index) != table.vote.term:
            return
        holders = set()
        if table.saved_index >= index:
            holders.add(table.member_id)
        for member_id, progress in table.progress.items():
            if progress.match_index >= index:
                holders.add(member_id)
        if _is_majority(table, holders):
            table.commit_index = index
            _send_entries(table, now_ms)
            if not _is_voter(table, table.member_id):
                _become_follower(table, now_ms)
            return


def _send(table, member_id, message):
    table.outbox.append(Outgoing(member_id, message))
