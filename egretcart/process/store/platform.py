"""What the project asks of the platform's key-value service."""

from collections.abc import Callable
import dataclasses
from typing import Protocol

from egretcart.request.verdict import Verdict


class PlatformError(Exception):
    """The platform's service gave no usable answer.

    Attributes
    ----------
    verdict : Verdict
        Whether the call may have taken effect.
    """

    def __init__(
        self, reason: str, verdict: Verdict = Verdict.MAY_HAVE_RUN
    ) -> None:
        super().__init__(reason)
        self.verdict = verdict


class PlatformRefusal(PlatformError):
    """The platform's service answered that it does not do that."""


@dataclasses.dataclass(frozen=True, slots=True)
class StoredValue:
    """A value and the revision of its last change."""

    data: bytes
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class Listing:
    """The values of a range of keys.

    Attributes
    ----------
    values : dict of str to StoredValue
    revision : int
        Revision of the store that the listing shows.
    """

    values: dict[str, StoredValue]
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """A change that a watch reports; no data means that the key is gone."""

    key: str
    value: StoredValue | None


@dataclasses.dataclass(frozen=True, slots=True)
class KeyRange:
    """Keys from `start` up to, and without, `end`."""

    start: str
    end: str


def prefix_range(prefix: str) -> KeyRange:
    """Return the range of all keys that begin with a prefix."""
    return KeyRange(prefix, prefix[:-1] + chr(ord(prefix[-1]) + 1))


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Put:
    """A write; with a lease, the key goes when the lease lapses."""

    key: str
    data: bytes
    lease: int = 0


class Platform(Protocol):
    """What the project asks of a key-value service.

    Every method raises `PlatformError` if the service gives no answer.
    """

    async def get(self, key: str) -> StoredValue | None:
        """Return a value, or None if the key does not exist."""

    async def list_range(self, keys: KeyRange) -> Listing:
        """Return all values of a range of keys."""

    async def compare_and_swap(
        self, key: str, data: bytes, revision: int
    ) -> bool:
        """Write a value if its revision is still the given one.

        A revision of 0 means that the key does not exist.
        """

    async def transact(
        self,
        revisions: dict[str, int],
        puts: tuple[Put, ...],
        deletes: tuple[KeyRange, ...] = (),
    ) -> bool:
        """Write and delete at once if the given revisions still hold.

        No key may be written and deleted by the same transaction.
        """

    async def grant_lease(self, time_to_live_s: int) -> int:
        """Return the identifier of a new lease."""

    async def keep_alive(self, lease: int) -> bool:
        """Renew a lease; return False if it has lapsed."""

    async def revoke_lease(self, lease: int) -> None:
        """End a lease and remove its keys."""

    async def watch(
        self,
        keys: KeyRange,
        revision: int,
        handle: Callable[[Change], None],
    ) -> None:
        """Hand over changes from a revision on until cancelled."""
