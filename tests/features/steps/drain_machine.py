"""State machine of what processes believe of drained failure domains.

Two entries and three agents exchange messages over links that keep their
order. The store is listed and watched at any time, links open and close, and
processes restart without state.
"""

import random

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import invariant
from hypothesis.stateful import rule
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import run_state_machine_as_test

from egretcart.direct.agent.agent import DirectAgent
from egretcart.direct.agent.agent_types import CloseEntryLink
from egretcart.direct.agent.agent_types import DirectAgentLimits
from egretcart.direct.agent.agent_types import SendStartRequest
from egretcart.direct.agent.agent_types import SendToEntry
from egretcart.direct.backend.backend import BackendIncarnation
from egretcart.direct.backend.backend import BackendReport
from egretcart.direct.backend.backend import Listing
from egretcart.direct.connection.messages import AgentHello
from egretcart.direct.connection.messages import Beat
from egretcart.direct.connection.messages import PeerAddress
from egretcart.direct.entry.entry import DirectEntry
from egretcart.direct.entry.entry_types import CloseAgent
from egretcart.direct.entry.entry_types import ClosePeer
from egretcart.direct.entry.entry_types import DirectEntryLimits
from egretcart.direct.entry.entry_types import SendToAgent
from egretcart.direct.entry.entry_types import SendToPeer
from egretcart.direct.log.decisions import NullDecisionLog
from egretcart.direct.request.job import Job
from egretcart.direct.request.job import Room
from egretcart.direct.request.job import Step
from egretcart.direct.version.configuration import Route
from egretcart.direct.version.drained_domains import drained_at

ENTRIES = ("entry-1", "entry-2")
DOMAIN_OF = {"agent-1": "a", "agent-2": "b", "agent-3": "b"}
PAIRS = (
    ("entry-1", "entry-2"),
    *((agent, entry) for agent in DOMAIN_OF for entry in ENTRIES),
)
BACKEND = BackendIncarnation("server", 1)
ROUTE = Route(name="r", host="h", prefix="/", service="s")
TIME_STEP_S = 0.001
# After this time without news, agents tell entries that may have missed them.
SETTLING_S = 0.3
FIRST_REVISION = 10
MAX_DELIVERIES = 2000
# Neither heartbeats nor backend servers matter here.
NEVER_S = 1e9
AGENT_LIMITS = DirectAgentLimits(
    max_missed_heartbeats=NEVER_S,
    pause_threshold_s=NEVER_S,
    backend_timeout_s=NEVER_S,
)
ENTRY_LIMITS = DirectEntryLimits(
    max_missed_heartbeats=NEVER_S,
    peer_heartbeat_timeout_s=NEVER_S,
    pause_threshold_s=NEVER_S,
)


