import pytest
from helpers import GatewayHarness, actions_of, make_host, make_plan, make_settings

from apigateway import messages

BIG = make_plan(rate=1000.0, burst=4000.0)


def world(hosts=None, **kw):
    return GatewayHarness(make_settings(plans=[BIG], **kw), hosts)


def test_every_request_gets_one_answer_even_without_servers():
    w = GatewayHarness(hosts=[])
    name, acts = w.send_request()
    acts = acts + w.advance(3.0)
    assert (
        len([a for a in acts if isinstance(a, (messages.Reject, messages.Fail)) and a.request_id == name])
        == 1
    )


@pytest.mark.parametrize("result", ["error", "timeout", "reset", "cancelled"])
def test_unsafe_is_not_sent_again_nor_refused_when_it_may_have_run(result):
    w = world()
    s = actions_of(w.send_request(service_class="note")[1], messages.ForwardRequest)[0]
    acts = w.end_attempt(s, result)
    assert (
        not actions_of(acts, messages.ForwardRequest)
        and not actions_of(acts, messages.Reject)
        and len(actions_of(acts, messages.Fail)) == 1
    )


@pytest.mark.parametrize("result", ["full", "connect_failed"])
def test_unsafe_is_sent_again_when_it_never_ran(result):
    w = world()
    s = actions_of(w.send_request(service_class="note")[1], messages.ForwardRequest)[0]
    acts = w.end_attempt(s, result)
    assert [a.endpoint_id for a in actions_of(acts, messages.ForwardRequest)] == [
        {"h1": "h2", "h2": "h1"}[s.endpoint_id]
    ]


@pytest.mark.parametrize("cls", ["write", "cellwrite"])
def test_keyed_stays_in_its_group_and_time(cls):
    hosts = [
        make_host("a1", "z1", 1),
        make_host("a2", "z1", 1),
        make_host("b1", "z2", 2),
        make_host("b2", "z2", 2),
    ]
    w = world(hosts)
    s = actions_of(w.send_request(service_class=cls)[1], messages.ForwardRequest)[0]
    again = actions_of(w.end_attempt(s, "error"), messages.ForwardRequest)
    assert [a.endpoint_id[0] for a in again] == [s.endpoint_id[0]]
    w = world(hosts)
    s = actions_of(w.send_request(service_class="write")[1], messages.ForwardRequest)[0]
    w.now += 1.0  # its memory is over
    acts = w.end_attempt(s, "error")
    assert (
        not actions_of(acts, messages.ForwardRequest)
        and not actions_of(acts, messages.Reject)
        and actions_of(acts, messages.Fail)
    )


def test_draining_and_gone_hosts_get_nothing_new():
    w = world()
    w.handle(messages.EndpointList("delta", 2, (make_host("h1", state="leaving"),)))
    w.handle(messages.EndpointList("full", 3, (make_host("h2"),)))
    for _ in range(5):
        assert {s.endpoint_id for s in actions_of(w.send_request()[1], messages.ForwardRequest)} <= {"h2"}


@pytest.mark.parametrize("gateways", [1, 3, 200])
def test_cold_host_gets_no_more_than_it_bears_from_all_gateways_together(gateways):
    hosts = [make_host(f"h{k}") for k in range(10)]
    ws = [
        GatewayHarness(make_settings(plans=[BIG], gateway_count=gateways, gateway_index=k), hosts, seed=k)
        for k in range(gateways)
    ]
    cold, total, now, out = [], 0, 1000.0, []
    for step in range(1600):  # 200 a second over all; the tenth host restarts after 2 s
        w, now = ws[step % gateways], 1000.0 + step * 0.005
        if step == 400:
            for x in ws:
                x.now = now
                x.handle(messages.EndpointList("delta", 2, (make_host("h9", started_at=now),)))
        w.now = now
        for s in actions_of(w.send_request()[1], messages.ForwardRequest):
            cold += [now] if s.endpoint_id == "h9" and step >= 400 else []
            total += 1
            out.append((w, s))
        if len(out) > 25:
            x, s = out.pop(0)
            x.now = now
            for s2 in actions_of(x.end_attempt(s), messages.ForwardRequest):
                cold += [now] if s2.endpoint_id == "h9" and step >= 400 else []
                out.append((x, s2))
    fair = total / 8 / 10  # a warm host's sends a second
    assert cold, "the ramp sends something"
    for t in cold:  # bears at least twice its fifth of capacity for 2 s, by the rules of these settings
        warm = 0.2 + 0.8 * (t - 1002.0) / 10
        assert sum(t <= x < t + 2.0 for x in cold) <= 2 * 2.0 * max(warm, 0.2) * fair * 2 + 3


