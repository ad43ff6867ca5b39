import json
import random

from behave import given
from behave import then
from behave import when

from egretcart.connection.agent_messages import HeartbeatReply
from egretcart.connection.agent_messages import JobRecord
from egretcart.connection.agent_messages import LedgerReply
from egretcart.connection.agent_messages import TaskRecord
from egretcart.connection.cell_types import Term
from egretcart.connection.leader_messages import Fence
from egretcart.connection.leader_messages import FetchJob
from egretcart.connection.leader_messages import LedgerQuery
from egretcart.connection.leader_messages import Start
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


def send_fence(context, *, by_query):
    message = Fence(term=TERM, by_query=by_query)
    (effect,) = context.agent.receive("e", message)
    assert effect.message.by_query == by_query
    return [record.job_id for record in effect.message.records]


@then("its reply to a fence names the {count:d} running tasks")
def check_fence(context, count):
    reported = send_fence(context, by_query=True)
    assert len(reported) == count
    assert reported == context.running_ids


@then("its reply to a leader of the release before names all {count:d}")
def check_whole_ledger(context, count):
    assert len(send_fence(context, by_query=False)) == count


@then("its reply to a query names only the begun ones of the jobs asked for")
def check_query(context):
    unknown = job_id_at(3, 3).value
    asked = (context.ended_ids[7], unknown, context.running_ids[1])
    query = LedgerQuery(term=TERM, number=9, job_ids=asked)
    (effect,) = context.agent.receive("e", query)
    assert effect.message.number == 9
    reported = {r.job_id: r.tasks[0].state for r in effect.message.records}
    assert reported == {
        asked[0]: RecordState.SUCCEEDED,
        asked[2]: RecordState.BEGUN,
    }
    stale = LedgerQuery(term=Term(1, 1), number=9, job_ids=asked)
    (effect,) = context.agent.receive("e", stale)
    assert isinstance(effect.message, HeartbeatReply)
    assert effect.message.term == TERM


def make_load(agent_id, incarnation=1):
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
        context.job_manager.agent_fenced(
            make_load(agent_id), [], by_query=True
        )
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


def record_effects(context, effects):
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
    offset_ms = {"older": -1, "newer": 0}[age]
    make_job(context, context.query_before_ms + offset_ms)
    record_effects(context, context.job_manager.submit(TOKEN, context.job))


@when("an idempotent job older than the term comes")
def submit_idempotent(context):
    make_job(context, context.query_before_ms - 1, "true")
    record_effects(context, context.job_manager.submit(TOKEN, context.job))


@when("a job older than the term is read")
def read_older(context):
    request_older(context, "a read")


@when("{request} of a job older than the term comes")
def request_older(context, request):
    make_job(context, context.query_before_ms - 1)
    job_manager = context.job_manager
    handler = {"a read": job_manager.read, "a cancel": job_manager.cancel}[
        request
    ]
    record_effects(context, handler(TOKEN, context.job.job_id))


def send_ledger_reply(context, agent_id, records=(), query=None):
    query = query or context.queries[agent_id]
    reply = LedgerReply(number=query.number, records=tuple(records))
    record_effects(context, context.job_manager.ledger_reply(agent_id, reply))


def make_record(context, state=RecordState.SUCCEEDED):
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
    check_nothing_placed(context)


@then("the leader places nothing")
def check_nothing_placed(context):
    assert not sent(context, Start)
    assert not replies(context)


@then("it places the job once both have reported no records")
def check_placed_after(context):
    send_ledger_reply(context, "a")
    check_nothing_placed(context)
    send_ledger_reply(context, "b")
    assert len(sent(context, Start)) == 1


@then("it is placed at once")
def check_placed(context):
    assert len(sent(context, Start)) == 1
    assert not context.queries


@when("one agent reports that it ran the job")
def report_ran(context):
    send_ledger_reply(context, "a", [make_record(context)])


@when("the other agent reports no records")
def report_nothing(context):
    send_ledger_reply(context, "b")


@then("the leader fetches the result and starts nothing")
@then("the result is fetched")
def check_fetched(context):
    assert [e.agent_id for e in sent(context, FetchJob)] == ["a"]
    assert not sent(context, Start)
    assert not replies(context)


@when("one agent is lost before it reports")
def lose_agent(context):
    context.job_manager.agent_lost("a")


def reconnect(context, incarnation=1, agent_id="a"):
    context.queries.pop(agent_id, None)
    context.reconnected_id = agent_id
    fenced = make_load(agent_id, incarnation)
    record_effects(
        context, context.job_manager.agent_fenced(fenced, [], by_query=True)
    )


@when("one agent reconnects")
def reconnect_one(context):
    reconnect(context)


@when("the agent that has it is lost and reconnects")
def lose_and_reconnect(context):
    (start,) = sent(context, Start)
    context.job_manager.agent_lost(start.agent_id)
    reconnect(context, agent_id=start.agent_id)


@then("the leader asks that agent about the job")
def check_asked_again(context):
    query = context.queries[context.reconnected_id]
    assert query.job_ids == (context.job.job_id.value,)


@when("the agent reports no records")
def reconnected_reports_nothing(context):
    send_ledger_reply(context, context.reconnected_id)


@when("the agent reports that it began the job")
def reconnected_reports_begun(context):
    begun = make_record(context, RecordState.BEGUN)
    send_ledger_reply(context, context.reconnected_id, [begun])


@then("the job is placed {count:d} times in all")
def check_start_count(context, count):
    assert len(sent(context, Start)) == count


@when("it reconnects and reports no records")
def reconnect_with_no_records(context):
    reconnect(context)
    check_nothing_placed(context)
    send_ledger_reply(context, "a")


