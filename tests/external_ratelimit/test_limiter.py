"""Over sockets: a gateway, its hosts, and a scripted external rate limit service that fails in all ways."""

import asyncio
from contextlib import asynccontextmanager

import pytest
from netkit import SERVED, SETTINGS, EmulatedHost, Node, command, on_loop, terms

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
    async with EmulatedHost() as host, Node(host, path=tmp_path, settings=CONF) as node:
        config = ExternalServiceConfig(("127.0.0.1", service.port), checks, "roster", ENTRIES, batch)
        limiter = EnvoyRateLimiter(config, "g7")
        node.node.core.external_ratelimit = limiter
        node.host, node.limiter, node.number = host, limiter, 0
        try:
            yield node
        finally:
            limiter.close()
            assert limiter.breaker.outstanding == 0


async def ask(node, customer=A, plan="p", **kw):
    node.number += 1
    return await node.ask(command(b"r%d" % node.number, terms(t=plan, **kw), customer=customer.encode()))


async def until(node, state):
    while node.limiter.breaker.state is not state:
        await ask(node)


@on_loop
async def test_check_is_sent_as_settings_say_and_over_limit_rejects(tmp_path):
    async with EmulatedRateLimitService({A: 1}, reset_s=0.7) as service, asking(tmp_path, service) as node:
        assert [await ask(node, units="0.5"), await ask(node)] == [SERVED, b"-BUSY 700\r\n"]
        assert await ask(node, B) == SERVED
        question = service.questions[0]
        assert question.domain == "roster" and question.hits_addend == 1  # what is begun counts
        assert {e.key: e.value for e in question.descriptors[0].entries} == {
            "customer": A,
            "class": "read",
            "by": "g7:0.5",
        }
        assert all(0 < int(text[:-1]) <= 2000 for text in service.timeouts)
        assert len(node.host.commands) == 2 and node.limiter.counts["no"] == 1


@on_loop
async def test_request_passes_only_if_service_and_own_quota_allow_it(tmp_path):
    async with EmulatedRateLimitService({B: 0}) as service, asking(tmp_path, service) as node:
        answers = [await ask(node, plan="quota") for _ in range(14)]
        assert 5 <= answers.count(SERVED) <= 10 and answers[-1].startswith(b"-BUSY")
        assert service.hits[A] == 14  # it said yes to each
        assert (await ask(node, B, plan="quota")).startswith(b"-BUSY")
        # what it refused has spent nothing here
        service.limits.clear()
        assert await ask(node, B, plan="quota") == SERVED


FAULTS = [
    Step("stall", delay=5.0),
    Step("silent"),
    Step("reset"),
    Step("error"),
    Step("spoilt"),
    Step("odd"),
    Step("half"),
]


@pytest.mark.parametrize("mode", ["own", "refuse"])
@pytest.mark.parametrize("step", FAULTS, ids=[step.kind for step in FAULTS])
@on_loop
async def test_failure_mode_decides_while_the_service_fails_until_it_recovers(step, mode, tmp_path):
    slow = step.kind in ("stall", "silent")
    async with EmulatedRateLimitService() as service:
        async with asking(
            tmp_path, service, failure_mode=FailureMode(mode), timeout=0.05 if slow else 2.0
        ) as node:
            service.script.play(step)
            answers = [await ask(node) for _ in range(8)]
            assert all(a == SERVED if mode == "own" else a.startswith(b"-BUSY") for a in answers)
            assert (
                node.limiter.breaker.trip_count == 1 and node.limiter.breaker.state is not BreakerState.CLOSED
            )
            service.script.play()
            await until(node, BreakerState.CLOSED)
            assert await ask(node) == SERVED


@on_loop
async def test_over_limit_answers_do_not_open_the_breaker(tmp_path):
    async with EmulatedRateLimitService() as service, asking(tmp_path, service) as node:
        service.script.play(Step("over", count=40))
        answers = await asyncio.gather(*(ask(node) for _ in range(40)))
        assert all(a.startswith(b"-BUSY") for a in answers) and not node.host.commands
        assert await ask(node) == SERVED and node.limiter.breaker.trip_count == 0


@pytest.mark.parametrize("kind", ["goaway", "busy"])
@on_loop
async def test_check_that_was_not_processed_is_sent_once_more(kind, tmp_path):
    async with EmulatedRateLimitService() as service, asking(tmp_path, service) as node:
        assert await ask(node) == SERVED
        service.script.play(Step(kind, count=1))
        assert await ask(node) == SERVED
        assert len(service.questions) == 2 and node.limiter.breaker.trip_count == 0  # counted once each
        assert service.hits[A] == 2


