"""Tests of the cache of validated command fields."""

import pytest
from gateway_harness import SETTINGS

from apigateway.frontends.resp import command as command_module
from apigateway.frontends.resp.command import MAX_CACHED_FIELDS, InvalidCommandError, parse_command
from apigateway.platform_settings import read_settings


def command_parts(fields, verb=b"API.READ", customer=b"00000000b4d65521", request_id=b"r1"):
    return [verb, customer, request_id, fields] + [b"BODY"] * (verb == b"API.WRITE")


FIELDS = b"c=read,t=p,d=3000,units=1,spread=1,first=0"


def test_cached_fields_give_the_same_request_and_invalid_ones_are_not_cached():
    settings = read_settings(SETTINGS)
    cache = {}
    first, _ = parse_command(settings, command_parts(FIELDS), cache)
    assert len(cache) == 1
    assert parse_command(settings, command_parts(FIELDS), cache)[0] == first
    for verb, fields in ((b"API.WRITE", FIELDS), (b"API.READ", FIELDS + b",d=1"), (b"API.READ", FIELDS[:-1])):
        for _ in "ab":  # the second time too
            with pytest.raises(InvalidCommandError):
                parse_command(settings, command_parts(fields, verb), cache)
    with pytest.raises(InvalidCommandError):
        parse_command(settings, command_parts(FIELDS, customer=b"x" * 16), cache)
    assert len(cache) == 1


def test_cache_is_bounded_and_excludes_fields_with_an_idempotency_key():
    settings = read_settings(SETTINGS)
    cache = {}
    for n in range(3 * MAX_CACHED_FIELDS):
        parse_command(settings, command_parts(FIELDS.replace(b"3000", b"%d" % (n + 100))), cache)
        assert len(cache) <= MAX_CACHED_FIELDS
    before = dict(cache)
    parse_command(
        settings, command_parts(b"c=write,t=p,d=3000,k=77,units=1,spread=1,first=0", b"API.WRITE"), cache
    )
    assert cache == before and command_module.MAX_CACHED_FIELDS == MAX_CACHED_FIELDS
