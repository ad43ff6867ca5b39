import random
from unittest import mock

from behave import then
from behave import when
from direct_decisions_steps import agent_with_server
from direct_decisions_steps import BACKEND_INCARNATION
from direct_decisions_steps import listing_at
from direct_world_steps import inject_fault
from hypothesis import given as drawn
from hypothesis import strategies
from late_load_steps import LoadedDeployment
from late_load_steps import PLACES_PER_AGENT
from late_load_steps import ROUTES
from late_load_steps import SPEEDS
from late_load_steps import submit_two_queues
from late_load_steps import TASK_ROOM
import trio

from egretcart.connection.traffic import TrafficCounters
from egretcart.direct.agent.agent_process import agent_limits
from egretcart.direct.agent.agent_process import DirectAgentProcess
from egretcart.direct.agent.agent_types import DirectAgentLimits
from egretcart.direct.agent.agent_types import SendStartRequest
from egretcart.direct.agent.agent_types import SendStopRequest
from egretcart.direct.backend.backend import BackendCallError
from egretcart.direct.backend.health import BackendHealth
from egretcart.direct.backend.suspicion import BackendSuspicion
from egretcart.direct.backend.suspicion import ObservedRun
from egretcart.direct.backend.suspicion import Suspicion
from egretcart.direct.backend.suspicion import SuspicionLimits
from egretcart.direct.connection.messages import RunTasks
from egretcart.direct.log.agent_decisions import BackendChanged
from egretcart.direct.log.agent_decisions import RunEnded
from egretcart.direct.log.decisions import NullDecisionLog
from egretcart.direct.process.metered_log import MeteredLog
from egretcart.direct.process.settings import DirectAgentSettings
from egretcart.direct.request.job import Ending
from egretcart.direct.request.job import JobState
from egretcart.process.metric_table import SERVERS_SUSPECTED
from egretcart.process.metrics import ProcessMetrics
from egretcart.testing.fake_backend import TaskSize

ON = SuspicionLimits(is_on=True)
SETTINGS = DirectAgentSettings(
    node="a",
    host="b",
    failure_domain="c",
    peer_port=1,
    store="d:1",
    backend="e:1",
)
# What runs at a server when it goes bad is harmed in any case.
KNOWN_AFTER_S = 0.5
FAULT_AT_S = 1.0
# Share of the capacity that the work takes.
LOAD_SHARE = 0.5
FAULT_SECONDS = 6.0
PHASE_S = 0.9
# Share of the steps of a random load at which a server becomes unreachable.
BREAK_SHARE = 0.03


class KeptLog(NullDecisionLog):
    def __init__(self):
        self.kept = []

    def write(self, decision):
        self.kept.append(decision)


def set_fault(world, name, fault):
    """Let a server stop working or fail all that it begins, or end that."""
    world.backends[name].hangs = fault == "hang"
    failing = TaskSize(room=TASK_ROOM, work_ms=30.0, fails=True)
    world.backends[name].behaviour_of = lambda key: (
        failing if fault == "fail" else world.task_behaviours[key.job_id]
    )


