"""Repair of the control membership by its leader, without an operator.

Load pattern: control VMs are lost for good, come back with empty disks, or are
replaced at another address, at times a second one while the first repair is
still under way. One member changes at a time. A voter that stays silent, or
whose address another disk has taken over, is removed only while a learner
that has caught up can take its vote and the voters that remain have a
majority that answers.
"""

from fescueyard.consensus import lease
from fescueyard.consensus import log
from fescueyard.consensus import replication
from fescueyard.core import logs

LOG = logs.PartLogger("repair")

INTERVAL_MS = 100
VOTER_GONE_MS = 2_500
LEARNER_GONE_MS = 10_000


def tick(tables, now_ms):
    """Start the one change of the members that is due, if any.

    :param tables: the control process's tables.
    :param now_ms: the present time.
    """
    if not tables.policy.repairs_members or now_ms < tables.repair_due_ms:
        return
    tables.repair_due_ms = now_ms + INTERVAL_MS
    agreement = tables.consensus
    if not lease.holds_lease(agreement, now_ms):
        return
    if not replication.may_change_members(agreement):
        return
    members = _admit(tables) or _remove(tables, now_ms)
    if members is not None:
        replication.propose_members(agreement, members, now_ms)


def _admit(tables):
    """Make the list of members with one more applicant as a learner."""
    agreement = tables.consensus
    for applicant in tables.applicants.values():
        member = applicant.member
        if log.find_member(agreement, member.member_id) is None:
            LOG.info(
                "learner_admitted",
                member=member.member_id,
                address=member.address,
            )
            return agreement.members + [member]
    return None


def _remove(tables, now_ms):
    """Make the list of members without one that is gone."""
    agreement = tables.consensus
    for member in agreement.members:
        if member.member_id == agreement.member_id:
            continue
        silent_ms = _silent_ms(agreement, member, now_ms)
        taken = _address_is_taken(agreement, member, silent_ms, now_ms)
        gone_ms = VOTER_GONE_MS if member.voter else LEARNER_GONE_MS
        if not taken and silent_ms <= gone_ms:
            continue
        if member.voter and not _may_spare(agreement, member, now_ms):
            continue
        LOG.info(
            "member_removed",
            member=member.member_id,
            address=member.address,
            voter=member.voter,
            silent_ms=round(silent_ms),
            address_taken=taken,
        )
        return [row for row in agreement.members if row is not member]
    return None


def _silent_ms(agreement, member, now_ms):
    progress = agreement.progress.get(member.member_id)
    return 0.0 if progress is None else now_ms - progress.last_response_at_ms


def _address_is_taken(agreement, member, silent_ms, now_ms):
    """Say whether another disk answers at a member's address."""
    for other in agreement.members:
        if other is member or other.address != member.address:
            continue
        if _silent_ms(agreement, other, now_ms) < silent_ms:
            return True
    return False


def _may_spare(agreement, member, now_ms):
    """Say whether a voter may go.

    A successor has to wait, and a majority of the others has to answer.
    """
    answering = 1
    remaining = 1
    successor = False
    for other in agreement.members:
        if other is member or other.member_id == agreement.member_id:
            continue
        caught_up = replication.has_caught_up(agreement, other, now_ms)
        if other.voter:
            remaining += 1
            answering += caught_up
        elif caught_up:
            successor = True
    return successor and answering * 2 > remaining
