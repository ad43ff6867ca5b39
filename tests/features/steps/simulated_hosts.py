"""Entries and agents without I/O, and the connections between them.

The real `Entry` and `Agent` run here. The shells around them are replaced:
a host takes frames from its connections and carries effects out on its
world.
"""

from collections import deque
import dataclasses
import functools

from egretcart.connection.messages import AgentConfig
from egretcart.connection.messages import AgentHello
from egretcart.connection.messages import EntryAddress
from egretcart.connection.messages import EntryHello
from egretcart.connection.messages import EntryList
from egretcart.connection.messages import Fence
from egretcart.connection.messages import Start
from egretcart.process.agent.agent import Agent
from egretcart.process.agent.agent_types import AbortExchange
from egretcart.process.agent.agent_types import AgentIdentity
from egretcart.process.agent.agent_types import AgentLimits
from egretcart.process.agent.agent_types import BeginExchange
from egretcart.process.agent.agent_types import SendToEntry
from egretcart.process.cell.effects import SendToAgent
from egretcart.process.cell.limits import LeaderLimits
from egretcart.process.entry.directory import Cell
from egretcart.process.entry.entry import Entry
from egretcart.process.entry.entry_effects import ReplyToCaller
from egretcart.process.entry.entry_effects import SendAgentConfig
from egretcart.process.entry.entry_effects import SendEntryList
from egretcart.process.entry.entry_effects import SendToPeer
from egretcart.process.entry.entry_effects import WriteCellRoster
from egretcart.process.entry.entry_limits import EntryLimits
from egretcart.request.verdict import Verdict
from egretcart.version.document import Configuration
from egretcart.version.document import Kind
from egretcart.version.document import RetryPolicy
from egretcart.version.document import Service

SERVICE = "snapcheck"
CELL = Cell(SERVICE, 0)
WINDOW_S = 30.0
DEADLINE_S = 12.0
ATTEMPT_LIMIT_S = 3.0
CONFIGURATION = Configuration(
    version=1,
    services=(
        Service(
            name=SERVICE,
            default_deadline_ms=DEADLINE_S * 1000,
            kinds=(
                Kind(name="check", attempt_limit_ms=ATTEMPT_LIMIT_S * 1000),
            ),
            retry=RetryPolicy(max_attempts=5, budget_share=1.0),
        ),
    ),
)
SKEW_S = 1.0
LEADER_LIMITS = LeaderLimits(
    window_s=WINDOW_S, clock_skew_s=SKEW_S,
    max_deadline_s=DEADLINE_S, attempt_limit_s=ATTEMPT_LIMIT_S,
    member_removal_s=4.0,
)  # fmt: skip
AGENT_LIMITS = AgentLimits(
    window_s=WINDOW_S, max_deadline_s=DEADLINE_S, clock_skew_s=SKEW_S
)
CLOSED = object()
# What the release before asks of an agent, and knows of a fence.
WHOLE_LEDGER = functools.partial(dataclasses.replace, by_query=False)


class MachineClock:
    """A clock with an offset, a drift and a wall-clock skew."""

    def __init__(self, *, true, offset_s, rate, skew_s):
        self.true, self.offset_s = true, offset_s
        self.rate, self.skew_s = rate, skew_s

    def monotonic(self):
        return self.offset_s + self.true.monotonic() * self.rate

    def unix_ms(self):
        return self.true.unix_ms() + int(self.skew_s * 1000)


class Connection:
    """Two FIFO queues; `broken` ends both after what is left in them."""

    def __init__(self, dialler, acceptor):
        self.ends = (dialler, acceptor)
        self.frames = {dialler: deque(), acceptor: deque()}
        self.open = {dialler: True, acceptor: True}
        self.broken = False
        self.stalled = set()

    def other(self, end):
        return self.ends[self.ends[0] is end]

    def send(self, sender, message):
        if not self.broken and self.open[sender]:
            self.frames[self.other(sender)].append(message)

    def break_off(self, kept):
        if self.broken:
            return
        self.broken = True
        for queue in self.frames.values():
            while len(queue) > kept:
                queue.pop()
            queue.append(CLOSED)

    def close(self, end):
        self.open[end] = False
        self.frames[end].clear()
        self.break_off(kept=1000)


class Host:
    """A process that may be dead, frozen or running."""

    def __init__(self, world, name, clock):
        self.world, self.name, self.clock = world, name, clock
        self.incarnation = 0
        self.alive = self.frozen = False
        self.links = {}

    @property
    def running(self):
        return self.alive and not self.frozen

    def kill(self):
        self.alive = self.frozen = False
        self.links = {}
        for connection in self.world.connections_of(self):
            connection.close(self)

    def receive(self, connection, frame):
        if frame is CLOSED:
            connection.open[self] = False
            peer = connection.other(self).name
            if self.links.get(peer) is connection:
                del self.links[peer]
                self.lost(peer)
        else:
            self.handle(connection, connection.other(self).name, frame)

    def register(self, connection, peer):
        former = self.links.get(peer)
        self.links[peer] = connection
        if former is not None and former is not connection:
            former.close(self)
            return True
        return False

    def send(self, peer, message):
        if peer in self.links:
            self.links[peer].send(self, message)


