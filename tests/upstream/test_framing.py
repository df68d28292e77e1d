"""RESP2 framing: the fast path for usual messages returns the same messages as the general parser."""

import pytest
from hypothesis import given, seed, settings
from hypothesis import strategies as st

from apigateway.upstream.framing import MAX_BODY_BYTES, NO_MESSAGE, Framing, FramingError


class FramingWithoutFastPath(Framing):
    """Framing that always uses the general parser."""

    def _take_array(self):
        return None


def read_all(framing, chunks):
    """Return all messages, and whether a framing error occurred."""
    received = []
    for chunk in chunks:
        framing.feed(chunk)
        try:
            while (message := framing.next_message()) is not NO_MESSAGE:
                received.append(message)
        except FramingError:
            return repr(received), True
    return repr(received), False


STRING = st.binary(max_size=30).map(lambda data: b"$%d\r\n%s\r\n" % (len(data), data))
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
        lambda count: b"*%d\r\n%s" % (count, b"".join(parts))
    )
)
STREAM = st.lists(st.one_of(ARRAY, PART, st.binary(max_size=10)), max_size=5).map(b"".join)


@seed(14)
@settings(max_examples=600, deadline=None, database=None)
@given(STREAM, st.lists(st.integers(0, 200), max_size=6))
def test_messages_when_the_stream_is_split_anywhere_then_are_the_same_with_and_without_fast_path(
    stream, cuts
):
    offsets = sorted({min(cut, len(stream)) for cut in cuts} | {0, len(stream)})
    chunks = [stream[start:end] for start, end in zip(offsets, offsets[1:], strict=False)]
    assert read_all(Framing(), chunks) == read_all(FramingWithoutFastPath(), chunks)


@pytest.mark.parametrize(
    "size", [0, 1, MAX_BODY_BYTES - 1, MAX_BODY_BYTES, MAX_BODY_BYTES + 1, MAX_BODY_BYTES + 2000, 10**8]
)
def test_length_when_above_the_limit_then_raises_framing_error(size):
    for framing_class in (Framing, FramingWithoutFastPath):
        framing = framing_class()
        framing.feed(b"*1\r\n$%d\r\n" % size + b"x" * min(size, MAX_BODY_BYTES + 2000) + b"\r\n")
        if size <= MAX_BODY_BYTES + 1000:
            assert len(framing.next_message()[0]) == size
        else:
            with pytest.raises(FramingError):
                framing.next_message()
