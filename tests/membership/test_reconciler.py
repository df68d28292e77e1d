"""What to believe of a list: each rule beside its neighbour, and in random walks."""

import math

import pytest
from hypothesis import given, seed, settings
from hypothesis import strategies as st

from apigateway import messages
from apigateway.membership.listing import Listing
from apigateway.membership.reconciler import EndpointReconciler, ReconcilerSettings, ReportedEndpoint


def entry(id, state="up", stamp=0, port=None, started=0.0):
    return ReportedEndpoint(
        messages.Endpoint(id, "a", 0, 1.0, "", state, started),
        ("127.0.0.1", port or 1000 + int(id[1:])),
        stamp,
    )


def entries(count, but=(), state="up"):
    return [entry(f"h{n}", state) for n in range(count) if n not in but]


def states(belief):
    return {id: k.accepted.endpoint.state for id, k in belief.records.items()}


@pytest.fixture
def ten():
    belief = EndpointReconciler()
    belief.apply(0.0, entries(10), is_complete=True)
    return belief


def test_a_first_list_is_believed_and_told_as_a_change():
    belief = EndpointReconciler()
    changed = belief.apply(0.0, entries(3), is_complete=True)
    assert changed.hosts.mode == "delta" and set(changed.addresses) == {"h0", "h1", "h2"}
    assert belief.apply(1.0, entries(3), is_complete=True) is None and belief.next_due() == math.inf


def test_what_is_marked_drains_at_once_even_most_of_them(ten):
    changed = ten.apply(1.0, entries(9, state="leaving") + [entry("h9")], is_complete=True)
    assert [h.state for h in changed.hosts.endpoints] == ["leaving"] * 9


def test_what_was_deleted_by_name_is_gone_at_once(ten):
    changed = ten.apply(1.0, [], deleted={f"h{n}" for n in range(8)})
    assert len(changed.hosts.endpoints) == 8 and {h.state for h in changed.hosts.endpoints} == {"down"}


def test_a_few_that_are_missing_are_gone_at_once(ten):
    changed = ten.apply(1.0, entries(7), is_complete=True)
    assert {h.id for h in changed.hosts.endpoints} == {"h7", "h8", "h9"}


def test_most_that_are_missing_are_doubted_until_they_have_been_missing_long_and_twice(ten):
    assert ten.apply(1.0, entries(5), is_complete=True) is None
    assert ten.records["h9"].doubt == "missing"
    assert ten.advance(40.0) is None  # long enough, but in one list only
    changed = ten.apply(41.0, entries(5), is_complete=True)
    assert {h.id for h in changed.hosts.endpoints} == {f"h{n}" for n in range(5, 10)}


def test_a_second_look_too_soon_ends_no_doubt_but_its_time_does(ten):
    ten.apply(1.0, entries(5), is_complete=True)
    assert ten.apply(2.0, entries(5), is_complete=True) is None
    assert ten.next_due() == 31.0 and ten.advance(30.9) is None
    assert len(ten.advance(31.0).hosts.endpoints) == 5


def test_who_comes_back_is_doubted_no_more(ten):
    ten.apply(1.0, [], is_complete=True)
    ten.apply(2.0, [], is_complete=True)
    assert ten.apply(20.0, entries(10), is_complete=True) is None and ten.next_due() == math.inf
    assert not any(k.doubt for k in ten.records.values())


def test_a_list_is_never_emptied(ten):
    for now in range(1, 200):
        assert ten.apply(float(now), [], is_complete=True) is None
    assert len(ten.records) == 10 and ten.next_due() == math.inf
    ten.apply(300.0, [entry("h77")], is_complete=True)  # another is named: the old ones, long missing, may go
    assert set(states(ten)) == {"h77"}


def test_a_host_under_another_id_takes_the_place_of_the_old_one(ten):
    changed = ten.apply(1.0, [entry(f"h{n + 50}", port=1000 + n) for n in range(10)], is_complete=True)
    assert set(states(ten)) == {f"h{n + 50}" for n in range(10)}
    assert sum(h.state == "down" for h in changed.hosts.endpoints) == 10


