"""Read TOML settings files into typed structs (msgspec) and report all problems of a file at once.

Each problem names the file, key, value, reason and remedy. The module is imported only where such a file is
read: a gateway that is configured by the platform does not need it.
"""

from __future__ import annotations

import copy
import difflib
import os
import re
import stat
import tomllib
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any, TypeVar, get_args, get_origin

import msgspec

MAX_FILE_BYTES = 1024 * 1024  # bounds the memory used if the path names a wrong, large file
MAX_VALUE_CHARACTERS = 60  # longer values are truncated in messages
MIN_KEY_SIMILARITY = 0.6  # difflib ratio from which a known key is suggested for an unknown one

# Keys whose values are never shown, because messages are logged.
SECRET_KEYS = frozenset({"password"})
# Credentials in a URL: `//user:password@`.
URL_CREDENTIALS = re.compile(r"//[^/@\s]*@")

# Descriptions for messages, by msgspec's names of types.
TYPE_DESCRIPTIONS = {
    "`float`": "a number",
    "`int`": "a whole number",
    "`str`": "text",
    "`bool`": "true or false",
    "`array`": "a list",
    "`object`": "a table",
}

Section = TypeVar("Section", bound=msgspec.Struct)
KeyPath = tuple[str | int, ...]  # names of tables and keys, indexes of list items


class ConfigSection(msgspec.Struct, forbid_unknown_fields=True, frozen=True, kw_only=True):
    """A table of a settings file."""


@dataclass(frozen=True, slots=True)
class ConfigProblem:
    """One problem in a settings file.

    Attributes:
        file: Path of the file.
        key: Path of the key, such as `plans.basic.rate`; empty if the problem concerns the whole file.
        value: Value as written in the file, truncated; empty if there is none.
        reason: What is wrong.
        remedy: How to fix it.
    """

    file: str
    key: str
    value: str
    reason: str
    remedy: str

    def __str__(self) -> str:
        value = f" = {self.value}" if self.value else ""
        location = f"{self.key}{value}: " if self.key else ""
        return f"{self.file}: {location}{self.reason}; {self.remedy}"


class InvalidConfigFileError(Exception):
    """A settings file is invalid; `problems` contains everything that was found."""

    def __init__(self, problems: Iterable[ConfigProblem]) -> None:
        self.problems = tuple(problems)
        super().__init__("\n".join(str(problem) for problem in self.problems))


def format_value(value: object) -> str:
    """Return a value for a message: on one line, truncated, without credentials."""
    text = URL_CREDENTIALS.sub("//(hidden)@", repr(value).replace("\n", " "))
    if len(text) <= MAX_VALUE_CHARACTERS:
        return text
    return text[: MAX_VALUE_CHARACTERS - 3] + "..."


def format_path(path: KeyPath) -> str:
    """Return a path as text, such as `listeners[1].address`."""
    text = ""
    for step in path:
        if isinstance(step, int):
            text += f"[{step}]"
        else:
            text += f".{step}" if text else step
    return text


def read_toml(path: str) -> dict[str, Any]:
    """Return the parsed content of a TOML file.

    Raises:
        InvalidConfigFileError: With one problem. The file is missing, not regular, too long or not TOML.
    """
    raw = _read_file(path)
    try:
        return tomllib.loads(raw.decode("utf-8"))
    except UnicodeDecodeError as err:
        raise _file_error(path, f"is not UTF-8 (byte {err.start})", "save it as UTF-8") from err
    except tomllib.TOMLDecodeError as err:
        raise _file_error(
            path, f"is not TOML: {err}", "fix the syntax error; a half written file causes it too"
        ) from err
    except RecursionError as err:
        raise _file_error(path, "is nested too deeply", "use fewer levels") from err


def _read_file(path: str) -> bytes:
    try:
        status = os.stat(path)
        if not stat.S_ISREG(status.st_mode):
            raise _file_error(path, "is not a regular file", "specify a TOML file")
        if status.st_size > MAX_FILE_BYTES:
            raise _file_error(
                path, f"has {status.st_size} bytes", f"at most {MAX_FILE_BYTES} are allowed; check the path"
            )
        with open(path, "rb") as file:
            return file.read(MAX_FILE_BYTES + 1)
    except OSError as err:
        raise _file_error(
            path, f"cannot be read ({err.strerror})", "check the path and its permissions"
        ) from err


def _file_error(path: str, reason: str, remedy: str) -> InvalidConfigFileError:
    return InvalidConfigFileError([ConfigProblem(path, "", "", reason, remedy)])


