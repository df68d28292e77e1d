"""Test the settings file: all problems are reported at once, each with its key, value, reason and remedy."""

import os
import subprocess
import sys
from pathlib import Path

import msgspec
import pytest
from hypothesis import given, seed, settings
from hypothesis import strategies as st

from apigateway import __version__, messages
from apigateway.config_validation import MAX_FILE_BYTES, InvalidConfigFileError
from apigateway.daemon.settings import Settings, read_settings
from apigateway.daemon.settings_runtime import build_config, build_module_settings
from apigateway.membership.file import read_endpoint_file

ROOT = Path(__file__).resolve().parents[2]
VALID_TABLES = """
[classes.read]
effect = "safe"
aim = 1.0
deadline = 3.0
[plans.p]
rate = 2.0
burst = 8.0
"""
PREFIX = {"limits": "[limits]\n", "rules": "[rules]\n"}


def read_problems(tmp_path, text, **options):
    """Read an invalid settings file, and return the problems by key."""
    file = tmp_path / "gateway.toml"
    file.write_bytes(text if isinstance(text, bytes) else text.encode())
    with pytest.raises(InvalidConfigFileError) as caught:
        read_settings(str(file), **options)
    assert all(
        problem.file == str(file) and problem.reason and problem.remedy for problem in caught.value.problems
    )
    return {problem.key: problem for problem in caught.value.problems}


def test_deploy_file_when_it_is_read_then_is_valid_and_has_the_defaults():
    values = msgspec.to_builtins(read_settings(str(ROOT / "deploy" / "gateway.toml")))
    defaults = msgspec.to_builtins(Settings())
    for table in defaults.keys() - {"classes", "plans"}:
        assert values[table] == defaults[table], table
    config = build_config(
        str(ROOT / "deploy" / "gateway.toml"), read_settings(str(ROOT / "deploy" / "gateway.toml"))
    )
    assert (
        isinstance(config.settings, messages.Settings)
        and len(config.known_endpoints.endpoint_list.endpoints) == 1
    )


def test_deploy_file_has_every_key():
    text = (ROOT / "deploy" / "gateway.toml").read_text()
    for table, keys in msgspec.to_builtins(Settings()).items():
        for key in keys if isinstance(keys, dict) else ():
            is_listed = f"[{table}.{key}]" in text or f"\n{key} = " in text.split(f"[{table}]")[1]
            assert is_listed, f"{table}.{key}"


