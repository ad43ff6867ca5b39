"""Interface of the platform's key-value service, the store."""

from collections.abc import Callable
from typing import Protocol

import msgspec

from egretcart.request.verdict import Verdict


class PlatformError(Exception):
    """The store gave no usable answer.

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
    """The store answered with a refusal: it does not execute the call."""


class StoredValue(msgspec.Struct, frozen=True):
    """A value in the store.

    Attributes
    ----------
    data : bytes
    revision : int
        Revision of the store at the value's last change.
    """

    data: bytes
    revision: int


class Listing(msgspec.Struct, frozen=True):
    """The values of a range of keys.

    Attributes
    ----------
    values : dict of str to StoredValue
        Values by key.
    revision : int
        Revision of the store at which the range was read, or at which its
        reading began: a watch from the next one on misses no change.
    """

    values: dict[str, StoredValue]
    revision: int


class Change(msgspec.Struct, frozen=True):
    """A change that a watch reports.

    Attributes
    ----------
    key : str
    value : StoredValue or None
        None if the key was removed.
    revision : int
        Revision of the store at the change; 0 if the client does not
        report it.
    """

    key: str
    value: StoredValue | None
    revision: int = 0


class KeyRange(msgspec.Struct, frozen=True):
    """Keys from `start` up to, but not including, `end`."""

    start: str
    end: str


def prefix_range(prefix: str) -> KeyRange:
    """Return the range of all keys that begin with a prefix."""
    return KeyRange(prefix, prefix[:-1] + chr(ord(prefix[-1]) + 1))


class Put(msgspec.Struct, frozen=True, kw_only=True):
    """A write of a value.

    Attributes
    ----------
    key : str
    data : bytes
    lease : int
        Lease whose expiry removes the key; 0 for none.
    """

    key: str
    data: bytes
    lease: int = 0


class Platform(Protocol):
    """A client of a key-value service with leases and watches.

    Every method raises `PlatformError` if the service gives no usable
    answer.
    """

    async def get(self, key: str) -> StoredValue | None:
        """Return a value, or None if the key does not exist."""

    async def list_range(self, keys: KeyRange) -> Listing:
        """Return all values of a range of keys."""

    async def compare_and_swap(
        self, key: str, data: bytes, revision: int
    ) -> bool:
        """Write a value if its revision still equals the given one.

        A revision of 0 means that the key does not exist. Returns whether
        the value was written.
        """

    async def transact(
        self,
        revisions: dict[str, int],
        puts: tuple[Put, ...],
        deletes: tuple[KeyRange, ...] = (),
    ) -> bool:
        """Write and delete atomically if no given revision has changed.

        No key may be written and deleted by the same transaction.

        Parameters
        ----------
        revisions : dict of str to int
            Expected revisions by key; 0 means that the key does not exist.
        puts : tuple of Put
        deletes : tuple of KeyRange, optional

        Returns
        -------
        bool
            Whether the transaction was executed.
        """

    async def grant_lease(self, time_to_live_s: int) -> int:
        """Grant a lease of so many seconds; return its identifier."""

    async def keep_alive(self, lease: int) -> bool:
        """Renew a lease; return False if it has expired."""

    async def revoke_lease(self, lease: int) -> None:
        """Revoke a lease and remove its keys."""

    async def watch(
        self,
        keys: KeyRange,
        revision: int,
        handle: Callable[[Change], None],
    ) -> None:
        """Pass each change from a revision on to `handle` until cancelled.

        Raises
        ------
        PlatformError
            If the watch could not be opened or was interrupted.
        """
