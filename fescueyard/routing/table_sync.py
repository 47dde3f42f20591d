"""Comparison of member tables between two processes.

Gossip can lose an update, and a process that starts knows nothing. Each
process therefore asks another one for what changed in its table since the last
answer, often while it starts and rarely afterwards. Control processes always
ask each other often. The answer is empty when the digests of both agree.
"""

from fescueyard.core import dispatch
from fescueyard.core import effects
from fescueyard.routing import membership
from fescueyard.routing import messages
from fescueyard.routing import models

SYNC_INTERVAL_MS = 10_000
SYNC_INTERVAL_FAST_MS = 500
# Chance that a seed is asked instead of any member. Seeds remain among the
# candidates: after a network partition has healed, only they reconnect sides
# that consider each other dead.
SEED_CHANCE = 0.5
# Addresses for which the version last received is remembered.
KNOWN_TABLES_MAX = 16


def tick(tables, now_ms):
    """Ask another process for the changes of its table when that is due.

    :param tables: the process's tables.
    :param now_ms: the present time.
    """
    table = tables.members
    if now_ms < table.sync_due_ms:
        return
    others = membership.alive_others(table)
    # Processes that start ask the control processes, which therefore keep
    # their tables alike.
    fast = (
        not others
        or membership.is_starting(table, now_ms)
        or table.own.role == models.CONTROL_ROLE
    )
    table.sync_due_ms = now_ms + (
        SYNC_INTERVAL_FAST_MS if fast else SYNC_INTERVAL_MS
    )
    use_seed = fast or tables.random.random() < SEED_CHANCE
    choices = [table.rows[node_id].address for node_id in others]
    if use_seed and table.seeds:
        choices = table.seeds
    if choices:
        address = tables.random.choice(choices)
        request = _new_request(table, address)
        tables.effects.append(effects.SendMessage(address, request))


def _new_request(table, address):
    known = table.known_tables.get(address, models.KnownTable("", 0))
    return messages.TableRequest(
        table.digest, [table.own], known.process_id, known.version
    )


@dispatch.receive.register
def _receive_table_request(
    message: messages.TableRequest, tables, sender, now_ms
):
    membership.merge(tables, message.members, now_ms)
    table = tables.members
    own_id = table.own.node_id
    response = messages.TableResponse([], own_id, 0)
    if message.digest != table.digest:
        is_known = message.responder_id == own_id
        since_version = message.known_version if is_known else 0
        response.members = [
            member
            for node_id, member in table.rows.items()
            if table.changed_versions.get(node_id, 0) >= since_version
        ]
        response.version = table.version
    tables.effects.append(effects.SendReply(sender.stream, response))


@dispatch.receive.register
def _receive_table_response(
    message: messages.TableResponse, tables, sender, now_ms
):
    membership.merge(tables, message.members, now_ms)
    table = tables.members
    responder = table.rows.get(message.responder_id)
    if responder is None or not message.version:
        return
    table.known_tables.pop(responder.address, None)
    table.known_tables[responder.address] = models.KnownTable(
        message.responder_id, message.version
    )
    if len(table.known_tables) > KNOWN_TABLES_MAX:
        del table.known_tables[next(iter(table.known_tables))]
