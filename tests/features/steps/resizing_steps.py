import random

from behave import given
from behave import then
from behave import when
from direct_decisions_steps import agent_with_server
from direct_decisions_steps import BACKEND_INCARNATION
from direct_decisions_steps import listing_at
import msgspec

from egretcart.direct.agent.agent_types import SendStartRequest
from egretcart.direct.agent.agent_types import SendStopRequest
from egretcart.direct.agent.agent_types import SendToEntry
from egretcart.direct.backend.backend import BackendReport
from egretcart.direct.backend.backend import EndedTask
from egretcart.direct.backend.backend import Listing
from egretcart.direct.backend.backend import RunningTask
from egretcart.direct.backend.backend import StartAnswer
from egretcart.direct.connection.messages import RunTasks
from egretcart.direct.connection.messages import TaskEnded
from egretcart.direct.request.job import Ending
from egretcart.direct.request.job import NO_ROOM
from egretcart.direct.request.job import Room
from egretcart.direct.request.job import TaskKey
from egretcart.testing.direct_world import SimulatedDeployment

TASK_ROOM = Room(1600, 64, 0)
FULL = Room(16_000, 65_536, 0)
JOB_ID = "a" * 16


def submit_overload(world, seconds):
    """Submit 1.5 times the work that servers of full capacity can do."""
    interval_s = 4 * 0.4 / (10 * len(world.backends)) / 1.5
    for _ in range(round(seconds / interval_s)):
        world.submit(tasks=4, work_ms=400, room=TASK_ROOM)
        world.run(interval_s)


@given("a deployment of {agents:d} agents with more work than it has capacity")
def start_overloaded(context, agents):
    context.world = SimulatedDeployment(entries=3, agents=agents, seed=agents)
    context.world.run(2.0)
    submit_overload(context.world, 1.0)


@when("servers shrink and grow at random for {seconds:d} s with seed {seed:d}")
def resize_servers(context, seconds, seed):
    world = context.world
    source = random.Random(seed)
    for _ in range(seconds):
        name = source.choice(sorted(world.backends))
        share = source.choice((0.1, 0.3, 0.5, 1.0))
        capacity = Room(
            round(FULL.cpu_milli * share), round(FULL.memory_mb * share), 0
        )
        world.resize_backend(name, capacity)
        submit_overload(world, 1.0)


@then("no server was sent more than it had reported")
def check_limits(context):
    assert not context.world.violations, context.world.violations[:5]


@then("the capacity that has grown is used")
def check_growth(context):
    world = context.world
    for name in world.backends:
        world.resize_backend(name, FULL)
    most = dict.fromkeys(world.backends, 0)
    for _ in range(30):
        submit_overload(world, 0.1)
        for name, backend in world.backends.items():
            used = sum((r.size.room for r in backend.runs.values()), NO_ROOM)
            most[name] = max(most[name], used.cpu_milli)
    assert min(most.values()) == FULL.cpu_milli, most


def task_of(index):
    return TaskKey(JOB_ID, 0, index)


def receive_tasks(context, indexes, now, *, may_wait=True, cpu_milli=1000):
    return context.agent.receive(
        "entry",
        RunTasks(
            sequence=1,
            job_id=JOB_ID,
            indexes=indexes,
            run=1,
            cpu_milli=cpu_milli,
            may_wait=may_wait,
        ),
        now,
    )


def starts(effects):
    return [e.request for e in effects if isinstance(e, SendStartRequest)]


def report_room(context, tasks, sequence, now):
    return context.agent.receive_report(
        BackendReport(
            lifetime=BACKEND_INCARNATION,
            service="service",
            capacity=Room(tasks * 1000, 64, 0),
            clock_ms=5000 + round(now * 1000),
            sequence=sequence,
        ),
        now,
    )


@given("an agent whose server runs four tasks and has room for four")
def start_four(context):
    agent = context.agent = agent_with_server()
    agent.receive_listing(listing_at(1.0), BACKEND_INCARNATION, 1.0, 1.01)
    agent.entry_connected("entry", 1, 1.01)
    report_room(context, 4, 10, 1.01)
    for request in starts(receive_tasks(context, (0, 1, 2, 3), 1.02)):
        agent.start_answered(request, StartAnswer.STARTED, 1.03)
    context.effects = []


@when("the server reports room for two")
def shrink_server(context):
    context.effects += report_room(context, 2, 12, 1.04)


@when("an older report with room for four arrives late")
def deliver_old_report(context):
    context.effects += report_room(context, 4, 11, 1.05)


def list_ended(context, count, now):
    """Receive a listing by which so many of the four runs have ended."""
    return context.agent.receive_listing(
        Listing(
            clock_ms=5000 + round(now * 1000),
            born_ms=BACKEND_INCARNATION.born_ms,
            running=tuple(
                RunningTask(key=task_of(index), run=1, percent=1.0)
                for index in range(count, 4)
            ),
            ended=tuple(
                EndedTask(
                    number=index + 1,
                    key=task_of(index),
                    run=1,
                    ending=Ending.DONE,
                )
                for index in range(count)
            ),
        ),
        BACKEND_INCARNATION,
        now,
        now + 0.001,
    )


@then("no run is stopped, and nothing starts until three have ended")
def check_shrunk(context):
    effects = context.effects + receive_tasks(context, (4,), 1.06)
    for count in (0, 1, 2):
        effects += list_ended(context, count, 1.07 + count / 100)
    assert not starts(effects), effects
    assert not [e for e in effects if isinstance(e, SendStopRequest)]
    assert len(starts(list_ended(context, 3, 1.1))) == 1


@then("a task that no longer fits the server is returned as not run")
def check_too_large(context):
    effects = receive_tasks(context, (5,), 1.11, cpu_milli=3000)
    (ended,) = [
        effect.message
        for effect in effects
        if isinstance(effect, SendToEntry)
        and isinstance(effect.message, TaskEnded)
    ]
    assert ended.ending == Ending.NOT_RUN.value, msgspec.structs.asdict(ended)
