"""gRPC over HTTP/2, for either side."""

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
def test_the_filter_takes_out_goaways_and_nothing_else_however_the_bytes_are_cut(frames, cuts):
    stream, left, lasts = server_session.CLIENT_PREFACE, server_session.CLIENT_PREFACE, []
    for kind, body in frames:
        frame = len(body).to_bytes(3, "big") + bytes([kind, 0, 0, 0, 0, 1]) + body
        stream += frame
        if kind == 7:
            lasts.append(int.from_bytes(body[:4], "big") & 0x7FFFFFFF)
        else:
            left += frame
    goaway_filter, got, seen, at = rpc.GoAwayFilter(server_session.CLIENT_PREFACE), b"", None, 0
    for cut in [*cuts, len(stream)]:
        data, last = goaway_filter.feed(stream[at : at + cut])
        at += cut
        got, seen = got + data, last if last is not None else seen
    assert got + goaway_filter._partial_frame == left and seen == (lasts[-1] if lasts else None)
