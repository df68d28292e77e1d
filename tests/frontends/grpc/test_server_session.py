"""Tests of ServerSession (gRPC over HTTP/2) without sockets, against an h2 client and malformed bytes."""

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


def make_headers(**header_overrides):
    headers = {
        b":method": b"POST",
        b":scheme": b"http",
        b":path": PATH,
        b":authority": b"x",
        b"te": b"trailers",
        b"content-type": b"application/grpc",
    }
    headers |= {name.replace("_", "-").encode(): value for name, value in header_overrides.items()}
    return [(name, value) for name, value in headers.items() if value is not None]


def frame_message(message):
    return b"\0" + len(message).to_bytes(4, "big") + message


class ServerWithH2Client:
    """A ServerSession connected to a plain h2 client."""

    def __init__(self):
        self.session = ServerSession()
        self.client = h2.connection.H2Connection(h2.config.H2Configuration(header_encoding=None))
        self.client.initiate_connection()
        self.client_events, self.server_events = [], []
        self.exchange()

    def exchange(self):
        while True:
            self.server_events += self.session.receive(self.client.data_to_send())
            data = self.session.data_to_send()
            if not data:
                return
            self.client_events += self.client.receive_data(data)

    def call(self, message=b"hello", end_stream=True, data=None, **header_overrides):
        stream_id = self.client.get_next_available_stream_id()
        self.client.send_headers(stream_id, make_headers(**header_overrides))
        self.client.send_data(
            stream_id, frame_message(message) if data is None else data, end_stream=end_stream
        )
        self.exchange()
        return stream_id

    def status(self, stream_id):
        """Return the gRPC status and message of a stream; None if it has not ended."""
        for event in self.client_events:
            if isinstance(event, h2.events.ResponseReceived | h2.events.TrailersReceived):
                headers = dict(event.headers)
                if event.stream_id == stream_id and b"grpc-status" in headers:
                    return int(headers[b"grpc-status"]), headers.get(b"grpc-message", b"")
        return None

    def data(self, stream_id):
        return b"".join(
            event.data
            for event in self.client_events
            if isinstance(event, h2.events.DataReceived) and event.stream_id == stream_id
        )


def test_unary_call_gets_one_response():
    peers = ServerWithH2Client()
    stream_id = peers.call(grpc_timeout=b"250m")
    assert peers.server_events == [UnaryCall(stream_id, PATH.decode(), b"hello", 0.25)]
    peers.session.send_response(stream_id, b"world", [(b"x-more", b"1")])
    peers.exchange()
    assert peers.data(stream_id) == frame_message(b"world") and peers.status(stream_id) == (0, b"")
    peers.session.send_response(stream_id, b"again")  # ignored: the call is answered
    peers.session.send_status(stream_id, GrpcStatus.UNAVAILABLE, "again")
    peers.exchange()
    assert peers.data(stream_id) == frame_message(b"world") and peers.session.is_idle


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
def test_timeout_is_parsed_in_each_unit(text, seconds):
    peers = ServerWithH2Client()
    peers.call(grpc_timeout=text)
    timeout = peers.server_events[0].timeout
    assert timeout is seconds if seconds is None else timeout == pytest.approx(seconds)


@pytest.mark.parametrize(
    "call_options, status",
    [
        (dict(grpc_timeout=b"soon"), GrpcStatus.INTERNAL),
        (dict(grpc_timeout=b"123456789S"), GrpcStatus.INTERNAL),
        (dict(grpc_timeout=b"-1S"), GrpcStatus.INTERNAL),
        (dict(grpc_encoding=b"gzip"), GrpcStatus.UNIMPLEMENTED),
        (dict(data=b"\1\0\0\0\1x"), GrpcStatus.UNIMPLEMENTED),
        (dict(data=frame_message(b"a") * 2), GrpcStatus.INTERNAL),
        (dict(data=frame_message(b"abc")[:-1]), GrpcStatus.INTERNAL),
        (dict(data=b"\0\0"), GrpcStatus.INTERNAL),
        (dict(data=b""), GrpcStatus.INTERNAL),
        (dict(data=b"\0\xff\xff\xff\xff", end_stream=False), GrpcStatus.RESOURCE_EXHAUSTED),
    ],
)
def test_invalid_call_fails_and_the_next_call_is_accepted(call_options, status):
    peers = ServerWithH2Client()
    stream_id = peers.call(**call_options)
    assert peers.status(stream_id)[0] == status and not peers.server_events and peers.session.is_idle
    stream_id = peers.call()
    assert [call.stream_id for call in peers.server_events] == [stream_id]


