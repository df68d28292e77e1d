"""A harness for the decision module: it passes events, keeps the time and stands in for the counter."""

from apigateway import messages
from apigateway.policy import Gateway

READ = messages.ServiceClass("read", 1.0, 3.0, "safe", "all", 5.0, 1.0, 0.0, False, 0.0)
WRITE = messages.ServiceClass("write", 1.0, 3.0, "keyed", "zone", 1.0, 3.0, 0.0, False, 0.0)
CELL_WRITE = messages.ServiceClass("cellwrite", 1.0, 3.0, "keyed", "cell", 5.0, 3.0, 0.0, False, 0.0)
NOTE = messages.ServiceClass("note", 1.0, 3.0, "unsafe", "all", 5.0, 2.0, 0.0, False, 0.0)


def make_plan(name="p", **overrides):
    fields = dict(
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
    return messages.Plan(name, **{**fields, **overrides})


def make_settings(plans=None, limits=None, rules=None, **overrides):
    default_limits = dict(
        can_cancel=True,
        can_hedge=True,
        can_check_health=False,
        can_message_peers=False,
        can_send_retry_after=True,
        max_attempts=4,
        max_retry_after=1.0,
    )
    default_rules = dict(
        answer_slack=0.01,
        drain_grace=1.0,
        initial_capacity=0.2,
        slow_start_duration=10.0,
        overload_multiple=2.0,
        overload_duration=2.0,
        max_poll_interval=10.0,
    )
    fields = dict(
        gateway_index=0,
        gateway_count=2,
        zone="z1",
        classes={one.name: one for one in (READ, WRITE, CELL_WRITE, NOTE)},
        plans={plan.name: plan for plan in (plans or [make_plan()])},
        limits=messages.Limits(**{**default_limits, **(limits or {})}),
        rules=messages.Rules(**{**default_rules, **(rules or {})}),
        prices={"cross_zone": 0.02},
        has_counter=True,
        counter_price=0.01,
        counter_timeout=0.05,
        meter_period=0.0,
        charges_actual_units=False,
        max_units=4.0,
        discovery_mode="push",
        load_report_fields=("queue",),
        weight_meaning="none",
    )
    return messages.Settings(**{**fields, **overrides})


def make_host(name, zone="z1", cell=0, state="up", started_at=0.0):
    return messages.Endpoint(name, zone, cell, 1.0, "k", state, started_at)


class DecisionHarness:
    """One gateway's decision module with a manual clock; hosts and clients do only what the test says."""

    def __init__(self, settings=None, hosts=None, seed=1, start=1000.0):
        self.now, self.settings = start, settings or make_settings()
        self.gateway = Gateway(self.settings, seed, start)
        self.action_log, self.request_count = [], 0
        self.counter_totals = {}
        self.counter_mode = "answer"  # or "silent", "refuse", "hold"
        listed_hosts = tuple(hosts if hosts is not None else [make_host("h1"), make_host("h2")])
        self.handle(messages.EndpointList("cached", 1, listed_hosts))

    def handle(self, event):
        """Pass an event on, answer the counter calls as `counter_mode` says, and return all actions."""
        actions = self.gateway.handle(self.now, event)
        self.action_log += [(self.now, action) for action in actions]
        for call in [action for action in actions if isinstance(action, messages.AddToCounter)]:
            if self.counter_mode == "answer":
                total = self.counter_totals[call.counter_key] = (
                    self.counter_totals.get(call.counter_key, 0) + call.amount
                )
                actions = actions + self.handle(messages.CounterResult(call.counter_key, "ok", total, 0.002))
            elif self.counter_mode == "silent":
                self.now += 0.05
                actions = actions + self.handle(messages.CounterResult(call.counter_key, "timeout", 0, 0.05))
            elif self.counter_mode == "refuse":
                actions = actions + self.handle(messages.CounterResult(call.counter_key, "full", 0, 0.001))
        return actions

    def send_request(self, customer="c", plan="p", service_class="read", units=1, spread=2, remaining=3.0):
        """Send a request, and return its id and the actions that follow."""
        self.request_count += 1
        request_id = f"r{self.request_count}"
        return request_id, self.handle(
            messages.Request(request_id, remaining, customer, plan, service_class, units, 0, spread)
        )

    def advance(self, seconds, step=0.02):
        """Advance the clock in steps, with an expired timer at each, and return the actions."""
        actions, end = [], self.now + seconds
        while self.now < end - 1e-9:
            self.now = min(end, self.now + step)
            actions += self.handle(messages.TimerExpired(0))
        return actions

    def end_attempt(self, forward, result="ok", attempt=0, is_final=None, elapsed=0.05, **fields):
        """Report the outcome of a forwarded attempt, and return the actions that follow."""
        return self.handle(
            messages.AttemptOutcome(
                forward.request_id,
                attempt,
                forward.endpoint_id,
                result,
                elapsed,
                result == "ok" if is_final is None else is_final,
                **fields,
            )
        )


def actions_of(actions, action_type):
    return [action for action in actions if isinstance(action, action_type)]
