"""When a cell that is being fenced may be served, and from which ids on."""

import enum

from egretcart.process.clock import Clock
from egretcart.process.limits import LeaderLimits
from egretcart.process.quorum import Quorum
from egretcart.process.roster_changes import RosterChanges


class TakeoverStep(enum.Enum):
    """What a takeover has to do next."""

    FENCE = "wait for promises"
    BOOTSTRAP = "write the first roster"
    GIVE_UP = "no majority promises the term"
    WAIT = "wait until the former term's leases have lapsed"
    SERVE = "serve"


class Takeover:
    """Decides when no start of a former term can come any more.

    Parameters
    ----------
    quorum : Quorum
    roster_changes : RosterChanges
    limits : LeaderLimits
    clock : Clock

    Attributes
    ----------
    started_at : float
        Monotonic time of the first fence.
    majority_at : float
        Monotonic time from which a majority has promised the term.
    """

    def __init__(
        self,
        *,
        quorum: Quorum,
        roster_changes: RosterChanges,
        limits: LeaderLimits,
        clock: Clock,
    ) -> None:
        self.quorum = quorum
        self.roster_changes = roster_changes
        self.limits = limits
        self.clock = clock
        self.started_at = clock.monotonic()
        self.majority_at = float("inf")

    def next_step(self, now: float) -> TakeoverStep:
        """Return what is to be done now."""
        if self.quorum.roster.version == 0:
            waited = now >= self.started_at + self.limits.bootstrap_wait_s
            return TakeoverStep.BOOTSTRAP if waited else TakeoverStep.FENCE
        restarted = self.quorum.restarted()
        if self.quorum.is_complete() and not restarted:
            return TakeoverStep.SERVE
        if not self.quorum.has_majority():
            self.majority_at = float("inf")
            over = now >= self.started_at + self.limits.fence_limit_s
            return TakeoverStep.GIVE_UP if over else TakeoverStep.FENCE
        self.majority_at = min(self.majority_at, now)
        # A restarted member may have promised a higher term before.
        since = max(
            [self.majority_at, *(member.promised_at for member in restarted)]
        )
        wait_s = max(self.limits.takeover_wait_s, self.limits.fence_patience_s)
        is_over = now >= since + wait_s
        return TakeoverStep.SERVE if is_over else TakeoverStep.WAIT

    def barrier_ms(self) -> int:
        """Return the Unix time before which unknown jobs may have run."""
        if not self.quorum.is_complete() or self.quorum.may_be_stale():
            return self.horizon_ms()
        forgotten = [
            self.roster_changes.forgotten_before_ms(member.agent_id)
            for member in self.quorum.restarted()
        ]
        return max([self.quorum.roster.lost_before_ms, *forgotten])

    def horizon_ms(self) -> int:
        """Return the Unix time from which no former leader took jobs."""
        return self.clock.unix_ms() + self.limits.id_horizon_ms
