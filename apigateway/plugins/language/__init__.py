"""Expressions that operators write in settings, compiled to closures that take a RequestView.

The syntax is a subset of CEL. Expressions have no loops and cannot call each other, so each evaluation takes
at most as many steps as the expression has nodes. `lexer` and `parser` build a tree of `nodes`; `compiler`
type-checks each node and compiles it to a closure, using `operators`, `lookups` and `functions`.
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
