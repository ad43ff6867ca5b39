import json
import random

from behave import given
from behave import then
from behave import when

from egretcart.connection.messages import Fence
from egretcart.connection.messages import FetchJob
from egretcart.connection.messages import HeartbeatReply
from egretcart.connection.messages import JobRecord
from egretcart.connection.messages import LedgerQuery
from egretcart.connection.messages import LedgerReply
from egretcart.connection.messages import Start
from egretcart.connection.messages import TaskRecord
from egretcart.connection.messages import Term
from egretcart.process.agent.agent import Agent
from egretcart.process.agent.agent_types import AgentIdentity
from egretcart.process.agent.agent_types import AgentLimits
from egretcart.process.agent.ledger import RecordState
from egretcart.process.cell.agent_load import AgentLoad
from egretcart.process.cell.effects import RequestToken
from egretcart.process.cell.effects import SendReply
from egretcart.process.cell.jobs import JobManager
from egretcart.process.cell.limits import LeaderLimits
from egretcart.process.entry.answers import AnswerCache
from egretcart.process.policy.bundle import standard_policy
from egretcart.request.identity import job_id_at
from egretcart.request.job import parse_job
from egretcart.testing.clock import ManualClock
from egretcart.version.document import Configuration
from egretcart.version.document import Service

TERM = Term(2, 2)
TOKEN = RequestToken("e", 1)
AGENTS = ("a", "b")
BODY = '{"tasks": [{"payload": 1}], "idempotent": %s}'


def make_agent():
    return Agent(
        identity=AgentIdentity(
            agent_id="a",
            incarnation=1,
            service="snapcheck",
            failure_domain="kl-putra",
            slots=8,
            connections=64,
        ),
        limits=AgentLimits(),
        clock=ManualClock(),
    )


def start_of(job_id, task):
    return Start(term=TERM, job_id=job_id, digest=b"d", task=task, attempt=1)


@given("an agent that runs {running:d} tasks and has ended {ended:d}")
def fill_ledger(context, running, ended):
    agent = context.agent = make_agent()
    agent.receive("e", Fence(term=TERM, by_query=True))
    context.ended_ids = [job_id_at(1, n).value for n in range(ended)]
    context.running_ids = [job_id_at(2, n).value for n in range(running)]
    for job_id in [*context.ended_ids, *context.running_ids]:
        agent.ledger.begin(job_id=job_id, digest=b"d", task=0, attempt=1)
    for job_id in context.ended_ids:
        agent.ledger.find(job_id, 0).state = RecordState.SUCCEEDED
    for job_id in context.running_ids:
        agent.running[(job_id, 0)] = start_of(job_id, 0)


def fence(context, *, by_query):
    message = Fence(term=TERM, by_query=by_query)
    (effect,) = context.agent.receive("e", message)
    assert effect.message.by_query == by_query
    return [record.job_id for record in effect.message.records]


@then("its reply to a fence names the {count:d} running tasks")
def check_fence(context, count):
    told = fence(context, by_query=True)
    assert len(told) == count
    assert told == context.running_ids


@then("its reply to a leader of the release before names all {count:d}")
def check_whole(context, count):
    assert len(fence(context, by_query=False)) == count


@then("its reply to a query names just what was begun of the jobs asked for")
def check_query(context):
    unknown = job_id_at(3, 3).value
    asked = (context.ended_ids[7], unknown, context.running_ids[1])
    query = LedgerQuery(term=TERM, number=9, job_ids=asked)
    (effect,) = context.agent.receive("e", query)
    assert effect.message.number == 9
    told = {r.job_id: r.tasks[0].state for r in effect.message.records}
    assert told == {
        asked[0]: RecordState.SUCCEEDED,
        asked[2]: RecordState.BEGUN,
    }
    stale = LedgerQuery(term=Term(1, 1), number=9, job_ids=asked)
    (effect,) = context.agent.receive("e", stale)
    assert isinstance(effect.message, HeartbeatReply)
    assert effect.message.term == TERM


def load(agent_id, incarnation=1):
    return AgentLoad(
        agent_id=agent_id,
        incarnation=incarnation,
        failure_domain="kl-putra",
        slots=1,
        queue_depth=0,
    )


@given("a new leader of 2 agents")
def make_leader(context):
    context.clock = ManualClock()
    context.limits = LeaderLimits()
    context.job_manager = JobManager(
        term=TERM,
        limits=context.limits,
        clock=context.clock,
        answers=AnswerCache(max_bytes=1000),
        policy=standard_policy(rng=random.Random(1)),
    )
    context.job_manager.configure(
        Configuration(version=1, services=(Service(name="snapcheck"),)),
        "snapcheck",
    )
    for agent_id in AGENTS:
        context.job_manager.agent_fenced(load(agent_id), [], by_query=True)
    context.query_before_ms = (
        context.clock.unix_ms() + context.limits.id_horizon_ms
    )
    context.job_manager.recovery.serve(
        uncertain_before_ms=0, query_before_ms=context.query_before_ms
    )
    context.job_manager.serving_since = context.clock.monotonic()
    context.clock.advance(context.limits.id_horizon_ms / 1000)
    context.queries = {}
    context.effects = []


