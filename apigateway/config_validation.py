"""Read TOML settings files into typed structs (msgspec) and report all problems of a file at once.

Each problem names the file, key, value, reason and remedy. Imported only where such a file is read: the
platform's `run` does without.
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

MAX_FILE_BYTES = 1024 * 1024  # a wrong path must not fill the memory
MAX_VALUE_CHARACTERS = 60  # of a value in a message
MIN_KEY_SIMILARITY = 0.6  # of a known key to an unknown one, to be suggested (difflib's ratio)

# Values under these keys are never shown, since messages go to the log.
SECRET_KEYS = frozenset({"password"})
# Credentials in an address: `//user:password@`.
CREDENTIALS = re.compile(r"//[^/@\s]*@")

# msgspec's names of types, as people say them.
TYPES_IN_WORDS = {
    "`float`": "a number",
    "`int`": "a whole number",
    "`str`": "text",
    "`bool`": "true or false",
    "`array`": "a list",
    "`object`": "a table",
}

Section = TypeVar("Section", bound=msgspec.Struct)
KeyPath = tuple[str | int, ...]  # names of tables and keys, numbers of list items


class ConfigSection(msgspec.Struct, forbid_unknown_fields=True, frozen=True, kw_only=True):
    """A table of a settings file."""


@dataclass(frozen=True, slots=True)
class ConfigProblem:
    """Something in a settings file that cannot be used.

    Attributes:
        file: Path of the file.
        key: As people write it, `plans.basic.rate`; empty where the file as a whole is concerned.
        value: As written in the file, shortened; empty if there is none.
        reason: What is wrong.
        remedy: What to do about it.
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
    """A settings file cannot be used; `problems` has all that is wrong in it."""

    def __init__(self, problems: Iterable[ConfigProblem]) -> None:
        self.problems = tuple(problems)
        super().__init__("\n".join(str(problem) for problem in self.problems))


def format_value(value: object) -> str:
    """Return a value for a message: on one line, shortened, without credentials."""
    text = CREDENTIALS.sub("//(hidden)@", repr(value).replace("\n", " "))
    if len(text) <= MAX_VALUE_CHARACTERS:
        return text
    return text[: MAX_VALUE_CHARACTERS - 3] + "..."


def format_path(path: KeyPath) -> str:
    """Return a path as people write it: `listeners[1].address`."""
    text = ""
    for step in path:
        if isinstance(step, int):
            text += f"[{step}]"
        else:
            text += f".{step}" if text else step
    return text


def read_toml(path: str) -> dict[str, Any]:
    """Return the file's tree of tables and values.

    Raises:
        InvalidConfigFileError: With one problem. It is no regular file, too long, not text or not TOML.
    """
    raw = _read_file(path)
    try:
        return tomllib.loads(raw.decode("utf-8"))
    except UnicodeDecodeError as err:
        raise _unusable(path, f"is not UTF-8 (byte {err.start})", "save it as UTF-8") from err
    except tomllib.TOMLDecodeError as err:
        raise _unusable(
            path, f"is not TOML: {err}", "mend it there; a file half written ends like that"
        ) from err
    except RecursionError as err:
        raise _unusable(path, "is nested too deep", "write it flat") from err


def _read_file(path: str) -> bytes:
    try:
        status = os.stat(path)
        if not stat.S_ISREG(status.st_mode):
            raise _unusable(path, "is no regular file", "name a TOML file")
        if status.st_size > MAX_FILE_BYTES:
            raise _unusable(
                path, f"holds {status.st_size} bytes", f"{MAX_FILE_BYTES} at most; is it the right file?"
            )
        with open(path, "rb") as file:
            return file.read(MAX_FILE_BYTES + 1)
    except OSError as err:
        raise _unusable(path, f"cannot be read ({err.strerror})", "check the path and its rights") from err


