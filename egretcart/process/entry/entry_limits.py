"""Times and bounds of an entry."""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class EntryLimits:
    """Times and bounds of an entry.

    Attributes
    ----------
    beat_interval_s : float
        Time between heartbeats to entries that may lead the same cells.
    distant_beat_interval_s : float
        Time between heartbeats to all other entries.
    peer_timeout_s : float
        Time for a new peer's first heartbeat.
    settle_s : float
        Wait after the start before this entry takes a cell over.
    leaderless_limit_s : float
        Wait for a leader before a request is given up.
    leaderless_retry_s : float
        When a caller may come back after that.
    takeover_backoff_s : float
        Pause after a failed takeover.
    max_answer_bytes : int
        Answers kept for resubmissions.
    """

    beat_interval_s: float = 0.25
    distant_beat_interval_s: float = 5.0
    peer_timeout_s: float = 0.7
    settle_s: float = 0.5
    leaderless_limit_s: float = 3.0
    leaderless_retry_s: float = 1.0
    takeover_backoff_s: float = 0.2
    max_answer_bytes: int = 64 * 1024 * 1024
