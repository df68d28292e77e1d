"""gRPC over HTTP/2 without a socket: h2's client on the other side, and bytes that no client would send."""

import h2.config
import h2.connection
import h2.events
import pytest
from hyperframe.frame import GoAwayFrame
from hypothesis import given, seed, settings
from hypothesis import strategies as st

from apigateway.frontends.grpc import server_session
from apigateway.frontends.grpc.events import (
    CallCancelled,
    StreamHalfClosed,
    StreamMessage,
    StreamOpened,
    UnaryCall,
)
from apigateway.frontends.grpc.server_session import ServerSession
from apigateway.upstream import rpc
from apigateway.upstream.rpc import GrpcStatus

PATH = b"/envoy.service.ratelimit.v3.RateLimitService/ShouldRateLimit"


def headers(**more):
    told = {
        b":method": b"POST",
        b":scheme": b"http",
        b":path": PATH,
        b":authority": b"x",
        b"te": b"trailers",
        b"content-type": b"application/grpc",
    }
    told |= {name.replace("_", "-").encode(): value for name, value in more.items()}
    return [(name, value) for name, value in told.items() if value is not None]


def framed(message):
    return b"\0" + len(message).to_bytes(4, "big") + message


class Pair:
    """A session, and a client that hears what it says."""

    def __init__(self):
        self.session = ServerSession()
        self.client = h2.connection.H2Connection(h2.config.H2Configuration(header_encoding=None))
        self.client.initiate_connection()
        self.heard, self.told = [], []
        self.go()

    def go(self):
        while True:
            self.told += self.session.receive(self.client.data_to_send())
            data = self.session.data_to_send()
            if not data:
                return
            self.heard += self.client.receive_data(data)

    def ask(self, message=b"hello", end=True, data=None, **more):
        number = self.client.get_next_available_stream_id()
        self.client.send_headers(number, headers(**more))
        self.client.send_data(number, framed(message) if data is None else data, end_stream=end)
        self.go()
        return number

    def status(self, number):
        """Status and message of a stream's end; None: it has not ended."""
        for event in self.heard:
            if isinstance(event, h2.events.ResponseReceived | h2.events.TrailersReceived):
                told = dict(event.headers)
                if event.stream_id == number and b"grpc-status" in told:
                    return int(told[b"grpc-status"]), told.get(b"grpc-message", b"")
        return None

    def data(self, number):
        return b"".join(
            event.data
            for event in self.heard
            if isinstance(event, h2.events.DataReceived) and event.stream_id == number
        )


def test_a_call_and_its_answer():
    pair = Pair()
    number = pair.ask(grpc_timeout=b"250m")
    assert pair.told == [UnaryCall(number, PATH.decode(), b"hello", 0.25)]
    pair.session.send_response(number, b"world", [(b"x-more", b"1")])
    pair.go()
    assert pair.data(number) == framed(b"world") and pair.status(number) == (0, b"")
    pair.session.send_response(number, b"again")  # once
    pair.session.send_status(number, GrpcStatus.UNAVAILABLE, "again")
    pair.go()
    assert pair.data(number) == framed(b"world") and pair.session.is_idle


@pytest.mark.parametrize(
    "text, seconds",
    [
        (b"1S", 1.0),
        (b"2M", 120.0),
        (b"3H", 10800.0),
        (b"50u", 5e-5),
        (b"99999999n", 0.099999999),
        (b"0S", 0.0),
        (None, None),
    ],
)
def test_a_timeout_is_read_in_each_unit(text, seconds):
    pair = Pair()
    pair.ask(grpc_timeout=text)
    told = pair.told[0].timeout
    assert told is seconds if seconds is None else told == pytest.approx(seconds)


