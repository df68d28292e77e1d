import pytest

from apigateway import messages
from apigateway.platform_settings import nanoseconds_to_seconds, read_flag, read_load_report, read_settings

CLASS_OBJECT = {"name": "c", "slo": "100000000", "deadline": 500000000, "effect": "token", "gain": "1"}
RULES = {
    "answer_slack": 0,
    "drain_grace": 1_000_000_000,
    "start_capacity": 0.2,
    "cold": 0,
    "fall_multiple": 2,
    "tip_after": 0,
}
SETTINGS_TREE = {
    "index": "0",
    "group_size": 1,
    "locality": "a",
    "services": [CLASS_OBJECT],
    "plans": [{"name": "p", "rate": 5, "most_at_once": 10}],
    "limits": {"max_attempts": 3, "cancel": True},
    "rules": RULES,
    "specifics": {"shared_counter": "1", "counter_timeout": "30000000"},
    "registry_mode": "on_request",
    "reporting": {"names": ["active", "unheard_of"]},
}


def test_settings_from_json_are_converted_to_message_types():
    settings = read_settings(SETTINGS_TREE)
    assert settings.classes["c"].idempotency is messages.Idempotency.KEYED
    assert settings.classes["c"].latency_objective == pytest.approx(0.1)
    assert settings.discovery_mode is messages.DiscoveryMode.POLL
    assert settings.load_report_fields == ("inflight",)
    assert settings.limits.can_cancel and not settings.limits.can_hedge


def test_settings_with_numbered_keys_instead_of_lists_are_read_the_same():
    flat_tree = {
        **SETTINGS_TREE,
        "services": {"count": "1", "0": CLASS_OBJECT},
        "reporting": {"names": "active,unheard_of"},
    }
    assert read_settings(flat_tree) == read_settings(SETTINGS_TREE)


def test_missing_setting_is_named_in_the_error():
    with pytest.raises(KeyError, match="max_attempts"):
        read_settings({**SETTINGS_TREE, "limits": {}})


def test_load_report_omits_unknown_and_empty_fields():
    report = read_load_report([("active", "2"), ("avg_ms", "50"), ("odd", "1"), ("cpu", "")])
    assert report == {"inflight": 2.0, "latency": 0.05}


def test_flags_and_times_are_read_from_text_and_numbers():
    assert read_flag({"a": "TRUE"}, "a") and not read_flag({"a": 0}, "a") and read_flag({}, "a", default=True)
    assert nanoseconds_to_seconds("1500000000") == 1.5
