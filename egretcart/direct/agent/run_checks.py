"""Periodic checks of an agent's runs. Free of I/O."""

from egretcart.direct.agent.agent_types import DirectAgentLimits
from egretcart.direct.agent.agent_types import Run
from egretcart.direct.agent.agent_types import RunPhase
from egretcart.direct.agent.entry_links import EntryLinks
from egretcart.direct.agent.known_backend import KnownBackend
from egretcart.direct.agent.run_queue import RunQueue
from egretcart.direct.connection.messages import TaskLate
from egretcart.direct.request.job import Ending


class RunChecks:
    """Ends runs that wait too long, and reports runs that are late.

    Parameters
    ----------
    limits : DirectAgentLimits
    backend : KnownBackend
    queue : RunQueue
    links : EntryLinks
    """

    def __init__(
        self,
        *,
        limits: DirectAgentLimits,
        backend: KnownBackend,
        queue: RunQueue,
        links: EntryLinks,
    ) -> None:
        self.limits = limits
        self.backend = backend
        self.queue = queue
        self.links = links

    def check(self, run: Run, now: float) -> None:
        """Handle what is due for a run."""
        if run.carried_until and now > run.carried_until:
            self.queue.end(run, Ending.LOST, "the server has ended", now)
            return
        if run.phase is RunPhase.QUEUED:
            if now - run.received_at > self.limits.max_queue_wait_s:
                self.queue.end(run, Ending.NOT_RUN, "no room came free", now)
            return
        if run.phase is RunPhase.STOPPING or (
            run.phase is RunPhase.UNCERTAIN and not run.is_start_pending
        ):
            self.queue.request_stop(run, now)
        elif run.phase is RunPhase.RUNNING:
            self._check_progress(run, now)

    def _check_progress(self, run: Run, now: float) -> None:
        report_interval_s = self.limits.progress.stall_s
        if (
            now - run.late_reported_at < report_interval_s
            or not self.backend.is_answering(now)
        ):
            return
        if run.progress.is_stalled(now):
            whole_ms = -1.0
            if run.progress.percent == 0:
                self.backend.health.record_failure(run.key.job_id, now)
        elif run.progress.is_late():
            whole_ms = run.progress.whole_ms() or 0.0
        else:
            return
        run.late_reported_at = now
        late = TaskLate(
            job_id=run.key.job_id,
            step=run.key.step,
            index=run.key.index,
            run=run.run,
            percent=round(run.progress.percent),
            whole_ms=round(whole_ms),
        )
        self.links.send(run.entry_id, late)
