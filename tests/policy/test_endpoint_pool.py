from helpers import World, host, of, plan, settings

from apigateway import messages

BIG = plan(rate=1000.0, burst=4000.0)


def test_few_are_out_at_each_server_and_the_rest_waits_in_order_of_worth():
    w = World(settings(plans=[BIG]), [host("h1")])
    sent = [s for _ in range(8) for s in of(w.ask(cls="read")[1], messages.ForwardRequest)]
    assert len(sent) == 2  # half of what all gateways together leave at one server
    name, acts = w.ask(cls="write")
    assert not of(acts, messages.ForwardRequest)
    assert [s.request_id for s in of(w.end(sent[0]), messages.ForwardRequest)] == [name]


def test_waiting_requests_are_bounded():
    w = World(settings(plans=[BIG]), [host("h1")])
    acts = [a for _ in range(200) for a in w.ask()[1]]
    assert len(of(acts, messages.Reject)) > 150


def test_a_fraction_of_an_attempt_is_rounded_by_chance_over_gateways_and_servers():
    out = 0
    for k in range(3):
        w = World(
            settings(plans=[BIG], gateway_count=3, gateway_index=k),
            [host(f"h{n}") for n in range(30)],
            seed=k,
        )
        out += sum(len(of(w.ask()[1], messages.ForwardRequest)) for _ in range(200))
    assert 100 < out < 140  # four a server over all, not six


def test_one_gateway_of_many_is_not_kept_to_an_even_part_and_a_silent_attempt_holds_no_place():
    """An even part of four a server is one attempt: a gateway that many customers come to would starve."""
    w = World(settings(plans=[BIG], gateway_count=200), [host(f"h{n}") for n in range(50)])
    sends = [s for _ in range(40) for s in of(w.ask(cls="note", left=3.0)[1], messages.ForwardRequest)]
    assert len(sends) == 20
    w.wait(1.2)  # waiting requests end, the others are taken for silent
    assert of(w.ask(cls="note")[1], messages.ForwardRequest)


def test_a_slow_counter_is_asked_less_and_a_call_then_stands_for_those_unasked():
    calls, most = {}, {}
    for slow in (0.001, 0.045):
        w = World(settings(gateway_count=100, plans=[plan(rate=2.0, burst=8.0)]))
        w.mode, calls[slow], most[slow] = "hold", 0, 0.0
        for k in range(60):
            for c in of(w.ask(customer=f"c{k}", spread=60)[1], messages.AddToCounter):
                calls[slow] += c.amount > 0
                most[slow] = max(most[slow], c.amount)
                w.do(messages.CounterResult(c.counter_key, "ok", 20.0 * (k % 2) + c.amount, slow))
            w.now += 0.1
    assert calls[0.045] < 0.7 * calls[0.001]
    assert most[0.001] <= 1.1 and 1.1 < most[0.045] <= 4.0


def test_hosts_that_are_gone_are_forgotten_in_time():
    w = World(settings(plans=[BIG]), [host("h0")])
    for n in range(1, 200):
        for send in of(w.ask()[1], messages.ForwardRequest):
            w.end(send, "error")
        hosts = (host(f"h{n}"), host(f"h{n - 1}", state="leaving" if n % 2 else "down"))
        w.do(messages.EndpointList("full" if n % 3 else "delta", n, hosts))
        w.now += 2.0
    assert len(w.gw.pool.endpoints) < 40 and len(w.gw.pool.available) == 1
    assert len(w.gw.pool.health.outliers.hosts) < 40


def test_a_host_that_is_gone_is_known_while_something_is_out_there():
    w = World(settings(plans=[BIG]), [host("h1"), host("h2")])
    (send,) = of(w.ask(cls="note", left=3.0)[1], messages.ForwardRequest)
    other = "h2" if send.endpoint_id == "h1" else "h1"
    w.do(messages.EndpointList("full", 2, (host(other),)))
    w.now += 100.0
    w.do(messages.EndpointList("full", 3, (host(other),)))
    assert send.endpoint_id in w.gw.pool.endpoints
    w.end(send)
    w.do(messages.EndpointList("full", 4, (host(other),)))
    assert send.endpoint_id not in w.gw.pool.endpoints


def test_a_fleet_that_has_just_started_as_a_whole_is_served_by_from_the_first_second_on():
    """Cold hosts got a part of what is sent anyway; where all are cold that was nothing, and stayed
    nothing."""
    w = World(settings(plans=[BIG]), [host(f"h{n}", started=1000.0) for n in range(4)], start=1000.0)
    served = 0
    for _ in range(60):  # 3 s
        for send in of(w.ask()[1] + w.wait(0.04), messages.ForwardRequest):
            w.now += 0.01
            w.end(send, elapsed=0.01)
            served += 1
    assert served >= 4
    most = 0.2 * 2.0 * 3.0 / 0.01 * 4  # a core each, cold, overdriven as far as the rules allow
    assert served < most
