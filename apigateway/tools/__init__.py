"""Command-line tools: demo, simulation experiments, load generator and plug-in tools."""
