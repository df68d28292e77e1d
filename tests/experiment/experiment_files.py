"""A small experiment file for the tests, and a helper that writes variants of it."""

SMALL_EXPERIMENT = """
name = "small"
seeds = [1, 2]
columns = ["in_aim", "p99_ms", "broken"]
[base]
gateways = 6
load = 0.4
length = 2.0
warm_up = 1.0
[base.machines]
count = 5
[sweep]
policy = ["module", "two:0.5"]
[[cases]]
name = "calm"
[[cases]]
name = "hang"
machines = { cores = 2 }
faults = [{ what = "hang", at = 0.5, part = 0.2 }]
"""


def write_experiment(path, text=SMALL_EXPERIMENT, *changes):
    """Write the text with the given replacements; return the path."""
    for old, new in changes:
        assert old in text
        text = text.replace(old, new)
    path.write_text(text)
    return str(path)