@when("it reconnects and reports the job")
def reconnect_with_record(context):
    reconnect(context)
    send_ledger_reply(context, "a", [make_record(context)])


@when("it reconnects as a new incarnation")
def reconnect_restarted(context):
    reconnect(context, incarnation=2)
    send_ledger_reply(context, "a")


@when("it does not reconnect")
def expire_lost_agent(context):
    context.clock.advance(context.limits.member_grace_s)
    record_effects(context, context.job_manager.tick())


@then("the job is placed")
def check_started(context):
    assert len(sent(context, Start)) == 1


@then("the reply says that the job may have run")
def check_outcome_unknown(context):
    assert not sent(context, Start)
    ((status, document),) = replies(context)
    assert status == 503
    assert document["verdict"] == "may_have_run"


@when("one agent reconnects and the reply to its first query comes late")
def reply_late(context):
    first = context.queries["a"]
    context.job_manager.agent_lost("a")
    reconnect(context)
    send_ledger_reply(context, "a", query=first)
    send_ledger_reply(context, "b")


@then("it is answered only once both have reported")
def check_answered_after(context):
    send_ledger_reply(context, "b")
    assert not replies(context)
    send_ledger_reply(context, "a")
    ((status, document),) = replies(context)
    assert status == 404
    assert document["verdict"] == "not_run"


@when("a job older than the window is read and nothing is known of it")
def read_expired(context):
    oldest_ms = context.clock.unix_ms() - int(context.limits.window_s * 1000)
    make_job(context, oldest_ms - 1)
    record_effects(
        context, context.job_manager.read(TOKEN, context.job.job_id)
    )
    for agent_id in AGENTS:
        send_ledger_reply(context, agent_id)


@then("the answer says that it may have run")
def check_may_have_run(context):
    ((status, document),) = replies(context)
    assert status == 404
    assert document["verdict"] == "may_have_run"


@when("the term ends")
def end_term(context):
    context.ended = context.job_manager.end()


@then("the deferred request is returned for forwarding")
def check_returned_to_entry(context):
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
    record_effects(context, context.job_manager.submit(TOKEN, job))
    assert len(sent(context, Start)) == 2
    record_effects(context, context.job_manager.cancel(TOKEN, job.job_id))


@then("the answer says that the second task was not run")
def check_second_not_run(context):
    _, document = replies(context)[-1]
    assert document["tasks"] == ["may_have_run", "not_run"]
    assert context.job_manager.answers.find(context.job.job_id)


@then("the entry keeps no answer of the job for its next term")
def check_answer_discarded(context):
    assert context.job_manager.answers.find(context.job.job_id) is None


@when("one agent drains")
def drain(context):
    context.job_manager.loads["a"].draining = True
    record_effects(context, context.job_manager.recovery.agent_draining("a"))
    assert context.queries["a"].made_before_ms == context.query_before_ms


@then("it may not shut down before it has reported what it knows")
def check_may_not_shut_down(context):
    assert not context.job_manager.loads["a"].ledger_complete


@when("it reports an older job")
def report_older(context):
    context.older = parse_job(
        job_id=job_id_at(context.query_before_ms - 1, 7),
        service="snapcheck",
        body=(BODY % "false").encode(),
        max_tasks=1,
    ).unwrap()
    context.job = context.older
    send_ledger_reply(context, "a", [make_record(context)])
    assert context.job_manager.loads["a"].ledger_complete


@when("it shuts down")
def shut_down(context):
    context.effects = []
    context.job_manager.agent_lost("a")
    expire_lost_agent(context)


@when("the older job comes")
def submit_older(context):
    record_effects(context, context.job_manager.submit(TOKEN, context.older))


@then("the older job is not run again")
def check_not_run_again(context):
    assert not sent(context, Start)
    ((_, document),) = replies(context)
    assert document["verdict"] == "may_have_run"


def make_succeeded_record(context, index):
    state = RecordState.SUCCEEDED.value
    task = TaskRecord(index=index, attempt=1, state=state)
    job = context.job
    return JobRecord(job_id=job.job_id.value, digest=job.digest, tasks=(task,))


@when("each agent reports its whole ledger, with one task of an older job")
def report_whole_ledgers(context):
    context.job = parse_job(
        job_id=job_id_at(context.query_before_ms - 1, 8),
        service="snapcheck",
        body=b'{"tasks": [{"payload": 1}, {"payload": 2}]}',
        max_tasks=2,
    ).unwrap()
    for index, agent_id in enumerate(AGENTS):
        ledger = [make_succeeded_record(context, index)]
        context.job_manager.agent_fenced(make_load(agent_id), ledger)


@when("one agent is restarted")
def restart_one(context):
    context.job_manager.agent_lost("a")
    context.job_manager.agent_fenced(make_load("a", 2), [])


@when("that job is submitted again")
def submit_two(context):
    record_effects(context, context.job_manager.submit(TOKEN, context.job))


@then("no task of it has the verdict not run")
def check_none_not_run(context):
    ((_, document),) = replies(context)
    assert document["verdict"] == "may_have_run"
    assert "not_run" not in document["tasks"], document


@when("another one is read before the agents have reported")
def read_another(context):
    context.first = dict(context.queries)
    context.other_id = job_id_at(context.query_before_ms - 1, 9)
    record_effects(context, context.job_manager.read(TOKEN, context.other_id))
    assert context.queries == context.first


@when("each agent reports no records")
def both_report_nothing(context):
    for agent_id, query in context.first.items():
        send_ledger_reply(context, agent_id, query=query)


@then("each agent is asked about the other job")
def check_other_asked(context):
    for agent_id in AGENTS:
        assert context.queries[agent_id].job_ids == (context.other_id.value,)
