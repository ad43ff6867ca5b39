"""Simulated processes of entries and agents, their clocks and connections.

The real `Entry` and `Agent`, which do no I/O, run here. The code around them
is replaced: a host passes frames from its connections to them and applies
their effects to its world.
"""

from collections import deque
import functools

import msgspec

from egretcart.connection.agent_messages import AgentHello
from egretcart.connection.entry_address import EntryAddress
from egretcart.connection.entry_messages import AgentConfig
from egretcart.connection.entry_messages import EntryHello
from egretcart.connection.entry_messages import EntryList
from egretcart.connection.leader_messages import Fence
from egretcart.connection.leader_messages import Start
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
ATTEMPT_TIMEOUT_S = 3.0
CONFIGURATION = Configuration(
    version=1,
    services=(
        Service(
            name=SERVICE,
            default_deadline_ms=DEADLINE_S * 1000,
            kinds=(
                Kind(name="check", attempt_limit_ms=ATTEMPT_TIMEOUT_S * 1000),
            ),
            retry=RetryPolicy(max_attempts=5, budget_share=1.0),
        ),
    ),
)
MAX_CLOCK_SKEW_S = 1.0
LEADER_LIMITS = LeaderLimits(
    window_s=WINDOW_S, clock_skew_s=MAX_CLOCK_SKEW_S,
    max_deadline_s=DEADLINE_S, attempt_limit_s=ATTEMPT_TIMEOUT_S,
    member_removal_s=4.0,
)  # fmt: skip
AGENT_LIMITS = AgentLimits(
    window_s=WINDOW_S, max_deadline_s=DEADLINE_S, clock_skew_s=MAX_CLOCK_SKEW_S
)
# The last item that each end of a broken connection receives.
END_OF_FRAMES = object()
# Turns a fence into one of the previous release, which neither sends nor reads
# `by_query`, so that the reply holds the whole ledger.
WITHOUT_QUERY = functools.partial(msgspec.structs.replace, by_query=False)


class MachineClock:
    """A host's clock, which deviates from the true clock.

    The monotonic time has an offset in seconds and a rate; the wall clock is
    ahead by `skew_s`.
    """

    def __init__(self, *, true_clock, offset_s, rate, skew_s):
        self.true_clock, self.offset_s = true_clock, offset_s
        self.rate, self.skew_s = rate, skew_s

    def monotonic(self):
        return self.offset_s + self.true_clock.monotonic() * self.rate

    def unix_ms(self):
        return self.true_clock.unix_ms() + int(self.skew_s * 1000)


class Connection:
    """Two ends, each with a FIFO queue of the frames that are sent to it.

    Once the connection is `broken`, nothing more is sent; each end still
    receives the frames in its queue, then `END_OF_FRAMES`. An end in
    `stalled` receives nothing for the time being.
    """

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
        """Break the connection; `kept` frames to each end still arrive."""
        if self.broken:
            return
        self.broken = True
        for queue in self.frames.values():
            while len(queue) > kept:
                queue.pop()
            queue.append(END_OF_FRAMES)

    def close(self, end):
        self.open[end] = False
        self.frames[end].clear()
        self.break_off(kept=1000)


class Host:
    """A simulated process, which is dead, frozen or running."""

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
        if frame is END_OF_FRAMES:
            connection.open[self] = False
            peer = connection.other(self).name
            if self.links.get(peer) is connection:
                del self.links[peer]
                self.lost(peer)
        else:
            self.handle(connection, connection.other(self).name, frame)

    def register(self, connection, peer):
        """Use a connection; return whether it replaced another one."""
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
                    message = WITHOUT_QUERY(message)
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
                frame = WITHOUT_QUERY(frame)
            effects = self.core.receive(peer, frame)
            if isinstance(frame, Start) and not frame.idempotent:
                self.check_not_sent_again(effects)
            self.apply_effects(effects)

    @staticmethod
    def check_not_sent_again(effects):
        """Check that the agent's ledger did not have to refuse a second start.

        The ledger is a second safeguard: the leader itself must not send a
        non-idempotent task again.
        """
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
