"""The client's half of gRPC without a socket: against the server's half, and against bytes that no server
would send."""

import h2.config
import h2.connection
import h2.errors
import h2.events
import h2.settings
import pytest
from hyperframe.frame import GoAwayFrame
from hypothesis import given, seed, settings
from hypothesis import strategies as st

from apigateway.external_ratelimit.wire import ClientSession, Over
from apigateway.frontends.grpc.events import CallCancelled, UnaryCall
from apigateway.frontends.grpc.server_session import ServerSession
from apigateway.upstream import rpc

PATH = "/a.B/C"


class Pair:
    """A client's session, and a server that h2 alone makes."""

    def __init__(self, most=100):
        self.session = ClientSession("host:1")
        self.server = h2.connection.H2Connection(
            h2.config.H2Configuration(client_side=False, header_encoding=None)
        )
        self.server.local_settings = h2.settings.Settings(
            client=False, initial_values={h2.settings.SettingCodes.MAX_CONCURRENT_STREAMS: most}
        )
        self.server.initiate_connection()
        self.heard, self.told = [], []
        self.go()

    def go(self):
        while True:
            data = self.session.take()
            if data:
                self.heard += self.server.receive_data(data)
            back = self.server.data_to_send()
            if not (data or back):
                return
            self.told += self.session.receive(back)

    def ask(self, message=b"hello"):
        number = self.session.ask(PATH, message, 0.25)
        self.go()
        return number

    def answer(self, number, data, status=b"0", **more):
        self.server.send_headers(number, [(b":status", b"200"), (b"content-type", b"application/grpc")])
        self.server.send_data(number, data)
        self.server.send_headers(
            number, [(b"grpc-status", status)] if status is not None else [(b"x", b"y")], end_stream=True
        )
        self.go()


def test_a_call_as_the_servers_half_reads_it():
    client, server = ClientSession("host:1"), ServerSession()
    number = client.ask(PATH, b"hello", 0.25)
    told = server.receive(client.take())
    assert told == [UnaryCall(number, PATH, b"hello", 0.25)]
    client.receive(server.data_to_send())
    server.receive(client.take())
    server.send_response(number, b"world")
    assert client.receive(server.data_to_send()) == [Over(number, rpc.OK, "", b"world")]
    number = client.ask(PATH, b"again", 1.0)
    server.receive(client.take())
    server.send_status(number, rpc.UNAVAILABLE, "50% é")
    assert client.receive(server.data_to_send()) == [Over(number, rpc.UNAVAILABLE, "50% é")]
    number = client.ask(PATH, b"never mind", 1.0)
    client.call_off(number)
    assert server.receive(client.take())[-1] == CallCancelled(number) and not client.out


def test_a_question_longer_than_the_window_goes_on_when_that_opens():
    pair = Pair()
    number = pair.ask(b"x" * 200_000)
    assert not any(isinstance(event, h2.events.StreamEnded) for event in pair.heard)
    got = 0
    while got < 200_005:
        events, pair.heard = pair.heard, []
        for event in events:
            if isinstance(event, h2.events.DataReceived):
                got += len(event.data)
                pair.server.acknowledge_received_data(event.flow_controlled_length, number)
        pair.go()
    pair.answer(number, rpc.frame_message(b"ok"))
    assert pair.told == [Over(number, rpc.OK, "", b"ok")]


@pytest.mark.parametrize(
    "data, status, code",
    [
        (rpc.frame_message(b"ok"), b"5", 5),
        (rpc.frame_message(b"ok"), None, rpc.UNKNOWN),
        (rpc.frame_message(b"ok"), b"soon", rpc.UNKNOWN),
        (b"\0\0\0", b"0", rpc.INTERNAL),
        (b"", b"0", rpc.INTERNAL),
        (rpc.frame_message(b"a") * 2, b"0", rpc.INTERNAL),
        (b"\1\0\0\0\1x", b"0", rpc.UNIMPLEMENTED),
        (b"\0\xff\xff\xff\xff", b"0", rpc.RESOURCE_EXHAUSTED),
    ],
)
def test_an_answer_that_is_none_is_a_failure_and_the_next_is_heard(data, status, code):
    pair = Pair()
    try:
        pair.answer(pair.ask(), data, status)
    except h2.exceptions.StreamClosedError:  # it was called off at the first bytes
        pair.go()
    assert [one.status for one in pair.told] == [code] and not pair.session.out
    pair.answer(pair.ask(), rpc.frame_message(b"ok"))
    assert pair.told[-1].message == b"ok"


