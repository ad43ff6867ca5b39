import random

from behave import given
from behave import then
from behave import when
from direct_decisions_steps import agent_with_server
from direct_decisions_steps import BACKEND_INCARNATION
from direct_decisions_steps import listing_at
from direct_decisions_steps import ROUTE
from late_binding_steps import connect_agent
from late_binding_steps import sent_to_agent
import msgspec

from egretcart.connection.traffic import TrafficCounters
from egretcart.direct.agent.agent_types import SendStartRequest
from egretcart.direct.agent.agent_types import SendToEntry
from egretcart.direct.backend.backend import BackendIncarnation
from egretcart.direct.backend.backend import BackendReport
from egretcart.direct.backend.backend import Listing
from egretcart.direct.backend.backend import RunningTask
from egretcart.direct.backend.backend import StartAnswer
from egretcart.direct.connection.messages import RunTasks
from egretcart.direct.connection.messages import TaskEnded
from egretcart.direct.connection.offer_messages import TasksWaiting
from egretcart.direct.connection.peer_messages import CrashScoresRaised
from egretcart.direct.entry.entry import DirectEntry
from egretcart.direct.entry.entry_types import Answer
from egretcart.direct.entry.entry_types import DirectEntryLimits
from egretcart.direct.log.agent_decisions import BackendCrashed
from egretcart.direct.log.decisions import NullDecisionLog
from egretcart.direct.policy.confinement import ConfinementLimits
from egretcart.direct.process.metered_log import MeteredLog
from egretcart.direct.request.crash_scores import CrashScore
from egretcart.direct.request.job import Job
from egretcart.direct.request.job import JobState
from egretcart.direct.request.job import Room
from egretcart.direct.request.job import Step
from egretcart.direct.request.job import TaskKey
from egretcart.direct.version.configuration import RoutingConfiguration
from egretcart.process.metric_table import SERVERS_CRASHED
from egretcart.process.metrics import ProcessMetrics

OLD, RECENT, THIRD = (character * 16 for character in "abc")
NEW_INCARNATION = BackendIncarnation("server", 2000)


class CrashLog:
    """Keeps the lines about crashes."""

    def __init__(self):
        self.crashes = []

    def write(self, decision):
        if isinstance(decision, BackendCrashed):
            self.crashes.append(decision)


def apply(context, effects):
    """Keep what the agent has told of ended runs; return the starts."""
    context.ended += [
        effect.message
        for effect in effects
        if isinstance(effect, SendToEntry)
        and isinstance(effect.message, TaskEnded)
    ]
    return [e.request for e in effects if isinstance(e, SendStartRequest)]


def send_task(context, job_id, now, *, crash_score=0):
    message = RunTasks(
        job_id=job_id,
        indexes=(0,),
        run=1,
        cpu_milli=1,
        crash_score=crash_score,
    )
    return apply(context, context.agent.receive("entry", message, now))


def start_task(context, job_id, now):
    (request,) = send_task(context, job_id, now)
    context.agent.start_answered(request, StartAnswer.STARTED, now)


def list_runs(context, job_ids, now, *, incarnation=BACKEND_INCARNATION):
    listing = Listing(
        clock_ms=4000 + round(1000 * now),
        born_ms=incarnation.born_ms,
        running=tuple(
            RunningTask(key=TaskKey(job_id, 0, 0), run=1, percent=1.0)
            for job_id in job_ids
        ),
    )
    agent = context.agent
    apply(context, agent.receive_listing(listing, incarnation, now, now))
    apply(context, agent.tick(now))


@given("an agent whose server runs one task for 0.5 s and another for 20 ms")
def start_agent(context):
    context.log = CrashLog()
    context.metrics = ProcessMetrics(traffic=TrafficCounters())
    agent = context.agent = agent_with_server(
        log=MeteredLog(log=context.log, metrics=context.metrics)
    )
    context.ended = []
    agent.receive_listing(listing_at(1.0), BACKEND_INCARNATION, 1.0, 1.01)
    agent.entry_connected("entry", 1, 1.01)
    start_task(context, OLD, 1.02)
    for step in range(1, 6):
        list_runs(context, [OLD], 1.0 + step / 10)
    start_task(context, RECENT, 1.5)
    list_runs(context, [OLD, RECENT], 1.52)
    context.runs = list(agent.runs)


@given("a third one whose start it has not answered")
def start_third(context):
    (context.third,) = send_task(context, THIRD, 1.53)


@when("the server is gone")
def end_server(context):
    effects = context.agent.mark_backend_ended("refused", 1.53, is_refused=1)
    apply(context, effects)


@when("the server says that it ends")
def announce_end(context):
    apply(
        context,
        context.agent.mark_backend_ended(
            "it said so", 1.53, is_refused=True, is_announced=True
        ),
    )


@when("the server drains and is gone")
def drain_server(context):
    report = msgspec.structs.replace(
        context.agent.report, draining=True, sequence=5
    )
    apply(context, context.agent.receive_report(report, 1.53))
    end_server(context)