def note(context, effects):
    for effect in effects:
        if isinstance(getattr(effect, "message", None), LedgerQuery):
            context.queries[effect.agent_id] = effect.message
    context.effects += effects + context.job_manager.place(set(AGENTS))


def make_job(context, created_ms, idempotent="false"):
    context.job = parse_job(
        job_id=job_id_at(created_ms, 1),
        service="snapcheck",
        body=(BODY % idempotent).encode(),
        max_tasks=1,
    ).unwrap()


@when("a job {age} than the term comes")
def submit(context, age):
    newer = {"older": -1, "newer": 0}[age]
    make_job(context, context.query_before_ms + newer)
    note(context, context.job_manager.submit(TOKEN, context.job))


@when("an idempotent job older than the term comes")
def submit_idempotent(context):
    make_job(context, context.query_before_ms - 1, "true")
    note(context, context.job_manager.submit(TOKEN, context.job))


@when("a job older than the term is read")
def read_older(context):
    ask_about(context, "a read")


@when("{request} of a job older than the term comes")
def ask_about(context, request):
    make_job(context, context.query_before_ms - 1)
    job_manager = context.job_manager
    act = {"a read": job_manager.read, "a cancel": job_manager.cancel}[request]
    note(context, act(TOKEN, context.job.job_id))


def tell(context, agent_id, records=(), query=None):
    query = query or context.queries[agent_id]
    reply = LedgerReply(number=query.number, records=tuple(records))
    note(context, context.job_manager.ledger_reply(agent_id, reply))


def record(context, state=RecordState.SUCCEEDED):
    task = TaskRecord(index=0, attempt=1, state=state.value)
    job = context.job
    return JobRecord(job_id=job.job_id.value, digest=job.digest, tasks=(task,))


def sent(context, kind):
    return [
        effect
        for effect in context.effects
        if isinstance(getattr(effect, "message", None), kind)
    ]


def replies(context):
    return [
        (effect.reply.status, json.loads(effect.reply.body))
        for effect in context.effects
        if isinstance(effect, SendReply)
    ]


@then("the leader asks both agents about it and places nothing")
def check_asked(context):
    assert set(context.queries) == set(AGENTS)
    for query in context.queries.values():
        assert query.job_ids == (context.job.job_id.value,)
    check_nothing(context)


@then("the leader places nothing")
def check_nothing(context):
    assert not sent(context, Start)
    assert not replies(context)


@then("it places the job once both have told that they know nothing")
def check_placed_after(context):
    tell(context, "a")
    check_nothing(context)
    tell(context, "b")
    assert len(sent(context, Start)) == 1


@then("it is placed at once")
def check_placed(context):
    assert len(sent(context, Start)) == 1
    assert not context.queries


@when("one agent tells that it ran the job")
def tell_ran(context):
    tell(context, "a", [record(context)])


@when("the other agent tells nothing")
def tell_nothing(context):
    tell(context, "b")


@then("the leader fetches the result and starts nothing")
@then("the result is fetched")
def check_fetched(context):
    assert [e.agent_id for e in sent(context, FetchJob)] == ["a"]
    assert not sent(context, Start)
    assert not replies(context)


@when("one agent is lost before it tells")
def lose(context):
    context.job_manager.agent_lost("a")


def come_back(context, incarnation=1, agent_id="a"):
    context.queries.pop(agent_id, None)
    context.returned = agent_id
    fenced = load(agent_id, incarnation)
    note(context, context.job_manager.agent_fenced(fenced, [], by_query=True))


@when("one agent comes back")
def return_only(context):
    come_back(context)


@when("the agent that has it is lost and returns")
def lose_and_return(context):
    (start,) = sent(context, Start)
    context.job_manager.agent_lost(start.agent_id)
    come_back(context, agent_id=start.agent_id)


@then("the leader asks that agent about the job")
def check_asked_again(context):
    query = context.queries[context.returned]
    assert query.job_ids == (context.job.job_id.value,)


@when("the agent tells nothing")
def returned_tells_nothing(context):
    tell(context, context.returned)


@when("the agent tells that it began it")
def returned_tells_begun(context):
    begun = record(context, RecordState.BEGUN)
    tell(context, context.returned, [begun])


@then("the job is placed {count:d} times in all")
def check_times(context, count):
    assert len(sent(context, Start)) == count


@when("it returns and tells nothing")
def return_empty(context):
    come_back(context)
    check_nothing(context)
    tell(context, "a")


@when("it returns and tells of the job")
def return_with_record(context):
    come_back(context)
    tell(context, "a", [record(context)])


@when("it returns as a new incarnation")
def return_restarted(context):
    come_back(context, incarnation=2)
    tell(context, "a")


@when("it does not return")
def stay_away(context):
    context.clock.advance(context.limits.member_grace_s)
    note(context, context.job_manager.tick())


@then("the job is placed")
def check_started(context):
    assert len(sent(context, Start)) == 1


@then("the job is said to may have run")
def check_unsettled(context):
    assert not sent(context, Start)
    ((status, document),) = replies(context)
    assert status == 503
    assert document["verdict"] == "may_have_run"