def test_what_the_server_never_looked_at_may_be_asked_again():
    pair = Pair()
    one, two = pair.ask(), pair.ask()
    pair.server.reset_stream(one, h2.errors.ErrorCodes.REFUSED_STREAM)
    pair.server.reset_stream(two, h2.errors.ErrorCodes.INTERNAL_ERROR)
    pair.go()
    assert [(t.stream, t.status, t.ran) for t in pair.told] == [
        (one, rpc.UNAVAILABLE, False),
        (two, rpc.UNAVAILABLE, True),
    ]


def test_a_goaway_lets_what_is_before_it_end_and_takes_no_more():
    pair = Pair()
    one, two = pair.ask(), pair.ask()
    told = pair.session.receive(GoAwayFrame(0, last_stream_id=one, error_code=0).serialize())
    assert told == [Over(two, rpc.UNAVAILABLE, "the server ends", ran=False)]
    assert pair.session.room() == 0 and not pair.session.over
    pair.answer(one, rpc.frame_message(b"ok"))
    assert pair.told == [Over(one, rpc.OK, "", b"ok")] and pair.session.over


def test_room_is_what_the_server_allows():
    pair = Pair(most=2)
    assert pair.session.room() == 2
    one = pair.ask()
    pair.ask()
    assert pair.session.room() == 0
    pair.answer(one, rpc.frame_message(b"ok"))
    assert pair.session.room() == 1


def test_http_errors_are_failures():
    pair = Pair()
    number = pair.ask()
    pair.server.send_headers(number, [(b":status", b"503")], end_stream=True)
    pair.go()
    assert pair.told == [Over(number, rpc.UNAVAILABLE, "HTTP status 503")]
    number = pair.ask()
    pair.server.send_headers(number, [(b":status", b"404")])
    pair.go()
    assert pair.told[-1].text == "HTTP status 404" and not pair.session.out


def test_the_end_of_the_connection_ends_all():
    pair = Pair()
    numbers = [pair.ask(), pair.ask()]
    assert [one.stream for one in pair.session.lost("gone")] == numbers and pair.session.over


@pytest.mark.parametrize(
    "seconds, text",
    [
        (0.25, b"250m"),
        (0.0001, b"1m"),
        (99_999.75, b"99999750m"),
        (100_000.0, b"100000S"),
        (1e12, b"99999999S"),
    ],
)
def test_time_outs_are_told_rounded_down(seconds, text):
    assert rpc.write_timeout(seconds) == text
    assert rpc.read_timeout(text) <= max(seconds, 0.001)


@seed(14)
@settings(max_examples=150, deadline=None, database=None)
@given(st.lists(st.integers(1, 400), max_size=12), st.binary(max_size=60), st.integers(0, 400))
def test_whatever_comes_each_question_ends_at_most_once(cuts, noise, place):
    session = ClientSession("host:1")
    server = h2.connection.H2Connection(h2.config.H2Configuration(client_side=False, header_encoding=None))
    server.initiate_connection()
    asked = [session.ask(PATH, b"x" * 50, 1.0) for _ in range(3)]
    server.receive_data(session.take())
    for number in asked:
        server.send_headers(number, [(b":status", b"200")])
        server.send_data(number, rpc.frame_message(b"y" * 30))
        server.send_headers(number, [(b"grpc-status", b"0")], end_stream=True)
    stream = bytearray(server.data_to_send())
    if noise:
        stream[min(place, len(stream)) : min(place, len(stream)) + len(noise)] = noise
    told, at = [], 0
    for cut in [*cuts, len(stream)]:
        if at < len(stream) and not session.over:
            told += session.receive(bytes(stream[at : at + cut]))
        at += cut
        session.take()
    told += session.lost("the end")
    ended = [one.stream for one in told]
    assert sorted(ended) == asked
    if not noise:
        assert all(one.message == b"y" * 30 for one in told)
