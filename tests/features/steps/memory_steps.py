import pathlib
import sys

from behave import given
from behave import then
from behave import when

from egretcart.process.cell.limits import PRUNE_INTERVAL_S

TOOLS = pathlib.Path(__file__).resolve().parents[3] / "tools"
if str(TOOLS) not in sys.path:
    sys.path.append(str(TOOLS))


@given("a cell that has answered {jobs:d} jobs")
def answer_jobs(context, jobs):
    from measure_capacity import SimulatedCell

    context.cell, context.jobs = SimulatedCell(size=4), jobs
    for _ in range(jobs):
        context.cell.run_job(3)
    # A new leader would know these jobs only from the agents' ledgers.
    for leadership in context.cell.entry.leaderships.values():
        for agent in context.cell.agents.values():
            for record in agent.ledger.summary():
                leadership.job_manager.known.add(
                    agent.identity.agent_id, 1, record
                )


def grow_older(context, seconds):
    cell = context.cell
    cell.clock.advance(seconds)
    cell.run_tick()
    for agent in cell.agents.values():
        agent.tick()


@when("their identifiers become too old to be queried")
def expire(context):
    limits = context.cell.entry.leader_limits
    grow_older(context, limits.memory_s + PRUNE_INTERVAL_S)


@when("their identifiers are as old as the idempotency window")
def age(context):
    grow_older(context, context.cell.entry.leader_limits.window_s)


@then("neither the entry nor an agent stores any of them")
def check_forgotten(context):
    entry = context.cell.entry
    assert not entry.answers.answers
    assert entry.answers.cached_bytes == 0
    assert not any(
        leadership.job_manager.known.jobs or leadership.job_manager.jobs
        for leadership in entry.leaderships.values()
    )
    for agent in context.cell.agents.values():
        assert not agent.ledger.jobs
        assert agent.ledger.result_bytes == 0


@then("the entry and the agents store all of them")
def check_remembered(context):
    assert len(context.cell.entry.answers.answers) == context.jobs
    recorded = {
        job_id
        for agent in context.cell.agents.values()
        for job_id in agent.ledger.jobs
    }
    assert len(recorded) == context.jobs
