"""Asking over sockets: a gateway, its hosts, and a scripted rate limit service that fails in all ways."""

import asyncio
from contextlib import asynccontextmanager

import pytest
from netkit import SERVED, SETTINGS, Node, StubHost, command, on_loop, terms

from apigateway.emulators.ratelimit import StandInRateLimit
from apigateway.emulators.script import Step
from apigateway.external_ratelimit.choice import Terms
from apigateway.external_ratelimit.outer import Asked, Outer

CONF = SETTINGS | {"plans": [*SETTINGS["plans"], {"name": "quota", "rate": 0.01, "most_at_once": 5.0}]}
ENTRIES = (("customer", "{customer}"), ("class", "{class}"), ("by", "{gateway}:{units}"))
A, B = "00000000000000aa", "00000000000000bb"


@asynccontextmanager
async def asking(tmp_path, service, batch=1, **kw):
    """A gateway that asks `service` about plan p and quota."""
    told = Terms(
        frozenset({"p", "quota"}),
        **{"timeout": 2.0, "share": 1.0, "failures": 3, "rest": 0.05, "most_rest": 0.2, "trials": 2, **kw},
    )
    async with StubHost() as host, Node(host, path=tmp_path, settings=CONF) as node:
        outer = Outer(Asked(("127.0.0.1", service.port), told, "roster", ENTRIES, batch), "g7")
        node.node.core.external_ratelimit = outer
        node.host, node.outer, node.number = host, outer, 0
        try:
            yield node
        finally:
            outer.close()
            assert outer.choice.out == 0


async def ask(node, customer=A, plan="p", **kw):
    node.number += 1
    return await node.ask(command(b"r%d" % node.number, terms(t=plan, **kw), customer=customer.encode()))


async def until(node, state):
    while node.outer.choice.state != state:
        await ask(node)


@on_loop
async def test_it_is_asked_as_settings_say_and_its_no_is_a_refusal(tmp_path):
    async with StandInRateLimit({A: 1}, reset_s=0.7) as service, asking(tmp_path, service) as node:
        assert [await ask(node, units="0.5"), await ask(node)] == [SERVED, b"-BUSY 700\r\n"]
        assert await ask(node, B) == SERVED
        told = service.questions[0]
        assert told.domain == "roster" and told.hits_addend == 1  # what is begun counts
        assert {e.key: e.value for e in told.descriptors[0].entries} == {
            "customer": A,
            "class": "read",
            "by": "g7:0.5",
        }
        assert all(0 < int(text[:-1]) <= 2000 for text in service.timeouts)
        assert len(node.host.commands) == 2 and node.outer.counts["no"] == 1


@on_loop
async def test_its_yes_opens_nothing_that_own_quota_has_closed_and_the_reverse(tmp_path):
    async with StandInRateLimit({B: 0}) as service, asking(tmp_path, service) as node:
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
async def test_while_it_fails_the_mode_decides_and_it_is_found_again(step, mode, tmp_path):
    slow = step.kind in ("stall", "silent")
    async with StandInRateLimit() as service:
        async with asking(tmp_path, service, failing=mode, timeout=0.05 if slow else 2.0) as node:
            service.script.play(step)
            answers = [await ask(node) for _ in range(8)]
            assert all(a == SERVED if mode == "own" else a.startswith(b"-BUSY") for a in answers)
            assert node.outer.choice.turns == 1 and node.outer.choice.state != "well"
            service.script.play()
            await until(node, "well")
            assert await ask(node) == SERVED


@on_loop
async def test_a_storm_of_over_limit_is_its_word_and_no_failure(tmp_path):
    async with StandInRateLimit() as service, asking(tmp_path, service) as node:
        service.script.play(Step("over", count=40))
        answers = await asyncio.gather(*(ask(node) for _ in range(40)))
        assert all(a.startswith(b"-BUSY") for a in answers) and not node.host.commands
        assert await ask(node) == SERVED and node.outer.choice.turns == 0


@pytest.mark.parametrize("kind", ["goaway", "busy"])
@on_loop
async def test_what_it_never_looked_at_is_asked_once_more(kind, tmp_path):
    async with StandInRateLimit() as service, asking(tmp_path, service) as node:
        assert await ask(node) == SERVED
        service.script.play(Step(kind, count=1))
        assert await ask(node) == SERVED
        assert len(service.questions) == 2 and node.outer.choice.turns == 0  # counted once each
        assert service.hits[A] == 2


