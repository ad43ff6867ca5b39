import random

from behave import given
from behave import then
from behave import when
from direct_decisions_steps import BACKEND_INCARNATION
from direct_world_steps import TASK_ROOM
from leaving_steps import late_requests
from leaving_steps import ready_agent

from egretcart.direct.backend.backend import BackendReport
from egretcart.direct.backend.warmup import Warmup
from egretcart.direct.connection.messages import AgentStatus
from egretcart.direct.connection.views import AgentView
from egretcart.direct.policy.placement import Placement
from egretcart.direct.policy.placement import PlacementLimits
from egretcart.direct.policy.placement import PlacementRequest
from egretcart.direct.request.job import Room
from egretcart.direct.request.job import Step
from egretcart.direct.request.progress import ProgressLimits
from egretcart.testing.direct_world import SimulatedDeployment

COLD_S = 4.0
DOMAIN = ("agent-0", "agent-1", "agent-2", "agent-3")
TASKS_PER_SERVER = 10


@given("a server that runs tasks as fast as callers estimate")
def start_warm(context):
    context.warmup = Warmup(limits=ProgressLimits())
    for number in range(20):
        context.warmup.record(f"{number}", 100, 100, since=1.0, now=1.1)


@when("it is cold for 4 s and runs tasks in 2.5 times the estimated time")
def run_cold(context):
    context.warmup.update(4000, 10.0)
    assert context.warmup.slowdown_percent(10.0) == 100
    for number in range(20):
        context.warmup.record(f"c{number}", 250, 100, since=10.5, now=11.0)


@then("its slowdown is close to 250 % while it is cold")
def check_cold_slowdown(context):
    assert 230 <= context.warmup.slowdown_percent(11.0) <= 250


@then("its slowdown is 100 % as before once it is warm")
def check_warm_slowdown(context):
    assert context.warmup.slowdown_percent(14.0) == 100


@then("a run time from before the end of the cold time is not counted")
def check_mixed(context):
    context.warmup.record("mixed", 250, 100, since=13.9, now=14.1)
    assert "mixed" not in context.warmup.warm_slowdown.log_ratios
    context.warmup.record("warm", 100, 100, since=14.0, now=14.1)
    assert "warm" in context.warmup.warm_slowdown.log_ratios


@then("the next cold time begins with what is known of the warm server")
def check_next(context):
    context.warmup.update(4000, 20.0)
    assert context.warmup.slowdown_percent(20.0) == 100
    context.warmup.update(0, 21.0)
    assert not context.warmup.is_cold(21.0)


def cold_agent(cold_for_ms):
    """Return an agent that accepts tasks of four processors, at 1.03 s.

    Its server has 40 processors.
    """
    agent = ready_agent()
    report = BackendReport(
        lifetime=BACKEND_INCARNATION,
        service="service",
        capacity=Room(40, 40, 0),
        clock_ms=5020,
        sequence=1,
        cold_for_ms=cold_for_ms,
    )
    agent.entry_connected("entry-0", 1, 1.01)
    agent.queue.typical_room = Room(4, 4, 0)
    agent.receive_report(report, 1.02)
    return agent


@given("an agent whose server is cold for 4 s more")
def start_cold_agent(context):
    context.agent = cold_agent(4000)
    context.warm_agent = cold_agent(0)


@then("its status tells how long it is cold, and nothing later")
def check_statuses(context):
    assert context.agent.status(0, 1.02).cold_ms == 4000
    assert context.agent.status(0, 3.02).cold_ms == 2000
    status = context.agent.status(0, 5.02)
    assert status == context.warm_agent.status(0, 5.02)
    assert status.cold_ms == 0


def view_of(*, cold_ms=0, free=8, pace_percent=100):
    status = AgentStatus(
        service_name="service",
        accepting=True,
        cpu_milli=16,
        memory_mb=16,
        free_cpu_milli=free,
        free_memory_mb=free,
        pace_percent=pace_percent,
        cold_ms=cold_ms,
    )
    return AgentView(status=status, now=1.0)


