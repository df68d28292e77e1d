"""Tests of the shipped examples, as modules and as rules."""

import pytest
from plugins.example_plugins import FORMS, copy_example

from apigateway.plugins.testkit import Kit


@pytest.mark.parametrize("form", FORMS)
def test_districts_are_tagged_by_the_table_in_settings(form, tmp_path):
    kit = Kit.load(str(copy_example("districts", form, tmp_path)))
    assert kit.request(customer="0000000000000002").tags == {"district": "thrissur"}
    assert kit.request(customer="00000000000000ff").tags == {}
    assert kit.request(customer="x" * 64).tags == {} and kit.counters("districts") == {"unknown": 2.0}
    kit.close()


@pytest.mark.parametrize("form", FORMS)
def test_class_is_rejected_only_within_the_configured_period(form, tmp_path):
    kit = Kit.load(
        str(
            copy_example(
                "calendar",
                form,
                tmp_path,
                **{
                    "2026-01-01T00:00:00+05:30": "2026-08-20T00:00:00+05:30",
                    "2036-01-01T00:00:00+05:30": "2026-08-29T00:00:00+05:30",
                },
            )
        )
    )
    start, end = 1787164200.0, 1787941800.0
    for now, is_in_period in ((start - 1, False), (start, True), (end - 1, True), (end, False)):
        result = kit.request(cls="shift-update", now=now)
        assert result.refuse == (1.5 if is_in_period else None) and not result.denied and not result.failed
        assert kit.request(cls="roster-read", now=now).refuse is None
        assert kit.request(cls="shift-updatf", now=now).refuse is None
    kit.close()


@pytest.mark.parametrize("form", FORMS)
def test_sampler_tags_its_share_and_the_same_requests_each_time(form, tmp_path):
    kit = Kit.load(str(copy_example("sampler", form, tmp_path)))
    tags_by_request = [kit.request(id=f"r{n}").tags for n in range(1500)]
    assert all(tags in ({}, {"export": "1"}) for tags in tags_by_request)
    share = sum(map(bool, tags_by_request))
    assert 100 <= share <= 210 and kit.counters("sampler") == {"marked": share}
    assert [kit.request(id=f"r{n}").tags for n in range(50)] == tags_by_request[:50]
    kit.close()
