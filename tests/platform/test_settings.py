"""The platform's settings file, valid and invalid."""

import pytest

from fescueyard.conf import checks
from fescueyard.core import exceptions
from fescueyard.platform import settings

TEXT = """
[Self]
Node = "sidecar-a-1"
Role = "node"
Ip = "10.1.0.26"
Zone = "thrissur-a"
Region = "kerala-central"
Bootstrap = true
DataDir = "/tmp/none"
AppAddr = "10.1.0.26:8547"
Service = "huvo11a"
[Network]
InternalPorts = [7000, 7015]
Seeds = ["10.1.0.26:8540", "10.2.0.28:8540", "10.3.0.46:8540"]
[Network.Listen]
Outbound = "10.1.0.26:8548"
Ready = "10.1.0.26:8546"
Control = "10.1.0.26:8540"
[Platform]
HeartbeatMs = 1500
[Terms.FaultTolerance]
Machines = 2
[Terms.Bounds]
GraceS = 6
FailClosed = false
RetryBudgetRatio = 0.2
BudgetSlack = 49
Unknown = "ignored"
"""


@pytest.fixture(name="write")
def _write(tmp_path, monkeypatch):
    def write(text):
        path = tmp_path / "settings.toml"
        path.write_text(text)
        monkeypatch.setenv("FESCUEYARD_BOOT", str(path))
        monkeypatch.setenv("FESCUEYARD_CLUSTER_SECRET", "s" * 32)

    return write


def test_node_settings_are_read(write):
    write(TEXT)
    values = settings.read_node()
    checks.require_valid(values)
    assert values.address == "10.1.0.26:7000"
    assert values.control_addresses == [
        "10.1.0.26:7000",
        "10.2.0.28:7000",
        "10.3.0.46:7000",
    ]
    assert values.caller_address == "10.1.0.26:8548"
    assert values.backend_address == "10.1.0.26:8540"
    assert values.service == "huvo11a"
    assert values.stop_timeout_ms == 6_000


@pytest.mark.parametrize(
    "line, link_mbps",
    [("", None), ("LinkMbps = 0", None), ("LinkMbps = 50", 50.0)],
)
def test_rate_of_the_link_is_read(write, line, link_mbps):
    """Guards against saving bytes where no link rate is set."""
    write(TEXT.replace("[Network]", f"[Self.Limits]\n{line}\n[Network]"))
    assert settings.read_node().link_mbps == link_mbps
    assert settings.read_control().link_mbps == link_mbps


def test_control_bootstraps_at_the_first_start_only(write):
    write(TEXT)
    values = settings.read_control()
    assert values.address in values.founders
    assert values.voters_max == 5
    write(TEXT.replace("Bootstrap = true", "Bootstrap = false"))
    assert settings.read_control().founders == []


def test_zones_are_read_whatever_their_tables_contain(write):
    """An operator could not evacuate a zone that no process is known of."""
    write(TEXT)
    assert settings.read_control().zones == []
    zones = "[Network.Zones]\nthrissur-a = [1]\n"
    write(TEXT + zones + "[Network.Zones.'other zone, b']\nPrefix = 24\n")
    values = settings.read_control()
    assert values.zones == ["thrissur-a", "other zone, b"]


def test_profile_is_read_from_the_bounds(write):
    write(TEXT)
    profile = settings.read_profile()
    assert profile.retry_budget_ratio == 0.2
    assert profile.retry_budget_slack == 49
    assert profile.cut_off_rate_share > 0
    write(TEXT.replace("FailClosed = false", "FailClosed = true"))
    fail_closed = settings.read_profile()
    assert fail_closed.cut_off_rate_share == 0
    assert fail_closed.key_staleness_max_ms <= 5_000


def test_size_of_the_vm_is_read_or_has_a_default(write):
    write(TEXT)
    assert settings.read_node().memory_mb == 200
    assert settings.read_control().memory_mb == 296
    assert settings.read_node().fds_max == 4_100
    write(TEXT + "[Self.Limits]\nMemoryMb = 240\nMaxFds = 900\n")
    for values in (settings.read_node(), settings.read_control()):
        assert (values.memory_mb, values.fds_max) == (240, 900)


@pytest.mark.parametrize(
    "text",
    [
        "",
        "[Self",
        TEXT.replace('Ip = "10.1.0.26"', "Ip = 7"),
        TEXT.replace('Ip = "10.1.0.26"', ""),
        TEXT.replace('Outbound = "10.1.0.26:8548"', 'Outbound = "here"'),
        TEXT.replace("InternalPorts = [7000, 7015]", "InternalPorts = []"),
        TEXT.replace("[Network.Listen]", "[Network.Other]"),
        TEXT + "[Self.Limits]\nMemoryMb = 8\n",
    ],
)
def test_invalid_file_raises_settings_error(write, text):
    write(text)
    with pytest.raises(exceptions.SettingsError):
        settings.read_node()


def test_missing_file_raises_settings_error(monkeypatch):
    monkeypatch.setenv("FESCUEYARD_BOOT", "/nowhere/settings.toml")
    with pytest.raises(exceptions.SettingsError):
        settings.read_control()


ODD_VALUES = [
    "1e308",
    "-1",
    "inf",
    "nan",
    "1" + "0" * 30,
    "[]",
    "{}",
    "true",
    '"x\\u0000"',
]
ENTRIES = [line for line in TEXT.splitlines() if "=" in line]


# A reload with an odd number raised and left the signal without effect.
@pytest.mark.parametrize("value", ODD_VALUES)
def test_odd_value_is_accepted_or_refused_with_its_number(write, value):
    for entry in ENTRIES:
        name = entry.partition("=")[0]
        write(TEXT.replace(entry, f"{name}= {value}"))
        for read in (
            settings.read_node,
            settings.read_control,
            settings.read_profile,
        ):
            try:
                read()
            except exceptions.SettingsError as error:
                assert error.code.number == 4000


@pytest.mark.parametrize("content", [b"\xff\xfe", b"a = " + b"[" * 100_000])
def test_unreadable_file_is_refused(write, tmp_path, content):
    write("")
    (tmp_path / "settings.toml").write_bytes(content)
    with pytest.raises(exceptions.SettingsError):
        settings.read_node()
