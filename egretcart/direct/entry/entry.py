"""The entry: accepts callers' jobs and sends their tasks. Free of I/O."""

import math
import random

from egretcart.direct.connection.messages import AgentHello
from egretcart.direct.connection.messages import AgentMessage
from egretcart.direct.connection.messages import PeerMessage
from egretcart.direct.entry.agent_runs import AgentRuns
from egretcart.direct.entry.answer_memory import AnswerMemory
from egretcart.direct.entry.drain_relay import DrainRelay
from egretcart.direct.entry.entry_state import EntryState
from egretcart.direct.entry.entry_types import DirectEntryLimits
from egretcart.direct.entry.entry_types import EntryEffect
from egretcart.direct.entry.entry_types import SendToAgent
from egretcart.direct.entry.job_admission import JobAdmission
from egretcart.direct.entry.job_endings import JobEndings
from egretcart.direct.entry.job_releases import JobReleases
from egretcart.direct.entry.peer_entries import PeerEntries
from egretcart.direct.entry.pending_claims import PendingClaims
from egretcart.direct.entry.recruiting import AgentRecruiter
from egretcart.direct.entry.task_sender import TaskSender
from egretcart.direct.entry.waiting_notices import WaitingNotices
from egretcart.direct.log.decisions import ConfigurationAccepted
from egretcart.direct.log.decisions import DecisionLog
from egretcart.direct.log.decisions import ProcessChanged
from egretcart.direct.log.decisions import RotationChanged
from egretcart.direct.log.decisions import RoutesConfined
from egretcart.direct.policy.capacity_offers import TickLateness
from egretcart.direct.policy.placement import Placement
from egretcart.direct.policy.rotation import Rotation
from egretcart.direct.request.held_job import HeldJob
from egretcart.direct.request.job import Job
from egretcart.direct.request.job import JobState
from egretcart.direct.version.configuration import Route
from egretcart.direct.version.configuration import RoutingConfiguration
from egretcart.direct.version.drained_domains import DrainedDomains
from egretcart.direct.version.drained_domains import STORE_SOURCE


