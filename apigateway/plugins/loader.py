"""Loads a version of the plug-in chain from settings, and validates each plug-in before it serves requests.

Loading is slow, so it runs on another thread than the one that serves requests.
"""

from __future__ import annotations

import contextlib
import importlib.util
import os
import time
from collections.abc import Iterator, Sequence
from dataclasses import dataclass

from apigateway import messages
from apigateway.config_validation import ConfigProblem, InvalidConfigFileError
from apigateway.plugins.chain_version import ChainVersion, close_plugins
from apigateway.plugins.interfaces import PluginError
from apigateway.plugins.isolated_validation import ValidationJob, validate_isolated
from apigateway.plugins.proposals import ProposalLimits
from apigateway.plugins.runner import PluginRunner
from apigateway.plugins.settings import HooksSection, PluginSection
from apigateway.plugins.source import BYTES_PER_MIB, PluginSource, PluginSourceError, read_source
from apigateway.plugins.validation import validate

MAX_PLUGINS = 64

_ENGINE_PACKAGE = "wasmtime"
_ENGINE_MISSING_REASON = "needs wasmtime, which is not installed: pip install 'apigateway[plugins]'"


@dataclass(frozen=True, slots=True)
class PluginEnvironment:
    """The gateway that plug-ins are loaded for.

    Attributes:
        path: Path of the settings file; paths of plug-in files are relative to its folder.
        settings: Settings of the gateway.
        seed: Seed of the samples of rules and of the random numbers of modules.
    """

    path: str
    settings: messages.Settings
    seed: int = 0

    def proposal_limits(self, hooks: HooksSection) -> ProposalLimits:
        """Return the limits on the plug-ins' proposals."""
        limits = self.settings.limits
        return ProposalLimits(
            routes=frozenset(self.settings.routes),
            max_tags=hooks.max_tags,
            max_tag_bytes=hooks.max_tag_bytes,
            max_retry_after=limits.max_retry_after if limits.can_send_retry_after else 0.0,
        )


def load_chain(
    sections: Sequence[PluginSection],
    hooks: HooksSection,
    environment: PluginEnvironment,
    current: ChainVersion | None = None,
) -> ChainVersion:
    """Load and validate all plug-ins, and return them as a new version.

    A plug-in whose file and settings are unchanged since `current` is reused, with its state and statistics.
    Raises InvalidConfigFileError with all problems; in that case all new plug-ins are closed.
    """
    return _ChainLoader(hooks, environment, current).load(sections)


class _ChainLoader:
    """Loads one version. Plug-ins are identified by their index in the settings."""

    def __init__(
        self, hooks: HooksSection, environment: PluginEnvironment, current: ChainVersion | None
    ) -> None:
        self._hooks = hooks
        self._environment = environment
        self._current_runners = (
            {runner.name: runner for runner in current.runners} if current is not None else {}
        )
        self._problems: list[ConfigProblem] = []

    def load(self, sections: Sequence[PluginSection]) -> ChainVersion:
        sources = self._read_sources(sections)
        unchanged = self._find_unchanged(sources)
        self._validate_modules(sources, unchanged)
        runners = self._create_runners(sources, unchanged)
        if self._problems:
            current_runners = self._current_runners.values()
            close_plugins([runner for runner in runners if runner not in current_runners])
            raise InvalidConfigFileError(self._problems)
        limits = self._environment.proposal_limits(self._hooks)
        return ChainVersion(runners, limits, self._hooks.time_ms / 1000)

    def _add_problem(self, index: int, err: PluginSourceError) -> None:
        self._problems.append(err.to_problem(self._environment.path, index))

    @contextlib.contextmanager
    def _collect_problems(self, index: int) -> Iterator[None]:
        try:
            yield
        except PluginSourceError as err:
            self._add_problem(index, err)
        except InvalidConfigFileError as err:
            self._problems.extend(err.problems)

    def _read_sources(self, sections: Sequence[PluginSection]) -> dict[int, PluginSource]:
        folder = os.path.dirname(os.path.abspath(self._environment.path))
        max_bytes = self._hooks.max_file_mb * BYTES_PER_MIB
        sources: dict[int, PluginSource] = {}
        names: set[str] = set()
        for index, section in enumerate(sections):
            with self._collect_problems(index):
                _check_name(section.name, index, names)
                sources[index] = read_source(section, folder, max_bytes, self._environment.seed)
            names.add(section.name)
        return sources

    def _find_unchanged(self, sources: dict[int, PluginSource]) -> dict[int, PluginRunner]:
        """Return the runners of unchanged plug-ins, which are reused."""
        unchanged: dict[int, PluginRunner] = {}
        for index, source in sources.items():
            runner = self._current_runners.get(source.section.name)
            if runner is not None and runner.digest == source.digest:
                unchanged[index] = runner
        return unchanged

    def _validate_modules(self, sources: dict[int, PluginSource], unchanged: dict[int, PluginRunner]) -> None:
        """Validate new modules in a separate process, and remove the invalid ones from `sources`."""
        modules = {
            index: source for index, source in sources.items() if index not in unchanged and not source.rules
        }
        if not modules:
            return
        if importlib.util.find_spec(_ENGINE_PACKAGE) is None:  # a clearer reason than a failed process
            reasons = [_ENGINE_MISSING_REASON] * len(modules)
        else:
            reasons = validate_isolated([self._create_validation_job(source) for source in modules.values()])
        remedy = "run `api-gateway plugin check` to reproduce it"
        for (index, source), reason in zip(modules.items(), reasons, strict=True):
            if reason:
                del sources[index]
                self._add_problem(index, PluginSourceError("file", source.section.file, reason, remedy))

    def _create_validation_job(self, source: PluginSource) -> ValidationJob:
        return ValidationJob(
            source.section.name,
            source.module,
            source.section.settings,
            source.budget,
            source.seed,
            self._environment.settings,
        )

    def _create_runners(
        self, sources: dict[int, PluginSource], unchanged: dict[int, PluginRunner]
    ) -> list[PluginRunner]:
        runners: list[PluginRunner] = []
        for index, source in sources.items():
            with self._collect_problems(index):
                runner = unchanged.get(index)
                runners.append(runner if runner is not None else self._create_runner(source))
        return runners

    def _create_runner(self, source: PluginSource) -> PluginRunner:
        """Create and validate a plug-in. Raises PluginSourceError."""
        section = source.section
        plugin = source.create_plugin()
        try:
            validate(plugin, self._environment.settings)
        except PluginError as err:
            plugin.close()
            key = "file" if section.file else "rules"
            reason = f"failed validation ({err})"
            remedy = "fix the plug-in or raise its budget"
            raise PluginSourceError(key, section.file or None, reason, remedy) from err
        return PluginRunner(section.name, plugin, source.budget, source.digest, time.monotonic())


def _check_name(name: str, index: int, names: set[str]) -> None:
    """Raise PluginSourceError if the name is already used, or if there are too many plug-ins."""
    if name in names:
        raise PluginSourceError("name", name, "is used by another plug-in", "use a unique name")
    if index >= MAX_PLUGINS:
        raise PluginSourceError("name", name, f"more than {MAX_PLUGINS} plug-ins", "use fewer")