@when("the agent is paused for {seconds:d} s")
def pause_agent(context, seconds):
    apply(context, context.agent.tick(1.52 + seconds))
    assert not context.agent.runs


@when("the lease lapses")
def let_lease_lapse(context):
    agent = context.agent
    agent.start_answered(context.third, None, 1.78)
    now = 1.53
    while not agent.backend.lease_expired:
        now += 0.05
        apply(context, agent.tick(now))


@when("another incarnation reports and lists the third one")
def restart_server(context):
    context.agent.start_answered(context.third, StartAnswer.STARTED, 1.54)
    report = BackendReport(
        lifetime=NEW_INCARNATION,
        service="service",
        capacity=Room(10, 10, 0),
        clock_ms=40,
    )
    apply(context, context.agent.receive_report(report, 1.55))
    # The poll that follows is answered by the new incarnation.
    listing = Listing(clock_ms=41, born_ms=NEW_INCARNATION.born_ms)
    effects = context.agent.receive_listing(
        listing, BACKEND_INCARNATION, 1.55, 1.55
    )
    apply(context, effects)
    list_runs(context, [THIRD], 1.56, incarnation=NEW_INCARNATION)


@when("the new incarnation is gone")
def end_new_incarnation(context):
    assert {ended.job_id for ended in context.ended} == {OLD, RECENT}
    effects = context.agent.mark_backend_ended("refused", 1.58, is_refused=1)
    apply(context, effects)


@when("the new incarnation says that it ends")
def announce_new_end(context):
    announce_end(context)


@when("the start of the third one finds no server")
def refuse_third(context):
    apply(
        context,
        context.agent.start_answered(
            context.third, StartAnswer.NOT_SENT, 1.54
        ),
    )


def weights(context):
    """Return what entries were told; an agent that was paused told nothing."""
    found = {run.key.job_id: run.crash_weight for run in context.runs}
    found.update((ended.job_id, ended.crash_weight) for ended in context.ended)
    return found


@then("the crash counts {old:d} and {recent:d} against them")
def check_weights(context, old, recent):
    found = weights(context)
    assert (found[OLD], found[RECENT]) == (old, recent), found


@then("it counts {weight:d} against the third")
def check_third(context, weight):
    assert weights(context)[THIRD] == weight, weights(context)


@then("the crash counts {weight:d} against the third, once")
def check_third_once(context, weight):
    check_third(context, weight)
    assert len(context.ended) == 3, context.ended
    assert [crash.runs for crash in context.log.crashes] == [3, 1]


@then("the line of the crash names the last started run first")
def check_line(context):
    (crash,) = context.log.crashes
    assert (crash.runs, crash.suspects) == (2, 1), crash
    first, second = crash.last_started
    assert first == f"{RECENT}.0.0 run 1, 30 ms, entry entry", first
    assert second.startswith(OLD), second


@then("the crash is counted")
def check_metric(context):
    name = SERVERS_CRASHED.name.replace(".", "_")
    assert f"{name}_total 1" in context.metrics.render().decode()


@when("two suspects and another task come")
def send_suspects(context):
    for job_id in ("d" * 16, "e" * 16):
        context.starts = getattr(context, "starts", [])
        context.starts += send_task(context, job_id, 1.6, crash_score=2)
    context.starts += send_task(context, THIRD, 1.6)


@then("one suspect and the other task start at once")
def check_first_suspect(context):
    started = [request.key.job_id for request in context.starts]
    assert started == ["d" * 16, THIRD], started
    assert not context.ended, "the other one may wait"


@then("the other suspect starts after {wait_s:g} s")
def check_second_suspect(context, wait_s):
    running = [OLD, RECENT, "d" * 16, THIRD]
    agent = context.agent
    for request in context.starts:
        agent.start_answered(request, StartAnswer.STARTED, 1.6)
    list_runs(context, running, 1.6 + wait_s - 0.05)
    early = apply(context, agent.tick(1.6 + wait_s - 0.01))
    assert not early, early
    (context.second,) = apply(context, agent.tick(1.6 + wait_s + 0.01))
    assert context.second.key.job_id == "e" * 16


@then("a crash 50 ms later counts in full against that suspect alone")
def check_blame(context):
    agent = context.agent
    agent.start_answered(context.second, StartAnswer.STARTED, 1.84)
    (fresh,) = send_task(context, "f" * 16, 1.85)
    agent.start_answered(fresh, StartAnswer.STARTED, 1.86)
    apply(context, agent.mark_backend_ended("refused", 1.88, is_refused=True))
    found = weights(context)
    assert found.pop("e" * 16) == 2, found
    assert set(found.values()) == {1}, found


# Entries.


def key_of(job_id):
    return TaskKey(job_id, 0, 0)


def make_entry(*, agents=8, free=10):
    """Return an entry whose agents have no free capacity if `free` is 0."""
    entry = DirectEntry(
        entry_id="entry",
        limits=DirectEntryLimits(confinement=ConfinementLimits(is_on=True)),
        log=NullDecisionLog(),
        source=random.Random(1),
    )
    entry.configure(
        RoutingConfiguration(version=1, routes=(ROUTE, CONFINED)), "test"
    )
    entry.tick(1.0)
    for number in range(agents):
        connect_agent(entry, f"agent-{number}", free=free, now=1.0)
    return entry


