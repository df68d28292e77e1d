"""What of a reported list is accepted: each rule by itself, and all in random walks."""

import math

import pytest
from hypothesis import given, seed, settings
from hypothesis import strategies as st

from apigateway import messages
from apigateway.membership.listing import EndpointListing
from apigateway.membership.reconciler import EndpointReconciler, ReconcilerSettings, ReportedEndpoint


def report(id, state="up", stamp=0, port=None, started=0.0):
    return ReportedEndpoint(
        messages.Endpoint(id, "a", 0, 1.0, "", state, started),
        ("127.0.0.1", port or 1000 + int(id[1:])),
        stamp,
    )


def reports(count, but=(), state="up"):
    return [report(f"h{n}", state) for n in range(count) if n not in but]


def states(reconciler):
    return {id: k.accepted.endpoint.state for id, k in reconciler.records.items()}


@pytest.fixture
def ten_known():
    reconciler = EndpointReconciler()
    reconciler.apply(0.0, reports(10), is_complete=True)
    return reconciler


def test_first_list_when_applied_then_comes_out_as_a_change():
    reconciler = EndpointReconciler()
    changed = reconciler.apply(0.0, reports(3), is_complete=True)
    assert changed.endpoint_list.mode == "delta" and set(changed.addresses) == {"h0", "h1", "h2"}
    assert reconciler.apply(1.0, reports(3), is_complete=True) is None and reconciler.next_due() == math.inf


def test_marked_endpoints_when_most_are_then_all_drain_at_once(ten_known):
    changed = ten_known.apply(1.0, reports(9, state="leaving") + [report("h9")], is_complete=True)
    assert [h.state for h in changed.endpoint_list.endpoints] == ["leaving"] * 9


def test_endpoints_when_deleted_by_name_then_are_removed_at_once(ten_known):
    changed = ten_known.apply(1.0, [], deleted={f"h{n}" for n in range(8)})
    assert len(changed.endpoint_list.endpoints) == 8 and {
        h.state for h in changed.endpoint_list.endpoints
    } == {"down"}


def test_missing_endpoints_when_few_then_are_removed_at_once(ten_known):
    changed = ten_known.apply(1.0, reports(7), is_complete=True)
    assert {h.id for h in changed.endpoint_list.endpoints} == {"h7", "h8", "h9"}


def test_missing_endpoints_when_many_then_stay_until_missing_long_and_from_two_lists(ten_known):
    assert ten_known.apply(1.0, reports(5), is_complete=True) is None
    assert ten_known.records["h9"].doubt == "missing"
    assert ten_known.advance(40.0) is None  # long enough, but in one list only
    changed = ten_known.apply(41.0, reports(5), is_complete=True)
    assert {h.id for h in changed.endpoint_list.endpoints} == {f"h{n}" for n in range(5, 10)}


def test_doubt_when_a_second_list_comes_too_soon_then_ends_by_time_alone(ten_known):
    ten_known.apply(1.0, reports(5), is_complete=True)
    assert ten_known.apply(2.0, reports(5), is_complete=True) is None
    assert ten_known.next_due() == 31.0 and ten_known.advance(30.9) is None
    assert len(ten_known.advance(31.0).endpoint_list.endpoints) == 5


def test_doubt_when_the_endpoints_are_reported_again_then_ends(ten_known):
    ten_known.apply(1.0, [], is_complete=True)
    ten_known.apply(2.0, [], is_complete=True)
    assert ten_known.apply(20.0, reports(10), is_complete=True) is None and ten_known.next_due() == math.inf
    assert not any(k.doubt for k in ten_known.records.values())


def test_empty_lists_when_repeated_then_never_empty_what_is_accepted(ten_known):
    for now in range(1, 200):
        assert ten_known.apply(float(now), [], is_complete=True) is None
    assert len(ten_known.records) == 10 and ten_known.next_due() == math.inf
    ten_known.apply(
        300.0, [report("h77")], is_complete=True
    )  # another is named: the old ones, long missing, may go
    assert set(states(ten_known)) == {"h77"}


def test_endpoint_when_reported_under_another_id_then_replaces_the_old_one(ten_known):
    changed = ten_known.apply(1.0, [report(f"h{n + 50}", port=1000 + n) for n in range(10)], is_complete=True)
    assert set(states(ten_known)) == {f"h{n + 50}" for n in range(10)}
    assert sum(h.state == "down" for h in changed.endpoint_list.endpoints) == 10


def test_two_ids_when_at_one_address_then_the_latest_counts():
    reconciler = EndpointReconciler()
    reconciler.apply(0.0, [report("h1", stamp=5, port=7), report("h2", stamp=9, port=7)], is_complete=True)
    assert set(states(reconciler)) == {"h2"}


