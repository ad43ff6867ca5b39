"""Decision logic of an entry: callers, forwarding, leadership of cells.

Free of I/O. The shell passes in requests, messages and timer ticks and
carries out the effects that the methods return.
"""

from collections.abc import Iterable

from result import Result

from egretcart.connection.messages import AgentConfig
from egretcart.connection.messages import AgentHello
from egretcart.connection.messages import AgentMessage
from egretcart.connection.messages import CellLeader
from egretcart.connection.messages import CellRoster
from egretcart.connection.messages import ConfigDocument
from egretcart.connection.messages import ConfigRequest
from egretcart.connection.messages import EntryAddress
from egretcart.connection.messages import EntryBeat
from egretcart.connection.messages import EntryList
from egretcart.connection.messages import FenceReply
from egretcart.connection.messages import Forward
from egretcart.connection.messages import ForwardReply
from egretcart.connection.messages import HeartbeatReply
from egretcart.connection.messages import NO_TERM
from egretcart.connection.messages import Roster
from egretcart.connection.messages import Term
from egretcart.process.answers import AnswerCache
from egretcart.process.cell_index import CellIndex
from egretcart.process.clock import Clock
from egretcart.process.config_sync import ConfigSync
from egretcart.process.config_sync import decode_document
from egretcart.process.config_sync import encode_document
from egretcart.process.config_sync import SyncLimits
from egretcart.process.directory import Cell
from egretcart.process.directory import cell_of_job
from egretcart.process.directory import Directory
from egretcart.process.effects import LeaderEffect
from egretcart.process.effects import RequestToken
from egretcart.process.effects import SendReply
from egretcart.process.effects import SendToAgent
from egretcart.process.effects import StepDown
from egretcart.process.entry_effects import EntryEffect
from egretcart.process.entry_effects import ReplyToCaller
from egretcart.process.entry_effects import SendAgentConfig
from egretcart.process.entry_effects import SendEntryList
from egretcart.process.entry_effects import SendToPeer
from egretcart.process.entry_effects import WriteCellRoster
from egretcart.process.entry_limits import EntryLimits
from egretcart.process.leadership import Leadership
from egretcart.process.leadership import Phase
from egretcart.process.limits import LeaderLimits
from egretcart.process.limits import PRUNE_INTERVAL_S
from egretcart.process.pending import CANCEL
from egretcart.process.pending import PendingRequest
from egretcart.process.pending import READ
from egretcart.process.pending import SUBMIT
from egretcart.request.identity import JobId
from egretcart.request.job import Job
from egretcart.request.job import parse_job
from egretcart.request.problem import bad_request
from egretcart.request.problem import unavailable
from egretcart.request.reply import NOT_LEADER
from egretcart.request.reply import problem_reply
from egretcart.request.reply import Reply
from egretcart.request.reply import ReplyOutcome
from egretcart.request.verdict import Verdict
from egretcart.version.document import Configuration

MS_PER_S = 1000
REQUEST_ID_BITS = 20


