"""Creates the files of a plug-in from a skeleton, and assembles the text of a module."""

from __future__ import annotations

import os
import re

from apigateway.tools.plugins.report import InvalidArgumentError
from apigateway.tools.plugins.skeletons import skeleton

_NAME_PATTERN = re.compile(r"[a-z][a-z0-9_-]{0,31}")


def create(name: str, kind: str, parent_folder: str) -> list[str]:
    """Write the files of a new plug-in and return their paths.

    Raises:
        InvalidArgumentError: The name is not valid.
        OSError: A file exists already, which is not overwritten, or cannot be written.
    """
    if not _NAME_PATTERN.fullmatch(name):
        raise InvalidArgumentError(
            f"{name!r}: a plug-in's name is 1 to 32 lower-case letters, digits, _ or -, a letter first"
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
    """Assemble FILE.wat to FILE.wasm, and return the path and the size that were written.

    Raises:
        InvalidArgumentError: The file is not the text of a module.
        OSError: A file cannot be read or written.
    """
    from apigateway.plugins.wasm import InvalidModuleError, assemble_module

    if not path.endswith(".wat"):
        raise InvalidArgumentError(f"{path}: specify a .wat file")
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
