"""Tests of ClientSession without sockets, against ServerSession, an h2 server and malformed bytes."""

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


class ClientWithH2Server:
    """A ClientSession connected to a plain h2 server."""

    def __init__(self, max_streams=100):
        self.session = ClientSession("host:1")
        self.server = h2.connection.H2Connection(
            h2.config.H2Configuration(client_side=False, header_encoding=None)
        )
        self.server.local_settings = h2.settings.Settings(
            client=False, initial_values={h2.settings.SettingCodes.MAX_CONCURRENT_STREAMS: max_streams}
        )
        self.server.initiate_connection()
        self.server_events, self.ended = [], []
        self.exchange()

    def exchange(self):
        while True:
            data = self.session.data_to_send()
            if data:
                self.server_events += self.server.receive_data(data)
            server_data = self.server.data_to_send()
            if not (data or server_data):
                return
            self.ended += self.session.receive(server_data)

    def call(self, message=b"hello"):
        stream_id = self.session.start_call(PATH, message, 0.25)
        self.exchange()
        return stream_id

    def respond(self, stream_id, data, status=b"0", **ignored):
        self.server.send_headers(stream_id, [(b":status", b"200"), (b"content-type", b"application/grpc")])
        self.server.send_data(stream_id, data)
        self.server.send_headers(
            stream_id, [(b"grpc-status", status)] if status is not None else [(b"x", b"y")], end_stream=True
        )
        self.exchange()


def test_server_session_reads_and_answers_calls():
    client, server = ClientSession("host:1"), ServerSession()
    stream_id = client.start_call(PATH, b"hello", 0.25)
    events = server.receive(client.data_to_send())
    assert events == [UnaryCall(stream_id, PATH, b"hello", 0.25)]
    client.receive(server.data_to_send())
    server.receive(client.data_to_send())
    server.send_response(stream_id, b"world")
    assert client.receive(server.data_to_send()) == [CallEnded(stream_id, GrpcStatus.OK, "", b"world")]
    stream_id = client.start_call(PATH, b"again", 1.0)
    server.receive(client.data_to_send())
    server.send_status(stream_id, GrpcStatus.UNAVAILABLE, "50% é")
    assert client.receive(server.data_to_send()) == [CallEnded(stream_id, GrpcStatus.UNAVAILABLE, "50% é")]
    stream_id = client.start_call(PATH, b"never mind", 1.0)
    client.cancel(stream_id)
    assert server.receive(client.data_to_send())[-1] == CallCancelled(stream_id) and not client.open_calls


def test_request_longer_than_the_window_continues_when_it_opens():
    peers = ClientWithH2Server()
    stream_id = peers.call(b"x" * 200_000)
    assert not any(isinstance(event, h2.events.StreamEnded) for event in peers.server_events)
    received_bytes = 0
    while received_bytes < 200_005:
        events, peers.server_events = peers.server_events, []
        for event in events:
            if isinstance(event, h2.events.DataReceived):
                received_bytes += len(event.data)
                peers.server.acknowledge_received_data(event.flow_controlled_length, stream_id)
        peers.exchange()
    peers.respond(stream_id, rpc.frame_message(b"ok"))
    assert peers.ended == [CallEnded(stream_id, GrpcStatus.OK, "", b"ok")]


@pytest.mark.parametrize(
    "data, status, expected_status",
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
def test_malformed_response_fails_its_call_and_the_next_is_read(data, status, expected_status):
    peers = ClientWithH2Server()
    try:
        peers.respond(peers.call(), data, status)
    except h2.exceptions.StreamClosedError:  # the client cancelled the call after the first bytes
        peers.exchange()
    assert [call.status for call in peers.ended] == [expected_status] and not peers.session.open_calls
    peers.respond(peers.call(), rpc.frame_message(b"ok"))
    assert peers.ended[-1].message == b"ok"


def test_refused_stream_is_reported_as_not_processed():
    peers = ClientWithH2Server()
    refused_id, reset_id = peers.call(), peers.call()
    peers.server.reset_stream(refused_id, h2.errors.ErrorCodes.REFUSED_STREAM)
    peers.server.reset_stream(reset_id, h2.errors.ErrorCodes.INTERNAL_ERROR)
    peers.exchange()
    assert [(ended.stream_id, ended.status, ended.is_processed) for ended in peers.ended] == [
        (refused_id, GrpcStatus.UNAVAILABLE, False),
        (reset_id, GrpcStatus.UNAVAILABLE, True),
    ]


def test_goaway_lets_earlier_calls_end_and_starts_no_more():
    peers = ClientWithH2Server()
    first_id, second_id = peers.call(), peers.call()
    ended_calls = peers.session.receive(GoAwayFrame(0, last_stream_id=first_id, error_code=0).serialize())
    assert ended_calls == [
        CallEnded(second_id, GrpcStatus.UNAVAILABLE, "server sent GOAWAY", is_processed=False)
    ]
    assert peers.session.available_streams() == 0 and not peers.session.is_finished
    peers.respond(first_id, rpc.frame_message(b"ok"))
    assert peers.ended == [CallEnded(first_id, GrpcStatus.OK, "", b"ok")] and peers.session.is_finished


def test_available_streams_are_those_that_the_server_allows():
    peers = ClientWithH2Server(max_streams=2)
    assert peers.session.available_streams() == 2
    stream_id = peers.call()
    peers.call()
    assert peers.session.available_streams() == 0
    peers.respond(stream_id, rpc.frame_message(b"ok"))
    assert peers.session.available_streams() == 1


def test_http_errors_fail_their_calls():
    peers = ClientWithH2Server()
    stream_id = peers.call()
    peers.server.send_headers(stream_id, [(b":status", b"503")], end_stream=True)
    peers.exchange()
    assert peers.ended == [CallEnded(stream_id, GrpcStatus.UNAVAILABLE, "HTTP status 503")]
    stream_id = peers.call()
    peers.server.send_headers(stream_id, [(b":status", b"404")])
    peers.exchange()
    assert peers.ended[-1].text == "HTTP status 404" and not peers.session.open_calls


def test_connection_loss_ends_all_calls():
    peers = ClientWithH2Server()
    stream_ids = [peers.call(), peers.call()]
    assert [
        call.stream_id for call in peers.session.connection_lost("gone")
    ] == stream_ids and peers.session.is_finished


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
def test_any_bytes_end_each_call_exactly_once(chunk_sizes, noise, noise_offset):
    session = ClientSession("host:1")
    server = h2.connection.H2Connection(h2.config.H2Configuration(client_side=False, header_encoding=None))
    server.initiate_connection()
    stream_ids = [session.start_call(PATH, b"x" * 50, 1.0) for _ in range(3)]
    server.receive_data(session.data_to_send())
    for stream_id in stream_ids:
        server.send_headers(stream_id, [(b":status", b"200")])
        server.send_data(stream_id, rpc.frame_message(b"y" * 30))
        server.send_headers(stream_id, [(b"grpc-status", b"0")], end_stream=True)
    data = bytearray(server.data_to_send())
    if noise:
        data[min(noise_offset, len(data)) : min(noise_offset, len(data)) + len(noise)] = noise
    ended_calls, offset = [], 0
    for chunk_size in [*chunk_sizes, len(data)]:
        if offset < len(data) and not session.is_finished:
            ended_calls += session.receive(bytes(data[offset : offset + chunk_size]))
        offset += chunk_size
        session.data_to_send()
    ended_calls += session.connection_lost("the end")
    ended_ids = [call.stream_id for call in ended_calls]
    assert sorted(ended_ids) == stream_ids
    if not noise:
        assert all(call.message == b"y" * 30 for call in ended_calls)