def _unusable(path: str, reason: str, remedy: str) -> InvalidConfigFileError:
    return InvalidConfigFileError([ConfigProblem(path, "", "", reason, remedy)])


class ConfigReader:
    """Converts a file's tree into a struct and collects everything that does not fit.

    Attributes:
        file: Path of the file, for messages.
        problems: What was found so far.
    """

    def __init__(self, file: str) -> None:
        self.file = file
        self.problems: list[ConfigProblem] = []
        self._invalid_paths: list[KeyPath] = []  # of all problems
        self._malformed_paths: list[KeyPath] = []  # of the keys that are wrong by themselves

    def add_problem(self, path: KeyPath, value: object, reason: str, remedy: str) -> None:
        """Add a problem; a `value` of None is not shown."""
        self._invalid_paths.append(path)
        if value is None:
            text = ""
        elif path and path[-1] in SECRET_KEYS:
            text = "(hidden)"
        else:
            text = format_value(value)
        self.problems.append(ConfigProblem(self.file, format_path(path), text, reason, remedy))

    def add_semantic_problem(self, path: KeyPath, value: object, reason: str, remedy: str) -> None:
        """Add a problem between several keys, each of which is well-formed.

        It is left out where the key or a neighbour in its table is malformed, which may be the cause.
        """
        table = path[:-1]
        for malformed in self._malformed_paths:
            if malformed == path or (table != () and malformed[:-1] == table):
                return
        self.add_problem(path, value, reason, remedy)

    def read(self, tree: dict[str, Any], section_type: type[Section]) -> Section | None:
        """Convert a tree and collect its problems.

        Returns:
            The struct, with the defaults in place of values that are wrong; None if a value that is wrong or
            missing has no default.
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
            self.add_problem(path, tree, "is no table", f"write [{format_path(path)}] and its keys under it")
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
            self._check_section_list(value, item_type, path)
        elif container is dict and _is_struct(item_type):
            self._check_section_table(value, item_type, path)
        else:
            self._check_plain_value(value, field, path)

    def _check_plain_value(self, value: object, field: msgspec.structs.FieldInfo, path: KeyPath) -> None:
        try:
            msgspec.convert(value, field.type)
        except msgspec.ValidationError as err:
            reason = _reason_in_words(err)
            has_default = field.default is not msgspec.NODEFAULT and field.default is not None
            remedy = f"its default is {format_value(field.default)}" if has_default else "mend the value"
            self.add_problem(path, value, reason, remedy)

    def _check_section_list(self, value: object, item_type: Any, path: KeyPath) -> None:
        if not isinstance(value, list):
            self.add_problem(path, value, "is no list of tables", f"write [[{format_path(path)}]] over each")
            return
        for number, item in enumerate(value):
            self._check_section(item, item_type, (*path, number))

    def _check_section_table(self, value: object, item_type: Any, path: KeyPath) -> None:
        if not isinstance(value, dict):
            self.add_problem(
                path, value, "is no table of tables", f"write [{format_path(path)}.NAME] over each"
            )
            return
        for name, item in value.items():
            self._check_section(item, item_type, (*path, name))


def _is_struct(kind: Any) -> bool:
    return isinstance(kind, type) and issubclass(kind, msgspec.Struct)


def _remove_key(tree: Any, path: KeyPath) -> None:
    for step in path[:-1]:
        tree = tree[step]
    if isinstance(tree, dict):
        tree.pop(path[-1], None)


def _suggest_key(name: object, known: Iterable[str]) -> str:
    similar = difflib.get_close_matches(str(name), known, 1, MIN_KEY_SIMILARITY)
    return f"did you mean `{similar[0]}`?" if similar else f"known here: {', '.join(known)}"


def _reason_in_words(err: msgspec.ValidationError) -> str:
    reason = str(err).split(" - at ")[0]
    for name, words in TYPES_IN_WORDS.items():
        reason = reason.replace(name, words)
    return reason[0].lower() + reason[1:]
