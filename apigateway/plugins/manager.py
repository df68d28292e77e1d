"""The plug-ins in service, as core.interfaces.PluginChain: the version in force, its swap, ticks, records."""

from __future__ import annotations

import logging
import time
from collections.abc import Callable
from dataclasses import replace
from typing import Any, Protocol

from apigateway import messages
from apigateway.plugins.chain_version import ChainVersion, close_plugins
from apigateway.plugins.interfaces import Phase, PluginError, RequestView
from apigateway.plugins.proposals import RequestEffects
from apigateway.plugins.records import RequestRecorder
from apigateway.plugins.runner import PluginRunner

MIN_DEDUCTED_TIME = 0.001  # s that plug-ins took, from which on the module is given less remaining time

# Globals, for they are needed at each call: a member costs more to look up on its class.
_REQUEST = Phase.REQUEST
_ATTEMPT = Phase.ATTEMPT
_ANSWER = Phase.ANSWER

log = logging.getLogger(__name__)


class StateTransferError(Exception):
    """A plug-in of a new version could not take over the state of the one before; the old version stays.

    Attributes:
        plugin_name: The plug-in that failed.
        reason: What it failed with.
    """

    def __init__(self, plugin_name: str, reason: str) -> None:
        self.plugin_name = plugin_name
        self.reason = reason
        super().__init__(f"plug-in {plugin_name}: {reason}")


class Scheduler(Protocol):
    """What is needed of an event loop."""

    def call_later(self, delay: float, callback: Callable[..., object], *args: Any) -> Any:
        """Call back after `delay` seconds; return a handle with `cancel`."""


class RequestSession:
    """One request's way through the version that it began with."""

    __slots__ = ("_manager", "_version", "_view", "_effects", "_endpoint_ids", "_started_at")

    def __init__(
        self,
        manager: PluginManager,
        version: ChainVersion,
        view: RequestView,
        effects: RequestEffects,
        started_at: float,
    ) -> None:
        self._manager = manager
        self._version = version
        self._view = view
        self._effects = effects
        self._endpoint_ids: list[str] = []  # of the attempts
        self._started_at = started_at

    def on_attempt(self, endpoint_id: str) -> None:
        """Hear of an attempt that is about to be sent."""
        now = time.monotonic()
        self._effects.attempt_tags.append({})
        self._endpoint_ids.append(endpoint_id)
        if not self._version.runners_by_phase[_ATTEMPT]:
            return
        view = self._view
        elapsed = now - self._started_at
        view.endpoint_id = endpoint_id
        view.attempt = len(self._endpoint_ids) - 1
        view.now = self._manager.clock()
        view.remaining -= elapsed - view.elapsed
        view.elapsed = elapsed
        self._version.run_phase(_ATTEMPT, view, self._effects, now)

    def on_end(self, outcome: str) -> None:
        """Notify of the final answer, or of a client that disconnected before it. Called once."""
        now = time.monotonic()
        view = self._view
        effects = self._effects
        effects.is_over = True
        view.outcome = outcome
        view.elapsed = now - self._started_at
        view.attempt = len(self._endpoint_ids)
        view.endpoint_id = ""
        view.now = self._manager.clock()
        try:
            if self._version.runners_by_phase[_ANSWER]:
                self._version.run_phase(_ANSWER, view, effects, now)
            if self._manager.recorder is not None:
                self._manager.recorder.record(view, effects, self._endpoint_ids)
        finally:
            self._version.release()


