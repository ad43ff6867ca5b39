"""Time limits and size bounds of the leadership of a cell."""

import dataclasses

MS_PER_S = 1000

# Lease of the agents on a leader's term, in seconds. A longer lease allows
# less frequent heartbeats, which cost less, but prolongs a takeover in which
# some agent does not answer.
LEASE_S = 2.4
# Time between two searches of a table for expired entries, in seconds. A
# search reads the whole table.
PRUNE_INTERVAL_S = 5.0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LeaderLimits:
    """Time limits and size bounds of a leadership.

    Attributes
    ----------
    lease_s : float
        Lease of the agents on the term, in seconds.
    clock_drift : float
        Largest relative difference between the rates of two monotonic
        clocks; 0.01 is one percent.
    heartbeat_interval_s : float
        Time between rounds while there is work, in seconds.
    idle_heartbeat_interval_s : float
        Time between rounds while there is no work, in seconds.
    fence_patience_s : float
        Least wait in a takeover, in seconds, for the members that have not
        replied, from the time at which a majority has.
    fence_limit_s : float
        Wait for a majority, in seconds. After it, a takeover or a term that
        cannot be confirmed ends.
    bootstrap_wait_s : float
        Wait for agents before the first roster of a cell is written, in
        seconds.
    member_grace_s : float
        Wait for a lost agent to reconnect before its attempts count as lost,
        in seconds.
    member_removal_s : float
        Absence after which a member is removed from the roster, in seconds.
    window_s : float
        Age up to which a job id may be submitted, in seconds.
    clock_skew_s : float
        Largest time, in seconds, by which one leader's clock may be ahead of
        another's. A job id may also be dated ahead of a leader's clock by as
        much.
    max_deadline_s : float
        Longest time limit of a job, in seconds.
    attempt_limit_s : float
        Time limit of one attempt at the backend server, in seconds.
    queue_depth : int
        Number of starts that may wait at an agent beyond its slots.
    max_answer_bytes : int
        Largest size of all results of one job, in bytes. They must fit into
        one frame.
    """

    lease_s: float = LEASE_S
    clock_drift: float = 0.01
    heartbeat_interval_s: float = 0.6
    idle_heartbeat_interval_s: float = 5.0
    fence_patience_s: float = 0.3
    fence_limit_s: float = 1.5
    bootstrap_wait_s: float = 0.3
    member_grace_s: float = 1.0
    member_removal_s: float = 60.0
    window_s: float = 300.0
    clock_skew_s: float = 1.0
    max_deadline_s: float = 120.0
    attempt_limit_s: float = 10.0
    queue_depth: int = 2
    max_answer_bytes: int = 16 * 1024 * 1024

    @property
    def takeover_wait_s(self) -> float:
        """Wait of a takeover with missing or restarted members, in seconds."""
        return self.lease_s * (1 + self.clock_drift)

    def attempt_over_s(self, limit_s: float) -> float:
        """Return the time after which a placed attempt has expired.

        A start may be in transit and wait for as long as the agent's lease
        lasts, and the agent's clock may be slow.

        Parameters
        ----------
        limit_s : float
            Time limit of the attempt, in seconds.

        Returns
        -------
        float
            Seconds from the placement, by the leader's clock.
        """
        return (self.lease_s + limit_s) * (1 + self.clock_drift)

    @property
    def memory_s(self) -> float:
        """Largest age of a job id that may still occur, in seconds.

        Older jobs are removed from memory.
        """
        return self.window_s + self.max_deadline_s + 2 * self.clock_skew_s

    @property
    def id_horizon_ms(self) -> int:
        """How far ahead of any clock an accepted id may be dated, in ms.

        A leader accepts ids dated up to `clock_skew_s` ahead of its own
        clock, which may itself be ahead of another clock by as much.
        """
        return int(2 * self.clock_skew_s * MS_PER_S)
