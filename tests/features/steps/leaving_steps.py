import random

from behave import given
from behave import then
from behave import when
from direct_decisions_steps import agent_with_server
from direct_decisions_steps import BACKEND_INCARNATION
from direct_decisions_steps import listing_at
from direct_world_steps import COMPLETION_WAIT_S
from direct_world_steps import inject_fault
from direct_world_steps import TASK_ROOM
from hypothesis import given as given_examples
from hypothesis import strategies
import msgspec

from egretcart.direct.agent.agent_types import SendToEntry
from egretcart.direct.backend.backend import BackendReport
from egretcart.direct.backend.backend import Listing
from egretcart.direct.backend.backend import RunningTask
from egretcart.direct.backend.backend import StartAnswer
from egretcart.direct.connection.messages import AgentHello
from egretcart.direct.connection.messages import AgentStatus
from egretcart.direct.connection.messages import Beat
from egretcart.direct.connection.messages import RunTasks
from egretcart.direct.connection.messages import StopTasks
from egretcart.direct.connection.messages import TaskEnded
from egretcart.direct.connection.messages import TaskLate
from egretcart.direct.connection.views import AgentView
from egretcart.direct.entry.entry import DirectEntry
from egretcart.direct.entry.entry_types import DirectEntryLimits
from egretcart.direct.entry.entry_types import SendToAgent
from egretcart.direct.log.decisions import LeavingRunJudged
from egretcart.direct.log.decisions import NullDecisionLog
from egretcart.direct.policy.admission import estimate_load
from egretcart.direct.policy.leaving import should_move
from egretcart.direct.policy.leaving import ThreatenedRun
from egretcart.direct.policy.placement import Placement
from egretcart.direct.policy.placement import PlacementLimits
from egretcart.direct.policy.placement import PlacementRequest
from egretcart.direct.policy.rescue import ReschedulingLimits
from egretcart.direct.request.job import Job
from egretcart.direct.request.job import JobState
from egretcart.direct.request.job import Room
from egretcart.direct.request.job import Step
from egretcart.direct.request.job import TaskKey
from egretcart.testing.direct_world import DEFAULT_ROUTE
from egretcart.testing.direct_world import SimulatedDeployment

STEP = Step(count=1, room=Room(4, 4, 0), estimate_ms=1000.0)


def messages(effects, kind):
    return [
        (effect.entry_id, effect.message)
        for effect in effects
        if isinstance(effect, SendToEntry) and isinstance(effect.message, kind)
    ]


def ready_agent():
    """Return an agent that accepts tasks, at 1.01 s."""
    agent = agent_with_server()
    agent.receive_listing(listing_at(1.0), BACKEND_INCARNATION, 1.0, 1.01)
    return agent


def leaving_report(now, leaves_in_ms):
    return BackendReport(
        lifetime=BACKEND_INCARNATION,
        service="service",
        capacity=Room(10, 10, 0),
        draining=True,
        leaves_in_ms=leaves_in_ms,
        clock_ms=4000 + round(1000 * now),
        sequence=1,
    )


@given("an agent of three entries whose statuses were sent just now")
def start_connected_agent(context):
    context.agent = ready_agent()
    for number in range(3):
        context.agent.entry_connected(f"entry-{number}", 1, 1.02)
    context.agent.tick(1.03)
    context.now = 1.031


