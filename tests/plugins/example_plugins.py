"""Copies of the shipped example plug-ins, for tests."""

from local_deployment import ROOT

EXAMPLES = ROOT / "examples" / "plugins"
FORMS = ["wat", "rules"]


def copy_example(name, form, tmp_path, **changes):
    """Copy an example in its WebAssembly or its rules form, and return the copy's folder.

    `changes` replaces text in plugin.toml.
    """
    folder = tmp_path / f"{name}-{form}"
    folder.mkdir()
    for file in (EXAMPLES / name).iterdir():
        (folder / file.name).write_text(file.read_text())
    text = (folder / "plugin.toml").read_text()
    if form == "rules":
        text = text.replace(f"{name}.wat", "rules.toml")
    for old, new in changes.items():
        assert old in text
        text = text.replace(old, new)
    (folder / "plugin.toml").write_text(text)
    return folder
