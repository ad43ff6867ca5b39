"""Decodes JSON that another process has sent or stored."""

from typing import TypeVar

import msgspec

T = TypeVar("T")


def decode_json(data: bytes, kind: type[T], *, strict: bool = True) -> T:
    """Return a JSON document as a value of a type.

    Parameters
    ----------
    data : bytes
    kind : type
    strict : bool, optional
        Whether numbers in strings are refused where numbers are expected.

    Raises
    ------
    msgspec.DecodeError
        If the document is not valid, or is nested too deeply.
    """
    try:
        return msgspec.json.decode(data, type=kind, strict=strict)
    except RecursionError as error:
        raise msgspec.DecodeError("JSON is nested too deeply") from error
