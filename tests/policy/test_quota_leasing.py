from helpers import GatewayHarness, actions_of, make_host, make_plan, make_settings

from apigateway import messages


def served(w, tries, **kw):
    n = 0
    for _ in range(tries):
        _, acts = w.send_request(**kw)
        for s in actions_of(acts, messages.ForwardRequest):
            n += 1
            w.end_attempt(s)
    return n


def test_light_customer_makes_no_call():
    w = GatewayHarness()
    assert served(w, 1) == 1
    assert not [a for _, a in w.action_log if isinstance(a, messages.AddToCounter)]


def test_lease_is_added_and_quota_is_held():
    w = GatewayHarness()
    n = served(w, 40)
    assert 8 <= n <= 16  # the burst, and what the part of the window that has passed has refilled
    assert [a for _, a in w.action_log if isinstance(a, messages.AddToCounter)]
    assert max(w.counter_totals.values()) <= 16


def test_full_window_refuses_at_once_without_calls():
    w = GatewayHarness()
    served(w, 40)
    before = len([a for _, a in w.action_log if isinstance(a, messages.AddToCounter)])
    name, acts = w.send_request()
    assert actions_of(acts, messages.Reject) and len(actions_of(acts, messages.AddToCounter)) == 0 and before


def test_two_bursts_do_not_pass_back_to_back_at_a_turn():
    w = GatewayHarness()
    total = 0
    start = w.now
    while w.now < start + 12:
        total += served(w, 2)
        w.advance(0.1)
    assert total <= 8 + 2 * (w.now - start) + 4


def test_excess_is_taken_back():
    w = GatewayHarness()
    w.counter_mode = "hold"
    calls, sends = [], True
    while sends:  # the last request waits for the call that is out
        _, acts = w.send_request()
        calls, sends = (
            calls + actions_of(acts, messages.AddToCounter),
            actions_of(acts, messages.ForwardRequest),
        )
    call = calls[0]
    acts = w.handle(
        messages.CounterResult(call.counter_key, "ok", 40, 0.002)
    )  # others have filled the window meanwhile
    assert [
        c
        for c in actions_of(acts, messages.AddToCounter)
        if c.amount < 0 and c.counter_key == call.counter_key
    ]
    assert not actions_of(acts, messages.ForwardRequest) and actions_of(acts, messages.Reject)


def test_timed_out_add_gives_no_units_and_request_is_settled_soon():
    w = GatewayHarness()
    w.counter_mode = "silent"
    start = w.now
    n = served(w, 60)
    assert n <= 8 / 2 + 2 * (w.now - start) + 4  # the even share, never a lease
    assert all(not j.stage == "units" for j in w.gateway.pending.values())
    assert w.gateway.quotas["c"].leased_units == 0


def test_silent_counter_calls_back_off():
    w = GatewayHarness()
    w.counter_mode = "silent"
    for _ in range(200):
        w.send_request()
        w.advance(0.02)
    assert len([a for _, a in w.action_log if isinstance(a, messages.AddToCounter)]) < 20


def test_lost_counts_are_added_again():
    w = GatewayHarness(make_settings(plans=[make_plan(rate=2.0, burst=20.0)]))
    served(w, 12)
    name = max(w.counter_totals, key=lambda k: w.counter_totals[k])
    ours = w.counter_totals[name]
    assert ours > 3
    w.counter_totals.clear()
    served(w, 3)
    assert w.counter_totals[name] >= ours


def test_refused_call_keeps_the_charge_owed():
    w = GatewayHarness()
    w.counter_mode = "refuse"
    n = served(w, 30)
    w.counter_mode = "answer"
    w.advance(1.2)
    served(w, 3)
    assert max(w.counter_totals.values()) >= n


def test_ceiling_holds_at_start_and_without_counter():
    p = make_plan(rate=10.0, burst=20.0, ceiling_rate=10.0, ceiling_burst=20.0, ceiling_slack=2.0)
    for mode in ("answer", "silent", "refuse"):
        w = GatewayHarness(make_settings(plans=[p]))
        w.counter_mode = mode
        start, n = w.now, 0
        while w.now < start + 3:
            n += served(w, 4)
            w.advance(0.05)
            # half of the ceiling's rate: two gateways share the customer, and nothing is there at the start
            assert n <= 5.0 * (w.now - start) + 1