def test_endpoint_when_its_address_changes_then_the_change_comes_out(ten_known):
    changed = ten_known.apply(1.0, [report("h1", port=99)])
    assert changed.addresses == {"h1": ("127.0.0.1", 99)}


def test_older_report_when_it_contradicts_then_may_drain_but_not_bring_back():
    reconciler = EndpointReconciler()
    reconciler.apply(0.0, [report("h1", "leaving", stamp=10)], is_complete=True)
    assert reconciler.apply(1.0, [report("h1", "up", stamp=5)], is_complete=True) is None
    assert reconciler.records["h1"].doubt == "older news"
    reconciler.apply(2.0, [report("h1", "up", stamp=20)], is_complete=True)
    assert states(reconciler) == {"h1": "up"}
    reconciler.apply(3.0, [report("h1", "leaving", stamp=5)], is_complete=True)
    assert states(reconciler) == {"h1": "leaving"}


def test_older_report_when_repeated_for_doubt_time_then_is_accepted():
    reconciler = EndpointReconciler()
    reconciler.apply(0.0, [report("h1", "leaving", stamp=10_000)], is_complete=True)
    for now in range(1, 31):
        assert reconciler.apply(float(now), [report("h1", "up", stamp=5)], is_complete=True) is None
    assert reconciler.apply(31.0, [report("h1", "up", stamp=5)], is_complete=True) is not None


def test_start_time_when_in_the_future_then_is_that_of_the_first_report():
    reconciler = EndpointReconciler()
    reconciler.apply(100.0, [report("h1", started=1e9)], is_complete=True)
    assert reconciler.records["h1"].accepted.endpoint.started_at == 100.0
    assert (
        reconciler.apply(200.0, [report("h1", started=1e9)], is_complete=True) is None
    )  # nor start anew at each look
    assert (
        reconciler.apply(300.0, [report("h1", started=2e9)], is_complete=True) is not None
    )  # but it may start again


def test_endpoint_when_flapping_then_drains_at_once_and_comes_back_when_stable():
    reconciler, now = EndpointReconciler(), 0.0
    reconciler.apply(now, [report("h1")], is_complete=True)
    for _ in range(3):
        now += 1.0
        assert reconciler.apply(now, [report("h1", "leaving")]) is not None
        now += 1.0
        back = reconciler.apply(now, [report("h1")])
    assert back is None and reconciler.records["h1"].doubt == "flapping"
    assert reconciler.next_due() == 5.0 + 10.0 and reconciler.advance(14.9) is None
    assert reconciler.advance(15.0).endpoint_list.endpoints[0].state == "up"


def test_restored_list_when_nothing_else_is_reported_then_is_accepted():
    reconciler = EndpointReconciler()
    host = messages.Endpoint("h1", "a", 0, 1.0, "", "up", 0.0)
    reconciler.restore(
        0.0, EndpointListing(messages.EndpointList("cached", 7, (host,)), {"h1": ("127.0.0.1", 1001)})
    )
    assert reconciler.apply(1.0, [report("h1")], is_complete=True) is None
    assert reconciler.apply(2.0, [report("h2")], is_complete=True).endpoint_list.version == 8


NEWS = st.lists(
    st.tuples(
        st.floats(0.1, 20),
        st.booleans(),
        st.dictionaries(st.integers(0, 5), st.sampled_from(["up", "leaving"]), max_size=6),
        st.sets(st.integers(0, 5), max_size=2),
        st.integers(0, 50),
    ),
    max_size=40,
)


@seed(1)
@settings(max_examples=300, deadline=None, database=None)
@given(NEWS)
def test_random_walk_when_applied_then_marks_hold_and_changes_add_up_to_what_is_accepted(walk):
    reconciler, now, heard = EndpointReconciler(ReconcilerSettings(doubt_time=15.0)), 100.0, {}
    for wait, is_complete, named, gone, stamp in walk:
        now, had = now + wait, bool(heard)
        gone = {f"h{n}" for n in gone} - {f"h{n}" for n in named}
        reports = [report(f"h{n}", state, stamp) for n, state in named.items()]
        for changed in (reconciler.advance(now), reconciler.apply(now, reports, gone, is_complete)):
            for host in changed.endpoint_list.endpoints if changed else ():
                heard[host.id] = host.state
                if host.state == "down":
                    del heard[host.id]
        assert heard == states(reconciler)  # who follows the changes believes the same
        for one in reports:  # what is reported to drain never stays up
            if one.endpoint.state == "leaving":
                assert heard[one.endpoint.id] == "leaving"
        assert not gone & heard.keys()
        assert reconciler.next_due() > now - 1e-9 or reconciler.advance(now) is None
        if had and not gone:
            assert heard  # what is merely missing never empties a list
