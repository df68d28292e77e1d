"""gRPC over HTTP/2: the filter for GOAWAY frames."""

from hypothesis import given, seed, settings
from hypothesis import strategies as st

from apigateway.frontends.grpc import server_session
from apigateway.upstream import rpc


@seed(14)
@settings(max_examples=200, deadline=None, database=None)
@given(
    st.lists(st.tuples(st.sampled_from([0, 1, 4, 7]), st.binary(min_size=8, max_size=40)), max_size=8),
    st.lists(st.integers(1, 50), max_size=20),
)
def test_filter_when_the_stream_is_split_anywhere_then_removes_only_goaway_frames(frames, chunk_sizes):
    stream, expected, last_streams = server_session.CLIENT_PREFACE, server_session.CLIENT_PREFACE, []
    for frame_type, payload in frames:
        frame = len(payload).to_bytes(3, "big") + bytes([frame_type, 0, 0, 0, 0, 1]) + payload
        stream += frame
        if frame_type == 7:
            last_streams.append(int.from_bytes(payload[:4], "big") & 0x7FFFFFFF)
        else:
            expected += frame
    goaway_filter, filtered, last_stream, offset = (
        rpc.GoAwayFilter(server_session.CLIENT_PREFACE),
        b"",
        None,
        0,
    )
    for size in [*chunk_sizes, len(stream)]:
        data, reported = goaway_filter.feed(stream[offset : offset + size])
        offset += size
        filtered, last_stream = filtered + data, reported if reported is not None else last_stream
    assert filtered + goaway_filter._partial_frame == expected and last_stream == (
        last_streams[-1] if last_streams else None
    )