def test_silent_host_is_left_and_its_safe_work_copied():
    w = world()
    first = actions_of(w.send_request()[1], messages.ForwardRequest)[0]
    sent = []
    for _ in range(60):
        for s in actions_of(w.send_request()[1], messages.ForwardRequest):
            if s.endpoint_id != first.endpoint_id:
                w.end_attempt(s)
            sent.append(s.endpoint_id)
        w.advance(0.1)
    assert first.endpoint_id not in sent[-20:-1] or sent[-20:].count(first.endpoint_id) <= 2
    assert [
        a
        for _, a in w.action_log
        if isinstance(a, messages.ForwardRequest)
        and a.request_id == first.request_id
        and a.endpoint_id != first.endpoint_id
    ]


def test_no_second_copy_where_not_allowed():
    w = world(limits=dict(can_hedge=False))
    out, most = {}, 0
    for _ in range(40):
        acts = w.send_request()[1] + w.advance(0.05)
        todo = list(acts)
        while todo:
            a = todo.pop(0)
            if isinstance(a, messages.ForwardRequest):
                out[a.request_id] = out.get(a.request_id, 0) + 1
                most = max(most, out[a.request_id])
                if a.endpoint_id == "h2":
                    out[a.request_id] -= 1
                    todo += w.end_attempt(a)
            elif isinstance(a, messages.CancelAttempt) and out.get(a.request_id):
                out[a.request_id] -= 1
                todo += w.handle(
                    messages.AttemptOutcome(a.request_id, a.attempt, "h1", "cancelled", 0.3, False)
                )
    assert most == 1


def test_restart_is_deterministic():
    logs = []
    for _ in range(2):
        w = world([make_host(f"h{k}") for k in range(6)])
        for _ in range(30):
            w.send_request()
            w.advance(0.02)
        logs.append(w.action_log)
    assert logs[0] == logs[1]


def test_late_and_odd_events_are_taken_quietly():
    w = world()
    name, acts = w.send_request()
    s = actions_of(acts, messages.ForwardRequest)[0]
    w.handle(messages.ClientDisconnected(name))
    acts = w.end_attempt(s, "ok", is_final=True)
    assert not [a for a in acts if isinstance(a, (messages.Reject, messages.Fail, messages.ForwardRequest))]
    w.handle(messages.ClientDisconnected("never"))
    w.handle(messages.TimerExpired(77))
    w.handle(messages.CounterResult(5, "ok", 3, 0.1))
    w.handle(messages.HealthCheckResult("h1", "ok", 0.1))
    w.handle(messages.PeerMessage(1, b"x"))


def test_discovery_on_request_is_watched_and_asked_again():
    conf = make_settings(discovery_mode="ask")
    w = GatewayHarness(conf)
    assert [a for _, a in w.action_log if a == messages.WatchEndpoints(True)]
    w.handle(messages.EndpointList("failed", 0, ()))
    assert messages.WatchEndpoints(True) in w.advance(1.2)


def test_stream_is_left_to_the_client():
    w = world()
    s = actions_of(w.send_request()[1], messages.ForwardRequest)[0]
    w.handle(messages.StreamStarted(s.request_id, 0, s.endpoint_id, 0.1))
    acts = w.advance(4.0)
    assert not [a for a in acts if getattr(a, "request_id", None) == s.request_id]


@pytest.mark.parametrize("cls", ["write", "cellwrite"])
def test_keyed_fails_where_its_group_has_no_other_host(cls):
    w = world([make_host("a1", "z1", 1), make_host("b1", "z2", 2), make_host("b2", "z2", 2)])
    s = actions_of(w.send_request(service_class=cls)[1], messages.ForwardRequest)[0]
    assert s.endpoint_id == "a1"
    acts = w.end_attempt(s, "error")
    assert not actions_of(acts, messages.ForwardRequest) and len(actions_of(acts, messages.Fail)) == 1


def test_repeat_with_no_time_left_is_answered_at_once():
    w = world()
    assert actions_of(w.send_request(remaining=0.01)[1], messages.Reject)


