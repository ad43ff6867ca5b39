"""Decision logic of an entry: composes what it does for whom.

Free of I/O. The shell passes in requests, messages and timer ticks and
carries out the effects that the methods return.
"""

from collections.abc import Iterable

from egretcart.connection.messages import AgentConfig
from egretcart.connection.messages import AgentHello
from egretcart.connection.messages import AgentMessage
from egretcart.connection.messages import ConfigDocument
from egretcart.connection.messages import ConfigRequest
from egretcart.connection.messages import EntryAddress
from egretcart.connection.messages import EntryBeat
from egretcart.connection.messages import EntryList
from egretcart.connection.messages import FenceReply
from egretcart.connection.messages import Forward
from egretcart.connection.messages import ForwardReply
from egretcart.connection.messages import HeartbeatReply
from egretcart.connection.messages import Roster
from egretcart.process.cell.cell_claims import CellClaims
from egretcart.process.cell.cell_claims import LedRequest
from egretcart.process.cell.cell_index import CellIndex
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
from egretcart.process.entry.beats import Beats
from egretcart.process.entry.caller_requests import CallerRequests
from egretcart.process.entry.directory import Cell
from egretcart.process.entry.directory import Directory
from egretcart.process.entry.entry_effects import EntryEffect
from egretcart.process.entry.entry_effects import SendAgentConfig
from egretcart.process.entry.entry_effects import SendEntryList
from egretcart.process.entry.entry_effects import SendToPeer
from egretcart.process.entry.entry_effects import WriteCellRoster
from egretcart.process.entry.entry_limits import EntryLimits
from egretcart.request.identity import JobId
from egretcart.version.document import Configuration

MS_PER_S = 1000


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

    Attributes
    ----------
    agents : dict of str to AgentHello
        Connected agents.
    agent_heartbeats : dict of str to HeartbeatReply
        The newest of each connected agent.
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
        self.claims = CellClaims(
            incarnation=incarnation,
            directory=self.directory,
            limits=limits,
            leader_limits=leader_limits,
            clock=clock,
            answers=self.answers,
        )
        self.leaderships = self.claims.leaderships
        self.rosters = self.claims.rosters
        self.learn_roster = self.claims.learn_roster
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
        self.sync.offer(configuration)
        self.config_exchange = ConfigExchange(
            sync=self.sync,
            directory=self.directory,
            claims=self.claims,
            clock=clock,
        )
        self.beats = Beats(directory=self.directory, limits=limits)
        self.beats.config_version = configuration.version
        self.agents: dict[str, AgentHello] = {}
        self.cell_index = CellIndex()
        self.agent_heartbeats: dict[str, HeartbeatReply] = {}
        self.next_prune = float("-inf")
        self.addresses_told: tuple[EntryAddress, ...] = ()

    @property
    def has_settled(self) -> bool:
        """Whether this entry may take cells over, so soon after its start."""
        return self.claims.has_settled

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
        self.beats.config_version = configuration.version
        self.cell_index.regroup(self.agents.values(), configuration)
        effects: list[EntryEffect] = [
            self._agent_config(agent_id) for agent_id in self.agents
        ]
        for cell, leadership in list(self.leaderships.items()):
            effects += self._carry_out(
                cell, leadership.configure(configuration)
            )
        effects += self._send_beats()
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
        effects = self.config_exchange.ask()
        document = self.sync.in_force()
        if document is not None:
            effects += self.configure(document)
        return effects

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
        return self.requests.open(
            action, service, job_id, body, self.configuration
        )

    def caller_gone(self, request_id: int) -> None:
        """Forget a request whose caller has closed the connection."""
        self.requests.forget(request_id)

    def leader_of(self, cell: Cell) -> str | None:
        """Return the entry that leads or is taking over a cell."""
        return self.claims.leader_of(cell)

    def lead(self, request: LedRequest) -> list[EntryEffect]:
        """Take a request as the leader of its cell."""
        effects = self.claims.lead(request, self.configuration)
        return self._carry_out(request.cell, effects)

    # Other entries.

    def peer_connected(
        self, address: EntryAddress, incarnation: int
    ) -> list[EntryEffect]:
        """Handle another entry's introduction."""
        now = self.clock.monotonic()
        self.directory.heard_hello(address, incarnation, now)
        entries = EntryList(entries=self.directory.addresses(now))
        greeting = self.beats.greeting(self.claims.claimed())
        return [
            SendToPeer(address.entry_id, greeting),
            SendToPeer(address.entry_id, entries),
        ]

    def peer_lost(self, entry_id: str) -> list[EntryEffect]:
        """Handle the loss of a connection to another entry."""
        self.directory.lost(entry_id)
        self.requests.peer_lost(entry_id)
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
            return self.config_exchange.requested(entry_id, message)
        if isinstance(message, ConfigDocument):
            self.config_exchange.received(message)
            return self._follow_versions()
        if isinstance(message, EntryBeat):
            return self._beat_received(entry_id, message)
        if isinstance(message, Forward):
            return self.requests.forwarded(
                entry_id, message, self.configuration
            )
        return self.requests.forward_replied(entry_id, message)

    def _beat_received(
        self, entry_id: str, beat: EntryBeat
    ) -> list[EntryEffect]:
        now = self.clock.monotonic()
        self.directory.heard_beat(entry_id, beat=beat, now=now)
        for claim in beat.leading:
            cell = Cell(claim.service_name, claim.cell)
            self.claims.saw_term(cell, claim.term)
        self.sync.heard(beat.config_version)
        return self._follow_versions() + self._steer()

    def _send_beats(self) -> list[EntryEffect]:
        return self.beats.send(
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
            self.claims.saw_term(cell, message.term)
        if isinstance(message, HeartbeatReply):
            self.agent_heartbeats[agent_id] = message
            self.sync.heard(message.config_version)
        leadership = self.leaderships.get(cell)
        if leadership is None:
            return []
        return self._carry_out(cell, leadership.receive(agent_id, message))

    def _tell_addresses(self) -> list[EntryEffect]:
        addresses = self.directory.addresses(self.clock.monotonic())
        if addresses == self.addresses_told:
            return []
        self.addresses_told = addresses
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
        effects += self.requests.give_up()
        effects += self._tell_addresses()
        if self.beats.is_due(now):
            effects += self._send_beats()
        if now >= self.next_prune:
            self._prune(now)
        return effects

    def _prune(self, now: float) -> None:
        """Forget jobs that are too old to be asked for."""
        self.next_prune = now + PRUNE_INTERVAL_S
        keep_ms = int(self.leader_limits.memory_s * MS_PER_S)
        made_before_ms = self.clock.unix_ms() - keep_ms
        self.answers.prune(made_before_ms)
        self.claims.prune(made_before_ms)

    # Leadership.

    def _steer(self) -> list[EntryEffect]:
        """Take over cells that need it and route what waits for a leader."""
        effects: list[EntryEffect] = []
        for cell in self.cell_index.occupied(self.configuration):
            if self.claims.should_take_over(cell):
                effects += self._take_over(cell)
        effects += self.requests.route_waiting(self.directory.peers)
        if self.beats.has_news(self.claims.claimed()):
            effects += self._send_beats()
        return effects

    def _take_over(self, cell: Cell) -> list[EntryEffect]:
        leadership = self.claims.take_over(cell, self.configuration)
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
                translated += self.requests.deliver(effect.token, effect.reply)
            elif isinstance(effect, StepDown):
                self.claims.stepped_down(cell, effect)
            else:
                translated.append(WriteCellRoster(cell, effect.roster))
        return translated

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
        self.beats.tell_all()
        return effects + self._send_beats()
