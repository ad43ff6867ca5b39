import random

from behave import given
from behave import then
from direct_decisions_steps import agent_with_server
from direct_decisions_steps import BACKEND_INCARNATION
from direct_decisions_steps import listing_at
from hypothesis import given as drawn
from hypothesis import strategies
from late_load_steps import ROUTES
import msgspec

from egretcart.direct.agent.agent_types import SendStartRequest
from egretcart.direct.agent.agent_types import SendToEntry
from egretcart.direct.agent.run_queue import order_of_tasks
from egretcart.direct.connection.messages import AgentHello
from egretcart.direct.connection.messages import AgentStatus
from egretcart.direct.connection.messages import Beat
from egretcart.direct.connection.messages import RunTasks
from egretcart.direct.connection.messages import TaskEnded
from egretcart.direct.connection.offer_messages import CapacityOffered
from egretcart.direct.connection.offer_messages import OfferDeclined
from egretcart.direct.connection.offer_messages import TasksWaiting
from egretcart.direct.entry.entry import DirectEntry
from egretcart.direct.entry.entry_types import DirectEntryLimits
from egretcart.direct.entry.entry_types import SendToAgent
from egretcart.direct.log.decisions import NullDecisionLog
from egretcart.direct.policy.capacity_offers import CapacityOffers
from egretcart.direct.policy.capacity_offers import OfferLimits
from egretcart.direct.request.job import Job
from egretcart.direct.request.job import NO_ROOM
from egretcart.direct.request.job import Room
from egretcart.direct.request.job import Step
from egretcart.direct.request.ordering import TaskOrder


def order(**changes):
    return TaskOrder(
        **{
            "priority": 1,
            "due_at": 20.0,
            "latest_start_at": 15.0,
            "objective_s": 10.0,
            **changes,
        }
    )


@then("tasks that can be on time go before late ones, and by priority")
def check_order(context):
    expected = [
        order(priority=0, due_at=30.0),
        order(due_at=10.0),
        order(),
        order(priority=0, latest_start_at=0.5),
        order(latest_start_at=0.5),
    ]
    shuffled = random.Random(1).sample(expected, len(expected))
    assert sorted(shuffled, key=lambda one: one.key(1.0)) == expected


@then("a task goes before all others once its caller's time runs out")
def check_raised(context):
    fresh = order(
        priority=0, due_at=100.0, latest_start_at=100.0, objective_s=0.0
    )
    for now, is_first in ((29.0, False), (31.0, True), (36.0, False)):
        assert (order().key(now) < fresh.key(now)) == is_first, now


def job(
    job_id="a" * 16,
    *,
    tasks=1,
    route=ROUTES["last"],
    estimate_ms=100.0,
    requires="",
):
    step = Step(
        count=tasks,
        room=Room(10, 10, 0),
        estimate_ms=estimate_ms,
        requires=requires,
    )
    return Job(job_id=job_id, payload="", steps=(step,)), route


def entry_with_agent(*, free=0, now=1.0):
    """Return an entry with a connected agent."""
    entry = DirectEntry(
        entry_id="entry",
        limits=DirectEntryLimits(),
        log=NullDecisionLog(),
        source=random.Random(1),
    )
    entry.tick(now)
    connect_agent(entry, "agent", free=free, now=now)
    return entry


def connect_agent(entry, agent_id, *, free, now, labels=(), service="service"):
    status = AgentStatus(
        agent_id=agent_id,
        service_name=service,
        labels=labels,
        accepting=True,
        cpu_milli=10,
        memory_mb=10,
        free_cpu_milli=free,
        free_memory_mb=free,
    )
    return entry.agent_connected(AgentHello(status=status, settled=True), now)


def sent_to_agent(effects, message_type):
    return [
        effect.message
        for effect in effects
        if isinstance(effect, SendToAgent)
        and isinstance(effect.message, message_type)
    ]


@then("agents are told of a task that they may run, though another is first")
def check_unrunnable_first(context):
    entry = entry_with_agent()
    connect_agent(entry, "other", free=0, now=1.0, labels=("special",))
    first = job("b" * 16, requires="special", route=ROUTES["first"])
    entry.submit(1, *first, 1.0)
    entry.agent_disconnected("other", 1.01)
    assert "b" * 16 in entry.jobs
    effects = entry.submit(2, *job(), 1.02)
    told = sent_to_agent(effects, TasksWaiting)
    assert [message.priority for message in told] == [
        ROUTES["last"].priority
    ], told