def crashes_of(job_id, score, route=""):
    return CrashScoresRaised(
        tasks=(CrashScore(job_id=job_id, score=score, route=route),)
    )


@then("an entry that learns less than it knows keeps what it knows")
def check_learning(_context):
    entry = make_entry()
    entry.receive_from_peer("peer", crashes_of(OLD, 4), 1.0)
    entry.receive_from_peer("peer", crashes_of(OLD, 2), 1.1)
    assert entry.state.crash_scores.score_of(key_of(OLD)) == 4


@then("an entry forgets crashes after {seconds:d} s")
def check_forgotten(_context, seconds):
    entry = make_entry()
    entry.receive_from_peer("peer", crashes_of(OLD, 4), 1.0)
    entry.tick(1.0 + seconds - 0.1)
    assert entry.state.crash_scores.score_of(key_of(OLD)) == 4
    entry.tick(1.0 + seconds + 0.1)
    assert not entry.state.crash_scores.known


CONFINED = msgspec.structs.replace(ROUTE, name="confined")


def small_job(job_id, count=1):
    step = Step(count=count, room=Room(5, 5, 0), estimate_ms=100.0)
    return Job(job_id=job_id, payload="", steps=(step,))


def confine_route(entry):
    """Let an entry learn of two crashing jobs of a route among others."""
    entry.submit(1, small_job("1" * 16), ROUTE, 1.0)
    for job_id in ("8" * 16, "9" * 16):
        crashes = crashes_of(job_id, 4, CONFINED.name)
        entry.receive_from_peer("peer", crashes, 1.0)
    entry.tick(1.05)
    assert entry.state.confinement.routes == {CONFINED.name}
    return entry.state.confinement.agents


@then("a confined route's tasks go to its agents, and others elsewhere")
def check_placement(_context):
    entry = make_entry()
    agents = confine_route(entry)
    assert len(agents) == 2, agents
    for number, route in enumerate((CONFINED, ROUTE) * 2):
        effects = entry.submit(
            number + 2, small_job(f"{number:016d}"), route, 1.06
        )
        (target,) = {
            effect.agent_id
            for effect in effects
            if sent_to_agent([effect], RunTasks)
        }
        assert (target in agents) == (route is CONFINED), (target, agents)


@then("a job is refused as its route is confined while other routes have room")
def check_refusal(_context):
    entry = make_entry()
    for agent_id in confine_route(entry):
        entry.agent_disconnected(agent_id, 1.06)
    entry.state.discovery_ends_at = 0.0
    effects = entry.submit(2, small_job("2" * 16), CONFINED, 1.06)
    (answer,) = [e for e in effects if isinstance(e, Answer)]
    assert answer.cause == "its route is confined", answer
    assert answer.retry_after_s >= 1, answer
    effects = entry.submit(3, small_job("3" * 16), ROUTE, 1.06)
    assert sent_to_agent(effects, RunTasks), effects


@then("agents are not told of waiting tasks of a confined route")
def check_notices(_context):
    entry = make_entry(free=0)
    confine_route(entry)
    told = entry.submit(2, small_job("2" * 16, 8), CONFINED, 1.06)
    assert "2" * 16 in entry.jobs
    assert not sent_to_agent(told, TasksWaiting), told
    assert entry.state_of("2" * 16) is JobState.QUEUED


def fill_other_agents(entry):
    """Let all agents but those of the confined route be full."""
    confined = entry.state.confinement.agents
    for agent_id, view in entry.agents.items():
        if agent_id not in confined:
            status = msgspec.structs.replace(
                view.status, free_cpu_milli=0, free_memory_mb=0
            )
            entry.receive(agent_id, status, 1.06)


@then("a confined route's tasks are sent although others find no capacity")
def check_sent_beside_others(_context):
    entry = make_entry()
    confine_route(entry)
    fill_other_agents(entry)
    effects = entry.submit(2, small_job("2" * 16), ROUTE, 1.06)
    assert not sent_to_agent(effects, RunTasks), effects
    effects = entry.submit(3, small_job("3" * 16), CONFINED, 1.06)
    (tasks,) = sent_to_agent(effects, RunTasks)
    assert tasks.job_id == "3" * 16


@then("neither counts on the other's agents")
def check_views(_context):
    entry = make_entry()
    agents = confine_route(entry)
    for route in (CONFINED, ROUTE):
        views = entry.state.views_for(route)
        found = {view.status.agent_id for view in views}
        expected = agents if route is CONFINED else set(entry.agents) - agents
        assert found == expected, (route.name, found)
    entry.submit(2, small_job("2" * 16), CONFINED, 1.06)
    held = entry.jobs["2" * 16]
    elsewhere = entry.state.free_agents_elsewhere(
        held, held.tasks[key_of("2" * 16)]
    )
    assert {view.status.agent_id for view in elsewhere} < agents
