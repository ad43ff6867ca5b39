"""Recovery of attempts that were made in former terms or at lost agents."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Set

from egretcart.connection.agent_messages import JobRecord
from egretcart.connection.agent_messages import LedgerReply
from egretcart.process.agent.occupied_slots import OccupiedSlots
from egretcart.process.cell.adoption import Adoption
from egretcart.process.cell.adoption import LostAgent
from egretcart.process.cell.agent_load import AgentLoad
from egretcart.process.cell.agent_load import TaskKey
from egretcart.process.cell.attempts import AttemptManager
from egretcart.process.cell.effects import LeaderEffect
from egretcart.process.cell.effects import RequestToken
from egretcart.process.cell.job_table import JobTable
from egretcart.process.cell.ledger_queries import DeferredRequest
from egretcart.process.cell.ledger_queries import LedgerQueries
from egretcart.process.cell.limits import LeaderLimits
from egretcart.process.cell.limits import MS_PER_S
from egretcart.process.clock import Clock
from egretcart.process.policy.bundle import Policy
from egretcart.request.identity import JobId


class Recovery:
    """Recovers attempts as agents promise the term, are lost and reconnect.

    Parameters
    ----------
    table : JobTable
    attempts : AttemptManager
    policy : Policy
    limits : LeaderLimits
    clock : Clock

    Attributes
    ----------
    takeover_uncertain_before_ms : int
        Unknown jobs made before this Unix time, in milliseconds, may have
        run at agents that could not be asked at the takeover.
    adoption : Adoption
    known : KnownJobs
        The jobs that the agents' ledgers have reported.
    ledger_queries : LedgerQueries
    lost : dict of str to LostAgent
        Agents that may still reconnect, by agent id.
    returning : dict of str to LostAgent
        Reconnected agents that are asked what became of their tasks, by
        agent id.
    ledger_complete : set of tuple of str and int
        Agents and their incarnations whose whole ledger is known.
    unreachable_incarnations : set of tuple of str and int
        Agents and their incarnations that promised the term and were lost
        since; they can no longer be asked what they started in former terms.
    """

    def __init__(
        self,
        *,
        table: JobTable,
        attempts: AttemptManager,
        policy: Policy,
        limits: LeaderLimits,
        clock: Clock,
    ) -> None:
        self.attempts = attempts
        self.policy = policy
        self.limits = limits
        self.clock = clock
        self.jobs = table.jobs
        self.loads = table.loads
        self.takeover_uncertain_before_ms = 0
        self.adoption = Adoption(
            table=table, attempts=attempts, policy=policy, clock=clock
        )
        self.known = self.adoption.known
        self.lost = self.adoption.lost
        self.ledger_queries = LedgerQueries(term=table.term)
        self.returning: dict[str, LostAgent] = {}
        self.ledger_complete: set[tuple[str, int]] = set()
        self.unreachable_incarnations: set[tuple[str, int]] = set()

    @property
    def occupied_slots(self) -> OccupiedSlots:
        """Slots that lost incarnations may still occupy."""
        return self.attempts.agent_pool.occupied_slots

    @property
    def uncertain_before_ms(self) -> int:
        """Unix time in ms before which unknown jobs may have run.

        If an incarnation is unreachable, that holds for all jobs that it may
        have started in former terms.
        """
        if self.unreachable_incarnations:
            return max(
                self.takeover_uncertain_before_ms,
                self.ledger_queries.query_before_ms,
            )
        return self.takeover_uncertain_before_ms

    def serve(self, *, uncertain_before_ms: int, query_before_ms: int) -> None:
        """Set the bounds on jobs of former terms, once the takeover is over.

        Parameters
        ----------
        uncertain_before_ms : int
            Jobs made before this Unix time, in milliseconds, may have run
            at agents that could not be asked.
        query_before_ms : int
            Jobs made from this Unix time on, in milliseconds, were not
            started in a former term.
        """
        self.takeover_uncertain_before_ms = uncertain_before_ms
        self.ledger_queries.query_before_ms = query_before_ms

    def needs_ledger_query(self, job_id: JobId) -> bool:
        """Return whether the agents have to be asked about a job."""
        return self.ledger_queries.needs_ledger_query(job_id)

    def defer_until_reported(
        self,
        token: RequestToken,
        job_id: JobId,
        resume: Callable[[], list[LeaderEffect]],
    ) -> list[LeaderEffect]:
        """Defer a request until the agents have reported what they started."""
        request = DeferredRequest(token, resume)
        lost = [
            agent_id
            for agent_id, agent in self.lost.items()
            if (agent_id, agent.incarnation) not in self.ledger_complete
        ]
        return self.ledger_queries.defer_request(job_id, request, lost=lost)

    # Agents.

    def agent_fenced(
        self,
        load: AgentLoad,
        records: Iterable[JobRecord],
        *,
        by_query: bool = False,
    ) -> list[LeaderEffect]:
        """Add an agent that promised the term.

        Parameters
        ----------
        load : AgentLoad
        records : iterable of JobRecord
            The tasks that the agent runs if `by_query`, else its whole
            ledger.
        by_query : bool
            Whether the rest of the ledger has to be queried.

        Returns
        -------
        list of LeaderEffect
        """
        agent_id = load.agent_id
        self.agent_lost(agent_id)
        self.loads[agent_id] = load
        self.policy.health.connected(agent_id)
        self.occupied_slots.remove_incarnation(agent_id, load.incarnation)
        self.attempts.agent_pool.agents_changed()
        self.known.remove_agent_records(agent_id, load.incarnation)
        self.unreachable_incarnations.discard((agent_id, load.incarnation))
        self.ledger_complete.discard((agent_id, load.incarnation))
        effects: list[LeaderEffect] = []
        lost = self.lost.pop(agent_id, None)
        recorded: set[TaskKey] = set()
        effects += self.adoption.merge_records(load, records, recorded)
        if lost is not None and lost.incarnation != load.incarnation:
            effects += self._drop_incarnation(agent_id, lost, recorded)
            lost = None
        if by_query:
            return effects + self._query_agent(agent_id, lost)
        if lost is not None:
            self._requeue_unstarted_tasks(lost, lost.in_flight, recorded)
        return effects + self._mark_ledger_complete(load)

    def agent_restarted(
        self, load: AgentLoad, *, former: int, started_ms: int
    ) -> None:
        """Handle an agent whose process is not the one in the roster.

        Tasks of the former incarnation may still run. If it has not promised
        this leader's term, they are unknown, and all slots count as occupied
        until the longest time limit after the agent's start has passed.

        Parameters
        ----------
        load : AgentLoad
        former : int
            Incarnation that the roster names.
        started_ms : int
            Unix time, in milliseconds, at which the agent's process was
            started.
        """
        incarnation = (load.agent_id, former)
        if (
            incarnation in self.unreachable_incarnations
            or incarnation in self.ledger_complete
        ):
            return
        limit_s = self._longest_limit_s() * (1 + self.limits.clock_drift)
        age_s = (self.clock.unix_ms() - started_ms) / MS_PER_S
        remaining_s = limit_s + self.limits.clock_skew_s - age_s
        if remaining_s <= 0:
            return
        end = self.clock.monotonic() + remaining_s
        self.occupied_slots.add(load.agent_id, former, [end] * load.slots)
        self.attempts.agent_pool.invalidate()

    def ledger_reply(
        self, agent_id: str, reply: LedgerReply
    ) -> list[LeaderEffect]:
        """Handle an agent's reply to a ledger query."""
        load = self.loads.get(agent_id)
        query = self.ledger_queries.find_open_query(agent_id, reply.number)
        if load is None or query is None:
            return []
        recorded: set[TaskKey] = set()
        effects = self.adoption.merge_records(load, reply.records, recorded)
        returning = self.returning.get(agent_id)
        if returning is not None:
            asked = set(query.job_ids)
            keys = [key for key in returning.in_flight if key[0] in asked]
            self._requeue_unstarted_tasks(returning, keys, recorded)
            for key in keys:
                del returning.in_flight[key]
            if not returning.in_flight:
                del self.returning[agent_id]
        effects += self.ledger_queries.answered(agent_id)
        if query.made_before_ms:
            effects += self._mark_ledger_complete(load)
        return effects

    def agent_draining(self, agent_id: str) -> list[LeaderEffect]:
        """Ask a draining agent, once, for its whole ledger.

        Only its ledger records what it started in former terms, and the agent
        will shut down.
        """
        load = self.loads.get(agent_id)
        if load is None or load.is_full_ledger_requested:
            return []
        load.is_full_ledger_requested = True
        return self.ledger_queries.request_full_ledger(agent_id)

    def _mark_ledger_complete(self, load: AgentLoad) -> list[LeaderEffect]:
        load.is_full_ledger_requested = load.ledger_complete = True
        self.ledger_complete.add((load.agent_id, load.incarnation))
        return self.ledger_queries.ledger_complete(load.agent_id)

    def agent_lost(self, agent_id: str) -> None:
        """Handle the loss of an agent's connection."""
        load = self.loads.pop(agent_id, None)
        if load is None:
            return
        in_flight = load.in_flight
        returning = self.returning.pop(agent_id, None)
        if returning is not None:
            in_flight = returning.in_flight | in_flight
        self.lost[agent_id] = LostAgent(
            incarnation=load.incarnation,
            lost_at=self.clock.monotonic(),
            in_flight=in_flight,
            expiry_by_task=self._expiry_by_task(in_flight),
        )
        self.ledger_queries.disconnected(agent_id)
        self.policy.health.disconnected(agent_id, now=self.clock.monotonic())
        self.attempts.agent_pool.agents_changed()
        self.attempts.starts.agent_lost(load.failure_domain, in_flight)

    def _expiry_by_task(
        self, in_flight: dict[TaskKey, int]
    ) -> dict[TaskKey, float]:
        """Return the monotonic time by which each attempt has expired."""
        expiry_s = self.limits.attempt_over_s(self._longest_limit_s())
        latest = self.clock.monotonic() + expiry_s
        expiry_by_task = dict.fromkeys(in_flight, latest)
        for key, attempt in in_flight.items():
            progress = self.jobs.get(key[0])
            if progress is None or key[1] >= len(progress.tasks):
                continue
            if progress.tasks[key[1]].attempt == attempt:
                expiry_by_task[key] = self.attempts.attempt_expires_at(
                    progress, key
                )
        return expiry_by_task

    def _longest_limit_s(self) -> float:
        """Return the longest time limit that an attempt may have."""
        return max(
            self.limits.attempt_limit_s,
            self.policy.service_config.longest_attempt_limit_s,
        )

    def expire_lost_agents(self) -> list[LeaderEffect]:
        """Drop lost agents that have not reconnected within the grace time."""
        effects: list[LeaderEffect] = []
        now = self.clock.monotonic()
        self.occupied_slots.prune(now)
        for agent_id, lost in list(self.lost.items()):
            if now < lost.lost_at + self.limits.member_grace_s:
                continue
            del self.lost[agent_id]
            self.policy.run_time_estimator.remove_agent(agent_id)
            effects += self._drop_incarnation(agent_id, lost, frozenset())
            effects += self.ledger_queries.ledger_complete(agent_id)
        return effects

    def prune(self, made_before_ms: int) -> None:
        """Remove jobs whose identifiers are older than a Unix time."""
        self.known.prune(made_before_ms)
        self.ledger_queries.prune(made_before_ms)

    def _query_agent(
        self, agent_id: str, lost: LostAgent | None
    ) -> list[LeaderEffect]:
        """Ask an agent about the unanswered jobs that it may have started."""
        query_before_ms = self.ledger_queries.query_before_ms
        job_ids = {
            key
            for key, progress in self.jobs.items()
            if progress.job.job_id.created_ms < query_before_ms
        }
        if lost is not None:
            self.returning[agent_id] = lost
            job_ids.update(key[0] for key in lost.in_flight)
        return self.ledger_queries.connected(agent_id, sorted(job_ids))

    def _drop_incarnation(
        self,
        agent_id: str,
        lost: LostAgent,
        recorded: Set[TaskKey],
    ) -> list[LeaderEffect]:
        """Mark an incarnation as lost, and fail its attempts.

        What only its ledger records can no longer be queried. The slots of
        its attempts count as occupied until these have expired, since the
        backend server may still run them.

        Parameters
        ----------
        agent_id : str
        lost : LostAgent
        recorded : set of TaskKey
            Tasks that the agent's next incarnation reports; their attempts
            are not failed.

        Returns
        -------
        list of LeaderEffect
        """
        if (agent_id, lost.incarnation) not in self.ledger_complete:
            self.unreachable_incarnations.add((agent_id, lost.incarnation))
        expiry_by_task = (
            self._expiry_by_task(lost.in_flight) | lost.expiry_by_task
        )
        self.occupied_slots.add(
            agent_id, lost.incarnation, expiry_by_task.values()
        )
        effects: list[LeaderEffect] = []
        for key, attempt in lost.in_flight.items():
            if key not in recorded:
                effects += self.adoption.fail_lost_attempt(key, attempt)
        return effects

    def _requeue_unstarted_tasks(
        self,
        lost: LostAgent,
        keys: Iterable[TaskKey],
        recorded: Set[TaskKey],
    ) -> None:
        """Queue the tasks again that a reconnected agent did not begin.

        Parameters
        ----------
        lost : LostAgent
        keys : iterable of TaskKey
            The tasks that the agent was asked about.
        recorded : set of TaskKey
            The tasks that the agent's records name, so it has begun them.
        """
        for key in keys:
            if key not in recorded:
                self.adoption.requeue_unstarted(key, lost.in_flight[key])
