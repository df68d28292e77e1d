"""Plug-ins without a gateway, called by a test."""

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

DEFAULT_NOW = 1_790_000_000.0  # Unix time that plug-ins see, in seconds
DEFAULT_ELAPSED = 0.05  # s that a request takes

_PLUGIN_FILE = "plugin.toml"

# The keywords of `Kit.request`, which are the words of rules, where a view's attribute has another name.
_VIEW_ATTRIBUTES = {
    "id": "request_id",
    "cls": "service_class",
    "left": "remaining",
    "write": "is_write",
    "repeat": "is_retry",
    "host": "endpoint_id",
}


class PluginFile(ConfigSection, frozen=True, kw_only=True):
    """A file of [[plugins]] alone, as one writes it beside a module."""

    plugins: list[PluginSection] = []
    hooks: HooksSection = HooksSection()


def find_plugin_file(path: str) -> str:
    """Return `path`, or plugin.toml in it if it is a folder."""
    return os.path.join(path, _PLUGIN_FILE) if os.path.isdir(path) else path


def read_plugins(path: str) -> PluginFile:
    """Return what is in a file of [[plugins]], or in a folder's. Raises InvalidConfigFileError."""
    file = find_plugin_file(path)
    tree = read_toml(file)
    reader = ConfigReader(file)
    plugin_file = reader.read(tree, PluginFile)
    if reader.problems or plugin_file is None:
        raise InvalidConfigFileError(reader.problems)
    return plugin_file


@dataclass(slots=True)
class RequestResult:
    """What came of one request.

    Attributes:
        refuse: Seconds until the client of a rejected request may retry; None: it was not rejected.
        denied: Proposals without effect: plug-in, and `verb: reason`.
        failed: Failed calls: plug-in, and reason.
    """

    view: RequestView
    effects: RequestEffects
    refuse: float | None = None
    denied: list[tuple[str, str]] = field(default_factory=list)
    failed: list[tuple[str, str]] = field(default_factory=list)

    @property
    def tags(self) -> dict[str, str]:
        """The request's tags, without those of its attempts."""
        return self.effects.tags

    @property
    def route(self) -> str:
        """The route that was chosen; empty: none."""
        return self.effects.route


class Kit:
    """Plug-ins without a gateway, called by a test.

    Attributes:
        now: Unix time that plug-ins see, in seconds.
    """

    def __init__(self, version: ChainVersion, now: float = DEFAULT_NOW) -> None:
        self.version = version
        self.now = now
        self._request_count = 0

    @classmethod
    def load(cls, path: str, gateway_settings: messages.Settings | None = None) -> Kit:
        """Load the plug-ins of a file, or of a folder's plugin.toml. Raises InvalidConfigFileError."""
        file = find_plugin_file(path)
        plugin_file = read_plugins(file)
        environment = PluginEnvironment(file, gateway_settings or settings())
        return cls(load_chain(plugin_file.plugins, plugin_file.hooks, environment))

    @property
    def runners(self) -> list[PluginRunner]:
        """The plug-ins in service."""
        return self.version.runners

    def runner(self, name: str) -> PluginRunner:
        """Return the plug-in of a name."""
        return next(runner for runner in self.runners if runner.name == name)

    def request(self, *, now: float | None = None, **fields: Any) -> RequestResult:
        """Take a request; return what came of it.

        Args:
            now: Unix time that plug-ins see, if it is not that of the kit.
            fields: What differs from a plain request, by the words of rules: id, customer, plan, cls (its
                class), units, left, write, repeat.
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
        """Send an attempt of a request to a host; return the attempt's tags."""
        attempt_tags = result.effects.attempt_tags
        attempt_tags.append({})
        result.view.endpoint_id = host
        result.view.attempt = len(attempt_tags) - 1
        self._run_phase(Phase.ATTEMPT, result)
        return attempt_tags[-1]

    def answer(
        self, result: RequestResult, outcome: str = Outcome.COMPLETED, elapsed: float = DEFAULT_ELAPSED
    ) -> None:
        """End a request; `elapsed` is in seconds."""
        result.effects.is_over = True
        result.view.outcome = outcome
        result.view.elapsed = elapsed
        result.view.endpoint_id = ""
        result.view.attempt = len(result.effects.attempt_tags)
        self._run_phase(Phase.ANSWER, result)

    def tick(self) -> None:
        """Call the phase TICK."""
        self.version.tick(self.now, time.monotonic())

    def _run_phase(self, phase: Phase, result: RequestResult) -> float | None:
        before = [(runner.denied.copy(), runner.failures.copy()) for runner in self.runners]
        retry_after = self.version.run_phase(phase, result.view, result.effects, time.monotonic())
        for runner, (denied, failures) in zip(self.runners, before, strict=True):
            result.denied += [(runner.name, what) for what in (runner.denied - denied).elements()]
            result.failed += [(runner.name, what) for what in (runner.failures - failures).elements()]
        return retry_after

    def counters(self, name: str) -> dict[str, float]:
        """Return the counters of a plug-in."""
        return self.runner(name).plugin.counters()

    def close(self) -> None:
        """Close the plug-ins."""
        self.version.close()
