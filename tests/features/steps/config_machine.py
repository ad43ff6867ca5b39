"""State machine that checks configuration changes against a model.

Operators change the configuration in a store, entries and agents spread
it, and any of them may fail. The model is the list of accepted versions.

With the default Hypothesis profile, the source of `ConfigMachine` seeds the
generated cases. Comments do not count, but renaming anything in the class or
rewording its doc strings changes the cases.
"""

from collections import deque
import itertools

from hypothesis import strategies
from hypothesis.stateful import initialize
from hypothesis.stateful import invariant
from hypothesis.stateful import precondition
from hypothesis.stateful import rule
from hypothesis.stateful import RuleBasedStateMachine

from egretcart.connection.entry_address import EntryAddress
from egretcart.connection.entry_messages import AgentConfig
from egretcart.process.agent.agent import Agent
from egretcart.process.agent.agent_types import AgentIdentity
from egretcart.process.agent.agent_types import AgentLimits
from egretcart.process.cell.limits import LeaderLimits
from egretcart.process.entry.entry import Entry
from egretcart.process.entry.entry_effects import SendAgentConfig
from egretcart.process.entry.entry_effects import SendToPeer
from egretcart.process.entry.entry_limits import EntryLimits
from egretcart.testing.clock import ManualClock
from egretcart.version.change import Accepted
from egretcart.version.change import ChangeAttempt
from egretcart.version.change import ChangeOutcome
from egretcart.version.change import CurrentVersion
from egretcart.version.change import Forgotten
from egretcart.version.change import ProposedChange
from egretcart.version.change import ReadCurrent
from egretcart.version.change import ReadEntry
from egretcart.version.change import Undecided
from egretcart.version.document import Configuration
from egretcart.version.document import Service

ENTRIES = ("e0", "e1", "e2")
AGENTS = ("a0", "a1")
LINKS = [(a, b) for a in ENTRIES for b in ENTRIES if a != b]
AGENT_LINKS = [(e, a) for e in ENTRIES for a in AGENTS]
# Small, so that audit entries are pruned while the outcomes of changes are
# still being found out.
KEPT_ENTRIES = 3
FAULTS = strategies.sampled_from(
    ["none", "none", "none", "reply lost", "not run", "delayed"]
)


