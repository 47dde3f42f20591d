"""The control leader's care for the claim groups.

Each group has three replicas in different availability zones. One replica
changes at a time, and only while all that stay are synchronised at the present
epoch. A group that has lost its majority starts afresh only after every claim
it may have granted has been forgotten.
"""

import hashlib
import json

from fescueyard.configuration import models as configuration_models
from fescueyard.configuration import state as states
from fescueyard.core import effects
from fescueyard.idempotency import messages
from fescueyard.idempotency import models
from fescueyard.idempotency import replica
from fescueyard.routing import membership
from fescueyard.routing import models as routing_models

INTERVAL_MS = 500
GONE_MS = 2_000
OPERATOR = "control"


def changes_due(tables, now_ms):
    """Find the changes of claim groups that are due.

    :param tables: the control process's tables; it leads.
    :param now_ms: the present time.
    :returns: list of :class:`~fescueyard.configuration.state.Change`.
    """
    table = tables.assignment
    if now_ms < table.due_ms:
        return []
    table.due_ms = now_ms + INTERVAL_MS
    usable = _usable_nodes(tables, now_ms)
    changes = []
    asked = set()
    for number in range(models.CLAIM_GROUPS):
        wanted = _wanted(tables, number, usable, now_ms)
        if wanted is not None:
            changes.append(_change(tables, number, wanted))
            continue
        asked.update(_unsynced(tables, number))
    for node_id in asked:
        member = tables.members.rows.get(node_id)
        if member is not None:
            tables.effects.append(
                effects.SendMessage(member.address, messages.StatusAsk())
            )
    return changes


def note_status(tables, node_id, synced):
    """Take in which groups a replica is synchronised in.

    :param tables: the control process's tables.
    :param node_id: the replica.
    :param synced: list of
        :class:`~fescueyard.idempotency.messages.GroupEpoch`.
    """
    for row in synced:
        tables.assignment.synced_epochs[row.group, node_id] = row.epoch


def _usable_nodes(tables, now_ms):
    """Find the nodes that may be replicas; a short silence is forgiven."""
    gone_since_ms = tables.assignment.gone_since_ms
    usable = {}
    for node_id, member in tables.members.rows.items():
        if member.role != routing_models.NODE_ROLE:
            continue
        alive = membership.is_alive(tables.members, node_id)
        if alive and not member.leaving:
            gone_since_ms.pop(node_id, None)
            usable[node_id] = member
            continue
        since_ms = gone_since_ms.setdefault(node_id, now_ms)
        if alive and member.leaving:
            continue
        if now_ms - since_ms < GONE_MS:
            usable[node_id] = member
    return usable


def _wanted(tables, number, usable, now_ms):
    """Find the next replicas of a group, or None when nothing is to do."""
    state = tables.state
    kind = configuration_models.Kind.CLAIM_GROUP
    group = state.find(kind, str(number))
    if group is None:
        first = _ranked(number, usable, [])[:1]
        if not first:
            return None
        return configuration_models.ClaimGroup(first, [1], 1, 1)
    if not _has_majority(tables, group):
        return _restart(tables, number, group, usable, now_ms)
    tables.assignment.lost_since_ms.pop(number, None)
    leaving = _to_replace(group, usable)
    if leaving is None and len(group.replicas) >= models.REPLICAS:
        return None
    kept = [row for row in group.replicas if row != leaving]
    candidates = _ranked(number, usable, group.replicas)
    if not candidates or not _all_synced(tables, number, kept):
        return None
    zones = {usable[row].zone for row in kept if row in usable}
    newcomer = _best_zone(candidates, usable, zones)
    joined = [group.joined[group.replicas.index(row)] for row in kept]
    generation = group.generation + 1
    return configuration_models.ClaimGroup(
        kept + [newcomer],
        joined + [generation],
        generation,
        group.fresh_generation,
    )


def _has_majority(tables, group):
    alive = [
        node_id
        for node_id in group.replicas
        if membership.is_alive(tables.members, node_id)
    ]
    return len(alive) * 2 > len(group.replicas)


def _to_replace(group, usable):
    """Choose the replica to replace: one that is gone, or a second of a zone.

    Among several, one at a time is replaced.
    """
    for node_id in group.replicas:
        if node_id not in usable:
            return node_id
    zones = [usable[node_id].zone for node_id in group.replicas]
    spare_zones = {member.zone for member in usable.values()} - set(zones)
    if len(group.replicas) < models.REPLICAS or not spare_zones:
        return None
    for node_id in reversed(group.replicas):
        if zones.count(usable[node_id].zone) > 1:
            return node_id
    return None


def _restart(tables, number, group, usable, now_ms):
    """Start a group afresh once its old claims can't count any more."""
    table = tables.assignment
    since_ms = table.lost_since_ms.setdefault(number, now_ms)
    if now_ms - since_ms < replica.retention_max_ms(tables.state):
        return None
    first = _ranked(number, usable, [])[:1]
    if not first:
        return None
    generation = group.generation + 1
    return configuration_models.ClaimGroup(
        first, [generation], generation, generation
    )


def _ranked(number, usable, taken):
    """Rank the nodes that are not taken, by hash and so the same each time."""

    def rank(node_id):
        text = f"{number}/{node_id}".encode()
        return hashlib.blake2b(text, digest_size=8).digest()

    return sorted(
        (node_id for node_id in usable if node_id not in taken), key=rank
    )


def _best_zone(candidates, usable, zones):
    for node_id in candidates:
        if usable[node_id].zone not in zones:
            return node_id
    return candidates[0]


def _all_synced(tables, number, node_ids):
    kind = configuration_models.Kind.CLAIM_GROUP
    epoch = tables.state.version_of(kind, str(number))
    synced = tables.assignment.synced_epochs
    return all(synced.get((number, node_id)) == epoch for node_id in node_ids)


def _unsynced(tables, number):
    """Find the replicas of a group that have not said to be synchronised."""
    kind = configuration_models.Kind.CLAIM_GROUP
    group = tables.state.find(kind, str(number))
    if group is None:
        return []
    return [
        node_id
        for node_id in group.replicas
        if not _all_synced(tables, number, [node_id])
    ]


def _change(tables, number, group):
    table = tables.assignment
    table.last_change += 1
    kind = configuration_models.Kind.CLAIM_GROUP
    term = tables.consensus.vote.term
    return states.Change(
        f"claims-{number}-{term}-{table.last_change}",
        OPERATOR,
        kind.value,
        str(number),
        tables.state.version_of(kind, str(number)),
        json.dumps(
            {
                "replicas": group.replicas,
                "joined": group.joined,
                "generation": group.generation,
                "fresh_generation": group.fresh_generation,
            }
        ).encode(),
    )
