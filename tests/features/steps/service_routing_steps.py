import random

from behave import given
from behave import then
from behave import when
from late_binding_steps import connect_agent
from late_binding_steps import sent_to_agent
import msgspec

from egretcart.direct.agent.agent import DirectAgent
from egretcart.direct.agent.agent_types import DirectAgentLimits
from egretcart.direct.agent.agent_types import SendStartRequest
from egretcart.direct.agent.agent_types import SendToEntry
from egretcart.direct.backend.backend import BackendIncarnation
from egretcart.direct.backend.backend import BackendReport
from egretcart.direct.backend.backend import Listing
from egretcart.direct.connection.messages import EntriesServed
from egretcart.direct.connection.messages import PeerAddress
from egretcart.direct.connection.messages import RecruitAgents
from egretcart.direct.connection.messages import RunTasks
from egretcart.direct.connection.messages import ServeEntry
from egretcart.direct.connection.messages import TaskEnded
from egretcart.direct.connection.messages import TaskLate
from egretcart.direct.connection.offer_messages import CapacityOffered
from egretcart.direct.connection.offer_messages import TasksWaiting
from egretcart.direct.connection.peer_messages import JobsTaken
from egretcart.direct.entry.entry import DirectEntry
from egretcart.direct.entry.entry_types import Answer
from egretcart.direct.entry.entry_types import DirectEntryLimits
from egretcart.direct.entry.entry_types import SendToAgent
from egretcart.direct.entry.entry_types import SendToPeer
from egretcart.direct.log.agent_decisions import BackendCrashed
from egretcart.direct.log.decisions import NullDecisionLog
from egretcart.direct.policy.confinement import Confinement
from egretcart.direct.policy.confinement import ConfinementLimits
from egretcart.direct.request.job import Job
from egretcart.direct.request.job import JobState
from egretcart.direct.request.job import Room
from egretcart.direct.request.job import Step
from egretcart.direct.version.configuration import RoutingConfiguration
from egretcart.direct.version.drained_domains import DrainedDomains
from egretcart.testing.direct_world import DEFAULT_ROUTE
from egretcart.testing.direct_world import SERVICE
from egretcart.testing.direct_world import SimulatedDeployment

OTHER = "other"
OTHER_ROUTE = msgspec.structs.replace(
    DEFAULT_ROUTE, name="other-route", prefix="/other/", service=OTHER
)
ROUTES = (DEFAULT_ROUTE, OTHER_ROUTE)
MOVED_ROUTE = msgspec.structs.replace(DEFAULT_ROUTE, service=OTHER)
SMALL = Room(1600, 64)
WHOLE = Room(10, 10)
STEP = Step(count=1, room=WHOLE, estimate_ms=100.0)


def make_world(entries, agents, services):
    world = SimulatedDeployment(
        entries=entries, agents=agents, seed=3, services=services
    )
    world.configure(ROUTES)
    world.run(2.0)
    return world


@given(
    "a deployment of {entries:d} entries and {agents:d} agents, one of "
    "another service"
)
def start_with_one_other(context, entries, agents):
    services = (SERVICE,) * (agents - 1) + (OTHER,)
    context.world = make_world(entries, agents, services)


@given(
    "a deployment of {entries:d} entries and {agents:d} agents of two "
    "services in turn"
)
def start_two_services(context, entries, agents):
    context.world = make_world(entries, agents, (SERVICE, OTHER))


def submit_evenly(world, rate, seconds, routes):
    """Schedule small jobs by some routes in turn."""
    for number in range(int(rate * seconds)):
        route = routes[number % len(routes)]
        world.schedule(
            number / rate,
            lambda route=route: world.submit(
                tasks=2,
                work_ms=200,
                room=SMALL,
                route=route,
                wait_limit_s=5.0,
            ),
        )


@when(
    "{rate:d} jobs a second come for {seconds:d} s by the route of the first "
    "service"
)
def submit_first(context, rate, seconds):
    submit_evenly(context.world, rate, seconds, (DEFAULT_ROUTE,))
    context.world.run(seconds + 5.0)


@when("{rate:d} jobs a second come for {seconds:d} s by the routes of both")
def submit_both(context, rate, seconds):
    submit_evenly(context.world, rate, seconds, ROUTES)


