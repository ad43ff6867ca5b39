"""Steps for backend servers whose speed changes."""

import math

from behave import given
from behave import then
from behave import when

from egretcart.direct.agent.agent_types import DirectAgentLimits
from egretcart.direct.request.held_job import objective_ms
from egretcart.direct.request.job import JobState
from egretcart.direct.request.job import Room
from egretcart.direct.request.progress import ProgressLimits
from egretcart.direct.request.progress import SlowdownEstimate
from egretcart.testing.direct_world import SimulatedDeployment

ESTIMATE_MS = 100.0
TASK_ROOM = Room(1_600, 64, 0)
AGENTS = 9
SLOW_AGENTS = 3
SEEDS = (1, 2)
# Work of a job: tasks, run time of each in milliseconds, and jobs a second.
LOADS = ((8, 120.0, 17.0), (2, 400.0, 45.0))
RULES = {
    "new": ProgressLimits(),
    "today": ProgressLimits(change_factor=math.inf),
    "naive": ProgressLimits(max_slowdown=1.0),
}


@given("a server that has run {count:d} jobs as fast as estimated")
def run_as_estimated(context, count):
    context.slowdown = SlowdownEstimate(limits=ProgressLimits())
    context.number = 0
    run_jobs(context, count, 1.0)


@when("it runs {count:d} jobs as fast as estimated")
def run_again_as_estimated(context, count):
    run_jobs(context, count, 1.0)


@when("it runs {count:d} jobs {factor:g} times slower")
def run_jobs(context, count, factor):
    for _ in range(count):
        context.number += 1
        context.slowdown.record(
            f"job-{context.number}", factor * ESTIMATE_MS, ESTIMATE_MS
        )


@then("its slowdown is above {percent:d} %")
def check_above(context, percent):
    assert context.slowdown.percent() > percent, context.slowdown.percent()


@then("its slowdown is below {percent:d} %")
def check_below(context, percent):
    assert context.slowdown.percent() < percent, context.slowdown.percent()


def play(limits, seed, share, factor, seconds):
    """Play the load; return the share of late answers and the deployment."""
    world = SimulatedDeployment(entries=3, agents=AGENTS, seed=seed)
    world.agent_limits = DirectAgentLimits(progress=limits)
    for name in list(world.agents):
        world._create_agent(name)
    world.run(2.0)
    capacity = AGENTS * (world.capacity.cpu_milli // TASK_ROOM.cpu_milli)
    used = sum(tasks * ms * rate / 1000 for tasks, ms, rate in LOADS)
    scale = share * capacity / used
    for tasks, work_ms, rate in LOADS:
        jobs = round(rate * scale * (seconds + 8))
        for number in range(jobs):
            wrong = world.source.uniform(0.75, 1.3)
            world.schedule(
                number / (rate * scale),
                lambda tasks=tasks, work_ms=work_ms, wrong=wrong: world.submit(
                    tasks=tasks,
                    work_ms=work_ms,
                    room=TASK_ROOM,
                    estimate_ms=work_ms * wrong,
                ),
            )
    slow = list(world.backends.values())[:SLOW_AGENTS]

    def set_speed(speed):
        for backend in slow:
            backend.speed = speed

    world.schedule(3.0, lambda: set_speed(1 / factor))
    world.schedule(3.0 + seconds, lambda: set_speed(1.0))
    world.run(seconds + 12)
    late = sum(
        request.answer is None
        or request.answer.state is not JobState.COMPLETED
        or request.elapsed_s * 1000 > objective_ms(request.job, request.route)
        for request in world.requests
    )
    return late / len(world.requests), world


@when(
    "half of the capacity is used and a third of the servers turn"
    " {factor:g} times slower for {seconds:g} s"
)
def play_all(context, factor, seconds):
    context.late = {}
    for name, limits in RULES.items():
        shares = []
        for seed in SEEDS:
            share, world = play(limits, seed, 0.5, factor, seconds)
            shares.append(share)
            # The last world with violations is checked, if there is one.
            if world.violations or not hasattr(context, "world"):
                context.world = world
        context.late[name] = sum(shares) / len(shares)


@then(
    "fewer answers are late than if a change is not told from wrong estimates"
)
def check_today(context):
    assert context.late["new"] < 0.9 * context.late["today"], context.late


@then("fewer than if speeds are not learned at all")
def check_naive(context):
    assert context.late["new"] < 0.9 * context.late["naive"], context.late
