"""Plug-ins: rules and WebAssembly modules that operators write.

They run within budgets, and what they propose takes effect only as far as the gateway's rules allow.
"""
