"""The agents of an entry and the runs sent to them. Free of I/O."""

from egretcart.direct.backend.backend import StartAnswer
from egretcart.direct.connection.messages import AgentHello
from egretcart.direct.connection.messages import AgentMessage
from egretcart.direct.connection.messages import AgentStatus
from egretcart.direct.connection.messages import Beat
from egretcart.direct.connection.messages import EntriesServed
from egretcart.direct.connection.messages import JobEvicted
from egretcart.direct.connection.messages import StopTasks
from egretcart.direct.connection.messages import TAKEN_OVER_REASON
from egretcart.direct.connection.messages import TaskEnded
from egretcart.direct.connection.messages import TaskLate
from egretcart.direct.connection.offer_messages import CapacityOffered
from egretcart.direct.connection.views import AgentView
from egretcart.direct.entry.drain_relay import DrainRelay
from egretcart.direct.entry.entry_state import EntryState
from egretcart.direct.entry.entry_types import CloseAgent
from egretcart.direct.entry.entry_types import RUN_NUMBERS_PER_TAKEOVER
from egretcart.direct.entry.entry_types import SendToAgent
from egretcart.direct.entry.job_endings import CRASHES_CAUSE
from egretcart.direct.entry.job_endings import JobEndings
from egretcart.direct.entry.leaving_runs import LeavingRuns
from egretcart.direct.entry.pending_claims import PendingClaims
from egretcart.direct.log.decisions import PeerChanged
from egretcart.direct.log.decisions import TaskEndedAt
from egretcart.direct.log.decisions import TaskMoved
from egretcart.direct.policy.rescue import LateRun
from egretcart.direct.policy.rescue import should_reschedule
from egretcart.direct.request.held_job import HeldJob
from egretcart.direct.request.held_job import HeldTask
from egretcart.direct.request.held_job import TaskPhase
from egretcart.direct.request.job import Ending
from egretcart.direct.request.job import JobState
from egretcart.direct.version.drained_domains import DrainedDomains