@pytest.mark.parametrize(
    "text, key, message",
    [
        ("[plan.p]\nrate = 1.0", "plan", "did you mean `plans`"),
        ("[plans.q]\nrte = 1.0\nburst = 3.0", "plans.q.rte", "did you mean `rate`"),
        ("[daemon]\nxyz = 1", "daemon.xyz", "valid keys: state"),
        ('[limits]\nmax_open = "many"', "limits.max_open", "a whole number, got text"),
        ("[limits]\nmax_open = 0", "limits.max_open", ">= 1; its default is 20000"),
        ("[rules]\ncold_share = 1.5", "rules.cold_share", "<= 1.0"),
        ("[rules]\ndrain_grace = nan", "rules.drain_grace", "a number"),
        ("listeners = 3", "listeners", "[[listeners]]"),
        ("[[listeners]]\naddress = 'nowhere'", "listeners[0].address", "HOST:PORT"),
        (
            "[[listeners]]\naddress = '127.0.0.1:1'\n[[listeners]]\naddress = '127.0.0.1:1'",
            "listeners[1].address",
            "also the address of listeners[0]",
        ),
        ("[[listeners]]\nprotocol = 'gopher'", "listeners[0].protocol", "gopher"),
        (
            "[gateway]\nindex = 3\ngateways = 3\n[counter]\naddress = '127.0.0.1:1'",
            "gateway.index",
            "numbered from 0",
        ),
        ("[gateway]\ngateways = 3", "counter.address", "without a counter"),
        ("[counter]\naddress = 'nowhere'", "counter.address", "HOST:PORT"),
        ("[hosts]\nsource = 'discovery'", "hosts.discovery", "HOST:PORT"),
        ("[hosts]\nsource = 'eureka'", "eureka.urls", "no registry is set"),
        ("[eureka]\nurls = ['http://u:p@h/eureka']", "eureka.urls", "//(hidden)@h"),
        ("[eureka]\nby = 'vip'", "eureka.name", 'eureka.by = "vip" needs a name'),
        ("[eureka]\npassword = 17", "eureka.password", "(hidden)"),
        ("[eureka.states]\nDOWN = 'asleep'", "eureka.states.DOWN", "asleep"),
        (
            "[register]\non = true\n[eureka]\nurls = ['http://h/eureka']",
            "register.ip",
            "at which clients reach this gateway",
        ),
        ("[register]\nrenew = 20.0", "register.duration", "a single lost renewal"),
        (
            "[classes.c]\neffect = 'safe'\naim = 4.0\ndeadline = 3.0",
            "classes.c.aim",
            "exceeds the deadline of 3.0",
        ),
        ("[classes.c]\neffect = 'sometimes'\naim = 1.0\ndeadline = 3.0", "classes.c.effect", "sometimes"),
        ("[classes.c]\neffect = 'safe'\naim = 1.0", "classes.c.deadline", "missing"),
        (
            "[classes.c]\neffect = 'keyed'\naim = 1.0\ndeadline = 3.0",
            "classes.c.memory",
            "a time during which hosts drop repeated requests",
        ),
        (
            "[classes.c]\neffect = 'unsafe'\nmemory = 3.0\naim = 1.0\ndeadline = 3.0",
            "classes.c.memory",
            "hosts drop no repeated requests",
        ),
        (
            "[classes.c]\neffect = 'safe'\nscope = 'zone'\naim = 1.0\ndeadline = 3.0",
            "classes.c.scope",
            "no scope",
        ),
        (
            "[classes.c]\neffect = 'safe'\naim = 1.0\ndeadline = 30.0",
            "classes.c.deadline",
            "daemon.finish = 10.0",
        ),
        (
            "[plans.q]\nrate = 2.0\nburst = 8.0\nceiling_rate = 1.0\nceiling_burst = 9.0",
            "plans.q.ceiling_rate",
            "less than the quota's rate of 2.0",
        ),
        (
            "[plans.q]\nrate = 2.0\nburst = 8.0\nceiling_rate = 4.0\nceiling_burst = 7.0",
            "plans.q.ceiling_burst",
            "less than the quota's burst of 8.0",
        ),
        ("[plans.q]\nrate = 2.0", "plans.q.burst", "less than the largest request"),
        ("[plans.q]\nprice = 1.0", "plans.q.rate", "neither rate nor"),
        (
            "[limits]\nmemory_mb = 48\nmax_customers = 100000",
            "limits.max_customers",
            "the 5991 customers that fit",
        ),
        ("[overload]\nlag = 0.0", "overload.lag", "0.005"),
        ("[overload]\nlag = 0.5", "overload.turn", "less than overload.lag"),
    ],
)
def test_problem_when_a_value_is_invalid_then_names_its_key(text, key, message, tmp_path):
    problems = read_problems(tmp_path, text + VALID_TABLES)
    assert list(problems) == [key] and message in str(problems[key])


def test_problems_when_there_are_several_then_all_are_reported(tmp_path):
    problems = read_problems(
        tmp_path,
        """
        [limits]
        max_open = -1
        [gateway]
        index = 7
        [plans.p]
        rate = 2.0
        burst = "much"
        [plans.q]
        rate = 4.0
        burst = 4.0
        ceiling_rate = 1.0
        ceiling_burst = 4.0
        [wrong]
        """,
    )
    assert set(problems) == {
        "limits.max_open",
        "gateway.index",
        "plans.p.burst",
        "plans.q.ceiling_rate",
        "wrong",
        "classes",
    }