def test_open_limit_is_held_over_gateways_by_the_counter():
    p = make_plan(rate=50.0, burst=100.0, concurrency_limit=2)
    a = GatewayHarness(make_settings(plans=[p]))
    b = GatewayHarness(make_settings(plans=[p], gateway_index=1), seed=2)
    b.counter_totals = a.counter_totals
    sends = []
    for _ in range(3):
        for w in (a, b):
            sends += [(w, s) for s in actions_of(w.send_request()[1], messages.ForwardRequest)]
    assert len(sends) == 2
    w, s = sends[0]
    w.end_attempt(s)
    assert len(actions_of(w.send_request()[1], messages.ForwardRequest)) == 1


def test_beyond_quota_only_where_it_earns():
    w = GatewayHarness(make_settings(plans=[make_plan(over_quota_weight=0.3, over_quota_cost=0.0)]))
    assert served(w, 40) == 40
    w = GatewayHarness(make_settings(plans=[make_plan(over_quota_weight=0.3, over_quota_cost=0.5)]))
    assert served(w, 40) < 40


def test_without_counter_the_even_share_is_granted():
    w = GatewayHarness(make_settings(has_counter=False))
    n = served(w, 40)
    assert 4 <= n <= 8 and not [a for _, a in w.action_log if isinstance(a, messages.AddToCounter)]


def test_plan_without_a_rate_needs_only_open_slots():
    w = GatewayHarness(make_settings(plans=[make_plan(rate=0.0, burst=0.0, concurrency_limit=3)]))
    assert served(w, 30) == 30


def test_settled_units_are_charged():
    w = GatewayHarness(make_settings(charges_actual_units=True))
    _, acts = w.send_request()
    s = actions_of(acts, messages.ForwardRequest)[0]
    w.end_attempt(s, actual_units=6)
    assert served(w, 40) < 11


def test_a_quiet_time_does_not_save_up_more_than_the_burst():
    w = GatewayHarness()
    acct_len = 4.0
    w.send_request()
    phase = w.gateway.quotas["c"].window_start
    w.now = phase + 2 * acct_len - 0.5  # late in a window that nothing was drawn in
    n = served(w, 60)
    assert n <= 8 + 4 + 1  # the burst, and what its even part passed uncharged


def test_debt_is_brought_along_once():
    a, b = GatewayHarness(make_settings(plans=[make_plan(burst=40.0, rate=10.0)])), None
    b = GatewayHarness(make_settings(plans=[make_plan(burst=40.0, rate=10.0)], gateway_index=1), seed=2)
    b.counter_totals = a.counter_totals
    start = 0.0
    for turn in range(6):
        for w in (a, b):
            w.now = max(a.now, b.now)
            served(w, 60)
        start = a.gateway.quotas["c"].window_start
        a.now = b.now = start + 4.0 + 0.001
        assert max(a.counter_totals.values()) <= 40 + 10 * 4 + 3, turn  # never more owed than was drawn


def test_even_part_of_the_open_limit_needs_no_call():
    w = GatewayHarness(make_settings(plans=[make_plan(rate=50.0, burst=100.0, concurrency_limit=4)]))
    acts = w.send_request()[1] + w.send_request()[1]
    assert len(actions_of(acts, messages.ForwardRequest)) == 2 and not actions_of(acts, messages.AddToCounter)
    assert not actions_of(w.send_request()[1], messages.ForwardRequest)


def test_small_burst_over_many_gateways_passes_light_customers_and_holds_busy_ones():
    w = GatewayHarness(make_settings(gateway_count=10, plans=[make_plan(rate=0.8, burst=3.0)]))
    for k in range(20):
        _, acts = w.send_request(customer=f"c{k}", spread=8)
        assert actions_of(acts, messages.ForwardRequest) and len(actions_of(acts, messages.AddToCounter)) <= 1
        w.end_attempt(actions_of(acts, messages.ForwardRequest)[0])
    assert served(w, 30, customer="c0", spread=8) <= 6


def test_the_end_of_a_quota_is_kept_for_what_is_worth_most():
    w = GatewayHarness(make_settings(plans=[make_plan(rate=0.5, burst=40.0)]))
    low = served(w, 100, service_class="read")
    high = served(w, 100, service_class="write")
    assert high >= 5  # nothing would be left without what was kept
    assert low >= 25


