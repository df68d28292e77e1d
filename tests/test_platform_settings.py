import pytest

from apigateway import messages
from apigateway.platform_settings import nanoseconds_to_seconds, read_flag, read_load_report, read_settings

SERVICE = {"name": "c", "slo": "100000000", "deadline": 500000000, "effect": "token", "gain": "1"}
RULES = {
    "answer_slack": 0,
    "drain_grace": 1_000_000_000,
    "start_capacity": 0.2,
    "cold": 0,
    "fall_multiple": 2,
    "tip_after": 0,
}
TREE = {
    "index": "0",
    "group_size": 1,
    "locality": "a",
    "services": [SERVICE],
    "plans": [{"name": "p", "rate": 5, "most_at_once": 10}],
    "limits": {"max_attempts": 3, "cancel": True},
    "rules": RULES,
    "specifics": {"shared_counter": "1", "counter_timeout": "30000000"},
    "registry_mode": "on_request",
    "reporting": {"names": ["active", "unheard_of"]},
}


def test_settings_when_read_from_json_then_use_the_words_of_the_contract():
    settings = read_settings(TREE)
    assert settings.classes["c"].idempotency is messages.Idempotency.KEYED
    assert settings.classes["c"].latency_objective == pytest.approx(0.1)
    assert settings.discovery_mode is messages.DiscoveryMode.POLL
    assert settings.load_report_fields == ("inflight",)
    assert settings.limits.can_cancel and not settings.limits.can_hedge


def test_settings_when_lists_are_counted_paths_then_read_the_same():
    flat = {**TREE, "services": {"count": "1", "0": SERVICE}, "reporting": {"names": "active,unheard_of"}}
    assert read_settings(flat) == read_settings(TREE)


def test_settings_when_one_is_missing_then_name_it():
    with pytest.raises(KeyError, match="max_attempts"):
        read_settings({**TREE, "limits": {}})


def test_report_when_it_has_unknown_or_empty_fields_then_leaves_them_out():
    report = read_load_report([("active", "2"), ("avg_ms", "50"), ("odd", "1"), ("cpu", "")])
    assert report == {"inflight": 2.0, "latency": 0.05}


def test_flags_and_times_when_read_then_take_both_forms():
    assert read_flag({"a": "TRUE"}, "a") and not read_flag({"a": 0}, "a") and read_flag({}, "a", default=True)
    assert nanoseconds_to_seconds("1500000000") == 1.5