@pytest.mark.parametrize("header_overrides", [{"content_type": b"text/html"}, {"content_type": None}])
def test_request_with_another_content_type_gets_an_http_error(header_overrides):
    peers = ServerWithH2Client()
    peers.call(**header_overrides)
    response = next(event for event in peers.client_events if isinstance(event, h2.events.ResponseReceived))
    assert dict(response.headers)[b":status"] == b"415" and not peers.server_events


def test_message_is_assembled_from_parts_and_an_oversized_one_is_dropped():
    peers = ServerWithH2Client()
    stream_id = peers.call(end_stream=False, data=frame_message(b"hello")[:3])
    for byte in frame_message(b"hello")[3:]:
        peers.client.send_data(stream_id, bytes([byte]))
        peers.exchange()
    assert not peers.server_events
    peers.client.end_stream(stream_id)
    peers.exchange()
    assert peers.server_events[0].message == b"hello"
    big_stream_id = peers.call(end_stream=False, data=b"\0" + (4 << 20).to_bytes(4, "big") + b"x" * 1000)
    assert (
        peers.status(big_stream_id)[0] == GrpcStatus.RESOURCE_EXHAUSTED and not peers.session.incoming_calls
    )


def test_thousands_of_cancelled_calls_leave_no_state():
    peers = ServerWithH2Client()
    for _ in range(3000):
        stream_id = peers.call()
        peers.client.reset_stream(stream_id)
        peers.exchange()
        assert peers.server_events[-1] == CallCancelled(stream_id)
        peers.session.send_response(stream_id, b"too late")
    assert peers.session.is_idle and len(peers.server_events) == 6000
    assert peers.call() == peers.server_events[-1].stream_id


def test_exceeding_the_stream_limit_ends_the_connection_and_its_calls():
    peers = ServerWithH2Client()
    for _ in range(server_session.MAX_CONCURRENT_STREAMS):
        peers.call()
    client = h2.connection.H2Connection(h2.config.H2Configuration(header_encoding=None))
    client.initiate_connection()
    session = ServerSession()
    events = []
    for _ in range(server_session.MAX_CONCURRENT_STREAMS + 1):  # the client has not received the limit yet
        stream_id = client.get_next_available_stream_id()
        client.send_headers(stream_id, make_headers())
        client.send_data(stream_id, frame_message(b"x"), end_stream=True)
        events += session.receive(client.data_to_send())
    call_ids = [event.stream_id for event in events if isinstance(event, UnaryCall)]
    assert (
        len(call_ids) == server_session.MAX_CONCURRENT_STREAMS
        and len(peers.server_events) == server_session.MAX_CONCURRENT_STREAMS
    )
    assert (
        session.must_close
        and [event.stream_id for event in events if isinstance(event, CallCancelled)] == call_ids
    )


def test_connection_closes_when_a_client_opens_no_flow_control_window():
    peers = ServerWithH2Client()
    peers.client.update_settings({h2.settings.SettingCodes.INITIAL_WINDOW_SIZE: 0})
    peers.exchange()
    for _ in range(100):
        stream_id = peers.call()
        peers.session.send_response(stream_id, b"x" * 60_000)
        if peers.session.must_close:
            break
    pending_bytes = sum(len(response.data) for response in peers.session.responses.pending.values())
    assert peers.session.must_close and pending_bytes <= server_session.MAX_UNSENT_BYTES + 60_005


