"""Which reports the reconciler accepts: each rule by itself, and all rules in random sequences."""

import math

import pytest
from hypothesis import given, seed, settings
from hypothesis import strategies as st

from apigateway import messages
from apigateway.membership.listing import EndpointListing
from apigateway.membership.reconciler import EndpointReconciler, ReconcilerSettings, ReportedEndpoint


def make_report(id, state="up", timestamp_ms=0, port=None, started=0.0):
    return ReportedEndpoint(
        messages.Endpoint(id, "a", 0, 1.0, "", state, started),
        ("127.0.0.1", port or 1000 + int(id[1:])),
        timestamp_ms,
    )


def make_reports(count, excluded=(), state="up"):
    return [make_report(f"h{n}", state) for n in range(count) if n not in excluded]


def accepted_states(reconciler):
    return {id: record.accepted.endpoint.state for id, record in reconciler.records.items()}


@pytest.fixture
def reconciler_of_ten():
    reconciler = EndpointReconciler()
    reconciler.apply(0.0, make_reports(10), is_complete=True)
    return reconciler


def test_first_list_is_returned_as_a_change():
    reconciler = EndpointReconciler()
    changed = reconciler.apply(0.0, make_reports(3), is_complete=True)
    assert changed.endpoint_list.mode == "delta" and set(changed.addresses) == {"h0", "h1", "h2"}
    assert (
        reconciler.apply(1.0, make_reports(3), is_complete=True) is None
        and reconciler.next_due_at() == math.inf
    )


def test_marked_endpoints_drain_at_once_even_if_most_are_marked(reconciler_of_ten):
    changed = reconciler_of_ten.apply(
        1.0, make_reports(9, state="leaving") + [make_report("h9")], is_complete=True
    )
    assert [endpoint.state for endpoint in changed.endpoint_list.endpoints] == ["leaving"] * 9


def test_endpoints_that_a_report_deletes_are_removed_at_once(reconciler_of_ten):
    changed = reconciler_of_ten.apply(1.0, [], deleted={f"h{n}" for n in range(8)})
    assert len(changed.endpoint_list.endpoints) == 8 and {
        endpoint.state for endpoint in changed.endpoint_list.endpoints
    } == {"down"}


def test_few_missing_endpoints_are_removed_at_once(reconciler_of_ten):
    changed = reconciler_of_ten.apply(1.0, make_reports(7), is_complete=True)
    assert {endpoint.id for endpoint in changed.endpoint_list.endpoints} == {"h7", "h8", "h9"}


def test_many_missing_endpoints_stay_until_missing_for_doubt_time_and_from_two_lists(reconciler_of_ten):
    assert reconciler_of_ten.apply(1.0, make_reports(5), is_complete=True) is None
    assert reconciler_of_ten.records["h9"].doubt == "missing"
    assert reconciler_of_ten.advance(40.0) is None  # missing for long enough, but from only one list
    changed = reconciler_of_ten.apply(41.0, make_reports(5), is_complete=True)
    assert {endpoint.id for endpoint in changed.endpoint_list.endpoints} == {f"h{n}" for n in range(5, 10)}


def test_doubt_ends_by_time_alone_after_a_second_list_that_came_too_early(reconciler_of_ten):
    reconciler_of_ten.apply(1.0, make_reports(5), is_complete=True)
    assert reconciler_of_ten.apply(2.0, make_reports(5), is_complete=True) is None
    assert reconciler_of_ten.next_due_at() == 31.0 and reconciler_of_ten.advance(30.9) is None
    assert len(reconciler_of_ten.advance(31.0).endpoint_list.endpoints) == 5


def test_doubt_ends_when_the_endpoints_are_reported_again(reconciler_of_ten):
    reconciler_of_ten.apply(1.0, [], is_complete=True)
    reconciler_of_ten.apply(2.0, [], is_complete=True)
    assert (
        reconciler_of_ten.apply(20.0, make_reports(10), is_complete=True) is None
        and reconciler_of_ten.next_due_at() == math.inf
    )
    assert not any(record.doubt for record in reconciler_of_ten.records.values())


def test_repeated_empty_lists_never_empty_the_accepted_list(reconciler_of_ten):
    for now in range(1, 200):
        assert reconciler_of_ten.apply(float(now), [], is_complete=True) is None
    assert len(reconciler_of_ten.records) == 10 and reconciler_of_ten.next_due_at() == math.inf
    # Another endpoint is reported, so the ones that have long been missing are removed.
    reconciler_of_ten.apply(300.0, [make_report("h77")], is_complete=True)
    assert set(accepted_states(reconciler_of_ten)) == {"h77"}


def test_endpoint_reported_under_a_new_id_replaces_the_one_at_the_same_address(reconciler_of_ten):
    changed = reconciler_of_ten.apply(
        1.0, [make_report(f"h{n + 50}", port=1000 + n) for n in range(10)], is_complete=True
    )
    assert set(accepted_states(reconciler_of_ten)) == {f"h{n + 50}" for n in range(10)}
    assert sum(endpoint.state == "down" for endpoint in changed.endpoint_list.endpoints) == 10


