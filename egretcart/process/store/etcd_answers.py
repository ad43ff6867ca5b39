"""Answers of the JSON gateway of the etcd v3 API, as far as they are used.

The gateway writes 64-bit numbers as strings and bytes in base64.
"""

from typing import Any
from typing import TypeVar

import msgspec


class Header(msgspec.Struct, frozen=True):
    """What every answer carries."""

    revision: int


class Pair(msgspec.Struct, frozen=True):
    """A key with its value; a deletion has no value."""

    key: bytes
    mod_revision: int
    value: bytes = b""

    @property
    def key_text(self) -> str:
        """The key as text; keys of others may be none."""
        return self.key.decode(errors="replace")


class RangeAnswer(msgspec.Struct, frozen=True):
    """Answer to a range call."""

    header: Header
    kvs: tuple[Pair, ...] = ()


class TransactionAnswer(msgspec.Struct, frozen=True):
    """Answer to a transaction."""

    succeeded: bool = False


class GrantAnswer(msgspec.Struct, frozen=True):
    """Answer to the grant of a lease."""

    lease: int = msgspec.field(name="ID")


class Renewal(msgspec.Struct, frozen=True):
    """What is left of a lease; 0 if it has lapsed."""

    time_to_live_s: int = msgspec.field(name="TTL", default=0)


class RenewalAnswer(msgspec.Struct, frozen=True):
    """Answer to the renewal of a lease."""

    result: Renewal = Renewal()


class RevocationAnswer(msgspec.Struct, frozen=True):
    """Answer to the end of a lease."""


class Event(msgspec.Struct, frozen=True):
    """A change that a watch reports; no type means a write."""

    kv: Pair
    type: str = "PUT"


class WatchResult(msgspec.Struct, frozen=True):
    """Content of a line of a watch."""

    canceled: bool = False
    events: tuple[Event, ...] = ()


class WatchLine(msgspec.Struct, frozen=True):
    """One line of a watch."""

    result: WatchResult = WatchResult()
    error: Any = None


A = TypeVar("A")


def decode_response(data: bytes, kind: type[A]) -> A:
    """Decode an answer.

    Raises
    ------
    msgspec.DecodeError
        If it is no such answer.
    """
    return msgspec.json.decode(data, type=kind, strict=False)
