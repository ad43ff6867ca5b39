import random

from behave import then
from behave import when
from policy_fake import make_agents
from policy_fake import quantile
from policy_fake import World

from egretcart.process.policy.estimates import MovingAverageEstimator
from egretcart.version.document import Kind


@when("a cell with 3 slow workers of 11 runs at 80 % under both policies")
def run_slow_workers(context):
    context.p99 = []
    for naive in (True, False):
        world = World(make_agents(slow=3), naive=naive)
        world.load(0.8, 20)
        world.run(40)
        context.p99.append(quantile(world.ratios(since=3), 0.99))


@then("the policy's p99 is less than 0.7 of the naive policy's p99")
def check_slow_workers(context):
    naive, standard = context.p99
    assert standard < 0.7 * naive, context.p99


def estimated_world(slow, fast):
    """Return a cell with slots of two speeds, which its estimates know."""
    world = World([
        *make_agents(1, slow=1, slots=slow),
        *make_agents(2, slots=fast)[1:],
    ])  # fmt: skip
    for step in range(400):
        agent_id = f"agent-{step % 2}"
        run_ms = 100.0 if step % 2 else 400.0
        world.policy.run_time_estimator.record_run(
            agent_id, "default", 100.0, run_ms
        )
    return world


@when("three long tasks and a short one of a job find a slow worker free")
def run_long_and_short(context):
    world = estimated_world(slow=2, fast=2)
    run_ms = [400.0, 400.0, 400.0, 80.0]
    context.fake = world.submit(run_ms, declared_ms=run_ms)
    world.run(5)
    context.world = world


@then("the slow worker gets the short task and no long one")
def check_long_and_short(context):
    slow = [task for _, task, agent in context.world.begun if agent[-1] == "0"]
    assert slow == [3], context.world.begun
    assert context.fake.answered < 0.85, context.fake.answered


@then("two slow slots are used at once by a job that would wait long")
def check_long_job(context):
    world = estimated_world(slow=2, fast=2)
    world.submit([100.0] * 40, declared_ms=[100.0] * 40)
    world.run(0.01)
    assert len(world.agents["agent-0"].running) == 2


@then("consistent declarations are followed and random ones are not")
def check_declared(context):
    rng = random.Random(5)
    estimator = MovingAverageEstimator(find_kind=lambda name: Kind(name=name))
    for _ in range(300):
        run_ms = rng.choice([20.0, 100.0, 500.0, 2500.0])
        estimator.record_run("a", "exact", run_ms * 3, run_ms)
        estimator.record_run(
            "a", "random", rng.choice([1.0, 1e3, 1e5]), run_ms
        )
    for run_ms in (20.0, 2500.0):
        expected = estimator.expected_task_ms("exact", run_ms * 3)
        assert run_ms / 1.5 < expected < run_ms * 1.5, expected
    random_ratio = estimator.expected_task_ms(
        "random", 1e5
    ) / estimator.expected_task_ms("random", 1.0)
    assert random_ratio < 10, random_ratio