@pytest.mark.parametrize(
    "what, status",
    [
        (dict(grpc_timeout=b"soon"), GrpcStatus.INTERNAL),
        (dict(grpc_timeout=b"123456789S"), GrpcStatus.INTERNAL),
        (dict(grpc_timeout=b"-1S"), GrpcStatus.INTERNAL),
        (dict(grpc_encoding=b"gzip"), GrpcStatus.UNIMPLEMENTED),
        (dict(data=b"\1\0\0\0\1x"), GrpcStatus.UNIMPLEMENTED),
        (dict(data=framed(b"a") * 2), GrpcStatus.INTERNAL),
        (dict(data=framed(b"abc")[:-1]), GrpcStatus.INTERNAL),
        (dict(data=b"\0\0"), GrpcStatus.INTERNAL),
        (dict(data=b""), GrpcStatus.INTERNAL),
        (dict(data=b"\0\xff\xff\xff\xff", end=False), GrpcStatus.RESOURCE_EXHAUSTED),
    ],
)
def test_an_invalid_call_is_refused_and_the_next_is_taken(what, status):
    pair = Pair()
    number = pair.ask(**what)
    assert pair.status(number)[0] == status and not pair.told and pair.session.is_idle
    number = pair.ask()
    assert [call.stream_id for call in pair.told] == [number]


@pytest.mark.parametrize("more", [{"content_type": b"text/html"}, {"content_type": None}])
def test_a_request_that_is_no_grpc_is_answered_by_an_http_status(more):
    pair = Pair()
    pair.ask(**more)
    told = next(event for event in pair.heard if isinstance(event, h2.events.ResponseReceived))
    assert dict(told.headers)[b":status"] == b"415" and not pair.told


def test_a_message_is_put_together_and_one_of_four_megabytes_is_not_kept():
    pair = Pair()
    number = pair.ask(end=False, data=framed(b"hello")[:3])
    for byte in framed(b"hello")[3:]:
        pair.client.send_data(number, bytes([byte]))
        pair.go()
    assert not pair.told
    pair.client.end_stream(number)
    pair.go()
    assert pair.told[0].message == b"hello"
    big = pair.ask(end=False, data=b"\0" + (4 << 20).to_bytes(4, "big") + b"x" * 1000)
    assert pair.status(big)[0] == GrpcStatus.RESOURCE_EXHAUSTED and not pair.session.incoming_calls


def test_calls_when_cancelled_by_the_thousand_leave_nothing():
    pair = Pair()
    for _ in range(3000):
        number = pair.ask()
        pair.client.reset_stream(number)
        pair.go()
        assert pair.told[-1] == CallCancelled(number)
        pair.session.send_response(number, b"too late")
    assert pair.session.is_idle and len(pair.told) == 6000
    assert pair.ask() == pair.told[-1].stream_id


def test_more_streams_than_are_allowed_end_the_connection_and_its_calls():
    pair = Pair()
    for _ in range(server_session.MAX_CONCURRENT_STREAMS):
        pair.ask()
    raw = h2.connection.H2Connection(h2.config.H2Configuration(header_encoding=None))
    raw.initiate_connection()
    session = ServerSession()
    told = []
    for _ in range(server_session.MAX_CONCURRENT_STREAMS + 1):  # a client that has not heard the limit yet
        number = raw.get_next_available_stream_id()
        raw.send_headers(number, headers())
        raw.send_data(number, framed(b"x"), end_stream=True)
        told += session.receive(raw.data_to_send())
    calls = [one.stream_id for one in told if isinstance(one, UnaryCall)]
    assert (
        len(calls) == server_session.MAX_CONCURRENT_STREAMS
        and len(pair.told) == server_session.MAX_CONCURRENT_STREAMS
    )
    assert session.must_close and [one.stream_id for one in told if isinstance(one, CallCancelled)] == calls


def test_a_client_that_opens_no_window_is_cut_off_before_it_fills_memory():
    pair = Pair()
    pair.client.update_settings({h2.settings.SettingCodes.INITIAL_WINDOW_SIZE: 0})
    pair.go()
    for _ in range(100):
        number = pair.ask()
        pair.session.send_response(number, b"x" * 60_000)
        if pair.session.must_close:
            break
    kept = sum(len(response.data) for response in pair.session.responses.pending.values())
    assert pair.session.must_close and kept <= server_session.MAX_UNSENT_BYTES + 60_005


def test_an_answer_waits_for_the_window_and_goes_on():
    pair = Pair()
    pair.client.update_settings({h2.settings.SettingCodes.INITIAL_WINDOW_SIZE: 10})
    pair.go()
    number = pair.ask()
    pair.session.send_response(number, b"y" * 100)
    pair.go()
    assert len(pair.data(number)) == 10 and pair.status(number) is None
    pair.client.increment_flow_control_window(200, number)
    pair.go()
    assert pair.data(number) == framed(b"y" * 100) and pair.status(number) == (0, b"")


