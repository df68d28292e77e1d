"""The client's side of gRPC without a socket: against the server's, and against malformed bytes."""

import h2.config
import h2.connection
import h2.errors
import h2.events
import h2.settings
import pytest
from hyperframe.frame import GoAwayFrame
from hypothesis import given, seed, settings
from hypothesis import strategies as st

from apigateway.external_ratelimit.client_session import CallEnded, ClientSession
from apigateway.frontends.grpc.events import CallCancelled, UnaryCall
from apigateway.frontends.grpc.server_session import ServerSession
from apigateway.upstream import rpc
from apigateway.upstream.rpc import GrpcStatus

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
        self.server_events, self.ended = [], []
        self.go()

    def go(self):
        while True:
            data = self.session.data_to_send()
            if data:
                self.server_events += self.server.receive_data(data)
            back = self.server.data_to_send()
            if not (data or back):
                return
            self.ended += self.session.receive(back)

    def ask(self, message=b"hello"):
        number = self.session.start_call(PATH, message, 0.25)
        self.go()
        return number

    def answer(self, number, data, status=b"0", **more):
        self.server.send_headers(number, [(b":status", b"200"), (b"content-type", b"application/grpc")])
        self.server.send_data(number, data)
        self.server.send_headers(
            number, [(b"grpc-status", status)] if status is not None else [(b"x", b"y")], end_stream=True
        )
        self.go()


def test_call_is_read_by_the_servers_session():
    client, server = ClientSession("host:1"), ServerSession()
    number = client.start_call(PATH, b"hello", 0.25)
    events = server.receive(client.data_to_send())
    assert events == [UnaryCall(number, PATH, b"hello", 0.25)]
    client.receive(server.data_to_send())
    server.receive(client.data_to_send())
    server.send_response(number, b"world")
    assert client.receive(server.data_to_send()) == [CallEnded(number, GrpcStatus.OK, "", b"world")]
    number = client.start_call(PATH, b"again", 1.0)
    server.receive(client.data_to_send())
    server.send_status(number, GrpcStatus.UNAVAILABLE, "50% é")
    assert client.receive(server.data_to_send()) == [CallEnded(number, GrpcStatus.UNAVAILABLE, "50% é")]
    number = client.start_call(PATH, b"never mind", 1.0)
    client.cancel(number)
    assert server.receive(client.data_to_send())[-1] == CallCancelled(number) and not client.open_calls


def test_request_longer_than_the_window_continues_when_it_opens():
    pair = Pair()
    number = pair.ask(b"x" * 200_000)
    assert not any(isinstance(event, h2.events.StreamEnded) for event in pair.server_events)
    got = 0
    while got < 200_005:
        events, pair.server_events = pair.server_events, []
        for event in events:
            if isinstance(event, h2.events.DataReceived):
                got += len(event.data)
                pair.server.acknowledge_received_data(event.flow_controlled_length, number)
        pair.go()
    pair.answer(number, rpc.frame_message(b"ok"))
    assert pair.ended == [CallEnded(number, GrpcStatus.OK, "", b"ok")]


@pytest.mark.parametrize(
    "data, status, code",
    [
        (rpc.frame_message(b"ok"), b"5", 5),
        (rpc.frame_message(b"ok"), None, GrpcStatus.UNKNOWN),
        (rpc.frame_message(b"ok"), b"soon", GrpcStatus.UNKNOWN),
        (b"\0\0\0", b"0", GrpcStatus.INTERNAL),
        (b"", b"0", GrpcStatus.INTERNAL),
        (rpc.frame_message(b"a") * 2, b"0", GrpcStatus.INTERNAL),
        (b"\1\0\0\0\1x", b"0", GrpcStatus.UNIMPLEMENTED),
        (b"\0\xff\xff\xff\xff", b"0", GrpcStatus.RESOURCE_EXHAUSTED),
    ],
)
def test_malformed_response_fails_its_call_and_the_next_is_read(data, status, code):
    pair = Pair()
    try:
        pair.answer(pair.ask(), data, status)
    except h2.exceptions.StreamClosedError:  # it was called off at the first bytes
        pair.go()
    assert [one.status for one in pair.ended] == [code] and not pair.session.open_calls
    pair.answer(pair.ask(), rpc.frame_message(b"ok"))
    assert pair.ended[-1].message == b"ok"


