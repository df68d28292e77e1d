"""Reads the sources of a plug-in from settings and files, and creates the plug-in from them."""

from __future__ import annotations

import hashlib
import os
import stat
from collections.abc import Sequence
from dataclasses import dataclass

from apigateway.config_validation import ConfigProblem, ConfigReader, InvalidConfigFileError, read_toml
from apigateway.plugins.interfaces import Budget, BudgetPolicy, Plugin, PluginError
from apigateway.plugins.rules import InvalidRuleError, RulesPlugin
from apigateway.plugins.settings import PluginSection, RuleFile, RuleSection

BYTES_PER_MIB = 1024 * 1024

_RULES_SUFFIX = ".toml"
_MODULE_SUFFIXES = (".wasm", ".wat")
_MAX_VALUE_CHARACTERS = 60  # longer values are truncated in problems


class PluginSourceError(Exception):
    """A plug-in's settings or its file cannot be used.

    Attributes:
        key: Key in the plug-in's table, or in `file` if that is set.
        value: Value at fault; None if there is none.
        reason: What is wrong.
        remedy: How to fix it.
        file: Path of the file with the problem; empty if the problem is in the settings.
    """

    def __init__(self, key: str, value: object, reason: str, remedy: str, file: str = "") -> None:
        self.key = key
        self.value = value
        self.reason = reason
        self.remedy = remedy
        self.file = file
        super().__init__(reason)

    def to_problem(self, settings_path: str, index: int) -> ConfigProblem:
        """Return the problem for the operator; `index` is the plug-in's index in the settings."""
        key = self.key if self.file else f"plugins[{index}].{self.key}"
        value = "" if self.value is None else repr(self.value)[:_MAX_VALUE_CHARACTERS]
        return ConfigProblem(self.file or settings_path, key, value, self.reason, self.remedy)


@dataclass(slots=True)
class PluginSource:
    """The uncompiled source of a plug-in: rules or a module, with its settings and budget.

    Attributes:
        section: The plug-in's table in the settings.
        budget: Resource limits of the plug-in.
        module: Binary or text of the module; empty if there is none.
        rules: The rules; empty for a module.
        seed: Seed of the samples of rules and of the random numbers of modules.
        path: Path of the plug-in's file.
    """

    section: PluginSection
    budget: Budget
    module: bytes
    rules: Sequence[RuleSection]
    seed: int
    path: str

    @property
    def digest(self) -> str:
        """Hash of everything that the plug-in depends on; an unchanged plug-in keeps its digest."""
        settings = repr((self.section.settings, self.budget, self.rules, self.seed)).encode()
        return hashlib.sha256(self.module + b"\0" + settings).hexdigest()

    def create_plugin(self) -> Plugin:
        """Compile the plug-in. Raises PluginSourceError."""
        return self._create_rules_plugin() if self.rules else self._create_module_plugin()

    def _create_rules_plugin(self) -> Plugin:
        section = self.section
        try:
            return RulesPlugin(section.name, self.rules, section.settings, self.budget, self.seed)
        except InvalidRuleError as err:
            file = self.path if section.file else ""
            raise PluginSourceError(err.key, err.value, err.reason, "fix the rule", file) from err

    def _create_module_plugin(self) -> Plugin:
        from apigateway.plugins.wasm import InvalidModuleError, WasmPlugin

        section = self.section
        try:
            return WasmPlugin(section.name, self.module, section.settings, self.budget, self.seed)
        except InvalidModuleError as err:
            remedy = "run `api-gateway plugin check` for details"
            raise PluginSourceError("file", section.file, str(err), remedy) from err
        except PluginError as err:
            reason = f"failed to start ({err})"
            raise PluginSourceError("file", section.file, reason, "fix the module") from err


def read_source(section: PluginSection, folder: str, max_bytes: float, seed: int) -> PluginSource:
    """Read a plug-in's file, whose path is relative to `folder`.

    Raises PluginSourceError, or InvalidConfigFileError with the problems of a rule file.
    """
    if bool(section.file) == bool(section.rules):
        reason = "has both a file and rules" if section.file else "has neither a file nor rules"
        raise PluginSourceError("file", section.file or None, reason, "specify one of them")
    path = os.path.join(folder, section.file)
    module = b""
    rules = section.rules
    if section.file:
        module = _read_file(path, max_bytes)
        if section.file.endswith(_RULES_SUFFIX):
            rules = _read_rules(path)
            if not rules:
                raise PluginSourceError(
                    "file", section.file, "contains no rule", "write [[rules]] before each rule"
                )
        elif not section.file.endswith(_MODULE_SUFFIXES):
            reason = "is neither .wasm, .wat nor .toml"
            raise PluginSourceError("file", section.file, reason, "use the suffix of the file's format")
    return PluginSource(section, _build_budget(section), module, rules, seed, path)


def _read_file(path: str, max_bytes: float) -> bytes:
    try:
        status = os.stat(path)
        if not stat.S_ISREG(status.st_mode):
            raise PluginSourceError(
                "file", path, "is not a regular file", "specify a .wasm, .wat or .toml file"
            )
        if status.st_size > max_bytes:
            reason = f"has {status.st_size} bytes"
            raise PluginSourceError(
                "file", path, reason, f"at most {int(max_bytes)} are allowed (hooks.max_file_mb)"
            )
        with open(path, "rb") as file:
            return file.read(int(max_bytes) + 1)
    except OSError as err:
        reason = f"cannot be read ({err.strerror})"
        raise PluginSourceError("file", path, reason, "check the path and its permissions") from err


def _read_rules(path: str) -> list[RuleSection]:
    try:
        tree = read_toml(path)
        reader = ConfigReader(path)
        rule_file = reader.read(tree, RuleFile)
    except InvalidConfigFileError as err:
        raise PluginSourceError("file", path, str(err), "fix the rules") from err
    if reader.problems or rule_file is None:
        raise InvalidConfigFileError(reader.problems)
    return rule_file.rules


def _build_budget(section: PluginSection) -> Budget:
    budget = section.budget
    return Budget(
        fuel=budget.fuel,
        call_time=budget.time_ms / 1000,
        memory_bytes=int(budget.memory_mb * BYTES_PER_MIB),
        cpu_share=budget.share,
        cpu_share_window=budget.span,
        key_value_bytes=budget.key_bytes,
        log_lines=budget.log_lines,
        failure_threshold=budget.failures,
        open_time=budget.rest,
        max_open_time=max(budget.rest, budget.most_rest),
        when_exceeded=BudgetPolicy(section.past),
    )
