"""Tests of the epoch clock that limits the time of calls."""

import time

import pytest
from plugins.wasm.wasm_plugins import VIEW, export_phase, make_plugin

from apigateway.plugins.interfaces import Budget, Phase, PluginError


def test_epoch_clock_stops_without_calls_and_restarts_with_one():
    plugin = make_plugin(
        export_phase("request", "(loop $l (br $l)) (i64.const 0)"),
        budget=Budget(fuel=10**12, call_time=0.005),
    )
    deadline = time.monotonic() + 30
    while plugin.engine.is_clock_running and time.monotonic() < deadline:
        time.sleep(0.05)  # until there was no call for MAX_IDLE_EPOCHS epochs
    assert not plugin.engine.is_clock_running
    with pytest.raises(PluginError) as caught:
        plugin.call(Phase.REQUEST, VIEW)
    assert caught.value.reason == "time"
