"""`api-gateway ratelimit ask`: send one check to a rate limit service."""

from __future__ import annotations

import asyncio
import json
import ssl
import sys
from dataclasses import dataclass
from typing import Any, NamedTuple

from apigateway.exit_codes import ExitCode
from apigateway.external_ratelimit.service_config import SHOULD_RATE_LIMIT_PATH
from apigateway.upstream.address import Address, parse_address

# By their numbers in rls.proto.
_UNIT_NAMES = ("", "second", "minute", "hour", "day", "month", "year", "week")
_CODE_NAMES = {0: "unknown", 1: "ok", 2: "over limit"}

_NANOSECONDS_PER_SECOND = 1e9

_Descriptor = list[tuple[str, str]]  # entries of key and value


@dataclass(frozen=True, slots=True)
class AskOptions:
    """The command's arguments.

    Attributes:
        address: HOST:PORT of the service.
        entries: Entries of the first descriptor, each KEY=VALUE.
        descriptors: Further descriptors, each KEY=VALUE,...
        domain: Domain of the request.
        hits: `hits_addend`; 0: not set.
        timeout: Timeout of the call in seconds.
        use_tls: Whether to use TLS with the system's CA certificates.
        ca_file: CA certificates that replace the system's, with TLS; empty: not set.
        cert_file: Certificate of the client, with TLS; empty: none.
        key_file: Key of the client certificate; empty: in the same file.
        server_name: Name that the server's certificate must have; empty: that of the address.
        as_json: Whether to print the response as JSON.
    """

    address: str
    entries: list[str]
    descriptors: list[str]
    domain: str
    hits: int
    timeout: float
    use_tls: bool
    ca_file: str
    cert_file: str
    key_file: str
    server_name: str
    as_json: bool


class _Response(NamedTuple):
    """The result of a call: gRPC status, its text, and the response message."""

    status: int
    text: str
    message: bytes


def ask(options: AskOptions) -> int:
    """Send one request and print the response; return the exit code."""
    try:
        address = parse_address(options.address)
        descriptors = _parse_descriptors(options)
        ssl_context = _create_ssl_context(options)
    except (ValueError, OSError) as error:
        print(f"api-gateway: {error}", file=sys.stderr)
        return ExitCode.INVALID_INPUT
    from envoy.service.ratelimit.v3 import rls_pb2

    request = _encode_request(options, descriptors)
    response = asyncio.run(_call(address, ssl_context, options, request))
    if response.status:
        from apigateway.upstream.rpc import status_name

        name = status_name(response.status)
        print(f"api-gateway: {options.address}: {name}: {response.text}", file=sys.stderr)
        return ExitCode.FAILED
    rls_response = rls_pb2.RateLimitResponse.FromString(response.message)
    print(_format_json(rls_response) if options.as_json else _format_text(descriptors, rls_response))
    is_over_limit = rls_response.overall_code == rls_pb2.RateLimitResponse.OVER_LIMIT
    return ExitCode.OVER_LIMIT if is_over_limit else ExitCode.OK


def _parse_descriptors(options: AskOptions) -> list[_Descriptor]:
    """Parse all descriptors. Raises ValueError."""
    descriptors = [_parse_entries(text.split(",")) for text in options.descriptors]
    if options.entries:
        descriptors.insert(0, _parse_entries(options.entries))
    if not descriptors:
        raise ValueError("no descriptor: specify KEY=VALUE at least once")
    return descriptors


def _parse_entries(texts: list[str]) -> _Descriptor:
    """Parse KEY=VALUE of each text. Raises ValueError."""
    entries = []
    for text in texts:
        key, separator, value = text.partition("=")
        if not (key and separator):
            raise ValueError(f"{text!r} is not KEY=VALUE")
        entries.append((key, value))
    return entries


def _create_ssl_context(options: AskOptions) -> ssl.SSLContext | None:
    """Return the TLS context, or None without TLS. Raises OSError for unusable files."""
    if not (options.use_tls or options.ca_file or options.cert_file):
        return None
    context = ssl.create_default_context(cafile=options.ca_file or None)
    context.set_alpn_protocols(["h2"])
    if options.cert_file:
        context.load_cert_chain(options.cert_file, options.key_file or None)
    return context


def _encode_request(options: AskOptions, descriptors: list[_Descriptor]) -> bytes:
    from envoy.service.ratelimit.v3 import rls_pb2

    request = rls_pb2.RateLimitRequest(domain=options.domain, hits_addend=options.hits)
    for entries in descriptors:
        descriptor = request.descriptors.add()
        for key, value in entries:
            descriptor.entries.add(key=key, value=value)
    return bytes(request.SerializeToString())


async def _call(
    address: Address, ssl_context: ssl.SSLContext | None, options: AskOptions, request: bytes
) -> _Response:
    from apigateway.external_ratelimit.channel import GrpcChannel

    channel = GrpcChannel(address, ssl_context, options.server_name)
    response_future: asyncio.Future[_Response] = asyncio.get_running_loop().create_future()

    def on_response(status: int, text: str, message: bytes) -> None:
        response_future.set_result(_Response(status, text, message))

    channel.call(SHOULD_RATE_LIMIT_PATH, request, options.timeout, on_response)
    response = await response_future
    channel.close()
    return response


def _format_json(rls_response: Any) -> str:
    from google.protobuf.json_format import MessageToDict

    return json.dumps(MessageToDict(rls_response, preserving_proto_field_name=True), indent=1)


def _format_text(descriptors: list[_Descriptor], rls_response: Any) -> str:
    lines = [_CODE_NAMES.get(rls_response.overall_code, str(rls_response.overall_code))]
    for entries, status in zip(descriptors, rls_response.statuses, strict=False):
        lines.append(_format_descriptor_status(entries, status))
    lines += [f"  {header.key}: {header.value}" for header in rls_response.response_headers_to_add]
    return "\n".join(lines)


def _unit_name(unit: int) -> str:
    """Return the name of a time unit; its number if the service is newer and knows more units."""
    return _UNIT_NAMES[unit] if 0 <= unit < len(_UNIT_NAMES) else f"unit {unit}"


def _format_descriptor_status(entries: _Descriptor, status: Any) -> str:
    descriptor = ", ".join(f"{key}={value}" for key, value in entries)
    text = f"  {descriptor}: {_CODE_NAMES.get(status.code, status.code)}"
    if not status.HasField("current_limit"):
        return text
    limit = status.current_limit
    reset_s = status.duration_until_reset.ToNanoseconds() / _NANOSECONDS_PER_SECOND
    return text + (
        f"; {limit.requests_per_unit} a {_unit_name(limit.unit)} ({limit.name}), "
        f"{status.limit_remaining} left, window turns in {reset_s:.1f} s"
    )
