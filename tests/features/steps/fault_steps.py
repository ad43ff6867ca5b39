"""Steps that inject faults into real processes while callers submit jobs."""

import itertools
import json
import os
import signal
import sys
import time

from behave import given
from behave import then
from behave import when
from callers import Callers
from callers import VERDICTS
from processes import Deployment
from processes import eventually
from processes import request

from egretcart.process.cell.limits import LEASE_S

# Multiplies the job counts of steps that name the entries to submit through.
JOB_COUNT_FACTOR = int(os.environ.get("EGRETCART_FAULT_SCALE", "1"))
# Longer than every lease and timeout of the system.
FREEZE_S = 5.0
# Time after a fault in which the longest gap between answers is measured.
GAP_WINDOW_S = 3.0


def figure(text):
    """Print a measured figure to stderr, also if the scenario passes."""
    print(f"    figure: {text}", file=sys.__stderr__, flush=True)


@given("a relayed deployment of {entries:d} entries and {agents:d} agents")
def start_relayed(context, entries, agents):
    context.deployment = Deployment(entries, agents, relayed=True)
    context.add_cleanup(context.deployment.close)


@given(
    "a deployment of {entries:d} entries and {agents:d} agents "
    "with {older} of the previous release"
)
def start_with_previous_release(context, entries, agents, older):
    context.deployment = Deployment(entries, agents, older=older.split())
    context.add_cleanup(context.deployment.close)


@when("processes started from now on are of this release")
def switch_to_current_release(context):
    context.deployment.older.clear()


@given("an entry and an agent with one connection to its backend server")
def start_with_one_connection(context):
    context.deployment = Deployment(1, 1, connections=1)
    context.add_cleanup(context.deployment.close)


def record_fault_time(context):
    faults = getattr(context, "faulted_at", [])
    context.faulted_at = [*faults, time.monotonic()]


def start_callers(context, entries, **options):
    context.callers = Callers(context.deployment, entries, **options)
    context.faulted_at = []


@when(
    "callers submit {jobs:d} {kind} jobs of {tasks:d} tasks "
    "through every entry"
)
def submit_everywhere(context, jobs, kind, tasks):
    start_callers(
        context,
        context.deployment.entries,
        jobs=jobs * JOB_COUNT_FACTOR,
        tasks=tasks,
        idempotent=kind == "idempotent",
    )


@when(
    "callers submit {jobs:d} {kind} jobs of {tasks:d} tasks "
    "through the other entries only"
)
def submit_elsewhere(context, jobs, kind, tasks):
    leader = context.deployment.leader()
    start_callers(
        context,
        [e for e in context.deployment.entries if e is not leader],
        jobs=jobs * JOB_COUNT_FACTOR,
        tasks=tasks,
        idempotent=kind == "idempotent",
        resubmits=False,
        limit_s=60,
    )


@when(
    "callers submit {jobs:d} jobs of {tasks:d} tasks that may take {ms:d} ms"
)
def submit_with_deadline(context, jobs, tasks, ms):
    start_callers(
        context,
        context.deployment.entries,
        jobs=jobs,
        tasks=tasks,
        run_ms=40,
        deadline_ms=ms,
    )


@when(
    "callers submit {jobs:d} non-idempotent jobs of {tasks:d} tasks "
    "that take {ms:d} ms"
)
def submit_long_tasks(context, jobs, tasks, ms):
    start_callers(
        context,
        context.deployment.entries,
        jobs=jobs,
        tasks=tasks,
        run_ms=ms,
        resubmits=False,
        limit_s=60,
    )


