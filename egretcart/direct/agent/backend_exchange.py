"""Handles what a backend server reports, lists and answers."""

from egretcart.direct.agent.agent_types import AgentEffect
from egretcart.direct.agent.agent_types import Run
from egretcart.direct.agent.agent_types import RunPhase
from egretcart.direct.agent.agent_types import SendStopRequest
from egretcart.direct.agent.job_evictions import JobEvictions
from egretcart.direct.agent.known_backend import KnownBackend
from egretcart.direct.agent.run_queue import RunQueue
from egretcart.direct.backend.backend import BackendIncarnation
from egretcart.direct.backend.backend import BackendReport
from egretcart.direct.backend.backend import Listing
from egretcart.direct.backend.backend import StartAnswer
from egretcart.direct.backend.backend import StartRequest
from egretcart.direct.backend.backend import StopRequest
from egretcart.direct.backend.suspicion import ObservedRun
from egretcart.direct.backend.suspicion import Suspicion
from egretcart.direct.log.agent_decisions import BackendCrashed
from egretcart.direct.log.agent_decisions import FOREIGN_REPORT_STATE
from egretcart.direct.log.agent_decisions import RunUnanswered
from egretcart.direct.log.decisions import DecisionLog
from egretcart.direct.policy.crashes import crash_weights
from egretcart.direct.policy.crashes import CrashedRun
from egretcart.direct.policy.crashes import OTHER_WEIGHT
from egretcart.direct.policy.crashes import RECENT_WEIGHT
from egretcart.direct.request.job import Ending
from egretcart.direct.request.job import TaskKey

# Runs that are named in the line about a crash, the last started first.
MAX_LOGGED_RUNS = 10


def _describe_run(run: Run, now: float) -> str:
    key = run.key
    age_ms = round((now - run.progress.started_at) * 1000)
    return (
        f"{key.job_id}.{key.step}.{key.index} run {run.run}, "
        f"{age_ms} ms, entry {run.entry_id}"
    )