def play(*, fault, servers, bad, suspicion):
    """Play a load while servers misbehave.

    Returns
    -------
    float, LoadedDeployment
        Share of the jobs sent `KNOWN_AFTER_S` after the servers went bad, or
        later, that are late, and the world.
    """
    world = LoadedDeployment(
        entries=4,
        agents=servers,
        seed=1,
        speeds=SPEEDS,
        suspicion=suspicion,
        log=KeptLog(),
    )
    world.run(2.0)
    source = random.Random(1)
    places = servers * PLACES_PER_AGENT * sum(SPEEDS) / len(SPEEDS)
    names = [f"agent-{number * 5}" for number in range(bad)]
    begin, work_s = world.now, 0.0
    while world.now - begin < FAULT_SECONDS:
        passed_s = world.now - begin
        while work_s < passed_s * places * LOAD_SHARE:
            tasks = source.choice((1, 2, 4, 8))
            work_ms = source.choice((100, 300, 300, 1200))
            work_s += tasks * work_ms / 1000
            world.submit(
                tasks=tasks,
                work_ms=work_ms,
                room=TASK_ROOM,
                estimate_ms=work_ms * source.uniform(0.7, 1.3),
                route=ROUTES["first"],
            )
        is_bad = passed_s > FAULT_AT_S
        if fault == "flap":
            is_down = (
                is_bad and (passed_s - FAULT_AT_S) % (2 * PHASE_S) < PHASE_S
            )
            world.unreachable = set(names) if is_down else set()
        else:
            for name in names:
                set_fault(world, name, fault if is_bad else "")
        world.run(source.uniform(0.004, 0.016))
    world.unreachable = set()
    for name in names:
        set_fault(world, name, "")
    world.run(8.0)
    known_at = begin + FAULT_AT_S + KNOWN_AFTER_S
    sent = [one for one in world.requests if one.sent_at > known_at]
    late = 0
    for request in sent:
        work_ms = world.task_behaviours[request.job.job_id].work_ms
        is_done = request.answer.state is JobState.COMPLETED
        late += not is_done or request.elapsed_s * 1000 > 1.6 * work_ms + 60
    return late / len(sent), world


def play_both(context, fault, servers, bad):
    context.late, context.world = play(
        fault=fault, servers=servers, bad=bad, suspicion=ON
    )
    context.late_before, _ = play(
        fault=fault, servers=servers, bad=bad, suspicion=SuspicionLimits()
    )


@when("{bad:d} of {servers:d} servers go down and up by turns")
def play_flap(context, bad, servers):
    play_both(context, "flap", servers, bad)


@when("{bad:d} of {servers:d} servers stop working and answer on")
def play_hang(context, bad, servers):
    play_both(context, "hang", servers, bad)


@then(
    "at most {share:g} of the jobs sent after half a second of that are late"
)
def check_late(context, share):
    assert context.late <= share, (context.late, context.late_before)


@then("at least a third fewer of them are late than if no server is suspected")
def check_fewer_late(context):
    late, before = context.late, context.late_before
    assert late <= before * 2 / 3, (late, before)


@when(
    "a deployment whose servers are suspected has random faults, seed {seed:d}"
)
def run_faults(context, seed):
    source = random.Random(seed)
    context.world = world = LoadedDeployment(
        entries=3, agents=4, seed=seed, suspicion=ON, log=KeptLog()
    )
    world.run(2.0)

    def fault():
        inject_fault(world, source)
        if source.random() < BREAK_SHARE:
            name = source.choice(sorted(world.backends))
            world.unreachable.add(name)
            world.schedule(
                source.uniform(0.1, 1.5),
                lambda: world.unreachable.discard(name),
            )

    submit_two_queues(
        world, source, share=0.9, seconds=FAULT_SECONDS, each_step=fault
    )
    world.unanswered = 0
    world.unreachable.clear()
    suspected = {
        decision.cause
        for decision in world.log.kept
        if isinstance(decision, BackendChanged) and decision.state == "suspect"
    }
    assert "silent" in suspected, suspected


def failed_runs(world):
    return sum(
        isinstance(decision, RunEnded)
        and decision.ending == Ending.FAILED.value
        for decision in world.log.kept
    )


@when(
    "{bad:d} of {servers:d} servers fail what they begin and finish what they "
    "had begun"
)
def play_fail(context, bad, servers):
    played = {"fault": "fail", "servers": servers, "bad": bad}
    context.late, context.world = play(**played, suspicion=ON)
    record_success = BackendHealth.record_success
    with mock.patch.object(
        BackendHealth,
        "record_success",
        lambda health, started_at: record_success(health),
    ):
        context.late_before, context.world_before = play(
            **played, suspicion=ON
        )


