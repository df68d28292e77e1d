"""Over sockets: a gateway, its hosts, and a scripted external rate limit service that fails in all ways."""

import asyncio
from contextlib import asynccontextmanager

import pytest
from gateway_harness import (
    SETTINGS,
    VALUE_REPLY,
    EmulatedHost,
    GatewayHarness,
    make_command,
    make_fields,
    run_on_uvloop,
)

from apigateway.emulators.ratelimit import EmulatedRateLimitService
from apigateway.emulators.script import Step
from apigateway.external_ratelimit.circuit_breaker import BreakerState, CheckSettings, FailureMode
from apigateway.external_ratelimit.limiter import EnvoyRateLimiter
from apigateway.external_ratelimit.service_config import ExternalServiceConfig

CONF = SETTINGS | {"plans": [*SETTINGS["plans"], {"name": "quota", "rate": 0.01, "most_at_once": 5.0}]}
ENTRIES = (("customer", "{customer}"), ("class", "{class}"), ("by", "{gateway}:{units}"))
A, B = "00000000000000aa", "00000000000000bb"


@asynccontextmanager
async def asking(tmp_path, service, batch=1, **kw):
    """A gateway that asks `service` about plan p and quota."""
    defaults = {
        "timeout": 2.0,
        "remaining_fraction": 1.0,
        "max_consecutive_failures": 3,
        "base_backoff": 0.05,
        "max_backoff": 0.2,
        "required_probes": 2,
    }
    checks = CheckSettings(frozenset({"p", "quota"}), **defaults | kw)
    async with EmulatedHost() as host, GatewayHarness(host, path=tmp_path, settings=CONF) as harness:
        config = ExternalServiceConfig(("127.0.0.1", service.port), checks, "roster", ENTRIES, batch)
        limiter = EnvoyRateLimiter(config, "g7")
        harness.server.core.external_ratelimit = limiter
        harness.host, harness.limiter, harness.number = host, limiter, 0
        try:
            yield harness
        finally:
            limiter.close()
            assert limiter.breaker.outstanding == 0


async def ask(harness, customer=A, plan="p", **kw):
    harness.number += 1
    return await harness.send_command(
        make_command(b"r%d" % harness.number, make_fields(t=plan, **kw), customer=customer.encode())
    )


async def until(harness, state):
    while harness.limiter.breaker.state is not state:
        await ask(harness)


@run_on_uvloop
async def test_check_is_sent_as_settings_say_and_over_limit_rejects(tmp_path):
    async with EmulatedRateLimitService({A: 1}, reset_s=0.7) as service, asking(tmp_path, service) as harness:
        assert [await ask(harness, units="0.5"), await ask(harness)] == [VALUE_REPLY, b"-BUSY 700\r\n"]
        assert await ask(harness, B) == VALUE_REPLY
        question = service.decided_requests[0]
        assert question.domain == "roster" and question.hits_addend == 1  # what is begun counts
        assert {e.key: e.value for e in question.descriptors[0].entries} == {
            "customer": A,
            "class": "read",
            "by": "g7:0.5",
        }
        assert all(0 < int(text[:-1]) <= 2000 for text in service.timeouts)
        assert len(harness.host.commands) == 2 and harness.limiter.counts["no"] == 1


@run_on_uvloop
async def test_request_passes_only_if_service_and_own_quota_allow_it(tmp_path):
    async with EmulatedRateLimitService({B: 0}) as service, asking(tmp_path, service) as harness:
        answers = [await ask(harness, plan="quota") for _ in range(14)]
        assert 5 <= answers.count(VALUE_REPLY) <= 10 and answers[-1].startswith(b"-BUSY")
        assert service.hits[A] == 14  # it said yes to each
        assert (await ask(harness, B, plan="quota")).startswith(b"-BUSY")
        # what it refused has spent nothing here
        service.limits.clear()
        assert await ask(harness, B, plan="quota") == VALUE_REPLY