class Entry:
    """One entry's decisions.

    Parameters
    ----------
    address : EntryAddress
    incarnation : int
    configuration : Configuration
    limits : EntryLimits
    leader_limits : LeaderLimits
    clock : Clock
    has_platform : bool, optional
        Whether the shell follows the platform's store.
    """

    def __init__(
        self,
        *,
        address: EntryAddress,
        incarnation: int,
        configuration: Configuration,
        limits: EntryLimits,
        leader_limits: LeaderLimits,
        clock: Clock,
        has_platform: bool = False,
    ) -> None:
        self.address = address
        self.incarnation = incarnation
        self.configuration = configuration
        self.limits = limits
        self.leader_limits = leader_limits
        self.clock = clock
        self.started_at = clock.monotonic()
        self.directory = Directory(
            own=address, peer_timeout_s=limits.peer_timeout_s
        )
        self.answers = AnswerCache(max_bytes=limits.max_answer_bytes)
        self.sync = ConfigSync(
            limits=SyncLimits(), clock=clock, has_platform=has_platform
        )
        self.sync.offer(configuration)
        self.agents: dict[str, AgentHello] = {}
        self.cell_index = CellIndex()
        self.agent_heartbeats: dict[str, HeartbeatReply] = {}
        self.leaderships: dict[Cell, Leadership] = {}
        self.rosters: dict[Cell, Roster] = {}
        self.highest_terms: dict[Cell, Term] = {}
        self.not_before: dict[Cell, float] = {}
        self.pending: dict[int, PendingRequest] = {}
        # Numbers of an earlier incarnation are never used again.
        self.next_request_id = (incarnation << REQUEST_ID_BITS) + 1
        self.next_beat = float("-inf")
        self.next_prune = float("-inf")
        self.next_distant_beat = float("-inf")
        self.leading_told: tuple[CellLeader, ...] = ()
        self.addresses_told: tuple[EntryAddress, ...] = ()

    @property
    def has_settled(self) -> bool:
        """Whether this entry may take cells over, so soon after its start."""
        settled_at = self.started_at + self.limits.settle_s
        return self.clock.monotonic() >= settled_at

    # Configuration.

    def configure(self, configuration: Configuration) -> list[EntryEffect]:
        """Put a configuration in force if it is newer than the present.

        Parameters
        ----------
        configuration : Configuration

        Returns
        -------
        list of EntryEffect
        """
        if configuration.version <= self.configuration.version:
            return []
        self.sync.offer(configuration)
        self.configuration = configuration
        self.cell_index.regroup(self.agents.values(), configuration)
        effects: list[EntryEffect] = [
            self._agent_config(agent_id) for agent_id in self.agents
        ]
        for cell, leadership in list(self.leaderships.items()):
            effects += self._carry_out(
                cell, leadership.configure(configuration)
            )
        effects += self._send_beats(self.clock.monotonic())
        return effects + self._steer()

    def platform_configuration(
        self, document: Configuration | None
    ) -> list[EntryEffect]:
        """Handle the stored document; None if the store holds none."""
        self.sync.platform_read(document)
        return self._follow_versions()

    def platform_failed(self) -> list[EntryEffect]:
        """Handle a platform's store that does not answer."""
        self.sync.platform_failed()
        return self._follow_versions()

    def _follow_versions(self) -> list[EntryEffect]:
        """Ask whoever is ahead, and put the newest version in force."""
        effects: list[EntryEffect] = []
        if self.sync.is_behind:
            live = self.directory.live_peers(self.clock.monotonic())
            versions = [(p.address.entry_id, p.config_version) for p in live]
            request = ConfigRequest(version=self.sync.candidate.version)
            effects += [
                SendToPeer(entry_id, request)
                for entry_id in self.sync.peers_to_ask(versions)
            ]
        document = self.sync.in_force()
        if document is not None:
            effects += self.configure(document)
        return effects

    def _config_requested(
        self, entry_id: str, request: ConfigRequest
    ) -> list[EntryEffect]:
        document = self.sync.candidate
        if document.version <= request.version:
            return []
        rosters = dict(self.rosters)
        for cell, leadership in self.leaderships.items():
            rosters[cell] = leadership.quorum.roster
        message = ConfigDocument(
            version=document.version,
            document=encode_document(document),
            rosters=tuple(
                CellRoster(
                    service_name=cell.service, cell=cell.index, roster=roster
                )
                for cell, roster in sorted(rosters.items())
            ),
        )
        return [SendToPeer(entry_id, message)]

    def _config_received(self, message: ConfigDocument) -> list[EntryEffect]:
        for known in message.rosters:
            if known.roster is not None:
                self.learn_roster(
                    Cell(known.service_name, known.cell), known.roster
                )
        document = decode_document(message.document)
        if document is not None:
            self.sync.offer(document)
        return self._follow_versions()

    def learn_roster(self, cell: Cell, roster: Roster) -> None:
        """Keep a roster for a later takeover if it is newer."""
        known = self.rosters.get(cell, Roster())
        if roster.version > known.version:
            self.rosters[cell] = roster

    def _agent_config(self, agent_id: str) -> EntryEffect:
        config = AgentConfig(
            version=self.configuration.version,
            drained=agent_id in self.configuration.drained,
        )
        return SendAgentConfig(agent_id, config)

    # Callers.

    def request(
        self, action: str, service: str, job_id: JobId, body: bytes = b""
    ) -> tuple[int, list[EntryEffect]]:
        """Take a caller's request.

        Parameters
        ----------
        action : str
            One of `ACTIONS`.
        service : str
        job_id : JobId
        body : bytes, optional
            The submission; empty for other actions.

        Returns
        -------
        int
            Number of the request, which `ReplyToCaller` will name.
        list of EntryEffect
        """
        request_id = self.next_request_id
        self.next_request_id += 1
        found = self.configuration.find_service(service)
        if self.configuration.version == 0:
            refusal = unavailable(
                "the entry has not learned the configuration yet",
                verdict=Verdict.MAY_HAVE_RUN,
                retry_after_s=self.limits.leaderless_retry_s,
            )
            return request_id, [
                ReplyToCaller(request_id, problem_reply(refusal))
            ]
        if found is None:
            refusal = bad_request(
                f"service {service!r} is not configured; configured are "
                f"{sorted(s.name for s in self.configuration.services)}",
                status=404,
            )
            return request_id, [
                ReplyToCaller(request_id, problem_reply(refusal))
            ]
        if action == SUBMIT:
            parsed = self._parse(service, job_id, body)
            if parsed.is_err():
                refusal = bad_request(parsed.unwrap_err())
                return request_id, [
                    ReplyToCaller(request_id, problem_reply(refusal))
                ]
        pending = PendingRequest(
            request_id=request_id,
            action=action,
            service=service,
            job_id=job_id,
            body=body,
            cell=cell_of_job(service, job_id, found.cells),
            leaderless_since=self.clock.monotonic(),
        )
        self.pending[request_id] = pending
        return request_id, self._route(pending)

    def caller_gone(self, request_id: int) -> None:
        """Forget a request whose caller has closed the connection."""
        self.pending.pop(request_id, None)

    def _parse(
        self, service: str, job_id: JobId, body: bytes
    ) -> Result[Job, str]:
        return parse_job(
            job_id=job_id,
            service=service,
            body=body,
            max_tasks=self.configuration.max_tasks_per_job,
        )

    def _route(self, pending: PendingRequest) -> list[EntryEffect]:
        """Give a request to the leader of its cell, if there is one."""
        leader = self._leader_of(pending.cell)
        pending.routed_to = leader
        if leader is None:
            return []
        pending.routed_at = self.clock.monotonic()
        if leader != self.address.entry_id:
            forward = Forward(
                request_id=pending.request_id,
                action=pending.action,
                service_name=pending.service,
                job_id=pending.job_id.value,
                body=pending.body,
            )
            return [SendToPeer(leader, forward)]
        token = RequestToken(self.address.entry_id, pending.request_id)
        return self._lead_request(
            pending.cell,
            token,
            pending.action,
            pending.job_id,
            pending.body,
        )

    def _leader_of(self, cell: Cell) -> str | None:
        """Return the entry that leads or is taking over a cell."""
        now = self.clock.monotonic()
        claim = self.directory.claimant(cell, now)
        own = self.leaderships.get(cell)
        if own is not None and (claim is None or own.term > claim[0]):
            return self.address.entry_id
        return claim[1] if claim is not None else None

    def _lead_request(
        self,
        cell: Cell,
        token: RequestToken,
        action: str,
        job_id: JobId,
        body: bytes,
    ) -> list[EntryEffect]:
        leadership = self.leaderships.get(cell)
        if leadership is None:
            return self._deliver(token, NOT_LEADER)
        if action == READ:
            return self._carry_out(cell, leadership.read(token, job_id))
        if action == CANCEL:
            return self._carry_out(cell, leadership.cancel(token, job_id))
        parsed = self._parse(cell.service, job_id, body)
        if parsed.is_err():
            refusal = bad_request(parsed.unwrap_err())
            return self._deliver(token, problem_reply(refusal))
        job: Job = parsed.unwrap()
        return self._carry_out(cell, leadership.submit(token, job))

    def _deliver(self, token: RequestToken, reply: Reply) -> list[EntryEffect]:
        """Pass a leader's reply to the entry that holds the caller."""
        if token.entry_id == self.address.entry_id:
            return self._replied(token.request_id, reply)
        retry_after_ms = 0
        if reply.retry_after_s is not None:
            retry_after_ms = int(reply.retry_after_s * MS_PER_S)
        message = ForwardReply(
            request_id=token.request_id,
            outcome=reply.outcome.value,
            body=reply.body,
            status=reply.status,
            retry_after_ms=retry_after_ms,
        )
        return [SendToPeer(token.entry_id, message)]

    def _replied(self, request_id: int, reply: Reply) -> list[EntryEffect]:
        pending = self.pending.get(request_id)
        if pending is None:
            return []
        if reply.outcome is ReplyOutcome.NOT_LEADER:
            self._returned(pending)
            return []
        del self.pending[request_id]
        return [ReplyToCaller(request_id, reply)]

    # Other entries.

    def peer_connected(
        self, address: EntryAddress, incarnation: int
    ) -> list[EntryEffect]:
        """Handle another entry's introduction."""
        now = self.clock.monotonic()
        self.directory.heard_hello(address, incarnation, now)
        interval_s = self.limits.distant_beat_interval_s
        entries = EntryList(entries=self.directory.addresses(now))
        return [
            SendToPeer(address.entry_id, self._beat(interval_s)),
            SendToPeer(address.entry_id, entries),
        ]

    def peer_lost(self, entry_id: str) -> list[EntryEffect]:
        """Handle the loss of a connection to another entry."""
        self.directory.lost(entry_id)
        for pending in self.pending.values():
            if pending.routed_to == entry_id:
                self._lose_leader(pending)
        return self._steer()

    def peer_message(
        self,
        entry_id: str,
        message: EntryBeat
        | Forward
        | ForwardReply
        | ConfigRequest
        | ConfigDocument,
    ) -> list[EntryEffect]:
        """Handle a message from another entry."""
        if isinstance(message, ConfigRequest):
            return self._config_requested(entry_id, message)
        if isinstance(message, ConfigDocument):
            return self._config_received(message)
        if isinstance(message, EntryBeat):
            self.directory.heard_beat(
                entry_id,
                beat=message,
                now=self.clock.monotonic(),
            )
            for claim in message.leading:
                cell = Cell(claim.service_name, claim.cell)
                self._saw_term(cell, claim.term)
            self.sync.heard(message.config_version)
            return self._follow_versions() + self._steer()
        if isinstance(message, Forward):
            return self._forwarded(entry_id, message)
        retry_after_s = None
        if message.retry_after_ms:
            retry_after_s = message.retry_after_ms / MS_PER_S
        reply = Reply(
            outcome=ReplyOutcome(message.outcome),
            status=message.status,
            body=message.body,
            retry_after_s=retry_after_s,
        )
        pending = self.pending.get(message.request_id)
        if pending is None or pending.routed_to != entry_id:
            return []
        return self._replied(message.request_id, reply)

    def _forwarded(self, entry_id: str, message: Forward) -> list[EntryEffect]:
        token = RequestToken(entry_id, message.request_id)
        service = self.configuration.find_service(message.service_name)
        if service is None:
            return self._deliver(token, NOT_LEADER)
        job_id = JobId(message.job_id)
        cell = cell_of_job(message.service_name, job_id, service.cells)
        return self._lead_request(
            cell, token, message.action, job_id, message.body
        )

    def _returned(self, pending: PendingRequest) -> None:
        """Take back a request from an entry that does not lead any more.

        The wait for a leader starts anew only for a request that a leader
        has kept for long, so that no request goes round for ever.
        """
        now = self.clock.monotonic()
        pending.routed_to = None
        if now >= pending.routed_at + self.limits.leaderless_limit_s:
            pending.leaderless_since = now

    def _lose_leader(self, pending: PendingRequest) -> None:
        pending.routed_to = None
        pending.leaderless_since = self.clock.monotonic()

    def _beat(self, interval_s: float) -> EntryBeat:
        return EntryBeat(
            interval_ms=int(interval_s * MS_PER_S),
            config_version=self.configuration.version,
            leading=self._claims(),
            leaving=self.directory.leaving,
        )

    def _claims(self) -> tuple[CellLeader, ...]:
        return tuple(
            CellLeader(
                service_name=cell.service,
                cell=cell.index,
                term=leadership.term,
            )
            for cell, leadership in sorted(self.leaderships.items())
        )

    # Agents.

    def agent_connected(self, hello: AgentHello) -> list[EntryEffect]:
        """Handle an agent's announcement."""
        self.agents[hello.agent_id] = hello
        addresses = self.directory.addresses(self.clock.monotonic())
        effects: list[EntryEffect] = [
            SendEntryList(hello.agent_id, EntryList(entries=addresses))
        ]
        if self.configuration.version > 0:
            effects.append(self._agent_config(hello.agent_id))
        cell = self.cell_index.add(hello, self.configuration)
        leadership = self.leaderships.get(cell)
        if leadership is not None:
            effects += self._carry_out(cell, leadership.agent_connected(hello))
        return effects

    def agent_disconnected(self, agent_id: str) -> list[EntryEffect]:
        """Handle the loss of an agent's connection."""
        self.agents.pop(agent_id, None)
        self.agent_heartbeats.pop(agent_id, None)
        cell = self.cell_index.remove(agent_id)
        if cell is None:
            return []
        leadership = self.leaderships.get(cell)
        if leadership is not None:
            leadership.agent_disconnected(agent_id)
        return []

    def agent_message(
        self, agent_id: str, message: AgentMessage
    ) -> list[EntryEffect]:
        """Handle a message from an agent."""
        cell = self.cell_index.cells.get(agent_id)
        if cell is None:
            return []
        if isinstance(message, FenceReply | HeartbeatReply):
            self._saw_term(cell, message.term)
        if isinstance(message, HeartbeatReply):
            self.agent_heartbeats[agent_id] = message
            self.sync.heard(message.config_version)
        leadership = self.leaderships.get(cell)
        if leadership is None:
            return []
        return self._carry_out(cell, leadership.receive(agent_id, message))

    def _saw_term(self, cell: Cell, term: Term) -> None:
        highest = self.highest_terms.get(cell, NO_TERM)
        self.highest_terms[cell] = max(highest, term)

    # The platform.

    def roster_known(
        self, cell: Cell, roster: Roster | None
    ) -> list[EntryEffect]:
        """Handle the end of a roster write or read.

        Parameters
        ----------
        cell : Cell
        roster : Roster or None
            The roster in the platform's store; None if it did not answer.

        Returns
        -------
        list of EntryEffect
        """
        if roster is not None:
            self.learn_roster(cell, roster)
        leadership = self.leaderships.get(cell)
        if leadership is None:
            return []
        return self._carry_out(cell, leadership.roster_written(roster))

    # Time.

    def tick(self) -> list[EntryEffect]:
        """Do what is due by now."""
        now = self.clock.monotonic()
        effects: list[EntryEffect] = []
        for cell, leadership in list(self.leaderships.items()):
            effects += self._carry_out(cell, leadership.tick())
        effects += self._follow_versions()
        effects += self._steer()
        effects += self._give_up(now)
        effects += self._tell_addresses(now)
        if now >= self.next_beat:
            effects += self._send_beats(now)
        if now >= self.next_prune:
            self._prune(now)
        return effects

    def _prune(self, now: float) -> None:
        """Forget jobs that are too old to be asked for."""
        self.next_prune = now + PRUNE_INTERVAL_S
        keep_ms = int(self.leader_limits.memory_s * MS_PER_S)
        made_before_ms = self.clock.unix_ms() - keep_ms
        self.answers.prune(made_before_ms)
        for leadership in self.leaderships.values():
            leadership.book.recovery.prune(made_before_ms)

    def _send_beats(self, now: float) -> list[EntryEffect]:
        """Send the heartbeats that are due, or all if leadership changed."""
        limits = self.limits
        close = self.directory.close_peers(self._configured_cells())
        everyone = now >= self.next_distant_beat
        everyone = everyone or self._claims() != self.leading_told
        near = self._beat(limits.beat_interval_s)
        distant = self._beat(limits.distant_beat_interval_s)
        self.next_beat = now + limits.beat_interval_s
        if everyone:
            self.next_distant_beat = now + limits.distant_beat_interval_s
        self.leading_told = near.leading
        return [
            SendToPeer(entry_id, near if entry_id in close else distant)
            for entry_id in self.directory.peers
            if everyone or entry_id in close
        ]

    def _configured_cells(self) -> list[Cell]:
        return [
            Cell(service.name, index)
            for service in self.configuration.services
            for index in range(service.cells)
        ]

    def _tell_addresses(self, now: float) -> list[EntryEffect]:
        addresses = self.directory.addresses(now)
        if addresses == self.addresses_told:
            return []
        self.addresses_told = addresses
        message = EntryList(entries=addresses)
        return [SendEntryList(agent_id, message) for agent_id in self.agents]

    def _give_up(self, now: float) -> list[EntryEffect]:
        """Answer requests that found no leader for too long."""
        effects: list[EntryEffect] = []
        limit_s = self.limits.leaderless_limit_s
        for pending in list(self.pending.values()):
            if pending.routed_to is not None:
                continue
            if now < pending.leaderless_since + limit_s:
                continue
            del self.pending[pending.request_id]
            problem = unavailable(
                f"no leader for service {pending.service!r} was found in "
                f"{limit_s} s",
                verdict=Verdict.MAY_HAVE_RUN,
                retry_after_s=self.limits.leaderless_retry_s,
            )
            effects.append(
                ReplyToCaller(pending.request_id, problem_reply(problem))
            )
        return effects

    # Leadership.

    def _steer(self) -> list[EntryEffect]:
        """Take over cells that need it and route what waits for a leader."""
        now = self.clock.monotonic()
        effects: list[EntryEffect] = []
        for cell in self.cell_index.occupied(self.configuration):
            if self._should_take_over(cell, now):
                effects += self._take_over(cell)
        for pending in list(self.pending.values()):
            routed = pending.routed_to
            if routed is not None and routed != self.address.entry_id:
                if routed not in self.directory.peers:
                    self._lose_leader(pending)
                elif self._leader_of(pending.cell) not in (routed, None):
                    self._returned(pending)
            if pending.routed_to is None:
                effects += self._route(pending)
        if self._claims() != self.leading_told:
            effects += self._send_beats(now)
        return effects

    def _should_take_over(self, cell: Cell, now: float) -> bool:
        if cell in self.leaderships or self.directory.leaving:
            return False
        if not self.has_settled:
            return False
        if now < self.not_before.get(cell, float("-inf")):
            return False
        if self.directory.claimant(cell, now) is not None:
            return False
        preferred = self.directory.preferred(cell, now)
        return preferred == self.address.entry_id

    def _take_over(self, cell: Cell) -> list[EntryEffect]:
        highest = self.highest_terms.get(cell, NO_TERM)
        term = Term(highest.counter + 1, self.incarnation)
        self._saw_term(cell, term)
        leadership = Leadership(
            service=cell.service,
            cell=cell.index,
            term=term,
            roster=self.rosters.get(cell, Roster()),
            configuration=self.configuration,
            limits=self.leader_limits,
            clock=self.clock,
            answers=self.answers,
        )
        self.leaderships[cell] = leadership
        effects: list[EntryEffect] = []
        for hello in list(self.agents.values()):
            if self.cell_index.cells[hello.agent_id] == cell:
                effects += self._carry_out(
                    cell, leadership.agent_connected(hello)
                )
        return effects

    def _carry_out(
        self, cell: Cell, effects: Iterable[LeaderEffect]
    ) -> list[EntryEffect]:
        """Translate a leadership's effects into the entry's own."""
        translated: list[EntryEffect] = []
        for effect in effects:
            if isinstance(effect, SendToAgent):
                translated.append(effect)
            elif isinstance(effect, SendReply):
                translated += self._deliver(effect.token, effect.reply)
            elif isinstance(effect, StepDown):
                self._stepped_down(cell, effect)
            else:
                translated.append(WriteCellRoster(cell, effect.roster))
        return translated

    def _stepped_down(self, cell: Cell, effect: StepDown) -> None:
        leadership = self.leaderships.pop(cell)
        roster = leadership.quorum.roster
        if roster.version > self.rosters.get(cell, Roster()).version:
            self.rosters[cell] = roster
        self._saw_term(cell, effect.seen)
        pause_s = self.limits.takeover_backoff_s
        self.not_before[cell] = self.clock.monotonic() + pause_s

    # Planned stop.

    def leave(self) -> list[EntryEffect]:
        """Resign from every cell; requests are forwarded from now on."""
        self.directory.leaving = True
        effects: list[EntryEffect] = []
        for cell, leadership in list(self.leaderships.items()):
            if leadership.phase is not Phase.ENDED:
                effects += self._carry_out(
                    cell, leadership.resign("planned stop")
                )
        self.next_distant_beat = float("-inf")
        return effects + self._send_beats(self.clock.monotonic())
