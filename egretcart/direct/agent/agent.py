"""Agent of direct dispatch, the admission controller of a backend server.

Free of I/O: each method returns the effects that its caller carries out.
All times are in seconds on the agent's monotonic clock, unless a name ends
in `_ms`.
"""

from collections.abc import Iterable

from egretcart.connection.dialler import Endpoint
from egretcart.direct.agent.agent_statuses import AgentStatuses
from egretcart.direct.agent.agent_types import AgentEffect
from egretcart.direct.agent.agent_types import DirectAgentLimits
from egretcart.direct.agent.agent_types import EntryState
from egretcart.direct.agent.backend_exchange import BackendExchange
from egretcart.direct.agent.capacity_offering import CapacityOffering
from egretcart.direct.agent.domain_drain import DomainDrain
from egretcart.direct.agent.domain_drain import DRAINED_REASON
from egretcart.direct.agent.entry_checks import EntryChecks
from egretcart.direct.agent.entry_connections import EntryConnections
from egretcart.direct.agent.entry_links import EntryLinks
from egretcart.direct.agent.job_evictions import JobEvictions
from egretcart.direct.agent.known_backend import KnownBackend
from egretcart.direct.agent.run_checks import RunChecks
from egretcart.direct.agent.run_queue import RunQueue
from egretcart.direct.agent.run_table import RunTable
from egretcart.direct.backend.backend import BackendIncarnation
from egretcart.direct.backend.backend import BackendReport
from egretcart.direct.backend.backend import Listing
from egretcart.direct.backend.backend import PollRequest
from egretcart.direct.backend.backend import StartAnswer
from egretcart.direct.backend.backend import StartRequest
from egretcart.direct.backend.backend import StopRequest
from egretcart.direct.backend.lease import BackendLease
from egretcart.direct.connection.messages import AgentStatus
from egretcart.direct.connection.messages import Beat
from egretcart.direct.connection.messages import EntryMessage
from egretcart.direct.connection.messages import EvictJob
from egretcart.direct.connection.messages import PeerAddress
from egretcart.direct.connection.messages import RunTasks
from egretcart.direct.connection.messages import ServeEntry
from egretcart.direct.connection.messages import StopTasks
from egretcart.direct.connection.offer_messages import OfferDeclined
from egretcart.direct.connection.offer_messages import TasksWaiting
from egretcart.direct.connection.working_set import WorkingSet
from egretcart.direct.log.decisions import DecisionLog
from egretcart.direct.log.decisions import PeerChanged
from egretcart.direct.log.decisions import ProcessChanged
from egretcart.direct.policy.capacity_offers import CapacityOffers
from egretcart.direct.request.job import TaskKey
from egretcart.direct.version.drained_domains import DrainedDomains


