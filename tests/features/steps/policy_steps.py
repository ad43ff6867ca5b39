import collections
import random

from behave import then
from behave import when
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
from policy_fake import make_agents
from policy_fake import make_configuration
from policy_fake import quantile
from policy_fake import World

from egretcart.connection.messages import CancelledTask
from egretcart.connection.messages import CancelTasks
from egretcart.connection.messages import JobRecord
from egretcart.connection.messages import Start
from egretcart.connection.messages import TaskRecord
from egretcart.connection.messages import TaskResult
from egretcart.connection.messages import Term
from egretcart.process.agent import Agent
from egretcart.process.agent_types import AbortExchange
from egretcart.process.agent_types import AgentIdentity
from egretcart.process.agent_types import AgentLimits
from egretcart.process.agent_types import SendToEntry
from egretcart.process.ledger import RecordState
from egretcart.process.limits import LeaderLimits
from egretcart.process.policy.estimates import LearnedRunTimes
from egretcart.process.policy.hedging import RESERVE as HEDGE_RESERVE
from egretcart.process.policy.ordering import FairOrder
from egretcart.request.identity import job_id_at
from egretcart.testing.clock import ManualClock
from egretcart.version.document import HedgePolicy
from egretcart.version.document import Kind
from egretcart.version.document import Team
from egretcart.version.document import UrgencyClass

SLOTS = 88
RUN_MS = st.floats(1.0, 500.0).map(lambda ms: round(ms, 1))
JOBS = st.lists(
    st.tuples(
        st.floats(0, 1), st.lists(RUN_MS, min_size=1, max_size=12),
        st.booleans(),
    ),
    min_size=1, max_size=12,
)  # fmt: skip
HEDGED = (Kind(name="default", hedge=True),)
PATIENT = (UrgencyClass(name="normal", max_wait_ms=1e6),)


def begun_times(world):
    return collections.Counter((job, task) for job, task, _ in world.begun)


def classes(**weights):
    return tuple(
        UrgencyClass(name=name, weight=weight, max_wait_ms=1e6)
        for name, weight in weights.items()
    )


def running_jobs(world):
    """Return the jobs of all tasks that run now, by their id."""
    jobs = {fake.job.job_id.value: fake.job for fake in world.jobs}
    return [jobs[key[0]] for a in world.agents.values() for key in a.running]


def submit(world, run_ms, idempotent):
    world.submit(run_ms, idempotent=idempotent)


# Differential and bounds.


@then("any jobs get the same answers under both policies")
def check_same_answers(context):
    @settings(max_examples=60)
    @given(JOBS, st.integers(1, 8), st.integers(0, 3))
    def holds(jobs, agents, slow):
        outcomes = []
        for naive in (True, False):
            world = World(make_agents(agents, slow=slow, slots=2), naive=naive)
            for moment, run_ms, idempotent in jobs:
                world.at(moment, submit, world, run_ms, idempotent)
            world.run(120)
            assert set(begun_times(world).values()) == {1}
            outcomes.append([(j.status, j.body) for j in world.jobs])
        assert outcomes[0] == outcomes[1]
        assert all(status == 200 for status, _ in outcomes[1])

    holds()


@then("no agent holds too much, whatever fails or is cancelled")
def check_slots(context):
    events = st.lists(
        st.tuples(
            st.floats(0, 2),
            st.sampled_from(["cancel", "lose", "fail", "instant", "ok"]),
            st.integers(0, 5),
        ),
        max_size=8,
    )

    @settings(max_examples=60)
    @given(JOBS, events, st.integers(0, 1))
    def holds(jobs, events, hedge):
        configuration = make_configuration(kinds=HEDGED if hedge else ())
        world = World(
            make_agents(6, slots=2), configuration=configuration,
            straggler_share=0.2,
        )  # fmt: skip

        def disturb(action, number):
            agent_id = f"agent-{number}"
            if action == "cancel" and number < len(world.jobs):
                world.cancel(world.jobs[number])
            elif action == "lose" and agent_id in world.usable:
                world.lose(agent_id)
            elif agent_id in world.usable and action != "cancel":
                world.agents[agent_id].mode = action

        for moment, run_ms, idempotent in jobs:
            world.at(moment, submit, world, run_ms, idempotent)
        for moment, action, number in events:
            world.at(moment, disturb, action, number)
        world.run(130)
        for agent in world.agents.values():
            assert agent.most_held <= agent.slots + 2
        jobs_by_id = {j.job.job_id.value: j.job for j in world.jobs}
        for (job, _), count in begun_times(world).items():
            assert count == 1 or jobs_by_id[job].idempotent
        assert all(fake.status is not None for fake in world.jobs)
        for load in world.book.loads.values():
            assert not load.in_flight
        order = world.policy.order
        assert order.waiting == 0
        assert not order.running
        assert abs(order.waiting_ms("normal")) < 1e-6

    holds()


