from helpers import GatewayHarness, actions_of, make_host, make_plan, make_settings

from apigateway import messages

BIG = make_plan(rate=1000.0, burst=4000.0)


def test_few_are_out_at_each_server_and_the_rest_waits_in_order_of_worth():
    w = GatewayHarness(make_settings(plans=[BIG]), [make_host("h1")])
    sent = [
        s
        for _ in range(8)
        for s in actions_of(w.send_request(service_class="read")[1], messages.ForwardRequest)
    ]
    assert len(sent) == 2  # half of what all gateways together leave at one server
    name, acts = w.send_request(service_class="write")
    assert not actions_of(acts, messages.ForwardRequest)
    assert [s.request_id for s in actions_of(w.end_attempt(sent[0]), messages.ForwardRequest)] == [name]


def test_waiting_requests_are_bounded():
    w = GatewayHarness(make_settings(plans=[BIG]), [make_host("h1")])
    acts = [a for _ in range(200) for a in w.send_request()[1]]
    assert len(actions_of(acts, messages.Reject)) > 150


def test_a_fraction_of_an_attempt_is_rounded_by_chance_over_gateways_and_servers():
    out = 0
    for k in range(3):
        w = GatewayHarness(
            make_settings(plans=[BIG], gateway_count=3, gateway_index=k),
            [make_host(f"h{n}") for n in range(30)],
            seed=k,
        )
        out += sum(len(actions_of(w.send_request()[1], messages.ForwardRequest)) for _ in range(200))
    assert 100 < out < 140  # four a server over all, not six


def test_one_gateway_of_many_is_not_kept_to_an_even_part_and_a_silent_attempt_holds_no_place():
    """An even part of four a server is one attempt: a gateway that many customers come to would starve."""
    w = GatewayHarness(make_settings(plans=[BIG], gateway_count=200), [make_host(f"h{n}") for n in range(50)])
    sends = [
        s
        for _ in range(40)
        for s in actions_of(w.send_request(service_class="note", remaining=3.0)[1], messages.ForwardRequest)
    ]
    assert len(sends) == 20
    w.advance(1.2)  # waiting requests end, the others are taken for silent
    assert actions_of(w.send_request(service_class="note")[1], messages.ForwardRequest)


def test_a_slow_counter_is_asked_less_and_a_call_then_stands_for_those_unasked():
    calls, most = {}, {}
    for slow in (0.001, 0.045):
        w = GatewayHarness(make_settings(gateway_count=100, plans=[make_plan(rate=2.0, burst=8.0)]))
        w.counter_mode, calls[slow], most[slow] = "hold", 0, 0.0
        for k in range(60):
            for c in actions_of(w.send_request(customer=f"c{k}", spread=60)[1], messages.AddToCounter):
                calls[slow] += c.amount > 0
                most[slow] = max(most[slow], c.amount)
                w.handle(messages.CounterResult(c.counter_key, "ok", 20.0 * (k % 2) + c.amount, slow))
            w.now += 0.1
    assert calls[0.045] < 0.7 * calls[0.001]
    assert most[0.001] <= 1.1 and 1.1 < most[0.045] <= 4.0


def test_hosts_that_are_gone_are_forgotten_in_time():
    w = GatewayHarness(make_settings(plans=[BIG]), [make_host("h0")])
    for n in range(1, 200):
        for send in actions_of(w.send_request()[1], messages.ForwardRequest):
            w.end_attempt(send, "error")
        hosts = (make_host(f"h{n}"), make_host(f"h{n - 1}", state="leaving" if n % 2 else "down"))
        w.handle(messages.EndpointList("full" if n % 3 else "delta", n, hosts))
        w.now += 2.0
    assert len(w.gateway.pool.endpoints) < 40 and len(w.gateway.pool.available) == 1
    assert len(w.gateway.pool.health.outliers.hosts) < 40


def test_a_host_that_is_gone_is_known_while_something_is_out_there():
    w = GatewayHarness(make_settings(plans=[BIG]), [make_host("h1"), make_host("h2")])
    (send,) = actions_of(w.send_request(service_class="note", remaining=3.0)[1], messages.ForwardRequest)
    other = "h2" if send.endpoint_id == "h1" else "h1"
    w.handle(messages.EndpointList("full", 2, (make_host(other),)))
    w.now += 100.0
    w.handle(messages.EndpointList("full", 3, (make_host(other),)))
    assert send.endpoint_id in w.gateway.pool.endpoints
    w.end_attempt(send)
    w.handle(messages.EndpointList("full", 4, (make_host(other),)))
    assert send.endpoint_id not in w.gateway.pool.endpoints


def test_a_fleet_that_has_just_started_as_a_whole_is_served_by_from_the_first_second_on():
    """Cold hosts got a part of what is sent anyway; where all are cold that was nothing, and stayed
    nothing."""
    w = GatewayHarness(
        make_settings(plans=[BIG]), [make_host(f"h{n}", started_at=1000.0) for n in range(4)], start=1000.0
    )
    served = 0
    for _ in range(60):  # 3 s
        for send in actions_of(w.send_request()[1] + w.advance(0.04), messages.ForwardRequest):
            w.now += 0.01
            w.end_attempt(send, elapsed=0.01)
            served += 1
    assert served >= 4
    most = 0.2 * 2.0 * 3.0 / 0.01 * 4  # a core each, cold, overdriven as far as the rules allow
    assert served < most
