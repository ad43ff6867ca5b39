"""Periodic checks of an agent's runs. Free of I/O."""

import math

from egretcart.direct.agent.agent_types import DirectAgentLimits
from egretcart.direct.agent.agent_types import Run
from egretcart.direct.agent.agent_types import RunPhase
from egretcart.direct.agent.entry_links import EntryLinks
from egretcart.direct.agent.known_backend import KnownBackend
from egretcart.direct.agent.run_queue import RunQueue
from egretcart.direct.backend.suspicion import Suspicion
from egretcart.direct.connection.messages import TaskLate
from egretcart.direct.request.job import Ending


class RunChecks:
    """Ends runs that wait too long; reports late runs and threatened ones.

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
            self._check_leaving(run, now)
            self._check_progress(run, now)

    def _check_leaving(self, run: Run, now: float) -> None:
        """Report a run that its server's leaving is expected to cut off."""
        leaves_in_ms = self.backend.leaves_in_ms(now)
        if (
            not leaves_in_ms
            or now - run.leaving_reported_at
            < self.limits.leaving_report_interval_s
        ):
            return
        elapsed_ms = (now - run.progress.started_at) * 1000
        remaining_ms = run.progress.least_remaining_ms(now)
        if remaining_ms is None:
            remaining_ms = self._estimated_remaining_ms(run, elapsed_ms, now)
        if remaining_ms <= leaves_in_ms:
            return
        run.leaving_reported_at = now
        whole_ms = elapsed_ms + remaining_ms
        late = TaskLate(
            job_id=run.key.job_id,
            step=run.key.step,
            index=run.key.index,
            run=run.run,
            percent=math.ceil(100 * elapsed_ms / whole_ms),
            whole_ms=round(whole_ms),
            leaves_in_ms=math.ceil(leaves_in_ms),
        )
        self.links.send(run.entry_id, late)

    def _estimated_remaining_ms(
        self, run: Run, elapsed_ms: float, now: float
    ) -> float:
        """Return the shortest rest of a run that has hardly progressed."""
        slowdown = self.backend.warmup.slowdown_percent(now) / 100
        whole_ms = run.estimate_ms * slowdown
        return whole_ms / self.limits.progress.estimate_doubt - elapsed_ms

    def _check_progress(self, run: Run, now: float) -> None:
        report_interval_s = self.limits.progress.stall_s
        if (
            now - run.late_reported_at < report_interval_s
            or not self.backend.is_answering(now)
        ):
            return
        stands_still = self.backend.suspected is Suspicion.STALLED
        if stands_still or run.progress.is_stalled(now):
            whole_ms = -1.0
            if stands_still or run.progress.percent == 0:
                self.backend.health.record_failure(
                    run.key.job_id, now, run.progress.started_at
                )
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
