from behave import then
from behave import when
from policy_fake import make_agents
from policy_fake import World


def run_bad_worker(context, mode):
    world = World(make_agents())
    failing = world.agents["agent-0"]
    world.load(0.6, 30)
    world.run(2)
    failing.mode = mode
    before = failing.started
    world.run(12)
    context.bad_starts = failing.started - before
    failing.mode = "ok"
    world.run(20)
    context.started_before_return = failing.started
    world.run(40)
    context.world = world


@when("one worker of 11 fails everything for 10 seconds")
def run_black_hole(context):
    run_bad_worker(context, "fail")


@then("every idempotent job is answered and the worker got few tasks")
def check_black_hole(context):
    assert {j.status for j in context.world.jobs} == {200}
    assert context.bad_starts < 20, context.bad_starts


@then("the worker is used as before once it works again")
def check_returned(context):
    started = (
        context.world.agents["agent-0"].started - context.started_before_return
    )
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


@then("only idempotent tasks were used as probes")
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


@then("it got few starts and every job is answered")
def check_refusing(context):
    refused = [world.agents["agent-0"].refused for world in context.worlds]
    assert max(refused) <= 120, refused
    assert min(refused) >= 1, refused
    assert sum(refused) >= 8 * len(refused), refused
    for world in context.worlds:
        assert {j.status for j in world.jobs} == {200}


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


@then("no worker is ejected and the other jobs are answered")
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
    context.max_ejected = 0
    for step in range(20):
        context.world.run(1 + step / 4)
        ejected = len(context.world.policy.health.ejected())
        context.max_ejected = max(context.max_ejected, ejected)


@then("at most 3 workers are ejected")
def check_share(context):
    assert context.max_ejected == 3, context.max_ejected


@when("one agent of 4 loses its connection three times in 3 seconds")
def run_flapping(context):
    world = World(make_agents(4))
    world.load(0.3, 10)
    agent = world.agents["agent-0"]
    for second in (1, 2, 3):
        world.run(second)
        world.usable.discard("agent-0")
        world.job_manager.agent_lost("agent-0")
        world.run(second + 0.2)
        agent.running.clear()
        agent.queue.clear()
        world.join(agent)
    context.world, context.before = world, agent.started


@then("it is ejected until a probe succeeds")
def check_flapping(context):
    world = context.world
    agent = world.agents["agent-0"]
    world.run(4.9)
    assert agent.started == context.before
    assert world.policy.health.ejected() == {"agent-0"}
    world.run(9)
    assert agent.started > context.before + 5
    assert not world.policy.health.ejected()
