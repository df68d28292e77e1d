"""Check, then call: a RESP2 request with its check's token is not counted twice, and no token is good for
more than that."""

import os

from gateway_harness import (
    VALUE_REPLY,
    EmulatedHost,
    GatewayHarness,
    make_command,
    make_fields,
    run_on_uvloop,
)
from rate_limit_client import CONF, OK, RateLimitClient, until_over

from apigateway.frontends.grpc.mapping import DescriptorMapping, MappingRule
from apigateway.frontends.grpc.tokens import QuotaTokens, RedeemedTokens, TokenKeys

A, B = "00000000000000aa", "00000000000000bb"
KEY, OTHER = b"k" * 32, b"o" * 32


class TokenClient(RateLimitClient):
    """With tokens, whose time the test moves."""

    def __init__(self, harness, seconds=5.0, index=0, span=1, **kw):
        self.now = 1e9
        self.tokens = QuotaTokens(
            TokenKeys([KEY]), RedeemedTokens(index, span, 1000), seconds, lambda: self.now, os.urandom
        )
        super().__init__(harness, **kw)
        core = harness.server.core
        rules = [
            MappingRule("payroll", ("account",), "{account}", "quota", "read", issues_token=True),
            MappingRule(
                "payroll", ("account", "cost=half"), "{account}", "quota", "read", 0.5, issues_token=True
            ),
            MappingRule("payroll", ("account", "plain"), "{account}", "quota", "read"),
        ]
        mapping = DescriptorMapping(
            rules, core.settings.plans, core.settings.classes, core.settings.gateway_count
        )
        self.service.settings = type(self.service.settings)(mapping, 2.0, tokens=self.tokens)
        self.harness, self.number = harness, 0
        harness.server.frontends[0].set_tokens(self.tokens)

    async def token(self, *descriptors, **kw):
        response = await self.ask(*(descriptors or [A]), **kw)
        return [
            header.value for header in response.response_headers_to_add if header.key == "x-calicomast-token"
        ]

    async def use(self, token="", customer=A, **kw):
        """A RESP2 request that shows it."""
        self.number += 1
        told = make_fields(**{"t": "quota", **kw}) + (f",tok={token}".encode() if token else b"")
        return await self.harness.send_command(
            make_command(b"r%d" % self.number, told, customer=customer.encode())
        )

    @property
    def counts(self):
        return self.tokens.counts


@run_on_uvloop
async def test_a_request_with_its_token_is_served_though_the_quota_is_spent_since(tmp_path):
    async with (
        EmulatedHost() as host,
        GatewayHarness(host, path=tmp_path, settings=CONF) as harness,
        TokenClient(harness) as asking,
    ):
        (token,) = await asking.token()
        await until_over(asking, A)
        assert (await asking.use()).startswith(b"-BUSY")
        assert await asking.use(token) == VALUE_REPLY
        assert host.commands[0][3].endswith(f"tok={token}".encode())
        assert (await asking.use(token)).startswith(b"-BUSY")  # once
        assert asking.counts["taken"] == 1 and asking.counts["used, late or of another gateway"] == 1


@run_on_uvloop
async def test_a_check_with_its_request_spends_units_once(tmp_path):
    async with (
        EmulatedHost() as host,
        GatewayHarness(host, path=tmp_path, settings=CONF) as harness,
        TokenClient(harness) as asking,
    ):
        served = 0
        while token := await asking.token():
            assert await asking.use(token[0]) == VALUE_REPLY
            served += 1
        assert 19 <= served <= 41 and (await asking.use()).startswith(b"-BUSY")


@run_on_uvloop
async def test_a_token_when_altered_late_or_for_something_else_is_not_redeemed(tmp_path):
    async with (
        EmulatedHost() as host,
        GatewayHarness(host, path=tmp_path, settings=CONF) as harness,
        TokenClient(harness) as asking,
    ):
        (token,) = await asking.token()
        (half,) = await asking.token({"account": A, "cost": "half"})
        await until_over(asking, A)
        await until_over(asking, B)
        for text in (token[:-1] + ("A" if token[-1] != "A" else "B"), token[1:], "x", "=" * 50, "é"):
            assert (await asking.use(text)).startswith(b"-BUSY")
        assert (await asking.use(token, customer=B)).startswith(b"-BUSY")
        assert (await asking.use(half)).startswith(b"-BUSY")  # of half a unit, shown with one
        assert await asking.use(half, units="0.5") == VALUE_REPLY
        assert (await asking.use(token, t="small")).startswith(b"-BUSY")  # another plan's
        assert asking.counts["taken"] == 1
        asking.now += 5.1
        assert (await asking.use(token)).startswith(b"-BUSY")
        assert asking.counts["taken"] == 1 and len(host.commands) == 1


