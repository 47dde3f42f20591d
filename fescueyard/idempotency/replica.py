"""The replica side of claims.

A claim is valid once a majority of its group's replicas has granted it.
Replicas change one at a time by a committed change. A new replica first copies
the claims of all other replicas, which by then refuse requests that carry the
older epoch. So every majority holds every valid claim.
"""

from fescueyard.configuration import models as configuration_models
from fescueyard.core import dispatch
from fescueyard.core import effects
from fescueyard.idempotency import messages
from fescueyard.idempotency import models

SYNC_INTERVAL_MS = 200
SYNC_PAGE_CLAIMS_MAX = 100
EXPIRY_INTERVAL_MS = 1_000
RETENTION_MARGIN_MS = 60_000

GRANTED = "granted"
MISMATCH = "mismatch"
REFUSED = "refused"


def tick(tables, now_ms):
    """Apply the configuration, synchronise, delete expired claims.

    :param tables: the node's tables.
    :param now_ms: the present time.
    """
    table = tables.claims
    version = tables.configuration.state.version
    if table.applied_version != version:
        table.applied_version = version
        _apply_configuration(tables, now_ms)
        table.sync_due_ms = now_ms
    if now_ms >= table.sync_due_ms:
        _synchronise_due_groups(tables, now_ms)
    if now_ms >= table.expiry_due_ms:
        table.expiry_due_ms = now_ms + EXPIRY_INTERVAL_MS
        for group in table.groups.values():
            _delete_expired(group, now_ms)


def _synchronise_due_groups(tables, now_ms):
    table = tables.claims
    table.sync_due_ms = float("inf")
    for group_number, group in table.groups.items():
        if group.synced:
            continue
        if now_ms >= group.sync_due_ms:
            group.sync_due_ms = now_ms + SYNC_INTERVAL_MS
            _synchronise(tables, group_number, group, now_ms)
        table.sync_due_ms = min(table.sync_due_ms, group.sync_due_ms)


def decide_claim(tables, request, now_ms):
    """Grant a claim, or return the state that prevents it.

    :param tables: the node's tables.
    :param request: :class:`~fescueyard.idempotency.messages.ClaimRequest`.
    :param now_ms: the present time.
    :returns: :class:`~fescueyard.idempotency.messages.ClaimResponse`.
    """
    group = tables.claims.groups.get(request.group)
    if group is None or group.epoch != request.epoch or not group.synced:
        return messages.ClaimResponse(request.request_id, REFUSED, None)
    claim = group.claims.get(request.claim_id)
    if claim is not None and now_ms >= claim.expires_at_ms:
        claim = None
    if claim is None:
        if len(group.claims) >= models.CLAIMS_PER_GROUP_MAX:
            return messages.ClaimResponse(request.request_id, REFUSED, None)
        deadline_at_ms = now_ms + request.deadline_ms
        group.claims[request.claim_id] = models.ReplicaClaim(
            request.fingerprint,
            request.holder,
            models.TAKEN,
            deadline_at_ms,
            deadline_at_ms + request.retention_ms,
        )
        return messages.ClaimResponse(request.request_id, GRANTED, None)
    if claim.fingerprint != request.fingerprint:
        return messages.ClaimResponse(request.request_id, MISMATCH, None)
    state = claim.state
    if state == models.TAKEN and now_ms >= claim.deadline_at_ms:
        # The call's deadline has passed and its node has not reported an
        # outcome.
        state = models.UNKNOWN
    return messages.ClaimResponse(
        request.request_id, state, claim.stored_response
    )


def record_outcome(tables, outcome, now_ms):
    """Record how the call that holds a claim ended.

    :param tables: the node's tables.
    :param outcome: :class:`~fescueyard.idempotency.messages.ClaimOutcome`.
    :param now_ms: the present time.
    """
    group = tables.claims.groups.get(outcome.group)
    if group is None:
        return
    claim = group.claims.get(outcome.claim_id)
    if claim is not None and claim.holder != outcome.holder:
        return
    if outcome.state == models.RELEASED:
        group.claims.pop(outcome.claim_id, None)
        return
    group.claims[outcome.claim_id] = models.ReplicaClaim(
        outcome.fingerprint,
        outcome.holder,
        outcome.state,
        now_ms,
        now_ms + outcome.retention_ms,
        outcome.stored_response,
    )


def is_replica(tables):
    """Return whether the configuration assigns a claim group to this node.

    :param tables: the node's tables.
    :returns: bool.
    """
    own_id = tables.members.own.node_id
    groups = _configured_groups(tables)
    return any(own_id in group.replicas for group in groups.values())


@dispatch.receive.register
def _receive_claim_request(
    message: messages.ClaimRequest, tables, sender, now_ms
):
    response = decide_claim(tables, message, now_ms)
    tables.effects.append(effects.SendReply(sender.stream, response))


@dispatch.receive.register
def _receive_claim_outcome(
    message: messages.ClaimOutcome, tables, sender, now_ms
):
    record_outcome(tables, message, now_ms)