class ConfigReader:
    """Converts the content of a file to a struct and collects the problems.

    Attributes:
        file: Path of the file, for messages.
        problems: The problems found so far.
    """

    def __init__(self, file: str) -> None:
        self.file = file
        self.problems: list[ConfigProblem] = []
        self._invalid_paths: list[KeyPath] = []  # paths of all problems
        self._malformed_paths: list[KeyPath] = []  # paths of keys that `read` found invalid

    def add_problem(self, path: KeyPath, value: object, reason: str, remedy: str) -> None:
        """Add a problem; `value` is not shown if it is None."""
        self._invalid_paths.append(path)
        if value is None:
            text = ""
        elif path and path[-1] in SECRET_KEYS:
            text = "(hidden)"
        else:
            text = format_value(value)
        self.problems.append(ConfigProblem(self.file, format_path(path), text, reason, remedy))

    def add_semantic_problem(self, path: KeyPath, value: object, reason: str, remedy: str) -> None:
        """Add a problem of keys that are well-formed, such as a conflict between several of them.

        It is skipped if the key or another key of its table is malformed, because that may be the cause.
        """
        table = path[:-1]
        for malformed in self._malformed_paths:
            if malformed == path or (table != () and malformed[:-1] == table):
                return
        self.add_problem(path, value, reason, remedy)

    def read(self, tree: dict[str, Any], section_type: type[Section]) -> Section | None:
        """Convert the content of a file and collect its problems.

        Returns:
            The struct, with defaults in place of invalid values; None if an invalid or missing value has no
            default.
        """
        self._check_section(tree, section_type, ())
        self._malformed_paths = list(self._invalid_paths)
        if self.problems:
            tree = copy.deepcopy(tree)
            for path in self._invalid_paths:
                _remove_key(tree, path)
        try:
            return msgspec.convert(tree, section_type)
        except msgspec.ValidationError:
            return None

    def _check_section(self, tree: object, section_type: type[msgspec.Struct], path: KeyPath) -> None:
        if not isinstance(tree, dict):
            self.add_problem(path, tree, "is not a table", f"write [{format_path(path)}] and its keys below")
            return
        fields = {field.encode_name: field for field in msgspec.structs.fields(section_type)}
        for name in tree.keys() - fields.keys():
            self.add_problem((*path, name), tree[name], "unknown key", _suggest_key(name, fields))
        for name, field in fields.items():
            if name in tree:
                self._check_value(tree[name], field, (*path, name))
            elif field.required:
                self.add_problem((*path, name), None, "is missing", f"add `{name} = ...`")

    def _check_value(self, value: object, field: msgspec.structs.FieldInfo, path: KeyPath) -> None:
        if _is_struct(field.type):
            self._check_section(value, field.type, path)
            return
        container = get_origin(field.type)
        item_type = get_args(field.type)[-1] if container in (list, dict) else None
        if container is list and _is_struct(item_type):
            self._check_list_of_sections(value, item_type, path)
        elif container is dict and _is_struct(item_type):
            self._check_table_of_sections(value, item_type, path)
        else:
            self._check_plain_value(value, field, path)

    def _check_plain_value(self, value: object, field: msgspec.structs.FieldInfo, path: KeyPath) -> None:
        try:
            msgspec.convert(value, field.type)
        except msgspec.ValidationError as err:
            reason = _describe_validation_error(err)
            has_default = field.default is not msgspec.NODEFAULT and field.default is not None
            remedy = f"its default is {format_value(field.default)}" if has_default else "correct the value"
            self.add_problem(path, value, reason, remedy)

    def _check_list_of_sections(self, value: object, item_type: Any, path: KeyPath) -> None:
        if not isinstance(value, list):
            self.add_problem(
                path, value, "is not a list of tables", f"write [[{format_path(path)}]] above each"
            )
            return
        for index, item in enumerate(value):
            self._check_section(item, item_type, (*path, index))

    def _check_table_of_sections(self, value: object, item_type: Any, path: KeyPath) -> None:
        if not isinstance(value, dict):
            self.add_problem(
                path, value, "is not a table of tables", f"write [{format_path(path)}.NAME] above each"
            )
            return
        for name, item in value.items():
            self._check_section(item, item_type, (*path, name))


def _is_struct(field_type: Any) -> bool:
    return isinstance(field_type, type) and issubclass(field_type, msgspec.Struct)


def _remove_key(tree: Any, path: KeyPath) -> None:
    for step in path[:-1]:
        tree = tree[step]
    if isinstance(tree, dict):
        tree.pop(path[-1], None)


def _suggest_key(name: object, known_names: Iterable[str]) -> str:
    similar = difflib.get_close_matches(str(name), known_names, 1, MIN_KEY_SIMILARITY)
    return f"did you mean `{similar[0]}`?" if similar else f"valid keys: {', '.join(known_names)}"


def _describe_validation_error(err: msgspec.ValidationError) -> str:
    reason = str(err).split(" - at ")[0]
    for name, description in TYPE_DESCRIPTIONS.items():
        reason = reason.replace(name, description)
    return reason[0].lower() + reason[1:]
