"""Test which changes of the settings take effect at a reload, and which need a restart."""

import msgspec

from apigateway.daemon.settings import Settings, read_settings
from apigateway.daemon.settings_reload import (
    RELOADABLE_KEYS,
    compare_settings,
    differences,
    effective_settings,
)
from apigateway.daemon.settings_schema import CounterSection

VALID_TABLES = """
[classes.read]
effect = "safe"
aim = 1.0
deadline = 3.0
[plans.p]
rate = 2.0
burst = 8.0
"""


def test_comparison_when_settings_differ_then_separates_reloaded_keys_from_others(tmp_path):
    file = tmp_path / "gateway.toml"
    file.write_text(VALID_TABLES)
    old = read_settings(str(file))
    file.write_text(
        VALID_TABLES.replace("rate = 2.0", "rate = 3.0")
        + """
        [limits]
        max_open = 7
        max_attempts = 2
        [[listeners]]
        address = "127.0.0.1:7"
        [classes.more]
        effect = "safe"
        aim = 1.0
        deadline = 1.0
        """
    )
    new = read_settings(str(file))
    reloaded, needs_restart = compare_settings(old, new)
    assert reloaded == ["limits.max_open", "listeners"]
    assert needs_restart == ["classes.more", "limits.max_attempts", "plans.p.rate"]
    effective = effective_settings(old, new)
    assert (
        effective.limits.max_open == 7
        and effective.limits.max_attempts == 3
        and effective.plans["p"].rate == 2.0
    )
    assert compare_settings(effective, new) == ([], needs_restart)  # reported again, not dropped silently


def test_counter_when_it_is_added_or_removed_then_needs_a_restart():
    without, with_first, with_second = (
        Settings(counter=CounterSection(address=address)) for address in ("", "h:1", "h:2")
    )
    assert (
        compare_settings(with_first, with_second) == (["counter.address"], [])
        and effective_settings(with_first, with_second) == with_second
    )
    for old, new in ((without, with_first), (with_first, without)):
        assert compare_settings(old, new) == ([], ["counter.address"]) and effective_settings(old, new) == old


def test_reloadable_keys_exist():
    values = msgspec.to_builtins(Settings())
    for key in RELOADABLE_KEYS:
        table, _, name = key.partition(".")
        assert table in values and (not name or name in values[table]), key
    assert list(differences(values, values, "")) == []