@then("at most half as many runs fail as if any success counted")
def check_failed_runs(context):
    failed = failed_runs(context.world), failed_runs(context.world_before)
    assert failed[0] <= failed[1] / 2, (failed, context.late_before)


def silent(suspicion, now):
    for _ in range(suspicion.limits.failed_polls):
        suspicion.record_failed_poll(now)


@then("two failed polls make it silent, and one answer ends that")
def check_silent(context):
    suspicion = BackendSuspicion(limits=ON)
    suspicion.record_failed_poll(1.0)
    assert suspicion.state(1.0) is Suspicion.NONE
    suspicion.record_failed_poll(1.05)
    assert suspicion.state(1.05) is Suspicion.SILENT
    suspicion.record_answer(1.1)
    assert suspicion.state(1.1) is Suspicion.NONE


@then("it is held after its second silence, for longer after the third")
def check_held(context):
    suspicion = BackendSuspicion(limits=ON)
    held_s = []
    for now in (10.0, 12.0, 14.0, 16.0, 30.0):
        silent(suspicion, now)
        suspicion.record_answer(now)
        held_s.append(suspicion.held_until - now)
    assert held_s == [0.0, 1.0, 2.0, 2.0, 0.0], held_s


def observed(job_id, still_s, *, age_s=1.0, estimate_ms=300.0):
    return ObservedRun(
        job_id=job_id, age_s=age_s, still_s=still_s, estimate_ms=estimate_ms
    )


def is_stalled(*runs):
    suspicion = BackendSuspicion(limits=ON)
    suspicion.record_runs(runs)
    return suspicion.state(1.0) is Suspicion.STALLED


@then("runs of three jobs that all stand still make it suspect")
def check_stalled(context):
    still = [observed(job_id, 0.2) for job_id in "abc"]
    assert is_stalled(*still)
    assert is_stalled(*still, observed("d", 0.05, age_s=0.05))
    assert not is_stalled(*[observed(job_id, 0.1) for job_id in "abc"])
    long_run = {"age_s": 5.0, "estimate_ms": 20_000.0}
    assert is_stalled(*still, observed("d", 0.3, **long_run))
    assert not is_stalled(*still, observed("d", 0.1, **long_run))
    assert not is_stalled(
        *still[:2], *[observed("d", 0.3, **long_run) for _ in range(3)]
    )


@then("one run that goes on, or ends, shows that it works")
def check_goes_on(context):
    still = [observed(job_id, 0.2) for job_id in "abc"]
    assert not is_stalled(*still, observed("d", 0.05))
    assert not is_stalled(*[observed(job_id, 0.05) for job_id in "abcd"])


class FailingBackend:
    """Answers no poll, or turns each away."""

    def __init__(self, *, answered):
        self.answered = answered

    async def poll(self, request, *, time_limit_s):
        raise BackendCallError("status 503", answered=self.answered)


class StoppedClock:
    def monotonic(self):
        return 1.1

    def unix_ms(self):
        return 1


@then("a server that answers polls by turning them away is not silent")
def check_turned_away(context):
    for answered, state in (
        (True, Suspicion.NONE),
        (False, Suspicion.SILENT),
    ):
        process = DirectAgentProcess(
            settings=SETTINGS,
            limits=DirectAgentLimits(suspicion=ON),
            clock=StoppedClock(),
            log=NullDecisionLog(),
            traffic=TrafficCounters(),
            backend=FailingBackend(answered=answered),
            report_store=None,
        )
        process.agent = agent_with_server(
            limits=DirectAgentLimits(suspicion=ON)
        )
        process.agent.receive_listing(
            listing_at(1.0), BACKEND_INCARNATION, 1.0, 1.0
        )
        for _ in range(5):
            trio.run(process._poll_once, 0)
        assert process.agent.backend.suspicion.state(1.1) is state


