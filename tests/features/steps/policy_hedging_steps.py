from behave import then
from behave import when
from policy_fake import begun_times
from policy_fake import HEDGED
from policy_fake import make_agents
from policy_fake import make_configuration
from policy_fake import quantile
from policy_fake import World

from egretcart.connection.agent_messages import JobRecord
from egretcart.connection.agent_messages import TaskRecord
from egretcart.process.agent.ledger import RecordState
from egretcart.process.policy.hedging import (
    INITIAL_HEDGE_TOKENS as HEDGE_TOKENS,
)
from egretcart.version.document import HedgePolicy
from egretcart.version.document import UrgencyClass

LONG_WAIT_CLASSES = (UrgencyClass(name="normal", max_wait_ms=1e6),)


@when("one task in a hundred lasts twenty times as long")
def run_stragglers(context):
    context.worlds = []
    for share in (0.0, 0.02):
        configuration = make_configuration(
            kinds=HEDGED, hedge=HedgePolicy(budget_share=share)
        )
        world = World(
            make_agents(), configuration=configuration, straggler_share=0.01
        )
        world.load(0.5, 20)
        world.run(60)
        context.worlds.append(world)


@then("hedges shorten the tail, stay in their budget and free their slots")
def check_hedges(context):
    without, hedged = context.worlds
    tails = [quantile(w.ratios(since=2), 0.95) for w in context.worlds]
    assert tails[1] < 0.7 * tails[0], tails
    counts = begun_times(hedged)
    extra = sum(count - 1 for count in counts.values())
    assert 0 < extra <= HEDGE_TOKENS + 0.02 * len(counts)
    assert set(begun_times(without).values()) == {1}
    assert without.cancels == 0
    assert hedged.cancels > 0.5 * extra, (hedged.cancels, extra)
    for load in hedged.job_manager.loads.values():
        assert not load.in_flight
    for agent in hedged.agents.values():
        assert not agent.running


@when("a straggler runs while many tasks wait")
def run_straggler_in_queue(context):
    world = World(
        make_agents(2, slots=2),
        configuration=make_configuration(
            kinds=HEDGED, urgency=LONG_WAIT_CLASSES
        ),
    )
    for _ in range(20):
        world.submit([100.0])
    world.run(2)
    context.fake = world.submit([5000.0])
    world.submit([100.0] * 60)
    world.run(15)
    context.world = world


@then("it is started once more before the last of them")
def check_straggler_in_queue(context):
    key = context.fake.job.job_id.value
    places = [
        place for place, begun in enumerate(context.world.begun)
        if begun[0] == key
    ]  # fmt: skip
    assert len(places) == 2, places
    assert places[1] < len(context.world.begun) - 15, places


@then("no task is hedged unless its kind and its job allow it")
def check_no_hedge(context):
    for kinds, idempotent in ((HEDGED, False), ((), True)):
        world = World(
            make_agents(),
            configuration=make_configuration(kinds=kinds),
            straggler_share=0.05,
        )
        world.load(0.3, 5, idempotent=idempotent)
        world.run(60)
        assert set(begun_times(world).values()) == {1}


@when("a rack of 3 workers is lost under load of a kind that is hedged")
def run_lost_hedged_rack(context):
    no_stragglers = HedgePolicy(after_factor=100.0)
    world = World(
        make_agents(),
        configuration=make_configuration(kinds=HEDGED, hedge=no_stragglers),
    )
    world.load(0.5, 10)
    world.run(5)
    context.in_flight_before = {
        key for number in range(3)
        for key in world.job_manager.loads[f"agent-{number}"].in_flight
    }  # fmt: skip
    context.begun_before = len(world.begun)
    for number in range(3):
        world.lose(f"agent-{number}")
    world.run(60)
    context.world = world


@then("no job waits until the lost attempts have reached their limits")
def check_lost_hedged_rack(context):
    for fake in context.world.jobs:
        assert fake.status == 200, fake.body
        late_s = fake.answered - fake.submitted - max(fake.true_ms) / 1000
        assert late_s < 1.5, late_s


@then("the lost attempts were started once more, in other failure domains")
def check_hedged_elsewhere(context):
    world = context.world
    counts = begun_times(world)
    assert context.in_flight_before, context.begun_before
    again = {key for key, count in counts.items() if count > 1}
    assert again <= context.in_flight_before, again - context.in_flight_before
    assert max(counts.values()) == 2, counts
    later = world.begun[context.begun_before :]
    for job, task, agent_id in later:
        if (job, task) in context.in_flight_before:
            assert world.agents[agent_id].domain != "domain-0"


@then("an agent that connects again at once is not hedged")
def check_reconnected(context):
    world = World(
        make_agents(4, slots=1),
        configuration=make_configuration(kinds=HEDGED),
    )
    fake = world.submit([500.0])
    world.run(0.1)
    agent = world.agents[world.begun[0][2]]
    record = JobRecord(
        job_id=fake.job.job_id.value,
        tasks=(TaskRecord(index=0, attempt=1, state=RecordState.BEGUN),),
    )
    world.join(agent, records=(record,))
    world.run(5)
    assert fake.status == 200
    assert len(world.begun) == 1


@then("what may have run is started again at once only where allowed")
def check_unknown_end(context):
    for kinds, idempotent in ((HEDGED, True), (HEDGED, False), ((), True)):
        world = World(
            make_agents(4), configuration=make_configuration(kinds=kinds)
        )
        world.submit([300.0], idempotent=idempotent)
        world.run(0.1)
        job, task, agent_id = world.begun[0]
        agent = world.agents[agent_id]
        start = agent.running.pop((job, task))
        world.end(agent, start, "may_have_run", 0.0)
        world.run(0.2)
        allowed = bool(kinds) and idempotent
        assert len(world.begun) == (2 if allowed else 1), (kinds, idempotent)
        assert world.agents[world.begun[-1][2]] is not agent or not allowed
