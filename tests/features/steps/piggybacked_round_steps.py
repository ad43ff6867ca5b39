import pathlib
import sys

from behave import given
from behave import then
from behave import when
from msgspec.structs import replace

from egretcart.connection.agent_messages import TaskResult
from egretcart.connection.cell_types import Roster
from egretcart.connection.cell_types import RosterMember
from egretcart.connection.cell_types import Term
from egretcart.connection.leader_messages import Fence
from egretcart.connection.leader_messages import FetchJob
from egretcart.connection.leader_messages import Heartbeat
from egretcart.connection.leader_messages import Start
from egretcart.process.agent.agent import Agent
from egretcart.process.agent.agent_types import AgentIdentity
from egretcart.process.agent.agent_types import AgentLimits
from egretcart.process.agent.agent_types import BeginExchange
from egretcart.process.agent.agent_types import ExchangeOutcome
from egretcart.process.agent.leases import LeaseManager
from egretcart.process.agent.leases import PIGGYBACK_TIMEOUT_S
from egretcart.process.cell.effects import SendToAgent
from egretcart.process.cell.limits import LeaderLimits
from egretcart.process.cell.quorum import Quorum
from egretcart.request.identity import job_id_at
from egretcart.request.verdict import Verdict
from egretcart.testing.clock import ManualClock

sys.path.append(str(pathlib.Path(__file__).parents[3] / "tools"))

from measure_heartbeats import BusyCell
from measure_heartbeats import measure

TERM, NEXT_TERM = Term(2, 2), Term(3, 3)
JOB_ID = job_id_at(ManualClock().unix_ms(), 1).value
DONE = ExchangeOutcome(succeeded=True, verdict=Verdict.RAN, body=b"done")


def stamp_us(context):
    return int(context.clock.monotonic() * 1e6)


def send_start(context, *, term=TERM, **fields):
    context.task += 1
    start = Start(
        term=term,
        job_id=JOB_ID,
        digest=b"d",
        task=context.task,
        attempt=1,
        time_left_ms=9000,
        **fields,
    )
    return context.agent.receive("e", start)


def result_of(context, task):
    effects = context.agent.exchange_ended((JOB_ID, task), DONE)
    (result,) = [e.message for e in effects if hasattr(e, "entry_id")]
    return result


def grant_lease(context, term):
    proof = Heartbeat(term=term, proven_stamp_us=stamp_us(context))
    context.agent.receive("e", proof)


@given("an agent that promised a term and holds a lease")
def make_agent(context):
    context.clock = ManualClock()
    context.clock.advance(100)
    context.task = 0
    context.agent = Agent(
        identity=AgentIdentity(
            agent_id="a",
            incarnation=1,
            service="snapcheck",
            failure_domain="kl-putra",
            slots=8,
            connections=64,
        ),
        limits=AgentLimits(),
        clock=context.clock,
    )
    context.agent.receive("e", Fence(term=TERM, by_query=True))
    grant_lease(context, TERM)


@when("a start carries round {number:d}")
def start_with_round(context, number):
    (effect,) = send_start(context, round=number)
    assert isinstance(effect, BeginExchange)
    context.running = context.task


@when("the lease has expired and a start carries a fresh proof")
def start_with_proof(context):
    context.clock.advance(60)
    (refused,) = send_start(context)
    assert refused.message.verdict == "not_run"
    fresh = stamp_us(context)
    context.effects = send_start(context, proven_stamp_us=fresh)


@then("the agent runs the task")
def check_runs(context):
    (effect,) = context.effects
    assert isinstance(effect, BeginExchange)


@when("the agent promises a higher term")
def promise_higher(context):
    context.agent.receive("e", Fence(term=NEXT_TERM, by_query=True))


@when("the connection to the leader breaks")
def break_connection(context):
    context.agent.disconnected("e")
    context.agent.receive("e", Fence(term=TERM, by_query=True))


@when("the leader requests round {number:d} by a heartbeat")
def request_by_heartbeat(context, number):
    (effect,) = context.agent.receive("e", Heartbeat(term=TERM, round=number))
    assert effect.message.round == number


@when("a start of the next term carries round {number:d}")
def start_of_next_term(context, number):
    promise_higher(context)
    grant_lease(context, NEXT_TERM)
    send_start(context, term=NEXT_TERM, round=number)


@then("a result of the higher term confirms nothing")
def check_higher(context):
    grant_lease(context, NEXT_TERM)
    send_start(context, term=NEXT_TERM)
    result = result_of(context, context.task)
    assert result.term == NEXT_TERM
    assert (result.round, result.stamp_us) == (0, 0)


@when("a start of a former term carries round {number:d}")
def former_start(context, number):
    (effect,) = send_start(context, term=Term(1, 1), round=number)
    context.refusal = effect.message


@then("the refusal confirms nothing")
def check_refusal(context):
    assert context.refusal.verdict == "not_run"
    assert (context.refusal.round, context.refusal.stamp_us) == (0, 0)


@then("the result confirms round {number:d} with a fresh stamp")
def check_confirms(context, number):
    context.clock.advance(1)
    result = result_of(context, context.running)
    assert (result.round, result.stamp_us) == (number, stamp_us(context))


@then("the result confirms nothing")
def check_confirms_nothing(context):
    result = result_of(context, context.running)
    assert (result.round, result.stamp_us) == (0, 0)


@then("the next result confirms nothing")
def check_next(context):
    send_start(context)
    result = result_of(context, context.task)
    assert (result.round, result.stamp_us) == (0, 0)


