from helpers import DecisionHarness, actions_of, make_host, make_plan, make_settings

from apigateway import messages

LARGE_PLAN = make_plan(rate=1000.0, burst=4000.0)


def test_attempts_per_host_are_limited_and_the_queue_is_ordered_by_priority():
    harness = DecisionHarness(make_settings(plans=[LARGE_PLAN]), [make_host("h1")])
    forwards = [
        forward
        for _ in range(8)
        for forward in actions_of(harness.send_request(service_class="read")[1], messages.ForwardRequest)
    ]
    assert len(forwards) == 2  # half of the limit per host over both gateways
    request_id, actions = harness.send_request(service_class="write")
    assert not actions_of(actions, messages.ForwardRequest)
    assert [
        forward.request_id
        for forward in actions_of(harness.end_attempt(forwards[0]), messages.ForwardRequest)
    ] == [request_id]


def test_queue_length_is_limited():
    harness = DecisionHarness(make_settings(plans=[LARGE_PLAN]), [make_host("h1")])
    actions = [action for _ in range(200) for action in harness.send_request()[1]]
    assert len(actions_of(actions, messages.Reject)) > 150


def test_fractional_attempt_limit_is_rounded_at_random_per_gateway_and_host():
    forwarded_count = 0
    for k in range(3):
        harness = DecisionHarness(
            make_settings(plans=[LARGE_PLAN], gateway_count=3, gateway_index=k),
            [make_host(f"h{n}") for n in range(30)],
            seed=k,
        )
        forwarded_count += sum(
            len(actions_of(harness.send_request()[1], messages.ForwardRequest)) for _ in range(200)
        )
    assert 100 < forwarded_count < 140  # 4 per host over all gateways, not 6


def test_one_of_many_gateways_may_exceed_its_equal_share_and_silent_attempts_use_no_capacity():
    """With 4 attempts per host, an equal share is 1 attempt: too little for a gateway with many customers."""
    harness = DecisionHarness(
        make_settings(plans=[LARGE_PLAN], gateway_count=200), [make_host(f"h{n}") for n in range(50)]
    )
    forwards = [
        forward
        for _ in range(40)
        for forward in actions_of(
            harness.send_request(service_class="note", remaining=3.0)[1], messages.ForwardRequest
        )
    ]
    assert len(forwards) == 20
    harness.advance(1.2)  # queued requests are rejected, the attempts count as silent
    assert actions_of(harness.send_request(service_class="note")[1], messages.ForwardRequest)


def test_slow_counter_is_called_less_and_each_call_stands_for_more_requests():
    call_counts, max_amounts = {}, {}
    for call_duration in (0.001, 0.045):
        harness = DecisionHarness(make_settings(gateway_count=100, plans=[make_plan(rate=2.0, burst=8.0)]))
        harness.counter_mode, call_counts[call_duration], max_amounts[call_duration] = "hold", 0, 0.0
        for k in range(60):
            for call in actions_of(
                harness.send_request(customer=f"c{k}", spread=60)[1], messages.AddToCounter
            ):
                call_counts[call_duration] += call.amount > 0
                max_amounts[call_duration] = max(max_amounts[call_duration], call.amount)
                harness.handle(
                    messages.CounterResult(
                        call.counter_key, "ok", 20.0 * (k % 2) + call.amount, call_duration
                    )
                )
            harness.now += 0.1
    assert call_counts[0.045] < 0.7 * call_counts[0.001]
    assert max_amounts[0.001] <= 1.1 and 1.1 < max_amounts[0.045] <= 4.0


def test_hosts_that_are_gone_are_removed_after_some_time():
    harness = DecisionHarness(make_settings(plans=[LARGE_PLAN]), [make_host("h0")])
    for n in range(1, 200):
        for forward in actions_of(harness.send_request()[1], messages.ForwardRequest):
            harness.end_attempt(forward, "error")
        hosts = (make_host(f"h{n}"), make_host(f"h{n - 1}", state="leaving" if n % 2 else "down"))
        harness.handle(messages.EndpointList("full" if n % 3 else "delta", n, hosts))
        harness.now += 2.0
    assert len(harness.gateway.pool.endpoints) < 40 and len(harness.gateway.pool.available) == 1
    assert len(harness.gateway.pool.health.outliers.hosts) < 40


def test_host_that_is_gone_is_kept_while_an_attempt_is_in_flight():
    harness = DecisionHarness(make_settings(plans=[LARGE_PLAN]), [make_host("h1"), make_host("h2")])
    (forward,) = actions_of(
        harness.send_request(service_class="note", remaining=3.0)[1], messages.ForwardRequest
    )
    other_id = "h2" if forward.endpoint_id == "h1" else "h1"
    harness.handle(messages.EndpointList("full", 2, (make_host(other_id),)))
    harness.now += 100.0
    harness.handle(messages.EndpointList("full", 3, (make_host(other_id),)))
    assert forward.endpoint_id in harness.gateway.pool.endpoints
    harness.end_attempt(forward)
    harness.handle(messages.EndpointList("full", 4, (make_host(other_id),)))
    assert forward.endpoint_id not in harness.gateway.pool.endpoints


def test_all_hosts_in_slow_start_get_requests_from_the_first_second():
    """Hosts in slow start got a share of the current send rate. With all hosts in slow start, that rate was 0
    and stayed 0.
    """
    harness = DecisionHarness(
        make_settings(plans=[LARGE_PLAN]),
        [make_host(f"h{n}", started_at=1000.0) for n in range(4)],
        start=1000.0,
    )
    answered_count = 0
    for _ in range(60):  # 3 s
        for forward in actions_of(harness.send_request()[1] + harness.advance(0.04), messages.ForwardRequest):
            harness.now += 0.01
            harness.end_attempt(forward, elapsed=0.01)
            answered_count += 1
    assert answered_count >= 4
    # One core per host, at the initial capacity, with the overload that the rules allow, for 3 s.
    max_answered = 0.2 * 2.0 * 3.0 / 0.01 * 4
    assert answered_count < max_answered
