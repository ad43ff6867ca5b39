import time

from behave import then
from behave import when
from callers import Callers
from fault_steps import figure
from processes import eventually

MAX_STOP_S = 10
BALANCER_DELAY_S = 0.3
SECOND_SIGNAL_TIMEOUT_S = 4
# The ledger of a restarted agent confirms only job ids that are newer than
# its start plus the clock skew.
AGENT_RESTART_PAUSE_S = 2.0


def stop(context, process):
    code, seconds = process.wait_stopped()
    context.stops = [*getattr(context, "stops", []), (code, seconds)]


@when("the leader's entry is stopped as planned")
def stop_leader(context):
    context.faulted_at.append(time.monotonic())
    context.stopped_entry = context.deployment.leader()
    context.stopped_entry.process.terminate()
    stop(context, context.stopped_entry)


@when("{count:d} callers wait at the leader's entry for tasks of {ms:d} ms")
def wait_at_leader(context, count, ms):
    context.faulted_at = []
    context.callers = Callers(
        context.deployment,
        [context.deployment.leader()],
        jobs=count,
        tasks=1,
        run_ms=ms,
        threads=count,
        resubmits=False,
        limit_s=60,
    )
    eventually(lambda: len(context.deployment.recorded_starts()) >= 4)


@when("callers submit jobs of {tasks:d} tasks until they are stopped")
def submit_until_stopped(context, tasks):
    context.faulted_at = []
    deployment = context.deployment
    context.callers = Callers(
        deployment,
        deployment.balanced(),
        jobs=100_000,
        tasks=tasks,
        threads=8,
        pause_s=0.02,
        resubmits=False,
        limit_s=60,
    )
    context.callers.wait_for(50)


@when("the callers are stopped")
def stop_callers(context):
    context.callers.stopped = True
    context.callers.finish()
    context.callers.jobs = len(context.callers.outcomes)


@when("every agent is replaced in turn")
def replace_agents(context):
    deployment = context.deployment
    for number, agent in enumerate(list(deployment.agents)):
        context.faulted_at.append(time.monotonic())
        agent.process.terminate()
        stop(context, agent)
        deployment.agents[number] = deployment.start_agent(
            agent.name, deployment.backends[number]
        )
        assert deployment.agents[number].ready
        time.sleep(AGENT_RESTART_PAUSE_S)


@when("every entry is replaced in turn")
def replace_entries(context):
    deployment = context.deployment
    for number, entry in enumerate(list(deployment.entries)):
        replacement = deployment.start_entry(f"entry-new-{number}")
        eventually(lambda e=replacement: deployment.is_ready(e))
        deployment.entries.append(replacement)
        context.faulted_at.append(time.monotonic())
        entry.process.terminate()
        # The balancer detects the lost readiness only after a delay.
        time.sleep(BALANCER_DELAY_S)
        assert not deployment.is_ready(entry)
        deployment.entries.remove(entry)
        stop(context, entry)
        deployment.wait_until_serving()


@when("the leader's entry gets two signals")
def signal_leader_twice(context):
    context.stopped_entry = context.deployment.leader()
    signal_twice(context.stopped_entry)


@when("the agent gets two signals")
def signal_agent_twice(context):
    signal_twice(context.deployment.agents[0])


def signal_twice(process):
    process.process.terminate()
    time.sleep(0.3)
    assert process.runs
    process.process.terminate()


@then("every planned stop ended well within its bound")
def check_stops(context):
    for code, seconds in context.stops:
        assert code == 0, context.stops
        assert seconds < MAX_STOP_S, context.stops
    longest = max(seconds for _, seconds in context.stops)
    figure(f"longest planned stop: {longest:.2f} s")


@then("every caller gets an error with verdict may_have_run in time")
def check_refusals(context):
    assert not context.callers.errors, context.callers.errors
    assert context.callers.outcomes
    for outcome in context.callers.outcomes:
        assert outcome.answer["verdict"] == "may_have_run", outcome
        assert outcome.ended - outcome.began < 8, outcome


@then("the entry's process has ended")
def check_ended(context):
    assert context.stopped_entry.process.wait(SECOND_SIGNAL_TIMEOUT_S) == 0
