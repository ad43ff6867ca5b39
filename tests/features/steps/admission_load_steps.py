import collections
import dataclasses
import math
import random

from behave import given
from behave import then
from behave import when

from egretcart.direct.entry.load_picture import LoadPicture
from egretcart.direct.policy.admission import Backlog
from egretcart.direct.request.job import JobState
from egretcart.direct.request.job import Room
from egretcart.direct.version.configuration import Route
from egretcart.testing.direct_world import SERVICE
from egretcart.testing.direct_world import SimulatedDeployment

CPU_MILLI = 3200
SERVER_CPU_MILLI = 16_000
AGENTS = 12
BURST_S = 5.0
BURST_LOAD = 1.5
CALM_S = 2.0
CALM_LOAD = 0.6
ANSWERS_S = 6.0
# Share of the callers that leave after half of their latency objective.
LEAVING_SHARE = 0.25
# Spread of the logarithm of a job's estimate; its tasks share the error.
ESTIMATE_SPREAD = 0.4
SEEDS = (1, 2)
WIDE = 12
# Fewer callers than this don't tell how a size of jobs is served.
MIN_CALLERS = 20


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Queue:
    """Jobs of one route: means, and the queue's share of all work."""

    name: str
    priority: int
    task_ms: float
    tasks: int
    share: float

    @property
    def route(self):
        return Route(
            name=self.name,
            host="host",
            prefix=f"/{self.name}/",
            service=SERVICE,
            max_attempts=4,
            stretch=1.6,
            slack_ms=60.0,
            priority=self.priority,
        )


QUEUES = (
    Queue(name="short and wide", priority=0, task_ms=60, tasks=8, share=0.35),
    Queue(name="narrow", priority=1, task_ms=200, tasks=2, share=0.30),
    Queue(name="long", priority=2, task_ms=1800, tasks=4, share=0.35),
)


class FormerPicture(LoadPicture):
    """The former rule: any free place counts as no wait.

    Waiting are only the jobs ahead now; a job's own tasks, its slowest one
    and what arrives are not counted.
    """

    def estimate(self, held, now):
        load = super().estimate(held, now)
        ahead = Backlog(ahead_cpu_milli_ms=load.on_time.ahead_cpu_milli_ms)
        step = held.job.steps[0]
        views = [
            view for view in self.state.agents.values() if view.may_run(step)
        ]
        return dataclasses.replace(
            load,
            tasks=1,
            free_places=any(view.free.can_fit(step.room) for view in views),
            task_cpu_milli_ms=0.0,
            run_ms=min((view.run_ms(step, 1.5) for view in views), default=0),
            on_time=ahead,
            late=ahead,
        )


