"""The budget that frontends share."""

from core.fakes import DispatcherHarness
from hypothesis import given, seed, settings
from hypothesis import strategies as st

from apigateway import messages
from apigateway.core.budget import RESERVED_FRACTION, Budget
from apigateway.core.in_flight_table import RESPONSE_SHARE


@seed(1)
@settings(max_examples=200, deadline=None, database=None)
@given(st.integers(1, 4), st.lists(st.tuples(st.integers(0, 3), st.booleans()), max_size=120))
def test_budget_when_frontends_acquire_and_release_then_each_keeps_its_reserve(frontend_count, steps):
    budget = Budget(40)
    for frontend in range(frontend_count):
        budget.join(frontend)
    for step_frontend, is_release in steps:
        frontend = step_frontend % frontend_count
        if is_release and budget.used_by_frontend[frontend]:
            budget.release(frontend, 1)
        elif budget.available_to(frontend) > 0:
            budget.acquire(frontend, 1)
        assert 0 <= budget.used == sum(budget.used_by_frontend.values()) <= 40
        for other in range(frontend_count):  # a frontend that uses less than its reserve may acquire more
            if budget.used_by_frontend[other] + 1 <= 40 * RESERVED_FRACTION / frontend_count:
                assert budget.available_to(other) > 0


def test_budget_when_a_departed_frontend_has_released_everything_then_its_reserve_goes_to_the_others():
    budget = Budget(40)
    for frontend in ("stays", "leaves"):
        budget.join(frontend)
    budget.acquire("leaves", 1)
    budget.leave("leaves")
    assert budget.available_to("stays") == 40 - 1 - 9  # the amount still in use and the rest of the reserve
    budget.release("leaves", 1)
    assert budget.available_to("stays") == 40 and budget.used_by_frontend == {"stays": 0}


def test_request_budget_when_one_frontend_is_flooded_then_others_have_capacity():
    harness = DispatcherHarness(max_in_flight=100)
    harness.core.register_frontend("other")
    flood = [harness.submit(f"f{n}", [messages.ForwardRequest(f"f{n}", "h1")]) for n in range(200)]
    assert sum(sink.answers == [] for sink in flood) == 100 * (1 - RESERVED_FRACTION / 2)
    other = [
        harness.submit(f"q{n}", [messages.ForwardRequest(f"q{n}", "h1")], frontend="other")
        for n in range(100)
    ]
    assert sum(sink.answers == [] for sink in other) == 100 * RESERVED_FRACTION / 2
    assert len(harness.core.in_flight) == 100


def test_memory_budget_when_one_frontend_is_flooded_then_others_have_capacity():
    harness = DispatcherHarness(max_client_bytes=100 / (1 - RESPONSE_SHARE))
    harness.core.register_frontend("other")
    accepted = [
        harness.submit(f"f{n}", [messages.ForwardRequest(f"f{n}", "h1")]).answers == [] for n in range(30)
    ]
    assert 7 <= sum(accepted) <= 8  # 10 bytes each; the last one may exceed the limit
    assert harness.submit("q", [messages.ForwardRequest("q", "h1")], frontend="other").answers == []