# Placement and estimates.


@when("a cell with 3 slow workers of 11 runs at 80 % under both policies")
def run_slow_workers(context):
    context.p99 = []
    for naive in (True, False):
        world = World(make_agents(slow=3), naive=naive)
        world.load(0.8, 20)
        world.run(40)
        context.p99.append(quantile(world.ratios(since=3), 0.99))


@then("the slow workers cost the policy less than 0.7 of the naive p99")
def check_slow_workers(context):
    naive, own = context.p99
    assert own < 0.7 * naive, context.p99


def learned_world(slow, fast):
    """Return a cell with slots of two speeds that it has learned."""
    world = World([
        *make_agents(1, slow=1, slots=slow),
        *make_agents(2, slots=fast)[1:],
    ])  # fmt: skip
    for step in range(400):
        agent_id = f"agent-{step % 2}"
        run_ms = 100.0 if step % 2 else 400.0
        world.policy.run_times.observe(agent_id, "default", 100.0, run_ms)
    return world


@when("a job of three long tasks and a short one meets a slow worker")
def run_long_and_short(context):
    world = learned_world(slow=2, fast=2)
    run_ms = [400.0, 400.0, 400.0, 80.0]
    context.fake = world.submit(run_ms, declared_ms=run_ms)
    world.run(5)
    context.world = world


@then("the slow worker takes the short task and no long one")
def check_long_and_short(context):
    slow = [task for _, task, agent in context.world.begun if agent[-1] == "0"]
    assert slow == [3], context.world.begun
    assert context.fake.answered < 0.85, context.fake.answered


@then("two slow workers are used at once by a job that waits for long")
def check_long_job(context):
    world = learned_world(slow=2, fast=2)
    world.submit([100.0] * 40, declared_ms=[100.0] * 40)
    world.run(0.01)
    assert len(world.agents["agent-0"].running) == 2


@then("exact declarations are followed and random ones are not")
def check_declared(context):
    rng = random.Random(5)
    times = LearnedRunTimes(find_kind=lambda name: Kind(name=name))
    for _ in range(300):
        run_ms = rng.choice([20.0, 100.0, 500.0, 2500.0])
        times.observe("a", "exact", run_ms * 3, run_ms)
        times.observe("a", "random", rng.choice([1.0, 1e3, 1e5]), run_ms)
    for run_ms in (20.0, 2500.0):
        expected = times.task_ms("exact", run_ms * 3)
        assert run_ms / 1.5 < expected < run_ms * 1.5, expected
    wild = times.task_ms("random", 1e5) / times.task_ms("random", 1.0)
    assert wild < 10, wild


# Order.


def add_job(order, key, work_ms, now):
    order.add_job(
        key, urgency="normal", team="default", work_ms=work_ms, now=now
    )
    for index in range(len(work_ms)):
        order.push((key, index))


@when("a job that needs its one task comes after a job that has time")
def order_two_jobs(context):
    context.order = FairOrder()
    add_job(context.order, b"first", [300.0, 20.0], now=0.0)
    assert context.order.peek() == (b"first", 0)
    context.order.take()
    add_job(context.order, b"second", [350.0], now=0.0)
    add_job(context.order, b"later", [350.0], now=1.0)


@then("the first job's short task waits for it but for no later job")
def check_two_jobs(context):
    started = []
    while (key := context.order.peek()) is not None:
        started.append(key)
        context.order.take()
    assert started == [(b"second", 0), (b"first", 1), (b"later", 0)], started


