import random

from behave import given
from behave import then
from behave import when
from direct_decisions_steps import BACKEND_INCARNATION
from direct_decisions_steps import listing_at
from direct_decisions_steps import ROUTE
from direct_decisions_steps import STEP
from direct_world_steps import inject_random_faults
from direct_world_steps import submit_load
from direct_world_steps import TASK_ROOM
from drain_machine import check_drain_machine
from drain_machine import DOMAIN_OF
from drain_machine import DrainMachine
from drain_machine import ENTRIES
from job_release_steps import RecordingLog
import msgspec

from egretcart.direct.agent.agent import DirectAgent
from egretcart.direct.agent.agent_types import DirectAgentLimits
from egretcart.direct.agent.agent_types import SendStartRequest
from egretcart.direct.backend.backend import BackendReport
from egretcart.direct.connection.messages import AgentHello
from egretcart.direct.connection.messages import AgentStatus
from egretcart.direct.connection.messages import Beat
from egretcart.direct.connection.messages import RunTasks
from egretcart.direct.connection.wire import find_violation
from egretcart.direct.entry.entry import DirectEntry
from egretcart.direct.entry.entry_types import DirectEntryLimits
from egretcart.direct.log.agent_decisions import RunEnded
from egretcart.direct.log.decisions import JobRefused
from egretcart.direct.log.decisions import NullDecisionLog
from egretcart.direct.request.job import Job
from egretcart.direct.request.job import JobState
from egretcart.direct.request.job import Room
from egretcart.direct.request.job import TaskKey
from egretcart.direct.version.drained_domains import DrainedDomains
from egretcart.direct.version.drained_domains import KnownDrainedDomains
from egretcart.testing.direct_world import SimulatedDeployment

DOMAINS = ("a", "b", "c")
# An entry that misses a change reads the store again a second later, and its
# agents miss heartbeats for a second before they leave a stalled entry.
BOUND_UNDER_FAULTS_S = 2.5


class EndedRuns:
    """A `DecisionLog` that keeps the ending of each run."""

    def __init__(self):
        self.endings = {}

    def write(self, decision):
        if isinstance(decision, RunEnded):
            key = TaskKey(decision.job_id, decision.step, decision.index)
            self.endings[key, decision.run] = decision.ending


def deployment(seed, log=None):
    return SimulatedDeployment(
        entries=3, agents=6, seed=seed, failure_domains=DOMAINS, log=log
    )


def agents_of(world, names):
    return [name for name in world.agents if world.domain_of(name) in names]


def starts_in(world, names):
    return [
        start
        for name in agents_of(world, names.split(", "))
        for start in world.backends[name].started
    ]


@then(
    "no process goes back to an older state, believes what the store never "
    "had, or starts what it knows to be drained"
)
def check_machine(context):
    check_drain_machine()


@then(
    "once one entry has read the store, all that are connected to it believe "
    "what it has"
)
def check_machine_settles(context):
    assert DrainMachine.settled_count > 0


DRAIN_OF_A = DrainedDomains(revision=20, domains=("a",))
TASK = RunTasks(
    sequence=1,
    job_id="a" * 16,
    indexes=(0,),
    run=1,
    cpu_milli=4,
    memory_mb=4,
    estimate_ms=100,
    may_wait=True,
)


def start_agent(context, domain):
    """Start an agent that is connected to an entry and may start tasks."""
    agent = context.agent = DirectAgent(
        agent_id="agent",
        incarnation=1,
        limits=DirectAgentLimits(),
        log=NullDecisionLog(),
        failure_domain=domain,
    )
    agent.tick(1.0)
    report = BackendReport(
        lifetime=BACKEND_INCARNATION,
        service="service",
        capacity=Room(10, 10, 0),
        clock_ms=5000,
    )
    agent.receive_report(report, 1.0)
    agent.receive_listing(listing_at(1.0), BACKEND_INCARNATION, 1.0, 1.01)
    agent.entry_connected("entry", 1, 1.01)


def begun(effects):
    return [e for e in effects if isinstance(e, SendStartRequest)]


