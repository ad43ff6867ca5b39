"""Decision logic of an agent: which starts it admits and when they begin.

This module does no I/O. `AgentProcess` passes in messages, ended exchanges
and timer ticks and applies the effects that the methods return.

The leader of the agent's cell sends a `Start` for each attempt at a task. The
agent runs it as one HTTP request to its backend server, called an exchange.
Before that, the leader sends a `Fence`: by accepting it, the agent promises
the leader's term, and refuses the starts of all other terms. Starts may begin
only while the agent has a lease on the promised term; the leader extends it
with proven stamps, see `egretcart.process.cell.quorum`.
"""

import msgspec

from egretcart.connection.agent_messages import AgentHello
from egretcart.connection.agent_messages import AgentMessage
from egretcart.connection.agent_messages import FenceReply
from egretcart.connection.agent_messages import HeartbeatReply
from egretcart.connection.agent_messages import JobRecord
from egretcart.connection.agent_messages import LedgerReply
from egretcart.connection.agent_messages import TaskResult
from egretcart.connection.cell_types import ALL_TASKS
from egretcart.connection.cell_types import NO_TERM
from egretcart.connection.cell_types import Roster
from egretcart.connection.entry_messages import AgentConfig
from egretcart.connection.leader_messages import CancelTasks
from egretcart.connection.leader_messages import Fence
from egretcart.connection.leader_messages import FetchJob
from egretcart.connection.leader_messages import Heartbeat
from egretcart.connection.leader_messages import LeaderMessage
from egretcart.connection.leader_messages import LedgerQuery
from egretcart.connection.leader_messages import Start
from egretcart.process.agent.agent_types import AbortExchange
from egretcart.process.agent.agent_types import AgentEffect
from egretcart.process.agent.agent_types import AgentIdentity
from egretcart.process.agent.agent_types import AgentLimits
from egretcart.process.agent.agent_types import BeginExchange
from egretcart.process.agent.agent_types import ExchangeOutcome
from egretcart.process.agent.agent_types import QueuedStart
from egretcart.process.agent.agent_types import SendToEntry
from egretcart.process.agent.agent_types import TaskKey
from egretcart.process.agent.ledger import Ledger
from egretcart.process.agent.ledger import LedgerTask
from egretcart.process.agent.ledger import RecordState
from egretcart.process.cell.limits import PRUNE_INTERVAL_S
from egretcart.process.clock import Clock
from egretcart.request.identity import JobId
from egretcart.request.verdict import Verdict

US_PER_S = 1_000_000
MS_PER_S = 1000