def test_of_two_ids_at_one_address_the_latest_counts():
    belief = EndpointReconciler()
    belief.apply(0.0, [entry("h1", stamp=5, port=7), entry("h2", stamp=9, port=7)], is_complete=True)
    assert set(states(belief)) == {"h2"}


def test_another_address_under_the_same_id_is_told(ten):
    changed = ten.apply(1.0, [entry("h1", port=99)])
    assert changed.addresses == {"h1": ("127.0.0.1", 99)}


def test_older_news_may_drain_but_not_bring_back():
    belief = EndpointReconciler()
    belief.apply(0.0, [entry("h1", "leaving", stamp=10)], is_complete=True)
    assert belief.apply(1.0, [entry("h1", "up", stamp=5)], is_complete=True) is None
    assert belief.records["h1"].doubt == "older news"
    belief.apply(2.0, [entry("h1", "up", stamp=20)], is_complete=True)
    assert states(belief) == {"h1": "up"}
    belief.apply(3.0, [entry("h1", "leaving", stamp=5)], is_complete=True)
    assert states(belief) == {"h1": "leaving"}


def test_a_clock_that_went_back_is_believed_in_the_end():
    belief = EndpointReconciler()
    belief.apply(0.0, [entry("h1", "leaving", stamp=10_000)], is_complete=True)
    for now in range(1, 31):
        assert belief.apply(float(now), [entry("h1", "up", stamp=5)], is_complete=True) is None
    assert belief.apply(31.0, [entry("h1", "up", stamp=5)], is_complete=True) is not None


def test_a_start_in_the_future_does_not_keep_a_host_cold_for_ever():
    belief = EndpointReconciler()
    belief.apply(100.0, [entry("h1", started=1e9)], is_complete=True)
    assert belief.records["h1"].accepted.endpoint.started_at == 100.0
    assert (
        belief.apply(200.0, [entry("h1", started=1e9)], is_complete=True) is None
    )  # nor start anew at each look
    assert (
        belief.apply(300.0, [entry("h1", started=2e9)], is_complete=True) is not None
    )  # but it may start again


def test_a_host_that_flaps_goes_at_once_and_comes_back_when_calm():
    belief, now = EndpointReconciler(), 0.0
    belief.apply(now, [entry("h1")], is_complete=True)
    for _ in range(3):
        now += 1.0
        assert belief.apply(now, [entry("h1", "leaving")]) is not None
        now += 1.0
        back = belief.apply(now, [entry("h1")])
    assert back is None and belief.records["h1"].doubt == "flapping"
    assert belief.next_due() == 5.0 + 10.0 and belief.advance(14.9) is None
    assert belief.advance(15.0).hosts.endpoints[0].state == "up"


def test_a_list_from_before_is_believed_until_told_otherwise():
    belief = EndpointReconciler()
    host = messages.Endpoint("h1", "a", 0, 1.0, "", "up", 0.0)
    belief.restore(0.0, Listing(messages.EndpointList("cached", 7, (host,)), {"h1": ("127.0.0.1", 1001)}))
    assert belief.apply(1.0, [entry("h1")], is_complete=True) is None
    assert belief.apply(2.0, [entry("h2")], is_complete=True).hosts.version == 8


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
def test_in_any_walk_marks_hold_and_changes_add_up_to_what_is_believed(walk):
    belief, now, heard = EndpointReconciler(ReconcilerSettings(doubt_time=15.0)), 100.0, {}
    for wait, whole, named, gone, stamp in walk:
        now, had = now + wait, bool(heard)
        gone = {f"h{n}" for n in gone} - {f"h{n}" for n in named}
        told = [entry(f"h{n}", state, stamp) for n, state in named.items()]
        for changed in (belief.advance(now), belief.apply(now, told, gone, whole)):
            for host in changed.hosts.endpoints if changed else ():
                heard[host.id] = host.state
                if host.state == "down":
                    del heard[host.id]
        assert heard == states(belief)  # who follows the changes believes the same
        for one in told:  # what is told to drain never stays up
            if one.endpoint.state == "leaving":
                assert heard[one.endpoint.id] == "leaving"
        assert not gone & heard.keys()
        assert belief.next_due() > now - 1e-9 or belief.advance(now) is None
        if had and not gone:
            assert heard  # what is merely missing never empties a list