@given('an agent in "{domain}" that has learnt that "a" is drained')
def start_drained_agent(context, domain):
    start_agent(context, domain)
    context.agent.receive("entry", DRAIN_OF_A, 1.02)


@given('an agent in "{domain}" with a task in its queue')
def start_agent_with_queue(context, domain):
    start_agent(context, domain)
    context.agent.backend.orphaned_runs[TaskKey("b" * 16, 0, 0)] = 1
    assert not begun(context.agent.receive("entry", TASK, 1.02))
    assert len(context.agent.runs.waiting()) == 1


@when('the agent knows that "a" is drained, and its server has room')
def know_drain(context):
    context.agent.drain.known.learn(DRAIN_OF_A, "entry", 1.03)
    context.agent.backend.orphaned_runs.clear()
    context.effects = context.agent.tick(1.04)
    assert len(context.agent.runs.waiting()) == 1


@when('it is told that "a" is drained')
def tell_drain(context):
    context.effects = context.agent.receive("entry", DRAIN_OF_A, 1.03)


@when("a task reaches it")
def receive_task(context):
    context.effects = context.agent.receive("entry", TASK, 1.03)


@then("it is rejected as not run, and nothing is started")
def check_rejected(context):
    ended = next(effect.message for effect in context.effects)
    assert (ended.ending, ended.run) == ("not_run", 1), ended
    assert "drained" in ended.reason, ended
    check_nothing_started(context)


@then("nothing is started")
def check_nothing_started(context):
    assert not begun(context.effects), context.effects


@then("the task is started")
def check_started(context):
    assert len(begun(context.effects)) == 1, context.effects


@then(
    "its first messages to an entry are its failure domain, not accepting, "
    "and the drain"
)
def check_greeting(context):
    effects = context.agent.entry_connected("other", 1, 1.03)
    hello, drained, *_ = [e.message for e in effects if e.entry_id == "other"]
    assert isinstance(hello, AgentHello)
    assert (hello.failure_domain, hello.status.accepting) == ("a", False)
    assert drained == DRAIN_OF_A


@then("of two states of one revision the first stays")
def check_one_revision(context):
    known = KnownDrainedDomains(log=NullDecisionLog())
    assert known.learn(DRAIN_OF_A, "store", 1.0)
    assert not known.learn(DrainedDomains(revision=20), "entry", 1.5)
    assert not known.is_outdated(DrainedDomains(revision=20))
    assert (known.state, known.source) == (DRAIN_OF_A, "store")
    assert known.age_ms(2.0) == 1000


@then(
    "a drain at revision 0 and one of a nameless failure domain are violations"
)
def check_violations(context):
    assert find_violation(DRAIN_OF_A) is None
    assert "revision 0" in find_violation(DrainedDomains())
    nameless = DrainedDomains(revision=1, domains=("",))
    assert "0 characters" in find_violation(nameless)


@given("two entries that know that {domains} is drained, and an agent of both")
def start_pair(context, domains):
    machine = context.machine = DrainMachine()
    machine.cut(("entry-1", "entry-2"))
    machine.write("a", "a" in domains)
    for name in ("entry-1", "entry-2"):
        machine.list_store(name)
    machine.deliver_all()


@when("one of them tells the agent that {domains} is drained, and is cut off")
def tell_and_cut(context, domains):
    machine = context.machine
    machine.write("a", "a" in domains)
    machine.list_store("entry-2")
    machine.deliver_waiting()
    machine.deliver_all()
    machine.cut(("agent-1", "entry-2"))


@when('one tells the other that "a" is drained, as that one reads its end')
def cross_states(context):
    machine = context.machine
    for agent in DOMAIN_OF:
        for entry in ENTRIES:
            machine.cut((agent, entry))
    machine.connect(("entry-1", "entry-2"))
    machine.deliver_all()
    machine.write("a", True)
    machine.list_store("entry-2")
    machine.write("a", False)
    machine.list_store("entry-1")
    machine.deliver_all()


@then("both entries believe that nothing is drained")
def check_both(context):
    for name in ENTRIES:
        assert not context.machine.known_by(name).state.domains, name


