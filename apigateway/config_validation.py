"""Files of settings, read by typed structs (msgspec), all faults of a file at once.

Each fault names file, key, value, reason and remedy. Imported only where such a file is read: the platform's
`run` does without.
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

MOST_BYTES = 1024 * 1024  # of a file: a wrong path must not fill the memory
MOST_SHOWN = 60  # characters of a value in a message

Made = TypeVar("Made", bound=msgspec.Struct)


class Part(msgspec.Struct, forbid_unknown_fields=True, frozen=True, kw_only=True):
    """A table of a settings file."""


@dataclass(frozen=True, slots=True)
class Fault:
    """`key` as a path, `plans.basic.rate`; empty where the file as a whole is at fault. `value` as
    written."""

    file: str
    key: str
    value: str
    reason: str
    remedy: str

    def __str__(self) -> str:
        at = self.key + f" = {self.value}" * bool(self.value) + ": " if self.key else ""
        return f"{self.file}: {at}{self.reason}; {self.remedy}"


class Faulty(Exception):
    """A file that cannot be used, with all that is wrong in it."""

    def __init__(self, faults: Iterable[Fault]) -> None:
        self.faults = tuple(faults)
        super().__init__("\n".join(str(fault) for fault in self.faults))


def shown(value: object) -> str:
    text = re.sub(r"//[^/@\s]*@", "//(hidden)@", repr(value).replace("\n", " "))  # credentials in an address
    return text if len(text) <= MOST_SHOWN else text[: MOST_SHOWN - 3] + "..."


def read_toml(path: str) -> dict[str, Any]:
    """Raises Faulty with one fault: what is no file, too long, not text or not TOML cannot be looked into."""

    def faulty(reason: str, remedy: str) -> Faulty:
        return Faulty([Fault(path, "", "", reason, remedy)])

    try:
        told = os.stat(path)
        if not stat.S_ISREG(told.st_mode):
            raise faulty("is no regular file", "name a TOML file")
        if told.st_size > MOST_BYTES:
            raise faulty(f"holds {told.st_size} bytes", f"{MOST_BYTES} at most; is it the right file?")
        with open(path, "rb") as file:
            raw = file.read(MOST_BYTES + 1)
    except OSError as err:
        raise faulty(f"cannot be read ({err.strerror})", "check the path and its rights") from err
    try:
        return tomllib.loads(raw.decode("utf-8"))
    except UnicodeDecodeError as err:
        raise faulty(f"is not UTF-8 (byte {err.start})", "save it as UTF-8") from err
    except tomllib.TOMLDecodeError as err:
        raise faulty(f"is not TOML: {err}", "mend it there; a file half written ends like that") from err
    except RecursionError as err:
        raise faulty("is nested too deep", "write it flat") from err


Path = tuple[str | int, ...]

IN_WORDS = {
    "`float`": "a number",
    "`int`": "a whole number",
    "`str`": "text",
    "`bool`": "true or false",
    "`array`": "a list",
    "`object`": "a table",
}


def written(path: Path) -> str:
    """As people write it: `listeners[1].address`."""
    text = ""
    for step in path:
        text += f"[{step}]" if isinstance(step, int) else f".{step}" if text else step
    return text


class Reader:
    """Walks a file's tree along a struct's fields and gathers what does not fit."""

    def __init__(self, file: str) -> None:
        self.file = file
        self.faults: list[Fault] = []
        self.paths: list[Path] = []  # of the keys at fault
        self.odd: list[Path] = []  # of those that are at fault by themselves

    def fault(self, path: Path, value: object, reason: str, remedy: str) -> None:
        self.paths.append(path)
        hidden = path[-1:] == ("password",)  # never in a log
        text = "" if value is None else "(hidden)" if hidden else shown(value)
        self.faults.append(Fault(self.file, written(path), text, reason, remedy))

    def contradiction(self, path: Path, value: object, reason: str, remedy: str) -> None:
        """What no single key shows; left out where the table has a fault already, which may be its cause."""
        if not any(bad == path or (bad[:-1] == path[:-1] != ()) for bad in self.odd):
            self.fault(path, value, reason, remedy)

    def read(self, tree: dict[str, Any], kind: type[Made]) -> Made | None:
        """The struct, without what is at fault, which has its default; None if it cannot be made without."""
        self.struct(tree, kind, ())
        self.odd = list(self.paths)
        if self.faults:
            tree = copy.deepcopy(tree)
            for path in self.paths:
                self.drop(tree, path)
        try:
            return msgspec.convert(tree, kind)
        except msgspec.ValidationError:
            return None

    @staticmethod
    def drop(tree: Any, path: Path) -> None:
        for step in path[:-1]:
            tree = tree[step]
        if isinstance(tree, dict):
            tree.pop(path[-1], None)

    def struct(self, tree: object, kind: type[msgspec.Struct], path: Path) -> None:
        if not isinstance(tree, dict):
            self.fault(path, tree, "is no table", f"write [{written(path)}] and its keys under it")
            return
        known = {field.encode_name: field for field in msgspec.structs.fields(kind)}
        for name in tree.keys() - known.keys():
            near = difflib.get_close_matches(str(name), known, 1, 0.6)
            self.fault(
                (*path, name),
                tree[name],
                "unknown key",
                f"did you mean `{near[0]}`?" if near else f"known here: {', '.join(known)}",
            )
        for name, field in known.items():
            if name in tree:
                self.value(tree[name], field.type, (*path, name), field)
            elif field.required:
                self.fault((*path, name), None, "is missing", f"add `{name} = ...`")

    def value(self, value: object, kind: Any, path: Path, field: Any) -> None:
        if isinstance(kind, type) and issubclass(kind, msgspec.Struct):
            self.struct(value, kind, path)
            return
        inner = get_args(kind)[-1] if get_origin(kind) in (list, dict) else None
        if isinstance(inner, type) and issubclass(inner, msgspec.Struct):
            self.many(value, get_origin(kind), inner, path)
            return
        try:
            msgspec.convert(value, kind)
        except msgspec.ValidationError as err:
            reason = str(err).split(" - at ")[0]
            for name, word in IN_WORDS.items():
                reason = reason.replace(name, word)
            default = None if field.default is msgspec.NODEFAULT else field.default
            remedy = "mend the value" if default is None else f"its default is {shown(default)}"
            self.fault(path, value, reason[0].lower() + reason[1:], remedy)

    def many(self, value: object, origin: Any, inner: type[msgspec.Struct], path: Path) -> None:
        if origin is list:
            if not isinstance(value, list):
                self.fault(path, value, "is no list of tables", f"write [[{written(path)}]] over each")
                return
            for number, item in enumerate(value):
                self.struct(item, inner, (*path, number))
        else:
            if not isinstance(value, dict):
                self.fault(path, value, "is no table of tables", f"write [{written(path)}.NAME] over each")
                return
            for name, item in value.items():
                self.struct(item, inner, (*path, name))