@when("servers crash meanwhile and come back for another service")
def change_services(context):
    world = context.world

    def change(name):
        backend = world.backends[name]
        backend.service = OTHER if backend.service == SERVICE else SERVICE

    for number in range(24):
        name = f"agent-{number % 8}"
        at = 0.4 * number
        world.schedule(
            at, lambda name=name: world.crash_backend(name, downtime_s=0.3)
        )
        world.schedule(at + 0.1, lambda name=name: change(name))
    world.run(15.0)


@then("all jobs are completed")
def check_all_completed(context):
    world = context.world
    assert len(world.answered(JobState.COMPLETED)) == len(world.requests)


@then("at least {count:d} jobs are completed")
def check_completed(context, count):
    completed = len(context.world.answered(JobState.COMPLETED))
    assert completed >= count, completed


@when("the first service gets twice the work that it can do for {seconds:d} s")
def overload_first(context, seconds):
    world = context.world
    # Four servers with room for ten such tasks each.
    submit_evenly(world, 200, seconds, (DEFAULT_ROUTE,))
    submit_evenly(world, 20, seconds, (OTHER_ROUTE,))
    world.run(seconds + 5.0)


@then("all jobs of the second service are completed on time")
def check_second(context):
    requests = [
        request
        for request in context.world.requests
        if request.route is OTHER_ROUTE
    ]
    assert len(requests) == 120
    for request in requests:
        assert request.answer.state is JobState.COMPLETED, request.answer
        assert request.elapsed_s < 0.38, request.elapsed_s


@when("its route is sent to the second service while jobs wait")
def move_route(context):
    world = context.world
    for _ in range(30):
        world.submit(tasks=2, work_ms=500, room=SMALL, wait_limit_s=5.0)
    world.run(0.1)
    world.configure((MOVED_ROUTE, OTHER_ROUTE))
    world.run(0.1)
    first = [world.backends[f"agent-{n}"] for n in range(0, 8, 2)]
    context.before = [len(backend.started) for backend in first]
    context.first = first
    for _ in range(10):
        world.submit(tasks=2, work_ms=100, room=SMALL, route=MOVED_ROUTE)
    world.run(5.0)


@then("what waits and what comes starts at the second service")
def check_moved(context):
    after = [len(backend.started) for backend in context.first]
    assert after == context.before, (context.before, after)
    late = context.world.requests[30:]
    states = [request.answer.state for request in late]
    assert states == [JobState.COMPLETED] * 10, states


def make_entry(services=(SERVICE,), *, free=10):
    """Return an entry with an agent of each of these services."""
    entry = DirectEntry(
        entry_id="entry",
        limits=DirectEntryLimits(confinement=ConfinementLimits(is_on=True)),
        log=NullDecisionLog(),
        source=random.Random(1),
    )
    entry.configure(RoutingConfiguration(version=1, routes=ROUTES), "test")
    entry.tick(1.0)
    for number, service in enumerate(services):
        connect_agent(
            entry, f"agent-{number}", free=free, now=1.0, service=service
        )
    entry.state.discovery_ends_at = 0.0
    return entry


def submit(entry, number, route, *, count=1, estimate_ms=100.0, now=1.05):
    step = Step(count=count, room=WHOLE, estimate_ms=estimate_ms)
    job = Job(job_id=f"{number:016x}", payload="", steps=(step,))
    return entry.submit(number, job, route, now)


def answers(effects):
    return [effect for effect in effects if isinstance(effect, Answer)]


@then("a job without a server of its service is refused at once")
def check_no_server(context):
    (answer,) = answers(submit(make_entry(), 1, OTHER_ROUTE))
    assert answer.retry_after_s is not None, answer
    assert answer.cause == "no backend server of its service is known"


@then("a full server of another service is not counted")
def check_full_other(context):
    entry = make_entry((SERVICE, OTHER))
    connect_agent(entry, "agent-0", free=0, now=1.01)
    effects = submit(entry, 1, OTHER_ROUTE)
    assert not answers(effects), effects
    ((target,),) = [
        {e.agent_id for e in effects if isinstance(e, SendToAgent)}
    ]
    assert target == "agent-1"
    entry = make_entry((SERVICE, OTHER))
    connect_agent(entry, "agent-1", free=0, now=1.01, service=OTHER)
    submit(entry, 1, OTHER_ROUTE, estimate_ms=10_000.0)
    held = entry.jobs[f"{1:016x}"]
    (task,) = held.tasks.values()
    assert not entry.state.free_agents_elsewhere(held, task)


