"""Conversion of the platform's settings file to settings of the processes."""

import dataclasses
import os
import tomllib
import typing

import pydantic

from fescueyard.conf import settings
from fescueyard.configuration import models as configuration_models
from fescueyard.core import exceptions

PATH_VARIABLE = "FESCUEYARD_BOOT"
STREAM_PORT_OFFSET = 0
# Constant because the deployment file names these ports, while the ports in
# the settings file vary between VMs.
NODE_METRICS_PORT = 9100
CONTROL_METRICS_PORT = 9101
# Missed heartbeats after which a silent backend server counts as gone.
HEARTBEATS_MISSED_MAX = 4
# Covers the two readiness probes, one second apart, after which callers are
# moved to other VMs.
LEAVE_NOTICE_MS = 2_600
BODY_BYTES_MAX = 16 * 1024 * 1024
GRACE_MAX_S = 86_400.0  # a day

_IGNORE_EXTRA = pydantic.ConfigDict(extra="ignore")
_Count = pydantic.NonNegativeInt


@dataclasses.dataclass(frozen=True)
class _LimitsTable:
    """Size of the VM; without it the defaults of the settings apply."""

    __pydantic_config__ = _IGNORE_EXTRA

    # 0 where the link isn't limited.
    LinkMbps: typing.Annotated[
        float, pydantic.Field(ge=0, allow_inf_nan=False)
    ] = 0.0
    MemoryMb: _Count | None = None
    MaxFds: _Count | None = None


@dataclasses.dataclass(frozen=True)
class _SelfTable:
    """Identity of the process and its VM."""

    __pydantic_config__ = _IGNORE_EXTRA

    Node: str
    Ip: str
    Zone: str
    Region: str
    # True only at the first start of the complete system.
    Bootstrap: bool = False
    DataDir: str = ""
    # Address of the backend server on this VM; empty on control VMs.
    AppAddr: str = ""
    Service: str = ""
    Limits: _LimitsTable = _LimitsTable()


@dataclasses.dataclass(frozen=True)
class _ListenTable:
    """Addresses to listen on; empty for listeners that the role lacks."""

    __pydantic_config__ = _IGNORE_EXTRA

    Outbound: str = ""
    Ready: str = ""
    # On a backend server VM: the listener to which its backend server
    # announces itself. On a control VM: the administration API.
    Control: str = ""


@dataclasses.dataclass(frozen=True)
class _NetworkTable:
    __pydantic_config__ = _IGNORE_EXTRA

    InternalPorts: typing.Annotated[list[int], pydantic.Field(min_length=1)]
    # Addresses of the administration API, not of the streams.
    Seeds: list[str]
    Listen: _ListenTable
    # By zone; only the names of the zones are used.
    Zones: dict[str, typing.Any] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True)
class _PlatformTable:
    __pydantic_config__ = _IGNORE_EXTRA

    HeartbeatMs: _Count = 1_500


@dataclasses.dataclass(frozen=True)
class _ToleranceTable:
    __pydantic_config__ = _IGNORE_EXTRA

    Machines: _Count = 1


@dataclasses.dataclass(frozen=True)
class _BoundsTable:
    __pydantic_config__ = _IGNORE_EXTRA

    GraceS: typing.Annotated[float, pydantic.Field(ge=0, le=GRACE_MAX_S)] = 6.0
    # False: a VM that is cut off from the control VMs continues to serve
    # requests with keys.
    FailClosed: bool = True
    RevokeMs: _Count = 5_000
    RetryBudgetRatio: float = 0.1
    BudgetSlack: float = 0.0


@dataclasses.dataclass(frozen=True)
class _TermsTable:
    __pydantic_config__ = _IGNORE_EXTRA

    FaultTolerance: _ToleranceTable
    Bounds: _BoundsTable


@dataclasses.dataclass(frozen=True)
class _SettingsFile:
    __pydantic_config__ = _IGNORE_EXTRA

    Self: _SelfTable
    Network: _NetworkTable
    Terms: _TermsTable
    Platform: _PlatformTable = _PlatformTable()


_FILE_ADAPTER = pydantic.TypeAdapter(_SettingsFile)


def path():
    """Return the path of the settings file.

    :returns: the path; empty when the environment names none.
    """
    return os.environ.get(PATH_VARIABLE, "")


