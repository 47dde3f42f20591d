"""Quarantine of requests that crash backend servers.

When its backend server crashes, a node records the fingerprints of the
requests that were running and reports them to the fleet. A request that ran
during as many crashes as the profile allows is rejected on every node for a
while.
"""

import dataclasses

from fescueyard.core import dispatch
from fescueyard.core import effects
from fescueyard.core import wire
from fescueyard.routing import membership

CRASH_GOSSIP_FANOUT = 3
CRASH_GOSSIP_HOPS = 5
SUSPECTS_MAX = 4_096
DIRECT_REPORTS_MAX = 16


@wire.message(55)
@dataclasses.dataclass(slots=True)
class CrashReport:
    """A backend server crashed while it ran a request.

    :param crash_id: id of the crash; each counts once.
    :param fingerprint: digest of the request.
    :param hops_left: how many more hops it is forwarded.
    """

    crash_id: str
    fingerprint: bytes
    hops_left: int


@dataclasses.dataclass(slots=True)
class Suspect:
    """The crashes during which a request was running."""

    crash_ids: set[str]
    last_crash_at_ms: float


@dataclasses.dataclass
class QuarantineTable:
    """Suspects by fingerprint, the least recently reported first."""

    suspects: dict[bytes, Suspect] = dataclasses.field(default_factory=dict)
    last_crash_number: int = 0


def record_crash(tables, forward, now_ms):
    """Record that the backend server crashed during a run.

    :param tables: the node's tables.
    :param forward: the request that ran.
    :param now_ms: the present time.
    :returns: id of the crash.
    """
    table = tables.quarantine
    table.last_crash_number += 1
    crash_id = f"{tables.process_id}/{table.last_crash_number}"
    report = CrashReport(crash_id, forward.fingerprint, CRASH_GOSSIP_HOPS)
    _apply_report(tables, report, now_ms)
    # The report is sent at once to nodes of the same service: the caller's
    # next attempt goes to one of them.
    members = tables.members
    others = [
        node_id
        for node_id in members.by_service.get(forward.service, ())
        if node_id != members.own.node_id
    ]
    for node_id in others[:DIRECT_REPORTS_MAX]:
        _send(tables, node_id, report)
    return crash_id


def record_reported_crash(tables, fingerprint, crash_id, now_ms):
    """Record a crash that a response reported, before any retry.

    :param tables: the node's tables.
    :param fingerprint: digest of the request.
    :param crash_id: id of the crash.
    :param now_ms: the present time.
    """
    _apply_report(tables, CrashReport(crash_id, fingerprint, 0), now_ms)


def record_success(tables, fingerprint):
    """Clear the suspicion of a request that completed.

    :param tables: the node's tables.
    :param fingerprint: digest of the request.
    """
    tables.quarantine.suspects.pop(fingerprint, None)


def is_suspect(tables, fingerprint):
    """Return whether a request was running during any crash.

    :param tables: the node's tables.
    :param fingerprint: digest of the request.
    :returns: bool.
    """
    return fingerprint in tables.quarantine.suspects


def is_quarantined(tables, fingerprint, profile, now_ms):
    """Return whether a request is rejected for its crashes.

    :param tables: the node's tables.
    :param fingerprint: digest of the request.
    :param profile: profile of the service it is for.
    :param now_ms: the present time.
    :returns: bool.
    """
    suspect = tables.quarantine.suspects.get(fingerprint)
    if suspect is None:
        return False
    if now_ms - suspect.last_crash_at_ms > profile.quarantine_ms:
        del tables.quarantine.suspects[fingerprint]
        return False
    return len(suspect.crash_ids) >= profile.crash_max


@dispatch.receive.register
def _receive_report(message: CrashReport, tables, sender, now_ms):
    _apply_report(tables, message, now_ms)


def _apply_report(tables, report, now_ms):
    table = tables.quarantine
    suspect = table.suspects.pop(report.fingerprint, None)
    if suspect is None:
        suspect = Suspect(set(), now_ms)
    table.suspects[report.fingerprint] = suspect
    if len(table.suspects) > SUSPECTS_MAX:
        del table.suspects[next(iter(table.suspects))]
    if report.crash_id in suspect.crash_ids:
        return
    suspect.crash_ids.add(report.crash_id)
    suspect.last_crash_at_ms = now_ms
    if report.hops_left < 1:
        return
    forwarded = dataclasses.replace(report, hops_left=report.hops_left - 1)
    others = membership.alive_nodes(tables.members)
    count = min(CRASH_GOSSIP_FANOUT, len(others))
    for node_id in tables.random.sample(others, count):
        _send(tables, node_id, forwarded)


def _send(tables, node_id, report):
    address = tables.members.rows[node_id].address
    tables.effects.append(effects.SendDatagram(address, report))
