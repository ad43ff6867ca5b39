"""Decision logic of the leader of a cell, for one term.

Free of I/O. A leadership lasts from the moment it fences the agents until
a higher term or the loss of the majority ends it. The entry then forwards
the open requests to the next leader of the cell.
"""

import dataclasses
import enum
import random

from egretcart.connection.agent_messages import AgentHello
from egretcart.connection.agent_messages import AgentMessage
from egretcart.connection.agent_messages import FenceReply
from egretcart.connection.agent_messages import HeartbeatReply
from egretcart.connection.agent_messages import LedgerReply
from egretcart.connection.agent_messages import TaskResult
from egretcart.connection.cell_types import Roster
from egretcart.connection.cell_types import RosterMember
from egretcart.connection.cell_types import Term
from egretcart.connection.leader_messages import Fence
from egretcart.process.agent.leases import LeaseManager
from egretcart.process.cell.agent_load import AgentLoad
from egretcart.process.cell.effects import LeaderEffect
from egretcart.process.cell.effects import RequestToken
from egretcart.process.cell.effects import SendReply
from egretcart.process.cell.effects import SendToAgent
from egretcart.process.cell.effects import StepDown
from egretcart.process.cell.effects import WriteRoster
from egretcart.process.cell.held_replies import HeldReplies
from egretcart.process.cell.jobs import JobManager
from egretcart.process.cell.limits import LeaderLimits
from egretcart.process.cell.quorum import Quorum
from egretcart.process.cell.roster_changes import RosterChanges
from egretcart.process.cell.takeover import Takeover
from egretcart.process.cell.takeover import TakeoverStep
from egretcart.process.clock import Clock
from egretcart.process.entry.answers import AnswerCache
from egretcart.process.policy.bundle import standard_policy
from egretcart.request import outcomes
from egretcart.request.identity import JobId
from egretcart.request.job import Job
from egretcart.request.reply import NOT_LEADER
from egretcart.request.reply import problem_reply
from egretcart.version.document import Configuration

MS_PER_S = 1000


class Phase(enum.Enum):
    """Stage of a leadership.

    `FENCING` asks the agents to promise the term, `WAITING` waits until the
    leases of the former term have expired, `SERVING` accepts jobs, and
    `ENDED` is final.
    """

    FENCING = "fencing"
    WAITING = "waiting"
    SERVING = "serving"
    ENDED = "ended"


@dataclasses.dataclass(frozen=True, slots=True)
class QueuedSubmission:
    """A submission that arrived before the takeover was complete."""

    token: RequestToken
    job: Job