@then("a task goes to a cold server only if no warm one has room")
def check_warm_first(context):
    step = Step(count=1, room=Room(4, 4, 0), estimate_ms=100.0)
    request = PlacementRequest(
        step=step, service="service", time_left_ms=10_000
    )
    for warm_free, expected in ((8, "warm"), (0, "cold")):
        for seed in range(10):
            placement = Placement(
                limits=PlacementLimits(),
                far_factor=1.5,
                source=random.Random(seed),
            )
            views = [
                ("cold", view_of(cold_ms=3000, free=16)),
                ("warm", view_of(free=warm_free)),
            ]
            assert placement.choose(request, views) == expected


@then("a long task is expected to be faster once the server is warm")
def check_long_task(context):
    view = view_of(cold_ms=1000, pace_percent=250)
    times = [
        view.run_ms(Step(count=1, room=Room(), estimate_ms=ms), 1.5)
        for ms in (100.0, 400.0, 1400.0)
    ]
    assert times == [250.0, 1000.0, 2000.0], times


def run_return(*, load, reports_times, seed):
    """Play a failure domain that is lost and comes back cold.

    Returns
    -------
    SimulatedDeployment
    list of CallerRequest
        Requests since the domain was lost.
    int
        Most runs at a cold server in the first second.
    """
    world = SimulatedDeployment(
        entries=3, agents=12, seed=seed, speeds=(0.7, 0.7, 1.7)
    )
    for backend in world.backends.values():
        backend.reports_times = reports_times
    world.run(2.0)
    source = random.Random(seed)
    submit_mixture(world, source, load=0.5, seconds=4.0)
    before = len(world.requests)
    for name in DOMAIN:
        world.backends[name].crash()
        effects = world.agents[name].mark_backend_ended("gone", world.now)
        world._apply_agent_effects(name, effects)
    submit_mixture(world, source, load=load, seconds=3.0)
    for name in DOMAIN:
        backend = world.backends[name]
        backend.cold_ms = COLD_S * 1000
        backend.cold_speed = 0.4
        backend.restart(born_ms=int(world.now * 1000))
        world._send_backend_report(name)
    most = 0
    for _ in range(10):
        submit_mixture(world, source, load=load, seconds=0.1)
        running = [len(world.backends[name].runs) for name in DOMAIN]
        most = max(most, *running)
    submit_mixture(world, source, load=load, seconds=COLD_S - 1.0)
    submit_mixture(world, source, load=0.5, seconds=4.0)
    world.run(15.0)
    return world, world.requests[before:], most


def submit_mixture(world, source, *, load, seconds):
    """Submit short and long tasks that use a share of all warm servers."""
    speeds = sum(backend.speed for backend in world.backends.values())
    work_s = 8 * 0.12 + 0.5 * 4 * 1.8
    interval_s = work_s / (load * speeds * TASKS_PER_SERVER)
    end = world.now + seconds
    while world.now + interval_s <= end:
        kinds = ((8, 120), (4, 1800)) if source.random() < 0.5 else ((8, 120),)
        for tasks, work_ms in kinds:
            world.submit(
                tasks=tasks,
                work_ms=work_ms,
                room=TASK_ROOM,
                estimate_ms=work_ms * source.lognormvariate(0, 0.25),
            )
        world.run(interval_s)
    world.run(end - world.now)


@when("four of 12 servers come back cold under a load of {load:g}")
def run_both(context, load):
    context.runs, context.former = (
        [
            run_return(load=load, reports_times=reports_times, seed=seed)
            for seed in range(1, 5)
        ]
        for reports_times in (True, False)
    )


@then("no promise was broken with either rule")
def check_promises(context):
    for world, _, _ in context.runs + context.former:
        assert not world.violations, world.violations[:3]


def count_late(runs):
    return sum(len(late_requests(world, since)) for world, since, _ in runs)


@then("fewer callers get late answers than by the former rule")
def check_fewer_late(context):
    late, former = count_late(context.runs), count_late(context.former)
    assert late <= 0.9 * former, (late, former)


@then("about as many callers get late answers as by the former rule")
def check_no_more_late(context):
    late, former = count_late(context.runs), count_late(context.former)
    assert late <= 1.05 * former, (late, former)
