"""Files of plug-ins: create them from a skeleton, assemble a module's text."""

from __future__ import annotations

import os
import re

from apigateway.tools.plugins.report import InvalidArgumentError
from apigateway.tools.plugins.skeletons import skeleton

_NAME = re.compile(r"[a-z][a-z0-9_-]{0,31}")


def create(name: str, kind: str, parent_folder: str) -> list[str]:
    """Write the files of a new plug-in and return their paths.

    Raises:
        InvalidArgumentError: the name is no plug-in's name.
        OSError: a file is there already, which is not written over, or cannot be written.
    """
    if not _NAME.fullmatch(name):
        raise InvalidArgumentError(
            f"{name!r}: a plug-in's name is small letters, digits, _ and -, 32 at most"
        )
    folder = os.path.join(parent_folder, name)
    os.makedirs(folder, exist_ok=True)
    paths = []
    for file_name, text in skeleton(name, kind).items():
        path = os.path.join(folder, file_name)
        with open(path, "x", encoding="utf-8") as file:
            file.write(text)
        paths.append(path)
    return paths


def assemble(path: str) -> str:
    """Assemble FILE.wat to FILE.wasm and return what was written.

    Raises:
        InvalidArgumentError: it is no module's text.
        OSError: a file cannot be read or written.
    """
    from apigateway.plugins.wasm import InvalidModuleError, assemble_module

    if not path.endswith(".wat"):
        raise InvalidArgumentError(f"{path}: name a .wat file")
    with open(path, "rb") as file:
        text = file.read()
    try:
        module = assemble_module(text)
    except InvalidModuleError as error:
        raise InvalidArgumentError(f"{path}: {error}") from error
    module_path = path.removesuffix(".wat") + ".wasm"
    with open(module_path, "wb") as file:
        file.write(module)
    return f"{module_path}: {len(module)} bytes"