@when("one agent reconnects and the reply to its first query comes late")
def reply_late(context):
    first = context.queries["a"]
    context.job_manager.agent_lost("a")
    come_back(context)
    tell(context, "a", query=first)
    tell(context, "b")


@then("it is answered only once both have told")
def check_answered_after(context):
    tell(context, "b")
    assert not replies(context)
    tell(context, "a")
    ((status, document),) = replies(context)
    assert status == 404
    assert document["verdict"] == "not_run"


@when("a job older than the window is read and nothing is known of it")
def read_expired(context):
    oldest_ms = context.clock.unix_ms() - int(context.limits.window_s * 1000)
    make_job(context, oldest_ms - 1)
    note(context, context.job_manager.read(TOKEN, context.job.job_id))
    for agent_id in AGENTS:
        tell(context, agent_id)


@then("the answer says that it may have run")
def check_may_have_run(context):
    ((status, document),) = replies(context)
    assert status == 404
    assert document["verdict"] == "may_have_run"


@when("the term ends")
def end_term(context):
    context.ended = context.job_manager.end()


@then("the held request is forwarded again")
def check_forwarded(context):
    assert context.ended == [TOKEN]
    assert not context.job_manager.recovery.ledger_queries.open


@when("its caller cancels it before its second task is placed")
def cancel_early(context):
    tasks = b'{"tasks": [{"payload": 1}, {"payload": 2}]}'
    job = parse_job(
        job_id=job_id_at(context.query_before_ms, 2),
        service="snapcheck",
        body=tasks,
        max_tasks=2,
    ).unwrap()
    context.job = job
    note(context, context.job_manager.submit(TOKEN, job))
    assert len(sent(context, Start)) == 2
    note(context, context.job_manager.cancel(TOKEN, job.job_id))


@then("the answer says that the second task was not run")
def check_second_not_run(context):
    _, document = replies(context)[-1]
    assert document["tasks"] == ["may_have_run", "not_run"]
    assert context.job_manager.answers.find(context.job.job_id)


@then("the entry keeps no answer of the job for its next term")
def check_forgotten(context):
    assert context.job_manager.answers.find(context.job.job_id) is None


@when("one agent drains")
def drain(context):
    context.job_manager.loads["a"].draining = True
    note(context, context.job_manager.recovery.agent_leaves("a"))
    assert context.queries["a"].made_before_ms == context.query_before_ms


@then("it may not leave before it has told what it knows")
def check_stays(context):
    assert not context.job_manager.loads["a"].ledger_complete


@when("it tells of an older job")
def tell_and_leave(context):
    context.older = parse_job(
        job_id=job_id_at(context.query_before_ms - 1, 7),
        service="snapcheck",
        body=(BODY % "false").encode(),
        max_tasks=1,
    ).unwrap()
    context.job = context.older
    tell(context, "a", [record(context)])
    assert context.job_manager.loads["a"].ledger_complete


@when("it leaves")
def leave(context):
    context.effects = []
    context.job_manager.agent_lost("a")
    stay_away(context)


@when("the older job comes")
def submit_older(context):
    note(context, context.job_manager.submit(TOKEN, context.older))


@then("the older job is not run again")
def check_not_run_again(context):
    assert not sent(context, Start)
    ((_, document),) = replies(context)
    assert document["verdict"] == "may_have_run"


def record_of(context, index):
    state = RecordState.SUCCEEDED.value
    task = TaskRecord(index=index, attempt=1, state=state)
    job = context.job
    return JobRecord(job_id=job.job_id.value, digest=job.digest, tasks=(task,))


@when("each agent tells its whole ledger, with one task of an older job")
def tell_whole(context):
    context.job = parse_job(
        job_id=job_id_at(context.query_before_ms - 1, 8),
        service="snapcheck",
        body=b'{"tasks": [{"payload": 1}, {"payload": 2}]}',
        max_tasks=2,
    ).unwrap()
    for index, agent_id in enumerate(AGENTS):
        ledger = [record_of(context, index)]
        context.job_manager.agent_fenced(load(agent_id), ledger)


@when("one agent is restarted")
def restart_one(context):
    context.job_manager.agent_lost("a")
    context.job_manager.agent_fenced(load("a", 2), [])


@when("that job is submitted again")
def submit_two(context):
    note(context, context.job_manager.submit(TOKEN, context.job))


@then("no task of it is said not to have run")
def check_none_not_run(context):
    ((_, document),) = replies(context)
    assert document["verdict"] == "may_have_run"
    assert "not_run" not in document["tasks"], document


@when("another one is read before the agents have told")
def read_another(context):
    context.first = dict(context.queries)
    context.other_id = job_id_at(context.query_before_ms - 1, 9)
    note(context, context.job_manager.read(TOKEN, context.other_id))
    assert context.queries == context.first


@when("each agent tells nothing")
def tell_both_nothing(context):
    for agent_id, query in context.first.items():
        tell(context, agent_id, query=query)


@then("each agent is asked about the other one")
def check_other_asked(context):
    for agent_id in AGENTS:
        assert context.queries[agent_id].job_ids == (context.other_id.value,)