@run_on_uvloop
async def test_a_token_of_a_rotated_key_holds_until_the_key_is_taken_away(tmp_path):
    async with (
        EmulatedHost() as host,
        GatewayHarness(host, path=tmp_path, settings=CONF) as harness,
        TokenClient(harness) as asking,
    ):
        one, two, three = [(await asking.token())[0] for _ in range(3)]
        await until_over(asking, A)
        asking.tokens.keys = TokenKeys([OTHER, KEY])
        assert await asking.use(one) == VALUE_REPLY
        assert (await asking.use(one)).startswith(b"-BUSY")  # what was used is remembered past a rotation
        asking.tokens.keys = TokenKeys([OTHER])
        assert (await asking.use(two)).startswith(b"-BUSY")
        asking.tokens.keys = TokenKeys([KEY])
        assert await asking.use(three) == VALUE_REPLY


@run_on_uvloop
async def test_a_token_when_its_request_was_rejected_before_it_was_sent_is_restored(tmp_path):
    async with (
        EmulatedHost() as host,
        GatewayHarness(host, path=tmp_path, settings=CONF) as harness,
        TokenClient(harness) as asking,
    ):
        (token,) = await asking.token()
        await until_over(asking, A)
        core = harness.server.core
        most, core.request_budget.limit = core.request_budget.limit, 0
        assert (await asking.use(token)).startswith(b"-BUSY")  # no room here
        core.request_budget.limit = most
        assert asking.counts["given back"] == 1
        assert await asking.use(token) == VALUE_REPLY
        assert (await asking.use(token)).startswith(b"-BUSY") and len(host.commands) == 1


@run_on_uvloop
async def test_each_descriptor_has_its_own_token_and_a_rule_without_has_none(tmp_path):
    async with (
        EmulatedHost() as host,
        GatewayHarness(host, path=tmp_path, settings=CONF) as harness,
        TokenClient(harness) as asking,
    ):
        response = await asking.ask(A, {"account": A, "plain": "1"}, B, {"account": A, "hits": 0})
        given = list(response.dynamic_metadata["tokens"])
        assert response.overall_code == OK and [bool(t) for t in given] == [True, False, True, False]
        assert [h.value for h in response.response_headers_to_add] == [given[0], given[2]]
        assert await asking.use(given[2], customer=B) == VALUE_REPLY
        await until_over(asking, A)
        assert not await asking.token(B, A)  # over: what was granted is given back, and no token is left


@run_on_uvloop
async def test_a_token_of_another_gateway_is_redeemed_only_within_its_group(tmp_path):
    async with EmulatedHost() as host, GatewayHarness(host, path=tmp_path, settings=CONF) as harness:
        async with TokenClient(harness, index=5, span=2) as asking:
            from apigateway.frontends.grpc.tokens import TokenPurpose

            purpose = TokenPurpose(A, "quota", "read", 1.0)
            beside, other = [
                TokenKeys([KEY]).sign(purpose, number, asking.now + 5, os.urandom(8)) for number in (4, 6)
            ]
            await until_over(asking, A)
            assert (await asking.use(other)).startswith(b"-BUSY")
            assert await asking.use(beside) == VALUE_REPLY


@run_on_uvloop
async def test_a_token_when_there_are_no_keys_is_a_field_as_any(tmp_path):
    async with (
        EmulatedHost() as host,
        GatewayHarness(host, path=tmp_path, settings=CONF) as harness,
        RateLimitClient(harness) as asking,
    ):
        response = await asking.ask(A)
        assert not response.response_headers_to_add and not response.dynamic_metadata
        assert await harness.send_command(make_command(b"r1", make_fields() + b",tok=abc")) == VALUE_REPLY
