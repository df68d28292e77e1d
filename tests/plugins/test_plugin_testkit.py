"""Tests of the test kit for authors of plug-ins."""

from apigateway.plugins.testkit import Kit, settings


def test_kit_reports_denied_proposals_and_failed_calls(tmp_path):
    (tmp_path / "plugin.toml").write_text("""
[[plugins]]
name = "example"
[[plugins.rules]]
tag = { a = '"1"' }
refuse = '9'
when = 'class == "roster-read"'
[[plugins.rules]]
when = 'class == "shift-update"'
tag = { b = 'customer == "f" ? string(1 / 0) : "2"' }
[[plugins.rules]]
on = "attempt"
tag = { a = 'host', n = 'attempt' }
[[plugins.rules]]
on = "answer"
count = { slow = 'elapsed > 1 ? 1 : 0', served = 'outcome == "served" ? 1 : 0' }
[[plugins.rules]]
on = "tick"
count = { ticks = '1' }
""")
    kit = Kit.load(str(tmp_path / "plugin.toml"), settings(routes={"batch": ["b"]}))
    result = kit.request()
    assert (result.tags, result.refuse, result.denied) == ({"a": "1"}, 2.0, [("example", "refuse: wait cut")])
    result = kit.request(cls="shift-update", customer="f")
    assert result.tags == {} and result.failed == [("example", "error")]
    assert kit.attempt(result, "h7") == {"a": "h7", "n": "0"} and kit.attempt(result, "h8") == {
        "a": "h8",
        "n": "1",
    }
    kit.answer(result, elapsed=2.0)
    kit.tick()
    assert kit.counters("example") == {"slow": 1.0, "served": 1.0, "ticks": 1.0}
    kit.close()