class LoadPlay:
    """Callers of several queues at entries that share all agents.

    Attributes
    ----------
    outcomes : dict of (str, bool) to Counter
        Outcomes of requests, by queue and whether the job is wide.
    """

    def __init__(self, *, seed, former):
        self.source = random.Random(seed)
        self.world = SimulatedDeployment(
            entries=4,
            agents=AGENTS,
            seed=seed,
            capacity=Room(SERVER_CPU_MILLI, 65_536, 0),
        )
        if former:
            for entry in self.world.entries.values():
                entry.admission.load = FormerPicture(state=entry.state)
        self.requests = []
        self.outcomes = collections.defaultdict(collections.Counter)
        self.world.run(3.0)
        self.started_at = self.world.now
        for queue in QUEUES:
            self.schedule_arrival(queue)
        self.world.run(BURST_S + CALM_S + ANSWERS_S)
        for queue, request, objective_ms in self.requests:
            outcome = outcome_of(request, objective_ms)
            wide = request.job.steps[0].count >= WIDE
            self.outcomes[queue.name, wide][outcome] += 1

    def draw(self, mean, spread):
        sigma = math.sqrt(math.log(1 + spread * spread))
        return self.source.lognormvariate(
            math.log(mean) - sigma * sigma / 2, sigma
        )

    def schedule_arrival(self, queue):
        elapsed_s = self.world.now - self.started_at
        if elapsed_s > BURST_S + CALM_S:
            return
        load = BURST_LOAD if elapsed_s < BURST_S else CALM_LOAD
        job_cpu_milli_s = queue.task_ms / 1000 * queue.tasks * CPU_MILLI
        capacity = AGENTS * SERVER_CPU_MILLI
        rate = load * queue.share * capacity / job_cpu_milli_s

        def arrive():
            self.submit(queue)
            self.schedule_arrival(queue)

        self.world.schedule(self.source.expovariate(rate), arrive)

    def submit(self, queue):
        tasks = round(min(32, max(1, self.draw(queue.tasks, 0.8))))
        work_ms = min(8000, max(25, self.draw(queue.task_ms, 0.4)))
        objective_ms = queue.route.stretch * work_ms + queue.route.slack_ms
        request = self.world.submit(
            tasks=tasks,
            work_ms=work_ms,
            room=Room(CPU_MILLI, 64, 0),
            estimate_ms=work_ms
            * self.source.lognormvariate(0, ESTIMATE_SPREAD),
            route=queue.route,
        )
        self.requests.append((queue, request, objective_ms))
        if self.source.random() < LEAVING_SHARE:
            self.world.schedule(
                objective_ms / 2000, lambda: self.leave(request)
            )

    def leave(self, request):
        if request.answer is None:
            self.world.disconnect_caller(request)


def outcome_of(request, objective_ms):
    if request.caller_disconnected:
        return "left"
    if request.answer is None:
        return "unanswered"
    if request.answer.state is None:
        return "refused"
    if request.answer.state is not JobState.COMPLETED:
        return "failed"
    elapsed_ms = request.elapsed_s * 1000
    if elapsed_ms <= objective_ms:
        return "on time"
    return "late" if elapsed_ms <= 3 * objective_ms else "useless"


def count(plays, *, queue=None, wide=None):
    """Count the outcomes of callers that stayed."""
    counts = collections.Counter()
    for play in plays:
        for (name, is_wide), outcome in play.outcomes.items():
            if queue in (None, name) and wide in (None, is_wide):
                counts += outcome
    del counts["left"]
    return counts


def share(plays, outcomes, **sizes):
    """Return the share of some outcomes among callers that stayed."""
    counts = count(plays, **sizes)
    return sum(counts[outcome] for outcome in outcomes) / counts.total()


@given("callers that request half as much again as all servers can do")
def set_up_plays(context):
    context.plays = {}


@when("the load is played with the former rule of admission and with this one")
def play_load(context):
    for rule in ("former", "current"):
        context.plays[rule] = [
            LoadPlay(seed=seed, former=rule == "former") for seed in SEEDS
        ]


@then("far more callers are served on time, above all in the first queue")
def check_on_time(context):
    former, current = context.plays["former"], context.plays["current"]
    first = QUEUES[0].name
    assert share(current, ["on time"]) >= share(former, ["on time"]) + 0.1
    assert share(current, ["on time"], queue=first) >= 1.5 * share(
        former, ["on time"], queue=first
    )


@then("no more callers than one in thirty wait for a useless answer")
def check_useless(context):
    assert share(context.plays["current"], ["useless"]) <= 1 / 30
    assert share(context.plays["former"], ["useless"]) > 1 / 10


@then("no size of jobs is served half as often as its queue")
def check_sizes(context):
    plays = context.plays["current"]
    for queue in QUEUES:
        served = share(plays, ["on time", "late"], queue=queue.name)
        for wide in (False, True):
            size = {"queue": queue.name, "wide": wide}
            if count(plays, **size).total() < MIN_CALLERS:
                continue
            by_size = share(plays, ["on time", "late"], **size)
            assert by_size >= served / 2, (size, by_size, served)


@then("all callers that stayed have an answer, and no invariant is violated")
def check_answers(context):
    for play in context.plays["current"]:
        assert not play.world.violations, play.world.violations
        assert not any(
            outcome["unanswered"] or outcome["failed"]
            for outcome in play.outcomes.values()
        )
