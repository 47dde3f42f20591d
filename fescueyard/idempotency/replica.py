"""The replica side of claims.

A claim counts once a majority of its group's replicas granted it. The replicas
change one at a time by a committed change; a replica that was not there before
first copies the claims of all others, which by then refuse askers that know
only the older epoch. So every majority holds every claim that counts.
"""

from fescueyard.configuration import models as configuration_models
from fescueyard.core import dispatch
from fescueyard.core import effects
from fescueyard.idempotency import messages
from fescueyard.idempotency import models

SYNC_INTERVAL_MS = 200
SYNC_ROWS_MAX = 100
EXPIRY_INTERVAL_MS = 1_000
RETENTION_MARGIN_MS = 60_000

GRANTED = "granted"
MISMATCH = "mismatch"
REFUSED = "refused"


def tick(tables, now_ms):
    """Follow the configuration, synchronise, forget old claims.

    :param tables: the node's tables.
    :param now_ms: the present time.
    """
    table = tables.claims
    version = tables.configuration.state.version
    if table.seen_version != version:
        table.seen_version = version
        _follow_configuration(tables, now_ms)
    for number, group in table.groups.items():
        if not group.synced and now_ms >= group.sync_due_ms:
            group.sync_due_ms = now_ms + SYNC_INTERVAL_MS
            _synchronise(tables, number, group, now_ms)
    if now_ms >= table.expiry_due_ms:
        table.expiry_due_ms = now_ms + EXPIRY_INTERVAL_MS
        for group in table.groups.values():
            _expire(group, now_ms)


def take(tables, ask, now_ms):
    """Decide on a claim as a replica.

    :param tables: the node's tables.
    :param ask: :class:`~fescueyard.idempotency.messages.ClaimAsk`.
    :param now_ms: the present time.
    :returns: :class:`~fescueyard.idempotency.messages.ClaimAnswer`.
    """
    group = tables.claims.groups.get(ask.group)
    if group is None or group.epoch != ask.epoch or not group.synced:
        return messages.ClaimAnswer(ask.ask_id, REFUSED, None)
    row = group.rows.get(ask.claim_id)
    if row is not None and now_ms >= row.expires_at_ms:
        row = None
    if row is None:
        if len(group.rows) >= models.CLAIMS_PER_GROUP_MAX:
            return messages.ClaimAnswer(ask.ask_id, REFUSED, None)
        ends_at_ms = now_ms + ask.deadline_ms
        group.rows[ask.claim_id] = models.ReplicaClaim(
            ask.fingerprint,
            ask.holder,
            models.TAKEN,
            ends_at_ms,
            ends_at_ms + ask.retention_ms,
        )
        return messages.ClaimAnswer(ask.ask_id, GRANTED, None)
    if row.fingerprint != ask.fingerprint:
        return messages.ClaimAnswer(ask.ask_id, MISMATCH, None)
    state = row.state
    if state == models.TAKEN and now_ms >= row.ends_at_ms:
        # The call's deadline has passed and its node has not said how it
        # ended.
        state = models.UNKNOWN
    return messages.ClaimAnswer(ask.ask_id, state, row.kept)


def end(tables, told, now_ms):
    """Note how the call of a claim ended.

    :param tables: the node's tables.
    :param told: :class:`~fescueyard.idempotency.messages.ClaimEnd`.
    :param now_ms: the present time.
    """
    group = tables.claims.groups.get(told.group)
    if group is None:
        return
    row = group.rows.get(told.claim_id)
    if row is not None and row.holder != told.holder:
        return
    if told.state == models.RELEASED:
        group.rows.pop(told.claim_id, None)
        return
    group.rows[told.claim_id] = models.ReplicaClaim(
        told.fingerprint,
        told.holder,
        told.state,
        now_ms,
        now_ms + told.retention_ms,
        told.kept,
    )


def is_replica(tables):
    """Say whether a claim group of the configuration names this node.

    :param tables: the node's tables.
    :returns: bool.
    """
    own_id = tables.members.own.node_id
    groups = _configured_groups(tables)
    return any(own_id in group.replicas for group in groups.values())


@dispatch.receive.register
def _receive_claim_ask(message: messages.ClaimAsk, tables, sender, now_ms):
    answer = take(tables, message, now_ms)
    tables.effects.append(effects.SendReply(sender.stream, answer))


@dispatch.receive.register
def _receive_claim_end(message: messages.ClaimEnd, tables, sender, now_ms):
    end(tables, message, now_ms)


