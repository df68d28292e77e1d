import pytest

from apigateway.emulators.script import Script, Step


def kinds(script, *times):
    return [script.next(t).kind for t in times]


def test_by_count_then_as_it_should():
    assert kinds(Script([Step("busy", count=2), Step("silent", count=1)]), 0, 0, 0, 0) == [
        "busy",
        "busy",
        "silent",
        "answer",
    ]


def test_in_time_from_the_first_message_on():
    script = Script([Step("silent", duration_s=2.0), Step("error", duration_s=1.0), Step("busy")])
    assert kinds(script, 10, 11.9, 12, 12.9, 13, 99) == ["silent", "silent", "error", "error", "busy", "busy"]


def test_a_step_that_nothing_came_in_passes():
    assert kinds(
        Script([Step("silent", duration_s=1), Step("error", duration_s=1), Step("reset", count=1)]), 0, 5, 6
    ) == ["silent", "reset", "answer"]


def test_play_takes_the_place_of_what_was_to_come():
    script = Script([Step("silent")])
    script.set_steps(Step("busy", count=1))
    assert kinds(script, 0, 0) == ["busy", "answer"]


@pytest.mark.parametrize(
    "make", [lambda: Step("sulk"), lambda: Step(count=-1), lambda: Step("slow", work_factor=-1)]
)
def test_a_step_that_makes_no_sense(make):
    with pytest.raises(ValueError):
        make()
