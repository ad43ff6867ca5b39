from behave import then
from behave import when
from policy_fake import begun_times
from policy_fake import make_agents
from policy_fake import make_configuration
from policy_fake import World

from egretcart.connection.cell_types import Term
from egretcart.connection.leader_messages import CancelledTask
from egretcart.connection.leader_messages import CancelTasks
from egretcart.connection.leader_messages import Start
from egretcart.process.agent.agent import Agent
from egretcart.process.agent.agent_types import AbortExchange
from egretcart.process.agent.agent_types import AgentIdentity
from egretcart.process.agent.agent_types import AgentLimits
from egretcart.process.agent.agent_types import SendToEntry
from egretcart.request.identity import job_id_at
from egretcart.testing.clock import ManualClock


@when("30 % of the jobs are cancelled within one turn")
def run_cancel_wave(context):
    world = World(make_agents())
    for _ in range(100):
        world.submit([1000.0] * 10)
    world.run(0.5)
    context.cancelled = world.jobs[::3][:30]
    for fake in context.cancelled:
        world.cancel(fake)
    context.queued_cancels = world.cancels
    world.run(0.6)
    context.cancels = world.cancels
    world.run(60)
    context.world = world


@then("each agent gets one cancel message and all slots become free")
def check_cancel_wave(context):
    assert 0 < context.cancels <= 11, context.cancels
    assert {fake.status for fake in context.cancelled} == {409}
    others = [j for j in context.world.jobs if j not in context.cancelled]
    assert {fake.status for fake in others} == {200}
    for load in context.world.job_manager.loads.values():
        assert not load.in_flight


@then("one cancelled task and one cancelled job leave the rest running")
def check_agent_cancel(context):
    clock = ManualClock()
    identity = AgentIdentity(
        agent_id="a", incarnation=1, service="service", failure_domain="d",
        slots=4, connections=8,
    )  # fmt: skip
    agent = Agent(identity=identity, limits=AgentLimits(), clock=clock)
    agent.promised_term, agent.leader = Term(1, 1), "entry"
    agent.lease_until = float("inf")
    jobs = [job_id_at(clock.unix_ms(), number).value for number in range(2)]
    for job_id in jobs:
        for task in range(3):
            start = Start(
                term=Term(1, 1), job_id=job_id, task=task, attempt=1,
                time_left_ms=1000,
            )  # fmt: skip
            agent.receive("entry", start)
    cancelled = (CancelledTask(job_id=jobs[0], task=1),
                 CancelledTask(job_id=jobs[1]))  # fmt: skip
    effects = agent.receive(
        "entry", CancelTasks(term=Term(1, 1), tasks=cancelled)
    )
    aborted = {e.key for e in effects if isinstance(e, AbortExchange)}
    refused = {
        (e.message.job_id, e.message.task, e.message.verdict)
        for e in effects
        if isinstance(e, SendToEntry)
    }
    assert aborted == {(jobs[0], 1), (jobs[1], 0)}, aborted
    assert refused == {(jobs[1], t, "not_run") for t in (1, 2)}, refused


@when("one backend server drains and another is excluded")
def run_leaving(context):
    world = World(make_agents(4))
    world.load(0.7, 10)
    world.run(2)
    excluding = make_configuration(backends=("agent-[023]",))
    world.job_manager.configure(excluding, "service")
    world.run(2.55)
    world.job_manager.loads["agent-0"].draining = True
    world.run(2.551)
    context.leaving = [world.agents["agent-0"], world.agents["agent-1"]]
    context.before = [agent.started for agent in context.leaving]
    world.run(40)
    context.world = world


@then("neither is sent a start and the jobs are answered")
def check_leaving(context):
    assert [a.started for a in context.leaving] == context.before
    assert {fake.status for fake in context.world.jobs} == {200}


@when("a rack of 3 workers is lost under load")
def run_lost_rack(context):
    world = World(make_agents())
    world.load(0.3, 10)
    world.load(0.3, 10, idempotent=False)
    world.run(5)
    for number in range(3):
        world.lose(f"agent-{number}")
    world.run(60)
    context.world = world


@then("idempotent jobs are answered and no other task runs twice")
def check_lost_rack(context):
    world = context.world
    counts = begun_times(world)
    failed = 0
    for fake in world.jobs:
        if fake.job.idempotent:
            assert fake.status == 200, fake.body
            continue
        key = fake.job.job_id.value
        assert all(counts[(key, i)] <= 1 for i in range(len(fake.true_ms)))
        failed += fake.status == 502
        if fake.status == 502:
            assert fake.body["verdict"] == "may_have_run"
    assert 0 < failed <= 24, failed
