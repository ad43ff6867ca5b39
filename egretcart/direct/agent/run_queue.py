"""Queue of an agent's runs: accepts, starts, stops and ends them."""

from egretcart.direct.agent.agent_types import AgentEffect
from egretcart.direct.agent.agent_types import DirectAgentLimits
from egretcart.direct.agent.agent_types import Run
from egretcart.direct.agent.agent_types import RunPhase
from egretcart.direct.agent.agent_types import SendStartRequest
from egretcart.direct.agent.agent_types import SendStopRequest
from egretcart.direct.agent.domain_drain import DomainDrain
from egretcart.direct.agent.domain_drain import DRAINED_REASON
from egretcart.direct.agent.entry_links import EntryLinks
from egretcart.direct.agent.job_evictions import JobEvictions
from egretcart.direct.agent.known_backend import KnownBackend
from egretcart.direct.agent.run_table import RunTable
from egretcart.direct.backend.suspicion import Suspicion
from egretcart.direct.connection.messages import RunTasks
from egretcart.direct.connection.messages import TAKEN_OVER_REASON
from egretcart.direct.connection.messages import TaskEnded
from egretcart.direct.log.agent_decisions import RunEnded
from egretcart.direct.log.agent_decisions import RunStarted
from egretcart.direct.log.decisions import DecisionLog
from egretcart.direct.policy.crashes import is_suspect
from egretcart.direct.request.job import Ending
from egretcart.direct.request.job import NO_ROOM
from egretcart.direct.request.job import Room
from egretcart.direct.request.job import TaskKey
from egretcart.direct.request.ordering import TaskOrder
from egretcart.direct.request.progress import RunProgress

MS_PER_S = 1000


def order_of_tasks(message: RunTasks, now: float) -> TaskOrder:
    """Return the order of tasks that were received now."""
    due_at = now + message.time_left_ms / MS_PER_S
    return TaskOrder(
        priority=message.priority,
        due_at=due_at,
        latest_start_at=due_at - message.estimate_ms / MS_PER_S,
        objective_s=message.objective_ms / MS_PER_S,
    )


