from concurrent.futures import ThreadPoolExecutor

from behave import given
from behave import then
from behave import when
from processes import Deployment

from egretcart.request.identity import new_job_id


def echo_tasks(count, run_ms=20):
    return [
        {"payload": {"run_ms": run_ms, "echo": f"task-{number}"}}
        for number in range(count)
    ]


@given("a deployment of {entries:d} entries and {agents:d} agents")
def start_deployment(context, entries, agents):
    context.deployment = Deployment(entries, agents)
    context.add_cleanup(context.deployment.close)


@when("a job of {count:d} tasks is submitted through each entry")
def submit_everywhere(context, count):
    deployment = context.deployment
    tasks = echo_tasks(count)
    context.count = count
    with ThreadPoolExecutor() as pool:
        context.answers = list(
            pool.map(
                lambda entry: deployment.submit(entry, tasks),
                deployment.entries,
            )
        )


@when(
    "a job with {count:d} answers of {megabytes:d} megabytes "
    "is submitted through each entry"
)
def submit_large(context, count, megabytes):
    deployment = context.deployment
    payload = {"echo": "x" * 1000, "echo_times": megabytes * 1000}
    tasks = [{"payload": payload} for _ in range(count)]
    context.answers = [
        deployment.submit(entry, tasks) for entry in deployment.entries
    ]


@then("every answer says that it is too large and may have run")
def check_too_large(context):
    for status, answer in context.answers:
        assert status == 502, answer
        assert answer["title"] == "Answer Too Large", answer
        assert answer["verdict"] == "may_have_run", answer


@when(
    "the same job of {count:d} tasks is submitted through every entry at once"
)
def resubmit_everywhere(context, count):
    deployment = context.deployment
    tasks = echo_tasks(count)
    job_id = str(new_job_id())
    context.count = count
    with ThreadPoolExecutor() as pool:
        context.answers = list(
            pool.map(
                lambda entry: deployment.submit(entry, tasks, job_id=job_id),
                deployment.entries,
            )
        )


@then("every answer is complete and in task order")
def check_answers(context):
    expected = [{"echo": f"task-{n}"} for n in range(context.count)]
    for status, answer in context.answers:
        assert status == 200, answer
        assert answer["state"] == "complete"
        assert answer["results"] == expected


@then("no task was started twice")
def check_starts(context):
    starts = context.deployment.recorded_starts()
    assert starts
    started_twice = {key: count for key, count in starts.items() if count > 1}
    assert not started_twice, started_twice