@then("a poll that was sent before the last answer says nothing")
def check_old_poll(context):
    for asked_at, state in ((0.9, Suspicion.NONE), (1.1, Suspicion.SILENT)):
        agent = agent_with_server(limits=DirectAgentLimits(suspicion=ON))
        agent.receive_listing(listing_at(1.0), BACKEND_INCARNATION, 1.0, 1.0)
        for _ in range(3):
            agent.poll_failed(asked_at, 1.2)
        assert agent.backend.suspicion.state(1.2) is state
        assert agent.status(0, 1.2).accepting == (state is Suspicion.NONE)


@then("a run at a silent server is stopped once the server answers")
def check_stops(context):
    agent = agent_with_server(limits=DirectAgentLimits(suspicion=ON))
    agent.receive_listing(listing_at(1.0), BACKEND_INCARNATION, 1.0, 1.0)
    agent.entry_connected("entry", 1, 1.0)
    message = RunTasks(
        job_id="a" * 16,
        indexes=(0,),
        run=1,
        cpu_milli=10,
        memory_mb=10,
        estimate_ms=100,
    )
    [start] = [
        effect.request
        for effect in agent.receive("entry", message, 1.0)
        if isinstance(effect, SendStartRequest)
    ]
    agent.start_answered(start, None, 1.01)

    def stops(effects):
        return sum(isinstance(effect, SendStopRequest) for effect in effects)

    agent.poll_failed(1.02, 1.02)
    agent.poll_failed(1.03, 1.03)
    for now in (1.05, 1.1, 1.15):
        assert not stops(agent.tick(now))
    agent.receive_listing(listing_at(1.2), BACKEND_INCARNATION, 1.2, 1.2)
    assert stops(agent.tick(1.21)) == 1


RUNS = strategies.lists(
    strategies.builds(
        observed,
        strategies.sampled_from("ab"),
        strategies.floats(0, 2),
        age_s=strategies.floats(0, 2),
    ),
    max_size=20,
)
TIMES = strategies.lists(strategies.floats(0, 3), max_size=30)


@then("no runs of two jobs make it suspect, and no hold is endless")
@drawn(RUNS, TIMES)
def check_bounds(context, runs, gaps_s):
    assert not is_stalled(*runs)
    suspicion, now = BackendSuspicion(limits=ON), 1.0
    for gap_s in gaps_s:
        now += gap_s
        silent(suspicion, now)
        assert suspicion.state(now) is Suspicion.SILENT
        suspicion.record_answer(now)
        assert suspicion.state(now) in (Suspicion.NONE, Suspicion.HELD)
        assert suspicion.state(now + ON.max_hold_s) is Suspicion.NONE


@then("a server is never suspect without the setting")
def check_setting(context):
    limits = agent_limits(SETTINGS).suspicion
    assert not limits.is_on
    suspicion = BackendSuspicion(limits=limits)
    silent(suspicion, 1.0)
    suspicion.record_runs([observed(job_id, 0.2) for job_id in "abc"])
    assert suspicion.state(1.0) is Suspicion.NONE


@then("suspicion is logged and counted")
def check_logged(context):
    kept, metrics = KeptLog(), ProcessMetrics(traffic=TrafficCounters())
    agent = agent_with_server(
        limits=DirectAgentLimits(suspicion=ON),
        log=MeteredLog(log=kept, metrics=metrics),
    )
    agent.receive_listing(listing_at(1.0), BACKEND_INCARNATION, 1.0, 1.0)
    agent.poll_failed(1.1, 1.1)
    agent.poll_failed(1.15, 1.15)
    agent.receive_listing(listing_at(1.2), BACKEND_INCARNATION, 1.2, 1.2)
    changes = [
        (decision.state, decision.cause)
        for decision in kept.kept
        if isinstance(decision, BackendChanged)
    ][-2:]
    assert changes == [("suspect", "silent"), ("trusted", "it was silent")]
    text = metrics.render().decode()
    name = SERVERS_SUSPECTED.name.replace(".", "_")
    assert f'{name}_total{{cause="silent"}} 1' in text, text
