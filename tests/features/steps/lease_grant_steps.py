from collections import deque

from behave import given as given_step
from behave import then
from behave import when
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from egretcart.connection.agent_messages import TaskResult
from egretcart.connection.cell_types import Roster
from egretcart.connection.cell_types import RosterMember
from egretcart.connection.cell_types import Term
from egretcart.connection.leader_messages import Fence
from egretcart.connection.leader_messages import Heartbeat
from egretcart.process.agent.agent import Agent
from egretcart.process.agent.agent_types import AgentIdentity
from egretcart.process.agent.agent_types import AgentLimits
from egretcart.process.agent.agent_types import SendToEntry
from egretcart.process.cell.effects import RequestToken
from egretcart.process.cell.effects import SendReply
from egretcart.process.cell.effects import SendToAgent
from egretcart.process.cell.effects import StepDown
from egretcart.process.cell.effects import WriteRoster
from egretcart.process.cell.leadership import Leadership
from egretcart.process.cell.limits import LeaderLimits
from egretcart.process.entry.answers import AnswerCache
from egretcart.request.identity import job_id_at
from egretcart.request.job import parse_job
from egretcart.request.reply import NOT_LEADER
from egretcart.testing.clock import ManualClock
from egretcart.version.document import Configuration
from egretcart.version.document import Service

AGENTS = ("a", "b", "c", "d")
# All ticks together take less time than a lease, so that no lease expires.
TICKS = 10
TICK_S = 0.1


class QueuedCell:
    """A leader and its agents, with two message queues for each agent.

    Attributes
    ----------
    to_agents, to_leader : dict of str to deque
        Messages that have not been delivered, by agent id.
    refusals : list of str
        Errors of the results that agents have sent.
    other_effects : list
        Effects of the leader other than messages to agents and roster
        writes.
    """

    def __init__(self, members=AGENTS[:1]):
        self.clock = ManualClock()
        members = tuple(
            RosterMember(agent_id=agent_id, incarnation=1)
            for agent_id in members
        )
        self.leader = Leadership(
            service="s",
            cell=0,
            term=Term(1, 1),
            roster=Roster(version=1, members=members),
            configuration=Configuration(services=(Service(name="s"),)),
            limits=LeaderLimits(),
            clock=self.clock,
            answers=AnswerCache(max_bytes=1000),
        )
        self.agents = {a: self.new_agent(a) for a in AGENTS}
        self.to_agents = {a: deque() for a in AGENTS}
        self.to_leader = {a: deque() for a in AGENTS}
        self.refusals = []
        self.other_effects = []

    def new_agent(self, agent_id):
        identity = AgentIdentity(
            agent_id=agent_id,
            incarnation=1,
            service="s",
            failure_domain="d",
            slots=8,
            connections=8,
        )
        return Agent(identity=identity, limits=AgentLimits(), clock=self.clock)

    def job(self, *, age_ms=0):
        tasks = ",".join(['{"payload":1}'] * 40)
        return parse_job(
            job_id=job_id_at(self.clock.unix_ms() - age_ms, 1),
            service="s",
            body=f'{{"tasks":[{tasks}]}}'.encode(),
            max_tasks=99,
        ).unwrap()

    def send(self, effects):
        for effect in effects:
            if isinstance(effect, SendToAgent):
                self.to_agents[effect.agent_id].append(effect.message)
            elif isinstance(effect, WriteRoster):
                self.send(self.leader.roster_written(effect.roster))
            else:
                self.other_effects.append(effect)

    def deliver_all(self):
        """Deliver messages until none is left."""
        while any((*self.to_agents.values(), *self.to_leader.values())):
            for agent_id in AGENTS:
                self.deliver_next(agent_id, True)
                self.deliver_next(agent_id, False)

    def tick(self):
        self.clock.advance(TICK_S)
        self.send(self.leader.tick())

    def deliver_next(self, agent_id, to_agent):
        queue = (self.to_agents if to_agent else self.to_leader)[agent_id]
        if not queue:
            return
        message = queue.popleft()
        if not to_agent:
            self.send(self.leader.receive(agent_id, message))
            return
        for effect in self.agents[agent_id].receive("leader", message):
            if isinstance(effect, SendToEntry):
                if isinstance(effect.message, TaskResult):
                    self.refusals.append(effect.message.error)
                self.to_leader[agent_id].append(effect.message)