@dispatch.receive.register
def _receive_sync_ask(message: messages.SyncAsk, tables, sender, now_ms):
    group = tables.claims.groups.get(message.group)
    if group is None or not group.synced or group.epoch != message.epoch:
        return
    claim_ids = sorted(each for each in group.rows if each > message.after)
    rows = []
    for claim_id in claim_ids[:SYNC_ROWS_MAX]:
        rows.append(_outward(claim_id, group.rows[claim_id], now_ms))
    answer = messages.SyncAnswer(
        message.group,
        message.epoch,
        rows,
        len(claim_ids) <= SYNC_ROWS_MAX,
    )
    tables.effects.append(effects.SendReply(sender.stream, answer))


@dispatch.receive.register
def _receive_sync_answer(message: messages.SyncAnswer, tables, sender, now_ms):
    group = tables.claims.groups.get(message.group)
    if group is None or group.synced or group.epoch != message.epoch:
        return
    for row in message.rows:
        _take_over(group, row, now_ms)
    if message.last:
        group.synced_from.add(sender.peer_id)
        _check_synced(tables, group, now_ms)
        return
    ask = messages.SyncAsk(
        message.group, group.epoch, message.rows[-1].claim_id
    )
    tables.effects.append(effects.SendReply(sender.stream, ask))


@dispatch.receive.register
def _receive_status_ask(message: messages.StatusAsk, tables, sender, now_ms):
    synced = []
    for number, group in tables.claims.groups.items():
        if group.synced:
            synced.append(messages.GroupEpoch(number, group.epoch))
    answer = messages.StatusAnswer(synced)
    tables.effects.append(effects.SendReply(sender.stream, answer))


def _configured_groups(tables):
    state = tables.configuration.state
    return state.objects[configuration_models.Kind.CLAIM_GROUP]


def _follow_configuration(tables, now_ms):
    own_id = tables.members.own.node_id
    table = tables.claims
    rows = tables.configuration.state.object_versions[
        configuration_models.Kind.CLAIM_GROUP
    ]
    for name, told in _configured_groups(tables).items():
        number = int(name)
        epoch = rows[name].version
        known = table.groups.get(number)
        if own_id not in told.replicas:
            table.groups.pop(number, None)
        elif known is None or known.epoch != epoch:
            table.groups[number] = _next_epoch(
                known, told, epoch, own_id, now_ms
            )


def _next_epoch(known, told, epoch, own_id, now_ms):
    """Come to a new epoch: keep the claims, or start to copy them."""
    joined = told.joined[told.replicas.index(own_id)]
    group = models.ReplicaGroup(
        epoch, told.generation, told.replicas, False, now_ms
    )
    if known is not None and known.generation >= joined:
        group.rows = known.rows
        group.synced = known.synced
        return group
    # Nobody can have held a claim before the group's first generation, or
    # before the one that starts it afresh.
    group.synced = joined == told.fresh_generation == told.generation
    return group


def _synchronise(tables, number, group, now_ms):
    _check_synced(tables, group, now_ms)
    if group.synced:
        return
    for node_id in group.replicas:
        member = tables.members.rows.get(node_id)
        if member is None or node_id == tables.members.own.node_id:
            continue
        if node_id not in group.synced_from:
            ask = messages.SyncAsk(number, group.epoch, b"")
            tables.effects.append(effects.SendMessage(member.address, ask))


def _check_synced(tables, group, now_ms):
    others = set(group.replicas) - {tables.members.own.node_id}
    waited_ms = now_ms - group.installed_at_ms
    # By then every claim from before has been forgotten by its replicas.
    if others <= group.synced_from or waited_ms > retention_max_ms(
        tables.configuration.state
    ):
        group.synced = True


def retention_max_ms(state):
    """Say after which time no claim of today counts any more.

    :param state: the configuration.
    :returns: time in ms.
    """
    longest_ms = 0
    profiles = state.objects[configuration_models.Kind.PROFILE]
    for profile in profiles.values():
        kept_ms = profile.claim_retention_ms + profile.deadline_max_ms
        longest_ms = max(longest_ms, kept_ms)
    return longest_ms + RETENTION_MARGIN_MS


def _expire(group, now_ms):
    expired = [
        claim_id
        for claim_id, row in group.rows.items()
        if now_ms >= row.expires_at_ms
    ]
    for claim_id in expired:
        del group.rows[claim_id]


def _outward(claim_id, row, now_ms):
    """Write a claim with times left in place of times of this clock."""
    return messages.ClaimRow(
        claim_id,
        row.fingerprint,
        row.holder,
        row.state,
        row.ends_at_ms - now_ms,
        row.expires_at_ms - now_ms,
        row.kept,
    )


def _take_over(group, told, now_ms):
    known = group.rows.get(told.claim_id)
    if known is not None and known.state == models.FINISHED:
        return
    group.rows[told.claim_id] = models.ReplicaClaim(
        told.fingerprint,
        told.holder,
        told.state,
        now_ms + told.ends_in_ms,
        now_ms + told.expires_in_ms,
        told.kept,
    )
