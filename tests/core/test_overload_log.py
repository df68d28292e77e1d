"""The log of an overload, driven by the admission controller."""

import logging

from core.test_admission import AdmissionHarness

from apigateway.core.admission import LAG_PROBE_INTERVAL_S
from apigateway.core.overload_log import OVERLOAD_END_DELAY_S


def test_overload_when_it_begins_and_ends_then_each_is_logged_once(caplog):
    harness = AdmissionHarness()
    gate = harness.gate
    with caplog.at_level(logging.WARNING):
        harness.check_request()
        gate.is_overloaded = True
        gate.lag = 0.04
        for _ in range(5):
            harness.fire_probe()
        gate.is_overloaded = False
        gate.shed_count = 7
        gate.admitted_count = 3
        for _ in range(int(OVERLOAD_END_DELAY_S / LAG_PROBE_INTERVAL_S / 2)):
            harness.fire_probe()
        gate.is_overloaded = True  # before the delay is over, so the same overload continues
        harness.fire_probe()
        gate.is_overloaded = False
        while harness.loop.timers:
            harness.fire_probe()
    lines = [record.getMessage() for record in caplog.records]
    assert len(lines) == 2 and "lag 40 ms" in lines[0] and "7 requests shed, 3 admitted" in lines[1]
