"""Decides when to ask another entry for its configuration. Free of I/O.

Each entry receives each configuration from the store. One that the store does
not reach learns from heartbeats that another entry has a newer version, and
asks one entry at a time for it. Nothing is sent unasked: a large document
sent by all entries at once would fill the link of a small machine.
"""

from collections.abc import Callable
from collections.abc import Sequence

import msgspec


class ConfigurationPullLimits(msgspec.Struct, frozen=True, kw_only=True):
    """Times of requests to other entries.

    Attributes
    ----------
    store_lead_s : float
        Time for which a newer version is awaited from the store alone, in
        seconds: less than half of the time within which it must be active.
    first_store_lead_s : float
        The same while no configuration is active and nothing can be served.
    answer_timeout_s : float
        Time after which another entry is asked, in seconds.
    """

    store_lead_s: float = 0.4
    first_store_lead_s: float = 0.1
    answer_timeout_s: float = 1.5


class ConfigurationPull:
    """Tracks the versions of other entries and the open request.

    Parameters
    ----------
    limits : ConfigurationPullLimits
    choose : callable
        Chooses one of several entry ids.

    Attributes
    ----------
    versions : dict of str to int
        Version that each connected entry has reported last.
    newer_since : float or None
        When a version newer than the active one was first reported; None if
        none was.
    requested_at : float or None
        When the open request was sent; None if there is none.
    asked : str
        The entry that was asked last; empty if none was.
    """

    def __init__(
        self,
        *,
        limits: ConfigurationPullLimits,
        choose: Callable[[Sequence[str]], str],
    ) -> None:
        self.limits = limits
        self.choose = choose
        self.versions: dict[str, int] = {}
        self.newer_since: float | None = None
        self.requested_at: float | None = None
        self.asked = ""

    def record_version(self, entry_id: str, version: int) -> None:
        """Record the version that an entry has reported."""
        self.versions[entry_id] = version

    def remove_entry(self, entry_id: str) -> None:
        """Forget an entry that is no longer connected."""
        self.versions.pop(entry_id, None)
        if entry_id == self.asked:
            self.requested_at = None

    def find_entry_to_ask(self, active_version: int, now: float) -> str | None:
        """Return the entry to ask now, and record the request; or None."""
        newer = [
            entry_id
            for entry_id, version in self.versions.items()
            if version > active_version
        ]
        if not newer:
            self.newer_since = self.requested_at = None
            return None
        if self.newer_since is None:
            self.newer_since = now
        lead_s = (
            self.limits.store_lead_s
            if active_version
            else self.limits.first_store_lead_s
        )
        if now - self.newer_since < lead_s or self._is_awaiting(now):
            return None
        others = [entry_id for entry_id in newer if entry_id != self.asked]
        self.asked = self.choose(others or newer)
        self.requested_at = now
        return self.asked

    def _is_awaiting(self, now: float) -> bool:
        return (
            self.requested_at is not None
            and now - self.requested_at < self.limits.answer_timeout_s
        )
