"""Tests that scanning a command gives the same values as parsing it."""

import pytest
from gateway_harness import SETTINGS

from apigateway.frontends.resp.command import InvalidCommandError, parse_command
from apigateway.frontends.resp.command_scanner import CommandScanner
from apigateway.platform_settings import read_settings


@pytest.mark.parametrize(
    "fields",
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
def test_scanned_command_equals_the_parsed_request(fields):
    settings = read_settings(SETTINGS)
    parts = [b"API.READ", b"00000000B4D65521", b"id-1", fields]
    scanned = CommandScanner(settings).scan(parts)
    try:
        request, _ = parse_command(settings, parts, {})
    except InvalidCommandError:
        assert scanned is None
        return
    assert scanned is None or scanned == CommandScanner(settings).from_request(request)
