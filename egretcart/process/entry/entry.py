"""Decision logic of an entry, the process that accepts jobs from callers.

An entry answers callers and exchanges messages with other entries and with
agents. It also leads cells: groups of a service's agents, each of which has
one entry as its leader. A request for a job is forwarded to the leader of the
job's cell, which places the tasks on agents.

`Entry` does no I/O: `EntryProcess` passes in requests, messages and timer
ticks and applies the effects that the methods return.
"""

from collections.abc import Iterable

from egretcart.connection.agent_messages import AgentHello
from egretcart.connection.agent_messages import AgentMessage
from egretcart.connection.agent_messages import FenceReply
from egretcart.connection.agent_messages import HeartbeatReply
from egretcart.connection.cell_types import Roster
from egretcart.connection.entry_address import EntryAddress
from egretcart.connection.entry_messages import AgentConfig
from egretcart.connection.entry_messages import ConfigDocument
from egretcart.connection.entry_messages import ConfigRequest
from egretcart.connection.entry_messages import EntryBeat
from egretcart.connection.entry_messages import EntryList
from egretcart.connection.entry_messages import Forward
from egretcart.connection.entry_messages import ForwardReply
from egretcart.process.cell.cell_index import CellIndex
from egretcart.process.cell.cell_leaderships import CellLeaderships
from egretcart.process.cell.cell_leaderships import LeaderRequest
from egretcart.process.cell.effects import LeaderEffect
from egretcart.process.cell.effects import SendReply
from egretcart.process.cell.effects import SendToAgent
from egretcart.process.cell.effects import StepDown
from egretcart.process.cell.leadership import Phase
from egretcart.process.cell.limits import LeaderLimits
from egretcart.process.cell.limits import PRUNE_INTERVAL_S
from egretcart.process.clock import Clock
from egretcart.process.configuration.config_exchange import ConfigExchange
from egretcart.process.configuration.config_sync import ConfigSync
from egretcart.process.configuration.config_sync import SyncLimits
from egretcart.process.entry.answers import AnswerCache
from egretcart.process.entry.caller_requests import CallerRequests
from egretcart.process.entry.directory import Cell
from egretcart.process.entry.directory import Directory
from egretcart.process.entry.entry_effects import EntryEffect
from egretcart.process.entry.entry_effects import SendAgentConfig
from egretcart.process.entry.entry_effects import SendEntryList
from egretcart.process.entry.entry_effects import SendToPeer
from egretcart.process.entry.entry_effects import WriteCellRoster
from egretcart.process.entry.entry_limits import EntryLimits
from egretcart.process.entry.heartbeat_sender import HeartbeatSender
from egretcart.request.identity import JobId
from egretcart.version.document import Configuration

MS_PER_S = 1000


