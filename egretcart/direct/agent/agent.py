"""Agent of direct dispatch, the admission controller of a backend server.

Free of I/O: each method returns the effects that its caller carries out.
All times are in seconds on the agent's monotonic clock, unless a name ends
in `_ms`.
"""

from collections.abc import Iterable

from egretcart.connection.dialler import Endpoint
from egretcart.direct.agent.agent_types import AgentEffect
from egretcart.direct.agent.agent_types import CloseEntryLink
from egretcart.direct.agent.agent_types import DirectAgentLimits
from egretcart.direct.agent.agent_types import EntryState
from egretcart.direct.agent.agent_types import Eviction
from egretcart.direct.agent.agent_types import Run
from egretcart.direct.agent.agent_types import RunPhase
from egretcart.direct.agent.agent_types import SendStartRequest
from egretcart.direct.agent.agent_types import SendStopRequest
from egretcart.direct.agent.agent_types import Vacancy
from egretcart.direct.agent.entry_connections import EntryConnections
from egretcart.direct.agent.entry_links import EntryLinks
from egretcart.direct.agent.run_table import RunTable
from egretcart.direct.backend.backend import BackendIncarnation
from egretcart.direct.backend.backend import BackendReport
from egretcart.direct.backend.backend import Listing
from egretcart.direct.backend.backend import PollRequest
from egretcart.direct.backend.backend import StartAnswer
from egretcart.direct.backend.backend import StartRequest
from egretcart.direct.backend.backend import StopRequest
from egretcart.direct.backend.health import BackendHealth
from egretcart.direct.backend.lease import BackendLease
from egretcart.direct.connection.messages import AgentHello
from egretcart.direct.connection.messages import AgentStatus
from egretcart.direct.connection.messages import Beat
from egretcart.direct.connection.messages import EntryMessage
from egretcart.direct.connection.messages import EvictJob
from egretcart.direct.connection.messages import HeldTask
from egretcart.direct.connection.messages import PeerAddress
from egretcart.direct.connection.messages import RunTasks
from egretcart.direct.connection.messages import ServeEntry
from egretcart.direct.connection.messages import StopTasks
from egretcart.direct.connection.messages import TAKEN_OVER_REASON
from egretcart.direct.connection.messages import TaskEnded
from egretcart.direct.connection.messages import TaskLate
from egretcart.direct.connection.working_set import WorkingSet
from egretcart.direct.log.decisions import BackendChanged
from egretcart.direct.log.decisions import DecisionLog
from egretcart.direct.log.decisions import PeerChanged
from egretcart.direct.log.decisions import ProcessChanged
from egretcart.direct.log.decisions import RunEnded
from egretcart.direct.log.decisions import RunStarted
from egretcart.direct.log.decisions import RunUnanswered
from egretcart.direct.request.claims import RecentTakeovers
from egretcart.direct.request.job import Ending
from egretcart.direct.request.job import NO_ROOM
from egretcart.direct.request.job import Room
from egretcart.direct.request.job import TaskKey
from egretcart.direct.request.progress import RunProgress
from egretcart.direct.request.progress import SlowdownEstimate

# An agent with free capacity for this many tasks or more is chosen alike by
# entries, which send it few tasks before its next status.
MAX_REPORTED_TASKS = 3


