import collections
import dataclasses
import random

from behave import then
from behave import when
from hypothesis import given as drawn
from hypothesis import strategies
from late_load_steps import LoadedDeployment
from late_load_steps import PLACES_PER_AGENT
from late_load_steps import ROUTES
from late_load_steps import SPEEDS
from late_load_steps import TASK_ROOM

from egretcart.direct.connection.messages import AgentStatus
from egretcart.direct.connection.offer_messages import TasksWaiting
from egretcart.direct.connection.views import AgentView
from egretcart.direct.entry.entry_types import SendToAgent
from egretcart.direct.entry.waiting_notices import WaitingNotices
from egretcart.direct.entry.waiting_notices import WaitingTasks
from egretcart.direct.policy.capacity_offers import NoticeLimits
from egretcart.direct.policy.data_racks import DataRackLimits
from egretcart.direct.policy.data_racks import DataRacks
from egretcart.direct.policy.placement import Placement
from egretcart.direct.policy.placement import PlacementLimits
from egretcart.direct.policy.placement import PlacementRequest
from egretcart.direct.request.job import JobState
from egretcart.direct.request.job import Room
from egretcart.direct.request.job import Step
from egretcart.direct.request.ordering import TaskOrder

FAR_FACTOR = 1.5
RACKS = ("rack-0", "rack-1", "rack-2")
LOAD_SECONDS = 4.0
# Share of the capacity that the work takes if all of it runs near its data.
LOAD_SHARE = 0.9


class AnyRack(DataRacks):
    """Knows how long tasks take away from their data, and prefers no rack."""

    def prefers_rack(self, step):
        return False


