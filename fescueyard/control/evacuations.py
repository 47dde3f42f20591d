"""Operators' requests to evacuate an availability zone, or to end that."""

import dataclasses
import urllib.parse

from fescueyard.configuration import models as configuration_models
from fescueyard.configuration import state as states
from fescueyard.consensus import lease
from fescueyard.consensus import log
from fescueyard.control import submissions
from fescueyard.core import codes
from fescueyard.core import exceptions
from fescueyard.core import logs

LOG = logs.ComponentLogger("control")


@dataclasses.dataclass(frozen=True)
class ChangeEvacuation:
    """Start or end the evacuation of a zone.

    :param operator: name of the operator.
    :param zone: the zone.
    :param evacuated: whether the zone is to be evacuated.
    """

    operator: str
    zone: str
    evacuated: bool


@dataclasses.dataclass(frozen=True)
class ReadEvacuations:
    """Read the evacuated zones."""


def parse(request, operator, encoded_zone, evacuated):
    """Build the command of a request; a body of it is ignored.

    :param request: :class:`~fescueyard.core.http.HttpRequest`.
    :param operator: name of the operator who sent it.
    :param encoded_zone: the zone as in the path, percent-encoded.
    :param evacuated: whether the zone is to be evacuated.
    :returns: :class:`ChangeEvacuation`.
    :raises ChangeError: when the name is not encoded as UTF-8.
    """
    try:
        zone = urllib.parse.unquote(encoded_zone, errors="strict")
    except UnicodeDecodeError:
        raise exceptions.ChangeError(
            f"malformed zone: {encoded_zone!r}", codes.UNKNOWN_ZONE
        ) from None
    if request.body:
        LOG.warning(
            "order_body_ignored",
            target=request.target,
            body_bytes=len(request.body),
        )
    return ChangeEvacuation(operator, zone, evacuated)


def submit(tables, command, origin, now_ms):
    """Submit the change, or reject it for an unknown zone.

    :param tables: the control process's tables.
    :param command: :class:`ChangeEvacuation`.
    :param origin: where the result is reported.
    :param now_ms: the present time.
    """
    if command.zone not in known_zones(tables):
        detail = f"no zone named {command.zone!r}"
        result = submissions.change_result(codes.UNKNOWN_ZONE, detail)
        submissions.report_result(tables, origin, result)
        return
    change = states.evacuation_change(
        command.operator,
        command.zone,
        command.evacuated,
        _known_index(tables.consensus),
    )
    submissions.submit_change(tables, change, origin, now_ms)


def known_zones(tables):
    """Return the zones that may be evacuated.

    :param tables: the control process's tables.
    :returns: set of the zones in the settings, those of the known processes,
        and those evacuated.
    """
    zones = {member.zone for member in tables.members.rows.values()}
    # The last process of an evacuated zone may be gone for good.
    zones.update(states.evacuated_zones(tables.state))
    zones.update(tables.zones)
    return zones


def listing(state):
    """Describe the evacuated zones for operators.

    :param state: the configuration.
    :returns: JSON-serialisable value.
    """
    kind = configuration_models.Kind.EVACUATION
    return {
        "evacuations": [
            {"zone": zone, "version": state.version_of(kind, zone)}
            for zone in states.evacuated_zones(state)
        ]
    }


def _known_index(consensus_table):
    """Return the index up to which this process knows the log for certain.

    A leader's own log is final as far as its next proposal is concerned:
    either all of it comes first, or the proposal is dropped as well.
    """
    if lease.is_leader(consensus_table):
        return log.last_index(consensus_table)
    return consensus_table.commit_index
