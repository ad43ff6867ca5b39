"""Decision logic of how an entry learns configuration versions.

Free of I/O. Versions come from the platform's store and from other
entries; every message between processes names the sender's version, so
that whoever is behind notices and asks.
"""

from collections.abc import Iterable
import dataclasses

import msgspec

from egretcart.process.clock import Clock
from egretcart.version.document import Configuration


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SyncLimits:
    """Times of the dissemination.

    Attributes
    ----------
    settle_s : float
        Time after the start in which peers are heard, if the store does
        not answer.
    max_settle_s : float
        Time after the start up to which a store that has neither
        answered nor failed, or a peer known to be ahead, is waited for.
    request_interval_s : float
        Time between requests to peers while this entry is behind.
    max_asked : int
        Peers asked at a time.
    """

    settle_s: float = 0.5
    max_settle_s: float = 2.0
    request_interval_s: float = 0.2
    max_peers_asked: int = 3


class ConfigSync:
    """What one entry knows of configuration versions.

    Parameters
    ----------
    limits : SyncLimits
    clock : Clock
    has_platform : bool
        Whether there is a store to hear from.

    Attributes
    ----------
    candidate : Configuration
        Newest document held, in force or not.
    highest_heard : int
        Highest version that any process has named.
    stored_version : int
        Version that the store was last seen to hold; 0 for none.
    store_is_behind : bool
        Whether the store has lost versions that were accepted.
    """

    def __init__(
        self, *, limits: SyncLimits, clock: Clock, has_platform: bool
    ) -> None:
        self.limits = limits
        self.clock = clock
        self.started_at = clock.monotonic()
        self.is_store_read_pending = has_platform
        self.has_store_answered = False
        self.newest_document = Configuration()
        self.highest_known_version = 0
        self.known_before_read = 0
        self.stored_version = 0
        self.store_is_behind = False
        self.has_activated = False
        self.next_request_at = float("-inf")

    @property
    def is_behind(self) -> bool:
        """Whether a newer version than the one held is known to exist."""
        return self.highest_known_version > self.newest_document.version

    @property
    def versions_behind(self) -> int:
        """Versions that the store has lost, as far as is known."""
        if not self.store_is_behind:
            return 0
        return self.highest_known_version - self.stored_version

    def record_version(self, version: int) -> None:
        """Take in the version that another process has named."""
        self.highest_known_version = max(self.highest_known_version, version)

    def record_document(self, document: Configuration) -> None:
        """Take in a document; an older one than held is dropped."""
        self.record_version(document.version)
        if document.version > self.newest_document.version:
            self.newest_document = document

    def platform_read_began(self) -> None:
        """Take in that the store is being read, or read and watched."""
        self.known_before_read = self.highest_known_version

    def platform_read(self, document: Configuration | None) -> None:
        """Take in the store's document; None if it holds none.

        A version that was named before the read began had been accepted
        by then: a store that shows an older one has lost it. A version
        named since may just not have been reported yet.
        """
        version = 0
        if document is not None:
            version = document.version
            self.record_document(document)
        self.stored_version = version
        if version >= self.highest_known_version:
            self.store_is_behind = False
        elif version < self.known_before_read:
            self.store_is_behind = True
        self.is_store_read_pending = False
        self.has_store_answered = True

    def platform_failed(self) -> None:
        """Take in that the store gives no answer."""
        self.is_store_read_pending = False

    def active_document(self) -> Configuration | None:
        """Return the document to put in force, or None while it waits.

        After its start a process waits for a newer version than the
        first it finds: it must not serve one that it could have known to
        be old.
        """
        if not self.has_activated and not self._may_activate():
            return None
        self.has_activated = True
        return self.newest_document

    def _may_activate(self) -> bool:
        if self.newest_document.version == 0:
            return False
        age_s = self.clock.monotonic() - self.started_at
        if age_s >= self.limits.max_settle_s:
            return True
        # A store that lost its newest data may be behind the peers.
        if self.is_store_read_pending or self.is_behind:
            return False
        return self.has_store_answered or age_s >= self.limits.settle_s

    def peers_to_ask(self, versions: Iterable[tuple[str, int]]) -> list[str]:
        """Return the peers to ask for a newer document now.

        Parameters
        ----------
        versions : iterable of tuple of str and int
            Live peers and the versions that they named.

        Returns
        -------
        list of str
        """
        now = self.clock.monotonic()
        if not self.is_behind or now < self.next_request_at:
            return []
        ranked = sorted(versions, key=lambda peer: peer[1], reverse=True)
        if not ranked:
            return []
        self.next_request_at = now + self.limits.request_interval_s
        return [peer for peer, _ in ranked[: self.limits.max_peers_asked]]


def encode_document(document: Configuration) -> bytes:
    """Return a document as it travels between processes."""
    return msgspec.json.encode(document)


def decode_document(data: bytes) -> Configuration | None:
    """Return a document that another process sent, or None.

    A process of a later release may use fields that this one lacks.
    """
    try:
        return msgspec.json.decode(data, type=Configuration)
    except msgspec.DecodeError:
        return None
