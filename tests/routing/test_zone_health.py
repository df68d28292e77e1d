"""Zone health: what counts as evidence, how long it lasts, and which zones it affects."""

import pytest
from helpers import DecisionHarness, actions_of, make_host, make_plan, make_settings

from apigateway import messages
from apigateway.routing.zone_health import HALF_LIFE_S, MIN_HOSTS, MIN_TRAFFIC_SHARE, ZoneHealth

UNLIMITED = make_plan(rate=0.0)
HOSTS = [make_host(f"h{n}", zone="abc"[n % 3]) for n in range(48)]


def make_zone_health(hosts_per_zone=9):
    health = ZoneHealth()
    health.set_listed_zones([zone for zone in "abc" for _ in range(hosts_per_zone)])
    return health


def test_failures_at_several_hosts_reduce_traffic_more_than_failures_at_one():
    one_host, several_hosts = make_zone_health(), make_zone_health()
    for n in range(4):
        one_host.record_no_answer("a", "h0", 10.0)
        several_hosts.record_no_answer("a", f"h{n}", 10.0)
    assert one_host.traffic_share("a", 10.0) > 0.5 and several_hosts.traffic_share(
        "a", 10.0
    ) == pytest.approx(MIN_TRAFFIC_SHARE)
    assert (
        several_hosts.traffic_share("b", 10.0) == 1.0 and several_hosts.traffic_share("unknown", 10.0) == 1.0
    )


def test_answer_from_any_host_clears_its_zone_only():
    health = make_zone_health()
    for zone in "ab":
        for n in range(3):
            health.record_no_answer(zone, f"{zone}{n}", 10.0)
    health.record_answer("a")
    assert (
        health.traffic_share("a", 10.0) == 1.0
        and health.traffic_share("b", 10.0) < 0.1
        and health.suspect_count == 1
    )
    share = round(health.traffic_share("b", 12.5), 3)
    assert health.status(12.5) == {"b": {"silent": 3, "hosts": 9, "for": 2.5, "part": share}}
    health.record_answer("b")
    health.record_answer("b")
    assert health.suspect_count == 0


def test_failures_decay_and_a_failure_after_their_expiry_starts_over():
    health = make_zone_health()
    for n in range(4):
        health.record_no_answer("a", f"h{n}", 10.0)
    assert (
        MIN_TRAFFIC_SHARE
        < health.traffic_share("a", 10.0 + HALF_LIFE_S)
        < health.traffic_share("a", 10.0 + 3 * HALF_LIFE_S)
        < 1.0
    )
    health.record_no_answer("a", "h7", 10.0 + 5 * HALF_LIFE_S)
    assert health.traffic_share("a", 10.0 + 5 * HALF_LIFE_S) > 0.5


def test_zone_without_hosts_is_removed():
    health = make_zone_health()
    health.record_no_answer("a", "h0", 10.0)
    health.record_no_answer("b", "h1", 10.0)
    health.set_listed_zones(["b"] * 9 + ["c"] * 9)
    assert health.suspect_count == 1 and list(health.status(11.0)) == ["b"]
    health.record_answer("b")
    assert health.suspect_count == 0 and not health.status(11.0)


def test_traffic_of_a_zone_with_few_hosts_is_not_reduced():
    health = make_zone_health(MIN_HOSTS - 1)
    for n in range(5):
        health.record_no_answer("a", f"h{n}", 10.0)
    assert health.traffic_share("a", 10.0) == 1.0 and not health.suspect_count


