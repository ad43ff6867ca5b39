"""When a cell that is being fenced may be served, and from which ids on."""

import enum

from egretcart.connection.messages import UNKNOWN_MS
from egretcart.process.cell.limits import LeaderLimits
from egretcart.process.cell.quorum import Quorum
from egretcart.process.cell.roster_changes import RosterChanges
from egretcart.process.clock import Clock


class TakeoverStep(enum.Enum):
    """What a takeover has to do next."""

    FENCE = "wait for promises"
    BOOTSTRAP = "write the first roster"
    RENEW = "write the restarted members' incarnations into the roster"
    NO_MAJORITY = "no majority of the roster"
    ROSTER_FORGOTTEN = "too few members remember the roster"
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
    has_renewed : bool
        Whether a promise was forgotten that the roster does not tell of.
    newest_job_ms : dict of str to int
        What each agent's fence reply says of its newest job.
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
        """Return what is to be done now."""
        if self.quorum.roster.version == 0:
            waited = now >= self.started_at + self.limits.bootstrap_wait_s
            return TakeoverStep.BOOTSTRAP if waited else TakeoverStep.FENCE
        if self._is_complete_without_restart():
            return TakeoverStep.SERVE
        over = now >= self.started_at + self.limits.fence_limit_s
        if not self.quorum.has_majority():
            self.majority_at = float("inf")
            return TakeoverStep.NO_MAJORITY if over else TakeoverStep.FENCE
        self.majority_at = min(self.majority_at, now)
        # A restarted member may have promised a higher term before.
        restarted = self.quorum.restarted()
        self.majority_at = max(
            [self.majority_at, *(member.promised_at for member in restarted)]
        )
        if not self.quorum.has_unrestarted_majority():
            return (
                TakeoverStep.ROSTER_FORGOTTEN if over else TakeoverStep.RENEW
            )
        wait_s = max(self.limits.takeover_wait_s, self.limits.fence_patience_s)
        is_over = now >= self.majority_at + wait_s
        return TakeoverStep.SERVE if is_over else TakeoverStep.WAIT

    def uncertain_before_ms(self) -> int:
        """Return the Unix time before which unknown jobs may have run."""
        if not self.quorum.is_complete():
            return self._newest_possible_id_ms()
        forgotten = [
            self.roster_changes.forgotten_before_ms(member.agent_id)
            for member in self.quorum.restarted()
        ]
        return max([self.quorum.roster.lost_before_ms, *forgotten])

    def query_before_ms(self) -> int:
        """Return the Unix time from which no agent can know a job.

        Once every member has promised the term, no job is begun by a former
        leader any more, and the members have told their newest ones.
        """
        newest_ms = self.newest_job_ms.values()
        if self._is_complete_without_restart() and UNKNOWN_MS not in newest_ms:
            return max(newest_ms, default=0) + 1
        return self._newest_possible_id_ms()

    def _is_complete_without_restart(self) -> bool:
        """Return whether every member promised and has forgotten nothing."""
        return (
            self.quorum.is_complete()
            and not self.quorum.restarted()
            and not self.has_renewed_roster
        )

    def _newest_possible_id_ms(self) -> int:
        """Return the Unix time before which a former leader took jobs."""
        return self.clock.unix_ms() + self.limits.id_horizon_ms
