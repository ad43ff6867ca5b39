"""A backend server that starts anew under its former name."""

from behave import given
from behave import then
from behave import when
from direct_decisions_steps import agent_with_server
from direct_decisions_steps import BACKEND_INCARNATION
from direct_decisions_steps import listing_at

from egretcart.direct.agent.agent_types import SendStartRequest
from egretcart.direct.agent.agent_types import SendToEntry
from egretcart.direct.backend.backend import BackendIncarnation
from egretcart.direct.backend.backend import BackendReport
from egretcart.direct.backend.backend import Listing
from egretcart.direct.backend.backend import RunningTask
from egretcart.direct.backend.backend import StartAnswer
from egretcart.direct.connection.messages import Beat
from egretcart.direct.connection.messages import RunTasks
from egretcart.direct.connection.messages import TaskEnded
from egretcart.direct.request.job import Room
from egretcart.direct.request.job import TaskKey

NEW_INCARNATION = BackendIncarnation("server", 2000)
LISTED, UNLISTED = (TaskKey("a" * 16, 0, index) for index in range(2))


def collect(context, effects):
    context.endings += [
        (effect.message.key, effect.message.ending)
        for effect in effects
        if isinstance(effect, SendToEntry)
        and isinstance(effect.message, TaskEnded)
    ]
    return [
        effect.request
        for effect in effects
        if isinstance(effect, SendStartRequest)
    ]


def start_task(context, key, now):
    tasks = RunTasks(
        sequence=1, job_id=key.job_id, indexes=(key.index,), run=1, cpu_milli=1
    )
    (request,) = collect(context, context.agent.receive("entry", tasks, now))
    return request


def new_listing(clock_ms, *keys):
    return Listing(
        clock_ms=clock_ms,
        born_ms=NEW_INCARNATION.born_ms,
        running=tuple(
            RunningTask(key=key, run=1, percent=1.0) for key in keys
        ),
    )


@given("an agent whose server has listed one of its two runs")
def set_up(context):
    agent = context.agent = agent_with_server()
    context.endings = []
    agent.receive_listing(listing_at(1.0), BACKEND_INCARNATION, 1.0, 1.01)
    agent.entry_connected("entry", 1, 1.01)
    listed = start_task(context, LISTED, 1.02)
    agent.start_answered(listed, StartAnswer.STARTED, 1.03)
    agent.receive_listing(
        Listing(
            clock_ms=5040,
            born_ms=BACKEND_INCARNATION.born_ms,
            running=(RunningTask(key=LISTED, run=1, percent=1.0),),
        ),
        BACKEND_INCARNATION,
        1.04,
        1.05,
    )
    context.unlisted = start_task(context, UNLISTED, 1.06)


@when("the other start is answered and another incarnation lists its runs")
def other_incarnation_lists(context):
    agent = context.agent
    agent.start_answered(context.unlisted, StartAnswer.STARTED, 1.07)
    collect(
        context,
        agent.receive_listing(
            new_listing(30, UNLISTED), BACKEND_INCARNATION, 1.08, 1.09
        ),
    )


@when("the other start is answered and another incarnation reports")
def other_incarnation_reports(context):
    agent = context.agent
    agent.start_answered(context.unlisted, StartAnswer.STARTED, 1.07)
    report_new_incarnation(context, 1.09)
    # The poll that follows is answered by the new incarnation.
    collect(
        context,
        agent.receive_listing(
            new_listing(41), BACKEND_INCARNATION, 1.09, 1.09
        ),
    )


@when("the new incarnation reports")
def new_incarnation_reports(context):
    report_new_incarnation(context, 1.10)


def report_new_incarnation(context, now):
    report = BackendReport(
        lifetime=NEW_INCARNATION,
        service="service",
        capacity=Room(10, 10, 0),
        clock_ms=40,
    )
    collect(context, context.agent.receive_report(report, now))


@when("the other start finds no server at the address")
def start_finds_no_server(context):
    agent = context.agent
    collect(
        context,
        agent.start_answered(context.unlisted, StartAnswer.NOT_SENT, 1.07),
    )
    collect(
        context, agent.mark_backend_ended("refused", 1.07, is_refused=True)
    )


@then("the run that the former one had listed is lost at once")
def check_listed_lost(context):
    assert context.endings == [(LISTED, "lost")], context.endings


@then("both runs have ended at once, the other as not run")
def check_both_ended(context):
    assert sorted(context.endings) == [
        (LISTED, "lost"),
        (UNLISTED, "not_run"),
    ], context.endings


@then("the other run goes on if the new incarnation lists it")
def check_listed_by_new(context):
    agent = context.agent
    collect(
        context,
        agent.receive_listing(
            new_listing(60, UNLISTED), NEW_INCARNATION, 1.11, 1.12
        ),
    )
    assert agent.runs.get(UNLISTED) is not None
    assert agent.status(0, 1.12).free_cpu_milli == 9
    collect(context, agent.tick(1.13))
    assert context.endings == [(LISTED, "lost")], context.endings


@then("the other run is lost if the new incarnation does not list it")
def check_not_listed_by_new(context):
    agent = context.agent
    collect(
        context,
        agent.receive_listing(new_listing(60), NEW_INCARNATION, 1.11, 1.12),
    )
    assert context.endings == [(LISTED, "lost"), (UNLISTED, "lost")]


def pass_tick(context, now):
    now += 0.05
    collect(context, context.agent.receive("entry", Beat(), now))
    collect(context, context.agent.tick(now))
    return now


@then("the other run is lost once the longest lease has ended")
def check_lost_without_listing(context):
    agent = context.agent
    longest_s = agent.limits.lease.max_server_lease_s
    now = 1.09
    while now < 1.09 + longest_s - 0.1:
        now = pass_tick(context, now)
    assert context.endings == [(LISTED, "lost")], context.endings
    for _ in range(5):
        now = pass_tick(context, now)
    assert context.endings == [(LISTED, "lost"), (UNLISTED, "lost")]