def test_ordinary_path_is_back_within_two_seconds_after_the_counter_was_silent():
    w = GatewayHarness(make_settings(plans=[make_plan(rate=20.0, burst=80.0)]))
    w.counter_mode = "silent"
    for _ in range(80):
        for s in actions_of(w.send_request()[1], messages.ForwardRequest):
            w.end_attempt(s)
        w.advance(0.02)
    w.counter_mode, start = "answer", w.now
    while w.now < start + 2:
        for s in actions_of(w.send_request()[1], messages.ForwardRequest):
            w.end_attempt(s)
        w.advance(0.04)
    assert w.gateway.counter.consecutive_failures == 0
    assert [a for t, a in w.action_log if isinstance(a, messages.AddToCounter) and t > start]


def test_rest_of_the_open_limit_is_shared_by_a_count():
    conf = [
        make_settings(gateway_index=k, plans=[make_plan(rate=50.0, burst=100.0, concurrency_limit=3)])
        for k in (0, 1)
    ]
    a, b = GatewayHarness(conf[0]), GatewayHarness(conf[1], seed=2)
    b.counter_totals = a.counter_totals
    assert (
        sum(len(actions_of(w.send_request()[1], messages.ForwardRequest)) for _ in range(3) for w in (a, b))
        == 3
    )


def test_an_add_without_answer_leaves_the_requests_on_it_to_the_local_share():
    w = GatewayHarness(make_settings(plans=[make_plan(rate=0.5, burst=8.0)]))
    w.counter_mode = "hold"
    calls, n = [], 0
    for _ in range(12):
        acts = w.send_request()[1]
        calls, n = (
            calls + actions_of(acts, messages.AddToCounter),
            n + len(actions_of(acts, messages.ForwardRequest)),
        )
    acts = w.handle(messages.CounterResult(calls[0].counter_key, "timeout", 0, 0.05))
    assert w.gateway.quotas["c"].leased_units == 0 and n + len(actions_of(acts, messages.ForwardRequest)) <= 5
    assert len(actions_of(acts, messages.Reject)) >= 3


def test_what_a_quiet_half_lets_pass_too_much_is_taken_from_the_next_window():
    w = GatewayHarness(make_settings(plans=[make_plan(rate=2.0, burst=40.0)]))
    w.send_request()
    w.now = w.gateway.quotas["c"].window_start + 2 * 20.0 - 0.5
    n, start = served(w, 120), w.now
    assert n <= 80
    w.now += 1.0
    n += served(w, 120)
    assert n <= 80 + 2 * (w.now - start) + 4


def test_without_the_counter_many_gateways_pass_no_more_than_the_burst_of_a_customer():
    for n in (1, 3, 200):
        passed = 0
        for k in range(n):
            w = GatewayHarness(
                make_settings(plans=[make_plan(rate=2.0, burst=8.0)], gateway_count=n, gateway_index=k),
                seed=k,
            )
            w.counter_mode = "silent"
            passed += served(w, 3 if n > 10 else 40, spread=n)
        assert passed <= 2.5 * 8, n  # two windows may be met


def test_plan_share_passes_what_was_granted_before_while_the_counter_is_away():
    w = GatewayHarness(make_settings(plans=[make_plan(rate=2.0, burst=8.0)], gateway_count=100))
    before = 0
    for k in range(200):
        before += served(w, 1, customer=f"b{k}", spread=60)
        w.now += 0.1
    w.counter_mode, during = "silent", 0
    for k in range(200):
        during += served(w, 1, customer=f"d{k}", spread=60)
        w.now += 0.1
    assert before > 150 and 40 < during <= before + 20


def test_customers_that_come_once_do_not_pile_up():
    w = GatewayHarness(make_settings(plans=[make_plan(rate=1000.0, burst=4000.0)]))
    busy = w.send_request("busy", remaining=1000.0)[1]
    for n in range(2000):
        for send in actions_of(w.send_request(f"c{n}")[1], messages.ForwardRequest):
            w.end_attempt(send)
        w.now += 0.1
    assert len(w.gateway.quotas) < 350 and busy


def test_a_spoilt_answer_of_the_counter_does_not_stop_the_next_call():
    for result, elapsed, again in (
        ("spoilt", 0.002, True),
        ("timeout", 0.002, True),
        ("timeout", 0.05, False),
    ):
        w = GatewayHarness(make_settings(plans=[make_plan(rate=2.0, burst=8.0)]))
        w.counter_mode = "hold"
        calls = []
        while not calls:
            calls = actions_of(w.send_request()[1], messages.AddToCounter)
        w.handle(messages.CounterResult(calls[0].counter_key, result, 0.0, elapsed))
        assert (
            bool(
                [
                    a
                    for n in range(8)
                    for a in actions_of(w.send_request(f"c{n % 2}")[1], messages.AddToCounter)
                ]
            )
            == again
        )


