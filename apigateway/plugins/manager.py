"""Implements core.interfaces.PluginChain: calls the current version of the plug-ins and swaps versions."""

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

MIN_DEDUCTED_TIME_S = 0.001  # plug-in time up to this is not deducted from a request's remaining time

# Module globals, because they are used at each call and an enum member is slower to look up on its class.
_REQUEST = Phase.REQUEST
_ATTEMPT = Phase.ATTEMPT
_ANSWER = Phase.ANSWER

log = logging.getLogger(__name__)


class StateTransferError(Exception):
    """A plug-in of a new version could not load the state of its predecessor; the old version stays in use.

    Attributes:
        plugin_name: Name of the plug-in that failed.
        reason: Why it failed.
    """

    def __init__(self, plugin_name: str, reason: str) -> None:
        self.plugin_name = plugin_name
        self.reason = reason
        super().__init__(f"plug-in {plugin_name}: {reason}")


class Scheduler(Protocol):
    """The part of an event loop that the manager uses."""

    def call_later(self, delay: float, callback: Callable[..., object], *args: Any) -> Any:
        """Schedule a callback in `delay` seconds; return a handle with `cancel`."""


class RequestSession:
    """Calls the plug-ins for one request, always in the version that it started with."""

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
        """Call the plug-ins for an attempt that is about to be sent."""
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
        """Call the plug-ins for a finished request, and record it.

        Called once, after the final response or after the client has disconnected.
        """
        now = time.monotonic()
        view = self._view
        effects = self._effects
        effects.is_finished = True
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
    """Calls the current version of the plug-ins for each request, and swaps versions.

    Attributes:
        version: Version that new requests start with.
        clock: Function that returns the Unix time in seconds.
        tick_interval: Seconds between two calls of the phase TICK.
        recorder: Recorder of finished requests; None if there is none.
        draining_versions: Replaced versions that have unfinished requests.
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
        """Call the phase TICK of the plug-ins, and schedule the next call."""
        self.start()
        try:
            self.version.tick(self.clock(), time.monotonic())
        except Exception:
            log.exception("plug-ins: tick failed")

    def on_request(
        self, request: messages.Request
    ) -> tuple[RequestSession, messages.Request | messages.RejectedByPlugin]:
        """Call the plug-ins; return the event for the decision module, a request or its rejection."""
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
        if elapsed > MIN_DEDUCTED_TIME_S or effects.route:
            deducted = elapsed if elapsed > MIN_DEDUCTED_TIME_S else 0.0
            request = replace(request, route=effects.route, remaining=request.remaining - deducted)
        return session, request

    # A swap changes nothing until all steps that can fail have succeeded.

    def swap(self, version: ChainVersion, tick_interval: float | None = None) -> None:
        """Replace the current version with `version` for new requests. Raises StateTransferError."""
        replaced = self.version
        _transfer_states(replaced, version)
        self.version = version
        self.tick_interval = tick_interval or self.tick_interval
        version.number = replaced.number + 1
        self._drain(replaced)

    def retire(self) -> None:
        """Stop serving new requests; plug-ins and recorder are closed after the last open request."""
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
        """Close the plug-ins that only this drained version uses."""
        self.draining_versions.discard(version)
        versions_in_use = set(self.draining_versions)
        if not self._is_retired:
            versions_in_use.add(self.version)
        runners_in_use = {runner for other in versions_in_use for runner in other.runners}
        close_plugins([runner for runner in version.runners if runner not in runners_in_use])
        if self._is_retired and not self.draining_versions and self.recorder is not None:
            self.recorder.finish()

    def close(self) -> None:
        """Close all versions at once; write the pending records and close their file."""
        if self._timer is not None:
            self._timer.cancel()
        for version in (self.version, *self.draining_versions):
            version.close()
        if self.recorder is not None:
            self.recorder.close()

    def status(self) -> dict[str, Any]:
        """Return the status report of versions, plug-ins and records. Times in seconds."""
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
    """Transfer each plug-in's state to the new plug-in of its name. Raises StateTransferError."""
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
            reason = f"could not load the state of its previous version: {err}"
            raise StateTransferError(runner.name, reason) from err


def _save_state(runner: PluginRunner) -> bytes | None:
    """Return the saved state of a plug-in that is replaced.

    A plug-in that fails to save its state is still replaced, because its failures may be why it is replaced.
    """
    try:
        return runner.plugin.save_state()
    except PluginError as err:
        log.warning("plug-in %s: its state could not be saved and is lost (%s)", runner.name, err)
        return None
