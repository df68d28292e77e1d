"""The scan of a command finds what parsing it finds."""

import pytest
from gateway_harness import SETTINGS

from apigateway.frontends.resp.command import InvalidCommandError, parse_command
from apigateway.frontends.resp.command_scanner import CommandScanner
from apigateway.platform_settings import read_settings


@pytest.mark.parametrize(
    "text",
    [
        b"c=read,t=p,d=3000,units=1,spread=1,first=0",
        b"c=no,t=p,d=1,units=1,spread=1,first=0",
        b"c=read,t=p,d=3000,k=5,units=1,spread=1,first=0",
        b"",
        b"c=read",
        b"c=read,t=p,d=3000,units=1.5.5,spread=1,first=0",
        b"\xff\xfe=1",
    ],
)
def test_a_scan_says_what_parsing_says(text):
    told = read_settings(SETTINGS)
    parts = [b"API.READ", b"00000000B4D65521", b"id-1", text]
    seen = CommandScanner(told).scan(parts)
    try:
        request, _ = parse_command(told, parts, {})
    except InvalidCommandError:
        assert seen is None
        return
    assert seen is None or seen == CommandScanner(told).from_request(request)
