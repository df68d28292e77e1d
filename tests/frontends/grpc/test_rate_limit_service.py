"""ShouldRateLimit over sockets, asked by a foreign client."""

import asyncio

import grpc
import pytest
from envoy.service.ratelimit.v3 import rls_pb2 as pb
from gateway_harness import (
    SETTINGS,
    VALUE_REPLY,
    EmulatedHost,
    GatewayHarness,
    make_command,
    make_fields,
    run_on_uvloop,
)
from rate_limit_client import CONF, OK, OVER, A, B, C, RateLimitClient, codes, until_over

from apigateway import messages
from apigateway.emulators.script import Step
from apigateway.frontends.grpc.service import SHOULD_RATE_LIMIT_PATH


@run_on_uvloop
async def test_units_are_granted_until_the_quota_is_spent_and_requests_spend_of_the_same(tmp_path):
    async with (
        EmulatedHost() as host,
        GatewayHarness(host, path=tmp_path, settings=CONF) as harness,
        RateLimitClient(harness) as asking,
    ):
        first = await asking.ask(A)
        assert first.overall_code == OK and codes(first) == [OK]
        status = first.statuses[0]
        assert status.limit_remaining in (19, 20)  # in the middle of a window there is more than its burst
        limit = status.current_limit
        assert (limit.requests_per_unit, limit.unit) == (36, pb.RateLimitResponse.RateLimit.HOUR)
        assert status.current_limit.name == "quota" and status.duration_until_reset.ToNanoseconds() > 0
        granted, over = await until_over(asking, A)
        assert 19 <= granted <= 40 and codes(over) == [OVER] and over.statuses[0].limit_remaining == 0
        assert over.response_headers_to_add[0].key == "retry-after-ms"
        assert int(over.response_headers_to_add[0].value) > 0
        # Its requests find the store empty too, and another's are served.
        assert (
            await harness.send_command(make_command(b"r1", make_fields(t="quota"), customer=A.encode()))
        ).startswith(b"-BUSY")
        assert (
            await harness.send_command(make_command(b"r2", make_fields(t="quota"), customer=B.encode()))
            == VALUE_REPLY
        )
        assert len(host.commands) == 1  # a check goes to no host


@run_on_uvloop
async def test_any_over_its_limit_makes_the_answer_so_and_the_others_get_theirs_back(tmp_path):
    async with (
        EmulatedHost() as host,
        GatewayHarness(host, path=tmp_path, settings=CONF) as harness,
        RateLimitClient(harness) as asking,
    ):
        await until_over(asking, A)
        before = (await asking.ask({"account": B, "hits": 0})).statuses[0].limit_remaining
        for _ in range(10):
            response = await asking.ask(B, A, C)
            assert response.overall_code == OVER and codes(response) == [OK, OVER, OK]
        assert (await asking.ask({"account": B, "hits": 0})).statuses[0].limit_remaining == before
        assert (await asking.ask(B, C)).overall_code == OK


@run_on_uvloop
async def test_hits_of_none_one_two_and_more_than_there_are(tmp_path):
    async with (
        EmulatedHost() as host,
        GatewayHarness(host, path=tmp_path, settings=CONF) as harness,
        RateLimitClient(harness) as asking,
    ):
        while (await asking.ask(A)).statuses[0].limit_remaining > 18:
            pass
        none = [(await asking.ask({"account": A, "hits": 0})).statuses[0].limit_remaining for _ in range(5)]
        assert len(set(none)) == 1
        assert (await asking.ask(A, hits=2**32 - 1)).overall_code == OVER
        assert (await asking.ask({"account": A, "hits": 2**63})).overall_code == OVER
        two = await asking.ask({"account": A, "cost": "two"})
        assert two.overall_code == OK
        left = (await asking.ask({"account": A, "hits": 0})).statuses[0].limit_remaining
        assert left == none[0] - 2
        assert (await asking.ask(A, hits=2)).overall_code == OK
        assert (await asking.ask({"account": A, "hits": 0})).statuses[0].limit_remaining == none[0] - 4


