from behave import then
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
from policy_fake import begun_times
from policy_fake import HEDGED
from policy_fake import JOBS
from policy_fake import make_agents
from policy_fake import make_configuration
from policy_fake import submit
from policy_fake import World


@then("any jobs get the same answers under both policies")
def check_same_answers(context):
    @settings(max_examples=60)
    @given(JOBS, st.integers(1, 8), st.integers(0, 3))
    def holds(jobs, agents, slow):
        outcomes = []
        for naive in (True, False):
            world = World(make_agents(agents, slow=slow, slots=2), naive=naive)
            for moment, run_ms, idempotent in jobs:
                world.at(moment, submit, world, run_ms, idempotent)
            world.run(120)
            assert set(begun_times(world).values()) == {1}
            outcomes.append([(j.status, j.body) for j in world.jobs])
        assert outcomes[0] == outcomes[1]
        assert all(status == 200 for status, _ in outcomes[1])

    holds()


@then("no agent exceeds its slots and queue, whatever fails or is cancelled")
def check_slots(context):
    events = st.lists(
        st.tuples(
            st.floats(0, 2),
            st.sampled_from(["cancel", "lose", "fail", "instant", "ok"]),
            st.integers(0, 5),
        ),
        max_size=8,
    )

    @settings(max_examples=60)
    @given(JOBS, events, st.integers(0, 1))
    def holds(jobs, events, hedge):
        configuration = make_configuration(kinds=HEDGED if hedge else ())
        world = World(
            make_agents(6, slots=2), configuration=configuration,
            straggler_share=0.2,
        )  # fmt: skip

        def disturb(action, number):
            agent_id = f"agent-{number}"
            if action == "cancel" and number < len(world.jobs):
                world.cancel(world.jobs[number])
            elif action == "lose" and agent_id in world.usable:
                world.lose(agent_id)
            elif agent_id in world.usable and action != "cancel":
                world.agents[agent_id].mode = action

        for moment, run_ms, idempotent in jobs:
            world.at(moment, submit, world, run_ms, idempotent)
        for moment, action, number in events:
            world.at(moment, disturb, action, number)
        world.run(130)
        for agent in world.agents.values():
            assert agent.max_in_flight <= agent.slots + 2
        jobs_by_id = {j.job.job_id.value: j.job for j in world.jobs}
        for (job, _), count in begun_times(world).items():
            assert count == 1 or jobs_by_id[job].idempotent
        assert all(fake.status is not None for fake in world.jobs)
        for load in world.job_manager.loads.values():
            assert not load.in_flight
        task_queue = world.policy.task_queue
        assert task_queue.waiting == 0
        assert not task_queue.running
        assert abs(task_queue.waiting_ms("normal")) < 1e-6

    holds()
