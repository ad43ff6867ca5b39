"""The cell's machine with single steps and faults in between."""

from cell_machine import AGAIN
from cell_machine import AHEAD_S
from cell_machine import CellMachine
from cell_machine import INDEX
from cell_machine import pick
from cell_machine import PLATFORM
from hypothesis import strategies as st
from hypothesis.stateful import precondition
from hypothesis.stateful import rule
from simulated_world import CANCEL
from simulated_world import SUBMIT

from egretcart.process.entry.pending import READ


class SafetyMachine(CellMachine):
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

    @rule()
    def reconnect(self):
        self.world.cut.clear()

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
            target.apply_effects(target.core.leave())

    @rule(agent=INDEX, refusing=st.booleans())
    def refuse_connections(self, agent, refusing):
        pick(self.world.agents.values(), agent).refusing = refusing

    @precondition(lambda self: self.world.exchanges)
    @rule(exchange=INDEX, succeeded=st.sampled_from((True, False, None)))
    def finish_exchange(self, exchange, succeeded):
        chosen = pick(self.world.exchanges, exchange)
        self.world.finish(chosen, succeeded=succeeded)

    @precondition(lambda self: self.world.late_writes)
    @rule(index=INDEX)
    def apply_late_write(self, index):
        writes = self.world.late_writes
        self.world.apply_write(writes.pop(index % len(writes)))

    @rule(ahead_s=AHEAD_S, idempotent=st.booleans(), reach=st.booleans())
    def submit_everywhere(self, ahead_s, idempotent, reach):
        self.flood(ahead_s, idempotent, reach)

    @rule(action=st.sampled_from((READ, CANCEL, SUBMIT)))
    def hide_fence(self, action):
        """Ask a leader that can't know yet that it was fenced."""
        world = self.world
        former = self.find_leader()
        if former is None:
            return
        self.stall(former, "to leader", ["both"])
        self.part(former, ["both"])
        world.run(2.0, finish=False)
        job = world.make_job(ahead_s=0.0, tasks=1, idempotent=False)
        for entry in world.entries.values():
            if entry.running and entry is not former:
                world.request(entry, SUBMIT, job)
        world.run(0.3, finish=False)
        world.request(former, action, job)
        world.run(0.1)

    @rule()
    def release_stalled(self):
        self.world.release()

    @rule(mode=PLATFORM)
    def change_platform(self, mode):
        self.world.platform_mode = mode

    @rule(entry=INDEX)
    def read_roster(self, entry):
        self.world.follow_store(pick(self.world.entries.values(), entry))

    @rule(action=AGAIN)
    def repeat_last(self, action):
        self.repeat(action)
