import collections

from behave import then
from behave import when
from policy_fake import make_agents
from policy_fake import make_configuration
from policy_fake import quantile
from policy_fake import SLOTS
from policy_fake import World

from egretcart.version.document import UrgencyClass


@when("jobs arrive at 150 % of the capacity for 20 seconds")
def run_overload(context):
    urgency = (UrgencyClass(name="normal", max_wait_ms=1000.0),)
    world = World(
        make_agents(), configuration=make_configuration(urgency=urgency)
    )
    world.load(1.5, 20)
    world.run(40)
    context.world = world


@then("refused jobs were never placed and the cell loses no capacity")
def check_overload(context):
    world = context.world
    refused = [j for j in world.jobs if j.status == 503]
    assert len(refused) > 100
    begun = {job for job, _, _ in world.begun}
    for fake in refused:
        assert fake.body["verdict"] == "not_run"
        assert fake.job.job_id.value not in begun
        assert fake.answered == fake.submitted
    done_ms = sum(
        sum(j.true_ms)
        for j in world.jobs
        if j.status == 200 and 5 < j.answered < 20
    )
    assert done_ms >= 0.95 * SLOTS * 15_000, done_ms / SLOTS / 15_000
    waits = [j.answered - j.submitted for j in world.jobs if j.status == 200]
    assert quantile(sorted(waits), 0.99) < 3.5


@then("the retry times are spread out in line with the capacity")
def check_retry_after(context):
    refused = [j for j in context.world.jobs if j.status == 503]
    times = sorted(j.submitted + j.retry_after_s for j in refused)
    assert len({round(moment, 3) for moment in times}) > 0.9 * len(times)
    burst = World(make_agents())
    for _ in range(700):
        burst.submit([200.0] * 10)
    refused = [j for j in burst.jobs if j.status == 503]
    returning = collections.Counter()
    for fake in refused:
        moment = fake.submitted + fake.retry_after_s
        returning[int(moment)] += sum(fake.true_ms) / 1000
    assert max(returning.values()) < 1.5 * SLOTS, returning
    assert all(0.1 <= j.retry_after_s <= 37.5 for j in refused)


@then("no accepted job misses its deadline")
def check_deadlines(context):
    for seed in (1, 2, 3):
        world = World(make_agents(), seed=seed)
        world.load(1.5, 15, tasks=(1, 60), deadline_ms=4000.0)
        world.run(30)
        statuses = collections.Counter(fake.status for fake in world.jobs)
        assert statuses[503] > 20, statuses
        assert set(statuses) == {200, 503}, statuses


@then("unknown names and deadlines that no agent can meet are refused")
def check_never_accepted(context):
    world = World(make_agents(2))
    assert world.submit([1.0], team="nobody").status == 400
    assert "'default'" in world.jobs[-1].body["detail"]
    assert world.submit([1.0], urgency="now").status == 400
    assert "'normal'" in world.jobs[-1].body["detail"]
    for _ in range(20):
        world.submit([300.0])
    world.run(5)
    assert world.submit([300.0], deadline_ms=20.0).status == 422
    assert world.submit([300.0], deadline_ms=900.0).status is None
    assert not [j for j in world.jobs if j.status == 422 and j.retry_after_s]