def test_file_when_it_is_not_a_settings_file_then_is_rejected(tmp_path):
    for content, message in (
        (b"\xff\xfe", "UTF-8 (byte 0)"),
        (b"[limits]\nmax_op", "half written"),
        (b"x = [[" * 5000, ""),
    ):
        (problem,) = read_problems(tmp_path, content).values()
        assert problem.key == "" and message in str(problem)
    with pytest.raises(InvalidConfigFileError, match="not a regular file"):
        read_settings(str(tmp_path))
    with pytest.raises(InvalidConfigFileError, match="No such file"):
        read_settings(str(tmp_path / "none.toml"))
    os.mkfifo(tmp_path / "fifo")
    with pytest.raises(InvalidConfigFileError, match="not a regular file"):
        read_settings(str(tmp_path / "fifo"))
    large_file = tmp_path / "big.toml"
    with open(large_file, "wb") as file:
        file.truncate(60 * 1024 * 1024)
    with pytest.raises(InvalidConfigFileError, match=f"at most {MAX_FILE_BYTES} are allowed"):
        read_settings(str(large_file))


def test_settings_with_a_platform_configuration_then_may_have_only_the_other_tables(tmp_path):
    problems = read_problems(
        tmp_path, VALID_TABLES + "[daemon]\nlinger = 0.1\n[limits]\nmax_open = 3\n", with_platform_config=True
    )
    assert set(problems) == {"classes", "plans", "limits"} and "RELAY_CONFIG" in str(problems["plans"])
    (tmp_path / "gateway.toml").write_text("[daemon]\nlinger = 0.1\n")
    assert read_settings(str(tmp_path / "gateway.toml"), with_platform_config=True).listeners == []


VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=5),
    lambda children: (
        st.lists(children, max_size=3) | st.dictionaries(st.text(max_size=5), children, max_size=3)
    ),
    max_leaves=6,
)


@seed(1)
@settings(max_examples=300, deadline=None, database=None)
@given(
    st.dictionaries(
        st.sampled_from([*Settings.__struct_fields__, "other"]),
        VALUES | st.dictionaries(st.sampled_from(["rate", "index", "address", "aim", "x"]), VALUES),
    )
)
def test_check_of_any_document_then_does_not_raise(document):
    from apigateway.config_validation import ConfigReader
    from apigateway.daemon.settings_validation import check_settings

    reader = ConfigReader("f")
    parsed = reader.read(document, Settings)
    if parsed is not None:
        check_settings(reader, parsed, False)
    if not reader.problems:
        assert isinstance(build_module_settings(parsed), messages.Settings)


@pytest.mark.parametrize(
    "text, message",
    [
        ("", "add one [[hosts]]"),
        ("[[hosts]]\nid='a'\n", "address: is missing"),
        ("[[hosts]", "TOML"),
        ("[[hosts]]\nid='a'\naddress='x'\n", "HOST:PORT"),
        ("[[hosts]]\nid='a'\naddress='h:1'\n[[hosts]]\nid='a'\naddress='h:2'\n", "is used more than once"),
        ("[[hosts]]\nid='a'\naddress='h:1'\nstate='asleep'\n", "asleep"),
    ],
)
def test_hosts_file_when_it_is_invalid_then_is_rejected(text, message, tmp_path):
    (tmp_path / "hosts.toml").write_text(text)
    with pytest.raises(InvalidConfigFileError) as caught:
        read_endpoint_file(str(tmp_path / "hosts.toml"))
    assert message in str(caught.value)


def test_check_and_version_commands(tmp_path):
    def run(*arguments):
        return subprocess.run(
            [sys.executable, "-B", "-m", "apigateway", *arguments],
            cwd=ROOT,
            capture_output=True,
            text=True,
            timeout=60,
        )

    assert run("version").stdout == f"api-gateway {__version__}\n"
    assert f'version = "{__version__}"' in (ROOT / "pyproject.toml").read_text()
    valid = run("check", "deploy/gateway.toml")
    assert valid.returncode == 0 and "1 hosts" in valid.stdout
    (tmp_path / "bad.toml").write_text("[daemon]\nlingr = 1\n")
    invalid = run("check", str(tmp_path / "bad.toml"))
    assert (
        invalid.returncode == 2
        and invalid.stderr.count("\n") == 3
        and "did you mean `linger`" in invalid.stderr
    )
    served = run("serve", str(tmp_path / "bad.toml"))
    assert served.returncode == 2 and "api-gateway: " in served.stderr
    assert run("nonsense").returncode == 2 and "usage" in run("--help").stdout
