"""Steps that play loads on servers that misbehave, without a network."""

import random
from unittest import mock

from behave import then
from behave import when
from direct_world_steps import inject_fault
from late_load_steps import LoadedDeployment
from late_load_steps import PLACES_PER_AGENT
from late_load_steps import ROUTES
from late_load_steps import SPEEDS
from late_load_steps import submit_two_queues
from late_load_steps import TASK_ROOM

from egretcart.direct.backend.health import BackendHealth
from egretcart.direct.backend.suspicion import SuspicionLimits
from egretcart.direct.log.agent_decisions import BackendChanged
from egretcart.direct.log.agent_decisions import RunEnded
from egretcart.direct.log.decisions import NullDecisionLog
from egretcart.direct.request.job import Ending
from egretcart.direct.request.job import JobState
from egretcart.testing.fake_backend import TaskSize

ON = SuspicionLimits(is_on=True)
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


@then("at most {share:g} of them are late if no server is suspected")
def check_late_unsuspected(context, share):
    assert context.late_before <= share, context.late_before


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


@then("at most {count:d} runs fail")
def check_failed_run_count(context, count):
    failed = failed_runs(context.world)
    assert failed <= count, failed