class RackedDeployment(LoadedDeployment):
    """A deployment whose tasks take longer away from their data."""

    def __init__(self, *, rule, **arguments):
        super().__init__(**arguments)
        self.data_racks = {}
        names = sorted(self.backends, key=lambda name: int(name[6:]))
        for number, name in enumerate(names):
            rack = RACKS[number * len(RACKS) // len(names)]
            backend = self.backends[name]
            backend.labels = (rack,)
            backend.behaviour_of = lambda key, rack=rack: self._size(key, rack)
        for entry in self.entries.values():
            racks = rule(limits=DataRackLimits(), far_factor=FAR_FACTOR)
            entry.sender.placement.racks = racks
            entry.sender.notices.racks = racks

    def _size(self, key, rack):
        size = self.task_behaviours[key.job_id]
        data_rack = self.data_racks.get(key.job_id, rack)
        factor = 1.0 if data_rack == rack else FAR_FACTOR
        return dataclasses.replace(size, work_ms=size.work_ms * factor)


def play(*, entries, agents, shares, rule):
    """Play the load; return the shares of jobs on time, and the world."""
    world = RackedDeployment(
        entries=entries, agents=agents, seed=1, speeds=SPEEDS, rule=rule
    )
    world.run(2.0)
    source = random.Random(1)
    places = agents * PLACES_PER_AGENT * sum(SPEEDS) / len(SPEEDS)
    work_s = collections.Counter()
    begin = world.now
    while world.now - begin < LOAD_SECONDS:
        due_s = (world.now - begin) * places * LOAD_SHARE / 2
        for name, widths, works_ms in (
            ("first", (4, 8, 8, 12), (60, 120, 180)),
            ("last", (1, 2, 4), (300, 800)),
        ):
            while work_s[name] < due_s:
                tasks, work_ms = source.choice(widths), source.choice(works_ms)
                work_s[name] += tasks * work_ms / 1000
                rack = source.choices(RACKS, shares)[0]
                request = world.submit(
                    tasks=tasks,
                    work_ms=work_ms,
                    room=TASK_ROOM,
                    estimate_ms=work_ms * source.uniform(0.7, 1.3),
                    route=ROUTES[name],
                    data_rack=rack if name == "first" else "",
                )
                if name == "first":
                    world.data_racks[request.job.job_id] = rack
        world.run(source.uniform(0.004, 0.016))
    world.run(8.0)
    counts, on_time = collections.Counter(), collections.Counter()
    for request in world.requests:
        work_ms = world.task_behaviours[request.job.job_id].work_ms
        counts[request.route.name] += 1
        on_time[request.route.name] += (
            request.answer.state is JobState.COMPLETED
            and request.elapsed_s * 1000 <= 1.6 * work_ms + 60
        )
    return {name: on_time[name] / counts[name] for name in counts}, world


def play_both(context, entries, agents, shares):
    context.served, context.world = play(
        entries=entries, agents=agents, shares=shares, rule=DataRacks
    )
    context.served_anywhere, _ = play(
        entries=entries, agents=agents, shares=shares, rule=AnyRack
    )


@when(
    "{entries:d} entries share {agents:d} agents on 3 racks, and 0.3 of the "
    "data is on each"
)
def play_even(context, entries, agents):
    play_both(context, entries, agents, (1, 1, 1))


@when(
    "{entries:d} entries share {agents:d} agents on 3 racks, and 0.8 of the "
    "data is on one"
)
def play_hot(context, entries, agents):
    play_both(context, entries, agents, (8, 1, 1))


@then("more of the jobs of both queues are on time than if any rack will do")
def check_more(context):
    shares = context.served, context.served_anywhere
    assert all(shares[0][one] > shares[1][one] for one in ROUTES), shares


@then(
    "at least as many jobs of both queues are on time as if any rack will do"
)
def check_not_fewer(context):
    shares = context.served, context.served_anywhere
    assert all(shares[0][one] >= shares[1][one] for one in ROUTES), shares


STEP = Step(count=1, room=Room(4, 4, 0), estimate_ms=100.0, data_rack="r1")


def view_on(rack, *, pace_percent=100, free=8):
    status = AgentStatus(
        labels=("a", rack),
        accepting=True,
        cpu_milli=16,
        memory_mb=16,
        free_cpu_milli=free,
        free_memory_mb=free,
        pace_percent=pace_percent,
    )
    return AgentView(status=status, now=1.0)


def chosen(views, *, returns=0, far_factor=FAR_FACTOR):
    """Return the agents that a task goes to, with several random sources."""
    request = PlacementRequest(
        step=STEP, time_left_ms=220.0, returns=returns
    )
    return {
        Placement(
            limits=PlacementLimits(),
            racks=DataRacks(limits=DataRackLimits(), far_factor=far_factor),
            source=random.Random(seed),
        ).choose(request, views)
        for seed in range(20)
    }


@then("it goes near its data if it is on time there, else where it is")
def check_near(context):
    far = ("far", view_on("r2", free=16))
    assert chosen([("near", view_on("r1")), far]) == {"near"}
    slow = ("near", view_on("r1", pace_percent=300))
    assert chosen([slow, far]) == {"far"}
    full = ("near", view_on("r1", free=0))
    assert chosen([full, far]) == {"far"}


@then("it goes anywhere after it has come back three times")
def check_returns(context):
    views = [("near", view_on("r1")), ("far", view_on("r2"))]
    assert chosen(views, returns=2) == {"near"}
    assert chosen(views, returns=3) == {"near", "far"}


@then("it goes anywhere where racks make no difference")
def check_no_factor(context):
    views = [("near", view_on("r1")), ("far", view_on("r2"))]
    assert chosen(views, far_factor=1.0) == {"near", "far"}


@then("agents near the data are told first that it waits")
def check_told_first(context):
    for seed in range(10):
        views = {
            f"agent-{number}": view_on(f"r{number % 4}", free=0)
            for number in range(40)
        }
        effects = []
        notices = WaitingNotices(
            limits=NoticeLimits(),
            agents=views,
            effects=effects,
            source=random.Random(seed),
            racks=DataRacks(limits=DataRackLimits(), far_factor=FAR_FACTOR),
        )
        order = TaskOrder(priority=0, due_at=2.0, latest_start_at=1.5)
        notices.send(WaitingTasks(order=order, step=STEP, count=8), 1.0)
        told = {
            effect.agent_id
            for effect in effects
            if isinstance(effect, SendToAgent)
            and isinstance(effect.message, TasksWaiting)
        }
        near = {name for name in views if views[name].is_near_data(STEP)}
        assert len(told) == 12, told
        assert near <= told, near - told


@then("there is a candidate if there was one, and only near ones if any is")
@drawn(
    strategies.lists(strategies.sampled_from(("r1", "r2")), max_size=8),
    strategies.integers(0, 5),
    strategies.sampled_from((0.5, 1.0, 1.5)),
    strategies.sampled_from(("", "r1", "r3")),
)
def check_bounds(context, labels, returns, far_factor, data_rack):
    step = dataclasses.replace(STEP, data_rack=data_rack)
    racks = DataRacks(limits=DataRackLimits(), far_factor=far_factor)
    items = [
        (f"agent-{number}", view_on(label))
        for number, label in enumerate(labels)
    ]
    kept = racks.choose_from(step, items, returns=returns)
    assert bool(kept) == bool(items)
    assert all(item in items for item in kept)
    preferred = data_rack and far_factor > 1 and returns <= 2
    if preferred and data_rack in labels:
        assert {item[1].status.labels[1] for item in kept} == {data_rack}
    else:
        assert kept == items
    ordered = racks.near_first(step, items)
    assert sorted(ordered) == sorted(name for name, _ in items)