@then("any weights give each class its share of a busy cell")
def check_no_class_starves(context):
    @settings(max_examples=10)
    @given(st.integers(1, 1000), st.integers(1, 1000), st.integers(1, 3))
    def holds(low, high, tasks):
        world = World(
            make_agents(2, slots=4),
            configuration=make_configuration(urgency=classes(a=low, b=high)),
        )
        for _ in range(900 // tasks):
            for urgency in "ab":
                world.submit([50.0] * tasks, urgency=urgency)
        world.run(6)
        done = collections.Counter(
            fake.job.urgency for fake in world.jobs if fake.status == 200
        )
        total = done["a"] + done["b"]
        for name, weight in (("a", low), ("b", high)):
            share = total * weight / (low + high)
            assert done[name] >= 0.8 * share - 8, (done, low, high)

    holds()


@when("the weights of two busy classes are swapped")
def swap_weights(context):
    world = World(
        make_agents(2, slots=8),
        configuration=make_configuration(urgency=classes(a=1, b=7)),
    )
    for _ in range(300):
        for urgency in "ab":
            world.submit([100.0] * 2, urgency=urgency)
    world.run(1.0)
    before = running_jobs(world)
    swapped = make_configuration(urgency=classes(a=7, b=1))
    world.book.configure(swapped, "service")
    world.run(2.0)
    context.running = before, running_jobs(world)


@then("the slots follow the new weights")
def check_swapped(context):
    counts = [sum(j.urgency == "a" for j in r) for r in context.running]
    assert counts[0] <= 4, counts
    assert counts[1] >= 12, counts


@when("a team floods a cell in which another has a quota")
def flood_team(context):
    teams = (Team(name="quota", slots=6), Team(name="flood", slots=2))
    urgency = classes(low=1, high=50)
    world = World(
        make_agents(2, slots=8),
        configuration=make_configuration(teams=teams, urgency=urgency),
    )
    for _ in range(300):
        world.submit([100.0] * 2, team="flood", urgency="high")
    world.run(1.0)
    context.borrowed = len(running_jobs(world))
    for _ in range(100):
        world.submit([100.0] * 2, team="quota", urgency="low")
    world.run(1.25)
    context.running = running_jobs(world)


@then("the flood borrows the idle slots and gives them back at once")
def check_quota(context):
    assert context.borrowed == 16, context.borrowed
    quota = sum(job.team == "quota" for job in context.running)
    assert 6 <= quota <= 7, quota


# Admission.


@when("jobs arrive at 150 % of the capacity for 20 seconds")
def run_overload(context):
    urgency = (UrgencyClass(name="normal", max_wait_ms=1000.0),)
    world = World(
        make_agents(), configuration=make_configuration(urgency=urgency)
    )
    world.load(1.5, 20)
    world.run(40)
    context.world = world


@then("refused jobs were never placed and the cell loses no capacity")
def check_overload(context):
    world = context.world
    refused = [j for j in world.jobs if j.status == 503]
    assert len(refused) > 100
    begun = {job for job, _, _ in world.begun}
    for fake in refused:
        assert fake.body["verdict"] == "not_run"
        assert fake.job.job_id.value not in begun
        assert fake.answered == fake.submitted
    done_ms = sum(
        sum(j.true_ms)
        for j in world.jobs
        if j.status == 200 and 5 < j.answered < 20
    )
    assert done_ms >= 0.95 * SLOTS * 15_000, done_ms / SLOTS / 15_000
    waits = [j.answered - j.submitted for j in world.jobs if j.status == 200]
    assert quantile(sorted(waits), 0.99) < 3.5


@then("the times to come back are spread and honest")
def check_retry_after(context):
    refused = [j for j in context.world.jobs if j.status == 503]
    times = sorted(j.submitted + j.retry_after_s for j in refused)
    assert len({round(moment, 3) for moment in times}) > 0.9 * len(times)
    burst = World(make_agents())
    for _ in range(700):
        burst.submit([200.0] * 10)
    refused = [j for j in burst.jobs if j.status == 503]
    returning = collections.Counter()
    for fake in refused:
        moment = fake.submitted + fake.retry_after_s
        returning[int(moment)] += sum(fake.true_ms) / 1000
    assert max(returning.values()) < 1.5 * SLOTS, returning
    assert all(0.1 <= j.retry_after_s <= 37.5 for j in refused)


@then("unknown names and deadlines that no agent can meet are refused")
def check_never_accepted(context):
    world = World(make_agents(2))
    assert world.submit([1.0], team="nobody").status == 400
    assert "'default'" in world.jobs[-1].body["detail"]
    assert world.submit([1.0], urgency="now").status == 400
    assert "'normal'" in world.jobs[-1].body["detail"]
    for _ in range(20):
        world.submit([300.0])
    world.run(5)
    assert world.submit([300.0], deadline_ms=20.0).status == 422
    assert world.submit([300.0], deadline_ms=900.0).status is None
    assert not [j for j in world.jobs if j.status == 422 and j.retry_after_s]


# Retries.


@when("every task of a flood of jobs fails")
def run_failing_flood(context):
    world = World(make_agents())
    for number in range(20):
        world.at(number / 4, lambda: world.submit([50.0] * 20))
    for number in range(400):
        world.at(number / 80, lambda: world.submit(
            [20.0], outcome="fail", deadline_ms=200.0))  # fmt: skip
    world.run(10)
    context.world = world


@then("retries stay within the reserve and the share of successes")
def check_retry_budget(context):
    counts = begun_times(context.world).values()
    retries = sum(count - 1 for count in counts)
    assert 0 < retries <= SLOTS + 0.1 * 400, retries
    assert max(counts) <= 3


@then("no try starts that can't end before its deadline")
def check_retry_deadline(context):
    world = World(make_agents())
    for _ in range(20):
        world.submit([150.0])
    world.run(2)
    fake = world.submit([150.0], outcome="fail", deadline_ms=250.0)
    world.run(4)
    assert fake.status == 502
    assert begun_times(world)[(fake.job.job_id.value, 0)] == 1


@when("a worker fails one task")
def fail_one_task(context):
    world = World(make_agents(6))
    for agent in world.agents.values():
        agent.mode = "fail"
    fake = world.submit([50.0])
    world.run(0.0008)
    for agent in world.agents.values():
        if not agent.running:
            agent.mode = "ok"
    world.run(2)
    context.world, context.fake = world, fake


@then("its second attempt begins in another failure domain")
def check_other_domain(context):
    world = context.world
    assert context.fake.status == 200
    domains = [world.agents[agent].domain for _, _, agent in world.begun]
    assert len(domains) == 2
    assert domains[0] != domains[1]


@then("a retry waits for another agent rather than return to the same")
def check_not_the_same(context):
    world = World(make_agents(2, slots=1))
    world.submit([300.0])
    fake = world.submit([50.0])
    world.run(0.01)
    failing = world.begun[1][2]
    world.agents[failing].mode = "fail"
    other = world.submit([10.0], idempotent=False)
    world.run(2)
    assert fake.status == 200
    assert other.status == 502
    counts = collections.Counter(agent for _, _, agent in world.begun)
    assert counts[failing] == 2, counts


@then("an agent that is lost twice puts the next try off twice")
def check_lost_twice(context):
    kinds = (Kind(name="default", attempt_limit_ms=4000.0),)
    configuration = make_configuration(kinds=kinds)
    world = World(make_agents(2, slots=1), configuration=configuration)
    fake = world.submit([3000.0])
    world.run(0.1)
    agent = world.agents[world.begun[0][2]]
    record = JobRecord(
        job_id=fake.job.job_id.value,
        tasks=(TaskRecord(index=0, attempt=1, state=RecordState.BEGUN),),
    )
    world.usable.discard(agent.agent_id)
    world.book.agent_lost(agent.agent_id)
    world.run(1.5)
    world.join(agent, leased=False, records=(record,))
    world.run(1.6)
    world.book.agent_lost(agent.agent_id)
    world.run(1.5 + 4.0 + LeaderLimits().lease_s - 0.1)
    assert len(world.begun) == 1
    world.run(12)
    assert fake.status == 200
    assert len(world.begun) == 2


# Health.


def run_bad_worker(context, mode):
    world = World(make_agents())
    bad = world.agents["agent-0"]
    world.load(0.6, 30)
    world.run(2)
    bad.mode = mode
    before = bad.started
    world.run(12)
    context.bad_starts = bad.started - before
    bad.mode = "ok"
    world.run(20)
    context.returned_from = bad.started
    world.run(40)
    context.world = world


@when("one worker of 11 fails everything for 10 seconds")
def run_black_hole(context):
    run_bad_worker(context, "fail")


@then("every idempotent job is answered and the worker got few tasks")
def check_black_hole(context):
    assert {j.status for j in context.world.jobs} == {200}
    assert context.bad_starts < 20, context.bad_starts


@then("the worker is used as before once it is well")
def check_returned(context):
    started = context.world.agents["agent-0"].started - context.returned_from
    total = len(context.world.begun)
    assert started > total / 30 / 11 * 10 * 0.5, (started, total)


@when("a worker that fails everything is probed under mixed load")
def run_probes(context):
    world = World(make_agents())
    world.load(0.3, 30)
    world.load(0.3, 30, idempotent=False)
    world.run(2)
    world.agents["agent-0"].mode = "fail"
    world.run(3)
    context.begun_before = len(world.begun)
    world.run(30)
    context.world = world


@then("only idempotent tasks were its probes")
def check_probes(context):
    world = context.world
    jobs = {j.job.job_id.value: j.job for j in world.jobs}
    probes = [
        jobs[job]
        for job, _, agent_id in world.begun[context.begun_before :]
        if agent_id == "agent-0"
    ]
    assert 1 <= len(probes) <= 14, len(probes)
    assert all(job.idempotent for job in probes)


@when("one agent of 11 refuses every start for 5 seconds")
def run_refusing(context):
    context.worlds = [World(make_agents(), seed=seed) for seed in (1, 2, 3, 4)]
    for world in context.worlds:
        world.load(0.5, 10)
        world.run(2)
        world.agents["agent-0"].mode = "refuse"
        world.run(7)
        world.agents["agent-0"].mode = "ok"
        world.run(30)


@then("it was asked few times and every job is answered")
def check_refusing(context):
    refused = [world.agents["agent-0"].refused for world in context.worlds]
    assert max(refused) <= 120, refused
    assert min(refused) >= 1, refused
    assert sum(refused) >= 8 * len(refused), refused
    for world in context.worlds:
        assert {j.status for j in world.jobs} == {200}


@when("an agent that was given up answers after all")
def answer_late(context):
    world = World(make_agents(2, slots=1))
    world.submit([9000.0])
    context.fake = world.submit([1500.0, 9950.0])
    world.run(0.1)
    agent = world.agents[world.begun[1][2]]
    world.usable.discard(agent.agent_id)
    world.book.agent_lost(agent.agent_id)
    world.run(1.4)
    world.join(agent)
    world.run(40)
    context.world = world


@then("the job is complete and its task is not begun again")
def check_late_answer(context):
    assert context.fake.status == 200
    assert 11.3 < context.fake.answered < 11.6
    assert set(begun_times(context.world).values()) == {1}
    assert context.world.policy.order.waiting == 0


@then("a task that waits for a slot is not begun after its late answer")
def check_late_answer_in_queue(context):
    kinds = (Kind(name="default", attempt_limit_ms=1000.0),)
    world = World(
        make_agents(2, slots=1), configuration=make_configuration(kinds=kinds)
    )
    world.submit([5000.0], kind="long")
    fake = world.submit([2000.0, 500.0])
    world.run(0.1)
    agent = world.agents[world.begun[1][2]]
    start = next(iter(agent.running.values()))
    world.usable.discard(agent.agent_id)
    world.book.agent_lost(agent.agent_id)
    world.run(2.0)
    world.join(agent, leased=False)
    world.run(2.0 + LeaderLimits().lease_s)
    assert world.policy.order.waiting == 2
    answer = TaskResult(
        job_id=start.job_id, task=0, attempt=start.attempt, term=start.term,
        verdict="ran", succeeded=True, body=b"late", retained=True,
    )  # fmt: skip
    world.carry_out(world.book.task_result(agent.agent_id, answer))
    world.run(20)
    assert fake.status == 200
    assert set(begun_times(world).values()) == {1}


@when("one worker of 11 answers everything at once for 10 seconds")
def run_instant(context):
    run_bad_worker(context, "instant")


@then("the worker that answers at once got few tasks")
def check_instant(context):
    assert context.bad_starts < 40, context.bad_starts


@when("one job in two fails on every worker")
def run_poison(context):
    world = World(make_agents())
    world.load(0.3, 20, tasks=(1, 3), idempotent=False)
    world.load(0.3, 20, tasks=(1, 3), idempotent=False, outcome="fail")
    world.load(0.05, 20, tasks=(5, 15), outcome="fail")
    world.run(40)
    context.world = world


@then("no worker is left out and the sound jobs are answered")
def check_poison(context):
    health = context.world.policy.health
    assert not any(a.ejections for a in health.agents.values())
    for fake in context.world.jobs:
        failing = b"fail" in fake.job.tasks[0].payload
        assert fake.status == (502 if failing else 200), fake.status


@when("8 workers of 11 fail everything")
def run_many_bad(context):
    context.world = World(make_agents())
    context.world.load(0.3, 10)
    context.world.run(1)
    for number in range(8):
        context.world.agents[f"agent-{number}"].mode = "fail"
    context.most_out = 0
    for step in range(20):
        context.world.run(1 + step / 4)
        out = len(context.world.policy.health.ejected())
        context.most_out = max(context.most_out, out)


@then("at most 3 workers are left out")
def check_share(context):
    assert context.most_out == 3, context.most_out


# Hedging.


@when("one task in a hundred lasts twenty times as long")
def run_stragglers(context):
    context.worlds = []
    for share in (0.0, 0.02):
        configuration = make_configuration(
            kinds=HEDGED, hedge=HedgePolicy(budget_share=share)
        )
        world = World(
            make_agents(), configuration=configuration, straggler_share=0.01
        )
        world.load(0.5, 20)
        world.run(60)
        context.worlds.append(world)


@then("hedges cut the tail, stay in their budget and free their slots")
def check_hedges(context):
    without, hedged = context.worlds
    tails = [quantile(w.ratios(since=2), 0.95) for w in context.worlds]
    assert tails[1] < 0.7 * tails[0], tails
    counts = begun_times(hedged)
    extra = sum(count - 1 for count in counts.values())
    assert 0 < extra <= HEDGE_RESERVE + 0.02 * len(counts)
    assert set(begun_times(without).values()) == {1}
    assert without.cancels == 0
    assert hedged.cancels > 0.5 * extra, (hedged.cancels, extra)
    for load in hedged.book.loads.values():
        assert not load.in_flight
    for agent in hedged.agents.values():
        assert not agent.running


@then("no task is hedged unless its kind and its job allow it")
def check_no_hedge(context):
    for kinds, idempotent in ((HEDGED, False), ((), True)):
        world = World(
            make_agents(),
            configuration=make_configuration(kinds=kinds),
            straggler_share=0.05,
        )
        world.load(0.3, 5, idempotent=idempotent)
        world.run(60)
        assert set(begun_times(world).values()) == {1}


# Cancelling, leaving, losing.


@when("30 % of the jobs are cancelled within one turn")
def run_cancel_wave(context):
    world = World(make_agents())
    for _ in range(100):
        world.submit([1000.0] * 10)
    world.run(0.5)
    context.cancelled = world.jobs[::3][:30]
    for fake in context.cancelled:
        world.cancel(fake)
    context.queued_cancels = world.cancels
    world.run(0.6)
    context.cancels = world.cancels
    world.run(60)
    context.world = world


@then("each agent gets one cancel and every slot is free in the end")
def check_cancel_wave(context):
    assert 0 < context.cancels <= 11, context.cancels
    assert {fake.status for fake in context.cancelled} == {409}
    others = [j for j in context.world.jobs if j not in context.cancelled]
    assert {fake.status for fake in others} == {200}
    for load in context.world.book.loads.values():
        assert not load.in_flight


@then("one cancelled task and one cancelled job leave the rest running")
def check_agent_cancel(context):
    clock = ManualClock()
    identity = AgentIdentity(
        agent_id="a", incarnation=1, service="service", failure_domain="d",
        slots=4, connections=8,
    )  # fmt: skip
    agent = Agent(identity=identity, limits=AgentLimits(), clock=clock)
    agent.promised, agent.leader = Term(1, 1), "entry"
    agent.lease_until = float("inf")
    jobs = [job_id_at(clock.unix_ms(), number).value for number in range(2)]
    for job_id in jobs:
        for task in range(3):
            start = Start(
                term=Term(1, 1), job_id=job_id, task=task, attempt=1,
                time_left_ms=1000,
            )  # fmt: skip
            agent.receive("entry", start)
    cancelled = (CancelledTask(job_id=jobs[0], task=1),
                 CancelledTask(job_id=jobs[1]))  # fmt: skip
    effects = agent.receive(
        "entry", CancelTasks(term=Term(1, 1), tasks=cancelled)
    )
    aborted = {e.key for e in effects if isinstance(e, AbortExchange)}
    refused = {
        (e.message.job_id, e.message.task, e.message.verdict)
        for e in effects
        if isinstance(e, SendToEntry)
    }
    assert aborted == {(jobs[0], 1), (jobs[1], 0)}, aborted
    assert refused == {(jobs[1], t, "not_run") for t in (1, 2)}, refused


@when("one agent of 4 loses its connection three times in 3 seconds")
def run_flapping(context):
    world = World(make_agents(4))
    world.load(0.3, 10)
    agent = world.agents["agent-0"]
    for second in (1, 2, 3):
        world.run(second)
        world.usable.discard("agent-0")
        world.book.agent_lost("agent-0")
        world.run(second + 0.2)
        agent.running.clear()
        agent.queue.clear()
        world.join(agent)
    context.world, context.before = world, agent.started


@then("it is left out until a probe succeeds")
def check_flapping(context):
    world = context.world
    agent = world.agents["agent-0"]
    world.run(4.9)
    assert agent.started == context.before
    assert world.policy.health.ejected() == {"agent-0"}
    world.run(9)
    assert agent.started > context.before + 5
    assert not world.policy.health.ejected()


@when("one backend server drains and another is excluded")
def run_leaving(context):
    world = World(make_agents(4))
    world.load(0.7, 10)
    world.run(2)
    excluding = make_configuration(backends=("agent-[023]",))
    world.book.configure(excluding, "service")
    world.run(2.55)
    world.book.loads["agent-0"].draining = True
    world.run(2.551)
    context.leaving = [world.agents["agent-0"], world.agents["agent-1"]]
    context.before = [agent.started for agent in context.leaving]
    world.run(40)
    context.world = world


@then("neither is sent a start and the jobs are answered")
def check_leaving(context):
    assert [a.started for a in context.leaving] == context.before
    assert {fake.status for fake in context.world.jobs} == {200}


@when("a rack of 3 workers is lost under load")
def run_lost_rack(context):
    world = World(make_agents())
    world.load(0.3, 10)
    world.load(0.3, 10, idempotent=False)
    world.run(5)
    for number in range(3):
        world.lose(f"agent-{number}")
    world.run(60)
    context.world = world


@then("idempotent jobs are answered and no other task runs twice")
def check_lost_rack(context):
    world = context.world
    counts = begun_times(world)
    failed = 0
    for fake in world.jobs:
        if fake.job.idempotent:
            assert fake.status == 200, fake.body
            continue
        key = fake.job.job_id.value
        assert all(counts[(key, i)] <= 1 for i in range(len(fake.true_ms)))
        failed += fake.status == 502
        if fake.status == 502:
            assert fake.body["verdict"] == "may_have_run"
    assert 0 < failed <= 24, failed


@when("a rack of 3 workers is lost under load of a kind that is hedged")
def run_lost_hedged_rack(context):
    never = HedgePolicy(after_factor=100.0)
    world = World(
        make_agents(),
        configuration=make_configuration(kinds=HEDGED, hedge=never),
    )
    world.load(0.5, 10)
    world.run(5)
    context.held = {
        key for number in range(3)
        for key in world.book.loads[f"agent-{number}"].in_flight
    }  # fmt: skip
    context.begun_before = len(world.begun)
    for number in range(3):
        world.lose(f"agent-{number}")
    world.run(60)
    context.world = world


@then("no job waits until the lost attempts have reached their limits")
def check_lost_hedged_rack(context):
    for fake in context.world.jobs:
        assert fake.status == 200, fake.body
        late_s = fake.answered - fake.submitted - max(fake.true_ms) / 1000
        assert late_s < 1.5, late_s


@then("the lost attempts were begun once more, in other failure domains")
def check_hedged_elsewhere(context):
    world = context.world
    counts = begun_times(world)
    assert context.held, context.begun_before
    again = {key for key, count in counts.items() if count > 1}
    assert again <= context.held, again - context.held
    assert max(counts.values()) == 2, counts
    later = world.begun[context.begun_before :]
    for job, task, agent_id in later:
        if (job, task) in context.held:
            assert world.agents[agent_id].domain != "domain-0"


@then("an agent that connects again at once is not hedged")
def check_reconnected(context):
    world = World(
        make_agents(4, slots=1),
        configuration=make_configuration(kinds=HEDGED),
    )
    fake = world.submit([500.0])
    world.run(0.1)
    agent = world.agents[world.begun[0][2]]
    record = JobRecord(
        job_id=fake.job.job_id.value,
        tasks=(TaskRecord(index=0, attempt=1, state=RecordState.BEGUN),),
    )
    world.join(agent, records=(record,))
    world.run(5)
    assert fake.status == 200
    assert len(world.begun) == 1