def read_node():
    """Read the settings of a node from the settings file.

    :returns: :class:`~fescueyard.conf.settings.NodeSettings`.
    :raises SettingsError: naming each invalid field.
    """
    parsed = _read_file()
    self_table, listen_table = parsed.Self, parsed.Network.Listen
    stop_timeout_ms = int(parsed.Terms.Bounds.GraceS * 1000)
    values = _process_values(parsed, NODE_METRICS_PORT)
    values.update(
        node_id=self_table.Node,
        caller_address=listen_table.Outbound,
        backend_address=listen_table.Control,
        backend_address_guarded=True,
        ready_address=listen_table.Ready or None,
        caller_interface="routes",
        service=self_table.Service,
        server_address=self_table.AppAddr or None,
        first_start=self_table.Bootstrap,
        announcement_ttl_ms=(
            parsed.Platform.HeartbeatMs * HEARTBEATS_MISSED_MAX
        ),
        stop_timeout_ms=stop_timeout_ms,
        leave_notice_ms=min(LEAVE_NOTICE_MS, stop_timeout_ms // 2),
        body_bytes_max=BODY_BYTES_MAX,
        answer_bytes_max=BODY_BYTES_MAX,
    )
    return settings.load(settings.NodeSettings, values, _environment())


def read_control():
    """Read the settings of a control process from the settings file.

    :returns: :class:`~fescueyard.conf.settings.ControlSettings`.
    :raises SettingsError: naming each invalid field.
    """
    parsed = _read_file()
    values = _process_values(parsed, CONTROL_METRICS_PORT)
    founders = values["control_addresses"] if parsed.Self.Bootstrap else []
    failures_tolerated = max(1, parsed.Terms.FaultTolerance.Machines)
    values.update(
        data_folder=parsed.Self.DataDir,
        admin_address=parsed.Network.Listen.Control,
        admin_address_guarded=True,
        join=True,
        founders=founders,
        repairs_members=True,
        voters_max=min(
            settings.defaults.VOTERS_MAX, max(3, 2 * failures_tolerated + 1)
        ),
        keeps_claims=False,
        zones=list(parsed.Network.Zones),
    )
    return settings.load(settings.ControlSettings, values, _environment())


def read_profile():
    """Read the profile of all services from the bounds in the settings file.

    :returns: :class:`~fescueyard.configuration.models.Profile`.
    :raises SettingsError: naming each invalid field.
    """
    bounds = _read_file().Terms.Bounds
    defaults = configuration_models.Profile()
    staleness_max_ms = max(1_000, bounds.RevokeMs)
    if not bounds.FailClosed:
        staleness_max_ms = configuration_models.STALENESS_MAX_MS
    return dataclasses.replace(
        defaults,
        key_staleness_max_ms=staleness_max_ms,
        retry_budget_ratio=bounds.RetryBudgetRatio,
        retry_budget_slack=bounds.BudgetSlack,
        cut_off_rate_share=0.0 if bounds.FailClosed else 1.0,
        concurrency_share_min=1.0,
    )


def _read_file():
    file_path = path()
    try:
        with open(file_path, "rb") as file:
            values = tomllib.load(file)
        return _FILE_ADAPTER.validate_python(values)
    except OSError as error:
        raise exceptions.SettingsError(
            f"can't read the settings file {file_path!r}: {error.strerror}"
        ) from None
    except pydantic.ValidationError as error:
        raise exceptions.SettingsError(
            configuration_models.format_validation_error(error)
        ) from None
    except (ValueError, RecursionError) as error:
        # No UTF-8, no TOML, or nested too deeply.
        raise exceptions.SettingsError(f"settings file: {error}") from None


def _process_values(parsed, metrics_port):
    first_port = parsed.Network.InternalPorts[0]
    stream_port = first_port + STREAM_PORT_OFFSET
    control_addresses = []
    for seed in parsed.Network.Seeds:
        host = seed.rpartition(":")[0]
        control_addresses.append(f"{host}:{stream_port}")
    values = {
        "zone": parsed.Self.Zone,
        "region": parsed.Self.Region,
        "address": f"{parsed.Self.Ip}:{stream_port}",
        "control_addresses": control_addresses,
        "metrics_address": f"{parsed.Self.Ip}:{metrics_port}",
        "link_mbps": parsed.Self.Limits.LinkMbps or None,
    }
    limits = parsed.Self.Limits
    if limits.MemoryMb is not None:
        values["memory_mb"] = limits.MemoryMb
    if limits.MaxFds is not None:
        values["fds_max"] = limits.MaxFds
    return values


def _environment():
    """Return the environment without the path of the settings file."""
    return {
        name: value
        for name, value in os.environ.items()
        if name != PATH_VARIABLE
    }