def test_of_two_ids_at_one_address_the_latest_report_is_accepted():
    reconciler = EndpointReconciler()
    reconciler.apply(
        0.0,
        [make_report("h1", timestamp_ms=5, port=7), make_report("h2", timestamp_ms=9, port=7)],
        is_complete=True,
    )
    assert set(accepted_states(reconciler)) == {"h2"}


def test_address_change_is_returned_as_a_change(reconciler_of_ten):
    changed = reconciler_of_ten.apply(1.0, [make_report("h1", port=99)])
    assert changed.addresses == {"h1": ("127.0.0.1", 99)}


def test_contradicting_older_report_may_drain_an_endpoint_but_not_bring_it_back():
    reconciler = EndpointReconciler()
    reconciler.apply(0.0, [make_report("h1", "leaving", timestamp_ms=10)], is_complete=True)
    assert reconciler.apply(1.0, [make_report("h1", "up", timestamp_ms=5)], is_complete=True) is None
    assert reconciler.records["h1"].doubt == "older news"
    reconciler.apply(2.0, [make_report("h1", "up", timestamp_ms=20)], is_complete=True)
    assert accepted_states(reconciler) == {"h1": "up"}
    reconciler.apply(3.0, [make_report("h1", "leaving", timestamp_ms=5)], is_complete=True)
    assert accepted_states(reconciler) == {"h1": "leaving"}


def test_older_report_repeated_for_doubt_time_is_accepted():
    reconciler = EndpointReconciler()
    reconciler.apply(0.0, [make_report("h1", "leaving", timestamp_ms=10_000)], is_complete=True)
    for now in range(1, 31):
        assert (
            reconciler.apply(float(now), [make_report("h1", "up", timestamp_ms=5)], is_complete=True) is None
        )
    assert reconciler.apply(31.0, [make_report("h1", "up", timestamp_ms=5)], is_complete=True) is not None


def test_start_time_in_the_future_is_replaced_by_the_time_of_the_first_report():
    reconciler = EndpointReconciler()
    reconciler.apply(100.0, [make_report("h1", started=1e9)], is_complete=True)
    assert reconciler.records["h1"].accepted.endpoint.started_at == 100.0
    # The same start time is not a restart, another one is.
    assert reconciler.apply(200.0, [make_report("h1", started=1e9)], is_complete=True) is None
    assert reconciler.apply(300.0, [make_report("h1", started=2e9)], is_complete=True) is not None


def test_flapping_endpoint_drains_at_once_and_comes_back_when_stable():
    reconciler, now = EndpointReconciler(), 0.0
    reconciler.apply(now, [make_report("h1")], is_complete=True)
    for _ in range(3):
        now += 1.0
        assert reconciler.apply(now, [make_report("h1", "leaving")]) is not None
        now += 1.0
        change_to_up = reconciler.apply(now, [make_report("h1")])
    assert change_to_up is None and reconciler.records["h1"].doubt == "flapping"
    assert reconciler.next_due_at() == 5.0 + 10.0 and reconciler.advance(14.9) is None
    assert reconciler.advance(15.0).endpoint_list.endpoints[0].state == "up"


def test_restored_list_is_accepted_until_a_report_contradicts_it():
    reconciler = EndpointReconciler()
    host = messages.Endpoint("h1", "a", 0, 1.0, "", "up", 0.0)
    reconciler.restore(
        0.0, EndpointListing(messages.EndpointList("cached", 7, (host,)), {"h1": ("127.0.0.1", 1001)})
    )
    assert reconciler.apply(1.0, [make_report("h1")], is_complete=True) is None
    assert reconciler.apply(2.0, [make_report("h2")], is_complete=True).endpoint_list.version == 8


REPORT_SEQUENCES = st.lists(
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
@given(REPORT_SEQUENCES)
def test_random_reports_keep_marks_and_return_changes_that_add_up_to_the_accepted_list(sequence):
    reconciler, now, followed_states = EndpointReconciler(ReconcilerSettings(doubt_time=15.0)), 100.0, {}
    for wait, is_complete, reported_states, deleted, timestamp_ms in sequence:
        now, had_endpoints = now + wait, bool(followed_states)
        deleted = {f"h{n}" for n in deleted} - {f"h{n}" for n in reported_states}
        reports = [make_report(f"h{n}", state, timestamp_ms) for n, state in reported_states.items()]
        for changed in (reconciler.advance(now), reconciler.apply(now, reports, deleted, is_complete)):
            for host in changed.endpoint_list.endpoints if changed else ():
                followed_states[host.id] = host.state
                if host.state == "down":
                    del followed_states[host.id]
        assert followed_states == accepted_states(reconciler)  # the changes add up to the accepted list
        for report in reports:  # an endpoint that is reported as draining never stays up
            if report.endpoint.state == "leaving":
                assert followed_states[report.endpoint.id] == "leaving"
        assert not deleted & followed_states.keys()
        assert reconciler.next_due_at() > now - 1e-9 or reconciler.advance(now) is None
        if had_endpoints and not deleted:
            assert followed_states  # missing endpoints alone never empty the list