@dispatch.receive.register
def _receive_sync_request(
    message: messages.SyncRequest, tables, sender, now_ms
):
    group = tables.claims.groups.get(message.group)
    if group is None or not group.synced or group.epoch != message.epoch:
        return
    claim_ids = sorted(
        each for each in group.claims if each > message.after_claim_id
    )
    records = []
    for claim_id in claim_ids[:SYNC_PAGE_CLAIMS_MAX]:
        records.append(_to_record(claim_id, group.claims[claim_id], now_ms))
    response = messages.SyncResponse(
        message.group,
        message.epoch,
        records,
        len(claim_ids) <= SYNC_PAGE_CLAIMS_MAX,
    )
    tables.effects.append(effects.SendReply(sender.stream, response))


@dispatch.receive.register
def _receive_sync_response(
    message: messages.SyncResponse, tables, sender, now_ms
):
    group = tables.claims.groups.get(message.group)
    if group is None or group.synced or group.epoch != message.epoch:
        return
    for record in message.claims:
        _merge_claim(group, record, now_ms)
    if message.last:
        group.synced_from.add(sender.peer_id)
        _update_synced(tables, group, now_ms)
        return
    request = messages.SyncRequest(
        message.group, group.epoch, message.claims[-1].claim_id
    )
    tables.effects.append(effects.SendReply(sender.stream, request))


@dispatch.receive.register
def _receive_sync_status_request(
    message: messages.SyncStatusRequest, tables, sender, now_ms
):
    synced = []
    for group_number, group in tables.claims.groups.items():
        if group.synced:
            synced.append(messages.GroupEpoch(group_number, group.epoch))
    response = messages.SyncStatusResponse(synced)
    tables.effects.append(effects.SendReply(sender.stream, response))


def _configured_groups(tables):
    state = tables.configuration.state
    return state.objects[configuration_models.Kind.CLAIM_GROUP]


def _apply_configuration(tables, now_ms):
    own_id = tables.members.own.node_id
    table = tables.claims
    object_versions = tables.configuration.state.object_versions[
        configuration_models.Kind.CLAIM_GROUP
    ]
    for name, configured in _configured_groups(tables).items():
        group_number = int(name)
        epoch = object_versions[name].version
        known = table.groups.get(group_number)
        if own_id not in configured.replicas:
            table.groups.pop(group_number, None)
        elif known is None or known.epoch != epoch:
            table.groups[group_number] = _install_epoch(
                known, configured, epoch, own_id, now_ms
            )


def _install_epoch(known, configured, epoch, own_id, now_ms):
    """Return the group at a new epoch.

    Its claims are kept unless this node has joined the group since they were
    stored. A replica that has joined copies the claims of the others, except
    in a new or reset group.
    """
    joined = configured.joined[configured.replicas.index(own_id)]
    group = models.ReplicaGroup(
        epoch, configured.generation, configured.replicas, False, now_ms
    )
    if known is not None and known.generation >= joined:
        group.claims = known.claims
        group.synced = known.synced
        return group
    # No valid claim can predate the group's first generation or the one that
    # resets the group, so there is nothing to copy.
    group.synced = (
        joined == configured.fresh_generation == configured.generation
    )
    return group


def _synchronise(tables, group_number, group, now_ms):
    _update_synced(tables, group, now_ms)
    if group.synced:
        return
    for node_id in group.replicas:
        member = tables.members.rows.get(node_id)
        if member is None or node_id == tables.members.own.node_id:
            continue
        if node_id not in group.synced_from:
            request = messages.SyncRequest(group_number, group.epoch, b"")
            tables.effects.append(effects.SendMessage(member.address, request))


def _update_synced(tables, group, now_ms):
    others = set(group.replicas) - {tables.members.own.node_id}
    waited_ms = now_ms - group.installed_at_ms
    # After the maximum retention, all claims from before this epoch have
    # expired at every replica.
    if others <= group.synced_from or waited_ms > retention_max_ms(
        tables.configuration.state
    ):
        group.synced = True


def retention_max_ms(state):
    """Return the time after which every claim that exists now has expired.

    :param state: the configuration.
    :returns: time in ms.
    """
    longest_ms = 0
    profiles = state.objects[configuration_models.Kind.PROFILE]
    for profile in profiles.values():
        retained_ms = profile.claim_retention_ms + profile.deadline_max_ms
        longest_ms = max(longest_ms, retained_ms)
    return longest_ms + RETENTION_MARGIN_MS


def _delete_expired(group, now_ms):
    expired = [
        claim_id
        for claim_id, claim in group.claims.items()
        if now_ms >= claim.expires_at_ms
    ]
    for claim_id in expired:
        del group.claims[claim_id]


def _to_record(claim_id, claim, now_ms):
    """Convert a claim to a record with remaining times, not clock times."""
    return messages.ClaimRecord(
        claim_id,
        claim.fingerprint,
        claim.holder,
        claim.state,
        claim.deadline_at_ms - now_ms,
        claim.expires_at_ms - now_ms,
        claim.stored_response,
    )


def _merge_claim(group, record, now_ms):
    known = group.claims.get(record.claim_id)
    if known is not None and known.state == models.FINISHED:
        return
    group.claims[record.claim_id] = models.ReplicaClaim(
        record.fingerprint,
        record.holder,
        record.state,
        now_ms + record.deadline_in_ms,
        now_ms + record.expires_in_ms,
        record.stored_response,
    )
