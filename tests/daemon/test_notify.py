"""Test notifications to the service manager; test_gateway_process.py tests those of a real process."""

import os

from apigateway.daemon.notify import Notifier


def test_notifier_without_a_manager_or_with_the_watchdog_of_another_process_then_sends_no_keepalives():
    notifier = Notifier({})
    notifier.ready("x")
    assert notifier.socket is None and notifier.keepalive_interval_s == 0.0
    assert Notifier({"WATCHDOG_USEC": "1000000", "WATCHDOG_PID": "1"}).keepalive_interval_s == 0.0
    assert (
        Notifier({"WATCHDOG_USEC": "1000000", "WATCHDOG_PID": str(os.getpid())}).keepalive_interval_s == 0.5
    )
