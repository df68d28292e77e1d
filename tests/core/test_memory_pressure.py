"""The stages of a process by its size."""

import pytest

from apigateway.core.memory_pressure import EXIT_MARGIN_SHARE, STAGE_SHARES, MemoryPressure, PressureStage

LIMIT = 1_000_000


@pytest.mark.parametrize("stage", STAGE_SHARES)
def test_stage_when_the_process_grows_and_shrinks_then_it_is_entered_and_left_lower(stage):
    pressure = MemoryPressure(LIMIT)
    enter = round(STAGE_SHARES[stage] * LIMIT)
    leave = round((STAGE_SHARES[stage] - EXIT_MARGIN_SHARE) * LIMIT)
    assert pressure.update(enter - 1) == stage - 1
    assert pressure.update(enter + 1) == stage
    assert pressure.update(leave + 1) == stage
    assert pressure.update(leave - 1) == stage - 1
    assert pressure.update(0) == PressureStage.NORMAL


def test_stage_when_the_process_grows_at_once_then_none_is_waited_for():
    pressure = MemoryPressure(LIMIT)
    assert pressure.update(LIMIT) == PressureStage.CLOSE_IDLE
    assert pressure.update(LIMIT // 2) == PressureStage.NORMAL
    assert pressure.largest_bytes == LIMIT


def test_excess_when_above_the_stage_that_closes_then_counts_from_where_it_is_left():
    pressure = MemoryPressure(LIMIT)
    assert pressure.excess_bytes(LIMIT // 2) == 0
    assert pressure.excess_bytes(LIMIT) == pytest.approx(LIMIT * 0.35, abs=1)


# Guards against a small limit for which a gateway rejects all requests from its start.
@pytest.mark.parametrize("start_share", [0.51, 0.8, 0.95])
def test_stage_when_much_of_the_limit_is_used_at_the_start_then_counts_what_is_left(start_share):
    start = round(start_share * LIMIT)
    pressure = MemoryPressure(LIMIT, start)
    assert pressure.update(start) == PressureStage.NORMAL
    assert pressure.update(start + round(0.75 * (LIMIT - start))) == PressureStage.CLOSE_LARGEST
    assert pressure.update(LIMIT) == PressureStage.CLOSE_IDLE
    assert pressure.update(start) == PressureStage.NORMAL
