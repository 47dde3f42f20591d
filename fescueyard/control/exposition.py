"""The metrics of a control process."""

from fescueyard.configuration import state as states
from fescueyard.consensus import lease
from fescueyard.control import systems
from fescueyard.core import exposition
from fescueyard.limits import fallback_leases
from fescueyard.routing import traffic


def samples(tables, now_ms):
    """Return the metrics of a control process.

    :param tables: the control process's tables.
    :param now_ms: the present time.
    :returns: list of sample lines.
    """
    consensus_table = tables.consensus
    values = {
        "control_leads": int(lease.holds_lease(consensus_table, now_ms)),
        "control_term": consensus_table.vote.term,
        "control_commit_index": consensus_table.commit_index,
        "control_applied_index": tables.applied_index,
        "control_members": len(consensus_table.members),
        "control_voters": sum(
            member.voter for member in consensus_table.members
        ),
        "control_document": tables.state.applied_document.number,
        "control_zones_evacuated": len(states.evacuated_zones(tables.state)),
        "control_age_ms": systems.state_age_ms(tables, now_ms),
        "tokens_granted_total": tables.fleet_grantor.granted_count,
        "rate_holders_silent": len(
            fallback_leases.silent_holders(tables.fleet_grantor, now_ms)
        ),
        "members_alive": tables.members.nodes_alive,
    }
    lines = [exposition.sample(name, value) for name, value in values.items()]
    return lines + traffic.samples(tables.traffic)
