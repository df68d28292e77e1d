"""Loads plug-ins and calls them from a test, without a gateway."""

from __future__ import annotations

import os
import time
from dataclasses import dataclass, field
from typing import Any

from apigateway import messages
from apigateway.config_validation import ConfigReader, ConfigSection, InvalidConfigFileError, read_toml
from apigateway.plugins.chain_version import ChainVersion
from apigateway.plugins.interfaces import Outcome, Phase, RequestView
from apigateway.plugins.loader import PluginEnvironment, load_chain
from apigateway.plugins.proposals import RequestEffects
from apigateway.plugins.runner import PluginRunner
from apigateway.plugins.settings import HooksSection, PluginSection
from apigateway.plugins.testkit.gateway_settings import PLANS, settings

DEFAULT_NOW = 1_790_000_000.0  # Unix time in seconds
DEFAULT_ELAPSED = 0.05  # s that a request takes

_PLUGIN_FILE = "plugin.toml"

# Attributes of RequestView by keyword of `Kit.request`, for keywords that are not attributes themselves. The
# keywords are the field names of rules.
_VIEW_ATTRIBUTES = {
    "id": "request_id",
    "cls": "service_class",
    "left": "remaining",
    "write": "is_write",
    "repeat": "is_retry",
    "host": "endpoint_id",
}


class PluginFile(ConfigSection, frozen=True, kw_only=True):
    """A file that has only [[plugins]] and [hooks], such as one next to a module."""

    plugins: list[PluginSection] = []
    hooks: HooksSection = HooksSection()


def find_plugin_file(path: str) -> str:
    """Return `path`, or the path of its plugin.toml if it is a folder."""
    return os.path.join(path, _PLUGIN_FILE) if os.path.isdir(path) else path


def read_plugins(path: str) -> PluginFile:
    """Read a file with [[plugins]], or the plugin.toml of a folder. Raises InvalidConfigFileError."""
    file = find_plugin_file(path)
    tree = read_toml(file)
    reader = ConfigReader(file)
    plugin_file = reader.read(tree, PluginFile)
    if reader.problems or plugin_file is None:
        raise InvalidConfigFileError(reader.problems)
    return plugin_file


@dataclass(slots=True)
class RequestResult:
    """The result of one request.

    Attributes:
        view: The request as plug-ins see it.
        effects: The effects of the plug-ins on it.
        refuse: Seconds until the client of a rejected request may retry; None if it was not rejected.
        denied: Denied proposals, as pairs of plug-in and `verb: reason`.
        failed: Failed calls, as pairs of plug-in and reason.
    """

    view: RequestView
    effects: RequestEffects
    refuse: float | None = None
    denied: list[tuple[str, str]] = field(default_factory=list)
    failed: list[tuple[str, str]] = field(default_factory=list)

    @property
    def tags(self) -> dict[str, str]:
        """Tags of the request, without those of its attempts."""
        return self.effects.tags

    @property
    def route(self) -> str:
        """Selected route; empty if none."""
        return self.effects.route


class Kit:
    """Calls plug-ins from a test, without a gateway.

    Attributes:
        version: The loaded version of the plug-in chain.
        now: Unix time that plug-ins see, in seconds.
    """

    def __init__(self, version: ChainVersion, now: float = DEFAULT_NOW) -> None:
        self.version = version
        self.now = now
        self._request_count = 0

    @classmethod
    def load(cls, path: str, gateway_settings: messages.Settings | None = None) -> Kit:
        """Load the plug-ins of a file, or of the plugin.toml of a folder. Raises InvalidConfigFileError."""
        file = find_plugin_file(path)
        plugin_file = read_plugins(file)
        environment = PluginEnvironment(file, gateway_settings or settings())
        return cls(load_chain(plugin_file.plugins, plugin_file.hooks, environment))

    @property
    def runners(self) -> list[PluginRunner]:
        """Runners of the plug-ins."""
        return self.version.runners

    def runner(self, name: str) -> PluginRunner:
        """Return the runner of the plug-in with this name."""
        return next(runner for runner in self.runners if runner.name == name)

    def request(self, *, now: float | None = None, **fields: Any) -> RequestResult:
        """Call the plug-ins for a new request and return the result.

        Args:
            now: Unix time that plug-ins see, in seconds; None for the kit's `now`.
            fields: Fields that differ from the default request, by their names in rules: id, customer, plan,
                cls (the class), units, left, write, repeat.
        """
        self._request_count += 1
        effects = RequestEffects()
        attributes: dict[str, Any] = {
            "request_id": f"request-{self._request_count}",
            "customer": f"{self._request_count:016x}",
            "plan": PLANS[0],
            "service_class": "roster-read",
            "units": 1.0,
            "remaining": 3.0,
            "now": now if now is not None else self.now,
        }
        attributes |= {_VIEW_ATTRIBUTES.get(name, name): value for name, value in fields.items()}
        result = RequestResult(RequestView(**attributes, tags=effects.tags), effects)
        result.refuse = self._run_phase(Phase.REQUEST, result)
        return result

    def attempt(self, result: RequestResult, host: str = "h1") -> dict[str, str]:
        """Call the plug-ins for an attempt at a host; return the attempt's tags."""
        attempt_tags = result.effects.attempt_tags
        attempt_tags.append({})
        result.view.endpoint_id = host
        result.view.attempt = len(attempt_tags) - 1
        self._run_phase(Phase.ATTEMPT, result)
        return attempt_tags[-1]

    def answer(
        self, result: RequestResult, outcome: str = Outcome.COMPLETED, elapsed: float = DEFAULT_ELAPSED
    ) -> None:
        """Call the plug-ins for the end of a request; `elapsed` is in seconds."""
        result.effects.is_finished = True
        result.view.outcome = outcome
        result.view.elapsed = elapsed
        result.view.endpoint_id = ""
        result.view.attempt = len(result.effects.attempt_tags)
        self._run_phase(Phase.ANSWER, result)

    def tick(self) -> None:
        """Call the phase TICK of the plug-ins."""
        self.version.tick(self.now, time.monotonic())

    def _run_phase(self, phase: Phase, result: RequestResult) -> float | None:
        before = [(runner.denied.copy(), runner.failures.copy()) for runner in self.runners]
        retry_after = self.version.run_phase(phase, result.view, result.effects, time.monotonic())
        for runner, (denied, failures) in zip(self.runners, before, strict=True):
            result.denied += [(runner.name, denial) for denial in (runner.denied - denied).elements()]
            result.failed += [(runner.name, reason) for reason in (runner.failures - failures).elements()]
        return retry_after

    def counters(self, name: str) -> dict[str, float]:
        """Return the counters of the plug-in with this name."""
        return self.runner(name).plugin.counters()

    def close(self) -> None:
        """Close the plug-ins."""
        self.version.close()
