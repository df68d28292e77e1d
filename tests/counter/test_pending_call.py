"""Calls to the counter: one result per call, from its reply or its deadline."""

import asyncio
import json

from gateway_harness import run_on_uvloop

from apigateway import messages
from apigateway.counter.pending_call import PendingCall
from apigateway.messages import CounterCallResult


def test_results_when_compared_with_the_messages_then_have_the_same_values():
    assert tuple(CounterCallResult) == messages.COUNTER_CALL_RESULTS
    for result in CounterCallResult:
        assert json.dumps(result) == f'"{result}"' == f'"{result.value}"'
        assert messages.CounterResult(8, result, 0.0, 0.0) == messages.CounterResult(
            8, result.value, 0.0, 0.0
        )


def test_finish_when_called_twice_then_reports_once():
    reported = []
    call = PendingCall(8, lambda key, result, total, elapsed: reported.append((key, result, total)))
    call.finish(CounterCallResult.OK, 3.0)
    call.finish(CounterCallResult.TIMEOUT)
    assert reported == [(8, "ok", 3.0)]


@run_on_uvloop
async def test_deadline_when_it_passes_then_the_result_is_timeout():
    results = asyncio.Queue()
    call = PendingCall(8, lambda key, result, total, elapsed: results.put_nowait((result, elapsed)))
    call.set_deadline(asyncio.get_running_loop(), 0.02)
    result, elapsed = await results.get()
    assert result == "timeout"
    assert elapsed >= 0.015  # the event loop's timers have a resolution of milliseconds


@run_on_uvloop
async def test_deadline_when_the_reply_arrived_before_then_no_second_result_is_reported():
    reported = []
    call = PendingCall(8, lambda key, result, total, elapsed: reported.append(result))
    call.set_deadline(asyncio.get_running_loop(), 0.01)
    call.finish(CounterCallResult.REJECTED)
    await asyncio.sleep(0.03)
    assert reported == ["full"]
