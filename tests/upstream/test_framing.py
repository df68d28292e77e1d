"""RESP2 framing: the fast path for usual messages returns the same messages as the general parser."""

import random
import subprocess
import sys

import pytest
from hypothesis import given, seed, settings
from hypothesis import strategies as st

from apigateway.emulators.hostile_crowd import COMMANDS
from apigateway.upstream.framing import (
    MAX_BODY_BYTES,
    MAX_MESSAGE_BYTES,
    NO_MESSAGE,
    Framing,
    FramingError,
)
from apigateway.upstream.message_parser import MessageParseError, MessageParser


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


SIZE_PROGRAM = """
from apigateway.upstream.framing import NO_MESSAGE, Framing

def resident_bytes():
    with open("/proc/self/statm") as file:
        return int(file.read().split()[1]) * 4096

message = b"*2\\r\\n$65000\\r\\n" + bytes(65000) + b"\\r\\n:1\\r\\n"
streams = [Framing() for _ in range(464)]
before = resident_bytes()
for stream in streams:
    for start in range(0, len(message), 16384):
        assert start == 0 or received is NO_MESSAGE
        stream.feed(message[start : start + 16384])
        received = stream.next_message()
    assert received == [bytes(65000), 1]
print((resident_bytes() - before) // 1024)
"""
MAX_GROWTH_KIB = 4096
STEPS = 100_000
READ_BYTES = 16 * 1024


# Guards against buffers of the parser that keep the size of the largest message of each stream.
def test_size_of_the_process_when_many_streams_carried_large_messages_then_it_is_as_before():
    output = subprocess.run([sys.executable, "-c", SIZE_PROGRAM], capture_output=True, check=True).stdout
    assert int(output) < MAX_GROWTH_KIB


# Guards against a message of one stream that leaves bytes in the parser that all streams share.
@pytest.mark.parametrize("data", [b"+a\r\n+b\r\n", b"*2\r\n+a\r\n", b":x\r\n", b"$3\r\nab"])
def test_parser_when_given_other_than_one_message_then_the_next_is_parsed_alone(data):
    parser = MessageParser()
    with pytest.raises(MessageParseError):
        parser.parse(data)
    assert parser.parse(b"*2\r\n+next\r\n:7\r\n") == [b"next", 7]


# Guards against input of any form for which a stream holds more than a message and a read.
def test_stream_when_fed_by_the_crowds_grammar_then_it_holds_no_more_than_a_message_and_a_read():
    rng = random.Random("framing")
    kinds = list(COMMANDS.values())
    framing, data = Framing(), b""
    for number in range(STEPS):
        if not data or rng.random() < 0.1:
            data = rng.choice(kinds)(b"%x" % number, rng.randrange(100_000))
        size = min(len(data), rng.choice((1, 7, 700, READ_BYTES)))
        framing.feed(data[:size])
        data = data[size:]
        try:
            while framing.next_message() is not NO_MESSAGE:
                pass
        except FramingError:
            framing = Framing()
        assert sys.getsizeof(framing.buffer) <= 2 * (MAX_MESSAGE_BYTES + READ_BYTES)