@pytest.mark.parametrize("result", ["full", "error", "timeout"])
def test_host_that_fails_one_plan_or_class_keeps_the_others(result):
    bad, good = {"plan": "p", "service_class": "note"}, {"plan": "q", "service_class": "read"}
    w = GatewayHarness(
        make_settings(plans=[BIG, make_plan("q", rate=1000.0, burst=4000.0)], gateway_count=1),
        [make_host("h1")],
    )
    for _ in range(12):
        s = actions_of(w.send_request(**bad)[1], messages.ForwardRequest)[0]
        w.advance(1.0)  # long enough to be taken for silent
        w.end_attempt(s, result, is_final=result != "full")
        for s in actions_of(w.send_request(**good)[1], messages.ForwardRequest):
            w.end_attempt(s)
        w.now += 0.5  # for what it failed it rests so long at most
    w.handle(messages.EndpointList("delta", 2, (make_host("h2"),)))
    hosts = []
    for _ in range(8):
        s = actions_of(w.send_request(**bad)[1], messages.ForwardRequest)[0]
        hosts.append(s.endpoint_id)
        w.end_attempt(s)
    assert hosts.count("h1") == 0
    assert "h1" in [
        s.endpoint_id
        for _ in range(4)
        for s in actions_of(w.send_request(**good)[1], messages.ForwardRequest)
    ]


def test_retries_at_the_start_are_no_storm_whatever_the_number_of_gateways():
    for gateways in (1, 200):
        again = 0
        for k in range(gateways):
            w = GatewayHarness(make_settings(plans=[BIG], gateway_count=gateways, gateway_index=k), seed=k)
            s = actions_of(w.send_request()[1], messages.ForwardRequest)[0]
            again += len(actions_of(w.end_attempt(s, "error"), messages.ForwardRequest))
        assert again <= 15


def test_no_timer_when_nothing_is_due():
    w = world()
    s = actions_of(w.send_request()[1], messages.ForwardRequest)[0]
    w.end_attempt(s)
    assert not actions_of(w.advance(1.0), messages.SetTimer)


def test_idle_accounts_are_dropped():
    w = world()
    for k in range(300):
        for s in actions_of(w.send_request(customer=f"c{k}")[1], messages.ForwardRequest):
            w.end_attempt(s)
        w.now += 1.0
    assert len(w.gateway.quotas) < 70


def test_an_idle_account_is_kept_until_its_ceiling_would_be_full_again():
    """A new one begins with all that a gateway of its age may have: forgotten before, it had more."""
    slow = make_plan("slow", rate=0.0, ceiling_rate=0.1, ceiling_burst=20.0)
    w = GatewayHarness(
        make_settings(plans=[slow, make_plan()], gateway_count=1), [make_host(f"h{k}") for k in range(10)]
    )
    w.now += 1000.0

    def passed(n, **kw):
        sent = [
            s
            for _ in range(n)
            for s in actions_of(
                w.send_request(plan="slow", customer="big", spread=1)[1], messages.ForwardRequest
            )
        ]
        for s in sent:
            w.end_attempt(s)
        return len(sent)

    assert passed(30) == 20
    for k in range(40):
        w.now += 1.0
        for s in actions_of(w.send_request(customer=f"c{k}", spread=1)[1], messages.ForwardRequest):
            w.end_attempt(s)
    w.now += 0.5
    assert passed(30) == 4  # what came back in 40.5 s


def test_overload_of_servers_sheds_what_is_worth_least_with_many_gateways():
    w = GatewayHarness(make_settings(plans=[BIG], gateway_count=50), [make_host(f"h{k}") for k in range(10)])
    served = {"read": 0, "write": 0}
    for k in range(400):
        cls = ("read", "write")[k % 2]
        for s in actions_of(w.send_request(service_class=cls)[1], messages.ForwardRequest):
            served[cls] += 1
            w.end_attempt(s, load_report={"queue": 30.0, "util": 1.0}, elapsed=0.9)
        w.now += 0.05
    assert served["read"] < 0.5 * served["write"] and served["write"] < 150


def routed(fallback, *kinds):
    hosts = [messages.Endpoint(f"h{n}", "z1", 0, 1.0, kind, "up", 0.0) for n, kind in enumerate(kinds)]
    return GatewayHarness(
        make_settings(plans=[BIG], routes={"batch": messages.Route("batch", ("slow",), fallback)}), hosts
    )


def ask_by(w, id, service_class="read"):
    return w.handle(messages.Request(id, 3.0, "c", "p", service_class, 1.0, 0, 2, route="batch"))