class BackendExchange:
    """Applies a backend server's messages to the agent's runs.

    Free of I/O. Methods that return a bool say whether the message was of
    use: if not, nothing has changed.

    Parameters
    ----------
    backend : KnownBackend
    queue : RunQueue
    evictions : JobEvictions
    effects : list of AgentEffect
    log : DecisionLog
    """

    def __init__(
        self,
        *,
        backend: KnownBackend,
        queue: RunQueue,
        evictions: JobEvictions,
        effects: list[AgentEffect],
        log: DecisionLog,
    ) -> None:
        self.backend = backend
        self.queue = queue
        self.evictions = evictions
        self.effects = effects
        self.log = log

    def receive_report(self, report: BackendReport, now: float) -> bool:
        """Handle a report of the backend server."""
        current = self.backend.report
        was_draining = was_cold = False
        if report.lifetime.born_ms < self.backend.newest_born_ms:
            # The report was delayed, and its sender has ended meanwhile.
            return False
        if current is None or current.lifetime != report.lifetime:
            if current is not None and self.backend.is_answering(now):
                self._set_aside(report, now)
                return False
            self._begin_backend_incarnation(report, now)
        elif report.sequence < current.sequence:
            return False
        else:
            was_draining = current.draining
            was_cold = current.cold_for_ms > 0
            self._check_kind(current, report, now)
        self.backend.apply_report(report, now)
        if report.draining and not was_draining:
            self._begin_draining(now)
        if (report.cold_for_ms > 0) != was_cold:
            state = "warm" if was_cold else "cold"
            cause = f"cold for {report.cold_for_ms} ms more"
            self.backend.log_change(state, cause, now)
        return True

    def _set_aside(self, report: BackendReport, now: float) -> None:
        """Keep a report until a poll tells which incarnation is the server.

        It comes from a new incarnation, or from another writer, which must
        not end the runs of the server.
        """
        self.backend.candidate = report
        self.backend.candidate_at = now

    def _judge_candidate(self, asked_at: float, now: float) -> None:
        """Drop a report set aside, as the current incarnation has answered."""
        candidate = self.backend.candidate
        if candidate is None or asked_at < self.backend.candidate_at:
            return
        self.backend.candidate = None
        lifetime = candidate.lifetime
        self.backend.log_change(
            FOREIGN_REPORT_STATE,
            f'"{lifetime.instance}" of {candidate.service}, born '
            f"{lifetime.born_ms}, is not the server",
            now,
        )

    def _check_kind(
        self, former: BackendReport, report: BackendReport, now: float
    ) -> None:
        """Give queued runs back if the server is not what they were sent to.

        Its service and labels are checked only when tasks arrive.
        """
        kind = (report.service, report.labels)
        if kind != (former.service, former.labels):
            reason = "the backend server has another service or other labels"
            self.queue.reject_queued(reason, now)
            self.queue.links.notify_all()

    def _begin_draining(self, now: float) -> None:
        """Give queued runs back, and tell all entries at once."""
        self.backend.log_change("draining", "it said so", now)
        self.queue.reject_queued("the backend server is leaving", now)
        self.queue.links.notify_all()

    def _begin_backend_incarnation(
        self, report: BackendReport, now: float
    ) -> None:
        former = self.backend.report
        reused_name = (
            former is None
            or former.lifetime.instance == report.lifetime.instance
        )
        reason = "the backend server has started anew"
        if former is not None:
            self._record_crash(former, reason, now)
        self.queue.end_runs_of_incarnation(reason, now, carries=reused_name)
        self.backend.begin_incarnation(report, now)

    def _record_crash(
        self, report: BackendReport, cause: str, now: float
    ) -> None:
        """Record what an incarnation ran that has ended unannounced.

        Parameters
        ----------
        report : BackendReport
            Its last report.
        cause : str
        now : float
        """
        if report.draining or not self.backend.ready:
            # Nothing was started at an incarnation that has listed no runs;
            # it may not have been the server at all.
            return
        runs = self.queue.runs.occupying()
        runs.sort(key=lambda run: run.progress.started_at, reverse=True)
        answered_at = self.backend.lease.answered_at
        weights = crash_weights(
            [
                CrashedRun(
                    started_at=run.progress.started_at, score=run.crash_score
                )
                for run in runs
            ],
            answered_at,
            self.queue.limits.crashes,
        )
        for run, weight in zip(runs, weights, strict=True):
            run.crash_weight = weight
        self.log.write(
            BackendCrashed(
                instance=report.lifetime.instance,
                cause=cause,
                answer_age_ms=round((now - answered_at) * 1000),
                runs=len(runs),
                suspects=weights.count(RECENT_WEIGHT),
                last_started=tuple(
                    _describe_run(run, now) for run in runs[:MAX_LOGGED_RUNS]
                ),
            )
        )

    def mark_backend_ended(
        self,
        reason: str,
        now: float,
        *,
        is_refused: bool = False,
        is_announced: bool = False,
    ) -> bool:
        """Record that the known incarnation of the server has ended.

        Parameters
        ----------
        reason : str
        now : float
        is_refused : bool, optional
            Whether no server listens at the address now, so that all starts
            that were answered are over.
        is_announced : bool, optional
            Whether the server has said that it ends.
        """
        if self.backend.report is None:
            return False
        self.backend.log_change("gone", reason, now)
        if not is_announced:
            self._record_crash(self.backend.report, reason, now)
        self.backend.report = None
        self.backend.ready = False
        self.backend.orphaned_runs.clear()
        self.queue.end_runs_of_incarnation(
            reason, now, carries=True, answered_are_over=is_refused
        )
        candidate, self.backend.candidate = self.backend.candidate, None
        if candidate is not None:
            self.receive_report(candidate, now)
        return True

    def receive_listing(
        self,
        listing: Listing,
        lifetime: BackendIncarnation,
        asked_at: float,
        now: float,
    ) -> bool:
        """Handle a listing of the backend server.

        Parameters
        ----------
        listing : Listing
        lifetime : BackendIncarnation
            The incarnation to which the poll request was sent.
        asked_at, now : float
            When the request was sent and the answer was received.
        """
        if (
            self.backend.report is None
            or self.backend.report.lifetime != lifetime
        ):
            return False
        if asked_at < self.backend.resumed_at:
            # The answer may have been delayed while the process was
            # paused; its server may have ended and another incarnation
            # started meanwhile.
            return False
        if listing.born_ms != lifetime.born_ms:
            return self.mark_backend_ended("another lifetime answers", now)
        self._judge_candidate(asked_at, now)
        was_unresponsive = not self.backend.is_answering(now)
        self.backend.suspicion.record_answer(now)
        self.backend.lease.update_clock(listing.clock_ms, now)
        self.backend.lease_expired = False
        self._process_ended_runs(listing, now)
        self._process_running_runs(listing, asked_at, now)
        self.backend.newest_born_ms = max(
            self.backend.newest_born_ms, listing.born_ms
        )
        if not self.backend.ready and not self.backend.orphaned_runs:
            self.backend.ready = True
            self.evictions.mark_predecessor_ended()
            was_unresponsive = True
            # A report that was restored from the store has no clock value
            # from which to derive the token.
            self.backend.fencing_token = max(
                self.backend.fencing_token, listing.clock_ms
            )
        if was_unresponsive:
            self.backend.log_change("answering", "a listing came", now)
        self._judge_runs(now)
        return True

    def poll_failed(self, asked_at: float, now: float) -> bool:
        """Record that the server did not answer a poll.

        Parameters
        ----------
        asked_at, now : float
            When the request was sent and when it failed.

        Returns
        -------
        bool
            Whether it is suspect now, and was not before.
        """
        if (
            self.backend.report is None
            or not self.backend.ready
            or asked_at < self.backend.lease.answered_at
        ):
            return False
        self.backend.suspicion.record_failed_poll(now)
        return self._log_suspicion(now)

    def _judge_runs(self, now: float) -> None:
        """Judge the server by what its runs have done until this listing."""
        suspicion = self.backend.suspicion
        suspicion.record_runs(
            ObservedRun(
                job_id=run.key.job_id,
                age_s=now - run.progress.started_at,
                still_s=now
                - max(run.progress.last_progress_at, suspicion.worked_at),
                estimate_ms=run.estimate_ms,
            )
            for run in self.queue.runs
            if run.phase is RunPhase.RUNNING
        )
        self._log_suspicion(now)

    def _log_suspicion(self, now: float) -> bool:
        """Log a change; give queued runs back if the server is suspect."""
        if not self.backend.log_suspicion(now):
            return False
        if self.backend.suspected is not Suspicion.NONE:
            self.queue.reject_queued("the backend server is suspect", now)
        return True

    def _process_ended_runs(self, listing: Listing, now: float) -> None:
        for ended in listing.ended:
            if ended.number <= self.backend.acknowledged:
                continue
            self.backend.acknowledged = ended.number
            run = self.queue.runs.find(ended.key, ended.run)
            if ended.ending in (Ending.DONE, Ending.FAILED):
                self.backend.suspicion.worked_at = now
            if run is not None:
                self.queue.end(run, ended.ending, run.reason, now)
            if self.backend.orphaned_runs.get(ended.key) == ended.run:
                del self.backend.orphaned_runs[ended.key]

    def _process_running_runs(
        self, listing: Listing, asked_at: float, now: float
    ) -> None:
        found = {task.key: task for task in listing.running}
        for task in listing.running:
            run = self.queue.runs.find(task.key, task.run)
            if run is None:
                self.stop_orphaned(task.key, task.run)
                continue
            run.progress.record(task.percent, now)
            sampled_from = run.progress.sampled_at
            sample_run_time_ms = run.progress.sample_run_time_ms()
            if sample_run_time_ms is not None:
                self.backend.warmup.record(
                    run.key.job_id,
                    sample_run_time_ms,
                    run.estimate_ms,
                    since=sampled_from,
                    now=now,
                )
            run.is_listed = True
            run.carried_until = 0.0
            run.crash_weight = 0
            if run.phase is RunPhase.UNCERTAIN:
                run.phase = RunPhase.RUNNING
                run.answered_at = now
        for key in [
            key for key in self.backend.orphaned_runs if key not in found
        ]:
            del self.backend.orphaned_runs[key]
        for run in self.queue.runs:
            if run.key not in found:
                self._check_unlisted(run, listing, asked_at, now)

    def _check_unlisted(
        self, run: Run, listing: Listing, asked_at: float, now: float
    ) -> None:
        """End a run that the server does not list and can no longer start."""
        stopped = 0.0 < run.stop_answered_at < asked_at
        expired = listing.clock_ms > run.start_deadline_ms
        if run.is_start_pending or run.phase is RunPhase.QUEUED:
            return
        if run.carried_until:
            # The token of this incarnation is higher than that of the start
            # request, which is refused from now on.
            self.queue.end(run, Ending.LOST, "the server has ended", now)
        elif run.phase is RunPhase.UNCERTAIN and (stopped or expired):
            self.queue.end(
                run, Ending.NOT_RUN, "the order was not answered", now
            )
        elif run.phase is RunPhase.STOPPING and stopped:
            self.queue.end(run, Ending.STOPPED, run.reason, now)
        elif run.phase is RunPhase.RUNNING and run.answered_at < asked_at:
            self.queue.end(
                run, Ending.LOST, "the server lists it no more", now
            )

    def stop_orphaned(self, key: TaskKey, run: int) -> None:
        """Stop a run that is not in `runs`; its resources are not known."""
        self.backend.orphaned_runs[key] = run
        request = self.backend.stop_request(key, run)
        self.effects.append(SendStopRequest(request))

    def start_answered(
        self, request: StartRequest, answer: StartAnswer | None, now: float
    ) -> bool:
        """Handle the answer to a start request.

        Parameters
        ----------
        request : StartRequest
        answer : StartAnswer or None
            None if no answer was received.
        now : float
        """
        run = self.queue.runs.find(request.key, request.run)
        if run is None:
            return False
        run.is_start_pending = False
        if answer is None:
            self._log_unanswered(run, "start")
            if run.phase is RunPhase.STARTING:
                run.phase = RunPhase.UNCERTAIN
        elif answer is StartAnswer.STARTED:
            run.answered_at = now
            if run.phase is RunPhase.STARTING:
                run.phase = RunPhase.RUNNING
        else:
            self._handle_start_refusal(run, request, answer, now)
        return True

    def _handle_start_refusal(
        self,
        run: Run,
        request: StartRequest,
        answer: StartAnswer,
        now: float,
    ) -> None:
        if answer is StartAnswer.UNHEALTHY:
            self.backend.health.record_failure(run.key.job_id, now)
        if answer is StartAnswer.STALE_TOKEN:
            self.backend.token_refused(request.fencing_token, now)
        invalid = answer is StartAnswer.INVALID
        ending = Ending.INVALID if invalid else Ending.NOT_RUN
        self.queue.end(run, ending, answer.value, now)

    def stop_answered(
        self, request: StopRequest, answered: bool, now: float
    ) -> bool:
        """Record whether a stop request was answered."""
        run = self.queue.runs.find(request.key, request.run)
        if run is None:
            return False
        if answered:
            run.stop_answered_at = now
        else:
            self._log_unanswered(run, "stop")
            run.stop_sent_at = 0.0
        return True

    def check_lease_expiry(self, now: float) -> None:
        """End all runs as lost once the lease has expired."""
        if (
            self.backend.report is None
            or self.backend.lease_expired
            or now <= self.backend.lease.expires_at
        ):
            return
        self.backend.lease_expired = True
        if self.queue.runs:
            self.backend.log_change("lease lapsed", "it gives no answer", now)
        if self.backend.resumed_at <= self.backend.lease.answered_at:
            # The agent was there all the time, so the server may have
            # crashed in silence. If it has not answered since a run was
            # requested, it was silent before.
            for run in self.queue.runs.occupying():
                answered_at = max(
                    run.answered_at, self.backend.lease.answered_at
                )
                if answered_at > run.progress.started_at:
                    run.crash_weight = OTHER_WEIGHT
        self.queue.end_all_as_lost("the lease has lapsed", now)

    def _log_unanswered(self, run: Run, order: str) -> None:
        self.log.write(
            RunUnanswered(
                job_id=run.key.job_id,
                step=run.key.step,
                index=run.key.index,
                run=run.run,
                order=order,
            )
        )
