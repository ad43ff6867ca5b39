import collections

from behave import then
from behave import when
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
from policy_fake import make_agents
from policy_fake import make_configuration
from policy_fake import running_jobs
from policy_fake import World

from egretcart.process.policy.ordering import FairTaskQueue
from egretcart.version.document import Team
from egretcart.version.document import UrgencyClass


def classes(**weights):
    return tuple(
        UrgencyClass(name=name, weight=weight, max_wait_ms=1e6)
        for name, weight in weights.items()
    )


def add_job(task_queue, key, work_ms, now):
    task_queue.add_job(
        key, urgency="normal", team="default", work_ms=work_ms, now=now
    )
    for index in range(len(work_ms)):
        task_queue.push((key, index))


@when("a job of one task arrives after a job that waits for a longer task")
def order_two_jobs(context):
    context.task_queue = FairTaskQueue()
    add_job(context.task_queue, b"first", [300.0, 20.0], now=0.0)
    assert context.task_queue.peek() == (b"first", 0)
    context.task_queue.start_next()
    add_job(context.task_queue, b"second", [350.0], now=0.0)
    add_job(context.task_queue, b"later", [350.0], now=1.0)


@then("the first job's short task starts after it but before later jobs")
def check_two_jobs(context):
    started = []
    while (key := context.task_queue.peek()) is not None:
        started.append(key)
        context.task_queue.start_next()
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
    world.job_manager.configure(swapped, "service")
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


@then("the flooding team borrows the idle slots and returns them at once")
def check_quota(context):
    assert context.borrowed == 16, context.borrowed
    quota = sum(job.team == "quota" for job in context.running)
    assert 6 <= quota <= 7, quota
