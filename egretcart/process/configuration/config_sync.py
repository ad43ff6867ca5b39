"""Decision logic by which an entry obtains configuration versions.

This module does no I/O. Versions come from the platform's store and from
other entries. The heartbeats of entries and the heartbeat replies of agents
contain the sender's version, so that an entry with an older one notices it
and requests the document from other entries.
"""

from collections.abc import Iterable
import dataclasses

import msgspec

from egretcart.process.clock import Clock
from egretcart.request.json_decoding import decode_json
from egretcart.version.document import Configuration


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SyncLimits:
    """Time limits and bounds of one entry's synchronization.

    Attributes
    ----------
    settle_s : float
        Time after the start, in seconds, during which the entry waits for
        its peers' versions if the store does not answer.
    max_settle_s : float
        Time after the start, in seconds, up to which the entry waits for a
        store that has neither answered nor failed, or for the document of
        a newer version that is known to exist.
    request_interval_s : float
        Time between requests to peers while this entry is behind, in
        seconds.
    max_peers_asked : int
        Highest number of peers that are asked at a time.
    """

    settle_s: float = 0.5
    max_settle_s: float = 2.0
    request_interval_s: float = 0.2
    max_peers_asked: int = 3


class ConfigSync:
    """Chooses the configuration that one entry activates.

    Records the versions and documents that the entry receives.

    Parameters
    ----------
    limits : SyncLimits
    clock : Clock
    has_platform : bool
        Whether there is a store to read from.

    Attributes
    ----------
    started_at : float
        Monotonic time of the entry's start, in seconds.
    is_store_read_pending : bool
        Whether the first read of the store has neither been answered nor
        failed; False without a store.
    has_store_answered : bool
        Whether the store has answered a read.
    newest_document : Configuration
        Newest document that this entry has, active or not; of version 0
        if it has none.
    highest_known_version : int
        Highest version that any process or the store has reported.
    known_before_read : int
        `highest_known_version` when the latest read of the store began.
    stored_version : int
        Version that the store was last known to have; 0 for none.
    store_is_behind : bool
        Whether the store has lost versions that were accepted.
    has_activated : bool
        Whether a document has been returned for activation.
    next_request_at : float
        Monotonic time of the next request to peers, in seconds.
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
        """Whether a version newer than `newest_document` is known to exist."""
        return self.highest_known_version > self.newest_document.version

    @property
    def versions_behind(self) -> int:
        """Number of versions that the store is known to have lost."""
        if not self.store_is_behind:
            return 0
        return self.highest_known_version - self.stored_version

    def record_version(self, version: int) -> None:
        """Record a version that another process has reported."""
        self.highest_known_version = max(self.highest_known_version, version)

    def record_document(self, document: Configuration) -> None:
        """Record a document unless it is older than the newest one."""
        self.record_version(document.version)
        if document.version > self.newest_document.version:
            self.newest_document = document

    def platform_read_began(self) -> None:
        """Record that a read of the store, or a read and watch, has begun."""
        self.known_before_read = self.highest_known_version

    def platform_read(self, document: Configuration | None) -> None:
        """Record the document in the store; None if there is none.

        A version that was reported before the read began had been accepted
        by then: if the store returns an older one, it has lost that
        version. A version that was reported only since then may have been
        accepted after the read, and the watch may not have passed it on yet.
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
        """Record that the store gives no answer."""
        self.is_store_read_pending = False

    def active_document(self) -> Configuration | None:
        """Return the document to activate, or None while it must wait.

        After its start, a process waits, within the limits, for a version
        newer than the first that it finds: it must not serve a version that
        it could have known to be outdated.
        """
        if not self.has_activated and not self._may_activate():
            return None
        self.has_activated = True
        return self.newest_document

    def _may_activate(self) -> bool:
        """Return whether the wait before the first activation is over."""
        if self.newest_document.version == 0:
            return False
        age_s = self.clock.monotonic() - self.started_at
        if age_s >= self.limits.max_settle_s:
            return True
        # A store that has lost its newest data may be behind the peers, so
        # that its answer alone is not enough.
        if self.is_store_read_pending or self.is_behind:
            return False
        return self.has_store_answered or age_s >= self.limits.settle_s

    def peers_to_ask(self, versions: Iterable[tuple[str, int]]) -> list[str]:
        """Return the peers to ask for a newer document now.

        Parameters
        ----------
        versions : iterable of tuple of str and int
            Ids of the live peers, and the versions that they reported.

        Returns
        -------
        list of str
            Ids of the peers with the highest versions; none if this entry
            is not behind or the next request is not due.
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
    """Return a document in the form that is sent between processes."""
    return msgspec.json.encode(document)


def decode_document(data: bytes) -> Configuration | None:
    """Return a document that another process sent, or None if invalid.

    A process of a later release may use fields that this one does not
    know.
    """
    try:
        return decode_json(data, Configuration)
    except msgspec.DecodeError:
        return None