class DrainMachine(RuleBasedStateMachine):
    """Checks what each process believes, and each start."""

    settled_count = 0

    def __init__(self):
        super().__init__()
        self.now = 1.0
        self.number = 0
        self.states = {FIRST_REVISION: drained_at(FIRST_REVISION, ())}
        self.revision = FIRST_REVISION
        self.changes = []
        self.processes, self.seen, self.followed = {}, {}, {}
        self.queues = {}
        self.settled = set()
        for name in (*ENTRIES, *DOMAIN_OF):
            self.start(name)
        for pair in PAIRS:
            self.connect(pair)

    # Processes.

    def start(self, name):
        self.number += 1
        self.seen[name] = 0
        self.followed[name] = None
        if name in ENTRIES:
            self.processes[name] = DirectEntry(
                entry_id=name,
                limits=ENTRY_LIMITS,
                log=NullDecisionLog(),
                source=random.Random(self.number),
            )
            self.apply(name, self.processes[name].tick(self.now))
            return
        agent = self.processes[name] = DirectAgent(
            agent_id=name,
            incarnation=self.number,
            limits=AGENT_LIMITS,
            log=NullDecisionLog(),
            failure_domain=DOMAIN_OF[name],
        )
        report = BackendReport(
            lifetime=BACKEND,
            service="s",
            capacity=Room(4, 4, 0),
            clock_ms=5000,
        )
        agent.tick(self.now)
        agent.receive_report(report, self.now)
        self.poll_backend(name)

    def poll_backend(self, name):
        """Let the backend server of an agent list its runs: none."""
        listing = Listing(
            clock_ms=4000 + round(1000 * self.now), born_ms=BACKEND.born_ms
        )
        effects = self.processes[name].receive_listing(
            listing, BACKEND, self.now, self.now
        )
        self.apply(name, effects)

    def apply(self, name, effects):
        for effect in effects:
            if isinstance(effect, SendStartRequest):
                self.check_start(name)
            elif isinstance(effect, SendToEntry | SendToPeer):
                self.send(name, effect.entry_id, effect.message)
            elif isinstance(effect, SendToAgent):
                self.send(name, effect.agent_id, effect.message)
            elif isinstance(effect, CloseEntryLink | ClosePeer):
                self.cut(self.pair_of(name, effect.entry_id))
            elif isinstance(effect, CloseAgent):
                self.cut(self.pair_of(name, effect.agent_id))

    def check_start(self, name):
        domain = DOMAIN_OF[name]
        assert not self.processes[name].drain.is_drained, f"{name} knows"
        if name in self.settled:
            drained = self.states[self.revision].domains
            assert domain not in drained, f"{name} starts in {drained}"

    # Links.

    def pair_of(self, one, other):
        return (one, other) if (one, other) in PAIRS else (other, one)

    def send(self, sender, receiver, message):
        if (sender, receiver) in self.queues:
            self.queues[sender, receiver].append(message)

    def connect(self, pair):
        if pair in self.queues:
            return
        one, other = pair
        self.queues[one, other], self.queues[other, one] = [], []
        if one in ENTRIES:
            for name, peer in (pair, (other, one)):
                entry = self.processes[name]
                self.apply(name, entry.peer_connected(peer, self.now))
        else:
            effects = self.processes[one].entry_connected(
                other, self.number, self.now, PeerAddress(host=other)
            )
            self.apply(one, effects)

    def cut(self, pair):
        one, other = pair
        if self.queues.pop((one, other), None) is None:
            return
        del self.queues[other, one]
        if one in ENTRIES:
            self.processes[one].peer_disconnected(other)
            self.processes[other].peer_disconnected(one)
        else:
            self.processes[one].entry_disconnected(other)
            entry = self.processes[other]
            self.apply(other, entry.agent_disconnected(one, self.now))

    def deliver(self, sender, receiver):
        message = self.queues[sender, receiver].pop(0)
        process = self.processes[receiver]
        if receiver not in ENTRIES:
            effects = process.receive(sender, message, self.now)
        elif sender not in ENTRIES and isinstance(message, AgentHello):
            effects = process.agent_connected(message, self.now)
        elif sender not in ENTRIES:
            effects = process.receive(sender, message, self.now)
            effects += process.dispatch_waiting(self.now)
        elif isinstance(message, Beat):
            process.peer_heartbeat_received(sender, self.now)
            effects = []
        else:
            effects = process.receive_from_peer(sender, message, self.now)
        self.apply(receiver, effects)

    # Rules.

    @rule(domain=st.sampled_from("abc"), drained=st.booleans())
    def write(self, domain, drained):
        former = self.states[self.revision]
        self.revision += 1
        self.states[self.revision] = former.with_change(
            domain, self.revision, drained=drained
        )
        self.changes.append((self.revision, domain, drained))
        self.settled = set()

    @rule(name=st.sampled_from(ENTRIES))
    def list_store(self, name):
        self.followed[name] = self.states[self.revision]
        self.learn(name)

    @rule(name=st.sampled_from(ENTRIES), count=st.integers(1, 3))
    def watch(self, name, count):
        state = self.followed[name]
        if state is None:
            return
        missed = [row for row in self.changes if row[0] > state.revision]
        for revision, domain, drained in missed[:count]:
            state = state.with_change(domain, revision, drained=drained)
        self.followed[name] = state
        self.learn(name)

    def learn(self, name):
        entry = self.processes[name]
        state = self.followed[name]
        self.apply(name, entry.learn_drained_domains(state, self.now))

    @rule(pair=st.sampled_from(PAIRS), opens=st.booleans())
    def change_link(self, pair, opens):
        (self.connect if opens else self.cut)(pair)

    @rule(pair=st.sampled_from(PAIRS), back=st.booleans())
    def pass_message(self, pair, back):
        direction = pair[::-1] if back else pair
        if self.queues.get(direction):
            self.deliver(*direction)

    @rule(name=st.sampled_from((*ENTRIES, *DOMAIN_OF)))
    def restart(self, name):
        for pair in PAIRS:
            if name in pair:
                self.cut(pair)
        self.settled.discard(name)
        self.start(name)

    @rule(name=st.sampled_from(ENTRIES))
    def submit(self, name):
        self.number += 1
        step = Step(count=3, room=Room(1, 1, 0), estimate_ms=100.0)
        job = Job(job_id=f"{self.number:016x}", payload="", steps=(step,))
        entry = self.processes[name]
        self.apply(name, entry.submit(self.number, job, ROUTE, self.now))

    @rule(name=st.sampled_from(ENTRIES))
    def settle(self, name):
        """List the store at one entry, and deliver all messages."""
        self.list_store(name)
        self.deliver_all()
        DrainMachine.settled_count += 1
        self.settled = self.reachable_from(name)
        expected = self.states[self.revision].domains
        for process in self.settled:
            assert self.known_by(process).state.domains == expected, process

    def reachable_from(self, name):
        """Return the processes with a path of links to one of them."""
        found, added = set(), {name}
        while added:
            found |= added
            added = {
                receiver for sender, receiver in self.queues if sender in found
            } - found
        return found

    def known_by(self, name):
        process = self.processes[name]
        part = process.drains if name in ENTRIES else process.drain
        return part.known

    def deliver_all(self):
        """Deliver all messages, also those that follow a while later."""
        for _ in range(3):
            self.now += SETTLING_S
            for name in DOMAIN_OF:
                self.poll_backend(name)
                self.apply(name, self.processes[name].tick(self.now))
            self.deliver_waiting()

    def deliver_waiting(self):
        for _ in range(MAX_DELIVERIES):
            waiting = [pair for pair, queue in self.queues.items() if queue]
            if not waiting:
                return
            self.deliver(*waiting[0])
        raise AssertionError("the processes send without end")

    @invariant()
    def check_beliefs(self):
        self.now += TIME_STEP_S
        for name in self.processes:
            state = self.known_by(name).state
            assert state.revision >= self.seen[name], f"{name} went back"
            self.seen[name] = state.revision
            if state.revision:
                assert state == self.states[state.revision], name


def check_drain_machine():
    """Run the machine; raise the first failure."""
    DrainMachine.settled_count = 0
    run_state_machine_as_test(
        DrainMachine,
        settings=settings(max_examples=150, stateful_step_count=40),
    )
