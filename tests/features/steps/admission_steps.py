import math
import random

from behave import then
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies

from egretcart.direct.connection.messages import AgentHello
from egretcart.direct.connection.messages import AgentStatus
from egretcart.direct.connection.messages import RunTasks
from egretcart.direct.connection.messages import TaskEnded
from egretcart.direct.connection.views import AgentView
from egretcart.direct.entry.entry import DirectEntry
from egretcart.direct.entry.entry_types import Answer
from egretcart.direct.entry.entry_types import DirectEntryLimits
from egretcart.direct.entry.entry_types import SendToAgent
from egretcart.direct.log.decisions import NullDecisionLog
from egretcart.direct.policy.admission import AdmissionLimits
from egretcart.direct.policy.admission import Backlog
from egretcart.direct.policy.admission import estimate_load
from egretcart.direct.policy.admission import LoadEstimate
from egretcart.direct.policy.admission import retry_after_s
from egretcart.direct.policy.arrivals import ArrivalRates
from egretcart.direct.request.job import Job
from egretcart.direct.request.job import Room
from egretcart.direct.request.job import Step
from egretcart.direct.version.configuration import Route

STEP = Step(count=1, room=Room(4, 4, 0), estimate_ms=100.0)


def load(**changes):
    fields = {
        "capacity_cpu_milli": 16000.0,
        "queued_cpu_milli_ms": 0.0,
        "run_ms": 100.0,
    }
    return LoadEstimate(**{**fields, **changes})


LIMITS = AdmissionLimits()
# The time until its latency objective of a job that will be late.
NO_TIME_MS = 0.0


@then("a job is never refused while there is free capacity for all its tasks")
def check_free_capacity(context):
    @given(
        strategies.integers(1, 32),
        strategies.floats(0, 1e9),
        strategies.floats(1, 1e6),
        strategies.floats(-1e5, 1e5),
        strategies.floats(-1e5, 1e5),
        strategies.booleans(),
    )
    def check_property(tasks, waiting, run, on_time, useful, is_accepted):
        estimate = load(
            tasks=tasks,
            free_places=tasks,
            queued_cpu_milli_ms=waiting,
            run_ms=run,
        )
        assert estimate.wait_ms == estimate.late_wait_ms == 0
        assert (
            retry_after_s(
                estimate, on_time, useful, LIMITS, is_accepted=is_accepted
            )
            is None
        )

    check_property()


@then("free capacity for some tasks of a job only shortens its wait")
def check_some_capacity(context):
    waits = [
        load(tasks=16, free_places=places, task_cpu_milli_ms=320_000.0).wait_ms
        for places in (0, 1, 15, 16)
    ]
    assert waits == [320.0, 300.0, 20.0, 0.0], waits


@then("a job is refused once two thirds of its useful time are not enough")
def check_useful_share(context):
    useful_ms = 600.0
    enough = load(queued_cpu_milli_ms=16000.0 * 300)
    scarce = load(queued_cpu_milli_ms=16000.0 * 310)
    assert retry_after_s(enough, NO_TIME_MS, useful_ms, LIMITS) is None
    assert retry_after_s(scarce, NO_TIME_MS, useful_ms, LIMITS) is not None


@then("a job that was accepted is refused only when no time is left")
def check_accepted(context):
    estimate = load(queued_cpu_milli_ms=16000.0 * 490)
    assert (
        retry_after_s(estimate, NO_TIME_MS, 600.0, LIMITS, is_accepted=True)
        is None
    )
    estimate = load(queued_cpu_milli_ms=16000.0 * 510)
    assert (
        retry_after_s(estimate, NO_TIME_MS, 600.0, LIMITS, is_accepted=True)
        is not None
    )


@then("the time after which to retry is between its bounds")
def check_bounds(context):
    no_capacity = load(capacity_cpu_milli=0.0)
    assert (
        retry_after_s(no_capacity, NO_TIME_MS, 600.0, LIMITS)
        == LIMITS.max_retry_s
    )
    soon = load(queued_cpu_milli_ms=16000.0 * 310)
    assert retry_after_s(soon, NO_TIME_MS, 600.0, LIMITS) == LIMITS.min_retry_s