def test_draining_lets_calls_that_were_taken_be_answered_and_takes_no_new_ones():
    pair = Pair()
    number = pair.ask()
    pair.session.start_draining()
    raw, word = pair.client, pair.session.data_to_send()
    late = raw.get_next_available_stream_id()
    raw.send_headers(late, headers())  # sent before the client hears that it ends
    raw.send_data(late, framed(b"late"), end_stream=True)
    assert [call.stream_id for call in pair.session.receive(raw.data_to_send())] == [late]
    assert not pair.session.is_finished
    left, last = rpc.GoAwayFilter().feed(word)
    assert last == 2**31 - 1
    raw.receive_data(left)  # now it has heard, and says so
    assert not pair.session.receive(raw.data_to_send())
    assert rpc.GoAwayFilter().feed(pair.session.data_to_send())[1] == late
    later = raw.get_next_available_stream_id()
    raw.send_headers(later, headers(), end_stream=True)  # against its word
    assert not pair.session.receive(raw.data_to_send())
    pair.session.send_response(number, b"in time")
    pair.session.send_response(late, b"in time too")
    assert (
        not pair.session.is_finished
        and pair.session.data_to_send()
        and pair.session.is_finished
        and not pair.session.must_close
    )


def test_a_call_when_reset_in_the_bytes_that_it_came_with_does_no_harm():
    pair = Pair()
    client = pair.client
    client.update_settings({h2.settings.SettingCodes.INITIAL_WINDOW_SIZE: 2})
    pair.go()
    held = pair.ask()
    pair.session.send_response(held, b"waits")
    for data in (b"\1\0\0\0\1x", framed(b"x") * 2, framed(b"x")):
        number = client.get_next_available_stream_id()
        client.send_headers(number, headers())
        client.send_data(number, data)
        client.reset_stream(number)
    for odd in (dict(grpc_timeout=b"soon"), dict(content_type=b"x")):
        number = client.get_next_available_stream_id()
        client.send_headers(number, headers(**odd))
        client.reset_stream(number)
    client.increment_flow_control_window(100, held)
    client.reset_stream(held)
    pair.go()
    assert pair.session.is_idle and not pair.session.must_close
    assert pair.ask() == pair.told[-1].stream_id


def test_a_status_text_is_percent_encoded():
    pair = Pair()
    number = pair.ask()
    pair.session.send_status(number, GrpcStatus.UNAVAILABLE, "50% é\n")
    pair.go()
    assert pair.status(number) == (GrpcStatus.UNAVAILABLE, b"50%25 %C3%A9%0A")


@seed(14)
@settings(max_examples=150, deadline=None, database=None)
@given(st.lists(st.integers(1, 400), max_size=12), st.binary(max_size=60), st.integers(0, 600))
def test_any_bytes_however_they_are_cut_are_read_or_end_the_connection(cuts, noise, place):
    client = h2.connection.H2Connection(h2.config.H2Configuration(header_encoding=None))
    client.initiate_connection()
    for _ in range(4):
        number = client.get_next_available_stream_id()
        client.send_headers(number, headers())
        client.send_data(number, framed(b"x" * 50), end_stream=True)
    stream = bytearray(client.data_to_send())
    if noise:
        stream[min(place, len(stream)) : min(place, len(stream)) + len(noise)] = noise
    session, told, at = ServerSession(), [], 0
    for cut in [*cuts, len(stream)]:
        if at < len(stream) and not session.must_close:
            told += session.receive(bytes(stream[at : at + cut]))
        at += cut
        session.data_to_send()
    calls = [one.stream_id for one in told if isinstance(one, UnaryCall)]
    assert len(calls) == len(set(calls)) <= 4
    if not noise and sum(cuts) >= 0:
        assert len(calls) == 4 or at < len(stream)
    for number in calls:
        session.send_response(number, b"x") if not session.must_close else None
    session.data_to_send()


def test_a_client_that_sent_goaway_still_gets_its_responses():
    pair = Pair()
    number = pair.ask()
    pair.session.receive(GoAwayFrame(0, last_stream_id=0, error_code=0).serialize())
    assert not pair.session.must_close
    pair.session.send_response(number, b"in time")
    pair.go()
    assert pair.data(number) == framed(b"in time") and pair.session.is_finished