def test_units_added_by_a_call_with_a_spoilt_answer_are_not_lost():
    w = GatewayHarness(make_settings(plans=[make_plan(rate=0.001, burst=40.0)]))
    real, calls = w.counter_totals, 0
    w.counter_mode = "hold"
    sent = refused = 0
    for _ in range(60):
        acts = w.send_request()[1]
        while acts:
            sent += len(actions_of(acts, messages.ForwardRequest))
            refused += len(actions_of(acts, messages.Reject))
            after = [a for s in actions_of(acts, messages.ForwardRequest) for a in w.end_attempt(s)]
            for call in actions_of(acts, messages.AddToCounter):
                calls += 1
                real[call.counter_key] = real.get(call.counter_key, 0) + call.amount
                told = ("spoilt", 0.0) if calls % 3 else ("ok", real[call.counter_key])
                after += w.handle(messages.CounterResult(call.counter_key, *told, 0.002))
            acts = after
    assert calls > 6 and 36 <= sent <= 46 and sent + refused == 60
    assert max(real.values()) <= 48


def test_units_are_added_again_once_when_the_counter_lost_its_counts():
    w = GatewayHarness(make_settings(plans=[make_plan(rate=0.001, burst=100.0)]))
    while len([a for _, a in w.action_log if isinstance(a, messages.AddToCounter)]) < 6:
        served(w, 1)
    (name,), before = w.counter_totals, max(w.counter_totals.values())
    w.counter_totals.clear()
    calls = len(w.action_log)
    served(w, 12)
    again = [a.amount for _, a in w.action_log[calls:] if isinstance(a, messages.AddToCounter)]
    assert len(again) > 4 and w.counter_totals[name] <= before + 14  # not twice, not ever more


def next_call(w):
    """The next call that asks for units, however many requests pass before."""
    for _ in range(200):
        w.now += 0.01
        calls = [c for c in actions_of(w.send_request()[1], messages.AddToCounter) if c.amount > 0]
        if calls:
            return calls[0]
    raise AssertionError("no call")


def test_the_overdraft_is_brought_along_though_the_first_answer_is_lost():
    w = GatewayHarness(make_settings(plans=[make_plan(rate=20.0, burst=80.0)]))
    w.counter_mode = "hold"
    call = next_call(w)
    w.gateway.quotas["c"].debt_units = 5.0
    w.handle(
        messages.CounterResult(call.counter_key, "timeout", 0.0, 0.002)
    )  # its line broke: it may have been added
    second = next_call(w)
    acts = w.handle(messages.CounterResult(call.counter_key, "ok", call.amount + second.amount, 0.002))
    assert [c.amount for c in actions_of(acts, messages.AddToCounter) if c.amount >= 5]


def test_what_could_not_be_added_is_not_taken_for_lost_from_the_count():
    w = GatewayHarness(make_settings(plans=[make_plan(rate=20.0, burst=80.0)]))
    w.counter_mode = "hold"
    call = next_call(w)
    w.gateway.quotas["c"].debt_units = 5.0
    assert actions_of(
        w.handle(messages.CounterResult(call.counter_key, "ok", call.amount, 0.002)), messages.AddToCounter
    )
    w.handle(messages.CounterResult(call.counter_key, "full", 0.0, 0.002))  # the overdraft
    second = next_call(w)
    acts = w.handle(messages.CounterResult(call.counter_key, "ok", call.amount + second.amount, 0.002))
    assert sum(c.amount for c in actions_of(acts, messages.AddToCounter)) < call.amount


def test_who_hands_over_fills_no_ceiling_any_further_and_goes_on_if_the_successor_fails():
    ceiling = make_plan(rate=1000.0, burst=4000.0, ceiling_rate=1.0, ceiling_burst=4.0)

    def passed(world):
        return sum(
            not actions_of(world.send_request(spread=1, service_class="read")[1], messages.Reject)
            for _ in range(10)
        )

    w = GatewayHarness(make_settings(plans=[ceiling]), [make_host(f"h{n}") for n in range(40)])
    w.advance(10.0)
    assert passed(w) == 4  # all that its store holds
    w.handle(messages.DrainGateway(True))
    w.advance(10.0)
    assert passed(w) == 0  # what fills since is the successor's
    assert not actions_of(
        w.send_request(customer="other", spread=1)[1], messages.Reject
    )  # earned before it retired
    w.handle(messages.DrainGateway(False))
    assert passed(w) == 4


