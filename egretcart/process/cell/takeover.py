"""Takeover of a cell: when a new leader may begin to serve its jobs."""

import enum

from egretcart.connection.cell_types import UNKNOWN_MS
from egretcart.process.cell.limits import LeaderLimits
from egretcart.process.cell.quorum import Quorum
from egretcart.process.cell.roster_changes import RosterChanges
from egretcart.process.clock import Clock


class TakeoverStep(enum.Enum):
    """Next step of a takeover.

    `FENCE` and `WAIT` mean to wait. `BOOTSTRAP` and `RENEW` mean to write a
    roster: the cell's first one, or one that names the new incarnation of a
    restarted member. `NO_MAJORITY` and `ROSTER_FORGOTTEN` mean that the
    takeover has failed. `SERVE` means that it is complete.
    """

    FENCE = "wait for promises"
    BOOTSTRAP = "write the first roster"
    RENEW = "write the restarted members' incarnations into the roster"
    NO_MAJORITY = "no majority of the roster"
    ROSTER_FORGOTTEN = "too few members remember the roster"
    WAIT = "wait until the former term's leases have lapsed"
    SERVE = "serve"


class Takeover:
    """Decides when no start of a former term can be executed any more.

    Parameters
    ----------
    quorum : Quorum
    roster_changes : RosterChanges
    limits : LeaderLimits
    clock : Clock

    Attributes
    ----------
    started_at : float
        Monotonic time, in seconds, of the first fence.
    majority_at : float
        Monotonic time, in seconds, since which a majority has promised the
        term, counted from the newest promise of a restarted member;
        infinite without a majority.
    has_renewed_roster : bool
        Whether this takeover has requested to write a restarted member's
        new incarnation into the roster. The roster then no longer shows
        that this member has lost its former promises.
    newest_job_ms : dict of str to int
        Unix time of each agent's newest job, from its fence reply, in
        milliseconds; 0 if it has begun none, `UNKNOWN_MS` if it does not
        report it.
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
        self.has_renewed_roster = False
        self.newest_job_ms: dict[str, int] = {}

    def next_step(self, now: float) -> TakeoverStep:
        """Return the next step."""
        if self.quorum.roster.version == 0:
            has_waited = now >= self.started_at + self.limits.bootstrap_wait_s
            return TakeoverStep.BOOTSTRAP if has_waited else TakeoverStep.FENCE
        if self._is_complete_without_restart():
            return TakeoverStep.SERVE
        has_timed_out = now >= self.started_at + self.limits.fence_limit_s
        if not self.quorum.has_majority():
            self.majority_at = float("inf")
            return (
                TakeoverStep.NO_MAJORITY
                if has_timed_out
                else TakeoverStep.FENCE
            )
        self.majority_at = min(self.majority_at, now)
        # A restarted member may have promised a higher term before its
        # restart.
        restarted = self.quorum.restarted()
        self.majority_at = max(
            [self.majority_at, *(member.promised_at for member in restarted)]
        )
        if not self.quorum.has_unrestarted_majority():
            return (
                TakeoverStep.ROSTER_FORGOTTEN
                if has_timed_out
                else TakeoverStep.RENEW
            )
        wait_s = max(self.limits.takeover_wait_s, self.limits.fence_patience_s)
        is_wait_over = now >= self.majority_at + wait_s
        return TakeoverStep.SERVE if is_wait_over else TakeoverStep.WAIT

    def uncertain_before_ms(self) -> int:
        """Return the Unix time before which unknown jobs may have run.

        It is in milliseconds; 0 if there is no such job. Unknown jobs are
        those that no ledger reports.
        """
        if not self.quorum.is_complete():
            return self._newest_possible_id_ms()
        lost_before_times = [
            self.roster_changes.lost_incarnation_before_ms(member.agent_id)
            for member in self.quorum.restarted()
        ]
        return max([self.quorum.roster.lost_before_ms, *lost_before_times])

    def query_before_ms(self) -> int:
        """Return the Unix time before which a job needs a ledger query.

        It is in milliseconds. No agent knows a job made at or after it: once
        every member has promised the term, a former leader can begin no
        more jobs, and the members have reported their newest ones.
        """
        newest_ms = self.newest_job_ms.values()
        if self._is_complete_without_restart() and UNKNOWN_MS not in newest_ms:
            return max(newest_ms, default=0) + 1
        return self._newest_possible_id_ms()

    def _is_complete_without_restart(self) -> bool:
        """Return whether every member promised and none has restarted."""
        return (
            self.quorum.is_complete()
            and not self.quorum.restarted()
            and not self.has_renewed_roster
        )

    def _newest_possible_id_ms(self) -> int:
        """Return a Unix time before which every accepted job id is dated.

        It is in milliseconds and covers all ids that former leaders
        accepted.
        """
        return self.clock.unix_ms() + self.limits.id_horizon_ms
