import collections
import random

from behave import then
from behave import when
from direct_world_steps import inject_fault

from egretcart.direct.log.decisions import NullDecisionLog
from egretcart.direct.log.decisions import TaskEndedAt
from egretcart.direct.log.decisions import TasksPlaced
from egretcart.direct.request.job import JobState
from egretcart.direct.request.job import Room
from egretcart.direct.version.configuration import Route
from egretcart.testing.direct_world import SimulatedDeployment

TASK_ROOM = Room(1600, 64, 0)
PLACES_PER_AGENT = 10
SPEEDS = (1.0, 1.0, 1.3)
FILL_SECONDS = 1.0
LOAD_SECONDS = 5.0
OFFER_MESSAGES = {"TasksWaiting", "CapacityOffered", "OfferDeclined"}
ROUTES = {
    name: Route(
        name=name,
        host="host",
        prefix=f"/{name}/",
        service="service",
        priority=priority,
        max_attempts=4,
        stretch=1.6,
        slack_ms=60.0,
    )
    for name, priority in (("first", 0), ("last", 2))
}


class CountingLog(NullDecisionLog):
    """Counts the tasks that were sent, and those that came back."""

    def __init__(self):
        self.sent = self.not_run = 0

    def write(self, decision):
        if isinstance(decision, TasksPlaced):
            self.sent += len(decision.indexes)
        elif isinstance(decision, TaskEndedAt):
            self.not_run += decision.ending == "not_run"


class LoadedDeployment(SimulatedDeployment):
    """Counts the messages by type."""

    def __init__(self, **arguments):
        self.messages = collections.Counter()
        super().__init__(**arguments)

    def _send_to_agent(self, name, agent_id, message):
        self.messages[type(message).__name__] += 1
        super()._send_to_agent(name, agent_id, message)

    def _send_to_entry(self, name, entry_id, message):
        self.messages[type(message).__name__] += 1
        super()._send_to_entry(name, entry_id, message)


def submit_two_queues(world, source, *, share, seconds, each_step=None):
    """Submit short jobs of the first queue, and as much work of the last."""
    places = len(world.backends) * PLACES_PER_AGENT
    places *= sum(SPEEDS) / len(SPEEDS)
    work_s = collections.Counter()
    begin = world.now
    while world.now - begin < seconds:
        due_s = (world.now - begin) * places * share / 2
        for name, widths, works_ms in (
            ("first", (1, 2, 4, 4, 8, 8, 8, 12, 16, 32), (60, 120, 240)),
            ("last", (1, 2, 4, 4, 8), (800, 1800)),
        ):
            while work_s[name] < due_s:
                tasks, work_ms = source.choice(widths), source.choice(works_ms)
                error = min(1.4, max(0.6, source.gauss(1, 0.25)))
                work_s[name] += tasks * work_ms / 1000
                world.submit(
                    tasks=tasks,
                    work_ms=work_ms,
                    room=TASK_ROOM,
                    estimate_ms=work_ms * error,
                    route=ROUTES[name],
                )
        world.run(source.uniform(0.004, 0.016))
        if each_step is not None:
            each_step()


@when(
    "{entries:d} entries share {agents:d} agents that get {share:g} times the "
    "work that they can do"
)
def run_load(context, entries, agents, share):
    context.log = CountingLog()
    context.world = LoadedDeployment(
        entries=entries,
        agents=agents,
        seed=1,
        speeds=SPEEDS,
        log=context.log,
    )
    context.world.run(2.0)
    source = random.Random(1)
    submit_two_queues(context.world, source, share=share, seconds=FILL_SECONDS)
    context.filling = context.log.sent, context.log.not_run
    submit_two_queues(context.world, source, share=share, seconds=LOAD_SECONDS)
    context.world.run(12.0)


@then("{share:g} of the jobs of the {name} queue are on time")
def check_on_time(context, share, name):
    world = context.world
    requests = [one for one in world.requests if one.route.name == name]
    on_time = 0
    for request in requests:
        work_ms = world.task_behaviours[request.job.job_id].work_ms
        is_done = request.answer.state is JobState.COMPLETED
        on_time += is_done and request.elapsed_s * 1000 <= 1.6 * work_ms + 60
    assert on_time >= share * len(requests), on_time / len(requests)


@then(
    "at most {share:g} of the tasks sent once all is full came back as not run"
)
def check_not_run(context, share):
    sent, not_run = context.filling
    sent, not_run = context.log.sent - sent, context.log.not_run - not_run
    assert not_run <= share * sent, not_run / sent


@then("no entry and no agent has sent a message about offers")
def check_no_offers(context):
    assert not OFFER_MESSAGES & context.world.messages.keys()


@then("all first starts took one message each")
def check_first_starts(context):
    assert not context.log.not_run


@when(
    "a deployment at {share:g} times its capacity has random faults, "
    "seed {seed:d}"
)
def run_faults(context, share, seed):
    source = random.Random(seed)
    world = context.world = LoadedDeployment(
        entries=3, agents=4, seed=seed, speeds=SPEEDS
    )
    world.run(2.0)
    submit_two_queues(
        world,
        source,
        share=share,
        seconds=LOAD_SECONDS,
        each_step=lambda: inject_fault(world, source),
    )
    world.unanswered = 0
    assert world.messages.keys() >= OFFER_MESSAGES