class ConfigMachine(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.clock = ManualClock()
        self.numbers = itertools.count(1)
        # The model: accepted documents, indexed by version.
        self.accepted = [Configuration()]
        # Audit entries that are not pruned, by version.
        self.history = {}
        # Change ids of all accepted versions, also of pruned ones.
        self.accepted_ids = {}
        self.revision = 0
        # Delayed writes that have not reached the store.
        self.in_flight = []
        # Attempt and next step of each open change, by change id.
        self.operators = {}
        # Ids of changes whose outcome was that they are not accepted.
        self.settled_as_not_accepted = set()
        # Changes with an unknown outcome, which an operator may resume.
        self.undecided = []
        self.entries = {}
        self.agents = {}
        # Messages on their way, by sender and receiver.
        self.queues = {}
        # Version up to which each entry's watch has reported; 0 if the entry
        # has to read the store first.
        self.cursors = {}
        # Highest version named in messages to each entry since its start.
        self.heard = {}
        # Active version of each process when it was last checked.
        self.served = {}

    # The store.

    def write(self, step):
        entry = step.entry
        if step.revision != self.revision or entry.version in self.history:
            return False
        assert entry.version == len(self.accepted), "a gap or a step back"
        self.revision += 1
        self.accepted.append(step.document)
        self.history[entry.version] = entry
        self.accepted_ids[entry.version] = entry.change_id
        self.history.pop(entry.version - KEPT_ENTRIES, None)
        return True

    # Operators.

    @rule(
        base=strategies.integers(0, 2),
        tasks=strategies.integers(1, 3),
        drained=strategies.sets(strategies.sampled_from(AGENTS)),
    )
    def propose(self, base, tasks, drained):
        change = ProposedChange(
            change_id=f"c{next(self.numbers)}",
            base=max(0, len(self.accepted) - 1 - base),
            document=Configuration(
                services=(Service(name="snapcheck"),),
                max_tasks_per_job=tasks,
                drained=tuple(sorted(drained)),
            ),
            who="x",
            why="y",
            when="z",
        )
        self.start(change)

    @rule(
        name=strategies.sampled_from(ENTRIES),
        drained=strategies.sets(strategies.sampled_from(AGENTS)),
    )
    def change_at_once(self, name, drained):
        number = next(self.numbers)
        self.propose(0, number, drained)
        for _ in range(2):
            self.take_step(f"c{number + 1}", "none")
        self.watch_reports(name)

    @rule(fault=strategies.sampled_from(["reply lost", "delayed"]))
    def lose_answer(self, fault):
        number = next(self.numbers)
        self.propose(0, number, set())
        name = f"c{number + 1}"
        self.take_step(name, "none")
        self.take_step(name, fault)
        self.give_up(name)

    @precondition(lambda self: self.undecided)
    @rule(data=strategies.data(), gives_up=strategies.booleans())
    def ask_again(self, data, gives_up):
        change = data.draw(strategies.sampled_from(self.undecided))
        self.undecided.remove(change)
        values = {f: getattr(change, f) for f in change.__struct_fields__}
        self.start(ProposedChange(**{**values, "resumed": True}))
        if gives_up:
            self.give_up(change.change_id)

    def start(self, change):
        attempt = ChangeAttempt(change=change)
        self.operators[change.change_id] = (attempt, attempt.begin())

    @precondition(lambda self: self.operators)
    @rule(
        data=strategies.data(),
        faults=strategies.lists(FAULTS, max_size=8),
        gives_up=strategies.booleans(),
    )
    def take_steps(self, data, faults, gives_up):
        name = data.draw(strategies.sampled_from(sorted(self.operators)))
        for fault in faults:
            if name in self.operators:
                self.take_step(name, fault)
        if gives_up and name in self.operators:
            self.give_up(name)

    def give_up(self, name):
        attempt, _ = self.operators[name]
        self.end(attempt, attempt.abandon("silence"))

    def take_step(self, name, fault):
        attempt, step = self.operators[name]
        if isinstance(step, ReadCurrent | ReadEntry):
            step = self.read(attempt, step, fault)
        elif fault == "not run":
            step = ReadCurrent()
        elif fault == "delayed":
            self.in_flight.append(step)
            step = attempt.handle_write_unknown()
        else:
            succeeded = self.write(step)
            if fault == "reply lost":
                step = attempt.handle_write_unknown()
            else:
                step = attempt.handle_write_result(succeeded=succeeded)
        self.operators[name] = (attempt, step)
        if isinstance(step, ChangeOutcome):
            self.end(attempt, step)

    def read(self, attempt, step, fault):
        if fault != "none":
            return ReadCurrent()
        if isinstance(step, ReadEntry):
            return attempt.handle_audit_entry(self.history.get(step.version))
        if self.revision == 0:
            return attempt.handle_current(None)
        return attempt.handle_current(
            CurrentVersion(document=self.accepted[-1], revision=self.revision)
        )

    def end(self, attempt, outcome):
        change = attempt.change
        del self.operators[change.change_id]
        if isinstance(outcome, Accepted):
            accepted = self.accepted_ids[outcome.version]
            assert accepted == change.change_id, outcome
        elif isinstance(outcome, Undecided):
            assert outcome.change_id == change.change_id
            self.undecided.append(change)
        elif isinstance(outcome, Forgotten):
            assert attempt.may_have_written
            assert change.base + 1 not in self.history
        else:
            self.settled_as_not_accepted.add(change.change_id)

    @precondition(lambda self: self.in_flight)
    @rule()
    def delayed_write_arrives(self):
        self.write(self.in_flight.pop(0))

    # Entries, agents and the messages between them.

    @initialize()
    def start_all(self):
        for name in ENTRIES:
            self.new_entry(name)
        for name in AGENTS:
            self.new_agent(name)
        for one, other in LINKS:
            self.connect(one, other)

    def new_entry(self, name):
        self.entries[name] = Entry(
            address=EntryAddress(entry_id=name),
            incarnation=next(self.numbers),
            configuration=Configuration(),
            limits=EntryLimits(),
            leader_limits=LeaderLimits(),
            clock=self.clock,
            has_platform=True,
        )
        self.cursors[name] = 0
        self.heard[name] = 0
        self.served[name] = 0

    def new_agent(self, name):
        self.agents[name] = Agent(
            identity=AgentIdentity(
                agent_id=name,
                incarnation=next(self.numbers),
                service="snapcheck",
                failure_domain="kl-putra",
                slots=1,
                connections=1,
            ),
            limits=AgentLimits(),
            clock=self.clock,
        )
        self.served[name] = 0
        for entry in ENTRIES:
            self.connect_agent(entry, name)

    def connect(self, one, other):
        self.queues[one, other] = deque()
        entry = self.entries[one]
        address = EntryAddress(entry_id=other)
        incarnation = self.entries[other].incarnation
        self.apply_effects(one, entry.peer_connected(address, incarnation))

    def connect_agent(self, entry, agent):
        self.queues[entry, agent] = deque()
        hello = self.agents[agent].hello()
        self.apply_effects(entry, self.entries[entry].agent_connected(hello))

    def apply_effects(self, name, effects):
        for effect in effects:
            if isinstance(effect, SendToPeer):
                queue = self.queues.get((name, effect.entry_id))
            elif isinstance(effect, SendAgentConfig):
                queue = self.queues.get((name, effect.agent_id))
            else:
                continue
            if queue is not None:
                queue.append(effect.message)
        self.observe(name)

    @rule(link=strategies.sampled_from(LINKS + AGENT_LINKS))
    def deliver(self, link):
        sender, receiver = link
        if not self.queues[link]:
            return
        message = self.queues[link].popleft()
        if isinstance(message, AgentConfig):
            self.agents[receiver].configure(message)
            return
        version = getattr(message, "config_version", 0)
        self.heard[receiver] = max(self.heard[receiver], version)
        entry = self.entries[receiver]
        if hasattr(message, "entries"):
            return
        self.apply_effects(receiver, entry.peer_message(sender, message))

    @rule(name=strategies.sampled_from(ENTRIES))
    def watch_reports(self, name):
        """A watch may be late but keeps the order."""
        last = len(self.accepted) - 1
        if self.cursors[name] == 0:
            self.entries[name].sync.platform_read_began()
            self.cursors[name] = last
        else:
            self.cursors[name] = min(last, self.cursors[name] + 1)
        document = self.accepted[self.cursors[name]]
        found = document if document.version else None
        entry = self.entries[name]
        self.apply_effects(name, entry.platform_configuration(found))

    @rule(name=strategies.sampled_from(ENTRIES))
    def platform_fails(self, name):
        self.cursors[name] = 0
        self.apply_effects(name, self.entries[name].platform_failed())

    @rule(
        name=strategies.sampled_from(ENTRIES),
        pause_s=strategies.sampled_from([0.0, 0.1, 0.3, 0.7, 3.0]),
    )
    def time_passes(self, name, pause_s):
        self.clock.advance(pause_s)
        self.apply_effects(name, self.entries[name].tick())

    @rule(name=strategies.sampled_from(ENTRIES))
    def restart_entry(self, name):
        self.new_entry(name)
        for other in ENTRIES:
            if other != name:
                self.entries[other].peer_lost(name)
                self.connect(other, name)
                self.connect(name, other)
        for agent in AGENTS:
            self.connect_agent(name, agent)

    @rule(
        order=strategies.permutations(ENTRIES),
        pause_s=strategies.sampled_from([0.0, 0.6]),
    )
    def start_without_the_store(self, order, pause_s):
        name, first, second = order
        self.restart_entry(name)
        self.platform_fails(name)
        self.drain((first, name))
        self.drain((second, name))
        self.drain((name, first))
        self.drain((first, name))
        self.time_passes(name, pause_s)

    @rule(link=strategies.sampled_from(LINKS))
    def run_connection(self, link):
        sender, receiver = link
        self.drain((sender, receiver))
        self.drain((receiver, sender))
        self.drain((sender, receiver))

    def drain(self, link):
        while self.queues[link]:
            self.deliver(link)

    @rule(name=strategies.sampled_from(AGENTS))
    def restart_agent(self, name):
        for entry in self.entries.values():
            entry.agent_disconnected(name)
        self.new_agent(name)

    # Invariants.

    @invariant()
    def each_change_is_accepted_once_or_not(self):
        ids = list(self.accepted_ids.values())
        assert len(set(ids)) == len(ids), ids
        assert not self.settled_as_not_accepted & set(ids)
        versions = list(range(1, len(self.accepted)))
        assert sorted(self.accepted_ids) == versions
        assert sorted(self.history) == versions[-KEPT_ENTRIES:]

    @invariant()
    def no_process_steps_back(self):
        for name in self.entries:
            self.observe(name)
        for name, agent in self.agents.items():
            version = agent.config_version
            assert version >= self.served[name], name
            drained = name in self.accepted[version].drained
            assert agent.is_draining is drained
            self.served[name] = version

    def observe(self, name):
        """Check an entry; done after each message that it handles."""
        entry = self.entries[name]
        document = entry.configuration
        assert document.version >= self.served[name], name
        assert document == self.accepted[document.version]
        assert not entry.sync.store_is_behind
        self.check_first_version(name, entry)
        self.served[name] = document.version

    def check_first_version(self, name, entry):
        """A started process serves nothing that it knows to be old."""
        if self.served[name] or not entry.configuration.version:
            return
        age_s = self.clock.monotonic() - entry.started_at
        if age_s < entry.sync.limits.max_settle_s:
            assert entry.configuration.version >= self.heard[name]

    def teardown(self):
        """Once one entry hears the store, all soon have its version."""
        if not self.entries:
            return
        self.cursors["e0"] = 0
        self.watch_reports("e0")
        for _ in range(12):
            for name in ENTRIES:
                self.time_passes(name, 0.25)
            for link in LINKS + AGENT_LINKS:
                self.drain(link)
        newest = len(self.accepted) - 1
        found = {n: e.configuration.version for n, e in self.entries.items()}
        found |= {n: a.config_version for n, a in self.agents.items()}
        assert set(found.values()) == {newest}, (newest, found)
