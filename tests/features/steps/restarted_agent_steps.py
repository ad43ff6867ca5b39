import random

from behave import given
from behave import then
from behave import when
from one_agent_cell import AGENT_ID
from one_agent_cell import idempotent_body
from one_agent_cell import MAX_TASKS
from one_agent_cell import OneAgentCell
from one_agent_cell import TICK_S

from egretcart.connection.agent_messages import JobRecord
from egretcart.connection.agent_messages import TaskRecord
from egretcart.connection.cell_types import Term
from egretcart.connection.leader_messages import Start
from egretcart.process.agent.ledger import RecordState
from egretcart.process.cell.agent_load import AgentLoad
from egretcart.process.cell.effects import RequestToken
from egretcart.process.cell.jobs import JobManager
from egretcart.process.cell.leadership import Phase
from egretcart.process.cell.limits import LeaderLimits
from egretcart.process.cell.limits import MS_PER_S
from egretcart.process.entry.answers import AnswerCache
from egretcart.process.policy.bundle import standard_policy
from egretcart.request.identity import job_id_at
from egretcart.request.job import parse_job
from egretcart.testing.clock import ManualClock
from egretcart.version.document import Configuration
from egretcart.version.document import Service


class OneAgentLeader:
    """A leader's job manager and the starts sent to its only agent."""

    def __init__(self, slots):
        self.clock = ManualClock()
        self.limits = LeaderLimits()
        self.slots = slots
        self.incarnation = 1
        self.request_numbers = iter(range(MAX_TASKS))
        self.job_manager = JobManager(
            term=Term(1, 1),
            limits=self.limits,
            clock=self.clock,
            answers=AnswerCache(max_bytes=1000),
            policy=standard_policy(rng=random.Random(1)),
        )
        self.job_manager.configure(
            Configuration(version=1, services=(Service(name="s"),)), "s"
        )
        self.leased_agents = {AGENT_ID}
        self.sent = []
        self.connect()
        self.job_manager.recovery.serve(
            uncertain_before_ms=0, query_before_ms=0
        )

    def connect(self, records=()):
        load = AgentLoad(
            agent_id=AGENT_ID,
            incarnation=self.incarnation,
            failure_domain="d",
            slots=self.slots,
            queue_depth=2,
        )
        self.sent = []
        self.place_and_record(self.job_manager.agent_fenced(load, records))

    def place_and_record(self, effects):
        effects = effects + self.job_manager.place(self.leased_agents)
        self.sent += [
            effect.message
            for effect in effects
            if isinstance(getattr(effect, "message", None), Start)
        ]

    def submit(self, tasks):
        number = next(self.request_numbers)
        job = parse_job(
            job_id=job_id_at(self.clock.unix_ms(), number),
            service="s",
            body=idempotent_body(tasks),
            max_tasks=MAX_TASKS,
        ).unwrap()
        self.place_and_record(
            self.job_manager.submit(RequestToken("e", number), job)
        )
        return job

    def advance(self, seconds):
        self.clock.advance(seconds)
        self.place_and_record(self.job_manager.tick())


@given("a leader of an agent with {slots:d} slots")
def make_leader(context, slots):
    context.leader = OneAgentLeader(slots)


@when("{running:d} tasks run on it and {waiting:d} more wait")
def run_tasks(context, running, waiting):
    leader = context.leader
    context.job = leader.submit(running)
    assert len(leader.sent) == running
    leader.leased_agents = set()
    leader.submit(waiting)
    leader.leased_agents = {AGENT_ID}


@when("it is lost and returns as a new incarnation")
def restart(context):
    context.leader.job_manager.agent_lost(AGENT_ID)
    context.leader.incarnation += 1
    context.leader.connect()


@when("it is lost beyond its grace period and returns as a new incarnation")
def return_late_restarted(context):
    leader = context.leader
    leader.job_manager.agent_lost(AGENT_ID)
    leader.advance(leader.limits.member_grace_s)
    leader.incarnation += 1
    leader.connect()


@when("it is lost beyond its grace period and returns with one task ended")
def return_late(context):
    leader = context.leader
    leader.job_manager.agent_lost(AGENT_ID)
    leader.advance(leader.limits.member_grace_s)
    tasks = tuple(
        TaskRecord(
            index=index,
            attempt=1,
            state=(RecordState.BEGUN if index else RecordState.FAILED).value,
        )
        for index in range(len(context.job.tasks))
    )
    record = JobRecord(
        job_id=context.job.job_id.value,
        digest=context.job.digest,
        tasks=tasks,
    )
    leader.connect([record])


@when("the running tasks' job is cancelled")
def cancel(context):
    token = RequestToken("e", MAX_TASKS)
    leader = context.leader
    leader.job_manager.cancel(token, context.job.job_id)
    leader.job_manager.tick()


@when("the time limits of the lost incarnation's tasks have passed")
def pass_limits(context):
    leader = context.leader
    leader.advance(leader.limits.attempt_over_s(leader.limits.attempt_limit_s))


@given("an agent that was started {age_s:d} s ago")
def restarted_agent(context, age_s):
    context.age_s = age_s


@given("an agent that has begun a job made {ago_s:d} s ago and {tells}")
def agent_with_job(context, ago_s, tells):
    context.ago_s = ago_s
    context.reports_newest_job = tells == "tells it"


@when("a leader takes over by a roster with its {which} incarnation at once")
def take_over_at_once(context, which):
    roster_incarnation = {"former": 1, "present": 2}[which]
    leader = OneAgentCell(
        age_s=60,
        roster_incarnation=roster_incarnation,
        begun_job_age_s=context.ago_s,
        reports_newest_job=context.reports_newest_job,
    )
    context.leader = leader
    leader.advance(leader.limits.takeover_wait_s + TICK_S)
    assert leader.leadership.phase is Phase.SERVING


@when("a job that was made {ago_s:d} s ago comes")
def submit_old(context, ago_s):
    leader = context.leader
    leader.submit(1, leader.taken_over_ms - ago_s * MS_PER_S)


@then("the leader asks about {asked} job")
def check_queries(context, asked):
    queries = context.leader.queries
    assert len(queries) == {"no": 0, "one": 1}[asked], queries
    assert context.leader.job_manager.jobs or context.leader.queries


@when("another leader takes over with its {which} incarnation in the roster")
def take_over(context, which):
    roster_incarnation = {"former": 1, "present": 2}[which]
    leader = OneAgentCell(
        age_s=context.age_s, roster_incarnation=roster_incarnation
    )
    context.leader = leader
    leader.advance(leader.limits.takeover_wait_s + TICK_S)
    assert leader.leadership.phase is Phase.SERVING
    # Jobs created earlier would wait until tasks of the former term that may
    # still run have ended.
    leader.advance(leader.limits.id_horizon_ms / MS_PER_S + TICK_S)


@when("a job of {tasks:d} tasks is submitted")
def submit_job(context, tasks):
    context.leader.submit(tasks, context.leader.clock.unix_ms())


@when("the longest time limit and the largest clock difference have passed")
def pass_longest(context):
    limits = context.leader.limits
    limit_s = limits.attempt_limit_s * (1 + limits.clock_drift)
    context.leader.advance(limit_s + limits.clock_skew_s)


@then("it has {count:d} tasks")
def check_count(context, count):
    leader = context.leader
    in_flight = leader.job_manager.loads[AGENT_ID].in_flight
    assert min(len(in_flight), leader.slots) == count, len(in_flight)