class EntryHost(Host):
    former_release = False

    def start(self):
        self.incarnation += 1
        self.alive = True
        self.address = EntryAddress(entry_id=self.name, port=1)
        self.core = Entry(
            address=self.address,
            incarnation=self.incarnation * 10 + int(self.name[1:]),
            configuration=CONFIGURATION,
            limits=EntryLimits(),
            leader_limits=LEADER_LIMITS,
            clock=self.clock,
        )
        if self.world.platform_mode != "down":
            self.core.rosters[CELL] = self.world.stored_roster

    def hello(self):
        return EntryHello(
            address=self.address, incarnation=self.core.incarnation
        )

    def handle(self, connection, peer, frame):
        if isinstance(frame, AgentHello):
            if self.register(connection, peer):
                self.apply_effects(self.core.agent_disconnected(peer))
            self.apply_effects(self.core.agent_connected(frame))
        elif isinstance(frame, EntryHello):
            if self.register(connection, peer):
                self.apply_effects(self.core.peer_lost(peer))
            self.apply_effects(
                self.core.peer_connected(frame.address, frame.incarnation)
            )
        elif isinstance(frame, EntryList):
            return
        elif self.links.get(peer) is connection:
            agent = peer in self.world.agents
            core = self.core
            receive = core.agent_message if agent else core.peer_message
            self.apply_effects(receive(peer, frame))

    def lost(self, peer):
        agent = peer in self.world.agents
        core = self.core
        self.apply_effects(
            (core.agent_disconnected if agent else core.peer_lost)(peer)
        )

    def tick(self):
        self.apply_effects(self.core.tick())

    def apply_effects(self, effects):
        for effect in effects:
            if isinstance(
                effect, SendToAgent | SendEntryList | SendAgentConfig
            ):
                message = effect.message
                if isinstance(message, Fence) and self.former_release:
                    message = WHOLE_LEDGER(message)
                self.send(effect.agent_id, message)
            elif isinstance(effect, SendToPeer):
                self.send(effect.entry_id, effect.message)
            elif isinstance(effect, ReplyToCaller):
                self.world.replied(self, effect.request_id, effect.reply)
            else:
                assert isinstance(effect, WriteCellRoster)
                self.world.writes.append(
                    (self, self.incarnation, effect.roster)
                )


class AgentHost(Host):
    refusing = False
    former_release = False

    def start(self):
        self.incarnation += 1
        self.alive = True
        self.ended = deque()
        self.core = Agent(
            identity=AgentIdentity(
                agent_id=self.name, incarnation=self.incarnation,
                service=SERVICE, failure_domain="kl-putra", slots=2,
                connections=4,
            ),
            limits=AGENT_LIMITS,
            clock=self.clock,
        )  # fmt: skip

    def hello(self):
        return self.core.hello()

    def handle(self, connection, peer, frame):
        if isinstance(frame, EntryHello):
            self.register(connection, peer)
        elif isinstance(frame, AgentConfig):
            self.apply_effects(self.core.configure(frame))
        elif isinstance(frame, EntryList):
            return
        elif self.links.get(peer) is connection:
            if isinstance(frame, Fence) and self.former_release:
                frame = WHOLE_LEDGER(frame)
            effects = self.core.receive(peer, frame)
            if isinstance(frame, Start) and not frame.idempotent:
                self.check_not_started(effects)
            self.apply_effects(effects)

    @staticmethod
    def check_not_started(effects):
        """Check that the ledger is only the second line of defence."""
        verdicts = {
            effect.message.verdict
            for effect in effects
            if isinstance(effect, SendToEntry)
        }
        assert Verdict.MAY_HAVE_RUN.value not in verdicts, "sent twice"

    def lost(self, peer):
        self.core.disconnected(peer)

    def tick(self):
        while self.ended:
            self.apply_effects(self.core.exchange_ended(*self.ended.popleft()))
        self.apply_effects(self.core.tick())

    def apply_effects(self, effects):
        for effect in effects:
            if isinstance(effect, SendToEntry):
                self.send(effect.entry_id, effect.message)
            elif isinstance(effect, BeginExchange):
                self.world.begin(self, effect)
            else:
                assert isinstance(effect, AbortExchange)
                self.world.abort(self, effect.key)