class PluginManager:
    """Asks the version in force about each request, and swaps versions.

    Attributes:
        version: The version that new requests begin with.
        clock: Unix time in seconds.
        tick_interval: Seconds between two calls of the phase TICK.
        draining_versions: Replaced versions with requests that are not over.
    """

    def __init__(
        self,
        version: ChainVersion,
        clock: Callable[[], float],
        scheduler: Scheduler,
        tick_interval: float,
        recorder: RequestRecorder | None = None,
    ) -> None:
        self.version = version
        self.clock = clock
        self.tick_interval = tick_interval
        self.recorder = recorder
        self.draining_versions: set[ChainVersion] = set()
        self._scheduler = scheduler
        self._timer: Any = None
        self._is_retired = False

    def start(self) -> None:
        """Schedule the next tick."""
        self._timer = self._scheduler.call_later(self.tick_interval, self.tick)

    def tick(self) -> None:
        """Call the plug-ins' phase TICK, and schedule the next one."""
        self.start()
        try:
            self.version.tick(self.clock(), time.monotonic())
        except Exception:
            log.exception("plug-ins: tick")

    def on_request(
        self, request: messages.Request
    ) -> tuple[RequestSession, messages.Request | messages.RejectedByPlugin]:
        """Return the event for the decision module: the request, with its route, or its rejection."""
        version = self.version
        started_at = time.monotonic()
        effects = RequestEffects()
        view = RequestView(
            request.request_id,
            request.customer,
            request.plan,
            request.service_class,
            request.units,
            request.remaining,
            self.clock(),
            request.is_write,
            request.is_retry,
            effects.tags,
        )
        session = RequestSession(self, version, view, effects, started_at)
        version.acquire()
        if version.runners_by_phase[_REQUEST]:
            retry_after = version.run_phase(_REQUEST, view, effects, started_at)
            if retry_after is not None:
                return session, messages.RejectedByPlugin(request.request_id, retry_after)
        elapsed = time.monotonic() - started_at
        if elapsed > MIN_DEDUCTED_TIME or effects.route:
            deducted = elapsed if elapsed > MIN_DEDUCTED_TIME else 0.0
            request = replace(request, route=effects.route, remaining=request.remaining - deducted)
        return session, request

    # The swap: all that can fail comes before anything changes

    def swap(self, version: ChainVersion, tick_interval: float | None = None) -> None:
        """Have requests that are taken from now on begin with `version`. Raises StateTransferError."""
        replaced = self.version
        _transfer_states(replaced, version)
        self.version = version
        self.tick_interval = tick_interval or self.tick_interval
        version.number = replaced.number + 1
        self._drain(replaced)

    def retire(self) -> None:
        """Take no more requests: what is held goes with the last one that is open."""
        if self._timer is not None:
            self._timer.cancel()
        self.tick_interval = 0.0
        self._is_retired = True
        self._drain(self.version)

    def _drain(self, version: ChainVersion) -> None:
        if version.open_requests:
            self.draining_versions.add(version)
            version.on_drained = self._on_drained
        else:
            self._on_drained(version)

    def _on_drained(self, version: ChainVersion) -> None:
        """Close what a replaced version has for itself alone: its last request is over."""
        self.draining_versions.discard(version)
        versions_in_use = set(self.draining_versions)
        if not self._is_retired:
            versions_in_use.add(self.version)
        runners_in_use = {runner for other in versions_in_use for runner in other.runners}
        close_plugins([runner for runner in version.runners if runner not in runners_in_use])
        if self._is_retired and not self.draining_versions and self.recorder is not None:
            self.recorder.finish()

    def close(self) -> None:
        """Close all versions at once, and the records once they are written."""
        if self._timer is not None:
            self._timer.cancel()
        for version in (self.version, *self.draining_versions):
            version.close()
        if self.recorder is not None:
            self.recorder.close()

    def status(self) -> dict[str, Any]:
        """Return the state of versions, plug-ins and records, for operators. Times in seconds."""
        now = time.monotonic()
        return {
            "version": self.version.number,
            "requests": self.version.open_requests,
            "older versions": {
                str(version.number): version.open_requests for version in self.draining_versions
            },
            "plugins": [runner.status(now) for runner in self.version.runners],
            "records": self.recorder.status() if self.recorder is not None else None,
        }


def _transfer_states(old: ChainVersion, new: ChainVersion) -> None:
    """Hand each plug-in the state of the one of its name before. Raises StateTransferError."""
    predecessors = {runner.name: runner for runner in old.runners}
    for runner in new.runners:
        predecessor = predecessors.get(runner.name)
        if predecessor is None or predecessor is runner:
            continue
        state = _save_state(predecessor)
        if state is None:
            continue
        try:
            runner.plugin.load_state(state)
        except Exception as err:
            reason = f"could not take the state of the one before: {err}"
            raise StateTransferError(runner.name, reason) from err


def _save_state(runner: PluginRunner) -> bytes | None:
    """Return what a replaced plug-in hands over.

    One that fails at that is replaced all the same: it may be for its failures that it is.
    """
    try:
        return runner.plugin.save_state()
    except PluginError as err:
        log.warning("plug-in %s: its state is lost (%s)", runner.name, err)
        return None
