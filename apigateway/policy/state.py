"""The state that a gateway's event handlers share, with the responses and the calls to the counter."""

import math
import random
from collections.abc import Callable

from apigateway import messages
from apigateway.hashing import RecentlyEvictedFilter, stable_hash
from apigateway.policy.counter_health import CounterHealth
from apigateway.policy.customer_quota import CustomerQuota
from apigateway.policy.endpoint_pool import SMOOTHING_WEIGHT, TICK_S, EndpointPool
from apigateway.policy.load_shedding import LoadShedder
from apigateway.policy.pending_queue import LOCAL_SLOT, PendingQueue, PendingRequest, Stage
from apigateway.routing import (
    FaultScopes,
    GrantShareEstimator,
    KeyedFifo,
    PendingTimer,
    RetryBudget,
    TimerHeap,
)

# Share of requested units assumed to be granted before the first grant, by whether the client is retrying.
GRANT_SHARE_PRIORS = {False: 0.5, True: 0.3}
MIN_COUNTER_LIFETIME_S = 1.0  # for which the counter keeps a key
MAX_COUNTER_LIFETIME_S = 60.0
INITIAL_RETRY_BUDGET = 15.0  # retries, over all gateways
MAX_RETRY_BUDGET = 30.0  # retries, over all gateways
MIN_MAX_RETRY_BUDGET = 2.0  # retries; lower limit of one gateway's share of MAX_RETRY_BUDGET
SLOT_EPOCH_S = 5.0  # after which a new shared count of concurrency slots begins
CHECK_MARGIN_S = 2 * TICK_S  # before a request's deadline, when it is checked for the last time

OnCounterResult = Callable[[messages.CounterResult], None]  # handles the result of a call to the counter


class GatewayState:
    """The state of one gateway's decisions. Only event handlers change it."""

    def __init__(self, settings: messages.Settings, seed: int, now: float) -> None:
        self.settings = settings
        self.started_at = now
        self.now = now  # time of the current event
        self.actions: list[messages.Action] = []  # of the current event
        self.rng = random.Random(seed)
        self.pool = EndpointPool(settings, self.rng)
        self.counter = CounterHealth(settings)
        self.counter_calls = KeyedFifo[int, OnCounterResult]()  # by counter key
        kinds = [(plan, is_retry) for plan in settings.plans for is_retry in (False, True)]
        self.grant_shares = {
            kind: GrantShareEstimator(GRANT_SHARE_PRIORS[kind[1]], SMOOTHING_WEIGHT) for kind in kinds
        }
        self.quotas: dict[str, CustomerQuota] = {}  # by customer, in the order of their last requests
        self.evicted_customers = RecentlyEvictedFilter(settings.max_customers)
        self.pending: dict[str, PendingRequest] = {}
        self.queue = PendingQueue()
        self.pending_timer = PendingTimer()
        self.watch_at = math.inf  # time at which to watch the endpoint list again
        self.check_timers = TimerHeap[str]()  # next checks of pending requests, by request ID
        max_retries = max(MIN_MAX_RETRY_BUDGET, MAX_RETRY_BUDGET / settings.gateway_count)
        self.retry_budget = RetryBudget(INITIAL_RETRY_BUDGET / settings.gateway_count, max_retries)
        self.load_shedder = LoadShedder(now, settings.gateway_count)
        self.max_priority_weight = max(
            service_class.priority_weight for service_class in settings.classes.values()
        )
        self.mean_priority = 0.0  # of the latest requests
        self.fault_scopes = FaultScopes()
        self.draining_since = math.inf  # since then, another process gets the tokens of the ceilings

    def schedule_check(self, due_at: float, pending: PendingRequest) -> None:
        """Schedule a check of a request at `due_at`, or before its deadline if that is earlier."""
        self.check_timers.push(min(due_at, pending.deadline - CHECK_MARGIN_S), pending.request.request_id)

    def may_call(self, benefit: float) -> bool:
        """Decide at random whether to call the counter, given the benefit of the call in requests."""
        return self.counter.is_usable(self.now) and self.rng.random() < self.counter.call_probability(benefit)

    def add_to_counter(self, key: int, amount: float, lifetime: float, on_result: OnCounterResult) -> None:
        """Add to a key of the counter, which keeps the key for about `lifetime` seconds."""
        self.counter_calls.push(key, on_result)
        kept_lifetime = min(MAX_COUNTER_LIFETIME_S, max(lifetime, MIN_COUNTER_LIFETIME_S))
        self.actions.append(messages.AddToCounter(key, amount, kept_lifetime))

    def add_to_slot_count(
        self, customer: str, epoch: int, change: int, on_result: OnCounterResult = lambda event: None
    ) -> None:
        """Add to the shared count of a customer's concurrency slots."""
        self.add_to_counter(stable_hash("open", customer, epoch), change, 2 * SLOT_EPOCH_S, on_result)

    def _remaining_and_reset(self, pending: PendingRequest) -> tuple[float, float]:
        """Return the units left of the request's quota, and the seconds until its window ends."""
        if not pending.plan.rate:
            return math.inf, 0.0
        return pending.quota.remaining_and_reset(self.now, pending.headroom_units)

    def grant(self, pending: PendingRequest) -> None:
        """Answer that a check's units are granted."""
        request_id = pending.request.request_id
        unspent = self._remaining_and_reset(pending)
        window_index = pending.quota.window_index if pending.has_taken_units else None
        self.actions.append(messages.QuotaGranted(request_id, *unspent, window_index))
        self.finish(pending)

    def reject(self, pending: PendingRequest, wait: float = 0.0, is_over_limit: bool = False) -> None:
        """Answer that a request is rejected or failed; `is_over_limit`: because of its quota or ceiling."""
        request_id = pending.request.request_id
        retry_after = self.settings.limits.retry_after(wait)
        if pending.request.is_check:
            limits = (
                is_over_limit,
                retry_after,
                *self._remaining_and_reset(pending),
            )
            self.actions.append(messages.QuotaDenied(request_id, *limits))
        elif pending.service_class.is_repeatable or not (pending.possibly_executed or pending.in_flight):
            self.actions.append(messages.Reject(request_id, retry_after))
        else:
            self.actions.append(messages.Fail(request_id))
        self.finish(pending)

    def finish(self, pending: PendingRequest) -> None:
        """Remove a request that has its response, cancel its attempts and release its slot."""
        pending.done = True
        request_id = pending.request.request_id
        if pending.stage == Stage.QUEUE:
            self.queue.on_item_done()
        elif pending.stage == Stage.CEILING:
            pending.quota.ceiling.waiting_units -= pending.request.units
        self.pending.pop(request_id, None)
        if self.settings.limits.can_cancel:
            self.actions.extend(messages.CancelAttempt(request_id, number) for number in pending.in_flight)
        if pending.slot == LOCAL_SLOT:
            pending.quota.local_slots_used -= 1
        elif pending.slot:
            self.add_to_slot_count(pending.quota.customer, pending.slot, -1)
