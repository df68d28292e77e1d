"""For how long input waits for its turn at most, and how the time is shared, whatever connections arrive."""

import itertools
import math

import pytest
from core.input_load import Behaviour, InputLoad
from hypothesis import HealthCheck, given, seed, settings
from hypothesis import strategies as st

from apigateway.core.fair_queue import MAX_CHARGED_QUANTA, PRIORITY_BURST_S
from apigateway.core.input_scheduler import (
    BULK_COST_FACTOR,
    IDLE_CREDIT_S,
    MIN_SLICE_TIME_S,
    SLICE_TIME_S,
    TURN_TIME_S,
)

SERVICES = 1500
TOLERANCE_S = 1e-9  # of sums of floating point numbers
IDLE_S = st.one_of(st.just(IDLE_CREDIT_S), st.floats(0.0, 0.05))
COST_FACTOR = st.sampled_from([1.0, BULK_COST_FACTOR])
COMMAND_S = st.floats(0.00001, 0.0003)

behaviours = st.builds(
    Behaviour,
    count=st.integers(1, 150),
    burst=st.one_of(st.integers(1, 40), st.just(math.inf)),
    command_s=COMMAND_S,
    idle_s=IDLE_S,
    is_new=st.booleans(),
    cost_factor=COST_FACTOR,
    first_at=st.sampled_from([0.0, 0.0, TURN_TIME_S, 0.05]),
    pause_after=st.sampled_from([math.inf, math.inf, 1, 10, 100]),
)
busy_connections = st.builds(
    Behaviour, st.integers(1, 3), st.just(math.inf), COMMAND_S, st.just(0.0), cost_factor=COST_FACTOR
)


def longest_wait_s(wait, command_s):
    """Return the bound that `fair_queue` states, with slices as quanta, for commands of at most a time."""
    each_s = wait.charge_s + SLICE_TIME_S + command_s * (1.0 + wait.charge_s / MIN_SLICE_TIME_S)
    return 2.0 * wait.others * each_s + PRIORITY_BURST_S + SLICE_TIME_S + command_s


def check_waits(load):
    for wait in load.waits:
        assert wait.others_s <= longest_wait_s(wait, load.longest_command_s) + TOLERANCE_S, wait


# Guards against input that waits without bound behind connections that come, return or have more.
@seed(64)
@settings(max_examples=40, deadline=None, database=None, suppress_health_check=[HealthCheck.too_slow])
@given(st.lists(behaviours, min_size=1, max_size=4), st.integers(0, 2**32))
def test_input_when_any_connections_come_then_its_wait_is_within_the_bound(drawn, load_seed):
    load = InputLoad(drawn, load_seed)
    load.run(SERVICES)
    check_waits(load)


# Guards against a second command that is never begun beside kept connections that repeat an error (review/8).
@pytest.mark.parametrize("idle_s", [0.001, 0.003, IDLE_CREDIT_S, 0.012, 0.05])
@pytest.mark.parametrize("count", [300, 900])
def test_pipeline_when_kept_connections_repeat_errors_then_each_of_its_commands_is_begun(idle_s, count):
    repeating = Behaviour(count, 1, 0.00006, idle_s, cost_factor=BULK_COST_FACTOR)
    pipelines = Behaviour(10, 10, 0.0003, 0.2, first_at=0.2)
    load = InputLoad([repeating, pipelines], seed=8)
    load.run(20_000)
    check_waits(load)


# Guards against input of a new connection that is never begun beside kept connections that repeat an error.
@pytest.mark.parametrize("idle_s", [0.001, 0.003, IDLE_CREDIT_S, 0.012, 0.05])
def test_new_connections_when_kept_connections_repeat_errors_then_their_commands_are_begun(idle_s):
    repeating = Behaviour(300, 1, 0.00006, idle_s, cost_factor=BULK_COST_FACTOR)
    new = Behaviour(5, 1, 0.0003, 0.2, is_new=True, first_at=0.2)
    load = InputLoad([repeating, new], seed=6)
    load.run(20_000)
    check_waits(load)


# Guards against a second slice of a pipeline that is never begun beside new connections without end.
@pytest.mark.parametrize("idle_s", [0.0, 0.003, 0.05])
def test_pipeline_of_new_connection_when_new_ones_keep_coming_then_its_commands_are_begun(idle_s):
    crowd = Behaviour(300, 1, 0.0001, idle_s, is_new=True, cost_factor=BULK_COST_FACTOR)
    pipelines = Behaviour(10, 20, 0.0003, 0.1, is_new=True, first_at=0.1)
    load = InputLoad([crowd, pipelines], seed=5)
    load.run(20_000)
    check_waits(load)


# Guards against a pause of the process, as by a collection of garbage, that one connection is charged for.
@pytest.mark.parametrize("cost_factor", [1.0, BULK_COST_FACTOR])
def test_pipeline_when_the_process_pauses_in_its_slice_then_its_next_command_is_begun_within_rounds(
    cost_factor,
):
    crowd = Behaviour(400, math.inf, MIN_SLICE_TIME_S, 0.0)
    paused = Behaviour(1, 40, 0.0001, 0.0, cost_factor=cost_factor, pause_after=2)
    load = InputLoad([crowd, paused], seed=4)
    load.run(20_000)
    check_waits(load)
    rounds = MAX_CHARGED_QUANTA * cost_factor + 1.0
    longest_s = max(wait.others_s for wait in load.waits)
    assert longest_s <= rounds * 400 * MIN_SLICE_TIME_S + PRIORITY_BURST_S + TOLERANCE_S


# Guards against shares that drift: connections that always have input differ by a service of each at most.
@seed(65)
@settings(max_examples=25, deadline=None, database=None, suppress_health_check=[HealthCheck.too_slow])
@given(
    st.lists(busy_connections, min_size=2, max_size=3),
    st.lists(behaviours, max_size=2),
    st.integers(0, 2**32),
)
def test_connections_when_they_always_have_input_then_their_charges_stay_equal(busy, others, load_seed):
    load = InputLoad(busy + others, load_seed)
    charges = {}  # of connections with input at any time, at each service of one of them, since all had one
    history = []

    def on_service(connection):
        if connection.behaviour in busy:
            charges[connection] = connection.charged_s
            if len(charges) == sum(behaviour.count for behaviour in busy):
                history.append(dict(charges))

    load.on_service = on_service
    load.run(SERVICES)
    if not history:
        return
    for first, second in itertools.combinations(charges, 2):
        differences = [at[first] - at[second] for at in history]
        allowed_s = first.largest_charge_s + second.largest_charge_s + TOLERANCE_S
        assert max(differences) - min(differences) <= allowed_s
