"""A scripted world for one or several gateways: it answers nothing by itself."""

from apigateway import messages
from apigateway.policy import Gateway

READ = messages.ServiceClass("read", 1.0, 3.0, "safe", "all", 5.0, 1.0, 0.0, False, 0.0)
WRITE = messages.ServiceClass("write", 1.0, 3.0, "keyed", "zone", 1.0, 3.0, 0.0, False, 0.0)
CELL = messages.ServiceClass("cellwrite", 1.0, 3.0, "keyed", "cell", 5.0, 3.0, 0.0, False, 0.0)
NOTE = messages.ServiceClass("note", 1.0, 3.0, "unsafe", "all", 5.0, 2.0, 0.0, False, 0.0)


def plan(name="p", **kw):
    base = dict(
        rate=2.0,
        burst=8.0,
        concurrency_limit=0,
        price_weight=1.0,
        over_quota_weight=0.0,
        over_quota_cost=1.0,
        ceiling_rate=0.0,
        ceiling_burst=0.0,
        ceiling_slack=0.0,
    )
    return messages.Plan(name, **{**base, **kw})


def settings(plans=None, limits=None, rules=None, **kw):
    lim = dict(
        can_cancel=True,
        can_hedge=True,
        can_check_health=False,
        can_message_peers=False,
        can_tell_retry_after=True,
        max_attempts=4,
        max_retry_after=1.0,
    )
    rul = dict(
        answer_slack=0.01,
        drain_grace=1.0,
        initial_capacity=0.2,
        slow_start_duration=10.0,
        overload_multiple=2.0,
        overload_duration=2.0,
        max_poll_interval=10.0,
    )
    base = dict(
        gateway_index=0,
        gateway_count=2,
        zone="z1",
        classes={c.name: c for c in (READ, WRITE, CELL, NOTE)},
        plans={p.name: p for p in (plans or [plan()])},
        limits=messages.Limits(**{**lim, **(limits or {})}),
        rules=messages.Rules(**{**rul, **(rules or {})}),
        prices={"cross_zone": 0.02},
        has_counter=True,
        counter_price=0.01,
        counter_timeout=0.05,
        meter_period=0.0,
        settles_units=False,
        max_units=4.0,
        discovery_mode="push",
        load_report_fields=("queue",),
        weight_meaning="none",
    )
    return messages.Settings(**{**base, **kw})


def host(name, zone="z1", cell=0, state="up", started=0.0):
    return messages.Endpoint(name, zone, cell, 1.0, "k", state, started)


class World:
    def __init__(self, conf=None, hosts=None, seed=1, start=1000.0):
        self.now, self.conf = start, conf or settings()
        self.gw = Gateway(self.conf, seed, start)
        self.log, self.ids = [], 0
        self.counts = {}
        self.mode = "answer"  # or "silent", "refuse", "hold"
        listed = tuple(hosts if hosts is not None else [host("h1"), host("h2")])
        self.do(messages.EndpointList("cached", 1, listed))

    def do(self, event):
        """Hands one event over, answers counter calls as `mode` says, returns all actions."""
        acts = self.gw.handle(self.now, event)
        self.log += [(self.now, a) for a in acts]
        for call in [a for a in acts if isinstance(a, messages.AddToCounter)]:
            if self.mode == "answer":
                total = self.counts[call.counter_key] = self.counts.get(call.counter_key, 0) + call.amount
                acts = acts + self.do(messages.CounterResult(call.counter_key, "ok", total, 0.002))
            elif self.mode == "silent":
                self.now += 0.05
                acts = acts + self.do(messages.CounterResult(call.counter_key, "timeout", 0, 0.05))
            elif self.mode == "refuse":
                acts = acts + self.do(messages.CounterResult(call.counter_key, "full", 0, 0.001))
        return acts

    def ask(self, customer="c", plan="p", cls="read", units=1, spread=2, left=3.0):
        self.ids += 1
        name = f"r{self.ids}"
        return name, self.do(messages.Request(name, left, customer, plan, cls, units, 0, spread))

    def wait(self, seconds, step=0.02):
        acts, end = [], self.now + seconds
        while self.now < end - 1e-9:
            self.now = min(end, self.now + step)
            acts += self.do(messages.TimerExpired(0))
        return acts

    def end(self, send, result="ok", attempt=0, final=None, elapsed=0.05, **kw):
        return self.do(
            messages.AttemptOutcome(
                send.request_id,
                attempt,
                send.endpoint_id,
                result,
                elapsed,
                result == "ok" if final is None else final,
                **kw,
            )
        )


def of(acts, kind):
    return [a for a in acts if isinstance(a, kind)]