@then("a job waits longer, the more urgent work arrives meanwhile")
def check_arriving(context):
    busy = Backlog(ahead_cpu_milli_ms=1_600_000, arriving_cpu_milli=12_000)
    calm = Backlog(ahead_cpu_milli_ms=1_600_000)
    assert load(on_time=calm, late=calm).wait_ms == 100.0
    assert load(on_time=busy, late=busy).wait_ms == 400.0
    estimate = load(on_time=calm, late=busy)
    assert (estimate.wait_ms, estimate.late_wait_ms) == (100.0, 400.0)
    # On time in three quarters of 300 ms; too late to be of use.
    assert retry_after_s(estimate, 300.0, 600.0, LIMITS) is None
    assert retry_after_s(estimate, 250.0, 600.0, LIMITS) is not None
    flooded = Backlog(ahead_cpu_milli_ms=1_600_000, arriving_cpu_milli=99_999)
    assert math.isfinite(load(on_time=flooded).wait_ms)


@then("arriving work counts by its priority and less the older it is")
def check_arrival_rates(context):
    rates = ArrivalRates(window_s=1.0)
    rates.record(0, 1_000_000.0, 5.0)
    rates.record(1, 3_000_000.0, 5.0)
    assert rates.cpu_milli(5.0) == 4000.0
    assert rates.cpu_milli(5.0, before=1) == 1000.0
    assert rates.cpu_milli(5.0, before=0) == 0.0
    assert math.isclose(rates.cpu_milli(7.0), 4000.0 * math.exp(-2))


def view_of(cpu_milli, *, free_cpu_milli=0):
    """Return the view of an agent; without capacity it knows no server."""
    status = AgentStatus(
        agent_id="agent",
        accepting=cpu_milli > 0,
        cpu_milli=cpu_milli,
        memory_mb=cpu_milli,
        free_cpu_milli=free_cpu_milli,
    )
    return AgentView(status=status, now=0.0)


def discovering(views, discovery_wait_ms):
    backlog = Backlog(ahead_cpu_milli_ms=50_000.0)
    return estimate_load(
        STEP,
        views,
        now=0.0,
        critical_path_ms=STEP.estimate_ms,
        on_time=backlog,
        late=backlog,
        far_factor=1.5,
        task_spread=0.15,
        discovery_wait_ms=discovery_wait_ms,
    )


@then("agents that still discover their servers count as much as the others")
def check_undiscovered_capacity(context):
    views = [view_of(100)] + [view_of(0)] * 4

    def wait_ms(discovery_wait_ms):
        return discovering(views, discovery_wait_ms).wait_ms

    # The work ahead and the job's own task, on 100 or on 500.
    assert wait_ms(None) == 504.0
    assert wait_ms(300.0) == 504.0 / 5
    no_capacity = discovering(views[1:], 300.0)
    assert no_capacity.wait_ms == 300.0
    assert retry_after_s(no_capacity, NO_TIME_MS, 410.0, LIMITS) is None
    assert retry_after_s(no_capacity, NO_TIME_MS, 390.0, LIMITS) is not None


# At one entry, without a network.

AGENT_PLACES = 4
ENTRY_TICKS = 200
JOBS = strategies.lists(
    strategies.tuples(
        strategies.integers(1, 32),
        strategies.sampled_from([60.0, 200.0, 900.0]),
        strategies.integers(0, 2),
        strategies.integers(0, 20),
    ),
    min_size=1,
    max_size=40,
)