class Agent:
    """Admits starts of the promised term and records them in the ledger.

    Parameters
    ----------
    identity : AgentIdentity
    limits : AgentLimits
    clock : Clock
        The agent's stamps and its lease are times of the monotonic clock.

    Attributes
    ----------
    started_ms : int
        Unix time at which the agent was started, in milliseconds.
    promised_term : Term
        Highest term promised; starts of any other term are refused.
        `NO_TERM` before the first promise.
    leader : str or None
        Entry that leads in the promised term; None before the first
        promise and after the loss of the connection to it.
    lease_until : float
        Monotonic time at which the lease expires, in seconds; from then on
        no start may begin. Negative infinity without a lease.
    requested_round : int
        Round of the promised term that came with a start and that the next
        result confirms; 0 if there is none.
    next_prune_at : float
        Monotonic time of the next removal of old ledger records, in seconds.
    roster : Roster
        Newest roster received from a leader.
    draining : bool
        Whether the process is shutting down; `is_draining` also considers
        the configuration.
    drained_by_config : bool
        Whether the configuration drains the agent.
    config_version : int
        Newest configuration version received; 0 if there is none.
    ledger : Ledger
        The tasks that were started and how they ended.
    queued : dict of TaskKey to QueuedStart
        Admitted starts that wait for a slot, in order of arrival.
    running : dict of TaskKey to Start
        Starts whose exchange with the backend server runs.
    """

    def __init__(
        self, *, identity: AgentIdentity, limits: AgentLimits, clock: Clock
    ) -> None:
        self.identity = identity
        self.limits = limits
        self.clock = clock
        self.started_ms = clock.unix_ms()
        self.promised_term = NO_TERM
        self.leader: str | None = None
        self.lease_until = float("-inf")
        self.requested_round = 0
        self.next_prune_at = float("-inf")
        self.roster = Roster()
        self.draining = False
        self.drained_by_config = False
        self.config_version = 0
        self.ledger = Ledger(max_result_bytes=limits.max_result_bytes)
        self.queued: dict[TaskKey, QueuedStart] = {}
        self.running: dict[TaskKey, Start] = {}

    def hello(self) -> AgentHello:
        """Return the first message on a new connection."""
        return AgentHello(
            agent_id=self.identity.agent_id,
            incarnation=self.identity.incarnation,
            service_name=self.identity.service,
            failure_domain=self.identity.failure_domain,
            slots=self.identity.slots,
            connections=self.identity.connections,
            draining=self.is_draining,
            started_ms=self.started_ms,
        )

    def receive(
        self, entry_id: str, message: LeaderMessage
    ) -> list[AgentEffect]:
        """Handle a message from an entry.

        Parameters
        ----------
        entry_id : str
            The entry at the other end of the connection.
        message : LeaderMessage

        Returns
        -------
        list of AgentEffect
        """
        if isinstance(message, Start):
            return self._handle_start(entry_id, message)
        if isinstance(message, Heartbeat):
            return self._handle_heartbeat(entry_id, message)
        if isinstance(message, Fence):
            return self._handle_fence(entry_id, message)
        if isinstance(message, CancelTasks):
            return self._handle_cancel(entry_id, message)
        if isinstance(message, LedgerQuery):
            return self._handle_query(entry_id, message)
        return self._handle_fetch(entry_id, message)

    def disconnected(self, entry_id: str) -> None:
        """Handle the loss of a connection to an entry.

        Starts that wait for a slot are dropped. The reply to the next fence
        does not list them, so the leader knows that they were not run.
        """
        if entry_id == self.leader:
            self.leader = None
            self.lease_until = float("-inf")
            self.requested_round = 0
            self.queued.clear()

    def exchange_ended(
        self, key: TaskKey, outcome: ExchangeOutcome
    ) -> list[AgentEffect]:
        """Record the end of an exchange and begin queued starts.

        Parameters
        ----------
        key : tuple of bytes and int
            Job id and task index.
        outcome : ExchangeOutcome

        Returns
        -------
        list of AgentEffect
        """
        start = self.running.pop(key)
        result = TaskResult(
            job_id=start.job_id,
            task=start.task,
            attempt=start.attempt,
            term=start.term,
            verdict=outcome.verdict.value,
            succeeded=outcome.succeeded,
            body=outcome.body,
            content_type=outcome.content_type,
            error=outcome.error,
            run_time_us=int(outcome.run_time_s * US_PER_S),
        )
        if outcome.verdict is Verdict.NOT_RUN:
            self.ledger.forget(*key)
        else:
            self.ledger.finish(result)
        # The result in the ledger may be sent again under another term, so
        # it must not contain the confirmation.
        effects = self._to_leader(self._with_confirmation(result))
        effects += self._begin_queued()
        return effects

    def reason_not_to_send(self, start: Start) -> str | None:
        """Return why an admitted start may no longer begin; None if it may.

        Must be checked again right before the first byte of the exchange is
        sent: the process may have been paused or have waited for a
        connection.
        """
        if start.term != self.promised_term:
            return f"the term {self.promised_term} was promised since"
        if self.clock.monotonic() >= self.lease_until:
            return "the lease lapsed before the task began"
        return None

    def _with_confirmation(self, result: TaskResult) -> TaskResult:
        """Let a result confirm the round that a start has requested.

        The result is returned unchanged if no round is requested or if it
        belongs to another term than the promised one.
        """
        if not self.requested_round or result.term != self.promised_term:
            return result
        round_number, self.requested_round = self.requested_round, 0
        return msgspec.structs.replace(
            result, round=round_number, stamp_us=self._stamp_us()
        )

    def drain(self) -> list[AgentEffect]:
        """Refuse queued and new starts; running tasks are finished."""
        self.draining = True
        return self._refuse_queued()

    def configure(self, config: AgentConfig) -> list[AgentEffect]:
        """Apply a configuration version if it is newer."""
        if config.version <= self.config_version:
            return []
        self.config_version = config.version
        self.drained_by_config = config.drained
        if self.drained_by_config:
            return self._refuse_queued()
        return self._to_leader(self._heartbeat_reply(round_number=0))

    @property
    def is_draining(self) -> bool:
        """Whether new starts are refused."""
        return self.draining or self.drained_by_config

    def _refuse_queued(self) -> list[AgentEffect]:
        """Refuse the queued starts and report the draining to the leader."""
        effects: list[AgentEffect] = []
        for queued in list(self.queued.values()):
            effects += self._refuse(queued.start, "the agent is draining")
        self.queued.clear()
        effects += self._to_leader(self._heartbeat_reply(round_number=0))
        return effects

    @property
    def is_roster_member(self) -> bool:
        """Whether the roster lists this agent and at least one other."""
        others = self.roster.agent_ids - {self.identity.agent_id}
        return bool(others) and others != self.roster.agent_ids

    def tick(self) -> list[AgentEffect]:
        """Prune the ledger, and begin or refuse queued starts.

        While slots are free, queued starts begin; those that may no longer
        begin are refused.
        """
        now = self.clock.monotonic()
        if now >= self.next_prune_at:
            self.next_prune_at = now + PRUNE_INTERVAL_S
            retention_s = self.limits.record_age_s
            self.ledger.prune(
                self.clock.unix_ms() - int(retention_s * MS_PER_S)
            )
        return self._begin_queued()

    def _stamp_us(self) -> int:
        """Return a stamp: the monotonic time in microseconds."""
        return int(self.clock.monotonic() * US_PER_S)

    def _to_leader(self, message: AgentMessage) -> list[AgentEffect]:
        """Return the effect that sends to the leader; none without one."""
        if self.leader is None:
            return []
        return [SendToEntry(self.leader, message)]

    def _handle_fence(self, entry_id: str, fence: Fence) -> list[AgentEffect]:
        accepted = fence.term >= self.promised_term
        if accepted:
            self.promised_term = fence.term
            self.leader = entry_id
            self.lease_until = float("-inf")
            self.requested_round = 0
            self.queued.clear()
        reply = FenceReply(
            term=self.promised_term,
            accepted=accepted,
            stamp_us=self._stamp_us(),
            roster=self.roster,
            records=self._fence_records(fence) if accepted else (),
            incarnation=self.identity.incarnation,
            by_query=fence.by_query,
            newest_job_ms=self.ledger.newest_job_ms,
        )
        return [SendToEntry(entry_id, reply)]

    def _fence_records(self, fence: Fence) -> tuple[JobRecord, ...]:
        """Return the ledger records for the reply to a fence.

        These are the running tasks only, because the leader queries other
        records when it needs them. A leader of an earlier release sends no
        queries, so it gets all records.
        """
        if fence.by_query:
            return self.ledger.running(self.running)
        return self.ledger.summary()

    def _handle_query(
        self, entry_id: str, query: LedgerQuery
    ) -> list[AgentEffect]:
        if query.term != self.promised_term or entry_id != self.leader:
            # The promised term in the reply informs a leader that has been
            # replaced, which would otherwise keep requests deferred.
            heartbeat_reply = self._heartbeat_reply(round_number=0)
            return [SendToEntry(entry_id, heartbeat_reply)]
        records = self.ledger.records(
            query.job_ids, made_before_ms=query.made_before_ms
        )
        reply = LedgerReply(number=query.number, records=records)
        return [SendToEntry(entry_id, reply)]

    def _handle_heartbeat(
        self, entry_id: str, heartbeat: Heartbeat
    ) -> list[AgentEffect]:
        effects: list[AgentEffect] = []
        if heartbeat.term == self.promised_term and entry_id == self.leader:
            self._apply_heartbeat(heartbeat)
            effects += self._begin_queued()
        if heartbeat.round:
            # The reply confirms the term, so the next result need not.
            self.requested_round = 0
            reply = self._heartbeat_reply(round_number=heartbeat.round)
            effects.append(SendToEntry(entry_id, reply))
        return effects

    def _apply_heartbeat(self, heartbeat: Heartbeat) -> None:
        roster = heartbeat.roster
        if roster is not None and roster.version > self.roster.version:
            self.roster = roster
        self._extend_lease(heartbeat.proven_stamp_us)

    def _extend_lease(self, proven_stamp_us: int) -> None:
        """Extend the lease to `lease_s` after a proven stamp.

        Parameters
        ----------
        proven_stamp_us : int
            Monotonic time of this agent, in microseconds; 0 if the message
            contained no proven stamp.
        """
        if proven_stamp_us:
            proven_s = proven_stamp_us / US_PER_S
            self.lease_until = max(
                self.lease_until, proven_s + self.limits.lease_s
            )

    def _heartbeat_reply(self, *, round_number: int) -> HeartbeatReply:
        """Return the agent's state; round number 0 confirms no round."""
        return HeartbeatReply(
            term=self.promised_term,
            round=round_number,
            stamp_us=self._stamp_us(),
            roster_version=self.roster.version,
            running=len(self.running),
            queued=len(self.queued),
            draining=self.is_draining,
            config_version=self.config_version,
        )

    def _handle_start(self, entry_id: str, start: Start) -> list[AgentEffect]:
        if start.term == self.promised_term and entry_id == self.leader:
            self._extend_lease(start.proven_stamp_us)
            self.requested_round = max(self.requested_round, start.round)
        reason = self._reason_to_refuse(entry_id, start)
        if reason is not None:
            refusal = self._refused_result(start, reason)
            return [SendToEntry(entry_id, refusal)]
        key = (start.job_id, start.task)
        started = self._reason_may_have_run(key, start)
        if started is not None:
            refusal = msgspec.structs.replace(
                self._refused_result(start, started),
                verdict=Verdict.MAY_HAVE_RUN.value,
            )
            return [SendToEntry(entry_id, refusal)]
        self.queued[key] = QueuedStart(start, self.clock.monotonic())
        return self._begin_queued()

    def _reason_to_refuse(self, entry_id: str, start: Start) -> str | None:
        """Return why a start is refused as not run; None if it is not."""
        if start.term != self.promised_term or entry_id != self.leader:
            return (
                f"the start's term {start.term} is not the promised "
                f"{self.promised_term}"
            )
        if self.is_draining:
            return "the agent is draining"
        if self.clock.monotonic() >= self.lease_until:
            return "the lease on the leader's term has lapsed"
        age_s = (
            self.clock.unix_ms() - JobId(start.job_id).created_ms
        ) / MS_PER_S
        if age_s > self.limits.window_s + self.limits.max_deadline_s:
            return f"the job id is {age_s:.0f} s old"
        if len(self.queued) >= self.limits.max_queued:
            return f"{len(self.queued)} starts are queued"
        return None

    def _reason_may_have_run(self, key: TaskKey, start: Start) -> str | None:
        """Return why the task of a start may have run already.

        None if the start is admitted: the ledger has no record of the task,
        or only a failed earlier attempt that may be retried.
        """
        if key in self.queued or key in self.running:
            return "an attempt at the task is queued or running"
        job = self.ledger.jobs.get(start.job_id)
        if job is not None and job.digest != start.digest:
            return "the job was started with another body"
        record = self.ledger.find(start.job_id, start.task)
        if record is not None and not self._may_retry(record, start):
            return f"the task was started: {record.state.name}"
        return None

    @staticmethod
    def _may_retry(record: LedgerTask, start: Start) -> bool:
        """Return whether a start may follow the recorded attempt."""
        return (
            start.idempotent
            and record.state is RecordState.FAILED
            and start.attempt > record.attempt
        )

    def _begin_queued(self) -> list[AgentEffect]:
        """Begin or refuse queued starts while slots are free."""
        effects: list[AgentEffect] = []
        while self.queued and len(self.running) < self.identity.slots:
            key = next(iter(self.queued))
            queued = self.queued.pop(key)
            effects += self._begin_task(queued)
        return effects

    def _begin_task(self, queued: QueuedStart) -> list[AgentEffect]:
        """Begin a start that has a slot, or refuse it if it is too late."""
        start = queued.start
        reason = self.reason_not_to_send(start)
        if reason is not None:
            return self._refuse(start, reason)
        now = self.clock.monotonic()
        time_left_s = start.time_left_ms / MS_PER_S - (
            now - queued.received_at
        )
        if time_left_s <= 0:
            return self._refuse(start, "the time limit passed in the queue")
        self.ledger.begin(
            job_id=start.job_id,
            digest=start.digest,
            task=start.task,
            attempt=start.attempt,
        )
        self.running[(start.job_id, start.task)] = start
        return [BeginExchange(start, time_left_s)]

    def _refused_result(self, start: Start, reason: str) -> TaskResult:
        return TaskResult(
            job_id=start.job_id,
            task=start.task,
            attempt=start.attempt,
            term=start.term,
            verdict=Verdict.NOT_RUN.value,
            succeeded=False,
            error=reason,
        )

    def _refuse(self, start: Start, reason: str) -> list[AgentEffect]:
        return self._to_leader(self._refused_result(start, reason))

    def _handle_cancel(
        self, entry_id: str, cancel: CancelTasks
    ) -> list[AgentEffect]:
        if cancel.term != self.promised_term or entry_id != self.leader:
            return []
        cancelled = {(task.job_id, task.task) for task in cancel.tasks}

        def is_cancelled(key: TaskKey) -> bool:
            return key in cancelled or (key[0], ALL_TASKS) in cancelled

        effects: list[AgentEffect] = []
        for key in [k for k in self.queued if is_cancelled(k)]:
            queued = self.queued.pop(key)
            effects += self._refuse(queued.start, "the job is cancelled")
        for key in self.running:
            if is_cancelled(key):
                effects.append(AbortExchange(key))
        return effects

    def _handle_fetch(
        self, entry_id: str, fetch: FetchJob
    ) -> list[AgentEffect]:
        """Send the results of a job's ended tasks to the leader.

        An evicted result is sent without a body and with `retained` False.
        """
        if fetch.term != self.promised_term or entry_id != self.leader:
            return []
        job = self.ledger.jobs.get(fetch.job_id)
        if job is None:
            return []
        effects: list[AgentEffect] = []
        for index, record in job.tasks.items():
            if record.state is RecordState.BEGUN:
                continue
            result = record.result or TaskResult(
                job_id=fetch.job_id,
                task=index,
                attempt=record.attempt,
                verdict=record.verdict,
                succeeded=record.state is RecordState.SUCCEEDED,
                retained=False,
            )
            result = msgspec.structs.replace(result, term=fetch.term)
            effects.append(SendToEntry(entry_id, result))
        return effects