@pytest.mark.parametrize("unmapped", ["ok", "over", "error"])
@run_on_uvloop
async def test_an_unmapped_descriptor_gets_the_answer_of_the_settings(unmapped, tmp_path):
    async with EmulatedHost() as host, GatewayHarness(host, path=tmp_path, settings=CONF) as harness:
        async with RateLimitClient(harness, unmapped=unmapped) as asking:
            if unmapped == "error":
                assert await asking.status("nobody") == grpc.StatusCode.INVALID_ARGUMENT
                return
            response = await asking.ask("nobody", A)
            assert response.overall_code == (OK if unmapped == "ok" else OVER)
            assert codes(response) == [OK if unmapped == "ok" else OVER, OK]
            assert not response.statuses[0].HasField("current_limit")


@run_on_uvloop
async def test_an_invalid_request_is_answered_with_its_status(tmp_path):
    async with (
        EmulatedHost() as host,
        GatewayHarness(host, path=tmp_path, settings=CONF) as harness,
        RateLimitClient(harness) as asking,
    ):
        assert await asking.status() == grpc.StatusCode.INVALID_ARGUMENT
        assert await asking.status(A, domain="") == grpc.StatusCode.INVALID_ARGUMENT
        assert await asking.status(*[A] * 101) == grpc.StatusCode.RESOURCE_EXHAUSTED
        assert await asking.status(*[A] * 10_000) == grpc.StatusCode.RESOURCE_EXHAUSTED
        big = {"account": A, "more": "x" * (4 << 20)}
        assert await asking.status(big) == grpc.StatusCode.RESOURCE_EXHAUSTED
        odd = asking.channel.unary_unary("/no.such.Service/Method", bytes, bytes)
        with pytest.raises(grpc.aio.AioRpcError) as told:
            await odd(b"", timeout=5)
        assert told.value.code() == grpc.StatusCode.UNIMPLEMENTED
        unread = asking.channel.unary_unary(SHOULD_RATE_LIMIT_PATH, bytes, bytes)
        with pytest.raises(grpc.aio.AioRpcError) as told:
            await unread(b"\xff\xff\xff", timeout=5)
        assert told.value.code() == grpc.StatusCode.INTERNAL
        assert (await asking.ask(A)).overall_code == OK


@run_on_uvloop
async def test_a_check_whose_caller_left_spends_nothing_and_one_out_of_time_is_unavailable(tmp_path):
    async with (
        EmulatedHost() as host,
        GatewayHarness(host, path=tmp_path, settings=CONF) as harness,
        RateLimitClient(harness) as asking,
    ):
        core, held = harness.server.core, []
        handle = core.module.handle

        def slow(now, event):  # a module that says nothing of checks yet
            if type(event) is messages.QuotaCheck:
                held.append(event)
                return []
            return handle(now, event)

        core.module.handle = slow
        call = asyncio.ensure_future(asking.ask(A))
        while not held:
            await asyncio.sleep(0)
        call.cancel()
        while core.in_flight:  # the reset arrives
            await asyncio.sleep(0)
        core.module.handle = handle
        assert not asking.front.connections or not any(c.open_calls for c in asking.front.connections)
        code = await asking.status(A, timeout=0.06)  # no check would come round in its time
        assert code in (grpc.StatusCode.UNAVAILABLE, grpc.StatusCode.DEADLINE_EXCEEDED)
        assert (await asking.ask(A)).overall_code == OK


@run_on_uvloop
async def test_calls_when_cancelled_by_the_thousand_leave_nothing(tmp_path):
    async with (
        EmulatedHost() as host,
        GatewayHarness(host, path=tmp_path, settings=CONF) as harness,
        RateLimitClient(harness) as asking,
    ):
        for _ in range(20):
            calls = [asyncio.ensure_future(asking.ask(A, hits=1)) for _ in range(100)]
            await asyncio.sleep(0)
            for call in calls:
                call.cancel()
            await asyncio.gather(*calls, return_exceptions=True)
        assert (await asking.ask(B)).overall_code == OK
        assert not harness.server.core.in_flight and not any(c.open_calls for c in asking.front.connections)
        assert all(c.session.is_idle for c in asking.front.connections)