class LonelyEntry:
    """An entry whose agents start tasks and end them after their time.

    Attributes
    ----------
    answers : dict of int to list of Answer
        All answers, by request.
    ends : list of (float, str, TaskEnded)
        Runs in progress: when they end, at which agent, the message.
    refused_with_room : list of int
        Requests of jobs that were refused on arrival while there was free
        capacity for all of their tasks.
    begun : set of int
        Requests of jobs of which a task has begun.
    """

    def __init__(self, agents):
        self.entry = DirectEntry(
            entry_id="entry",
            limits=DirectEntryLimits(),
            log=NullDecisionLog(),
            source=random.Random(1),
        )
        self.now = 1.0
        self.answers = {}
        self.ends = []
        self.refused_with_room = []
        self.begun = set()
        self.entry.tick(self.now)
        self.agent_ids = [f"agent-{number}" for number in range(agents)]
        for agent_id in self.agent_ids:
            hello = AgentHello(status=self.status(agent_id))
            self.apply(self.entry.agent_connected(hello, self.now))
        for _ in range(40):
            self.advance()

    def status(self, agent_id, sequence=0):
        running = sum(end[1] == agent_id for end in self.ends)
        return AgentStatus(
            agent_id=agent_id,
            accepting=True,
            cpu_milli=4 * AGENT_PLACES,
            memory_mb=4 * AGENT_PLACES,
            free_cpu_milli=4 * (AGENT_PLACES - running),
            free_memory_mb=4 * (AGENT_PLACES - running),
            sequence=sequence,
        )

    def apply(self, effects):
        for effect in effects:
            if isinstance(effect, Answer):
                self.answers.setdefault(effect.request_id, []).append(effect)
            elif isinstance(effect, SendToAgent) and isinstance(
                effect.message, RunTasks
            ):
                self.run_tasks(effect.agent_id, effect.message)

    def run_tasks(self, agent_id, tasks):
        running = sum(end[1] == agent_id for end in self.ends)
        for index in tasks.indexes:
            fits = running < AGENT_PLACES
            running += fits
            if fits:
                self.begun.add(int(tasks.job_id, 16))
            ended = TaskEnded(
                job_id=tasks.job_id,
                step=tasks.step,
                index=index,
                run=tasks.run,
                ending="done" if fits else "not_run",
            )
            delay_s = tasks.estimate_ms / 1000 if fits else 0.0
            self.ends.append((self.now + delay_s, agent_id, ended))

    def submit(self, request_id, tasks, estimate_ms, priority):
        job = Job(
            job_id=f"{request_id:016x}",
            payload="",
            steps=(
                Step(count=tasks, room=STEP.room, estimate_ms=estimate_ms),
            ),
        )
        places = sum(
            view.free.count_fitting(STEP.room, tasks)
            for view in self.entry.agents.values()
        )
        self.apply(
            self.entry.submit(request_id, job, route_of(priority), self.now)
        )
        if places >= tasks and request_id in self.answers:
            self.refused_with_room.append(request_id)

    def overdue(self):
        """Return jobs that wait though no answer can be of use any more."""
        return [
            held
            for held in self.entry.jobs.values()
            if not held.has_begun
            and (self.now - held.accepted_at) * 1000 > 3 * held.objective_ms
        ]

    def advance(self):
        self.now += 0.05
        due = [end for end in self.ends if end[0] <= self.now]
        self.ends = [end for end in self.ends if end[0] > self.now]
        for _, agent_id, ended in due:
            self.apply(self.entry.receive(agent_id, ended, self.now))
        for agent_id in self.agent_ids:
            view = self.entry.agents[agent_id]
            status = self.status(agent_id, view.sequence)
            self.apply(self.entry.receive(agent_id, status, self.now))
        self.apply(self.entry.dispatch_waiting(self.now))
        self.apply(self.entry.tick(self.now))


def route_of(priority):
    return Route(
        name=f"route-{priority}",
        host="host",
        prefix=f"/{priority}/",
        service="service",
        max_attempts=4,
        stretch=1.6,
        slack_ms=60.0,
        priority=priority,
    )


@then("no job is refused on arrival if all its tasks would begin at once")
def check_never_refused_with_room(context):
    @settings(max_examples=25, deadline=None)
    @given(strategies.integers(1, 6), JOBS)
    def check_property(agents, jobs):
        lonely = LonelyEntry(agents)
        for number, (tasks, estimate_ms, priority, pause) in enumerate(jobs):
            lonely.submit(number, tasks, estimate_ms, priority)
            for _ in range(pause // 4):
                lonely.advance()
        assert not lonely.refused_with_room

    check_property()


@then("each job gets one answer, in time if it is refused")
def check_nothing_dropped(context):
    @settings(max_examples=25, deadline=None)
    @given(strategies.integers(1, 6), JOBS)
    def check_property(agents, jobs):
        lonely = LonelyEntry(agents)
        for number, (tasks, estimate_ms, priority, pause) in enumerate(jobs):
            lonely.submit(number, tasks, estimate_ms, priority)
            for _ in range(pause // 4):
                lonely.advance()
        for _ in range(ENTRY_TICKS):
            if len(lonely.answers) == len(jobs):
                break
            lonely.advance()
            assert not lonely.overdue()
        while lonely.ends:
            lonely.advance()
        lonely.advance()
        assert sorted(lonely.answers) == list(range(len(jobs)))
        assert all(len(answers) == 1 for answers in lonely.answers.values())
        assert not lonely.entry.jobs
        refused = {
            request_id
            for request_id, (answer,) in lonely.answers.items()
            if answer.state is None
        }
        assert not refused & lonely.begun

    check_property()


@then("callers that are refused together return at different times")
def check_jitter(context):
    lonely = LonelyEntry(1)
    for number in range(60):
        lonely.submit(number, 8, 900.0, 1)
    times = [
        answer.retry_after_s
        for answers in lonely.answers.values()
        for answer in answers
        if answer.state is None
    ]
    assert len(times) > 30, len(times)
    assert max(times) > 1.3 * min(times) >= 1.3, (min(times), max(times))
