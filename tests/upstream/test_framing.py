"""RESP2 framing: the short way for usual messages reads what the long one reads, and takes no more."""

import pytest
from hypothesis import given, seed, settings
from hypothesis import strategies as st

from apigateway.upstream.framing import MAX_BODY_BYTES, NO_MESSAGE, Framing, FramingError


class LongWayFraming(Framing):
    """Without the short way."""

    def _take_array(self):
        return None


def read_all(framing, chunks):
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
def test_both_ways_read_the_same_however_the_stream_is_cut(stream, cuts):
    places = sorted({min(cut, len(stream)) for cut in cuts} | {0, len(stream)})
    chunks = [stream[a:b] for a, b in zip(places, places[1:], strict=False)]
    assert read_all(Framing(), chunks) == read_all(LongWayFraming(), chunks)


@pytest.mark.parametrize(
    "size", [0, 1, MAX_BODY_BYTES - 1, MAX_BODY_BYTES, MAX_BODY_BYTES + 1, MAX_BODY_BYTES + 2000, 10**8]
)
def test_lengths_are_checked_before_they_are_believed(size):
    for kind in (Framing, LongWayFraming):
        framing = kind()
        framing.feed(b"*1\r\n$%d\r\n" % size + b"x" * min(size, MAX_BODY_BYTES + 2000) + b"\r\n")
        if size <= MAX_BODY_BYTES + 1000:
            assert len(framing.next_message()[0]) == size
        else:
            with pytest.raises(FramingError):
                framing.next_message()
