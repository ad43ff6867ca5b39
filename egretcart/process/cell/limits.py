"""Times and bounds of a leadership."""

import dataclasses

MS_PER_S = 1000

# Lease of the agents on a leader's term, in seconds. A rarer heartbeat costs
# less; a longer lease prolongs a takeover that some agent does not answer.
LEASE_S = 2.4
# Time between two searches of a table for what has grown too old. A search
# reads the whole table.
PRUNE_INTERVAL_S = 5.0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LeaderLimits:
    """Times and bounds of a leadership.

    Attributes
    ----------
    lease_s : float
        Lease of the agents, in seconds.
    clock_drift : float
        Largest relative difference between two monotonic clocks.
    heartbeat_interval_s : float
        Time between rounds while there is work.
    idle_heartbeat_interval_s : float
        Time between rounds while there is none.
    fence_patience_s : float
        Wait for members that have not replied, once a majority has.
    fence_limit_s : float
        Wait for a majority.
    bootstrap_wait_s : float
        Wait for agents before the first roster of a cell is written.
    member_grace_s : float
        Wait for a lost agent to reconnect before its tasks are settled.
    member_removal_s : float
        Absence after which a member is removed from the roster.
    window_s : float
        Age up to which a job id may be submitted.
    clock_skew_s : float
    max_deadline_s : float
    attempt_limit_s : float
        Time limit of one attempt at the backend server.
    queue_depth : int
        Starts that may wait at an agent beyond its slots.
    max_answer_bytes : int
        Size of all results of one job. It has to fit a frame.
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
        """Wait after an incomplete takeover, in seconds."""
        return self.lease_s * (1 + self.clock_drift)

    def attempt_over_s(self, limit_s: float) -> float:
        """Return the time from placing an attempt to its end at the latest.

        A start may travel and wait for as long as the agent's lease lasts;
        the agent's clock may be slow.

        Parameters
        ----------
        limit_s : float
            Time limit of the attempt, in seconds.

        Returns
        -------
        float
        """
        return (self.lease_s + limit_s) * (1 + self.clock_drift)

    @property
    def memory_s(self) -> float:
        """Age up to which a job id may still be met, in seconds."""
        return self.window_s + self.max_deadline_s + 2 * self.clock_skew_s

    @property
    def id_horizon_ms(self) -> int:
        """How far ahead of any clock an accepted id may be dated.

        A leader accepts ids up to the skew ahead of its own clock, which
        may itself be ahead of another's by as much.
        """
        return int(2 * self.clock_skew_s * MS_PER_S)
