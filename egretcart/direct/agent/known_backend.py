"""The backend server of an agent, as far as it is known. Free of I/O."""

from egretcart.direct.agent.agent_types import DirectAgentLimits
from egretcart.direct.agent.agent_types import Run
from egretcart.direct.backend.backend import BackendReport
from egretcart.direct.backend.backend import PollRequest
from egretcart.direct.backend.backend import StartRequest
from egretcart.direct.backend.backend import StopRequest
from egretcart.direct.backend.health import BackendHealth
from egretcart.direct.backend.lease import BackendLease
from egretcart.direct.backend.suspicion import BackendSuspicion
from egretcart.direct.backend.suspicion import Suspicion
from egretcart.direct.backend.warmup import Warmup
from egretcart.direct.log.agent_decisions import BackendChanged
from egretcart.direct.log.agent_decisions import SUSPECT_STATE
from egretcart.direct.log.decisions import DecisionLog
from egretcart.direct.request.bounds import MAX_COUNTER
from egretcart.direct.request.job import TaskKey

MS_PER_S = 1000


class KnownBackend:
    """Newest report of a backend server, and the requests to it.

    Parameters
    ----------
    limits : DirectAgentLimits
    log : DecisionLog

    Attributes
    ----------
    report : BackendReport or None
        Newest report of the server's current incarnation; None while no
        server is known.
    candidate : BackendReport or None
        Report of another incarnation, while it is not known whether the
        server's current one has ended; None if there is none.
    candidate_at : float
        When it was received.
    newest_born_ms : int
        Start of the newest incarnation of the server that has listed its
        runs, in Unix milliseconds; 0 if none has.
    fencing_token : int
        Sent with each request; the server refuses a token that is lower
        than one that it has seen.
    acknowledged : int
        `EndedTask.number` of the last ended run that was processed; 0 for
        none.
    lease : BackendLease
        Lease under which the server runs tasks.
    health : BackendHealth
        Failures at the server's current incarnation.
    warmup : Warmup
        How long the server is cold, and the ratio of its run times to the
        callers' estimates.
    leaves_at : float or None
        Earliest time at which the server leaves; None unless it has said
        so.
    orphaned_runs : dict of TaskKey to int
        Run numbers of runs that the server lists and that the agent doesn't
        know; nothing is started while there are any.
    ready : bool
        Whether all runs of the server's current incarnation are known.
    lease_expired : bool
        Whether the lease has expired since the server's last listing.
    resumed_at : float
        When the last pause of the process was noticed; 0 if there was none.
    """

    def __init__(self, *, limits: DirectAgentLimits, log: DecisionLog) -> None:
        self.limits = limits
        self.log = log
        self.report: BackendReport | None = None
        self.candidate: BackendReport | None = None
        self.candidate_at = 0.0
        self.newest_born_ms = 0
        self.fencing_token = 0
        self.acknowledged = 0
        self.lease = BackendLease(limits=limits.lease)
        self.health = BackendHealth(limits=limits.health)
        self.suspicion = BackendSuspicion(limits=limits.suspicion)
        self.suspected = Suspicion.NONE
        self.warmup = Warmup(limits=limits.progress)
        self.leaves_at: float | None = None
        self.orphaned_runs: dict[TaskKey, int] = {}
        self.ready = False
        self.lease_expired = False
        self.resumed_at = 0.0

    def apply_report(self, report: BackendReport, now: float) -> None:
        """Apply the newest report of the current incarnation."""
        self.report = report
        self.lease.update_clock(report.clock_ms, now)
        self.warmup.update(report.cold_for_ms, now)
        self.leaves_at = (
            None
            if report.leaves_in_ms is None
            else now + report.leaves_in_ms / MS_PER_S
        )

    def leaves_in_ms(self, now: float) -> float | None:
        """Return the shortest time until it leaves; None if unknown."""
        if self.leaves_at is None:
            return None
        return max(0.0, (self.leaves_at - now) * MS_PER_S)

    def is_answering(self, now: float) -> bool:
        """Whether the server has answered lately."""
        return now - self.lease.answered_at <= self.limits.backend_timeout_s

    def may_get_tasks(self, now: float) -> bool:
        """Whether the server has answered lately and is not suspect."""
        return (
            self.is_answering(now)
            and self.suspicion.state(now) is Suspicion.NONE
        )

    def log_suspicion(self, now: float) -> bool:
        """Log whether the server is suspect; return whether that changed."""
        state = self.suspicion.state(now)
        if state is self.suspected:
            return False
        former, self.suspected = self.suspected, state
        if state is Suspicion.NONE:
            self.log_change("trusted", f"it was {former.value}", now)
        else:
            self.log_change(SUSPECT_STATE, state.value, now)
        return True

    def poll_request(self, now: float, *, wait_ms: int) -> PollRequest | None:
        """Return the next poll request; None if no server is known.

        A poll renews the lease and lists the runs. A server that has
        stopped answering is polled without renewal, so that its lease
        expires at a known time.
        """
        if self.report is None:
            return None
        # Requests that are not answered would only make the agent expect a
        # later end of the lease.
        is_silent = self.suspicion.state(now) is Suspicion.SILENT
        renews = (self.is_answering(now) and not is_silent) or not self.ready
        return PollRequest(
            lifetime=self.report.lifetime,
            fencing_token=self.fencing_token,
            acknowledged=self.acknowledged,
            deadline_ms=self.lease.next_deadline_ms(now) if renews else None,
            wait_ms=wait_ms if renews else 0,
        )

    def token_refused(
        self, token: int, now: float, *, clock_ms: int | None = None
    ) -> None:
        """Raise the fencing token after the server has seen a higher one.

        The server reports at most its clock, not the token that it has
        seen. A late request to a former incarnation may have carried a token
        far above that clock, so the agent's token is at least doubled.

        Requests overtake each other. A refusal of a token lower than the
        agent's present one does not show that the server refuses that one;
        raising it would make the server refuse starts that are on their way.

        Parameters
        ----------
        token : int
            The token that the server has refused.
        now : float
        clock_ms : int or None, optional
            The server's clock, in milliseconds, if it reported it.
        """
        if clock_ms is not None:
            self.lease.update_clock(clock_ms, now)
        if token >= self.fencing_token:
            self._raise_fencing_token(max(2 * token, clock_ms or 0))

    def _raise_fencing_token(self, token: int) -> None:
        """Raise the fencing token, up to a bound.

        A server that refuses any token would otherwise double it without end.
        """
        self.fencing_token = min(token, MAX_COUNTER)

    def log_change(self, state: str, cause: str, now: float) -> None:
        """Log a change of the server's state and what it rests on."""
        self.log.write(
            BackendChanged(
                instance=self.report.lifetime.instance if self.report else "",
                state=state,
                cause=cause,
                answer_age_ms=round((now - self.lease.answered_at) * 1000),
                labels=self.report.labels if self.report else (),
                service=self.report.service if self.report else "",
            )
        )

    def begin_incarnation(self, report: BackendReport, now: float) -> None:
        """Record that another incarnation of the server has reported."""
        self.orphaned_runs.clear()
        self.report = report
        # The server's clock rises throughout its incarnation, so that each
        # incarnation of the agent has a higher token than the one before.
        # Late requests to a former incarnation of the instance are refused.
        self._raise_fencing_token(max(self.fencing_token + 1, report.clock_ms))
        self.acknowledged = 0
        self.ready = False
        self.lease_expired = False
        self.lease.restart(report.clock_ms, now)
        self.health = BackendHealth(limits=self.limits.health)
        self.suspicion = BackendSuspicion(limits=self.limits.suspicion)
        self.suspected = Suspicion.NONE
        self.warmup.end(now)
        self.log_change("found", "a new lifetime reports", now)

    def start_request(self, run: Run) -> StartRequest:
        """Return the request that starts a run."""
        assert self.report is not None
        return StartRequest(
            lifetime=self.report.lifetime,
            fencing_token=self.fencing_token,
            key=run.key,
            run=run.run,
            payload=run.payload,
            deadline_ms=run.start_deadline_ms,
        )

    def stop_request(self, key: TaskKey, run: int) -> StopRequest:
        """Return the request that stops a run."""
        assert self.report is not None
        return StopRequest(
            lifetime=self.report.lifetime,
            fencing_token=self.fencing_token,
            key=key,
            run=run,
        )
