"""Steps that check when an agent suspects its server."""

from behave import then
from direct_decisions_steps import agent_with_server
from direct_decisions_steps import BACKEND_INCARNATION
from direct_decisions_steps import listing_at
from hypothesis import given as drawn
from hypothesis import strategies
import msgspec
from suspicion_load_steps import KeptLog
from suspicion_load_steps import ON
import trio

from egretcart.connection.traffic import TrafficCounters
from egretcart.direct.agent.agent_process import agent_limits
from egretcart.direct.agent.agent_process import DirectAgentProcess
from egretcart.direct.agent.agent_types import DirectAgentLimits
from egretcart.direct.agent.agent_types import SendStartRequest
from egretcart.direct.agent.agent_types import SendStopRequest
from egretcart.direct.agent.agent_types import SendToEntry
from egretcart.direct.backend.backend import BackendCallError
from egretcart.direct.backend.backend import EndedTask
from egretcart.direct.backend.backend import RunningTask
from egretcart.direct.backend.backend import StartAnswer
from egretcart.direct.backend.suspicion import BackendSuspicion
from egretcart.direct.backend.suspicion import ObservedRun
from egretcart.direct.backend.suspicion import Suspicion
from egretcart.direct.connection.messages import RunTasks
from egretcart.direct.connection.messages import TaskEnded
from egretcart.direct.connection.messages import TaskLate
from egretcart.direct.log.agent_decisions import BackendChanged
from egretcart.direct.log.decisions import NullDecisionLog
from egretcart.direct.process.metered_log import MeteredLog
from egretcart.direct.process.settings import DirectAgentSettings
from egretcart.direct.request.job import Ending
from egretcart.direct.request.job import TaskKey
from egretcart.process.metric_table import SERVERS_SUSPECTED
from egretcart.process.metrics import ProcessMetrics

KEYS = [TaskKey(letter * 16, 0, 0) for letter in "abcd"]
SETTINGS = DirectAgentSettings(
    node="a",
    host="b",
    failure_domain="c",
    peer_port=1,
    store="d:1",
    backend="e:1",
)


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


def answering_agent():
    """Return an agent that suspects; its server has answered at 1.0 s."""
    agent = agent_with_server(limits=DirectAgentLimits(suspicion=ON))
    agent.receive_listing(listing_at(1.0), BACKEND_INCARNATION, 1.0, 1.0)
    return agent


def run_tasks(job_id):
    """Return a task that takes all capacity of that server."""
    return RunTasks(
        job_id=job_id,
        indexes=(0,),
        run=1,
        cpu_milli=10,
        memory_mb=10,
        estimate_ms=100,
        time_left_ms=1000,
        may_wait=True,
    )


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
        process.agent = answering_agent()
        for _ in range(5):
            trio.run(process._poll_once, 0)
        assert process.agent.backend.suspicion.state(1.1) is state


@then("a poll that was sent before the last answer or a pause says nothing")
def check_old_poll(context):
    agent = answering_agent()
    agent.tick(1.05)
    agent.tick(9.0)
    for _ in range(3):
        agent.poll_failed(1.1, 9.1)
    assert agent.backend.suspicion.state(9.1) is Suspicion.NONE
    for asked_at, state in ((0.9, Suspicion.NONE), (1.1, Suspicion.SILENT)):
        agent = answering_agent()
        for _ in range(3):
            agent.poll_failed(asked_at, 1.2)
        assert agent.backend.suspicion.state(1.2) is state
        assert agent.status(0, 1.2).accepting == (state is Suspicion.NONE)


class Nursery:
    def __init__(self):
        self.started = 0

    def start_soon(self, *_call):
        self.started += 1


@then(
    "a silent server's lease is not renewed, and its agent polls no more than "
    "once"
)
def check_no_renewal(context):
    process = DirectAgentProcess.__new__(DirectAgentProcess)
    process.agent = agent = answering_agent()
    process.nursery = Nursery()
    process._poll_if_due(1.15)
    assert process.nursery.started == 1
    assert agent.poll_request(1.15, wait_ms=0).deadline_ms is not None
    for _ in range(2):
        agent.poll_failed(1.1, 1.16)
    process._poll_if_due(1.2)
    assert process.nursery.started == 1
    assert agent.poll_request(1.2, wait_ms=0).deadline_ms is None


@then("tasks that wait for it go back to their entry")
def check_rejected(context):
    agent = answering_agent()
    agent.entry_connected("entry", 1, 1.0)
    agent.receive("entry", run_tasks("a" * 16), 1.0)
    agent.receive("entry", run_tasks("b" * 16), 1.0)
    effects = agent.poll_failed(1.02, 1.02) + agent.poll_failed(1.03, 1.03)
    ended = [
        effect.message
        for effect in effects
        if isinstance(effect, SendToEntry)
        and isinstance(effect.message, TaskEnded)
    ]
    [waiting] = ended
    assert waiting.job_id == "b" * 16
    assert waiting.ending == Ending.NOT_RUN.value


def list_at(agent, seconds, percent, ended=()):
    """Let the server list runs of three jobs, and ends of some others."""
    running = [
        RunningTask(key=key, run=1, percent=percent) for key in KEYS[:3]
    ]
    listing = msgspec.structs.replace(
        listing_at(seconds), running=tuple(running), ended=tuple(ended)
    )
    agent.receive_listing(listing, BACKEND_INCARNATION, seconds, seconds)


def agent_with_runs():
    """Return an agent with runs of four jobs; three progress until 1.1 s."""
    agent = answering_agent()
    agent.entry_connected("entry", 1, 1.0)
    for key in KEYS:
        message = msgspec.structs.replace(
            run_tasks(key.job_id), cpu_milli=1, memory_mb=1
        )
        for effect in agent.receive("entry", message, 1.0):
            if isinstance(effect, SendStartRequest):
                agent.start_answered(effect.request, StartAnswer.STARTED, 1.0)
    list_at(agent, 1.05, 10)
    list_at(agent, 1.1, 20)
    return agent


@then(
    "runs that all stand still are reported at once, and count against their "
    "server"
)
def check_reported(context):
    agent = agent_with_runs()
    list_at(agent, 1.3, 20)
    late = {
        effect.message.job_id
        for effect in agent.tick(1.31)
        if isinstance(effect, SendToEntry)
        and isinstance(effect.message, TaskLate)
    }
    assert late >= {key.job_id for key in KEYS[:3]}, late
    assert agent.backend.health.probing


@then("an end of a run shows that the server works")
def check_end(context):
    agent = agent_with_runs()
    ended = EndedTask(number=1, key=KEYS[3], run=1, ending=Ending.DONE)
    list_at(agent, 1.2, 20, [ended])
    list_at(agent, 1.3, 20)
    assert agent.backend.suspected is Suspicion.NONE
    list_at(agent, 1.4, 20)
    assert agent.backend.suspected is Suspicion.STALLED


@then("a run at a silent server is stopped once the server answers")
def check_stops(context):
    agent = answering_agent()
    agent.entry_connected("entry", 1, 1.0)
    [start] = [
        effect.request
        for effect in agent.receive("entry", run_tasks("a" * 16), 1.0)
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
