"""The way of bytes: the short one for usual messages reads what the long one reads, and takes no more."""

import pytest
from hypothesis import given, seed, settings
from hypothesis import strategies as st
from netkit import SETTINGS

from apigateway.frontends.resp import command as commands
from apigateway.frontends.resp.command import MAX_CACHED_FIELDS, InvalidCommandError, parse_command
from apigateway.platform_settings import read_settings
from apigateway.upstream.framing import MAX_BODY_BYTES, NO_MESSAGE, Framing, FramingError


class Long(Framing):
    """Without the short way."""

    def _take_array(self):
        return None


def read(framing, chunks):
    """All messages, and whether it ended in lost framing."""
    found = []
    for chunk in chunks:
        framing.feed(chunk)
        try:
            while (message := framing.next_message()) is not NO_MESSAGE:
                found.append(message)
        except FramingError:
            return repr(found), True
    return repr(found), False


STRING = st.binary(max_size=30).map(lambda b: b"$%d\r\n%s\r\n" % (len(b), b))
PART = st.one_of(
    STRING,
    st.sampled_from(
        [
            b"$-1\r\n",
            b":5\r\n",
            b"+OK\r\n",
            b"-ERR x\r\n",
            b"$05\r\nabcde\r\n",
            b"$5\r\nabc\r\n",
            b"$x\r\n",
            b"*1\r\n",
            b"",
            b"$-2\r\n",
            b"$ 5\r\nabcde\r\n",
        ]
    ),
)
ARRAY = st.lists(PART, max_size=6).flatmap(
    lambda parts: st.sampled_from([len(parts), len(parts), len(parts), len(parts) + 1, 70, 0]).map(
        lambda n: b"*%d\r\n%s" % (n, b"".join(parts))
    )
)
STREAM = st.lists(st.one_of(ARRAY, PART, st.binary(max_size=10)), max_size=5).map(b"".join)


@seed(14)
@settings(max_examples=600, deadline=None, database=None)
@given(STREAM, st.lists(st.integers(0, 200), max_size=6))
def test_both_ways_read_the_same_however_it_is_cut(stream, cuts):
    places = sorted({min(cut, len(stream)) for cut in cuts} | {0, len(stream)})
    chunks = [stream[a:b] for a, b in zip(places, places[1:], strict=False)]
    assert read(Framing(), chunks) == read(Long(), chunks)


@pytest.mark.parametrize(
    "size", [0, 1, MAX_BODY_BYTES - 1, MAX_BODY_BYTES, MAX_BODY_BYTES + 1, MAX_BODY_BYTES + 2000, 10**8]
)
def test_lengths_are_checked_before_they_are_believed(size):
    for kind in (Framing, Long):
        framing = kind()
        framing.feed(b"*1\r\n$%d\r\n" % size + b"x" * min(size, MAX_BODY_BYTES + 2000) + b"\r\n")
        if size <= MAX_BODY_BYTES + 1000:
            assert len(framing.next_message()[0]) == size
        else:
            with pytest.raises(FramingError):
                framing.next_message()


def told(terms, verb=b"API.READ", customer=b"00000000b4d65521", id=b"r1"):
    return [verb, customer, id, terms] + [b"BODY"] * (verb == b"API.WRITE")


GOOD = b"c=read,t=p,d=3000,units=1,spread=1,first=0"


def test_terms_that_are_kept_mean_what_they_meant_and_a_bad_one_is_never_kept():
    settings, kept = read_settings(SETTINGS), {}
    first, _ = parse_command(settings, told(GOOD), kept)
    assert len(kept) == 1
    assert parse_command(settings, told(GOOD), kept)[0] == first
    for verb, terms in ((b"API.WRITE", GOOD), (b"API.READ", GOOD + b",d=1"), (b"API.READ", GOOD[:-1])):
        for _ in "ab":  # also the second time
            with pytest.raises(InvalidCommandError):
                parse_command(settings, told(terms, verb), kept)
    with pytest.raises(InvalidCommandError):
        parse_command(settings, told(GOOD, customer=b"x" * 16), kept)
    assert len(kept) == 1


def test_kept_terms_are_bounded_and_those_with_a_key_are_not_kept():
    settings, kept = read_settings(SETTINGS), {}
    for n in range(3 * MAX_CACHED_FIELDS):
        parse_command(settings, told(GOOD.replace(b"3000", b"%d" % (n + 100))), kept)
        assert len(kept) <= MAX_CACHED_FIELDS
    before = dict(kept)
    parse_command(settings, told(b"c=write,t=p,d=3000,k=77,units=1,spread=1,first=0", b"API.WRITE"), kept)
    assert kept == before and commands.MAX_CACHED_FIELDS == MAX_CACHED_FIELDS
