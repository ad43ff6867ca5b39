"""Time limits and size limits of an entry."""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class EntryLimits:
    """Time limits and size limits of an entry.

    Attributes
    ----------
    beat_interval_s : float
        Time in seconds between heartbeats to entries that may lead the same
        cells; see `Directory.frequent_heartbeat_peers`.
    distant_beat_interval_s : float
        Time in seconds between heartbeats to all other entries.
    peer_timeout_s : float
        Time in seconds within which a new peer must send its first
        heartbeat.
    settle_s : float
        Time in seconds after the start before this entry takes cells over.
    leaderless_limit_s : float
        Time in seconds that a request waits for a leader before it times
        out.
    leaderless_retry_s : float
        Time in seconds after which a caller may retry such a request, or
        one that the entry refused before it knew the configuration.
    takeover_backoff_s : float
        Time in seconds after a failed takeover, or after any other end of
        a leadership, before the entry takes the cell over again.
    max_answer_bytes : int
        Largest total size in bytes of the answers that are kept for
        resubmissions.
    """

    beat_interval_s: float = 0.25
    distant_beat_interval_s: float = 5.0
    peer_timeout_s: float = 0.7
    settle_s: float = 0.5
    leaderless_limit_s: float = 3.0
    leaderless_retry_s: float = 1.0
    takeover_backoff_s: float = 0.2
    max_answer_bytes: int = 64 * 1024 * 1024
