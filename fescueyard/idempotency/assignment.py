"""Assignment of replicas to claim groups by the control leader.

Each group has three replicas in different availability zones. Replicas are
replaced one at a time, and only while all remaining replicas are synchronised
at the current epoch. A group that has lost its majority is reset only after
every claim it may have granted has expired.
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

CHECK_INTERVAL_MS = 500
UNAVAILABLE_GRACE_MS = 2_000
OPERATOR_NAME = "control"


def changes_due(tables, now_ms):
    """Return the changes of claim groups that are due.

    Also requests the sync status of replicas that are not known to be
    synchronised.

    :param tables: the control process's tables; the process is the leader.
    :param now_ms: the present time.
    :returns: list of :class:`~fescueyard.configuration.state.Change`.
    """
    table = tables.assignment
    if now_ms < table.check_due_ms:
        return []
    table.check_due_ms = now_ms + CHECK_INTERVAL_MS
    usable = usable_nodes(tables, now_ms)
    changes = []
    unsynced_nodes = set()
    for group_number in range(models.CLAIM_GROUP_COUNT):
        assignment = _next_assignment(tables, group_number, usable, now_ms)
        if assignment is not None:
            changes.append(
                _assignment_change(tables, group_number, assignment)
            )
            continue
        unsynced_nodes.update(_unsynced_replicas(tables, group_number))
    for node_id in unsynced_nodes:
        member = tables.members.rows.get(node_id)
        if member is not None:
            tables.effects.append(
                effects.SendMessage(
                    member.address, messages.SyncStatusRequest()
                )
            )
    return changes


def record_sync_status(tables, node_id, synced):
    """Record the groups in which a replica is synchronised.

    :param tables: the control process's tables.
    :param node_id: id of the replica's node.
    :param synced: list of
        :class:`~fescueyard.idempotency.messages.GroupEpoch`.
    """
    for group_epoch in synced:
        tables.assignment.synced_epochs[group_epoch.group, node_id] = (
            group_epoch.epoch
        )


def usable_nodes(tables, now_ms):
    """Return the nodes that may be replicas.

    A node that stops responding stays eligible for
    :data:`UNAVAILABLE_GRACE_MS`, whichever process leads by then.

    :param tables: the control process's tables.
    :param now_ms: the present time.
    :returns: members by node id.
    """
    usable = {}
    for node_id, member in tables.members.rows.items():
        if member.role != routing_models.NODE_ROLE:
            continue
        alive = membership.is_alive(tables.members, node_id)
        if alive:
            if not member.leaving:
                usable[node_id] = member
            continue
        lost_since_ms = tables.members.status_since_ms[node_id]
        if now_ms - lost_since_ms < UNAVAILABLE_GRACE_MS:
            usable[node_id] = member
    return usable


def _next_assignment(tables, group_number, usable, now_ms):
    """Return a group with its next replicas, or None when none is due."""
    state = tables.state
    kind = configuration_models.Kind.CLAIM_GROUP
    group = state.find(kind, str(group_number))
    if group is None:
        first = _rank_candidates(group_number, usable, [])[:1]
        if not first:
            return None
        return configuration_models.ClaimGroup(first, [1], 1, 1)
    if not _has_majority(tables, group):
        return _reset_group(tables, group_number, group, usable, now_ms)
    tables.assignment.majority_lost_since_ms.pop(group_number, None)
    replaced = _replica_to_replace(group, usable)
    if replaced is None and len(group.replicas) >= models.REPLICAS_PER_GROUP:
        return None
    remaining = [node_id for node_id in group.replicas if node_id != replaced]
    candidates = _rank_candidates(group_number, usable, group.replicas)
    if not candidates or not _all_synced(tables, group_number, remaining):
        return None
    zones = {
        usable[node_id].zone for node_id in remaining if node_id in usable
    }
    new_replica = _choose_candidate(candidates, usable, zones)
    joined = [
        group.joined[group.replicas.index(node_id)] for node_id in remaining
    ]
    generation = group.generation + 1
    return configuration_models.ClaimGroup(
        remaining + [new_replica],
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


def _replica_to_replace(group, usable):
    """Choose a replica that is unavailable or shares a zone with another.

    Of several such replicas, one at a time is replaced.
    """
    for node_id in group.replicas:
        if node_id not in usable:
            return node_id
    zones = [usable[node_id].zone for node_id in group.replicas]
    unused_zones = {member.zone for member in usable.values()} - set(zones)
    if len(group.replicas) < models.REPLICAS_PER_GROUP or not unused_zones:
        return None
    for node_id in reversed(group.replicas):
        if zones.count(usable[node_id].zone) > 1:
            return node_id
    return None


def _reset_group(tables, group_number, group, usable, now_ms):
    """Reset a group to one replica once all its old claims have expired."""
    table = tables.assignment
    since_ms = table.majority_lost_since_ms.setdefault(group_number, now_ms)
    if now_ms - since_ms < replica.retention_max_ms(tables.state):
        return None
    first = _rank_candidates(group_number, usable, [])[:1]
    if not first:
        return None
    generation = group.generation + 1
    return configuration_models.ClaimGroup(
        first, [generation], generation, generation
    )


def _rank_candidates(group_number, usable, excluded):
    """Rank the nodes that are not excluded, in a stable order by hash."""

    def rank(node_id):
        text = f"{group_number}/{node_id}".encode()
        return hashlib.blake2b(text, digest_size=8).digest()

    return sorted(
        (node_id for node_id in usable if node_id not in excluded), key=rank
    )


def _choose_candidate(candidates, usable, zones):
    for node_id in candidates:
        if usable[node_id].zone not in zones:
            return node_id
    return candidates[0]


def _all_synced(tables, group_number, node_ids):
    kind = configuration_models.Kind.CLAIM_GROUP
    epoch = tables.state.version_of(kind, str(group_number))
    synced = tables.assignment.synced_epochs
    return all(
        synced.get((group_number, node_id)) == epoch for node_id in node_ids
    )


def _unsynced_replicas(tables, group_number):
    """Return the replicas of a group not known to be synchronised."""
    kind = configuration_models.Kind.CLAIM_GROUP
    group = tables.state.find(kind, str(group_number))
    if group is None:
        return []
    return [
        node_id
        for node_id in group.replicas
        if not _all_synced(tables, group_number, [node_id])
    ]


def _assignment_change(tables, group_number, group):
    table = tables.assignment
    table.last_change_number += 1
    kind = configuration_models.Kind.CLAIM_GROUP
    term = tables.consensus.vote.term
    return states.Change(
        f"claims-{group_number}-{term}-{table.last_change_number}",
        OPERATOR_NAME,
        kind.value,
        str(group_number),
        tables.state.version_of(kind, str(group_number)),
        json.dumps(
            {
                "replicas": group.replicas,
                "joined": group.joined,
                "generation": group.generation,
                "fresh_generation": group.fresh_generation,
            }
        ).encode(),
    )