@when("{percent:d} % of the jobs are answered")
def wait_for_answers(context, percent):
    total = context.callers.jobs
    context.callers.wait_for(total * percent // 100)


@when("the backend servers become {factor:d} times slower")
def slow_down(context, factor):
    body = json.dumps({"speed": 1 / factor})
    for backend in context.deployment.backends:
        assert request(backend.ready["port"], "PUT", "/", body)[0] == 200


@when("the leader's entry is killed")
def kill_leader(context):
    record_fault_time(context)
    context.deployment.leader().kill()


@when("an entry that does not lead is killed")
def kill_other(context):
    leader = context.deployment.leader()
    entries = context.deployment.running_entries()
    record_fault_time(context)
    next(e for e in entries if e is not leader).kill()


@when("the leader's entry is frozen for longer than every lease")
def freeze_leader(context):
    frozen = context.deployment.leader()
    record_fault_time(context)
    frozen.signal(signal.SIGSTOP)
    time.sleep(FREEZE_S)
    frozen.signal(signal.SIGCONT)


@when("an agent is killed")
def kill_agent(context):
    record_fault_time(context)
    context.deployment.agents[0].kill()


@when("an agent is frozen for longer than every lease")
def freeze_agent(context):
    frozen = context.deployment.agents[0]
    record_fault_time(context)
    frozen.signal(signal.SIGSTOP)
    time.sleep(FREEZE_S)
    frozen.signal(signal.SIGCONT)


@when("the agent is frozen once its backend server has a task")
def freeze_with_task(context):
    deployment = context.deployment
    eventually(lambda: deployment.starts_at(deployment.backends[0]), 10)
    deployment.agents[0].signal(signal.SIGSTOP)
    time.sleep(FREEZE_S + LEASE_S)


@when("it resumes after the entry was killed")
def wake_without_leader(context):
    deployment = context.deployment
    deployment.entries[0].kill()
    deployment.agents[0].signal(signal.SIGCONT)
    time.sleep(FREEZE_S)


@then("the backend server was sent no task after that")
def check_nothing_after_resume(context):
    deployment = context.deployment
    starts = deployment.starts_at(deployment.backends[0])
    assert len(starts) == 1, starts
    assert deployment.agents[0].runs


@when("an agent is frozen and never resumes")
def freeze_agent_for_good(context):
    record_fault_time(context)
    context.deployment.agents[0].signal(signal.SIGSTOP)


@then("no caller waited for a job's whole deadline")
def check_waits(context):
    for outcome in context.callers.outcomes:
        assert outcome.answer.get("status") != 504, outcome


@when("an agent is sent a termination signal")
def terminate_agent(context):
    deployment = context.deployment
    deployment.agents[0].process.terminate()
    context.leaving = deployment.backends[0]
    time.sleep(1)
    context.leaving_starts = deployment.starts_at(context.leaving)


@then("its backend server was sent no further task once a second had passed")
def check_leaving_backend(context):
    starts = context.deployment.starts_at(context.leaving)
    assert starts == context.leaving_starts
    assert context.deployment.agents[0].wait_stopped()[0] == 0


@given("attempts at tasks are limited to {limit_ms:d} ms")
def limit_attempts(context, limit_ms):
    kinds = [{"name": "default", "attempt_limit_ms": limit_ms}]
    services = [{"name": "snapcheck", "kinds": kinds}]
    context.deployment.apply({"version": 2, "services": services})
    check_version(context, 2)


@when("every backend server has {count:d} tasks")
def wait_for_tasks(context, count):
    deployment = context.deployment
    for backend in deployment.backends:
        eventually(lambda b=backend: len(deployment.starts_at(b)) == count, 3)


@then("no backend server ever had more than {slots:d} tasks")
def check_concurrency(context, slots):
    deployment = context.deployment
    for backend in deployment.backends:
        most_tasks = max_concurrent_starts(deployment.report_of(backend))
        figure(f"most tasks at a time at {backend.name}: {most_tasks}")
        assert most_tasks <= slots, (backend.name, most_tasks)


def max_concurrent_starts(starts):
    """Return the largest number of starts that ran at the same time."""
    changes = []
    for _, began, ended in starts:
        changes.append((began, 1))
        if ended is not None:
            changes.append((ended, -1))
    return max(itertools.accumulate(step for _, step in sorted(changes)))


@when("configuration version {version:d} is applied")
def apply_version(context, version):
    services = [{"name": "snapcheck"}, {"name": f"service-{version}"}]
    context.deployment.apply({"version": version, "services": services})


@when("an older document is put into the platform's store")
def put_older(context):
    services = [{"name": "snapcheck"}]
    context.deployment.apply({"version": 1, "services": services})
    time.sleep(1.5)


@then("every entry has version {version:d} active")
def check_version(context, version):
    deployment = context.deployment

    def is_active_everywhere():
        versions = {
            deployment.status(entry)["config_version"]
            for entry in deployment.running_entries()
        }
        return versions == {version}

    eventually(is_active_everywhere, 5)


@then("every entry still serves")
def check_serves(context):
    deployment = context.deployment
    for entry in deployment.running_entries():
        assert deployment.is_ready(entry)
        status, answer = deployment.submit(entry, [{"payload": {}}])
        assert status == 200, answer


@when("the killed agent is replaced")
def replace_agent(context):
    deployment = context.deployment
    backend = deployment.backends[0]
    agent = deployment.start_agent("agent-0", backend)
    assert agent.ready
    deployment.agents[0] = agent


@when("all connections are cut {count:d} times")
def cut_connections(context, count):
    for _ in range(count):
        for relay in context.deployment.relays.values():
            relay.cut()
        time.sleep(0.4)


@when("the connections of the leader stall for longer than every lease")
def stall_leader(context):
    deployment = context.deployment
    relay = deployment.relays[deployment.leader().name]
    record_fault_time(context)
    relay.pause()
    time.sleep(FREEZE_S)
    relay.resume()


@when("the platform is killed")
def kill_platform(context):
    context.deployment.platform.kill()


@when("the platform is frozen")
def freeze_platform(context):
    context.deployment.platform.signal(signal.SIGSTOP)


@when("the callers are done")
def wait_for_callers(context):
    context.callers.finish()
    callers = context.callers
    whole = sum(outcome.is_whole for outcome in callers.outcomes)
    resubmitted = sum(outcome.tries > 1 for outcome in callers.outcomes)
    figure(
        f"{context.scenario.name}: {len(callers.outcomes)} jobs of "
        f"{callers.tasks} tasks, {whole} whole, {resubmitted} resubmitted"
    )
    for since in context.faulted_at:
        gap_s = callers.gap_s(since, since + GAP_WINDOW_S)
        figure(f"longest time without an answer: {gap_s * 1000:.0f} ms")


@then("every caller has its own whole answer or a failure with a verdict")
def check_outcomes(context):
    callers = context.callers
    assert not callers.errors, callers.errors[:3]
    assert len(callers.outcomes) == callers.jobs
    for outcome in callers.outcomes:
        if not outcome.is_whole:
            assert outcome.status >= 400, outcome
            assert outcome.answer["verdict"] in VERDICTS, outcome


@then("every caller has its own whole answer")
def check_whole(context):
    callers = context.callers
    assert not callers.errors, callers.errors[:3]
    assert len(callers.outcomes) == callers.jobs
    failed = [o for o in callers.outcomes if not o.is_whole]
    assert not failed, (len(failed), failed[:3])


@then("no job was submitted twice")
def check_tries(context):
    resubmitted = [o for o in context.callers.outcomes if o.tries > 1]
    assert not resubmitted, (len(resubmitted), resubmitted[:3])


@then("the backend servers saw no task start twice")
def check_starts_once(context):
    starts = context.deployment.recorded_starts()
    twice = {key: count for key, count in starts.items() if count > 1}
    assert not twice, twice


@then("the backend servers saw all tasks of every whole answer")
def check_whole_jobs_started(context):
    starts = context.deployment.recorded_starts()
    for outcome in context.callers.outcomes:
        if outcome.is_whole:
            for number in range(outcome.tasks):
                assert starts[f"{outcome.job_id}/{number}"] >= 1


@then("the backend servers saw no task that was refused as not run")
def check_not_run(context):
    starts = context.deployment.recorded_starts()
    jobs = {key.partition("/")[0] for key in starts}
    for outcome in context.callers.outcomes:
        if outcome.answer.get("verdict") == "not_run":
            assert outcome.job_id not in jobs, outcome
        for number, verdict in enumerate(outcome.answer.get("tasks", ())):
            key = f"{outcome.job_id}/{number}"
            assert verdict != "not_run" or key not in starts, (key, outcome)
            assert verdict != "ran" or key in starts, (key, outcome)


@then("some answers say that tasks were not run")
def check_some_not_run(context):
    outcomes = context.callers.outcomes
    assert any("not_run" in o.answer.get("tasks", ()) for o in outcomes)


@then("exactly one entry leads")
def check_one_leader(context):
    deployment = context.deployment

    def one_leads():
        leading = [
            entry
            for entry in deployment.running_entries()
            if deployment.status(entry)["leading"]
        ]
        return len(leading) == 1

    eventually(one_leads)
