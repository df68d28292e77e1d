"""Test kit for authors of plug-ins: runs plug-ins as a gateway does, but without a gateway.

    kit = Kit.load("plugin.toml")
    result = kit.request(customer="00000000b4d65521", cls="read")
    assert result.tags == {"district": "ernakulam"} and result.refuse is None
    kit.close()

Plug-ins are loaded, validated and limited by their budgets as in a gateway, and their proposals are checked
in the same way. The test sets the time that plug-ins see, in `kit.now`.
"""

from apigateway.plugins.testkit.gateway_settings import CLASSES, PLANS, settings
from apigateway.plugins.testkit.kit import Kit, PluginFile, RequestResult, find_plugin_file, read_plugins
from apigateway.plugins.testkit.module_text import PRELUDE, module, says

__all__ = [
    "CLASSES",
    "PLANS",
    "PRELUDE",
    "Kit",
    "PluginFile",
    "RequestResult",
    "find_plugin_file",
    "module",
    "read_plugins",
    "says",
    "settings",
]