@then("an agent orders a task as its entry does")
def check_same_order(context):
    entry = entry_with_agent(free=10)
    [message] = sent_to_agent(entry.submit(1, *job(), 1.0), RunTasks)
    held = entry.jobs["a" * 16]
    agents_order = order_of_tasks(message, 1.0)
    for now in (1.0, 1.15, 1.35, 1.6, 2.0):
        assert agents_order.rank(now) == held.order.rank(now), now


NOTICE = TasksWaiting(count=3, time_left_ms=200, cpu_milli=10, memory_mb=10)


def offers_in(effects):
    return [
        effect.message
        for effect in effects
        if isinstance(effect, SendToEntry)
        and isinstance(effect.message, CapacityOffered)
    ]


def offering_agent():
    """Return an agent at 1.0 s, and the number of the offer of its place."""
    agent = agent_with_server()
    agent.receive_listing(listing_at(1.0), BACKEND_INCARNATION, 1.0, 1.0)
    agent.entry_connected("entry", 1, 1.0)
    [offer] = offers_in(agent.receive("entry", NOTICE, 1.0))
    assert agent.status(0, 1.0).free == NO_ROOM
    return agent, offer.number


def listed(agent, now):
    """Let the server answer, so that the agent may start runs."""
    return agent.receive_listing(
        listing_at(now), BACKEND_INCARNATION, now, now
    )


@given("an agent with one place free that was offered to an entry")
def prepare_offer(context):
    context.agent, context.number = offering_agent()


def is_free(agent, now):
    return agent.status(0, now).free == Room(10, 10, 0)


@then("the place is free again once the entry's link has ended")
def check_link_ended(context):
    agent, _ = offering_agent()
    agent.entry_disconnected("entry")
    agent.tick(1.01)
    assert is_free(agent, 1.01)


@then("it is free again when the offer expires")
def check_expired(context):
    agent, _ = offering_agent()
    agent.tick(1.02)
    assert not is_free(agent, 1.02)
    agent.tick(1.05)
    assert is_free(agent, 1.05)


@then("it is free again when the entry declines")
def check_declined(context):
    agent, number = offering_agent()
    agent.receive("entry", OfferDeclined(number=number), 1.01)
    assert is_free(agent, 1.01)


@then("it is free again when the entry has started anew")
def check_new_incarnation(context):
    agent, _ = offering_agent()
    agent.entry_connected("entry", 2, 1.01)
    assert is_free(agent, 1.01)


@then("the tasks that were sent for the offer of a lost agent run elsewhere")
def check_lost_agent(context):
    entry = entry_with_agent()
    entry.submit(1, *job(), 1.0)
    entry.receive(
        "agent", CapacityOffered(number=1, cpu_milli=10, memory_mb=10), 1.0
    )
    [sent] = sent_to_agent(entry.dispatch_waiting(1.0), RunTasks)
    assert sent.offer == 1
    entry.agent_disconnected("agent", 1.01)
    now = 1.01
    while now < 2.5:
        now += 0.05
        entry.tick(now)
    [again] = sent_to_agent(
        connect_agent(entry, "other", free=10, now=now), RunTasks
    )
    assert (again.offer, again.run) == (0, 2), again


def run_tasks(number, job_id):
    return RunTasks(
        job_id=job_id,
        indexes=(0,),
        run=1,
        cpu_milli=10,
        memory_mb=10,
        estimate_ms=100,
        offer=number,
    )


def started(effects):
    return sum(isinstance(effect, SendStartRequest) for effect in effects)


def rejected(effects):
    return [
        effect.message.reason
        for effect in effects
        if isinstance(effect, SendToEntry)
        and isinstance(effect.message, TaskEnded)
    ]


@then("a task that uses an expired offer runs only if there is free capacity")
def check_late_offer(context):
    for is_taken in (False, True):
        agent, number = offering_agent()
        agent.entry_connected("other", 1, 1.0)
        agent.tick(1.05)
        if is_taken:
            agent.receive("other", run_tasks(0, "b" * 16), 1.05)
        effects = agent.receive("entry", run_tasks(number, "a" * 16), 1.06)
        assert started(effects) == (not is_taken)
        assert rejected(effects) == ["the room was taken"] * is_taken


@then("two tasks that use the same offer do not both run")
def check_offer_twice(context):
    agent, number = context.agent, context.number
    effects = agent.receive("entry", run_tasks(number, "a" * 16), 1.01)
    effects += agent.receive("entry", run_tasks(number, "b" * 16), 1.01)
    assert started(effects) == 1
    assert rejected(effects) == ["the room was taken"]


