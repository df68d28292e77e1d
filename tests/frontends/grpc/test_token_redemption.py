"""Tests of RESP2 requests with the token of an earlier check.

Such requests are not counted twice, and a token allows nothing else.
"""

import os

from gateway_harness import (
    VALUE_REPLY,
    EmulatedHost,
    GatewayHarness,
    make_command,
    make_fields,
    run_on_uvloop,
)
from rate_limit_client import GATEWAY_SETTINGS, OK, RateLimitClient, check_until_over_limit

from apigateway.frontends.grpc.mapping import DescriptorMapping, MappingRule
from apigateway.frontends.grpc.tokens import QuotaTokens, RedeemedTokens, TokenKeys

CUSTOMER_A, CUSTOMER_B = "00000000000000aa", "00000000000000bb"
KEY, OTHER = b"k" * 32, b"o" * 32


class TokenClient(RateLimitClient):
    """A RateLimitClient with tokens, whose clock is set by the test."""

    def __init__(self, harness, lifetime=5.0, gateway_index=0, group_size=1, **client_options):
        self.now = 1e9
        self.tokens = QuotaTokens(
            TokenKeys([KEY]),
            RedeemedTokens(gateway_index, group_size, 1000),
            lifetime,
            lambda: self.now,
            os.urandom,
        )
        super().__init__(harness, **client_options)
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
        self.harness, self.request_count = harness, 0
        harness.server.frontends[0].set_tokens(self.tokens)

    async def request_tokens(self, *descriptors, **check_options):
        response = await self.check(*(descriptors or [CUSTOMER_A]), **check_options)
        return [
            header.value for header in response.response_headers_to_add if header.key == "x-calicomast-token"
        ]

    async def send_request(self, token="", customer=CUSTOMER_A, **request_fields):
        """Send a RESP2 request with a token."""
        self.request_count += 1
        fields = make_fields(**{"t": "quota", **request_fields}) + (
            f",tok={token}".encode() if token else b""
        )
        return await self.harness.send_command(
            make_command(b"r%d" % self.request_count, fields, customer=customer.encode())
        )

    @property
    def counts(self):
        return self.tokens.counts


@run_on_uvloop
async def test_request_with_its_token_is_served_after_the_quota_is_spent(tmp_path):
    async with (
        EmulatedHost() as host,
        GatewayHarness(host, path=tmp_path, settings=GATEWAY_SETTINGS) as harness,
        TokenClient(harness) as client,
    ):
        (token,) = await client.request_tokens()
        await check_until_over_limit(client, CUSTOMER_A)
        assert (await client.send_request()).startswith(b"-BUSY")
        assert await client.send_request(token) == VALUE_REPLY
        assert host.commands[0][3].endswith(f"tok={token}".encode())
        assert (await client.send_request(token)).startswith(b"-BUSY")  # redeemed once only
        assert client.counts["taken"] == 1 and client.counts["used, late or of another gateway"] == 1


@run_on_uvloop
async def test_check_and_its_request_spend_units_once(tmp_path):
    async with (
        EmulatedHost() as host,
        GatewayHarness(host, path=tmp_path, settings=GATEWAY_SETTINGS) as harness,
        TokenClient(harness) as client,
    ):
        served = 0
        while token := await client.request_tokens():
            assert await client.send_request(token[0]) == VALUE_REPLY
            served += 1
        assert 19 <= served <= 41 and (await client.send_request()).startswith(b"-BUSY")


@run_on_uvloop
async def test_altered_expired_or_mismatched_token_is_not_redeemed(tmp_path):
    async with (
        EmulatedHost() as host,
        GatewayHarness(host, path=tmp_path, settings=GATEWAY_SETTINGS) as harness,
        TokenClient(harness) as client,
    ):
        (token,) = await client.request_tokens()
        (half_unit_token,) = await client.request_tokens({"account": CUSTOMER_A, "cost": "half"})
        await check_until_over_limit(client, CUSTOMER_A)
        await check_until_over_limit(client, CUSTOMER_B)
        for text in (token[:-1] + ("A" if token[-1] != "A" else "B"), token[1:], "x", "=" * 50, "é"):
            assert (await client.send_request(text)).startswith(b"-BUSY")
        assert (await client.send_request(token, customer=CUSTOMER_B)).startswith(b"-BUSY")
        # Issued for half a unit, used for one unit.
        assert (await client.send_request(half_unit_token)).startswith(b"-BUSY")
        assert await client.send_request(half_unit_token, units="0.5") == VALUE_REPLY
        assert (await client.send_request(token, t="small")).startswith(b"-BUSY")  # a request of another plan
        assert client.counts["taken"] == 1
        client.now += 5.1
        assert (await client.send_request(token)).startswith(b"-BUSY")
        assert client.counts["taken"] == 1 and len(host.commands) == 1


