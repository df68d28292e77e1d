"""Expressions that operators write in settings, compiled to closures over a request's view.

The syntax is a subset of CEL's. There are no loops and no calls of one expression by another, so each one
ends after at most as many steps as it has nodes. `lexer` and `parser` make a tree of `nodes`; `compiler`
gives each node a type and a closure, with the help of `operators`, `lookups` and `functions`.
"""

from apigateway.plugins.language.compiler import compile_expression
from apigateway.plugins.language.errors import EvaluationError, ExpressionError
from apigateway.plugins.language.values import Evaluator, Expression, Field, ValueType

__all__ = [
    "EvaluationError",
    "Evaluator",
    "Expression",
    "ExpressionError",
    "Field",
    "ValueType",
    "compile_expression",
]
