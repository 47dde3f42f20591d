"""Semantic checks of settings; each problem has an id and a hint."""

import dataclasses
import functools
import ipaddress
import os

from fescueyard.conf import settings
from fescueyard.core import exceptions
from fescueyard.core import operators


# Resident memory of a process without clients, with a margin.
PROCESS_BYTES = 64 * 1024**2
# A body, its encoding and the parts of its frame exist at the same time.
BODY_COPIES = 6


@dataclasses.dataclass(frozen=True)
class Problem:
    """A problem with the settings.

    :param id: stable id, such as ``conf.E001``; W instead of E marks a
        warning.
    :param message: description of the problem.
    :param hint: how to solve the problem.
    """

    id: str
    message: str
    hint: str

    def is_error(self):
        """Return whether the problem prevents a process from starting.

        :returns: bool.
        """
        return ".E" in self.id


@functools.singledispatch
def check(values):
    """Check the settings of a process or an operator.

    :param values: a settings object.
    :returns: list of :class:`Problem`.
    :raises TypeError: when there are no checks for the class of the object.
    """
    raise TypeError(f"no checks for {type(values).__name__}")


@check.register
def _check_node(values: settings.NodeSettings):
    problems = _check_process(values)
    host = values.backend_address.rpartition(":")[0]
    loopback = ipaddress.ip_address(host).is_loopback
    if not loopback and not values.backend_address_guarded:
        problems.append(
            Problem(
                "conf.E003",
                f"backend_address {values.backend_address} is not a loopback "
                "address",
                "Only the VM's own backend server may connect to it: use "
                "127.0.0.1.",
            )
        )
    addresses = [
        values.address,
        values.caller_address,
        values.backend_address,
    ]
    if len(set(addresses)) < len(addresses):
        problems.append(
            Problem(
                "conf.E004",
                "two listeners share an address",
                "Use different ports for address, caller_address and "
                "backend_address.",
            )
        )
    body_bytes_max = max(values.body_bytes_max, values.answer_bytes_max)
    # The process, the copies of a body that exist for a moment, and the body.
    needed_bytes = PROCESS_BYTES + BODY_COPIES * body_bytes_max
    if values.memory_mb * 1024**2 < needed_bytes:
        problems.append(
            Problem(
                "conf.W012",
                f"memory_mb {values.memory_mb} is little for bodies of "
                f"{body_bytes_max} bytes",
                f"Give the VM {needed_bytes // 1024**2} MiB, or lower "
                "body_bytes_max and answer_bytes_max.",
            )
        )
    if not values.control_addresses:
        problems.append(
            Problem(
                "conf.E005",
                "control_addresses is empty",
                "Name at least one control VM, so that the node can join the "
                "fleet.",
            )
        )
    return problems


@check.register
def _check_control(values: settings.ControlSettings):
    problems = _check_process(values)
    if os.path.exists(values.data_folder) and not os.access(
        values.data_folder, os.W_OK
    ):
        problems.append(
            Problem(
                "conf.E006",
                f"data_folder {values.data_folder} is not writable",
                "Grant the user of the process write access.",
            )
        )
    try:
        if values.operators_file or not values.admin_address_guarded:
            operators.load(values.operators_file)
    except exceptions.SettingsError as error:
        problems.append(
            Problem(
                "conf.E007",
                error.detail,
                "Create a line with `fescueyard operator_token NAME`.",
            )
        )
    if values.founders and values.voters_max < len(values.founders):
        problems.append(
            Problem(
                "conf.E011",
                f"{len(values.founders)} founders are named, but voters_max "
                f"is {values.voters_max}",
                "Every founder has a vote: name fewer, or raise voters_max.",
            )
        )
    if values.join and not values.control_addresses:
        problems.append(
            Problem(
                "conf.E008",
                "join is set but control_addresses is empty",
                "Name a control VM of the cluster to join.",
            )
        )
    return problems


@check.register
def _check_operator(values: settings.OperatorSettings):
    try:
        settings.read_secret(
            values.operator_token, values.operator_token_file, "operator_token"
        )
    except exceptions.SettingsError as error:
        hint = "Set FESCUEYARD_OPERATOR_TOKEN or operator_token_file."
        return [Problem("conf.E009", error.detail, hint)]
    return []


def require_valid(values):
    """Check settings and raise an error unless they are valid.

    :param values: a settings object.
    :raises SettingsError: naming every problem that is an error.
    """
    errors = [problem for problem in check(values) if problem.is_error()]
    if errors:
        text = "; ".join(
            f"{problem.id}: {problem.message}" for problem in errors
        )
        raise exceptions.SettingsError(text)


def _check_process(values):
    problems = []
    try:
        settings.read_secret(
            values.cluster_secret, values.cluster_secret_file, "cluster_secret"
        )
    except exceptions.SettingsError as error:
        problems.append(
            Problem(
                "conf.E001",
                error.detail,
                "Set FESCUEYARD_CLUSTER_SECRET or cluster_secret_file to the "
                "same secret on every VM.",
            )
        )
    if values.dump_folder and not os.path.isdir(values.dump_folder):
        problems.append(
            Problem(
                "conf.E002",
                f"dump_folder {values.dump_folder} is not a directory",
                "Create the directory, or leave the setting empty to log "
                "dumps.",
            )
        )
    if values.address.startswith("0.0.0.0:"):
        problems.append(
            Problem(
                "conf.E010",
                "other processes cannot connect to address 0.0.0.0",
                "Use the IP address by which other VMs reach this VM.",
            )
        )
    return problems