@then("the result that a later term fetches confirms nothing")
def check_fetched(context):
    context.agent.receive("e", Fence(term=NEXT_TERM, by_query=True))
    fetch = FetchJob(term=NEXT_TERM, job_id=JOB_ID)
    (effect,) = context.agent.receive("e", fetch)
    assert effect.message.body == b"done"
    assert (effect.message.round, effect.message.stamp_us) == (0, 0)


@given("a leader of 3 agents with a piggybacked round")
def make_leases(context):
    context.agent_ids = ("a", "b", "c")
    members = tuple(
        RosterMember(agent_id=agent_id, incarnation=1)
        for agent_id in context.agent_ids
    )
    context.quorum = Quorum(roster=Roster(version=1, members=members))
    context.leases = LeaseManager(
        term=TERM, quorum=context.quorum, limits=LeaderLimits()
    )
    for agent_id in context.agent_ids:
        context.quorum.add_fenced(agent_id, incarnation=1, stamp_us=1, now=0.0)
    for number in (1, 2):
        context.leases.open_round(0.5)
        for agent_id in context.agent_ids:
            context.quorum.confirm(
                agent_id,
                round_number=number,
                stamp_us=number + 1,
                roster_version=1,
                now=0.5,
            )
    starts = [
        SendToAgent(agent_id, Start(term=TERM, job_id=JOB_ID))
        for agent_id in context.agent_ids
    ]
    context.leases.piggyback(starts)
    assert context.leases.open_piggybacked_round(1.0) == []
    piggybacked = context.leases.piggyback(starts + starts)
    assert [e.message.round for e in piggybacked] == [3, 3, 3, 0, 0, 0]


def confirm(context, count, term):
    for agent_id in context.agent_ids[:count]:
        result = TaskResult(job_id=JOB_ID, term=term, round=3, stamp_us=4)
        context.leases.handle_result_confirmation(agent_id, result, 1.1)


@when("all agents confirm it by results of a former term")
def confirm_former(context):
    confirm(context, 3, Term(1, 1))


@when("all agents confirm it by results of its term")
def confirm_all(context):
    confirm(context, 3, TERM)


@when("{count:d} agents confirm it by results of its term")
def confirm_some(context, count):
    confirm(context, count, TERM)


@when("the time for piggybacking has passed")
def flush_piggybacked_round(context):
    assert context.leases.tick(1.0 + PIGGYBACK_TIMEOUT_S / 2) == []
    context.effects = context.leases.tick(1.0 + PIGGYBACK_TIMEOUT_S)
    assert context.leases.tick(1.0 + PIGGYBACK_TIMEOUT_S) == []


@then("only the third gets a heartbeat with the round")
def check_heartbeats(context):
    asked = [(e.agent_id, e.message.round) for e in context.effects]
    assert asked == [("c", 3)], asked


@when("only 1 agent gets starts until the next round")
def start_few(context):
    assert context.leases.open_piggybacked_round(1.6) == []
    context.leases.piggyback(
        [SendToAgent("a", Start(term=TERM, job_id=JOB_ID))]
    )
    context.effects = context.leases.open_piggybacked_round(2.2)


@when("no heartbeat was sent until the next round")
def wait_long(context):
    for agent_id in context.agent_ids:
        start = Start(term=TERM, job_id=JOB_ID)
        context.leases.piggyback([SendToAgent(agent_id, start)])
    context.effects = context.leases.open_piggybacked_round(5.6)


@then("that round is sent to all {count:d} by heartbeats")
def check_all_asked(context, count):
    asked = [(e.agent_id, e.message.round) for e in context.effects]
    newest = context.quorum.opened_round
    assert asked == [(agent_id, newest) for agent_id in context.agent_ids]
    assert len(asked) == count


@then("the round is not proven")
def check_unproven(context):
    assert context.quorum.proven_round == 2


@then("the round is proven")
def check_proven(context):
    assert context.quorum.proven_round == 3


@then("starts to these 2 carry a new proof once, and to the third none")
def check_proofs(context):
    starts = [
        SendToAgent(agent_id, Start(term=TERM, job_id=JOB_ID))
        for agent_id in context.agent_ids
    ]
    piggybacked = context.leases.piggyback(starts + starts)
    stamps = [e.message.proven_stamp_us for e in piggybacked]
    assert stamps == [3, 3, 0, 0, 0, 0], stamps


@then("the stamps that came with it are not proven")
def check_stamps(context):
    proven = [m.proven_stamp_us for m in context.quorum.members.values()]
    assert proven == [3, 3, 3]


class PreviousReleaseAgent(Agent):
    """An agent that ignores rounds and proofs in starts."""

    def receive(self, entry_id, message):
        if isinstance(message, Start):
            message = replace(message, round=0, proven_stamp_us=0)
        return super().receive(entry_id, message)


class PreviousReleaseCell(BusyCell):
    def add_agent(self, agent_id):
        super().add_agent(agent_id)
        self.agents[agent_id].__class__ = PreviousReleaseAgent


@given("a cell of {agents:d} agents that start {rate:d} tasks a second each")
def run_cell(context, agents, rate):
    context.cell = BusyCell(size=agents)
    context.costs = measure(context.cell, rate)


@given("a cell of {agents:d} agents of the previous release")
def run_previous_release(context, agents):
    context.cell = PreviousReleaseCell(size=agents)
    measure(context.cell, 20)


@then("its leader's control traffic takes less than {limit:d} bytes a second")
def check_bytes(context, limit):
    cost = context.costs["control_bytes_of_leader_s"]
    assert cost < limit, cost


@then("no start is refused")
def check_no_refusal(context):
    assert context.cell.started > 1000
    assert context.cell.refused == 0
