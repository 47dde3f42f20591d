"""The replicated log of one member, saved and unsaved entries."""

from fescueyard.consensus import models
from fescueyard.core import wire


def last_index(table):
    """Return the index of the last entry.

    :returns: index; that of the snapshot when the log is empty.
    """
    return table.snapshot.index + len(table.entries)


def term_at(table, index):
    """Return the term of an entry.

    :param index: the entry's index.
    :returns: the term, or None when the log does not contain the entry.
    """
    if index == table.snapshot.index:
        return table.snapshot.term
    position = index - table.snapshot.index - 1
    if 0 <= position < len(table.entries):
        return table.entries[position].term
    return None


def entry_at(table, index):
    """Return an entry that is not covered by the snapshot.

    :param index: the entry's index.
    :returns: :class:`models.LogEntry`.
    """
    return table.entries[index - table.snapshot.index - 1]


def find_member(table, member_id):
    """Look up a member.

    :returns: :class:`~fescueyard.consensus.models.Member` or None.
    """
    for member in table.members:
        if member.member_id == member_id:
            return member
    return None


def is_voter(table, member_id):
    """Return whether a member is a voter.

    :returns: bool.
    """
    member = find_member(table, member_id)
    return member is not None and member.voter


def is_majority(table, member_ids):
    """Return whether a set of members contains a majority of the voters.

    :param member_ids: ids of the members.
    :returns: bool.
    """
    voters = [member for member in table.members if member.voter]
    vote_count = 0
    for voter in voters:
        if voter.member_id in member_ids:
            vote_count += 1
    return vote_count * 2 > len(voters)


def members_at(table, index):
    """Return the members as of an entry.

    :param index: the entry's index.
    :returns: list of :class:`~fescueyard.consensus.models.Member`.
    """
    members = table.snapshot.members
    for entry in table.entries:
        if entry.index > index:
            break
        if entry.kind == models.MEMBERS_ENTRY:
            record = wire.decode_plain(models.MembersRecord, entry.payload)
            members = record.members
    return members


def refresh_members(table):
    """Update the members from the latest membership entry in the log.

    The entry counts from when it is appended, committed or not.
    """
    table.members = members_at(table, last_index(table))


def truncate(table, index):
    """Remove all entries after an index.

    :param index: last entry kept.
    """
    table.entries = table.entries[: index - table.snapshot.index]
    if index < table.saved_index:
        table.saved_index = index
        table.truncate_after = index


def unsaved_changes(table):
    """Return what has to be saved before the outbox is sent.

    :returns: :class:`models.UnsavedChanges`, or None when all is saved.
    """
    entries = []
    if last_index(table) > table.saved_index:
        start = max(0, table.saved_index - table.snapshot.index)
        entries = table.entries[start:]
    changed = table.vote_changed or table.snapshot_changed
    if not changed and not entries and table.truncate_after is None:
        return None
    return models.UnsavedChanges(
        table.vote if table.vote_changed else None,
        table.snapshot if table.snapshot_changed else None,
        table.truncate_after,
        entries,
    )


def compact(table, state):
    """Replace the committed entries by a snapshot of the applied state.

    :param state: the state after the entry at ``commit_index``, encoded.
    """
    index = table.commit_index
    members = members_at(table, index)
    snapshot = models.Snapshot(index, term_at(table, index), members, state)
    table.entries = table.entries[index - table.snapshot.index :]
    table.snapshot = snapshot
    table.snapshot_changed = True


def enqueue_message(table, member_id, message):
    """Add a message to the outbox.

    :param member_id: the receiving member.
    :param message: the message.
    """
    table.outbox.append(models.OutgoingMessage(member_id, message))