@then("an entry without waiting tasks declines and takes its notice back")
def check_stale_notice(context):
    entry = entry_with_agent()
    [notice] = sent_to_agent(entry.submit(1, *job(), 1.0), TasksWaiting)
    assert notice.count == 1
    entry.cancel("a" * 16, 1.01)
    entry.receive(
        "agent", CapacityOffered(number=1, cpu_milli=10, memory_mb=10), 1.02
    )
    effects = entry.dispatch_waiting(1.02)
    assert sent_to_agent(effects, TasksWaiting) == [TasksWaiting()]
    assert sent_to_agent(effects, OfferDeclined) == [OfferDeclined(number=1)]


@then("an entry that declines is not offered the same again")
def check_not_offered_again(context):
    agent, number = offering_agent()
    effects = agent.receive("entry", OfferDeclined(number=number), 1.01)
    effects += listed(agent, 1.02)
    assert not offers_in(effects)
    assert offers_in(agent.receive("entry", NOTICE, 1.03))


@then("an entry that lets an offer expire is offered nothing for a time")
def check_paused(context):
    agent, _ = offering_agent()
    effects = agent.tick(1.05)
    effects += agent.receive("entry", NOTICE, 1.06)
    assert not offers_in(effects)
    for now in (1.2, 1.4, 1.6):
        agent.receive("entry", Beat(), now)
        effects = agent.tick(now) + listed(agent, now)
    assert offers_in(effects)


@then("an entry declines what it was offered for a more urgent task")
def check_less_urgent(context):
    entry = entry_with_agent()
    entry.submit(1, *job("b" * 16), 1.0)
    effects = entry.submit(2, *job(route=ROUTES["first"]), 1.0)
    assert sent_to_agent(effects, TasksWaiting)[-1].priority == 0
    entry.cancel("a" * 16, 1.01)
    entry.receive(
        "agent", CapacityOffered(number=1, cpu_milli=10, memory_mb=10), 1.02
    )
    effects = entry.dispatch_waiting(1.02)
    assert sent_to_agent(effects, OfferDeclined)
    assert sent_to_agent(effects, TasksWaiting)[0].priority == 2
    assert not sent_to_agent(effects, RunTasks)


@then("its tasks wait at agents while its ticks come late, and not later")
def check_behind(context):
    entry = entry_with_agent()
    entry.tick(1.1)
    effects = entry.submit(1, *job(), 1.1)
    assert not sent_to_agent(effects, TasksWaiting)
    assert sent_to_agent(effects, RunTasks)[0].may_wait
    for tick in range(20):
        entry.tick(1.1 + 0.05 * (tick + 1))
        entry.receive("agent", Beat(), 1.1 + 0.05 * (tick + 1))
    effects = entry.submit(2, *job("b" * 16), 2.1)
    assert sent_to_agent(effects, TasksWaiting)
    assert not sent_to_agent(effects, RunTasks)


ENTRY_IDS = strategies.sampled_from(("entry-0", "entry-1", "entry-2"))
ACTIONS = strategies.one_of(
    strategies.tuples(
        strategies.just("notice"), ENTRY_IDS, strategies.integers(0, 5)
    ),
    strategies.tuples(
        strategies.sampled_from(("use", "end")),
        ENTRY_IDS,
        strategies.integers(1, 9),
    ),
    strategies.tuples(
        strategies.sampled_from(("forget", "expire", "make")),
        ENTRY_IDS,
        strategies.just(0),
    ),
)


@then("what is held is what is offered, and fits, whatever entries do")
@drawn(strategies.lists(ACTIONS, max_size=40))
def check_held(context, actions):
    capacity = Room(50, 50, 0)
    offers = CapacityOffers(limits=OfferLimits())
    now = 1.0
    for kind, entry_id, number in actions:
        now += 0.01
        if kind == "notice":
            room = Room(10 + number, 10, 0)
            waits = msgspec.structs.replace(order(), priority=number)
            offers.record_notice(entry_id, waits, room, number, now)
        elif kind == "use":
            offers.use(entry_id, number, 1 + number % 2)
        elif kind == "end":
            offers.end(entry_id, number)
        elif kind == "forget":
            offers.forget(entry_id)
        elif kind == "expire":
            offers.expire(now)
        else:
            free = capacity - offers.held
            offers.make(free, lambda entry_id: entry_id != "entry-2", now)
        held = NO_ROOM
        for offer in offers.offers.values():
            for _ in range(offer.count):
                held += offer.notice.room
        assert offers.held == held, kind
        assert capacity.can_fit(held), kind
