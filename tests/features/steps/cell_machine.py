"""A state machine whose rules each join a fault with work in danger.

A rule of this kind says what a guard is for: few of them in a row meet a
cell that works, and endanger it.
"""

from hypothesis import strategies as st
from hypothesis.stateful import initialize
from hypothesis.stateful import rule
from hypothesis.stateful import RuleBasedStateMachine
from simulated_world import CANCEL
from simulated_world import SUBMIT
from simulated_world import World

from egretcart.process.entry.pending import READ

INDEX = st.integers(0, 7)
SKEW_S = st.sampled_from((0.5, -0.5, 0.5, -0.5, 0.0))
RATE = st.sampled_from((1.0, 1.005, 0.9951))
AHEAD_S = st.sampled_from((0.0, 0.0, 0.5, 1.4, 1.4, -0.5, -3.0))
PLATFORM = st.sampled_from(("up", "down", "lost", "late", "slow"))
STALL = st.sampled_from(("none", "from leader", "to leader"))
# Which leaders reach an agent once the cell is parted.
REACH = st.lists(
    st.sampled_from(("both", "former", "later")), min_size=1, max_size=5
)
PAUSE_S = st.sampled_from((0.0, 0.3, 1.0, 2.5))
LOSSES = st.sampled_from(("restart", "break", "cut", "cut for long"))
FAULTS = st.sampled_from(
    (
        ("leader",),
        ("leader", "agent"),
        ("agent", "leader"),
        ("join", "leader"),
        ("agent",),
        ("cancel", "leader", "leader"),
        ("leader", "agent", "leader"),
    )
)
AGAIN = st.sampled_from((SUBMIT, SUBMIT, READ, CANCEL, None))
MAX_AGENTS = 6
BOUNDED_TIME_S = 40.0


def pick(items, index):
    items = list(items)
    return items[index % len(items)]


