import random

from behave import given
from behave import then
from behave import when

from egretcart.connection.agent_messages import JobRecord
from egretcart.connection.agent_messages import TaskRecord
from egretcart.connection.agent_messages import TaskResult
from egretcart.connection.cell_types import Term
from egretcart.connection.leader_messages import FetchJob
from egretcart.connection.leader_messages import Start
from egretcart.process.agent.ledger import RecordState
from egretcart.process.cell.agent_load import AgentLoad
from egretcart.process.cell.effects import RequestToken
from egretcart.process.cell.jobs import JobManager
from egretcart.process.cell.limits import LeaderLimits
from egretcart.process.entry.answers import AnswerCache
from egretcart.process.policy.bundle import standard_policy
from egretcart.request.identity import new_job_id
from egretcart.request.job import parse_job
from egretcart.testing.clock import ManualClock
from egretcart.version.document import Configuration
from egretcart.version.document import Service


def make_load():
    return AgentLoad(
        agent_id="a",
        incarnation=1,
        failure_domain="kl-putra",
        slots=1,
        queue_depth=1,
        draining=False,
    )


def make_record(job, state):
    task = TaskRecord(index=0, attempt=1, state=state.value)
    return JobRecord(job_id=job.job_id.value, digest=job.digest, tasks=(task,))


def make_result(job, verdict, *, succeeded):
    return TaskResult(
        job_id=job.job_id.value,
        task=0,
        attempt=1,
        verdict=verdict,
        succeeded=succeeded,
    )


@given("a new leader that knows a begun task from a ledger")
def make_leader_with_begun_task(context):
    context.job_manager = JobManager(
        term=Term(2, 2),
        limits=LeaderLimits(),
        clock=ManualClock(),
        answers=AnswerCache(max_bytes=1000),
        policy=standard_policy(rng=random.Random(1)),
    )
    context.job_manager.configure(
        Configuration(version=1, services=(Service(name="snapcheck"),)),
        "snapcheck",
    )
    context.job = parse_job(
        job_id=new_job_id(),
        service="snapcheck",
        body=b'{"tasks": [{"payload": 1}]}',
        max_tasks=1,
    ).unwrap()
    begun = make_record(context.job, RecordState.BEGUN)
    context.job_manager.agent_fenced(make_load(), [begun])


@when("the task succeeds")
def succeed(context):
    ended = make_result(context.job, "ran", succeeded=True)
    context.job_manager.task_result("a", ended)


@when("the task proves not to have run")
def not_run(context):
    ended = make_result(context.job, "not_run", succeeded=False)
    context.job_manager.task_result("a", ended)


@when("the agent reconnects with it failed")
def reconnect_failed(context):
    context.job_manager.agent_lost("a")
    failed = make_record(context.job, RecordState.FAILED)
    context.job_manager.agent_fenced(make_load(), [failed])


@when("the agent reconnects without its record")
def reconnect_without_record(context):
    context.job_manager.agent_lost("a")
    context.job_manager.agent_fenced(make_load(), [])


@when("the job is resubmitted to the new leader")
def resubmit(context):
    job_manager = context.job_manager
    context.effects = job_manager.submit(RequestToken("e", 1), context.job)
    context.effects += job_manager.place({"a"})


@then("the new leader {action} the task")
def check_action(context, action):
    expected = {"fetches": FetchJob, "starts": Start}[action]
    kinds = [type(effect.message) for effect in context.effects]
    assert kinds == [expected], context.effects