@then("work that waits for another service is not counted")
def check_other_work(context):
    entry = make_entry((SERVICE, OTHER), free=0)
    for number in range(1, 9):
        submit(entry, number, DEFAULT_ROUTE, estimate_ms=100.0)
    assert not answers(submit(entry, 20, OTHER_ROUTE))
    # The same work ahead of a job of its own service is too much.
    assert answers(submit(entry, 21, DEFAULT_ROUTE))


@then("agents that serve others share their entries only with their service")
def check_entries(context):
    entry = make_entry((SERVICE, OTHER))
    entry.receive("agent-0", EntriesServed(entry_ids=("entry",) * 1), 1.0)
    served = EntriesServed(entry_ids=("entry", "a", "b", "c"))
    entry.receive("agent-1", served, 1.0)
    per_agent = entry.admission._entries_per_agent
    assert (per_agent(SERVICE), per_agent(OTHER)) == (1, 4)


@then("a route's drained agents are those of its service")
def check_drained(context):
    entry = make_entry((SERVICE, OTHER))
    entry.agents["agent-0"].failure_domain = "a"
    entry.learn_drained_domains(
        DrainedDomains(revision=2, domains=("a",)), 1.01
    )
    (answer,) = answers(submit(entry, 1, DEFAULT_ROUTE))
    assert answer.cause == "all failure domains are drained", answer
    assert not answers(submit(entry, 2, OTHER_ROUTE))


def told(effects):
    return {
        effect.agent_id: effect.message.service_name
        for effect in effects
        if isinstance(effect, SendToAgent)
        and isinstance(effect.message, TasksWaiting)
    }


@then("agents of each service are told of their waiting tasks")
def check_told(context):
    entry = make_entry((SERVICE, OTHER), free=0)
    found = told(submit(entry, 1, DEFAULT_ROUTE))
    found |= told(submit(entry, 2, OTHER_ROUTE))
    assert found == {"agent-0": SERVICE, "agent-1": OTHER}, found


@then("an agent whose service has changed is told anew")
def check_told_anew(context):
    entry = make_entry((SERVICE, OTHER), free=0)
    submit(entry, 1, DEFAULT_ROUTE)
    submit(entry, 2, OTHER_ROUTE)
    status = msgspec.structs.replace(
        entry.agents["agent-0"].status, service_name=OTHER
    )
    entry.receive("agent-0", status, 1.06)
    assert told(entry.dispatch_waiting(1.06)) == {"agent-0": OTHER}


@then("agents are recruited for a service")
def check_recruited(context):
    entry = make_entry((SERVICE, OTHER), free=0)
    entry.peer_connected("entry-2", 1.0)
    asked = [
        effect.message.service_name
        for number, route in enumerate(ROUTES, 1)
        for effect in submit(entry, number, route)
        if isinstance(effect, SendToPeer)
        and isinstance(effect.message, RecruitAgents)
    ]
    assert asked == [SERVICE, OTHER], asked
    entry = make_entry((SERVICE, OTHER))
    request = RecruitAgents(
        address=PeerAddress(host="10.0.0.1", port=1),
        cpu_milli=4,
        memory_mb=4,
        service_name=OTHER,
    )
    sent = entry.receive_from_peer("entry-2", request, 1.1)
    assert [e.agent_id for e in sent] == ["agent-1"], sent
    assert isinstance(sent[0].message, ServeEntry)


@then("a route is confined among those of its service")
def check_confined(context):
    limits = ConfinementLimits(is_on=True)
    agents = {f"a-{n}": SERVICE for n in range(8)}
    agents |= {f"b-{n}": OTHER for n in range(8)}

    def confined(*, beside):
        confinement = Confinement(limits=limits)
        confinement.record_accepted("crashing", SERVICE, 1.0)
        confinement.record_accepted("beside", beside, 1.0)
        for job_id in ("1", "2"):
            confinement.record(job_id, "crashing", 1.0)
        for job_id in ("3", "4"):
            confinement.record(job_id, "elsewhere", 1.0)
        confinement.update(agents, 1.0)
        return confinement

    # A route that nobody of its service is disturbed by stays free.
    assert not confined(beside=OTHER).routes
    confinement = confined(beside=SERVICE)
    assert confinement.routes == {"crashing"}
    allowed = confinement.allowed_agents("crashing")
    assert len(allowed) == 2
    assert {agents[name] for name in allowed} == {SERVICE}
    assert confinement.avoided_agents("beside") == allowed
    confinement.record_accepted("far", OTHER, 1.0)
    assert not confinement.avoided_agents("far")


