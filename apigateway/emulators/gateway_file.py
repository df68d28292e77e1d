"""The settings file of a gateway in an emulated installation, as an operator would write it."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

from apigateway.emulators.fleet_settings import ClassSettings, FleetSettings, PlanSettings

MAX_ATTEMPTS = 6
DOMAIN = "roster"  # of the rate limit service, and the hosts' application at the registry


@dataclass(frozen=True, slots=True)
class GatewayFile:
    """The values of a gateway's settings file.

    Attributes:
        port: The port for RESP2.
        rate_limit_port: The port of the rate limit service.
        source: Where the gateway reads its hosts from: "discovery" or "eureka".
        poll_s: The poll period at the registry.
    """

    settings: FleetSettings
    folder: Path
    name: str
    number: int
    zone: str
    port: int
    rate_limit_port: int
    source: str
    discovery_port: int
    registry_url: str
    poll_s: float
    counter_port: int

    def text(self) -> str:
        """Return the file's text."""
        tables = self._tables()
        for name, keys in self.settings.extra_keys.items():
            tables[name] = tables.get(name, "") + "\n" + keys
        return (
            self._listeners()
            + "".join(f"[{name}]\n{keys}\n" for name, keys in tables.items())
            + self.settings.plugins_toml
            + self._records()
            + self._ratelimit_rules()
        )

    def _listeners(self) -> str:
        text = f'[[listeners]]\naddress = "127.0.0.1:{self.port}"\n'
        if self.settings.check_class:
            text += f'[[listeners]]\nprotocol = "grpc"\naddress = "127.0.0.1:{self.rate_limit_port}"\n'
        return text

    def _tables(self) -> dict[str, str]:
        """Return the text of each table's keys, by the table's name."""
        settings = self.settings
        tables = {
            "gateway": f'name = "{self.name}"\nindex = {self.number}\ngateways = {settings.gateways}\n'
            f'zone = "{self.zone}"\nseed = {self.number + 1}',
            "limits": f"max_attempts = {MAX_ATTEMPTS}",
            "rules": f"drain_grace = {settings.drain_grace}\ncold_share = {settings.cold_share}\n"
            f"cold_time = {settings.cold_time}",
            "hosts": f'source = "{self.source}"\ndiscovery = "127.0.0.1:{self.discovery_port}"\n'
            'reports = ["inflight", "queue", "util"]',
            "eureka": f'urls = ["{self.registry_url}"]\nname = "{DOMAIN}"\npoll = {self.poll_s}\n'
            f'user = "{self.name}"\npassword = "none"',
            "counter": f'address = "127.0.0.1:{self.counter_port}"',
            "daemon": f'state = "{self.folder / self.name}"',
        }
        for name, cls in settings.classes.items():
            tables[f"classes.{name}"] = _class_keys(cls)
        for name, plan in settings.plans.items():
            tables[f"plans.{name}"] = _plan_keys(plan, settings.ceiling_slack)
        return tables

    def _records(self) -> str:
        return f'[records]\nfile = "{self.name}.records"\n' if self.settings.plugins_toml else ""

    def _ratelimit_rules(self) -> str:
        if not self.settings.check_class:
            return ""
        return (
            f'[[ratelimit.rules]]\ndomain = "{DOMAIN}"\nentries = ["customer", "plan"]\n'
            f'customer = "{{customer}}"\nplan = "{{plan}}"\nclass = "{self.settings.check_class}"\n'
        )


def _class_keys(cls: ClassSettings) -> str:
    keys = (
        f'effect = "{cls.effect}"\naim = {cls.latency_objective_s}\n'
        f"deadline = {cls.deadline_s}\nworth = {cls.priority_weight}\n"
    )
    if cls.effect == "keyed":
        keys += f'scope = "{cls.deduplication_scope}"\nmemory = {cls.deduplication_window_s}'
    return keys


def _plan_keys(plan: PlanSettings, ceiling_slack: float) -> str:
    return (
        f"rate = {plan.rate}\nburst = {plan.burst}\nprice = {plan.price}\n"
        f"ceiling_rate = {plan.ceiling_rate}\nceiling_burst = {plan.ceiling_burst}\n"
        f"ceiling_slack = {ceiling_slack * plan.ceiling_burst}"
    )