class CellMachine(RuleBasedStateMachine):
    @initialize(
        entries=st.integers(2, 3),
        agents=st.integers(2, 4),
        skews=st.lists(SKEW_S, min_size=1, max_size=7),
        rates=st.lists(RATE, min_size=1, max_size=7),
        former=st.sets(INDEX, max_size=3),
        calm_s=st.sampled_from((0.0, 2.0, 5.0, 5.0)),
    )
    def begin(self, entries, agents, skews, rates, former, calm_s):
        """Start a cell, some of whose processes are of the release before."""
        self.world = World(
            entries=entries, agents=agents, skews=skews, rates=rates
        )
        for index in former:
            pick(self.world.hosts, index).former_release = True
        if calm_s:
            self.world.run(calm_s)
            self.follow_store()

    def follow_store(self):
        for entry in self.world.entries.values():
            self.world.follow_store(entry)

    def flood(self, ahead_s, idempotent, reach, tasks=2):
        job = self.world.make_job(
            ahead_s=ahead_s, tasks=tasks, idempotent=idempotent
        )
        for entry in range(len(self.world.entries)):
            self.send(entry, SUBMIT, job)
        if reach:
            self.world.run(0.1, finish=False)

    def mend(self, seconds):
        """End all faults and replace the entries that are leaving."""
        for entry in self.world.entries.values():
            if entry.core.directory.leaving:
                entry.kill()
        self.world.heal()
        self.world.run(seconds)

    def find_leader(self):
        """Return the latest leader; mend the cell if it has none."""
        if not self.world.leaders():
            self.mend(4.0)
        return (self.world.leaders() or [None])[-1]

    def warm_up(self):
        """Let work renew the leases, which lapse at rest."""
        self.find_leader()
        self.flood(0.0, False, reach=True)
        self.world.run(0.1)

    def send(self, entry, action, job):
        entries = [e for e in self.world.entries.values() if e.running]
        if entries:
            self.world.request(pick(entries, entry), action, job)

    @rule(
        seconds=st.sampled_from((0.1, 0.3, 0.6, 1.3, 2.5, 4.0)),
        finish=st.booleans(),
    )
    def run_calmly(self, seconds, finish):
        self.world.run(seconds, finish=finish)

    @rule(
        reach=REACH,
        stall=STALL,
        platform=PLATFORM,
        freeze=st.booleans(),
        before=st.booleans(),
        after=st.booleans(),
        ahead_s=AHEAD_S,
        idempotent=st.booleans(),
        seconds=st.sampled_from((0.0, 0.5, 1.3, 2.0, 3.0, 6.0)),
    )
    def part_leader(
        self, reach, stall, platform, freeze, before, after, ahead_s,
        idempotent, seconds,
    ):  # fmt: skip
        """Part the leader from the other entries and from some agents."""
        leader = self.find_leader()
        if leader is None:
            return
        if before:
            self.warm_up()
        self.stall(leader, stall, reach)
        if before:
            self.flood(ahead_s, idempotent, reach=True)
        self.world.platform_mode = platform
        self.part(leader, reach)
        leader.frozen = freeze
        if seconds:
            self.world.run(seconds, finish=False)
        if after:
            self.flood(ahead_s, idempotent, reach=True)

    def stall(self, leader, direction, reach):
        """Let frames lie between a leader and all that others reach."""
        agents = list(self.world.agents.values())
        for connection in self.world.connections_of(leader):
            host = connection.other(leader)
            if host in agents and (
                reach[agents.index(host) % len(reach)] == "former"
            ):
                continue
            if direction == "from leader":
                connection.stalled.add(host)
            elif direction == "to leader":
                connection.stalled.add(leader)

    def part(self, leader, reach):
        world = self.world
        peers = [e for e in world.entries.values() if e is not leader]
        lost = list(peers)
        for index, agent in enumerate(world.agents.values()):
            reached_by = reach[index % len(reach)]
            if reached_by == "former":
                world.cut_off(agent, peers, kept=0)
            elif reached_by == "later":
                lost.append(agent)
        world.cut_off(leader, lost, kept=100)

    @rule(agent=INDEX, seconds=st.sampled_from((0.3, 0.7, 1.3)))
    def lure_agent(self, agent, seconds):
        """Restart an agent that only the former of two leaders reaches."""
        leaders = self.world.leaders()
        if len(leaders) < 2:
            return
        target = pick(self.world.agents.values(), agent)
        self.flood(0.0, False, reach=True)
        target.kill()
        self.world.cut -= {(target, leaders[0])}
        others = [e for e in self.world.entries.values() if e != leaders[0]]
        self.world.cut_off(target, others, kept=0)
        target.start()
        self.world.run(seconds, finish=False)
        self.flood(0.0, False, reach=True)

    @rule(
        agent=INDEX,
        freeze=st.booleans(),
        finish=st.booleans(),
        seconds=st.sampled_from((0.5, 2.0, 6.0, 7.0)),
    )
    def delay_starts(self, agent, freeze, finish, seconds):
        """Let starts lie on the way to an agent that is taken for lost."""
        target = pick(self.world.agents.values(), agent)
        self.warm_up()
        for connection in self.world.connections_of(target):
            connection.stalled.add(target)
        self.flood(0.0, True, reach=True)
        for connection in self.world.connections_of(target):
            if not freeze:
                connection.break_off(kept=100)
        self.world.run(seconds, finish=finish)
        self.world.release()
        self.world.run(0.1, finish=False)

    @rule(
        count=st.integers(1, 2),
        leader_only=st.booleans(),
        platform=st.sampled_from(("up", "up", "lost", "late", "slow")),
        seconds=st.sampled_from((0.05, 0.1, 0.2, 1.0)),
    )
    def add_agents(self, count, leader_only, platform, seconds):
        """Let agents join, perhaps while only the leader reaches them."""
        world = self.world
        count = min(count, MAX_AGENTS - len(world.agents))
        world.platform_mode = platform
        peers = list(world.entries.values())
        for leader in world.leaders()[-1:]:
            peers.remove(leader)
        for _ in range(count):
            agent = world.add_agent()
            if leader_only:
                world.cut_off(agent, peers, kept=0)
        world.run(seconds, step=0.05, finish=False)

    @rule(
        mend=st.booleans(),
        faults=FAULTS,
        agent=INDEX,
        lose_agent=LOSSES,
        ask=st.booleans(),
        lose_leader=st.sampled_from(("kill", "restart", "resign", "freeze")),
        platform=st.sampled_from(("up", "up", "down", "lost", "late")),
        ahead_s=AHEAD_S,
        seconds=PAUSE_S,
        between=st.sampled_from((None, None, READ)),
        others=st.integers(0, 3),
    )
    def endanger(
        self, mend, faults, agent, lose_agent, ask, lose_leader, platform,
        ahead_s, seconds, between, others,
    ):  # fmt: skip
        """Let work meet faults in a row, and ask for it again."""
        if mend:
            self.mend(2.0)
        self.warm_up()
        self.flood(ahead_s, False, reach=True)
        self.world.platform_mode = platform
        for fault in faults:
            if fault == "agent":
                self.lose_agent(agent, lose_agent, ask, seconds)
            elif fault == "leader":
                self.lose_leader(lose_leader, seconds)
            elif fault == "join":
                self.add_agents(1, True, "up", 1.0)
                self.warm_up()
                self.world.platform_mode = platform
            else:
                self.cancel_partly()
            self.repeat(between)
        self.repeat(SUBMIT, others=others)

    def lose_agent(self, agent, how, ask, seconds):
        """Let an agent forget what it ran, or take it out of reach."""
        world = self.world
        last = {job.job_id.value for job in world.jobs[-2:]}
        agents = world.agents.values()
        holders = [a for a in agents if last & a.core.ledger.jobs.keys()]
        target = pick(holders or agents, agent)
        if ask:  # What it answers is lost with its connections.
            for connection in world.connections_of(target):
                connection.stalled.add(connection.other(target))
            self.repeat(SUBMIT)
        if how == "restart":
            target.kill()
            target.start()
        elif how == "break":
            for connection in world.connections_of(target):
                connection.break_off(kept=0)
        else:
            world.cut_off(target, world.entries.values(), kept=0)
        world.release()
        if how == "cut for long":
            world.platform_mode = "up"
            world.run(6.0)
        elif seconds:
            world.run(seconds)

    def lose_leader(self, how, seconds):
        """Let another entry take over."""
        leader = self.find_leader()
        if leader is None:
            return
        if how == "resign":
            leader.apply_effects(leader.core.leave())
        elif how == "freeze":
            leader.frozen = True
        else:
            leader.kill()
        if how == "restart":
            leader.start()
        if seconds:
            self.world.run(seconds, finish=False)

    def repeat(self, action, others=0):
        """Ask all entries for the last jobs again."""
        repeated = self.world.jobs[-3:] if action else ()
        if others:  # These take slots, so that the rest goes elsewhere.
            self.flood(0.0, True, reach=True, tasks=others)
        for job in repeated:
            for entry in range(len(self.world.entries)):
                self.send(entry, action, job)
        if repeated:
            self.world.run(0.3, finish=False)

    def cancel_partly(self):
        """Cancel a job some of whose tasks wait for a slot."""
        self.warm_up()
        self.flood(0.0, False, reach=False, tasks=10)
        self.world.run(0.1, step=0.05, finish=False)
        for entry in range(len(self.world.entries)):
            self.send(entry, CANCEL, self.world.jobs[-1])
        self.world.run(0.3, finish=False)

    @rule(seconds=st.sampled_from((0.1, 0.3, 2.0, 5.0)))
    def recover(self, seconds):
        """Mend everything, so that the next faults meet a working cell."""
        self.mend(seconds)

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