def test_a_route_keeps_a_request_to_its_kinds_of_hosts_at_each_attempt():
    w = routed(True, "k", "slow", "k", "slow")
    for n in range(6):
        send = actions_of(ask_by(w, f"q{n}"), messages.ForwardRequest)[0]
        again = actions_of(w.end_attempt(send, "error"), messages.ForwardRequest)
        assert send.endpoint_id in ("h1", "h3") and all(s.endpoint_id in ("h1", "h3") for s in again)
        for s in again:
            w.end_attempt(s, attempt=1)
        w.advance(2.0)


def test_a_route_without_hosts_falls_back_or_refuses_as_settings_say():
    assert actions_of(ask_by(routed(True, "k", "k"), "a"), messages.ForwardRequest)
    w = routed(False, "k", "k")
    acts = ask_by(w, "a") + w.advance(3.0)
    assert not actions_of(acts, messages.ForwardRequest) and len(actions_of(acts, messages.Reject)) == 1


def test_what_waits_for_a_routes_hosts_holds_up_none_that_may_go_elsewhere():
    w = routed(False, "k", "slow")
    held = [s for n in range(40) for s in actions_of(ask_by(w, f"q{n}"), messages.ForwardRequest)]
    assert {s.endpoint_id for s in held} == {"h1"} and len(held) < 40  # the others wait for it
    assert {s.endpoint_id for s in actions_of(w.send_request()[1], messages.ForwardRequest)} == {"h0"}


def test_a_route_is_no_way_round_what_a_class_allows():
    w = routed(True, "k", "slow")
    send = actions_of(ask_by(w, "a", "note"), messages.ForwardRequest)[0]
    acts = w.end_attempt(send, "error")
    assert not actions_of(acts, messages.ForwardRequest) and len(actions_of(acts, messages.Fail)) == 1


def test_a_late_attempt_is_left_to_its_host_while_another_one_would_still_be_in_time():
    """Where usual times are hardly known, one that is only slow would have its work done twice."""
    w = GatewayHarness(
        make_settings(plans=[BIG], gateway_count=200, limits=dict(can_hedge=False)),
        [make_host(f"h{n}") for n in range(30)],
    )
    for _ in range(40):
        for send in actions_of(w.send_request(service_class="read")[1], messages.ForwardRequest):
            w.end_attempt(send, elapsed=0.05)
        w.now += 0.3
    begun = w.now
    name, acts = w.send_request(service_class="read")  # its aim is 1 s
    assert actions_of(acts, messages.ForwardRequest)
    w.advance(2.0)
    left = [
        at - begun
        for at, act in w.action_log
        if isinstance(act, messages.CancelAttempt) and act.request_id == name
    ]
    assert left and 0.7 < left[0] < 1.0


@pytest.mark.parametrize("queue, second", [(0.0, True), (9.0, False)])
def test_while_all_hosts_are_slow_no_attempt_is_given_up_for_another_one(queue, second):
    """Seen on the fleet's herd day: with a third of the hosts cold a sixth of the work that the others did
    was given up, for attempts that waited as long elsewhere."""
    w = GatewayHarness(
        make_settings(plans=[BIG], limits=dict(can_hedge=False)), [make_host(f"h{n}") for n in range(8)]
    )
    for _ in range(30):
        for send in actions_of(w.send_request(service_class="read")[1], messages.ForwardRequest):
            w.end_attempt(send, load_report={"queue": queue})
        w.now += 0.1
    name, acts = w.send_request(service_class="read")
    assert actions_of(acts, messages.ForwardRequest)
    w.advance(2.5)
    assert (
        bool([a for _, a in w.action_log if isinstance(a, messages.CancelAttempt) and a.request_id == name])
        == second
    )


@pytest.mark.parametrize("at, again", [(0.7, True), (0.8, False)])
def test_a_repeat_is_at_its_host_while_that_remembers(at, again):
    """It may wait for its connection, and what comes after the memory's time would run once more."""
    w = GatewayHarness(
        make_settings(limits={"connect_timeout": 0.25}), hosts=[make_host("h1"), make_host("h2")]
    )
    _, acts = w.send_request(service_class="write")
    (send,) = actions_of(acts, messages.ForwardRequest)
    w.now += at  # of the 1 s that hosts of a zone remember it
    acts = w.end_attempt(send, "reset")
    assert bool(actions_of(acts, messages.ForwardRequest)) == again
    assert bool(actions_of(acts, messages.Fail)) != again