def crowded(customers, spread=100):
    """A gateway of many whose counter takes all of its time-out, after it has asked about others."""
    w = GatewayHarness(
        make_settings(gateway_count=100, plans=[make_plan(rate=0.5, burst=8.0, over_quota_cost=0.5)])
    )
    w.counter_mode = "hold"
    for k in range(customers):
        acts = w.send_request(customer=f"other{k}", spread=spread)[1]
        for call in actions_of(acts, messages.AddToCounter):
            w.now += 0.049
            acts = acts + w.handle(messages.CounterResult(call.counter_key, "ok", call.amount, 0.049))
        for send in actions_of(acts, messages.ForwardRequest):
            w.end_attempt(send)
    return w


def test_a_customer_seldom_heard_here_passes_where_a_crowded_counter_is_not_asked():
    w = crowded(60)
    calls = sends = 0
    for k in range(100):
        acts = w.send_request(customer=f"new{k}", spread=100)[1]
        calls += len(actions_of(acts, messages.AddToCounter))
        for send in actions_of(acts, messages.ForwardRequest):
            sends += 1
            w.end_attempt(send)
        w.now += 0.05
    assert calls < 60 and sends + calls >= 98


def test_a_customer_heard_here_more_than_an_even_part_of_its_quota_is_not_let_pass_unasked():
    w = crowded(60)
    w.counter_mode = "silent"
    passed = []
    for n in range(12):
        for send in actions_of(w.send_request(customer="often", spread=100)[1], messages.ForwardRequest):
            passed.append(n)
            w.end_attempt(send)
        w.now += 0.5
    assert passed and max(passed) < 6
    w.now += 120  # what came long ago tells nothing
    assert actions_of(w.send_request(customer="often", spread=100)[1], messages.ForwardRequest)


def test_one_request_that_a_gateway_of_many_lets_pass_unasked_is_no_debt_of_many_windows():
    """Of a thin customer's room a request is let pass by chance: that tells nothing of other gateways."""
    w = GatewayHarness(
        make_settings(gateway_count=100, plans=[make_plan(rate=0.5, burst=2.0)]),
        [make_host(f"h{n}") for n in range(9)],
    )
    served, most, unasked = 0, 0.0, 0
    for k in range(200):  # of so many some have their first one let pass uncharged
        for _ in range(3):
            for send in actions_of(
                w.send_request(customer=f"c{k}", service_class="write", spread=100)[1],
                messages.ForwardRequest,
            ):
                served += 1
                w.end_attempt(send)
            acct = w.gateway.quotas[f"c{k}"]
            most, unasked = max(most, acct.total_units), unasked + (acct.unreported_units > 0)
            w.now += 4.0  # the next window, of which half the quota is used
    assert unasked and most <= 3.0 and served > 580


def test_a_thin_customers_turn_does_not_bring_another_burst_at_once():
    """Seen on the fleet's calm day: of what was sent on beyond quotas most came right after a turn, from who
    had just had the burst of its last window, by gateways that had not heard of it."""
    conf = make_settings(plans=[make_plan(rate=2.0, burst=8.0)])
    first, second = GatewayHarness(conf), GatewayHarness(conf, seed=2)
    first.counter_totals = second.counter_totals  # one counter
    served(first, 1, spread=60)
    acct = first.gateway.quotas["c"]
    turn = acct.window_start + acct.window_length
    first.now = turn - 0.1
    assert served(first, 20, spread=60) + 1 >= 7
    second.now = turn + 0.05
    assert 2 <= served(second, 20, spread=60) <= 4
    second.now = turn + 0.6 * acct.window_length
    assert served(second, 20, spread=60) >= 3  # and has the rest later


def test_a_window_never_holds_more_than_a_burst_and_its_part_of_the_refill():
    for burst in (0.5, 1.0, 2.0, 9.0):
        w = GatewayHarness(make_settings(plans=[make_plan(rate=0.5, burst=burst)]))
        w.send_request(spread=60)
        acct = w.gateway.quotas["c"]
        times = [acct.window_start + part * acct.window_length for part in (0.0, 0.25, 0.5, 1.0)]
        held = [acct.window_limit(time) for time in times]
        assert held == sorted(held) and held[0] <= max(0.5 * burst, min(burst, 1.0))
        assert held[-1] <= 1.1 * burst + 1e-9