class DirectAgent:
    """Runs tasks of all entries within the capacity of one backend server.

    Parameters
    ----------
    agent_id : str
    incarnation : int
        Rises with each start of the agent's process.
    limits : DirectAgentLimits
    log : DecisionLog
    seeds : iterable of Endpoint, optional
        Entries that are known from the start.

    Attributes
    ----------
    report : BackendReport or None
        Newest report of the server's current incarnation; None while no
        server is known.
    newest_born_ms : int
        Start of the newest incarnation of the server that has reported, in
        Unix milliseconds; 0 if none has.
    fencing_token : int
        Sent with each request; the server refuses a token that is lower
        than one that it has seen.
    acknowledged : int
        `EndedTask.number` of the last ended run that was processed; 0 for
        none.
    lease : BackendLease
        Lease under which the server runs tasks.
    health : BackendHealth
        Failures at the server's current incarnation.
    slowdown : SlowdownEstimate
        Ratio of run times at the server to the callers' estimates.
    runs : RunTable
        All runs that entries have sent and that have not ended.
    orphaned_runs : dict of TaskKey to int
        Run numbers of runs that the server lists and that are not in
        `runs`; nothing is started while there are any.
    ready : bool
        Whether all runs of the server's current incarnation are known.
    predecessor_ended : bool
        Whether all runs that an earlier incarnation of the agent left at
        the server have ended.
    stopping : bool
        Whether the agent shuts down and accepts no new tasks.
    typical_room : Room
        Resources that the task received last requires.
    reported_vacancy : Vacancy
        What entries choose agents by, when statuses were last due.
    lease_expired : bool
        Whether the lease has expired since the server's last listing.
    resumed_at : float
        When the last pause of the process was noticed; 0 if there was none.
    takeovers : RecentTakeovers
        Jobs that entries have recently taken over from other entries.
    first_tick_at, last_tick_at : float
        Time of the first and of the last tick; 0 before the first.
    effects : list of AgentEffect
        Effects that no method has returned yet.
    links : EntryLinks
        Links to entries, and the statuses that are due on them.
    connections : EntryConnections
        The entries to connect to.
    """

    def __init__(
        self,
        *,
        agent_id: str,
        incarnation: int,
        limits: DirectAgentLimits,
        log: DecisionLog,
        seeds: Iterable[Endpoint] = (),
    ) -> None:
        self.agent_id = agent_id
        self.incarnation = incarnation
        self.limits = limits
        self.log = log
        self.report: BackendReport | None = None
        self.newest_born_ms = 0
        self.fencing_token = 0
        self.acknowledged = 0
        self.lease = BackendLease(limits=limits.lease)
        self.health = BackendHealth(limits=limits.health)
        self.slowdown = SlowdownEstimate(limits=limits.progress)
        self.runs = RunTable()
        self.orphaned_runs: dict[TaskKey, int] = {}
        self.ready = False
        self.predecessor_ended = False
        self.stopping = False
        self.typical_room = NO_ROOM
        self.reported_vacancy = Vacancy()
        self.resumed_at = 0.0
        self.takeovers = RecentTakeovers(
            retention_s=limits.takeover_retention_s
        )
        self.lease_expired = False
        self.first_tick_at = 0.0
        self.last_tick_at = 0.0
        self.effects: list[AgentEffect] = []
        self.links = EntryLinks(
            effects=self.effects,
            min_status_interval_s=limits.min_status_interval_s,
            max_statuses_per_s=limits.max_statuses_per_s,
            retire_after_s=limits.retire_after_s,
            status=self.status,
        )
        self.connections = EntryConnections(
            limits=limits,
            working_set=WorkingSet(
                agent_id=agent_id, limits=limits.working_set, seeds=seeds
            ),
            links=self.links,
            runs=self.runs,
            effects=self.effects,
            log=log,
        )

    # Messages from the backend server.

    def receive_report(
        self, report: BackendReport, now: float
    ) -> list[AgentEffect]:
        """Handle a report of the backend server."""
        current = self.report
        if report.lifetime.born_ms < self.newest_born_ms:
            # The report was delayed, and its sender has ended meanwhile.
            return []
        if current is None or current.lifetime != report.lifetime:
            self._begin_backend_incarnation(report, now)
        elif report.sequence < current.sequence:
            return []
        elif report.draining and not current.draining:
            self._log_backend_change("draining", "it said so", now)
        self.report = report
        self.lease.update_clock(report.clock_ms, now)
        if report.draining:
            self._reject_queued_runs("the backend server is leaving", now)
        self._start_waiting_and_notify(now)
        return self._pop_effects()

    def _begin_backend_incarnation(
        self, report: BackendReport, now: float
    ) -> None:
        former = self.report
        reused_name = (
            former is None
            or former.lifetime.instance == report.lifetime.instance
        )
        self._end_runs_of_incarnation(
            "the backend server has started anew", now, carries=reused_name
        )
        self.orphaned_runs.clear()
        self.report = report
        self.newest_born_ms = report.lifetime.born_ms
        # The server's clock rises throughout its incarnation, so that each
        # incarnation of the agent has a higher token than the one before.
        # Late requests to a former incarnation of the instance are refused.
        self.fencing_token = max(self.fencing_token + 1, report.clock_ms)
        self.acknowledged = 0
        self.ready = False
        self.lease_expired = False
        self.lease.restart(report.clock_ms, now)
        self.health = BackendHealth(limits=self.limits.health)
        self._log_backend_change("found", "a new lifetime reports", now)

    def mark_backend_ended(
        self, reason: str, now: float, *, is_refused: bool = False
    ) -> list[AgentEffect]:
        """Record that the known incarnation of the server has ended.

        Parameters
        ----------
        reason : str
        now : float
        is_refused : bool, optional
            Whether no server listens at the address now, so that all starts
            that were answered are over.
        """
        if self.report is None:
            return []
        self._log_backend_change("gone", reason, now)
        self.report = None
        self.ready = False
        self.orphaned_runs.clear()
        self._end_runs_of_incarnation(
            reason, now, carries=True, answered_are_over=is_refused
        )
        self._start_waiting_and_notify(now)
        return self._pop_effects()

    def raise_fencing_token(
        self, clock_ms: int, now: float
    ) -> list[AgentEffect]:
        """Raise the fencing token after the server has seen a higher one.

        The server reports its clock, but not the token that it has seen. A
        late request to a former incarnation may have carried a token far
        above that clock, so each call at least doubles the agent's token.

        Parameters
        ----------
        clock_ms : int
            The server's clock, in milliseconds.
        now : float
        """
        self.lease.update_clock(clock_ms, now)
        self.fencing_token = max(2 * self.fencing_token, clock_ms)
        return []

    def poll_request(self, now: float, *, wait_ms: int) -> PollRequest | None:
        """Return the next poll request; None if no server is known.

        A poll renews the lease and lists the runs. A server that has
        stopped answering is polled without renewal, so that its lease
        expires at a known time.
        """
        if self.report is None:
            return None
        renews = self._is_answering(now) or not self.ready
        return PollRequest(
            lifetime=self.report.lifetime,
            fencing_token=self.fencing_token,
            acknowledged=self.acknowledged,
            deadline_ms=self.lease.next_deadline_ms(now) if renews else None,
            wait_ms=wait_ms if renews else 0,
        )

    def receive_listing(
        self,
        listing: Listing,
        lifetime: BackendIncarnation,
        asked_at: float,
        now: float,
    ) -> list[AgentEffect]:
        """Handle a listing of the backend server.

        Parameters
        ----------
        listing : Listing
        lifetime : BackendIncarnation
            The incarnation to which the poll request was sent.
        asked_at, now : float
            When the request was sent and the answer was received.
        """
        if self.report is None or self.report.lifetime != lifetime:
            return []
        if asked_at < self.resumed_at:
            # The answer may have been delayed while the process was
            # paused; its server may have ended and another incarnation
            # started meanwhile.
            return []
        if listing.born_ms != lifetime.born_ms:
            return self.mark_backend_ended("another lifetime answers", now)
        was_unresponsive = not self._is_answering(now)
        self.lease.update_clock(listing.clock_ms, now)
        self.lease_expired = False
        self._process_ended_runs(listing, now)
        self._process_running_runs(listing, asked_at, now)
        if not self.ready and not self.orphaned_runs:
            self.ready = True
            self._mark_predecessor_ended()
            was_unresponsive = True
            # A report that was restored from the store has no clock value
            # from which to derive the token.
            self.fencing_token = max(self.fencing_token, listing.clock_ms)
        if was_unresponsive:
            self._log_backend_change("answering", "a listing came", now)
        self._start_waiting_and_notify(now)
        return self._pop_effects()

    def _process_ended_runs(self, listing: Listing, now: float) -> None:
        for ended in listing.ended:
            if ended.number <= self.acknowledged:
                continue
            self.acknowledged = ended.number
            run = self.runs.find(ended.key, ended.run)
            if run is not None:
                self._end_run(run, ended.ending, run.reason, now)
            if self.orphaned_runs.get(ended.key) == ended.run:
                del self.orphaned_runs[ended.key]

    def _process_running_runs(
        self, listing: Listing, asked_at: float, now: float
    ) -> None:
        found = {task.key: task for task in listing.running}
        for task in listing.running:
            run = self.runs.find(task.key, task.run)
            if run is None:
                self._stop_orphaned_run(task.key, task.run)
                continue
            run.progress.record(task.percent, now)
            sample_run_time_ms = run.progress.sample_run_time_ms()
            if sample_run_time_ms is not None:
                self.slowdown.record(
                    run.key.job_id, sample_run_time_ms, run.estimate_ms
                )
            run.is_listed = True
            run.carried_until = 0.0
            if run.phase is RunPhase.UNCERTAIN:
                run.phase = RunPhase.RUNNING
                run.answered_at = now
        for key in [key for key in self.orphaned_runs if key not in found]:
            del self.orphaned_runs[key]
        for run in self.runs:
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
            self._end_run(run, Ending.LOST, "the server has ended", now)
        elif run.phase is RunPhase.UNCERTAIN and (stopped or expired):
            self._end_run(
                run, Ending.NOT_RUN, "the order was not answered", now
            )
        elif run.phase is RunPhase.STOPPING and stopped:
            self._end_run(run, Ending.STOPPED, run.reason, now)
        elif run.phase is RunPhase.RUNNING and run.answered_at < asked_at:
            self._end_run(run, Ending.LOST, "the server lists it no more", now)

    def _stop_orphaned_run(self, key: TaskKey, run: int) -> None:
        """Stop a run that is not in `runs`; its resources are not known."""
        assert self.report is not None
        self.orphaned_runs[key] = run
        request = StopRequest(
            lifetime=self.report.lifetime,
            fencing_token=self.fencing_token,
            key=key,
            run=run,
        )
        self.effects.append(SendStopRequest(request))

    def start_answered(
        self, request: StartRequest, answer: StartAnswer | None, now: float
    ) -> list[AgentEffect]:
        """Handle the answer to a start request.

        Parameters
        ----------
        request : StartRequest
        answer : StartAnswer or None
            None if no answer was received.
        now : float
        """
        run = self.runs.find(request.key, request.run)
        if run is None:
            return []
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
            self._handle_start_refusal(run, answer, now)
        self._start_waiting_and_notify(now)
        return self._pop_effects()

    def _handle_start_refusal(
        self, run: Run, answer: StartAnswer, now: float
    ) -> None:
        if answer is StartAnswer.UNHEALTHY:
            self.health.record_failure(run.key.job_id, now)
        if answer is StartAnswer.STALE_TOKEN:
            self.fencing_token *= 2
        invalid = answer is StartAnswer.INVALID
        ending = Ending.INVALID if invalid else Ending.NOT_RUN
        self._end_run(run, ending, answer.value, now)

    def stop_answered(
        self, request: StopRequest, answered: bool, now: float
    ) -> list[AgentEffect]:
        """Record whether a stop request was answered."""
        run = self.runs.find(request.key, request.run)
        if run is None:
            return []
        if answered:
            run.stop_answered_at = now
        else:
            self._log_unanswered(run, "stop")
            run.stop_sent_at = 0.0
        return self._pop_effects()

    # Messages from entries.

    def entries_reported(self, addresses: Iterable[PeerAddress]) -> None:
        """Record the addresses of entries."""
        for address in addresses:
            self.connections.working_set.add(
                address.endpoint, address.failure_domain
            )

    def entry_connected(
        self,
        entry_id: str,
        incarnation: int,
        now: float,
        address: PeerAddress | None = None,
    ) -> list[AgentEffect]:
        """Record a link on which an entry has sent its hello.

        Parameters
        ----------
        entry_id : str
        incarnation : int
        now : float
        address : PeerAddress or None, optional
            Where the entry listens. An entry without a known address is
            never outside the working set.
        """
        if address is not None:
            self.connections.record_connected(entry_id, address)
        state = self.links.entries.get(entry_id)
        if state is not None and state.incarnation != incarnation:
            self._stop_entry_runs(entry_id, "its entry has started anew", now)
        self.links.entries[entry_id] = EntryState(
            incarnation=incarnation,
            last_message_at=now,
            heartbeat_interval_s=self.limits.heartbeat_interval_s,
        )
        self.log.write(PeerChanged(peer=entry_id, state="connected"))
        held = tuple(
            HeldTask(
                job_id=run.key.job_id,
                step=run.key.step,
                index=run.key.index,
                run=run.run,
            )
            for run in self.runs.runs_of_entry(entry_id)
        )
        hello = AgentHello(
            status=self.status(0, now),
            held=held,
            settled=self.predecessor_ended,
        )
        self.links.send(entry_id, hello)
        self.links.send_entries_served()
        return self._pop_effects()

    def entry_disconnected(self, entry_id: str) -> None:
        """Record that the entry's link has ended."""
        state = self.links.entries.get(entry_id)
        if state is not None and state.connected:
            state.connected = False
            self.log.write(PeerChanged(peer=entry_id, state="disconnected"))

    def receive(
        self, entry_id: str, message: EntryMessage, now: float
    ) -> list[AgentEffect]:
        """Handle a message of a connected entry."""
        if (
            self.last_tick_at
            and now - self.last_tick_at > self.limits.pause_threshold_s
        ):
            # The message may have been delayed while the process was
            # paused.
            return self.tick(now)
        state = self.links.entries.get(entry_id)
        if state is None or not state.connected:
            return []
        state.last_message_at = now
        if isinstance(message, RunTasks):
            state.sequence = max(state.sequence, message.sequence)
            self._enqueue_tasks(entry_id, message, now)
            self._start_waiting_runs(now)
            self._reject_unqueueable(now)
        elif isinstance(message, StopTasks):
            for index in message.indexes:
                key = TaskKey(message.job_id, message.step, index)
                run = self.runs.get(key)
                if run is not None and run.entry_id == entry_id:
                    self._stop_run(run, "its entry took it back", now)
        elif isinstance(message, EvictJob):
            self._evict(entry_id, message, now)
        elif isinstance(message, ServeEntry):
            endpoint = message.address.endpoint
            self.connections.serve_temporarily(endpoint, now)
        elif isinstance(message, Beat) and message.interval_ms:
            state.heartbeat_interval_s = message.interval_ms / 1000
            return []
        else:
            return []
        self._start_waiting_and_notify(now)
        return self._pop_effects()

    def _enqueue_tasks(
        self, entry_id: str, message: RunTasks, now: float
    ) -> None:
        refusal = self._refusal_reason(message.room)
        if self.takeovers.owner_of(message.job_id) not in (None, entry_id):
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
                    priority=message.priority,
                    due_at=now + message.time_left_ms / 1000,
                    max_per_agent=message.max_per_agent,
                    may_wait=message.may_wait,
                    received_at=now,
                    progress=RunProgress(
                        limits=self.limits.progress,
                        estimate_ms=message.estimate_ms,
                        started_at=now,
                    ),
                )
            )

    def _reject_unqueueable(self, now: float) -> None:
        """Reject tasks that may not wait, as there is no free capacity."""
        for run in self.runs.waiting():
            if not run.may_wait:
                self._end_run(run, Ending.NOT_RUN, "the room was taken", now)

    def _refusal_reason(self, room: Room) -> str:
        """Return why a task can't be queued here; empty if it can."""
        if self.stopping:
            return "the agent is leaving"
        if self.report is None or not self.ready:
            return "the backend server is not known"
        if self.report.draining:
            return "the backend server is leaving"
        if not self.report.capacity.can_fit(room):
            return f"{room} does not fit into {self.report.capacity}"
        return ""

    def _evict(self, entry_id: str, message: EvictJob, now: float) -> None:
        self.takeovers.record(message.job_id, entry_id, now)
        for run in self.runs.runs_of_other_entries(message.job_id, entry_id):
            self._stop_run(run, f"{entry_id} took its job over", now)
        self.links.evictions.append(
            Eviction(
                entry_id=entry_id,
                number=message.number,
                job_id=message.job_id,
            )
        )
        self._confirm_evictions()

    def _confirm_evictions(self) -> None:
        if not self.predecessor_ended:
            return
        self.links.confirm_evictions(
            lambda eviction: (
                not self.runs.runs_of_other_entries(
                    eviction.job_id, eviction.entry_id
                )
            )
        )

    # Periodic checks.

    def tick(self, now: float) -> list[AgentEffect]:
        """Process everything that is due; called about every 50 ms."""
        paused_s = now - self.last_tick_at if self.last_tick_at else 0.0
        self.last_tick_at = now
        self.first_tick_at = self.first_tick_at or now
        if paused_s > self.limits.pause_threshold_s:
            self._resume_after_pause(paused_s, now)
        self.takeovers.remove_expired(now)
        self._check_entries(now)
        self._check_lease_expiry(now)
        self._check_predecessor_lease(now)
        for run in self.runs:
            self._check_run(run, now)
        for key, number in self.orphaned_runs.items():
            self._stop_orphaned_run(key, number)
        self.connections.maintain(now)
        self._start_waiting_and_notify(now)
        return self._pop_effects()

    def _resume_after_pause(self, paused_s: float, now: float) -> None:
        """Stop all runs and close all links to entries.

        During the pause, entries may have marked the runs as lost.
        """
        self.log.write(
            ProcessChanged(state="paused", paused_ms=round(paused_s * 1000))
        )
        self.resumed_at = now
        self.ready = False
        for entry_id, state in self.links.entries.items():
            self._stop_entry_runs(entry_id, "the agent was paused", now)
            if state.connected:
                state.connected = False
                self.effects.append(CloseEntryLink(entry_id))

    def _check_entries(self, now: float) -> None:
        for entry_id, state in list(self.links.entries.items()):
            since_message_s = now - state.last_message_at
            if (
                since_message_s
                <= self.limits.max_missed_heartbeats
                * state.heartbeat_interval_s
            ):
                continue
            self.log.write(
                PeerChanged(
                    peer=entry_id,
                    state="given up",
                    cause="silence",
                    silent_ms=round(since_message_s * 1000),
                )
            )
            del self.links.entries[entry_id]
            self._stop_entry_runs(entry_id, "its entry is silent", now)
            if state.connected:
                self.effects.append(CloseEntryLink(entry_id))
            self.connections.record_silent(entry_id)
            self.links.send_entries_served()

    def _check_lease_expiry(self, now: float) -> None:
        if (
            self.report is None
            or self.lease_expired
            or now <= self.lease.expires_at
        ):
            return
        self.lease_expired = True
        if self.runs:
            self._log_backend_change("lease lapsed", "it gives no answer", now)
        self._end_all_as_lost("the lease has lapsed", now)

    def _check_predecessor_lease(self, now: float) -> None:
        """Record when the former incarnation's lease has expired."""
        silent = self.report is None or self.lease_expired
        if (
            silent
            and now - self.first_tick_at > self.lease.limits.max_duration_s
        ):
            self._mark_predecessor_ended()

    def _mark_predecessor_ended(self) -> None:
        """Record that no run of an earlier incarnation of the agent is left.

        All runs at the server are then known to this incarnation.
        """
        if not self.predecessor_ended:
            self.predecessor_ended = True
            self._confirm_evictions()

    def _check_run(self, run: Run, now: float) -> None:
        if run.carried_until and now > run.carried_until:
            self._end_run(run, Ending.LOST, "the server has ended", now)
            return
        if run.phase is RunPhase.QUEUED:
            if now - run.received_at > self.limits.max_queue_wait_s:
                self._end_run(run, Ending.NOT_RUN, "no room came free", now)
            return
        if run.phase is RunPhase.STOPPING or (
            run.phase is RunPhase.UNCERTAIN and not run.is_start_pending
        ):
            self._request_stop(run, now)
        elif run.phase is RunPhase.RUNNING:
            self._check_progress(run, now)

    def _check_progress(self, run: Run, now: float) -> None:
        report_interval_s = self.limits.progress.stall_s
        if (
            now - run.late_reported_at < report_interval_s
            or not self._is_answering(now)
        ):
            return
        if run.progress.is_stalled(now):
            whole_ms = -1.0
            if run.progress.percent == 0:
                self.health.record_failure(run.key.job_id, now)
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

    # Runs.

    def stop(self, now: float) -> list[AgentEffect]:
        """Accept no new tasks and reject queued ones; others may finish."""
        self.stopping = True
        self._reject_queued_runs("the agent is leaving", now)
        self._start_waiting_and_notify(now)
        return self._pop_effects()

    def _start_waiting_runs(self, now: float) -> None:
        """Start queued runs that fit, the most urgent first."""
        waiting = self.runs.waiting()
        if not waiting or not self._may_start(now):
            return
        waiting.sort(key=lambda run: run.order(now))
        assert self.report is not None
        free = self.runs.free(self.report.capacity, queued=False)
        for run in waiting:
            if not self.health.may_start(len(self.runs.occupying()), now):
                return
            if free.can_fit(run.room) and self.runs.is_below_agent_limit(run):
                free -= run.room
                self._start_run(run, free, now)

    def _may_start(self, now: float) -> bool:
        # Tasks that were queued while the process was paused may run
        # elsewhere now.
        paused = now - self.last_tick_at > self.limits.pause_threshold_s
        return (
            self.report is not None
            and self.ready
            and not paused
            and not self.report.draining
            and not self.orphaned_runs
            and self._is_answering(now)
        )

    def _start_run(self, run: Run, free: Room, now: float) -> None:
        assert self.report is not None
        run.phase = RunPhase.STARTING
        run.is_start_pending = True
        run.start_deadline_ms = self.lease.start_deadline_ms(now)
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
        request = StartRequest(
            lifetime=self.report.lifetime,
            fencing_token=self.fencing_token,
            key=run.key,
            run=run.run,
            payload=run.payload,
            deadline_ms=run.start_deadline_ms,
        )
        self.effects.append(SendStartRequest(request))

    def _stop_run(self, run: Run, reason: str, now: float) -> None:
        """Stop a run; a queued one ends at once."""
        if run.phase is RunPhase.QUEUED:
            self._end_run(run, Ending.NOT_RUN, reason, now)
        elif run.phase is not RunPhase.STOPPING:
            run.phase = RunPhase.STOPPING
            run.reason = reason
            self._request_stop(run, now)

    def _request_stop(self, run: Run, now: float) -> None:
        if self.report is None or run.stop_answered_at:
            return
        if now - run.stop_sent_at < self.limits.stop_retry_interval_s:
            return
        run.stop_sent_at = now
        request = StopRequest(
            lifetime=self.report.lifetime,
            fencing_token=self.fencing_token,
            key=run.key,
            run=run.run,
        )
        self.effects.append(SendStopRequest(request))

    def _stop_entry_runs(self, entry_id: str, reason: str, now: float) -> None:
        for run in self.runs.runs_of_entry(entry_id):
            self._stop_run(run, reason, now)

    def _reject_queued_runs(self, reason: str, now: float) -> None:
        for run in self.runs.waiting():
            self._end_run(run, Ending.NOT_RUN, reason, now)

    def _end_all_as_lost(self, reason: str, now: float) -> None:
        """End all runs but those that another incarnation may have begun."""
        for run in self.runs:
            if not run.carried_until:
                self._end_as_lost(run, reason, now)

    def _end_as_lost(self, run: Run, reason: str, now: float) -> None:
        queued = run.phase is RunPhase.QUEUED
        ending = Ending.NOT_RUN if queued else Ending.LOST
        self._end_run(run, ending, reason, now)

    def _end_runs_of_incarnation(
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

    def _end_run(
        self, run: Run, ending: Ending, reason: str, now: float
    ) -> None:
        self.runs.remove(run)
        run_ms = max(0, round((now - run.progress.started_at) * 1000))
        if ending is Ending.DONE:
            self.health.record_success()
            if run.progress.sampled_percent == 0:
                self.slowdown.record(run.key.job_id, run_ms, run.estimate_ms)
        elif ending is Ending.FAILED:
            self.health.record_failure(run.key.job_id, now)
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
            run.entry_id, run.key, run.run, ending, run_ms, reason
        )
        if self.links.evictions:
            self._confirm_evictions()

    def _send_task_ended(
        self,
        entry_id: str,
        key: TaskKey,
        run: int,
        ending: Ending,
        run_ms: int,
        reason: str,
    ) -> None:
        message = TaskEnded(
            job_id=key.job_id,
            step=key.step,
            index=key.index,
            run=run,
            ending=ending.value,
            run_ms=run_ms,
            reason=reason,
        )
        self.links.send(entry_id, message)
        self.links.entries_to_notify.add(entry_id)

    # Free capacity and statuses.

    def _is_answering(self, now: float) -> bool:
        return now - self.lease.answered_at <= self.limits.backend_timeout_s

    def _is_accepting(self, now: float) -> bool:
        """Whether entries should send new tasks here."""
        return (
            self.report is not None
            and self.ready
            and not self.stopping
            and not self.report.draining
            and not self.lease_expired
            and self._is_answering(now)
            and now >= self.health.backoff_until
        )

    def status(self, sequence: int, now: float) -> AgentStatus:
        """Return the agent's status for an entry.

        Parameters
        ----------
        sequence : int
            Sequence number of the last `RunTasks` from that entry.
        now : float
        """
        report = self.report
        capacity = report.capacity if report is not None else NO_ROOM
        free = self.runs.free(capacity, queued=True)
        waiting = self.runs.waiting()
        return AgentStatus(
            agent_id=self.agent_id,
            incarnation=self.incarnation,
            service_name=report.service if report is not None else "",
            labels=report.labels if report is not None else (),
            accepting=self._is_accepting(now),
            cpu_milli=capacity.cpu_milli,
            memory_mb=capacity.memory_mb,
            accelerators=capacity.accelerators,
            free_cpu_milli=free.cpu_milli,
            free_memory_mb=free.memory_mb,
            free_accelerators=free.accelerators,
            queued=len(waiting),
            queued_ms=round(sum(run.estimate_ms for run in waiting)),
            sequence=sequence,
            pace_percent=self.slowdown.percent(),
            probing=self.health.probing,
        )

    def _start_waiting_and_notify(self, now: float) -> None:
        """Start queued runs that fit, and send the statuses that are due."""
        self._start_waiting_runs(now)
        vacancy = self._vacancy(now)
        if vacancy != self.reported_vacancy:
            self.reported_vacancy = vacancy
            self.links.status_changed = True
        self.links.send_due_statuses(now)

    def _vacancy(self, now: float) -> Vacancy:
        report = self.report
        if report is None:
            return Vacancy()
        free = self.runs.free(report.capacity, queued=True)
        return Vacancy(
            accepting=self._is_accepting(now),
            probing=self.health.probing,
            tasks=free.count_fitting(self.typical_room, MAX_REPORTED_TASKS),
            queued=len(self.runs.waiting()),
        )

    def _pop_effects(self) -> list[AgentEffect]:
        effects = list(self.effects)
        self.effects.clear()
        return effects

    def _log_backend_change(self, state: str, cause: str, now: float) -> None:
        self.log.write(
            BackendChanged(
                instance=self.report.lifetime.instance if self.report else "",
                state=state,
                cause=cause,
                answer_age_ms=round((now - self.lease.answered_at) * 1000),
            )
        )

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
