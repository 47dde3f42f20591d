"""Counts what a process sends to others, by message and by zone."""

import collections
import dataclasses

from fescueyard.core import exposition

OWN_ZONE = "own"
OTHER_ZONE = "other"
# The zone of a process that isn't a member, such as one that has just left.
UNKNOWN_ZONE = "unknown"


@dataclasses.dataclass(slots=True)
class Sent:
    """Messages of one kind that went to one scope.

    :param messages: number of messages.
    :param payload_bytes: their encoded size, without authentication and
        transport headers.
    """

    messages: int = 0
    payload_bytes: int = 0


@dataclasses.dataclass
class TrafficTable:
    """What a process has sent, by class of message and scope.

    :param rows: counters.
    :param large_responses: large configuration responses that were sent a
        short time ago, by id of the requester; see
        :mod:`fescueyard.configuration.serving`.
    """

    rows: dict[tuple[str, str], Sent] = dataclasses.field(
        default_factory=lambda: collections.defaultdict(Sent)
    )
    large_responses: dict[str, object] = dataclasses.field(
        default_factory=dict
    )


def record_sent(tables, peer_id, message, payload_bytes):
    """Count one message.

    :param tables: tables with ``members`` and ``traffic``.
    :param peer_id: id of the process that it is sent to, or None.
    :param message: the message.
    :param payload_bytes: its encoded size.
    """
    kind = type(message).__name__
    row = tables.traffic.rows[kind, _scope(tables.members, peer_id)]
    row.messages += 1
    row.payload_bytes += payload_bytes


def _scope(members, peer_id):
    member = members.rows.get(peer_id)
    if member is None:
        return UNKNOWN_ZONE
    return OWN_ZONE if member.zone == members.own.zone else OTHER_ZONE


def samples(table):
    """Return the metrics of what was sent.

    :param table: :class:`TrafficTable`.
    :returns: list of sample lines.
    """
    lines = []
    for (kind, scope), sent in sorted(table.rows.items()):
        labels = {"kind": kind, "zone": scope}
        lines.append(
            exposition.sample("messages_sent_total", sent.messages, **labels)
        )
        lines.append(
            exposition.sample(
                "message_bytes_sent_total", sent.payload_bytes, **labels
            )
        )
    return lines