class RunQueue:
    """Runs of all entries, within the capacity of the backend server.

    Free of I/O: what has to be sent is appended to `effects`.

    Parameters
    ----------
    limits : DirectAgentLimits
    backend : KnownBackend
    runs : RunTable
        All runs that entries have sent and that have not ended.
    links : EntryLinks
    evictions : JobEvictions
    drain : DomainDrain
    effects : list of AgentEffect
    log : DecisionLog

    Attributes
    ----------
    stopping : bool
        Whether the agent shuts down and accepts no new tasks.
    typical_room : Room
        Resources that the task received last requires.
    last_tick_at : float
        Time of the agent's last tick; 0 before the first.
    """

    def __init__(
        self,
        *,
        limits: DirectAgentLimits,
        backend: KnownBackend,
        runs: RunTable,
        links: EntryLinks,
        evictions: JobEvictions,
        drain: DomainDrain,
        effects: list[AgentEffect],
        log: DecisionLog,
    ) -> None:
        self.limits = limits
        self.backend = backend
        self.runs = runs
        self.links = links
        self.evictions = evictions
        self.drain = drain
        self.effects = effects
        self.log = log
        self.stopping = False
        self.typical_room = NO_ROOM
        self.last_tick_at = 0.0

    def enqueue(self, entry_id: str, message: RunTasks, now: float) -> None:
        """Queue the tasks of a message; refuse those that can't be run."""
        refusal = self._refusal_reason(message)
        if self.evictions.refuses(message.job_id, entry_id):
            refusal = TAKEN_OVER_REASON
        for index in message.indexes:
            key = TaskKey(message.job_id, message.step, index)
            held = self.runs.get(key)
            if held is not None and (held.entry_id, held.run) == (
                entry_id,
                message.run,
            ):
                continue
            reason = refusal or ("held by a run" if held is not None else "")
            if reason:
                self._send_task_ended(
                    entry_id, key, message.run, Ending.NOT_RUN, 0, reason
                )
                continue
            self.typical_room = message.room
            self.runs.add(
                Run(
                    key=key,
                    run=message.run,
                    entry_id=entry_id,
                    payload=message.payload,
                    room=message.room,
                    estimate_ms=message.estimate_ms,
                    order=order_of_tasks(message, now),
                    max_per_agent=message.max_per_agent,
                    may_wait=message.may_wait
                    or is_suspect(message.crash_score),
                    received_at=now,
                    progress=RunProgress(
                        limits=self.limits.progress,
                        estimate_ms=message.estimate_ms,
                        started_at=now,
                    ),
                    crash_score=message.crash_score,
                )
            )

    def reject_unqueueable(self, now: float) -> None:
        """Reject tasks that may not wait, as there is no free capacity."""
        for run in self.runs.waiting():
            if not run.may_wait:
                self.end(run, Ending.NOT_RUN, "the room was taken", now)

    def _refusal_reason(self, message: RunTasks) -> str:
        """Return why a task can't be queued here; empty if it can."""
        if self.stopping:
            return "the agent is leaving"
        if self.drain.is_drained:
            return DRAINED_REASON
        if self.backend.report is None or not self.backend.ready:
            return "the backend server is not known"
        if self.backend.report.draining:
            return "the backend server is leaving"
        # The entry may not know yet that another server has come.
        if message.service_name not in ("", self.backend.report.service):
            return f"the backend server is of {self.backend.report.service}"
        if message.requires and (
            message.requires not in self.backend.report.labels
        ):
            return f"the backend server lacks the label {message.requires}"
        capacity = self.backend.report.capacity
        if not capacity.can_fit(message.room):
            return f"{message.room} does not fit into {capacity}"
        return ""

    def start_waiting(self, now: float) -> None:
        """Start queued runs that fit, the most urgent first."""
        waiting = self.runs.waiting()
        if not waiting or not self.may_start(now):
            return
        waiting.sort(key=lambda run: run.order.key(now))
        assert self.backend.report is not None
        free = self.runs.free(self.backend.report.capacity, queued=False)
        for run in waiting:
            if not self.backend.health.may_start(
                len(self.runs.occupying()), now
            ):
                return
            if self._waits_for_suspect(run, now):
                continue
            if free.can_fit(run.room) and self.runs.is_below_agent_limit(run):
                free -= run.room
                self._start_run(run, free, now)

    def _waits_for_suspect(self, run: Run, now: float) -> bool:
        """Whether a suspect waits, as another one was started just now."""
        return is_suspect(run.crash_score) and any(
            is_suspect(other.crash_score)
            and now - other.progress.started_at
            < self.limits.crashes.suspect_interval_s
            for other in self.runs.occupying()
        )

    def may_start(self, now: float) -> bool:
        """Whether runs may be started now."""
        # Tasks that were queued while the process was paused may run
        # elsewhere now.
        paused = now - self.last_tick_at > self.limits.pause_threshold_s
        return (
            self.backend.report is not None
            and self.backend.ready
            and not paused
            and not self.drain.is_drained
            and not self.backend.report.draining
            and not self.backend.orphaned_runs
            and self.backend.may_get_tasks(now)
        )

    def _start_run(self, run: Run, free: Room, now: float) -> None:
        run.phase = RunPhase.STARTING
        run.is_start_pending = True
        run.start_deadline_ms = self.backend.lease.start_deadline_ms(now)
        run.progress.started_at = run.progress.last_progress_at = now
        self.log.write(
            RunStarted(
                job_id=run.key.job_id,
                step=run.key.step,
                index=run.key.index,
                run=run.run,
                entry=run.entry_id,
                waited_ms=round((now - run.received_at) * 1000),
                free_cpu_milli=free.cpu_milli,
            )
        )
        request = self.backend.start_request(run)
        self.effects.append(SendStartRequest(request))

    def stop(self, run: Run, reason: str, now: float) -> None:
        """Stop a run; a queued one ends at once."""
        if run.phase is RunPhase.QUEUED:
            self.end(run, Ending.NOT_RUN, reason, now)
        elif run.phase is not RunPhase.STOPPING:
            run.phase = RunPhase.STOPPING
            run.reason = reason
            self.request_stop(run, now)

    def request_stop(self, run: Run, now: float) -> None:
        """Ask the server to stop a run, unless that was done just now.

        A silent server is asked once it answers its polls again.
        """
        if self.backend.report is None or run.stop_answered_at:
            return
        if self.backend.suspected is Suspicion.SILENT:
            return
        if now - run.stop_sent_at < self.limits.stop_retry_interval_s:
            return
        run.stop_sent_at = now
        request = self.backend.stop_request(run.key, run.run)
        self.effects.append(SendStopRequest(request))

    def stop_entry_runs(self, entry_id: str, reason: str, now: float) -> None:
        """Stop all runs of an entry."""
        for run in self.runs.runs_of_entry(entry_id):
            self.stop(run, reason, now)

    def reject_queued(self, reason: str, now: float) -> None:
        """Reject all queued runs."""
        for run in self.runs.waiting():
            self.end(run, Ending.NOT_RUN, reason, now)

    def end_all_as_lost(self, reason: str, now: float) -> None:
        """End all runs but those that another incarnation may have begun."""
        for run in self.runs:
            if not run.carried_until:
                self._end_as_lost(run, reason, now)

    def _end_as_lost(self, run: Run, reason: str, now: float) -> None:
        queued = run.phase is RunPhase.QUEUED
        ending = Ending.NOT_RUN if queued else Ending.LOST
        self.end(run, ending, reason, now)

    def end_runs_of_incarnation(
        self,
        reason: str,
        now: float,
        *,
        carries: bool,
        answered_are_over: bool = False,
    ) -> None:
        """End the runs of an incarnation of the server that has ended.

        Requests name an instance, which the next incarnation may have as
        well. So a run that the ended incarnation has not listed may have
        begun at the next one. It is kept until that one lists its runs, or
        until its lease has expired.

        Parameters
        ----------
        reason : str
        now : float
        carries : bool
            Whether the next incarnation may have the same instance.
        answered_are_over : bool, optional
            Whether runs whose start was answered have ended in any case.
        """
        carried_until = now + self.limits.lease.max_server_lease_s
        for run in self.runs:
            is_over = run.is_listed or (
                answered_are_over and run.answered_at > 0
            )
            if run.phase is RunPhase.QUEUED or is_over or not carries:
                self._end_as_lost(run, reason, now)
                continue
            if run.phase is not RunPhase.STOPPING:
                run.phase = RunPhase.UNCERTAIN
            run.stop_sent_at = run.stop_answered_at = 0.0
            run.carried_until = run.carried_until or carried_until

    def end(self, run: Run, ending: Ending, reason: str, now: float) -> None:
        """Remove a run and tell its entry how it has ended."""
        self.runs.remove(run)
        run_ms = max(0, round((now - run.progress.started_at) * 1000))
        if ending is Ending.DONE:
            self.backend.health.record_success(run.progress.started_at)
            if run.progress.sampled_percent == 0:
                self.backend.warmup.record(
                    run.key.job_id,
                    run_ms,
                    run.estimate_ms,
                    since=run.progress.started_at,
                    now=now,
                )
        elif ending is Ending.FAILED:
            self.backend.health.record_failure(
                run.key.job_id, now, run.progress.started_at
            )
        self.log.write(
            RunEnded(
                job_id=run.key.job_id,
                step=run.key.step,
                index=run.key.index,
                run=run.run,
                ending=ending.value,
                run_ms=run_ms,
                reason=reason,
            )
        )
        self._send_task_ended(
            run.entry_id,
            run.key,
            run.run,
            ending,
            run_ms,
            reason,
            crash_weight=run.crash_weight if ending is Ending.LOST else 0,
        )
        if self.links.evictions:
            self.evictions.confirm()

    def _send_task_ended(
        self,
        entry_id: str,
        key: TaskKey,
        run: int,
        ending: Ending,
        run_ms: int,
        reason: str,
        *,
        crash_weight: int = 0,
    ) -> None:
        message = TaskEnded(
            job_id=key.job_id,
            step=key.step,
            index=key.index,
            run=run,
            ending=ending.value,
            run_ms=run_ms,
            reason=reason,
            crash_weight=crash_weight,
        )
        self.links.send(entry_id, message)
        self.links.entries_to_notify.add(entry_id)
