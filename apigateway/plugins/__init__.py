"""Plug-ins: what operators write themselves, within budgets, and what of it the rules allow."""
