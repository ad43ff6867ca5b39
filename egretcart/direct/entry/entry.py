"""The entry: accepts callers' jobs and sends their tasks. Free of I/O."""

from collections import OrderedDict
from collections.abc import Iterable
import math
import random

from egretcart.direct.backend.backend import StartAnswer
from egretcart.direct.connection.messages import AgentHello
from egretcart.direct.connection.messages import AgentMessage
from egretcart.direct.connection.messages import AgentStatus
from egretcart.direct.connection.messages import Beat
from egretcart.direct.connection.messages import EntriesServed
from egretcart.direct.connection.messages import JobEvicted
from egretcart.direct.connection.messages import JobReleased
from egretcart.direct.connection.messages import JobsTaken
from egretcart.direct.connection.messages import PeerMessage
from egretcart.direct.connection.messages import RecruitAgents
from egretcart.direct.connection.messages import ReleaseJob
from egretcart.direct.connection.messages import StopTasks
from egretcart.direct.connection.messages import TAKEN_OVER_REASON
from egretcart.direct.connection.messages import TaskEnded
from egretcart.direct.connection.messages import TaskLate
from egretcart.direct.connection.views import AgentView
from egretcart.direct.entry.entry_types import Answer
from egretcart.direct.entry.entry_types import CloseAgent
from egretcart.direct.entry.entry_types import ClosePeer
from egretcart.direct.entry.entry_types import DirectEntryLimits
from egretcart.direct.entry.entry_types import EntryEffect
from egretcart.direct.entry.entry_types import RUN_NUMBERS_PER_TAKEOVER
from egretcart.direct.entry.entry_types import SendToAgent
from egretcart.direct.entry.entry_types import SendToPeer
from egretcart.direct.entry.job_releases import JobReleases
from egretcart.direct.entry.pending_claims import PendingClaim
from egretcart.direct.entry.pending_claims import PendingClaims
from egretcart.direct.entry.recruiting import AgentRecruiter
from egretcart.direct.entry.task_sender import TaskSender
from egretcart.direct.log.decisions import ConfigurationAccepted
from egretcart.direct.log.decisions import DecisionLog
from egretcart.direct.log.decisions import JobAccepted
from egretcart.direct.log.decisions import JobAnswered
from egretcart.direct.log.decisions import JobCancelled
from egretcart.direct.log.decisions import JobJoined
from egretcart.direct.log.decisions import JobRefused
from egretcart.direct.log.decisions import JobYielded
from egretcart.direct.log.decisions import PeerChanged
from egretcart.direct.log.decisions import ProcessChanged
from egretcart.direct.log.decisions import TaskEndedAt
from egretcart.direct.log.decisions import TaskMoved
from egretcart.direct.policy.admission import estimate_load
from egretcart.direct.policy.admission import retry_after_s
from egretcart.direct.policy.placement import Placement
from egretcart.direct.policy.rescue import LateRun
from egretcart.direct.policy.rescue import should_reschedule
from egretcart.direct.request.claims import Claim
from egretcart.direct.request.claims import ClaimTable
from egretcart.direct.request.held_job import HeldJob
from egretcart.direct.request.held_job import HeldTask
from egretcart.direct.request.held_job import TaskPhase
from egretcart.direct.request.job import Ending
from egretcart.direct.request.job import find_job_violation
from egretcart.direct.request.job import Job
from egretcart.direct.request.job import JobKind
from egretcart.direct.request.job import JobState
from egretcart.direct.request.job import TaskKey
from egretcart.direct.version.configuration import Route
from egretcart.direct.version.configuration import RoutingConfiguration


def _find_refusal_cause(job: Job, route: Route) -> str | None:
    """Return why a job is not served at all, or None."""
    violation = find_job_violation(job)
    if violation is not None:
        return violation
    if job.kind is not JobKind.TRANSIENT:
        return f"{job.kind.value} jobs are not served"
    if route.needs_advice:
        return f'route "{route.name}" needs advice, which is not asked for'
    return None