FAULTS = [
    Step("stall", delay_s=5.0),
    Step("silent"),
    Step("reset"),
    Step("error"),
    Step("spoilt"),
    Step("odd"),
    Step("half"),
]


@pytest.mark.parametrize("mode", ["own", "refuse"])
@pytest.mark.parametrize("step", FAULTS, ids=[step.kind for step in FAULTS])
@run_on_uvloop
async def test_failure_mode_decides_while_the_service_fails_until_it_recovers(step, mode, tmp_path):
    slow = step.kind in ("stall", "silent")
    async with EmulatedRateLimitService() as service:
        async with asking(
            tmp_path, service, failure_mode=FailureMode(mode), timeout=0.05 if slow else 2.0
        ) as harness:
            service.script.set_steps(step)
            answers = [await ask(harness) for _ in range(8)]
            assert all(a == VALUE_REPLY if mode == "own" else a.startswith(b"-BUSY") for a in answers)
            assert (
                harness.limiter.breaker.trip_count == 1
                and harness.limiter.breaker.state is not BreakerState.CLOSED
            )
            service.script.set_steps()
            await until(harness, BreakerState.CLOSED)
            assert await ask(harness) == VALUE_REPLY


@run_on_uvloop
async def test_over_limit_answers_do_not_open_the_breaker(tmp_path):
    async with EmulatedRateLimitService() as service, asking(tmp_path, service) as harness:
        service.script.set_steps(Step("over", count=40))
        answers = await asyncio.gather(*(ask(harness) for _ in range(40)))
        assert all(a.startswith(b"-BUSY") for a in answers) and not harness.host.commands
        assert await ask(harness) == VALUE_REPLY and harness.limiter.breaker.trip_count == 0


@pytest.mark.parametrize("kind", ["goaway", "busy"])
@run_on_uvloop
async def test_check_that_was_not_processed_is_sent_once_more(kind, tmp_path):
    async with EmulatedRateLimitService() as service, asking(tmp_path, service) as harness:
        assert await ask(harness) == VALUE_REPLY
        service.script.set_steps(Step(kind, count=1))
        assert await ask(harness) == VALUE_REPLY
        assert (
            len(service.decided_requests) == 2 and harness.limiter.breaker.trip_count == 0
        )  # counted once each
        assert service.hits[A] == 2


@run_on_uvloop
async def test_goaway_among_many_checks_loses_none(tmp_path):
    async with EmulatedRateLimitService() as service, asking(tmp_path, service) as harness:
        assert await ask(harness) == VALUE_REPLY
        service.script.set_steps(Step("answer", count=5), Step("goaway", count=1))
        answers = await asyncio.gather(*(ask(harness) for _ in range(30)))
        assert all(
            a == VALUE_REPLY or a.startswith(b"-BUSY") for a in answers
        )  # its host takes so many at once
        assert harness.limiter.counts == {"questions": 31, "yes": 31} and service.hits[A] == 31


@run_on_uvloop
async def test_unreachable_service_is_used_once_it_comes_up(tmp_path):
    service = EmulatedRateLimitService({A: 0})
    await service.open()
    await service.kill()
    async with asking(tmp_path, service, max_consecutive_failures=2, timeout=0.05) as harness:
        assert [await ask(harness) for _ in range(4)] == [VALUE_REPLY] * 4
        assert harness.limiter.breaker.trip_count == 1 and harness.limiter.channel.connect_failures > 0
        await service.open()  # at its address
        while (await ask(harness)) == VALUE_REPLY:
            pass
        await until(harness, BreakerState.CLOSED)
        await service.__aexit__()


@run_on_uvloop
async def test_client_disconnect_cancels_its_check(tmp_path):
    async with EmulatedRateLimitService() as service, asking(tmp_path, service) as harness:
        service.script.set_steps(Step("stall", count=1, delay_s=1.0))
        _, writer = await harness.connect()
        writer.write(make_command(b"left"))
        await service.arrivals.get()
        writer.close()
        while harness.server.core.in_flight:
            await asyncio.sleep(0)
        assert await ask(harness, B) == VALUE_REPLY
        assert (
            service.reset_streams == 1
            and len(harness.host.commands) == 1
            and harness.limiter.breaker.sample_count == 1
        )