@then("a run is moved if its service has room for those that are moved")
def check_moving(context):
    entry = make_entry((SERVICE, SERVICE, OTHER, OTHER))
    for number, route in enumerate(ROUTES, 1):
        effects = submit(entry, number, route, estimate_ms=1_800.0)
        ((agent_id, tasks),) = [
            (effect.agent_id, effect.message)
            for effect in effects
            if isinstance(effect, SendToAgent)
        ]
        late = TaskLate(
            job_id=tasks.job_id,
            run=1,
            percent=5,
            whole_ms=1800,
            leaves_in_ms=1500,
        )
        entry.receive(agent_id, late, 1.1)
        assert len(entry.runs.leaving.moving) == number


def claim_then_configure(route):
    """Return the effects of a claim that ends after its route has changed."""
    entry = make_entry((SERVICE, OTHER))
    job_id = f"{1:016x}"
    entry.peer_connected("entry-2", 1.0)
    entry.receive_from_peer("entry-2", JobsTaken(job_ids=(job_id,)), 1.0)
    assert not sent_to_agent(submit(entry, 1, DEFAULT_ROUTE), RunTasks)
    entry.configure(RoutingConfiguration(version=2, routes=(route,)), "test")
    entry.pending.by_job[job_id].expires_at.clear()
    return entry.tick(1.1)


@then("a claimed job starts at the service to which its route was sent")
def check_claimed(context):
    effects = claim_then_configure(MOVED_ROUTE)
    (tasks,) = sent_to_agent(effects, RunTasks)
    assert tasks.service_name == OTHER
    (target,) = {e.agent_id for e in effects if sent_to_agent([e], RunTasks)}
    assert target == "agent-1"


@then("a claimed job is not accepted if its route needs advice by now")
def check_claimed_advice(context):
    advised = msgspec.structs.replace(DEFAULT_ROUTE, needs_advice=True)
    effects = claim_then_configure(advised)
    assert not sent_to_agent(effects, RunTasks)
    (answer,) = answers(effects)
    assert answer.interrupted, answer


REPORT = BackendReport(
    lifetime=BackendIncarnation("i-1", 1),
    service=SERVICE,
    capacity=Room(10, 10),
    labels=("a",),
    clock_ms=1000,
    sequence=1,
)
TASKS = RunTasks(
    sequence=1,
    job_id="a" * 16,
    indexes=(0,),
    run=1,
    cpu_milli=10,
    memory_mb=10,
    estimate_ms=100,
    time_left_ms=1000,
    may_wait=True,
)


class ListedLog:
    def __init__(self):
        self.decisions = []

    def write(self, decision):
        self.decisions.append(decision)


def agent_without_server(log=None):
    return DirectAgent(
        agent_id="agent",
        incarnation=1,
        limits=DirectAgentLimits(),
        log=log or NullDecisionLog(),
    )


def make_agent(log=None):
    agent = agent_without_server(log)
    agent.tick(1.0)
    agent.entry_connected("entry", 1, 1.0)
    agent.receive_report(REPORT, 1.0)
    listing = Listing(clock_ms=1001, born_ms=1)
    agent.receive_listing(listing, REPORT.lifetime, 1.0, 1.0)
    return agent


def sent_to_entry(effects, message_type):
    return [
        effect.message
        for effect in effects
        if isinstance(effect, SendToEntry)
        and isinstance(effect.message, message_type)
    ]


@then("tasks of another service or with another label are refused")
def check_refused_tasks(context):
    for fields in ({"service_name": OTHER}, {"requires": "b"}):
        message = msgspec.structs.replace(TASKS, **fields)
        effects = make_agent().receive("entry", message, 1.01)
        (answer,) = sent_to_entry(effects, TaskEnded)
        assert answer.ending == "not_run", answer
        assert not any(isinstance(e, SendStartRequest) for e in effects)


@then("tasks of an earlier release, which names neither, are run")
def check_earlier_release(context):
    known = {"service_name": SERVICE, "requires": "a"}
    for fields in ({}, known):
        message = msgspec.structs.replace(TASKS, **fields)
        effects = make_agent().receive("entry", message, 1.01)
        assert any(isinstance(e, SendStartRequest) for e in effects), effects


