"""Plug-ins: rules and WebAssembly modules that operators write.

Each plug-in has a budget. Its proposals take effect only as far as the gateway's rules allow.
"""
