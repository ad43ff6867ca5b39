"""A state machine that drives the simulated world through faults."""

from hypothesis import strategies as st
from hypothesis.stateful import initialize
from hypothesis.stateful import precondition
from hypothesis.stateful import rule
from hypothesis.stateful import RuleBasedStateMachine
from simulated_world import CANCEL
from simulated_world import SUBMIT
from simulated_world import World

from egretcart.process.pending import READ

INDEX = st.integers(0, 7)
SKEW_S = st.sampled_from((0.0, 0.5, -0.5))
RATE = st.sampled_from((1.0, 1.004, 0.996))
AHEAD_S = st.sampled_from((0.0, 0.5, 1.4, -0.5, -3.0))
BOUNDED_TIME_S = 40.0


def pick(items, index):
    items = list(items)
    return items[index % len(items)]


class SafetyMachine(RuleBasedStateMachine):
    @initialize(
        entries=st.integers(2, 3),
        agents=st.integers(2, 4),
        skews=st.lists(SKEW_S, min_size=1, max_size=7),
        rates=st.lists(RATE, min_size=1, max_size=7),
        calm=st.booleans(),
    )
    def begin(self, entries, agents, skews, rates, calm):
        self.world = World(
            entries=entries, agents=agents, skews=skews, rates=rates
        )
        if calm:
            self.world.run(2.0)

    # Callers.

    @rule(
        ahead_s=AHEAD_S,
        tasks=st.integers(1, 2),
        idempotent=st.booleans(),
        entry=INDEX,
    )
    def submit_new(self, ahead_s, tasks, idempotent, entry):
        job = self.world.make_job(
            ahead_s=ahead_s, tasks=tasks, idempotent=idempotent
        )
        self.send(entry, SUBMIT, job)

    @precondition(lambda self: self.world.jobs)
    @rule(
        job=INDEX,
        entry=INDEX,
        action=st.sampled_from((SUBMIT, SUBMIT, SUBMIT, CANCEL, READ)),
    )
    def request_again(self, job, entry, action):
        self.send(entry, action, self.world.jobs[-1 - job % 3 :][0])

    @precondition(lambda self: self.world.jobs)
    @rule(job=INDEX, entry=INDEX, idempotent=st.booleans())
    def submit_other_body(self, job, entry, idempotent):
        twin = self.world.make_job(
            ahead_s=0.0, tasks=1, idempotent=idempotent,
            twin_of=pick(self.world.jobs, job),
        )  # fmt: skip
        self.send(entry, SUBMIT, twin)

    @rule(ahead_s=AHEAD_S, idempotent=st.booleans(), reach=st.booleans())
    def submit_everywhere(self, ahead_s, idempotent, reach):
        self.flood(ahead_s, idempotent, reach)

    def flood(self, ahead_s, idempotent, reach):
        job = self.world.make_job(
            ahead_s=ahead_s, tasks=2, idempotent=idempotent
        )
        for entry in range(len(self.world.entries)):
            self.send(entry, SUBMIT, job)
        if reach:
            self.world.run(0.1, finish=False)

    def send(self, entry, action, job):
        entries = [e for e in self.world.entries.values() if e.running]
        if entries:
            self.world.request(pick(entries, entry), action, job)

    # Time and messages.

    @rule(
        seconds=st.sampled_from((0.1, 0.3, 0.6, 1.3, 2.5, 4.0)),
        finish=st.booleans(),
    )
    def run_calmly(self, seconds, finish):
        self.world.run(seconds, finish=finish)

    @rule(seconds=st.sampled_from((0.1, 0.3, 1.0)))
    def run_without_ends(self, seconds):
        self.world.run(seconds, step=0.05, finish=False, rounds=2)

    @rule(seconds=st.sampled_from((0.05, 0.4, 1.0, 1.25, 3.1)))
    def let_time_pass(self, seconds):
        self.world.advance(seconds)

    @rule(queue=st.integers(0, 30), count=st.sampled_from((1, 2, 5, 100)))
    def deliver(self, queue, count):
        self.world.dial()
        queues = self.world.queues()
        if queues:
            self.world.deliver(*pick(queues, queue), count)

    @rule(host=INDEX)
    def tick(self, host):
        target = pick(self.world.hosts, host)
        if target.running:
            target.tick()

    # Faults.

    @rule(connection=st.integers(0, 30), kept=st.sampled_from((0, 1, 100)))
    def break_connection(self, connection, kept):
        if self.world.connections:
            pick(self.world.connections, connection).break_off(kept)

    @rule(entry=INDEX, hosts=st.sets(INDEX, min_size=1, max_size=4))
    def isolate(self, entry, hosts):
        """Cut an entry off from some hosts."""
        target = pick(self.world.entries.values(), entry)
        others = [pick(self.world.hosts, i) for i in sorted(hosts)]
        self.world.cut_off(target, others, kept=0)

    @rule(
        agents=st.sets(INDEX, max_size=3),
        apart=st.booleans(),
        stall=st.sampled_from(("none", "from leader", "to leader")),
        freeze=st.booleans(),
        submit=st.booleans(),
        idempotent=st.booleans(),
        seconds=st.sampled_from((0.0, 0.5, 2.0, 3.0, 6.0)),
    )
    def split_leader(self, **chosen):
        self.part(**chosen)

    def part(self, agents, apart, stall, freeze, submit, idempotent, seconds):
        """Part the leader from the other entries and from some agents."""
        world = self.world
        leader = world.leader()
        if leader is None:
            return
        for connection in world.connections_of(leader):
            if stall == "from leader":
                connection.stalled.add(connection.other(leader))
            elif stall == "to leader":
                connection.stalled.add(leader)
        if submit:
            self.flood(0.0, idempotent, reach=True)
        peers = [e for e in world.entries.values() if e is not leader]
        lost = [pick(world.agents.values(), i) for i in sorted(agents)]
        world.cut_off(leader, [*peers, *lost], kept=100)
        for agent in world.agents.values():
            if apart and agent not in lost:
                world.cut_off(agent, peers, kept=0)
        leader.frozen = freeze
        if seconds:
            world.run(seconds, finish=False)

    @rule(agents=st.sets(INDEX, min_size=1, max_size=2))
    def split_brain(self, agents):
        """Let two leaders live, each with agents of its own."""
        self.part(
            agents=agents,
            apart=True,
            stall="none",
            freeze=False,
            submit=False,
            idempotent=False,
            seconds=6.0,
        )
        self.flood(0.0, False, reach=True)

    @rule(action=st.sampled_from((READ, CANCEL, SUBMIT)))
    def hide_fence(self, action):
        """Ask a leader that can't know yet that it was fenced."""
        world = self.world
        former = world.leader()
        if former is None:
            return
        self.part(
            agents=(),
            apart=False,
            stall="to leader",
            freeze=False,
            submit=False,
            idempotent=False,
            seconds=2.0,
        )
        job = world.make_job(ahead_s=0.0, tasks=1, idempotent=False)
        for entry in world.entries.values():
            if entry.running and entry is not former:
                world.request(entry, SUBMIT, job)
        world.run(0.3, finish=False)
        world.request(former, action, job)
        world.run(0.1)

    @precondition(lambda self: self.world.jobs)
    @rule(job=INDEX)
    def submit_again_everywhere(self, job):
        chosen = self.world.jobs[-1 - job % 2 :][0]
        for entry in range(len(self.world.entries)):
            self.send(entry, SUBMIT, chosen)

    @precondition(lambda self: self.world.jobs)
    @rule(action=st.sampled_from((READ, CANCEL)), seconds=st.floats(0.0, 1.0))
    def ask_everywhere(self, action, seconds):
        for entry in range(len(self.world.entries)):
            self.send(entry, action, self.world.jobs[-1])
        if seconds:
            self.world.run(seconds)

    @rule()
    def release_stalled(self):
        self.world.release()

    @rule()
    def reconnect(self):
        self.world.cut.clear()

    @rule(seconds=st.sampled_from((0.0, 0.3, 2.0, 5.0)))
    def recover(self, seconds):
        """Mend everything, so that the next faults meet a working cell."""
        self.world.heal()
        if seconds:
            self.world.run(seconds)

    @rule(host=INDEX)
    def kill(self, host):
        target = pick(self.world.hosts, host)
        if target.alive:
            target.kill()

    @rule(host=INDEX)
    def restart(self, host):
        target = pick(self.world.hosts, host)
        if target.alive:
            target.kill()
        target.start()

    @rule(host=INDEX)
    def freeze(self, host):
        pick(self.world.hosts, host).frozen = True

    @rule(host=INDEX)
    def resume(self, host):
        pick(self.world.hosts, host).frozen = False

    @rule(entry=INDEX)
    def plan_stop(self, entry):
        target = pick(self.world.entries.values(), entry)
        if target.running:
            target.carry_out(target.core.leave())

    @rule(agent=INDEX, refusing=st.booleans())
    def refuse_connections(self, agent, refusing):
        pick(self.world.agents.values(), agent).refusing = refusing

    @precondition(lambda self: self.world.exchanges)
    @rule(exchange=INDEX, succeeded=st.sampled_from((True, False, None)))
    def finish_exchange(self, exchange, succeeded):
        chosen = pick(self.world.exchanges, exchange)
        self.world.finish(chosen, succeeded=succeeded)

    # The platform.

    @rule(mode=st.sampled_from(("up", "down", "lost", "late")))
    def change_platform(self, mode):
        self.world.platform_mode = mode

    @precondition(lambda self: self.world.late_writes)
    @rule(index=INDEX)
    def apply_late_write(self, index):
        writes = self.world.late_writes
        self.world.apply_write(writes.pop(index % len(writes)))

    def teardown(self):
        world = getattr(self, "world", None)
        if world is None:
            return
        world.heal()
        for host in world.entries.values():
            if host.core.directory.leaving:
                host.core.directory.leaving = False
        world.run(BOUNDED_TIME_S, step=0.2, rounds=3)
        assert not world.unanswered(), "callers without an answer"