@run_on_uvloop
async def test_late_answer_changes_nothing(tmp_path):
    async with EmulatedRateLimitService() as service, asking(tmp_path, service, timeout=0.05) as harness:
        service.script.set_steps(Step("stall", count=1, delay_s=0.2), Step("over", count=1))
        assert await ask(harness) == VALUE_REPLY  # unasked, as the mode says
        assert (await ask(harness)).startswith(b"-BUSY")
        for _ in range(20):
            assert await ask(harness) == VALUE_REPLY
        assert len(harness.host.commands) == 21


@run_on_uvloop
async def test_batched_requests_each_get_their_own_answer(tmp_path):
    async with (
        EmulatedRateLimitService({A: 3, B: 0}) as service,
        asking(tmp_path, service, batch=10) as harness,
    ):
        _, writer = await harness.connect()
        reader, writer = await harness.connect()
        texts = []
        for n in range(8):
            harness.number += 1
            customer = A if n % 2 else B
            texts.append(make_command(b"r%d" % harness.number, make_fields(), customer=customer.encode()))
        writer.write(b"".join(texts))
        answers = []
        for _ in range(8):
            line = await reader.readline()
            answers.append(line[:1])
            if line[:1] == b"$":
                await reader.readline()
        assert len(service.decided_requests) == 1 and len(service.decided_requests[0].descriptors) == 8
        assert answers == [b"-", b"$", b"-", b"$", b"-", b"$", b"-", b"-"]


@run_on_uvloop
async def test_checks_wait_for_a_stream_when_the_server_limits_them(tmp_path):
    async with (
        EmulatedRateLimitService(max_concurrent_streams=2) as service,
        asking(tmp_path, service) as harness,
    ):
        assert await ask(harness) == VALUE_REPLY  # its settings are known now
        service.script.set_steps(Step("stall", count=4, delay_s=0.05))
        assert await asyncio.gather(*(ask(harness) for _ in range(12))) == [VALUE_REPLY] * 12
        assert len(service.decided_requests) == 13


@run_on_uvloop
async def test_config_update_sends_new_checks_to_the_new_address(tmp_path):
    async with (
        EmulatedRateLimitService() as one,
        EmulatedRateLimitService({A: 0}) as two,
        asking(tmp_path, one) as harness,
    ):
        assert await ask(harness) == VALUE_REPLY
        one.script.set_steps(Step("stall", count=1, delay_s=0.1))
        waits = asyncio.ensure_future(ask(harness))
        await one.arrivals.get()
        await one.arrivals.get()
        old = harness.limiter.config
        address = ("127.0.0.1", two.port)
        harness.limiter.update_config(
            ExternalServiceConfig(address, old.checks, old.domain, old.descriptor_entries)
        )
        assert (await ask(harness)).startswith(b"-BUSY") and await waits == VALUE_REPLY
        assert harness.limiter.status()["address"].endswith(str(two.port))


@run_on_uvloop
async def test_each_request_is_answered_once_through_a_walk_of_faults(tmp_path):
    kinds = ["stall", "silent", "reset", "error", "spoilt", "odd", "half", "over", "goaway", "busy", "answer"]
    async with EmulatedRateLimitService() as service, asking(tmp_path, service, timeout=0.05) as harness:
        service.script.set_steps(
            *(Step(kind, count=1 + n % 3, delay_s=0.1) for n, kind in enumerate(kinds * 4))
        )
        for _ in range(30):
            answers = await asyncio.gather(*(ask(harness) for _ in range(6)))
            assert all(a == VALUE_REPLY or a.startswith(b"-BUSY") for a in answers)
        assert not harness.server.core.in_flight
        service.script.set_steps()
        await until(harness, BreakerState.CLOSED)
