"""Answers of the JSON gateway of the etcd v3 API, as msgspec structs.

Only the fields that the client uses are declared. The gateway writes
64-bit numbers as strings and bytes in base64.
"""

from typing import Any
from typing import TypeVar

import msgspec

from egretcart.request.json_decoding import decode_json


class Header(msgspec.Struct, frozen=True):
    """Header of an answer, with the revision of the whole store."""

    revision: int


class Pair(msgspec.Struct, frozen=True):
    """A key with its value and the revision of its last change.

    The value is empty in the event of a deletion.
    """

    key: bytes
    mod_revision: int
    value: bytes = b""

    @property
    def key_text(self) -> str:
        """The key as text.

        Other users of the store may write keys that are not valid UTF-8:
        invalid bytes are replaced.
        """
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
    """Remaining time of a lease in seconds; 0 if it has expired."""

    time_to_live_s: int = msgspec.field(name="TTL", default=0)


class RenewalAnswer(msgspec.Struct, frozen=True):
    """Answer to the renewal of a lease."""

    result: Renewal = Renewal()


class RevocationAnswer(msgspec.Struct, frozen=True):
    """Answer to the revocation of a lease."""


class Event(msgspec.Struct, frozen=True):
    """A change that a watch reports; without a type, it is a write."""

    kv: Pair
    type: str = "PUT"


class WatchResult(msgspec.Struct, frozen=True):
    """Result in one line of a watch's response.

    Attributes
    ----------
    canceled : bool
        Whether the store has ended the watch.
    events : tuple of Event
        Changes since the previous line; may be empty.
    """

    canceled: bool = False
    events: tuple[Event, ...] = ()


class WatchLine(msgspec.Struct, frozen=True):
    """One line of a watch's response: a result or an error.

    Attributes
    ----------
    result : WatchResult
    error : Any
        The gateway's description of the error; None in a line with a
        result.
    """

    result: WatchResult = WatchResult()
    error: Any = None


A = TypeVar("A")


def decode_response(data: bytes, kind: type[A]) -> A:
    """Decode an answer of the gateway.

    Raises
    ------
    msgspec.DecodeError
        If the data is not an answer of this type.
    """
    return decode_json(data, kind, strict=False)