@run_on_uvloop
async def test_token_stays_valid_after_rotation_until_its_key_is_removed(tmp_path):
    async with (
        EmulatedHost() as host,
        GatewayHarness(host, path=tmp_path, settings=GATEWAY_SETTINGS) as harness,
        TokenClient(harness) as client,
    ):
        first_token, second_token, third_token = [(await client.request_tokens())[0] for _ in range(3)]
        await check_until_over_limit(client, CUSTOMER_A)
        client.tokens.keys = TokenKeys([OTHER, KEY])
        assert await client.send_request(first_token) == VALUE_REPLY
        # Used tokens are remembered across a key rotation.
        assert (await client.send_request(first_token)).startswith(b"-BUSY")
        client.tokens.keys = TokenKeys([OTHER])
        assert (await client.send_request(second_token)).startswith(b"-BUSY")
        client.tokens.keys = TokenKeys([KEY])
        assert await client.send_request(third_token) == VALUE_REPLY


@run_on_uvloop
async def test_token_of_a_request_rejected_before_it_was_sent_is_restored(tmp_path):
    async with (
        EmulatedHost() as host,
        GatewayHarness(host, path=tmp_path, settings=GATEWAY_SETTINGS) as harness,
        TokenClient(harness) as client,
    ):
        (token,) = await client.request_tokens()
        await check_until_over_limit(client, CUSTOMER_A)
        core = harness.server.core
        limit, core.request_budget.limit = core.request_budget.limit, 0
        assert (await client.send_request(token)).startswith(b"-BUSY")  # the gateway has no capacity
        core.request_budget.limit = limit
        assert client.counts["given back"] == 1
        assert await client.send_request(token) == VALUE_REPLY
        assert (await client.send_request(token)).startswith(b"-BUSY") and len(host.commands) == 1


@run_on_uvloop
async def test_each_descriptor_gets_its_own_token_if_its_rule_issues_one(tmp_path):
    async with (
        EmulatedHost() as host,
        GatewayHarness(host, path=tmp_path, settings=GATEWAY_SETTINGS) as harness,
        TokenClient(harness) as client,
    ):
        response = await client.check(
            CUSTOMER_A, {"account": CUSTOMER_A, "plain": "1"}, CUSTOMER_B, {"account": CUSTOMER_A, "hits": 0}
        )
        tokens = list(response.dynamic_metadata["tokens"])
        assert response.overall_code == OK and [bool(token) for token in tokens] == [True, False, True, False]
        assert [header.value for header in response.response_headers_to_add] == [tokens[0], tokens[2]]
        assert await client.send_request(tokens[2], customer=CUSTOMER_B) == VALUE_REPLY
        await check_until_over_limit(client, CUSTOMER_A)
        # Over the limit: granted units are returned, and no token is issued.
        assert not await client.request_tokens(CUSTOMER_B, CUSTOMER_A)


@run_on_uvloop
async def test_token_of_another_gateway_is_redeemed_only_within_its_group(tmp_path):
    async with (
        EmulatedHost() as host,
        GatewayHarness(host, path=tmp_path, settings=GATEWAY_SETTINGS) as harness,
    ):
        async with TokenClient(harness, gateway_index=5, group_size=2) as client:
            from apigateway.frontends.grpc.tokens import TokenPurpose

            purpose = TokenPurpose(CUSTOMER_A, "quota", "read", 1.0)
            group_token, other_group_token = [
                TokenKeys([KEY]).sign(purpose, gateway_index, client.now + 5, os.urandom(8))
                for gateway_index in (4, 6)
            ]
            await check_until_over_limit(client, CUSTOMER_A)
            assert (await client.send_request(other_group_token)).startswith(b"-BUSY")
            assert await client.send_request(group_token) == VALUE_REPLY


@run_on_uvloop
async def test_token_field_is_ignored_if_there_are_no_keys(tmp_path):
    async with (
        EmulatedHost() as host,
        GatewayHarness(host, path=tmp_path, settings=GATEWAY_SETTINGS) as harness,
        RateLimitClient(harness) as client,
    ):
        response = await client.check(CUSTOMER_A)
        assert not response.response_headers_to_add and not response.dynamic_metadata
        assert await harness.send_command(make_command(b"r1", make_fields() + b",tok=abc")) == VALUE_REPLY
