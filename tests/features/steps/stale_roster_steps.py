import json

from behave import given
from behave import then
from behave import when
from simulated_world import CELL
from simulated_world import SUBMIT
from simulated_world import World


@given("a cell of one agent")
def make_cell(context):
    world = World(entries=2, agents=1, skews=[0.0], rates=[1.0])
    world.run(5.0)
    context.world, context.agent = world, world.agents["a0"]
    (context.leader,) = world.leaders()
    (context.other,) = set(world.entries.values()) - {context.leader}


@given("a cell that grew from one agent to 3, unknown to one entry")
def grow_cell(context):
    make_cell(context)
    world = context.world
    world.follow_store(context.other)
    for _ in range(2):
        agent = world.add_agent()
        world.cut_off(agent, [context.other], kept=0)
    world.run(8.0)
    assert len(world.stored_roster.members) == 3
    assert len(context.other.core.rosters[CELL].members) == 1


def restart_agent(context):
    context.agent.kill()
    context.agent.start()
    context.world.run(6.0)


@when("the first agent restarts and only that entry can reach it")
def restart_partitioned_agent(context):
    world = context.world
    world.platform_mode = "down"
    world.cut_off(context.leader, [context.other, context.agent], kept=0)
    restart_agent(context)


@when("the agent restarts")
def restart_alone(context):
    restart_agent(context)


@when("the store is down and the agent restarts")
def restart_without_store(context):
    context.world.platform_mode = "down"
    restart_agent(context)


@when("the store answers again")
def restore_store(context):
    context.world.heal()
    context.world.run(6.0)


@when("the store answers that entry")
def restore_platform(context):
    context.world.platform_mode = "up"
    context.world.run(3.0)


def submit(context):
    """Submit one job to all entries; a double start fails the simulation."""
    world = context.world
    job = world.make_job(ahead_s=0.0, tasks=1, idempotent=False)
    for entry in world.entries.values():
        world.request(entry, SUBMIT, job)
    world.run(1.0)
    return job


@then("a job that is submitted to both entries starts once")
def check_once(context):
    job = submit(context)
    assert context.world.started_tasks(SUBMIT, job) == {0}


@then("a new job is not started")
def check_none(context):
    assert not context.world.started_tasks(SUBMIT, submit(context))


@then("a new job is answered")
def check_answered(context):
    job = submit(context)
    replies = [
        r.reply for r in context.world.requests.values() if r.job is job
    ]
    assert json.loads(replies[0].body)["state"] == "complete"


@then("that entry adopts the newer roster")
def check_roster(context):
    known = context.other.core.rosters[CELL]
    assert known.version == context.world.stored_roster.version