@on_loop
async def test_a_goaway_in_the_middle_of_many_loses_none(tmp_path):
    async with StandInRateLimit() as service, asking(tmp_path, service) as node:
        assert await ask(node) == SERVED
        service.script.play(Step("answer", count=5), Step("goaway", count=1))
        answers = await asyncio.gather(*(ask(node) for _ in range(30)))
        assert all(a == SERVED or a.startswith(b"-BUSY") for a in answers)  # its host takes so many at once
        assert node.outer.counts == {"questions": 31, "yes": 31} and service.hits[A] == 31


@on_loop
async def test_one_that_is_not_there_is_gone_round_and_found_when_it_comes(tmp_path):
    service = StandInRateLimit({A: 0})
    await service.open()
    await service.die()
    async with asking(tmp_path, service, failures=2, timeout=0.05) as node:
        assert [await ask(node) for _ in range(4)] == [SERVED] * 4
        assert node.outer.choice.turns == 1 and node.outer.channel.failures > 0
        await service.open()  # at its address
        while (await ask(node)) == SERVED:
            pass
        await until(node, "well")
        await service.__aexit__()


@on_loop
async def test_a_client_that_leaves_calls_its_question_off(tmp_path):
    async with StandInRateLimit() as service, asking(tmp_path, service) as node:
        service.script.play(Step("stall", count=1, delay=1.0))
        _, writer = await node.connect()
        writer.write(command(b"left"))
        await service.arrived.get()
        writer.close()
        while node.node.core.in_flight:
            await asyncio.sleep(0)
        assert await ask(node, B) == SERVED
        assert service.called_off == 1 and len(node.host.commands) == 1 and node.outer.choice.seen == 1


@on_loop
async def test_an_answer_that_comes_after_its_time_changes_nothing(tmp_path):
    async with StandInRateLimit() as service, asking(tmp_path, service, timeout=0.05) as node:
        service.script.play(Step("stall", count=1, delay=0.2), Step("over", count=1))
        assert await ask(node) == SERVED  # unasked, as the mode says
        assert (await ask(node)).startswith(b"-BUSY")
        for _ in range(20):
            assert await ask(node) == SERVED
        assert len(node.host.commands) == 21


@on_loop
async def test_requests_of_one_turn_go_in_one_question_and_each_hears_its_own(tmp_path):
    async with StandInRateLimit({A: 3, B: 0}) as service, asking(tmp_path, service, batch=10) as node:
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
async def test_more_streams_than_it_takes_wait_for_one(tmp_path):
    async with StandInRateLimit(most_streams=2) as service, asking(tmp_path, service) as node:
        assert await ask(node) == SERVED  # its settings are known now
        service.script.play(Step("stall", count=4, delay=0.05))
        assert await asyncio.gather(*(ask(node) for _ in range(12))) == [SERVED] * 12
        assert len(service.questions) == 13


@on_loop
async def test_another_address_and_other_terms_by_a_reload(tmp_path):
    async with StandInRateLimit() as one, StandInRateLimit({A: 0}) as two, asking(tmp_path, one) as node:
        assert await ask(node) == SERVED
        one.script.play(Step("stall", count=1, delay=0.1))
        waits = asyncio.ensure_future(ask(node))
        await one.arrived.get()
        await one.arrived.get()
        old = node.outer.asked
        node.outer.set(Asked(("127.0.0.1", two.port), old.terms, old.domain, old.entries))
        assert (await ask(node)).startswith(b"-BUSY") and await waits == SERVED
        assert node.outer.told()["address"].endswith(str(two.port))


@on_loop
async def test_a_walk_of_faults_answers_each_request_once(tmp_path):
    kinds = ["stall", "silent", "reset", "error", "spoilt", "odd", "half", "over", "goaway", "busy", "answer"]
    async with StandInRateLimit() as service, asking(tmp_path, service, timeout=0.05) as node:
        service.script.play(*(Step(kind, count=1 + n % 3, delay=0.1) for n, kind in enumerate(kinds * 4)))
        for _ in range(30):
            answers = await asyncio.gather(*(ask(node) for _ in range(6)))
            assert all(a == SERVED or a.startswith(b"-BUSY") for a in answers)
        assert not node.node.core.in_flight
        service.script.play()
        await until(node, "well")