@then("in any order of messages, joining agents refuse no start")
def check_grants(context):
    deliveries = st.lists(st.tuples(st.sampled_from(AGENTS), st.booleans()))

    @settings(max_examples=200)
    @given(st.lists(deliveries, min_size=TICKS, max_size=TICKS))
    def refuses_nothing(deliveries_by_tick):
        cell = QueuedCell()
        for agent in cell.agents.values():
            cell.send(cell.leader.agent_connected(agent.hello()))
        cell.deliver_next(AGENTS[0], True)
        cell.deliver_next(AGENTS[0], False)
        cell.send(cell.leader.submit(RequestToken("leader", 1), cell.job()))
        for deliveries_of_tick in deliveries_by_tick:
            for agent_id, to_agent in deliveries_of_tick:
                cell.deliver_next(agent_id, to_agent)
            cell.tick()
        assert not cell.refusals, cell.refusals[0]

    refuses_nothing()


@given_step("a leader with its agents and no work")
def start_cell(context):
    cell = context.cell = QueuedCell(members=AGENTS)
    context.newest_ms = cell.clock.unix_ms()
    newest = job_id_at(context.newest_ms, 2).value
    cell.agents["a"].ledger.begin(job_id=newest, digest=b"", task=0, attempt=1)
    for agent in cell.agents.values():
        cell.send(cell.leader.agent_connected(agent.hello()))
    for _ in range(20):
        cell.deliver_all()
        cell.tick()
    cell.deliver_all()
    since_s = cell.clock.monotonic() - cell.leader.leases.last_round_at
    assert since_s < LeaderLimits().idle_heartbeat_interval_s - 1
    cell.other_effects.clear()


@when("another leader fences an agent and the former leader is not notified")
def fence_by_other_leader(context):
    fence = Fence(term=Term(2, 2), by_query=True)
    context.cell.agents["a"].receive("other", fence)


@when("the former leader is sent a job older than its term")
def send_older(context):
    cell = context.cell
    job = cell.job(age_ms=10_000)
    cell.send(cell.leader.submit(RequestToken("leader", 1), job))


@when("it is sent a job newer than all that its agents have begun")
def send_newer(context):
    cell = context.cell
    age_ms = cell.clock.unix_ms() - context.newest_ms - 1
    job = cell.job(age_ms=age_ms)
    cell.send(cell.leader.submit(RequestToken("leader", 1), job))


@then("the leader opens no ledger query and places its tasks")
def check_no_ledger_query(context):
    cell = context.cell
    assert not cell.leader.job_manager.recovery.ledger_queries.open
    assert cell.leader.job_manager.jobs
    cell.deliver_all()
    assert any(agent.running for agent in cell.agents.values())


@then('the job is answered "not leader" within a round trip')
def check_not_leader(context):
    cell = context.cell
    cell.deliver_all()
    replies = [e for e in cell.other_effects if isinstance(e, SendReply)]
    assert [e.reply for e in replies] == [NOT_LEADER]
    assert any(isinstance(e, StepDown) for e in cell.other_effects)


@then("it opens a round at the interval of a leader with work")
def check_round(context):
    cell = context.cell
    for queue in cell.to_agents.values():
        queue.clear()
    ticks = round(LeaderLimits().heartbeat_interval_s / TICK_S) + 1
    for _ in range(ticks):
        cell.tick()
    sent = [m for queue in cell.to_agents.values() for m in queue]
    assert any(isinstance(m, Heartbeat) and m.round for m in sent), sent
