"""Decision logic of a cell's leader, for one term.

Free of I/O. A leadership lives from its first fence until a higher term
or a loss of the majority ends it; the entry then forwards the requests
again, to whoever leads next.
"""

import dataclasses
import enum
import random

from egretcart.connection.messages import AgentHello
from egretcart.connection.messages import AgentMessage
from egretcart.connection.messages import Fence
from egretcart.connection.messages import FenceReply
from egretcart.connection.messages import HeartbeatReply
from egretcart.connection.messages import LedgerReply
from egretcart.connection.messages import Roster
from egretcart.connection.messages import RosterMember
from egretcart.connection.messages import TaskResult
from egretcart.connection.messages import Term
from egretcart.process.answers import AnswerCache
from egretcart.process.clock import Clock
from egretcart.process.effects import LeaderEffect
from egretcart.process.effects import RequestToken
from egretcart.process.effects import SendReply
from egretcart.process.effects import SendToAgent
from egretcart.process.effects import StepDown
from egretcart.process.effects import WriteRoster
from egretcart.process.jobs import JobBook
from egretcart.process.leases import Leases
from egretcart.process.limits import LeaderLimits
from egretcart.process.policy.bundle import standard_policy
from egretcart.process.quorum import Quorum
from egretcart.process.roster_changes import RosterChanges
from egretcart.process.scheduler import AgentLoad
from egretcart.request import outcomes
from egretcart.request.identity import JobId
from egretcart.request.job import Job
from egretcart.request.reply import NOT_LEADER
from egretcart.request.reply import problem_reply
from egretcart.version.document import Configuration

MS_PER_S = 1000
# Shortest time between two rounds that replies wait for, in seconds.
CONFIRM_INTERVAL_S = 0.005


class Phase(enum.Enum):
    """How far a leadership has come."""

    FENCING = "fencing"
    WAITING = "waiting"
    SERVING = "serving"
    ENDED = "ended"


@dataclasses.dataclass(frozen=True, slots=True)
class EarlyRequest:
    """A submission that came before the takeover was over."""

    token: RequestToken
    job: Job


@dataclasses.dataclass(frozen=True, slots=True)
class HeldReply:
    """A reply that says not run, until the term is confirmed.

    Attributes
    ----------
    effect : SendReply
    round_number : int
        First round whose confirmation releases the reply.
    since : float
        Monotonic time from which it waits.
    """

    effect: SendReply
    round_number: int
    since: float


