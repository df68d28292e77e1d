"""The state of a gateway that the handlers of events share, the responses, and the calls of the counter."""

import math
import random
from collections.abc import Callable

from apigateway import messages
from apigateway.hashing import RecentlyEvictedFilter, stable_hash
from apigateway.policy.counter_health import CounterHealth
from apigateway.policy.customer_quota import CustomerQuota
from apigateway.policy.endpoint_pool import GAIN, TICK, EndpointPool
from apigateway.policy.load_shedding import LoadShedder
from apigateway.policy.pending_queue import OWN_SLOT, PendingQueue, PendingRequest, Stage
from apigateway.routing import (
    FaultScopes,
    GrantShareEstimator,
    KeyedFifo,
    PendingTimer,
    RetryBudget,
    TimerHeap,
)

GRANT_SHARE_PRIORS = {False: 0.5, True: 0.3}  # of first tries and of clients' retries, before any was granted
MIN_COUNTER_LIFETIME = 1.0  # s that the counter keeps a key
MAX_COUNTER_LIFETIME = 60.0  # s
INITIAL_RETRIES = 15.0  # over all gateways
MAX_SAVED_RETRIES = 30.0  # likewise
MIN_SAVED_RETRIES = 2.0  # that any gateway may save up
OPEN_EPOCH = 5.0  # s; life of a shared count of open attempts
CHECK_MARGIN = 2 * TICK  # s before its deadline that a request is looked at for the last time

OnResult = Callable[[messages.CounterResult], None]  # what follows the answer to a call of the counter


class GatewayState:
    """The state of one gateway's decisions; only handlers of events change it."""

    def __init__(self, settings: messages.Settings, seed: int, now: float) -> None:
        self.settings = settings
        self.started_at = now
        self.now = now  # time of the event at hand
        self.actions: list[messages.Action] = []  # that it leads to
        self.rng = random.Random(seed)
        self.pool = EndpointPool(settings, self.rng)
        self.counter = CounterHealth(settings)
        self.counter_calls = KeyedFifo[int, OnResult]()  # by counter key
        kinds = [(plan, is_retry) for plan in settings.plans for is_retry in (False, True)]
        self.grant_shares = {kind: GrantShareEstimator(GRANT_SHARE_PRIORS[kind[1]], GAIN) for kind in kinds}
        self.quotas: dict[str, CustomerQuota] = {}  # in order of their last request
        self.evicted = RecentlyEvictedFilter(settings.max_customers)
        self.pending: dict[str, PendingRequest] = {}
        self.queue = PendingQueue()
        self.alarm = PendingTimer()
        self.watch_at = math.inf  # when the endpoint list is to be watched again
        self.checks = TimerHeap[str]()  # when which pending request is to be looked at
        max_retries = max(MIN_SAVED_RETRIES, MAX_SAVED_RETRIES / settings.gateway_count)
        self.retry_budget = RetryBudget(INITIAL_RETRIES / settings.gateway_count, max_retries)
        self.load_shedder = LoadShedder(now, settings.gateway_count)
        self.max_weight = max(one.priority_weight for one in settings.classes.values())
        self.mean_priority = 0.0  # of the latest requests
        self.fault_scopes = FaultScopes()
        self.draining_since = math.inf  # since when another process fills this gateway's part of the ceilings

    def schedule_check(self, at: float, pending: PendingRequest) -> None:
        """Have a request looked at then, or before its deadline."""
        self.checks.push(min(at, pending.deadline - CHECK_MARGIN), pending.request.request_id)

    def may_call(self, gain: float) -> bool:
        """Decide whether the counter is called for something that gains so much, in requests."""
        return self.counter.is_usable(self.now) and self.rng.random() < self.counter.call_probability(gain)

    def add_to_counter(self, key: int, amount: float, lifetime: float, on_result: OnResult) -> None:
        """Add to a key of the counter, which keeps it for `lifetime` seconds."""
        self.counter_calls.push(key, on_result)
        kept_for = min(MAX_COUNTER_LIFETIME, max(lifetime, MIN_COUNTER_LIFETIME))
        self.actions.append(messages.AddToCounter(key, amount, kept_for))

    def count_slot(self, name: str, epoch: int, change: int, then: OnResult = lambda event: None) -> None:
        """Add to the shared count of a customer's open attempts."""
        self.add_to_counter(stable_hash("open", name, epoch), change, 2 * OPEN_EPOCH, then)

    def grant(self, pending: PendingRequest) -> None:
        """Answer that a check's units are spent."""
        request_id = pending.request.request_id
        unspent = pending.quota.remaining_and_reset(self.now, pending.kept_units)
        self.actions.append(messages.QuotaGranted(request_id, *unspent, pending.quota.window_index))
        self.finish(pending)

    def reject(self, pending: PendingRequest, wait: float = 0.0, is_over_limit: bool = False) -> None:
        """Answer that a request is not taken, or failed; `is_over_limit`: for its quota or ceiling."""
        request_id = pending.request.request_id
        retry_after = self.settings.limits.retry_after(wait)
        if pending.request.is_check:
            limits = (
                is_over_limit,
                retry_after,
                *pending.quota.remaining_and_reset(self.now, pending.kept_units),
            )
            self.actions.append(messages.QuotaDenied(request_id, *limits))
        elif pending.service_class.is_repeatable or not (pending.possibly_executed or pending.in_flight):
            self.actions.append(messages.Reject(request_id, retry_after))
        else:
            self.actions.append(messages.Fail(request_id))
        self.finish(pending)

    def finish(self, pending: PendingRequest) -> None:
        """Forget a request that has its response, cancel its attempts and give back what it holds."""
        pending.done = True
        request_id = pending.request.request_id
        if pending.stage == Stage.QUEUE:
            self.queue.on_item_done()
        elif pending.stage == Stage.CEILING:
            pending.quota.ceiling.waiting_units -= pending.request.units
        self.pending.pop(request_id, None)
        if self.settings.limits.can_cancel:
            self.actions.extend(messages.CancelAttempt(request_id, number) for number in pending.in_flight)
        if pending.slot == OWN_SLOT:
            pending.quota.open_attempts -= 1
        elif pending.slot:
            self.count_slot(pending.quota.name, pending.slot, -1)