class Leadership:
    """Leads one cell for one term.

    Parameters
    ----------
    service : str
    cell : int
        Index of the cell in its service.
    term : Term
    roster : Roster
        Newest roster that the entry knows.
    configuration : Configuration
    limits : LeaderLimits
    clock : Clock
    answers : AnswerCache
        Owned by the process and shared by its leaderships.

    Attributes
    ----------
    phase : Phase
    incomplete_since : float
        Monotonic time, in seconds, since which the term has had no majority
        or a connected member of the roster has not been counted; infinite if
        neither is the case.
    quorum : Quorum
    leases : LeaseManager
    job_manager : JobManager
    agents : dict of str to AgentHello
        Connected agents by id, including those that have not promised the
        term.
    roster_changes : RosterChanges
    takeover : Takeover
    queued_submissions : list of QueuedSubmission
        Submissions that wait until the takeover is complete.
    unconfirmed_replies : HeldReplies
    is_roster_write_pending : bool
        Whether a roster was sent to the store and no result has arrived.
    excluded_agent_ids : set of str
        Ids of the agents that the configuration allows no new work.
    """

    def __init__(
        self,
        *,
        service: str,
        cell: int,
        term: Term,
        roster: Roster,
        configuration: Configuration,
        limits: LeaderLimits,
        clock: Clock,
        answers: AnswerCache,
    ) -> None:
        self.service = service
        self.cell = cell
        self.term = term
        self.configuration = configuration
        self.limits = limits
        self.clock = clock
        self.phase = Phase.FENCING
        self.incomplete_since = float("inf")
        self.quorum = Quorum(roster=roster)
        self.leases = LeaseManager(
            term=term, quorum=self.quorum, limits=limits
        )
        self.leases.config_version = configuration.version
        self.job_manager = JobManager(
            term=term,
            limits=limits,
            clock=clock,
            answers=answers,
            policy=standard_policy(rng=random.Random(repr(term))),
        )
        self.job_manager.configure(configuration, service)
        self.agents: dict[str, AgentHello] = {}
        self.roster_changes = RosterChanges(
            quorum=self.quorum,
            agents=self.agents,
            loads=self.job_manager.loads,
            limits=limits,
            clock=clock,
        )
        self.takeover = Takeover(
            quorum=self.quorum,
            roster_changes=self.roster_changes,
            limits=limits,
            clock=clock,
        )
        self.queued_submissions: list[QueuedSubmission] = []
        self.unconfirmed_replies = HeldReplies(leases=self.leases, clock=clock)
        self.is_roster_write_pending = False
        self.excluded_agent_ids: set[str] = set()

    def configure(self, configuration: Configuration) -> list[LeaderEffect]:
        """Activate a newer configuration."""
        self.configuration = configuration
        for agent_id in self.agents:
            self._update_excluded(agent_id)
        self.job_manager.configure(configuration, self.service)
        self.leases.config_version = configuration.version
        heartbeats = self.leases.open_round(self.clock.monotonic())
        return self._hold_unconfirmed(heartbeats + self._place())

    def _update_excluded(self, agent_id: str) -> None:
        """Exclude an agent from new work if the configuration requires it."""
        if self.configuration.admits(self.service, agent_id):
            self.excluded_agent_ids.discard(agent_id)
        else:
            self.excluded_agent_ids.add(agent_id)

    # Requests.

    def submit(self, token: RequestToken, job: Job) -> list[LeaderEffect]:
        """Accept a submission, or queue it until the takeover is complete."""
        if self.phase is Phase.ENDED:
            return [SendReply(token, NOT_LEADER)]
        age_s = (self.clock.unix_ms() - job.job_id.created_ms) / MS_PER_S
        window_s = self.limits.window_s
        if age_s > window_s:
            expired = outcomes.id_expired(job.job_id, age_s, window_s)
            return [SendReply(token, problem_reply(expired))]
        if self.phase is not Phase.SERVING:
            self.queued_submissions.append(QueuedSubmission(token, job))
            return []
        return self._hold_unconfirmed(
            self.job_manager.submit(token, job) + self._place()
        )

    def read(self, token: RequestToken, job_id: JobId) -> list[LeaderEffect]:
        """Reply with a job's cached answer or its progress."""
        if self.phase is not Phase.SERVING:
            return [SendReply(token, NOT_LEADER)]
        return self._hold_unconfirmed(self.job_manager.read(token, job_id))

    def cancel(self, token: RequestToken, job_id: JobId) -> list[LeaderEffect]:
        """Cancel a job at its caller's request."""
        if self.phase is not Phase.SERVING:
            return [SendReply(token, NOT_LEADER)]
        return self._hold_unconfirmed(
            self.job_manager.cancel(token, job_id) + self._place()
        )

    def _hold_unconfirmed(
        self, effects: list[LeaderEffect]
    ) -> list[LeaderEffect]:
        """Hold replies that may only be sent once the term is confirmed.

        The confirmation shows that no later leader has fenced this one.
        """
        if self.phase is Phase.ENDED:
            return effects
        return self.unconfirmed_replies.hold_unconfirmed(effects)

    # Agents.

    def agent_connected(self, hello: AgentHello) -> list[LeaderEffect]:
        """Handle the `AgentHello` of a new connection."""
        if self.phase is Phase.ENDED:
            return []
        self.agents[hello.agent_id] = hello
        self._update_excluded(hello.agent_id)
        fence = Fence(term=self.term, cell=self.cell, by_query=True)
        return [SendToAgent(hello.agent_id, fence)]

    def agent_disconnected(self, agent_id: str) -> None:
        """Handle the loss of an agent's connection."""
        self.agents.pop(agent_id, None)
        self.quorum.remove(agent_id)
        self.job_manager.agent_lost(agent_id)
        self.roster_changes.absent_since[agent_id] = self.clock.monotonic()

    def receive(
        self, agent_id: str, message: AgentMessage
    ) -> list[LeaderEffect]:
        """Handle a message from a connected agent."""
        if self.phase is Phase.ENDED or agent_id not in self.agents:
            return []
        if isinstance(message, TaskResult):
            effects = self.job_manager.task_result(agent_id, message)
            effects += self.leases.handle_result_confirmation(
                agent_id, message, self.clock.monotonic()
            )
        elif isinstance(message, HeartbeatReply):
            effects = self._heartbeat_reply(agent_id, message)
        elif isinstance(message, FenceReply):
            effects = self._fence_reply(agent_id, message)
        elif isinstance(message, LedgerReply):
            effects = self.job_manager.ledger_reply(agent_id, message)
        else:
            effects = self.agent_connected(message)
        return (
            self._hold_unconfirmed(effects + self._place())
            + self.unconfirmed_replies.release()
        )

    def tick(self) -> list[LeaderEffect]:
        """Do the periodic work that is due."""
        now = self.clock.monotonic()
        effects: list[LeaderEffect] = []
        if self.phase in (Phase.FENCING, Phase.WAITING):
            effects += self._advance_takeover(now)
        if self.phase is Phase.SERVING:
            effects += self._check_quorum(now)
        if self.phase is Phase.SERVING:
            effects += self.job_manager.tick()
            effects += self._change_roster(now)
        if self.phase is Phase.ENDED:
            return effects
        effects += self._tick_rounds(now)
        return self._hold_unconfirmed(effects + self._place())

    def resign(self, reason: str) -> list[LeaderEffect]:
        """End the leadership on purpose."""
        return self._end(self.term, reason, retry=False)

    # Takeover.

    def _fence_reply(
        self, agent_id: str, reply: FenceReply
    ) -> list[LeaderEffect]:
        if not reply.accepted:
            return self._end(reply.term, "a higher term was promised")
        if reply.term != self.term:
            return []
        now = self.clock.monotonic()
        if reply.roster.version > self.quorum.roster.version:
            self.quorum.roster = reply.roster
        serving = self.phase is Phase.SERVING
        add = self.quorum.add_joining if serving else self.quorum.add_fenced
        add(
            agent_id,
            incarnation=reply.incarnation,
            stamp_us=reply.stamp_us,
            now=now,
        )
        self.roster_changes.absent_since.pop(agent_id, None)
        self.takeover.newest_job_ms[agent_id] = reply.newest_job_ms
        load = self._new_load(agent_id)
        effects = self.job_manager.agent_fenced(
            load, reply.records, by_query=reply.by_query
        )
        self._record_restart(load)
        if serving:
            return effects + self.leases.open_round(now)
        return effects + self._advance_takeover(now)

    def _record_restart(self, load: AgentLoad) -> None:
        """Reserve the slots that an agent's former incarnation may occupy.

        The roster still lists the incarnation that was lost.
        """
        for member in self.quorum.roster.members:
            is_other = member.incarnation != load.incarnation
            if member.agent_id == load.agent_id and is_other:
                self.job_manager.recovery.agent_restarted(
                    load,
                    former=member.incarnation,
                    started_ms=self.agents[load.agent_id].started_ms,
                )

    def _new_load(self, agent_id: str) -> AgentLoad:
        hello = self.agents[agent_id]
        return AgentLoad(
            agent_id=agent_id,
            incarnation=hello.incarnation,
            failure_domain=hello.failure_domain,
            slots=hello.slots,
            queue_depth=self.limits.queue_depth,
            draining=hello.draining,
        )

    def _advance_takeover(self, now: float) -> list[LeaderEffect]:
        """Do the next step of the takeover.

        The leader begins to serve the cell once no start of a former leader
        can be executed any more.
        """
        step = self.takeover.next_step(now)
        if step is TakeoverStep.BOOTSTRAP:
            return self._write_first_roster()
        if step is TakeoverStep.RENEW:
            return self._write_renewed_roster()
        if step in (TakeoverStep.NO_MAJORITY, TakeoverStep.ROSTER_FORGOTTEN):
            return self._end(self.term, step.value, retry=True)
        if step is TakeoverStep.WAIT:
            self.phase = Phase.WAITING
        if step is TakeoverStep.SERVE:
            return self._serve(now)
        return []

    def _write_first_roster(self) -> list[LeaderEffect]:
        members = tuple(
            RosterMember(
                agent_id=member.agent_id, incarnation=member.incarnation
            )
            for member in self.quorum.members.values()
        )
        if self.is_roster_write_pending or not members:
            return []
        self.is_roster_write_pending = True
        return [WriteRoster(Roster(version=1, members=members))]

    def _write_renewed_roster(self) -> list[LeaderEffect]:
        """Write a renewed roster.

        The write succeeds only if the store has no newer roster, so it
        shows that the restarted members have not forgotten one.
        """
        roster = self.roster_changes.renewed_roster()
        if roster is None or self.is_roster_write_pending:
            return []
        self.takeover.has_renewed_roster = True
        self.is_roster_write_pending = True
        return [WriteRoster(roster)]

    def _serve(self, now: float) -> list[LeaderEffect]:
        self.phase = Phase.SERVING
        self.job_manager.recovery.serve(
            uncertain_before_ms=self.takeover.uncertain_before_ms(),
            query_before_ms=self.takeover.query_before_ms(),
        )
        self.job_manager.serving_since = now
        self.roster_changes.record_absent_members(now)
        effects = self.leases.open_round(now)
        queued_submissions, self.queued_submissions = (
            self.queued_submissions,
            [],
        )
        for request in queued_submissions:
            effects += self.job_manager.submit(request.token, request.job)
        return effects

    # Rounds and leases.

    def _heartbeat_reply(
        self, agent_id: str, reply: HeartbeatReply
    ) -> list[LeaderEffect]:
        if reply.term > self.term:
            return self._end(reply.term, "a higher term was promised")
        load = self.job_manager.loads.get(agent_id)
        if reply.term != self.term or load is None:
            return []
        load.draining = reply.draining
        now = self.clock.monotonic()
        self.quorum.confirm(
            agent_id,
            round_number=reply.round,
            stamp_us=reply.stamp_us,
            roster_version=reply.roster_version,
            now=now,
        )
        effects: list[LeaderEffect] = []
        if load.draining and self.phase is Phase.SERVING:
            effects += self.job_manager.recovery.agent_draining(agent_id)
        return effects + self.leases.send_proofs(now)

    def _tick_rounds(self, now: float) -> list[LeaderEffect]:
        """Open a round that is due, or send what was not piggybacked."""
        leases = self.leases
        if leases.is_round_due(now, has_work=self._has_work()):
            if self._may_piggyback_round():
                return leases.open_piggybacked_round(now)
            return leases.open_round(now)
        return leases.tick(now)

    def _may_piggyback_round(self) -> bool:
        """Return whether the next round is only needed to renew leases."""
        return (
            bool(self.job_manager.jobs)
            and not self.unconfirmed_replies.waiting
            and self.phase is Phase.SERVING
            and self.quorum.is_complete()
            and self.quorum.is_roster_recorded()
        )

    def _has_work(self) -> bool:
        """Return whether leases are needed or a change is in progress."""
        return (
            bool(self.job_manager.jobs or self.unconfirmed_replies.waiting)
            or bool(self.job_manager.recovery.ledger_queries.open)
            or self.phase is not Phase.SERVING
            or not self.quorum.is_complete()
            or not self.quorum.is_roster_recorded()
        )

    def _check_quorum(self, now: float) -> list[LeaderEffect]:
        """End a term that can no longer be confirmed.

        It ends if, for `LeaderLimits.fence_limit_s`, a held reply has waited
        for its round, or there was no majority, or a connected member of the
        roster was not counted.
        """
        limit_s = self.limits.fence_limit_s
        if self.unconfirmed_replies.is_overdue(now, limit_s):
            return self._end(
                self.term, "a round was not confirmed", retry=True
            )
        if (
            self.quorum.has_majority()
            and not self.quorum.has_unconfirmed_member()
        ):
            self.incomplete_since = float("inf")
            return []
        self.incomplete_since = min(self.incomplete_since, now)
        if now < self.incomplete_since + limit_s:
            return []
        return self._end(
            self.term, "the term can't be confirmed any more", retry=True
        )

    def _place(self) -> list[LeaderEffect]:
        if self.phase is not Phase.SERVING:
            return []
        if not self.job_manager.has_waiting:
            return []
        now = self.clock.monotonic()
        leased_agents = (
            self.leases.leased_agents(now) - self.excluded_agent_ids
        )
        effects = self.leases.piggyback(self.job_manager.place(leased_agents))
        if self.job_manager.has_waiting:
            effects += self.leases.renew_expired(now)
        return effects

    # Roster.

    def _change_roster(self, now: float) -> list[LeaderEffect]:
        """Write the next change of one member.

        A majority must have recorded the roster of the previous change.
        """
        if (
            self.is_roster_write_pending
            or not self.quorum.is_roster_recorded()
        ):
            return []
        roster = self.roster_changes.next_roster(now)
        if roster is None:
            return []
        self.is_roster_write_pending = True
        return [WriteRoster(roster)]

    def roster_written(self, accepted: Roster | None) -> list[LeaderEffect]:
        """Handle the result of a roster write.

        Parameters
        ----------
        accepted : Roster or None
            The roster that the platform's store now contains, written by
            this leader or by another; None if the store did not answer.

        Returns
        -------
        list of LeaderEffect
        """
        self.is_roster_write_pending = False
        if self.phase is Phase.ENDED or accepted is None:
            return []
        if accepted.version > self.quorum.roster.version:
            self.quorum.roster = accepted
        now = self.clock.monotonic()
        if self.phase is not Phase.SERVING:
            return self._hold_unconfirmed(self._advance_takeover(now))
        return self.leases.open_round(now)

    # End.

    def _end(
        self, seen: Term, reason: str, *, retry: bool = False
    ) -> list[LeaderEffect]:
        """End the term.

        The open requests are answered with `NOT_LEADER`, so the entries
        forward them to the next leader.

        Parameters
        ----------
        seen : Term
            Highest known term.
        reason : str
        retry : bool
            Whether this entry should soon try to lead again with a higher
            term.

        Returns
        -------
        list of LeaderEffect
        """
        self.phase = Phase.ENDED
        tokens = [request.token for request in self.queued_submissions]
        tokens += self.unconfirmed_replies.end()
        tokens += self.job_manager.end()
        effects: list[LeaderEffect] = [
            SendReply(token, NOT_LEADER) for token in tokens
        ]
        self.queued_submissions = []
        effects.append(StepDown(max(seen, self.term), reason, retry))
        return effects
