"""What a reload of the settings takes up, and what needs a restart."""

import msgspec

from apigateway.daemon.settings import Settings, read_settings
from apigateway.daemon.settings_reload import (
    RELOADABLE_KEYS,
    compare_settings,
    differences,
    effective_settings,
)
from apigateway.daemon.settings_schema import CounterSection

GOOD = """
[classes.read]
effect = "safe"
aim = 1.0
deadline = 3.0
[plans.p]
rate = 2.0
burst = 8.0
"""


def test_comparison_when_settings_differ_then_tells_what_a_reload_takes_up(tmp_path):
    file = tmp_path / "gateway.toml"
    file.write_text(GOOD)
    old = read_settings(str(file))
    file.write_text(
        GOOD.replace("rate = 2.0", "rate = 3.0")
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
    live, restart = compare_settings(old, new)
    assert live == ["limits.max_open", "listeners"]
    assert restart == ["classes.more", "limits.max_attempts", "plans.p.rate"]
    now = effective_settings(old, new)
    assert now.limits.max_open == 7 and now.limits.max_attempts == 3 and now.plans["p"].rate == 2.0
    assert compare_settings(now, new) == ([], restart)  # never silently left


def test_counter_when_it_is_added_or_removed_then_needs_a_restart():
    none, one, other = (Settings(counter=CounterSection(address=address)) for address in ("", "h:1", "h:2"))
    assert (
        compare_settings(one, other) == (["counter.address"], []) and effective_settings(one, other) == other
    )
    for old, new in ((none, one), (one, none)):
        assert compare_settings(old, new) == ([], ["counter.address"]) and effective_settings(old, new) == old


def test_reloadable_keys_exist():
    tree = msgspec.to_builtins(Settings())
    for key in RELOADABLE_KEYS:
        part, _, name = key.partition(".")
        assert part in tree and (not name or name in tree[part]), key
    assert list(differences(tree, tree, "")) == []