class DirectEntry:
    """Accepts jobs, sends their tasks to agents, and answers callers.

    It calls its parts, sends what can be sent after each call, and returns
    the effects.

    Parameters
    ----------
    entry_id : str
    limits : DirectEntryLimits
    log : DecisionLog
    source : random.Random
        Random source of the placement.

    Attributes
    ----------
    state : EntryState
        What the parts share.
    agents : dict of str to AgentView
    jobs : dict of str to HeldJob
    claims : ClaimTable
    effects : list of EntryEffect
        These are of `state`.
    last_tick_at : float
        Time of the last tick; 0 before the first.
    resumed_at : float
        When the last pause of the process was noticed; minus infinity if
        there was none.
    memory : AnswerMemory
    drains : DrainRelay
        Failure domains in which nothing may begin.
    pending : PendingClaims
        Jobs that are not accepted yet, as they may run for other entries.
    releases : JobReleases
        Other entries' questions about jobs that they take over.
    recruiter : AgentRecruiter
    lateness : TickLateness
    rotation : Rotation
        Whether this entry stays in the balancer's rotation.
    sender : TaskSender
    endings : JobEndings
    admission : JobAdmission
    runs : AgentRuns
    peers : PeerEntries
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
        state = EntryState(entry_id=entry_id, limits=limits, log=log)
        self.state = state
        self.agents = state.agents
        self.jobs = state.jobs
        self.claims = state.claims
        self.effects = state.effects
        self.last_tick_at = 0.0
        self.resumed_at = -math.inf
        self.memory = AnswerMemory(retention_s=limits.answer_retention_s)
        self.drains = DrainRelay(state=state)
        self.pending = PendingClaims(
            effects=state.effects, log=log, source=source
        )
        self.releases = JobReleases(
            entry_id=entry_id, peers=state.peers, effects=state.effects
        )
        self.recruiter = AgentRecruiter(
            limits=limits.recruiting,
            agents=state.agents,
            peers=state.peers,
            effects=state.effects,
            log=log,
            source=source,
        )
        self.lateness = TickLateness(
            interval_s=limits.tick_interval_s,
            max_lateness_s=limits.notices.max_lateness_s,
        )
        self.rotation = Rotation(
            limits=limits.rotation, tick_interval_s=limits.tick_interval_s
        )
        self.sender = TaskSender(
            lateness=self.lateness,
            agents=state.agents,
            placement=Placement(
                limits=limits.placement,
                far_factor=limits.far_factor,
                source=source,
            ),
            effects=state.effects,
            notices=WaitingNotices(
                limits=limits.notices,
                agents=state.agents,
                effects=state.effects,
                source=source,
            ),
            confinement=state.confinement,
            log=log,
        )
        self.endings = JobEndings(state=state, memory=self.memory)
        self.admission = JobAdmission(
            state=state,
            endings=self.endings,
            memory=self.memory,
            pending=self.pending,
            drains=self.drains,
        )
        self.runs = AgentRuns(
            state=state,
            endings=self.endings,
            pending=self.pending,
            drains=self.drains,
        )
        self.peers = PeerEntries(
            state=state,
            endings=self.endings,
            memory=self.memory,
            pending=self.pending,
            releases=self.releases,
            recruiter=self.recruiter,
            drains=self.drains,
            rotation=self.rotation,
        )

    # Standing orders of the operators.

    @property
    def configuration(self) -> RoutingConfiguration | None:
        """Active configuration; None until one is known."""
        return self.state.configuration

    def configure(
        self, configuration: RoutingConfiguration, source: str
    ) -> bool:
        """Activate a configuration if it is newer than the active one."""
        former = (
            self.state.configuration.version if self.state.configuration else 0
        )
        if configuration.version <= former:
            return False
        self.state.activate(configuration)
        self.pending.apply_routes(configuration)
        self.rotation.tolerate(configuration.shortest_slack_s)
        self.log.write(
            ConfigurationAccepted(
                version=configuration.version,
                former=former,
                source=source,
                routes=len(configuration.routes),
            )
        )
        return True

    def learn_drained_domains(
        self, drained: DrainedDomains, now: float
    ) -> list[EntryEffect]:
        """Apply the state that the store has of the drained domains."""
        self.drains.learn(drained, STORE_SOURCE, now)
        self._dispatch(now)
        return self._pop_effects(now)

    @property
    def version(self) -> int:
        """Version of the active configuration; 0 if there is none."""
        return self.state.version

    @property
    def agent_heartbeat_interval_s(self) -> float:
        """Time between two heartbeats to an agent, in seconds."""
        return self.runs.heartbeat_interval_s

    @property
    def heartbeat_timeout_s(self) -> float:
        """Time without messages after which a link is closed, in seconds.

        It applies to links to agents; an agent marks this entry as lost
        after the same time.
        """
        return self.runs.heartbeat_timeout_s

    @property
    def is_ready(self) -> bool:
        """Whether callers should be sent here.

        Callers for whom only drained agents are left are refused at once,
        with a time after which to retry; no other entry can do more.
        """
        return (
            self.configuration is not None
            and any(
                view.status.accepting or view.is_drained or view.is_taken_back
                for view in self.agents.values()
            )
            and self.admission.stop_deadline is None
            and not self.rotation.is_out
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
        """Handle a request that submits a job, see `JobAdmission.submit`."""
        if self._is_after_pause(now):
            self._wait_for_claims(now)
        self.admission.submit(
            request_id, job, route, now, wait_limit_s=wait_limit_s
        )
        self._dispatch(now)
        return self._pop_effects(now)

    def caller_disconnected(
        self, job_id: str, request_id: int, now: float
    ) -> list[EntryEffect]:
        """Record that a caller no longer waits for its job."""
        self.admission.caller_disconnected(job_id, request_id, now)
        self._dispatch(now)
        return self._pop_effects(now)

    def cancel(self, job_id: str, now: float) -> list[EntryEffect]:
        """Cancel a job at its caller's request."""
        self.admission.cancel(job_id, now)
        self._dispatch(now)
        return self._pop_effects(now)

    def state_of(self, job_id: str) -> JobState | None:
        """Return how far a job has come; None if it is not known."""
        held = self.jobs.get(job_id)
        if held is not None:
            return held.state
        return self.memory.state_of(job_id)

    def stop(self, stop_deadline: float, now: float) -> None:
        """Accept only jobs that can be answered by a deadline from now on."""
        self.admission.stop_deadline = stop_deadline
        self.log.write(ProcessChanged(state="stopping"))

    def interrupt(self, now: float) -> list[EntryEffect]:
        """Interrupt all waiting callers, so that they ask other entries."""
        self.endings.interrupt(now)
        self.pending.interrupt_all()
        return self._pop_effects(now)

    # Agents.

    def agent_connected(
        self, hello: AgentHello, now: float
    ) -> list[EntryEffect]:
        """Handle the first message of an agent on a new link."""
        self.runs.connected(hello, now)
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
        self.runs.mark_lost(agent_id, "its link has ended", now)
        return self._pop_effects(now)

    def receive(
        self, agent_id: str, message: AgentMessage, now: float
    ) -> list[EntryEffect]:
        """Handle a message of a connected agent."""
        self.runs.receive(agent_id, message, now)
        return self._pop_effects(now)

    def dispatch_waiting(self, now: float) -> list[EntryEffect]:
        """Send tasks that can be sent; called after a batch of messages."""
        self._dispatch(now)
        return self._pop_effects(now)

    # Other entries.

    def peer_connected(self, entry_id: str, now: float) -> list[EntryEffect]:
        """Record a connected entry and report recently accepted jobs to it."""
        self.peers.connected(entry_id, now)
        return self._pop_effects(now)

    def peer_heartbeat_received(
        self, entry_id: str, now: float, lateness_ms: int = 0
    ) -> None:
        """Record a heartbeat of another entry; see `Beat.lateness_ms`."""
        self.peers.heartbeat_received(entry_id, now, lateness_ms)

    def peer_disconnected(self, entry_id: str) -> None:
        """Record that the link to another entry has ended."""
        self.peers.disconnected(entry_id)

    def receive_from_peer(
        self, entry_id: str, message: PeerMessage, now: float
    ) -> list[EntryEffect]:
        """Handle a message of another entry."""
        self.peers.receive(entry_id, message, now)
        self._dispatch(now)
        return self._pop_effects(now)

    # Time.

    def tick(self, now: float) -> list[EntryEffect]:
        """Process everything that is due; called at the tick interval."""
        if not self.last_tick_at:
            self.state.discovery_ends_at = now + self.limits.discovery_wait_s
        if self._is_after_pause(now):
            self._resume_after_pause(now)
        if self.last_tick_at:
            self.lateness.record(now - self.last_tick_at)
            self._decide_rotation(now)
        self.last_tick_at = now
        self.runs.check_silence(now)
        self.peers.check_silence(now)
        self.runs.expire_lost_runs(now)
        self.admission.refuse_overdue(now)
        self.claims.remove_expired(now)
        self.state.crash_scores.remove_expired(now)
        self._update_confinement(now)
        self.memory.remove_old(now)
        self.runs.send_heartbeats(now)
        self.peers.send_heartbeats(now)
        self._dispatch(now)
        return self._pop_effects(now)

    def _update_confinement(self, now: float) -> None:
        """Confine routes whose jobs crash servers, or release them."""
        confinement = self.state.confinement
        services = {
            agent_id: view.service for agent_id, view in self.agents.items()
        }
        if confinement.update(services, now):
            self.log.write(
                RoutesConfined(
                    routes=tuple(sorted(confinement.routes)),
                    agents=tuple(sorted(confinement.agents)),
                    given_up=len(confinement.given_up),
                )
            )

    def _decide_rotation(self, now: float) -> None:
        """Leave the balancer's rotation, or return, if it is time."""
        change = self.rotation.record(now - self.last_tick_at, now)
        if change is not None:
            self.log.write(
                RotationChanged(
                    state=change.value,
                    lateness_ms=round(self.rotation.lateness_s * 1000),
                    tolerated_ms=round(self.rotation.tolerated_s * 1000),
                    others=len(self.rotation.others_s),
                    others_with_room=self.rotation.others_with_room,
                    interval_s=self.rotation.interval_s,
                )
            )

    def _resume_after_pause(self, now: float) -> None:
        """Close all links to agents, which have stopped this entry's runs."""
        paused_ms = round((now - self.last_tick_at) * 1000)
        self.log.write(ProcessChanged(state="paused", paused_ms=paused_ms))
        self.resumed_at = now
        self._wait_for_claims(now)
        self.state.discovery_ends_at = now + self.limits.discovery_wait_s
        self.runs.close_all("the entry was paused", now)

    def _wait_for_claims(self, now: float) -> None:
        self.state.claims_missing_until = now + self.limits.unconnected_wait_s

    def _dispatch(self, now: float) -> None:
        """Accept the jobs of resolved claims and send waiting tasks."""
        self.releases.answer_over(self.state.stopping_jobs)
        for pending in self.pending.pop_ready(now, self.state.stopping_jobs):
            self.admission.admit_claimed(pending, now)
        self.sender.dispatch(self._dispatchable_jobs(now), now)
        for unplaced in self.sender.unplaced.values():
            self.recruiter.ask(unplaced.step, unplaced.service, now)

    def _dispatchable_jobs(self, now: float) -> list[HeldJob]:
        """Return the jobs whose tasks may be sent.

        Jobs from before a pause may have been taken over by other entries,
        which report that on their new links.
        """
        if self._is_after_pause(now):
            return []
        return [
            held
            for held in self.jobs.values()
            if now >= self.state.claims_missing_until
            or held.accepted_at > self.resumed_at
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