@then("queued tasks are given back if the server's service changes")
def check_given_back(context):
    for fields in ({"service": OTHER}, {"labels": ("b",)}):
        agent = make_agent()
        agent.receive("entry", TASKS, 1.01)
        second = msgspec.structs.replace(TASKS, sequence=2, indexes=(1,))
        agent.receive("entry", second, 1.01)
        report = msgspec.structs.replace(REPORT, sequence=2, **fields)
        effects = agent.receive_report(report, 1.02)
        (answer,) = sent_to_entry(effects, TaskEnded)
        assert (answer.index, answer.ending) == (1, "not_run"), answer


@then("no capacity is offered to tasks of another service")
def check_offers(context):
    for service, count in ((OTHER, 0), (SERVICE, 1), ("", 1)):
        notice = TasksWaiting(
            count=1, cpu_milli=4, memory_mb=4, service_name=service
        )
        effects = make_agent().receive("entry", notice, 1.01)
        offers = sent_to_entry(effects, CapacityOffered)
        assert len(offers) == count, (service, offers)


FOREIGN = BackendReport(
    lifetime=BackendIncarnation("elsewhere", 2**40),
    service="unknown",
    capacity=Room(10, 10),
    clock_ms=2**40,
    sequence=1,
)


@given("servers whose agents get reports of other writers")
def start_foreign(context):
    context.world = make_world(2, 3, (SERVICE,))


@when("jobs come for {seconds:d} s beside such reports")
def submit_beside_reports(context, seconds):
    world = context.world
    submit_evenly(world, 20, seconds, (DEFAULT_ROUTE,))
    for number in range(10 * seconds):
        agent_id = f"agent-{number % 3}"
        world.schedule(
            number / 10,
            lambda agent_id=agent_id: world.report_to_agent(agent_id, FOREIGN),
        )
    world.schedule(2.0, lambda: world.crash_backend("agent-0", downtime_s=0.5))
    world.run(seconds + 6.0)


@then("no run was lost but those of the server that crashed")
def check_lost(context):
    starts = [
        start
        for backend in context.world.backends.values()
        for start in backend.started
    ]
    again = len(starts) - len({key for key, _ in starts})
    assert again <= 10, again


@then("each server is used until the end")
def check_used(context):
    for name, agent in context.world.agents.items():
        assert agent.report.lifetime.instance == name, name
        assert agent.backend.ready, name


@then("a report of another writer that comes first keeps no server out")
def check_first(context):
    agent = agent_without_server()
    agent.receive_report(FOREIGN, 1.0)
    agent.receive_report(REPORT, 1.01)
    # The poll of the one that reported first is turned away.
    agent.mark_backend_ended("another lifetime answers", 1.02)
    assert agent.report is REPORT
    listing = Listing(clock_ms=1001, born_ms=1)
    agent.receive_listing(listing, REPORT.lifetime, 1.02, 1.03)
    assert agent.backend.ready


@then("a report set aside is used once the server has ended")
def check_set_aside(context):
    agent = make_agent()
    second = msgspec.structs.replace(
        REPORT, lifetime=BackendIncarnation("i-1", 2), clock_ms=5
    )
    agent.receive_report(second, 1.1)
    assert agent.report is REPORT
    agent.mark_backend_ended("refused", 1.11, is_refused=True)
    assert agent.report is second


@then("one that the server outlives is dropped")
def check_dropped(context):
    agent = make_agent()
    agent.receive_report(FOREIGN, 1.1)
    asked_before = Listing(clock_ms=1100, born_ms=1)
    agent.receive_listing(asked_before, REPORT.lifetime, 1.09, 1.11)
    assert agent.backend.candidate is FOREIGN
    asked_since = Listing(clock_ms=1120, born_ms=1)
    agent.receive_listing(asked_since, REPORT.lifetime, 1.11, 1.12)
    assert agent.backend.candidate is None
    agent.mark_backend_ended("refused", 1.2, is_refused=True)
    assert agent.report is None


@then("one that was never the server is not blamed for a crash")
def check_no_blame(context):
    log = ListedLog()
    agent = make_agent(log)
    agent.receive("entry", TASKS, 1.01)
    agent.mark_backend_ended("refused", 1.02, is_refused=True)
    # The run may begin at the next incarnation, and waits for it.
    assert len(agent.runs) == 1
    agent.receive_report(FOREIGN, 1.03)
    agent.mark_backend_ended("another lifetime answers", 1.04)
    crashes = [d for d in log.decisions if isinstance(d, BackendCrashed)]
    assert len(crashes) == 1, crashes
