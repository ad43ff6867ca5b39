import random

from behave import given
from behave import then
from behave import when
from hypothesis import given as drawn
from hypothesis import strategies
from late_binding_steps import entry_with_agent
from late_binding_steps import job
from late_binding_steps import sent_to_agent
from late_load_steps import LoadedDeployment
from late_load_steps import ROUTES
from late_load_steps import SPEEDS
from late_load_steps import TASK_ROOM

from egretcart.direct.connection.messages import Beat
from egretcart.direct.connection.messages import RunTasks
from egretcart.direct.entry.entry_types import Answer

ESTIMATE_MS = 400.0
WAIT_S = 0.5
TICK_S = 0.05
LOAD_SECONDS = 2.0
LOAD_SHARE = 1.6
PLACES = 6 * 10 * sum(SPEEDS) / len(SPEEDS)
MIN_RETRY_S = 1.0


def answers_in(effects):
    return [effect for effect in effects if isinstance(effect, Answer)]


def advance(entry, now, until):
    """Tick an entry and return its answers, each with its time."""
    answers = []
    while now + TICK_S <= until:
        now += TICK_S
        entry.receive("agent", Beat(), now)
        answers += [(now, answer) for answer in answers_in(entry.tick(now))]
    return answers


@given("an entry whose agents are fully occupied")
def prepare_occupied(context):
    context.entry = entry_with_agent(free=0)


@when("a caller that waits for less than its latency objective submits a job")
def submit_impatient(context):
    context.entry.submit(1, *job(estimate_ms=ESTIMATE_MS), 1.0)
    assert context.entry.jobs, "it is accepted at first"
    context.entry.cancel("a" * 16, 1.0)
    effects = context.entry.submit(
        2, *job("b" * 16, estimate_ms=ESTIMATE_MS), 1.0, wait_limit_s=WAIT_S
    )
    assert not answers_in(effects)
    assert context.entry.jobs["b" * 16].due_at > 1.0 + WAIT_S
    context.answers = advance(context.entry, 1.0, 1.0 + WAIT_S)


@then("it is refused as not run before it leaves, and not before it has to be")
def check_told(context):
    [(at, answer)] = context.answers
    assert answer.request_id == 2
    assert answer.state is None
    assert not answer.interrupted
    begin_until = 1.0 + WAIT_S - ESTIMATE_MS / 2 / 1000
    assert begin_until - 2 * TICK_S < at <= begin_until, at


@then("it is told when to come back")
def check_retry(context):
    [(_, answer)] = context.answers
    assert answer.retry_after_s >= MIN_RETRY_S


@when(
    "callers that leave after 0.3 to 3 times their run time share {agents:d} "
    "agents"
)
def play_impatient(context, agents):
    world = context.world = LoadedDeployment(
        entries=4, agents=agents, seed=1, speeds=SPEEDS
    )
    source = random.Random(1)
    world.run(2.0)
    begin, work_s = world.now, 0.0
    while world.now - begin < LOAD_SECONDS:
        while work_s < (world.now - begin) * PLACES * LOAD_SHARE:
            tasks = source.choice((1, 2, 4, 8, 16))
            work_ms = source.choice((120, 400, 1800))
            work_s += tasks * work_ms / 1000
            world.submit(
                tasks=tasks,
                work_ms=work_ms,
                room=TASK_ROOM,
                estimate_ms=work_ms * source.uniform(0.6, 1.4),
                route=ROUTES["first" if work_ms == 120 else "last"],
                wait_limit_s=work_ms / 1000 * source.uniform(0.3, 3.0),
            )
        world.run(source.uniform(0.004, 0.016))
    world.run(8.0)


def started_jobs(world):
    return {
        key.job_id
        for backend in world.backends.values()
        for key, _ in backend.started
    }


@then("no caller that left was waiting for a job that never began")
def check_left(context):
    left = [one for one in context.world.requests if one.caller_disconnected]
    begun = started_jobs(context.world)
    never = [one for one in left if one.job.job_id not in begun]
    assert left
    assert not never, (len(never), len(left))


@then("no job that had begun was refused")
def check_not_refused(context):
    assert not context.world.violations
    refused = [
        one
        for one in context.world.requests
        if one.answer is not None and one.answer.state is None
    ]
    assert refused
    assert not {one.job.job_id for one in refused} & started_jobs(
        context.world
    )


@then(
    "a job begins at once if it fits, or is refused before its caller leaves"
)
@drawn(
    wait_s=strategies.floats(0.06, 3.0),
    estimate_ms=strategies.floats(1.0, 3000.0),
    free=strategies.integers(0, 40),
    tasks=strategies.integers(1, 4),
)
def check_any_wait(context, wait_s, estimate_ms, free, tasks):
    entry = entry_with_agent(free=free)
    effects = entry.submit(
        1,
        *job(estimate_ms=estimate_ms, tasks=tasks),
        1.0,
        wait_limit_s=wait_s,
    )
    begun = sent_to_agent(effects, RunTasks)
    answers = [(1.0, one) for one in answers_in(effects)]
    answers += advance(entry, 1.0, 1.0 + wait_s)
    if free >= 10:
        assert begun
        assert not answers
        return
    assert not begun
    [(at, answer)] = answers
    assert at <= 1.0 + wait_s
    assert answer.state is None
    assert not answer.interrupted
    assert answer.retry_after_s >= MIN_RETRY_S
