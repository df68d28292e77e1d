"""Fake plug-ins, and helpers that load plug-ins or run the dispatcher with them."""

from core.fakes import DispatcherHarness

from apigateway.plugins.chain_version import ChainVersion
from apigateway.plugins.interfaces import Budget, Phase, Proposal
from apigateway.plugins.loader import PluginEnvironment, load_chain
from apigateway.plugins.manager import PluginManager
from apigateway.plugins.proposals import ProposalLimits
from apigateway.plugins.runner import PluginRunner
from apigateway.plugins.settings import HooksSection, PluginSection
from apigateway.plugins.testkit import settings as gateway_settings

LIMITS = ProposalLimits(frozenset(["batch"]), 8, 512, 2.0)


class ScriptedPlugin:
    """A plug-in that returns or raises `response`, or the result of calling it with phase and view."""

    kind = "scripted"

    def __init__(self, response, phases=Phase, state=None):
        self.response = response
        self.phases = frozenset(phases)
        self.state = state
        self.calls = []
        self.closed = False

    def call(self, phase, view):
        assert not self.closed, "called after close"
        self.calls.append((phase, view.request_id, view.outcome))
        response = self.response(phase, view) if callable(self.response) else self.response
        if isinstance(response, Exception):
            raise response
        return response or []

    def save_state(self):
        if isinstance(self.state, Exception):
            raise self.state
        return self.state

    def load_state(self, state):
        if isinstance(self.state, Exception):
            raise self.state
        self.state = state
        return True

    def counters(self):
        return {}

    def status(self):
        return {}

    def close(self):
        assert not self.closed, "closed twice"
        self.closed = True


def make_runner(plugin, name="p", **budget):
    return PluginRunner(name, plugin, Budget(**budget), f"{id(plugin)}", 0.0)


def make_version(*runners, max_chain_time=5.0):
    return ChainVersion(list(runners), LIMITS, max_chain_time)


def make_harness(*runners, recorder=None, **kwargs):
    harness = DispatcherHarness(**kwargs)
    harness.core.plugins = harness.manager = PluginManager(
        make_version(*runners), lambda: 1000.0, harness.loop, 1.0, recorder
    )
    return harness


def propose_on_request(*proposals):
    return lambda phase, view: (
        [Proposal(*proposal) for proposal in proposals] if phase == Phase.REQUEST else []
    )


def plugin_section(name="p", **kwargs):
    return PluginSection(name=name, **kwargs)


def load(tmp_path, *sections, current=None):
    return load_chain(
        sections,
        HooksSection(),
        PluginEnvironment(str(tmp_path / "gateway.toml"), gateway_settings()),
        current,
    )
