"""Settings and their checks; each problem has an id and a hint."""

import pytest

from fescueyard.conf import checks
from fescueyard.conf import settings
from fescueyard.core import exceptions
from fescueyard.core import operators

SECRET = "s" * 32
NODE = {
    "zone": "zone-a",
    "address": "127.0.0.1:7000",
    "caller_address": "127.0.0.1:7001",
    "backend_address": "127.0.0.1:7002",
    "control_addresses": "127.0.0.1:7100,127.0.0.1:7101",
}


def _load(environment=None, **changes):
    flags = {**NODE, **changes}
    environment = environment or {"FESCUEYARD_CLUSTER_SECRET": SECRET}
    return settings.load(settings.NodeSettings, flags, environment)


def test_flag_takes_precedence_over_environment_variable():
    values = _load(
        {"FESCUEYARD_ZONE": "zone-x", "FESCUEYARD_REGION": "region-9"}
    )
    assert (values.zone, values.region) == ("zone-a", "region-9")
    assert values.control_addresses == ["127.0.0.1:7100", "127.0.0.1:7101"]


@pytest.mark.parametrize(
    ("changes", "named"),
    [
        ({"zone": ""}, "zone"),
        ({"address": "no-port"}, "address"),
        ({"address": "host.example:1"}, "address"),
        ({"address": "127.0.0.999:1"}, "address"),
        ({"backend_address": "127.0.0.1:99999"}, "backend_address"),
        ({"body_bytes_max": 0}, "body_bytes_max"),
        ({"memory_mb": 8}, "memory_mb"),
        ({"fds_max": 8}, "fds_max"),
        ({"header_fields_max": 1}, "header_fields_max"),
        ({"log_level": "loud"}, "log_level"),
        ({"unheard_of": 1}, "unheard_of"),
        ({"cluster_secret": SECRET}, "cluster_secret"),
    ],
)
def test_error_names_the_invalid_setting(changes, named):
    with pytest.raises(exceptions.SettingsError) as caught:
        _load(**changes)
    assert named in caught.value.detail
    assert caught.value.code.number == 4000


@pytest.mark.parametrize(
    ("changes", "environment", "problem_id"),
    [
        ({}, {"FESCUEYARD_CLUSTER_SECRET": "short"}, "conf.E001"),
        ({"cluster_secret_file": "/nowhere"}, {"A": ""}, "conf.E001"),
        ({"dump_folder": "/nowhere"}, None, "conf.E002"),
        ({"backend_address": "10.0.0.1:7002"}, None, "conf.E003"),
        ({"backend_address": "127.0.0.1:7001"}, None, "conf.E004"),
        ({"control_addresses": ""}, None, "conf.E005"),
        ({"address": "0.0.0.0:7000"}, None, "conf.E010"),
        ({"memory_mb": 100}, None, "conf.W012"),
    ],
)
def test_problem_has_its_id_and_a_hint(changes, environment, problem_id):
    problems = checks.check(_load(environment, **changes))
    assert [problem.id for problem in problems] == [problem_id]
    assert problems[0].hint


def test_valid_settings_have_no_problem():
    assert checks.check(_load()) == []
    checks.require_valid(_load())


def test_secret_is_not_in_repr_of_settings():
    assert SECRET not in repr(_load())


def test_operator_is_found_by_token(tmp_path):
    token = operators.new_token()
    path = tmp_path / "operators"
    path.write_text("# ours\n" + operators.token_line("asha", token) + "\n")
    known_operators = operators.load(path)
    assert operators.find(known_operators, token) == "asha"
    assert operators.find(known_operators, token + "x") is None
    path.write_text("asha not-a-hash\n")
    with pytest.raises(exceptions.SettingsError):
        operators.load(path)