class AgentRuns:
    """Keeps the views of agents, and handles the ends of runs there.

    Parameters
    ----------
    state : EntryState
    endings : JobEndings
    pending : PendingClaims
    drains : DrainRelay

    Attributes
    ----------
    heartbeat_interval_s : float
        Time between two heartbeats to an agent, in seconds.
    leaving : LeavingRuns
        Decides about runs at servers that leave.
    """

    def __init__(
        self,
        *,
        state: EntryState,
        endings: JobEndings,
        pending: PendingClaims,
        drains: DrainRelay,
    ) -> None:
        self.state = state
        self.endings = endings
        self.pending = pending
        self.drains = drains
        self.heartbeat_interval_s = state.limits.heartbeat_interval_s
        self.leaving = LeavingRuns(state=state, endings=endings)

    @property
    def heartbeat_timeout_s(self) -> float:
        """Time without messages after which a link is closed, in seconds.

        It applies to links to agents; an agent marks this entry as lost
        after the same time.
        """
        return (
            self.state.limits.max_missed_heartbeats * self.heartbeat_interval_s
        )

    def connected(self, hello: AgentHello, now: float) -> None:
        """Handle the first message of an agent on a new link."""
        agent_id = hello.status.agent_id
        view = AgentView(
            status=hello.status, now=now, failure_domain=hello.failure_domain
        )
        self.state.agents[agent_id] = view
        self.state.log.write(PeerChanged(peer=agent_id, state="connected"))
        self.drains.agent_connected(agent_id)
        if not hello.status.accepting and not view.is_drained:
            self.state.discovery_ends_at = max(
                self.state.discovery_ends_at,
                now + self.state.limits.discovery_wait_s,
            )
        self.state.lost_agents.pop(agent_id, None)
        self.pending.request_eviction(agent_id)
        self._reconcile(agent_id, hello, now)

    def mark_lost(self, agent_id: str, cause: str, now: float) -> None:
        """Record that an agent is lost, and when its runs expire."""
        if self.state.agents.pop(agent_id, None) is None:
            return
        self.state.log.write(
            PeerChanged(peer=agent_id, state="disconnected", cause=cause)
        )
        expires_at = (
            now + self.heartbeat_timeout_s + self.state.limits.agent_stop_s
        )
        for task in self._tasks_sent_to(agent_id):
            task.expires_at = expires_at
        self.state.lost_agents[agent_id] = expires_at
        self.pending.set_agent_expiry(agent_id, expires_at)

    def _tasks_sent_to(self, agent_id: str) -> list[HeldTask]:
        return [
            task
            for held in (
                *self.state.jobs.values(),
                *self.state.stopping_jobs.values(),
            )
            for task in held.tasks.values()
            if task.agent_id == agent_id
            and task.phase in (TaskPhase.SENT, TaskPhase.STOPPING)
        ]

    def receive(
        self, agent_id: str, message: AgentMessage, now: float
    ) -> None:
        """Handle a message of a connected agent."""
        view = self.state.agents.get(agent_id)
        if view is None:
            return
        view.last_message_at = now
        if isinstance(message, AgentStatus):
            view.update(message, now)
        elif isinstance(message, Beat):
            view.status_at = now
        elif isinstance(message, TaskEnded):
            self._handle_task_ended(agent_id, message, now)
        elif isinstance(message, TaskLate):
            self._handle_task_late(agent_id, message, now)
        elif isinstance(message, CapacityOffered):
            view.offers.append(message)
        elif isinstance(message, EntriesServed):
            view.entries = frozenset(message.entry_ids)
        elif isinstance(message, JobEvicted):
            self.pending.confirm_ended(message.number, agent_id)
        elif isinstance(message, DrainedDomains):
            self.drains.learn(message, agent_id, now)

    def _handle_task_ended(
        self, agent_id: str, message: TaskEnded, now: float
    ) -> None:
        held, task = self.state.find_task(message.key)
        if held is None or task is None or task.phase is TaskPhase.DONE:
            return
        is_current = task.run == message.run and task.agent_id == agent_id
        ending = Ending(message.ending)
        if ending is Ending.DONE:
            if not is_current and task.phase is TaskPhase.SENT:
                self.endings.stop_task(task)
            if is_current and held.waiting_request_ids:
                self._log_ended(task, ending, message.reason, message.run_ms)
            held.mark_done(task)
            if held.state is JobState.COMPLETED and held.waiting_request_ids:
                self.endings.finish(held, JobState.COMPLETED, now)
        elif is_current and task.phase is not TaskPhase.WAITING:
            if message.crash_weight:
                task.crash_score = self.state.crash_scores.raise_score(
                    task.key, message.crash_weight, held.route.name, now
                )
            self._requeue_or_fail(
                held, task, ending, message.reason, now, message.run_ms
            )
            if (
                message.reason == TAKEN_OVER_REASON
                and held.waiting_request_ids
            ):
                self.endings.yield_job(held, "another entry", now)
        if held.has_no_active_runs:
            self.state.stopping_jobs.pop(held.job.job_id, None)

    def _log_ended(
        self, task: HeldTask, ending: Ending, reason: str, run_ms: int
    ) -> None:
        self.state.log.write(
            TaskEndedAt(
                job_id=task.key.job_id,
                step=task.key.step,
                index=task.key.index,
                run=task.run,
                agent=task.agent_id,
                ending=ending.value,
                reason=reason,
                failures=task.failures,
                crash_score=task.crash_score,
                run_ms=run_ms,
            )
        )

    def _requeue_or_fail(
        self,
        held: HeldJob,
        task: HeldTask,
        ending: Ending,
        reason: str,
        now: float,
        run_ms: int = 0,
    ) -> None:
        """Requeue a task, or fail its job."""
        held.set_phase(task, TaskPhase.WAITING)
        task.expires_at = None
        if ending is not Ending.NOT_RUN:
            task.has_run = True
        if ending in (Ending.FAILED, Ending.STOPPED, Ending.LOST):
            task.avoided_agents.add(task.agent_id)
        if ending is Ending.FAILED:
            task.failures += 1
        if reason == StartAnswer.STALE_RUN.value:
            task.run += RUN_NUMBERS_PER_TAKEOVER
        if not held.waiting_request_ids:
            return
        self._log_ended(task, ending, reason, run_ms)
        if ending is Ending.INVALID:
            self.endings.finish(held, JobState.FAILED, now, reason)
        elif task.failures >= held.route.max_attempts:
            self.endings.finish(
                held, JobState.FAILED, now, "a task failed too often"
            )
        elif self.state.is_given_up(task.crash_score):
            self.state.confinement.record(
                held.job.job_id, held.route.name, now
            )
            self.endings.finish(held, JobState.FAILED, now, CRASHES_CAUSE)

    def _handle_task_late(
        self, agent_id: str, message: TaskLate, now: float
    ) -> None:
        """Reschedule a late run if its caller gains from that."""
        held, task = self.state.find_task(message.key)
        if (
            held is None
            or task is None
            or task.phase is not TaskPhase.SENT
            or (task.run, task.agent_id) != (message.run, agent_id)
        ):
            return
        if message.leaves_in_ms:
            self.leaving.judge(held, task, message, now)
            return
        view = self.state.agents[agent_id]
        run = LateRun(
            whole_ms=message.whole_ms,
            completed_share=message.percent / 100,
            slowdown=view.slowdown,
            elsewhere_slowdown=min(
                (
                    other.slowdown
                    for other in self.state.free_agents_elsewhere(held, task)
                ),
                default=None,
            ),
            stretch=held.route.stretch,
            slack_ms=held.route.slack_ms,
            job_age_ms=(now - held.accepted_at) * 1000,
        )
        if not should_reschedule(run, self.state.limits.rescheduling):
            return
        self.state.log.write(
            TaskMoved(
                job_id=task.key.job_id,
                step=task.key.step,
                index=task.key.index,
                run=task.run,
                agent=agent_id,
                percent=message.percent,
                whole_ms=message.whole_ms,
                pace=run.slowdown,
                elsewhere_pace=run.elsewhere_slowdown or 0.0,
            )
        )
        self.endings.stop_task(task)

    def _reconcile(self, agent_id: str, hello: AgentHello, now: float) -> None:
        """Compare the runs that an agent reports with those sent there."""
        reported_runs = {(held.key, held.run) for held in hello.held}
        for task in self._tasks_sent_to(agent_id):
            if (task.key, task.run) in reported_runs:
                task.expires_at = None
                if task.phase is TaskPhase.STOPPING:
                    self.endings.stop_task(task)
            elif hello.settled:
                held, _ = self.state.find_task(task.key)
                assert held is not None
                self._requeue_or_fail(
                    held, task, Ending.LOST, "its agent holds it no more", now
                )
        for key, _run in reported_runs:
            _, known = self.state.find_task(key)
            if known is None or known.agent_id != agent_id:
                stop = StopTasks(
                    job_id=key.job_id, step=key.step, indexes=(key.index,)
                )
                self.state.effects.append(SendToAgent(agent_id, stop))

    def close_all(self, cause: str, now: float) -> None:
        """Close the links to all agents, and mark these as lost."""
        for agent_id in list(self.state.agents):
            self.state.effects.append(CloseAgent(agent_id))
            self.mark_lost(agent_id, cause, now)

    def check_silence(self, now: float) -> None:
        """Close links whose heartbeat timed out."""
        for agent_id, view in list(self.state.agents.items()):
            if now - view.last_message_at > self.heartbeat_timeout_s:
                self.state.effects.append(CloseAgent(agent_id))
                self.mark_lost(agent_id, "silence", now)

    def expire_lost_runs(self, now: float) -> None:
        """Requeue tasks whose run at a lost agent has expired."""
        for agent_id, expires_at in list(self.state.lost_agents.items()):
            if now > expires_at:
                del self.state.lost_agents[agent_id]
        for held in (
            *self.state.jobs.values(),
            *self.state.stopping_jobs.values(),
        ):
            for task in held.tasks.values():
                if task.expires_at is not None and now > task.expires_at:
                    self._requeue_or_fail(
                        held, task, Ending.LOST, "its agent was lost", now
                    )
            if held.has_no_active_runs:
                self.state.stopping_jobs.pop(held.job.job_id, None)

    def send_heartbeats(self, now: float) -> None:
        """Send heartbeats to agents that were sent nothing else lately.

        The interval grows with the number of agents and never shrinks: an
        agent that missed the message with a shorter interval would end its
        runs later than this entry expects.
        """
        self.heartbeat_interval_s = min(
            self.state.limits.max_heartbeat_interval_s,
            max(
                self.heartbeat_interval_s,
                len(self.state.agents)
                / self.state.limits.max_heartbeats_per_s,
            ),
        )
        interval_s = self.heartbeat_interval_s
        heartbeat = Beat(
            version=self.state.version, interval_ms=round(interval_s * 1000)
        )
        for agent_id, view in self.state.agents.items():
            if (
                view.heartbeat_interval_s != interval_s
                or now - view.last_sent_at >= interval_s
            ):
                view.heartbeat_interval_s = interval_s
                self.state.effects.append(SendToAgent(agent_id, heartbeat))
