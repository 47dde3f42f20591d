"""Settings of the processes, from flags and environment variables.

A flag takes precedence over its environment variable. Secrets are never flags,
because process lists show the flags of a command.
"""

import dataclasses
import typing

import pydantic

from fescueyard.conf import defaults
from fescueyard.configuration import models
from fescueyard.core import addresses
from fescueyard.core import exceptions

_FORBID_EXTRA = pydantic.ConfigDict(extra="forbid")

AddressText = typing.Annotated[str, pydantic.AfterValidator(addresses.check)]
NameText = typing.Annotated[
    str, pydantic.Field(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$")
]
ByteCount = typing.Annotated[int, pydantic.Field(ge=1024, le=16 * 1024**2)]
LinkRate = typing.Annotated[float, pydantic.Field(gt=0, allow_inf_nan=False)]
MemoryMb = typing.Annotated[int, pydantic.Field(ge=96, le=1024**2)]
FdCount = typing.Annotated[int, pydantic.Field(ge=128, le=1024**2)]
FieldCount = typing.Annotated[int, pydantic.Field(ge=100, le=100_000)]
PositiveMs = typing.Annotated[int, pydantic.Field(ge=1)]
LogLevel = typing.Literal["debug", "info", "warning", "error"]

SECRET_FIELDS = ("cluster_secret", "operator_token")


@dataclasses.dataclass(frozen=True, kw_only=True)
class ProcessSettings:
    """Settings shared by all long-lived processes.

    :param zone: availability zone of the VM.
    :param region: region of the zone.
    :param address: ``host:port`` by which other VMs reach the streams (TCP)
        and datagrams (UDP) of the process.
    :param listen_address: ``host:port`` to listen on instead of ``address``,
        where other VMs reach this VM by another address.
    :param control_addresses: ``host:port`` of control VMs, from which the
        process discovers the fleet.
    :param cluster_secret: secret shared by the cluster; from the environment
        only.
    :param cluster_secret_file: file that contains the secret instead.
    :param dump_folder: directory for dumps on SIGUSR1; empty to log them.
    :param log_level: lowest severity that is logged.
    :param metrics_address: ``host:port`` that serves the metrics as text;
        empty to disable.
    :param link_mbps: rate of the VM's link, in Mbit/s; none if it isn't
        limited. At 100 or less, bytes between zones are saved.
    :param memory_mb: memory of the VM, in MiB. What clients may hold is
        derived from it.
    :param fds_max: file descriptors of the VM; 60% of them are for connections
        of clients.
    :param header_fields_max: maximum number of header fields of a request.
    """

    __pydantic_config__ = _FORBID_EXTRA

    zone: NameText
    region: NameText = "region-1"
    address: AddressText
    listen_address: AddressText | None = None
    control_addresses: list[AddressText] = dataclasses.field(
        default_factory=list
    )
    cluster_secret: str = dataclasses.field(default="", repr=False)
    cluster_secret_file: str = ""
    dump_folder: str = ""
    log_level: LogLevel = defaults.LOG_LEVEL
    metrics_address: AddressText | None = None
    link_mbps: LinkRate | None = None
    memory_mb: MemoryMb = defaults.NODE_MEMORY_MB
    fds_max: FdCount = defaults.FDS_MAX
    header_fields_max: FieldCount = defaults.HEADER_FIELDS_MAX


@dataclasses.dataclass(frozen=True, kw_only=True)
class NodeSettings(ProcessSettings):
    """Settings of ``fescueyard node``.

    :param node_id: name of the node; generated when empty.
    :param caller_address: ``host:port`` for callers.
    :param backend_address: ``host:port`` for the VM's own backend server; a
        loopback address unless ``backend_address_guarded`` is set.
    :param backend_address_guarded: the network lets only the VM's own backend
        server reach ``backend_address``, so that it need not be a loopback
        address.
    :param ready_address: ``host:port`` of readiness probes, which report
        whether callers should use this node; empty to disable.
    :param caller_interface: ``services`` accepts requests to
        ``/service/path``, ``routes`` accepts requests that match the
        configured routes.
    :param service: service of this VM's backend server; requests of callers on
        this VM are attributed to it.
    :param server_address: ``host:port`` of the backend server, to rediscover
        it after a restart before it announces itself; empty for none.
    :param first_start: whether the whole fleet starts for the first time. If
        not, the backend server may have reported to an earlier process of
        this node that it is leaving, and its first announcement has to be
        confirmed.
    :param announcement_ttl_ms: time without an announcement after which the
        backend server is considered gone, unless its announcement states
        another.
    :param stop_timeout_ms: longest duration of a planned stop.
    :param leave_notice_ms: time between reporting the node as not ready and
        refusing callers, in a planned stop.
    :param body_bytes_max: maximum size of a request body.
    :param answer_bytes_max: maximum size of a response body.
    """

    __pydantic_config__ = _FORBID_EXTRA

    node_id: str = ""
    caller_address: AddressText
    backend_address: AddressText
    backend_address_guarded: bool = False
    ready_address: AddressText | None = None
    caller_interface: typing.Literal["services", "routes"] = "services"
    service: str = ""
    server_address: AddressText | None = None
    first_start: bool = False
    announcement_ttl_ms: PositiveMs = defaults.ANNOUNCEMENT_TTL_MS
    stop_timeout_ms: PositiveMs = defaults.STOP_TIMEOUT_MS
    leave_notice_ms: typing.Annotated[int, pydantic.Field(ge=0)] = 0
    body_bytes_max: ByteCount = defaults.BODY_BYTES_MAX
    answer_bytes_max: ByteCount = defaults.ANSWER_BYTES_MAX


@dataclasses.dataclass(frozen=True, kw_only=True)
class ControlSettings(ProcessSettings):
    """Settings of ``fescueyard control``.

    :param data_folder: directory of the stored state, on the VM's disk.
    :param admin_address: ``host:port`` of the administration API.
    :param operators_file: file with one line ``name sha256-of-token`` per
        operator.
    :param admin_address_guarded: the network lets only operators reach
        ``admin_address``, so that no token is required.
    :param join: start with a new data folder and apply for membership.
    :param founders: ``address`` of each control VM that bootstraps a new
        cluster, the same on all of them; used with an empty data folder only,
        and never again after the first start.
    :param repairs_members: admit applicants and replace voters that stay
        unavailable, without an operator.
    :param voters_max: maximum number of voting members.
    :param keeps_claims: assign replicas of claims; when false, requests with
        an idempotency key are refused.
    :param zones: availability zones that operators may evacuate, in addition
        to those of the known processes.
    """

    __pydantic_config__ = _FORBID_EXTRA

    data_folder: str
    admin_address: AddressText
    operators_file: str = ""
    admin_address_guarded: bool = False
    join: bool = False
    founders: list[AddressText] = dataclasses.field(default_factory=list)
    repairs_members: bool = False
    voters_max: typing.Annotated[int, pydantic.Field(ge=1, le=9)] = (
        defaults.VOTERS_MAX
    )
    keeps_claims: bool = True
    zones: list[str] = dataclasses.field(default_factory=list)
    memory_mb: MemoryMb = defaults.CONTROL_MEMORY_MB


@dataclasses.dataclass(frozen=True, kw_only=True)
class OperatorSettings:
    """Settings of ``fescueyard ctl``.

    :param admin_addresses: ``host:port`` of administration APIs, tried in
        order.
    :param operator_token: token of the operator; from the environment only.
    :param operator_token_file: file that contains the token instead.
    :param timeout_ms: time limit of a request over all attempts, in ms.
    """

    __pydantic_config__ = _FORBID_EXTRA

    admin_addresses: list[AddressText]
    operator_token: str = dataclasses.field(default="", repr=False)
    operator_token_file: str = ""
    timeout_ms: typing.Annotated[int, pydantic.Field(ge=100)] = 10_000


def load(cls, flags, environment):
    """Build settings from flags and environment variables.

    :param cls: settings class.
    :param flags: flag values by name.
    :param environment: environment variables by name.
    :returns: an instance of ``cls``.
    :raises SettingsError: naming each invalid setting.
    """
    for name in SECRET_FIELDS:
        if name in flags:
            raise exceptions.SettingsError(
                f"{name} must not be a flag; use the environment or a file"
            )
    values = {}
    for field in dataclasses.fields(cls):
        variable = defaults.ENVIRONMENT_PREFIX + field.name.upper()
        if variable in environment:
            values[field.name] = environment[variable]
    values.update(flags)
    for field in dataclasses.fields(cls):
        if field.name in values and typing.get_origin(field.type) is list:
            values[field.name] = _split_list(values[field.name])
    try:
        return pydantic.TypeAdapter(cls).validate_python(values)
    except pydantic.ValidationError as error:
        raise exceptions.SettingsError(
            models.format_validation_error(error)
        ) from None


def read_secret(value, path, setting):
    """Read a secret from its setting or its file.

    :param value: value of the setting; empty for none.
    :param path: path of the file; empty for none.
    :param setting: name of the setting, for the error message.
    :returns: the secret, as bytes.
    :raises SettingsError: when the secret is missing or too short.
    """
    secret = value.encode()
    if not secret and path:
        try:
            with open(path, "rb") as file:
                secret = file.read().strip()
        except OSError as error:
            raise exceptions.SettingsError(
                f"{setting}: can't read {path}: {error.strerror}"
            ) from None
    if len(secret) < defaults.SECRET_BYTES_MIN:
        raise exceptions.SettingsError(
            f"{setting} is missing or shorter than "
            f"{defaults.SECRET_BYTES_MIN} bytes"
        )
    return secret


def _split_list(value):
    if isinstance(value, str):
        return [part for part in value.split(",") if part]
    # The flag parser converts a value with commas to a tuple.
    return [str(part) for part in value]
