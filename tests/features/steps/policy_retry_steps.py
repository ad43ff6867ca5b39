import collections

from behave import then
from behave import when
from policy_fake import begun_times
from policy_fake import make_agents
from policy_fake import make_configuration
from policy_fake import SLOTS
from policy_fake import World

from egretcart.connection.agent_messages import JobRecord
from egretcart.connection.agent_messages import TaskRecord
from egretcart.connection.agent_messages import TaskResult
from egretcart.process.agent.ledger import RecordState
from egretcart.process.cell.limits import LeaderLimits
from egretcart.request.progress import TaskState
from egretcart.version.document import Kind
from egretcart.version.document import RetryPolicy


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


@then("retries stay within the initial budget and the share of successes")
def check_retry_budget(context):
    counts = begun_times(context.world).values()
    retries = sum(count - 1 for count in counts)
    assert 0 < retries <= SLOTS + 0.1 * 400, retries
    assert max(counts) <= 3


@then("no attempt starts that cannot end before its deadline")
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


@then("a retry waits for another agent rather than use the same one")
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


@then("an agent that is lost twice delays the retry twice")
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
    world.job_manager.agent_lost(agent.agent_id)
    world.run(1.5)
    world.join(agent, leased=False, records=(record,))
    world.run(1.6)
    world.job_manager.agent_lost(agent.agent_id)
    world.run(1.5 + 4.0 + LeaderLimits().lease_s - 0.1)
    assert len(world.begun) == 1
    world.run(12)
    assert fake.status == 200
    assert len(world.begun) == 2


@when("an agent that was marked as lost answers after all")
def answer_late(context):
    world = World(make_agents(2, slots=1))
    world.submit([9000.0])
    context.fake = world.submit([1500.0, 9950.0])
    world.run(0.1)
    agent = world.agents[world.begun[1][2]]
    world.usable.discard(agent.agent_id)
    world.job_manager.agent_lost(agent.agent_id)
    world.run(1.4)
    world.join(agent)
    world.run(40)
    context.world = world


@then("the job is complete and its task is not begun again")
def check_late_answer(context):
    assert context.fake.status == 200
    assert 11.3 < context.fake.answered < 11.6
    assert set(begun_times(context.world).values()) == {1}
    assert context.world.policy.task_queue.waiting == 0


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
    world.job_manager.agent_lost(agent.agent_id)
    world.run(2.0)
    world.join(agent, leased=False)
    world.run(2.0 + LeaderLimits().lease_s)
    assert world.policy.task_queue.waiting == 2
    answer = TaskResult(
        job_id=start.job_id, task=0, attempt=start.attempt, term=start.term,
        verdict="ran", succeeded=True, body=b"late", retained=True,
    )  # fmt: skip
    world.apply_effects(world.job_manager.task_result(agent.agent_id, answer))
    world.run(20)
    assert fake.status == 200
    assert set(begun_times(world).values()) == {1}


NO_RETRIES = make_configuration(retry=RetryPolicy(budget_share=0.0))


def observed_world(**world):
    """Return a cell that has observed the run times of many tasks."""
    world = World(make_agents(4, slots=1), **world)
    for step in range(400):
        run_ms = 500.0 if step % 4 == 0 else 100.0
        agent_id = f"agent-{step // 4 % 4}"
        world.policy.run_time_estimator.record_run(
            agent_id, "default", None, run_ms
        )
    world.policy.run_time_estimator.agents.clear()
    return world


def running_start(world, number=-1):
    """Return the start message of a running task, and its agent."""
    job, task, agent_id = world.begun[number]
    agent = world.agents[agent_id]
    return agent.running[(job, task)], agent


@when("a cell has seen many tasks of a kind that last 500 ms at most")
def see_many_tasks(context):
    context.limits = []
    for idempotent in (True, False):
        world = observed_world()
        world.submit([300.0], idempotent=idempotent)
        world.run(0.1)
        context.limits.append(running_start(world)[0].time_left_ms)


@then("only first attempts at idempotent tasks are limited to 4 seconds")
def check_first_limits(context):
    first, other = context.limits
    assert 3900 <= first <= 5000, first
    assert other == 10_000, other


@then("a lost attempt is retried once that limit has expired")
def check_limit_over(context):
    world = observed_world()
    fake = world.submit([300.0])
    world.run(0.1)
    start, agent = running_start(world)
    world.lose(agent.agent_id)
    limits = LeaderLimits()
    expired_s = limits.attempt_over_s(start.time_left_ms / 1000)
    world.run(expired_s - 0.05)
    assert len(world.begun) == 1
    world.run(expired_s + 0.1)
    assert len(world.begun) == 2
    assert running_start(world)[0].time_left_ms == 10_000
    world.run(20)
    assert fake.status == 200


@then("a task that the limit stopped is retried even without a budget")
def check_cut_short(context):
    for early in (True, False):
        world = observed_world(configuration=NO_RETRIES)
        fake = world.submit([9000.0])
        world.run(0.1)
        start, agent = running_start(world)
        del agent.running[(start.job_id, start.task)]
        world.run(1.0 if early else start.time_left_ms / 1000 + 0.01)
        world.end(agent, start, "may_have_run", 0.0)
        world.run(30)
        assert fake.status == (502 if early else 200), (early, fake.body)
        assert len(world.begun) == (1 if early else 2)


@then("an adopted attempt counts with the longest limit")
def check_adopted_limit(context):
    world = observed_world()
    fake = world.submit([300.0])
    world.run(0.1)
    _, agent = running_start(world)
    other = next(a for a in world.agents.values() if a is not agent)
    record = JobRecord(
        job_id=fake.job.job_id.value,
        tasks=(TaskRecord(index=0, attempt=5, state=RecordState.BEGUN),),
    )
    task = next(iter(world.job_manager.jobs.values())).tasks[0]
    task.state = TaskState.WAITING
    world.lose(other.agent_id)
    other.mode = "ok"
    world.join(other, records=(record,))
    assert (task.attempt, task.agent_id) == (5, other.agent_id)
    assert task.time_limit_s == 0.0