def test_response_waits_for_the_flow_control_window():
    peers = ServerWithH2Client()
    peers.client.update_settings({h2.settings.SettingCodes.INITIAL_WINDOW_SIZE: 10})
    peers.exchange()
    stream_id = peers.call()
    peers.session.send_response(stream_id, b"y" * 100)
    peers.exchange()
    assert len(peers.data(stream_id)) == 10 and peers.status(stream_id) is None
    peers.client.increment_flow_control_window(200, stream_id)
    peers.exchange()
    assert peers.data(stream_id) == frame_message(b"y" * 100) and peers.status(stream_id) == (0, b"")


def test_draining_answers_accepted_calls_and_accepts_no_new_ones_once_it_is_over():
    peers = ServerWithH2Client()
    stream_id = peers.call()
    peers.session.start_draining()
    client, goaway_data = peers.client, peers.session.data_to_send()
    late_id = client.get_next_available_stream_id()
    client.send_headers(late_id, make_headers())  # sent before the client receives the GOAWAY
    client.send_data(late_id, frame_message(b"late"), end_stream=True)
    assert [call.stream_id for call in peers.session.receive(client.data_to_send())] == [late_id]
    assert not peers.session.is_finished
    other_data, last_stream_id = rpc.GoAwayFilter().feed(goaway_data)
    assert last_stream_id == 2**31 - 1
    client.receive_data(other_data)  # the client receives the GOAWAY and acknowledges the PING
    assert not peers.session.is_drain_acknowledged
    assert not peers.session.receive(client.data_to_send())
    assert peers.session.is_drain_acknowledged and not peers.session.data_to_send()
    later_id = client.get_next_available_stream_id()  # opened before, sent after the acknowledgement
    client.send_headers(later_id, make_headers())
    client.send_data(later_id, frame_message(b"later"), end_stream=True)
    assert [call.stream_id for call in peers.session.receive(client.data_to_send())] == [later_id]
    peers.session.finish_draining()
    assert rpc.GoAwayFilter().feed(peers.session.data_to_send())[1] == later_id
    refused_id = client.get_next_available_stream_id()
    client.send_headers(refused_id, make_headers(), end_stream=True)  # a protocol violation after the GOAWAY
    assert not peers.session.receive(client.data_to_send())
    for open_id in (stream_id, late_id, later_id):
        assert not peers.session.is_finished
        peers.session.send_response(open_id, b"in time")
    assert (
        not peers.session.is_finished
        and peers.session.data_to_send()
        and peers.session.is_finished
        and not peers.session.must_close
    )


def test_call_reset_in_the_same_bytes_does_not_affect_others():
    peers = ServerWithH2Client()
    client = peers.client
    client.update_settings({h2.settings.SettingCodes.INITIAL_WINDOW_SIZE: 2})
    peers.exchange()
    blocked_id = peers.call()
    peers.session.send_response(blocked_id, b"waits")
    for data in (b"\1\0\0\0\1x", frame_message(b"x") * 2, frame_message(b"x")):
        stream_id = client.get_next_available_stream_id()
        client.send_headers(stream_id, make_headers())
        client.send_data(stream_id, data)
        client.reset_stream(stream_id)
    for invalid_headers in (dict(grpc_timeout=b"soon"), dict(content_type=b"x")):
        stream_id = client.get_next_available_stream_id()
        client.send_headers(stream_id, make_headers(**invalid_headers))
        client.reset_stream(stream_id)
    client.increment_flow_control_window(100, blocked_id)
    client.reset_stream(blocked_id)
    peers.exchange()
    assert peers.session.is_idle and not peers.session.must_close
    assert peers.call() == peers.server_events[-1].stream_id


def test_status_message_is_percent_encoded():
    peers = ServerWithH2Client()
    stream_id = peers.call()
    peers.session.send_status(stream_id, GrpcStatus.UNAVAILABLE, "50% é\n")
    peers.exchange()
    assert peers.status(stream_id) == (GrpcStatus.UNAVAILABLE, b"50%25 %C3%A9%0A")