@given(
    "an agent whose run of 1000 ms has listed {percent:d} % after {ran:d} ms"
)
def start_run(context, percent, ran):
    agent = ready_agent()
    agent.entry_connected("entry-0", 1, 1.02)
    tasks = RunTasks(
        sequence=1,
        job_id="a" * 16,
        indexes=(0,),
        run=1,
        cpu_milli=1,
        estimate_ms=1000,
    )
    effects = agent.receive("entry-0", tasks, 1.03)
    request = effects[0].request
    agent.start_answered(request, StartAnswer.STARTED, 1.031)
    context.now = 1.03 + ran / 1000
    context.running = RunningTask(key=request.key, run=1, percent=percent)
    for step in range(1, ran // 40):
        now = 1.03 + step * 0.04
        not_yet = msgspec.structs.replace(context.running, percent=0)
        list_running(agent, not_yet, now)
        agent.tick(now)
    list_running(agent, context.running, context.now)
    context.agent = agent


def list_running(agent, task, now):
    agent.receive("entry-0", Beat(), now)
    listing = Listing(
        clock_ms=4000 + round(1000 * now),
        born_ms=BACKEND_INCARNATION.born_ms,
        running=(task,),
    )
    agent.receive_listing(listing, BACKEND_INCARNATION, now - 0.001, now)


@when("its server reports that it leaves in {leaves} ms")
def report_leaving(context, leaves):
    leaves_in_ms = None if leaves == "no" else int(leaves)
    context.effects = context.agent.receive_report(
        leaving_report(context.now, leaves_in_ms), context.now
    )
    context.ticked = context.agent.tick(context.now)


@then("each entry is told at once that the agent accepts nothing")
def check_told(context):
    told = messages(context.effects, AgentStatus)
    assert {entry_id for entry_id, _ in told} == {
        "entry-0",
        "entry-1",
        "entry-2",
    }
    assert not any(status.accepting for _, status in told)
    context.status = told[0][1]


def capacity_and_place(view):
    load = estimate_load(
        STEP,
        [view],
        service="service",
        queued_cpu_milli_ms=0,
        far_factor=1.5,
    )
    return load.capacity_cpu_milli, load.has_free_capacity


@then("an entry that is told so counts it in no estimate")
def check_no_estimate(context):
    accepting = AgentStatus(
        accepting=True, cpu_milli=10, memory_mb=10, free_cpu_milli=10,
        free_memory_mb=10, service_name="service",
    )  # fmt: skip
    view = AgentView(status=accepting, now=1.0)
    assert view.may_run(STEP, "service")
    assert view.can_begin(STEP.room, "", "service")
    assert capacity_and_place(view) == (10, True)
    view.update(context.status, 1.1)
    assert capacity_and_place(view) == (0, False)
    assert not view.can_begin(STEP.room, "", "service")
    placement = Placement(
        limits=PlacementLimits(), far_factor=1.5, source=random.Random(1)
    )
    request = PlacementRequest(
        step=STEP, service="service", time_left_ms=10_000
    )
    assert placement.choose(request, [("agent", view)]) is None


@then("the entry is {told} that the run may be cut off")
def check_cut_off(context, told):
    late = [m for _, m in messages(context.ticked, TaskLate) if m.leaves_in_ms]
    assert bool(late) == (told == "told"), late


@then("it is told again after 0.2 s, but not before")
def check_told_again(context):
    told_at = []
    for step in range(1, 10):
        now = context.now + step * 0.03
        list_running(context.agent, context.running, now)
        late = messages(context.agent.tick(now), TaskLate)
        if any(message.leaves_in_ms for _, message in late):
            told_at.append(step)
    assert told_at == [7], told_at


@then(
    "a run of 1800 ms, {done:d} % done, that leaves in {leaves:d} ms, with"
    " {elsewhere} elsewhere and a job of {age:d} ms {outcome}"
)
def check_moved(context, done, leaves, elsewhere, age, outcome):
    run = ThreatenedRun(
        whole_ms=1800.0,
        completed_share=done / 100,
        leaves_in_ms=leaves,
        slowdown=1.0,
        elsewhere_slowdown=None
        if elsewhere == "nothing"
        else float(elsewhere),
        objective_ms=1.6 * 1800 + 60,
        job_age_ms=age,
    )
    moved = should_move(run, ReschedulingLimits())
    assert moved == (outcome == "is moved"), run


@then("no run that ends in time or that can't start elsewhere is moved")
def check_never_for_nothing(context):
    @given_examples(
        whole_ms=strategies.floats(1, 10_000),
        share=strategies.floats(0, 1),
        leaves_in_ms=strategies.floats(0, 10_000),
        slowdowns=strategies.tuples(
            strategies.floats(0.1, 10),
            strategies.none() | strategies.floats(0.1, 10),
        ),
        age_ms=strategies.floats(0, 30_000),
    )
    def check(whole_ms, share, leaves_in_ms, slowdowns, age_ms):
        run = ThreatenedRun(
            whole_ms=whole_ms,
            completed_share=share,
            leaves_in_ms=leaves_in_ms,
            slowdown=slowdowns[0],
            elsewhere_slowdown=slowdowns[1],
            objective_ms=1.6 * whole_ms / slowdowns[0] + 60,
            job_age_ms=age_ms,
        )
        if should_move(run, ReschedulingLimits()):
            assert whole_ms * (1 - share) > leaves_in_ms
            assert slowdowns[1] is not None

    check()


def status_of(agent_id, *, room, accepting=True):
    return AgentStatus(
        agent_id=agent_id,
        service_name="service",
        accepting=accepting,
        cpu_milli=16,
        memory_mb=16,
        free_cpu_milli=room,
        free_memory_mb=room,
    )


@given(
    "an entry with four runs at a leaving server and room for two elsewhere"
)
def start_threatened_runs(context):
    entry = DirectEntry(
        entry_id="entry-0",
        limits=DirectEntryLimits(),
        log=NullDecisionLog(),
        source=random.Random(1),
    )
    hello = AgentHello(status=status_of("leaving", room=16), settled=True)
    entry.agent_connected(hello, 1.0)
    step = Step(count=4, room=Room(4, 4, 0), estimate_ms=1800.0)
    job = Job(job_id="a" * 16, payload="", steps=(step,))
    entry.submit(1, job, DEFAULT_ROUTE, 1.0)
    hello = AgentHello(status=status_of("other", room=8), settled=True)
    entry.agent_connected(hello, 1.01)
    leaving = status_of("leaving", room=0, accepting=False)
    entry.receive("leaving", leaving, 1.02)
    context.entry = entry


@when("it is told that all of them may be cut off")
def tell_threatened(context):
    context.stopped = []
    for index in range(4):
        late = TaskLate(
            job_id="a" * 16,
            index=index,
            run=1,
            percent=5,
            whole_ms=1800,
            leaves_in_ms=1500,
        )
        context.stopped += [
            effect.message.indexes[0]
            for effect in context.entry.receive("leaving", late, 1.03)
            if isinstance(effect, SendToAgent)
            and isinstance(effect.message, StopTasks)
        ]


@then("two of them are stopped and start elsewhere, the others stay")
def check_two_moved(context):
    assert context.stopped == [0, 1]
    started = []
    for index in context.stopped:
        ended = TaskEnded(
            job_id="a" * 16, index=index, run=1, ending="stopped"
        )
        effects = context.entry.receive("leaving", ended, 1.05)
        effects += context.entry.dispatch_waiting(1.05)
        started += [
            (effect.agent_id, effect.message.indexes, effect.message.run)
            for effect in effects
            if isinstance(effect, SendToAgent)
            and isinstance(effect.message, RunTasks)
        ]
    assert started == [("other", (0,), 2), ("other", (1,), 2)], started


class MoveLog:
    """Notes what was left of each moved run, and of its server's time."""

    def __init__(self):
        self.world = None
        self.moved = []

    def write(self, decision):
        if not isinstance(decision, LeavingRunJudged) or not decision.moved:
            return
        backend = self.world.backends[decision.agent]
        key = TaskKey(decision.job_id, decision.step, decision.index)
        run = backend.runs.get(key)
        if run is None:
            self.moved.append((0.0, 1.0))
            return
        left_ms = (run.size.work_ms - run.completed_ms) / backend.speed
        self.moved.append((left_ms, backend.leaves_at_ms - backend.clock_ms))


def leave(world, name, *, notice_s, stays_s, away_s):
    """Have a backend server leave, and another incarnation come later."""
    backend = world.backends[name]
    backend.draining = True
    backend.leaves_at_ms = backend.clock_ms + notice_s * 1000
    world._send_backend_report(name)

    def end():
        backend.crash()
        effects = world.agents[name].mark_backend_ended("it ends", world.now)
        world._apply_agent_effects(name, effects)

    def come_back():
        backend.draining = False
        backend.restart(born_ms=int(world.now * 1000))
        world._send_backend_report(name)

    world.schedule(notice_s + stays_s, end)
    world.schedule(notice_s + stays_s + away_s, come_back)


def run_leaving(*, reports_times, seed):
    """Return a deployment whose servers left in turn, and its moves."""
    log = MoveLog()
    world = SimulatedDeployment(
        entries=3, agents=14, seed=seed, speeds=(0.7, 0.7, 1.7), log=log
    )
    log.world = world
    for backend in world.backends.values():
        backend.reports_times = reports_times
    world.run(2.0)
    source = random.Random(seed)
    for number in range(8):
        for name in (
            f"agent-{2 * number % 14}",
            f"agent-{2 * number % 14 + 1}",
        ):
            stays_s = source.uniform(0, 0.5)
            leave(world, name, notice_s=2.0, stays_s=stays_s, away_s=1.0)
        submit_mixture(world, source, seconds=4.0)
    world.run(12.0)
    return world, log


def submit_mixture(world, source, *, seconds):
    """Submit wide jobs of short tasks and jobs of long ones, at 66 %."""
    for _ in range(int(seconds / 0.05)):
        kinds = ((8, 120), (4, 1800)) if source.random() < 0.5 else ((8, 120),)
        for tasks, work_ms in kinds:
            world.submit(
                tasks=tasks,
                work_ms=work_ms,
                room=TASK_ROOM,
                estimate_ms=work_ms * source.lognormvariate(0, 0.25),
            )
        world.run(0.05)


def late_requests(world, requests):
    """Return the requests that were not answered within their objective."""
    return [
        request
        for request in requests
        if request.answer is None
        or request.answer.state is not JobState.COMPLETED
        or request.elapsed_s
        > 0.06 + 1.6 * world.task_behaviours[request.job.job_id].work_ms / 1000
    ]


@when("pairs of 14 servers leave in turn with a notice of 2 s")
def run_both(context):
    seeds = (2, 5, 9)
    context.runs = [run_leaving(reports_times=True, seed=s) for s in seeds]
    context.former = [run_leaving(reports_times=False, seed=s) for s in seeds]


@then("no promise of either deployment was broken")
def check_promises(context):
    for world, _ in context.runs + context.former:
        assert not world.violations, world.violations[:3]


@then("no run was moved that would have ended before its server left")
def check_needed_moves(context):
    moved = [move for _, log in context.runs for move in log.moved]
    assert moved
    needless = [move for move in moved if move[0] <= move[1]]
    assert not needless, (len(moved), needless)


@then("two fifths fewer callers get late answers than if each run stays")
def check_fewer_late(context):
    late = sum(
        len(late_requests(world, world.requests)) for world, _ in context.runs
    )
    former = sum(
        len(late_requests(world, world.requests))
        for world, _ in context.former
    )
    assert late <= 0.6 * former, (late, former)


def run_leaving_with_faults(seed):
    log = MoveLog()
    world = SimulatedDeployment(
        entries=3, agents=7, seed=seed, speeds=(1.4, 1.4, 0.6), log=log
    )
    log.world = world
    source = random.Random(seed)
    for backend in world.backends.values():
        backend.cold_speed = 0.4
        backend.cold_ms = 2000
    world.run(2.0)
    for number in range(300):
        work_ms = source.choice([60, 120, 400, 1800, 1800])
        world.submit(
            tasks=source.choice([1, 2, 4, 8]),
            work_ms=work_ms,
            room=TASK_ROOM,
            estimate_ms=work_ms * source.lognormvariate(0, 0.4),
        )
        world.run(0.04)
        inject_fault(world, source)
        if number % 40 == 20:
            name = source.choice(list(world.backends))
            backend = world.backends[name]
            if backend.is_up and backend.leaves_at_ms is None:
                stays_s = source.uniform(0, 0.5)
                leave(world, name, notice_s=1.5, stays_s=stays_s, away_s=1.0)
    world.unanswered = 0
    world.run(COMPLETION_WAIT_S)
    return world, log


@when("deployments whose servers leave run random faults of seeds 3, 9 and 10")
def run_seeds_with_faults(context):
    context.runs = [run_leaving_with_faults(seed) for seed in (3, 9, 10)]


@then("no promise was broken, all callers have answers, and runs were moved")
def check_faults(context):
    for world, _ in context.runs:
        assert not world.violations, world.violations[:3]
        unanswered = [
            request
            for request in world.requests
            if request.answer is None and not request.caller_disconnected
        ]
        assert not unanswered, unanswered[:3]
    assert any(log.moved for _, log in context.runs)