class DirectEntry:
    """Accepts jobs, sends their tasks to agents, and answers callers.

    Parameters
    ----------
    entry_id : str
    limits : DirectEntryLimits
    log : DecisionLog
    source : random.Random
        Random source of the placement.

    Attributes
    ----------
    configuration : RoutingConfiguration or None
        Active configuration; None until one is known.
    agents : dict of str to AgentView
        Connected agents.
    lost_agents : dict of str to float
        Agents whose links have ended, and when their runs expire.
    peers : dict of str to float
        Other connected entries, and when their last heartbeat was received.
    peers_connected_at : dict of str to float
        When the link to each connected entry was opened.
    former_runs_expire_at : dict of str to float
        When the runs have expired that an entry had before its link was
        last lost, by entry id.
    jobs : dict of str to HeldJob
        Accepted jobs that are not answered yet, by job id.
    stopping_jobs : dict of str to HeldJob
        Jobs that were cancelled, yielded or answered while runs of them may
        still be active.
    ended : OrderedDict of str to tuple
        Final states of answered jobs and when they were answered, by job
        id, the oldest first.
    claims : ClaimTable
        Jobs that this and other entries have accepted recently.
    stop_deadline : float or None
        When the process ends; None unless it is stopping. A job whose
        latency objective ends later is not accepted.
    discovery_ends_at : float
        Until when agents are expected to connect and to accept tasks.
    last_tick_at : float
        Time of the last tick; 0 before the first.
    resumed_at : float
        When the last pause of the process was noticed; minus infinity if
        there was none.
    agent_heartbeat_interval_s : float
        Time between two heartbeats to an agent, in seconds.
    last_peer_heartbeat_at : float
        When heartbeats were last sent to other entries; 0 before the
        first.
    effects : list of EntryEffect
        Effects that no method has returned yet.
    pending : PendingClaims
        Jobs that are not accepted yet, as they may run for other entries.
    releases : JobReleases
        Other entries' questions about jobs that they take over.
    sender : TaskSender
    recruiter : AgentRecruiter
    """

    def __init__(
        self,
        *,
        entry_id: str,
        limits: DirectEntryLimits,
        log: DecisionLog,
        source: random.Random,
    ) -> None:
        self.entry_id = entry_id
        self.limits = limits
        self.log = log
        self.configuration: RoutingConfiguration | None = None
        self.agents: dict[str, AgentView] = {}
        self.lost_agents: dict[str, float] = {}
        self.peers: dict[str, float] = {}
        self.peers_connected_at: dict[str, float] = {}
        self.former_runs_expire_at: dict[str, float] = {}
        self.jobs: dict[str, HeldJob] = {}
        self.stopping_jobs: dict[str, HeldJob] = {}
        self.ended: OrderedDict[str, tuple[JobState, float]] = OrderedDict()
        self.claims = ClaimTable(retention_s=limits.claim_retention_s)
        self.stop_deadline: float | None = None
        self.discovery_ends_at = 0.0
        self.last_tick_at = 0.0
        self.resumed_at = -math.inf
        self.agent_heartbeat_interval_s = limits.heartbeat_interval_s
        self.last_peer_heartbeat_at = 0.0
        self.effects: list[EntryEffect] = []
        self.pending = PendingClaims(
            effects=self.effects, log=log, source=source
        )
        self.releases = JobReleases(
            entry_id=entry_id, peers=self.peers, effects=self.effects
        )
        self.recruiter = AgentRecruiter(
            limits=limits.recruiting,
            agents=self.agents,
            peers=self.peers,
            effects=self.effects,
            log=log,
            source=source,
        )
        self.sender = TaskSender(
            agents=self.agents,
            placement=Placement(
                limits=limits.placement,
                far_factor=limits.far_factor,
                source=source,
            ),
            effects=self.effects,
            log=log,
        )

    # Configuration.

    def configure(
        self, configuration: RoutingConfiguration, source: str
    ) -> bool:
        """Activate a configuration if it is newer than the active one."""
        former = self.configuration.version if self.configuration else 0
        if configuration.version <= former:
            return False
        self.configuration = configuration
        self.log.write(
            ConfigurationAccepted(
                version=configuration.version,
                former=former,
                source=source,
                routes=len(configuration.routes),
            )
        )
        return True

    @property
    def version(self) -> int:
        """Version of the active configuration; 0 if there is none."""
        return self.configuration.version if self.configuration else 0

    @property
    def heartbeat_timeout_s(self) -> float:
        """Time without messages after which a link is closed, in seconds.

        It applies to links to agents; an agent marks this entry as lost
        after the same time.
        """
        return (
            self.limits.max_missed_heartbeats * self.agent_heartbeat_interval_s
        )

    @property
    def is_ready(self) -> bool:
        """Whether callers should be sent here."""
        return (
            self.configuration is not None
            and any(view.status.accepting for view in self.agents.values())
            and self.stop_deadline is None
        )

    def waiting_jobs(self, route: Route) -> int:
        """Return how many jobs of a route have not begun."""
        return sum(
            job.route.name == route.name and not job.has_begun
            for job in self.jobs.values()
        )

    # Requests.

    def submit(
        self,
        request_id: int,
        job: Job,
        route: Route,
        now: float,
        *,
        wait_limit_s: float = math.inf,
    ) -> list[EntryEffect]:
        """Handle a request that submits a job.

        If a job of the same id is known here, the request gets its answer.
        If the job may run for another entry, it waits as a pending claim.
        Otherwise it is accepted or refused.

        Parameters
        ----------
        request_id : int
            Unique at this entry; `Answer` repeats it.
        job : Job
        route : Route
        now : float
        wait_limit_s : float, optional
            How long the caller waits, in seconds; infinite if not given.
        """
        claim = self.claims.claim_of(job.job_id)
        held = self.jobs.get(job.job_id)
        if held is None and claim is None:
            held = self.stopping_jobs.get(job.job_id)
        pending = self.pending.by_job.get(job.job_id)
        ended = self.ended.get(job.job_id)
        refusal_cause = _find_refusal_cause(job, route)
        if refusal_cause is not None:
            self._refuse_unserved(request_id, job, route, refusal_cause)
        elif held is not None:
            held.waiting_request_ids.add(request_id)
            self.stopping_jobs.pop(job.job_id, None)
            self.jobs[job.job_id] = held
            self._log_joined(job.job_id, held.state.value)
        elif pending is not None:
            pending.request_ids.add(request_id)
            self._log_joined(job.job_id, "claimed")
        elif ended is not None:
            self._log_joined(job.job_id, ended[0].value)
            self.effects.append(Answer(request_id=request_id, state=ended[0]))
        elif claim is not None:
            self.pending.start_claim(
                request_id,
                job,
                route,
                holders={claim.entry_id},
                peers=self.peers,
                agents=self.agents,
                lost_agents=self.lost_agents,
                former_expires_at=self._former_runs_expiry(claim),
                wait_deadline_at=math.inf,
                wait_limit_s=wait_limit_s,
            )
        elif unconnected := self._unconnected_entries():
            self.pending.start_claim(
                request_id,
                job,
                route,
                holders=unconnected,
                peers=self.peers,
                agents=self.agents,
                lost_agents={},
                former_expires_at=0.0,
                wait_deadline_at=now + self.limits.unconnected_wait_s,
                wait_limit_s=wait_limit_s,
            )
        else:
            self._admit(
                {request_id},
                job,
                route,
                now,
                first_run=1,
                wait_limit_s=wait_limit_s,
            )
        self._dispatch(now)
        return self._pop_effects(now)

    def _former_runs_expiry(self, claim: Claim) -> float:
        """Return when runs have expired whose owner can't be asked.

        That is an entry that is not connected, or that has been
        disconnected since it reported the job and may have lost its state.
        """
        connected_at = self.peers_connected_at.get(claim.entry_id, math.inf)
        if claim.claimed_at >= connected_at:
            return 0.0
        return self.former_runs_expire_at.get(claim.entry_id, 0.0)

    def _unconnected_entries(self) -> set[str]:
        """Return entries that agents serve but that are not connected here.

        This entry does not know which jobs they have accepted, so any job
        may already run for one of them.
        """
        served = {
            entry_id
            for view in self.agents.values()
            for entry_id in view.entries
        }
        return served - self.peers.keys() - {self.entry_id}

    def _refuse_unserved(
        self, request_id: int, job: Job, route: Route, cause: str
    ) -> None:
        invalid = find_job_violation(job) is not None
        self.log.write(
            JobRefused(job_id=job.job_id, route=route.name, cause=cause)
        )
        self.effects.append(
            Answer(request_id=request_id, cause=cause, invalid=invalid)
        )

    def _log_joined(self, job_id: str, state: str) -> None:
        self.log.write(JobJoined(job_id=job_id, state=state))

    def _admit_claimed(self, pending: PendingClaim, now: float) -> None:
        """Accept or refuse a job whose claim need not wait any longer."""
        self._admit(
            pending.request_ids,
            pending.job,
            pending.route,
            now,
            first_run=1 + RUN_NUMBERS_PER_TAKEOVER * pending.number,
            wait_limit_s=pending.wait_limit_s,
            may_have_run=True,
        )

    def _admit(
        self,
        request_ids: set[int],
        job: Job,
        route: Route,
        now: float,
        *,
        first_run: int,
        wait_limit_s: float,
        may_have_run: bool = False,
    ) -> None:
        """Accept a job, or refuse it if it can't be served in time."""
        held = HeldJob(
            job=job,
            route=route,
            now=now,
            first_run=first_run,
            may_have_run=may_have_run,
            wait_limit_s=wait_limit_s,
        )
        if self._is_due_after_stop(held, now):
            min_retry_s = self.limits.admission.min_retry_s
            self._refuse(
                held, request_ids, "the entry leaves", 0.0, min_retry_s
            )
            return
        wait_ms, retry_s = self._estimate_wait(held, now)
        if retry_s is not None:
            self._refuse(
                held, request_ids, "no room in time", wait_ms, retry_s
            )
            return
        held.waiting_request_ids |= request_ids
        self.jobs[job.job_id] = held
        self.claims.record_own(job.job_id, now)
        self.log.write(
            JobAccepted(
                job_id=job.job_id,
                route=route.name,
                version=self.version,
                tasks=len(held.tasks),
                objective_ms=round(held.objective_ms),
                patience_ms=(
                    round(wait_limit_s * 1000)
                    if wait_limit_s < math.inf
                    else None
                ),
                expected_wait_ms=round(wait_ms),
            )
        )

    def _is_due_after_stop(self, held: HeldJob, now: float) -> bool:
        """Whether the latency objective ends after this entry has stopped."""
        return (
            self.stop_deadline is not None and held.due_at > self.stop_deadline
        )

    def _estimate_wait(
        self, held: HeldJob, now: float
    ) -> tuple[float, float | None]:
        """Return the expected wait, and when to retry if it is too long.

        The wait is in milliseconds. The time after which the caller may
        retry is in seconds, or None if the job can be served in time. Each
        other entry that shares agents with this one is assumed to have as
        much work waiting as this one.
        """
        sort_key = held.sort_key(now)
        jobs_ahead = [
            job
            for job in self.jobs.values()
            if job is not held and job.sort_key(now) <= sort_key
        ]
        ahead_cpu_milli_ms = sum(
            job.unsent_cpu_milli_ms() for job in jobs_ahead
        )
        discovery_wait_ms = None
        if now < self.discovery_ends_at:
            discovery_wait_s = min(
                self.discovery_ends_at - now, self.limits.first_discovery_s
            )
            discovery_wait_ms = discovery_wait_s * 1000
        load = estimate_load(
            held.job.steps[0],
            self.agents.values(),
            queued_cpu_milli_ms=ahead_cpu_milli_ms * self._entries_per_agent(),
            far_factor=self.limits.far_factor,
            discovery_wait_ms=discovery_wait_ms,
        )
        useful_until = min(
            held.accepted_at
            + self.limits.admission.useful_latency_factor
            * held.objective_ms
            / 1000,
            held.wait_deadline,
        )
        useful_ms = (useful_until - now) * 1000
        retry_s = retry_after_s(
            load,
            useful_ms,
            self.limits.admission,
            is_accepted=held.job.job_id in self.jobs,
        )
        wait_ms = min(load.wait_ms, 1e6)
        return wait_ms, retry_s

    def _entries_per_agent(self) -> float:
        """Return how many entries share an agent, in the mean."""
        counts = [
            len(view.entries) for view in self.agents.values() if view.entries
        ]
        if not counts:
            return 1 + len(self.peers)
        return sum(counts) / len(counts)

    def _refuse(
        self,
        held: HeldJob,
        request_ids: Iterable[int],
        cause: str,
        wait_ms: float,
        retry_s: float,
    ) -> None:
        self.log.write(
            JobRefused(
                job_id=held.job.job_id,
                route=held.route.name,
                cause=cause,
                objective_ms=round(held.objective_ms),
                expected_wait_ms=round(wait_ms),
                retry_after_s=math.ceil(retry_s),
            )
        )
        for request_id in request_ids:
            self.effects.append(
                Answer(
                    request_id=request_id,
                    retry_after_s=retry_s,
                    cause=cause,
                    interrupted=held.may_have_run,
                )
            )

    def caller_disconnected(
        self, job_id: str, request_id: int, now: float
    ) -> list[EntryEffect]:
        """Record that a caller no longer waits for its job."""
        self.pending.remove_request(job_id, request_id)
        held = self.jobs.get(job_id)
        if held is not None and request_id in held.waiting_request_ids:
            held.waiting_request_ids.discard(request_id)
            if not held.waiting_request_ids:
                self._cancel(held, "the caller has left", now)
        self._dispatch(now)
        return self._pop_effects(now)

    def cancel(self, job_id: str, now: float) -> list[EntryEffect]:
        """Cancel a job at its caller's request."""
        held = self.jobs.get(job_id)
        if held is not None:
            self._answer(held, JobState.CANCELLED, now, "its caller")
            self._cancel(held, "the caller took it back", now)
        self._dispatch(now)
        return self._pop_effects(now)

    def state_of(self, job_id: str) -> JobState | None:
        """Return how far a job has come; None if it is not known."""
        held = self.jobs.get(job_id)
        if held is not None:
            return held.state
        ended = self.ended.get(job_id)
        return ended[0] if ended is not None else None

    def _cancel(self, held: HeldJob, cause: str, now: float) -> None:
        """Stop all runs of a job, and leave its requests unanswered."""
        job_id = held.job.job_id
        self.log.write(
            JobCancelled(
                job_id=job_id,
                cause=cause,
                elapsed_ms=round((now - held.accepted_at) * 1000),
            )
        )
        self.jobs.pop(job_id, None)
        held.waiting_request_ids.clear()
        self._stop_all(held)
        if not held.has_no_active_runs:
            self.stopping_jobs[job_id] = held

    def _stop_all(self, held: HeldJob) -> None:
        for task in held.tasks.values():
            if task.phase is TaskPhase.SENT:
                self._stop_task(task)

    def _stop_task(self, task: HeldTask) -> None:
        """Stop a task's run; its agent is asked only if it is not lost."""
        task.phase = TaskPhase.STOPPING
        stop = StopTasks(
            job_id=task.key.job_id,
            step=task.key.step,
            indexes=(task.key.index,),
        )
        if task.expires_at is None:
            self.effects.append(SendToAgent(task.agent_id, stop))

    def _answer(
        self, held: HeldJob, state: JobState, now: float, cause: str = ""
    ) -> None:
        job_id = held.job.job_id
        self.log.write(
            JobAnswered(
                job_id=job_id,
                state=state.value,
                elapsed_ms=round((now - held.accepted_at) * 1000),
                objective_ms=round(held.objective_ms),
                cause=cause,
            )
        )
        for request_id in held.waiting_request_ids:
            self.effects.append(Answer(request_id=request_id, state=state))
        held.waiting_request_ids.clear()
        self.ended.pop(job_id, None)
        self.ended[job_id] = (state, now)

    def _finish(
        self, held: HeldJob, state: JobState, now: float, cause: str = ""
    ) -> None:
        """Answer a job and stop its remaining runs."""
        self._answer(held, state, now, cause)
        self.jobs.pop(held.job.job_id, None)
        self._stop_all(held)
        if not held.has_no_active_runs:
            self.stopping_jobs[held.job.job_id] = held

    def stop(self, stop_deadline: float, now: float) -> None:
        """Accept only jobs that can be answered by a deadline from now on."""
        self.stop_deadline = stop_deadline
        self.log.write(ProcessChanged(state="stopping"))

    def interrupt(self, now: float) -> list[EntryEffect]:
        """Interrupt all waiting callers, so that they ask other entries."""
        for held in list(self.jobs.values()):
            for request_id in held.waiting_request_ids:
                self.effects.append(
                    Answer(request_id=request_id, interrupted=True)
                )
            self._cancel(held, "the entry leaves", now)
        return self._pop_effects(now)

    # Agents.

    def agent_connected(
        self, hello: AgentHello, now: float
    ) -> list[EntryEffect]:
        """Handle the first message of an agent on a new link."""
        agent_id = hello.status.agent_id
        self.agents[agent_id] = AgentView(status=hello.status, now=now)
        self.log.write(PeerChanged(peer=agent_id, state="connected"))
        if not hello.status.accepting:
            self.discovery_ends_at = max(
                self.discovery_ends_at, now + self.limits.discovery_wait_s
            )
        self.lost_agents.pop(agent_id, None)
        self.pending.request_eviction(agent_id)
        self._reconcile(agent_id, hello, now)
        self._dispatch(now)
        return self._pop_effects(now)

    def agent_disconnected(
        self, agent_id: str, now: float
    ) -> list[EntryEffect]:
        """Record that an agent's link has ended.

        Its runs count as ended after the time within which it must have
        stopped them. They count as ended earlier if it connects again, does
        not report them and reports that nothing else can run there.
        """
        self._mark_agent_lost(agent_id, "its link has ended", now)
        return self._pop_effects(now)

    def _mark_agent_lost(self, agent_id: str, cause: str, now: float) -> None:
        if self.agents.pop(agent_id, None) is None:
            return
        self.log.write(
            PeerChanged(peer=agent_id, state="disconnected", cause=cause)
        )
        expires_at = now + self.heartbeat_timeout_s + self.limits.agent_stop_s
        for task in self._tasks_sent_to(agent_id):
            task.expires_at = expires_at
        self.lost_agents[agent_id] = expires_at
        self.pending.set_agent_expiry(agent_id, expires_at)

    def _tasks_sent_to(self, agent_id: str) -> list[HeldTask]:
        return [
            task
            for held in (*self.jobs.values(), *self.stopping_jobs.values())
            for task in held.tasks.values()
            if task.agent_id == agent_id
            and task.phase in (TaskPhase.SENT, TaskPhase.STOPPING)
        ]

    def receive(
        self, agent_id: str, message: AgentMessage, now: float
    ) -> list[EntryEffect]:
        """Handle a message of a connected agent."""
        view = self.agents.get(agent_id)
        if view is None:
            return []
        view.last_message_at = now
        if isinstance(message, AgentStatus):
            view.update(message, now)
        elif isinstance(message, TaskEnded):
            self._handle_task_ended(agent_id, message, now)
        elif isinstance(message, TaskLate):
            self._handle_task_late(agent_id, message, now)
        elif isinstance(message, EntriesServed):
            view.entries = frozenset(message.entry_ids)
        elif isinstance(message, JobEvicted):
            self.pending.confirm_ended(message.number, agent_id)
        return self._pop_effects(now)

    def dispatch_waiting(self, now: float) -> list[EntryEffect]:
        """Send tasks that can be sent; called after a batch of messages."""
        self._dispatch(now)
        return self._pop_effects(now)

    def _find_task(
        self, key: TaskKey
    ) -> tuple[HeldJob | None, HeldTask | None]:
        """Return a job and its task; None for each that is not known."""
        held = self.jobs.get(key.job_id) or self.stopping_jobs.get(key.job_id)
        return held, held.tasks.get(key) if held is not None else None

    def _handle_task_ended(
        self, agent_id: str, message: TaskEnded, now: float
    ) -> None:
        held, task = self._find_task(message.key)
        if held is None or task is None or task.phase is TaskPhase.DONE:
            return
        is_current = task.run == message.run and task.agent_id == agent_id
        ending = Ending(message.ending)
        if ending is Ending.DONE:
            if not is_current and task.phase is TaskPhase.SENT:
                self._stop_task(task)
            held.mark_done(task)
            if held.state is JobState.COMPLETED and held.waiting_request_ids:
                self._finish(held, JobState.COMPLETED, now)
        elif is_current and task.phase is not TaskPhase.WAITING:
            self._requeue_or_fail(held, task, ending, message.reason, now)
            if (
                message.reason == TAKEN_OVER_REASON
                and held.waiting_request_ids
            ):
                self._yield(held, "another entry", now)
        if held.has_no_active_runs:
            self.stopping_jobs.pop(held.job.job_id, None)

    def _requeue_or_fail(
        self,
        held: HeldJob,
        task: HeldTask,
        ending: Ending,
        reason: str,
        now: float,
    ) -> None:
        """Requeue a task, or fail its job."""
        task.phase = TaskPhase.WAITING
        task.expires_at = None
        if ending is not Ending.NOT_RUN:
            task.has_run = True
        if ending in (Ending.FAILED, Ending.STOPPED, Ending.LOST):
            task.avoided_agents.add(task.agent_id)
        if ending is Ending.FAILED:
            task.failures += 1
        if reason == StartAnswer.STALE_RUN.value:
            task.run += RUN_NUMBERS_PER_TAKEOVER
        if held.waiting_request_ids:
            self.log.write(
                TaskEndedAt(
                    job_id=task.key.job_id,
                    step=task.key.step,
                    index=task.key.index,
                    run=task.run,
                    agent=task.agent_id,
                    ending=ending.value,
                    reason=reason,
                    failures=task.failures,
                )
            )
        if not held.waiting_request_ids:
            return
        if ending is Ending.INVALID:
            self._finish(held, JobState.FAILED, now, reason)
        elif task.failures >= held.route.max_attempts:
            self._finish(held, JobState.FAILED, now, "a task failed too often")

    def _handle_task_late(
        self, agent_id: str, message: TaskLate, now: float
    ) -> None:
        """Reschedule a late run if its caller gains from that."""
        held, task = self._find_task(message.key)
        if (
            held is None
            or task is None
            or task.phase is not TaskPhase.SENT
            or (task.run, task.agent_id) != (message.run, agent_id)
        ):
            return
        view = self.agents[agent_id]
        run = LateRun(
            whole_ms=message.whole_ms,
            completed_share=message.percent / 100,
            slowdown=view.slowdown,
            elsewhere_slowdown=self._best_slowdown_elsewhere(held, task),
            stretch=held.route.stretch,
            slack_ms=held.route.slack_ms,
            job_age_ms=(now - held.accepted_at) * 1000,
        )
        if not should_reschedule(run, self.limits.rescheduling):
            return
        self.log.write(
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
        self._stop_task(task)

    def _best_slowdown_elsewhere(
        self, held: HeldJob, task: HeldTask
    ) -> float | None:
        """Return the lowest slowdown of other agents with free capacity."""
        step = held.job.steps[task.key.step]
        return min(
            (
                view.slowdown
                for agent_id, view in self.agents.items()
                if agent_id != task.agent_id
                and agent_id not in task.avoided_agents
                and view.may_run(step)
                and not view.status.probing
                and view.free.can_fit(step.room)
            ),
            default=None,
        )

    def _reconcile(self, agent_id: str, hello: AgentHello, now: float) -> None:
        """Compare the runs that an agent reports with those sent there."""
        reported_runs = {(held.key, held.run) for held in hello.held}
        for task in self._tasks_sent_to(agent_id):
            if (task.key, task.run) in reported_runs:
                task.expires_at = None
                if task.phase is TaskPhase.STOPPING:
                    self._stop_task(task)
            elif hello.settled:
                held, _ = self._find_task(task.key)
                assert held is not None
                self._requeue_or_fail(
                    held, task, Ending.LOST, "its agent holds it no more", now
                )
        for key, _run in reported_runs:
            _, known = self._find_task(key)
            if known is None or known.agent_id != agent_id:
                stop = StopTasks(
                    job_id=key.job_id, step=key.step, indexes=(key.index,)
                )
                self.effects.append(SendToAgent(agent_id, stop))

    # Other entries.

    def peer_connected(self, entry_id: str, now: float) -> list[EntryEffect]:
        """Record a connected entry and report recently accepted jobs to it."""
        self._record_former_runs(entry_id)
        self.peers[entry_id] = self.peers_connected_at[entry_id] = now
        self.log.write(PeerChanged(peer=entry_id, state="connected"))
        taken = JobsTaken(job_ids=self.claims.own_job_ids())
        self.effects.append(SendToPeer(entry_id, taken))
        return self._pop_effects(now)

    def peer_heartbeat_received(self, entry_id: str, now: float) -> None:
        """Record a heartbeat on the link to another entry."""
        if entry_id in self.peers:
            self.peers[entry_id] = now

    def peer_disconnected(self, entry_id: str) -> None:
        """Record that the link to another entry has ended."""
        if entry_id not in self.peers:
            return
        self._record_former_runs(entry_id)
        del self.peers[entry_id]
        del self.peers_connected_at[entry_id]
        self.log.write(PeerChanged(peer=entry_id, state="disconnected"))
        self.pending.set_entry_expiry(
            entry_id, self.former_runs_expire_at[entry_id]
        )
        self.releases.owner_disconnected(entry_id)

    def _record_former_runs(self, entry_id: str) -> None:
        """Record when the runs expire that an entry has now."""
        if entry_id in self.peers:
            self.former_runs_expire_at[entry_id] = (
                self.peers[entry_id] + self.limits.runs_expiry_s
            )

    def receive_from_peer(
        self, entry_id: str, message: PeerMessage, now: float
    ) -> list[EntryEffect]:
        """Handle a message of another entry."""
        if isinstance(message, JobsTaken):
            for job_id in message.job_ids:
                self._handle_job_taken(entry_id, job_id, now)
        elif isinstance(message, ReleaseJob):
            self._handle_release_job(entry_id, message, now)
        elif isinstance(message, JobReleased):
            self._handle_job_released(entry_id, message)
        elif isinstance(message, RecruitAgents):
            self.recruiter.send_agents(entry_id, message)
        self._dispatch(now)
        return self._pop_effects(now)

    def _handle_job_taken(
        self, entry_id: str, job_id: str, now: float
    ) -> None:
        """Record another entry's claim; yield a job accepted here earlier."""
        held = self.jobs.get(job_id)
        if held is not None:
            if now - held.accepted_at < self.limits.concurrent_claim_window_s:
                return
            self._yield(held, entry_id, now)
        self.claims.record_peer(job_id, entry_id, now)
        self.pending.ask_owner(job_id, entry_id)

    def _yield(self, held: HeldJob, entry_id: str, now: float) -> None:
        """Yield a job to another entry, which its caller asks now."""
        self.log.write(
            JobYielded(
                job_id=held.job.job_id,
                entry=entry_id,
                state=held.state.value,
            )
        )
        for request_id in held.waiting_request_ids:
            self.effects.append(
                Answer(request_id=request_id, interrupted=True)
            )
        self._cancel(held, f"its caller asks {entry_id}", now)

    def _yield_pending(self, pending: PendingClaim, entry_id: str) -> None:
        """Yield a job that was not accepted yet to another entry."""
        self.log.write(
            JobYielded(
                job_id=pending.job.job_id, entry=entry_id, state="claimed"
            )
        )
        self.pending.remove(pending)
        for request_id in pending.request_ids:
            self.effects.append(
                Answer(request_id=request_id, interrupted=True)
            )

    def _handle_release_job(
        self, entry_id: str, message: ReleaseJob, now: float
    ) -> None:
        """Yield a job to the entry that asks, or report how it has ended."""
        if self.releases.is_for_other(message):
            self.releases.relay(entry_id, message)
            return
        ended = self.ended.get(message.job_id)
        if ended is not None:
            self.releases.answer_ended(entry_id, message, ended[0].value)
            return
        claimant = message.claimant or entry_id
        held = self.jobs.get(message.job_id)
        pending = self.pending.by_job.get(message.job_id)
        if held is not None:
            self._yield(held, claimant, now)
        elif pending is not None:
            self._yield_pending(pending, claimant)
        # A caller that asks this entry again must not start the job anew.
        self.claims.record_peer(message.job_id, claimant, now)
        self.releases.answer_once_over(entry_id, message)

    def _handle_job_released(
        self, entry_id: str, message: JobReleased
    ) -> None:
        """Answer a claimed job with the state in which it has ended."""
        if self.releases.relay_answer(message):
            return
        self.pending.confirm_ended(message.number, entry_id)
        pending = self.pending.find(message.number)
        if pending is None or not message.state:
            return
        state = JobState(message.state)
        if state not in (JobState.COMPLETED, JobState.FAILED):
            return
        self.pending.remove(pending)
        self._log_joined(pending.job.job_id, state.value)
        for request_id in pending.request_ids:
            self.effects.append(Answer(request_id=request_id, state=state))

    # Time.

    def tick(self, now: float) -> list[EntryEffect]:
        """Process everything that is due; called at the tick interval."""
        if not self.last_tick_at:
            self.discovery_ends_at = now + self.limits.discovery_wait_s
        if self._is_after_pause(now):
            self._resume_after_pause(now)
        self.last_tick_at = now
        self._check_agents(now)
        self._check_peers(now)
        self._expire_lost_runs(now)
        self._refuse_overdue(now)
        self.claims.remove_expired(now)
        self._remove_old_answers(now)
        self._send_heartbeats(now)
        if (
            now - self.last_peer_heartbeat_at
            >= self.limits.peer_heartbeat_interval_s
        ):
            self._send_peer_heartbeats(now)
        self._dispatch(now)
        return self._pop_effects(now)

    def _resume_after_pause(self, now: float) -> None:
        """Close all links to agents, which have stopped this entry's runs."""
        paused_ms = round((now - self.last_tick_at) * 1000)
        self.log.write(ProcessChanged(state="paused", paused_ms=paused_ms))
        self.resumed_at = now
        self.discovery_ends_at = now + self.limits.discovery_wait_s
        for agent_id in list(self.agents):
            self.effects.append(CloseAgent(agent_id))
            self._mark_agent_lost(agent_id, "the entry was paused", now)

    def _check_agents(self, now: float) -> None:
        for agent_id, view in list(self.agents.items()):
            if now - view.last_message_at > self.heartbeat_timeout_s:
                self.effects.append(CloseAgent(agent_id))
                self._mark_agent_lost(agent_id, "silence", now)

    def _check_peers(self, now: float) -> None:
        """Close links whose heartbeat timed out; they are opened again.

        All recently accepted jobs are reported on a new link.
        """
        for entry_id, last_message_at in list(self.peers.items()):
            if now - last_message_at > self.limits.peer_heartbeat_timeout_s:
                self.effects.append(ClosePeer(entry_id))
                self.peer_disconnected(entry_id)

    def _expire_lost_runs(self, now: float) -> None:
        """Requeue tasks whose run at a lost agent has expired."""
        for agent_id, expires_at in list(self.lost_agents.items()):
            if now > expires_at:
                del self.lost_agents[agent_id]
        for held in (*self.jobs.values(), *self.stopping_jobs.values()):
            for task in held.tasks.values():
                if task.expires_at is not None and now > task.expires_at:
                    self._requeue_or_fail(
                        held, task, Ending.LOST, "its agent was lost", now
                    )
            if held.has_no_active_runs:
                self.stopping_jobs.pop(held.job.job_id, None)

    def _refuse_overdue(self, now: float) -> None:
        """Refuse unstarted late jobs that can't be served any more."""
        for held in list(self.jobs.values()):
            if held.has_begun or now < held.due_at:
                continue
            wait_ms, retry_s = self._estimate_wait(held, now)
            if retry_s is None and not self._has_waited_long(held, now):
                continue
            retry_s = retry_s or self.limits.admission.min_retry_s
            self.jobs.pop(held.job.job_id)
            self._refuse(
                held,
                held.waiting_request_ids,
                "waited in vain",
                wait_ms,
                retry_s,
            )

    def _has_waited_long(self, held: HeldJob, now: float) -> bool:
        """Whether a job would have been refused if its wait had been known.

        That is so if its wait passes the longest one by the next tick.
        """
        admission = self.limits.admission
        longest_ms = (
            admission.max_useful_share
            * admission.useful_latency_factor
            * held.objective_ms
        )
        next_tick_at = now + self.limits.tick_interval_s
        return (next_tick_at - held.accepted_at) * 1000 > longest_ms

    def _remove_old_answers(self, now: float) -> None:
        oldest = now - self.limits.answer_retention_s
        while self.ended and next(iter(self.ended.values()))[1] < oldest:
            self.ended.popitem(last=False)

    def _send_heartbeats(self, now: float) -> None:
        """Send heartbeats to agents that were sent nothing else lately.

        The interval grows with the number of agents and never shrinks: an
        agent that missed the message with a shorter interval would end its
        runs later than this entry expects.
        """
        self.agent_heartbeat_interval_s = min(
            self.limits.max_heartbeat_interval_s,
            max(
                self.agent_heartbeat_interval_s,
                len(self.agents) / self.limits.max_heartbeats_per_s,
            ),
        )
        interval_s = self.agent_heartbeat_interval_s
        for agent_id, view in self.agents.items():
            if (
                view.heartbeat_interval_s != interval_s
                or now - view.last_sent_at >= interval_s
            ):
                view.heartbeat_interval_s = interval_s
                heartbeat = Beat(
                    version=self.version, interval_ms=round(interval_s * 1000)
                )
                self.effects.append(SendToAgent(agent_id, heartbeat))

    def _send_peer_heartbeats(self, now: float) -> None:
        """Send heartbeats and newly accepted jobs to other entries."""
        self.last_peer_heartbeat_at = now
        heartbeat = Beat(version=self.version)
        unreported = self.claims.pop_unreported()
        for entry_id in self.peers:
            self.effects.append(SendToPeer(entry_id, heartbeat))
            if unreported:
                taken = JobsTaken(job_ids=unreported)
                self.effects.append(SendToPeer(entry_id, taken))

    def _dispatch(self, now: float) -> None:
        """Accept the jobs of resolved claims and send waiting tasks."""
        self.releases.answer_over(self.stopping_jobs)
        for pending in self.pending.pop_ready(now, self.stopping_jobs):
            self._admit_claimed(pending, now)
        self.sender.dispatch(self._dispatchable_jobs(now), now)
        if self.sender.unplaced is not None:
            self.recruiter.ask(self.sender.unplaced, now)

    def _dispatchable_jobs(self, now: float) -> list[HeldJob]:
        """Return the jobs whose tasks may be sent.

        Jobs from before a pause may have been taken over by other entries,
        which report that on their new links.
        """
        if self._is_after_pause(now):
            return []
        reported_at = self.resumed_at + self.limits.unconnected_wait_s
        return [
            held
            for held in self.jobs.values()
            if now >= reported_at or held.accepted_at > self.resumed_at
        ]

    def _is_after_pause(self, now: float) -> bool:
        """Whether the process was paused and no tick has followed yet."""
        paused_s = now - self.last_tick_at if self.last_tick_at else 0.0
        return paused_s > self.limits.pause_threshold_s

    def _pop_effects(self, now: float) -> list[EntryEffect]:
        effects = list(self.effects)
        self.effects.clear()
        for effect in effects:
            if isinstance(effect, SendToAgent):
                view = self.agents.get(effect.agent_id)
                if view is not None:
                    view.last_sent_at = now
        return effects
