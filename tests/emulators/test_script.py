import pytest

from apigateway.emulators.script import Script, Step


def next_kinds(script, *times):
    return [script.next(t).kind for t in times]


def test_script_when_its_counted_steps_are_over_then_answers_normally():
    assert next_kinds(Script([Step("busy", count=2), Step("silent", count=1)]), 0, 0, 0, 0) == [
        "busy",
        "busy",
        "silent",
        "answer",
    ]


def test_step_with_a_duration_starts_at_its_first_message():
    script = Script([Step("silent", duration_s=2.0), Step("error", duration_s=1.0), Step("busy")])
    assert next_kinds(script, 10, 11.9, 12, 12.9, 13, 99) == [
        "silent",
        "silent",
        "error",
        "error",
        "busy",
        "busy",
    ]


def test_step_with_a_duration_is_skipped_when_no_message_arrives_in_time():
    assert next_kinds(
        Script([Step("silent", duration_s=1), Step("error", duration_s=1), Step("reset", count=1)]), 0, 5, 6
    ) == ["silent", "reset", "answer"]


def test_set_steps_replaces_the_remaining_steps():
    script = Script([Step("silent")])
    script.set_steps(Step("busy", count=1))
    assert next_kinds(script, 0, 0) == ["busy", "answer"]


@pytest.mark.parametrize(
    "make_step", [lambda: Step("sulk"), lambda: Step(count=-1), lambda: Step("slow", work_factor=-1)]
)
def test_invalid_step_is_rejected(make_step):
    with pytest.raises(ValueError):
        make_step()
