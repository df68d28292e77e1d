"""Expressions that operators write in settings: parsed (`parser`), typed and compiled to closures
(`compiler`).

The syntax is a subset of CEL's. There are no loops and no calls of one expression by another, so each one
ends
after at most as many steps as it has nodes.
"""

from apigateway.plugins.language.compiler import Compiled, compile_text
from apigateway.plugins.language.parser import LanguageError

__all__ = ["Compiled", "LanguageError", "compile_text"]