@when("the other one reads that {domains} is drained")
def read_store(context, domains):
    machine = context.machine
    machine.write("a", "a" in domains)
    machine.list_store("entry-1")
    machine.deliver_all()


@then("the agent believes that {domains} is drained")
def check_belief(context, domains):
    drain = context.machine.processes["agent-1"].drain
    assert drain.is_drained == ("a" in domains), drain.known.state


@given("a deployment of 3 failure domains under load")
def start_under_load(context):
    world = context.world = deployment(seed=11)
    world.run(2.0)
    submit_load(world, share=0.4, seconds=1.0)


@given("a full deployment of 3 failure domains with tasks that wait at agents")
def start_full(context):
    context.ended = EndedRuns()
    world = context.world = deployment(seed=12, log=context.ended)
    world.run(2.0)
    # Tasks wait at agents only while their entry is behind.
    for entry in world.entries.values():
        entry.lateness.record(1.0)
    context.waiting_jobs = [
        world.submit(tasks=4, work_ms=1500, room=TASK_ROOM) for _ in range(17)
    ]
    world.run(0.02)
    waiting = [
        run
        for name in agents_of(world, "a")
        for run in world.agents[name].runs.waiting()
    ]
    assert waiting


@given('only "{name}" reaches the store')
def reach_store(context, name):
    context.world.unreached = set(context.world.entries) - {name}


@when('"{names}" is drained')
def drain(context, names):
    world = context.world
    for name in names.split(", "):
        world.drain(name)
    context.running = [
        (run.key, run.run)
        for name in agents_of(world, names)
        for run in world.agents[name].runs.occupying()
    ]


@when('"{name}" is drained and taken back after {seconds:g} seconds')
def drain_shortly(context, name, seconds):
    world = context.world
    world.drain(name)
    submit_load(world, share=0.4, seconds=seconds)
    world.drain(name, drained=False)
    context.begun = len(starts_in(world, name))


@when("the store is down and all {kind} are killed")
def kill_all(context, kind):
    world = context.world
    submit_load(world, share=0.4, seconds=0.2)
    world.unreached = set(world.entries)
    for name in world.entries if kind == "entries" else world.agents:
        world.kill(name, downtime_s=0.2)


@when(
    'the store is down, "{name}" is drained, and the store is back after '
    "{seconds:g} seconds"
)
def drain_unseen(context, name, seconds):
    world = context.world
    world.unreached = set(world.entries)
    world.drain(name)
    submit_load(world, share=0.4, seconds=seconds)
    world.unreached = set()
    context.back_at = world.now


@then('nothing begins in "{names}" from {bound_s:g} seconds after the drain')
def check_nothing_begins(context, names, bound_s):
    world = context.world
    world.drain_bound_s = bound_s
    submit_load(world, share=0.25, seconds=3.0)
    assert not world.violations, world.violations[:3]
    assert starts_in(world, "b, c")


@then('the runs in "{name}" go on to their end')
def check_runs_end(context, name):
    context.world.run(3.0)
    endings = {context.ended.endings.get(run) for run in context.running}
    assert endings == {"done"}, endings


@then("every job that waited is completed elsewhere")
def check_completed(context):
    context.world.run(5.0)
    states = {request.answer.state for request in context.waiting_jobs}
    assert states == {JobState.COMPLETED}, states


@then("new jobs are refused at once with a time after which to retry")
def check_refused(context):
    world = context.world
    world.run(0.05)
    requests = [
        world.submit(tasks=2, work_ms=120, room=TASK_ROOM) for _ in range(9)
    ]
    for request in requests:
        assert request.answer.state is None, request
        assert request.answer.retry_after_s >= 1, request.answer
        assert "drained" in request.answer.cause, request.answer


@then("all entries stay ready")
def check_ready(context):
    context.world.run(3.0)
    check_ready_now(context.world)


def check_ready_now(world):
    unready = [n for n, entry in world.entries.items() if not entry.is_ready]
    assert not unready, (world.now, unready)