def test_gateway_avoids_a_lost_zone_after_three_failed_hosts_and_detects_its_recovery():
    """Guards against detecting the hosts of a lost zone one by one.

    In a fleet run with a zone partition, 1,935 connection attempts failed that way. The six gateways of this
    test would see 200 failures if the zone kept an equal share of the attempts, and 71 if each host were
    detected by itself.
    """
    failures = attempts_after_recovery = 0
    for seed in range(1, 7):
        harness = DecisionHarness(
            make_settings(plans=[UNLIMITED], gateway_count=200, limits=dict(can_hedge=False)),
            HOSTS,
            seed=seed,
        )
        for n in range(150):
            actions, attempt = harness.send_request(plan="p")[1], 0
            while forwards := actions_of(actions, messages.ForwardRequest):
                is_lost_zone = int(forwards[0].endpoint_id[1:]) % 3 == 0
                fails = is_lost_zone and n < 100
                failures, attempts_after_recovery = (
                    failures + fails,
                    attempts_after_recovery + (is_lost_zone and n >= 125),
                )
                actions = harness.end_attempt(
                    forwards[0], "connect_failed" if fails else "ok", attempt=attempt, is_final=not fails
                )
                attempt += 1
            harness.now += 0.3
    assert 6 <= failures <= 50 and attempts_after_recovery >= 12


def test_failing_hosts_in_each_zone_are_not_mistaken_for_a_lost_zone():
    harness = DecisionHarness(
        make_settings(plans=[UNLIMITED], gateway_count=200, limits=dict(can_hedge=False)), HOSTS
    )
    lowest_share = 1.0
    for _ in range(200):
        actions, attempt = harness.send_request(plan="p")[1], 0
        while forwards := actions_of(actions, messages.ForwardRequest):
            fails = int(forwards[0].endpoint_id[1:]) % 8 == 0  # one in eight, in all zones
            actions = harness.end_attempt(
                forwards[0], "connect_failed" if fails else "ok", attempt=attempt, is_final=not fails
            )
            attempt += 1
        lowest_share = min(
            lowest_share,
            *(harness.gateway.pool.health.zone_health.traffic_share(zone, harness.now) for zone in "abc"),
        )
        harness.now += 0.3
    assert lowest_share >= 0.2


@pytest.mark.parametrize("gateway_count", [3, 200])
def test_evacuated_zone_gets_no_requests_until_the_evacuation_ends(gateway_count):
    harness = DecisionHarness(
        make_settings(plans=[UNLIMITED], gateway_count=gateway_count, limits=dict(can_hedge=False)), HOSTS
    )

    def zones_used(request_count):
        zones = set()
        for _ in range(request_count):
            for forward in actions_of(harness.send_request(plan="p")[1], messages.ForwardRequest):
                zones.add("abc"[int(forward.endpoint_id[1:]) % 3])
                harness.end_attempt(forward)
            harness.now += 0.2
        return zones

    assert zones_used(60) == set("abc")
    harness.handle(messages.EvacuateZones(("b",)))
    assert zones_used(60) == set("ac")
    harness.handle(
        messages.EndpointList("delta", 2, (make_host("h49", zone="b"), make_host("h50", zone="c")))
    )
    assert zones_used(60) == set("ac")  # a new endpoint list does not end it
    harness.handle(messages.EvacuateZones(("a", "b", "c")))
    assert zones_used(60) == set("abc")  # evacuating all zones has no effect
    positions = [endpoint.ring_position for endpoint in harness.gateway.pool.available]
    assert positions == sorted(positions)
    harness.handle(messages.EvacuateZones(()))
    assert zones_used(60) == set("abc")


def test_retry_restricted_to_an_evacuated_zone_fails_and_is_not_sent_elsewhere():
    harness = DecisionHarness(
        make_settings(plans=[UNLIMITED], gateway_count=200, limits=dict(can_hedge=False)), HOSTS
    )
    # A request of this class is keyed and may be repeated within its zone only.
    forward = actions_of(harness.send_request(plan="p", service_class="write")[1], messages.ForwardRequest)[0]
    zone = "abc"[int(forward.endpoint_id[1:]) % 3]
    harness.handle(messages.EvacuateZones((zone,)))
    actions = harness.end_attempt(forward, "reset")
    assert not actions_of(actions, messages.ForwardRequest) and actions_of(actions, messages.Fail)
