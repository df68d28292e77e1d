"""Schemas of the plug-in tables in a settings file and of rule files; nothing is loaded here.

docs/operate/plugins.md describes the keys of plug-ins, docs/operate/plugin-abi.md the keys of rules.
"""

from __future__ import annotations

from typing import Annotated, Any, Literal

import msgspec

from apigateway.config_validation import ConfigSection

PluginName = Annotated[str, msgspec.Meta(pattern=r"^[a-z][a-z0-9_-]{0,31}$")]
ExpressionText = Annotated[str, msgspec.Meta(min_length=1, max_length=2000)]


class RuleSection(ConfigSection, frozen=True, kw_only=True):
    """One rule; the values of all keys except `on` and `stop` are expressions."""

    on: Literal["request", "attempt", "answer", "tick"] = "request"
    when: ExpressionText = "true"
    tag: dict[str, ExpressionText] = {}
    refuse: ExpressionText = ""  # empty if not set
    route: ExpressionText = ""  # empty if not set
    count: dict[str, ExpressionText] = {}
    log: ExpressionText = ""  # empty if not set
    stop: bool = False  # later rules of this plug-in are skipped if this rule applies


class RuleFile(ConfigSection, frozen=True, kw_only=True):
    """A file with [[rules]]."""

    rules: list[RuleSection] = []


class BudgetSection(ConfigSection, frozen=True, kw_only=True):
    """[plugins.budget]: resource limits of one plug-in."""

    fuel: Annotated[int, msgspec.Meta(ge=1000, le=1_000_000_000)] = 200_000
    time_ms: Annotated[float, msgspec.Meta(ge=1, le=1000)] = 10.0
    memory_mb: Annotated[float, msgspec.Meta(ge=0.0625, le=1024)] = 4.0
    share: Annotated[float, msgspec.Meta(gt=0, le=1)] = 0.1
    span: Annotated[float, msgspec.Meta(gt=0, le=3600)] = 10.0
    key_bytes: Annotated[int, msgspec.Meta(ge=0, le=64 * 1024 * 1024)] = 65_536
    log_lines: Annotated[float, msgspec.Meta(ge=0, le=1000)] = 1.0
    failures: Annotated[int, msgspec.Meta(ge=1, le=1_000_000)] = 5
    rest: Annotated[float, msgspec.Meta(gt=0, le=3600)] = 5.0
    most_rest: Annotated[float, msgspec.Meta(gt=0, le=86_400)] = 300.0


class PluginSection(ConfigSection, frozen=True, kw_only=True):
    """An entry of [[plugins]], which has either a file or rules."""

    name: PluginName
    file: str = ""
    rules: list[RuleSection] = []
    past: Literal["skip", "refuse"] = "skip"
    settings: dict[str, Any] = {}
    budget: BudgetSection = BudgetSection()


class HooksSection(ConfigSection, frozen=True, kw_only=True):
    """[hooks]: settings that apply to all plug-ins together."""

    tick: Annotated[float, msgspec.Meta(gt=0, le=3600)] = 1.0
    time_ms: Annotated[float, msgspec.Meta(ge=1, le=1000)] = 20.0
    max_tags: Annotated[int, msgspec.Meta(ge=0, le=64)] = 8
    max_tag_bytes: Annotated[int, msgspec.Meta(ge=0, le=16_384)] = 512
    max_file_mb: Annotated[float, msgspec.Meta(gt=0, le=64)] = 4.0


class RecordsSection(ConfigSection, frozen=True, kw_only=True):
    """[records]: the file in which finished requests are recorded."""

    file: str = ""
    only: str = ""
    max_mb: Annotated[float, msgspec.Meta(gt=0, le=100_000)] = 100.0
    waiting: Annotated[int, msgspec.Meta(ge=1, le=1_000_000)] = 10_000