@seed(14)
@settings(max_examples=150, deadline=None, database=None)
@given(st.lists(st.integers(1, 400), max_size=12), st.binary(max_size=60), st.integers(0, 600))
def test_any_bytes_in_any_chunks_are_parsed_or_end_the_connection(chunk_sizes, noise, noise_offset):
    client = h2.connection.H2Connection(h2.config.H2Configuration(header_encoding=None))
    client.initiate_connection()
    for _ in range(4):
        stream_id = client.get_next_available_stream_id()
        client.send_headers(stream_id, make_headers())
        client.send_data(stream_id, frame_message(b"x" * 50), end_stream=True)
    data = bytearray(client.data_to_send())
    if noise:
        data[min(noise_offset, len(data)) : min(noise_offset, len(data)) + len(noise)] = noise
    session, events, offset = ServerSession(), [], 0
    for chunk_size in [*chunk_sizes, len(data)]:
        if offset < len(data) and not session.must_close:
            events += session.receive(bytes(data[offset : offset + chunk_size]))
        offset += chunk_size
        session.data_to_send()
    call_ids = [event.stream_id for event in events if isinstance(event, UnaryCall)]
    assert len(call_ids) == len(set(call_ids)) <= 4
    if not noise and sum(chunk_sizes) >= 0:
        assert len(call_ids) == 4 or offset < len(data)
    for stream_id in call_ids:
        session.send_response(stream_id, b"x") if not session.must_close else None
    session.data_to_send()


def test_client_that_sent_goaway_still_gets_its_responses():
    peers = ServerWithH2Client()
    stream_id = peers.call()
    peers.session.receive(GoAwayFrame(0, last_stream_id=0, error_code=0).serialize())
    assert not peers.session.must_close
    peers.session.send_response(stream_id, b"in time")
    peers.exchange()
    assert peers.data(stream_id) == frame_message(b"in time") and peers.session.is_finished


STREAM = "/a.B/Talk"


class StreamingServerWithH2Client(ServerWithH2Client):
    def __init__(self):
        super().__init__()
        self.session.streaming_paths = {STREAM}

    def open(self, *messages, end_stream=False):
        stream_id = self.client.get_next_available_stream_id()
        headers = [(name, STREAM.encode() if name == b":path" else value) for name, value in make_headers()]
        self.client.send_headers(stream_id, headers)
        for message in messages:
            self.client.send_data(stream_id, frame_message(message))
        if end_stream:
            self.client.end_stream(stream_id)
        self.exchange()
        return stream_id


def test_streaming_call_exchanges_messages_one_by_one():
    peers = StreamingServerWithH2Client()
    stream_id = peers.open(b"one", b"two")
    assert peers.server_events == [
        StreamOpened(stream_id, STREAM),
        StreamMessage(stream_id, b"one"),
        StreamMessage(stream_id, b"two"),
    ]
    peers.session.send_message(stream_id, b"first")
    peers.session.send_message(stream_id, b"second")
    peers.client.send_data(stream_id, frame_message(b"three") + frame_message(b"four"), end_stream=True)
    peers.exchange()
    assert peers.server_events[-3:] == [
        StreamMessage(stream_id, b"three"),
        StreamMessage(stream_id, b"four"),
        StreamHalfClosed(stream_id),
    ]
    peers.session.send_status(stream_id, 0, "")
    peers.exchange()
    assert (
        peers.data(stream_id) == frame_message(b"first") + frame_message(b"second")
        and peers.status(stream_id)[0] == 0
    )
    peers.session.send_message(stream_id, b"late")
    peers.exchange()
    assert peers.session.is_idle and not peers.session.partial_bytes