class Leadership:
    """Leads one cell for one term.

    Parameters
    ----------
    service : str
    cell : int
    term : Term
    roster : Roster
        Newest roster that the entry knows.
    configuration : Configuration
    limits : LeaderLimits
    clock : Clock
    answers : AnswerCache
        Kept by the process over its leaderships.

    Attributes
    ----------
    phase : Phase
    quorum : Quorum
    book : JobBook
    agents : dict of str to AgentHello
        Connected agents, whether they promised the term or not.
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
        self.started_at = clock.monotonic()
        self.majority_at = float("inf")
        self.incomplete_since = float("inf")
        self.quorum = Quorum(roster=roster)
        self.leases = Leases(term=term, quorum=self.quorum, limits=limits)
        self.leases.config_version = configuration.version
        self.book = JobBook(
            term=term,
            limits=limits,
            clock=clock,
            answers=answers,
            policy=standard_policy(rng=random.Random(repr(term))),
        )
        self.book.configure(configuration, service)
        self.agents: dict[str, AgentHello] = {}
        self.roster_changes = RosterChanges(
            quorum=self.quorum,
            agents=self.agents,
            loads=self.book.loads,
            limits=limits,
            clock=clock,
        )
        self.early: list[EarlyRequest] = []
        self.held: list[HeldReply] = []
        self.roster_write_pending = False
        self.barred: set[str] = set()

    def configure(self, configuration: Configuration) -> list[LeaderEffect]:
        """Put a newer configuration in force."""
        self.configuration = configuration
        for agent_id in self.agents:
            self._bar(agent_id)
        self.book.configure(configuration, self.service)
        self.leases.config_version = configuration.version
        told = self.leases.open_round(self.clock.monotonic())
        return self._hold(told + self._place())

    def _bar(self, agent_id: str) -> None:
        """Keep new work from an agent that the configuration rules out."""
        if self.configuration.admits(self.service, agent_id):
            self.barred.discard(agent_id)
        else:
            self.barred.add(agent_id)

    # Requests.

    def submit(self, token: RequestToken, job: Job) -> list[LeaderEffect]:
        """Accept a submission, or keep it until the takeover is over."""
        if self.phase is Phase.ENDED:
            return [SendReply(token, NOT_LEADER)]
        age_s = (self.clock.unix_ms() - job.job_id.created_ms) / MS_PER_S
        window_s = self.limits.window_s
        if age_s > window_s:
            expired = outcomes.id_expired(job.job_id, age_s, window_s)
            return [SendReply(token, problem_reply(expired))]
        if self.phase is not Phase.SERVING:
            self.early.append(EarlyRequest(token, job))
            return []
        return self._hold(self.book.submit(token, job) + self._place())

    def read(self, token: RequestToken, job_id: JobId) -> list[LeaderEffect]:
        """Reply with a retained answer or with how far a job has come."""
        if self.phase is not Phase.SERVING:
            return [SendReply(token, NOT_LEADER)]
        return self._hold(self.book.read(token, job_id))

    def cancel(self, token: RequestToken, job_id: JobId) -> list[LeaderEffect]:
        """End a job at its caller's wish."""
        if self.phase is not Phase.SERVING:
            return [SendReply(token, NOT_LEADER)]
        return self._hold(self.book.cancel(token, job_id) + self._place())

    # Replies that say not run.

    def _hold(self, effects: list[LeaderEffect]) -> list[LeaderEffect]:
        """Keep back replies that only an unfenced leader may give.

        A later leader may have begun the job unless a majority confirms
        the term in a round that is opened from now on.
        """
        if self.phase is Phase.ENDED:
            return effects
        now = self.clock.monotonic()
        passed: list[LeaderEffect] = []
        for effect in effects:
            if isinstance(effect, SendReply) and effect.reply.not_run:
                first = self.quorum.opened_round + 1
                self.held.append(HeldReply(effect, first, now))
            else:
                passed.append(effect)
        return passed + self._confirm_held(now)

    def _confirm_held(self, now: float) -> list[LeaderEffect]:
        """Open the round that the newest held replies wait for."""
        if not self.held:
            return []
        if self.held[-1].round_number <= self.quorum.opened_round:
            return []
        if now < self.leases.last_round_at + CONFIRM_INTERVAL_S:
            return []
        return self.leases.open_round(now)

    def _release_held(self) -> list[LeaderEffect]:
        proven = self.quorum.proven_round
        released = [h for h in self.held if h.round_number <= proven]
        self.held = [h for h in self.held if h.round_number > proven]
        return [held.effect for held in released]

    # Agents.

    def agent_connected(self, hello: AgentHello) -> list[LeaderEffect]:
        """Handle an agent's announcement on a new connection."""
        if self.phase is Phase.ENDED:
            return []
        self.agents[hello.agent_id] = hello
        self._bar(hello.agent_id)
        fence = Fence(term=self.term, cell=self.cell, by_query=True)
        return [SendToAgent(hello.agent_id, fence)]

    def agent_disconnected(self, agent_id: str) -> None:
        """Handle the loss of an agent's connection."""
        self.agents.pop(agent_id, None)
        self.quorum.remove(agent_id)
        self.book.agent_lost(agent_id)
        self.roster_changes.absent_since[agent_id] = self.clock.monotonic()

    def receive(
        self, agent_id: str, message: AgentMessage
    ) -> list[LeaderEffect]:
        """Handle a message from a connected agent."""
        if self.phase is Phase.ENDED or agent_id not in self.agents:
            return []
        if isinstance(message, TaskResult):
            effects = self.book.task_result(agent_id, message)
            effects += self.leases.confirmed_by_result(
                agent_id, message, self.clock.monotonic()
            )
        elif isinstance(message, HeartbeatReply):
            effects = self._heartbeat_reply(agent_id, message)
        elif isinstance(message, FenceReply):
            effects = self._fence_reply(agent_id, message)
        elif isinstance(message, LedgerReply):
            effects = self.book.ledger_reply(agent_id, message)
        else:
            effects = self.agent_connected(message)
        return self._hold(effects + self._place()) + self._release_held()

    def tick(self) -> list[LeaderEffect]:
        """Do what is due by now."""
        now = self.clock.monotonic()
        effects: list[LeaderEffect] = []
        if self.phase in (Phase.FENCING, Phase.WAITING):
            effects += self._advance_takeover(now)
        if self.phase is Phase.SERVING:
            effects += self._check_quorum(now)
        if self.phase is Phase.SERVING:
            effects += self.book.tick()
            effects += self._change_roster(now)
        if self.phase is Phase.ENDED:
            return effects
        effects += self._tick_rounds(now)
        return self._hold(effects + self._place())

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
        effects = self.book.agent_fenced(
            self._new_load(agent_id), reply.records, by_query=reply.by_query
        )
        if serving:
            return effects + self.leases.open_round(now)
        return effects + self._advance_takeover(now)

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
        """Serve once every start of former leaders is accounted for."""
        if self.quorum.roster.version == 0:
            return self._bootstrap(now)
        restarted = self.quorum.restarted()
        if self.quorum.is_complete() and not restarted:
            return self._serve(now, self.quorum.roster.lost_before_ms)
        if not self.quorum.has_majority():
            self.majority_at = float("inf")
            if now >= self.started_at + self.limits.fence_limit_s:
                return self._end(
                    self.term, "no majority of the roster", retry=True
                )
            return []
        self.majority_at = min(self.majority_at, now)
        # A restarted member may have promised a higher term before.
        since = max(
            [self.majority_at, *(member.promised_at for member in restarted)]
        )
        wait_s = max(self.limits.takeover_wait_s, self.limits.fence_patience_s)
        if now < since + wait_s:
            self.phase = Phase.WAITING
            return []
        return self._serve(now, self._barrier_ms())

    def _bootstrap(self, now: float) -> list[LeaderEffect]:
        """Write the first roster of a cell."""
        waited = now >= self.started_at + self.limits.bootstrap_wait_s
        if not waited or self.roster_write_pending:
            return []
        members = [
            RosterMember(
                agent_id=member.agent_id, incarnation=member.incarnation
            )
            for member in self.quorum.members.values()
        ]
        if not members:
            return []
        self.roster_write_pending = True
        return [WriteRoster(Roster(version=1, members=tuple(members)))]

    def _barrier_ms(self) -> int:
        """Return the barrier after a takeover that waited a lease."""
        if self.quorum.is_complete() and not self.quorum.may_be_stale():
            return max(
                self.quorum.roster.lost_before_ms,
                *(
                    self.roster_changes.forgotten_before_ms(member.agent_id)
                    for member in self.quorum.restarted()
                ),
            )
        return self.clock.unix_ms() + self.limits.id_horizon_ms

    def _serve(self, now: float, barrier_ms: int) -> list[LeaderEffect]:
        self.phase = Phase.SERVING
        self.book.recovery.serve(
            barrier_ms=barrier_ms,
            horizon_ms=self.clock.unix_ms() + self.limits.id_horizon_ms,
        )
        self.book.serving_since = now
        self.roster_changes.note_absent(now)
        effects = self.leases.open_round(now)
        early, self.early = self.early, []
        for request in early:
            effects += self.book.submit(request.token, request.job)
        return effects

    # Rounds and leases.

    def _heartbeat_reply(
        self, agent_id: str, reply: HeartbeatReply
    ) -> list[LeaderEffect]:
        if reply.term > self.term:
            return self._end(reply.term, "a higher term was promised")
        load = self.book.loads.get(agent_id)
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
        return self.leases.pass_on(now)

    def _tick_rounds(self, now: float) -> list[LeaderEffect]:
        """Open the round that is due, or send on what did not ride."""
        leases = self.leases
        if leases.is_round_due(now, has_work=self._has_work()):
            if self._may_ride():
                return leases.open_riding_round(now)
            return leases.open_round(now)
        return leases.tick(now)

    def _may_ride(self) -> bool:
        """Return whether nothing waits for the next round but leases."""
        return (
            bool(self.book.jobs)
            and not self.held
            and self.phase is Phase.SERVING
            and self.quorum.is_complete()
            and self.quorum.is_roster_recorded()
        )

    def _has_work(self) -> bool:
        """Return whether the leases are needed, or a change is under way."""
        return (
            bool(self.book.jobs or self.held)
            or self.phase is not Phase.SERVING
            or not self.quorum.is_complete()
            or not self.quorum.is_roster_recorded()
        )

    def _check_quorum(self, now: float) -> list[LeaderEffect]:
        """End a term that lost its majority or can't take a member back."""
        limit_s = self.limits.fence_limit_s
        if self.held and now >= self.held[0].since + limit_s:
            return self._end(
                self.term, "a round was not confirmed", retry=True
            )
        if self.quorum.has_majority() and not self.quorum.has_unvouched():
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
        if not self.book.has_waiting:
            return []
        now = self.clock.monotonic()
        usable = self.leases.usable(now) - self.barred
        effects = self.leases.load(self.book.place(usable))
        if self.book.has_waiting:
            effects += self.leases.renew(now)
        return effects

    # Roster.

    def _change_roster(self, now: float) -> list[LeaderEffect]:
        """Add or remove one member, if the last change is recorded."""
        if self.roster_write_pending or not self.quorum.is_roster_recorded():
            return []
        roster = self.roster_changes.next_roster(now)
        if roster is None:
            return []
        self.roster_write_pending = True
        return [WriteRoster(roster)]

    def roster_written(self, accepted: Roster | None) -> list[LeaderEffect]:
        """Handle the end of a roster write.

        Parameters
        ----------
        accepted : Roster or None
            The roster now in the platform's store, this leader's or
            another's; None if the store did not answer.

        Returns
        -------
        list of LeaderEffect
        """
        self.roster_write_pending = False
        if self.phase is Phase.ENDED or accepted is None:
            return []
        if accepted.version > self.quorum.roster.version:
            self.quorum.roster = accepted
        now = self.clock.monotonic()
        if self.phase is not Phase.SERVING:
            return self._hold(self._advance_takeover(now))
        return self.leases.open_round(now)

    # End.

    def _end(
        self, seen: Term, reason: str, *, retry: bool = False
    ) -> list[LeaderEffect]:
        """End the term; the entries forward the open requests again."""
        self.phase = Phase.ENDED
        tokens = [request.token for request in self.early]
        tokens += [held.effect.token for held in self.held]
        tokens += self.book.end()
        effects: list[LeaderEffect] = [
            SendReply(token, NOT_LEADER) for token in tokens
        ]
        self.early = []
        self.held = []
        effects.append(StepDown(max(seen, self.term), reason, retry))
        return effects