@then('jobs are accepted and completed again once "{name}" is taken back')
def check_back(context, name):
    world = context.world
    world.drain(name, drained=False)
    world.run(0.1)
    request = world.submit(tasks=2, work_ms=120, room=TASK_ROOM)
    world.run(1.0)
    assert request.answer.state is JobState.COMPLETED, request
    assert not world.violations, world.violations[:3]


@then('all entries stay ready while "{names}" are taken back')
def check_ready_meanwhile(context, names):
    for name in names.split(", "):
        context.world.drain(name, drained=False)
    for _ in range(1000):
        context.world.run(0.001)
        check_ready_now(context.world)


@then("an agent that accepts nothing after that does not make an entry ready")
def check_unready(context):
    world = context.world
    entry = next(iter(world.entries.values()))
    for view in entry.agents.values():
        view.mark_drained(True)
        view.mark_drained(False)
        assert entry.is_ready
        refusing = msgspec.structs.replace(view.status, accepting=False)
        view.update(refusing, world.now)
    assert not entry.is_ready


@then('tasks begin in "{name}" again within {seconds:g} seconds')
def check_begins_again(context, name, seconds):
    world = context.world
    submit_load(world, share=0.4, seconds=seconds)
    assert len(starts_in(world, name)) > context.begun


@then('tasks begin in all of "{names}"')
def check_all_begin(context, names):
    world = context.world
    for name in names.split(", "):
        context.begun = len(starts_in(world, name))
        check_begins_again(context, name, 0.5)


@then(
    'nothing begins in "{name}" from {seconds:g} seconds after the store is '
    "back"
)
def check_nothing_begins_late(context, name, seconds):
    world = context.world
    submit_load(world, share=0.3, seconds=seconds)
    begun = len(starts_in(world, name))
    submit_load(world, share=0.3, seconds=2.0)
    assert len(starts_in(world, name)) == begun


@then(
    'tasks begin in "{name}" again within {seconds:g} seconds after it is '
    "taken back"
)
def check_taken_back(context, name, seconds):
    context.world.drain(name, drained=False)
    context.begun = len(starts_in(context.world, name))
    check_begins_again(context, name, seconds)


@when(
    "a deployment of 3 failure domains runs random faults and drains with "
    "seed {seed:d}"
)
def run_random_drains(context, seed):
    world = context.world = deployment(seed=seed)
    world.drain_bound_s = BOUND_UNDER_FAULTS_S
    source = random.Random(f"drains of {seed}")

    def change():
        domain = source.choice(DOMAINS)
        world.drain(domain, drained=domain not in world.drained.domains)
        world.schedule(source.expovariate(0.7), change)

    world.schedule(3.0, change)
    inject_random_faults(world, random.Random(seed))
    for domain in DOMAINS:
        world.drain(domain, drained=False)


@given("an entry that has just started, and is connected to one drained agent")
def start_entry_with_drained_agent(context):
    context.recorded = RecordingLog()
    context.entry = DirectEntry(
        entry_id="entry",
        limits=DirectEntryLimits(),
        log=context.recorded,
        source=random.Random(1),
    )
    context.entry.tick(1.0)
    hello = AgentHello(
        status=AgentStatus(agent_id="agent"), failure_domain="a"
    )
    context.entry.agent_connected(hello, 1.01)
    context.entry.learn_drained_domains(DRAIN_OF_A, 1.02)


def check_refused_as(context, cause, now):
    # Of no use any more when the first other agent may be found.
    step = msgspec.structs.replace(STEP, estimate_ms=40.0)
    job = Job(job_id=f"{round(now):016x}", payload="", steps=(step,))
    context.entry.submit(1, job, ROUTE, now)
    refusal = context.recorded.decisions[-1]
    assert isinstance(refusal, JobRefused), refusal
    assert refusal.cause == cause, refusal


@then('a job is refused as "{cause}"')
def check_refused_early(context, cause):
    check_refused_as(context, cause, 1.03)


@then('once it has had time to find the others, as "{cause}"')
def check_refused_late(context, cause):
    limits, now = context.entry.limits, 1.03
    while now < 1.0 + limits.discovery_wait_s:
        now += limits.tick_interval_s
        context.entry.receive("agent", Beat(), now)
        context.entry.tick(now)
    check_refused_as(context, cause, now)
