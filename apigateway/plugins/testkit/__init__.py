"""For those who write plug-ins: what a gateway would make of one, without a gateway.

    kit = Kit.load("plugin.toml")
    result = kit.request(customer="00000000b4d65521", cls="read")
    assert result.tags == {"district": "ernakulam"} and result.refuse is None
    kit.close()

Plug-ins are loaded, validated and judged as a gateway does it, under their budgets. Time is the test's:
`kit.now`.
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