class Entry:
    """Connects the parts of an entry's decision logic.

    Parameters
    ----------
    address : EntryAddress
        Sent to other entries and to agents.
    incarnation : int
        Number of this start of the entry, which becomes a part of its
        terms.
    configuration : Configuration
        Active configuration at the start; of version 0 if none is known yet.
    limits : EntryLimits
    leader_limits : LeaderLimits
    clock : Clock
    has_platform : bool, optional
        Whether the process reads from the platform's store.

    Attributes
    ----------
    directory : Directory
        The other entries that are connected.
    answers : AnswerCache
        Final answers of jobs, kept for resubmissions.
    claims : CellLeaderships
        Takes cells over and owns the leaderships of this entry.
    leaderships : dict of Cell to Leadership
        Cells that this entry leads or is taking over; shared with `claims`.
    rosters : dict of Cell to Roster
        Newest rosters known; shared with `claims`.
    requests : CallerRequests
        Routes callers' requests to the leaders of cells.
    pending : dict of int to PendingRequest
        Requests without a reply, by request number; shared with `requests`.
    sync : ConfigSync
        Configuration versions that this entry knows of.
    config_exchange : ConfigExchange
        Requests configuration documents from other entries.
    heartbeat_sender : HeartbeatSender
        Schedules the heartbeats to other entries.
    agents : dict of str to AgentHello
        Connected agents by agent id.
    agent_heartbeats : dict of str to HeartbeatReply
        Newest heartbeat reply of each connected agent, by agent id.
    cell_index : CellIndex
        The cell of each connected agent.
    next_prune_at : float
        Monotonic time of the next removal of old jobs, in seconds.
    reported_addresses : tuple of EntryAddress
        The live entries as last sent to all agents.
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
        self.leader_limits = leader_limits
        self.clock = clock
        self.started_at = clock.monotonic()
        self.directory = Directory(
            own=address, peer_timeout_s=limits.peer_timeout_s
        )
        self.answers = AnswerCache(max_bytes=limits.max_answer_bytes)
        self.claims = CellLeaderships(
            incarnation=incarnation,
            directory=self.directory,
            limits=limits,
            leader_limits=leader_limits,
            clock=clock,
            answers=self.answers,
        )
        self.leaderships = self.claims.leaderships
        self.rosters = self.claims.rosters
        self.record_roster = self.claims.record_roster
        self.requests = CallerRequests(
            entry_id=address.entry_id,
            incarnation=incarnation,
            limits=limits,
            clock=clock,
            leaders=self,
        )
        self.pending = self.requests.pending
        self.sync = ConfigSync(
            limits=SyncLimits(), clock=clock, has_platform=has_platform
        )
        self.sync.record_document(configuration)
        self.config_exchange = ConfigExchange(
            sync=self.sync,
            directory=self.directory,
            claims=self.claims,
            clock=clock,
        )
        self.heartbeat_sender = HeartbeatSender(
            directory=self.directory, limits=limits
        )
        self.heartbeat_sender.config_version = configuration.version
        self.agents: dict[str, AgentHello] = {}
        self.cell_index = CellIndex()
        self.agent_heartbeats: dict[str, HeartbeatReply] = {}
        self.next_prune_at = float("-inf")
        self.reported_addresses: tuple[EntryAddress, ...] = ()

    @property
    def has_settled(self) -> bool:
        """Whether the wait after the start is over and takeovers may begin."""
        return self.claims.has_settled

    # Configuration.

    def configure(self, configuration: Configuration) -> list[EntryEffect]:
        """Activate a configuration if it is newer than the active one.

        Parameters
        ----------
        configuration : Configuration

        Returns
        -------
        list of EntryEffect
        """
        if configuration.version <= self.configuration.version:
            return []
        self.sync.record_document(configuration)
        self.configuration = configuration
        self.heartbeat_sender.config_version = configuration.version
        self.cell_index.rebuild(self.agents.values(), configuration)
        effects: list[EntryEffect] = [
            self._agent_config(agent_id) for agent_id in self.agents
        ]
        for cell, leadership in list(self.leaderships.items()):
            effects += self._translate_effects(
                cell, leadership.configure(configuration)
            )
        effects += self._send_heartbeats()
        return effects + self._update_leaderships()

    def platform_configuration(
        self, document: Configuration | None
    ) -> list[EntryEffect]:
        """Handle the stored document; None if the store contains none."""
        self.sync.platform_read(document)
        return self._update_configuration()

    def platform_failed(self) -> list[EntryEffect]:
        """Handle a read to which the platform's store did not answer."""
        self.sync.platform_failed()
        return self._update_configuration()

    def _update_configuration(self) -> list[EntryEffect]:
        """Request newer versions from peers; activate the newest document."""
        effects = self.config_exchange.request_newer_document()
        document = self.sync.active_document()
        if document is not None:
            effects += self.configure(document)
        return effects

    def _agent_config(self, agent_id: str) -> EntryEffect:
        """Return the effect that sends an agent its configuration."""
        config = AgentConfig(
            version=self.configuration.version,
            drained=agent_id in self.configuration.drained,
        )
        return SendAgentConfig(agent_id, config)

    # Callers.

    def request(
        self, action: str, service: str, job_id: JobId, body: bytes = b""
    ) -> tuple[int, list[EntryEffect]]:
        """Accept a caller's request.

        Parameters
        ----------
        action : str
            One of `ACTIONS` in `egretcart.process.entry.pending`.
        service : str
            Name of the service.
        job_id : JobId
        body : bytes, optional
            The submission; empty for other actions.

        Returns
        -------
        int
            Number of the request; `ReplyToCaller` contains it.
        list of EntryEffect
        """
        return self.requests.open(
            action, service, job_id, body, self.configuration
        )

    def caller_gone(self, request_id: int) -> None:
        """Remove a request whose caller has closed the connection."""
        self.requests.forget(request_id)

    def leader_of(self, cell: Cell) -> str | None:
        """Return the entry that leads or is taking over a cell.

        None if no live entry claims the cell.
        """
        return self.claims.leader_of(cell)

    def lead(self, request: LeaderRequest) -> list[EntryEffect]:
        """Handle a request as the leader of its cell."""
        effects = self.claims.lead(request, self.configuration)
        return self._translate_effects(request.cell, effects)

    # Other entries.

    def peer_connected(
        self, address: EntryAddress, incarnation: int
    ) -> list[EntryEffect]:
        """Handle the hello of another entry."""
        now = self.clock.monotonic()
        self.directory.record_hello(address, incarnation, now)
        entries = EntryList(entries=self.directory.addresses(now))
        initial_heartbeat = self.heartbeat_sender.initial_heartbeat(
            self.claims.claimed()
        )
        return [
            SendToPeer(address.entry_id, initial_heartbeat),
            SendToPeer(address.entry_id, entries),
        ]

    def peer_lost(self, entry_id: str) -> list[EntryEffect]:
        """Handle the loss of a connection to another entry."""
        self.directory.remove_peer(entry_id)
        self.requests.peer_lost(entry_id)
        return self._update_leaderships()

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
            return self.config_exchange.handle_config_request(
                entry_id, message
            )
        if isinstance(message, ConfigDocument):
            self.config_exchange.handle_config_document(message)
            return self._update_configuration()
        if isinstance(message, EntryBeat):
            return self._handle_heartbeat(entry_id, message)
        if isinstance(message, Forward):
            return self.requests.handle_forward(
                entry_id, message, self.configuration
            )
        return self.requests.handle_forward_reply(entry_id, message)

    def _handle_heartbeat(
        self, entry_id: str, beat: EntryBeat
    ) -> list[EntryEffect]:
        now = self.clock.monotonic()
        self.directory.record_heartbeat(entry_id, beat=beat, now=now)
        for claim in beat.leading:
            cell = Cell(claim.service_name, claim.cell)
            self.claims.record_term(cell, claim.term)
        self.sync.record_version(beat.config_version)
        return self._update_configuration() + self._update_leaderships()

    def _send_heartbeats(self) -> list[EntryEffect]:
        return self.heartbeat_sender.send(
            self.clock.monotonic(),
            claimed=self.claims.claimed(),
            cells=self._configured_cells(),
        )

    def _configured_cells(self) -> list[Cell]:
        return [
            Cell(service.name, index)
            for service in self.configuration.services
            for index in range(service.cells)
        ]

    # Agents.

    def agent_connected(self, hello: AgentHello) -> list[EntryEffect]:
        """Handle the hello of an agent."""
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
            effects += self._translate_effects(
                cell, leadership.agent_connected(hello)
            )
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
        """Handle a message from an agent.

        Ignored if the agent is not connected.
        """
        cell = self.cell_index.cells.get(agent_id)
        if cell is None:
            return []
        if isinstance(message, FenceReply | HeartbeatReply):
            self.claims.record_term(cell, message.term)
        if isinstance(message, HeartbeatReply):
            self.agent_heartbeats[agent_id] = message
            self.sync.record_version(message.config_version)
        leadership = self.leaderships.get(cell)
        if leadership is None:
            return []
        return self._translate_effects(
            cell, leadership.receive(agent_id, message)
        )

    def _send_entry_lists(self) -> list[EntryEffect]:
        """Send the live entries to all agents if they have changed."""
        addresses = self.directory.addresses(self.clock.monotonic())
        if addresses == self.reported_addresses:
            return []
        self.reported_addresses = addresses
        message = EntryList(entries=addresses)
        return [SendEntryList(agent_id, message) for agent_id in self.agents]

    # The platform.

    def roster_known(
        self, cell: Cell, roster: Roster | None
    ) -> list[EntryEffect]:
        """Handle the end of a roster write or read.

        Parameters
        ----------
        cell : Cell
        roster : Roster or None
            The roster in the platform's store; None if the store did not
            answer or has no predecessor of the roster to write.

        Returns
        -------
        list of EntryEffect
        """
        if roster is not None:
            self.record_roster(cell, roster)
        leadership = self.leaderships.get(cell)
        if leadership is None:
            return []
        return self._translate_effects(cell, leadership.roster_written(roster))

    # Time.

    def tick(self) -> list[EntryEffect]:
        """Perform the periodic work that is due."""
        now = self.clock.monotonic()
        effects: list[EntryEffect] = []
        for cell, leadership in list(self.leaderships.items()):
            effects += self._translate_effects(cell, leadership.tick())
        effects += self._update_configuration()
        effects += self._update_leaderships()
        effects += self.requests.time_out_leaderless()
        effects += self._send_entry_lists()
        if self.heartbeat_sender.is_due(now):
            effects += self._send_heartbeats()
        if now >= self.next_prune_at:
            self._prune(now)
        return effects

    def _prune(self, now: float) -> None:
        """Remove jobs that are too old to be queried."""
        self.next_prune_at = now + PRUNE_INTERVAL_S
        retention_ms = int(self.leader_limits.memory_s * MS_PER_S)
        made_before_ms = self.clock.unix_ms() - retention_ms
        self.answers.prune(made_before_ms)
        self.claims.prune(made_before_ms)

    # Leadership.

    def _update_leaderships(self) -> list[EntryEffect]:
        """Take over cells that this entry should lead; route requests."""
        effects: list[EntryEffect] = []
        for cell in self.cell_index.cells_with_agents(self.configuration):
            if self.claims.should_take_over(cell):
                effects += self._take_over(cell)
        effects += self.requests.route_waiting(self.directory.peers)
        if self.heartbeat_sender.has_unreported_changes(self.claims.claimed()):
            effects += self._send_heartbeats()
        return effects

    def _take_over(self, cell: Cell) -> list[EntryEffect]:
        leadership = self.claims.take_over(cell, self.configuration)
        effects: list[EntryEffect] = []
        for hello in list(self.agents.values()):
            if self.cell_index.cells[hello.agent_id] == cell:
                effects += self._translate_effects(
                    cell, leadership.agent_connected(hello)
                )
        return effects

    def _translate_effects(
        self, cell: Cell, effects: Iterable[LeaderEffect]
    ) -> list[EntryEffect]:
        """Convert the effects of a leadership to effects of the entry."""
        translated: list[EntryEffect] = []
        for effect in effects:
            if isinstance(effect, SendToAgent):
                translated.append(effect)
            elif isinstance(effect, SendReply):
                translated += self.requests.deliver(effect.token, effect.reply)
            elif isinstance(effect, StepDown):
                self.claims.stepped_down(cell, effect)
            else:
                translated.append(WriteCellRoster(cell, effect.roster))
        return translated

    # Graceful shutdown.

    def leave(self) -> list[EntryEffect]:
        """Resign from every cell for a graceful shutdown.

        Requests are forwarded to other entries from then on.
        """
        self.directory.leaving = True
        effects: list[EntryEffect] = []
        for cell, leadership in list(self.leaderships.items()):
            if leadership.phase is not Phase.ENDED:
                effects += self._translate_effects(
                    cell, leadership.resign("planned stop")
                )
        self.heartbeat_sender.schedule_broadcast()
        return effects + self._send_heartbeats()
