"""Building blocks of the decision module: endpoint health, quota leases, estimators, containers. No I/O."""

from apigateway.routing.admitted_share import AdmittedShare
from apigateway.routing.attempt_history import AttemptHistory
from apigateway.routing.call_health import CallHealth
from apigateway.routing.capacity_estimator import CapacityEstimator
from apigateway.routing.decaying_counts import DecayingCounts
from apigateway.routing.decaying_mean import DecayingMean
from apigateway.routing.demand import DemandEstimator
from apigateway.routing.endpoint_health import EndpointHealth
from apigateway.routing.endpoint_table import EndpointTable
from apigateway.routing.event_rate import EventRate
from apigateway.routing.expiring_keys import ExpiringKeys
from apigateway.routing.failure_backoff import FailureBackoff
from apigateway.routing.fault_scope import FaultScope, FaultScopes
from apigateway.routing.grant_share import GrantShareEstimator
from apigateway.routing.keyed_fifo import KeyedFifo
from apigateway.routing.lease_ledger import LeaseLedger, LedgerEntry
from apigateway.routing.load_estimate import AttemptTimes, LoadEstimate
from apigateway.routing.load_report import requests_held
from apigateway.routing.loop_lag import LoopLag
from apigateway.routing.poisson import poisson_tail_probability
from apigateway.routing.priority_queue import PriorityQueue
from apigateway.routing.recent_values import RecentValues
from apigateway.routing.response_times import ResponseTimes
from apigateway.routing.retry_budget import RetryBudget
from apigateway.routing.slow_start import SlowStartTokens, slow_start_factor
from apigateway.routing.subset_index import SubsetIndex
from apigateway.routing.timer_heap import PendingTimer, TimerHeap
from apigateway.routing.token_bucket import TokenBucketShare
from apigateway.routing.units import floor_units, round_units

__all__ = [
    "AdmittedShare",
    "PendingTimer",
    "AttemptHistory",
    "AttemptTimes",
    "CallHealth",
    "CapacityEstimator",
    "DecayingCounts",
    "DemandEstimator",
    "EndpointHealth",
    "EventRate",
    "ExpiringKeys",
    "DecayingMean",
    "FailureBackoff",
    "FaultScope",
    "FaultScopes",
    "GrantShareEstimator",
    "KeyedFifo",
    "LeaseLedger",
    "LedgerEntry",
    "LoadEstimate",
    "LoopLag",
    "PriorityQueue",
    "RecentValues",
    "ResponseTimes",
    "RetryBudget",
    "EndpointTable",
    "SlowStartTokens",
    "SubsetIndex",
    "TimerHeap",
    "TokenBucketShare",
    "floor_units",
    "poisson_tail_probability",
    "requests_held",
    "round_units",
    "slow_start_factor",
]