@run_on_uvloop
async def test_draining_answers_what_was_taken_and_closes_each_connection(tmp_path):
    async with (
        EmulatedHost() as host,
        GatewayHarness(host, path=tmp_path, settings=CONF) as harness,
        RateLimitClient(harness) as asking,
    ):
        core, held = harness.server.core, []
        handle = core.module.handle
        core.module.handle = lambda now, event: (
            held.append(event) or [] if type(event) is messages.QuotaCheck else handle(now, event)
        )
        call = asyncio.ensure_future(asking.ask(A))
        while not held:
            await asyncio.sleep(0)
        core.module.handle = handle
        asking.front.start_draining()
        core.response_actions.grant_quota(messages.QuotaGranted(held[0].request_id, 4.0, 1.0, 7))
        assert (await call).overall_code == OK
        await asking.front.wait_disconnected()


@run_on_uvloop
async def test_a_counter_that_stalls_in_the_middle_of_a_check_delays_it_and_no_more(tmp_path):
    conf = SETTINGS | {
        "group_size": 2,
        "plans": [*SETTINGS["plans"], {"name": "quota", "rate": 0.01, "most_at_once": 20.0}],
    }
    async with EmulatedHost() as host, GatewayHarness(host, path=tmp_path, settings=conf) as harness:
        async with RateLimitClient(harness, spread=2) as asking:
            harness.counter.script.set_steps(Step("silent"))
            told = [(await asking.ask(A)).overall_code for _ in range(30)]
            while told[-1] != OVER and len(told) < 120:  # a busy machine denies more at first
                told.append((await asking.ask(A)).overall_code)
            assert set(told) <= {OK, OVER} and told[0] == OK and told[-1] == OVER and told.count(OK) < 30
            late = asyncio.ensure_future(asking.status(A, timeout=0.001))
            assert await late in (grpc.StatusCode.DEADLINE_EXCEEDED, grpc.StatusCode.UNAVAILABLE)
            harness.counter.script.set_steps()
            while harness.server.core.in_flight:
                await asyncio.sleep(0.01)
            assert (await asking.ask(B)).overall_code == OK and not harness.server.core.request_budget.used


@run_on_uvloop
async def test_a_gateway_outside_a_customers_spread_fails_its_precondition(tmp_path):
    conf = CONF | {"group_size": 3, "index": 2}
    async with EmulatedHost() as host, GatewayHarness(host, path=tmp_path, settings=conf) as harness:
        async with RateLimitClient(harness, spread=2) as asking:
            assert await asking.status(A) == grpc.StatusCode.FAILED_PRECONDITION
        async with RateLimitClient(harness, spread=3) as asking:
            assert (await asking.ask(A)).overall_code == OK


@run_on_uvloop
async def test_a_limit_that_a_descriptor_brings_tightens_where_settings_allow_it(tmp_path):
    async with EmulatedHost() as host, GatewayHarness(host, path=tmp_path, settings=CONF) as harness:
        async with RateLimitClient(harness, override="tighten") as asking:

            def limited(requests, unit):
                return {"account": A, "limit": (requests, unit)}

            told = [await asking.ask(limited(3, 1)) for _ in range(8)]
            codes_told = [one.overall_code for one in told]
            assert 3 <= codes_told.count(OK) <= 6 and codes_told[-1] == OVER
            limit = told[0].statuses[0].current_limit
            assert (limit.requests_per_unit, limit.unit) == (3, pb.RateLimitResponse.RateLimit.SECOND)
            assert [(await asking.ask(limited(0, 1))).overall_code for _ in range(3)] == [OVER] * 3
            # What the limit refused was given back to the plan; a wide one leaves the plan's own.
            granted, over = await until_over(asking, A)
            assert 13 <= granted + codes_told.count(OK) <= 41
            assert (await asking.ask(limited(1000, 1))).overall_code == OVER
            assert await asking.status(limited(3, 6)) == grpc.StatusCode.INVALID_ARGUMENT  # a year
        async with RateLimitClient(harness, override="refuse") as asking:
            assert await asking.status({"account": B, "limit": (3, 1)}) == grpc.StatusCode.INVALID_ARGUMENT
        async with RateLimitClient(harness) as asking:
            told = [(await asking.ask({"account": B, "limit": (1, 4)})).overall_code for _ in range(5)]
            assert told == [OK] * 5