def test_refused_stream_is_reported_as_not_processed():
    pair = Pair()
    one, two = pair.ask(), pair.ask()
    pair.server.reset_stream(one, h2.errors.ErrorCodes.REFUSED_STREAM)
    pair.server.reset_stream(two, h2.errors.ErrorCodes.INTERNAL_ERROR)
    pair.go()
    assert [(t.stream_id, t.status, t.is_processed) for t in pair.ended] == [
        (one, GrpcStatus.UNAVAILABLE, False),
        (two, GrpcStatus.UNAVAILABLE, True),
    ]


def test_goaway_lets_earlier_calls_end_and_starts_no_more():
    pair = Pair()
    one, two = pair.ask(), pair.ask()
    ended_calls = pair.session.receive(GoAwayFrame(0, last_stream_id=one, error_code=0).serialize())
    assert ended_calls == [CallEnded(two, GrpcStatus.UNAVAILABLE, "the server ends", is_processed=False)]
    assert pair.session.available_streams() == 0 and not pair.session.is_finished
    pair.answer(one, rpc.frame_message(b"ok"))
    assert pair.ended == [CallEnded(one, GrpcStatus.OK, "", b"ok")] and pair.session.is_finished


def test_available_streams_are_those_that_the_server_allows():
    pair = Pair(most=2)
    assert pair.session.available_streams() == 2
    one = pair.ask()
    pair.ask()
    assert pair.session.available_streams() == 0
    pair.answer(one, rpc.frame_message(b"ok"))
    assert pair.session.available_streams() == 1


def test_http_errors_fail_their_calls():
    pair = Pair()
    number = pair.ask()
    pair.server.send_headers(number, [(b":status", b"503")], end_stream=True)
    pair.go()
    assert pair.ended == [CallEnded(number, GrpcStatus.UNAVAILABLE, "HTTP status 503")]
    number = pair.ask()
    pair.server.send_headers(number, [(b":status", b"404")])
    pair.go()
    assert pair.ended[-1].text == "HTTP status 404" and not pair.session.open_calls


def test_connection_loss_ends_all_calls():
    pair = Pair()
    numbers = [pair.ask(), pair.ask()]
    assert [
        one.stream_id for one in pair.session.connection_lost("gone")
    ] == numbers and pair.session.is_finished


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
def test_timeouts_are_rounded_down(seconds, text):
    assert rpc.format_timeout(seconds) == text
    assert rpc.parse_timeout(text) <= max(seconds, 0.001)


@seed(14)
@settings(max_examples=150, deadline=None, database=None)
@given(st.lists(st.integers(1, 400), max_size=12), st.binary(max_size=60), st.integers(0, 400))
def test_any_bytes_end_each_call_exactly_once(cuts, noise, place):
    session = ClientSession("host:1")
    server = h2.connection.H2Connection(h2.config.H2Configuration(client_side=False, header_encoding=None))
    server.initiate_connection()
    asked = [session.start_call(PATH, b"x" * 50, 1.0) for _ in range(3)]
    server.receive_data(session.data_to_send())
    for number in asked:
        server.send_headers(number, [(b":status", b"200")])
        server.send_data(number, rpc.frame_message(b"y" * 30))
        server.send_headers(number, [(b"grpc-status", b"0")], end_stream=True)
    stream = bytearray(server.data_to_send())
    if noise:
        stream[min(place, len(stream)) : min(place, len(stream)) + len(noise)] = noise
    ended_calls, at = [], 0
    for cut in [*cuts, len(stream)]:
        if at < len(stream) and not session.is_finished:
            ended_calls += session.receive(bytes(stream[at : at + cut]))
        at += cut
        session.data_to_send()
    ended_calls += session.connection_lost("the end")
    ended = [one.stream_id for one in ended_calls]
    assert sorted(ended) == asked
    if not noise:
        assert all(one.message == b"y" * 30 for one in ended_calls)