def test_streaming_call_can_be_ended_by_client_or_server():
    peers = StreamingServerWithH2Client()
    stream_id = peers.open(b"one")
    peers.client.reset_stream(stream_id)
    peers.exchange()
    assert peers.server_events[-1] == CallCancelled(stream_id) and peers.session.is_idle
    stream_id = peers.open(b"one")
    peers.session.send_status(stream_id, GrpcStatus.NOT_FOUND, "none")
    peers.exchange()
    assert peers.status(stream_id) == (GrpcStatus.NOT_FOUND, b"none") and peers.session.is_idle
    stream_id = peers.open(b"one")
    peers.session.send_message(stream_id, b"said")
    peers.session.send_status(stream_id, GrpcStatus.UNAVAILABLE, "ends")
    peers.exchange()
    assert peers.status(stream_id) == (GrpcStatus.UNAVAILABLE, b"ends") and peers.session.is_idle
    stream_id = peers.open(b"one", end_stream=True)
    assert peers.server_events[-1] == StreamHalfClosed(stream_id)
    assert peers.call() == peers.server_events[-1].stream_id  # unary calls still work on the same connection


def test_streaming_call_with_an_invalid_message_is_ended():
    peers = StreamingServerWithH2Client()
    stream_id = peers.open(b"one")
    peers.client.send_data(stream_id, b"\1\0\0\0\1x")
    peers.exchange()
    assert (
        peers.server_events[-1] == CallCancelled(stream_id)
        and peers.status(stream_id)[0] == GrpcStatus.UNIMPLEMENTED
        and peers.session.is_idle
    )


# Guards against a second header block, which clients take for a broken connection.
def test_streaming_call_that_got_a_message_and_sends_an_invalid_one_is_ended_by_trailers():
    peers = StreamingServerWithH2Client()
    stream_id = peers.open(b"one")
    peers.session.send_message(stream_id, b"said")
    peers.client.send_data(stream_id, b"\1\0\0\0\1x")
    peers.exchange()
    assert peers.data(stream_id) == frame_message(b"said")
    responses = [event for event in peers.client_events if isinstance(event, h2.events.ResponseReceived)]
    trailers = [event for event in peers.client_events if isinstance(event, h2.events.TrailersReceived)]
    assert len(responses) == len(trailers) == 1
    assert peers.status(stream_id)[0] == GrpcStatus.UNIMPLEMENTED and peers.session.is_idle
    assert peers.call() == peers.server_events[-1].stream_id  # the connection goes on


def test_unsent_bytes_of_a_stream_that_is_not_read_are_bounded():
    peers = StreamingServerWithH2Client()
    peers.client.update_settings({h2.settings.SettingCodes.INITIAL_WINDOW_SIZE: 0})
    stream_id = peers.open(b"one")
    for _ in range(100):
        peers.session.send_message(stream_id, b"x" * 60_000)
        if peers.session.must_close:
            break
    assert (
        peers.session.must_close
        and peers.session.responses.unsent_bytes <= server_session.MAX_UNSENT_BYTES + 60_005
    )


def test_total_size_of_partial_messages_is_bounded():
    peers, stream_ids = ServerWithH2Client(), []
    for _ in range(20):
        stream_id = peers.client.get_next_available_stream_id()
        peers.client.send_headers(stream_id, make_headers())
        data = frame_message(b"x" * 200_000)[:100_000]
        while data and not peers.status(stream_id):
            size = min(len(data), peers.client.local_flow_control_window(stream_id), 16_384)
            peers.client.send_data(stream_id, data[:size])
            data = data[size:]
            peers.exchange()
        stream_ids.append(stream_id)
    refused_ids = [stream_id for stream_id in stream_ids if peers.status(stream_id)]
    assert refused_ids and all(
        peers.status(refused_id)[0] == GrpcStatus.RESOURCE_EXHAUSTED for refused_id in refused_ids
    )
    assert peers.session.partial_bytes <= server_session.MAX_PARTIAL_BYTES + 100_000
    for stream_id in set(stream_ids) - set(refused_ids):
        peers.client.reset_stream(stream_id)
    peers.exchange()
    assert peers.session.partial_bytes == 0
