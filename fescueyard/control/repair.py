"""Automatic repair of the control membership by the leader.

Failures covered: control VMs are lost permanently, return with empty disks, or
are replaced at another address; a second VM may fail while the first repair is
still in progress. Members change one at a time. A voter that stays silent, or
whose address a process with another disk uses, is removed only while a learner
that has caught up can take its vote and a majority of the remaining voters
responds.
"""

from fescueyard.consensus import lease
from fescueyard.consensus import log
from fescueyard.consensus import replication
from fescueyard.core import logs

LOG = logs.ComponentLogger("repair")

CHECK_INTERVAL_MS = 100
VOTER_SILENCE_MAX_MS = 2_500
LEARNER_SILENCE_MAX_MS = 10_000


def tick(tables, now_ms):
    """Propose the membership change that is due, if any.

    :param tables: the control process's tables.
    :param now_ms: the present time.
    """
    if not tables.policy.repairs_members or now_ms < tables.repair_due_ms:
        return
    tables.repair_due_ms = now_ms + CHECK_INTERVAL_MS
    consensus_table = tables.consensus
    if not lease.holds_lease(consensus_table, now_ms):
        return
    if not replication.may_change_members(consensus_table):
        return
    members = _add_applicant(tables) or _remove_lost_member(tables, now_ms)
    if members is not None:
        replication.propose_members(consensus_table, members, now_ms)


def _add_applicant(tables):
    """Return the members with one applicant added as a learner, or None."""
    consensus_table = tables.consensus
    for applicant in tables.applicants.values():
        member = applicant.member
        if log.find_member(consensus_table, member.member_id) is None:
            LOG.info(
                "learner_admitted",
                member=member.member_id,
                address=member.address,
            )
            return consensus_table.members + [member]
    return None


def _remove_lost_member(tables, now_ms):
    """Return the members without one that is lost, or None."""
    consensus_table = tables.consensus
    for member in consensus_table.members:
        if member.member_id == consensus_table.member_id:
            continue
        silent_ms = _silent_ms(consensus_table, member, now_ms)
        address_reused = _address_is_reused(
            consensus_table, member, silent_ms, now_ms
        )
        silence_max_ms = (
            VOTER_SILENCE_MAX_MS if member.voter else LEARNER_SILENCE_MAX_MS
        )
        if not address_reused and silent_ms <= silence_max_ms:
            continue
        if member.voter and not _can_remove_voter(
            consensus_table, member, now_ms
        ):
            continue
        LOG.info(
            "member_removed",
            member=member.member_id,
            address=member.address,
            voter=member.voter,
            silent_ms=round(silent_ms),
            address_taken=address_reused,
        )
        return [
            other for other in consensus_table.members if other is not member
        ]
    return None


def _silent_ms(consensus_table, member, now_ms):
    progress = consensus_table.progress.get(member.member_id)
    return 0.0 if progress is None else now_ms - progress.last_response_at_ms


def _address_is_reused(consensus_table, member, silent_ms, now_ms):
    """Return whether a process with another disk uses a member's address."""
    for other in consensus_table.members:
        if other is member or other.address != member.address:
            continue
        if _silent_ms(consensus_table, other, now_ms) < silent_ms:
            return True
    return False


def _can_remove_voter(consensus_table, member, now_ms):
    """Return whether a voter can be removed safely.

    A learner has to be ready to replace it, and a majority of the remaining
    voters has to respond.
    """
    responding_voters = 1
    remaining_voters = 1
    has_successor = False
    for other in consensus_table.members:
        if other is member or other.member_id == consensus_table.member_id:
            continue
        caught_up = replication.has_caught_up(consensus_table, other, now_ms)
        if other.voter:
            remaining_voters += 1
            responding_voters += caught_up
        elif caught_up:
            has_successor = True
    return has_successor and responding_voters * 2 > remaining_voters