STREAM = "/a.B/Talk"


class StreamingPair(Pair):
    def __init__(self):
        super().__init__()
        self.session.streaming_paths = {STREAM}

    def open(self, *messages, end=False):
        number = self.client.get_next_available_stream_id()
        told = [(k, STREAM.encode() if k == b":path" else v) for k, v in headers()]
        self.client.send_headers(number, told)
        for message in messages:
            self.client.send_data(number, framed(message))
        if end:
            self.client.end_stream(number)
        self.go()
        return number


def test_a_stream_is_given_out_message_by_message_and_answered_so():
    pair = StreamingPair()
    number = pair.open(b"one", b"two")
    assert pair.told == [
        StreamOpened(number, STREAM),
        StreamMessage(number, b"one"),
        StreamMessage(number, b"two"),
    ]
    pair.session.send_message(number, b"first")
    pair.session.send_message(number, b"second")
    pair.client.send_data(number, framed(b"three") + framed(b"four"), end_stream=True)
    pair.go()
    assert pair.told[-3:] == [
        StreamMessage(number, b"three"),
        StreamMessage(number, b"four"),
        StreamHalfClosed(number),
    ]
    pair.session.send_status(number, 0, "")
    pair.go()
    assert pair.data(number) == framed(b"first") + framed(b"second") and pair.status(number)[0] == 0
    pair.session.send_message(number, b"late")
    pair.go()
    assert pair.session.is_idle and not pair.session.partial_bytes


def test_a_stream_ends_from_either_side():
    pair = StreamingPair()
    number = pair.open(b"one")
    pair.client.reset_stream(number)
    pair.go()
    assert pair.told[-1] == CallCancelled(number) and pair.session.is_idle
    number = pair.open(b"one")
    pair.session.send_status(number, GrpcStatus.NOT_FOUND, "none")
    pair.go()
    assert pair.status(number) == (GrpcStatus.NOT_FOUND, b"none") and pair.session.is_idle
    number = pair.open(b"one")
    pair.session.send_message(number, b"said")
    pair.session.send_status(number, GrpcStatus.UNAVAILABLE, "ends")
    pair.go()
    assert pair.status(number) == (GrpcStatus.UNAVAILABLE, b"ends") and pair.session.is_idle
    number = pair.open(b"one", end=True)
    assert pair.told[-1] == StreamHalfClosed(number)
    assert pair.ask() == pair.told[-1].stream_id  # and calls go on beside them


def test_a_stream_that_sends_what_is_no_message_is_ended():
    pair = StreamingPair()
    number = pair.open(b"one")
    pair.client.send_data(number, b"\1\0\0\0\1x")
    pair.go()
    assert (
        pair.told[-1] == CallCancelled(number)
        and pair.status(number)[0] == GrpcStatus.UNIMPLEMENTED
        and pair.session.is_idle
    )


def test_a_stream_whose_client_reads_nothing_is_bounded():
    pair = StreamingPair()
    pair.client.update_settings({h2.settings.SettingCodes.INITIAL_WINDOW_SIZE: 0})
    number = pair.open(b"one")
    for _ in range(100):
        pair.session.send_message(number, b"x" * 60_000)
        if pair.session.must_close:
            break
    assert (
        pair.session.must_close
        and pair.session.responses.unsent_bytes <= server_session.MAX_UNSENT_BYTES + 60_005
    )


def test_partial_messages_are_bounded_together():
    pair, numbers = Pair(), []
    for _ in range(20):
        number = pair.client.get_next_available_stream_id()
        pair.client.send_headers(number, headers())
        data = framed(b"x" * 200_000)[:100_000]
        while data and not pair.status(number):
            room = min(len(data), pair.client.local_flow_control_window(number), 16_384)
            pair.client.send_data(number, data[:room])
            data = data[room:]
            pair.go()
        numbers.append(number)
    refused = [number for number in numbers if pair.status(number)]
    assert refused and all(pair.status(n)[0] == GrpcStatus.RESOURCE_EXHAUSTED for n in refused)
    assert pair.session.partial_bytes <= server_session.MAX_PARTIAL_BYTES + 100_000
    for number in set(numbers) - set(refused):
        pair.client.reset_stream(number)
    pair.go()
    assert pair.session.partial_bytes == 0
