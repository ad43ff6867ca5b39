"""Differences between two configuration documents, each with its path."""

from collections.abc import Iterable
from typing import Any

import msgspec

from egretcart.version.document import Configuration

VERSION_FIELD = "version"
NAME_FIELD = "name"


class Difference(msgspec.Struct, frozen=True, kw_only=True):
    """One value that differs.

    Attributes
    ----------
    path : str
        Path of the value, such as ``services[snapcheck].cells``.
    before, after : any JSON value
        The value in each document; None if it is missing there.
    """

    path: str
    before: Any = None
    after: Any = None

    def to_line(self) -> str:
        """Return the difference as a readable line."""
        before = msgspec.json.encode(self.before).decode()
        after = msgspec.json.encode(self.after).decode()
        if self.before is None:
            return f"+ {self.path}: {after}"
        if self.after is None:
            return f"- {self.path}: {before}"
        return f"~ {self.path}: {before} -> {after}"


def find_differences(
    before: Configuration, after: Configuration
) -> tuple[Difference, ...]:
    """Return the differences between two documents, except their versions.

    List items that have names are matched by name, whatever their order.

    Parameters
    ----------
    before, after : Configuration

    Returns
    -------
    tuple of Difference
        Sorted by path.
    """
    found = _compare("", _comparable_fields(before), _comparable_fields(after))
    return tuple(sorted(found, key=lambda difference: difference.path))


def shorten_differences(
    differences: tuple[Difference, ...], *, max_bytes: int
) -> tuple[tuple[Difference, ...], int]:
    """Omit the differences that exceed a size limit.

    Parameters
    ----------
    differences : tuple of Difference
    max_bytes : int
        Maximum total size of the kept differences as JSON, in bytes.

    Returns
    -------
    tuple of Difference
        The kept differences, in their original order.
    int
        Number of omitted differences.
    """
    kept = []
    remaining_bytes = max_bytes
    for difference in differences:
        size = len(msgspec.json.encode(difference))
        if size <= remaining_bytes:
            remaining_bytes -= size
            kept.append(difference)
    return tuple(kept), len(differences) - len(kept)


def is_same_content(one: Configuration, other: Configuration) -> bool:
    """Return whether two documents are equal, except their versions."""
    return not find_differences(one, other)


def _comparable_fields(document: Configuration) -> dict[str, Any]:
    values: dict[str, Any] = msgspec.to_builtins(document)
    del values[VERSION_FIELD]
    return values


def _compare(path: str, before: Any, after: Any) -> Iterable[Difference]:
    old, new = _by_name(before), _by_name(after)
    if old == new:
        return
    if not (isinstance(old, dict) and isinstance(new, dict)):
        yield Difference(path=path, before=before, after=after)
        return
    for key in sorted(old.keys() | new.keys()):
        child_path = _join(path, key)
        yield from _compare(child_path, old.get(key), new.get(key))


def _join(path: str, key: str) -> str:
    if not path or key.startswith("["):
        return path + key
    return f"{path}.{key}"


def _by_name(value: Any) -> Any:
    """Return a list of named items as a dict by name in square brackets.

    Such a key is one step of a path, as in ``services[snapcheck]``. Other
    values are returned unchanged, as are lists in which an item has no name
    or two items have the same name.
    """
    if not isinstance(value, list):
        return value
    names = [
        item.get(NAME_FIELD) if isinstance(item, dict) else None
        for item in value
    ]
    if None in names or len(set(names)) < len(names):
        return value
    if not names:
        return {}
    return {f"[{name}]": item for name, item in zip(names, value, strict=True)}
