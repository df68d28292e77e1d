"""`api-gateway ratelimit ask` and `status`."""

from __future__ import annotations

import argparse
import asyncio
import json
import ssl
import sys
from typing import Any

from apigateway.cli.ask import ask as ask_gateway
from apigateway.cli.ask import headed
from apigateway.config_validation import InvalidConfigFileError
from apigateway.daemon.exit_codes import FAILED, OK, UNUSABLE
from apigateway.daemon.handover import HandoverError
from apigateway.daemon.settings import read_settings
from apigateway.upstream.address import Address, read_address

OVER = 3  # exit code: it was asked, and said that it is over the limit
METHOD = "/envoy.service.ratelimit.v3.RateLimitService/ShouldRateLimit"
UNITS = ("", "second", "minute", "hour", "day", "month", "year", "week")
CODES = {0: "unknown", 1: "ok", 2: "over limit"}

Entries = list[tuple[str, str]]


def run(told: argparse.Namespace) -> int:
    return status(told.file, told.json) if told.act == "status" else ask(told)


# Status


def status(path: str, as_json: bool) -> int:
    try:
        told = asyncio.run(ask_gateway(read_settings(path), "ratelimit"))
    except InvalidConfigFileError as err:
        print(err, file=sys.stderr)
        return UNUSABLE
    except (HandoverError, OSError) as err:
        print(f"api-gateway: {err}", file=sys.stderr)
        return FAILED
    if as_json:
        print(json.dumps(told.get("", told), indent=1))
    else:
        print("\n".join(headed(name, lines(one)) for name, one in told.items()))
    return OK


def lines(told: dict[str, Any]) -> str:
    out = []
    for one in told["listeners"]:
        out.append(
            f"listener {one['address']}{' (TLS)' if one['tls'] else ''}: {one['connections']} "
            f"connections, {one['handshakes failed']} handshakes failed; "
            + listed(one["answers"], "nothing asked yet")
        )
    if told["tokens"] is not None:
        out.append("tokens: " + listed(told["tokens"], "none given yet"))
    outer = told["outer"]
    if outer is not None:
        why = f" ({outer['last']})" if outer["last"] else ""
        out.append(
            f"outer service {outer['address']}: {outer['state']}{why}, {outer['out']} questions out, "
            f"taken to fail {outer['turns']} times; " + listed(outer["counts"], "nothing asked yet")
        )
    return "\n".join(out) or "no rate limit service here, and no outer one"


def listed(counts: dict[str, int], none: str) -> str:
    return ", ".join(f"{name} {count}" for name, count in sorted(counts.items())) or none


# Ask


def ask(told: argparse.Namespace) -> int:
    try:
        address = read_address(told.address)
        descriptors = [entries(one.split(",")) for one in told.descriptor]
        if told.entries:
            descriptors.insert(0, entries(told.entries))
        if not descriptors:
            raise ValueError("no descriptor: say KEY=VALUE, once or more")
        context = secure(told)
    except (ValueError, OSError) as err:
        print(f"api-gateway: {err}", file=sys.stderr)
        return UNUSABLE
    from envoy.service.ratelimit.v3 import rls_pb2 as pb

    request = pb.RateLimitRequest(domain=told.domain, hits_addend=told.hits)
    for one in descriptors:
        descriptor = request.descriptors.add()
        for key, value in one:
            descriptor.entries.add(key=key, value=value)
    status, text, message = asyncio.run(call(address, context, told.name, request, told.timeout))
    if status:
        from apigateway.upstream.rpc import STATUS_NAMES

        print(f"api-gateway: {told.address}: {STATUS_NAMES.get(status, status)}: {text}", file=sys.stderr)
        return FAILED
    response = pb.RateLimitResponse.FromString(message)
    if told.json:
        from google.protobuf.json_format import MessageToDict

        print(json.dumps(MessageToDict(response, preserving_proto_field_name=True), indent=1))
    else:
        print(readable(descriptors, response))
    return OVER if response.overall_code == pb.RateLimitResponse.OVER_LIMIT else OK


def entries(texts: list[str]) -> Entries:
    made = []
    for text in texts:
        key, sign, value = text.partition("=")
        if not (key and sign):
            raise ValueError(f"{text!r} is no KEY=VALUE")
        made.append((key, value))
    return made


def secure(told: argparse.Namespace) -> ssl.SSLContext | None:
    if not (told.tls or told.ca or told.cert):
        return None
    context = ssl.create_default_context(cafile=told.ca or None)
    context.set_alpn_protocols(["h2"])
    if told.cert:
        context.load_cert_chain(told.cert, told.key or None)
    return context


async def call(
    address: Address, context: ssl.SSLContext | None, name: str, request: Any, timeout: float
) -> tuple[int, str, bytes]:
    from apigateway.external_ratelimit.client import Channel

    channel, answer = Channel(address, context, name), asyncio.get_running_loop().create_future()

    def told(status: int, text: str, message: bytes) -> None:
        answer.set_result((status, text, message))

    channel.ask(METHOD, request.SerializeToString(), timeout, told)
    result: tuple[int, str, bytes] = await answer
    channel.close()
    return result


def readable(descriptors: list[Entries], response: Any) -> str:
    out = [CODES.get(response.overall_code, str(response.overall_code))]
    for one, status in zip(descriptors, response.statuses, strict=False):
        text = f"  {', '.join(f'{key}={value}' for key, value in one)}: {CODES.get(status.code, status.code)}"
        if status.HasField("current_limit"):
            limit = status.current_limit
            text += (
                f"; {limit.requests_per_unit} a {UNITS[limit.unit]} ({limit.name}), "
                f"{status.limit_remaining} left, window turns in "
                f"{status.duration_until_reset.ToNanoseconds() / 1e9:.1f} s"
            )
        out.append(text)
    out += [f"  {header.key}: {header.value}" for header in response.response_headers_to_add]
    return "\n".join(out)