class DirectAgent:
    """Runs tasks of all entries within the capacity of one backend server.

    Passes what it receives to its parts, and returns their effects.

    Parameters
    ----------
    agent_id : str
    incarnation : int
        Rises with each start of the agent's process.
    limits : DirectAgentLimits
    log : DecisionLog
    seeds : iterable of Endpoint, optional
        Entries that are known from the start.
    failure_domain : str, optional
        Failure domain of the agent and its backend server; empty if it is
        never drained.

    Attributes
    ----------
    effects : list of AgentEffect
        Effects that no method has returned yet.
    runs : RunTable
        All runs that entries have sent and that have not ended.
    backend : KnownBackend
        The backend server, as far as it is known.
    links : EntryLinks
        Links to entries, and the statuses that are due on them.
    connections : EntryConnections
        The entries to connect to.
    evictions : JobEvictions
        Jobs that entries have taken over from others.
    drain : DomainDrain
        Whether the agent's failure domain is drained.
    offers : CapacityOffers
        Capacity that is held for entries whose tasks wait.
    queue : RunQueue
        Accepts, starts, stops and ends runs.
    checks : RunChecks
        Periodic checks of runs.
    entry_checks : EntryChecks
        Gives up entries that are silent.
    statuses : AgentStatuses
        The agent's statuses.
    exchange : BackendExchange
        Handles the server's messages.
    """

    def __init__(
        self,
        *,
        agent_id: str,
        incarnation: int,
        limits: DirectAgentLimits,
        log: DecisionLog,
        seeds: Iterable[Endpoint] = (),
        failure_domain: str = "",
    ) -> None:
        self.limits = limits
        self.log = log
        self.effects: list[AgentEffect] = []
        self.offers = CapacityOffers(limits=limits.offers)
        self.runs = RunTable(offers=self.offers)
        self.backend = KnownBackend(limits=limits, log=log)
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
        self.evictions = JobEvictions(
            limits=limits,
            runs=self.runs,
            links=self.links,
            backend=self.backend,
        )
        self.drain = DomainDrain(
            failure_domain=failure_domain, links=self.links, log=log
        )
        self.queue = RunQueue(
            limits=limits,
            backend=self.backend,
            runs=self.runs,
            links=self.links,
            evictions=self.evictions,
            drain=self.drain,
            effects=self.effects,
            log=log,
        )
        self.checks = RunChecks(
            limits=limits,
            backend=self.backend,
            queue=self.queue,
            links=self.links,
        )
        self.statuses = AgentStatuses(
            agent_id=agent_id,
            incarnation=incarnation,
            backend=self.backend,
            queue=self.queue,
            links=self.links,
        )
        self.offering = CapacityOffering(
            offers=self.offers,
            queue=self.queue,
            statuses=self.statuses,
            links=self.links,
            log=log,
        )
        self.entry_checks = EntryChecks(
            limits=limits,
            links=self.links,
            connections=self.connections,
            queue=self.queue,
            effects=self.effects,
            log=log,
        )
        self.exchange = BackendExchange(
            backend=self.backend,
            queue=self.queue,
            evictions=self.evictions,
            effects=self.effects,
            log=log,
        )

    @property
    def report(self) -> BackendReport | None:
        """Newest report of the server; None while no server is known."""
        return self.backend.report

    @property
    def lease(self) -> BackendLease:
        """Lease under which the server runs tasks."""
        return self.backend.lease

    @property
    def fencing_token(self) -> int:
        """Fencing token of requests to the server."""
        return self.backend.fencing_token

    # Messages from the backend server.

    def receive_report(
        self, report: BackendReport, now: float
    ) -> list[AgentEffect]:
        """Handle a report of the backend server."""
        if self.exchange.receive_report(report, now):
            self._start_waiting_and_notify(now)
        return self._pop_effects()

    def mark_backend_ended(
        self,
        reason: str,
        now: float,
        *,
        is_refused: bool = False,
        is_announced: bool = False,
    ) -> list[AgentEffect]:
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
        if self.exchange.mark_backend_ended(
            reason, now, is_refused=is_refused, is_announced=is_announced
        ):
            self._start_waiting_and_notify(now)
        return self._pop_effects()

    def poll_refused(
        self, request: PollRequest, clock_ms: int, now: float
    ) -> list[AgentEffect]:
        """Handle the refusal of a poll request for its fencing token.

        Parameters
        ----------
        request : PollRequest
        clock_ms : int
            The server's clock, in milliseconds.
        now : float
        """
        self.backend.token_refused(
            request.fencing_token, now, clock_ms=clock_ms
        )
        return []

    def poll_request(self, now: float, *, wait_ms: int) -> PollRequest | None:
        """Return the next poll request; None if no server is known."""
        return self.backend.poll_request(now, wait_ms=wait_ms)

    def receive_listing(
        self,
        listing: Listing,
        lifetime: BackendIncarnation,
        asked_at: float,
        now: float,
    ) -> list[AgentEffect]:
        """Handle a listing of the backend server; see `BackendExchange`."""
        if self.exchange.receive_listing(listing, lifetime, asked_at, now):
            self._start_waiting_and_notify(now)
        return self._pop_effects()

    def poll_failed(self, asked_at: float, now: float) -> list[AgentEffect]:
        """Record that the server did not answer a poll."""
        if self.exchange.poll_failed(asked_at, now):
            self._start_waiting_and_notify(now)
        return self._pop_effects()

    def start_answered(
        self, request: StartRequest, answer: StartAnswer | None, now: float
    ) -> list[AgentEffect]:
        """Handle the answer to a start request; None if there was none."""
        if self.exchange.start_answered(request, answer, now):
            self._start_waiting_and_notify(now)
        return self._pop_effects()

    def stop_answered(
        self, request: StopRequest, answered: bool, now: float
    ) -> list[AgentEffect]:
        """Record whether a stop request was answered."""
        self.exchange.stop_answered(request, answered, now)
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
            self.queue.stop_entry_runs(
                entry_id, "its entry has started anew", now
            )
        self.offering.forget(entry_id, "its entry has connected anew", now)
        self.links.entries[entry_id] = EntryState(
            incarnation=incarnation,
            last_message_at=now,
            heartbeat_interval_s=self.limits.heartbeat_interval_s,
        )
        self.log.write(PeerChanged(peer=entry_id, state="connected"))
        self.links.send(entry_id, self.statuses.hello(entry_id, now))
        self.drain.tell(entry_id)
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
            self.queue.last_tick_at
            and now - self.queue.last_tick_at > self.limits.pause_threshold_s
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
            self.offering.use(entry_id, message)
            self.queue.enqueue(entry_id, message, now)
            self.queue.start_waiting(now)
            self.queue.reject_unqueueable(now)
        elif isinstance(message, StopTasks):
            for index in message.indexes:
                key = TaskKey(message.job_id, message.step, index)
                run = self.runs.get(key)
                if run is not None and run.entry_id == entry_id:
                    self.queue.stop(run, "its entry took it back", now)
        elif isinstance(message, TasksWaiting | OfferDeclined):
            self.offering.receive(entry_id, message, now)
        elif isinstance(message, EvictJob):
            self._evict(entry_id, message, now)
        elif isinstance(message, ServeEntry):
            endpoint = message.address.endpoint
            self.connections.serve_temporarily(endpoint, now)
        elif isinstance(message, DrainedDomains):
            self._learn_drained_domains(message, entry_id, now)
        elif isinstance(message, Beat) and message.interval_ms:
            state.heartbeat_interval_s = message.interval_ms / 1000
            return []
        else:
            return []
        self._start_waiting_and_notify(now)
        return self._pop_effects()

    def _learn_drained_domains(
        self, drained: DrainedDomains, entry_id: str, now: float
    ) -> None:
        """Apply a state; nothing that is queued here begins if drained."""
        waiting = len(self.runs.waiting())
        self.drain.learn(
            drained,
            entry_id,
            now,
            queued=waiting,
            running=len(self.runs) - waiting,
        )
        if self.drain.is_drained:
            self.queue.reject_queued(DRAINED_REASON, now)

    def _evict(self, entry_id: str, message: EvictJob, now: float) -> None:
        self.evictions.takeovers.record(message.job_id, entry_id, now)
        for run in self.runs.runs_of_other_entries(message.job_id, entry_id):
            self.queue.stop(run, f"{entry_id} took its job over", now)
        self.evictions.add(entry_id, message)

    # Periodic checks.

    def tick(self, now: float) -> list[AgentEffect]:
        """Process everything that is due; called about every 50 ms."""
        paused_s = (
            now - self.queue.last_tick_at if self.queue.last_tick_at else 0.0
        )
        self.queue.last_tick_at = now
        self.evictions.first_tick_at = self.evictions.first_tick_at or now
        if paused_s > self.limits.pause_threshold_s:
            self._resume_after_pause(paused_s, now)
        self.evictions.takeovers.remove_expired(now)
        self.entry_checks.check(now)
        self.drain.tell_lagging(now)
        self.exchange.check_lease_expiry(now)
        self.backend.log_suspicion(now)
        self.evictions.check_predecessor_lease(now)
        for run in self.runs:
            self.checks.check(run, now)
        for key, number in self.backend.orphaned_runs.items():
            self.exchange.stop_orphaned(key, number)
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
        self.backend.resumed_at = now
        self.backend.ready = False
        self.entry_checks.close_all("the agent was paused", now)

    def stop(self, now: float) -> list[AgentEffect]:
        """Accept no new tasks and reject queued ones; others may finish."""
        self.queue.stopping = True
        self.queue.reject_queued("the agent is leaving", now)
        self._start_waiting_and_notify(now)
        return self._pop_effects()

    def _pop_effects(self) -> list[AgentEffect]:
        effects = list(self.effects)
        self.effects.clear()
        return effects

    def status(self, sequence: int, now: float) -> AgentStatus:
        """Return the agent's status for an entry; see `AgentStatuses`."""
        return self.statuses.status(sequence, now)

    def _start_waiting_and_notify(self, now: float) -> None:
        """Start queued runs that fit, and send the statuses that are due."""
        self.queue.start_waiting(now)
        self.offering.offer(now)
        self.statuses.notify(now)