@on_loop
async def test_goaway_among_many_checks_loses_none(tmp_path):
    async with EmulatedRateLimitService() as service, asking(tmp_path, service) as node:
        assert await ask(node) == SERVED
        service.script.play(Step("answer", count=5), Step("goaway", count=1))
        answers = await asyncio.gather(*(ask(node) for _ in range(30)))
        assert all(a == SERVED or a.startswith(b"-BUSY") for a in answers)  # its host takes so many at once
        assert node.limiter.counts == {"questions": 31, "yes": 31} and service.hits[A] == 31


@on_loop
async def test_unreachable_service_is_used_once_it_comes_up(tmp_path):
    service = EmulatedRateLimitService({A: 0})
    await service.open()
    await service.die()
    async with asking(tmp_path, service, max_consecutive_failures=2, timeout=0.05) as node:
        assert [await ask(node) for _ in range(4)] == [SERVED] * 4
        assert node.limiter.breaker.trip_count == 1 and node.limiter.channel.connect_failures > 0
        await service.open()  # at its address
        while (await ask(node)) == SERVED:
            pass
        await until(node, BreakerState.CLOSED)
        await service.__aexit__()


@on_loop
async def test_client_disconnect_cancels_its_check(tmp_path):
    async with EmulatedRateLimitService() as service, asking(tmp_path, service) as node:
        service.script.play(Step("stall", count=1, delay=1.0))
        _, writer = await node.connect()
        writer.write(command(b"left"))
        await service.arrived.get()
        writer.close()
        while node.node.core.in_flight:
            await asyncio.sleep(0)
        assert await ask(node, B) == SERVED
        assert (
            service.called_off == 1
            and len(node.host.commands) == 1
            and node.limiter.breaker.sample_count == 1
        )


@on_loop
async def test_late_answer_changes_nothing(tmp_path):
    async with EmulatedRateLimitService() as service, asking(tmp_path, service, timeout=0.05) as node:
        service.script.play(Step("stall", count=1, delay=0.2), Step("over", count=1))
        assert await ask(node) == SERVED  # unasked, as the mode says
        assert (await ask(node)).startswith(b"-BUSY")
        for _ in range(20):
            assert await ask(node) == SERVED
        assert len(node.host.commands) == 21


@on_loop
async def test_batched_requests_each_get_their_own_answer(tmp_path):
    async with EmulatedRateLimitService({A: 3, B: 0}) as service, asking(tmp_path, service, batch=10) as node:
        _, writer = await node.connect()
        reader, writer = await node.connect()
        texts = []
        for n in range(8):
            node.number += 1
            customer = A if n % 2 else B
            texts.append(command(b"r%d" % node.number, terms(), customer=customer.encode()))
        writer.write(b"".join(texts))
        answers = []
        for _ in range(8):
            line = await reader.readline()
            answers.append(line[:1])
            if line[:1] == b"$":
                await reader.readline()
        assert len(service.questions) == 1 and len(service.questions[0].descriptors) == 8
        assert answers == [b"-", b"$", b"-", b"$", b"-", b"$", b"-", b"-"]


@on_loop
async def test_checks_wait_for_a_stream_when_the_server_limits_them(tmp_path):
    async with EmulatedRateLimitService(most_streams=2) as service, asking(tmp_path, service) as node:
        assert await ask(node) == SERVED  # its settings are known now
        service.script.play(Step("stall", count=4, delay=0.05))
        assert await asyncio.gather(*(ask(node) for _ in range(12))) == [SERVED] * 12
        assert len(service.questions) == 13


@on_loop
async def test_config_update_sends_new_checks_to_the_new_address(tmp_path):
    async with (
        EmulatedRateLimitService() as one,
        EmulatedRateLimitService({A: 0}) as two,
        asking(tmp_path, one) as node,
    ):
        assert await ask(node) == SERVED
        one.script.play(Step("stall", count=1, delay=0.1))
        waits = asyncio.ensure_future(ask(node))
        await one.arrived.get()
        await one.arrived.get()
        old = node.limiter.config
        address = ("127.0.0.1", two.port)
        node.limiter.update_config(
            ExternalServiceConfig(address, old.checks, old.domain, old.descriptor_entries)
        )
        assert (await ask(node)).startswith(b"-BUSY") and await waits == SERVED
        assert node.limiter.status()["address"].endswith(str(two.port))


@on_loop
async def test_each_request_is_answered_once_through_a_walk_of_faults(tmp_path):
    kinds = ["stall", "silent", "reset", "error", "spoilt", "odd", "half", "over", "goaway", "busy", "answer"]
    async with EmulatedRateLimitService() as service, asking(tmp_path, service, timeout=0.05) as node:
        service.script.play(*(Step(kind, count=1 + n % 3, delay=0.1) for n, kind in enumerate(kinds * 4)))
        for _ in range(30):
            answers = await asyncio.gather(*(ask(node) for _ in range(6)))
            assert all(a == SERVED or a.startswith(b"-BUSY") for a in answers)
        assert not node.node.core.in_flight
        service.script.play()
        await until(node, BreakerState.CLOSED)
